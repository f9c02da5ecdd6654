package forward

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"hazelslip/internal/peer/backendserver"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/memory"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/state/configuration"
)

// exchange is the state of one request in progress.
type exchange struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	inbound   *http.Request
	request   *Request
	snapshot  *configuration.Snapshot
	route     *configuration.Route
	service   string
	workspace string
	// regions are the regions whose servers may get the request, nil for all.
	regions []string
	// fingerprint identifies the request's content. It is set once the body has been read.
	fingerprint quarantine.Fingerprint
	// parts identify the parts of the prompt that other requests may share.
	parts []quarantine.Fingerprint
	// endedUnanswered is set once a server failed before it sent an event of the request.
	endedUnanswered bool
	// priority is the priority of the request's route or workspace.
	priority int
	// pastTarget is set if the caller has retried and the response can no longer meet the route's target.
	pastTarget bool
	arrived    time.Duration
	// deadline is when the response must be complete.
	deadline time.Duration
	// attempts counts the calls started, sentAttempts those sent off from this node, and runs those that may have
	// run.
	attempts        int
	sentAttempts    int
	runs            int
	excludedServers []string
	// mayHaveRun is set once a call was sent whose outcome is unknown.
	mayHaveRun  bool
	retryBudget *retry.WindowBudget
	// reservation is the part of the node's memory budget that the request takes, bodyReserved the part of it for
	// the request's body.
	reservation  memory.Reservation
	bodyReserved int64
	// responseStarted is set once the head of the response was written.
	responseStarted bool
	// fallback is a server's error response that is delivered if no other server does better.
	fallback   *response
	lastTarget targetInfo
	// moves are the calls that were given up for their targets' silence or loss.
	moves []move
	// mu guards the state of a request that is sent to servers. The handler holds it except while it waits for a
	// server or the caller.
	mu sync.Mutex
	// waitingFor is the attempt whose server the handler waits for.
	waitingFor *attempt
	// second is the run beside the handler's one, nil if there is none. secondRuns holds its goroutine,
	// secondRunCount counts such runs. nextSearchAt is when a target for the next one is sought.
	second         *secondRun
	secondRuns     conc.WaitGroup
	secondRunCount int
	nextSearchAt   time.Duration
	timing         eventTiming
	// outcome and cause tell why the request ended as it did.
	outcome Outcome
	cause   string
	// retryAfter is the retry delay for the caller, 0 for the default.
	retryAfter time.Duration
	// earliestRetry is the delay before which a retry is pointless, 0 if unknown.
	earliestRetry time.Duration
	// origin is set if a peer node sent the request on behalf of its caller. excludedPeers are the peer nodes to
	// which this node sent the request, lastPeer the last of them.
	origin        *detourOrigin
	excludedPeers []string
	lastPeer      string
	// ignoreReachability is set once no peer node accepted the request, so that servers are called even though they
	// seem unreachable.
	ignoreReachability bool
	// demandCounted is set once the stream was counted as demand.
	demandCounted bool
}

// eventTiming records when the events of a stream arrived, for the log.
type eventTiming struct {
	first, latest, longestPause time.Duration
}

// record records that events arrived, at a time since the request's arrival.
func (eventTiming *eventTiming) record(at time.Duration) {
	if eventTiming.first == 0 {
		eventTiming.first, eventTiming.latest = at, at
	}
	eventTiming.longestPause = max(eventTiming.longestPause, at-eventTiming.latest)
	eventTiming.latest = at
}

// targetInfo describes the target of the last call, for the log.
type targetInfo struct {
	server string
	group  string
	calls  int
}

// move is a call that was given up for one at another target, for the log.
type move struct {
	// Server is the server of the call, or the address of the node that the call went through.
	Server, Group      string
	Reason             dispatch.Reason
	SilentMilliseconds int64
	// Next is the server, or the node, that got the next call, empty if there was none.
	Next string
}

// recordMove records a call that was given up because its target was slow, silent or lost.
func (exchange *exchange) recordMove(attempt *attempt) {
	movement := attempt.call.Movement()
	if attempt.replaced != nil {
		movement = *attempt.replaced
	}
	if movement.Reason != "" {
		exchange.moves = append(exchange.moves, move{
			Server: attempt.target.ID, Group: attempt.target.Group, Reason: movement.Reason, SilentMilliseconds: movement.Silence.Milliseconds(),
		})
	}
}

