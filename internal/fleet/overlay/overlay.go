// Package overlay maintains the connections over which the nodes of a fleet exchange state.
//
// Package tree computes each node's position. Package overlay discovers the other nodes, connects to them and
// replaces broken connections. A leaf holds one connection, to a relay of its data centre. A relay holds one
// connection to its root and one from each of its leaves. A root additionally holds one to the root of each other
// data centre. The caller provides the content: Dependencies.Compose encodes outgoing frames, and
// Dependencies.HandleFrame receives incoming ones.
//
// There is no consensus, and no state is persisted. A node learns of other nodes from its configured seeds, from
// nodes that connect to it, from frames, and from the store's directory where these sources yield nothing. A node
// first reopens a connection that has ended, since connections are reset or fall silent while both ends are healthy.
// Then the node tries the next upstream candidate. A node that reaches no candidate becomes a root that represents
// only itself, and keeps trying.
//
// # Usage
//
//	overlay := overlay.New(listener, overlay.Dependencies{Self: self, Compose: compose, HandleFrame: handle, ...})
//	overlay.Start()
//	overlay.SendNow(func(link *overlay.Link) bool { return link.Purpose != frame.Purpose_Leaf })
//	overlay.Stop()
package overlay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/fleet/tree"
	"hazelslip/internal/peer/sibling"
	"hazelslip/internal/wire/frame"
)

// Role is the function of a node in the fleet's tree.
type Role int32

// The roles of a node.
const (
	// Starting: the node is still looking for other nodes.
	Starting Role = iota
	// Leaf: a relay sends the node the state that it needs.
	Leaf
	// Relay: the node holds the complete state, which its root sends it.
	Relay
	// Root: the node represents its data centre, or only itself if it reaches no other node.
	Root
)

// String returns the role's name for logs.
func (role Role) String() string {
	return [...]string{"Starting", "Leaf", "Relay", "Root"}[role]
}

// Dependencies are the constructor arguments of an Overlay.
type Dependencies struct {
	Self        tree.Member
	Incarnation uint64
	// Seeds are the addresses that the node queries first.
	Seeds []string
	// FirstStart reports that all nodes of the fleet are starting now, so that none can be found yet.
	FirstStart bool
	// RelayCount is the number of relays in a data centre.
	RelayCount int
	// MaxConns is the maximum number of connections that other nodes open, 0 for none.
	MaxConns int
	// Register adds this node to the store's directory; ListNodes returns the nodes in the directory.
	Register  func(ctx context.Context) error
	ListNodes func(ctx context.Context) ([]tree.Member, error)
	// Compose returns the next encoded frame for a link. It may return nil if the frame is optional and would carry
	// nothing new. HandleFrame receives each frame of a link, in order. LinkEnded is called after a link has ended.
	Compose     func(link *Link, optional bool) []byte
	HandleFrame func(link *Link, received *frame.Frame)
	LinkEnded   func(link *Link)
	// RoleChanged is called after the node's role has changed.
	RoleChanged func(role Role)
	// Configuration returns the configuration in force, for nodes that fetch it.
	Configuration func() []byte
	// Detours returns the nodes that accept requests from other nodes, for nodes that query them.
	Detours func() []*frame.Detour
	// ReadyForLeaves reports whether this node holds the state that its leaves need.
	ReadyForLeaves func() bool
	Dial           sibling.DialFunc
	Now            clock.Now
	Logger         *slog.Logger
}

const (
	// attachTimeout bounds connecting to a node, and waiting for its first answer. Within a region both take some
	// milliseconds. A node with a fifth of a core that sixty others query at once takes longer.
	attachTimeout = 300 * time.Millisecond
	// bootAttachTimeout replaces attachTimeout on a node that has just restarted.
	bootAttachTimeout = 100 * time.Millisecond
	// linkIdleTimeout is how long a link may receive no frame before it counts as broken: several send intervals, and
	// longer than the retransmission of a lost packet takes.
	linkIdleTimeout = 700 * time.Millisecond
	// sendTimeout bounds sending a frame.
	sendTimeout = 700 * time.Millisecond
	// bootGracePeriod is how long a starting node waits for its upstream candidates before it becomes a root. The
	// candidates start at the same moment, and can serve other nodes only after they have read the store.
	bootGracePeriod = 2500 * time.Millisecond
	// relayBootGracePeriod replaces bootGracePeriod on a relay that restarts.
	relayBootGracePeriod = 100 * time.Millisecond
	// bootRetryInterval is the interval between attempts to attach during the grace period.
	bootRetryInterval = 60 * time.Millisecond
	// seedRediscoverDelay and rediscoverDelay are how long a seed and any other node wait, when all nodes start for
	// the first time, before they query for nodes again. Nodes that are started together start within 0.3 s, and the
	// seeds must hear from each other before the other nodes query them. The other nodes add a random delay of up to
	// rediscoverJitter, so that they do not query the seeds all at once.
	seedRediscoverDelay = 450 * time.Millisecond
	rediscoverDelay     = 650 * time.Millisecond
	rediscoverJitter    = 600 * time.Millisecond
	// rootRetryInterval is how often a root retries upstream candidates that did not answer.
	rootRetryInterval = time.Second
	// betterUpstreamInterval is how often a node tries candidates that rank before its current upstream node, so that
	// leaves spread again over relays that were unavailable. A random delay of up to the same length is added.
	betterUpstreamInterval = 5 * time.Second
	// stoppingBackoff is how long a node that announced its shutdown is not tried.
	stoppingBackoff = 10 * time.Second
)

