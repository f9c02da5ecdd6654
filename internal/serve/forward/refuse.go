package forward

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Delays after which refused callers are asked to retry.
const (
	// startupRetryDelay is for a node that has just started.
	startupRetryDelay = 300 * time.Millisecond
	// defaultRetryDelay is longer than it takes to replace a lost group by a staged spare, and most of the time
	// that a caller's deadline allows. A caller that returns sooner finds the same full groups and is refused for
	// good.
	defaultRetryDelay = 1300 * time.Millisecond
	// unreachedRetryDelay is for a node that reaches no server while other nodes seem to: the retry arrives at
	// another node.
	unreachedRetryDelay = 150 * time.Millisecond
	// memoryRetryDelay is for a body that does not fit on this node. Bodies are held as long as calls take, and
	// the load balancer may choose another node for the retry.
	memoryRetryDelay = 400 * time.Millisecond
	// retryDelayDivisor limits a delay to a fraction of the caller's remaining time, as a divisor: callers wait at
	// most a third of that time, and the delay is randomized by a quarter.
	retryDelayDivisor = 4
)

const (
	// backoffReturnRate is how many callers per second are asked to return to a pool whose backoff has passed. The
	// first caller tests a server; the others find it accepting calls.
	backoffReturnRate = 25
	// urgencyRetryStep is the extra delay for each step of lower priority.
	urgencyRetryStep = 20 * time.Millisecond
)

// retryAfterBackoff returns the retry delay for servers whose backoff ends in opensIn. Callers return after the end
// of the backoff, one after the other.
func (exchange *exchange) retryAfterBackoff(opensIn time.Duration) time.Duration {
	delay := exchange.forwarder.RetryScheduler.Delay(exchange.poolName()+" after a backoff", backoffReturnRate)
	return opensIn + delay + time.Duration(exchange.priority)*urgencyRetryStep
}

// refuse responds that the request has not run and never will. Retry delays are randomized, so that refused
// callers do not all return at once.
func (exchange *exchange) refuse(outcome Outcome, delay time.Duration, cause string) {
	exchange.outcome, exchange.cause = outcome, cause
	exchange.setDetourResult(resultNotRun)
	retryAfter := max(exchange.earliestRetry, time.Duration(float64(delay)*(0.75+rand.Float64()/2)))
	exchange.writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	exchange.writeStatus(http.StatusServiceUnavailable)
}

// deny rejects an invalid or unauthorized request.
func (exchange *exchange) deny(status int, outcome Outcome, cause string) {
	exchange.outcome, exchange.cause = outcome, cause
	exchange.setDetourResult(resultDenied)
	exchange.writeStatus(status)
}

// fail responds that the request may have run.
func (exchange *exchange) fail(status int) {
	exchange.setDetourResult(resultMayHaveRun)
	exchange.writeStatus(status)
}

func (exchange *exchange) writeStatus(status int) {
	exchange.writer.Header().Set("Content-Length", "0")
	exchange.writer.WriteHeader(status)
	exchange.log(status)
}

// finishUnserved ends a request that is sent to no further server.
func (exchange *exchange) finishUnserved() {
	switch {
	case exchange.callerGone():
		exchange.outcome = CallerLeft
		exchange.log(0)
		panic(http.ErrAbortHandler)
	case exchange.responseStarted:
		exchange.log(http.StatusBadGateway)
		exchange.cutOff()
	case exchange.fallback != nil:
		exchange.deliver(exchange.fallback)
	case !exchange.mayHaveRun:
		if exchange.outcome == "" {
			exchange.outcome = exchange.timeUpOutcome()
		}
		exchange.refuse(exchange.outcome, cmp.Or(exchange.retryAfter, defaultRetryDelay), exchange.cause)
	case exchange.timeLeft() <= minTimeLeft:
		exchange.outcome = exchange.timeUpOutcome()
		exchange.fail(http.StatusGatewayTimeout)
	default:
		exchange.fail(http.StatusBadGateway)
	}
}

// cutOff ends a partly delivered response so that it does not look complete. A response to an HTTP/1.0 caller may have
// neither a length nor chunks and end with its connection, so that connection is reset.
func (exchange *exchange) cutOff() {
	if !exchange.inbound.ProtoAtLeast(1, 1) {
		if connection, _, err := http.NewResponseController(exchange.writer).Hijack(); err == nil {
			if resettable, ok := connection.(interface{ SetLinger(seconds int) error }); ok {
				_ = resettable.SetLinger(0)
			}
			_ = connection.Close()
		}
	}
	panic(http.ErrAbortHandler)
}
