package node

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"hazelslip/internal/wire/exchange"
)

// requestTracker counts the requests in progress and refuses new ones during a shutdown.
type requestTracker struct {
	mu      sync.Mutex
	count   int
	closed  bool
	drained chan struct{}
}

func (requestTracker *requestTracker) begin() (end func(), ok bool) {
	requestTracker.mu.Lock()
	defer requestTracker.mu.Unlock()
	if requestTracker.closed {
		return nil, false
	}
	requestTracker.count++
	return requestTracker.end, true
}

func (requestTracker *requestTracker) end() {
	requestTracker.mu.Lock()
	defer requestTracker.mu.Unlock()
	requestTracker.count--
	if requestTracker.closed && requestTracker.count == 0 {
		close(requestTracker.drained)
	}
}

// refuseNew refuses new requests from now on. It returns a channel that is closed when the last request has ended.
func (requestTracker *requestTracker) refuseNew() <-chan struct{} {
	requestTracker.mu.Lock()
	defer requestTracker.mu.Unlock()
	requestTracker.closed = true
	requestTracker.drained = make(chan struct{})
	if requestTracker.count == 0 {
		close(requestTracker.drained)
	}
	return requestTracker.drained
}

// Stop shuts the node down gracefully. The node reports at once that it is not ready, but accepts requests during
// NoticeSeconds, so that the load balancer has time to take it out of rotation. Then it finishes the requests in
// flight, hands its tickets over to a peer and stops its components.
func (node *Node) Stop() {
	node.stopOnce.Do(func() {
		node.stopping.Store(true)
		node.logger.Info("node: stopping.", "Name", node.settings.Name)
		time.Sleep(time.Duration(node.settings.Stopping.NoticeSeconds) * time.Second)
		drained := node.requests.refuseNew()
		node.awaitDrain(drained)
		node.handOverTickets()
		node.stopComponents()
	})
	node.Component.Stop()
}

func (node *Node) awaitDrain(drained <-chan struct{}) {
	timer := time.NewTimer(time.Duration(node.settings.Stopping.DrainSeconds) * time.Second)
	defer timer.Stop()
	select {
	case <-drained:
	case <-timer.C:
		node.logger.Warn("node: drain time expired with requests still in flight.", "Name", node.settings.Name)
	}
}

// handOverTickets sends the outcomes of the calls under this node's tickets to its peers in turn, until one peer
// accepts them.
func (node *Node) handOverTickets() {
	request := &exchange.HandOver{Incarnation: node.Incarnation}
	for _, outcome := range node.bookings.HandOver() {
		body, err := proto.Marshal(outcome)
		if err != nil {
			continue
		}
		request.Outcomes = append(request.Outcomes, body)
	}
	if len(request.Outcomes) == 0 && node.bookings.State().Tickets == 0 {
		return
	}
	for _, peer := range node.members.LocalPeers() {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		reply, err := node.peers.Call(ctx, peer.Address, node.withSender(&exchange.Request{Kind: &exchange.Request_HandOver{HandOver: request}}))
		cancel()
		if err == nil && reply.GetHandOver().GetTaken() {
			node.logger.Info("node: handed tickets over to a peer.", "Peer", peer.Address, "Tickets", len(request.Outcomes))
			return
		}
	}
	node.logger.Warn("node: no peer accepted the hand-over of tickets.", "Name", node.settings.Name)
}

const (
	handOverTimeout = 3 * time.Second
	shutdownTimeout = 5 * time.Second
)

func (node *Node) stopComponents() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = node.callerServer.Shutdown(ctx)
	node.callerServer.Close()
	node.RequestStop()
	node.groupController.Stop()
	node.watcher.Stop()
	node.exchanger.Stop()
	node.bookings.Stop()
	node.relayBatcher.Stop()
	node.appendBatcher.Stop()
	for _, follower := range node.streams {
		follower.Stop()
	}
	node.peerServer.Stop()
	node.peers.Close()
	node.operatorServer.Close()
	node.engines.Close()
	node.draftEngines.Close()
	node.transport.CloseIdleConnections()
}

// Kill stops the node at once: it neither drains requests nor hands tickets over. To callers and peers it looks like a
// crash.
func (node *Node) Kill() {
	node.stopOnce.Do(func() {
		node.stopping.Store(true)
		node.callerServer.Close()
		node.requests.refuseNew()
		node.stopComponents()
	})
	node.Component.Stop()
}
