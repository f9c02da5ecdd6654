package repair

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// horizon is how far ahead a way is worked out. Beyond it every way has
	// settled into about the same.
	horizon = 10 * time.Minute
	// scenarios is how many futures a way is worked out in. Every way sees the
	// same futures, so they differ by what they do and not by luck.
	scenarios = 16
	// patience is how many mean restarts a waiting group is given in a
	// forecast before it is taken apart all the same.
	patience = 2
)

// future draws when silent servers come back in one scenario.
type future struct {
	returns Returns
	random  *rand.Rand
}

func newFuture(returns Returns, scenario int) *future {
	return &future{returns: returns, random: rand.New(rand.NewPCG(uint64(scenario), 0x9e3779b97f4a7c15))}
}

// draw returns how much longer a server is silent, and whether it comes back
// as it was.
func (future *future) draw(silent time.Duration) (in time.Duration, intact bool) {
	pause, restart, _ := future.returns.after(silent)
	kind, wait := future.random.Float64(), future.random.ExpFloat64()
	mode := future.returns.Loss
	switch {
	case kind < pause:
		mode, intact = future.returns.Pause, true
	case kind < pause+restart:
		mode = future.returns.Restart
	}
	return max(time.Second, time.Duration(wait*float64(mode.Mean))), intact
}

// price is what a way costs on average over the scenarios.
func price(situation Situation, wanted []int, way way) float64 {
	count := 1
	if situation.uncertain() {
		count = scenarios
	}
	sum := 0.0
	for scenario := range count {
		sum += newForecast(situation, wanted, way, newFuture(situation.Returns, scenario)).run()
	}
	return sum / float64(count)
}

func (situation Situation) uncertain() bool {
	return len(situation.Away) > 0 || slices.ContainsFunc(situation.Groups, func(group Group) bool { return group.SilentMembers > 0 })
}

// forecast works out what a way costs in one future. Free servers are put to
// use by need, and a group that is there beyond what is wanted gives way to
// one that is wanted.
type forecast struct {
	situation Situation
	wanted    []int
	serving   []int
	loading   []event
	// free is how many idle servers there are, and held how many healthy
	// members wait in groups with a silent one.
	free    int
	held    int
	returns []time.Duration
	waits   []wait
	cost    float64
}

// event is a new group that serves from a moment on.
type event struct {
	at    time.Duration
	model int
}

// wait is a group with silent members that is not taken apart. It ends when
// all are back; it resumes if they all come back as they were.
type wait struct {
	model   int
	size    int
	silent  int
	back    time.Duration
	intact  bool
	giveUp  time.Duration
	returns []time.Duration
}

func newForecast(situation Situation, wanted []int, way way, future *future) *forecast {
	forecast := &forecast{
		situation: situation, wanted: wanted, serving: make([]int, len(situation.Models)),
		free: len(situation.Free),
	}
	for index, group := range situation.Groups {
		forecast.add(group, slices.Contains(way.retired, index), future)
	}
	for _, away := range situation.Away {
		in, _ := future.draw(away)
		forecast.returns = append(forecast.returns, in)
	}
	for index, count := range way.formed {
		for range count {
			forecast.form(index, 0)
		}
	}
	return forecast
}

func (forecast *forecast) add(group Group, retired bool, future *future) {
	index, known := forecast.situation.model(group.Model)
	waiting := wait{model: index, size: len(group.Members), silent: group.SilentMembers, intact: true}
	for range group.SilentMembers {
		in, intact := future.draw(group.Silent)
		waiting.returns = append(waiting.returns, in)
		waiting.back = max(waiting.back, in)
		waiting.intact = waiting.intact && intact
	}
	switch {
	case retired || !known:
		forecast.free += len(group.Members) - group.SilentMembers
		forecast.returns = append(forecast.returns, waiting.returns...)
	case group.SilentMembers > 0:
		waiting.giveUp = max(time.Second, time.Duration(patience*float64(forecast.situation.Returns.Restart.Mean))-group.Silent)
		forecast.held += waiting.size - waiting.silent
		forecast.waits = append(forecast.waits, waiting)
	case group.Serving:
		forecast.serving[index]++
	default:
		forecast.loading = append(forecast.loading, event{at: forecast.situation.Load, model: index})
	}
}

// form puts free servers to use. The orders of a way at its beginning may
// count on servers that a retired group frees.
func (forecast *forecast) form(index int, now time.Duration) {
	forecast.free -= forecast.situation.Models[index].Size
	forecast.loading = append(forecast.loading, event{at: now + forecast.situation.Load, model: index})
}

