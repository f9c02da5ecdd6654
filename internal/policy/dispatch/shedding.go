package dispatch

import (
	"math"
	"time"

	"hazelslip/internal/policy/demand"
)

// When callers ask for more than a pool can run, each call beyond that makes others late: it waits at
// a group, and those behind it wait longer. Counts of other nodes' calls are late as well, so all nodes
// would send to the one group that still seems to have a place.
//
// So a pool takes as many calls a second as it finishes, corrected by how many places are free or
// overdrawn, and the most urgent first. Each node admits the same part by lot, from how many calls of each rank
// all nodes are asked for; while a node doesn't know that, it takes the others to be asked for as much as
// itself. The others are refused at once, in place of being late.

const (
	// correctedOver is the time over which free and overdrawn places are evened out. It is
	// some times the age of the counts, so that all nodes together don't overshoot.
	correctedOver = 200 * time.Millisecond
	// filledTo is the part of a pool's places that admission aims at. Calls are never spread quite
	// evenly: at an average of all places, calls of the fuller groups wait for one and miss their target.
	filledTo = 0.94
	// shedFrom is the part of a pool's places that is taken before any call is refused.
	shedFrom = 0.8
)

// admitted returns the part of the calls of a rank that may be sent where a pool takes so many
// a second of all.
func admitted(rates [demand.Ranks]float64, rank int, capacity float64) float64 {
	rank = min(max(0, rank), demand.Ranks-1)
	for number := range rank {
		capacity -= rates[number]
	}
	if capacity >= rates[rank] {
		return 1
	}
	return max(0, capacity/max(1e-9, rates[rank]))
}

// capacity is how many calls a second the targets that a call may use can begin, for all nodes together: as many
// as end there, and those for which places are free up to the part that is aimed at, less those that are beyond it. It is without
// bound while too few places are taken for any call to be refused, and where no target is open: then the choice
// of a target says why.
func (board *Board) capacity(targets []*Target, now time.Duration, wish *Wish) float64 {
	perSecond, taken, slots, trusted := 0.0, 0, 0.0, trustBreakers(targets, now)
	for _, target := range targets {
		if target.closed(now) || (trusted && target.breaker.open(now)) || target.centre.away() || !wish.allows(target) {
			continue
		}
		calls := target.Taken()
		free, unused := max(filledTo*float64(target.Slots)-float64(calls), -float64(target.Slots)), 0.0
		if free > 0 {
			// Calls pass a slow group by, and its free places make no room for them.
			unused = free - free/target.slower()
			free -= unused
		}
		taken, slots = taken+calls, slots+float64(target.Slots)-unused
		perSecond += target.endsPerSecond() + free/correctedOver.Seconds()
	}
	if slots == 0 || float64(taken) < shedFrom*slots {
		return math.Inf(1)
	}
	return perSecond
}

// Overload is why a call is refused in place of being sent.
type Overload struct {
	// Capacity is how many calls a second the pool can begin, Asked how many are asked of it by all nodes, and
	// Before how many of these go first.
	Capacity, Asked, Before float64
}

// Sheds says whether a call of a rank should be refused, since its pool can't run all that is asked of it. It
// is to be asked before the call itself is counted: one call is no burst.
func (board *Board) Sheds(name string, rank int, wish Wish) (Overload, bool) {
	filled, ok := board.pool(name)
	if !ok || len(filled.targets) == 0 || filled.targets[0].PerPrompt == 0 {
		return Overload{}, false
	}
	rates, known := board.demand.Rates(name)
	if !known {
		rates = rates.Times(float64(max(1, board.counted())))
	}
	overload := Overload{Capacity: board.capacity(filled.targets, board.now(), &wish)}
	for number, rate := range rates.Requested {
		overload.Asked += rate
		if number < rank {
			overload.Before += rate
		}
	}
	part := admitted(rates.Requested, rank, overload.Capacity)
	return overload, part < 1 && float64(board.random(draws))/draws >= part
}

// draws is how finely shares are drawn.
const draws = 1 << 20

// Asked counts a call of a rank that a pool is asked for.
func (board *Board) Asked(name string, rank int) {
	board.demand.RecordRequest(name, rank)
}

// Refused counts a call that was refused since its pool had no slot for it.
func (board *Board) Refused(name string) {
	board.demand.RecordRefusal(name)
}
