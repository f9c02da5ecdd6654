package dispatch

import (
	"math"
	"time"
)

// Nodes learn of each other's calls with a delay, and all of them see the same counts. If each node sent its
// calls to the group that looks best, that group would get the calls of all nodes until the next counts arrive.
// The prompts of these calls would wait for each other, and streams at the group would stall during the prefill.
//
// A node therefore first places the calls that it expects other nodes to have sent since its counts were made:
// each goes where a first event would come soonest by then. It then draws a target by the number of these calls,
// its own included, that the target would get. With few calls, or a single node, that is the best target; with
// many, calls go to all targets in proportion to their free capacity.

// peerCountsAge is the average age of the peer counts: two frame intervals up the tree and two down.
const peerCountsAge = 120 * time.Millisecond

// candidate is a target that may be chosen, and what further calls add to its cost.
type candidate struct {
	index int
	cost  time.Duration
	// costPerCall is the cost of a call that gets a slot, costPerQueuedCall that of a call that waits for one.
	costPerCall, costPerQueuedCall float64
	// freeSlots is the number of calls that get a slot, queueSlots the number of further calls that may wait for
	// one.
	freeSlots, queueSlots float64
}

// callsUpTo returns the number of calls that raise the target's cost to a level.
func (candidate *candidate) callsUpTo(level time.Duration) float64 {
	above := float64(level - candidate.cost)
	if above <= 0 {
		return 0
	}
	calls := above / candidate.costPerCall
	if calls <= candidate.freeSlots {
		return calls
	}
	above -= candidate.freeSlots * candidate.costPerCall
	return min(candidate.freeSlots+above/candidate.costPerQueuedCall, candidate.freeSlots+candidate.queueSlots)
}

// unseenPeerCalls returns the number of calls that other nodes are expected to have sent to the targets since
// the peer counts were made.
func (board *Board) unseenPeerCalls(targets []*Target) float64 {
	nodes := board.countedNodes()
	if nodes < 2 {
		return 0
	}
	perSecond := 0.0
	for _, target := range targets {
		perSecond += target.completionRate()
	}
	return perSecond * peerCountsAge.Seconds() * float64(nodes-1) / float64(nodes)
}

// bisectionSteps is the number of bisections of the cost level; the remaining error is less than one call.
const bisectionSteps = 24

// drawBalanced returns the index of a target drawn among those whose cost isn't notSelectable, or -1 for none.
func (board *Board) drawBalanced(targets []*Target, costs []time.Duration, maxQueued int) int {
	candidates := make([]candidate, 0, len(targets))
	lowest, highest := time.Duration(math.MaxInt64), time.Duration(0)
	for index, cost := range costs {
		if cost == notSelectable {
			continue
		}
		target := targets[index]
		activeCalls := float64(target.ActiveCalls())
		free := max(0, float64(target.Slots)-activeCalls)
		room := max(0, float64(target.Slots+maxQueued)-activeCalls-free)
		candidates = append(candidates, candidate{
			index: index, cost: cost, freeSlots: free, queueSlots: room,
			costPerCall: max(1, float64(target.scaleBySlowdown(target.PassTimePerCall+target.PromptPrefillTime))), costPerQueuedCall: max(1, float64(target.scaleBySlowdown(target.measuredReleaseInterval()))),
		})
		lowest, highest = min(lowest, cost), max(highest, cost)
	}
	if len(candidates) == 0 {
		return -1
	}
	calls := board.unseenPeerCalls(targets) + 1
	low, high := lowest, highest+time.Duration(calls)*time.Second
	for range bisectionSteps {
		level := low + (high-low)/2
		if callsAtLevel(candidates, level) < calls {
			low = level
		} else {
			high = level
		}
	}
	sum := callsAtLevel(candidates, high)
	if sum <= 0 {
		return candidates[0].index
	}
	drawn := float64(board.random(drawResolution)) / drawResolution * sum
	for index := range candidates {
		drawn -= candidates[index].callsUpTo(high)
		if drawn < 0 {
			return candidates[index].index
		}
	}
	return candidates[len(candidates)-1].index
}

func callsAtLevel(candidates []candidate, level time.Duration) float64 {
	sum := 0.0
	for index := range candidates {
		sum += candidates[index].callsUpTo(level)
	}
	return sum
}
