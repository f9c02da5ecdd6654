package forward

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/state/configuration"
)

// A run is given up only for something better. While the target of a run is suspected, or the run is slow, the request
// may have a second run at another target. The first run stays open, and the first of the two that goes on wins:
//
//   - An event of the first run, or its response to a plain call, ends the second one.
//   - The first complete event of the second run, or its response, ends the first one, and the second takes over.
//   - If the first run ends, the request waits for the second one instead of starting a third.
//   - If the second run fails, another one may follow while the suspicion lasts.
//
// The handler relays the first run, and a goroutine makes the second one until it goes on. The mutex of the exchange
// guards the request's state. Both release it while they wait for the network, so that a stream whose target is not
// suspected needs neither a goroutine nor a channel.

// secondSearchInterval is the time between two searches for a target of a second run, if the last one found none.
const secondSearchInterval = 100 * time.Millisecond

// secondRun is a run beside the one that the handler waits for.
type secondRun struct {
	first  *attempt
	reason dispatch.Reason
	// attempt is the call, nil while no target was found.
	attempt *attempt
	// dropped is set once the first run has gone on or the request has ended.
	dropped bool
	// firstEnded is set once the handler waits for the second run alone.
	firstEnded bool
	// takesOver is set once the handler is to go on with the attempt.
	takesOver bool
	// done is closed once the goroutine has ended.
	done chan struct{}
}

// tookOver reports whether the handler is to go on with the second run.
func (secondRun *secondRun) tookOver() bool {
	return secondRun != nil && secondRun.takesOver
}

// wait releases the exchange while an attempt waits for its server. The attempt calls resume afterwards.
func (exchange *exchange) wait(attempt *attempt) {
	if !attempt.beside {
		exchange.waitingFor = attempt
	}
	exchange.mu.Unlock()
}

// resume takes the exchange again after wait.
func (exchange *exchange) resume(attempt *attempt) {
	exchange.mu.Lock()
	if !attempt.beside {
		exchange.waitingFor = nil
	}
}

// suspect starts a second run if the handler waits for the suspected attempt. It runs on the goroutine that watches
// the targets and never waits: while the handler works on the request, its run goes on. It returns false once the
// attempt has ended.
func (exchange *exchange) suspect(attempt *attempt, suspicion dispatch.Suspicion) (open bool) {
	if !exchange.mu.TryLock() {
		return true
	}
	defer exchange.mu.Unlock()
	if exchange.waitingFor != attempt || exchange.callerGone() {
		return false
	}
	if suspicion.Reason == dispatch.CallSlow {
		exchange.recordSlowness(attempt)
	} else {
		exchange.recordSuspicion(attempt)
	}
	if exchange.second != nil || exchange.forwarder.Now() < exchange.nextSearchAt || !exchange.mayRunTwice(attempt) {
		return true
	}
	second := &secondRun{first: attempt, reason: suspicion.Reason, done: make(chan struct{})}
	exchange.second = second
	exchange.secondRuns.Go(func() { exchange.runSecond(second) })
	return true
}

// mayRunTwice reports whether a second run may start beside an attempt, as far as that does not depend on the retry
// budget and the targets.
func (exchange *exchange) mayRunTwice(first *attempt) bool {
	route := exchange.route
	switch _, _, quarantined := exchange.quarantineVerdict(); {
	case !route.Repeatable(), exchange.runs+1 >= route.MaxAttempts, exchange.timeLeft() <= minTimeLeft, quarantined:
		return false
	case exchange.responseStarted && (route.Kind != configuration.Streaming || !exchange.request.Resumes):
		// Without event IDs, no server can go on after what was delivered.
		return false
	case first.events == 0 || exchange.endedUnanswered:
		return !slices.ContainsFunc(exchange.parts, exchange.forwarder.Quarantine.NearlyQuarantined)
	}
	return true
}

// giveUp ends an attempt in favour of a second one. A slow call counts as timed out, not as interrupted by a loss.
func (attempt *attempt) giveUp(reason dispatch.Reason) {
	suspicion := dispatch.Suspicion{Reason: reason, Silence: attempt.call.Silence()}
	if reason == dispatch.CallSlow {
		attempt.replaced = &suspicion
		attempt.canceler.cancel()
		return
	}
	attempt.call.GiveUp(suspicion)
}

// runSecond makes a second run until it goes on.
func (exchange *exchange) runSecond(second *secondRun) {
	defer close(second.done)
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	lastTarget, lastPeer, cause := exchange.lastTarget, exchange.lastPeer, exchange.cause
	if !second.dropped && exchange.startSecond(second) {
		second.takesOver = exchange.followSecond(second)
	} else {
		exchange.nextSearchAt = exchange.forwarder.Now() + secondSearchInterval
	}
	switch {
	case second.takesOver && !second.firstEnded:
		second.first.giveUp(second.reason)
	case !second.takesOver:
		exchange.second = nil
		if !second.firstEnded {
			exchange.lastTarget, exchange.lastPeer, exchange.cause = lastTarget, lastPeer, cause
		}
	}
}

// startSecond sends the request to another target. It reports whether a target was free and a retry allowed.
func (exchange *exchange) startSecond(second *secondRun) bool {
	if !exchange.retryBudget.CanWithdraw() {
		// A choice would take a permit of a rate-limited server.
		return false
	}
	criteria := exchange.criteria(exchange.maxQueued())
	criteria.Exclude, criteria.PreferActive = append(slices.Clone(criteria.Exclude), second.first.target.ID), true
	target, verdict := exchange.forwarder.Board.Pick(exchange.poolName(), criteria)
	if verdict == dispatch.Unreachable && exchange.mayDetour() {
		return exchange.startSecondThroughPeer(second)
	}
	if verdict != dispatch.Chosen || !exchange.withdrawRetry() {
		return false
	}
	exchange.lastTarget = targetInfo{server: target.ID, group: target.Group, calls: target.ActiveCalls()}
	exchange.beginSecond(second, exchange.newAttempt(target, exchange.timeLeft()))
	exchange.sendAttempt(second.attempt)
	return true
}

