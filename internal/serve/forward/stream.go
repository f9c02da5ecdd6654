package forward

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/state/configuration"
)

const (
	// maxQueuedStreams is how many streams may queue at a group whose slots are all taken. A full group of
	// seventeen slots frees one every 50 to 90 ms, so four queued streams wait less than their target at a group
	// that has just filled up, and keep the group busy while the nodes' counts lag.
	maxQueuedStreams = 4
	// maxQueuedResumed is the same limit for a stream that resumes at another group. The caller already has a part
	// of the response, which a refusal would waste.
	maxQueuedResumed = 6
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// maxKeptBuffer is the largest buffer that is kept for the next events of a stream. An incomplete event that exceeds it
	// must fit into the memory budget.
	maxKeptBuffer = 16 << 10
)

// serveStream serves a request whose response is a stream of events.
func (exchange *exchange) serveStream() {
	if overload, shed := exchange.shouldShed(); shed {
		exchange.forwarder.Counts.Shed.Add(1)
		exchange.cause = fmt.Sprintf("stream of rank %d shed: pool can start %.0f calls/s, demand is %.0f calls/s, of which %.0f have priority",
			exchange.urgency(), overload.Capacity, overload.Requested, overload.HigherPriority)
		exchange.retryAfter = min(defaultRetryDelay, exchange.timeLeft()/retryDelayDivisor)
		exchange.recordNoSlot(nil, dispatch.Full)
		exchange.finishUnserved()
		return
	}
	for {
		if second := exchange.awaitSecond(); second != nil {
			if exchange.handleStreamAttempt(second) {
				return
			}
			continue
		}
		if exchange.timeLeft() <= minTimeLeft || exchange.callerGone() || exchange.quarantined() || !exchange.mayRetry() {
			break
		}
		maxQueued := exchange.maxQueued()
		target, verdict := exchange.pickGroup(maxQueued)
		if exchange.quarantined() {
			break
		}
		if verdict == dispatch.Unreachable && exchange.mayDetour() {
			if ended, sent := exchange.sendThroughPeers(exchange.handleStreamAttempt); ended {
				return
			} else if sent {
				continue
			}
			if !exchange.forwarder.Board.AllPathsLost(exchange.poolName()) {
				target, verdict = exchange.pickGroup(maxQueued)
			}
		}
		if verdict != dispatch.Chosen {
			exchange.recordNoSlot(target, verdict)
			break
		}
		if exchange.handleStreamAttempt(exchange.send(target, exchange.timeLeft())) {
			return
		}
	}
	exchange.finishUnserved()
}

// maxQueued returns how many calls may queue at a target that gets the request.
func (exchange *exchange) maxQueued() int {
	switch {
	case exchange.route.Kind != configuration.Streaming:
		return maxQueuedCalls
	case exchange.mayHaveRun:
		return maxQueuedResumed
	}
	return maxQueuedStreams
}

// recordNoSlot records why the stream got no group, and counts the stream as demand for which its pool has no
// slot.
func (exchange *exchange) recordNoSlot(target *dispatch.Target, verdict dispatch.Verdict) {
	exchange.recordNoTarget(target, verdict)
	exchange.countRefusedDemand()
}

// countRefusedDemand counts a stream that was refused because its pool has no slot. A stream received from a peer
// node is counted by that node.
func (exchange *exchange) countRefusedDemand() {
	if exchange.origin == nil && exchange.poolConfigured() && (exchange.outcome == Full || exchange.outcome == NoServer) {
		exchange.forwarder.Board.RecordRefusal(exchange.poolName())
	}
}

// shouldShed counts the stream as demand and reports whether the stream is refused because demand exceeds the
// capacity of its pool and other streams have priority. Streams are shed only in services whose streams have
// different priorities: by setting priorities, the operator defines which streams are refused so that others meet
// their target. Elsewhere, streams queue at the servers. A stream whose caller already has a part of the response
// is not shed.
func (exchange *exchange) shouldShed() (dispatch.Overload, bool) {
	if !exchange.poolConfigured() || exchange.origin.demandCounted() {
		return dispatch.Overload{}, false
	}
	board, pool, rank := exchange.forwarder.Board, exchange.poolName(), exchange.urgency()
	if !exchange.demandCounted {
		exchange.demandCounted = true
		defer board.RecordDemand(pool, rank)
	}
	if !exchange.snapshot.PrioritizesStreams(exchange.service) || exchange.request.Resumes {
		return dispatch.Overload{}, false
	}
	return board.ShouldShed(pool, rank, dispatch.Criteria{Regions: exchange.regions})
}