// Overlay manages a node's links to other nodes.
type Overlay struct {
	*lifecycle.Component
	Dependencies
	Counters Counters

	server      *sibling.Server
	role        atomic.Int32
	leaving     atomic.Bool
	startedAt   time.Duration
	reselect    chan struct{}
	upstream    atomic.Pointer[Link]
	cachedHeads atomic.Pointer[headList]

	mu        sync.Mutex
	directory map[string]*directoryEntry
	links     map[*Link]struct{}
	// roots maps each data centre to the address of its root, as reported by other nodes.
	roots map[string]string
	// unlinkedSince holds the time since when this root has had no link to a data centre. connecting holds the data
	// centres to which a connection attempt is under way.
	unlinkedSince map[string]time.Duration
	connecting    map[string]bool
	registered    bool
}

// Counters are the overlay's monotonic counters.
type Counters struct {
	LinksAttached, LinksFailed, LinksEnded, FramesSent, FramesReceived, BytesSent, RoleChanges atomic.Uint64
}

// New returns an overlay that has not been started.
func New(listener net.Listener, dependencies Dependencies) *Overlay {
	overlay := &Overlay{
		Component: lifecycle.New("overlay"), Dependencies: dependencies, reselect: make(chan struct{}, 1),
		directory: map[string]*directoryEntry{}, links: map[*Link]struct{}{}, roots: map[string]string{},
		unlinkedSince: map[string]time.Duration{}, connecting: map[string]bool{},
	}
	overlay.server = sibling.NewServer(listener, overlay.handleConn, sibling.MaxConns(dependencies.MaxConns), sibling.OnAcceptError(func(err error) {
		overlay.Logger.Warn("overlay: accepting connections of other nodes fails.", "Error", err.Error())
	}))
	return overlay
}

// Start starts node discovery and the server for incoming connections.
func (overlay *Overlay) Start() {
	overlay.startedAt = overlay.Now()
	overlay.server.Start()
	overlay.Go(overlay.maintainUpstream)
	overlay.RepeatNamed("meet", overlay.rootConnectPause, overlay.connectRoots)
	overlay.Every(directoryInterval, overlay.refreshDirectory)
}

// Leave announces to all linked nodes that this node is shutting down. The links stay open for incoming frames.
func (overlay *Overlay) Leave() {
	overlay.leaving.Store(true)
	overlay.SendNow(func(*Link) bool { return true })
}

// Stop closes all connections and waits for the overlay's goroutines.
func (overlay *Overlay) Stop() {
	overlay.RequestStop()
	overlay.mu.Lock()
	for link := range overlay.links {
		link.close()
	}
	overlay.mu.Unlock()
	overlay.server.Stop()
	overlay.Component.Stop()
}

// Role returns the node's current role.
func (overlay *Overlay) Role() Role {
	return Role(overlay.role.Load())
}

func (overlay *Overlay) setRole(role Role) {
	previous := Role(overlay.role.Swap(int32(role)))
	if previous == role {
		return
	}
	overlay.Counters.RoleChanges.Add(1)
	overlay.Logger.Info("overlay: the node changed its role.", "Role", role.String(), "Before", previous.String(), "Upstream", overlay.upstreamAddress())
	overlay.closeLinks(func(link *Link) bool {
		return (link.Purpose == frame.Purpose_Root && role != Root) || (!link.Upstream() && role == Leaf)
	})
	overlay.RoleChanged(role)
}

// Upstream returns the link to the upstream node, or nil if there is none.
func (overlay *Overlay) Upstream() *Link {
	return overlay.upstream.Load()
}

func (overlay *Overlay) upstreamAddress() string {
	if link := overlay.Upstream(); link != nil {
		return link.Remote.Address
	}
	return ""
}

// Root returns the address of the root of this node's data centre, or an empty string if it is unknown.
func (overlay *Overlay) Root() string {
	if overlay.Role() == Root {
		return overlay.Self.Address
	}
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	return overlay.roots[overlay.Self.DataCentre]
}

// maintainUpstream keeps this node attached to an upstream node.
func (overlay *Overlay) maintainUpstream() {
	overlay.bootstrap()
	previous := ""
	for {
		select {
		case <-overlay.Stopping:
			return
		default:
		}
		link := overlay.attachUpstream(previous)
		if link == nil {
			previous = ""
			overlay.waitWithoutUpstream()
			continue
		}
		previous = overlay.holdUpstream(link)
	}
}

