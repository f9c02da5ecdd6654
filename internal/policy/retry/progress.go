package retry

import (
	"math"
	"time"
)

// UnknownTime stands for an unknown time of the fleet. It is before all others.
const UnknownTime = time.Duration(math.MinInt64 / 2)

// maxProposals bounds the times of which a node waits until all nodes are known to know them.
const maxProposals = 64

// Progress tells how far the counts of some nodes go, in the fleet's time.
type Progress struct {
	// Complete is the time up to which the counts of all these nodes are complete. Newest is that of the node whose
	// counts are the newest.
	Complete, Newest time.Duration
	// Known is the time up to which all these nodes know the counts of the whole fleet, or UnknownTime.
	Known time.Duration
	// Oldest names the node whose counts are the oldest.
	Oldest string
}

// Completeness tells how far the counts of the whole fleet go, in the fleet's time.
type Completeness struct {
	// Complete is the time up to which this node knows the counts of all nodes. Agreed is the time up to which all nodes
	// know them, and this node knows what each of them sent before it did.
	Complete, Agreed time.Duration
	// Oldest names the node whose counts are the oldest.
	Oldest string
}

// Combine returns the progress of several groups of nodes together.
func Combine(progress Progress, others ...Progress) Progress {
	for _, other := range others {
		if other.Complete < progress.Complete {
			progress.Complete, progress.Oldest = other.Complete, other.Oldest
		}
		progress.Newest, progress.Known = max(progress.Newest, other.Newest), min(progress.Known, other.Known)
	}
	return progress
}

// UnknownProgress is the progress of nodes that tell none, whose counts were received at a time of the fleet.
func UnknownProgress(name string, receivedAt time.Duration) Progress {
	return Progress{Complete: receivedAt, Newest: receivedAt, Known: UnknownTime, Oldest: name}
}

// Progress returns the progress of this node, for its upstream node or another one. It is called before Own, which
// returns the counts that belong to it.
func (fleet *Fleet) Progress(upstream bool) Progress {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	position := fleet.positionLocked()
	progress := Progress{Complete: position, Newest: position, Known: fleet.completeness.Complete, Oldest: fleet.name}
	if upstream && fleet.independent {
		// What a node has added up by itself says nothing about the fleet that it attaches to.
		progress.Known = UnknownTime
	}
	return progress
}

// Snapshot is what a node knows of the counts of all nodes at one moment.
type Snapshot struct {
	Counts       Totals
	Position     time.Duration
	Coverage     Coverage
	Completeness Completeness
}

// Snapshot returns what this node knows of the counts of all nodes: in the slots that nodes report now, or in all slots
// that are kept.
func (fleet *Fleet) Snapshot(recentOnly bool) Snapshot {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return Snapshot{Counts: fleet.allLocked(recentOnly), Position: fleet.positionLocked(), Coverage: fleet.coverage, Completeness: fleet.completeness}
}

// Inform applies the completeness that the upstream node sends with the counts of the whole fleet.
func (fleet *Fleet) Inform(received Completeness) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if !fleet.independent {
		received.Complete, received.Agreed = max(received.Complete, fleet.completeness.Complete), max(received.Agreed, fleet.completeness.Agreed)
	}
	fleet.completeness, fleet.independent = received, false
}

// observeLocked derives the completeness from the progress of all nodes that this node hears of.
func (fleet *Fleet) observeLocked(others []Progress) {
	position := fleet.positionLocked()
	all := Progress{Complete: position, Newest: position, Known: math.MaxInt64, Oldest: fleet.name}
	for _, other := range others {
		// A process that has just started tells its own time until it has heard of the fleet's.
		if other.Newest > position-fleet.allowance.Window {
			all = Combine(all, other)
		}
	}
	// This node itself knows the counts up to the time at which they are complete.
	all.Known = min(all.Known, all.Complete)
	completeness := &fleet.completeness
	if !fleet.independent {
		*completeness, fleet.proposals, fleet.independent = Completeness{Agreed: UnknownTime}, nil, true
	}
	completeness.Complete, completeness.Oldest = all.Complete, all.Oldest
	if last := len(fleet.proposals) - 1; last < 0 || all.Known > fleet.proposals[last].Known {
		fleet.proposals = append(fleet.proposals, all)
	}
	agreed := 0
	for ; agreed < len(fleet.proposals) && fleet.proposals[agreed].Newest <= all.Complete; agreed++ {
		completeness.Agreed = max(completeness.Agreed, fleet.proposals[agreed].Known)
	}
	fleet.proposals = fleet.proposals[max(agreed, len(fleet.proposals)-maxProposals):]
}

// ageLocked returns the age of a time of the fleet in milliseconds, -1 if the time is unknown.
func (fleet *Fleet) ageLocked(at time.Duration) int64 {
	if at < -fleet.allowance.Window {
		return -1
	}
	return (fleet.positionLocked() - at).Milliseconds()
}

// CompleteAge returns the age of the time up to which this node knows the counts of all nodes, in milliseconds, -1 if
// there is none.
func (fleet *Fleet) CompleteAge() int64 {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.ageLocked(fleet.completeness.Complete)
}
