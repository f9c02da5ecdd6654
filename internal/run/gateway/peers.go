package gateway

import (
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/common/rendezvous"
	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/fleet/tenure"
	"hazelslip/internal/peer/sibling"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/wire/exchange"
)

const (
	// standingEvery is how often a node exchanges standings with each peer, in
	// a fleet of up to standingNodes. In a larger one it does so less often, so
	// that what a node spends on it stays the same.
	standingEvery = 100 * time.Millisecond
	standingNodes = 10
	// standingTimeout bounds one exchange.
	standingTimeout = 500 * time.Millisecond
	// aliveFor is how long a peer counts as alive after it was last heard: a
	// few lost exchanges, and short enough that its duties move on within a
	// second. In a large fleet it is aliveExchanges of its longer intervals.
	aliveFor       = 750 * time.Millisecond
	aliveExchanges = 4
	// countedFor is how long a peer counts among the nodes that share budgets.
	countedFor = 15 * time.Second
	// silentPause is the pause between tries to reach a silent peer, and
	// forgetPeer how long it is tried.
	silentPause = time.Second
	forgetPeer  = 90 * time.Second
)

// neighbour is another node.
type neighbour struct {
	address string
	link    *sibling.Link
	poke    chan struct{}
	stop    chan struct{}

	mu          sync.Mutex
	incarnation uint64
	heard       time.Duration
	added       time.Duration
	standing    *exchange.Standing
}

func (neighbour *neighbour) last() (uint64, time.Duration, *exchange.Standing) {
	neighbour.mu.Lock()
	defer neighbour.mu.Unlock()
	return neighbour.incarnation, neighbour.heard, neighbour.standing
}

// peers exchanges standings with the other nodes.
type peers struct {
	*lifecycle.Part
	node   *Node
	server *sibling.Server
	dial   sibling.Dial

	mu         sync.Mutex
	neighbours map[string]*neighbour
	alive      atomic.Pointer[[]aliveSibling]
	silent     map[string]time.Duration
}

// aliveSibling is a peer that was heard lately.
type aliveSibling struct {
	incarnation uint64
	address     string
	standing    *exchange.Standing
}

func newPeers(node *Node, listener net.Listener) *peers {
	peers := &peers{Part: lifecycle.New("peers"), node: node, neighbours: map[string]*neighbour{}, silent: map[string]time.Duration{}}
	peers.dial = (&net.Dialer{Timeout: standingTimeout}).DialContext
	if node.dial != nil {
		peers.dial = node.dial
	}
	peers.server = sibling.NewServer(listener, peers.answer)
	peers.alive.Store(&[]aliveSibling{})
	return peers
}

func (peers *peers) start() {
	peers.server.Start()
	peers.learn(peers.node.settings.Seeds)
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

// learn adds addresses of nodes.
func (peers *peers) learn(addresses []string) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for _, address := range addresses {
		if address == "" || address == peers.node.settings.Listen.Peer || peers.neighbours[address] != nil {
			continue
		}
		added := &neighbour{address: address, link: sibling.NewLink(address, peers.dial), poke: make(chan struct{}, 1), stop: make(chan struct{}), added: peers.node.now(), heard: -time.Hour}
		peers.neighbours[address] = added
		peers.Go(func() { peers.talk(added) })
	}
}

// talk exchanges standings with one peer until it is forgotten.
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
		}
		pause := peers.interval()
		if !peers.exchange(neighbour) {
			pause = silentPause
		}
		timer.Reset(pause)
	}
}

// interval is how often standings are exchanged with each peer.
func (peers *peers) interval() time.Duration {
	return standingEvery * time.Duration(max(1, len(*peers.alive.Load())/standingNodes))
}

// poke exchanges standings with all peers at once, after something happened.
func (peers *peers) poke() {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for _, neighbour := range peers.neighbours {
		select {
		case neighbour.poke <- struct{}{}:
		default:
		}
	}
}

func (peers *peers) exchange(neighbour *neighbour) bool {
	sent := peers.node.now()
	reply, err := neighbour.link.Ask(&exchange.Request{
		Incarnation: peers.node.Incarnation,
		Kind:        &exchange.Request_Standing{Standing: peers.node.standing(peers.wantsList(neighbour))},
	}, standingTimeout)
	if err != nil || reply.GetStanding() == nil {
		return false
	}
	answer := reply.GetStanding()
	peers.heard(reply.Incarnation, answer.Standing)
	if len(answer.Configuration) > 0 {
		peers.node.offer(answer.Configuration, neighbour.address)
	}
	peers.takeList(answer, sent)
	return true
}

