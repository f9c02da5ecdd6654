package dispatch

import (
	"math"
	"sync"
	"time"
)

// When callers ask for more than a pool can run, each call beyond that makes others late: it waits at
// a group, and those behind it wait longer. Counts of other nodes' calls are late as well, so all nodes
// would send to the one group that still seems to have a place.
//
// So a pool takes as many calls a second as it finishes, corrected by how many places are free or
// overdrawn, and the most urgent first. Each node admits its part by lot, from how many calls of each rank
// it was asked for itself. The others are refused at once, in place of being late.

const (
	// askedOver is the time over which the calls that were asked for are averaged.
	askedOver = 500 * time.Millisecond
	// correctedOver is the time over which free and overdrawn places are evened out. It is
	// some times the age of the counts, so that all nodes together don't overshoot.
	correctedOver = 200 * time.Millisecond
	// crowdedFrom is the part of a pool's places that is taken before any call is refused.
	crowdedFrom = 0.8
	// ranksKept is how many ranks of urgency are told apart.
	ranksKept = 12
)

// asked is how many calls a second were asked for at this node, by rank.
type asked struct {
	mu    sync.Mutex
	rates [ranksKept]float64
	at    time.Duration
}

// note counts a call and returns the rates.
func (asked *asked) note(rank int, now time.Duration) [ranksKept]float64 {
	asked.mu.Lock()
	defer asked.mu.Unlock()
	faded := math.Exp(-float64(now-asked.at) / float64(askedOver))
	for number := range asked.rates {
		asked.rates[number] *= faded
	}
	asked.at = now
	asked.rates[min(max(0, rank), ranksKept-1)] += float64(time.Second) / float64(askedOver)
	return asked.rates
}

// admitted returns the part of the calls of a rank that may be sent where a pool takes so many
// a second of all.
func admitted(rates [ranksKept]float64, rank int, capacity float64) float64 {
	rank = min(max(0, rank), ranksKept-1)
	for number := range rank {
		capacity -= rates[number]
	}
	if capacity >= rates[rank] {
		return 1
	}
	return max(0, capacity/max(1e-9, rates[rank]))
}

// takes is how many calls a second the targets take of all nodes together: as many as end there, and those
// for which places are free, less those that are beyond their places. It is without bound while too few
// places are taken for any call to be refused, and where no target is open: then the choice of a target says why.
func (board *Board) takes(targets []*Target, now time.Duration) float64 {
	perSecond, taken, slots, trusted := 0.0, 0, 0, trustBreakers(targets, now)
	for _, target := range targets {
		if target.closed(now) || (trusted && target.breaker.open(now)) || target.reach.away() {
			continue
		}
		calls := target.Taken()
		taken, slots = taken+calls, slots+target.Slots
		perSecond += target.endsPerSecond() + float64(max(target.Slots-calls, -target.Slots))/correctedOver.Seconds()
	}
	if slots == 0 || float64(taken) < crowdedFrom*float64(slots) {
		return math.Inf(1)
	}
	return perSecond
}

// Crowded says whether a call of a rank that was just asked for should be refused, since the pool can't run all
// that is asked for.
func (board *Board) Crowded(name string, rank int) bool {
	filled, ok := board.pool(name)
	if !ok || len(filled.targets) == 0 || filled.targets[0].PerPrompt == 0 {
		return false
	}
	now := board.now()
	rates := board.asked(name).note(rank, now)
	part := admitted(rates, rank, board.takes(filled.targets, now)/float64(max(1, board.nodes())))
	return part < 1 && float64(board.random(1<<20))/(1<<20) >= part
}

func (board *Board) asked(name string) *asked {
	held, _ := board.askedBy.LoadOrStore(name, &asked{})
	found, _ := held.(*asked)
	return found
}
