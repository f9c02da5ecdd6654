package gateway

import (
	"context"
	"io"
	"log"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// noticeTime is how long the node goes on taking connections after it has
	// said that it is not ready: the balancer asks once a second and believes
	// the second refusal.
	noticeTime = 2500 * time.Millisecond
	// endMargin is kept back from the grace time for the process to end.
	endMargin = 400 * time.Millisecond
)

// Stop ends the node gracefully: it says that it is not ready, goes on serving
// until the balancer has noticed, finishes what it has, and ends.
func (node *Node) Stop() {
	began := node.now()
	node.stopping.Store(true)
	node.logger.Info("gateway: stopping.", "Name", node.settings.Name)
	node.keeper.Outdated(node.keeper.Term())
	node.peers.beat(0)
	node.peers.overlay.Leave()
	limit := node.settings.Bounds.Grace - endMargin
	time.Sleep(min(noticeTime, limit))
	left := limit - (node.now() - began)
	ctx, cancel := context.WithTimeout(context.Background(), max(left, 0))
	defer cancel()
	ends := conc.WaitGroup{}
	for _, served := range []*http.Server{node.caller, node.detours.served} {
		if served == nil {
			continue
		}
		ends.Go(func() {
			if err := served.Shutdown(ctx); err != nil {
				node.logger.Warn("gateway: requests were cut off at the end of the grace time.", "Error", err.Error())
				served.Close()
			}
		})
	}
	ends.Wait()
	node.end()
	node.logger.Info("gateway: stopped.", "Name", node.settings.Name, "Milliseconds", (node.now() - began).Milliseconds())
}

// Kill ends the node at once, as the loss of its process would: calls under way break
// off, and nobody is told.
func (node *Node) Kill() {
	node.caller.Close()
	if node.detours.served != nil {
		node.detours.served.Close()
	}
	node.end()
}

// end ends every part. Callers are served no more by then.
func (node *Node) end() {
	node.readiness.Close()
	node.operator.Close()
	node.former.RequestStop()
	node.follower.RequestStop()
	node.RequestStop()
	node.peers.overlay.Stop()
	node.former.Stop()
	node.follower.Stop()
	node.Component.Stop()
	node.pool.Sweep(func(string) bool { return false })
	node.detours.pool.Sweep(func(string) bool { return false })
	if node.platform.Close != nil {
		node.platform.Close()
	}
}

// silent drops what net/http has to say of connections that callers break.
func silent() *log.Logger {
	return log.New(io.Discard, "", 0)
}
