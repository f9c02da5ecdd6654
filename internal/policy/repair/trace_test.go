package repair_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hazelslip/internal/policy/repair"
)

// A trace is the outages of the servers of one domain, drawn from the kinds of failures in the requirements. The
// benchmark replays traces with a policy in steps of a second. It covers only the policy and its inputs, without
// nodes or a network.

const (
	traceLength = 2 * time.Hour
	replayStep  = time.Second
	loadTime    = 30 * time.Second
)

// outage is a time span in which a server does not respond. Afterwards the server is in its previous state if intact
// is set, and restarted otherwise.
type outage struct {
	from, to time.Duration
	intact   bool
}

type trace struct {
	models  []repair.Model
	prices  prices
	outages [][]outage
}

type prices struct {
	name           string
	downtime, idle float64
}

// Prices of the two users.
var (
	lakeshore = prices{"Lakeshore", 8, 1}
	viaAndina = prices{"Via Andina", 2, 1}
)

// drawTrace draws outages: pauses of seconds, restarts of about a minute, losses of a quarter of an hour, and
// sometimes an outage of the whole domain.
func drawTrace(seed uint64, servers int, models []repair.Model, prices prices, outagesPerHour float64) trace {
	random := rand.New(rand.NewPCG(seed, 1))
	drawn := trace{models: models, prices: prices, outages: make([][]outage, servers)}
	for index := range drawn.models {
		drawn.models[index].DowntimePrice *= prices.downtime
	}
	for server := range servers {
		for at := exponential(random, time.Duration(float64(time.Hour)/outagesPerHour)); at < traceLength; {
			next := drawOutage(random, at)
			drawn.outages[server] = append(drawn.outages[server], next)
			at = next.to + exponential(random, time.Duration(float64(time.Hour)/outagesPerHour))
		}
	}
	if random.IntN(4) == 0 {
		drawn.addDomainOutage(random)
	}
	return drawn
}

func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean)).Round(replayStep)
}

func drawOutage(random *rand.Rand, at time.Duration) outage {
	mean, intact := 45*time.Second, false
	switch kind := random.Float64(); {
	case kind < 0.3:
		mean, intact = 4*time.Second, true
	case kind > 0.9:
		mean = 15 * time.Minute
	}
	return outage{from: at, to: at + max(replayStep, exponential(random, mean)), intact: intact}
}

// addDomainOutage makes all servers unresponsive for some minutes.
func (trace *trace) addDomainOutage(random *rand.Rand) {
	from := time.Duration(random.Int64N(int64(traceLength))).Round(replayStep)
	to := from + 5*time.Minute
	for server, outages := range trace.outages {
		outages = slices.DeleteFunc(outages, func(outage outage) bool { return outage.from < to && outage.to > from })
		trace.outages[server] = append(outages, outage{from: from, to: to})
	}
}

// server is the state of one server during a replay.
type server struct {
	group           int
	unresponsiveFor time.Duration
}

type replayedGroup struct {
	model    int
	members  []int
	servesAt time.Duration
	retired  bool
}

// replay replays one trace with one policy.
type replay struct {
	trace   trace
	policy  func(domainState repair.DomainState) []repair.Action
	servers []server
	groups  []*replayedGroup
	learner *repair.Learner
	wanted  []int
	// cost is the total price. downtime and idle are its two components, in group-seconds and server-seconds.
	cost           float64
	downtime, idle float64
}

const noGroup = -1

func replayTrace(trace trace, policy func(domainState repair.DomainState) []repair.Action) *replay {
	return replayTraceFor(trace, policy, traceLength)
}

func replayTraceFor(trace trace, policy func(domainState repair.DomainState) []repair.Action, length time.Duration) *replay {
	replay := &replay{trace: trace, policy: policy, servers: make([]server, len(trace.outages)), learner: repair.NewLearner()}
	for index := range replay.servers {
		replay.servers[index].group = noGroup
	}
	replay.wanted = greedyCounts(trace.models, len(trace.outages))
	for now := time.Duration(0); now < length; now += replayStep {
		replay.applyOutages(now)
		replay.applyPolicy(now)
		replay.accrueCost(now)
	}
	return replay
}

// greedyCounts returns how many groups of each model fit, the most valuable first.
func greedyCounts(models []repair.Model, free int) []int {
	counts := make([]int, len(models))
	for {
		best, bestValue := -1, 0.0
		for index, model := range models {
			value := model.DowntimePrice / float64(1+counts[index])
			if model.Size <= free && value > bestValue {
				best, bestValue = index, value
			}
		}
		if best < 0 {
			return counts
		}
		counts[best]++
		free -= models[best].Size
	}
}

