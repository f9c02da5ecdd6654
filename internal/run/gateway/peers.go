package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/rendezvous"
	"hazelslip/internal/fleet/catalogue"
	"hazelslip/internal/fleet/follower"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/fleet/tally"
	"hazelslip/internal/fleet/tenure"
	"hazelslip/internal/fleet/tree"
	"hazelslip/internal/peer/store"
	"hazelslip/internal/policy/demand"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/policy/reach"
	"hazelslip/internal/state/storelog"
	"hazelslip/internal/wire/frame"
)

const (
	// holderFor is how long the node that gives orders counts as alive after its
	// beat was last seen to rise: a few lost frames on a way of some links, and short
	// enough that its duties move on within a second.
	holderFor = 750 * time.Millisecond
	// sumsKept is how long a sum over nodes is used before it is added up again.
	sumsKept = 10 * time.Millisecond
	// leafFrameKept is how long a frame for leaves is sent as it was encoded. Twenty
	// leaves' frames fall into any 50 ms; each made anew cost a relay as much as
	// sending them.
	leafFrameKept = 20 * time.Millisecond
)

// channel is what was told and heard over one link.
type channel struct {
	link *overlay.Link
	// reports are what this node reported over the link.
	reports tally.Reports
	// shares and nodes are what the other side told last, sequence the number of
	// it. From the node above they are those of the whole fleet but for what this
	// node reported.
	shares tally.Shares
	nodes  int
	// calls counts those of other nodes, as a leaf is told.
	calls     int
	sequence  uint64
	fit       bool
	storeAway bool
	// lost are the ways to servers that the other side has lost, detour where it takes
	// requests of others.
	lost   []reach.Place
	detour string
	// telling and told are the two sides of a sum of which only the changes are sent.
	telling tally.Changes
	told    tally.Copy
	// heardList says that the other side told how far it knows the list of servers,
	// at first up to listFrom. listSent is the version of this node's list up to which
	// it has been sent what it lacked, 0 for nothing yet. listAge is how old its list
	// was at listAt.
	heardList bool
	listFrom  storelog.Position
	listSent  uint64
	listAge   time.Duration
	listAt    time.Duration
	// catalogueSent is the version of the catalogue that a leaf was told, copied
	// what this node was told as a leaf.
	catalogueSent uint64
	copied        *catalogue.Copy
	// reported and reportedVersion are what this node reported last as a leaf, leafNews
	// is a hash of what a leaf was told last.
	toldLost        []reach.Place
	toldDetour      bool
	reported        tally.Shares
	reportedVersion int64
	leafNews        uint64
	// news and silences are to be told with the next frame, and what is known of
	// suspects.
	news     []*frame.GroupNews
	silences []*frame.SilentHead
	suspects map[quarantine.Fingerprint]struct{}
	permits  permits
	demands  demands
	// notices are the runs of servers that are to be told of with the next frame.
	notices map[ratelimit.Run]struct{}
	// paces are the targets whose paces are to be told with the next frame.
	paces []string
}

// core says whether the link is one over which everything is told.
func core(link *overlay.Link) bool {
	return link.Purpose != frame.Purpose_Leaf
}

// downstream says whether the other side is attached to this node.
func downstream(link *overlay.Link) bool {
	return !link.Opened && link.Purpose != frame.Purpose_Root
}

// sums are added up over nodes.
type sums struct {
	at time.Duration
	// own is what this node has, inside what the nodes have that it speaks for,
	// itself among them, and others what all other nodes of the fleet have.
	own, inside, others tally.Shares
	insideNodes         int
	demands             demandSums
	// nodes counts all of the fleet.
	nodes int
}

// leafFrame is a frame for leaves that know the catalogue up to a version.
type leafFrame struct {
	from, to uint64
	at       time.Duration
	// news is a hash of it but for what changes all the time.
	news uint64
	body []byte
}

// holder is the node that gives orders, as far as is known.
type holder struct {
	term     int64
	beat     uint64
	released bool
	at       time.Duration
}

