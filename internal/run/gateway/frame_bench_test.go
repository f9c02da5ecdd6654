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

// idleListener never accepts a connection.
type idleListener struct{ done chan struct{} }

func (listener *idleListener) Accept() (net.Conn, error) {
	<-listener.done
	return nil, net.ErrClosed
}
func (listener *idleListener) Close() error   { return nil }
func (listener *idleListener) Addr() net.Addr { return &net.TCPAddr{} }

// idleNode returns a node that is never started.
func idleNode(b testing.TB, options ...Option) *Node {
	node, err := New(Settings{Name: "n", DataCentre: "east", Store: "store:1", Listen: Listen{Caller: "c", Readiness: "r", Peer: "p"}}, Platform{},
		append([]Option{Network(func(string) (net.Listener, error) { return &idleListener{done: make(chan struct{})}, nil }, nil)}, options...)...)
	if err != nil {
		b.Fatal(err)
	}
	return node
}

// publishFleet publishes the catalogue of a fleet with one group per two nodes, and four calls at each group.
func publishFleet(relay *Node, nodes int) {
	rows := []catalogue.Row{}
	for group := range max(1, nodes/2) {
		rows = append(rows, catalogue.Row{
			Server: fmt.Sprintf("i-%08x", group), Address: fmt.Sprintf("10.0.%d.%d:8000", group/200, group%200), DataCentre: "east",
			Group: fmt.Sprintf("g%08x", group), Service: "drafts", Model: "m",
		})
	}
	relay.peers.catalogue.Publish(rows)
	state := relay.peers.linkStateLocked(&overlay.Link{Purpose: frame.Purpose_Root, Done: make(chan struct{})})
	for _, row := range rows {
		state.loads[row.Server] = dispatch.ServerLoad{Calls: 4, PendingPromptTokens: 900}
	}
}

// BenchmarkLeafControl measures a leaf's work for one frame from its relay and one report in return, without
// the network.
func BenchmarkLeafControl(b *testing.B) {
	for _, nodes := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			relay, leaf := idleNode(b), idleNode(b)
			publishFleet(relay, nodes)
			down := &overlay.Link{Purpose: frame.Purpose_Leaf, Done: make(chan struct{})}
			up := &overlay.Link{Purpose: frame.Purpose_Leaf, Opened: true, Done: make(chan struct{})}
			leaf.peers.handleFrame(up, decode(b, relay.peers.composeFrame(down, false)))
			body := relay.peers.composeFrame(down, false)
			b.SetBytes(int64(len(body)))
			b.ReportAllocs()
			for b.Loop() {
				leaf.peers.handleFrame(up, decode(b, body))
				leaf.peers.composeFrame(up, false)
			}
		})
	}
}

// BenchmarkRelayFrame measures a relay's work for one report and one frame of a leaf, without the network.
// Twenty leaves share the encoded part.
func BenchmarkRelayFrame(b *testing.B) {
	for _, nodes := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			relay, leaf := idleNode(b), idleNode(b)
			publishFleet(relay, nodes)
			up := &overlay.Link{Purpose: frame.Purpose_Leaf, Opened: true, Done: make(chan struct{})}
			report := leaf.peers.composeFrame(up, false)
			links := []*overlay.Link{}
			for range 20 {
				links = append(links, &overlay.Link{Purpose: frame.Purpose_Leaf, Done: make(chan struct{})})
				relay.peers.composeFrame(links[len(links)-1], false)
			}
			b.ReportAllocs()
			for turn := 0; b.Loop(); turn++ {
				link := links[turn%len(links)]
				relay.peers.handleFrame(link, decode(b, report))
				relay.peers.composeFrame(link, false)
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
