package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Node faults are signals to node processes. Faults of peers, the store
// and servers are injected by the proxies in front of them or by the stand-in.
const (
	NodeStop   Kind = "node-stop"    // SIGTERM, then a restart
	NodeKill   Kind = "node-kill"    // SIGKILL, then a restart
	NodePause  Kind = "node-pause"   // SIGSTOP, later SIGCONT
	NodeReload Kind = "node-reload"  // SIGHUP
	AllKill    Kind = "all-kill"     // SIGKILL to all nodes, then restarts
	PeerDelay  Kind = "peer-delay"   // frames to a node are delayed
	PeerReset  Kind = "peer-reset"   // connections to a node's peer port are reset
	PeerSilent Kind = "peer-silent"  // traffic to and from a node's peer port is blocked
	PeerOneWay Kind = "peer-one-way" // traffic to a node's peer port is blocked, its responses pass
	// Configuration changes accumulate during StoreAway, StoreMute and StoreReset, and are confirmed in a row after them.
	StoreAway   Kind = "store-away"   // the store rejects all calls
	StoreMute   Kind = "store-mute"   // the store accepts calls and never responds
	StoreReset  Kind = "store-reset"  // the store resets connections
	StoreSlow   Kind = "store-slow"   // the store responds late
	StoreForget Kind = "store-forget" // the store loses the history of its topics
	StoreReturn Kind = "store-return" // the store is unavailable, then restored from an older backup
	StoreSilent Kind = "store-silent" // traffic between one node and the store is blocked
	StoreLost   Kind = "store-lost"   // the store's responses to one node are blocked, its calls take effect
	ServerEnd   Kind = "server-end"   // a server process exits and restarts later
	ServerKill  Kind = "server-kill"  // a server stops responding, then restarts under the same ID
	ServerReset Kind = "server-reset" // connections to a server are reset
	ServerBreak Kind = "server-break" // a server accepts connections and resets them before any response
	ServerMute  Kind = "server-mute"  // traffic to and from a server is blocked, then its connections are reset
	// Servers that are silent and go on are sound: their connections stay, and nothing is lost.
	ServerSilent  Kind = "server-silent"  // a server sends and receives nothing for a while
	ServersSilent Kind = "servers-silent" // several servers do so at the same time
	PlainReset    Kind = "plain-reset"    // connections to a plain server are reset
	PlainMute     Kind = "plain-mute"     // traffic to and from a plain server is blocked
	PlainLost     Kind = "plain-lost"     // a plain server's responses are blocked, its calls run
	PlainDrain    Kind = "plain-drain"    // a plain server announces that it is leaving
	Configure     Kind = "configure"      // the operator writes a configuration version
	// Harmful makes callers repeatedly send a request that crashes every server that runs it.
	Harmful Kind = "harmful"
)

// Fault is one fault of a plan. At is the time since the start of the load.
type Fault struct {
	At       time.Duration
	Duration time.Duration
	Kind     Kind
	Target   int
	// Servers are the engines of ServersSilent, Group says which part of all engines they are.
	Servers []int
	Group   string
}

// String formats the fault as a line of the printed plan.
func (fault Fault) String() string {
	target := fmt.Sprintf("%2d", fault.Target)
	if fault.Kind == ServersSilent {
		target = fmt.Sprintf("%d servers (%s)", len(fault.Servers), fault.Group)
	}
	return fmt.Sprintf("%6.2f s  %-14s of %s for %.2f s", fault.At.Seconds(), fault.Kind, target, fault.Duration.Seconds())
}

// Plan is the sequence of faults that a seed determines.
type Plan struct {
	Seed   uint64
	Length time.Duration
	Nodes  int
	// SoundServers is set for a plan of planned work and silences of servers only, see soundFaults.
	SoundServers bool
	Faults       []Fault
}

// kinds says from which kinds of faults the plan was drawn.
func (plan *Plan) kinds() string {
	if plan.SoundServers {
		return "planned work and silences of sound servers only"
	}
	return "of all kinds"
}

// faultWeight is the relative frequency of a kind of fault and the range of its duration.
type faultWeight struct {
	kind                     Kind
	weight                   int
	minDuration, maxDuration time.Duration
}

