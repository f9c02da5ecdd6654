package forward

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/state/configuration"
)

func splitList(line string) []string {
	names := strings.Split(line, ",")
	for number := range names {
		names[number] = strings.TrimSpace(names[number])
	}
	return names
}

const (
	// minSlowTime is the shortest time after which a call of an idempotent route is sent to a second server. The value
	// is many times the usual response time, so that only lost calls are sent twice, not slow ones.
	minSlowTime = 150 * time.Millisecond
	// maxResponseBytes bounds a plain response that is buffered before delivery.
	maxResponseBytes = 8 << 20
	// maxQueuedCalls is how many calls may queue at a plain server.
	maxQueuedCalls = 6
)

// response is a buffered plain response.
type response struct {
	status int
	header http.Header
	body   []byte
	// reserved is the part of the node's memory budget that the body takes.
	reserved int64
	// relayed is set if the response was relayed unbuffered because it exceeded the limits.
	relayed bool
}

// serveCall serves a request with a plain response. The response is buffered before delivery, so that a truncated
// response never reaches the caller and the call can be retried. A response that does not fit into the memory
// budget is relayed unbuffered.
func (exchange *exchange) serveCall() {
	for {
		if second := exchange.awaitSecond(); second != nil {
			if exchange.handleCallAttempt(second) {
				return
			}
			continue
		}
		if exchange.timeLeft() <= minTimeLeft || exchange.callerGone() || exchange.quarantined() || !exchange.mayRetry() {
			break
		}
		target, verdict := exchange.pickServer()
		if verdict == dispatch.Unreachable && exchange.mayDetour() {
			if ended, sent := exchange.sendThroughPeers(exchange.handleCallAttempt); ended {
				return
			} else if sent {
				continue
			}
			if !exchange.forwarder.Board.AllPathsLost(exchange.poolName()) {
				target, verdict = exchange.pickServer()
			}
		}
		if verdict != dispatch.Chosen {
			exchange.recordNoTarget(target, verdict)
			break
		}
		if exchange.handleCallAttempt(exchange.send(target, exchange.timeLeft())) {
			return
		}
	}
	exchange.finishUnserved()
}

// pickServer picks a server and waits briefly if a permit may arrive or a backoff may end.
func (exchange *exchange) pickServer() (*dispatch.Target, dispatch.Verdict) {
	return exchange.pickWithWait(exchange.slotWait(), exchange.maxQueued(), func(verdict dispatch.Verdict) bool {
		return verdict == dispatch.RateLimited || verdict == dispatch.BackedOff
	})
}

// recordNoTarget sets the outcome and the cause for a request without a target, and appends the cause of earlier
// attempts. target is the one that becomes available first, if known.
func (exchange *exchange) recordNoTarget(target *dispatch.Target, verdict dispatch.Verdict) {
	occupancy := exchange.forwarder.Board.Occupancy(exchange.poolName())
	reason := fmt.Sprintf("pool %s: %d of %d slots in use at %d targets", exchange.poolName(), occupancy.ActiveCalls, occupancy.Slots, occupancy.Targets)
	if exchange.ignoreReachability && (verdict == dispatch.NoTarget || verdict == dispatch.Full) && exchange.forwarder.Board.AllPathsLost(exchange.poolName()) {
		verdict = dispatch.Unreachable
	}
	switch verdict {
	case dispatch.Full:
		exchange.outcome = Full
	case dispatch.RateLimited:
		exchange.outcome = Limited
		exchange.forwarder.Counts.Limited.Add(1)
		exchange.retryAfter = exchange.forwarder.RetryScheduler.Delay(exchange.poolName(), occupancy.RateLimit/float64(exchange.forwarder.NodeCount()))
		reason += fmt.Sprintf("; rate limits of its servers allow %.2f requests/s", occupancy.RateLimit)
	case dispatch.BackedOff:
		exchange.outcome = BackedOff
		exchange.forwarder.Counts.BackedOff.Add(1)
		opensIn := target.BackoffEndsAt() - exchange.forwarder.Now()
		exchange.earliestRetry = exchange.retryAfterBackoff(opensIn)
		reason += fmt.Sprintf("; all available servers asked for a backoff, %s for another %v", target.ID, opensIn.Round(time.Millisecond))
	case dispatch.Unreachable:
		exchange.outcome = Unreached
		if len(exchange.excludedPeers) > 0 {
			exchange.retryAfter = unreachedRetryDelay
		}
		reason += "; this node reaches none of its servers"
	default:
		exchange.outcome = NoServer
	}
	if exchange.cause != "" {
		reason = exchange.cause + "; " + reason
	}
	exchange.cause = reason
}

