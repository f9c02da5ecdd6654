package overlay

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/fleet/tree"
	"hazelslip/internal/peer/sibling"
	"hazelslip/internal/wire/frame"
)

// errRefused reports that a node answered but does not serve the request.
var errRefused = errors.New("the node refused the request")

func toWire(member tree.Member) *frame.Node {
	return &frame.Node{Address: member.Address, DataCentre: member.DataCentre, Capacity: member.Capacity}
}

func fromWire(node *frame.Node) tree.Member {
	return tree.Member{Address: node.GetAddress(), DataCentre: node.GetDataCentre(), Capacity: node.GetCapacity()}
}

// attachTimeoutNow returns the timeout for connecting to a node and for its first answer. It is short on a node that
// has just restarted: such a node retries soon anyway, and nodes that lost power together with it do not answer at
// all. It is longer when all nodes start for the first time, because every node queries the seeds then and they
// answer slowly.
func (overlay *Overlay) attachTimeoutNow() time.Duration {
	if !overlay.FirstStart && overlay.Now()-overlay.startedAt < bootGracePeriod {
		return bootAttachTimeout
	}
	return attachTimeout
}

// openConn connects to a node, sends the purpose of the connection, and returns the node's first answer.
func (overlay *Overlay) openConn(address string, purpose frame.Purpose) (*sibling.Conn, *frame.Frame, error) {
	timeout := overlay.attachTimeoutNow()
	conn, err := sibling.Connect(overlay.Dial, address, timeout)
	if err != nil {
		return nil, nil, err
	}
	hello, err := proto.Marshal(&frame.Frame{Hello: &frame.Hello{Incarnation: overlay.Incarnation, Sender: toWire(overlay.Self), Purpose: purpose}})
	if err != nil {
		conn.Close()
		return nil, nil, errors.Wrap(err, "encode the hello frame")
	}
	if err := conn.Send(hello, timeout); err != nil {
		conn.Close()
		return nil, nil, err
	}
	answer, err := conn.Receive(timeout)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, answer, nil
}

// acceptedConn is a connection to a node that has accepted this one.
type acceptedConn struct {
	conn    *sibling.Conn
	welcome *frame.Welcome
}

// handshake connects to a node for a purpose. It returns nil if the node fails or refuses.
func (overlay *Overlay) handshake(address string, purpose frame.Purpose) *acceptedConn {
	conn, answer, err := overlay.openConn(address, purpose)
	if err != nil {
		overlay.Counters.LinksFailed.Add(1)
		overlay.backOff(address, 0)
		return nil
	}
	overlay.addHeads(answer.Heads)
	welcome := answer.GetWelcome()
	overlay.setRoot(welcome.GetSender().GetDataCentre(), welcome.GetRoot())
	if welcome == nil || welcome.Refusal != "" {
		conn.Close()
		overlay.Counters.LinksFailed.Add(1)
		if answer.Stopping {
			overlay.markStopping(address)
		} else {
			overlay.backOff(address, refusalBackoff)
		}
		return nil
	}
	overlay.markAlive(address)
	return &acceptedConn{conn: conn, welcome: welcome}
}

// startLink starts a link over an accepted connection.
func (overlay *Overlay) startLink(accepted *acceptedConn, purpose frame.Purpose) *Link {
	overlay.Counters.LinksAttached.Add(1)
	link := newLink(accepted.conn, purpose, true, fromWire(accepted.welcome.Sender), accepted.welcome.Incarnation)
	overlay.Go(func() { overlay.runLink(link) })
	return link
}

// attach opens a link to a node. It returns nil if the node fails or refuses.
func (overlay *Overlay) attach(address string, purpose frame.Purpose) *Link {
	accepted := overlay.handshake(address, purpose)
	if accepted == nil {
		return nil
	}
	return overlay.startLink(accepted, purpose)
}

// attachStagger is the delay between the attempts on successive nodes: several times the answer time of a healthy
// node.
const attachStagger = 40 * time.Millisecond

