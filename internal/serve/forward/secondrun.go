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

// A run is given up only for something better. While the target of a stream's run is suspected, the stream may have a
// second run at another target. The first run stays open, and the first of the two that goes on wins:
//
//   - An event of the first run ends the second one.
//   - The first complete event of the second run ends the first one, and the second takes over.
//   - If the first run ends, the request waits for the second one instead of starting a third.
//   - If the second run ends without an event, another one may follow while the suspicion lasts.
//
// The handler relays the first run, and a goroutine makes the second one until its first complete event. The mutex of
// the exchange guards the request's state. Both release it while they wait for the network, so that a stream whose
// target is not suspected needs neither a goroutine nor a channel.

// secondSearchInterval is the time between two searches for a target of a second run, if the last one found none.
const secondSearchInterval = 100 * time.Millisecond

// secondRun is a run beside the one that the handler waits for.
type secondRun struct {
	first     *attempt
	suspicion dispatch.Suspicion
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
// the targets and never waits: while the handler works on the request, its run goes on.
func (exchange *exchange) suspect(attempt *attempt, suspicion dispatch.Suspicion) {
	if !exchange.mu.TryLock() {
		return
	}
	defer exchange.mu.Unlock()
	if exchange.waitingFor != attempt || exchange.callerGone() {
		return
	}
	exchange.recordSuspicion(attempt)
	if exchange.second != nil || exchange.forwarder.Now() < exchange.nextSearchAt || !exchange.mayRunTwice(attempt) {
		return
	}
	second := &secondRun{first: attempt, suspicion: suspicion, done: make(chan struct{})}
	exchange.second = second
	exchange.secondRuns.Go(func() { exchange.runSecond(second) })
}

// mayRunTwice reports whether a second run may start beside an attempt, as far as that does not depend on the retry
// budget and the targets.
func (exchange *exchange) mayRunTwice(first *attempt) bool {
	route := exchange.route
	switch _, _, quarantined := exchange.quarantineVerdict(); {
	case route.Kind != configuration.Streaming, !route.Repeatable(), exchange.runs+1 >= route.MaxAttempts, exchange.timeLeft() <= minTimeLeft, quarantined:
		return false
	case exchange.responseStarted && !exchange.request.Resumes:
		// Without event IDs, no server can go on after the last delivered event.
		return false
	case first.events == 0 || exchange.endedUnanswered:
		return !slices.ContainsFunc(exchange.parts, exchange.forwarder.Quarantine.NearlyQuarantined)
	}
	return true
}

// runSecond makes a second run until its first complete event.
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
		second.first.call.GiveUp(dispatch.Suspicion{Reason: second.suspicion.Reason, Silence: second.first.call.Silence()})
	case !second.takesOver:
		exchange.second = nil
		if !second.firstEnded {
			exchange.lastTarget, exchange.lastPeer, exchange.cause = lastTarget, lastPeer, cause
		}
	}
}

// startSecond sends the request to another target. It reports whether a target was free and a retry allowed.
func (exchange *exchange) startSecond(second *secondRun) bool {
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
	attempt.beside = true
	second.attempt = attempt
	exchange.secondRunCount++
}

// followSecond reads a second run until its first complete event, and reports whether the handler is to go on with it.
// If not, the attempt is recorded and released.
func (exchange *exchange) followSecond(second *secondRun) (takesOver bool) {
	attempt := second.attempt
	if attempt.Reply == nil {
		attempt.release()
		return false
	}
	defer func() {
		if !takesOver {
			exchange.releasePending(attempt)
			attempt.release()
		}
	}()
	if attempt.peer != nil && detourResult(exchange.takePeerState(attempt).Get(fieldResult)) != resultServer {
		exchange.mayHaveRun = true
		return false
	}
	if attempt.Status == http.StatusOK && !attempt.NotRun {
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

// goesOn reports whether an attempt has gone on with the stream: a complete event has arrived, or the end of a stream
// whose events have all been delivered.
func (exchange *exchange) goesOn(attempt *attempt) bool {
	if attempt.NotRun || attempt.Status != http.StatusOK {
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
	second.attempt.beside = false
	if last := len(exchange.moves) - 1; last >= 0 && exchange.moves[last].Next == "" {
		exchange.moves[last].Next = second.attempt.target.ID
	}
	return second.attempt
}

// endRuns ends what runs when the handler ends, and releases the exchange.
func (exchange *exchange) endRuns() {
	exchange.dropSecond()
	second := exchange.second
	exchange.mu.Unlock()
	exchange.secondRuns.Wait()
	if second.tookOver() {
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