func (replay *replay) applyOutages(now time.Duration) {
	for index := range replay.servers {
		server := &replay.servers[index]
		unresponsive, intact := replay.outageState(index, now)
		switch {
		case unresponsive:
			server.unresponsiveFor += replayStep
		case server.unresponsiveFor > 0:
			replay.learner.Observe(server.unresponsiveFor, intact)
			server.unresponsiveFor = 0
			// A server that was paused while its group was retired still considers itself a member. The former then
			// releases it.
			if !intact || (server.group != noGroup && replay.groups[server.group].retired) {
				server.group = noGroup
			}
		}
	}
}

// outageState reports whether a server is unresponsive, and otherwise whether its last outage left it intact.
func (replay *replay) outageState(index int, now time.Duration) (unresponsive, intact bool) {
	for _, outage := range replay.trace.outages[index] {
		if now >= outage.from && now < outage.to {
			return true, false
		}
		if now == outage.to {
			intact = outage.intact
		}
	}
	return false, intact
}

func (replay *replay) applyPolicy(now time.Duration) {
	for _, action := range replay.policy(replay.domainState(now)) {
		switch action.Kind {
		case repair.Retire:
			replay.retire(int(action.Number) - 1)
		case repair.Form:
			replay.form(action, now)
		}
	}
}

func (replay *replay) retire(number int) {
	replay.groups[number].retired = true
	for _, member := range replay.groups[number].members {
		if replay.servers[member].unresponsiveFor == 0 && replay.servers[member].group == number {
			replay.servers[member].group = noGroup
		}
	}
}

func (replay *replay) form(action repair.Action, now time.Duration) {
	group := &replayedGroup{servesAt: now + loadTime}
	for index, model := range replay.trace.models {
		if model.Name == action.Model {
			group.model = index
		}
	}
	for _, address := range action.Servers {
		var member int
		_, _ = fmt.Sscan(address, &member)
		if replay.servers[member].group != noGroup || replay.servers[member].unresponsiveFor > 0 {
			panic(fmt.Sprintf("server %d was assigned to two groups", member))
		}
		replay.servers[member].group = len(replay.groups)
		group.members = append(group.members, member)
	}
	replay.groups = append(replay.groups, group)
}

// domainState returns the state as a former would see it.
func (replay *replay) domainState(now time.Duration) repair.DomainState {
	domainState := repair.DomainState{
		Models: replay.trace.models, GracePeriod: 3 * time.Second, IdlePrice: replay.trace.prices.idle, LoadTime: loadTime,
		Recovery: replay.learner.Recovery(),
	}
	inGroup := map[int]bool{}
	for number, group := range replay.groups {
		if group.retired {
			continue
		}
		observed := replay.observe(number, group, now)
		if observed.Unreachable && observed.Inconsistent {
			continue
		}
		for _, member := range group.members {
			inGroup[member] = true
		}
		domainState.Groups = append(domainState.Groups, observed)
	}
	for index, server := range replay.servers {
		switch {
		case server.unresponsiveFor > 0 && !inGroup[index]:
			domainState.Unresponsive = append(domainState.Unresponsive, server.unresponsiveFor)
		case server.unresponsiveFor == 0 && server.group == noGroup:
			domainState.Free = append(domainState.Free, fmt.Sprint(index))
		}
	}
	return domainState
}

func (replay *replay) observe(number int, group *replayedGroup, now time.Duration) repair.Group {
	observed := repair.Group{Number: uint64(number + 1), Model: replay.trace.models[group.model].Name, Unreachable: true}
	for _, member := range group.members {
		server := replay.servers[member]
		observed.Members = append(observed.Members, fmt.Sprint(member))
		switch {
		case server.unresponsiveFor > 0:
			observed.UnresponsiveFor = max(observed.UnresponsiveFor, server.unresponsiveFor)
			observed.UnresponsiveMembers++
		case server.group != number:
			observed.Inconsistent = true
		default:
			observed.Unreachable = false
		}
	}
	observed.Serving = now >= group.servesAt && observed.UnresponsiveFor == 0 && !observed.Inconsistent
	return observed
}

// accrueCost adds the cost of this second.
func (replay *replay) accrueCost(now time.Duration) {
	serving := make([]int, len(replay.trace.models))
	busy := 0
	for number, group := range replay.groups {
		if !group.retired && replay.observe(number, group, now).Serving {
			serving[group.model]++
			busy += len(group.members)
		}
	}
	healthy := 0
	for _, server := range replay.servers {
		if server.unresponsiveFor == 0 {
			healthy++
		}
	}
	seconds := replayStep.Seconds()
	for index, model := range replay.trace.models {
		missing := float64(max(0, replay.wanted[index]-serving[index]))
		replay.downtime += missing * seconds
		replay.cost += missing * model.DowntimePrice * seconds
	}
	replay.idle += float64(healthy-busy) * seconds
	replay.cost += float64(healthy-busy) * replay.trace.prices.idle * seconds
}
