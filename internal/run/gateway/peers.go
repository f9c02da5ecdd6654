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
	"hazelslip/internal/fleet/leadership"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/fleet/serverload"
	"hazelslip/internal/fleet/tree"
	"hazelslip/internal/peer/store"
	"hazelslip/internal/policy/demand"
	"hazelslip/internal/policy/pathhealth"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/state/storelog"
	"hazelslip/internal/wire/frame"
)

const (
	// leaderTimeout is how long the leader counts as alive after its heartbeat was last seen to rise. It
	// allows for a few lost frames on the way over several links, and lets another node take over within a
	// second.
	leaderTimeout = 750 * time.Millisecond
	// totalsTTL is how long the totals over all nodes are reused before they are computed again.
	totalsTTL = 10 * time.Millisecond
	// leafFrameTTL is how long the encoded frame for leaves is reused. A relay sends twenty leaves a frame
	// each within any 50 ms, and encoding each of them anew cost as much as sending them.
	leafFrameTTL = 20 * time.Millisecond
)

// linkState is what was sent and received over one link.
type linkState struct {
	link *overlay.Link
	// reports are the loads that this node reported over the link.
	reports serverload.Reports
	// loads and nodes are the load and the node count that the other side sent last, and sequence is the
	// number of that frame. From the upstream node, loads and nodes cover the whole fleet except for what
	// this node reported.
	loads serverload.ServerLoads
	nodes int
	// otherCalls is the number of calls of all other nodes, as sent to a leaf. synced and storeUnavailable
	// are what the other side reports about itself: whether it has the state that leaves need, and whether
	// the store fails to answer it.
	otherCalls       int
	sequence         uint64
	synced           bool
	storeUnavailable bool
	// lostPaths are the paths to servers that the other side has lost. detourAddress is where it accepts
	// forwarded requests.
	lostPaths     []pathhealth.Destination
	detourAddress string
	// sentLoads and receivedLoads track a load total of which only changes are sent.
	sentLoads     serverload.DeltaSender
	receivedLoads serverload.DeltaReceiver
	// listReceived is set once the other side has sent the position of its server list. listKnown is what it
	// knows of this node's list. listAge is the age of the other side's list at the time listAgeAt.
	listReceived bool
	listKnown    roster.Known
	listAge      time.Duration
	listAgeAt    time.Duration
	// catalogueSentVersion is the catalogue version that was sent to a leaf. catalogueReplica is the catalogue
	// that this node received as a leaf.
	catalogueSentVersion uint64
	catalogueReplica     *catalogue.Replica
	// sentLostPaths, detourAddressSent, reportedLoads and sentConfigurationVersion are what this node last
	// reported as a leaf. sentLeafHash is the content hash of the last frame sent to a leaf.
	sentLostPaths            []pathhealth.Destination
	detourAddressSent        bool
	reportedLoads            serverload.ServerLoads
	sentConfigurationVersion int64
	sentLeafHash             uint64
	// pendingAnnouncements, pendingStalls and pendingSuspects are to be sent with the next frame.
	pendingAnnouncements []*frame.GroupNews
	pendingStalls        []*frame.SilentHead
	pendingSuspects      map[quarantine.Fingerprint]struct{}
	permits              permitState
	demands              demandState
	retries              retryState
	// pendingNotices are the server runs whose notices are to be sent with the next frame.
	pendingNotices map[ratelimit.Run]struct{}
	// pendingPaces are the targets whose pace factors are to be sent with the next frame.
	pendingPaces []string
}

// isBackbone reports whether a link connects relays and roots. The whole fleet state is exchanged over such a
// link, unlike over a link to a leaf.
func isBackbone(link *overlay.Link) bool {
	return link.Purpose != frame.Purpose_Leaf
}

// isDownstream reports whether the other side is attached to this node.
func isDownstream(link *overlay.Link) bool {
	return !link.Opened && link.Purpose != frame.Purpose_Root
}