// poolConfigured reports whether the configuration knows the stream's pool. Callers choose model names freely, and
// demand is stored and reported for each pool, so that unknown model names must not be counted.
func (exchange *exchange) poolConfigured() bool {
	service, ok := exchange.snapshot.Service(exchange.service)
	if !ok || service.Engine == nil {
		return ok
	}
	_, ok = service.Engine.Model(exchange.request.Model)
	return ok
}

const (
	// slotWaitFraction is the fraction of its target that a stream may wait on this node for a slot. A full pool
	// frees a slot every few milliseconds, and a caller that would wait longer is better refused at once.
	slotWaitFraction = 0.12
	// resumedSlotWait is how long a partly delivered stream may wait for a slot. Callers abandon a stream only
	// after seconds.
	resumedSlotWait = 900 * time.Millisecond
	// pollInterval is the time between two checks while a request waits.
	pollInterval = 8 * time.Millisecond
)

// pickGroup picks a group and waits briefly for a slot if all groups are full. A partly delivered response that finds
// none in that time goes to a group that is avoided, which may be sound, rather than being cut.
func (exchange *exchange) pickGroup(maxQueued int) (*dispatch.Target, dispatch.Verdict) {
	wait := exchange.slotWait()
	if exchange.partlyDelivered() {
		wait = resumedSlotWait
	}
	target, verdict := exchange.pickWithWait(wait, maxQueued, func(verdict dispatch.Verdict) bool {
		return verdict != dispatch.Chosen && verdict != dispatch.Unreachable && (verdict != dispatch.NoTarget || exchange.partlyDelivered())
	})
	if exchange.partlyDelivered() && (verdict == dispatch.NoTarget || verdict == dispatch.Full) && exchange.timeLeft() > minTimeLeft && !exchange.callerGone() {
		criteria := exchange.criteria(maxQueued)
		criteria.IncludeAvoided = true
		return exchange.forwarder.Board.Pick(exchange.poolName(), criteria)
	}
	return target, verdict
}

// slotWait returns how long a request may wait on this node for a slot before any response has started.
func (exchange *exchange) slotWait() time.Duration {
	return time.Duration(slotWaitFraction * float64(exchange.route.Target))
}

// pickWithWait picks a target. As long as keepWaiting accepts the verdict, pickWithWait picks again until the wait is over.
func (exchange *exchange) pickWithWait(wait time.Duration, maxQueued int, keepWaiting func(verdict dispatch.Verdict) bool) (*dispatch.Target, dispatch.Verdict) {
	deadline := exchange.forwarder.Now() + wait
	var stopWaiting func()
	for {
		target, verdict := exchange.forwarder.Board.Pick(exchange.poolName(), exchange.criteria(maxQueued))
		if !keepWaiting(verdict) || exchange.backoffOutlastsWait(target, verdict, deadline) || exchange.forwarder.Now()+pollInterval > deadline || exchange.timeLeft() < 2*minTimeLeft || exchange.callerGone() || exchange.quarantined() {
			return target, verdict
		}
		if verdict == dispatch.RateLimited && stopWaiting == nil {
			stopWaiting = target.AwaitPermit(exchange.urgency())
			defer stopWaiting()
			exchange.forwarder.RequestPermits()
		}
		time.Sleep(pollInterval)
	}
}

// criteria returns the conditions for the request's next target.
func (exchange *exchange) criteria(maxQueued int) dispatch.Criteria {
	return dispatch.Criteria{
		DataCentre: exchange.forwarder.DataCentre, Exclude: exchange.excludedServers, MaxQueued: maxQueued, PreferActive: exchange.mayHaveRun,
		Urgency: exchange.urgency(), Regions: exchange.regions, ReachableOnly: exchange.reachedOnly(),
	}
}

