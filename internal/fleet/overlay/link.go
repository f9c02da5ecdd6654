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

// Link is a long-lived connection to another node.
type Link struct {
	// Purpose is the purpose of the connection. Opened reports whether this node opened it.
	Purpose frame.Purpose
	Opened  bool
	// Remote is the other node, and Incarnation identifies its process.
	Remote      tree.Member
	Incarnation uint64
	// Done is closed when the link has ended.
	Done chan struct{}

	conn        *sibling.Conn
	sendRequest chan struct{}
	endOnce     sync.Once
	// remoteInterval is the send interval that the remote node requested, in nanoseconds, or 0 for none.
	remoteInterval atomic.Int64
	// remoteStopping reports that the remote node announced its shutdown.
	remoteStopping atomic.Bool
	// sentHeads is the hash of the head list that was last sent to the remote node.
	sentHeads uint64
}

func newLink(conn *sibling.Conn, purpose frame.Purpose, opened bool, remote tree.Member, incarnation uint64) *Link {
	return &Link{
		Purpose: purpose, Opened: opened, Remote: remote, Incarnation: incarnation,
		Done: make(chan struct{}), conn: conn, sendRequest: make(chan struct{}, 1),
	}
}

// Upstream reports whether the link leads to this node's upstream node.
func (link *Link) Upstream() bool {
	return link.Opened && link.Purpose != frame.Purpose_Root
}

// close closes the connection. The goroutine in runLink then removes the link.
func (link *Link) close() {
	link.conn.Close()
}

func (link *Link) requestSend() {
	select {
	case link.sendRequest <- struct{}{}:
	default:
	}
}

// Links returns the open links.
func (overlay *Overlay) Links() []*Link {
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	links := make([]*Link, 0, len(overlay.links))
	for link := range overlay.links {
		links = append(links, link)
	}
	return links
}

// SendNow sends a frame immediately over each matching link.
func (overlay *Overlay) SendNow(match func(link *Link) bool) {
	for _, link := range overlay.Links() {
		if match(link) {
			link.requestSend()
		}
	}
}

// closeLinks closes the matching links.
func (overlay *Overlay) closeLinks(match func(link *Link) bool) {
	for _, link := range overlay.Links() {
		if match(link) {
			link.close()
		}
	}
}

// runLink serves a link until it ends.
func (overlay *Overlay) runLink(link *Link) {
	if !overlay.addLink(link) {
		link.close()
		close(link.Done)
		return
	}
	overlay.Go(func() { overlay.sendLoop(link) })
	for !link.remoteStopping.Load() || !link.Upstream() {
		received, err := link.conn.Receive(linkIdleTimeout)
		if err != nil {
			break
		}
		overlay.Counters.FramesReceived.Add(1)
		overlay.handleFrame(link, received)
	}
	overlay.removeLink(link)
}

// addLink registers a link and reports whether it is kept. Of two links between the same roots, both ends keep the
// one that was opened from the data centre whose name sorts first. Of two links opened from the same side, the newer
// one is kept, because the node that opened it knows that the older one is broken.
func (overlay *Overlay) addLink(link *Link) bool {
	overlay.mu.Lock()
	defer overlay.mu.Unlock()
	for existing := range overlay.links {
		if link.Purpose != frame.Purpose_Root || existing.Purpose != frame.Purpose_Root || existing.Incarnation != link.Incarnation {
			continue
		}
		if existing.Opened != link.Opened && overlay.openedByPreferredSide(existing) {
			return false
		}
		existing.close()
	}
	overlay.links[link] = struct{}{}
	return true
}

// openedByPreferredSide reports whether a link between roots was opened from the data centre whose name sorts first.
func (overlay *Overlay) openedByPreferredSide(link *Link) bool {
	return link.Opened == (overlay.Self.DataCentre < link.Remote.DataCentre)
}

func (overlay *Overlay) removeLink(link *Link) {
	link.endOnce.Do(func() {
		link.close()
		close(link.Done)
		overlay.mu.Lock()
		delete(overlay.links, link)
		overlay.mu.Unlock()
		overlay.Counters.LinksEnded.Add(1)
		overlay.LinkEnded(link)
	})
}

