// Package forward takes callers' requests, sends them to backend servers, and
// returns the servers' answers unchanged.
//
// It promises that a request whose route may not be repeated is sent to a
// second server only if the first provably did not run it, and that the
// statuses 429 and 503 are said only of requests that did not run and never
// will. A request that may have run ends with its server's answer, with 502 or
// 504, or, in the middle of a stream, with a broken connection.
//
// A stream whose server falls silent or breaks goes on at another, from the
// last whole event that the caller was given, within the one answer that the
// caller already reads.
//
// # Usage
//
//	forwarder := forward.New(forward.Parts{Configuration: table, Board: board, ...})
//	server := &http.Server{Handler: forwarder}
package forward

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/peer/backendserver"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/state/configuration"
)

// Request is a caller's request.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Path   string
	Host   string
	// Header is what is passed on.
	Header http.Header
	Body   []byte
	// Key is the caller's key, never passed on.
	Key string
	// Model is empty for plain services.
	Model string
	// PromptTokens and AnswerTokens are the sizes that the caller states.
	PromptTokens int
	AnswerTokens int
	// After is the last event that the caller has of an earlier answer, where
	// Continues is set.
	After     int64
	Continues bool
	// Left is how long the caller said it will wait; 0 if it didn't.
	Left time.Duration
}

// Parts is what a Forwarder works with.
type Parts struct {
	Configuration *configuration.Table
	Board         *dispatch.Board
	Pool          *backendserver.Pool
	// Decode reads a caller's request but for its body.
	Decode func(request *http.Request) *Request
	// DataCentre is this node's.
	DataCentre string
	// Budget returns the window of repeats of a service.
	Budget func(service string) *retry.Window
	// Stopping says that the node is shutting down.
	Stopping func() bool
	// Ended is told of each request that ended.
	Ended func(summary Summary)
	// Failed is told of a server that refused or broke a call of a group.
	Failed func(target *dispatch.Target, culprit string)
	Logger *slog.Logger
	Now    clock.Now
}

// Counts are the forwarder's counters; they only grow.
type Counts struct {
	Requests atomic.Uint64
	Repeats  atomic.Uint64
}

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
	NoServer Outcome = "NoServer"
	Full     Outcome = "Full"
	// Broken: the connection or the stream broke, and nothing more was tried.
	Broken Outcome = "Broken"
	// MustNotRepeat, AttemptsSpent and BudgetSpent say why nothing more was
	// tried after a failure.
	MustNotRepeat Outcome = "MustNotRepeat"
	AttemptsSpent Outcome = "AttemptsSpent"
	BudgetSpent   Outcome = "BudgetSpent"
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

// Forwarder is an http.Handler.
type Forwarder struct {
	Parts
	Counts Counts

	buffers sync.Pool
}

// New returns a forwarder.
func New(parts Parts) *Forwarder {
	return &Forwarder{Parts: parts, buffers: sync.Pool{New: func() any { return new([copyBuffer]byte) }}}
}

