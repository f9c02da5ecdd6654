package gateway

import (
	"slices"

	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/fleet/tenure"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/policy/reach"
	"hazelslip/internal/wire/frame"
)

// unsureMost bounds the ends of servers that are unsure.
const unsureMost = 256

// unsureEnd is an end of a server that may have been one of the way there.
type unsureEnd struct {
	fingerprint quarantine.Fingerprint
	run         string
}

// probe connects to servers of a way.
func (detours *detours) probe(probe *dispatch.WayProbe) {
	opens := func(server string) bool { return detours.node.pool.CanConnect(probe.Addresses[server], probeTime) }
	reached := detours.node.tryAll(probe.Servers, opens, probe.Whole)
	if result := probe.Done(reached); result.Changed() {
		detours.changed(probe.Way, &result)
	}
}

// changed tells that a way is lost, or whole again.
func (detours *detours) changed(way *reach.Way, result *reach.Result) {
	node, place := detours.node, way.Place
	detours.mu.Lock()
	ends, withheld := detours.unsure[way], detours.withheld
	delete(detours.unsure, way)
	detours.withheld = 0
	detours.mu.Unlock()
	switch result.After {
	case reach.Lost:
		node.waysLost.Add(1)
		node.logger.Warn("gateway: servers of a service are not reached from here.", "Service", place.Service, "DataCentre", place.DataCentre,
			"Tried", result.Tried, "Reached", result.Reached, "DoubtedMilliseconds", result.For.Milliseconds(),
			"CallsMoved", node.board.Leave(way), "EndsNotBelieved", len(ends), "ReportsWithheld", withheld)
	case reach.Open:
		for _, end := range ends {
			if _, news := node.quarantine.Ended(end.fingerprint, end.run); news {
				node.suspected(end.fingerprint)
			}
		}
		if result.Before == reach.Lost {
			node.logger.Info("gateway: servers of a service are reached again.", "Service", place.Service, "DataCentre", place.DataCentre,
				"LostMilliseconds", result.For.Milliseconds(), "ReportsWithheld", withheld)
		}
	}
}

// unsureOf keeps a request under which a server may have ended until it is known whether the way there is whole.
func (detours *detours) unsureOf(target *dispatch.Target, fingerprint quarantine.Fingerprint) {
	way := target.Way()
	detours.mu.Lock()
	defer detours.mu.Unlock()
	if way.Standing() == reach.Doubted && len(detours.unsure[way]) < unsureMost {
		detours.unsure[way] = append(detours.unsure[way], unsureEnd{fingerprint: fingerprint, run: target.Run()})
	}
}

// doubts says whether what this node sees of a server says nothing of it, and counts what isn't told for that.
func (detours *detours) doubts(target *dispatch.Target) bool {
	if target.Reached() {
		return false
	}
	detours.mu.Lock()
	defer detours.mu.Unlock()
	detours.withheld++
	return true
}

// withoutEngines says whether this node reaches no server of any service whose servers form groups: it can't give
// orders.
func (node *Node) withoutEngines() bool {
	return node.detours.lacksEngines(node.detours.ways.Lost(false))
}

// lacksEngines says whether a node that has lost some ways reaches no server of any service whose servers form groups.
func (detours *detours) lacksEngines(lost []reach.Place) bool {
	if len(lost) == 0 {
		return false
	}
	services := detours.node.engineServices()
	for number := range services {
		if !detours.ways.Without(services[number].Name, lost) {
			return false
		}
	}
	return len(services) > 0
}

// orderTerm is the term under which this node gives orders now, 0 for none.
func (node *Node) orderTerm() int64 {
	if node.withoutEngines() {
		return 0
	}
	return node.keeper.Term()
}

// yieldTerm gives this node's term up where it can't give orders and another one could. Where none could, it stays: the
// term would pass from one to the next.
func (node *Node) yieldTerm(tenants []tenure.Peer) {
	term := node.keeper.Term()
	if term == 0 || !node.withoutEngines() || !slices.ContainsFunc(tenants, func(peer tenure.Peer) bool { return peer.Fit }) {
		return
	}
	node.logger.Warn("gateway: this node reaches no server and gives up giving orders.", "Term", term)
	node.keeper.Outdated(term)
}

// lostFor returns the ways that the other side of a link is told that this node has lost.
func (peers *peers) lostFor(link *overlay.Link) []reach.Place {
	if downstream(link) {
		return nil
	}
	return peers.node.detours.ways.Lost(false)
}

func waysToWire(places []reach.Place) []*frame.Way {
	told := make([]*frame.Way, 0, len(places))
	for _, place := range places {
		told = append(told, &frame.Way{Service: place.Service, DataCentre: place.DataCentre})
	}
	return told
}

func waysFromWire(told []*frame.Way) []reach.Place {
	places := make([]reach.Place, 0, len(told))
	for _, way := range told {
		places = append(places, reach.Place{Service: way.Service, DataCentre: way.DataCentre})
	}
	return places
}
