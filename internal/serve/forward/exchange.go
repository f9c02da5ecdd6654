package forward

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"hazelslip/internal/peer/backendserver"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/memory"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/state/configuration"
)

// exchange is one request on its way.
type exchange struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	inbound   *http.Request
	request   *Request
	snapshot  *configuration.Snapshot
	route     *configuration.Route
	service   string
	workspace string
	// regions are those to whose servers the request may go, nil for all.
	regions []string
	// fingerprint tells what was asked; it is known once the body was read.
	fingerprint quarantine.Fingerprint
	// priority ranks the request by its route or workspace.
	priority int
	// late says that the caller has asked before, and that the answer can't be
	// in time any more.
	late    bool
	arrived time.Duration
	// deadline is when the answer must be complete.
	deadline time.Duration
	// attempts counts the calls begun, arrivals those that left this node, and
	// runs those that may have run.
	attempts int
	arrivals int
	runs     int
	exclude  []string
	// mayHaveRun is set when a call left whose fate is not known.
	mayHaveRun bool
	budget     *retry.Window
	// held is what the request holds of the node's memory, bodyHeld the part of it that is
	// the request's body.
	held     memory.Hold
	bodyHeld int64
	// begun says that the head of the answer was written.
	begun bool
	// fallback is a failure that a server answered; it is delivered if no other
	// server does better.
	fallback *answer
	last     dispatched
	pace     pace
	// outcome and cause tell why the request ended as it did.
	outcome Outcome
	cause   string
	// again is after which time the caller should come again, 0 for the usual.
	again time.Duration
	// notBefore is before which time coming again is of no use, 0 if that isn't known.
	notBefore time.Duration
	// inward is set where another node sent the request, whose caller is there. excludePeers are the nodes
	// that this one sent it through in vain, via the last.
	inward       *inward
	excludePeers []string
	via          string
	// straight says that no other node took the request, so that servers are called that seem out of reach.
	straight bool
	// asked says that the stream was counted as demand.
	asked bool
}

// pace is how the events of a stream came, for the log.
type pace struct {
	first, latest, longest time.Duration
}

// event notes that events came at a time since the request arrived.
func (pace *pace) event(at time.Duration) {
	if pace.first == 0 {
		pace.first, pace.latest = at, at
	}
	pace.longest = max(pace.longest, at-pace.latest)
	pace.latest = at
}

// dispatched is where the last call went, for the log.
type dispatched struct {
	server string
	group  string
	taken  int
}

// admit finds the route, the workspace and the service of the request.
func (exchange *exchange) admit() bool {
	request := exchange.request
	exchange.awaitReady()
	exchange.snapshot = exchange.forwarder.Configuration.Load()
	if !exchange.snapshot.Known() {
		exchange.refuse(NoConfiguration, retryUnknown, "no configuration is known yet")
		return false
	}
	if request.ID == "" {
		exchange.deny(http.StatusBadRequest, Malformed, "the request has no ID")
		return false
	}
	route, ok := exchange.snapshot.Match(request.Host, request.Path)
	if !ok {
		exchange.deny(http.StatusNotFound, NoRoute, "no route matches")
		return false
	}
	exchange.route = route
	exchange.priority = route.Priority
	exchange.confine(route.Regions)
	if !exchange.identify() {
		return false
	}
	exchange.late = route.Timeout > 0 && exchange.request.Left > 0 && route.Timeout-exchange.request.Left > route.Target
	exchange.service = pickService(route.Services, rand.Float64())
	exchange.budget = exchange.forwarder.Budget(exchange.service)
	if exchange.inward == nil {
		exchange.budget.Request()
	}
	exchange.deadline = exchange.timeLimit()
	return true
}

const (
	// startWait is how long a request waits at a node that has just started and knows no
	// configuration or no servers yet: a little more than that takes where all nodes
	// start at once. A caller that was refused instead found no node a second time.
	startWait = 500 * time.Millisecond
	// startPart is the part of the caller's time that it may be, as a divisor.
	startPart = 4
)

