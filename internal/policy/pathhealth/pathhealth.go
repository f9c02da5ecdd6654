// Package pathhealth tracks whether this node can reach the servers of each service, or has lost its network path to them.
//
// A node that cannot connect to a server, or whose connections to a server are reset or go silent, cannot tell from
// this one server whether the server has ended or the node's own network has failed. Servers fail one at a time,
// whereas a lost path affects all servers at once. So each Path collects the failures since anything was last
// received. The path becomes Suspected once two servers have failed or all servers are silent, and a sample of its
// servers is then probed by connecting to them. The path becomes Lost if most of the probed servers are unreachable.
// Calls then go through other nodes that reach the servers. A server that was connected to recently is still called
// directly, because a node may lose the path to most servers of a service and still reach a few.
//
// There is one Path for each service in each data centre, since each of them can be lost without the others. Failures
// that are seen over a suspected path are neither believed nor reported to other nodes.
//
// # Usage
//
//	paths := pathhealth.New(pathhealth.Clock(now))
//	path := paths.Get(pathhealth.Destination{Service: "drafts", DataCentre: "east"})
//	path.RecordConnectFailure("i-1", begunAt)
//	for _, probe := range paths.DueProbes() { ... probe.Complete(reached) }
//	path.Blocks("i-1")
package pathhealth

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
	// suspectAfterServers is how many servers must have failed calls, since anything was last received, for the path
	// to become suspected.
	suspectAfterServers = 2
	// suspectCooldown and silenceCooldown are how long a path that was found healthy is not suspected again, for
	// failures and for silence. The cooldown for silence is longer because the first event of a long prompt takes
	// longer.
	suspectCooldown = 400 * time.Millisecond
	silenceCooldown = time.Second
	// silenceSample is how many servers are probed first if silence is the only evidence against a path.
	silenceSample = 2
	// suspectedSample is how many servers are probed when a path is suspected. The path is lost if at least
	// lostNumerator/lostDenominator of the probed servers are unreachable.
	suspectedSample = 4
	lostNumerator   = 3
	lostDenominator = 4
	// maxSuspectedOthers is how many other paths become suspected when a path is lost.
	maxSuspectedOthers = 8
	// probeInterval is the time between two probes of a lost path, and lostSample is how many servers each of them
	// tries.
	probeInterval = 250 * time.Millisecond
	lostSample    = 2
	// recoverySample is how many servers of a lost path are probed, after a probe that reached all its servers,
	// before the path counts as healthy.
	recoverySample = 8
	// reachedTTL is how long a server of a lost path counts as reached after a successful connection.
	reachedTTL = 2 * time.Second
	// activeWindow is how long an open connection to a server counts as in use after the server last sent something.
	activeWindow = 500 * time.Millisecond
	// maxFailedServers bounds the servers that are remembered for each kind of failure.
	maxFailedServers = 64
)

// Status is what this node assumes about a path.
type Status int32

// The statuses of a path.
const (
	// Healthy means that there is not enough evidence of a failure. Printed as "Open".
	Healthy Status = iota
	// Suspected means that some servers of the path are being probed. Printed as "Doubted".
	Suspected
	// Lost means that most of the probed servers could not be connected to.
	Lost
)

// String returns the name of the status in logs and in the state dump.
func (status Status) String() string {
	return [...]string{"Open", "Doubted", "Lost"}[status]
}

// Destination identifies the servers of a service in a data centre.
type Destination struct {
	Service    string
	DataCentre string
}

// Paths holds all paths of a node.
type Paths struct {
	now    clock.Now
	random func(n int) int

	mu    sync.Mutex
	paths map[Destination]*Path
	// unhealthy counts the suspected and lost paths, so that a node without any skips all further work.
	unhealthy atomic.Int32
}

// Option configures Paths.
type Option func(*Paths)

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(paths *Paths) { paths.now = now }
}

// Random sets the function that returns a random number in [0, n).
func Random(draw func(n int) int) Option {
	return func(paths *Paths) { paths.random = draw }
}

// New returns Paths without any path.
func New(options ...Option) *Paths {
	paths := &Paths{now: clock.Boot, random: rand.IntN, paths: map[Destination]*Path{}}
	for _, option := range options {
		option(paths)
	}
	return paths
}

// Get returns the path to a destination, and creates it on first use.
func (paths *Paths) Get(destination Destination) *Path {
	paths.mu.Lock()
	defer paths.mu.Unlock()
	path, known := paths.paths[destination]
	if !known {
		path = &Path{Destination: destination, paths: paths}
		path.lastActivity.Store(int64(paths.now()))
		paths.paths[destination] = path
	}
	return path
}

// All returns all paths, in no particular order.
func (paths *Paths) All() []*Path {
	paths.mu.Lock()
	defer paths.mu.Unlock()
	all := make([]*Path, 0, len(paths.paths))
	for _, path := range paths.paths {
		all = append(all, path)
	}
	return all
}

// AnyUnhealthy reports whether any path is suspected or lost.
func (paths *Paths) AnyUnhealthy() bool {
	return paths.unhealthy.Load() > 0
}

// State is one path in the state dump.
type State struct {
	Service, DataCentre, Standing string
	// Servers counts all servers of the path. Reached counts those that are called although the path is not healthy.
	Servers, Reached int
	// ForMilliseconds is how long the path has not been healthy.
	ForMilliseconds int64
}

// State returns the state of all paths that are not healthy.
func (paths *Paths) State() []State {
	states := []State{}
	for _, path := range paths.All() {
		if path.Status() == Healthy {
			continue
		}
		path.mu.Lock()
		states = append(states, State{
			Service: path.Destination.Service, DataCentre: path.Destination.DataCentre, Standing: path.Status().String(), Servers: len(path.servers),
			Reached: path.countReachedLocked(paths.now()), ForMilliseconds: (paths.now() - path.unhealthySince).Milliseconds(),
		})
		path.mu.Unlock()
	}
	return states
}

// LostDestinations returns the destinations whose paths are lost, sorted by service and data centre. If
// includeSuspected is set, it also returns those whose paths are suspected. A destination is listed even if a few of
// its servers are reached, since these are too few for its load.
func (paths *Paths) LostDestinations(includeSuspected bool) []Destination {
	if !paths.AnyUnhealthy() {
		return nil
	}
	lost := []Destination{}
	for _, path := range paths.All() {
		path.mu.Lock()
		status := path.Status()
		if len(path.servers) > 0 && (status == Lost || (includeSuspected && status == Suspected)) {
			lost = append(lost, path.Destination)
		}
		path.mu.Unlock()
	}
	slices.SortFunc(lost, func(one, other Destination) int {
		return cmp.Or(cmp.Compare(one.Service, other.Service), cmp.Compare(one.DataCentre, other.DataCentre))
	})
	return lost
}

// AllLost reports whether a node that has lost the paths to the given destinations reaches no server of a service.
func (paths *Paths) AllLost(service string, lost []Destination) bool {
	if len(lost) == 0 {
		return false
	}
	known := false
	for _, path := range paths.All() {
		path.mu.Lock()
		servers := len(path.servers)
		path.mu.Unlock()
		if path.Destination.Service != service || servers == 0 {
			continue
		}
		known = true
		if !slices.Contains(lost, path.Destination) {
			return false
		}
	}
	return known
}
