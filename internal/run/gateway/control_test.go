package gateway

import (
	"fmt"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"

	"hazelslip/internal/fleet/catalogue"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/wire/frame"
)

// silentListener never has a connection.
type silentListener struct{ done chan struct{} }

func (listener *silentListener) Accept() (net.Conn, error) {
	<-listener.done
	return nil, net.ErrClosed
}
func (listener *silentListener) Close() error   { return nil }
func (listener *silentListener) Addr() net.Addr { return &net.TCPAddr{} }

// idleNode is a node that is never started.
func idleNode(b testing.TB) *Node {
	node, err := New(Settings{Name: "n", DataCentre: "east", Store: "store:1", Listen: Listen{Caller: "c", Readiness: "r", Peer: "p"}}, Platform{},
		Network(func(string) (net.Listener, error) { return &silentListener{done: make(chan struct{})}, nil }, nil))
	if err != nil {
		b.Fatal(err)
	}
	return node
}

// fleetOf publishes the catalogue of a fleet: half as many groups as nodes, and four
// calls at each.
func fleetOf(relay *Node, nodes int) {
	rows := []catalogue.Row{}
	for group := range max(1, nodes/2) {
		rows = append(rows, catalogue.Row{
			Server: fmt.Sprintf("i-%08x", group), Address: fmt.Sprintf("10.0.%d.%d:8000", group/200, group%200), DataCentre: "east",
			Group: fmt.Sprintf("g%08x", group), Service: "drafts", Model: "m",
		})
	}
	relay.peers.catalogue.Publish(rows)
	channel := relay.peers.channel(&overlay.Link{Purpose: frame.Purpose_Root, Done: make(chan struct{})})
	for _, row := range rows {
		channel.shares[row.Server] = dispatch.ServerLoad{Calls: 4, PendingPromptTokens: 900}
	}
}

// BenchmarkLeafControl is what a leaf does for one frame from its relay and its own
// report, without the network: it should hardly grow with the fleet.
func BenchmarkLeafControl(b *testing.B) {
	for _, nodes := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			relay, leaf := idleNode(b), idleNode(b)
			fleetOf(relay, nodes)
			down := &overlay.Link{Purpose: frame.Purpose_Leaf, Done: make(chan struct{})}
			up := &overlay.Link{Purpose: frame.Purpose_Leaf, Opened: true, Done: make(chan struct{})}
			leaf.peers.take(up, decode(b, relay.peers.compose(down, false)))
			body := relay.peers.compose(down, false)
			b.SetBytes(int64(len(body)))
			b.ReportAllocs()
			for b.Loop() {
				leaf.peers.take(up, decode(b, body))
				leaf.peers.compose(up, false)
			}
		})
	}
}

// BenchmarkRelayFrame is what a relay does for one leaf and frame, without the
// network, with twenty leaves that share what is encoded.
func BenchmarkRelayFrame(b *testing.B) {
	for _, nodes := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			relay, leaf := idleNode(b), idleNode(b)
			fleetOf(relay, nodes)
			up := &overlay.Link{Purpose: frame.Purpose_Leaf, Opened: true, Done: make(chan struct{})}
			report := leaf.peers.compose(up, false)
			links := []*overlay.Link{}
			for range 20 {
				links = append(links, &overlay.Link{Purpose: frame.Purpose_Leaf, Done: make(chan struct{})})
				relay.peers.compose(links[len(links)-1], false)
			}
			b.ReportAllocs()
			for turn := 0; b.Loop(); turn++ {
				link := links[turn%len(links)]
				relay.peers.take(link, decode(b, report))
				relay.peers.compose(link, false)
			}
		})
	}
}

func decode(b *testing.B, body []byte) *frame.Frame {
	received := &frame.Frame{}
	if err := proto.Unmarshal(body, received); err != nil {
		b.Fatal(err)
	}
	return received
}
