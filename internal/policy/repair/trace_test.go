package repair_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hazelslip/internal/policy/repair"
)

// A trace is what happens to the servers of one domain, drawn from the brief's
// kinds of failures. The decision benchmark plays traces to a policy in steps
// of a second: the policy and its inputs only, no nodes and no network.

const (
	traceLength = 2 * time.Hour
	step        = time.Second
	load        = 30 * time.Second
)

// outage is one time in which a server does not answer. After it the server is
// as it was, or restarted.
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
	name               string
	downtime, stranded float64
}

// The two users' weights.
var (
	lakeshore = prices{"Lakeshore", 8, 1}
	viaAndina = prices{"Via Andina", 2, 1}
)

// drawTrace draws outages: pauses of seconds, restarts of a minute, losses of
// a quarter of an hour, now and then the whole domain.
func drawTrace(seed uint64, servers int, models []repair.Model, prices prices, hourly float64) trace {
	random := rand.New(rand.NewPCG(seed, 1))
	drawn := trace{models: models, prices: prices, outages: make([][]outage, servers)}
	for index := range drawn.models {
		drawn.models[index].Worth *= prices.downtime
	}
	for server := range servers {
		for at := exponential(random, time.Duration(float64(time.Hour)/hourly)); at < traceLength; {
			next := drawOutage(random, at)
			drawn.outages[server] = append(drawn.outages[server], next)
			at = next.to + exponential(random, time.Duration(float64(time.Hour)/hourly))
		}
	}
	if random.IntN(4) == 0 {
		drawn.goDark(random)
	}
	return drawn
}

func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean)).Round(step)
}

func drawOutage(random *rand.Rand, at time.Duration) outage {
	mean, intact := 45*time.Second, false
	switch kind := random.Float64(); {
	case kind < 0.3:
		mean, intact = 4*time.Second, true
	case kind > 0.9:
		mean = 15 * time.Minute
	}
	return outage{from: at, to: at + max(step, exponential(random, mean)), intact: intact}
}

// goDark takes every server away for some minutes.
func (trace *trace) goDark(random *rand.Rand) {
	from := time.Duration(random.Int64N(int64(traceLength))).Round(step)
	to := from + 5*time.Minute
	for server, outages := range trace.outages {
		outages = slices.DeleteFunc(outages, func(outage outage) bool { return outage.from < to && outage.to > from })
		trace.outages[server] = append(outages, outage{from: from, to: to})
	}
}

// server is one server while a trace is played.
type server struct {
	group  int
	silent time.Duration
}

type playedGroup struct {
	model   int
	members []int
	serves  time.Duration
	gone    bool
}

// player plays one trace to one policy.
type player struct {
	trace   trace
	policy  func(situation repair.Situation) []repair.Action
	servers []server
	groups  []*playedGroup
	learner *repair.Learner
	wanted  []int
	// What it cost, and the two measures.
	cost               float64
	downtime, stranded float64
}

const noGroup = -1

func play(trace trace, policy func(situation repair.Situation) []repair.Action) *player {
	return playFor(trace, policy, traceLength)
}

func playFor(trace trace, policy func(situation repair.Situation) []repair.Action, length time.Duration) *player {
	player := &player{trace: trace, policy: policy, servers: make([]server, len(trace.outages)), learner: repair.NewLearner()}
	for index := range player.servers {
		player.servers[index].group = noGroup
	}
	player.wanted = fillPlain(trace.models, len(trace.outages))
	for now := time.Duration(0); now < length; now += step {
		player.fail(now)
		player.act(now)
		player.pay(now)
	}
	return player
}

// fillPlain is how many groups of each model fit, the neediest first.
func fillPlain(models []repair.Model, free int) []int {
	counts := make([]int, len(models))
	for {
		best, bestWorth := -1, 0.0
		for index, model := range models {
			worth := model.Worth / float64(1+counts[index])
			if model.Size <= free && worth > bestWorth {
				best, bestWorth = index, worth
			}
		}
		if best < 0 {
			return counts
		}
		counts[best]++
		free -= models[best].Size
	}
}

