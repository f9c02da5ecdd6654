// Package class holds what operators state: a target for each class of work.
//
// A Table is the fold of the stream Config. A change names its class, the
// revision it was made from and a change ID; the first valid change over a
// revision wins, and the loser's verdict carries the change that beat it. A
// class's revision only grows, also over a deletion, so a change made from a
// state that is no longer in force can never be taken for a new one.
//
// Readers on the request path take Table.Snapshot, which is replaced whole and
// never changed.
//
// # Usage
//
//	table := class.New()
//	follower := stream.New("Config", table.Fold(), ...)
//	entry, ok := table.Snapshot().Entries["urgent"]
//	verdict, err := submitter.Submit(ctx, change)
package class

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/state/stream"
	"hazelslip/internal/wire/record"
)

// StreamName is the stream of the platform's log that holds the classes.
const StreamName = "Config"

const (
	verdictsKept = 4096
	historyKept  = 256
)

// ReasonStale is the reason of a change that was made from a revision that is
// no longer, or not yet, in force.
const ReasonStale = "another change came first"

// Snapshot is the configuration in force. It never changes.
type Snapshot struct {
	// Sequence counts the accepted changes.
	Sequence uint64
	// Entries holds each class ever stated, the deleted ones too.
	Entries map[string]*record.ConfigEntry
}

// Target returns the target of a class that is in force.
func (snapshot *Snapshot) Target(name string) (*record.ClassTarget, bool) {
	entry, ok := snapshot.Entries[name]
	if !ok || entry.Deleted {
		return nil, false
	}
	return entry.Target, true
}

