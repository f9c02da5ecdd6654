package booking

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/state/stream"
	"hazelslip/internal/wire/record"
)

const (
	// DefaultWindow is how long a key and its answer are kept.
	DefaultWindow = 6 * time.Hour
	// maxClockStep bounds how far one record can move the stream's time, so
	// that a node with a wrong clock cannot expire every key at once.
	maxClockStep = time.Minute
	// keysMost bounds the table, some 250 MB with small answers. New keys are
	// refused beyond it rather than the node being lost to its memory.
	keysMost = 500_000
)

// Entry is what the stream says about one key. It never changes.
type Entry struct {
	Intent  *record.Intent
	Outcome *record.Outcome
}

// Table is the fold of a Bookings stream.
type Table struct {
	window time.Duration

	mu       sync.Mutex
	entries  map[string]Entry
	order    []string
	watchers map[string]chan struct{}
	sequence uint64
	streamMs int64
	bytes    int
	lost     uint64
}

// NewTable returns an empty table that keeps keys for the window.
func NewTable(window time.Duration) *Table {
	return &Table{window: window, entries: map[string]Entry{}, watchers: map[string]chan struct{}{}}
}

// Fold returns the table as the fold of a stream.
func (table *Table) Fold() stream.Fold {
	return stream.Fold{Decode: table.decode, Snapshot: table.checkpoint}
}

func (table *Table) decode(body []byte) (stream.Decoded, error) {
	var decoded record.BookingRecord
	if err := proto.Unmarshal(body, &decoded); err != nil {
		return stream.Decoded{}, errors.Wrap(err, "decode a record of Bookings")
	}
	switch kind := decoded.Kind.(type) {
	case *record.BookingRecord_Batch:
		return stream.Decoded{Apply: func(uint64) { table.apply(kind.Batch) }}, nil
	case *record.BookingRecord_Checkpoint:
		if slices.ContainsFunc(kind.Checkpoint.Entries, func(entry *record.BookingEntry) bool { return entry.Intent == nil }) {
			return stream.Decoded{}, errors.New("a checkpoint of Bookings with an entry that nobody claimed")
		}
		return stream.Decoded{
			Checkpoint: true, Through: kind.Checkpoint.Through,
			Apply: func(uint64) { table.restore(kind.Checkpoint) },
		}, nil
	}
	return stream.Decoded{}, errors.New("a record of Bookings of an unknown kind")
}

func (table *Table) apply(batch *record.BookingBatch) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.sequence++
	for _, intent := range batch.Intents {
		table.claimLocked(intent)
	}
	for _, outcome := range batch.Outcomes {
		table.endLocked(outcome)
	}
	table.expireLocked()
}

// claimLocked gives a key to the first intent for it. Every later one is void,
// whichever node wrote it.
func (table *Table) claimLocked(intent *record.Intent) {
	table.advanceLocked(intent.UnixMs)
	if _, taken := table.entries[intent.Key]; taken {
		table.lost++
		table.notifyLocked(intent.Key)
		return
	}
	table.putLocked(intent.Key, Entry{Intent: intent})
}

func (table *Table) advanceLocked(unixMs int64) {
	if table.streamMs == 0 {
		table.streamMs = unixMs
	}
	table.streamMs = max(table.streamMs, min(unixMs, table.streamMs+maxClockStep.Milliseconds()))
}

func (table *Table) putLocked(key string, entry Entry) {
	before, known := table.entries[key]
	if !known {
		table.order = append(table.order, key)
	}
	table.bytes += size(entry) - size(before)
	table.entries[key] = entry
	table.notifyLocked(key)
}

func size(entry Entry) int {
	return proto.Size(entry.Intent) + proto.Size(entry.Outcome)
}

