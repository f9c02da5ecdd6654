package gateway

import (
	"sort"
	"time"

	"hazelslip/internal/common/rendezvous"
	"hazelslip/internal/fleet/relay"
	"hazelslip/internal/fleet/tenure"
)

// relayPlan is who talks to whom by this node's sight.
type relayPlan struct {
	// large says that the fleet is too large for all to talk to all.
	large bool
	// relays says that this node is its data centre's relay.
	relays bool
	// relay is the address of the own data centre's relay.
	relay string
	// chosen are the addresses of the relays, and of the second in the own data
	// centre where this node is its relay.
	chosen map[string]bool
	// centres counts the data centres, members the nodes of the own one.
	centres, members int
	// readers are the relays that reach the store, by incarnation; this node
	// among them where it is one.
	readers map[uint64]bool
}

// self is this node as others know it.
func (peers *peers) self() relay.Member {
	node := peers.node
	return relay.Member{
		Incarnation: node.Incarnation, Address: node.settings.Listen.Peer, DataCentre: node.settings.DataCentre,
		Term: node.keeper.Term(), Fit: node.servers.Load().Known() && node.configuration.Load().Known(),
		StoreAway: node.storeAway.Load(), Capacity: node.settings.Limits.Processor,
	}
}

const (
	// relayMembers is how many nodes a relay answers at the usual interval;
	// where it has more, they ask less often, so that it answers as many. An
	// answer costs it some 0.1 ms.
	relayMembers = 30
	// relayCentres is the same of the data centres whose relays it talks to.
	relayCentres = 8
	// digestLate is how old another data centre's digest may be before a relay
	// asks for it that should be told.
	digestLate = 300 * time.Millisecond
)

// interval is how often standings are exchanged with a regular peer.
func (peers *peers) interval(neighbour *neighbour) time.Duration {
	plan := peers.plan.Load()
	if !plan.large {
		return standingEvery
	}
	if neighbour.state().member.DataCentre == peers.node.settings.DataCentre {
		return standingEvery * time.Duration(max(1, plan.members/relayMembers))
	}
	return standingEvery * time.Duration(max(1, plan.centres/relayCentres))
}

// refresh works out who is alive, whom this node talks to, and what all have at
// each server.
func (peers *peers) refresh() {
	now := peers.node.now()
	peers.forgetSilences(now)
	all := peers.forget(peers.states(), now)
	digests := peers.table.Fresh(now, relayedFor)
	peers.noteSeen(digests)
	alive := peers.aliveOf(all, digests, now)
	peers.alive.Store(&alive)
	plan := peers.planRelays(all, alive, digests, now)
	if before := peers.plan.Swap(plan); plan.large && before.relay != plan.relay {
		peers.relayChanges.Add(1)
		peers.node.logger.Info("gateway: the data centre has another relay.", "Relay", plan.relay, "Before", before.relay,
			"Self", plan.relays, "Members", plan.members, "DataCentres", plan.centres)
	}
	for _, found := range all {
		found.setRegular(!plan.large || peers.wanted(plan, &found, digests, now))
	}
	shares := peers.shares(all, digests, now, "")
	peers.working.Store(len(shares) > 0)
	peers.node.board.PeerLoads(shares)
}

// noteSeen notes for the neighbours that relays tell of that they are alive.
func (peers *peers) noteSeen(digests map[string]relay.Digest) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for _, digest := range digests {
		for _, member := range digest.Members {
			if found := peers.neighbours[member.Address]; found != nil {
				found.mu.Lock()
				found.seen = max(found.seen, digest.At)
				found.mu.Unlock()
			}
		}
	}
}

// forget drops the neighbours that nobody has heard of for long.
func (peers *peers) forget(all []neighbourState, now time.Duration) []neighbourState {
	kept := all[:0]
	for _, found := range all {
		if now-max(found.heard, found.seen, found.added) <= forgetPeer {
			kept = append(kept, found)
			continue
		}
		peers.mu.Lock()
		if peers.neighbours[found.address] == found.neighbour {
			delete(peers.neighbours, found.address)
			close(found.stop)
		}
		peers.mu.Unlock()
	}
	return kept
}

// aliveOf returns the other nodes that are alive: those that speak to this node
// and those that relays tell of.
func (peers *peers) aliveOf(all []neighbourState, digests map[string]relay.Digest, now time.Duration) []relay.Member {
	found := map[string]relay.Member{}
	for _, digest := range digests {
		for _, member := range digest.Members {
			found[member.Address] = member
		}
	}
	for _, one := range all {
		if one.speaks(now) {
			found[one.address] = one.member
		} else if one.standing != nil && one.standing.Stopping && now-one.heard < countedFor {
			delete(found, one.address)
		}
	}
	delete(found, peers.node.settings.Listen.Peer)
	alive := make([]relay.Member, 0, len(found))
	for _, member := range found {
		alive = append(alive, member)
	}
	sort.Slice(alive, func(i, j int) bool { return alive[i].Incarnation < alive[j].Incarnation })
	return alive
}

