// Package reach decides whether this node reaches the servers of a service, or has lost its own
// way to them.
//
// A node that can't connect to a server, whose connections are reset or fall silent, can't tell
// by one server whether that has ended or whether its own links have. Servers fail one at a time;
// a way that is lost fails at all of them. So a Way gathers what failed since something last came, doubts
// itself once two servers failed or all of them are silent, and has some servers connected to. While most of these can't
// be, calls don't go there but through nodes that reach them. A server that was connected to since is
// reached all the same: a node may lose the way to most servers of a service and keep the way to some.
//
// There is a Way for each service in each data centre, as one may be lost without the others. What a
// doubted way seems to tell of servers is not believed, nor told to other nodes.
//
// # Usage
//
//	ways := reach.New(reach.Clock(now))
//	way := ways.Of(reach.Place{Service: "drafts", DataCentre: "east"})
//	way.Unopened("i-1", begunAt)
//	for _, probe := range ways.Due() { ... probe.Done(reached) }
//	way.Blocks("i-1")
package reach

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
)

const (
	// doubtServers is at how many servers calls must have failed since anything last came.
	doubtServers = 2
	// doubtAgain is how long a way that was found whole isn't doubted again for failures, silentAgain
	// for silence: the first event of a long prompt takes longer.
	doubtAgain  = 400 * time.Millisecond
	silentAgain = time.Second
	// quietSample is how many servers are connected to first where nothing but silence speaks against a way.
	quietSample = 2
	// sample is how many servers are connected to when a way is doubted or may be whole again,
	// lostParts of lostOf must not be reached for it to be lost.
	sample    = 4
	lostParts = 3
	lostOf    = 4
	// doubtedAtOnce is how many other ways are doubted when one is lost.
	doubtedAtOnce = 8
	// probeEvery is how often a lost way is tried, probes at how many servers.
	probeEvery = 250 * time.Millisecond
	probes     = 2
	// provenSample is how many servers are tried before a lost way counts as whole.
	provenSample = 8
	// reachedKept is how long a server of a lost way counts as reached after it was.
	reachedKept = 2 * time.Second
	// aliveFor is how long an open connection to a server counts as one that serves after something came
	// from there.
	aliveFor = 500 * time.Millisecond
	// failuresMost bounds the servers that are remembered.
	failuresMost = 64
)

// Standing is what the node believes of a way.
type Standing int32

// The standings of a way.
const (
	// Open: nothing speaks against it.
	Open Standing = iota
	// Doubted: some of its servers are being connected to.
	Doubted
	// Lost: most servers that were tried could not be connected to.
	Lost
)

// String names the standing for logs.
func (standing Standing) String() string {
	return [...]string{"Open", "Doubted", "Lost"}[standing]
}

// Place is the servers of a service in a data centre.
type Place struct {
	Service    string
	DataCentre string
}

// Ways are all ways of a node.
type Ways struct {
	now    clock.Now
	random func(n int) int

	mu   sync.Mutex
	ways map[Place]*Way
	// unsettled counts the ways that are not open, so that a node whose ways are open spends nothing.
	unsettled atomic.Int32
}

// Option changes how Ways are built.
type Option func(*Ways)

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(ways *Ways) { ways.now = now }
}

// Random sets how a number below n is drawn.
func Random(draw func(n int) int) Option {
	return func(ways *Ways) { ways.random = draw }
}

// New returns Ways of which nothing is known.
func New(options ...Option) *Ways {
	ways := &Ways{now: clock.Boot, random: rand.IntN, ways: map[Place]*Way{}}
	for _, option := range options {
		option(ways)
	}
	return ways
}

// Of returns the way to a place.
func (ways *Ways) Of(place Place) *Way {
	ways.mu.Lock()
	defer ways.mu.Unlock()
	way, known := ways.ways[place]
	if !known {
		way = &Way{Place: place, ways: ways}
		way.heardAt.Store(int64(ways.now()))
		ways.ways[place] = way
	}
	return way
}

// All returns all ways.
func (ways *Ways) All() []*Way {
	ways.mu.Lock()
	defer ways.mu.Unlock()
	all := make([]*Way, 0, len(ways.ways))
	for _, way := range ways.ways {
		all = append(all, way)
	}
	return all
}

// Unsettled says whether any way is doubted or lost.
func (ways *Ways) Unsettled() bool {
	return ways.unsettled.Load() > 0
}

// State is a way in the state dump.
type State struct {
	Service, DataCentre, Standing string
	// Servers are all of the way, Reached those that are called although it is not open.
	Servers, Reached int
	// ForMilliseconds is since when it is not open.
	ForMilliseconds int64
}

// State returns the ways that are not open.
func (ways *Ways) State() []State {
	states := []State{}
	for _, way := range ways.All() {
		if way.Standing() == Open {
			continue
		}
		way.mu.Lock()
		states = append(states, State{
			Service: way.Place.Service, DataCentre: way.Place.DataCentre, Standing: way.Standing().String(), Servers: len(way.servers),
			Reached: way.reachedLocked(ways.now()), ForMilliseconds: (ways.now() - way.since).Milliseconds(),
		})
		way.mu.Unlock()
	}
	return states
}

// Lost returns the places whose ways are lost, in a fixed order; with doubts, also those whose ways are doubted. A few
// servers of a lost way may be reached: too few for what is asked of it.
func (ways *Ways) Lost(doubts bool) []Place {
	if !ways.Unsettled() {
		return nil
	}
	lost := []Place{}
	for _, way := range ways.All() {
		way.mu.Lock()
		standing := way.Standing()
		if len(way.servers) > 0 && (standing == Lost || (doubts && standing == Doubted)) {
			lost = append(lost, way.Place)
		}
		way.mu.Unlock()
	}
	slices.SortFunc(lost, func(one, other Place) int {
		return cmp.Or(cmp.Compare(one.Service, other.Service), cmp.Compare(one.DataCentre, other.DataCentre))
	})
	return lost
}

// Without says whether a node that has lost the ways to some places reaches no server of a service.
func (ways *Ways) Without(service string, lost []Place) bool {
	if len(lost) == 0 {
		return false
	}
	known := false
	for _, way := range ways.All() {
		way.mu.Lock()
		servers := len(way.servers)
		way.mu.Unlock()
		if way.Place.Service != service || servers == 0 {
			continue
		}
		known = true
		if !slices.Contains(lost, way.Place) {
			return false
		}
	}
	return known
}
