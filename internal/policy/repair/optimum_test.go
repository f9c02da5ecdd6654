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

// The optimum is worked out for small domains by trying everything, backwards
// from the end, with the whole trace known beforehand. No policy can know what
// comes, so the optimum is a bound that cannot be reached; how far a policy
// stays above it also says what foresight would be worth.

const (
	optimumServers = 6
	optimumStep    = 15 * time.Second
	optimumLength  = 20 * time.Minute
)

// held is one group of a state: its members as bits, and how many steps it
// still loads.
type held struct {
	members uint8
	model   uint8
	loads   uint8
}

// plan is the groups of a state, ordered. It is the key of what was worked out.
type plan [3]held

type optimum struct {
	trace  trace
	wanted []int
	known  []map[plan]float64
}

func bestCost(trace trace) float64 {
	steps := int(optimumLength / optimumStep)
	optimum := &optimum{trace: trace, wanted: fillPlain(trace.models, optimumServers), known: make([]map[plan]float64, steps)}
	for index := range optimum.known {
		optimum.known[index] = map[plan]float64{}
	}
	return optimum.from(0, plan{})
}

// from is what the rest of the trace costs at least, from a state on.
func (optimum *optimum) from(index int, state plan) float64 {
	if index == len(optimum.known) {
		return 0
	}
	away, restarted := optimum.failures(index)
	state = state.without(func(group held) bool { return group.members&restarted != 0 })
	if cost, ok := optimum.known[index][state]; ok {
		return cost
	}
	best := -1.0
	for retired := range 1 << len(state) {
		kept := state.keep(retired)
		if retired != 0 && kept == state {
			continue
		}
		optimum.form(kept, away, func(next plan) {
			cost := optimum.pay(next, away) + optimum.from(index+1, next.loaded())
			if best < 0 || cost < best {
				best = cost
			}
		})
	}
	optimum.known[index][state] = best
	return best
}

// failures returns who is away in a step, and who has just come back restarted.
func (optimum *optimum) failures(index int) (away, restarted uint8) {
	now := time.Duration(index) * optimumStep
	for server, outages := range optimum.trace.outages {
		for _, outage := range outages {
			if now >= outage.from && now < outage.to {
				away |= 1 << server
			}
			if now == outage.to && !outage.intact {
				restarted |= 1 << server
			}
		}
	}
	return away, restarted
}

func (state plan) without(drop func(group held) bool) plan {
	for index, group := range state {
		if group.members != 0 && drop(group) {
			state[index] = held{}
		}
	}
	return state.ordered()
}

func (state plan) keep(retired int) plan {
	for index := range state {
		if retired&(1<<index) != 0 {
			state[index] = held{}
		}
	}
	return state.ordered()
}

func (state plan) ordered() plan {
	slices.SortFunc(state[:], func(a, b held) int { return int(b.members) - int(a.members) })
	return state
}

func (state plan) loaded() plan {
	for index := range state {
		if state[index].loads > 0 {
			state[index].loads--
		}
	}
	return state
}

// form tries every way to put idle healthy servers into new groups.
func (optimum *optimum) form(state plan, away uint8, try func(next plan)) {
	try(state)
	idle := uint8(1<<optimumServers-1) &^ away
	last := uint8(0)
	for _, group := range state {
		idle &^= group.members
		if group.loads == loadSteps {
			last = max(last, group.members)
		}
	}
	free := slices.IndexFunc(state[:], func(group held) bool { return group.members == 0 })
	if free < 0 {
		return
	}
	for model := range optimum.trace.models {
		for members := uint8(1); members < 1<<optimumServers; members++ {
			// Groups of one step are formed in the order of their members, so
			// that no set of them is tried twice.
			if members&^idle != 0 || members <= last || bits.OnesCount8(members) != optimum.trace.models[model].Size {
				continue
			}
			next := state
			next[free] = held{members: members, model: uint8(model), loads: loadSteps}
			optimum.form(next.ordered(), away, try)
		}
	}
}

const loadSteps = uint8(load / optimumStep)

func (optimum *optimum) pay(state plan, away uint8) float64 {
	serving, busy := make([]int, len(optimum.trace.models)), 0
	for _, group := range state {
		if group.members != 0 && group.loads == 0 && group.members&away == 0 {
			serving[group.model]++
			busy += bits.OnesCount8(group.members)
		}
	}
	healthy := optimumServers - bits.OnesCount8(away)
	rate := float64(healthy-busy) * optimum.trace.prices.stranded
	for index, model := range optimum.trace.models {
		rate += float64(max(0, optimum.wanted[index]-serving[index])) * model.Worth
	}
	return rate * optimumStep.Seconds()
}

// rounded moves a trace's moments onto the steps of the optimum and cuts it to
// its length.
func (trace trace) rounded() trace {
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

// BenchmarkOptimum prints what each policy costs above the clairvoyant optimum
// of six servers.
func BenchmarkOptimum(b *testing.B) {
	const traces, hourly = 8, 2
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "USER\tPOLICY\tCOST\tABOVE THE OPTIMUM")
	for range b.N {
		for _, user := range []prices{lakeshore, viaAndina} {
			best := 0.0
			for seed := range uint64(traces) {
				best += bestCost(drawTrace(seed+1, optimumServers, models(), user, hourly).rounded())
			}
			for _, policy := range policies {
				cost := 0.0
				for seed := range uint64(traces) {
					cost += playFor(drawTrace(seed+1, optimumServers, models(), user, hourly).rounded(), policy.decide, optimumLength).cost
				}
				_, _ = fmt.Fprintf(table, "%s\t%s\t%.0f\t%.1f %%\n", user.name, policy.name, cost, 100*(cost/best-1))
			}
		}
	}
	_ = table.Flush()
}

// The bound must be one: no policy may come out below the optimum, or one of
// the two is wrong.
func TestNoPolicyBeatsTheOptimum(t *testing.T) {
	for seed := range uint64(2) {
		drawn := drawTrace(seed+1, optimumServers, models(), lakeshore, 1).rounded()
		best := bestCost(drawn)
		for _, policy := range policies {
			// A policy acts each second and the optimum each step, so it may
			// gain a step's cost at each outage.
			slack := 0.0
			for _, outages := range drawn.outages {
				slack += float64(len(outages)) * optimumStep.Seconds() * 2 * (lakeshore.downtime + optimumServers)
			}
			if cost := playFor(drawn, policy.decide, optimumLength).cost; cost < best-slack-1 {
				t.Errorf("seed %d: %s cost %.0f, the optimum %.0f", seed+1, policy.name, cost, best)
			}
		}
	}
}