// resolve determines the route, the workspace and the service of the request.
func (exchange *exchange) resolve() bool {
	request := exchange.request
	exchange.awaitReady()
	exchange.snapshot = exchange.forwarder.Configuration.Load()
	if !exchange.snapshot.HasVersion() {
		exchange.refuse(NoConfiguration, startupRetryDelay, "no configuration is loaded yet")
		return false
	}
	if request.ID == "" {
		exchange.deny(http.StatusBadRequest, Malformed, "request has no ID")
		return false
	}
	route, ok := exchange.snapshot.Match(request.Host, request.Path)
	if !ok {
		exchange.deny(http.StatusNotFound, NoRoute, "no route matches the request")
		return false
	}
	exchange.route = route
	exchange.priority = route.Priority
	exchange.restrictRegions(route.Regions)
	if !exchange.authenticate() {
		return false
	}
	exchange.pastTarget = route.Timeout > 0 && exchange.request.TimeLeft > 0 && route.Timeout-exchange.request.TimeLeft > route.Target
	exchange.service = pickService(route.Services, rand.Float64())
	exchange.retryBudget = exchange.forwarder.RetryBudget(exchange.service)
	if exchange.origin == nil {
		exchange.retryBudget.RecordRequest()
	}
	exchange.deadline = exchange.computeDeadline(responseMargin)
	return true
}

const (
	// startupWait is how long a request waits on a node that has just started and has no configuration or no
	// server list yet. The value is slightly more than that takes when all nodes start at once. Callers that were
	// refused instead found no node on their retry either.
	startupWait = 500 * time.Millisecond
	// startupWaitDivisor limits startupWait to a fraction of the caller's time, as a divisor.
	startupWaitDivisor = 4
)

// awaitReady waits briefly if the node has just started.
func (exchange *exchange) awaitReady() {
	ready := exchange.forwarder.Ready
	select {
	case <-ready:
		return
	default:
	}
	if ready == nil {
		return
	}
	wait := startupWait
	if left := exchange.request.TimeLeft; left > 0 {
		wait = min(wait, left/startupWaitDivisor)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ready:
	case <-timer.C:
	case <-exchange.inbound.Context().Done():
	}
}

// authenticate finds the workspace to which the caller's key belongs. What the caller claims about its workspace
// is never used.
func (exchange *exchange) authenticate() bool {
	if exchange.route.Anonymous || len(exchange.snapshot.Configuration.Workspaces) == 0 {
		return true
	}
	workspace, ok := exchange.callerWorkspace()
	if !ok {
		exchange.deny(http.StatusUnauthorized, UnknownKey, "unknown API key")
		return false
	}
	exchange.workspace = workspace.Name
	exchange.restrictRegions(workspace.Regions)
	if workspace.HasPriority {
		exchange.priority = workspace.Priority
	}
	return true
}

// restrictRegions restricts the request to regions, in addition to earlier restrictions. An empty list does not
// restrict.
func (exchange *exchange) restrictRegions(regions []string) {
	switch {
	case len(regions) == 0:
	case exchange.regions == nil:
		exchange.regions = regions
	default:
		exchange.regions = slices.DeleteFunc(slices.Clone(exchange.regions), func(region string) bool { return !slices.Contains(regions, region) })
	}
}

func pickService(services []configuration.WeightedService, draw float64) string {
	if len(services) == 0 {
		return ""
	}
	sum := 0
	for _, service := range services {
		sum += service.Weight
	}
	at := int(draw * float64(sum))
	for _, service := range services {
		if at < service.Weight {
			return service.Name
		}
		at -= service.Weight
	}
	return services[0].Name
}

// computeDeadline returns the earlier of the caller's deadline, less a margin, and the route's timeout.
func (exchange *exchange) computeDeadline(margin time.Duration) time.Duration {
	limit := time.Duration(0)
	if exchange.route.Timeout > 0 {
		limit = exchange.arrived + exchange.route.Timeout
	}
	if exchange.request.TimeLeft > 0 {
		callerLimit := exchange.arrived + exchange.request.TimeLeft - margin
		if limit == 0 || callerLimit < limit {
			limit = callerLimit
		}
	}
	if limit == 0 {
		limit = exchange.arrived + defaultTimeout
	}
	return limit
}

// useAllTime gives a response that has begun the caller's time to the end. The margin only serves a response that the
// node may still have to send itself.
func (exchange *exchange) useAllTime(attempt *attempt) {
	exchange.deadline = exchange.computeDeadline(0)
	attempt.timeout.Reset(exchange.timeLeft())
}

// defaultTimeout bounds requests for which neither the caller nor the route sets a time limit.
const defaultTimeout = 60 * time.Second