// peers is what this node exchanges with the others.
type peers struct {
	node      *Node
	overlay   *overlay.Overlay
	catalogue *catalogue.Catalogue
	// rows is the catalogue that the node above tells, nil while none does.
	rows atomic.Pointer[[]catalogue.Numbered]
	// census counts the nodes that share budgets.
	census census
	// counted is how many nodes' calls are in the counts that this node has.
	counted atomic.Int64
	// newer is the newest configuration that was heard of, fetching the nodes that one is
	// being fetched from.
	newer    atomic.Pointer[newerVersion]
	fetching fetches

	mu sync.Mutex
	// lastNeighbour numbers the links, limitToldAt is when limits were last told at once.
	lastNeighbour ratelimit.Neighbour
	limitToldAt   time.Duration
	channels      map[*overlay.Link]*channel
	sums          *sums
	encoded       *leafFrame
	// toldDemands are those of all nodes when they were last news to leaves, leafDemandNews counts
	// how often they were.
	toldDemands    demand.Sums
	leafDemandNews uint64
	holder         holder
	// ownTerm is the last under which this node gave orders.
	ownTerm int64
	// silent is when each silent group was last told of.
	silent map[string]time.Duration
	// rowsFrom is the link that rows came over, rowsEnd the position up to which the
	// list was known that they are by, rowsAt when they came.
	rowsFrom *overlay.Link
	rowsEnd  storelog.Position
	rowsAt   time.Duration
}

func newPeers(node *Node, listener net.Listener) *peers {
	peers := &peers{
		node: node, catalogue: catalogue.New(), channels: map[*overlay.Link]*channel{}, silent: map[string]time.Duration{},
	}
	settings := &node.settings
	dial := (&net.Dialer{Timeout: storeTimeout}).DialContext
	if node.dial != nil {
		dial = node.dial
	}
	peers.overlay = overlay.New(listener, overlay.Parts{
		Self:        tree.Member{Address: settings.Listen.advertised(), DataCentre: settings.DataCentre, Capacity: settings.Limits.Processor},
		Incarnation: node.Incarnation, Seeds: settings.Seeds, FirstStart: settings.FirstStart, Relays: node.relays,
		Register: peers.register, Known: peers.known,
		Compose: peers.compose, Take: peers.take, Ended: peers.ended, Changed: peers.changed,
		Configuration: peers.configuration, Fit: peers.fit, Detours: func() []*frame.Detour { return peers.node.detours.told() },
		Dial: dial, Now: node.now, Logger: node.logger,
	})
	return peers
}

func (peers *peers) start() {
	peers.overlay.Start()
	peers.overlay.PacedAs("spread", peers.node.pace(spreadEvery), peers.spread)
}

// register makes this node known in the store's directory.
func (peers *peers) register(ctx context.Context) error {
	settings := &peers.node.settings
	call := peers.node.storeCalls.StartWrite("register")
	err := peers.node.platform.Store.Register(ctx, store.NodeRegistration{
		Address: settings.Listen.advertised(), DataCentre: settings.DataCentre, Capacity: settings.Limits.Processor,
	})
	call.Finish(err)
	return err
}

// known returns the nodes of the store's directory.
func (peers *peers) known(ctx context.Context) ([]tree.Member, error) {
	call := peers.node.storeCalls.Start("nodes", 0)
	found, err := peers.node.platform.Store.Nodes(ctx)
	call.Finish(err)
	if err != nil {
		return nil, err
	}
	members := make([]tree.Member, 0, len(found))
	for _, other := range found {
		members = append(members, tree.Member{Address: other.Address, DataCentre: other.DataCentre, Capacity: other.Capacity})
	}
	return members, nil
}

func (peers *peers) configuration() []byte {
	if held := peers.node.rawVersion.Load(); held != nil {
		return held.body
	}
	return nil
}

// fit says whether this node knows what its leaves need.
func (peers *peers) fit() bool {
	return peers.node.servers.Load().Known() && peers.node.configuration.Load().Known()
}

// changed is told of the node's new role. A leaf doesn't know the servers, and can
// give no orders.
func (peers *peers) changed(role overlay.Role) {
	if term := peers.node.keeper.Term(); role == overlay.Leaf && term != 0 {
		peers.node.keeper.Outdated(term)
	}
	peers.node.changed()
	peers.node.follower.NewRole()
}

// fed says whether a node above tells this one what it needs to know of servers, or
// is about to: the first frame does.
func (peers *peers) fed() bool {
	return peers.overlay.Role() == overlay.Leaf && peers.overlay.Upstream() != nil
}

