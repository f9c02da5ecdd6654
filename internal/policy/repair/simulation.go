package repair

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// simulationHorizon is how far ahead an alternative is simulated. Beyond it, all alternatives have reached about
	// the same state.
	simulationHorizon = 10 * time.Minute
	// scenarioCount is how many random scenarios an alternative is simulated in. All alternatives see the same
	// scenarios, so that their costs differ by their actions and not by chance.
	scenarioCount = 16
	// giveUpAfterRestarts is how many mean restart times a simulation waits for a group before it is retired
	// nevertheless.
	giveUpAfterRestarts = 2
)

// recoverySampler draws when unresponsive servers come back in one scenario.
type recoverySampler struct {
	recovery Recovery
	random   *rand.Rand
}

func newRecoverySampler(recovery Recovery, scenario int) *recoverySampler {
	return &recoverySampler{recovery: recovery, random: rand.New(rand.NewPCG(uint64(scenario), 0x9e3779b97f4a7c15))}
}

// sample returns how much longer a server stays unresponsive, and whether it comes back in its previous state.
func (recoverySampler *recoverySampler) sample(unresponsiveFor time.Duration) (delay time.Duration, intact bool) {
	pause, restart, _ := recoverySampler.recovery.posterior(unresponsiveFor)
	draw, wait := recoverySampler.random.Float64(), recoverySampler.random.ExpFloat64()
	mode := recoverySampler.recovery.Loss
	switch {
	case draw < pause:
		mode, intact = recoverySampler.recovery.Pause, true
	case draw < pause+restart:
		mode = recoverySampler.recovery.Restart
	}
	return max(time.Second, time.Duration(wait*float64(mode.Mean))), intact
}

// expectedCost returns the mean cost of an alternative over the scenarios.
func expectedCost(domainState DomainState, wanted []int, alternative alternative) float64 {
	count := 1
	if domainState.hasUnresponsive() {
		count = scenarioCount
	}
	sum := 0.0
	for scenario := range count {
		sum += newSimulation(domainState, wanted, alternative, newRecoverySampler(domainState.Recovery, scenario)).run()
	}
	return sum / float64(count)
}

func (domainState DomainState) hasUnresponsive() bool {
	return len(domainState.Unresponsive) > 0 || slices.ContainsFunc(domainState.Groups, func(group Group) bool { return group.UnresponsiveMembers > 0 })
}

// simulation computes the cost of an alternative in one scenario. Free servers are allocated by value, and groups
// beyond the wanted number are retired in favour of wanted ones.
type simulation struct {
	state   DomainState
	wanted  []int
	serving []int
	loading []loadingGroup
	// free is the number of idle servers. heldMembers is the number of healthy members in groups that wait for an
	// unresponsive one.
	free        int
	heldMembers int
	recoveries  []time.Duration
	waiting     []waitingGroup
	cost        float64
}

// loadingGroup is a new group that starts to serve at readyAt.
type loadingGroup struct {
	readyAt time.Duration
	model   int
}

// waitingGroup is a group with unresponsive members that is not retired. The wait ends when all members are back. The
// group resumes if all of them come back in their previous state.
type waitingGroup struct {
	model        int
	size         int
	unresponsive int
	recoveredAt  time.Duration
	intact       bool
	giveUpAt     time.Duration
	recoveries   []time.Duration
}

func newSimulation(domainState DomainState, wanted []int, alternative alternative, recoverySampler *recoverySampler) *simulation {
	simulation := &simulation{
		state: domainState, wanted: wanted, serving: make([]int, len(domainState.Models)),
		free: len(domainState.Free),
	}
	for index, group := range domainState.Groups {
		simulation.addGroup(group, slices.Contains(alternative.retiredGroups, index), recoverySampler)
	}
	for _, unresponsiveFor := range domainState.Unresponsive {
		delay, _ := recoverySampler.sample(unresponsiveFor)
		simulation.recoveries = append(simulation.recoveries, delay)
	}
	for index, count := range alternative.formedPerModel {
		for range count {
			simulation.form(index, 0)
		}
	}
	return simulation
}

func (simulation *simulation) addGroup(group Group, retired bool, recoverySampler *recoverySampler) {
	index, known := simulation.state.modelIndex(group.Model)
	waiting := waitingGroup{model: index, size: len(group.Members), unresponsive: group.UnresponsiveMembers, intact: true}
	for range group.UnresponsiveMembers {
		delay, intact := recoverySampler.sample(group.UnresponsiveFor)
		waiting.recoveries = append(waiting.recoveries, delay)
		waiting.recoveredAt = max(waiting.recoveredAt, delay)
		waiting.intact = waiting.intact && intact
	}
	switch {
	case retired || !known:
		simulation.free += len(group.Members) - group.UnresponsiveMembers
		simulation.recoveries = append(simulation.recoveries, waiting.recoveries...)
	case group.UnresponsiveMembers > 0:
		waiting.giveUpAt = max(time.Second, time.Duration(giveUpAfterRestarts*float64(simulation.state.Recovery.Restart.Mean))-group.UnresponsiveFor)
		simulation.heldMembers += waiting.size - waiting.unresponsive
		simulation.waiting = append(simulation.waiting, waiting)
	case group.Serving:
		simulation.serving[index]++
	default:
		simulation.loading = append(simulation.loading, loadingGroup{readyAt: simulation.state.LoadTime, model: index})
	}
}

