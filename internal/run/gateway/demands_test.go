package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/policy/demand"
	"hazelslip/internal/wire/frame"
)

const demandPool = "drafts/m"

// demandEnd is one end of a link between two nodes, with the frames in flight from that end.
type demandEnd struct {
	peers *peers
	state *linkState
	sent  [][]byte
}

type demandLink [2]*demandEnd

// demandTree is a tree of nodes that exchange only demand, without a network.
type demandTree struct {
	nodes []*Node
	links []*demandLink
	names map[string]int
}

// newDemandTree returns two roots, two relays below the first root, and two leaves below each of the other
// inner nodes.
func newDemandTree(t testing.TB) *demandTree {
	tree := &demandTree{names: map[string]int{}}
	for number, name := range []string{"root", "second", "relay-1", "relay-2", "leaf-1", "leaf-2", "leaf-3", "leaf-4", "leaf-5", "leaf-6"} {
		tree.names[name] = number
		node := idleNode(t)
		node.demand = demand.New(demand.Clock(func() time.Duration { return 0 }))
		tree.nodes = append(tree.nodes, node)
	}
	tree.link("second", "root", frame.Purpose_Root)
	tree.link("relay-1", "root", frame.Purpose_Relay)
	tree.link("relay-2", "root", frame.Purpose_Relay)
	for number, upstream := range []string{"relay-1", "relay-1", "relay-2", "relay-2", "second", "second"} {
		tree.link(fmt.Sprintf("leaf-%d", number+1), upstream, frame.Purpose_Leaf)
	}
	return tree
}

func (tree *demandTree) link(opener, accepter string, purpose frame.Purpose) {
	end := func(name string, opened bool) *demandEnd {
		peers := tree.nodes[tree.names[name]].peers
		return &demandEnd{peers: peers, state: peers.linkStateLocked(&overlay.Link{Purpose: purpose, Opened: opened, Done: make(chan struct{})})}
	}
	tree.links = append(tree.links, &demandLink{end(opener, true), end(accepter, false)})
}

// send queues a frame as composeFrame would build it, with demand only.
func (end *demandEnd) send() {
	totals := end.peers.demandTotalsLocked()
	message := &frame.Frame{Included: end.state.sequence}
	link := end.state.link
	switch {
	case isBackbone(link) && !isDownstream(link):
		message.Sequence = end.state.reports.Add(nil)
		end.peers.addDemands(message, end.state, &totals)
	case isBackbone(link):
		end.peers.addDemands(message, end.state, &totals)
	case link.Opened:
		message.Sequence = end.state.reports.Add(nil)
		end.peers.addLeafDemands(message, end.state, totals.own)
	default:
		message.Demands, _ = end.peers.demandsForLeaves(&totals)
	}
	body, _ := proto.Marshal(message)
	end.sent = append(end.sent, body)
}

func (end *demandEnd) receive(body []byte) {
	received := &frame.Frame{}
	_ = proto.Unmarshal(body, received)
	end.state.sequence = received.Sequence
	end.peers.applyDemandsLocked(end.state, received)
}

// deliver hands the oldest frame in flight to the other end.
func (link *demandLink) deliver(from int) {
	if end := link[from]; len(end.sent) > 0 {
		link[1-from].receive(end.sent[0])
		end.sent = end.sent[1:]
	}
}

// settle exchanges frames until all nodes agree.
func (tree *demandTree) settle() {
	for range 6 {
		for _, link := range tree.links {
			for from := range link {
				link[from].send()
				for len(link[from].sent) > 0 {
					link.deliver(from)
				}
			}
		}
	}
}

// knownRate returns the demand of the whole fleet as a node knows it, in requests per second.
func (tree *demandTree) knownRate(node int) float64 {
	peers := tree.nodes[node].peers
	totals := peers.demandTotalsLocked()
	return totals.fleet()[demandPool].Requested[0]
}

// ratePerRequest is the increase that one request causes in a rate averaged over a quarter of a second.
const ratePerRequest = 4.0

