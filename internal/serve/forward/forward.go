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
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/detour"
	"hazelslip/internal/peer/backendserver"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/memory"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/policy/ratelimit"
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
	Budget func(service string) *retry.WindowBudget
	// Ready is closed once the node knows a configuration and the servers.
	Ready <-chan struct{}
	// Stopping says that the node is shutting down.
	Stopping func() bool
	// Ended is told of each request that ended.
	Ended func(summary Summary)
	// Quarantine knows which requests are sent to no server.
	Quarantine *quarantine.List
	// Suspected is told of a request of which the Quarantine learned something here.
	Suspected func(fingerprint quarantine.Fingerprint)
	// Heard is told of the head of each answer.
	Heard func(heard Heard)
	// AskPermits is called when a request waits for a permit.
	AskPermits func()
	// Returns tells callers refused for a limit when to come back, Nodes how many nodes
	// share it.
	Returns *ratelimit.RetryScheduler
	Nodes   func() int
	// Memory is the budget of bytes that are buffered; nil for none.
	Memory *memory.Budget
	// Detours are the other nodes that requests go through whose servers this one doesn't reach, nil for
	// none, DetourPool the connections there. DetourWanted is told that none is known.
	Detours      *detour.Table
	DetourPool   *backendserver.Pool
	DetourWanted func()
	// Name is this node's, NewerAt is told of a version in force at the node with an address.
	Name    string
	NewerAt func(address string, version int64)
	// Unsure is told of a request under which a server may have ended, while the way there is doubted.
	Unsure func(target *dispatch.Target, fingerprint quarantine.Fingerprint)
	// Failed is told of a server that refused or broke a call of a group.
	Failed func(target *dispatch.Target, culprit string)
	Logger *slog.Logger
	Now    clock.Now
}

// Counts are the forwarder's counters; they only grow.
type Counts struct {
	Requests atomic.Uint64
	Repeats  atomic.Uint64
	// Quarantined are the requests that were refused, or not tried again, since servers
	// end that run them; ServerEnds the ends of servers under requests.
	Quarantined atomic.Uint64
	// Limited are the requests that were refused for limits that servers name, BackedOff
	// those for backoffs that they asked for.
	Limited    atomic.Uint64
	BackedOff  atomic.Uint64
	ServerEnds atomic.Uint64
	// Shed are the streams that were refused since their pool can't run all that is asked of it and
	// others go first, Unanswered the calls whose connection was closed before any answer.
	Shed       atomic.Uint64
	Unanswered atomic.Uint64
	// DetoursSent are the requests that were sent through other nodes, DetoursTaken those of other
	// nodes, DetoursRefused those of them that were not taken.
	DetoursSent, DetoursTaken, DetoursRefused atomic.Uint64
}

// Forwarder is an http.Handler.
type Forwarder struct {
	Parts
	Counts Counts

	buffers sync.Pool
	// inwards counts the requests of other nodes that are under way.
	inwards atomic.Int64
}

// New returns a forwarder.
func New(parts Parts) *Forwarder {
	if parts.Memory == nil {
		parts.Memory = memory.New(0)
	}
	if parts.Unsure == nil {
		parts.Unsure = func(*dispatch.Target, quarantine.Fingerprint) {}
	}
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

// ServeHTTP serves one request.
func (forwarder *Forwarder) ServeHTTP(writer http.ResponseWriter, inbound *http.Request) {
	forwarder.Counts.Requests.Add(1)
	forwarder.serve(writer, inbound, nil)
}

// serve serves a request of a caller, or one that another node sent.
func (forwarder *Forwarder) serve(writer http.ResponseWriter, inbound *http.Request, from *inward) {
	exchange := &exchange{
		forwarder: forwarder, writer: writer, inbound: inbound, inward: from,
		request: forwarder.Decode(inbound), arrived: forwarder.Now(),
	}
	if from != nil {
		exchange.runs, exchange.mayHaveRun = from.Runs, from.Runs > 0
	}
	defer exchange.held.Release()
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
