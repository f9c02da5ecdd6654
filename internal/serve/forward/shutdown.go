package forward

import "time"

// Shutdown tells how long a node that is shutting down serves requests, counted from the call of BeginShutdown.
type Shutdown struct {
	// AcceptFor is how long each request is accepted. One that is complete later must end by itself within ServeFor.
	AcceptFor time.Duration
	// ServeFor is how long requests are served.
	ServeFor time.Duration
}

// shutdownTimes are the times of a Shutdown by the forwarder's clock.
type shutdownTimes struct {
	acceptUntil, serveUntil time.Duration
}

// BeginShutdown refuses requests from now on that are complete too late for the time that the node has.
func (forwarder *Forwarder) BeginShutdown(shutdown Shutdown) {
	now := forwarder.Now()
	forwarder.shutdown.Store(&shutdownTimes{acceptUntil: now + shutdown.AcceptFor, serveUntil: now + shutdown.ServeFor})
}

// shutdownRetryDelay is for a node that is shutting down: the retry arrives at another node.
const shutdownRetryDelay = 150 * time.Millisecond

// refuseInShutdown refuses a request that the node may not be able to serve before it ends, and reports whether it did.
func (exchange *exchange) refuseInShutdown() bool {
	shutdown := exchange.forwarder.shutdown.Load()
	if shutdown == nil || exchange.forwarder.Now() < shutdown.acceptUntil || exchange.deadline <= shutdown.serveUntil {
		return false
	}
	exchange.writer.Header().Set("Connection", "close")
	exchange.refuse(Stopping, shutdownRetryDelay, "the node is shutting down")
	return true
}
