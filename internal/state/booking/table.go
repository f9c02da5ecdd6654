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
	// DefaultWindow is how long a key and its outcome are kept.
	DefaultWindow = 6 * time.Hour
	// maxClockStep bounds how far one record can advance the stream time, so that a node with a wrong clock cannot
	// expire all keys at once.
	maxClockStep = time.Minute
	// maxKeys bounds the table to about 250 MB with small responses. Above it, new keys are refused, so that the node
	// does not run out of memory.
	maxKeys = 500_000
)

// Entry is the claim of a key and its outcome, which is nil until the call has ended. An Entry is immutable.
type Entry struct {
	Intent  *record.Intent
	Outcome *record.Outcome
}

// Table is the state machine of a Bookings stream.
type Table struct {
	window time.Duration

	mu           sync.Mutex
	entries      map[string]Entry
	claimOrder   []string
	watchers     map[string]chan struct{}
	sequence     uint64
	streamTimeMs int64
	bytes        int
	lostClaims   uint64
}

// NewTable returns an empty table that keeps each key for the window.
func NewTable(window time.Duration) *Table {
	return &Table{window: window, entries: map[string]Entry{}, watchers: map[string]chan struct{}{}}
}

// StateMachine returns the functions that apply the records of the stream to the table.
func (table *Table) StateMachine() stream.StateMachine {
	return stream.StateMachine{Decode: table.decode, Snapshot: table.encodeCheckpoint}
}

func (table *Table) decode(body []byte) (stream.Decoded, error) {
	var decoded record.BookingRecord
	if err := proto.Unmarshal(body, &decoded); err != nil {
		return stream.Decoded{}, errors.Wrap(err, "decode record of stream Bookings")
	}
	switch kind := decoded.Kind.(type) {
	case *record.BookingRecord_Batch:
		return stream.Decoded{Apply: func(uint64) { table.apply(kind.Batch) }}, nil
	case *record.BookingRecord_Checkpoint:
		if slices.ContainsFunc(kind.Checkpoint.Entries, func(entry *record.BookingEntry) bool { return entry.Intent == nil }) {
			return stream.Decoded{}, errors.New("decode checkpoint of stream Bookings: entry without intent")
		}
		return stream.Decoded{
			Checkpoint: true, Through: kind.Checkpoint.Through,
			Apply: func(uint64) { table.applyCheckpoint(kind.Checkpoint) },
		}, nil
	}
	return stream.Decoded{}, errors.New("decode record of stream Bookings: unknown kind")
}

func (table *Table) apply(batch *record.BookingBatch) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.sequence++
	for _, intent := range batch.Intents {
		table.applyIntentLocked(intent)
	}
	for _, outcome := range batch.Outcomes {
		table.applyOutcomeLocked(outcome)
	}
	table.expireLocked()
}

// applyIntentLocked makes the first intent for a key the claim of the key. Later intents have no effect, whichever node
// wrote them.
func (table *Table) applyIntentLocked(intent *record.Intent) {
	table.advanceStreamTimeLocked(intent.UnixMs)
	if _, taken := table.entries[intent.Key]; taken {
		table.lostClaims++
		table.notifyLocked(intent.Key)
		return
	}
	table.setLocked(intent.Key, Entry{Intent: intent})
}

// advanceStreamTimeLocked advances the stream time to a record's timestamp, by at most maxClockStep.
func (table *Table) advanceStreamTimeLocked(unixMs int64) {
	if table.streamTimeMs == 0 {
		table.streamTimeMs = unixMs
	}
	table.streamTimeMs = max(table.streamTimeMs, min(unixMs, table.streamTimeMs+maxClockStep.Milliseconds()))
}

func (table *Table) setLocked(key string, entry Entry) {
	before, known := table.entries[key]
	if !known {
		table.claimOrder = append(table.claimOrder, key)
	}
	table.bytes += entrySize(entry) - entrySize(before)
	table.entries[key] = entry
	table.notifyLocked(key)
}

func entrySize(entry Entry) int {
	return proto.Size(entry.Intent) + proto.Size(entry.Outcome)
}

// applyOutcomeLocked stores the outcome of the claim that holds the key, or frees the key if the claim was released. An
// outcome of any other claim has no effect.
func (table *Table) applyOutcomeLocked(outcome *record.Outcome) {
	entry, ok := table.entries[outcome.Key]
	if !ok || entry.Outcome != nil || !isClaim(entry.Intent, outcome.Incarnation, outcome.Attempt) {
		return
	}
	if outcome.Kind == record.OutcomeKind_OutcomeReleased {
		table.bytes -= entrySize(entry)
		delete(table.entries, outcome.Key)
		table.notifyLocked(outcome.Key)
		return
	}
	table.setLocked(outcome.Key, Entry{Intent: entry.Intent, Outcome: outcome})
}

// isClaim reports whether an intent is the one of an incarnation's attempt.
func isClaim(intent *record.Intent, incarnation, attempt uint64) bool {
	return intent.GetIncarnation() == incarnation && intent.GetAttempt() == attempt
}

// expireLocked removes keys whose window has passed by the stream time, which is the same on every node.
func (table *Table) expireLocked() {
	oldest := table.streamTimeMs - table.window.Milliseconds()
	expired := 0
	for expired < len(table.claimOrder) {
		entry, ok := table.entries[table.claimOrder[expired]]
		if ok && entry.Intent.UnixMs >= oldest {
			break
		}
		if ok {
			table.bytes -= entrySize(entry)
			delete(table.entries, table.claimOrder[expired])
		}
		expired++
	}
	table.claimOrder = slices.Delete(table.claimOrder, 0, expired)
}

func (table *Table) notifyLocked(key string) {
	if watcher, ok := table.watchers[key]; ok {
		close(watcher)
		delete(table.watchers, key)
	}
}

// applyCheckpoint adds the keys that the table does not hold, and the outcomes of claims that it holds without one.
func (table *Table) applyCheckpoint(checkpoint *record.BookingCheckpoint) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.sequence = max(table.sequence, checkpoint.Sequence)
	for _, entry := range checkpoint.Entries {
		table.advanceStreamTimeLocked(entry.Intent.UnixMs)
		known, ok := table.entries[entry.Intent.Key]
		if !ok || (known.Outcome == nil && sameClaim(known.Intent, entry.Intent)) {
			table.setLocked(entry.Intent.Key, Entry{Intent: entry.Intent, Outcome: entry.Outcome})
		}
	}
}

func sameClaim(a, b *record.Intent) bool {
	return isClaim(a, b.Incarnation, b.Attempt)
}

func (table *Table) encodeCheckpoint(through uint64) ([]byte, error) {
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

// full reports whether the table has reached its limit of keys, so that no new key may be claimed.
func (table *Table) full() bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	return len(table.entries) >= maxKeys
}

// Lookup returns the entry of a key.
func (table *Table) Lookup(key string) (Entry, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	entry, ok := table.entries[key]
	return entry, ok
}

// Watch returns the entry of a key and a channel that is closed when the entry may have changed.
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

// Unwatch closes the channel that Watch returned for a key, which wakes all its watchers. Without it, the channel of a
// key that never changes would be kept forever.
func (table *Table) Unwatch(key string) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.notifyLocked(key)
}

// sameDigest reports whether a request has the same body as the one that claimed the key.
func sameDigest(entry Entry, digest []byte) bool {
	return bytes.Equal(entry.Intent.GetDigest(), digest)
}
