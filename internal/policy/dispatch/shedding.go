package dispatch

import (
	"math"
	"time"

	"hazelslip/internal/policy/demand"
)

// If callers request more than a pool can run, each excess call delays others: it waits at a group, and the
// calls behind it wait longer. The counts of other nodes' calls are outdated as well, so all nodes would send to
// the one group that still seems to have a free slot.
//
// A pool therefore accepts as many calls per second as it completes, corrected by the number of free or
// overcommitted slots, the most urgent calls first. Each node admits the same fraction of each rank at random,
// computed from the demand at all nodes. While a node doesn't know the demand at other nodes, it assumes that each
// of them has the same demand as itself. The remaining calls are refused immediately instead of being late.

const (
	// correctionTime is the time over which free and overcommitted slots are evened out. It is longer than the age of
	// the peer counts, so that all nodes together don't overshoot.
	correctionTime = 200 * time.Millisecond
	// targetFill is the fraction of a pool's slots that admission aims at. Calls are never spread evenly: if all
	// slots were used on average, calls of the fuller groups would wait for a slot and miss their latency targets.
	targetFill = 0.94
	// sheddingThreshold is the fraction of a pool's slots that must be in use before any call is refused.
	sheddingThreshold = 0.8
)

// admittedFraction returns the fraction of the calls of a rank that may be sent if the pool accepts capacity
// calls per second in all.
func admittedFraction(rates [demand.Ranks]float64, rank int, capacity float64) float64 {
	rank = min(max(0, rank), demand.Ranks-1)
	for higher := range rank {
		capacity -= rates[higher]
	}
	if capacity >= rates[rank] {
		return 1
	}
	return max(0, capacity/max(1e-9, rates[rank]))
}

// capacity returns how many calls per second, from all nodes together, the targets that a call may use can
// start: the calls that end there, plus the slots that are free below targetFill, minus the calls above it. It
// is infinite while too few slots are in use for any call to be refused, and while no target is available; in
// that case Pick returns the reason.
func (board *Board) capacity(targets []*Target, now time.Duration, criteria *Criteria) float64 {
	perSecond, activeCalls, slots, checkBreakers := 0.0, 0, 0.0, breakersApply(targets, now)
	for _, target := range targets {
		if target.unavailable(now) || (checkBreakers && target.breaker.open(now)) || target.dataCentrePath.unhealthy() || !criteria.allows(target) {
			continue
		}
		calls := target.ActiveCalls()
		free, unused := max(targetFill*float64(target.Slots)-float64(calls), -float64(target.Slots)), 0.0
		if free > 0 {
			// Slow groups get few calls, so their free slots add little capacity.
			unused = free - free/target.slowdown()
			free -= unused
		}
		activeCalls, slots = activeCalls+calls, slots+float64(target.Slots)-unused
		perSecond += target.completionRate() + free/correctionTime.Seconds()
	}
	if slots == 0 || float64(activeCalls) < sheddingThreshold*slots {
		return math.Inf(1)
	}
	return perSecond
}

// Overload is the reason why a call is refused instead of sent.
type Overload struct {
	// Capacity is the number of calls per second that the pool can start, Requested the number that all nodes
	// request of it, and HigherPriority the part of Requested with a higher priority than the call.
	Capacity, Requested, HigherPriority float64
}

// ShouldShed reports whether a call of a rank should be refused because the pool can't run all requested calls.
// It must be called before RecordDemand counts the call, so that a single call doesn't look like a burst.
func (board *Board) ShouldShed(name string, rank int, criteria Criteria) (Overload, bool) {
	pool, ok := board.pool(name)
	if !ok || len(pool.targets) == 0 || pool.targets[0].PromptPrefillTime == 0 {
		return Overload{}, false
	}
	rates, known := board.demand.Rates(name)
	if !known {
		rates = rates.Times(float64(max(1, board.countedNodes())))
	}
	overload := Overload{Capacity: board.capacity(pool.targets, board.now(), &criteria)}
	for other, rate := range rates.Requested {
		overload.Requested += rate
		if other < rank {
			overload.HigherPriority += rate
		}
	}
	fraction := admittedFraction(rates.Requested, rank, overload.Capacity)
	return overload, fraction < 1 && float64(board.random(drawResolution))/drawResolution >= fraction
}

// drawResolution is the number of steps in a random fraction.
const drawResolution = 1 << 20

// RecordDemand counts a call of a rank that is requested of a pool.
func (board *Board) RecordDemand(name string, rank int) {
	board.demand.RecordRequest(name, rank)
}

// RecordRefusal counts a call that was refused because its pool had no slot for it.
func (board *Board) RecordRefusal(name string) {
	board.demand.RecordRefusal(name)
}