// wantsList says whether a peer should send its list of servers: only the one
// whose list is the newest, so that it doesn't come from all.
func (peers *peers) wantsList(asked *neighbour) bool {
	_, heard, standing := asked.last()
	if standing == nil {
		return true
	}
	now := peers.node.now()
	age := func(at time.Duration, standing *exchange.Standing) time.Duration {
		return now - at + time.Duration(standing.ListAgeMs)*time.Millisecond
	}
	mine := age(heard, standing)
	if !standing.ListKnown || peers.node.listAge() <= mine-listTick {
		return false
	}
	for _, other := range *peers.alive.Load() {
		if other.address != asked.address && other.standing.ListKnown && other.standing.ListAgeMs < standing.ListAgeMs {
			return false
		}
	}
	return true
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
	peers.learn([]string{asked.Address})
	peers.heard(request.Incarnation, asked)
	reply := &exchange.StandingReply{Standing: peers.node.standing(false)}
	if held := peers.node.rawVersion.Load(); held != nil && held.version > asked.ConfigurationVersion {
		reply.Configuration = held.body
	}
	if asked.WantList && reply.Standing.ListKnown {
		reply.Listed = true
		from := asked.ListEnd
		if !asked.ListKnown {
			from = -1
		}
		for _, record := range peers.node.servers.Since(from) {
			reply.Servers = append(reply.Servers, &exchange.ServerRecord{ID: record.ID, Position: record.Position, Body: record.Body})
		}
	}
	return &exchange.Reply{Incarnation: peers.node.Incarnation, Kind: &exchange.Reply_Standing{Standing: reply}}
}

// heard takes a peer's standing.
func (peers *peers) heard(incarnation uint64, standing *exchange.Standing) {
	if standing == nil {
		return
	}
	peers.mu.Lock()
	found := peers.neighbours[standing.Address]
	peers.mu.Unlock()
	if found != nil {
		found.mu.Lock()
		found.incarnation, found.heard, found.standing = incarnation, peers.node.now(), standing
		found.mu.Unlock()
	}
	peers.learn(standing.Known)
	peers.node.keeper.Heard(standing.Term)
	peers.node.keeper.Heard(standing.HighestTerm)
	for _, news := range standing.News {
		peers.node.learnNews(fromWire(news))
	}
	for _, silent := range standing.SilentHeads {
		peers.node.former.Suspect(silent.Server, silent.Group)
	}
}

// refresh works out who is alive and what they all have at each server.
func (peers *peers) refresh() {
	now := peers.node.now()
	span := max(aliveFor, aliveExchanges*peers.interval())
	alive := []aliveSibling{}
	shares := map[string]dispatch.Share{}
	peers.mu.Lock()
	for address, neighbour := range peers.neighbours {
		incarnation, heard, standing := neighbour.last()
		switch {
		case standing != nil && now-heard < span && !standing.Stopping:
			alive = append(alive, aliveSibling{incarnation: incarnation, address: address, standing: standing})
		case now-max(heard, neighbour.added) > forgetPeer:
			close(neighbour.stop)
			delete(peers.neighbours, address)
		}
		if standing != nil && now-heard < span {
			for _, load := range standing.Loads {
				share := shares[load.Server]
				share.Calls += int(load.Running)
				share.Unread += int(load.Unread)
				shares[load.Server] = share
			}
		}
	}
	peers.mu.Unlock()
	sort.Slice(alive, func(i, j int) bool { return alive[i].incarnation < alive[j].incarnation })
	peers.alive.Store(&alive)
	peers.node.board.PeerLoads(shares)
}

// nodes is how many nodes share the fleet's budgets, this one included.
func (peers *peers) nodes() int {
	now := peers.node.now()
	count := 1
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for _, neighbour := range peers.neighbours {
		if _, heard, _ := neighbour.last(); now-heard < countedFor {
			count++
		}
	}
	return count
}

// rank is this node's place among the nodes that are alive for a duty; 0 is
// the one that should do it.
func (peers *peers) rank(duty string) int {
	candidates := []uint64{peers.node.Incarnation}
	for _, other := range *peers.alive.Load() {
		if !peers.node.storeAway.Load() || !other.standing.StoreAway {
			candidates = append(candidates, other.incarnation)
		}
	}
	return rendezvous.Rank(duty, peers.node.Incarnation, candidates)
}

func (peers *peers) mine(duty string) bool {
	return peers.rank(duty) == 0
}

// busy says whether any peer has calls under way.
func (peers *peers) busy() bool {
	for _, other := range *peers.alive.Load() {
		if len(other.standing.Loads) > 0 {
			return true
		}
	}
	return false
}

// candidates are the peers that are alive, for the right to give orders.
func (peers *peers) candidates() []tenure.Peer {
	candidates := []tenure.Peer{}
	for _, other := range *peers.alive.Load() {
		candidates = append(candidates, tenure.Peer{
			Incarnation: other.incarnation, Term: other.standing.Term,
			Fit: other.standing.ListKnown && other.standing.ConfigurationVersion > 0,
		})
	}
	return candidates
}

func fromWire(news *exchange.GroupNews) formation.News {
	return formation.News{Change: formation.Change(news.Kind), Group: formation.Group{
		Name: news.Group, Epoch: news.Epoch, Service: news.Service, Model: news.Model, Members: news.Members,
	}}
}

func toWire(news formation.News) *exchange.GroupNews {
	group := news.Group
	return &exchange.GroupNews{
		Group: group.Name, Epoch: group.Epoch, Service: group.Service, Model: group.Model, Members: group.Members, Kind: string(news.Change),
	}
}
