package node

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"hazelslip/internal/wire/exchange"
)

// requestCount counts requests under way and closes the door at a shutdown.
type requestCount struct {
	mu     sync.Mutex
	count  int
	closed bool
	empty  chan struct{}
}

func (requests *requestCount) begin() (end func(), ok bool) {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	if requests.closed {
		return nil, false
	}
	requests.count++
	return requests.end, true
}

func (requests *requestCount) end() {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	requests.count--
	if requests.closed && requests.count == 0 {
		close(requests.empty)
	}
}

// shut lets nothing more in and returns a channel that closes when the last
// request has ended.
func (requests *requestCount) shut() <-chan struct{} {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	requests.closed = true
	requests.empty = make(chan struct{})
	if requests.count == 0 {
		close(requests.empty)
	}
	return requests.empty
}

// Stop shuts the node down gracefully: it is not ready at once, goes on taking
// requests while the balancer notices, finishes what is in flight, gives its
// tickets to a peer, and leaves.
func (node *Node) Stop() {
	node.stopOnce.Do(func() {
		node.stopping.Store(true)
		node.logger.Info("node: stopping.", "Name", node.settings.Name)
		time.Sleep(time.Duration(node.settings.Stopping.NoticeSeconds) * time.Second)
		drained := node.requests.shut()
		node.awaitDrain(drained)
		node.handOver()
		node.stopParts()
	})
	node.Part.Stop()
}

func (node *Node) awaitDrain(drained <-chan struct{}) {
	limit := time.NewTimer(time.Duration(node.settings.Stopping.DrainSeconds) * time.Second)
	defer limit.Stop()
	select {
	case <-drained:
	case <-limit.C:
		node.logger.Warn("node: requests were still in flight at the drain limit.", "Name", node.settings.Name)
	}
}

// handOver gives the tickets' ended calls to the first peer that takes them.
func (node *Node) handOver() {
	request := &exchange.HandOver{Incarnation: node.Incarnation}
	for _, ended := range node.bookings.HandOver() {
		body, err := proto.Marshal(ended)
		if err != nil {
			continue
		}
		request.Outcomes = append(request.Outcomes, body)
	}
	if len(request.Outcomes) == 0 && node.bookings.State().Tickets == 0 {
		return
	}
	for _, peer := range node.members.Local() {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		reply, err := node.peers.Call(ctx, peer.Address, node.request(&exchange.Request{Kind: &exchange.Request_HandOver{HandOver: request}}))
		cancel()
		if err == nil && reply.GetHandOver().GetTaken() {
			node.logger.Info("node: tickets were handed over.", "Peer", peer.Address, "Tickets", len(request.Outcomes))
			return
		}
	}
	node.logger.Warn("node: no peer took the tickets.", "Name", node.settings.Name)
}

const (
	handOverTimeout = 3 * time.Second
	shutdownTimeout = 5 * time.Second
)

func (node *Node) stopParts() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = node.callerServer.Shutdown(ctx)
	node.callerServer.Close()
	node.Ask()
	node.former.Stop()
	node.watcher.Stop()
	node.exchange.Stop()
	node.bookings.Stop()
	node.collector.Stop()
	node.appender.Stop()
	for _, follower := range node.streams {
		follower.Stop()
	}
	node.server.Stop()
	node.peers.Close()
	node.operatorServer.Close()
	node.engines.Close()
	node.drafting.Close()
	node.transport.CloseIdleConnections()
}

// Kill ends the node without any of the courtesies of Stop, as a crash would
// for everybody else.
func (node *Node) Kill() {
	node.stopOnce.Do(func() {
		node.stopping.Store(true)
		node.callerServer.Close()
		node.requests.shut()
		node.stopParts()
	})
	node.Part.Stop()
}