// run goes from event to event and adds up what the time between costs.
func (forecast *forecast) run() float64 {
	now := time.Duration(0)
	for now < horizon {
		next := forecast.next(now)
		forecast.spend(next - now)
		now = next
		forecast.happen(now)
	}
	return forecast.cost
}

// next is the moment of the next event.
func (forecast *forecast) next(now time.Duration) time.Duration {
	next := horizon
	consider := func(at time.Duration) {
		if at > now {
			next = min(next, at)
		}
	}
	for _, loading := range forecast.loading {
		consider(loading.at)
	}
	for _, at := range forecast.returns {
		consider(at)
	}
	for _, waiting := range forecast.waits {
		consider(waiting.back)
		consider(waiting.giveUp)
	}
	return next
}

// spend adds the price of a span in which nothing changes.
func (forecast *forecast) spend(span time.Duration) {
	rate := forecast.situation.Stranded * float64(forecast.free+forecast.held)
	for _, loading := range forecast.loading {
		rate += forecast.situation.Stranded * float64(forecast.situation.Models[loading.model].Size)
	}
	for index, model := range forecast.situation.Models {
		rate += model.Worth * float64(max(0, forecast.wanted[index]-forecast.serving[index]))
	}
	forecast.cost += rate * span.Seconds()
}

// happen makes the events of a moment take effect.
func (forecast *forecast) happen(now time.Duration) {
	forecast.loading = slices.DeleteFunc(forecast.loading, func(loading event) bool {
		if loading.at > now {
			return false
		}
		forecast.serving[loading.model]++
		return true
	})
	forecast.returns = slices.DeleteFunc(forecast.returns, func(at time.Duration) bool {
		if at > now {
			return false
		}
		forecast.free++
		return true
	})
	forecast.waits = slices.DeleteFunc(forecast.waits, func(waiting wait) bool {
		return forecast.end(waiting, now)
	})
	forecast.refill(now)
}

// end ends a wait: the group resumes, or its members are free.
func (forecast *forecast) end(waiting wait, now time.Duration) bool {
	healthy := waiting.size - waiting.silent
	switch {
	case waiting.back <= now && waiting.intact:
		forecast.serving[waiting.model]++
	case waiting.back <= now:
		forecast.free += waiting.size
	case waiting.giveUp <= now:
		forecast.free += healthy
		forecast.returns = append(forecast.returns, waiting.back)
	default:
		return false
	}
	forecast.held -= healthy
	return true
}

// refill forms groups from free servers: first what is wanted, for which
// groups beyond what is wanted give way, then whatever fits.
func (forecast *forecast) refill(now time.Duration) {
	for {
		counts := forecast.counts()
		index, ok := forecast.lacking(counts)
		if !ok {
			break
		}
		forecast.makeRoom(index, counts)
		forecast.form(index, now)
	}
	for {
		index, ok := neediest(forecast.situation.Models, forecast.counts(), forecast.free)
		if !ok {
			return
		}
		forecast.form(index, now)
	}
}

// counts are the groups that serve or are about to.
func (forecast *forecast) counts() []int {
	counts := slices.Clone(forecast.serving)
	for _, loading := range forecast.loading {
		counts[loading.model]++
	}
	for _, waiting := range forecast.waits {
		if waiting.intact {
			counts[waiting.model]++
		}
	}
	return counts
}

// lacking is the model worth most that lacks a wanted group and can have one.
func (forecast *forecast) lacking(counts []int) (int, bool) {
	best, found := 0, false
	for index, model := range forecast.situation.Models {
		if counts[index] >= forecast.wanted[index] || model.Size > forecast.free+forecast.surplus(counts) {
			continue
		}
		if !found || model.Worth > forecast.situation.Models[best].Worth {
			best, found = index, true
		}
	}
	return best, found
}

// surplus is how many servers are in serving groups beyond what is wanted.
func (forecast *forecast) surplus(counts []int) int {
	servers := 0
	for index, model := range forecast.situation.Models {
		servers += model.Size * min(forecast.serving[index], max(0, counts[index]-forecast.wanted[index]))
	}
	return servers
}

func (forecast *forecast) makeRoom(wanted int, counts []int) {
	for index, model := range forecast.situation.Models {
		for forecast.free < forecast.situation.Models[wanted].Size && forecast.serving[index] > 0 && counts[index] > forecast.wanted[index] {
			forecast.serving[index]--
			counts[index]--
			forecast.free += model.Size
		}
	}
}
