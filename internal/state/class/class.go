// Package class holds the operators' targets for the classes of work.
//
// A Table is the state machine of the stream Config. A change names its class, the revision that it was made from (the
// base revision) and a change ID. The first valid change to a base revision is accepted. A later change to the same
// base revision is refused, and its verdict carries the entry in force. The revision of a class only grows, also when
// the class is deleted. A change that was made from an outdated state is therefore always detected as stale.
//
// Readers on the request path call Table.Snapshot, which returns an immutable Snapshot without taking a lock.
//
// # Usage
//
//	table := class.New()
//	follower := stream.New("Config", table.StateMachine(), ...)
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

// StreamName is the stream of the platform's log that holds the changes to classes.
const StreamName = "Config"

const (
	maxVerdicts      = 4096
	maxHistoryEvents = 256
)

// ReasonStale is the reason of a verdict that refuses a change because its base revision is not the revision in force.
const ReasonStale = "another change came first"

// Snapshot holds the classes in force. It is immutable.
type Snapshot struct {
	// Sequence counts the accepted changes.
	Sequence uint64
	// Entries holds all classes that were ever set, including deleted ones, by name.
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

// Names returns the sorted names of the classes in force.
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

// Verdict is the decision of the state machine about one change.
type Verdict struct {
	Accepted bool
	// Revision is the revision of the class after an accepted change.
	Revision uint64
	// InForce is the entry in force whose revision made the change stale, or nil if the class was never set.
	InForce *record.ConfigEntry
	// Reason says why the change was refused.
	Reason string
}

// Event is one change in the history of a class.
type Event struct {
	Offset  uint64
	Change  *record.ConfigChange
	Verdict Verdict
}

// State is the part of a Table in the state dump.
type State struct {
	Sequence uint64
	Classes  int
	Refused  uint64
	// Reverts counts decreased revisions. It must be 0.
	Reverts uint64
}

// Table applies the stream Config.
type Table struct {
	snapshot atomic.Pointer[Snapshot]

	mu           sync.Mutex
	verdicts     map[string]Verdict
	verdictOrder []string
	history      []Event
	refused      uint64
	reverts      uint64
}

// New returns an empty table.
func New() *Table {
	table := &Table{verdicts: map[string]Verdict{}}
	table.snapshot.Store(&Snapshot{Entries: map[string]*record.ConfigEntry{}})
	return table
}

// Snapshot returns the classes in force.
func (table *Table) Snapshot() *Snapshot {
	return table.snapshot.Load()
}

// StateMachine returns the functions that apply the records of the stream to the table.
func (table *Table) StateMachine() stream.StateMachine {
	return stream.StateMachine{Decode: table.decode, Snapshot: table.encodeCheckpoint}
}

func (table *Table) decode(body []byte) (stream.Decoded, error) {
	var decoded record.ConfigRecord
	if err := proto.Unmarshal(body, &decoded); err != nil {
		return stream.Decoded{}, errors.Wrap(err, "decode record of stream Config")
	}
	switch kind := decoded.Kind.(type) {
	case *record.ConfigRecord_Change:
		return stream.Decoded{Apply: func(offset uint64) { table.apply(offset, kind.Change) }}, nil
	case *record.ConfigRecord_Checkpoint:
		if slices.ContainsFunc(kind.Checkpoint.Entries, func(entry *record.ConfigEntry) bool { return entry.GetTarget().GetName() == "" }) {
			return stream.Decoded{}, errors.New("decode checkpoint of stream Config: class without name")
		}
		return stream.Decoded{
			Checkpoint: true, Through: kind.Checkpoint.Through,
			Apply: func(uint64) { table.applyCheckpoint(kind.Checkpoint) },
		}, nil
	}
	return stream.Decoded{}, errors.New("decode record of stream Config: unknown kind")
}

func (table *Table) apply(offset uint64, change *record.ConfigChange) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if _, seen := table.verdicts[change.ChangeID]; seen {
		return
	}
	current := table.snapshot.Load()
	verdict := evaluate(current, change)
	table.recordVerdictLocked(offset, change, verdict)
	if !verdict.Accepted {
		table.refused++
		return
	}
	table.applyAcceptedLocked(current, change, verdict.Revision)
}

// evaluate decides whether a change is accepted. It depends only on the records, so every node reaches the same
// verdict.
func evaluate(current *Snapshot, change *record.ConfigChange) Verdict {
	if err := Check(change); err != nil {
		return Verdict{Reason: err.Error()}
	}
	entry := current.Entries[change.Name]
	if entry.GetChangeID() == change.ChangeID {
		return Verdict{Accepted: true, Revision: entry.GetRevision()}
	}
	if entry.GetRevision() != change.BaseRevision {
		return Verdict{InForce: entry, Reason: ReasonStale}
	}
	return Verdict{Accepted: true, Revision: change.BaseRevision + 1}
}

// applyAcceptedLocked puts an accepted change in force, unless its revision already is.
func (table *Table) applyAcceptedLocked(current *Snapshot, change *record.ConfigChange, revision uint64) {
	if current.Entries[change.Name].GetRevision() >= revision {
		return
	}
	entries := maps.Clone(current.Entries)
	entries[change.Name] = &record.ConfigEntry{
		Target: change.Target, Revision: revision, ChangeID: change.ChangeID,
		Deleted: change.Delete, Operator: change.Operator, SubmittedUnixMs: change.SubmittedUnixMs,
	}
	table.snapshot.Store(&Snapshot{Sequence: current.Sequence + 1, Entries: entries})
}

// recordVerdictLocked stores the verdict about a change and adds the change to the history. It drops the oldest
// verdicts above maxVerdicts and the oldest changes above maxHistoryEvents.
func (table *Table) recordVerdictLocked(offset uint64, change *record.ConfigChange, verdict Verdict) {
	table.verdicts[change.ChangeID] = verdict
	table.verdictOrder = append(table.verdictOrder, change.ChangeID)
	if len(table.verdictOrder) > maxVerdicts {
		delete(table.verdicts, table.verdictOrder[0])
		table.verdictOrder = table.verdictOrder[1:]
	}
	table.history = append(table.history, Event{Offset: offset, Change: change, Verdict: verdict})
	if len(table.history) > maxHistoryEvents {
		table.history = table.history[1:]
	}
}

// applyCheckpoint takes those entries of a checkpoint that have a higher revision than the entry in force. An older
// checkpoint, from a peer or from a log that was restored from an older backup, therefore changes nothing.
func (table *Table) applyCheckpoint(checkpoint *record.ConfigCheckpoint) {
	table.mu.Lock()
	defer table.mu.Unlock()
	current := table.snapshot.Load()
	entries := maps.Clone(current.Entries)
	for _, entry := range checkpoint.Entries {
		name := entry.GetTarget().GetName()
		if entry.Revision > entries[name].GetRevision() {
			entries[name] = entry
		}
	}
	table.countRevertsLocked(current.Entries, entries)
	table.snapshot.Store(&Snapshot{Sequence: max(current.Sequence, checkpoint.Sequence), Entries: entries})
}

// countRevertsLocked counts entries whose revision decreases. applyCheckpoint rules that out. Tests assert that the
// counter is 0, and the state dump contains it.
func (table *Table) countRevertsLocked(current, updated map[string]*record.ConfigEntry) {
	for name, entry := range current {
		if updated[name].GetRevision() < entry.GetRevision() {
			table.reverts++
		}
	}
}

func (table *Table) encodeCheckpoint(through uint64) ([]byte, error) {
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

// Verdict returns the verdict about a change.
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
