package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"hazelslip/internal/serve/forward"
)

const (
	// unreadyDelay is how long the node keeps accepting connections after it reports that it is not ready.
	// The load balancer checks once a second and acts on the second failure.
	unreadyDelay = 2500 * time.Millisecond
	// stoppingHeadTimeout is how long a head may take that is being read when the node accepts no connections any more.
	stoppingHeadTimeout = time.Second
	// acceptDivisor limits the time in which every request is accepted to a fraction of a short grace period, as a divisor.
	acceptDivisor = 3
	// answerMargin is the time before the connections are closed in which requests without a response are answered.
	answerMargin = 200 * time.Millisecond
	// shutdownMargin is the part of the grace period reserved for the process to exit.
	shutdownMargin = 400 * time.Millisecond
)

// Stop shuts the node down gracefully: it reports that it is not ready, keeps serving until the load balancer
// has noticed, waits for requests in progress, and stops all components.
func (node *Node) Stop() {
	began := node.now()
	node.stopping.Store(true)
	node.logger.Info("gateway: the node is stopping.", "Name", node.settings.Name)
	node.elector.HandleRefusal(node.elector.Term())
	node.peers.advanceHeartbeat(0)
	node.peers.overlay.Leave()
	grace := node.settings.Bounds.Grace - shutdownMargin
	node.forwarder.BeginShutdown(forward.Shutdown{AcceptFor: min(unreadyDelay, grace/acceptDivisor), ServeFor: grace - answerMargin})
	time.Sleep(min(unreadyDelay, grace))
	remaining := grace - (node.now() - began)
	ctx, cancel := context.WithTimeout(context.Background(), max(remaining, 0))
	defer cancel()
	unfinishedHeads := time.AfterFunc(stoppingHeadTimeout, node.inbound.CloseWaiting)
	defer unfinishedHeads.Stop()
	shutdowns := conc.WaitGroup{}
	for _, server := range []*http.Server{node.callerServer, node.detours.server} {
		if server == nil {
			continue
		}
		shutdowns.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				node.logger.Warn("gateway: requests were cut off at the end of the grace period.", "Error", err.Error())
				server.Close()
			}
		})
	}
	shutdowns.Wait()
	node.stopComponents()
	node.logger.Info("gateway: the node stopped.", "Name", node.settings.Name, "Milliseconds", (node.now() - began).Milliseconds())
}

// Kill stops the node immediately, as a crash of its process would: calls in progress break off, and other
// nodes are not notified.
func (node *Node) Kill() {
	node.callerServer.Close()
	if node.detours.server != nil {
		node.detours.server.Close()
	}
	node.stopComponents()
}

// stopComponents stops all components of the node. Callers are no longer served by then.
func (node *Node) stopComponents() {
	node.readinessServer.Close()
	node.operatorServer.Close()
	node.groupController.RequestStop()
	node.follower.RequestStop()
	node.RequestStop()
	node.peers.overlay.Stop()
	node.groupController.Stop()
	node.follower.Stop()
	node.Component.Stop()
	node.pool.Sweep(func(string) bool { return false })
	node.detours.pool.Sweep(func(string) bool { return false })
	if node.platform.Close != nil {
		node.platform.Close()
	}
}
