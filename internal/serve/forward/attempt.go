package forward

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/fleet/detour"
	"hazelslip/internal/peer/backendserver"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/memory"
	"hazelslip/internal/policy/notice"
)

// errCanceled means that a call was canceled before it was written: the caller disconnected, the call timed out,
// or the target was abandoned while the connection was being opened.
var errCanceled = errors.New("call canceled before it was sent")

// attempt is one call of a request to one server. The caller of send must release the attempt.
type attempt struct {
	*backendserver.Reply
	target *dispatch.Target
	// peer is the node that the call goes through, nil if the call goes to a server directly.
	peer     *detour.Peer
	call     *dispatch.Call
	canceler *canceler
	// detachCaller stops watching the caller's connection, detachShutdown the end of the node. timeout ends the call when
	// its time is up. slow suspects a plain call that takes long, nil for none.
	detachCaller   func() bool
	detachShutdown func() bool
	timeout        *time.Timer
	slow           *time.Timer
	// runsBefore is the number of runs that the peer node was told of. The runs that it adds count besides those that
	// ended on this node meanwhile.
	runsBefore int
	// startedAt is when the attempt started, admittedAt when the call was about to be written.
	startedAt, admittedAt time.Duration
	// timedOutWriting is set if the call timed out during a write to the caller.
	timedOutWriting atomic.Bool
	// events is the number of events of the response that were relayed.
	events int
	// beside is set while the attempt runs beside the one that the handler waits for. dropped is set once it is not
	// wanted any more, because the other one goes on.
	beside, dropped bool
	// suspected is set once the target of the attempt was suspected. replaced is why a slow call was given up for a
	// second one, nil if it wasn't.
	suspected bool
	replaced  *dispatch.Suspicion
	// pending holds the bytes that were read and not relayed, and reserved is the part of the node's memory budget that
	// they take in a reservation. readErr is the result of the last read. readAhead is set if the handler has not seen
	// that read.
	pending     []byte
	reserved    int64
	reservation *memory.Reservation
	readErr     error
	readAhead   bool
	// withheld is set if the call was not sent because the server accepts no calls or the path to the server has
	// no open connection.
	withheld bool
}

// release returns the connection to the pool. The canceler is disarmed first: the connection may carry the next
// call at once, and a late cancellation by a timer or an abandoned group would abort that call.
func (attempt *attempt) release() {
	attempt.timeout.Stop()
	if attempt.slow != nil {
		attempt.slow.Stop()
	}
	attempt.detachCaller()
	attempt.detachShutdown()
	attempt.canceler.disarm()
	if attempt.Reply != nil {
		attempt.Close()
	}
	if attempt.call != nil {
		attempt.call.End()
	}
}

// expire cancels a call that has timed out. A write to a slow caller may block much longer and does not notice the
// cancellation, so expire aborts the call and frees its slot at the server directly.
func (attempt *attempt) expire() {
	attempt.canceler.cancel()
	if attempt.call.ReadingPaused() {
		attempt.timedOutWriting.Store(true)
		attempt.Abort()
		attempt.call.End()
	}
}

// canceler cancels a call from another goroutine, including a call that is not sent yet.
type canceler struct {
	mu         sync.Mutex
	cancelCall func()
	canceled   bool
}

func (canceler *canceler) setCancel(cancelCall func()) {
	canceler.mu.Lock()
	defer canceler.mu.Unlock()
	canceler.cancelCall = cancelCall
	if canceler.canceled {
		cancelCall()
	}
}

// disarm makes later cancellations do nothing. When disarm returns, no cancellation is running.
func (canceler *canceler) disarm() {
	canceler.mu.Lock()
	defer canceler.mu.Unlock()
	canceler.cancelCall = nil
}

// isCanceled reports whether the call was canceled.
func (canceler *canceler) isCanceled() bool {
	canceler.mu.Lock()
	defer canceler.mu.Unlock()
	return canceler.canceled
}

func (canceler *canceler) cancel() {
	canceler.mu.Lock()
	defer canceler.mu.Unlock()
	canceler.canceled = true
	if canceler.cancelCall != nil {
		canceler.cancelCall()
	}
}

// send sends the request to one target and reads the head of the response. The timeout also covers the wait for
// the head, because a server that lost power sends nothing at all. If the returned attempt has no reply,
// exchange.cause holds the reason, and exchange.mayHaveRun is set if the call may have run.
func (exchange *exchange) send(target *dispatch.Target, timeout time.Duration) *attempt {
	exchange.lastTarget = targetInfo{server: target.ID, group: target.Group, calls: target.ActiveCalls()}
	attempt := exchange.newAttempt(target, timeout)
	exchange.sendAttempt(attempt)
	return attempt
}

// sendAttempt sends the call of a new attempt.
func (exchange *exchange) sendAttempt(attempt *attempt) {
	target := attempt.target
	exchange.watchSlowness(attempt)
	exchange.keepAtLoss(attempt)
	call := exchange.buildCall(target)
	call.SetCancel, call.OnResponseHead = attempt.canceler.setCancel, exchange.reportResponseHead(attempt)
	call.Admit, call.OnConnect = exchange.admitAttempt(attempt), target.RecordConnected
	call.ReuseOnly = !exchange.ignoreReachability && exchange.forwarder.Board.ReachableByIdleConnection(target)
	reply, err := exchange.sendCall(attempt, exchange.forwarder.Pool, call)
	if err == nil {
		exchange.sentAttempts++
		target.RecordResponse()
		attempt.Reply = reply
		return
	}
	exchange.handleSendError(attempt, err)
}

// keepAtLoss keeps the attempt of a partly delivered response if its group is announced lost, unless it is a second run
// that another one may follow.
func (exchange *exchange) keepAtLoss(attempt *attempt) {
	if exchange.partlyDelivered() && (!attempt.beside || exchange.runs+2 >= exchange.route.MaxAttempts) {
		attempt.call.KeepAtLoss()
	}
}

