package forward

import (
	"io"
	"log/slog"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/quarantine"
)

// noteEnd notes that a server ended while it had the call, if it seems so.
func (exchange *exchange) noteEnd(leg *leg, err error) {
	if leg.peer != nil || exchange.gone() || leg.use.Quarantined() || !serverEnded(leg, err) {
		return
	}
	if !leg.use.Moved() {
		leg.target.RecordBrokenConnection()
	}
	forwarder := exchange.forwarder
	forwarder.Counts.ServerEnds.Add(1)
	ends := exchange.suspect(leg.target, leg.use.Moved())
	forwarder.Logger.LogAttrs(exchange.inbound.Context(), slog.LevelWarn, "forward: a server ended under a request.",
		slog.String("RequestID", exchange.request.ID), slog.String("Fingerprint", exchange.fingerprint.String()),
		slog.Int("Ends", ends), slog.String("Server", leg.target.ID), slog.String("Group", leg.target.Group),
		slog.Int("Attempt", exchange.attempts), slog.Bool("StoodStill", leg.use.Moved()), slog.Int64("EventsUpTo", exchange.request.After),
		slog.Int64("SentMillisecondsAgo", (forwarder.Now()-leg.sent).Milliseconds()), slog.String("Cause", err.Error()))
}

// suspect notes that a target's server ended under the request, and returns how many did.
// Of a group that only stood still that is to be confirmed.
func (exchange *exchange) suspect(target *dispatch.Target, stoodStill bool) int {
	list := exchange.forwarder.Quarantine
	if !target.PathHealthy() {
		// This node may have lost its way there, which ends the calls at all servers at once.
		exchange.forwarder.Unsure(target, exchange.fingerprint)
		return 0
	}
	if stoodStill && !target.MemberLost() {
		list.RecordStall(exchange.fingerprint, target.Group, target.Key())
		return 0
	}
	ends, news := list.RecordFailure(exchange.fingerprint, target.Key())
	if news {
		exchange.forwarder.Suspected(exchange.fingerprint)
	}
	return ends
}

// serverEnded says whether a call broke off in a way that the end of its server does:
// the connection was closed or reset, or the group lost a member and stood still. A
// call that this node ended, or that took too long, says nothing of its server.
func serverEnded(leg *leg, err error) bool {
	return leg.use.Moved() || errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// noteServed notes that the request was answered whole, which one of which servers end
// never is. An answer without a length may have been cut by such an end, and says nothing.
func (exchange *exchange) noteServed(leg *leg) {
	if leg.peer != nil || !leg.Framed() || !exchange.forwarder.Quarantine.RecordSuccess(exchange.fingerprint) {
		return
	}
	exchange.forwarder.Suspected(exchange.fingerprint)
	exchange.forwarder.Logger.LogAttrs(exchange.inbound.Context(), slog.LevelInfo, "forward: a request under which a server had ended was answered.",
		slog.String("RequestID", exchange.request.ID), slog.String("Fingerprint", exchange.fingerprint.String()))
}

// quarantined says whether the request must reach no server any more: so many ended
// that ran it that the next would as well, with the calls of all others there.
func (exchange *exchange) quarantined() bool {
	verdict, refused := exchange.forwarder.Quarantine.Quarantined(exchange.fingerprint)
	if !refused {
		return false
	}
	if exchange.outcome != Quarantined {
		exchange.forwarder.Counts.Quarantined.Add(1)
	}
	exchange.outcome, exchange.again = Quarantined, verdict.Remaining
	exchange.cause = explain(verdict, exchange.forwarder.Now())
	return true
}

// explain tells in words why a request is refused.
func explain(verdict quarantine.Verdict, now time.Duration) string {
	runs := make([]string, 0, len(verdict.Failures))
	for _, end := range verdict.Failures {
		runs = append(runs, end.Run)
	}
	last := verdict.Failures[len(verdict.Failures)-1].At
	return "servers ended that ran it: " + strings.Join(runs, ", ") + "; the last " +
		strconv.FormatInt((now-last).Milliseconds(), 10) + " ms ago"
}
