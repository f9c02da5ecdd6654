package forward

import (
	"log/slog"
	"net/http"
	"time"

	"hazelslip/internal/state/configuration"
)

// Outcome says how a request ended, for logs and counters.
type Outcome string

// The outcomes of requests.
const (
	Answered Outcome = "Answered"
	// NoConfiguration: this node has just started.
	NoConfiguration Outcome = "NoConfiguration"
	Malformed       Outcome = "Malformed"
	NoRoute         Outcome = "NoRoute"
	UnknownKey      Outcome = "UnknownKey"
	// NoServer: no group of the model, or no server of the service, is known to
	// serve. Full: all have as many calls as they may.
	// Limited: only servers could take it that name a limit, which is used up.
	// BackedOff: only servers could take it that asked for a backoff.
	// Unreached: this node reaches none that could take it, and no other node did.
	NoServer  Outcome = "NoServer"
	Unreached Outcome = "Unreached"
	Limited   Outcome = "Limited"
	BackedOff Outcome = "BackedOff"
	Full      Outcome = "Full"
	// Broken: the connection or the stream broke, and nothing more was tried.
	Broken Outcome = "Broken"
	// MustNotRepeat, AttemptsSpent and BudgetSpent say why nothing more was
	// tried after a failure.
	MustNotRepeat Outcome = "MustNotRepeat"
	AttemptsSpent Outcome = "AttemptsSpent"
	BudgetSpent   Outcome = "BudgetSpent"
	// Quarantined: servers ended that ran it, so that it is sent to none any more.
	Quarantined Outcome = "Quarantined"
	// OutOfMemory: the body didn't fit into the node's budget of memory and was not read.
	OutOfMemory Outcome = "OutOfMemory"
	// TimeUp: the caller's deadline or the route's timeout has passed.
	TimeUp     Outcome = "TimeUp"
	CallerLeft Outcome = "CallerLeft"
	// ServerFailed: the server's own failure was passed on.
	ServerFailed Outcome = "ServerFailed"
)

// Summary is a request that ended.
type Summary struct {
	Route        string
	Kind         configuration.Kind
	Status       int
	Outcome      Outcome
	Attempts     int
	FirstEvent   time.Duration
	LongestPause time.Duration
	Took         time.Duration
}

// log writes the one line of a request that ended, and counts it.
func (exchange *exchange) log(status int) {
	level := slog.LevelInfo
	if status < http.StatusOK || status >= http.StatusMultipleChoices {
		level = slog.LevelWarn
	}
	if exchange.outcome == "" {
		exchange.outcome = Broken
	}
	if status == http.StatusOK {
		exchange.outcome = Answered
	}
	summary := exchange.summary(status)
	exchange.forwarder.Ended(summary)
	exchange.forwarder.Logger.LogAttrs(exchange.inbound.Context(), level, "forward: a request ended.",
		slog.String("RequestID", exchange.request.ID), slog.String("Route", summary.Route),
		slog.String("Workspace", exchange.workspace), slog.Int("Status", status),
		slog.String("Outcome", string(exchange.outcome)), slog.String("Cause", exchange.cause),
		slog.String("Fingerprint", exchange.fingerprint.String()),
		slog.Int("Attempts", exchange.attempts), slog.Bool("MayHaveRun", exchange.mayHaveRun),
		slog.String("Via", exchange.via), slog.String("For", exchange.inward.sender()),
		slog.String("Server", exchange.last.server), slog.String("Group", exchange.last.group), slog.Int("Taken", exchange.last.taken),
		slog.Int64("ConfigurationVersion", exchange.snapshotVersion()),
		slog.Int64("FirstEventMilliseconds", summary.FirstEvent.Milliseconds()),
		slog.Int64("LongestPauseMilliseconds", summary.LongestPause.Milliseconds()),
		slog.Int64("Milliseconds", summary.Took.Milliseconds()))
}

func (exchange *exchange) summary(status int) Summary {
	summary := Summary{
		Status: status, Outcome: exchange.outcome, Attempts: exchange.attempts,
		FirstEvent: exchange.pace.first, LongestPause: exchange.pace.longest,
		Took: exchange.forwarder.Now() - exchange.arrived,
	}
	if exchange.route != nil {
		summary.Route, summary.Kind = exchange.route.Name, exchange.route.Kind
	}
	return summary
}

func (exchange *exchange) snapshotVersion() int64 {
	if exchange.snapshot == nil {
		return 0
	}
	return exchange.snapshot.Configuration.Version
}
