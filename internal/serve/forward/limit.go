package forward

import (
	"log/slog"

	"hazelslip/internal/policy/ratelimit"
)

// limitLines are the log lines of what answers change of limits.
var limitLines = map[ratelimit.Change]string{
	ratelimit.Learnt:  "forward: a server named a limit.",
	ratelimit.Changed: "forward: a server changed its limit.",
	ratelimit.Ended:   "forward: a server names no limit any more.",
	ratelimit.Spoilt:  "forward: a server named a limit that can't be read.",
}

// noteLimit takes what an answer says of its server's limit.
func (exchange *exchange) noteLimit(leg *leg) {
	limits, told := exchange.forwarder.Limits, leg.Limit
	if !told.Named && told.Unreadable == "" && !limits.Any() {
		return
	}
	run := leg.target.ServerRun()
	before, _ := limits.Limit(run)
	change := limits.Answered(run, ratelimit.Answer{
		Named: told.Named, Rate: told.Rate, Unreadable: told.Unreadable, Refused: leg.NotRun, Began: leg.sent,
	})
	if change == ratelimit.Unchanged {
		return
	}
	if change != ratelimit.Spoilt {
		exchange.forwarder.LimitNews(run)
	}
	if now, _ := limits.Limit(run); change == ratelimit.Changed && !now.Differs(&before) {
		return
	}
	exchange.forwarder.Logger.LogAttrs(exchange.inbound.Context(), slog.LevelInfo, limitLines[change],
		slog.String("Server", leg.target.ID), slog.String("Group", leg.target.Group),
		slog.Float64("Rate", told.Rate), slog.Float64("Before", before.Rate), slog.String("Value", told.Unreadable),
		slog.String("RequestID", exchange.request.ID), slog.Int64("SentMillisecondsAgo", (exchange.forwarder.Now()-leg.sent).Milliseconds()),
		slog.Int("SentLately", limits.Gate(run).SentLately()))
}
