package gateway

import (
	"hazelslip/internal/policy/demand"
	"hazelslip/internal/wire/frame"
)

// demandState is the demand sent and received over one link.
type demandState struct {
	// reports are this node's reports by frame sequence number; lastReport is the latest of them.
	reports    demand.Reports
	lastReport demand.PoolRates
	// received is the demand of the nodes in the other side's subtree. On the link to the upstream node it is
	// the demand of all other nodes.
	received demand.PoolRates
}

// demandTotals is the demand summed over nodes, with the same scopes as the load in fleetTotals.
type demandTotals struct {
	own, subtree, others demand.PoolRates
}

// fleet returns the demand of all nodes.
func (demandTotals *demandTotals) fleet() demand.PoolRates {
	all := demand.PoolRates{}
	all.Add(demandTotals.own)
	all.Add(demandTotals.others)
	return all
}

func (peers *peers) demandTotalsLocked() demandTotals {
	totals := demandTotals{own: peers.node.demand.Local(), subtree: demand.PoolRates{}, others: demand.PoolRates{}}
	totals.subtree.Add(totals.own)
	for link, state := range peers.linkStates {
		totals.others.Add(state.demands.received)
		if isDownstream(link) {
			totals.subtree.Add(state.demands.received)
		}
	}
	return totals
}

// addDemands adds demand to a frame for a relay or a root: the demand of the whole fleet if the other side is
// downstream of this node, otherwise the demand of this node's subtree.
func (peers *peers) addDemands(message *frame.Frame, state *linkState, totals *demandTotals) {
	if isDownstream(state.link) {
		message.Demands = demandsToWire(totals.fleet())
		return
	}
	state.demands.reports.Add(message.Sequence, totals.subtree)
	message.Demands = demandsToWire(totals.subtree)
}

// addLeafDemands adds a leaf's own demand to its report.
func (peers *peers) addLeafDemands(message *frame.Frame, state *linkState, own demand.PoolRates) {
	state.demands.lastReport = own
	state.demands.reports.Add(message.Sequence, own)
	message.Demands = demandsToWire(own)
}

// demandsForLeaves encodes the demand of the whole fleet for leaves. The revision changes once the demand
// differs enough from what was last sent to justify a frame.
func (peers *peers) demandsForLeaves(totals *demandTotals) (encoded []*frame.PoolDemand, revision uint64) {
	all := totals.fleet()
	if all.DiffersFrom(peers.lastLeafDemands) {
		peers.lastLeafDemands = all
		peers.leafDemandRevision++
	}
	return demandsToWire(all), peers.leafDemandRevision
}

// applyDemandsLocked replaces the demand received over a link by that of a new frame. The received demand is
// dropped when the link ends.
func (peers *peers) applyDemandsLocked(state *linkState, received *frame.Frame) {
	poolRates := demandsFromWire(received.Demands)
	if !state.link.Upstream() {
		state.demands.received = poolRates
		return
	}
	own, known := state.demands.reports.Get(received.Included)
	if !known {
		// This node's part of the rates is no longer known, so the rates of an earlier frame stay in use.
		return
	}
	state.demands.received = poolRates.Subtract(own)
	if !isBackbone(state.link) && peers.overlay.Upstream() == state.link {
		// No demand at all means that the upstream node has only just started. An estimate from this node's
		// own rates and the number of nodes is better than none.
		others := state.demands.received
		if len(poolRates) == 0 {
			others = nil
		}
		peers.node.demand.SetRemote(others)
	}
}

// applyOtherDemands passes the demand of the other nodes to the demand counter of a node without an upstream
// feed. A relay or a root receives that demand itself, so an empty total counts as known.
func (peers *peers) applyOtherDemands() {
	peers.mu.Lock()
	others := peers.totalsLocked().demands.others
	peers.mu.Unlock()
	peers.node.demand.SetRemote(others)
}

func demandsToWire(poolRates demand.PoolRates) []*frame.PoolDemand {
	encoded := make([]*frame.PoolDemand, 0, len(poolRates))
	for _, pool := range poolRates.Pools() {
		rates := poolRates[pool]
		encodedPool := &frame.PoolDemand{Pool: pool, Refused: demand.EncodeRate(rates.Refused)}
		for _, requested := range rates.RequestedByRank() {
			encodedPool.Asked = append(encodedPool.Asked, demand.EncodeRate(requested))
		}
		encoded = append(encoded, encodedPool)
	}
	return encoded
}

func demandsFromWire(encoded []*frame.PoolDemand) demand.PoolRates {
	poolRates := make(demand.PoolRates, len(encoded))
	for _, poolDemand := range encoded {
		rates := demand.Rates{Refused: demand.DecodeRate(poolDemand.Refused)}
		for rank, requested := range poolDemand.Asked {
			rates.Requested[min(rank, demand.Ranks-1)] += demand.DecodeRate(requested)
		}
		poolRates[poolDemand.Pool] = rates
	}
	return poolRates
}
