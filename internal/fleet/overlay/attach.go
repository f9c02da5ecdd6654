package overlay

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/fleet/tree"
	"hazelslip/internal/peer/sibling"
	"hazelslip/internal/wire/frame"
)

// errRefused says that a node answered and won't serve the purpose.
var errRefused = errors.New("the node refused")

func toWire(member tree.Member) *frame.Node {
	return &frame.Node{Address: member.Address, DataCentre: member.DataCentre, Capacity: member.Capacity}
}

func fromWire(node *frame.Node) tree.Member {
	return tree.Member{Address: node.GetAddress(), DataCentre: node.GetDataCentre(), Capacity: node.GetCapacity()}
}

// attachTime is how long a node may take to be connected to, and to answer. One that
// is starting again asks again soon in any case: others without power, which come back
// together with it, answer nothing at all. When all start for the first time, the seeds
// are asked by everybody and take their time.
func (overlay *Overlay) attachTime() time.Duration {
	if !overlay.FirstStart && overlay.Now()-overlay.started < bootTime {
		return bootAttachTime
	}
	return attachTime
}

// open connects to a node, says what for, and returns its first answer.
func (overlay *Overlay) open(address string, purpose frame.Purpose) (*sibling.Conn, *frame.Frame, error) {
	within := overlay.attachTime()
	conn, err := sibling.Connect(overlay.Dial, address, within)
	if err != nil {
		return nil, nil, err
	}
	hello, err := proto.Marshal(&frame.Frame{Hello: &frame.Hello{Incarnation: overlay.Incarnation, Sender: toWire(overlay.Self), Purpose: purpose}})
	if err != nil {
		conn.Close()
		return nil, nil, errors.Wrap(err, "encode a greeting")
	}
	if err := conn.Send(hello, within); err != nil {
		conn.Close()
		return nil, nil, err
	}
	answer, err := conn.Receive(within)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, answer, nil
}

// greeted is a node that takes this one.
type greeted struct {
	conn    *sibling.Conn
	welcome *frame.Welcome
}

// greet connects to a node for a purpose, and returns nil if it won't do.
func (overlay *Overlay) greet(address string, purpose frame.Purpose) *greeted {
	conn, answer, err := overlay.open(address, purpose)
	if err != nil {
		overlay.Counts.AttachFailed.Add(1)
		overlay.suspect(address, 0)
		return nil
	}
	overlay.learnAll(answer.Heads)
	welcome := answer.GetWelcome()
	overlay.learnRoot(welcome.GetSender().GetDataCentre(), welcome.GetRoot())
	if welcome == nil || welcome.Refusal != "" {
		conn.Close()
		overlay.Counts.AttachFailed.Add(1)
		if answer.Stopping {
			overlay.stops(address)
		} else {
			overlay.suspect(address, refusedFor)
		}
		return nil
	}
	overlay.answered(address)
	return &greeted{conn: conn, welcome: welcome}
}

// link makes a link of a connection to a node that takes this one.
func (overlay *Overlay) link(found *greeted, purpose frame.Purpose) *Link {
	overlay.Counts.Attached.Add(1)
	link := newLink(found.conn, purpose, true, fromWire(found.welcome.Sender), found.welcome.Incarnation)
	overlay.Go(func() { overlay.run(link) })
	return link
}

// attach opens a link to a node, nil if that won't do.
func (overlay *Overlay) attach(address string, purpose frame.Purpose) *Link {
	found := overlay.greet(address, purpose)
	if found == nil {
		return nil
	}
	return overlay.link(found, purpose)
}

// headStart is how much sooner each node is tried than the next: several times what
// one that is well takes to answer.
const headStart = 40 * time.Millisecond