const (
	copyBuffer = 4 << 10
	// bodyMost bounds a body while no configuration says how long it may be.
	bodyMost = 4 << 20
	// leastLeft is the least time in which an answer can still arrive.
	leastLeft = 15 * time.Millisecond
	// answerMargin is kept back from the caller's time for the answer's way.
	answerMargin = 15 * time.Millisecond
	// hopAllowance is taken off the time that a server is given.
	hopAllowance = 5 * time.Millisecond
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

// ServeHTTP serves one request.
func (forwarder *Forwarder) ServeHTTP(writer http.ResponseWriter, inbound *http.Request) {
	exchange := &exchange{
		forwarder: forwarder, writer: writer, inbound: inbound,
		request: forwarder.Decode(inbound), arrived: forwarder.Now(),
	}
	forwarder.Counts.Requests.Add(1)
	if forwarder.Stopping() {
		writer.Header().Set("Connection", "close")
	}
	if !exchange.admit() || !exchange.readBody() {
		return
	}
	if exchange.route.Kind == configuration.Streaming {
		exchange.stream()
		return
	}
	exchange.call()
}

// admit finds the route, the workspace and the service of the request.
func (exchange *exchange) admit() bool {
	request := exchange.request
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
	if !exchange.identify() {
		return false
	}
	exchange.late = route.Timeout > 0 && exchange.request.Left > 0 && route.Timeout-exchange.request.Left > route.Target
	exchange.service = pickService(route.Services, rand.Float64())
	exchange.budget = exchange.forwarder.Budget(exchange.service)
	exchange.budget.Request()
	exchange.deadline = exchange.timeLimit()
	return true
}

// identify finds the workspace that holds the caller's key. What the caller
// itself says of its workspace is never looked at.
func (exchange *exchange) identify() bool {
	if exchange.route.Anonymous || len(exchange.snapshot.Configuration.Workspaces) == 0 {
		return true
	}
	workspace, ok := exchange.snapshot.Workspace(exchange.request.Key)
	if !ok {
		exchange.deny(http.StatusUnauthorized, UnknownKey, "the key is not known")
		return false
	}
	exchange.workspace = workspace.Name
	if workspace.HasPriority {
		exchange.priority = workspace.Priority
	}
	return true
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

func (exchange *exchange) readBody() bool {
	most := exchange.snapshot.Configuration.Limits.MaxBodyBytes
	if most <= 0 {
		most = bodyMost
	}
	if exchange.inbound.ContentLength > most {
		exchange.deny(http.StatusRequestEntityTooLarge, Malformed, "the body is too long")
		return false
	}
	body, err := io.ReadAll(io.LimitReader(exchange.inbound.Body, most+1))
	switch {
	case err != nil:
		exchange.outcome = CallerLeft
		exchange.cause = "the body could not be read: " + err.Error()
		exchange.log(http.StatusBadRequest)
		panic(http.ErrAbortHandler)
	case int64(len(body)) > most:
		exchange.deny(http.StatusRequestEntityTooLarge, Malformed, "the body is too long")
		return false
	}
	exchange.request.Body = body
	return true
}

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
		Left: exchange.left() - hopAllowance, Urgency: exchange.urgency(),
		After: request.After, Continues: request.Continues,
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
	case exchange.begun:
		rank = rankBegun
	case exchange.late:
		rank = rankLate
	}
	return ranks*exchange.priority + rank
}

// Times after which a refused caller is asked to come again.
const (
	// retryUnknown is for a node that has just started.
	retryUnknown = 300 * time.Millisecond
	// retryFull is about the time in which places of a full group come free.
	retryFull = 250 * time.Millisecond
	// retryNone is about the time in which a lost group is replaced.
	retryNone = 500 * time.Millisecond
)

// refuse answers that the request has not run and never will. Callers are told
// to come again at times that are spread, so that they don't all return at
// once.
func (exchange *exchange) refuse(outcome Outcome, again time.Duration, cause string) {
	exchange.outcome, exchange.cause = outcome, cause
	spread := time.Duration(float64(again) * (0.75 + rand.Float64()/2))
	exchange.writer.Header().Set("Retry-After", strconv.FormatFloat(spread.Seconds(), 'f', 3, 64))
	exchange.finish(http.StatusServiceUnavailable)
}

// deny answers a request that is wrong in itself.
func (exchange *exchange) deny(status int, outcome Outcome, cause string) {
	exchange.outcome, exchange.cause = outcome, cause
	exchange.finish(status)
}

// fail answers that the request may have run.
func (exchange *exchange) fail(status int) {
	exchange.finish(status)
}

func (exchange *exchange) finish(status int) {
	exchange.writer.Header().Set("Content-Length", "0")
	exchange.writer.WriteHeader(status)
	exchange.log(status)
}