// backoffOutlastsWait reports whether the wait ends before the backoff of any server does. The caller is then
// refused at once, unless it already has a part of the response: a new group may form in the meantime.
func (exchange *exchange) backoffOutlastsWait(target *dispatch.Target, verdict dispatch.Verdict, deadline time.Duration) bool {
	return verdict == dispatch.BackedOff && !exchange.partlyDelivered() && target.BackoffEndsAt() > deadline
}

// handleStreamAttempt relays the events of one attempt and reports whether the request has ended.
func (exchange *exchange) handleStreamAttempt(attempt *attempt) bool {
	defer attempt.release()
	if attempt.Reply == nil {
		return false
	}
	switch {
	case attempt.NotRun:
		exchange.recordRefusal(attempt)
		return false
	case attempt.Status != http.StatusOK:
		return exchange.handleStreamFailure(attempt)
	}
	err := exchange.relayEvents(attempt)
	exchange.recordResult(attempt, err != nil)
	if err == nil {
		exchange.recordSuccess(attempt)
		exchange.log(http.StatusOK)
		return true
	}
	exchange.recordBrokenStream(attempt, err)
	return false
}

// recordBrokenStream records that the stream of an attempt ended before it was complete.
func (exchange *exchange) recordBrokenStream(attempt *attempt, err error) {
	exchange.recordMove(attempt)
	exchange.recordRun()
	exchange.recordServerFailure(attempt, err)
	exchange.cause = "relay the stream of server " + attempt.target.ID + ": " + err.Error()
	if attempt.call.Moved() {
		exchange.cause = "group " + attempt.target.Group + " stalled"
	}
	exchange.excludedServers = append(exchange.excludedServers, attempt.target.ID)
}

// handleStreamFailure handles a response other than 200 from a group.
func (exchange *exchange) handleStreamFailure(attempt *attempt) bool {
	exchange.excludedServers = append(exchange.excludedServers, attempt.target.ID)
	exchange.cause = "server " + attempt.target.ID + " responded with status " + strconv.Itoa(attempt.Status)
	if exchange.responseStarted || attempt.beside {
		exchange.recordResult(attempt, attempt.Status >= http.StatusInternalServerError)
		exchange.recordRun()
		return false
	}
	received, err := exchange.readResponse(attempt)
	exchange.recordResult(attempt, err != nil || attempt.Status >= http.StatusInternalServerError)
	if err != nil {
		exchange.recordServerFailure(attempt, err)
		exchange.recordRun()
		return false
	}
	if received.relayed {
		return true
	}
	if attempt.Status >= http.StatusInternalServerError && exchange.mayRetryFailure() {
		exchange.recordRun()
		exchange.setFallback(received)
		return false
	}
	exchange.deliver(received)
	return true
}

// errEventGap means that a stream does not continue after the last delivered event.
var errEventGap = errors.New("event IDs are not consecutive")

// relayEvents relays the complete events of one attempt. It returns nil when the stream is complete.
func (exchange *exchange) relayEvents(attempt *attempt) error {
	buffer, _ := exchange.forwarder.buffers.Get().(*[copyBufferSize]byte)
	defer exchange.forwarder.buffers.Put(buffer)
	defer attempt.releasePending()
	for {
		if !attempt.readAhead {
			exchange.readPending(attempt, buffer[:])
		}
		attempt.readAhead = false
		if exchange.second.tookOver() {
			return errSuperseded
		}
		complete := bytes.LastIndex(attempt.pending, eventSeparator) + len(eventSeparator)
		if complete >= len(eventSeparator) {
			if err := exchange.forwardEvents(attempt, attempt.pending[:complete]); err != nil {
				return err
			}
			attempt.pending = append(attempt.pending[:0], attempt.pending[complete:]...)
			if attempt.reserved > maxKeptBuffer && len(attempt.pending) == 0 {
				attempt.releasePending()
			}
		}
		switch err := attempt.readErr; {
		case errors.Is(err, io.EOF):
			return exchange.checkComplete(attempt)
		case err != nil:
			return err
		case len(attempt.pending) > maxEventBytes:
			return errEventTooLong
		}
	}
}

var (
	// errSuperseded means that a second run went on with the stream first.
	errSuperseded = errors.New("a second run went on first")
	// errEventTooLong means that an event exceeds maxEventBytes.
	errEventTooLong = errors.New("event exceeds the size limit")
)

var eventSeparator = []byte("\n\n")

