// Package lease decides which node may give orders to backend servers that ignore fencing tokens, and keeps a
// history of what was done to replica groups and why.
//
// A Table is the state machine of a data centre's Groups stream. A lease record names the term that it follows (the
// base term). The first lease record for a base term is accepted and starts the next term. The state machine itself
// uses no time, and nodes share no clock: the holder counts its lease from before it sent the record, and all other
// nodes count from after they read it. The holder therefore always stops first. All nodes count boot time, which
// continues while a machine sleeps.
//
// A node acquires a lease only when it has to give an order, and does not renew it while there are no orders. An idle
// domain therefore causes no appends.
//
// # Usage
//
//	table := lease.New(clock.Boot)
//	manager := lease.Manager{Incarnation: incarnation, Table: table, Append: follower.Append, ...}
//	if err := manager.Acquire(ctx, "domain-1"); err == nil && manager.Holds("domain-1") { ... }
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

const maxEvents = 512

// Entry is the latest accepted lease of a domain. ReadAt is when this node applied it.
type Entry struct {
	Lease  *record.LeaseEntry
	ReadAt time.Duration
}

// State is the part of a Table in the state dump.
type State struct {
	Sequence uint64
	Leases   []*record.LeaseEntry
	// Void counts the lease records that were rejected.
	Void   uint64
	Events int
}

// Table applies a data centre's Groups stream.
type Table struct {
	now clock.Now

	mu       sync.Mutex
	leases   map[string]Entry
	events   []*record.GroupEvent
	sequence uint64
	rejected uint64
}

// New returns an empty table.
func New(now clock.Now) *Table {
	return &Table{now: now, leases: map[string]Entry{}}
}

// StateMachine returns the functions that apply the records of the stream to the table.
func (table *Table) StateMachine() stream.StateMachine {
	return stream.StateMachine{Decode: table.decode, Snapshot: table.encodeCheckpoint}
}

func (table *Table) decode(body []byte) (stream.Decoded, error) {
	var decoded record.GroupRecord
	if err := proto.Unmarshal(body, &decoded); err != nil {
		return stream.Decoded{}, errors.Wrap(err, "decode record of stream Groups")
	}
	switch kind := decoded.Kind.(type) {
	case *record.GroupRecord_Lease:
		return stream.Decoded{Apply: func(uint64) { table.applyLease(kind.Lease) }}, nil
	case *record.GroupRecord_Event:
		return stream.Decoded{Apply: func(uint64) { table.applyEvent(kind.Event) }}, nil
	case *record.GroupRecord_Checkpoint:
		return stream.Decoded{
			Checkpoint: true, Through: kind.Checkpoint.Through,
			Apply: func(uint64) { table.applyCheckpoint(kind.Checkpoint) },
		}, nil
	}
	return stream.Decoded{}, errors.New("decode record of stream Groups: unknown kind")
}

// applyLease accepts a lease if its base term is the current term, and rejects it otherwise.
func (table *Table) applyLease(lease *record.Lease) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.sequence++
	if table.leases[lease.FabricDomain].Lease.GetTerm() != lease.BaseTerm {
		table.rejected++
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
	if len(table.events) > maxEvents {
		table.events = table.events[1:]
	}
}

// applyCheckpoint takes the leases that have a higher term than the ones in the table. This node counts a lease from a
// checkpoint from now, however old the lease is. The node may wait too long, but never gives orders too early.
func (table *Table) applyCheckpoint(checkpoint *record.GroupCheckpoint) {
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

func (table *Table) encodeCheckpoint(through uint64) ([]byte, error) {
	table.mu.Lock()
	defer table.mu.Unlock()
	checkpoint := &record.GroupCheckpoint{Sequence: table.sequence, Through: through, Events: table.events, Leases: table.sortedLeasesLocked()}
	return proto.Marshal(&record.GroupRecord{Kind: &record.GroupRecord_Checkpoint{Checkpoint: checkpoint}})
}

func (table *Table) sortedLeasesLocked() []*record.LeaseEntry {
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

// Events returns the events of groups, oldest first.
func (table *Table) Events() []*record.GroupEvent {
	table.mu.Lock()
	defer table.mu.Unlock()
	return slices.Clone(table.events)
}

// State returns the table's part of the state dump.
func (table *Table) State() State {
	table.mu.Lock()
	defer table.mu.Unlock()
	return State{Sequence: table.sequence, Leases: table.sortedLeasesLocked(), Void: table.rejected, Events: len(table.events)}
}