// sendCall sends a call and releases the exchange meanwhile.
func (exchange *exchange) sendCall(attempt *attempt, pool *backendserver.Pool, call *backendserver.Call) (*backendserver.Reply, error) {
	exchange.wait(attempt)
	defer exchange.resume(attempt)
	return pool.Send(call)
}

// newAttempt starts an attempt that times out after the given time.
func (exchange *exchange) newAttempt(target *dispatch.Target, timeout time.Duration) *attempt {
	exchange.attempts++
	if last := len(exchange.moves) - 1; last >= 0 && exchange.moves[last].Next == "" {
		exchange.moves[last].Next = target.ID
	}
	attempt := &attempt{target: target, canceler: &canceler{}, startedAt: exchange.forwarder.Now(), reservation: &exchange.reservation}
	suspect := func(suspicion dispatch.Suspicion) { _ = exchange.suspect(attempt, suspicion) }
	attempt.call = target.Begin(exchange.request.PromptTokens, uint64(exchange.fingerprint), attempt.canceler.cancel, suspect, exchange.partKeys()...)
	attempt.timeout = time.AfterFunc(timeout, attempt.expire)
	attempt.detachCaller = context.AfterFunc(exchange.inbound.Context(), attempt.canceler.cancel)
	attempt.detachShutdown = context.AfterFunc(exchange.forwarder.serving, func() { exchange.cancelUnanswered(attempt) })
	return attempt
}

// partKeys returns the parts of the prompt as dispatch counts them.
func (exchange *exchange) partKeys() []uint64 {
	keys := make([]uint64, 0, len(exchange.parts))
	for _, part := range exchange.parts {
		keys = append(keys, uint64(part))
	}
	return keys
}

// handleSendError records a call that brought no response.
func (exchange *exchange) handleSendError(attempt *attempt, err error) {
	target := attempt.target
	exchange.recordMove(attempt)
	exchange.cause = err.Error()
	exchange.excludedServers = append(exchange.excludedServers, target.ID)
	if attempt.withheld = errors.Is(err, notice.ErrWithheld) || errors.Is(err, backendserver.ErrNoIdleConnection); attempt.withheld {
		return
	}
	if attempt.dropped {
		if !errors.Is(err, backendserver.ErrNotSent) {
			exchange.sentAttempts++
			exchange.recordRun()
		}
		return
	}
	canceled := errors.Is(err, errCanceled)
	if (canceled || errors.Is(err, os.ErrDeadlineExceeded)) && !exchange.callerGone() && !attempt.suspected {
		target.RecordTimeout(attempt.startedAt)
	}
	if canceled {
		return
	}
	if errors.Is(err, backendserver.ErrNotSent) {
		if errors.Is(err, backendserver.ErrConnectFailed) && !exchange.callerGone() {
			target.RecordConnectFailure(attempt.startedAt)
		}
		target.Avoid(unreachableCooldown)
		exchange.forwarder.OnServerFailure(target, "")
		return
	}
	exchange.sentAttempts++
	exchange.recordRun()
	if isConnectionClosed(err) && !exchange.callerGone() && !attempt.call.Moved() {
		exchange.forwarder.Counts.Unanswered.Add(1)
		if target.RecordUnanswered(attempt.startedAt) >= dispatch.ReportedUnanswered {
			exchange.forwarder.OnServerFailure(target, "")
		}
	}
	exchange.recordResult(attempt, true)
	exchange.recordServerFailure(attempt, err)
}

// isConnectionClosed reports whether err means that the connection closed before any response.
func isConnectionClosed(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// recordResult records the result of an attempt for its target, unless the result says nothing about the server.
func (exchange *exchange) recordResult(attempt *attempt, failed bool) {
	if attempt.peer != nil || (failed && !attempt.target.PathHealthy()) {
		return
	}
	if failed && (exchange.callerGone() || attempt.timedOutWriting.Load() || attempt.call.Moved() || attempt.call.Quarantined()) {
		return
	}
	attempt.target.RecordOutcome(failed)
}

// recordRun records that a server may have run the request.
func (exchange *exchange) recordRun() {
	exchange.mayHaveRun = true
	exchange.runs++
}

const (
	// unreachableCooldown is how long a server that cannot be connected to gets no calls.
	unreachableCooldown = 700 * time.Millisecond
	// refusalCooldown is how long a server that is full gets no calls.
	refusalCooldown = 150 * time.Millisecond
)

// recordRefusal records a response that says that the server did not run the call.
func (exchange *exchange) recordRefusal(attempt *attempt) {
	target, reply := attempt.target, attempt.Reply
	exchange.cause = "server " + target.ID + " refused the call with status " + strconv.Itoa(reply.Status)
	exchange.excludedServers = append(exchange.excludedServers, target.ID)
	if reply.WrongServer || reply.Culprit != "" {
		target.Avoid(unreachableCooldown)
		exchange.forwarder.OnServerFailure(target, reply.Culprit)
		return
	}
	target.Avoid(refusalCooldown)
}

// hopByHopHeaders are the headers that apply to a single connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Content-Length"}

// StripHopByHop removes the headers that apply to a single connection only, including those named by the
// Connection header.
func StripHopByHop(header http.Header) {
	for _, line := range header.Values("Connection") {
		for _, name := range splitList(line) {
			header.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// copyHeaders copies the response headers of a server to the caller's response.
func (exchange *exchange) copyHeaders(from http.Header) {
	StripHopByHop(from)
	header := exchange.writer.Header()
	for name, values := range from {
		header[name] = values
	}
	header.Del(headerDetour)
	exchange.setDetourResult(resultServer)
}