// planRelays decides which nodes are the relays by what this node knows. The
// second of its own data centre is kept too: a relay talks to it, so that two
// nodes that both believe to be the relay find out.
func (peers *peers) planRelays(all []neighbourState, alive []relay.Member, digests map[string]relay.Digest, now time.Duration) *relayPlan {
	plan := &relayPlan{large: len(all)+1 > peers.node.mesh, chosen: map[string]bool{}, readers: map[uint64]bool{}}
	own, self := peers.node.settings.DataCentre, peers.self()
	centres := peers.candidates(all, append([]relay.Member{self}, alive...), digests, now)
	plan.centres, plan.members = len(centres), len(centres[own])
	for dataCentre, members := range centres {
		order := relay.Order(dataCentre, members)
		if len(order) == 0 {
			continue
		}
		first := order[0]
		if !first.StoreAway || self.StoreAway {
			plan.readers[first.Incarnation] = true
		}
		plan.chosen[first.Address] = true
		if dataCentre == own {
			plan.relay = first.Address
		}
		if dataCentre == own && first.Address == self.Address {
			plan.relays = plan.large
			if len(order) > 1 {
				plan.chosen[order[1].Address] = true
			}
		}
	}
	return plan
}

// candidates returns the nodes of each data centre that may be its relay: those
// that are alive and answer this node. Of a data centre whose relay isn't heard
// it is also every node that the store told of.
func (peers *peers) candidates(all []neighbourState, alive []relay.Member, digests map[string]relay.Digest, now time.Duration) map[string][]relay.Member {
	centres := map[string][]relay.Member{}
	known := map[string]bool{}
	suspected := map[string]bool{}
	for _, found := range all {
		suspected[found.address] = now < found.suspectUntil
	}
	for _, member := range alive {
		known[member.Address] = true
		if !suspected[member.Address] {
			centres[member.DataCentre] = append(centres[member.DataCentre], member)
		}
	}
	for _, found := range all {
		member := found.member
		_, told := digests[member.DataCentre]
		if member.DataCentre != "" && !told && !known[found.address] && !suspected[found.address] {
			member.Fit = false
			centres[member.DataCentre] = append(centres[member.DataCentre], member)
		}
	}
	return centres
}

// wanted says whether this node exchanges standings with a neighbour all the
// time. A relay also asks the nodes of its data centre that it knows of and that
// don't speak to it: they may follow another node that believes to be the relay,
// and none of them would ever hear of the two. Of two relays of different data
// centres one asks, unless the other's digest is late or the other knows
// something newer.
func (peers *peers) wanted(plan *relayPlan, found *neighbourState, digests map[string]relay.Digest, now time.Duration) bool {
	own, theirs := peers.node.settings.DataCentre, found.member.DataCentre
	switch {
	case theirs == "":
		return found.standing == nil
	case theirs == own:
		unheard := !found.speaks(now) && now >= found.suspectUntil
		return plan.chosen[found.address] || (plan.relays && (unheard || peers.behind(found, now)))
	case !plan.relays:
		return false
	}
	late := now-digests[theirs].At > digestLate
	return plan.chosen[found.address] && (own < theirs || late || peers.behind(found, now))
}

// behind says whether a neighbour that speaks to this node knows a newer
// configuration or list of servers.
func (peers *peers) behind(found *neighbourState, now time.Duration) bool {
	if !found.speaks(now) {
		return false
	}
	newer := found.standing.ConfigurationVersion > peers.node.configuration.Load().Configuration.Version
	return newer || (found.standing.ListKnown && found.listAge(now)+2*listTick < peers.node.listAge())
}

// setRegular makes the neighbour one to exchange standings with all the time,
// or one that is only told news.
func (neighbour *neighbour) setRegular(regular bool) {
	if !neighbour.regular.Swap(regular) && regular {
		neighbour.wake()
	}
}

// nodes is how many nodes share the fleet's budgets, this one included.
func (peers *peers) nodes() int {
	now := peers.node.now()
	count := 1
	for _, found := range peers.states() {
		if now-max(found.heard, found.seen) < countedFor {
			count++
		}
	}
	return count
}

// storeDuty is the one duty of reading for all in a large fleet: what reads the
// list also reads the configuration, so that a fresh list shows that both come.
const storeDuty = "store"

// rank is this node's place among the nodes that are alive for a duty; 0 is
// the one that should do it. In a large fleet relays come first, since the
// others hear from them.
func (peers *peers) rank(duty string) int {
	plan, self := peers.plan.Load(), peers.node.Incarnation
	before, candidates := 0, []uint64{self}
	if plan.large {
		duty = storeDuty
		if !plan.readers[self] {
			before = len(plan.readers)
		}
	}
	for _, other := range *peers.alive.Load() {
		reaches := !other.StoreAway || peers.node.storeAway.Load()
		if reaches && (!plan.large || plan.readers[other.Incarnation] == plan.readers[self]) {
			candidates = append(candidates, other.Incarnation)
		}
	}
	return before + rendezvous.Rank(duty, self, candidates)
}

func (peers *peers) mine(duty string) bool {
	return peers.rank(duty) == 0
}

// informed says whether other nodes bring this one what the store has, so that it
// need not ask itself.
func (peers *peers) informed() bool {
	return peers.plan.Load().large && peers.node.listAge() < listPatience && !peers.missesVersion()
}

// busy says whether any peer has calls under way.
func (peers *peers) busy() bool {
	return peers.working.Load()
}

// tenants are the peers that are alive, for the right to give orders.
func (peers *peers) tenants() []tenure.Peer {
	found := []tenure.Peer{}
	for _, other := range *peers.alive.Load() {
		found = append(found, tenure.Peer{Incarnation: other.Incarnation, Term: other.Term, Fit: other.Fit})
	}
	return found
}
