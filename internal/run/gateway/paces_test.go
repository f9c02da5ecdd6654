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

// nodeWithGroups returns a node that is never started and knows some groups.
func nodeWithGroups(t *testing.T, groups int, options ...Option) *Node {
	node := idleNode(t, options...)
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

// exchangeFrame sends a node's next frame to another node, and returns the pace factors in it.
func exchangeFrame(t *testing.T, from *Node, over *overlay.Link, to *Node, into *overlay.Link) []*frame.ServerPace {
	body := from.peers.composeFrame(over, true)
	if body == nil {
		return nil
	}
	received := &frame.Frame{}
	if err := proto.Unmarshal(body, received); err != nil {
		t.Fatal(err)
	}
	to.peers.handleFrame(into, received)
	return received.Paces
}

func testLink(purpose frame.Purpose, opened bool) *overlay.Link {
	return &overlay.Link{Purpose: purpose, Opened: opened, Done: make(chan struct{})}
}

func groupPace(node *Node, group int) float64 {
	node.board.UpdatePaces()
	return node.board.State()["drafts/m"][group].Pace
}

// Guards against nodes that don't receive the pace factor of a slow group, or receive it repeatedly.
func TestPacesPropagateOverTree(t *testing.T) {
	expect := gomega.NewWithT(t)
	finder, relay, root, other := nodeWithGroups(t, 6), nodeWithGroups(t, 6), nodeWithGroups(t, 6), nodeWithGroups(t, 6)
	finderUp, finderDown := testLink(frame.Purpose_Leaf, true), testLink(frame.Purpose_Leaf, false)
	otherUp, otherDown := testLink(frame.Purpose_Leaf, true), testLink(frame.Purpose_Leaf, false)
	relayUp, relayDown := testLink(frame.Purpose_Relay, true), testLink(frame.Purpose_Relay, false)
	exchangeFrame(t, finder, finderUp, relay, finderDown)
	exchangeFrame(t, relay, finderDown, finder, finderUp)
	exchangeFrame(t, relay, otherDown, other, otherUp)
	exchangeFrame(t, relay, relayUp, root, relayDown)
	expect.Expect(exchangeFrame(t, finder, finderUp, relay, finderDown)).To(gomega.BeEmpty())

	expect.Expect(finder.board.ApplyPeerPace(&dispatch.PeerPace{Server: "i-2", Group: "g-2", Factor: 4, Age: 300 * time.Millisecond})).To(gomega.BeTrue())
	finder.peers.queuePace("i-2/g-2/0", nil)
	sent := exchangeFrame(t, finder, finderUp, relay, finderDown)
	expect.Expect(sent).To(gomega.HaveLen(1))
	expect.Expect(sent[0].Hundredths).To(gomega.Equal(uint32(400)))
	expect.Expect(sent[0].AgeMs).To(gomega.BeNumerically(">=", 300))
	expect.Expect(exchangeFrame(t, finder, finderUp, relay, finderDown)).To(gomega.BeEmpty(), "a pace factor is sent only once")
	expect.Expect(finder.peers.composeFrame(finderUp, true)).To(gomega.BeNil(), "an optional frame without changes is omitted")

	expect.Expect(exchangeFrame(t, relay, relayUp, root, relayDown)).To(gomega.HaveLen(1))
	expect.Expect(exchangeFrame(t, relay, otherDown, other, otherUp)).To(gomega.HaveLen(1))
	expect.Expect(relay.peers.linkStates[finderDown].pendingPaces).To(gomega.BeEmpty(), "a pace factor is not sent back to the node that it came from")
	for _, node := range []*Node{relay, root, other} {
		expect.Expect(groupPace(node, 2)).To(gomega.BeNumerically(">", 3))
		expect.Expect(groupPace(node, 1)).To(gomega.Equal(1.0))
	}

	newcomer := nodeWithGroups(t, 6)
	up, down := testLink(frame.Purpose_Leaf, true), testLink(frame.Purpose_Leaf, false)
	expect.Expect(exchangeFrame(t, relay, down, newcomer, up)).To(gomega.HaveLen(1), "a newly attached node receives the pace factor")
	expect.Expect(groupPace(newcomer, 2)).To(gomega.BeNumerically(">", 3))
}

// Guards against frames whose size grows with the number of slow groups.
func TestPacesPerFrameAreLimited(t *testing.T) {
	expect := gomega.NewWithT(t)
	relay, leaf := nodeWithGroups(t, 3*maxPacesPerFrame), nodeWithGroups(t, 3*maxPacesPerFrame)
	up, down := testLink(frame.Purpose_Leaf, true), testLink(frame.Purpose_Leaf, false)
	exchangeFrame(t, relay, down, leaf, up)
	for number := range maxPacesPerFrame + 3 {
		measured := dispatch.PeerPace{Server: fmt.Sprintf("i-%d", number), Group: fmt.Sprintf("g-%d", number), Factor: 4}
		expect.Expect(relay.board.ApplyPeerPace(&measured)).To(gomega.BeTrue())
		relay.peers.queuePace(measured.TargetKey(), nil)
		relay.peers.queuePace(measured.TargetKey(), nil)
	}
	expect.Expect(exchangeFrame(t, relay, down, leaf, up)).To(gomega.HaveLen(maxPacesPerFrame))
	expect.Expect(exchangeFrame(t, relay, down, leaf, up)).To(gomega.HaveLen(3))
	expect.Expect(exchangeFrame(t, relay, down, leaf, up)).To(gomega.BeEmpty())
}
