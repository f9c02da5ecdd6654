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

// demandEnd is one end of a link between two nodes, with the frames that are on their way from it.
type demandEnd struct {
	peers   *peers
	channel *channel
	sent    [][]byte
}

type demandLink [2]*demandEnd

// demandTree is nodes whose frames tell of demand alone, without a network.
type demandTree struct {
	nodes []*Node
	links []*demandLink
	names map[string]int
}

// newDemandTree is two roots, two relays below the first one and two leaves at each of the others.
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
	for number, above := range []string{"relay-1", "relay-1", "relay-2", "relay-2", "second", "second"} {
		tree.link(fmt.Sprintf("leaf-%d", number+1), above, frame.Purpose_Leaf)
	}
	return tree
}

func (tree *demandTree) link(opener, taker string, purpose frame.Purpose) {
	end := func(name string, opened bool) *demandEnd {
		peers := tree.nodes[tree.names[name]].peers
		return &demandEnd{peers: peers, channel: peers.channel(&overlay.Link{Purpose: purpose, Opened: opened, Done: make(chan struct{})})}
	}
	tree.links = append(tree.links, &demandLink{end(opener, true), end(taker, false)})
}

// send makes the frame that compose would, of demand alone.
func (end *demandEnd) send() {
	sums := end.peers.demandSumsLocked()
	told := &frame.Frame{Included: end.channel.sequence}
	link := end.channel.link
	switch {
	case core(link) && !downstream(link):
		told.Sequence = end.channel.reports.Add(nil)
		end.peers.addDemands(told, end.channel, &sums)
	case core(link):
		end.peers.addDemands(told, end.channel, &sums)
	case link.Opened:
		told.Sequence = end.channel.reports.Add(nil)
		end.peers.reportDemands(told, end.channel, sums.own)
	default:
		told.Demands, _ = end.peers.leafDemands(&sums)
	}
	body, _ := proto.Marshal(told)
	end.sent = append(end.sent, body)
}

func (end *demandEnd) take(body []byte) {
	received := &frame.Frame{}
	_ = proto.Unmarshal(body, received)
	end.channel.sequence = received.Sequence
	end.peers.takeDemandsLocked(end.channel, received)
}

// deliver takes the oldest frame that is on its way.
func (link *demandLink) deliver(from int) {
	if end := link[from]; len(end.sent) > 0 {
		link[1-from].take(end.sent[0])
		end.sent = end.sent[1:]
	}
}

// settle exchanges frames until nothing changes any more.
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

// knows is what a node knows all nodes to be asked for, in requests a second.
func (tree *demandTree) knows(node int) float64 {
	peers := tree.nodes[node].peers
	sums := peers.demandSumsLocked()
	return sums.everywhere()[demandPool].Requested[0]
}

// asked is what one stream adds to a rate that is averaged over a quarter of a second.
const asked = 4.0

// Guards against a node whose own part, or any other part, counts twice on its way over the tree, whatever the order of
// frames, and against parts that are left out in the end.
func TestDemandIsSummedOverTheTreeOnce(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		tree := newDemandTree(t)
		total := 0.0
		for range rapid.IntRange(1, 150).Draw(check, "steps") {
			link := tree.links[rapid.IntRange(0, len(tree.links)-1).Draw(check, "link")]
			from := rapid.IntRange(0, 1).Draw(check, "from")
			switch rapid.SampledFrom([]string{"ask", "send", "send", "deliver", "deliver"}).Draw(check, "step") {
			case "ask":
				link[from].peers.node.demand.RecordRequest(demandPool, 0)
				total += asked
			case "send":
				link[from].send()
			case "deliver":
				link.deliver(from)
			}
			for node := range tree.nodes {
				if known := tree.knows(node); known > total+0.001 {
					check.Fatalf("node %d knows of %.2f of %.2f a second", node, known, total)
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
			if known := tree.knows(node); known < total-0.001 || known > total+0.001 {
				check.Fatalf("node %d knows of %.2f of %.2f a second in the end", node, known, total)
			}
		}
	})
}

// Guards against demand of nodes that are gone, or cut off, which would be shed for and planned for until a restart.
func TestLinkThatEndsTakesItsSumsWithIt(t *testing.T) {
	expect := gomega.NewWithT(t)
	tree := newDemandTree(t)
	for node := range tree.nodes {
		for range node + 1 {
			tree.nodes[node].demand.RecordRequest(demandPool, 0)
		}
	}
	tree.settle()
	expect.Expect(tree.knows(tree.names["leaf-6"])).To(gomega.BeNumerically("~", 55*asked, 0.01))

	// The first relay is cut off from the root.
	for _, end := range tree.links[1] {
		end.peers.ended(end.channel.link)
	}
	tree.links = append(tree.links[:1], tree.links[2:]...)
	tree.settle()
	island := float64(3 + 5 + 6)
	for _, name := range []string{"relay-1", "leaf-1", "leaf-2"} {
		expect.Expect(tree.knows(tree.names[name])).To(gomega.BeNumerically("~", island*asked, 0.01), name)
	}
	for _, name := range []string{"root", "second", "relay-2", "leaf-3", "leaf-6"} {
		expect.Expect(tree.knows(tree.names[name])).To(gomega.BeNumerically("~", (55-island)*asked, 0.01), name)
	}
}

// Guards against frames that are sent for demand that only fades: a leaf with nothing to say stays silent, and says it when demand is gone.
func TestDemandThatFadesForcesNoFrame(t *testing.T) {
	expect := gomega.NewWithT(t)
	node, now := idleNode(t), time.Duration(0)
	node.demand = demand.New(demand.Clock(func() time.Duration { return now }))
	channel := node.peers.channel(&overlay.Link{Purpose: frame.Purpose_Leaf, Opened: true, Done: make(chan struct{})})
	expect.Expect(node.peers.reportFrame(channel, false)).NotTo(gomega.BeNil())
	expect.Expect(node.peers.reportFrame(channel, true)).To(gomega.BeNil())
	for range 10 {
		node.demand.RecordRequest(demandPool, 0)
	}
	told := node.peers.reportFrame(channel, true)
	expect.Expect(told.GetDemands()).To(gomega.HaveLen(1))
	expect.Expect(told.Demands[0].Asked).To(gomega.Equal([]uint32{10 * asked * 100}))
	now += 20 * time.Millisecond
	expect.Expect(node.peers.reportFrame(channel, true)).To(gomega.BeNil())
	frames := 0
	for now < 10*time.Second {
		now += 50 * time.Millisecond
		if told := node.peers.reportFrame(channel, true); told != nil {
			frames++
			expect.Expect(len(told.Demands)).To(gomega.BeNumerically("<=", 1))
		}
	}
	expect.Expect(frames).To(gomega.BeNumerically("<=", 16), "frames until all of it has faded")
	expect.Expect(channel.demands.reported).To(gomega.BeEmpty())
}
