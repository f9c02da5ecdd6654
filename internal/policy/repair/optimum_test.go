package repair_test

import (
	"fmt"
	"math/bits"
	"os"
	"slices"
	"testing"
	"text/tabwriter"
	"time"
)

// For small domains the optimal cost is computed by exhaustive search, backwards from the end, with the whole trace
// known in advance. No policy can know the future, so the optimum is a lower bound that no policy reaches. The
// distance of a policy from it also shows what perfect foresight would be worth.

const (
	optimumServers = 6
	optimumStep    = 15 * time.Second
	optimumLength  = 20 * time.Minute
)

// groupState is one group of an allocation: its members as a bit set, its model, and the number of steps until it is
// loaded.
type groupState struct {
	members       uint8
	model         uint8
	loadStepsLeft uint8
}

// allocation is the sorted groups of one state. It is the key of the memoized costs.
type allocation [3]groupState

type optimum struct {
	trace  trace
	wanted []int
	memo   []map[allocation]float64
}

func optimalCost(trace trace) float64 {
	steps := int(optimumLength / optimumStep)
	optimum := &optimum{trace: trace, wanted: greedyCounts(trace.models, optimumServers), memo: make([]map[allocation]float64, steps)}
	for index := range optimum.memo {
		optimum.memo[index] = map[allocation]float64{}
	}
	return optimum.minCostFrom(0, allocation{})
}

// minCostFrom returns the minimum cost of the rest of the trace, starting from the given state.
func (optimum *optimum) minCostFrom(step int, state allocation) float64 {
	if step == len(optimum.memo) {
		return 0
	}
	unresponsive, restarted := optimum.failures(step)
	state = state.withoutGroups(func(group groupState) bool { return group.members&restarted != 0 })
	if cost, ok := optimum.memo[step][state]; ok {
		return cost
	}
	best := -1.0
	for retired := range 1 << len(state) {
		kept := state.retire(retired)
		if retired != 0 && kept == state {
			continue
		}
		optimum.forEachFormation(kept, unresponsive, func(next allocation) {
			cost := optimum.stepCost(next, unresponsive) + optimum.minCostFrom(step+1, next.advanceLoading())
			if best < 0 || cost < best {
				best = cost
			}
		})
	}
	optimum.memo[step][state] = best
	return best
}

// failures returns the servers that are unresponsive in a step, and those that have just come back restarted.
func (optimum *optimum) failures(step int) (unresponsive, restarted uint8) {
	now := time.Duration(step) * optimumStep
	for server, outages := range optimum.trace.outages {
		for _, outage := range outages {
			if now >= outage.from && now < outage.to {
				unresponsive |= 1 << server
			}
			if now == outage.to && !outage.intact {
				restarted |= 1 << server
			}
		}
	}
	return unresponsive, restarted
}

func (state allocation) withoutGroups(drop func(group groupState) bool) allocation {
	for index, group := range state {
		if group.members != 0 && drop(group) {
			state[index] = groupState{}
		}
	}
	return state.sorted()
}

func (state allocation) retire(retired int) allocation {
	for index := range state {
		if retired&(1<<index) != 0 {
			state[index] = groupState{}
		}
	}
	return state.sorted()
}

func (state allocation) sorted() allocation {
	slices.SortFunc(state[:], func(a, b groupState) int { return int(b.members) - int(a.members) })
	return state
}

func (state allocation) advanceLoading() allocation {
	for index := range state {
		if state[index].loadStepsLeft > 0 {
			state[index].loadStepsLeft--
		}
	}
	return state
}

