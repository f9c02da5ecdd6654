package dispatch

import (
	"sync"
	"sync/atomic"
	"time"
)

// If servers of one data centre fall silent together, the network path to the data centre is down. When each
// server was found silent on its own, after a timeout, the next call went to another server behind the same
// failed path, and callers gave up before the call was sent elsewhere.
//
// Each node therefore records when it last received anything from a data centre. It suspects the path if calls
// to two servers there time out, or the streams of two groups stall, and nothing has arrived from any server
// since. The owner of the board then connects to some of the servers, which takes milliseconds if the path is
// healthy. While no server answers, calls go to other data centres as long as there are any.

const (
	// minDataCentreSilence is the minimum time without any event from a data centre's running streams after which
	// the path is suspected. silentPasses applies as it does to a single group.
	minDataCentreSilence = 300 * time.Millisecond
	// suspectStreams is the minimum number of stalled streams. suspectTargets is the minimum number of groups at
	// which these run, and the number of servers at which calls must have timed out.
	suspectStreams = 3
	suspectTargets = 2
	// probeInterval is the interval between probes of a data centre that isn't reached.
	probeInterval = 400 * time.Millisecond
	// serversPerProbe is the number of servers that a probe connects to, as a single server may have ended.
	serversPerProbe = 3
)

// pathStatus is a node's assessment of the path to a data centre.
type pathStatus = int32

const (
	// pathHealthy means that there is no sign of a failure.
	pathHealthy pathStatus = iota
	// pathSuspected means that the path is being probed. Calls go elsewhere meanwhile.
	pathSuspected
	// pathLost means that no server in the data centre accepted a connection.
	pathLost
)

// dataCentrePath is the network path to another data centre.
type dataCentrePath struct {
	// status is written under mu, and read without it when a call is routed.
	status atomic.Int32

	mu sync.Mutex
	// lastResponseAt is when anything last arrived from a server in the data centre.
	lastResponseAt time.Duration
	// timedOutServers are the servers at which calls that were sent after lastResponseAt timed out.
	timedOutServers map[string]struct{}
	// lastProbeAt is when the data centre was last probed.
	lastProbeAt time.Duration
}

// unhealthy reports whether calls should go elsewhere.
func (dataCentrePath *dataCentrePath) unhealthy() bool {
	return dataCentrePath != nil && dataCentrePath.status.Load() != pathHealthy
}

// recordResponse records that something arrived from the data centre.
func (dataCentrePath *dataCentrePath) recordResponse(now time.Duration) {
	if dataCentrePath == nil {
		return
	}
	dataCentrePath.mu.Lock()
	defer dataCentrePath.mu.Unlock()
	dataCentrePath.lastResponseAt = now
	dataCentrePath.status.Store(pathHealthy)
	if len(dataCentrePath.timedOutServers) > 0 {
		clear(dataCentrePath.timedOutServers)
	}
}

// recordTimeout records that a call to a server, sent at the given time, timed out.
func (dataCentrePath *dataCentrePath) recordTimeout(server string, sent time.Duration) {
	if dataCentrePath == nil {
		return
	}
	dataCentrePath.mu.Lock()
	defer dataCentrePath.mu.Unlock()
	if dataCentrePath.lastResponseAt > sent {
		return
	}
	dataCentrePath.timedOutServers[server] = struct{}{}
	if dataCentrePath.status.Load() == pathHealthy && len(dataCentrePath.timedOutServers) >= suspectTargets {
		dataCentrePath.status.Store(pathSuspected)
	}
}

// checkStalled suspects the path if enough streams at enough groups have been silent for too long.
func (dataCentrePath *dataCentrePath) checkStalled(now time.Duration, pass time.Duration, streams, groups int) {
	dataCentrePath.mu.Lock()
	defer dataCentrePath.mu.Unlock()
	silent := now-dataCentrePath.lastResponseAt >= max(minDataCentreSilence, silentPasses*pass)
	if dataCentrePath.status.Load() == pathHealthy && silent && streams >= suspectStreams && groups >= suspectTargets {
		dataCentrePath.status.Store(pathSuspected)
	}
}