// handleCallAttempt reads the response of one attempt and delivers it unless the call is to be retried. It reports
// whether the request has ended.
func (exchange *exchange) handleCallAttempt(attempt *attempt) bool {
	defer attempt.release()
	if attempt.Reply == nil {
		exchange.avoidUnresponsive(attempt)
		return false
	}
	if attempt.NotRun {
		exchange.recordRefusal(attempt)
		return false
	}
	received, err := exchange.readResponse(attempt)
	exchange.recordResult(attempt, err != nil || attempt.Status >= http.StatusInternalServerError)
	if err != nil {
		exchange.recordMove(attempt)
		exchange.recordRun()
		exchange.recordServerFailure(attempt, err)
		exchange.cause = "read the response of server " + attempt.target.ID + ": " + err.Error()
		exchange.excludedServers = append(exchange.excludedServers, attempt.target.ID)
		return false
	}
	if received.relayed {
		return true
	}
	if attempt.Status >= http.StatusInternalServerError && exchange.mayRetryFailure() {
		exchange.recordRun()
		exchange.cause = "server " + attempt.target.ID + " responded with status " + strconv.Itoa(attempt.Status)
		exchange.excludedServers = append(exchange.excludedServers, attempt.target.ID)
		exchange.setFallback(received)
		return false
	}
	if attempt.Status < http.StatusInternalServerError {
		exchange.recordSuccess(attempt)
	}
	exchange.deliver(received)
	return true
}

// avoidUnresponsive excludes a server that sent no response in time: the server may have lost power, and the next
// call would be lost too.
func (exchange *exchange) avoidUnresponsive(attempt *attempt) {
	if !exchange.callerGone() && !attempt.withheld && attempt.peer == nil {
		attempt.target.Avoid(unreachableCooldown)
		exchange.forwarder.Pool.CloseIdle(attempt.target.Address)
	}
}

// mayRetryFailure reports whether a failure response of a server may be retried at another server.
func (exchange *exchange) mayRetryFailure() bool {
	return exchange.route.Repeatable() && exchange.runs+1 < exchange.route.MaxAttempts &&
		exchange.timeLeft() > 4*minTimeLeft
}

// slowTime returns the time after which a call of an idempotent route is slow. A peer node is given the time for two
// servers.
func (exchange *exchange) slowTime(attempt *attempt) time.Duration {
	slow := max(minSlowTime, exchange.route.Target*3/2)
	if attempt.peer != nil {
		return 2 * slow
	}
	return slow
}

// watchSlowness suspects a call of an idempotent route once it is slow.
func (exchange *exchange) watchSlowness(attempt *attempt) {
	if exchange.route.Kind == configuration.Idempotent && exchange.runs+1 < exchange.route.MaxAttempts && !attempt.beside {
		attempt.slow = time.AfterFunc(exchange.slowTime(attempt), func() { exchange.suspectSlow(attempt) })
	}
}

// suspectSlow suspects a slow call, again and again until it ends.
func (exchange *exchange) suspectSlow(attempt *attempt) {
	if exchange.suspect(attempt, dispatch.Suspicion{Reason: dispatch.CallSlow}) {
		time.AfterFunc(secondSearchInterval, func() { exchange.suspectSlow(attempt) })
	}
}

// recordSlowness records that the server, or the peer node, of an attempt has not responded in time: it may have lost
// power, and the next call would be lost, too.
func (exchange *exchange) recordSlowness(attempt *attempt) {
	switch {
	case attempt.suspected, attempt.Reply != nil:
	case attempt.peer != nil:
		exchange.forwarder.Detours.RecordFailure(attempt.peer.Address)
	default:
		attempt.target.RecordTimeout(attempt.startedAt)
		exchange.avoidUnresponsive(attempt)
	}
	attempt.suspected = true
}

// recordFailedCall records that a second call failed.
func (exchange *exchange) recordFailedCall(attempt *attempt) {
	exchange.recordResult(attempt, true)
	exchange.recordRun()
	if attempt.readErr != nil {
		exchange.recordMove(attempt)
		exchange.recordServerFailure(attempt, attempt.readErr)
	}
	exchange.excludedServers = append(exchange.excludedServers, attempt.target.ID)
}
