package gateway

import (
	"time"

	"hazelslip/internal/fleet/relay"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/wire/exchange"
)

// othersLoads is what all other nodes have at each server, as this node's relay
// said.
type othersLoads struct {
	at     time.Duration
	shares map[string]dispatch.Share
}

// shares returns what the other nodes, but for one, have at each server.
func (peers *peers) shares(all []neighbourState, digests map[string]relay.Digest, now time.Duration, except string) map[string]dispatch.Share {
	plan := peers.plan.Load()
	if told := peers.others.Load(); told != nil && plan.large && !plan.relays && now-told.at < relayedFor {
		return told.shares
	}
	shares := map[string]dispatch.Share{}
	own := peers.node.settings.DataCentre
	for _, found := range all {
		theirs := found.member.DataCentre
		told := theirs != own && digests[theirs].Loads != nil
		if found.address == except || told || found.standing == nil || now-found.heard >= aliveFor {
			continue
		}
		for _, load := range found.standing.Loads {
			shares[load.Server] = shares[load.Server].Plus(shareOf(load))
		}
	}
	for dataCentre, digest := range digests {
		if dataCentre == own {
			continue
		}
		for server, share := range digest.Loads {
			shares[server] = shares[server].Plus(share)
		}
	}
	return shares
}

func shareOf(load *exchange.HeadLoad) dispatch.Share {
	return dispatch.Share{Calls: int(load.Running), Unread: int(load.Unread), Failed: int(load.Failed), Answered: int(load.Answered)}
}

// takeDigests takes what a relay said of other nodes.
func (peers *peers) takeDigests(standing *exchange.Standing, asked time.Duration) {
	for _, told := range standing.Digests {
		digest := relay.Digest{At: asked - time.Duration(told.AgeMs)*time.Millisecond, Version: told.Version}
		for _, member := range told.Members {
			found := relay.Member{
				Incarnation: member.Incarnation, Address: member.Address, DataCentre: told.DataCentre, Term: member.Term,
				Fit: member.Fit, StoreAway: member.StoreAway, Capacity: member.Capacity,
			}
			digest.Members = append(digest.Members, found)
			peers.learn(found)
			peers.node.keeper.Heard(member.Term)
		}
		if standing.DataCentre != peers.node.settings.DataCentre {
			digest.Loads = sharesOf(told.Loads)
		}
		peers.table.Take(told.DataCentre, digest)
	}
	if standing.DataCentre != peers.node.settings.DataCentre || len(standing.Digests) == 0 {
		return
	}
	told := &othersLoads{at: asked, shares: sharesOf(standing.Others)}
	peers.others.Store(told)
	if plan := peers.plan.Load(); plan.large && !plan.relays {
		peers.node.board.PeerLoads(told.shares)
	}
}

// standing is what this node tells a peer.
func (peers *peers) standing(to neighbourState, wantList bool) *exchange.Standing {
	node, plan := peers.node, peers.plan.Load()
	standing := node.standing(wantList)
	if !plan.large {
		standing.News = node.recentNews()
		for _, other := range *peers.alive.Load() {
			standing.Known = append(standing.Known, other.Address)
		}
		return standing
	}
	for dataCentre, version := range peers.table.Versions() {
		standing.Held = append(standing.Held, &exchange.HeldMembers{DataCentre: dataCentre, Version: version})
	}
	if plan.relays || standing.Term != 0 {
		standing.News = node.recentNews()
	}
	if plan.relays {
		standing.SilentHeads = append(standing.SilentHeads, peers.silencesFor(to.member.DataCentre)...)
	}
	peers.addDigests(standing, &to, plan)
	return standing
}

// addDigests adds what this node knows of others: for a node of its own data
// centre everything, with the loads in one sum; for another data centre's
// relay the own data centre.
func (peers *peers) addDigests(standing *exchange.Standing, to *neighbourState, plan *relayPlan) {
	own, now := peers.node.settings.DataCentre, peers.node.now()
	all, digests := peers.states(), peers.table.Fresh(now, relayedFor)
	if plan.relays {
		digests[own] = peers.ownDigest(all, now)
	}
	held := map[string]uint64{}
	if to.standing != nil {
		for _, one := range to.standing.Held {
			held[one.DataCentre] = one.Version
		}
	}
	if to.member.DataCentre != own {
		digest, known := digests[own]
		if !known {
			return
		}
		// A node that isn't the relay tells who is, by its members.
		told := toDigest(own, digest, held, now)
		if plan.relays {
			told.Loads = loadsOf(peers.ownShares(all, now))
		}
		standing.Digests = append(standing.Digests, told)
		return
	}
	for dataCentre, digest := range digests {
		standing.Digests = append(standing.Digests, toDigest(dataCentre, digest, held, now))
	}
	standing.Others = loadsOf(peers.sharesFor(all, digests, now, to.address))
}

// ownDigest is the own data centre as its relay knows it.
func (peers *peers) ownDigest(all []neighbourState, now time.Duration) relay.Digest {
	members := []relay.Member{peers.self()}
	for _, found := range all {
		if found.member.DataCentre == peers.node.settings.DataCentre && found.speaks(now) {
			members = append(members, found.member)
		}
	}
	return relay.Digest{At: now, Version: relay.Version(members), Members: members}
}

// ownShares is what the nodes of the own data centre have at each server, as
// its relay knows it.
func (peers *peers) ownShares(all []neighbourState, now time.Duration) map[string]dispatch.Share {
	inside := []neighbourState{}
	for _, found := range all {
		if found.member.DataCentre == peers.node.settings.DataCentre {
			inside = append(inside, found)
		}
	}
	return peers.sharesFor(inside, nil, now, "")
}

// sharesFor is what all nodes but one have at each server, this one included.
func (peers *peers) sharesFor(all []neighbourState, digests map[string]relay.Digest, now time.Duration, except string) map[string]dispatch.Share {
	shares := map[string]dispatch.Share{}
	for server, share := range peers.shares(all, digests, now, except) {
		shares[server] = share
	}
	for server, share := range peers.node.board.Shares() {
		shares[server] = shares[server].Plus(share)
	}
	return shares
}

func toDigest(dataCentre string, digest relay.Digest, held map[string]uint64, now time.Duration) *exchange.Digest {
	told := &exchange.Digest{DataCentre: dataCentre, AgeMs: uint32(max(0, now-digest.At).Milliseconds()), Version: digest.Version}
	if held[dataCentre] == digest.Version {
		return told
	}
	for _, member := range digest.Members {
		told.Members = append(told.Members, &exchange.Member{
			Incarnation: member.Incarnation, Address: member.Address, Term: member.Term, Fit: member.Fit,
			StoreAway: member.StoreAway, Capacity: member.Capacity,
		})
	}
	return told
}

func sharesOf(loads []*exchange.HeadLoad) map[string]dispatch.Share {
	shares := make(map[string]dispatch.Share, len(loads))
	for _, load := range loads {
		shares[load.Server] = shareOf(load)
	}
	return shares
}

func loadsOf(shares map[string]dispatch.Share) []*exchange.HeadLoad {
	loads := make([]*exchange.HeadLoad, 0, len(shares))
	for server, share := range shares {
		loads = append(loads, &exchange.HeadLoad{
			Server: server, Running: uint32(share.Calls), Unread: uint32(max(0, share.Unread)),
			Failed: uint32(share.Failed), Answered: uint32(share.Answered),
		})
	}
	return loads
}