// startSecondThroughPeer sends the request to a peer node that is known already.
func (exchange *exchange) startSecondThroughPeer(second *secondRun) bool {
	lost := exchange.forwarder.Board.Paths().LostDestinations(true)
	peer, found := exchange.forwarder.Detours.Choose(exchange.service, lost, exchange.excludedPeers)
	if !found || !exchange.withdrawRetry() {
		return false
	}
	exchange.beginSecond(second, exchange.newPeerAttempt(peer))
	exchange.sendToPeer(second.attempt)
	return true
}

func (exchange *exchange) beginSecond(second *secondRun, attempt *attempt) {
	// Both runs reserve memory at the same time.
	reservation := exchange.forwarder.Memory.NewReservation(exchange.workspace, exchange.soleWorkspace())
	attempt.beside, attempt.reservation = true, &reservation
	second.attempt = attempt
	exchange.secondRunCount++
}

// followSecond reads a second run until it goes on, and reports whether the handler is to go on with it. If not, the
// attempt is recorded and released.
func (exchange *exchange) followSecond(second *secondRun) (takesOver bool) {
	attempt, streams := second.attempt, exchange.route.Kind == configuration.Streaming
	defer func() {
		if !takesOver {
			attempt.reservation.Release()
			attempt.release()
		}
	}()
	if attempt.Reply == nil {
		if !streams && !attempt.dropped {
			exchange.avoidUnresponsive(attempt)
		}
		return false
	}
	if attempt.peer != nil && detourResult(exchange.takePeerState(attempt).Get(fieldResult)) != resultServer {
		exchange.mayHaveRun = true
		return false
	}
	switch {
	case attempt.NotRun:
	case !streams:
		attempt.readAhead = true
		exchange.bufferResponse(attempt)
	case attempt.Status == http.StatusOK:
		exchange.readFirstEvent(attempt)
	}
	switch {
	case attempt.dropped && attempt.NotRun:
	case attempt.dropped:
		exchange.recordRun()
	case second.firstEnded, exchange.goesOn(attempt):
		return true
	case attempt.NotRun:
		exchange.recordRefusal(attempt)
	case !streams:
		exchange.recordFailedCall(attempt)
	case attempt.Status != http.StatusOK:
		exchange.handleStreamFailure(attempt)
	default:
		exchange.recordResult(attempt, true)
		exchange.recordBrokenStream(attempt, attempt.readErr)
	}
	return false
}

// readFirstEvent reads an attempt until its first complete event or its end.
func (exchange *exchange) readFirstEvent(attempt *attempt) {
	buffer, _ := exchange.forwarder.buffers.Get().(*[copyBufferSize]byte)
	defer exchange.forwarder.buffers.Put(buffer)
	attempt.readAhead = true
	for attempt.readErr == nil && !attempt.dropped && !bytes.Contains(attempt.pending, eventSeparator) {
		exchange.readPending(attempt, buffer[:])
		if attempt.readErr == nil && len(attempt.pending) > maxEventBytes {
			attempt.readErr = errEventTooLong
		}
	}
}

// goesOn reports whether an attempt goes on with the request: the response to a plain call has arrived, a complete event
// of a stream, or the end of a stream whose events have all been delivered.
func (exchange *exchange) goesOn(attempt *attempt) bool {
	switch {
	case attempt.NotRun:
		return false
	case exchange.route.Kind != configuration.Streaming:
		return attempt.Status < http.StatusInternalServerError && (attempt.readErr == nil || exceedsBuffer(attempt.readErr))
	case attempt.Status != http.StatusOK:
		return false
	}
	return bytes.Contains(attempt.pending, eventSeparator) || (errors.Is(attempt.readErr, io.EOF) && exchange.checkComplete(attempt) == nil)
}

// dropSecond ends a second run that has not taken over.
func (exchange *exchange) dropSecond() {
	second := exchange.second
	if second == nil || second.dropped || second.takesOver {
		return
	}
	second.dropped = true
	if second.attempt != nil {
		second.attempt.dropped = true
		second.attempt.canceler.cancel()
	}
}

// awaitSecond waits for the second run if there is one, and returns its attempt if the request goes on with it.
func (exchange *exchange) awaitSecond() *attempt {
	second := exchange.second
	if second == nil {
		return nil
	}
	second.firstEnded = true
	exchange.mu.Unlock()
	<-second.done
	exchange.mu.Lock()
	exchange.second = nil
	if !second.takesOver {
		return nil
	}
	attempt := second.attempt
	exchange.reservation.ForceGrow(attempt.reservation.Bytes())
	attempt.reservation.Release()
	attempt.beside, attempt.reservation = false, &exchange.reservation
	if last := len(exchange.moves) - 1; last >= 0 && exchange.moves[last].Next == "" {
		exchange.moves[last].Next = attempt.target.ID
	}
	return attempt
}

// endRuns ends what runs when the handler ends, and releases the exchange.
func (exchange *exchange) endRuns() {
	exchange.dropSecond()
	second := exchange.second
	exchange.mu.Unlock()
	exchange.secondRuns.Wait()
	if second.tookOver() {
		second.attempt.reservation.Release()
		second.attempt.release()
	}
}

// openBeside returns the number of runs that are open beside the attempt.
func (attempt *attempt) openBeside() int {
	if attempt.beside {
		return 1
	}
	return 0
}