// form allocates free servers to a new group. The free count may become negative for the first actions of an
// alternative, which may count on servers of a retired group.
func (simulation *simulation) form(index int, now time.Duration) {
	simulation.free -= simulation.state.Models[index].Size
	simulation.loading = append(simulation.loading, loadingGroup{readyAt: now + simulation.state.LoadTime, model: index})
}

// run advances from event to event and adds up the cost of the time in between.
func (simulation *simulation) run() float64 {
	now := time.Duration(0)
	for now < simulationHorizon {
		next := simulation.nextEvent(now)
		simulation.accrueCost(next - now)
		now = next
		simulation.applyEvents(now)
	}
	return simulation.cost
}

// nextEvent returns the time of the next event.
func (simulation *simulation) nextEvent(now time.Duration) time.Duration {
	next := simulationHorizon
	consider := func(at time.Duration) {
		if at > now {
			next = min(next, at)
		}
	}
	for _, loading := range simulation.loading {
		consider(loading.readyAt)
	}
	for _, at := range simulation.recoveries {
		consider(at)
	}
	for _, waiting := range simulation.waiting {
		consider(waiting.recoveredAt)
		consider(waiting.giveUpAt)
	}
	return next
}

// accrueCost adds the cost of a time span without events.
func (simulation *simulation) accrueCost(span time.Duration) {
	rate := simulation.state.IdlePrice * float64(simulation.free+simulation.heldMembers)
	for _, loading := range simulation.loading {
		rate += simulation.state.IdlePrice * float64(simulation.state.Models[loading.model].Size)
	}
	for index, model := range simulation.state.Models {
		rate += model.DowntimePrice * float64(max(0, simulation.wanted[index]-simulation.serving[index]))
	}
	simulation.cost += rate * span.Seconds()
}

// applyEvents applies all events that are due.
func (simulation *simulation) applyEvents(now time.Duration) {
	simulation.loading = slices.DeleteFunc(simulation.loading, func(loading loadingGroup) bool {
		if loading.readyAt > now {
			return false
		}
		simulation.serving[loading.model]++
		return true
	})
	simulation.recoveries = slices.DeleteFunc(simulation.recoveries, func(at time.Duration) bool {
		if at > now {
			return false
		}
		simulation.free++
		return true
	})
	simulation.waiting = slices.DeleteFunc(simulation.waiting, func(waiting waitingGroup) bool {
		return simulation.endWait(waiting, now)
	})
	simulation.refill(now)
}

// endWait ends the wait of a group if it is over: the group resumes, or its members become free.
func (simulation *simulation) endWait(waiting waitingGroup, now time.Duration) bool {
	healthy := waiting.size - waiting.unresponsive
	switch {
	case waiting.recoveredAt <= now && waiting.intact:
		simulation.serving[waiting.model]++
	case waiting.recoveredAt <= now:
		simulation.free += waiting.size
	case waiting.giveUpAt <= now:
		simulation.free += healthy
		simulation.recoveries = append(simulation.recoveries, waiting.recoveredAt)
	default:
		return false
	}
	simulation.heldMembers -= healthy
	return true
}

// refill forms groups from free servers: first the wanted ones, for which surplus groups are retired, then any that
// fit.
func (simulation *simulation) refill(now time.Duration) {
	for {
		counts := simulation.activeGroups()
		index, ok := simulation.mostValuableMissing(counts)
		if !ok {
			break
		}
		simulation.retireSurplus(index, counts)
		simulation.form(index, now)
	}
	for {
		index, ok := mostValuableModel(simulation.state.Models, simulation.activeGroups(), simulation.free)
		if !ok {
			return
		}
		simulation.form(index, now)
	}
}

// activeGroups counts the groups of each model that serve or are about to serve.
func (simulation *simulation) activeGroups() []int {
	counts := slices.Clone(simulation.serving)
	for _, loading := range simulation.loading {
		counts[loading.model]++
	}
	for _, waiting := range simulation.waiting {
		if waiting.intact {
			counts[waiting.model]++
		}
	}
	return counts
}

// mostValuableMissing returns the model with the highest downtime price that lacks a wanted group and has enough
// servers for one.
func (simulation *simulation) mostValuableMissing(counts []int) (int, bool) {
	best, found := 0, false
	for index, model := range simulation.state.Models {
		if counts[index] >= simulation.wanted[index] || model.Size > simulation.free+simulation.surplus(counts) {
			continue
		}
		if !found || model.DowntimePrice > simulation.state.Models[best].DowntimePrice {
			best, found = index, true
		}
	}
	return best, found
}

// surplus returns the number of servers in serving groups beyond the wanted number.
func (simulation *simulation) surplus(counts []int) int {
	servers := 0
	for index, model := range simulation.state.Models {
		servers += model.Size * min(simulation.serving[index], max(0, counts[index]-simulation.wanted[index]))
	}
	return servers
}

func (simulation *simulation) retireSurplus(wanted int, counts []int) {
	for index, model := range simulation.state.Models {
		for simulation.free < simulation.state.Models[wanted].Size && simulation.serving[index] > 0 && counts[index] > simulation.wanted[index] {
			simulation.serving[index]--
			counts[index]--
			simulation.free += model.Size
		}
	}
}