// takeDueProbe reports whether a probe is due, and records the probe as made.
func (dataCentrePath *dataCentrePath) takeDueProbe(now time.Duration) bool {
	dataCentrePath.mu.Lock()
	defer dataCentrePath.mu.Unlock()
	if dataCentrePath.status.Load() == pathHealthy || (dataCentrePath.lastProbeAt != 0 && now-dataCentrePath.lastProbeAt < probeInterval) {
		return false
	}
	dataCentrePath.lastProbeAt = now
	return true
}

// markLost records that no server accepted a connection, and reports whether the path has just become lost.
func (dataCentrePath *dataCentrePath) markLost() bool {
	dataCentrePath.mu.Lock()
	defer dataCentrePath.mu.Unlock()
	changed := dataCentrePath.status.Load() == pathSuspected
	if changed {
		dataCentrePath.status.Store(pathLost)
	}
	return changed
}

// DataCentreProbe lists servers to connect to in a data centre whose path may be down.
type DataCentreProbe struct {
	DataCentre string
	Addresses  []string

	board *Board
	path  *dataCentrePath
}

// DueDataCentreProbes returns the probes that are due now.
func (board *Board) DueDataCentreProbes() []DataCentreProbe {
	now := board.now()
	current := board.snapshot.Load()
	board.detectStalledStreams(current, now)
	probes := []DataCentreProbe{}
	for name, path := range current.dataCentrePaths {
		if !path.takeDueProbe(now) {
			continue
		}
		probe := DataCentreProbe{DataCentre: name, board: board, path: path}
		addresses := []string{}
		for _, target := range current.targets {
			if target.DataCentre == name {
				addresses = append(addresses, target.Address)
			}
		}
		for count := min(serversPerProbe, len(addresses)); count > 0; count-- {
			chosen := board.random(len(addresses))
			probe.Addresses = append(probe.Addresses, addresses[chosen])
			addresses = append(addresses[:chosen], addresses[chosen+1:]...)
		}
		probes = append(probes, probe)
	}
	return probes
}

// detectStalledStreams looks for data centres whose streams have all stalled.
func (board *Board) detectStalledStreams(current *snapshot, now time.Duration) {
	for name, path := range current.dataCentrePaths {
		streams, groups, pass := 0, 0, time.Duration(0)
		for _, target := range current.targets {
			if running := int(target.readableStreams()); target.DataCentre == name && running > 0 {
				streams, groups, pass = streams+running, groups+1, max(pass, target.PassTime)
			}
		}
		path.checkStalled(now, pass, streams, groups)
	}
}

// Done records the result of a probe. If no server answered, the streams that run in the data centre are suspected.
// Done returns the number of calls suspected and whether the path has just become lost.
func (dataCentreProbe *DataCentreProbe) Done(answered bool) (suspected int, changed bool) {
	if answered {
		dataCentreProbe.path.recordResponse(dataCentreProbe.board.now())
		return 0, false
	}
	if !dataCentreProbe.path.markLost() {
		return 0, false
	}
	for _, target := range dataCentreProbe.board.snapshot.Load().targets {
		if target.DataCentre == dataCentreProbe.DataCentre && target.Group != "" {
			suspected += target.suspectCalls(DataCentreUnreachable)
		}
	}
	return suspected, true
}

// RecordResponse records that something arrived for a call at the target.
func (target *Target) RecordResponse() {
	target.breaker.recordAnswer(target.now())
	target.dataCentrePath.recordResponse(target.now())
	target.path.RecordActivity(target.ID)
}

// RecordTimeout records that a call to the target, sent at the given time, timed out.
func (target *Target) RecordTimeout(sent time.Duration) {
	target.dataCentrePath.recordTimeout(target.ID, sent)
	target.path.RecordBreak(target.ID, sent)
}
