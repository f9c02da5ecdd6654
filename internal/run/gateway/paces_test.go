package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/wire/frame"
)

// withGroups is a node that is never started and knows some groups.
func withGroups(t *testing.T, groups int) *Node {
	node := idleNode(t)
	specs := []dispatch.Spec{}
	for number := range groups {
		specs = append(specs, dispatch.Spec{
			ID: fmt.Sprintf("i-%d", number), Group: fmt.Sprintf("g-%d", number), Slots: 8, CatalogueIndex: number,
			PassTime: 40 * time.Millisecond, SlotReleaseInterval: 100 * time.Millisecond,
		})
	}
	node.board.Update(map[string][]dispatch.Spec{"drafts/m": specs})
	return node
}

// pass sends what a node has for another, and returns the paces of it.
func pass(t *testing.T, from *Node, over *overlay.Link, to *Node, into *overlay.Link) []*frame.ServerPace {
	body := from.peers.compose(over, true)
	if body == nil {
		return nil
	}
	received := &frame.Frame{}
	if err := proto.Unmarshal(body, received); err != nil {
		t.Fatal(err)
	}
	to.peers.take(into, received)
	return received.Paces
}

func linkTo(purpose frame.Purpose, opened bool) *overlay.Link {
	return &overlay.Link{Purpose: purpose, Opened: opened, Done: make(chan struct{})}
}

func paceOf(node *Node, group int) float64 {
	node.board.UpdatePaces()
	return node.board.State()["drafts/m"][group].Pace
}

// Guards against leaves and relays that don't hear how slow a group is, or hear it over and over.
func TestPacesPassOverTheTree(t *testing.T) {
	expect := gomega.NewWithT(t)
	finder, relay, root, other := withGroups(t, 6), withGroups(t, 6), withGroups(t, 6), withGroups(t, 6)
	finderUp, finderDown := linkTo(frame.Purpose_Leaf, true), linkTo(frame.Purpose_Leaf, false)
	otherUp, otherDown := linkTo(frame.Purpose_Leaf, true), linkTo(frame.Purpose_Leaf, false)
	relayUp, relayDown := linkTo(frame.Purpose_Relay, true), linkTo(frame.Purpose_Relay, false)
	pass(t, finder, finderUp, relay, finderDown)
	pass(t, relay, finderDown, finder, finderUp)
	pass(t, relay, otherDown, other, otherUp)
	pass(t, relay, relayUp, root, relayDown)
	expect.Expect(pass(t, finder, finderUp, relay, finderDown)).To(gomega.BeEmpty())

	expect.Expect(finder.board.ApplyPeerPace(&dispatch.PeerPace{Server: "i-2", Group: "g-2", Factor: 4, Age: 300 * time.Millisecond})).To(gomega.BeTrue())
	finder.peers.tellPace("i-2/g-2/0", nil)
	told := pass(t, finder, finderUp, relay, finderDown)
	expect.Expect(told).To(gomega.HaveLen(1))
	expect.Expect(told[0].Hundredths).To(gomega.Equal(uint32(400)))
	expect.Expect(told[0].AgeMs).To(gomega.BeNumerically(">=", 300))
	expect.Expect(pass(t, finder, finderUp, relay, finderDown)).To(gomega.BeEmpty(), "it is told once")
	expect.Expect(finder.peers.compose(finderUp, true)).To(gomega.BeNil(), "a frame that says nothing new is left out")

	expect.Expect(pass(t, relay, relayUp, root, relayDown)).To(gomega.HaveLen(1))
	expect.Expect(pass(t, relay, otherDown, other, otherUp)).To(gomega.HaveLen(1))
	expect.Expect(relay.peers.channels[finderDown].paces).To(gomega.BeEmpty(), "it isn't told to the node that it came from")
	for _, node := range []*Node{relay, root, other} {
		expect.Expect(paceOf(node, 2)).To(gomega.BeNumerically(">", 3))
		expect.Expect(paceOf(node, 1)).To(gomega.Equal(1.0))
	}

	newcomer := withGroups(t, 6)
	up, down := linkTo(frame.Purpose_Leaf, true), linkTo(frame.Purpose_Leaf, false)
	expect.Expect(pass(t, relay, down, newcomer, up)).To(gomega.HaveLen(1), "a node that attaches is told")
	expect.Expect(paceOf(newcomer, 2)).To(gomega.BeNumerically(">", 3))
}

// Guards against frames that grow with the number of slow groups.
func TestPacesOfOneFrameAreBounded(t *testing.T) {
	expect := gomega.NewWithT(t)
	relay, leaf := withGroups(t, 3*pacesAtOnce), withGroups(t, 3*pacesAtOnce)
	up, down := linkTo(frame.Purpose_Leaf, true), linkTo(frame.Purpose_Leaf, false)
	pass(t, relay, down, leaf, up)
	for number := range pacesAtOnce + 3 {
		told := dispatch.PeerPace{Server: fmt.Sprintf("i-%d", number), Group: fmt.Sprintf("g-%d", number), Factor: 4}
		expect.Expect(relay.board.ApplyPeerPace(&told)).To(gomega.BeTrue())
		relay.peers.tellPace(told.TargetKey(), nil)
		relay.peers.tellPace(told.TargetKey(), nil)
	}
	expect.Expect(pass(t, relay, down, leaf, up)).To(gomega.HaveLen(pacesAtOnce))
	expect.Expect(pass(t, relay, down, leaf, up)).To(gomega.HaveLen(3))
	expect.Expect(pass(t, relay, down, leaf, up)).To(gomega.BeEmpty())
}
