package gateway

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/fleet/relay"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/peer/sibling"
	"hazelslip/internal/wire/exchange"
)

const (
	// standingEvery is how often a node exchanges standings with the nodes that
	// it talks to.
	standingEvery = 100 * time.Millisecond
	// meshNodes is how many nodes may all talk to each other. In a larger fleet
	// relays pass on what they know: with 77 nodes, everybody's standings to
	// everybody made 35 MB/s between data centres, with relays it is 0.7 MB/s.
	meshNodes = 10
	// standingTimeout bounds one exchange.
	standingTimeout = 500 * time.Millisecond
	// relayTimeout is the same where a relay can be replaced by the next.
	relayTimeout = 250 * time.Millisecond
	// aliveFor is how long a peer counts as alive after it was last heard: a
	// few lost exchanges, and short enough that its duties move on within a
	// second.
	aliveFor = 750 * time.Millisecond
	// relayedFor is the same for what came through relays, each of which adds
	// an exchange.
	relayedFor = 1200 * time.Millisecond
	// countedFor is how long a peer counts among the nodes that share budgets.
	countedFor = 15 * time.Second
	// silentPause is the pause between tries to reach a silent peer, and
	// forgetPeer how long it is tried.
	silentPause = time.Second
	forgetPeer  = 90 * time.Second
	// suspectFor is how long a node that didn't answer is not taken for a
	// relay; it doubles up to suspectMost while it doesn't.
	suspectFor  = time.Second
	suspectMost = 30 * time.Second
)

// neighbour is another node.
type neighbour struct {
	address string
	link    *sibling.Link
	poke    chan struct{}
	stop    chan struct{}
	// regular says that standings are exchanged with it all the time.
	regular atomic.Bool

	mu sync.Mutex
	// member is what is known of it, from itself, a relay or the store.
	member relay.Member
	// heard is when it last spoke to this node, seen when a relay last said that
	// it is alive.
	heard    time.Duration
	seen     time.Duration
	added    time.Duration
	standing *exchange.Standing
	// suspectUntil is up to when it is not taken for a relay, after failures in
	// a row.
	suspectUntil time.Duration
	failures     int
}

// neighbourState is what is known of a neighbour at a moment.
type neighbourState struct {
	*neighbour
	member       relay.Member
	heard, seen  time.Duration
	added        time.Duration
	standing     *exchange.Standing
	suspectUntil time.Duration
}

func (neighbour *neighbour) state() neighbourState {
	neighbour.mu.Lock()
	defer neighbour.mu.Unlock()
	return neighbourState{
		neighbour: neighbour, member: neighbour.member, heard: neighbour.heard, seen: neighbour.seen,
		added: neighbour.added, standing: neighbour.standing, suspectUntil: neighbour.suspectUntil,
	}
}

// speaks says whether the neighbour itself was heard just now and goes on.
func (state *neighbourState) speaks(now time.Duration) bool {
	return state.standing != nil && now-state.heard < aliveFor && !state.standing.Stopping
}

// answered notes whether the neighbour answered an exchange.
func (neighbour *neighbour) answered(ok bool, now time.Duration) {
	neighbour.mu.Lock()
	defer neighbour.mu.Unlock()
	if ok {
		neighbour.failures, neighbour.suspectUntil = 0, 0
		return
	}
	span := min(suspectMost, suspectFor<<min(neighbour.failures, 5))
	neighbour.failures++
	neighbour.suspectUntil = now + span
}

// peers exchanges standings with the other nodes.
type peers struct {
	*lifecycle.Part
	node   *Node
	server *sibling.Server
	dial   sibling.Dial
	// table holds what relays said of each data centre.
	table *relay.Table

	mu         sync.Mutex
	neighbours map[string]*neighbour
	// silent is when a group's silence was last told at once.
	silent map[string]time.Duration
	// silences are the silent groups that this node passes on as a relay.
	silences map[string]relayedSilence

	// The counters only grow.
	asked, failed, relayChanges atomic.Uint64

	alive  atomic.Pointer[[]relay.Member]
	plan   atomic.Pointer[relayPlan]
	others atomic.Pointer[othersLoads]
	// working says that other nodes have calls under way.
	working atomic.Bool
	// fetching says that a configuration is being fetched, newer is the newest
	// that was heard of.
	fetching atomic.Bool
	newer    atomic.Pointer[newerVersion]
}

