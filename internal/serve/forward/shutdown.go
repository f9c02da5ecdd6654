package forward

import "time"

// Shutdown tells how long a node that is shutting down serves requests, counted from the call of BeginShutdown.
type Shutdown struct {
	// AcceptFor is how long every request is accepted. One that is complete later is accepted only if its deadline is within
	// ServeFor.
	AcceptFor time.Duration
	// ServeFor is how long requests are served. Those whose response has not begun are answered then; a response that has
	// begun goes on until the node closes its connections.
	ServeFor time.Duration
}

// shutdownTimes are the times of a Shutdown by the forwarder's clock.
type shutdownTimes struct {
	acceptUntil, serveUntil time.Duration
}

// BeginShutdown refuses requests from now on that are complete too late for the time that the node has, and answers those
// that are in progress when that time is over.
func (forwarder *Forwarder) BeginShutdown(shutdown Shutdown) {
	now := forwarder.Now()
	forwarder.shutdown.Store(&shutdownTimes{acceptUntil: now + shutdown.AcceptFor, serveUntil: now + shutdown.ServeFor})
	time.AfterFunc(shutdown.ServeFor, forwarder.endServing)
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

// cancelUnanswered cancels an attempt unless the caller has a part of the response.
func (exchange *exchange) cancelUnanswered(attempt *attempt) {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	if !exchange.responseStarted {
		attempt.canceler.cancel()
	}
}

// limitToShutdown returns the part of a time that the node serves the request if it is shutting down.
func (exchange *exchange) limitToShutdown(left time.Duration) time.Duration {
	shutdown := exchange.forwarder.shutdown.Load()
	if shutdown == nil || exchange.responseStarted {
		return left
	}
	return min(left, shutdown.serveUntil-exchange.forwarder.Now())
}

// timeUpOutcome returns the outcome of a request whose time is over: its own, or that of the node.
func (exchange *exchange) timeUpOutcome() Outcome {
	if exchange.limitToShutdown(minTimeLeft) < minTimeLeft {
		return Stopping
	}
	return TimeUp
}