// race opens a link to the first of some nodes that takes this one, nil if none
// does. A node without power answers nothing; waited for in turn, three of them
// would leave this one without news for a second.
func (overlay *Overlay) race(addresses []string, purpose frame.Purpose) *Link {
	answers := make(chan *greeted, len(addresses))
	timer := time.NewTimer(headStart)
	defer timer.Stop()
	begun, ended := 0, 0
	for ended < len(addresses) {
		if begun < len(addresses) {
			address := addresses[begun]
			overlay.Go(func() { answers <- overlay.greet(address, purpose) })
			begun++
			timer.Reset(headStart)
		}
		select {
		case found := <-answers:
			ended++
			if found != nil {
				overlay.closeLate(answers, begun-ended)
				return overlay.link(found, purpose)
			}
		case <-timer.C:
		}
	}
	return nil
}

// closeLate closes the connections of a race that has been won.
func (overlay *Overlay) closeLate(answers <-chan *greeted, left int) {
	overlay.Go(func() {
		for range left {
			if late := <-answers; late != nil {
				late.conn.Close()
			}
		}
	})
}

// Fetch asks a node for the configuration in force.
func (overlay *Overlay) Fetch(address string) ([]byte, error) {
	conn, err := sibling.Connect(overlay.Dial, address, attachTime)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	hello, err := proto.Marshal(&frame.Frame{Hello: &frame.Hello{Incarnation: overlay.Incarnation, Sender: toWire(overlay.Self), Purpose: frame.Purpose_Fetch}})
	if err != nil {
		return nil, errors.Wrap(err, "encode a question")
	}
	if err := conn.Send(hello, attachTime); err != nil {
		return nil, err
	}
	answer, err := conn.Receive(fetchTime)
	if err != nil {
		return nil, err
	}
	if len(answer.Configuration) == 0 {
		return nil, errors.Wrapf(errRefused, "fetch the configuration from %s", address)
	}
	return answer.Configuration, nil
}

// serve serves a connection that another node opened.
func (overlay *Overlay) serve(conn *sibling.Conn) {
	first, err := conn.Receive(attachTime)
	if err != nil || first.Hello == nil {
		return
	}
	hello := first.Hello
	remote := fromWire(hello.Sender)
	overlay.learn(remote)
	overlay.answered(remote.Address)
	if hello.Purpose == frame.Purpose_Fetch {
		overlay.reply(conn, &frame.Frame{Configuration: overlay.Configuration()})
		return
	}
	refusal := ""
	if hello.Purpose != frame.Purpose_Ask {
		refusal = overlay.refusal(hello, remote)
	}
	told := overlay.heads()
	detours := []*frame.Detour(nil)
	if hello.Purpose == frame.Purpose_Ask && overlay.Detours != nil {
		detours = overlay.Detours()
	}
	welcome := &frame.Welcome{Incarnation: overlay.Incarnation, Sender: toWire(overlay.Self), Refusal: refusal, Root: overlay.Root()}
	if !overlay.reply(conn, &frame.Frame{Welcome: welcome, Heads: told.nodes, Detours: detours, Stopping: overlay.leaving.Load()}) || hello.Purpose == frame.Purpose_Ask || refusal != "" {
		return
	}
	link := newLink(conn, hello.Purpose, false, remote, hello.Incarnation)
	link.heads = told.version
	overlay.run(link)
}

// reply sends one answer.
func (overlay *Overlay) reply(conn *sibling.Conn, answer *frame.Frame) bool {
	body, err := proto.Marshal(answer)
	if err != nil {
		overlay.Logger.Error("overlay: an answer can't be encoded.", "Error", err.Error())
		return false
	}
	return conn.Send(body, fetchTime) == nil
}

// refusal says why a node won't be served, empty if it will.
func (overlay *Overlay) refusal(hello *frame.Hello, remote tree.Member) string {
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
	case hello.Purpose == frame.Purpose_Leaf && !overlay.Fit():
		return "the node doesn't know yet what its leaves need"
	case remote.DataCentre == overlay.Self.DataCentre && tree.Compare(remote, overlay.Self) < 0:
		return "the node stands behind the one that asks"
	}
	return ""
}