// ended forgets a link.
func (peers *peers) ended(link *overlay.Link) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if held := peers.channels[link]; held != nil {
		peers.node.limits.Lose(held.permits.number)
	}
	delete(peers.channels, link)
	peers.sums = nil
}

// channel returns what is known of a link.
func (peers *peers) channel(link *overlay.Link) *channel {
	held, known := peers.channels[link]
	if known {
		return held
	}
	peers.lastNeighbour++
	held = &channel{
		link: link, shares: tally.Shares{}, copied: catalogue.NewCopy(), suspects: map[quarantine.Fingerprint]struct{}{},
		permits: newPermits(peers.lastNeighbour, peers.node.limits.All()), notices: map[ratelimit.Run]struct{}{},
		paces: peers.node.board.SlowRuns(),
	}
	for _, run := range peers.node.notices.All() {
		held.notices[run] = struct{}{}
	}
	if core(link) {
		held.news = peers.node.recentNews()
	}
	peers.addSuspects(held)
	select {
	case <-link.Done:
		// A frame is being made for a link that has just ended.
	default:
		peers.channels[link] = held
	}
	return held
}

// busy says whether any other node has calls under way.
func (peers *peers) busy() bool {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for _, channel := range peers.channels {
		if channel.calls > 0 || len(channel.shares) > 0 {
			return true
		}
	}
	return false
}

// storeDuty is the one duty of reading for all, the list and the configuration.
const storeDuty = "store"

// rank is this node's place among those that may read the store for all; 0 is the
// one that should. Roots come before relays, since the others hear from them, and
// those that the store answers before those that it doesn't. Leaves are told.
func (peers *peers) rank() int {
	if peers.overlay.Role() != overlay.Root {
		return peers.overlay.DataCentres()
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	own := peers.node.storeCalls.Unavailable()
	before, candidates := 0, []uint64{}
	for link, channel := range peers.channels {
		switch {
		case link.Purpose != frame.Purpose_Root:
		case channel.storeAway == own:
			candidates = append(candidates, link.Incarnation)
		case own:
			before++
		}
	}
	return before + rendezvous.Rank(storeDuty, peers.node.Incarnation, candidates)
}

// standing is this node's part in reading the store.
func (peers *peers) standing() follower.Standing {
	return follower.Standing{
		Role: peers.overlay.Role(), Rank: peers.rank, RootsAway: peers.rootsAway(), Fed: peers.fed(), Misses: peers.missesVersion(),
	}
}

// rootsAway says whether this node is a root, and the store answers none that it knows.
func (peers *peers) rootsAway() bool {
	if peers.overlay.Role() != overlay.Root || !peers.node.storeCalls.Unavailable() {
		return false
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for link, channel := range peers.channels {
		if link.Purpose == frame.Purpose_Root && !channel.storeAway {
			return false
		}
	}
	return true
}

// tenants are the nodes that may give orders, and the one that does.
func (peers *peers) tenants() []tenure.Peer {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	found := []tenure.Peer{}
	if held := peers.holder; held.term != 0 && !held.released && peers.node.now()-held.at < holderFor {
		found = append(found, tenure.Peer{Term: held.term})
	}
	for link, channel := range peers.channels {
		if link.Purpose == frame.Purpose_Root {
			found = append(found, tenure.Peer{Incarnation: link.Incarnation, Fit: channel.fit && !peers.node.detours.lacksEngines(channel.lost)})
		}
	}
	return found
}

// beat shows the others that this node gives orders, while it does.
func (peers *peers) beat(term int64) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	switch {
	case term != 0:
		peers.ownTerm = term
		peers.holder = holder{term: term, beat: peers.holder.beat + 1, at: peers.node.now()}
	case peers.ownTerm != 0 && peers.holder.term == peers.ownTerm:
		peers.holder.released = true
	}
}

// heardHolder takes what another node knows of the one that gives orders.
func (peers *peers) heardHolder(told *frame.Holder) {
	if told == nil {
		return
	}
	peers.node.keeper.Heard(told.Term)
	peers.mu.Lock()
	defer peers.mu.Unlock()
	held := &peers.holder
	if told.Term > held.term || (told.Term == held.term && told.Beat > held.beat) {
		*held = holder{term: told.Term, beat: told.Beat, at: peers.node.now()}
	}
	held.released = held.released || (told.Released && told.Term == held.term)
}