// fleetTotals is the load added up over nodes.
type fleetTotals struct {
	computedAt time.Duration
	// own is the load of this node, subtree that of this node and all nodes attached below it, and others
	// that of all other nodes of the fleet.
	own, subtree, others serverload.ServerLoads
	subtreeNodes         int
	demands              demandTotals
	// fleetNodes is the number of nodes in the whole fleet.
	fleetNodes int
}

// encodedLeafFrame is the shared part of a frame for all leaves that have the catalogue up to the same
// version.
type encodedLeafFrame struct {
	fromVersion, toVersion uint64
	encodedAt              time.Duration
	// contentHash covers the content except for the ages and the demand, which change all the time. The
	// demand revision is mixed in, so that a significant change of demand changes the hash.
	contentHash uint64
	body        []byte
}

// leaderState is what this node knows of the current leader.
type leaderState struct {
	term      int64
	heartbeat uint64
	released  bool
	seenAt    time.Duration
}

// peers exchanges the fleet state with the other nodes.
type peers struct {
	node      *Node
	overlay   *overlay.Overlay
	catalogue *catalogue.Catalogue
	// rows is the catalogue received from the upstream node, nil before it sent one.
	rows atomic.Pointer[[]catalogue.IndexedRow]
	// nodeCounter counts the nodes that share the budgets.
	nodeCounter nodeCounter
	// reportingNodes is the number of nodes whose calls are included in this node's load totals.
	reportingNodes atomic.Int64
	// newestSeen is the newest configuration version announced by another node. fetches are the fetches in
	// progress.
	newestSeen atomic.Pointer[seenVersion]
	fetches    fetchTracker

	mu sync.Mutex
	// lastNeighbour is the number given to the latest link. limitsSentAt is when limits were last sent
	// immediately.
	lastNeighbour  ratelimit.Neighbour
	limitsSentAt   time.Duration
	linkStates     map[*overlay.Link]*linkState
	totals         *fleetTotals
	leafFrameCache *encodedLeafFrame
	// lastLeafDemands is the demand of the fleet that last justified a frame to leaves. leafDemandRevision
	// counts how often that happened.
	lastLeafDemands    demand.PoolRates
	leafDemandRevision uint64
	leader             leaderState
	// lostBelow and lostRoots are the last retry counts of downstream nodes and of roots whose links have ended.
	lostBelow, lostRoots retry.Departures
	// lastOwnTerm is the last term under which this node was leader.
	lastOwnTerm int64
	// stallReportedAt is when the stall of each group was last reported.
	stallReportedAt map[string]time.Duration
	// rowsLink is the link over which rows was received. rowsListEnd is the position of the server list that
	// rows is based on. rowsReceivedAt is when rows was received.
	rowsLink       *overlay.Link
	rowsListEnd    storelog.Position
	rowsReceivedAt time.Duration
}

func newPeers(node *Node, listener net.Listener) *peers {
	peers := &peers{
		node: node, catalogue: catalogue.New(), linkStates: map[*overlay.Link]*linkState{}, stallReportedAt: map[string]time.Duration{},
	}
	settings := &node.settings
	peers.lostBelow.Retention, peers.lostRoots.Retention = settings.Bounds.RetryWindow, settings.Bounds.RetryWindow
	dial := (&net.Dialer{Timeout: storeTimeout}).DialContext
	if node.dial != nil {
		dial = node.dial
	}
	peers.overlay = overlay.New(listener, overlay.Dependencies{
		Self:        tree.Member{Address: settings.Listen.advertised(), DataCentre: settings.DataCentre, Capacity: settings.Limits.Millicores},
		Incarnation: node.Incarnation, Seeds: settings.Seeds, FirstStart: settings.FirstStart, RelayCount: node.relayCount,
		MaxConns: settings.Limits.connLimits().Peers,
		Register: peers.register, ListNodes: peers.directoryMembers,
		Compose: peers.composeFrame, HandleFrame: peers.handleFrame, LinkEnded: peers.linkEnded, RoleChanged: peers.roleChanged,
		Configuration: peers.encodedConfiguration, ReadyForLeaves: peers.synced, Detours: func() []*frame.Detour { return peers.node.detours.advertisements() },
		Dial: dial, Now: node.now, Logger: node.logger,
	})
	return peers
}

