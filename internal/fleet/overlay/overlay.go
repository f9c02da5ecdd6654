// Package overlay keeps the connections over which the nodes of a fleet tell each
// other what they know.
//
// Package tree says where a node stands; this package finds the others, connects,
// and replaces what breaks. A leaf holds one connection, to a relay of its data
// centre. A relay holds one to its root and one from each of its leaves, a root
// one more to the root of each other data centre. What passes over them is not
// its concern: Compose makes the frames, Take is given those that come.
//
// Nothing is agreed on and nothing is kept. A node learns of others from the seeds
// that it was told, from whoever connects to it, from frames, and from the store's
// directory where these say nothing. A connection that ends is first opened
// anew, since connections are reset or go silent while both ends are well; then
// the next node above is tried; a node that reaches none speaks for itself, as a
// root, and goes on trying.
//
// # Usage
//
//	overlay := overlay.New(listener, overlay.Parts{Self: self, Compose: compose, Take: take, ...})
//	overlay.Start()
//	overlay.Poke(func(link *overlay.Link) bool { return link.Purpose != frame.Purpose_Leaf })
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

// Role is what a node does in the fleet.
type Role int32

// The roles of a node.
const (
	// Starting: it looks for the others.
	Starting Role = iota
	// Leaf: a relay tells it what it needs to know.
	Leaf
	// Relay: it keeps all that there is to know, as its root tells it.
	Relay
	// Root: it speaks for its data centre, or for itself where it reaches nobody.
	Root
)

// String names the role for logs.
func (role Role) String() string {
	return [...]string{"Starting", "Leaf", "Relay", "Root"}[role]
}

// Parts is what an Overlay works with.
type Parts struct {
	Self        tree.Member
	Incarnation uint64
	// Seeds are addresses to begin with.
	Seeds []string
	// FirstStart says that all nodes start now, so that none can be found yet.
	FirstStart bool
	// Relays is how many nodes of a data centre are relays.
	Relays int
	// Register makes this node known in the store's directory, Known returns the
	// nodes there.
	Register func(ctx context.Context) error
	Known    func(ctx context.Context) ([]tree.Member, error)
	// Compose returns the next frame for a link, encoded; nil where it would say nothing
	// new and is optional. Take is given each frame that came over one, in order. Ended
	// is told of a link that is gone.
	Compose func(link *Link, optional bool) []byte
	Take    func(link *Link, received *frame.Frame)
	Ended   func(link *Link)
	// Changed is told of a new role.
	Changed func(role Role)
	// Configuration returns the configuration in force, for whoever fetches it.
	Configuration func() []byte
	// Detours are the nodes that take requests of others, for whoever asks.
	Detours func() []*frame.Detour
	// Fit says whether this node knows what its leaves need.
	Fit    func() bool
	Dial   sibling.DialFunc
	Now    clock.Now
	Logger *slog.Logger
}

const (
	// attachTime bounds connecting to a node, and waiting for its first answer.
	// Within a region both take some milliseconds; a node of a fifth of a core that
	// sixty others ask at once takes longer.
	attachTime = 300 * time.Millisecond
	// bootAttachTime is the same for a node that has just started.
	bootAttachTime = 100 * time.Millisecond
	// silence is how long nothing may come over a link: several intervals, and
	// longer than a lost packet takes to come again.
	silence = 700 * time.Millisecond
	// sendTime bounds sending a frame.
	sendTime = 700 * time.Millisecond
	// bootTime is how long a node that has just started waits for the nodes above
	// it before it speaks for itself: they start at the same moment, and must have
	// read the store before they are of use.
	bootTime = 2500 * time.Millisecond
	// relayPatience is the same for a relay that starts again.
	relayPatience = 100 * time.Millisecond
	// bootAgain is how often it tries them meanwhile.
	bootAgain = 60 * time.Millisecond
	// firstSeeds and firstOthers are after which time a node that starts for the first
	// time, with all others, asks once more who there is: nodes that are started
	// together start within 0.3 s, and seeds must hear from each other before the rest
	// asks. Up to firstSpread is added, so that the seeds aren't asked by all at once.
	firstSeeds  = 450 * time.Millisecond
	firstOthers = 650 * time.Millisecond
	firstSpread = 600 * time.Millisecond
	// rootAgain is how often a root tries the nodes above it that didn't answer.
	rootAgain = time.Second
	// betterEvery is how often a node tries one above that comes before the one
	// that it is attached to, so that leaves spread again over relays that were
	// away. A random part is added.
	betterEvery = 5 * time.Second
	// stoppingFor is how long a node that said it stops is not tried.
	stoppingFor = 10 * time.Second
)

