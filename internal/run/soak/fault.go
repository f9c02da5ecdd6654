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

// The kinds of faults. Those of nodes are signals to their processes; those of peers, the
// store and servers are in the proxies between them, or in the stand-in.
const (
	NodeStop   Kind = "node-stop"    // SIGTERM, and a start after its end
	NodeKill   Kind = "node-kill"    // SIGKILL, and a start
	NodePause  Kind = "node-pause"   // SIGSTOP, SIGCONT
	AllKill    Kind = "all-kill"     // SIGKILL to all nodes
	PeerDelay  Kind = "peer-delay"   // frames to a node take longer
	PeerReset  Kind = "peer-reset"   // connections to a node's peer port are reset
	PeerSilent Kind = "peer-silent"  // nothing passes to a node's peer port, or from it
	PeerOneWay Kind = "peer-one-way" // nothing passes to it; its answers do
	// The operator's changes pile up while the store is away, mute or resets.
	StoreAway   Kind = "store-away"   // the store turns all away
	StoreMute   Kind = "store-mute"   // it takes calls and never answers them
	StoreReset  Kind = "store-reset"  // it breaks connections off
	StoreSlow   Kind = "store-slow"   // it answers late
	StoreForget Kind = "store-forget" // it forgets the history of its topics
	StoreReturn Kind = "store-return" // it is away, and comes back from an older copy
	StoreSilent Kind = "store-silent" // one node doesn't reach it
	StoreLost   Kind = "store-lost"   // its answers to one node are lost, calls take effect
	ServerEnd   Kind = "server-end"   // a server's process ends and is back later
	ServerKill  Kind = "server-kill"  // a server falls silent, and starts again under its ID
	ServerReset Kind = "server-reset" // connections to a server are reset
	ServerBreak Kind = "server-break" // a server accepts connections and resets them before any answer
	ServerMute  Kind = "server-mute"  // nothing passes to a server, or from it
	PlainReset  Kind = "plain-reset"  // the same of a plain server's connections
	PlainMute   Kind = "plain-mute"   // nothing passes to a plain server, or from it
	PlainLost   Kind = "plain-lost"   // its answers are lost, what it is asked runs
	PlainDrain  Kind = "plain-drain"  // a plain server announces that it leaves
	Configure   Kind = "configure"    // the operator writes a version
	// Harmful: callers insist on a request that ends each server that runs it.
	Harmful Kind = "harmful"
)

// Fault is one fault of a plan. Times are from the start of the load.
type Fault struct {
	At     time.Duration
	For    time.Duration
	Kind   Kind
	Target int
}

// String is the fault as the plan is printed.
func (fault Fault) String() string {
	return fmt.Sprintf("%6.2f s  %-12s of %2d for %.2f s", fault.At.Seconds(), fault.Kind, fault.Target, fault.For.Seconds())
}

// Plan is what a seed stands for.
type Plan struct {
	Seed   uint64
	Length time.Duration
	Nodes  int
	Faults []Fault
}

// share is how often a kind is drawn, and for how long it may last.
type share struct {
	kind        Kind
	weight      int
	least, most time.Duration
}

// shares are drawn from; pauses and silences last longer than any time-out of a node.
var shares = []share{
	{NodeStop, 4, 0, 0},
	{NodeKill, 4, 0, 0},
	{NodePause, 4, 300 * time.Millisecond, 5 * time.Second},
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
	{PlainReset, 2, 0, 0},
	{PlainMute, 2, 300 * time.Millisecond, 3 * time.Second},
	{PlainLost, 3, 300 * time.Millisecond, 3 * time.Second},
	{PlainDrain, 1, 0, 0},
	{Configure, 3, 0, 0},
}

const (
	// meanGap is the mean time between faults: shorter than most of them last, so
	// that they overlap.
	meanGap = 700 * time.Millisecond
	// harmfulFor is for how long callers insist on a harmful request, and harmfulQuiet
	// how long before and meanwhile nothing else goes wrong: then all nodes are in touch.
	harmfulFor   = 8 * time.Second
	harmfulQuiet = 10 * time.Second
	// plainDrains bounds the plain servers that leave.
	plainDrains = 1
)

// Draw returns the plan of a seed: the same whenever it is drawn for the same shape.
func Draw(seed uint64, length time.Duration, nodes, engines, plain int) Plan {
	draw := rand.New(rand.NewPCG(seed, 0))
	plan := Plan{Seed: seed, Length: length, Nodes: nodes}
	sum := 0
	for _, share := range shares {
		sum += share.weight
	}
	quietFrom, quietUntil := length, length
	if length > 2*harmfulQuiet && draw.IntN(2) == 0 {
		quietFrom = time.Duration(draw.Int64N(int64(length - harmfulQuiet - harmfulFor)))
		quietUntil = quietFrom + harmfulQuiet + harmfulFor
		plan.Faults = append(plan.Faults, Fault{At: quietFrom + harmfulQuiet, For: harmfulFor, Kind: Harmful})
	}
	drained := 0
	for at := time.Duration(0); at < length; at += time.Duration(draw.ExpFloat64() * float64(meanGap)) {
		chosen := shares[0]
		left := draw.IntN(sum)
		for _, share := range shares {
			if chosen = share; left < share.weight {
				break
			}
			left -= share.weight
		}
		fault := Fault{At: at, Kind: chosen.kind}
		if chosen.most > 0 {
			fault.For = chosen.least + time.Duration(draw.Int64N(int64(chosen.most-chosen.least)))
		}
		fault.Target = draw.IntN(targets(chosen.kind, nodes, engines, plain))
		if chosen.kind == PlainDrain {
			if drained++; drained > plainDrains {
				continue
			}
		}
		if fault.At+fault.For >= quietFrom && fault.At < quietUntil {
			continue
		}
		plan.Faults = append(plan.Faults, fault)
	}
	slices.SortStableFunc(plan.Faults, func(one, other Fault) int { return cmp.Compare(one.At, other.At) })
	return plan
}

// targets is how many things a kind of fault may strike.
func targets(kind Kind, nodes, engines, plain int) int {
	switch kind {
	case ServerEnd, ServerKill, ServerReset, ServerBreak, ServerMute:
		return engines
	case PlainReset, PlainMute, PlainLost, PlainDrain:
		return plain
	}
	return nodes
}