func (peers *peers) start() {
	peers.overlay.Start()
	peers.overlay.RepeatNamed("spread", peers.node.leafAwareInterval(peerLoadInterval), peers.applyPeerLoads)
}

// register adds this node to the store's directory.
func (peers *peers) register(ctx context.Context) error {
	settings := &peers.node.settings
	call := peers.node.storeCalls.StartWrite("register")
	err := peers.node.platform.Store.Register(ctx, store.NodeRegistration{
		Address: settings.Listen.advertised(), DataCentre: settings.DataCentre, Capacity: settings.Limits.Millicores,
	})
	call.Finish(err)
	return err
}

// directoryMembers returns the nodes in the store's directory.
func (peers *peers) directoryMembers(ctx context.Context) ([]tree.Member, error) {
	call := peers.node.storeCalls.Start("nodes", 0)
	found, err := peers.node.platform.Store.Nodes(ctx)
	call.Finish(err)
	if err != nil {
		return nil, err
	}
	members := make([]tree.Member, 0, len(found))
	for _, member := range found {
		members = append(members, tree.Member{Address: member.Address, DataCentre: member.DataCentre, Capacity: member.Capacity})
	}
	return members, nil
}

func (peers *peers) encodedConfiguration() []byte {
	if current := peers.node.rawConfiguration.Load(); current != nil {
		return current.body
	}
	return nil
}

// synced reports whether this node has the state that its leaves need: the server list and a configuration.
func (peers *peers) synced() bool {
	return peers.node.servers.Load().Known() && peers.node.configuration.Load().HasVersion()
}

// roleChanged handles a new role of this node. A leaf doesn't have the server list, so it can't give orders
// and gives up its term.
func (peers *peers) roleChanged(role overlay.Role) {
	if term := peers.node.elector.Term(); role == overlay.Leaf && term != 0 {
		peers.node.elector.HandleRefusal(term)
	}
	peers.node.requestTargetUpdate()
	peers.node.follower.RoleChanged()
}

// fedByUpstream reports whether this node is a leaf whose upstream node sends it the state that it needs. It
// is true from the moment of attachment, since the first frame already brings the state.
func (peers *peers) fedByUpstream() bool {
	return peers.overlay.Role() == overlay.Leaf && peers.overlay.Upstream() != nil
}

// linkEnded drops the state of a link.
func (peers *peers) linkEnded(link *overlay.Link) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if state := peers.linkStates[link]; state != nil {
		peers.node.limits.RemoveNeighbour(state.permits.neighbour)
		peers.keepRetryCountsLocked(state)
	}
	delete(peers.linkStates, link)
	peers.totals = nil
}

// linkStateLocked returns the state of a link, and creates it for a new link.
func (peers *peers) linkStateLocked(link *overlay.Link) *linkState {
	state, known := peers.linkStates[link]
	if known {
		return state
	}
	peers.lastNeighbour++
	state = &linkState{
		link: link, loads: serverload.ServerLoads{}, catalogueReplica: catalogue.NewReplica(), pendingSuspects: map[quarantine.Fingerprint]struct{}{},
		permits: newPermitState(peers.lastNeighbour, peers.node.limits.All()), pendingNotices: map[ratelimit.Run]struct{}{},
		pendingPaces: peers.node.board.SlowTargets(),
	}
	for _, run := range peers.node.notices.RunsToAnnounce() {
		state.pendingNotices[run] = struct{}{}
	}
	if isBackbone(link) {
		state.pendingAnnouncements = peers.node.recentAnnouncements()
	}
	peers.queueAllSuspects(state)
	select {
	case <-link.Done:
		// The link may have ended while a frame was being composed for it. Its state is then not kept.
	default:
		peers.linkStates[link] = state
	}
	return state
}

