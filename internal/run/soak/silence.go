package soak

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// domains is the number of fabric domains, each in a data centre of its own. Engines are numbered by domain.
	domains = 3
	// soundSeedInterval is the interval between seeds whose plan has sound servers.
	soundSeedInterval = 2
	// minSilence and maxSilence bound how long sound servers are silent. The longest is shorter than the time
	// that a stream has, so that a request that waits can be served.
	minSilence = 200 * time.Millisecond
	maxSilence = 5 * time.Second
	// soundCallersPerNode and soundDraftEvents are the load of a plan with sound servers: most of the time many
	// long streams are open.
	soundCallersPerNode = 6
	soundDraftEvents    = 45
)

// faultSeries is a series of faults of one kind, with the mean time between two of them.
type faultSeries struct {
	kind         Kind
	meanInterval time.Duration
}

// soundSeries are the overlapping series of a plan with sound servers: planned work, and silences of servers.
var soundSeries = []faultSeries{
	{ServersSilent, 2 * time.Second},
	{ServerSilent, 2500 * time.Millisecond},
	{Configure, 2 * time.Second},
	{NodeReload, 2 * time.Second},
	{NodeStop, 4 * time.Second},
}

// soundFaults returns the faults of a plan in which no server fails and no node, link or store is disrupted. Each
// answer that a node cuts in such a plan can be judged, since an unplanned disruption would excuse it.
func soundFaults(random *rand.Rand, length time.Duration, nodes, engines int) []Fault {
	faults := []Fault{}
	for _, series := range soundSeries {
		interval := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(series.meanInterval)) }
		for at := interval(); at < length; at += interval() {
			fault := Fault{At: at, Kind: series.kind, Target: random.IntN(targetCount(series.kind, nodes, engines, 0))}
			if series.kind == ServersSilent || series.kind == ServerSilent {
				fault.Duration = drawSilence(random)
			}
			if series.kind == ServersSilent {
				fault.Servers, fault.Group = drawServers(random, engines)
			}
			faults = append(faults, fault)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// drawSilence returns the duration of a silence. Its logarithm is uniform, so that short silences are as frequent as
// long ones.
func drawSilence(random *rand.Rand) time.Duration {
	return time.Duration(float64(minSilence) * math.Pow(float64(maxSilence)/float64(minSilence), random.Float64()))
}

// drawServers returns the engines that are silent together, and which part of all engines they are.
func drawServers(random *rand.Rand, engines int) (servers []int, group string) {
	all := random.Perm(engines)
	switch random.IntN(4) {
	case 0:
		servers, group = all[:max(2, engines/4)], "some"
	case 1:
		servers, group = all[:engines*3/4], "most"
	case 2:
		servers, group = all, "all"
	default:
		domain := random.IntN(domains)
		servers = slices.DeleteFunc(all, func(engine int) bool { return engine*domains/engines != domain })
		group = fmt.Sprintf("all of data centre %d", domain+1)
	}
	slices.Sort(servers)
	return servers, group
}

// silenceActions returns functions that hold all traffic of servers, and release what was held. Connections stay.
func (fleet *fleet) silenceActions(servers []int) (begin, end func()) {
	hold := func(by int) func() {
		return func() {
			for _, server := range servers {
				fleet.serverProxies[server].hold(by, by)
			}
		}
	}
	return hold(1), hold(-1)
}