// Names returns the classes in force, in order.
func (snapshot *Snapshot) Names() []string {
	names := []string{}
	for name, entry := range snapshot.Entries {
		if !entry.Deleted {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Verdict is what the fold decided about one change.
type Verdict struct {
	Accepted bool
	Revision uint64
	// Beaten is the entry in force that a stale change lost against.
	Beaten *record.ConfigEntry
	// Reason says why an invalid change was refused.
	Reason string
}

// Event is one line of a class's history.
type Event struct {
	Offset  uint64
	Change  *record.ConfigChange
	Verdict Verdict
}

// State is what a Table shows in the state dump.
type State struct {
	Sequence uint64
	Classes  int
	Refused  uint64
	Reverts  uint64
}

// Table folds the stream Config.
type Table struct {
	snapshot atomic.Pointer[Snapshot]

	mu       sync.Mutex
	verdicts map[string]Verdict
	order    []string
	history  []Event
	refused  uint64
	reverts  uint64
}

// New returns an empty table.
func New() *Table {
	table := &Table{verdicts: map[string]Verdict{}}
	table.snapshot.Store(&Snapshot{Entries: map[string]*record.ConfigEntry{}})
	return table
}

// Snapshot returns the configuration in force.
func (table *Table) Snapshot() *Snapshot {
	return table.snapshot.Load()
}

// Fold returns the table as the fold of a stream.
func (table *Table) Fold() stream.Fold {
	return stream.Fold{Decode: table.decode, Snapshot: table.checkpoint}
}

func (table *Table) decode(body []byte) (stream.Decoded, error) {
	var decoded record.ConfigRecord
	if err := proto.Unmarshal(body, &decoded); err != nil {
		return stream.Decoded{}, errors.Wrap(err, "decode a record of Config")
	}
	switch kind := decoded.Kind.(type) {
	case *record.ConfigRecord_Change:
		return stream.Decoded{Apply: func(offset uint64) { table.apply(offset, kind.Change) }}, nil
	case *record.ConfigRecord_Checkpoint:
		if slices.ContainsFunc(kind.Checkpoint.Entries, func(entry *record.ConfigEntry) bool { return entry.GetTarget().GetName() == "" }) {
			return stream.Decoded{}, errors.New("a checkpoint of Config with a class without a name")
		}
		return stream.Decoded{
			Checkpoint: true, Through: kind.Checkpoint.Through,
			Apply: func(uint64) { table.restore(kind.Checkpoint) },
		}, nil
	}
	return stream.Decoded{}, errors.New("a record of Config of an unknown kind")
}

func (table *Table) apply(offset uint64, change *record.ConfigChange) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if _, seen := table.verdicts[change.ChangeID]; seen {
		return
	}
	before := table.snapshot.Load()
	verdict := judge(before, change)
	table.rememberLocked(offset, change, verdict)
	if !verdict.Accepted {
		table.refused++
		return
	}
	table.replaceLocked(before, change, verdict.Revision)
}

// judge is the whole rule of what is accepted. It depends on nothing but the
// records, so every node comes to the same verdict.
func judge(before *Snapshot, change *record.ConfigChange) Verdict {
	if err := Check(change); err != nil {
		return Verdict{Reason: err.Error()}
	}
	entry := before.Entries[change.Name]
	if entry.GetChangeID() == change.ChangeID {
		return Verdict{Accepted: true, Revision: entry.GetRevision()}
	}
	if entry.GetRevision() != change.BaseRevision {
		return Verdict{Beaten: entry, Reason: ReasonStale}
	}
	return Verdict{Accepted: true, Revision: change.BaseRevision + 1}
}

func (table *Table) replaceLocked(before *Snapshot, change *record.ConfigChange, revision uint64) {
	if before.Entries[change.Name].GetRevision() >= revision {
		return
	}
	entries := maps.Clone(before.Entries)
	entries[change.Name] = &record.ConfigEntry{
		Target: change.Target, Revision: revision, ChangeID: change.ChangeID,
		Deleted: change.Delete, Operator: change.Operator, SubmittedUnixMs: change.SubmittedUnixMs,
	}
	table.snapshot.Store(&Snapshot{Sequence: before.Sequence + 1, Entries: entries})
}

func (table *Table) rememberLocked(offset uint64, change *record.ConfigChange, verdict Verdict) {
	table.verdicts[change.ChangeID] = verdict
	table.order = append(table.order, change.ChangeID)
	if len(table.order) > verdictsKept {
		delete(table.verdicts, table.order[0])
		table.order = table.order[1:]
	}
	table.history = append(table.history, Event{Offset: offset, Change: change, Verdict: verdict})
	if len(table.history) > historyKept {
		table.history = table.history[1:]
	}
}

// restore takes a checkpoint's entries, class by class, where they are ahead
// of what is in force. An older checkpoint, from a peer or from a log that was
// restored from an old copy, therefore changes nothing.
func (table *Table) restore(checkpoint *record.ConfigCheckpoint) {
	table.mu.Lock()
	defer table.mu.Unlock()
	before := table.snapshot.Load()
	entries := maps.Clone(before.Entries)
	for _, entry := range checkpoint.Entries {
		name := entry.GetTarget().GetName()
		if entry.Revision > entries[name].GetRevision() {
			entries[name] = entry
		}
	}
	table.assertForwardLocked(before.Entries, entries)
	table.snapshot.Store(&Snapshot{Sequence: max(before.Sequence, checkpoint.Sequence), Entries: entries})
}

// assertForwardLocked counts a revision that would go back, which the rules
// above rule out; the counter is asserted to be 0 in tests and shown in the
// state dump.
func (table *Table) assertForwardLocked(before, after map[string]*record.ConfigEntry) {
	for name, entry := range before {
		if after[name].GetRevision() < entry.GetRevision() {
			table.reverts++
		}
	}
}

func (table *Table) checkpoint(through uint64) ([]byte, error) {
	snapshot := table.snapshot.Load()
	checkpoint := &record.ConfigCheckpoint{Sequence: snapshot.Sequence, Through: through}
	for _, entry := range snapshot.Entries {
		checkpoint.Entries = append(checkpoint.Entries, entry)
	}
	slices.SortFunc(checkpoint.Entries, func(a, b *record.ConfigEntry) int {
		return strings.Compare(a.GetTarget().GetName(), b.GetTarget().GetName())
	})
	return proto.Marshal(&record.ConfigRecord{Kind: &record.ConfigRecord_Checkpoint{Checkpoint: checkpoint}})
}

// Verdict returns what was decided about a change.
func (table *Table) Verdict(changeID string) (Verdict, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	verdict, ok := table.verdicts[changeID]
	return verdict, ok
}

// History returns the latest events of one class, oldest first.
func (table *Table) History(name string) []Event {
	table.mu.Lock()
	defer table.mu.Unlock()
	events := []Event{}
	for _, event := range table.history {
		if event.Change.Name == name {
			events = append(events, event)
		}
	}
	return events
}

// State returns the table's part of the state dump.
func (table *Table) State() State {
	snapshot := table.snapshot.Load()
	table.mu.Lock()
	defer table.mu.Unlock()
	return State{Sequence: snapshot.Sequence, Classes: len(snapshot.Names()), Refused: table.refused, Reverts: table.reverts}
}
