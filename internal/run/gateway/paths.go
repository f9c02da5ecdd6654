package gateway

import (
	"slices"
	"time"

	"hazelslip/internal/fleet/leadership"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/pathhealth"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/wire/frame"
)

const (
	// maxUncertainFailures bounds the uncertain server failures kept per path.
	maxUncertainFailures = 256
	// uncertainFailureTTL is how long an uncertain server failure is kept. A server that crashed is back within seconds.
	uncertainFailureTTL = 30 * time.Second
)

// uncertainFailure is a server failure during a request that may have been a failure of the path to the
// server. If the server has only been silent, a healthy path makes it a stall, and no failure.
type uncertainFailure struct {
	subject quarantine.Subject
	target  *dispatch.Target
	stalled bool
	at      time.Duration
	// pathLost is set if the path was lost then or later. Only a restart of the server shows a failure of the server.
	pathLost bool
}

// listedServers returns the servers of a path that the server list shows, whether they get calls or not. A leaf has no
// server list.
func (node *Node) listedServers(destination pathhealth.Destination) []dispatch.Witness {
	listed := []dispatch.Witness{}
	for _, server := range node.servers.Load().ByService[destination.Service] {
		if server.DataCentre == destination.DataCentre {
			listed = append(listed, dispatch.Witness{ID: server.ID, Address: server.Address})
		}
	}
	return listed
}

// probe connects to servers of a path.
func (detours *detours) probe(probe *dispatch.PathProbe) {
	connects := func(server string) bool { return detours.node.pool.CanConnect(probe.Addresses[server], probeTimeout) }
	reached, valid := detours.node.probeAll(probe.Servers, connects, probe.ProvesHealthy)
	if !valid {
		return
	}
	if result := probe.Complete(reached); result.Changed() {
		detours.pathChanged(probe.Path, &result)
	}
}

// pathChanged handles a path that became lost or healthy.
func (detours *detours) pathChanged(path *pathhealth.Path, result *pathhealth.Result) {
	node, destination := detours.node, path.Destination
	detours.mu.Lock()
	failures, suppressed := detours.decideFailuresLocked(path, result), detours.suppressedReports
	kept := len(detours.uncertainFailures[path])
	detours.suppressedReports = 0
	detours.mu.Unlock()
	switch result.After {
	case pathhealth.Lost:
		node.pathsLost.Add(1)
		node.logger.Warn("gateway: the path to the servers of a service is lost.", "Service", destination.Service, "DataCentre", destination.DataCentre,
			"Tried", result.Tried, "Reached", result.Reached, "DoubtedMilliseconds", result.UnhealthyFor.Milliseconds(),
			"CallsSuspected", node.board.SuspectCalls(path), "EndsNotBelieved", kept, "ReportsWithheld", suppressed)
	case pathhealth.Healthy:
		if result.Before == pathhealth.Lost {
			node.logger.Info("gateway: the path to the servers of a service is restored.", "Service", destination.Service, "DataCentre", destination.DataCentre,
				"LostMilliseconds", result.UnhealthyFor.Milliseconds(), "ReportsWithheld", suppressed)
		}
		for index := range failures {
			failure := &failures[index]
			if failure.stalled && !failure.target.MemberLost() {
				node.quarantine.RecordStall(failure.subject, failure.target.Group, failure.target.Key())
				continue
			}
			node.recordUncertainFailure(failure)
		}
	}
}

// decideFailuresLocked returns the uncertain failures of a path that its change shows to be failures of the servers,
// and keeps the others: if the path was lost, only a restart of the server shows that.
func (detours *detours) decideFailuresLocked(path *pathhealth.Path, result *pathhealth.Result) []uncertainFailure {
	decided, kept := []uncertainFailure{}, []uncertainFailure{}
	for _, failure := range detours.uncertainFailures[path] {
		if result.After == pathhealth.Healthy && !failure.pathLost {
			decided = append(decided, failure)
			continue
		}
		failure.pathLost = true
		kept = append(kept, failure)
	}
	if detours.uncertainFailures[path] = kept; len(kept) == 0 {
		delete(detours.uncertainFailures, path)
	}
	return decided
}

// recordUncertainFailure records a failure that has turned out to be one of the server.
func (node *Node) recordUncertainFailure(failure *uncertainFailure) {
	if _, isNew := node.quarantine.RecordPastFailure(failure.subject, failure.target.Key(), failure.at); isNew {
		node.suspectChanged(failure.subject.Fingerprint)
	}
}