// endLocked takes the outcome of the claim that holds the key. An outcome of
// any other claim is void.
func (table *Table) endLocked(outcome *record.Outcome) {
	entry, ok := table.entries[outcome.Key]
	if !ok || entry.Outcome != nil || !holds(entry.Intent, outcome.Incarnation, outcome.Attempt) {
		return
	}
	if outcome.Kind == record.OutcomeKind_OutcomeReleased {
		table.bytes -= size(entry)
		delete(table.entries, outcome.Key)
		table.notifyLocked(outcome.Key)
		return
	}
	table.putLocked(outcome.Key, Entry{Intent: entry.Intent, Outcome: outcome})
}

func holds(intent *record.Intent, incarnation, attempt uint64) bool {
	return intent.GetIncarnation() == incarnation && intent.GetAttempt() == attempt
}

// expireLocked drops keys by the stream's own time, which is the same on every
// node.
func (table *Table) expireLocked() {
	oldest := table.streamMs - table.window.Milliseconds()
	drop := 0
	for drop < len(table.order) {
		entry, ok := table.entries[table.order[drop]]
		if ok && entry.Intent.UnixMs >= oldest {
			break
		}
		if ok {
			table.bytes -= size(entry)
			delete(table.entries, table.order[drop])
		}
		drop++
	}
	table.order = slices.Delete(table.order, 0, drop)
}

func (table *Table) notifyLocked(key string) {
	if watcher, ok := table.watchers[key]; ok {
		close(watcher)
		delete(table.watchers, key)
	}
}

func (table *Table) restore(checkpoint *record.BookingCheckpoint) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.sequence = max(table.sequence, checkpoint.Sequence)
	for _, entry := range checkpoint.Entries {
		table.advanceLocked(entry.Intent.UnixMs)
		known, ok := table.entries[entry.Intent.Key]
		if !ok || (known.Outcome == nil && sameClaim(known.Intent, entry.Intent)) {
			table.putLocked(entry.Intent.Key, Entry{Intent: entry.Intent, Outcome: entry.Outcome})
		}
	}
}

func sameClaim(a, b *record.Intent) bool {
	return holds(a, b.Incarnation, b.Attempt)
}

func (table *Table) checkpoint(through uint64) ([]byte, error) {
	table.mu.Lock()
	checkpoint := &record.BookingCheckpoint{Sequence: table.sequence, Through: through}
	for _, entry := range table.entries {
		checkpoint.Entries = append(checkpoint.Entries, &record.BookingEntry{Intent: entry.Intent, Outcome: entry.Outcome})
	}
	table.mu.Unlock()
	slices.SortFunc(checkpoint.Entries, func(a, b *record.BookingEntry) int {
		if a.Intent.UnixMs != b.Intent.UnixMs {
			return int(a.Intent.UnixMs - b.Intent.UnixMs)
		}
		return strings.Compare(a.Intent.Key, b.Intent.Key)
	})
	return proto.Marshal(&record.BookingRecord{Kind: &record.BookingRecord_Checkpoint{Checkpoint: checkpoint}})
}

// full reports whether no new key should be claimed.
func (table *Table) full() bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	return len(table.entries) >= keysMost
}

// Lookup returns what the stream says about a key.
func (table *Table) Lookup(key string) (Entry, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	entry, ok := table.entries[key]
	return entry, ok
}

// Watch returns what the stream says about a key and a channel that closes
// when that may have changed.
func (table *Table) Watch(key string) (Entry, bool, <-chan struct{}) {
	table.mu.Lock()
	defer table.mu.Unlock()
	watcher, ok := table.watchers[key]
	if !ok {
		watcher = make(chan struct{})
		table.watchers[key] = watcher
	}
	entry, known := table.entries[key]
	return entry, known, watcher
}

// Unwatch wakes whoever watches a key, so that the channel of a key that never
// changes is not kept for good.
func (table *Table) Unwatch(key string) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.notifyLocked(key)
}

// sameDigest tells whether a key is used again with another body.
func sameDigest(entry Entry, digest []byte) bool {
	return bytes.Equal(entry.Intent.GetDigest(), digest)
}
