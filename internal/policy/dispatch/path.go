package dispatch

import (
	"time"

	"hazelslip/internal/policy/pathhealth"
)

const (
	// minPathSilence is the minimum time without any event on a path's calls before the path is suspected.
	// silentPasses applies as it does to a single group.
	minPathSilence = 300 * time.Millisecond
	// recentEvent is the maximum age of a group's last event for its calls to stay when the path is lost: open
	// connections may keep working while new ones are refused.
	recentEvent = 250 * time.Millisecond
)

func destinationOf(spec *Spec) pathhealth.Destination {
	return pathhealth.Destination{Service: spec.Service, DataCentre: spec.DataCentre}
}

// updatePathServers tells each path which servers it leads to.
func (board *Board) updatePathServers(current *snapshot) {
	servers := map[pathhealth.Destination][]string{}
	for _, pool := range current.pools {
		for _, target := range pool.targets {
			servers[destinationOf(&target.Spec)] = append(servers[destinationOf(&target.Spec)], target.ID)
		}
	}
	for _, path := range board.paths.All() {
		path.SetServers(servers[path.Destination])
	}
}

// RecordConnected records that a connection to the target was opened for a call.
func (target *Target) RecordConnected() {
	target.path.RecordConnect(target.ID)
}

// RecordConnectFailure records that connecting to the target failed, by an attempt that began at the given time.
func (target *Target) RecordConnectFailure(began time.Duration) {
	target.path.RecordConnectFailure(target.ID, began)
}

// RecordBrokenConnection records that the connection of a call at the target broke.
func (target *Target) RecordBrokenConnection() {
	target.path.RecordBreak(target.ID, target.now())
}

// PathHealthy reports whether the path to the target is healthy. If it isn't, a failed call there says nothing
// about the server.
func (target *Target) PathHealthy() bool {
	return target.path.Status() == pathhealth.Healthy
}

// Path returns this node's network path to the target.
func (target *Target) Path() *pathhealth.Path {
	return target.path
}

// ReachableByIdleConnection reports whether the target can still be called although its path is lost: something
// has just arrived from it, and an idle connection to it is open.
func (board *Board) ReachableByIdleConnection(target *Target) bool {
	return target.path.RecentlyActive(target.ID) && board.hasIdleConnection(target.Address)
}

// AllPathsLost reports whether a pool has targets and the paths to all of them are lost.
func (board *Board) AllPathsLost(name string) bool {
	pool, ok := board.pool(name)
	if !ok || len(pool.targets) == 0 {
		return false
	}
	for _, target := range pool.targets {
		if target.path.Status() != pathhealth.Lost {
			return false
		}
	}
	return true
}

// Paths returns this node's network paths to servers.
func (board *Board) Paths() *pathhealth.Paths {
	return board.paths
}

// WatchPaths checks the paths of all targets with calls in progress. A path is suspected if its calls have waited for
// too long and nothing has arrived from any of its servers meanwhile.
func (board *Board) WatchPaths() {
	now := board.now()
	for _, target := range board.snapshot.Load().targets {
		if target.ownCalls.Load() == 0 {
			continue
		}
		if silence := target.silenceThreshold(minPathSilence); target.readableStreams() > 0 || now-target.oldestUnanswered(now) >= silence {
			target.path.RecordSilence(silence)
		}
	}
}

// PathProbe lists servers to connect to, with their addresses.
type PathProbe struct {
	pathhealth.Probe
	Addresses map[string]string
}

// Witness is a server that gets no calls from this node. Whether it accepts connections shows whether the path to it
// works.
type Witness struct {
	ID, Address string
}

// DuePathProbes returns the probes that are due on suspected and lost paths.
func (board *Board) DuePathProbes() []PathProbe {
	if !board.paths.AnyUnhealthy() {
		return nil
	}
	addresses := map[string]string{}
	for _, target := range board.snapshot.Load().targets {
		addresses[target.ID] = target.Address
	}
	for _, path := range board.paths.All() {
		if path.Status() != pathhealth.Healthy {
			path.SetWitnesses(board.findWitnesses(path.Destination, addresses))
		}
	}
	due := board.paths.DueProbes()
	probes := make([]PathProbe, 0, len(due))
	for _, probe := range due {
		probes = append(probes, PathProbe{Probe: probe, Addresses: addresses})
	}
	return probes
}

// findWitnesses returns the servers of a path that get no calls, and adds their addresses.
func (board *Board) findWitnesses(destination pathhealth.Destination, addresses map[string]string) []string {
	ids := []string{}
	for _, witness := range board.witnesses(destination) {
		if _, known := addresses[witness.ID]; !known {
			addresses[witness.ID] = witness.Address
			ids = append(ids, witness.ID)
		}
	}
	return ids
}

// SuspectCalls suspects the calls of a lost path, except at groups that have just had an event. It returns the number
// of calls suspected.
func (board *Board) SuspectCalls(path *pathhealth.Path) int {
	suspected, now := 0, board.now()
	for _, target := range board.snapshot.Load().targets {
		if target.path == path && target.Group != "" && now-time.Duration(target.lastEventAt.Load()) > recentEvent {
			suspected += target.suspectCalls(PathLost)
		}
	}
	return suspected
}

// OwnCalls returns the number of this node's calls at all targets.
func (board *Board) OwnCalls() int {
	calls := 0
	for _, target := range board.snapshot.Load().targets {
		calls += int(target.ownCalls.Load())
	}
	return calls
}

// SuspectStalled suspects the calls of a standalone target if nothing has arrived for too long: streaming limits
// the silence of started streams, unanswered the wait for a first event. It reports whether it suspects the calls.
func (target *Target) SuspectStalled(streaming, unanswered time.Duration) bool {
	if target.ownCalls.Load() == 0 {
		return false
	}
	maxSilence := unanswered
	silence, running := target.silentFor(target.now())
	if running {
		maxSilence = streaming
	}
	if silence < maxSilence {
		return false
	}
	target.suspectCalls(PeerSilent)
	return true
}