func (player *player) fail(now time.Duration) {
	for index := range player.servers {
		server := &player.servers[index]
		away, intact := player.away(index, now)
		switch {
		case away:
			server.silent += step
		case server.silent > 0:
			player.learner.Came(server.silent, intact)
			server.silent = 0
			// A server that was paused while its group was taken apart still
			// believes in it; the former then releases it.
			if !intact || (server.group != noGroup && player.groups[server.group].gone) {
				server.group = noGroup
			}
		}
	}
}

// away reports whether a server does not answer, or how its last outage ended.
func (player *player) away(index int, now time.Duration) (away, intact bool) {
	for _, outage := range player.trace.outages[index] {
		if now >= outage.from && now < outage.to {
			return true, false
		}
		if now == outage.to {
			intact = outage.intact
		}
	}
	return false, intact
}

func (player *player) act(now time.Duration) {
	for _, action := range player.policy(player.situation(now)) {
		switch action.Kind {
		case repair.Retire:
			player.retire(int(action.Number) - 1)
		case repair.Form:
			player.form(action, now)
		}
	}
}

func (player *player) retire(number int) {
	player.groups[number].gone = true
	for _, member := range player.groups[number].members {
		if player.servers[member].silent == 0 && player.servers[member].group == number {
			player.servers[member].group = noGroup
		}
	}
}

func (player *player) form(action repair.Action, now time.Duration) {
	group := &playedGroup{serves: now + load}
	for index, model := range player.trace.models {
		if model.Name == action.Model {
			group.model = index
		}
	}
	for _, address := range action.Servers {
		var member int
		_, _ = fmt.Sscan(address, &member)
		if player.servers[member].group != noGroup || player.servers[member].silent > 0 {
			panic(fmt.Sprintf("server %d was given away twice", member))
		}
		player.servers[member].group = len(player.groups)
		group.members = append(group.members, member)
	}
	player.groups = append(player.groups, group)
}

// situation is what a former would see.
func (player *player) situation(now time.Duration) repair.Situation {
	situation := repair.Situation{
		Models: player.trace.models, Grace: 3 * time.Second, Stranded: player.trace.prices.stranded, Load: load,
		Returns: player.learner.Returns(),
	}
	inGroup := map[int]bool{}
	for number, group := range player.groups {
		if group.gone {
			continue
		}
		seen := player.see(number, group, now)
		if seen.Dark && seen.Broken {
			continue
		}
		for _, member := range group.members {
			inGroup[member] = true
		}
		situation.Groups = append(situation.Groups, seen)
	}
	for index, server := range player.servers {
		switch {
		case server.silent > 0 && !inGroup[index]:
			situation.Away = append(situation.Away, server.silent)
		case server.silent == 0 && server.group == noGroup:
			situation.Free = append(situation.Free, fmt.Sprint(index))
		}
	}
	return situation
}

func (player *player) see(number int, group *playedGroup, now time.Duration) repair.Group {
	seen := repair.Group{Number: uint64(number + 1), Model: player.trace.models[group.model].Name, Dark: true}
	for _, member := range group.members {
		server := player.servers[member]
		seen.Members = append(seen.Members, fmt.Sprint(member))
		switch {
		case server.silent > 0:
			seen.Silent = max(seen.Silent, server.silent)
			seen.SilentMembers++
		case server.group != number:
			seen.Broken = true
		default:
			seen.Dark = false
		}
	}
	seen.Serving = now >= group.serves && seen.Silent == 0 && !seen.Broken
	return seen
}

// pay adds what this second costs.
func (player *player) pay(now time.Duration) {
	serving := make([]int, len(player.trace.models))
	busy := 0
	for number, group := range player.groups {
		if !group.gone && player.see(number, group, now).Serving {
			serving[group.model]++
			busy += len(group.members)
		}
	}
	healthy := 0
	for _, server := range player.servers {
		if server.silent == 0 {
			healthy++
		}
	}
	seconds := step.Seconds()
	for index, model := range player.trace.models {
		missing := float64(max(0, player.wanted[index]-serving[index]))
		player.downtime += missing * seconds
		player.cost += missing * model.Worth * seconds
	}
	player.stranded += float64(healthy-busy) * seconds
	player.cost += float64(healthy-busy) * player.trace.prices.stranded * seconds
}