func newPeers(node *Node, listener net.Listener) *peers {
	peers := &peers{
		Part: lifecycle.New("peers"), node: node, table: relay.NewTable(),
		neighbours: map[string]*neighbour{}, silent: map[string]time.Duration{}, silences: map[string]relayedSilence{},
	}
	peers.dial = (&net.Dialer{Timeout: standingTimeout}).DialContext
	if node.dial != nil {
		peers.dial = node.dial
	}
	peers.server = sibling.NewServer(listener, peers.answer)
	peers.alive.Store(&[]relay.Member{})
	peers.plan.Store(&relayPlan{})
	return peers
}

func (peers *peers) start() {
	peers.server.Start()
	for _, seed := range peers.node.settings.Seeds {
		peers.learn(relay.Member{Address: seed})
	}
	peers.Every(standingEvery, peers.refresh)
}

func (peers *peers) stop() {
	peers.mu.Lock()
	for _, neighbour := range peers.neighbours {
		neighbour.link.Close()
	}
	peers.mu.Unlock()
	peers.Stop()
	peers.server.Stop()
}

// learn notes that there is a node, and returns it. What is known of it already
// stays.
func (peers *peers) learn(member relay.Member) *neighbour {
	if member.Address == "" || member.Address == peers.node.settings.Listen.Peer {
		return nil
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if held := peers.neighbours[member.Address]; held != nil {
		held.mu.Lock()
		if held.member.DataCentre == "" {
			held.member = member
		}
		held.mu.Unlock()
		return held
	}
	added := &neighbour{
		address: member.Address, link: sibling.NewLink(member.Address, peers.dial), poke: make(chan struct{}, 1), stop: make(chan struct{}),
		member: member, added: peers.node.now(), heard: -time.Hour, seen: -time.Hour,
	}
	// A new node is asked at once, unless relays will tell of it.
	added.regular.Store(len(peers.neighbours) < peers.node.mesh || member.DataCentre == "")
	peers.neighbours[member.Address] = added
	peers.Go(func() { peers.talk(added) })
	return added
}

// states returns all neighbours as they are now.
func (peers *peers) states() []neighbourState {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	all := make([]neighbourState, 0, len(peers.neighbours))
	for _, neighbour := range peers.neighbours {
		all = append(all, neighbour.state())
	}
	return all
}

// talk exchanges standings with one peer until it is forgotten: all the time
// with one that is regular, else when there is something to tell.
func (peers *peers) talk(neighbour *neighbour) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-peers.Stopping:
			return
		case <-neighbour.stop:
			neighbour.link.Close()
			return
		case <-neighbour.poke:
		case <-timer.C:
			if !neighbour.regular.Load() {
				continue
			}
		}
		pause := peers.interval(neighbour)
		if !peers.exchange(neighbour) {
			pause = silentPause
		}
		if neighbour.regular.Load() {
			timer.Reset(pause)
		}
	}
}

// wake makes the neighbour's exchange begin at once.
func (neighbour *neighbour) wake() {
	select {
	case neighbour.poke <- struct{}{}:
	default:
	}
}

// poke exchanges standings at once, after something happened: with the regular
// peers, and as a relay with the nodes that this node speaks for.
func (peers *peers) poke() {
	relays, now := peers.plan.Load().relays, peers.node.now()
	for _, found := range peers.states() {
		if found.regular.Load() || (relays && found.speaks(now)) {
			found.wake()
		}
	}
}

func (peers *peers) exchange(neighbour *neighbour) bool {
	sent := peers.node.now()
	timeout := standingTimeout
	if peers.plan.Load().large {
		timeout = relayTimeout
	}
	reply, err := neighbour.link.Ask(&exchange.Request{
		Incarnation: peers.node.Incarnation,
		Kind:        &exchange.Request_Standing{Standing: peers.standing(neighbour.state(), peers.wantsList(neighbour))},
	}, timeout)
	ok := err == nil && reply.GetStanding() != nil
	peers.asked.Add(1)
	if !ok {
		peers.failed.Add(1)
	}
	neighbour.answered(ok, peers.node.now())
	if !ok {
		if peers.plan.Load().large {
			peers.refresh()
		}
		return false
	}
	answer := reply.GetStanding()
	peers.heard(reply.Incarnation, answer.Standing, sent)
	if len(answer.Configuration) > 0 {
		peers.node.offer(answer.Configuration, neighbour.address)
	}
	peers.takeList(answer, sent)
	return true
}

