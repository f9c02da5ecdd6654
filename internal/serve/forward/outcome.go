package forward

import (
	"log/slog"
	"net/http"
	"time"

	"hazelslip/internal/state/configuration"
)

// Outcome is how a request ended, for logs and counters.
type Outcome string

// Outcomes of requests.
const (
	Answered Outcome = "Answered"
	// NoConfiguration: the node has just started and has no configuration.
	NoConfiguration Outcome = "NoConfiguration"
	Malformed       Outcome = "Malformed"
	NoRoute         Outcome = "NoRoute"
	UnknownKey      Outcome = "UnknownKey"
	// NoServer: no group of the model, or no server of the service, is known to be serving.
	// Full: all groups or servers have as many calls as they may.
	// Limited: the only available servers announce a rate limit that is used up.
	// BackedOff: the only available servers asked for a backoff.
	// Unreached: this node reaches no server that could take the request, and no peer node accepted it.
	NoServer  Outcome = "NoServer"
	Unreached Outcome = "Unreached"
	Limited   Outcome = "Limited"
	BackedOff Outcome = "BackedOff"
	Full      Outcome = "Full"
	// Broken: the connection or the stream broke, and nothing more was tried.
	Broken Outcome = "Broken"
	// MustNotRepeat, AttemptsSpent and BudgetSpent: after a failure, the request was not retried because the route
	// allows no retry, all attempts were used, or the retry budget was exhausted.
	MustNotRepeat Outcome = "MustNotRepeat"
	AttemptsSpent Outcome = "AttemptsSpent"
	BudgetSpent   Outcome = "BudgetSpent"
	// Quarantined: servers failed while running the request, so that it is sent to no server any more.
	Quarantined Outcome = "Quarantined"
	// Stopping: the node is shutting down, and the request was complete too late to be served before that, or had no answer
	// by then.
	Stopping Outcome = "Stopping"
	// OutOfMemory: the body did not fit into the node's memory budget and was not read.
	OutOfMemory Outcome = "OutOfMemory"
	// TimeUp: the caller's deadline or the route's timeout has passed.
	TimeUp     Outcome = "TimeUp"
	CallerLeft Outcome = "CallerLeft"
	// ServerFailed: the server's own error response was passed on.
	ServerFailed Outcome = "ServerFailed"
)

// Summary describes a request that ended.
type Summary struct {
	Route        string
	Kind         configuration.Kind
	Status       int
	Outcome      Outcome
	Attempts     int
	FirstEvent   time.Duration
	LongestPause time.Duration
	Duration     time.Duration
}

// log writes the log line of a request that ended and reports the summary.
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
	exchange.forwarder.OnRequestEnd(summary)
	exchange.forwarder.Logger.LogAttrs(exchange.inbound.Context(), level, "forward: a request ended.",
		slog.String("RequestID", exchange.request.ID), slog.String("Route", summary.Route),
		slog.String("Workspace", exchange.workspace), slog.Int("Status", status),
		slog.String("Outcome", string(exchange.outcome)), slog.String("Cause", exchange.cause),
		slog.String("Fingerprint", exchange.fingerprint.String()),
		slog.Int("Attempts", exchange.attempts), slog.Bool("MayHaveRun", exchange.mayHaveRun),
		slog.String("Via", exchange.lastPeer), slog.String("For", exchange.origin.sender()),
		slog.String("Server", exchange.lastTarget.server), slog.String("Group", exchange.lastTarget.group), slog.Int("Taken", exchange.lastTarget.calls),
		slog.Any("Moves", exchange.moves), slog.Int("SecondRuns", exchange.secondRunCount),
		slog.Int64("ConfigurationVersion", exchange.snapshotVersion()),
		slog.Int64("FirstEventMilliseconds", summary.FirstEvent.Milliseconds()),
		slog.Int64("LongestPauseMilliseconds", summary.LongestPause.Milliseconds()),
		slog.Int64("Milliseconds", summary.Duration.Milliseconds()))
}

func (exchange *exchange) summary(status int) Summary {
	summary := Summary{
		Status: status, Outcome: exchange.outcome, Attempts: exchange.attempts,
		FirstEvent: exchange.timing.first, LongestPause: exchange.timing.longestPause,
		Duration: exchange.forwarder.Now() - exchange.arrived,
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