// readPending reads what arrives next for an attempt. Up to maxKeptBuffer bytes are kept whether they fit into the memory
// budget or not, since a stream with ordinary events is not aborted for lack of memory.
func (exchange *exchange) readPending(attempt *attempt, buffer []byte) {
	n, err := exchange.readReply(attempt, buffer)
	attempt.pending, attempt.readErr = append(attempt.pending, buffer[:n]...), err
	grown := int64(cap(attempt.pending)) - attempt.reserved
	switch {
	case grown <= 0:
		return
	case attempt.reserved+grown <= maxKeptBuffer:
		attempt.reservation.ForceGrow(grown)
	case !attempt.reservation.Grow(grown):
		// What was read is not reserved whole. The caller forwards the complete events in it and drops the rest.
		attempt.readErr = errMemoryExhausted
		return
	}
	attempt.reserved += grown
}

// readReply reads from an attempt's server and releases the exchange meanwhile.
func (exchange *exchange) readReply(attempt *attempt, buffer []byte) (int, error) {
	exchange.wait(attempt)
	defer exchange.resume(attempt)
	return attempt.Read(buffer)
}

// releasePending frees the memory of what was read for an attempt and not relayed.
func (attempt *attempt) releasePending() {
	attempt.reservation.Shrink(attempt.reserved)
	attempt.pending, attempt.reserved = nil, 0
}

// checkComplete returns an error unless the stream ended as a complete one does. A stream with neither a length nor
// chunks ends with its connection; one that ends inside an event, or without any, has been broken off.
func (exchange *exchange) checkComplete(attempt *attempt) error {
	switch {
	case !attempt.Framed() && (len(attempt.pending) > 0 || attempt.events == 0):
		return errors.Wrap(io.ErrUnexpectedEOF, "the connection of the stream ended inside an event or without one")
	case len(attempt.pending) > 0:
		return errors.New("stream ended in the middle of an event")
	case !exchange.responseStarted:
		return errors.New("stream ended without an event")
	}
	return nil
}

// forwardEvents relays complete events in one write and records the ID of the last one.
func (exchange *exchange) forwardEvents(attempt *attempt, events []byte) error {
	last, err := lastEventID(events, exchange.request.LastEventID, exchange.request.Resumes)
	if err != nil {
		return err
	}
	exchange.dropSecond()
	count := bytes.Count(events, eventSeparator)
	attempt.events += count
	attempt.call.RecordEvents(count)
	receivedAt := exchange.forwarder.Now()
	exchange.timing.record(receivedAt - exchange.arrived)
	if !exchange.responseStarted {
		// The headers are written only now: an error response sent instead must not carry the server's headers.
		exchange.copyHeaders(attempt.Header)
		exchange.responseStarted = true
		exchange.useAllTime(attempt)
		exchange.writer.WriteHeader(http.StatusOK)
	}
	attempt.call.PauseReading()
	err = exchange.writeEvents(events)
	attempt.call.ResumeReading()
	if err != nil {
		return errors.Wrap(err, "write events to the caller")
	}
	attempt.call.RecordForwardTime(exchange.forwarder.Now() - receivedAt)
	if last >= 0 {
		exchange.request.LastEventID = last
		exchange.request.Resumes = true
	}
	return nil
}

// writeEvents returns once the caller's connection has accepted the events. A slow caller thus slows down the
// server, and nothing is buffered for the caller on this node. The exchange is released meanwhile.
func (exchange *exchange) writeEvents(events []byte) error {
	exchange.mu.Unlock()
	defer exchange.mu.Lock()
	if _, err := exchange.writer.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(exchange.writer).Flush()
}

var eventIDField = []byte("id:")

// lastEventID returns the ID of the last event in events, or -1 if no event has one. IDs must increase by one from
// event to event.
func lastEventID(events []byte, previous int64, resumes bool) (int64, error) {
	last := int64(-1)
	if resumes {
		last = previous
	}
	for len(events) > 0 {
		line, rest, _ := bytes.Cut(events, []byte("\n"))
		events = rest
		value, found := bytes.CutPrefix(line, eventIDField)
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "parse an event ID")
		}
		if last >= 0 && id != last+1 {
			return 0, errors.Wrapf(errEventGap, "event %d follows event %d", id, last)
		}
		last = id
	}
	return last, nil
}