// waitWithoutUpstream waits until the next attempt to attach. The node becomes
// a root after the grace period, or at once if there are no upstream candidates.
func (overlay *Overlay) waitWithoutUpstream() {
	if position := overlay.position(true); len(position.Upstreams) > 0 && overlay.Now()-overlay.startedAt < overlay.bootGracePeriodFor(position) {
		overlay.Sleep(bootRetryInterval)
		return
	}
	if overlay.Role() != Root {
		overlay.setRole(Root)
		// If two nodes become roots at the same time, the one that registers later finds the other in the directory
		// and announces itself to it.
		overlay.register()
		overlay.announceToHeads()
	}
	if len(overlay.Links()) == 0 {
		overlay.waitForReselect(isolatedRetryInterval)
		return
	}
	overlay.waitForReselect(rootRetryInterval)
}

// bootGracePeriodFor returns how long after its start a node waits for its upstream candidates. A relay that restarts
// together with the other relays waits only briefly, because all leaves of its data centre wait for the first relay.
func (overlay *Overlay) bootGracePeriodFor(position tree.Position) time.Duration {
	if position.Relay && !overlay.FirstStart {
		return relayBootGracePeriod
	}
	return bootGracePeriod
}

// waitForReselect waits until an upstream selection is requested, or until the timeout.
func (overlay *Overlay) waitForReselect(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-overlay.Stopping:
	case <-overlay.reselect:
	case <-timer.C:
	}
}

// attachUpstream attaches to the first upstream candidate that accepts this node. The previous upstream node is tried
// first.
func (overlay *Overlay) attachUpstream(previous string) *Link {
	position := overlay.position(false)
	purpose := frame.Purpose_Leaf
	if position.Relay {
		purpose = frame.Purpose_Relay
	}
	addresses := position.Upstreams
	if previous != "" {
		addresses = append([]string{previous}, addresses...)
	}
	return overlay.attachFirst(addresses, purpose)
}

// holdUpstream keeps a link as the upstream link until it ends, and replaces it if a better candidate accepts this
// node. It returns the address to try first after that.
func (overlay *Overlay) holdUpstream(link *Link) string {
	overlay.adoptUpstream(link)
	ticker := time.NewTicker(betterUpstreamInterval + rand.N(betterUpstreamInterval))
	defer ticker.Stop()
	for {
		select {
		case <-overlay.Stopping:
			return ""
		case <-link.Done:
			overlay.upstream.CompareAndSwap(link, nil)
			if link.remoteStopping.Load() {
				overlay.markStopping(link.Remote.Address)
				return ""
			}
			return link.Remote.Address
		case <-ticker.C:
		case <-overlay.reselect:
		}
		if better := overlay.findBetterUpstream(link); better != nil {
			overlay.adoptUpstream(better)
			link.close()
			link = better
		}
	}
}

// adoptUpstream makes a link the upstream link and sets the role that follows from it.
func (overlay *Overlay) adoptUpstream(link *Link) {
	overlay.upstream.Store(link)
	role := Leaf
	if link.Purpose == frame.Purpose_Relay {
		role = Relay
	}
	overlay.setRole(role)
	if role == Relay {
		overlay.scheduleRegister(relayRegisterDelay)
	}
}

// findBetterUpstream attaches to a candidate that ranks before the current upstream node, or to any candidate if the
// node's role should change between leaf and relay. It returns nil if there is none.
func (overlay *Overlay) findBetterUpstream(link *Link) *Link {
	position := overlay.position(false)
	if position.Relay != (link.Purpose == frame.Purpose_Relay) {
		return overlay.attachUpstream("")
	}
	for _, address := range position.Upstreams {
		if address == link.Remote.Address {
			return nil
		}
		if better := overlay.attach(address, link.Purpose); better != nil {
			return better
		}
	}
	return nil
}

// State is the overlay's part of the state dump.
type State struct {
	Role     string
	Upstream string
	Root     string
	// Leaves, Relays and Roots count the links to nodes of that role, the upstream link excluded. Known counts the
	// nodes in the node's own directory.
	Leaves, Relays, Roots, Known int
}

// State returns the node's role and a summary of its links.
func (overlay *Overlay) State() State {
	state := State{Role: overlay.Role().String(), Upstream: overlay.upstreamAddress(), Root: overlay.Root()}
	for _, link := range overlay.Links() {
		switch {
		case link.Upstream():
		case link.Purpose == frame.Purpose_Leaf:
			state.Leaves++
		case link.Purpose == frame.Purpose_Relay:
			state.Relays++
		case link.Purpose == frame.Purpose_Root:
			state.Roots++
		}
	}
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	state.Known = len(overlay.directory)
	return state
}