// attachFirst opens a link to the first of several nodes that accepts this one. It returns nil if none does. The
// attempts overlap, because a node without power answers nothing: waiting for three such nodes in turn would leave
// this node without updates for a second.
func (overlay *Overlay) attachFirst(addresses []string, purpose frame.Purpose) *Link {
	answers := make(chan *acceptedConn, len(addresses))
	timer := time.NewTimer(attachStagger)
	defer timer.Stop()
	started, finished := 0, 0
	for finished < len(addresses) {
		if started < len(addresses) {
			address := addresses[started]
			overlay.Go(func() { answers <- overlay.handshake(address, purpose) })
			started++
			timer.Reset(attachStagger)
		}
		select {
		case accepted := <-answers:
			finished++
			if accepted != nil {
				overlay.closeLateConns(answers, started-finished)
				return overlay.startLink(accepted, purpose)
			}
		case <-timer.C:
		}
	}
	return nil
}

// closeLateConns closes the connections of the attempts that lost against the first accepted one.
func (overlay *Overlay) closeLateConns(answers <-chan *acceptedConn, count int) {
	overlay.Go(func() {
		for range count {
			if late := <-answers; late != nil {
				late.conn.Close()
			}
		}
	})
}

// FetchConfiguration fetches the configuration in force from a node.
func (overlay *Overlay) FetchConfiguration(address string) ([]byte, error) {
	conn, err := sibling.Connect(overlay.Dial, address, attachTimeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	hello, err := proto.Marshal(&frame.Frame{Hello: &frame.Hello{Incarnation: overlay.Incarnation, Sender: toWire(overlay.Self), Purpose: frame.Purpose_Fetch}})
	if err != nil {
		return nil, errors.Wrap(err, "encode the configuration request")
	}
	if err := conn.Send(hello, attachTimeout); err != nil {
		return nil, err
	}
	answer, err := conn.Receive(longAnswerTimeout)
	if err != nil {
		return nil, err
	}
	if len(answer.Configuration) == 0 {
		return nil, errors.Wrapf(errRefused, "fetch the configuration from %s", address)
	}
	return answer.Configuration, nil
}

// handleConn serves a connection that another node opened.
func (overlay *Overlay) handleConn(conn *sibling.Conn) {
	first, err := conn.Receive(attachTimeout)
	if err != nil || first.Hello == nil {
		return
	}
	hello := first.Hello
	remote := fromWire(hello.Sender)
	overlay.addMember(remote)
	overlay.markAlive(remote.Address)
	if hello.Purpose == frame.Purpose_Fetch {
		overlay.sendReply(conn, &frame.Frame{Configuration: overlay.Configuration()})
		return
	}
	refusal := ""
	if hello.Purpose != frame.Purpose_Ask {
		refusal = overlay.refusalReason(hello, remote)
	}
	heads := overlay.heads()
	detours := []*frame.Detour(nil)
	if hello.Purpose == frame.Purpose_Ask && overlay.Detours != nil {
		detours = overlay.Detours()
	}
	welcome := &frame.Welcome{Incarnation: overlay.Incarnation, Sender: toWire(overlay.Self), Refusal: refusal, Root: overlay.Root()}
	if !overlay.sendReply(conn, &frame.Frame{Welcome: welcome, Heads: heads.nodes, Detours: detours, Stopping: overlay.leaving.Load()}) || hello.Purpose == frame.Purpose_Ask || refusal != "" {
		return
	}
	link := newLink(conn, hello.Purpose, false, remote, hello.Incarnation)
	link.sentHeads = heads.hash
	overlay.runLink(link)
}

// sendReply sends one frame and reports whether it was sent.
func (overlay *Overlay) sendReply(conn *sibling.Conn, answer *frame.Frame) bool {
	body, err := proto.Marshal(answer)
	if err != nil {
		overlay.Logger.Error("overlay: cannot encode the answer to a connecting node.", "Error", err.Error())
		return false
	}
	return conn.Send(body, longAnswerTimeout) == nil
}

// refusalReason returns why this node refuses a connection, or an empty string if it accepts it.
func (overlay *Overlay) refusalReason(hello *frame.Hello, remote tree.Member) string {
	role := overlay.Role()
	switch {
	case overlay.leaving.Load():
		return "the node is shutting down"
	case hello.Purpose == frame.Purpose_Root && role != Root:
		return "the node speaks for nobody"
	case hello.Purpose == frame.Purpose_Root:
		return ""
	case role != Root && role != Relay:
		return "the node is no relay"
	case hello.Purpose == frame.Purpose_Leaf && !overlay.ReadyForLeaves():
		return "the node doesn't know yet what its leaves need"
	case remote.DataCentre == overlay.Self.DataCentre && tree.Compare(remote, overlay.Self) < 0:
		return "the node stands behind the one that asks"
	}
	return ""
}