// othersBusy reports whether any other node has calls in progress.
func (peers *peers) othersBusy() bool {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for _, state := range peers.linkStates {
		if state.otherCalls > 0 || len(state.loads) > 0 {
			return true
		}
	}
	return false
}

// storeReaderKey is the rendezvous hashing key for the node that reads the store. One node reads both the
// server list and the configuration.
const storeReaderKey = "store"

// readerRank returns this node's rank among the candidates for reading the store on behalf of the fleet; rank
// 0 reads. Roots rank first, since the other nodes hear from them. Among the roots, those that can reach the
// store rank before those that can't. Leaves receive the content from their upstream node.
func (peers *peers) readerRank() int {
	if peers.overlay.Role() != overlay.Root {
		return peers.overlay.DataCentreCount()
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	unavailable := peers.node.storeCalls.Unavailable()
	ahead, candidates := 0, []uint64{}
	for link, state := range peers.linkStates {
		switch {
		case link.Purpose != frame.Purpose_Root:
		case state.storeUnavailable == unavailable:
			candidates = append(candidates, link.Incarnation)
		case unavailable:
			ahead++
		}
	}
	return ahead + rendezvous.Rank(storeReaderKey, peers.node.Incarnation, candidates)
}

// readPolicy returns the facts that decide this node's part in reading the store.
func (peers *peers) readPolicy() follower.ReadPolicy {
	return follower.ReadPolicy{
		Role: peers.overlay.Role(), Rank: peers.readerRank, RootsUnavailable: peers.rootsLackStore(), FedByUpstream: peers.fedByUpstream(), MissesVersion: peers.newerVersionOverdue(),
	}
}

// rootsLackStore reports whether this node is a root and no root that it knows can reach the store.
func (peers *peers) rootsLackStore() bool {
	if peers.overlay.Role() != overlay.Root || !peers.node.storeCalls.Unavailable() {
		return false
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for link, state := range peers.linkStates {
		if link.Purpose == frame.Purpose_Root && !state.storeUnavailable {
			return false
		}
	}
	return true
}

// leaderCandidates returns the current leader and the nodes that could become leader.
func (peers *peers) leaderCandidates() []leadership.Peer {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	candidates := []leadership.Peer{}
	if leader := peers.leader; leader.term != 0 && !leader.released && peers.node.now()-leader.seenAt < leaderTimeout {
		candidates = append(candidates, leadership.Peer{Term: leader.term})
	}
	for link, state := range peers.linkStates {
		if link.Purpose == frame.Purpose_Root {
			candidates = append(candidates, leadership.Peer{Incarnation: link.Incarnation, Eligible: state.synced && !peers.node.detours.lacksEngineServers(state.lostPaths)})
		}
	}
	return candidates
}

// advanceHeartbeat raises the heartbeat while this node is leader, and marks its term as released once it no
// longer is.
func (peers *peers) advanceHeartbeat(term int64) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	switch {
	case term != 0:
		peers.lastOwnTerm = term
		peers.leader = leaderState{term: term, heartbeat: peers.leader.heartbeat + 1, seenAt: peers.node.now()}
	case peers.lastOwnTerm != 0 && peers.leader.term == peers.lastOwnTerm:
		peers.leader.released = true
	}
}

// handleLeader merges what another node knows of the current leader.
func (peers *peers) handleLeader(received *frame.Holder) {
	if received == nil {
		return
	}
	peers.node.elector.Observe(received.Term)
	peers.mu.Lock()
	defer peers.mu.Unlock()
	leader := &peers.leader
	if received.Term > leader.term || (received.Term == leader.term && received.Beat > leader.heartbeat) {
		*leader = leaderState{term: received.Term, heartbeat: received.Beat, seenAt: peers.node.now()}
	}
	leader.released = leader.released || (received.Released && received.Term == leader.term)
}