// handleFrame processes the fields of a frame that belong to the overlay, and passes the frame on.
func (overlay *Overlay) handleFrame(link *Link, received *frame.Frame) {
	overlay.addHeads(received.Heads)
	if received.IntervalMs > 0 {
		link.remoteInterval.Store(int64(time.Duration(received.IntervalMs) * time.Millisecond))
	}
	if received.Stopping {
		link.remoteStopping.Store(true)
	}
	overlay.HandleFrame(link, received)
}

// maxFrameGap is how long frames that carry nothing new may be skipped: a third of linkIdleTimeout, after which the
// remote node closes the link.
const maxFrameGap = 240 * time.Millisecond

// sendLoop sends frames until the link ends: after each send interval, and immediately on request.
func (overlay *Overlay) sendLoop(link *Link) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	lastSent := time.Duration(0)
	for {
		requested := false
		select {
		case <-overlay.Stopping:
			return
		case <-link.Done:
			return
		case <-link.sendRequest:
			requested = true
		case <-timer.C:
		}
		fields := overlay.overlayFields(link)
		optional := !requested && !fields.Stopping && len(fields.Heads) == 0 && overlay.Now()-lastSent < maxFrameGap
		if body := overlay.Compose(link, optional); body != nil {
			body = overlay.appendFields(body, fields)
			if err := link.conn.Send(body, sendTimeout); err != nil {
				link.close()
				return
			}
			lastSent = overlay.Now()
			overlay.Counters.FramesSent.Add(1)
			overlay.Counters.BytesSent.Add(uint64(len(body)))
		}
		timer.Reset(overlay.sendInterval(link))
	}
}

// overlayFields returns the overlay's own fields for the next frame.
func (overlay *Overlay) overlayFields(link *Link) *frame.Frame {
	fields := &frame.Frame{Stopping: overlay.leaving.Load()}
	if link.Purpose == frame.Purpose_Leaf && !link.Opened {
		fields.IntervalMs = uint32(overlay.sendInterval(link).Milliseconds())
	}
	heads := overlay.heads()
	if heads.hash != link.sentHeads && (!link.Upstream() || link.Purpose == frame.Purpose_Relay) {
		fields.Heads, link.sentHeads = heads.nodes, heads.hash
	}
	return fields
}

// appendFields appends the overlay's own fields to an encoded frame. Protobuf allows concatenation: an encoded
// message may be followed by more of its fields.
func (overlay *Overlay) appendFields(body []byte, fields *frame.Frame) []byte {
	encoded, err := proto.Marshal(fields)
	if err != nil {
		overlay.Logger.Error("overlay: cannot encode the overlay's fields of a frame.", "Error", err.Error())
		return body
	}
	return append(body, encoded...)
}

const (
	// intervalPerLeaf is how much each leaf adds to a relay's send interval, so that the total number of frames per
	// second does not grow with the number of leaves. A frame costs some 0.05 ms at each end.
	intervalPerLeaf = 2500 * time.Microsecond
	// minLeafInterval and maxLeafInterval bound the send interval to and from leaves. With longer intervals, calls go
	// to servers that other nodes have just chosen as well.
	minLeafInterval = 50 * time.Millisecond
	maxLeafInterval = 200 * time.Millisecond
	// intervalPerBackboneLink, minBackboneInterval and maxBackboneInterval are the same for the backbone links
	// between relays and roots. State crosses up to three of these links on its way to a leaf.
	intervalPerBackboneLink = 5 * time.Millisecond
	minBackboneInterval     = 25 * time.Millisecond
	maxBackboneInterval     = 100 * time.Millisecond
)

// sendInterval returns the interval between frames on a link.
func (overlay *Overlay) sendInterval(link *Link) time.Duration {
	if requested := link.remoteInterval.Load(); requested > 0 {
		return time.Duration(requested)
	}
	overlay.mu.Lock()
	leaves := 0
	for open := range overlay.links {
		if open.Purpose == frame.Purpose_Leaf {
			leaves++
		}
	}
	backboneLinks := len(overlay.links) - leaves
	overlay.mu.Unlock()
	if link.Purpose == frame.Purpose_Leaf {
		return min(maxLeafInterval, max(minLeafInterval, intervalPerLeaf*time.Duration(leaves)))
	}
	return min(maxBackboneInterval, max(minBackboneInterval, intervalPerBackboneLink*time.Duration(backboneLinks)))
}