func (exchange *exchange) timeLeft() time.Duration {
	return exchange.limitToShutdown(exchange.deadline - exchange.forwarder.Now())
}

// callerGone reports whether the caller has closed its connection.
func (exchange *exchange) callerGone() bool {
	return exchange.inbound.Context().Err() != nil
}

// PoolName returns the name of the pool of targets that can run a request: the groups of a model, or the servers
// of a plain service.
func PoolName(service, model string) string {
	return service + "/" + model
}

func (exchange *exchange) poolName() string {
	service, ok := exchange.snapshot.Service(exchange.service)
	if ok && service.Engine != nil {
		return PoolName(exchange.service, exchange.request.Model)
	}
	return PoolName(exchange.service, "")
}

// mayRetry reports whether the request may be sent to a further server, and withdraws a retry from the budget if
// needed.
func (exchange *exchange) mayRetry() bool {
	if exchange.mayHaveRun && !exchange.route.Repeatable() {
		exchange.outcome = MustNotRepeat
		return false
	}
	if exchange.sentAttempts == 0 {
		// Nothing has reached a server yet, so this is not a retry.
		return true
	}
	if exchange.runs >= max(1, exchange.route.MaxAttempts) {
		exchange.outcome = AttemptsSpent
		return false
	}
	if exchange.endedUnanswered && slices.ContainsFunc(exchange.parts, exchange.forwarder.Quarantine.NearlyQuarantined) {
		exchange.outcome = Quarantined
		return false
	}
	if !exchange.withdrawRetry() {
		exchange.outcome = BudgetSpent
		return false
	}
	return true
}

// withdrawRetry withdraws a retry from the service's budget, and reports whether the budget had one.
func (exchange *exchange) withdrawRetry() bool {
	if !exchange.retryBudget.TryWithdraw() {
		exchange.logRefusedRetry()
		return false
	}
	exchange.forwarder.Counts.Repeats.Add(1)
	return true
}

// logRefusedRetry logs that the retry budget of the service is used up, at most once per second.
func (exchange *exchange) logRefusedRetry() {
	refused, usage, due := exchange.retryBudget.RefusalsToLog()
	if !due {
		return
	}
	exchange.forwarder.Logger.LogAttrs(exchange.inbound.Context(), slog.LevelWarn, "forward: the retry budget of a service is used up.",
		slog.String("Service", exchange.service), slog.Uint64("Refused", refused), slog.Int("Requests", usage.Requests), slog.Int("Retries", usage.Retries),
		slog.Int("FleetRequests", usage.FleetRequests), slog.Int("FleetRetries", usage.FleetRetries), slog.Float64("Allowed", usage.Allowed), slog.Float64("Left", usage.Left),
		slog.Int("Nodes", usage.Nodes), slog.Int("RecentStarts", usage.RecentStarts),
		slog.Int64("AgeMilliseconds", usage.AgeMilliseconds), slog.Int64("KnownMilliseconds", usage.KnownMilliseconds), slog.Int64("StaleMilliseconds", usage.StaleMilliseconds),
		slog.Int64("CompleteMilliseconds", usage.CompleteMilliseconds), slog.Int64("AgreedMilliseconds", usage.AgreedMilliseconds), slog.String("OldestNode", usage.OldestNode),
		slog.String("RequestID", exchange.request.ID))
}

// buildCall builds the call for one server.
func (exchange *exchange) buildCall(target *dispatch.Target) *backendserver.Call {
	request := exchange.request
	return &backendserver.Call{
		ID: request.ID, Method: request.Method, Target: request.Target, Host: request.Host, Header: request.Header,
		Body: request.Body, Address: target.Address, Server: target.ID, Workspace: exchange.workspace,
		TimeLeft: exchange.timeLeft() - hopMargin, Urgency: exchange.urgency(),
		LastEventID: request.LastEventID, Resumes: request.Resumes,
	}
}

// Ranks within one priority. A partly delivered response comes first: every pause in it counts, and stopping it
// wastes the part already delivered. Requests that can still meet their target come before those that cannot.
const (
	rankPartlyDelivered = iota
	rankFresh
	rankLate
	rankCount
)

// urgency returns the rank of the request at the server: by priority first, then by the cost of waiting.
func (exchange *exchange) urgency() int {
	rank := rankFresh
	switch {
	case exchange.partlyDelivered():
		rank = rankPartlyDelivered
	case exchange.pastTarget:
		rank = rankLate
	}
	return rankCount*exchange.priority + rank
}