// awaitReady waits a moment for a node that has just started.
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
	wait := startWait
	if left := exchange.request.Left; left > 0 {
		wait = min(wait, left/startPart)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ready:
	case <-timer.C:
	case <-exchange.inbound.Context().Done():
	}
}

// identify finds the workspace that holds the caller's key. What the caller
// itself says of its workspace is never looked at.
func (exchange *exchange) identify() bool {
	if exchange.route.Anonymous || len(exchange.snapshot.Configuration.Workspaces) == 0 {
		return true
	}
	workspace, ok := exchange.holder()
	if !ok {
		exchange.deny(http.StatusUnauthorized, UnknownKey, "the key is not known")
		return false
	}
	exchange.workspace = workspace.Name
	exchange.confine(workspace.Regions)
	if workspace.HasPriority {
		exchange.priority = workspace.Priority
	}
	return true
}

// confine binds the request to some regions beside those that it was bound to before. None
// bind nothing.
func (exchange *exchange) confine(regions []string) {
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

// timeLimit is the earlier of the caller's deadline and the route's timeout.
func (exchange *exchange) timeLimit() time.Duration {
	limit := time.Duration(0)
	if exchange.route.Timeout > 0 {
		limit = exchange.arrived + exchange.route.Timeout
	}
	if exchange.request.Left > 0 {
		own := exchange.arrived + exchange.request.Left - answerMargin
		if limit == 0 || own < limit {
			limit = own
		}
	}
	if limit == 0 {
		limit = exchange.arrived + unlimited
	}
	return limit
}

// unlimited bounds requests for which neither caller nor route says how long.
const unlimited = 60 * time.Second

func (exchange *exchange) left() time.Duration {
	return exchange.deadline - exchange.forwarder.Now()
}

// gone says whether the caller has closed its connection.
func (exchange *exchange) gone() bool {
	return exchange.inbound.Context().Err() != nil
}

// PoolName names the targets that can run a request: the groups of its model,
// or the servers of a plain service.
func PoolName(service, model string) string {
	return service + "/" + model
}

func (exchange *exchange) pool() string {
	service, ok := exchange.snapshot.Service(exchange.service)
	if ok && service.Engine != nil {
		return PoolName(exchange.service, exchange.request.Model)
	}
	return PoolName(exchange.service, "")
}

// mayRepeat says whether the request may go to a further server, and draws on
// the budget for it.
func (exchange *exchange) mayRepeat() bool {
	if exchange.mayHaveRun && !exchange.route.Repeatable() {
		exchange.outcome = MustNotRepeat
		return false
	}
	if exchange.arrivals == 0 {
		// Nothing has reached a server yet, so this is no repeat.
		return true
	}
	if exchange.runs >= max(1, exchange.route.MaxAttempts) {
		exchange.outcome = AttemptsSpent
		return false
	}
	if !exchange.budget.Take() {
		exchange.outcome = BudgetSpent
		return false
	}
	exchange.forwarder.Counts.Repeats.Add(1)
	return true
}

// newCall makes the call for one server.
func (exchange *exchange) newCall(target *dispatch.Target) *backendserver.Call {
	request := exchange.request
	return &backendserver.Call{
		ID: request.ID, Method: request.Method, Target: request.Target, Host: request.Host, Header: request.Header,
		Body: request.Body, Address: target.Address, Server: target.ID, Workspace: exchange.workspace,
		TimeLeft: exchange.left() - hopAllowance, Urgency: exchange.urgency(),
		LastEventID: request.After, Resumes: request.Continues,
	}
}

// The ranks within one priority. An answer that callers already read goes
// first: each pause in it counts, and stopping it loses what it has. One that
// can still be in time goes before one that can't.
const (
	rankBegun = iota
	rankFresh
	rankLate
	ranks
)

// urgency ranks the request at the server: by priority, then by what waiting
// costs.
func (exchange *exchange) urgency() int {
	rank := rankFresh
	switch {
	case exchange.goesOn():
		rank = rankBegun
	case exchange.late:
		rank = rankLate
	}
	return ranks*exchange.priority + rank
}