// Overlay is a node's connections with the others.
type Overlay struct {
	*lifecycle.Part
	Parts
	Counts Counts

	server   *sibling.Server
	role     atomic.Int32
	leaving  atomic.Bool
	started  time.Duration
	wake     chan struct{}
	upstream atomic.Pointer[Link]
	told     atomic.Pointer[heads]

	mu        sync.Mutex
	directory map[string]*entry
	links     map[*Link]struct{}
	// roots are the addresses that other nodes named as the roots of data centres.
	roots map[string]string
	// apart is since when this root has had no link to a data centre; meeting those
	// that are being connected to.
	apart      map[string]time.Duration
	meeting    map[string]bool
	registered bool
}

// Counts are the overlay's counters; they only grow.
type Counts struct {
	Attached, AttachFailed, LinksEnded, FramesSent, FramesTaken, BytesSent, RoleChanges atomic.Uint64
}

// New returns an overlay that is yet to be started.
func New(listener net.Listener, parts Parts) *Overlay {
	overlay := &Overlay{
		Part: lifecycle.New("overlay"), Parts: parts, wake: make(chan struct{}, 1),
		directory: map[string]*entry{}, links: map[*Link]struct{}{}, roots: map[string]string{},
		apart: map[string]time.Duration{}, meeting: map[string]bool{},
	}
	overlay.server = sibling.NewServer(listener, overlay.serve)
	return overlay
}

// Start begins to look for the others and to answer them.
func (overlay *Overlay) Start() {
	overlay.started = overlay.Now()
	overlay.server.Start()
	overlay.Go(overlay.follow)
	overlay.PacedAs("meet", overlay.meetPause, overlay.meet)
	overlay.Every(directoryEvery, overlay.refresh)
}

// Leave tells all others that this node stops. It goes on to hear from them.
func (overlay *Overlay) Leave() {
	overlay.leaving.Store(true)
	overlay.Poke(func(*Link) bool { return true })
}

// Stop ends all connections.
func (overlay *Overlay) Stop() {
	overlay.Ask()
	overlay.mu.Lock()
	for link := range overlay.links {
		link.close()
	}
	overlay.mu.Unlock()
	overlay.server.Stop()
	overlay.Part.Stop()
}

// Role returns what the node does now.
func (overlay *Overlay) Role() Role {
	return Role(overlay.role.Load())
}

func (overlay *Overlay) become(role Role) {
	before := Role(overlay.role.Swap(int32(role)))
	if before == role {
		return
	}
	overlay.Counts.RoleChanges.Add(1)
	overlay.Logger.Info("overlay: the node has another role.", "Role", role.String(), "Before", before.String(), "Upstream", overlay.upstreamAddress())
	overlay.drop(func(link *Link) bool {
		return (link.Purpose == frame.Purpose_Root && role != Root) || (!link.Upstream() && role == Leaf)
	})
	overlay.Changed(role)
}

// Upstream returns the link to the node that this one is attached to, nil for
// none.
func (overlay *Overlay) Upstream() *Link {
	return overlay.upstream.Load()
}

func (overlay *Overlay) upstreamAddress() string {
	if link := overlay.Upstream(); link != nil {
		return link.Remote.Address
	}
	return ""
}

