package overlay

import (
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"hazelslip/internal/fleet/tree"
	"hazelslip/internal/peer/sibling"
	"hazelslip/internal/wire/frame"
)

// Link is a connection with another node that stays open.
type Link struct {
	// Purpose is what it was opened for, Opened whether this node opened it.
	Purpose frame.Purpose
	Opened  bool
	// Remote is the other node, Incarnation that of its process.
	Remote      tree.Member
	Incarnation uint64
	// Done is closed when the link has ended.
	Done chan struct{}

	conn *sibling.Conn
	poke chan struct{}
	once sync.Once
	// every is how often the other side wants to hear, in nanoseconds.
	every atomic.Int64
	// told says that the other side stops.
	told atomic.Bool
	// heads is the hash of the heads that the other side was last told.
	heads uint64
}

func newLink(conn *sibling.Conn, purpose frame.Purpose, opened bool, remote tree.Member, incarnation uint64) *Link {
	return &Link{
		Purpose: purpose, Opened: opened, Remote: remote, Incarnation: incarnation,
		Done: make(chan struct{}), conn: conn, poke: make(chan struct{}, 1),
	}
}

// Upstream says whether the link leads to the node that this one is attached to.
func (link *Link) Upstream() bool {
	return link.Opened && link.Purpose != frame.Purpose_Root
}

// close ends the link; whoever runs it notices.
func (link *Link) close() {
	link.conn.Close()
}

func (link *Link) wake() {
	select {
	case link.poke <- struct{}{}:
	default:
	}
}

// Links returns the links that there are.
func (overlay *Overlay) Links() []*Link {
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	links := make([]*Link, 0, len(overlay.links))
	for link := range overlay.links {
		links = append(links, link)
	}
	return links
}

// Poke sends frames at once over the links that are wanted.
func (overlay *Overlay) Poke(wanted func(link *Link) bool) {
	for _, link := range overlay.Links() {
		if wanted(link) {
			link.wake()
		}
	}
}

// drop ends the links that match.
func (overlay *Overlay) drop(match func(link *Link) bool) {
	for _, link := range overlay.Links() {
		if match(link) {
			link.close()
		}
	}
}

// run serves a link until it ends.
func (overlay *Overlay) run(link *Link) {
	if !overlay.add(link) {
		link.close()
		close(link.Done)
		return
	}
	overlay.Go(func() { overlay.send(link) })
	for !link.told.Load() || !link.Upstream() {
		received, err := link.conn.Receive(silence)
		if err != nil {
			break
		}
		overlay.Counts.FramesTaken.Add(1)
		overlay.take(link, received)
	}
	overlay.remove(link)
}

// add takes a link up. Of two between the same roots the one stays that was opened
// from the data centre whose name comes first, at both ends; of two that were
// opened from the same side the newer one, since the other end knows the older to
// be broken.
func (overlay *Overlay) add(link *Link) bool {
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	for held := range overlay.links {
		if link.Purpose != frame.Purpose_Root || held.Purpose != frame.Purpose_Root || held.Incarnation != link.Incarnation {
			continue
		}
		if held.Opened != link.Opened && overlay.openedFirst(held) {
			return false
		}
		held.close()
	}
	overlay.links[link] = struct{}{}
	return true
}

// openedFirst says whether a link between roots was opened from the side that
// comes first.
func (overlay *Overlay) openedFirst(link *Link) bool {
	return link.Opened == (overlay.Self.DataCentre < link.Remote.DataCentre)
}

func (overlay *Overlay) remove(link *Link) {
	link.once.Do(func() {
		link.close()
		close(link.Done)
		overlay.mu.Lock()
		delete(overlay.links, link)
		overlay.mu.Unlock()
		overlay.Counts.LinksEnded.Add(1)
		overlay.Ended(link)
	})
}

// take handles what concerns the overlay itself in a frame, and passes it on.
func (overlay *Overlay) take(link *Link, received *frame.Frame) {
	overlay.learnAll(received.Heads)
	if received.IntervalMs > 0 {
		link.every.Store(int64(time.Duration(received.IntervalMs) * time.Millisecond))
	}
	if received.Stopping {
		link.told.Store(true)
	}
	overlay.Take(link, received)
}

// quietMost is for how long a frame that would say nothing new is left out: a third of the
// time after which a silent link has ended.
const quietMost = 240 * time.Millisecond

// send sends frames until the link ends: after each interval, and at once when
// there is something to tell.
func (overlay *Overlay) send(link *Link) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	sent := time.Duration(0)
	for {
		poked := false
		select {
		case <-overlay.Stopping:
			return
		case <-link.Done:
			return
		case <-link.poke:
			poked = true
		case <-timer.C:
		}
		own := overlay.own(link)
		optional := !poked && !own.Stopping && len(own.Heads) == 0 && overlay.Now()-sent < quietMost
		if body := overlay.Compose(link, optional); body != nil {
			body = overlay.complete(body, own)
			if err := link.conn.Send(body, sendTime); err != nil {
				link.close()
				return
			}
			sent = overlay.Now()
			overlay.Counts.FramesSent.Add(1)
			overlay.Counts.BytesSent.Add(uint64(len(body)))
		}
		timer.Reset(overlay.interval(link))
	}
}

// own is what the overlay itself tells in the next frame.
func (overlay *Overlay) own(link *Link) *frame.Frame {
	own := &frame.Frame{Stopping: overlay.leaving.Load()}
	if link.Purpose == frame.Purpose_Leaf && !link.Opened {
		own.IntervalMs = uint32(overlay.interval(link).Milliseconds())
	}
	told := overlay.heads()
	if told.version != link.heads && (!link.Upstream() || link.Purpose == frame.Purpose_Relay) {
		own.Heads, link.heads = told.nodes, told.version
	}
	return own
}

// complete adds to a frame what the overlay itself tells. An encoded message may be
// followed by more fields of it.
func (overlay *Overlay) complete(body []byte, own *frame.Frame) []byte {
	added, err := proto.Marshal(own)
	if err != nil {
		overlay.Logger.Error("overlay: a frame can't be encoded.", "Error", err.Error())
		return body
	}
	return append(body, added...)
}

const (
	// perLeaf is how much each leaf of a relay adds to the pause between its frames,
	// so that a relay with many sends as often as one with few: a frame costs it some
	// 0.05 ms, at both ends.
	perLeaf = 2500 * time.Microsecond
	// leafLeast and leafMost bound the interval of leaves. With longer ones calls go where
	// others' went just before.
	leafLeast = 50 * time.Millisecond
	leafMost  = 200 * time.Millisecond
	// perCore, coreLeast and coreMost are the same between relays and roots, over
	// which what is told passes up to three times on its way to a leaf.
	perCore   = 5 * time.Millisecond
	coreLeast = 25 * time.Millisecond
	coreMost  = 100 * time.Millisecond
)

// interval is how often a frame is sent over a link.
func (overlay *Overlay) interval(link *Link) time.Duration {
	if told := link.every.Load(); told > 0 {
		return time.Duration(told)
	}
	overlay.mu.Lock()
	leaves := 0
	for held := range overlay.links {
		if held.Purpose == frame.Purpose_Leaf {
			leaves++
		}
	}
	others := len(overlay.links) - leaves
	overlay.mu.Unlock()
	if link.Purpose == frame.Purpose_Leaf {
		return min(leafMost, max(leafLeast, perLeaf*time.Duration(leaves)))
	}
	return min(coreMost, max(coreLeast, perCore*time.Duration(others)))
}