// deferFailure keeps a possible server failure, or a stall, during a request until it is known whether the server or the
// path to it failed.
func (detours *detours) deferFailure(target *dispatch.Target, subject quarantine.Subject, stalled bool) {
	path := target.Path()
	detours.mu.Lock()
	defer detours.mu.Unlock()
	if path.Status() != pathhealth.Healthy && len(detours.uncertainFailures[path]) < maxUncertainFailures {
		failure := uncertainFailure{subject: subject, target: target, stalled: stalled, at: detours.node.now(), pathLost: path.Status() == pathhealth.Lost}
		detours.uncertainFailures[path] = append(detours.uncertainFailures[path], failure)
	}
}

// recordRestarts records the uncertain failures whose servers have restarted since, and discards old ones. A path that
// was lost may have ended the calls at all of its servers, but restarts none of them.
func (detours *detours) recordRestarts(born map[string]int64) {
	restarted, now := []uncertainFailure{}, detours.node.now()
	detours.mu.Lock()
	for path, failures := range detours.uncertainFailures {
		kept := failures[:0]
		for _, failure := range failures {
			current, listed := born[failure.target.ID]
			switch {
			case listed && current > failure.target.Born:
				restarted = append(restarted, failure)
			case now-failure.at < uncertainFailureTTL:
				kept = append(kept, failure)
			}
		}
		if detours.uncertainFailures[path] = kept; len(kept) == 0 {
			delete(detours.uncertainFailures, path)
		}
	}
	detours.mu.Unlock()
	for index := range restarted {
		detours.node.recordUncertainFailure(&restarted[index])
	}
}

// hasUncertainFailures reports whether there are failures that recordRestarts may decide.
func (detours *detours) hasUncertainFailures() bool {
	detours.mu.Lock()
	defer detours.mu.Unlock()
	return len(detours.uncertainFailures) > 0
}

// suppressReport reports whether observations of a server are unreliable because the path to it is suspected
// or lost, and counts the reports suppressed for that reason.
func (detours *detours) suppressReport(target *dispatch.Target) bool {
	if target.PathHealthy() {
		return false
	}
	detours.mu.Lock()
	defer detours.mu.Unlock()
	detours.suppressedReports++
	return true
}

// cannotReachEngines reports whether this node reaches no engine server at all, so that it can't give orders.
func (node *Node) cannotReachEngines() bool {
	return node.detours.lacksEngineServers(node.detours.paths.LostDestinations(false))
}

// lacksEngineServers reports whether a node with the given lost paths reaches no server of any service with
// engine groups.
func (detours *detours) lacksEngineServers(lost []pathhealth.Destination) bool {
	if len(lost) == 0 {
		return false
	}
	services := detours.node.engineServices()
	for number := range services {
		if !detours.paths.AllLost(services[number].Name, lost) {
			return false
		}
	}
	return len(services) > 0
}

// orderTerm returns the term under which this node may give orders now, 0 for none.
func (node *Node) orderTerm() int64 {
	if node.cannotReachEngines() {
		return 0
	}
	return node.elector.Term()
}

// yieldLeadership gives up this node's term if this node reaches no engine server and another node could
// become leader. If no other node could, the term stays here, as it would only pass from one unsuitable node
// to the next.
func (node *Node) yieldLeadership(candidates []leadership.Peer) {
	term := node.elector.Term()
	if term == 0 || !node.cannotReachEngines() || !slices.ContainsFunc(candidates, func(peer leadership.Peer) bool { return peer.Eligible }) {
		return
	}
	node.logger.Warn("gateway: this node reaches no engine server and gives up leadership.", "Term", term)
	node.elector.HandleRefusal(term)
}

// lostPathsFor returns the lost paths of this node to report over a link. Nothing is reported to downstream
// nodes.
func (peers *peers) lostPathsFor(link *overlay.Link) []pathhealth.Destination {
	if isDownstream(link) {
		return nil
	}
	return peers.node.detours.paths.LostDestinations(false)
}

func pathsToWire(destinations []pathhealth.Destination) []*frame.Way {
	encoded := make([]*frame.Way, 0, len(destinations))
	for _, destination := range destinations {
		encoded = append(encoded, &frame.Way{Service: destination.Service, DataCentre: destination.DataCentre})
	}
	return encoded
}

func pathsFromWire(encoded []*frame.Way) []pathhealth.Destination {
	destinations := make([]pathhealth.Destination, 0, len(encoded))
	for _, path := range encoded {
		destinations = append(destinations, pathhealth.Destination{Service: path.Service, DataCentre: path.DataCentre})
	}
	return destinations
}
