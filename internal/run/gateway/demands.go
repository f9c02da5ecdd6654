package gateway

import (
	"hazelslip/internal/policy/demand"
	"hazelslip/internal/wire/frame"
)

// demands is what was told and heard of demand over one link.
type demands struct {
	// reports are what this node reported, by the sequence numbers of its frames, and
	// reported is the last of them.
	reports  demand.Reports
	reported demand.PoolRates
	// sums are what the other side speaks for; from the node above they are those of all
	// other nodes.
	sums demand.PoolRates
}

// demandSums are added up over nodes as the sums of loads are.
type demandSums struct {
	own, inside, others demand.PoolRates
}

// everywhere is the demand of all nodes.
func (sums *demandSums) everywhere() demand.PoolRates {
	all := demand.PoolRates{}
	all.Add(sums.own)
	all.Add(sums.others)
	return all
}

func (peers *peers) demandSumsLocked() demandSums {
	added := demandSums{own: peers.node.demand.Local(), inside: demand.PoolRates{}, others: demand.PoolRates{}}
	added.inside.Add(added.own)
	for link, channel := range peers.channels {
		added.others.Add(channel.demands.sums)
		if downstream(link) {
			added.inside.Add(channel.demands.sums)
		}
	}
	return added
}

// addDemands tells a relay or root what the nodes are asked for that this node speaks for, or, where it is
// attached to this node, what all are.
func (peers *peers) addDemands(told *frame.Frame, channel *channel, sums *demandSums) {
	if downstream(channel.link) {
		told.Demands = demandsToWire(sums.everywhere())
		return
	}
	channel.demands.reports.Add(told.Sequence, sums.inside)
	told.Demands = demandsToWire(sums.inside)
}

// reportDemands tells the node above what this leaf is asked for.
func (peers *peers) reportDemands(told *frame.Frame, channel *channel, own demand.PoolRates) {
	channel.demands.reported = own
	channel.demands.reports.Add(told.Sequence, own)
	told.Demands = demandsToWire(own)
}

// leafDemands is the demand of all nodes as leaves are told it. News is a number that
// changes with it when it has changed enough to be told on its own.
func (peers *peers) leafDemands(sums *demandSums) (told []*frame.PoolDemand, news uint64) {
	all := sums.everywhere()
	if all.DiffersFrom(peers.toldDemands) {
		peers.toldDemands = all
		peers.leafDemandNews++
	}
	return demandsToWire(all), peers.leafDemandNews
}

// takeDemandsLocked takes what a frame tells of demand. Its sums replace those of the frame
// before, and end with the link.
func (peers *peers) takeDemandsLocked(channel *channel, received *frame.Frame) {
	sums := demandsFromWire(received.Demands)
	if !channel.link.Upstream() {
		channel.demands.sums = sums
		return
	}
	own, remembered := channel.demands.reports.Get(received.Included)
	if !remembered {
		// The part of this node in the sums is not known, so the sums of an earlier frame stay.
		return
	}
	channel.demands.sums = sums.Subtract(own)
	if !core(channel.link) && peers.overlay.Upstream() == channel.link {
		// A leaf that is told of no demand at all is attached to a node that has only just started: its own
		// rates and the number of nodes are the better guess.
		others := channel.demands.sums
		if len(sums) == 0 {
			others = nil
		}
		peers.node.demand.SetRemote(others)
	}
}

// spreadDemands tells what other nodes are asked for, where no frame from above does. A relay or root hears of the
// others' demand itself, and none is an answer.
func (peers *peers) spreadDemands() {
	peers.mu.Lock()
	others := peers.sumsLocked().demands.others
	peers.mu.Unlock()
	peers.node.demand.SetRemote(others)
}

func demandsToWire(sums demand.PoolRates) []*frame.PoolDemand {
	told := make([]*frame.PoolDemand, 0, len(sums))
	for _, pool := range sums.Pools() {
		rates := sums[pool]
		one := &frame.PoolDemand{Pool: pool, Refused: demand.EncodeRate(rates.Refused)}
		for _, asked := range rates.RequestedByRank() {
			one.Asked = append(one.Asked, demand.EncodeRate(asked))
		}
		told = append(told, one)
	}
	return told
}

func demandsFromWire(told []*frame.PoolDemand) demand.PoolRates {
	sums := make(demand.PoolRates, len(told))
	for _, one := range told {
		rates := demand.Rates{Refused: demand.DecodeRate(one.Refused)}
		for rank, asked := range one.Asked {
			rates.Requested[min(rank, demand.Ranks-1)] += demand.DecodeRate(asked)
		}
		sums[one.Pool] = rates
	}
	return sums
}