// Root returns the address of the node that speaks for this one's data centre, as
// far as is known.
func (overlay *Overlay) Root() string {
	if overlay.Role() == Root {
		return overlay.Self.Address
	}
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	return overlay.roots[overlay.Self.DataCentre]
}

// follow keeps this node attached to one above it.
func (overlay *Overlay) follow() {
	overlay.boot()
	last := ""
	for {
		select {
		case <-overlay.Stopping:
			return
		default:
		}
		link := overlay.attachAny(last)
		if link == nil {
			last = ""
			overlay.alone()
			continue
		}
		last = overlay.stay(link)
	}
}

// alone waits where there is nobody to attach to.
func (overlay *Overlay) alone() {
	if place := overlay.place(true); len(place.Above) > 0 && overlay.Now()-overlay.started < overlay.patience(place) {
		overlay.Sleep(bootAgain)
		return
	}
	if overlay.Role() != Root {
		overlay.become(Root)
		// Of two that become roots at once, the one that registers later reads of the
		// other, and tells it.
		overlay.register()
		overlay.announce()
	}
	if len(overlay.Links()) == 0 {
		overlay.await(aloneAgain)
		return
	}
	overlay.await(rootAgain)
}

// patience is for how long after its start a node waits for those above it. A relay
// that starts again among others that do goes on by itself soon: all leaves of its
// data centre wait for the first relay.
func (overlay *Overlay) patience(place tree.Place) time.Duration {
	if place.Relay && !overlay.FirstStart {
		return relayPatience
	}
	return bootTime
}

// await waits until a node was learnt of, or for a time.
func (overlay *Overlay) await(span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-overlay.Stopping:
	case <-overlay.wake:
	case <-timer.C:
	}
}

// attachAny attaches to the first node above that takes this one: the one that it
// was attached to until now before any other.
func (overlay *Overlay) attachAny(last string) *Link {
	place := overlay.place(false)
	purpose := frame.Purpose_Leaf
	if place.Relay {
		purpose = frame.Purpose_Relay
	}
	above := place.Above
	if last != "" {
		above = append([]string{last}, above...)
	}
	return overlay.race(above, purpose)
}

// stay keeps to a link until it ends, or until there is a better one. It returns
// the address to try first after that.
func (overlay *Overlay) stay(link *Link) string {
	overlay.settle(link)
	ticker := time.NewTicker(betterEvery + rand.N(betterEvery))
	defer ticker.Stop()
	for {
		select {
		case <-overlay.Stopping:
			return ""
		case <-link.Done:
			overlay.upstream.CompareAndSwap(link, nil)
			if link.told.Load() {
				overlay.stops(link.Remote.Address)
				return ""
			}
			return link.Remote.Address
		case <-ticker.C:
		case <-overlay.wake:
		}
		if better := overlay.better(link); better != nil {
			overlay.settle(better)
			link.close()
			link = better
		}
	}
}

// settle makes a link the one to the node above.
func (overlay *Overlay) settle(link *Link) {
	overlay.upstream.Store(link)
	role := Leaf
	if link.Purpose == frame.Purpose_Relay {
		role = Relay
	}
	overlay.become(role)
	if role == Relay {
		overlay.registerSoon(relayLasts)
	}
}

// better attaches to a node that comes before the one this node is attached to, or
// as what it should be by now.
func (overlay *Overlay) better(link *Link) *Link {
	place := overlay.place(false)
	if place.Relay != (link.Purpose == frame.Purpose_Relay) {
		return overlay.attachAny("")
	}
	for _, address := range place.Above {
		if address == link.Remote.Address {
			return nil
		}
		if found := overlay.attach(address, link.Purpose); found != nil {
			return found
		}
	}
	return nil
}

// State is the overlay's part of the state dump.
type State struct {
	Role     string
	Upstream string
	Root     string
	// Leaves, Relays and Roots count the links to nodes of that kind, Known the
	// nodes of the directory.
	Leaves, Relays, Roots, Known int
}

// State returns what the node is connected to.
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
