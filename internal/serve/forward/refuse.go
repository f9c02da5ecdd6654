package forward

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Times after which a refused caller is asked to come again.
const (
	// retryUnknown is for a node that has just started.
	retryUnknown = 300 * time.Millisecond
	// retryNone is longer than a lost group takes to be replaced by a staged
	// spare, and most of what a caller's deadline lets it wait. A caller that
	// returns sooner finds the same full groups and is refused for good.
	retryNone = 1300 * time.Millisecond
	// retryUnreached is for a node that reaches no server, while others seem to: callers come back to another one.
	retryUnreached = 150 * time.Millisecond
	// retryMemory is for a body that doesn't fit at this node: bodies are held for as long as
	// calls take, and the balancer may choose another node.
	retryMemory = 400 * time.Millisecond
	// retryPart is the part of the caller's time that this may be, as a divisor: callers wait
	// a third of it at the most, and the time is spread by a quarter.
	retryPart = 4
)

const (
	// returnRate is how many callers a second are asked back to a pool of servers whose
	// backoff has passed: the first one tries a server, the others find it taking calls.
	returnRate = 25
	// returnStep is how much later callers come back for each rank by which they are less
	// urgent.
	returnStep = 20 * time.Millisecond
)

// returnAfter is after which time a caller should come back to servers whose backoff ends
// after a time: not before that, and one after the other.
func (exchange *exchange) returnAfter(opens time.Duration) time.Duration {
	turn := exchange.forwarder.Returns.Delay(exchange.pool()+" after a backoff", returnRate)
	return opens + turn + time.Duration(exchange.priority)*returnStep
}

// refuse answers that the request has not run and never will. Callers are told
// to come again at times that are spread, so that they don't all return at
// once.
func (exchange *exchange) refuse(outcome Outcome, again time.Duration, cause string) {
	exchange.outcome, exchange.cause = outcome, cause
	exchange.tellSender(resultNotRun)
	spread := max(exchange.notBefore, time.Duration(float64(again)*(0.75+rand.Float64()/2)))
	exchange.writer.Header().Set("Retry-After", strconv.FormatFloat(spread.Seconds(), 'f', 3, 64))
	exchange.finish(http.StatusServiceUnavailable)
}

// deny answers a request that is wrong in itself.
func (exchange *exchange) deny(status int, outcome Outcome, cause string) {
	exchange.outcome, exchange.cause = outcome, cause
	exchange.tellSender(resultDenied)
	exchange.finish(status)
}

// fail answers that the request may have run.
func (exchange *exchange) fail(status int) {
	exchange.tellSender(resultMayHaveRun)
	exchange.finish(status)
}

func (exchange *exchange) finish(status int) {
	exchange.writer.Header().Set("Content-Length", "0")
	exchange.writer.WriteHeader(status)
	exchange.log(status)
}

// end answers a request that no further server will get.
func (exchange *exchange) end() {
	switch {
	case exchange.gone():
		exchange.outcome = CallerLeft
		exchange.log(0)
		panic(http.ErrAbortHandler)
	case exchange.begun:
		// An answer that was begun can only be cut, so that it doesn't look
		// complete.
		exchange.log(http.StatusBadGateway)
		panic(http.ErrAbortHandler)
	case exchange.fallback != nil:
		exchange.deliver(exchange.fallback)
	case !exchange.mayHaveRun:
		if exchange.outcome == "" {
			exchange.outcome = TimeUp
		}
		exchange.refuse(exchange.outcome, cmp.Or(exchange.again, retryNone), exchange.cause)
	case exchange.left() <= leastLeft:
		exchange.outcome = TimeUp
		exchange.fail(http.StatusGatewayTimeout)
	default:
		exchange.fail(http.StatusBadGateway)
	}
}
