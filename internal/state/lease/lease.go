// Package lease decides who may give orders to backend servers that ignore
// fencing numbers, and keeps what was done to replica groups and why.
//
// A Table is the fold of a data centre's Groups stream. A lease record names
// the term it was written over; the first one over a term wins. Time enters
// only outside the fold, and no clock is shared: the holder counts its lease
// from before it sent the record, everybody else from after they read it, so
// the holder always stops first. Both count on boot time, which goes on while
// a machine sleeps.
//
// A lease is taken only when an order has to be given and is not renewed while
// nothing happens, so a quiet domain costs no appends.
//
// # Usage
//
//	table := lease.New(clock.Boot)
//	keeper := lease.Keeper{Incarnation: incarnation, Table: table, Append: follower.Append, ...}
//	if err := keeper.Acquire(ctx, "domain-1"); err == nil && keeper.Holds("domain-1") { ... }
package lease

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/state/stream"
	"hazelslip/internal/wire/record"
)

const eventsKept = 512

// Entry is the latest accepted lease of a domain. ReadAt is when this node
// folded it.
type Entry struct {
	Lease  *record.LeaseEntry
	ReadAt time.Duration
}

// State is what a Table shows in the state dump.
type State struct {
	Sequence uint64
	Leases   []*record.LeaseEntry
	Void     uint64
	Events   int
}

// Table folds a data centre's Groups stream.
type Table struct {
	now clock.Now

	mu       sync.Mutex
	leases   map[string]Entry
	events   []*record.GroupEvent
	sequence uint64
	void     uint64
}

// New returns an empty table.
func New(now clock.Now) *Table {
	return &Table{now: now, leases: map[string]Entry{}}
}

// Fold returns the table as the fold of a stream.
func (table *Table) Fold() stream.Fold {
	return stream.Fold{Decode: table.decode, Snapshot: table.checkpoint}
}

func (table *Table) decode(body []byte) (stream.Decoded, error) {
	var decoded record.GroupRecord
	if err := proto.Unmarshal(body, &decoded); err != nil {
		return stream.Decoded{}, errors.Wrap(err, "decode a record of Groups")
	}
	switch kind := decoded.Kind.(type) {
	case *record.GroupRecord_Lease:
		return stream.Decoded{Apply: func(uint64) { table.applyLease(kind.Lease) }}, nil
	case *record.GroupRecord_Event:
		return stream.Decoded{Apply: func(uint64) { table.applyEvent(kind.Event) }}, nil
	case *record.GroupRecord_Checkpoint:
		return stream.Decoded{
			Checkpoint: true, Through: kind.Checkpoint.Through,
			Apply: func(uint64) { table.restore(kind.Checkpoint) },
		}, nil
	}
	return stream.Decoded{}, errors.New("a record of Groups of an unknown kind")
}

func (table *Table) applyLease(lease *record.Lease) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.sequence++
	if table.leases[lease.FabricDomain].Lease.GetTerm() != lease.BaseTerm {
		table.void++
		return
	}
	table.leases[lease.FabricDomain] = Entry{
		Lease: &record.LeaseEntry{
			FabricDomain: lease.FabricDomain, Holder: lease.Holder,
			Term: lease.BaseTerm + 1, DurationMs: lease.DurationMs,
		},
		ReadAt: table.now(),
	}
}

func (table *Table) applyEvent(event *record.GroupEvent) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.sequence++
	table.events = append(table.events, event)
	if len(table.events) > eventsKept {
		table.events = table.events[1:]
	}
}

// restore takes leases of a higher term. A lease from a checkpoint counts from
// now for this node, however old it is: that errs on the side of waiting.
func (table *Table) restore(checkpoint *record.GroupCheckpoint) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, lease := range checkpoint.Leases {
		if lease.Term > table.leases[lease.FabricDomain].Lease.GetTerm() {
			table.leases[lease.FabricDomain] = Entry{Lease: lease, ReadAt: table.now()}
		}
	}
	if checkpoint.Sequence > table.sequence {
		table.sequence = checkpoint.Sequence
		table.events = slices.Clone(checkpoint.Events)
	}
}

func (table *Table) checkpoint(through uint64) ([]byte, error) {
	table.mu.Lock()
	defer table.mu.Unlock()
	checkpoint := &record.GroupCheckpoint{Sequence: table.sequence, Through: through, Events: table.events, Leases: table.sortedLocked()}
	return proto.Marshal(&record.GroupRecord{Kind: &record.GroupRecord_Checkpoint{Checkpoint: checkpoint}})
}

func (table *Table) sortedLocked() []*record.LeaseEntry {
	leases := []*record.LeaseEntry{}
	for _, entry := range table.leases {
		leases = append(leases, entry.Lease)
	}
	slices.SortFunc(leases, func(a, b *record.LeaseEntry) int { return strings.Compare(a.FabricDomain, b.FabricDomain) })
	return leases
}

// Lookup returns the latest accepted lease of a domain.
func (table *Table) Lookup(domain string) (Entry, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	entry, ok := table.leases[domain]
	return entry, ok
}

// Events returns what was done to groups, oldest first.
func (table *Table) Events() []*record.GroupEvent {
	table.mu.Lock()
	defer table.mu.Unlock()
	return slices.Clone(table.events)
}

// State returns the table's part of the state dump.
func (table *Table) State() State {
	table.mu.Lock()
	defer table.mu.Unlock()
	return State{Sequence: table.sequence, Leases: table.sortedLocked(), Void: table.void, Events: len(table.events)}
}
