package forward

import (
	"io"
	"log/slog"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/policy/quarantine"
)

// recordServerFailure records that a server failed while it was running the call, if the error suggests so.
func (exchange *exchange) recordServerFailure(attempt *attempt, err error) {
	if attempt.peer != nil || exchange.callerGone() || attempt.call.Quarantined() || !isServerFailure(attempt, err) {
		return
	}
	movement := attempt.call.Movement()
	if !attempt.call.Moved() {
		attempt.target.RecordBrokenConnection()
	}
	forwarder := exchange.forwarder
	forwarder.Counts.ServerEnds.Add(1)
	if attempt.events == 0 {
		exchange.endedUnanswered = true
	}
	failures := exchange.reportFailures(attempt, attempt.call.Moved())
	forwarder.Logger.LogAttrs(exchange.inbound.Context(), slog.LevelWarn, "forward: a server failed during a request.",
		slog.String("RequestID", exchange.request.ID), slog.String("Fingerprint", exchange.fingerprint.String()),
		slog.Int("Ends", failures), slog.String("Server", attempt.target.ID), slog.String("Group", attempt.target.Group),
		slog.Any("Parts", exchange.request.PromptParts), slog.Int("EventsOfRun", attempt.events),
		slog.Int("Attempt", exchange.attempts), slog.Bool("StoodStill", attempt.call.Moved()),
		slog.String("GivenUpFor", string(movement.Reason)), slog.Int64("SilentMilliseconds", movement.Silence.Milliseconds()), slog.Int64("EventsUpTo", exchange.request.LastEventID),
		slog.Int64("SentMillisecondsAgo", (forwarder.Now()-attempt.startedAt).Milliseconds()), slog.String("Cause", err.Error()))
}

// recordSuspicion records that the target of an attempt is suspected. A stall counts as a failure only once the loss
// of the group is confirmed, which may happen long before the run ends.
func (exchange *exchange) recordSuspicion(attempt *attempt) {
	if attempt.suspected || attempt.peer != nil || attempt.call.Quarantined() {
		return
	}
	exchange.reportFailures(attempt, true)
	attempt.suspected = true
}

// reportFailures reports that a target's server failed, or stalled, during the request, and returns the number of such
// failures. The parts of the prompt are suspected as well unless the server had sent an event: a server that fails under
// a part fails when it begins to answer.
func (exchange *exchange) reportFailures(attempt *attempt, stalled bool) int {
	failures := exchange.reportFailure(attempt, stalled, quarantine.Subject{Fingerprint: exchange.fingerprint})
	if attempt.events > 0 {
		return failures
	}
	for _, part := range exchange.parts {
		exchange.reportFailure(attempt, stalled, quarantine.Subject{Fingerprint: part, Part: true})
	}
	return failures
}

// reportFailure reports that a target's server failed, or stalled, under a subject, and returns the number of such
// failures. The failure of a stalled group counts only once it is confirmed.
func (exchange *exchange) reportFailure(attempt *attempt, stalled bool, subject quarantine.Subject) int {
	list, target := exchange.forwarder.Quarantine, attempt.target
	if !target.PathHealthy() {
		// This node may have lost the network path to the server, which ends the calls at all servers there at
		// once.
		exchange.forwarder.OnUnconfirmedFailure(target, subject, stalled)
		return 0
	}
	if stalled && !target.MemberLost() {
		if !attempt.suspected {
			list.RecordStall(subject, target.Group, target.Key())
		}
		return 0
	}
	failures, changed := list.RecordFailure(subject, target.Key())
	if changed {
		exchange.forwarder.OnQuarantineChange(subject.Fingerprint)
	}
	return failures
}

// isServerFailure reports whether a call failed in the way that a failing server causes: the connection was closed
// or reset, or the group lost a member and stalled. A call that this node canceled, or that timed out, says
// nothing about its server.
func isServerFailure(attempt *attempt, err error) bool {
	return attempt.call.Moved() || errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// recordSuccess records that the request got a complete response, which a request that makes servers fail never
// does. A response without a length may have been cut off by such a failure and does not count, but its events clear
// the parts of the prompt.
func (exchange *exchange) recordSuccess(attempt *attempt) {
	if attempt.peer != nil || (!attempt.Framed() && attempt.events == 0) {
		return
	}
	for _, part := range exchange.parts {
		if exchange.forwarder.Quarantine.RecordSuccess(part) {
			exchange.forwarder.OnQuarantineChange(part)
		}
	}
	if !attempt.Framed() || !exchange.forwarder.Quarantine.RecordSuccess(exchange.fingerprint) {
		return
	}
	exchange.forwarder.OnQuarantineChange(exchange.fingerprint)
	exchange.forwarder.Logger.LogAttrs(exchange.inbound.Context(), slog.LevelInfo, "forward: a request during which a server had failed was answered.",
		slog.String("RequestID", exchange.request.ID), slog.String("Fingerprint", exchange.fingerprint.String()))
}

// quarantined reports whether the request may not be sent to any server any more: so many servers failed while
// running it that the next one would fail too, together with the calls of other callers there.
func (exchange *exchange) quarantined() bool {
	verdict, part, refused := exchange.quarantineVerdict()
	if !refused {
		return false
	}
	if exchange.outcome != Quarantined {
		exchange.forwarder.Counts.Quarantined.Add(1)
	}
	exchange.outcome, exchange.retryAfter = Quarantined, verdict.Remaining
	exchange.cause = describeVerdict(verdict, exchange.forwarder.Now())
	if part != "" {
		exchange.cause = "part " + part + " of the prompt: " + exchange.cause
	}
	return true
}

// quarantineVerdict reports whether the request is quarantined, why, and for which part of its prompt if it is for one.
func (exchange *exchange) quarantineVerdict() (verdict quarantine.Verdict, part string, refused bool) {
	verdict, refused = exchange.forwarder.Quarantine.Quarantined(exchange.fingerprint)
	for number := 0; number < len(exchange.parts) && !refused; number++ {
		verdict, refused = exchange.forwarder.Quarantine.Quarantined(exchange.parts[number])
		part = exchange.request.PromptParts[number]
	}
	return verdict, part, refused
}

// describeVerdict explains why a request is quarantined.
func describeVerdict(verdict quarantine.Verdict, now time.Duration) string {
	runs := make([]string, 0, len(verdict.Failures))
	for _, failure := range verdict.Failures {
		runs = append(runs, failure.Run)
	}
	last := verdict.Failures[len(verdict.Failures)-1].At
	return "servers failed while running the request: " + strings.Join(runs, ", ") + "; last failure " +
		strconv.FormatInt((now-last).Milliseconds(), 10) + " ms ago"
}