// Guards against demand that is counted twice on its way over the tree, such as a node's own part, or that is
// missing in the end. Frames are sent and delivered in random order.
func TestDemandIsCountedOnceAcrossTree(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		tree := newDemandTree(t)
		total := 0.0
		for range rapid.IntRange(1, 150).Draw(check, "steps") {
			link := tree.links[rapid.IntRange(0, len(tree.links)-1).Draw(check, "link")]
			from := rapid.IntRange(0, 1).Draw(check, "from")
			switch rapid.SampledFrom([]string{"ask", "send", "send", "deliver", "deliver"}).Draw(check, "step") {
			case "ask":
				link[from].peers.node.demand.RecordRequest(demandPool, 0)
				total += ratePerRequest
			case "send":
				link[from].send()
			case "deliver":
				link.deliver(from)
			}
			for node := range tree.nodes {
				if known := tree.knownRate(node); known > total+0.001 {
					check.Fatalf("node %d counts more than the demand: %.2f of %.2f requests/s", node, known, total)
				}
			}
		}
		for _, link := range tree.links {
			for from := range link {
				for len(link[from].sent) > 0 {
					link.deliver(from)
				}
			}
		}
		tree.settle()
		for node := range tree.nodes {
			if known := tree.knownRate(node); known < total-0.001 || known > total+0.001 {
				check.Fatalf("node %d counts %.2f of %.2f requests/s after settling", node, known, total)
			}
		}
	})
}

// Guards against demand of nodes that are gone or cut off. It would affect load shedding and planning until a
// restart.
func TestEndedLinkRemovesItsDemand(t *testing.T) {
	expect := gomega.NewWithT(t)
	tree := newDemandTree(t)
	for node := range tree.nodes {
		for range node + 1 {
			tree.nodes[node].demand.RecordRequest(demandPool, 0)
		}
	}
	tree.settle()
	expect.Expect(tree.knownRate(tree.names["leaf-6"])).To(gomega.BeNumerically("~", 55*ratePerRequest, 0.01))

	// Cut the first relay off from the root.
	for _, end := range tree.links[1] {
		end.peers.linkEnded(end.state.link)
	}
	tree.links = append(tree.links[:1], tree.links[2:]...)
	tree.settle()
	cutOff := float64(3 + 5 + 6)
	for _, name := range []string{"relay-1", "leaf-1", "leaf-2"} {
		expect.Expect(tree.knownRate(tree.names[name])).To(gomega.BeNumerically("~", cutOff*ratePerRequest, 0.01), name)
	}
	for _, name := range []string{"root", "second", "relay-2", "leaf-3", "leaf-6"} {
		expect.Expect(tree.knownRate(tree.names[name])).To(gomega.BeNumerically("~", (55-cutOff)*ratePerRequest, 0.01), name)
	}
}

// Guards against a frame for every step of decaying demand. A leaf with nothing new to report stays silent,
// and reports again when the demand is gone.
func TestDecayingDemandSendsFewFrames(t *testing.T) {
	expect := gomega.NewWithT(t)
	node, now := idleNode(t), time.Duration(0)
	node.demand = demand.New(demand.Clock(func() time.Duration { return now }))
	state := node.peers.linkStateLocked(&overlay.Link{Purpose: frame.Purpose_Leaf, Opened: true, Done: make(chan struct{})})
	expect.Expect(node.peers.reportFrame(state, false)).NotTo(gomega.BeNil())
	expect.Expect(node.peers.reportFrame(state, true)).To(gomega.BeNil())
	for range 10 {
		node.demand.RecordRequest(demandPool, 0)
	}
	report := node.peers.reportFrame(state, true)
	expect.Expect(report.GetDemands()).To(gomega.HaveLen(1))
	expect.Expect(report.Demands[0].Asked).To(gomega.Equal([]uint32{10 * ratePerRequest * 100}))
	now += 20 * time.Millisecond
	expect.Expect(node.peers.reportFrame(state, true)).To(gomega.BeNil())
	frames := 0
	for now < 10*time.Second {
		now += 50 * time.Millisecond
		if report := node.peers.reportFrame(state, true); report != nil {
			frames++
			expect.Expect(len(report.Demands)).To(gomega.BeNumerically("<=", 1))
		}
	}
	expect.Expect(frames).To(gomega.BeNumerically("<=", 16), "frames until the demand has decayed completely")
	expect.Expect(state.demands.lastReport).To(gomega.BeEmpty())
}