// end answers a request that no further server will get.
func (exchange *exchange) end() {
	switch {
	case exchange.gone():
		exchange.outcome = CallerLeft
		exchange.log(0)
		panic(http.ErrAbortHandler)
	case exchange.begun:
		// An answer that was begun can only be cut, so that it doesn't look
		// complete.
		exchange.log(http.StatusBadGateway)
		panic(http.ErrAbortHandler)
	case exchange.fallback != nil:
		exchange.deliver(exchange.fallback)
	case !exchange.mayHaveRun:
		if exchange.outcome == "" {
			exchange.outcome = TimeUp
		}
		exchange.refuse(exchange.outcome, retryNone, exchange.cause)
	case exchange.left() <= leastLeft:
		exchange.outcome = TimeUp
		exchange.fail(http.StatusGatewayTimeout)
	default:
		exchange.fail(http.StatusBadGateway)
	}
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
		slog.Int("Attempts", exchange.attempts), slog.Bool("MayHaveRun", exchange.mayHaveRun),
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

// leg is one call of a request to one server. Its holder closes it.
type leg struct {
	*backendserver.Reply
	target *dispatch.Target
	use    *dispatch.Use
	ender  *ender
	// forget takes the ender off the caller's connection.
	forget func() bool
}

func (leg *leg) close() {
	leg.forget()
	if leg.Reply != nil {
		leg.Reply.Close()
	}
	if leg.use != nil {
		leg.use.End()
	}
}

// ender ends a call from another goroutine, also one that is yet to be sent.
type ender struct {
	mu    sync.Mutex
	do    func()
	ended bool
}

func (ender *ender) set(do func()) {
	ender.mu.Lock()
	defer ender.mu.Unlock()
	ender.do = do
	if ender.ended {
		do()
	}
}

func (ender *ender) end() {
	ender.mu.Lock()
	defer ender.mu.Unlock()
	ender.ended = true
	if ender.do != nil {
		ender.do()
	}
}

// attempt sends the request to one target and reads the head of its answer.
// A leg without a reply comes with the reason in the cause, and with
// mayHaveRun set if the call may have run.
func (exchange *exchange) attempt(target *dispatch.Target) *leg {
	call := exchange.newCall(target)
	exchange.attempts++
	exchange.last = dispatched{server: target.ID, group: target.Group, taken: target.Taken()}
	leg := &leg{target: target, ender: &ender{}}
	leg.use = target.Begin(exchange.request.PromptTokens, leg.ender.end)
	leg.forget = context.AfterFunc(exchange.inbound.Context(), leg.ender.end)
	call.Cancel = leg.ender.set
	reply, err := exchange.forwarder.Pool.Send(call)
	if err == nil {
		exchange.arrivals++
		leg.Reply = reply
		return leg
	}
	exchange.cause = err.Error()
	exchange.exclude = append(exchange.exclude, target.ID)
	if errors.Is(err, backendserver.ErrNotSent) {
		target.Avoid(avoidUnreachable)
		exchange.forwarder.Failed(target, "")
		return leg
	}
	exchange.arrivals++
	exchange.ran()
	return leg
}

// ran notes that a server may have run the request.
func (exchange *exchange) ran() {
	exchange.mayHaveRun = true
	exchange.runs++
}

const (
	// avoidUnreachable is how long a server that can't be connected to gets no
	// calls.
	avoidUnreachable = 700 * time.Millisecond
	// avoidRefusing is how long a server that is full gets no calls.
	avoidRefusing = 150 * time.Millisecond
)

// refused notes an answer by which the server did not run the call.
func (exchange *exchange) refused(leg *leg) {
	target, reply := leg.target, leg.Reply
	exchange.cause = "server " + target.ID + " did not run it: " + strconv.Itoa(reply.Status)
	exchange.exclude = append(exchange.exclude, target.ID)
	if reply.WrongServer || reply.Culprit != "" {
		target.Avoid(avoidUnreachable)
		exchange.forwarder.Failed(target, reply.Culprit)
		return
	}
	target.Avoid(avoidRefusing)
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Content-Length"}

// StripHopByHop removes the headers that concern one connection only, with
// those that the Connection header names.
func StripHopByHop(header http.Header) {
	for _, line := range header.Values("Connection") {
		for _, name := range splitList(line) {
			header.Del(name)
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// passHead copies the head of a server's answer.
func (exchange *exchange) passHead(from http.Header) {
	StripHopByHop(from)
	header := exchange.writer.Header()
	for name, values := range from {
		header[name] = values
	}
}
