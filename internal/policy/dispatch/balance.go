package dispatch

import (
	"math"
	"time"
)

// Nodes hear of each other's calls with a delay, and all of them see the same counts. If each
// sent its calls to the group that looks best, that group would get whatever all nodes send
// until the next counts come, its prompts would wait for each other, and streams that run there
// would pause while they are read.
//
// So a node first places the calls that it expects the others to have sent since the counts
// that it has: each goes where a first event would come soonest by then. It then draws a target
// by how many of these calls, its own one included, it would get. With few calls, or with
// one node, that is the best target; with many, calls go to all targets in proportion to the
// room that they have.

// countsAge is how old the counts of other nodes' calls are on average: two intervals of
// frames up the tree and two down.
const countsAge = 120 * time.Millisecond

// candidate is a target that may be chosen, and what further calls add to its cost.
type candidate struct {
	number int
	cost   time.Duration
	// each is what a call with a place adds, queued what one beyond the places does.
	each, queued float64
	// free is how many calls have a place, room how many more may wait for one.
	free, room float64
}

// callsTo returns how many calls bring the target's cost to a level.
func (candidate *candidate) callsTo(level time.Duration) float64 {
	above := float64(level - candidate.cost)
	if above <= 0 {
		return 0
	}
	calls := above / candidate.each
	if calls <= candidate.free {
		return calls
	}
	above -= candidate.free * candidate.each
	return min(candidate.free+above/candidate.queued, candidate.free+candidate.room)
}

// unseen is how many calls other nodes are expected to have sent to the targets since the
// counts that this node has.
func (board *Board) unseen(targets []*Target) float64 {
	nodes := board.counted()
	if nodes < 2 {
		return 0
	}
	perSecond := 0.0
	for _, target := range targets {
		perSecond += target.endsPerSecond()
	}
	return perSecond * countsAge.Seconds() * float64(nodes-1) / float64(nodes)
}

// bisections is how often the level is halved, which leaves less than a call.
const bisections = 24

// spread draws a target among those whose cost isn't never, and returns its place, -1 for none.
func (board *Board) spread(targets []*Target, costs []time.Duration, beyond int) int {
	candidates := make([]candidate, 0, len(targets))
	lowest, highest := time.Duration(math.MaxInt64), time.Duration(0)
	for number, cost := range costs {
		if cost == never {
			continue
		}
		target := targets[number]
		taken := float64(target.Taken())
		free := max(0, float64(target.Slots)-taken)
		room := max(0, float64(target.Slots+beyond)-taken-free)
		candidates = append(candidates, candidate{
			number: number, cost: cost, free: free, room: room,
			each: max(1, float64(target.slowed(target.PerCall+target.PerPrompt))), queued: max(1, float64(target.slowed(target.learntTurnover()))),
		})
		lowest, highest = min(lowest, cost), max(highest, cost)
	}
	if len(candidates) == 0 {
		return -1
	}
	calls := board.unseen(targets) + 1
	low, high := lowest, highest+time.Duration(calls)*time.Second
	for range bisections {
		level := low + (high-low)/2
		if total(candidates, level) < calls {
			low = level
		} else {
			high = level
		}
	}
	sum := total(candidates, high)
	if sum <= 0 {
		return candidates[0].number
	}
	drawn := float64(board.random(draws)) / draws * sum
	for number := range candidates {
		drawn -= candidates[number].callsTo(high)
		if drawn < 0 {
			return candidates[number].number
		}
	}
	return candidates[len(candidates)-1].number
}

func total(candidates []candidate, level time.Duration) float64 {
	sum := 0.0
	for number := range candidates {
		sum += candidates[number].callsTo(level)
	}
	return sum
}