// forEachFormation calls visit for every way to form groups from idle healthy servers, including none.
func (optimum *optimum) forEachFormation(state allocation, unresponsive uint8, visit func(next allocation)) {
	visit(state)
	idle := uint8(1<<optimumServers-1) &^ unresponsive
	last := uint8(0)
	for _, group := range state {
		idle &^= group.members
		if group.loadStepsLeft == loadSteps {
			last = max(last, group.members)
		}
	}
	freeSlot := slices.IndexFunc(state[:], func(group groupState) bool { return group.members == 0 })
	if freeSlot < 0 {
		return
	}
	for model := range optimum.trace.models {
		for members := uint8(1); members < 1<<optimumServers; members++ {
			// Groups formed in the same step are ordered by their members, so that no set of groups is visited twice.
			if members&^idle != 0 || members <= last || bits.OnesCount8(members) != optimum.trace.models[model].Size {
				continue
			}
			next := state
			next[freeSlot] = groupState{members: members, model: uint8(model), loadStepsLeft: loadSteps}
			optimum.forEachFormation(next.sorted(), unresponsive, visit)
		}
	}
}

const loadSteps = uint8(loadTime / optimumStep)

func (optimum *optimum) stepCost(state allocation, unresponsive uint8) float64 {
	serving, busy := make([]int, len(optimum.trace.models)), 0
	for _, group := range state {
		if group.members != 0 && group.loadStepsLeft == 0 && group.members&unresponsive == 0 {
			serving[group.model]++
			busy += bits.OnesCount8(group.members)
		}
	}
	healthy := optimumServers - bits.OnesCount8(unresponsive)
	rate := float64(healthy-busy) * optimum.trace.prices.idle
	for index, model := range optimum.trace.models {
		rate += float64(max(0, optimum.wanted[index]-serving[index])) * model.DowntimePrice
	}
	return rate * optimumStep.Seconds()
}

// roundedToSteps rounds the times of a trace to the steps of the optimum, and cuts the trace to its length.
func (trace trace) roundedToSteps() trace {
	for server, outages := range trace.outages {
		kept := []outage{}
		for _, outage := range outages {
			outage.from, outage.to = outage.from.Round(optimumStep), outage.to.Round(optimumStep)
			if outage.to > outage.from && outage.from < optimumLength && (len(kept) == 0 || kept[len(kept)-1].to < outage.from) {
				kept = append(kept, outage)
			}
		}
		trace.outages[server] = kept
	}
	return trace
}

// BenchmarkOptimum prints how far the cost of each policy is above the optimum with perfect foresight, for six
// servers.
func BenchmarkOptimum(b *testing.B) {
	const traces, outagesPerHour = 8, 2
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "USER\tPOLICY\tCOST\tABOVE THE OPTIMUM")
	for range b.N {
		for _, user := range []prices{lakeshore, viaAndina} {
			best := 0.0
			for seed := range uint64(traces) {
				best += optimalCost(drawTrace(seed+1, optimumServers, models(), user, outagesPerHour).roundedToSteps())
			}
			for _, policy := range policies {
				cost := 0.0
				for seed := range uint64(traces) {
					cost += replayTraceFor(drawTrace(seed+1, optimumServers, models(), user, outagesPerHour).roundedToSteps(), policy.decide, optimumLength).cost
				}
				_, _ = fmt.Fprintf(table, "%s\t%s\t%.0f\t%.1f %%\n", user.name, policy.name, cost, 100*(cost/best-1))
			}
		}
	}
	_ = table.Flush()
}

// Guards against a wrong optimum or a wrong replay: the optimum is a lower bound, so no policy may cost less.
func TestNoPolicyBeatsOptimum(t *testing.T) {
	for seed := range uint64(2) {
		drawn := drawTrace(seed+1, optimumServers, models(), lakeshore, 1).roundedToSteps()
		best := optimalCost(drawn)
		for _, policy := range policies {
			// A policy acts every second and the optimum only every step, so a policy may save the cost of a step at
			// each outage.
			slack := 0.0
			for _, outages := range drawn.outages {
				slack += float64(len(outages)) * optimumStep.Seconds() * 2 * (lakeshore.downtime + optimumServers)
			}
			if cost := replayTraceFor(drawn, policy.decide, optimumLength).cost; cost < best-slack-1 {
				t.Errorf("seed %d: policy %q cost %.0f, less than the optimum %.0f", seed+1, policy.name, cost, best)
			}
		}
	}
}