// faultWeights lists the kinds that a plan draws from. Pauses and blocked traffic may last longer than any
// timeout of a node.
var faultWeights = []faultWeight{
	{NodeStop, 4, 0, 0},
	{NodeKill, 4, 0, 0},
	{NodePause, 4, 300 * time.Millisecond, 5 * time.Second},
	{NodeReload, 2, 0, 0},
	{AllKill, 1, 0, 0},
	{PeerDelay, 3, time.Second, 5 * time.Second},
	{PeerReset, 3, 0, 0},
	{PeerSilent, 3, 300 * time.Millisecond, 5 * time.Second},
	{PeerOneWay, 2, 300 * time.Millisecond, 5 * time.Second},
	{StoreAway, 2, time.Second, 6 * time.Second},
	{StoreMute, 2, time.Second, 10 * time.Second},
	{StoreReset, 1, time.Second, 6 * time.Second},
	{StoreSlow, 2, time.Second, 5 * time.Second},
	{StoreForget, 1, 0, 0},
	{StoreReturn, 2, 300 * time.Millisecond, 3 * time.Second},
	{StoreSilent, 3, time.Second, 6 * time.Second},
	{StoreLost, 2, time.Second, 4 * time.Second},
	{ServerEnd, 5, 0, 0},
	{ServerKill, 4, 4 * time.Second, 6 * time.Second},
	{ServerReset, 3, 0, 0},
	{ServerBreak, 2, 500 * time.Millisecond, 4 * time.Second},
	{ServerMute, 3, 300 * time.Millisecond, 4 * time.Second},
	{ServerSilent, 2, minSilence, maxSilence},
	{ServersSilent, 3, minSilence, maxSilence},
	{PlainReset, 2, 0, 0},
	{PlainMute, 2, 300 * time.Millisecond, 3 * time.Second},
	{PlainLost, 3, 300 * time.Millisecond, 3 * time.Second},
	{PlainDrain, 1, 0, 0},
	{Configure, 3, 0, 0},
}

const (
	// meanFaultInterval is the mean time between faults. It is shorter than most faults last, so
	// that they overlap.
	meanFaultInterval = 700 * time.Millisecond
	// harmfulDuration is how long callers send a harmful request. No other fault is active meanwhile,
	// nor during the harmfulQuietPeriod before, so that all nodes are connected to each other.
	harmfulDuration    = 8 * time.Second
	harmfulQuietPeriod = 10 * time.Second
	// maxPlainDrains bounds the number of plain servers that leave.
	maxPlainDrains = 1
)

// GeneratePlan returns the plan of a seed. Equal arguments give equal plans.
func GeneratePlan(seed uint64, length time.Duration, nodes, engines, plain int) Plan {
	random := rand.New(rand.NewPCG(seed, 0))
	plan := Plan{Seed: seed, Length: length, Nodes: nodes, SoundServers: seed%soundSeedInterval == 0}
	if plan.SoundServers {
		plan.Faults = soundFaults(random, length, nodes, engines)
		return plan
	}
	totalWeight := 0
	for _, weighted := range faultWeights {
		totalWeight += weighted.weight
	}
	quietStart, quietEnd := length, length
	if length > 2*harmfulQuietPeriod && random.IntN(2) == 0 {
		quietStart = time.Duration(random.Int64N(int64(length - harmfulQuietPeriod - harmfulDuration)))
		quietEnd = quietStart + harmfulQuietPeriod + harmfulDuration
		plan.Faults = append(plan.Faults, Fault{At: quietStart + harmfulQuietPeriod, Duration: harmfulDuration, Kind: Harmful})
	}
	plainDrains := 0
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() * float64(meanFaultInterval)) {
		selected := faultWeights[0]
		remaining := random.IntN(totalWeight)
		for _, weighted := range faultWeights {
			if selected = weighted; remaining < weighted.weight {
				break
			}
			remaining -= weighted.weight
		}
		fault := Fault{At: at, Kind: selected.kind}
		if selected.maxDuration > 0 {
			fault.Duration = selected.minDuration + time.Duration(random.Int64N(int64(selected.maxDuration-selected.minDuration)))
		}
		fault.Target = random.IntN(targetCount(selected.kind, nodes, engines, plain))
		if selected.kind == ServersSilent {
			fault.Servers, fault.Group = drawServers(random, engines)
		}
		if selected.kind == PlainDrain {
			if plainDrains++; plainDrains > maxPlainDrains {
				continue
			}
		}
		if fault.At+fault.Duration >= quietStart && fault.At < quietEnd {
			continue
		}
		plan.Faults = append(plan.Faults, fault)
	}
	slices.SortStableFunc(plan.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// targetCount returns the number of possible targets of a kind of fault.
func targetCount(kind Kind, nodes, engines, plain int) int {
	switch kind {
	case ServerEnd, ServerKill, ServerReset, ServerBreak, ServerMute, ServerSilent:
		return engines
	case PlainReset, PlainMute, PlainLost, PlainDrain:
		return plain
	}
	return nodes
}
