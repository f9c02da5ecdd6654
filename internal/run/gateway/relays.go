package gateway

import (
	"sort"
	"time"

	"hazelslip/internal/common/rendezvous"
	"hazelslip/internal/fleet/relay"
	"hazelslip/internal/fleet/tenure"
	"hazelslip/internal/peer/sibling"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/wire/exchange"
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

// othersLoads is what all other nodes have at each server, as this node's relay
// said.
type othersLoads struct {
	at     time.Duration
	shares map[string]dispatch.Share
}

// echo is a silent group that was told to a relay.
type echo struct {
	head       string
	dataCentre string
	at         time.Duration
}

// echoFor is how long a relay passes a silent group on. The nodes that see it
// go on telling; a shorter time could be lost with one exchange.
const echoFor = 400 * time.Millisecond

// echoed notes a silent group that a peer told, and says whether it was new.
func (peers *peers) echoed(silent *exchange.SilentHead, dataCentre string) bool {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	now := peers.node.now()
	held, known := peers.echoes[silent.Group]
	if known && now-held.at < echoFor {
		return false
	}
	peers.echoes[silent.Group] = echo{head: silent.Server, dataCentre: dataCentre, at: now}
	return true
}

// echoesFor returns the silent groups to pass on to a peer. What came from
// another data centre goes to the own one only: two relays that told each other
// what they were told would never be done.
func (peers *peers) echoesFor(dataCentre string) []*exchange.SilentHead {
	own := peers.node.settings.DataCentre
	peers.mu.Lock()
	defer peers.mu.Unlock()
	now := peers.node.now()
	passed := []*exchange.SilentHead{}
	for group, held := range peers.echoes {
		switch {
		case now-held.at >= echoFor:
			delete(peers.echoes, group)
		case held.dataCentre == own || dataCentre == own:
			passed = append(passed, &exchange.SilentHead{Server: held.head, Group: group})
		}
	}
	return passed
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
	if neighbour.look().member.DataCentre == peers.node.settings.DataCentre {
		return standingEvery * time.Duration(max(1, plan.members/relayMembers))
	}
	return standingEvery * time.Duration(max(1, plan.centres/relayCentres))
}

// refresh works out who is alive, whom this node talks to, and what all have at
// each server.
func (peers *peers) refresh() {
	now := peers.node.now()
	all := peers.forget(peers.glimpses(), now)
	digests := peers.table.Fresh(now, relayedFor)
	peers.noteSeen(digests)
	alive := peers.aliveOf(all, digests, now)
	peers.alive.Store(&alive)
	plan := peers.planRelays(all, alive, digests, now)
	if before := peers.plan.Swap(plan); plan.large && before.relay != plan.relay {
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
func (peers *peers) forget(all []glimpse, now time.Duration) []glimpse {
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
func (peers *peers) aliveOf(all []glimpse, digests map[string]relay.Digest, now time.Duration) []relay.Member {
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
func (peers *peers) planRelays(all []glimpse, alive []relay.Member, digests map[string]relay.Digest, now time.Duration) *relayPlan {
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
func (peers *peers) candidates(all []glimpse, alive []relay.Member, digests map[string]relay.Digest, now time.Duration) map[string][]relay.Member {
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
func (peers *peers) wanted(plan *relayPlan, found *glimpse, digests map[string]relay.Digest, now time.Duration) bool {
	own, theirs := peers.node.settings.DataCentre, found.member.DataCentre
	switch {
	case theirs == "":
		return found.standing == nil
	case theirs == own:
		astray := !found.speaks(now) && now >= found.suspectUntil
		return plan.chosen[found.address] || (plan.relays && (astray || peers.behind(found, now)))
	case !plan.relays:
		return false
	}
	late := now-digests[theirs].At > digestLate
	return plan.chosen[found.address] && (own < theirs || late || peers.behind(found, now))
}

// behind says whether a neighbour that speaks to this node knows a newer
// configuration or list of servers.
func (peers *peers) behind(found *glimpse, now time.Duration) bool {
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

// shares returns what the other nodes, but for one, have at each server.
func (peers *peers) shares(all []glimpse, digests map[string]relay.Digest, now time.Duration, except string) map[string]dispatch.Share {
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
			shares[load.Server] = plus(shares[load.Server], int(load.Running), int(load.Unread))
		}
	}
	for dataCentre, digest := range digests {
		if dataCentre == own {
			continue
		}
		for server, load := range digest.Loads {
			shares[server] = plus(shares[server], load.Calls, load.Unread)
		}
	}
	return shares
}

func plus(share dispatch.Share, calls, unread int) dispatch.Share {
	return dispatch.Share{Calls: share.Calls + calls, Unread: share.Unread + unread}
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
			digest.Loads = map[string]relay.Load{}
			for _, load := range told.Loads {
				digest.Loads[load.Server] = relay.Load{Calls: int(load.Running), Unread: int(load.Unread)}
			}
		}
		peers.table.Take(told.DataCentre, digest)
	}
	if standing.DataCentre != peers.node.settings.DataCentre || len(standing.Digests) == 0 {
		return
	}
	told := &othersLoads{at: asked, shares: map[string]dispatch.Share{}}
	for _, load := range standing.Others {
		told.shares[load.Server] = dispatch.Share{Calls: int(load.Running), Unread: int(load.Unread)}
	}
	peers.others.Store(told)
	if plan := peers.plan.Load(); plan.large && !plan.relays {
		peers.node.board.PeerLoads(told.shares)
	}
}

// standing is what this node tells a peer.
func (peers *peers) standing(to glimpse, wantList bool) *exchange.Standing {
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
		standing.Relays = true
		standing.SilentHeads = append(standing.SilentHeads, peers.echoesFor(to.member.DataCentre)...)
	}
	peers.addDigests(standing, &to, plan)
	return standing
}

// addDigests adds what this node knows of others: for a node of its own data
// centre everything, with the loads in one sum; for another data centre's
// relay the own data centre.
func (peers *peers) addDigests(standing *exchange.Standing, to *glimpse, plan *relayPlan) {
	own, now := peers.node.settings.DataCentre, peers.node.now()
	all, digests := peers.glimpses(), peers.table.Fresh(now, relayedFor)
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
func (peers *peers) ownDigest(all []glimpse, now time.Duration) relay.Digest {
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
func (peers *peers) ownShares(all []glimpse, now time.Duration) map[string]dispatch.Share {
	inside := []glimpse{}
	for _, found := range all {
		if found.member.DataCentre == peers.node.settings.DataCentre {
			inside = append(inside, found)
		}
	}
	return peers.sharesFor(inside, nil, now, "")
}

// sharesFor is what all nodes but one have at each server, this one included.
func (peers *peers) sharesFor(all []glimpse, digests map[string]relay.Digest, now time.Duration, except string) map[string]dispatch.Share {
	shares := map[string]dispatch.Share{}
	for server, share := range peers.shares(all, digests, now, except) {
		shares[server] = share
	}
	for server, share := range peers.node.board.Shares() {
		shares[server] = plus(shares[server], share.Calls, share.Unread)
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

func loadsOf(shares map[string]dispatch.Share) []*exchange.HeadLoad {
	loads := make([]*exchange.HeadLoad, 0, len(shares))
	for server, share := range shares {
		loads = append(loads, &exchange.HeadLoad{Server: server, Running: uint32(share.Calls), Unread: uint32(max(0, share.Unread))})
	}
	return loads
}

// nodes is how many nodes share the fleet's budgets, this one included.
func (peers *peers) nodes() int {
	now := peers.node.now()
	count := 1
	for _, found := range peers.glimpses() {
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

// fed says whether other nodes bring this one what the store has, so that it
// need not ask itself.
func (peers *peers) fed() bool {
	return peers.plan.Load().large && peers.node.listAge() < listPatience && !peers.lacks()
}

const (
	// fetchTimeout bounds fetching a configuration from a peer: some hundred KB
	// over a link of 20 Mbit/s that loses packets.
	fetchTimeout = 1500 * time.Millisecond
	// lackPatience is how long a node waits for its peers to bring it a newer
	// configuration that it has heard of before it asks the store.
	lackPatience = 400 * time.Millisecond
)

// lack is a version that a peer has and this node doesn't.
type lack struct {
	version int64
	since   time.Duration
}

// fetch gets the configuration from a peer that has a newer one, on a connection
// of its own. With the standings it would hold them up on a slow link; and where
// it took longer than an exchange may, each exchange began it anew, and the
// node learnt of nothing any more.
func (peers *peers) fetch(standing *exchange.Standing) {
	if !peers.plan.Load().large {
		return
	}
	if standing.ConfigurationVersion <= peers.node.configuration.Load().Configuration.Version {
		return
	}
	if held := peers.lacking.Load(); held == nil || held.version < standing.ConfigurationVersion {
		peers.lacking.Store(&lack{version: standing.ConfigurationVersion, since: peers.node.now()})
	}
	if !peers.fetching.CompareAndSwap(false, true) {
		return
	}
	peers.Go(func() {
		defer peers.fetching.Store(false)
		link := sibling.NewLink(standing.Address, peers.dial)
		defer link.Close()
		asked := peers.node.standing(false)
		asked.WantConfiguration = true
		reply, err := link.Ask(&exchange.Request{
			Incarnation: peers.node.Incarnation, Kind: &exchange.Request_Standing{Standing: asked},
		}, fetchTimeout)
		if err != nil {
			peers.node.logger.Warn("gateway: a configuration could not be fetched.", "Peer", standing.Address,
				"ConfigurationVersion", standing.ConfigurationVersion, "Error", err.Error())
			return
		}
		if body := reply.GetStanding().GetConfiguration(); len(body) > 0 {
			peers.node.offer(body, standing.Address)
		}
	})
}

// lacks says whether this node has known for a while that there is a newer
// configuration than its own.
func (peers *peers) lacks() bool {
	held := peers.lacking.Load()
	return held != nil && held.version > peers.node.configuration.Load().Configuration.Version && peers.node.now()-held.since > lackPatience
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