// wantsList says whether a peer should send its list of servers: only the one
// whose list is the newest, so that it doesn't come from all.
func (peers *peers) wantsList(asked *neighbour) bool {
	found := asked.state()
	if found.standing == nil {
		return true
	}
	now := peers.node.now()
	if !found.standing.ListKnown || peers.node.listAge() <= found.listAge(now)-listTick {
		return false
	}
	for _, other := range peers.states() {
		if other.address != asked.address && other.speaks(now) && other.standing.ListKnown && other.standing.ListAgeMs < found.standing.ListAgeMs {
			return false
		}
	}
	return true
}

// listAge is how old the neighbour's list of servers is by now.
func (state *neighbourState) listAge(now time.Duration) time.Duration {
	return now - state.heard + time.Duration(state.standing.ListAgeMs)*time.Millisecond
}

func (peers *peers) takeList(answer *exchange.StandingReply, sent time.Duration) {
	if !answer.Listed {
		return
	}
	listing := Listing{Next: answer.Standing.ListEnd}
	for _, record := range answer.Servers {
		listing.Records = append(listing.Records, roster.Record{ID: record.ID, Position: record.Position, Body: record.Body})
	}
	peers.node.takeServers(listing, sent-time.Duration(answer.Standing.ListAgeMs)*time.Millisecond)
}

// answer answers a peer's standing with this node's, and with what the peer
// lacks.
func (peers *peers) answer(request *exchange.Request) *exchange.Reply {
	asked := request.GetStanding()
	if asked == nil {
		return &exchange.Reply{Failure: "this node only exchanges standings", Incarnation: peers.node.Incarnation}
	}
	from := peers.heard(request.Incarnation, asked, peers.node.now())
	if from == nil {
		return &exchange.Reply{Failure: "the standing names no peer", Incarnation: peers.node.Incarnation}
	}
	reply := &exchange.StandingReply{Standing: peers.standing(from.state(), false)}
	unasked := !peers.plan.Load().large
	if held := peers.node.rawVersion.Load(); held != nil && held.version > asked.ConfigurationVersion && (unasked || asked.WantConfiguration) {
		reply.Configuration = held.body
	}
	if asked.WantList && reply.Standing.ListKnown {
		reply.Listed = true
		start := asked.ListEnd
		if !asked.ListKnown {
			start = -1
		}
		for _, record := range peers.node.servers.Since(start) {
			reply.Servers = append(reply.Servers, &exchange.ServerRecord{ID: record.ID, Position: record.Position, Body: record.Body})
		}
	}
	return &exchange.Reply{Incarnation: peers.node.Incarnation, Kind: &exchange.Reply_Standing{Standing: reply}}
}

// heard takes a peer's standing, as of a time at which it had not been worked
// out yet, and returns the peer.
func (peers *peers) heard(incarnation uint64, standing *exchange.Standing, asked time.Duration) *neighbour {
	if standing == nil {
		return nil
	}
	member := memberOf(incarnation, standing)
	found := peers.learn(member)
	if found == nil {
		return nil
	}
	found.mu.Lock()
	found.member, found.heard, found.standing = member, peers.node.now(), standing
	found.mu.Unlock()
	for _, address := range standing.Known {
		peers.learn(relay.Member{Address: address})
	}
	peers.node.keeper.Heard(standing.Term)
	peers.node.keeper.Heard(standing.HighestTerm)
	peers.takeDigests(standing, asked)
	peers.fetch(standing)
	fresh := false
	for _, news := range standing.News {
		fresh = peers.node.learnNews(fromWire(news)) || fresh
	}
	for _, silent := range standing.SilentHeads {
		peers.node.former.Suspect(silent.Server, silent.Group)
		fresh = peers.takeSilence(silent, standing.DataCentre) || fresh
	}
	if fresh && peers.plan.Load().relays {
		peers.poke()
	}
	return found
}
