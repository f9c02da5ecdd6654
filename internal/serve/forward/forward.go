// Package forward sends callers' requests to backend servers and returns the servers' responses unchanged.
//
// A request whose route does not allow retries is sent to a second server only if the first server provably did
// not run it. The statuses 429 and 503 are returned only for requests that did not run and never will. A request
// that may have run ends with its server's response, with 502 or 504, or, in the middle of a stream, with a closed
// connection.
//
// A stream whose server disconnects resumes at another server, after the last complete event that the caller received,
// within the same response. So does a stream whose server stalls, once the other server goes on with it.
//
// # Usage
//
//	forwarder := forward.New(forward.Dependencies{Configuration: table, Board: board, ...})
//	server := &http.Server{Handler: forwarder}
package forward

import (
	"context"
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

// Request is a decoded request of a caller.
type Request struct {
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Path   string
	Host   string
	// Header holds the headers that are forwarded.
	Header http.Header
	Body   []byte
	// Key is the caller's API key. It is never forwarded.
	Key string
	// Model is empty for plain services.
	Model string
	// PromptTokens and AnswerTokens are the sizes that the caller declares.
	PromptTokens int
	AnswerTokens int
	// PromptParts are the IDs of the parts of the prompt that other requests may share, in order.
	PromptParts []string
	// LastEventID is the last event that the caller received of an earlier response. It is valid if Resumes is
	// set.
	LastEventID int64
	Resumes     bool
	// TimeLeft is how long the caller waits for the response, 0 if the caller did not say.
	TimeLeft time.Duration
}

// Dependencies are the constructor arguments of a Forwarder.
type Dependencies struct {
	Configuration *configuration.Table
	Board         *dispatch.Board
	Pool          *backendserver.Pool
	// DecodeRequest decodes a caller's request, except for the body.
	DecodeRequest func(request *http.Request) *Request
	// DataCentre is the data centre of this node.
	DataCentre string
	// RetryBudget returns the retry budget of a service.
	RetryBudget func(service string) *retry.WindowBudget
	// Ready is closed once the node has a configuration and the server list.
	Ready <-chan struct{}
	// Stopping reports whether the node is shutting down.
	Stopping func() bool
	// OnRequestEnd is called for each request that ended.
	OnRequestEnd func(summary Summary)
	// Quarantine tracks the requests that may not be sent to any server.
	Quarantine *quarantine.List
	// OnQuarantineChange is called for a request whose quarantine record changed on this node.
	OnQuarantineChange func(fingerprint quarantine.Fingerprint)
	// OnResponseHead is called with the head of each response.
	OnResponseHead func(head ResponseHead)
	// RequestPermits is called when a request waits for a rate limit permit.
	RequestPermits func()
	// RetryScheduler assigns retry times to callers refused by a rate limit. NodeCount returns the number of nodes
	// that share the limit.
	RetryScheduler *ratelimit.RetryScheduler
	NodeCount      func() int
	// Memory is the budget for buffered bytes, nil for no limit.
	Memory *memory.Budget
	// Detours lists the peer nodes to which this node sends requests whose servers this node does not reach, nil
	// for none. DetourPool holds the connections to the peers. RequestDetours is called when no peer is known.
	Detours        *detour.Table
	DetourPool     *backendserver.Pool
	RequestDetours func()
	// NodeName is the name of this node. OnNewerVersion is called when the node at an address has a newer
	// configuration version in force.
	NodeName       string
	OnNewerVersion func(address string, version int64)
	// OnUnconfirmedFailure is called for a request, and for each part of its prompt, during which a server may have
	// failed while the path to the server is suspected. stalled is set if the server has only been silent.
	OnUnconfirmedFailure func(target *dispatch.Target, subject quarantine.Subject, stalled bool)
	// OnServerFailure is called for a server that refused or dropped a call of a group.
	OnServerFailure func(target *dispatch.Target, culprit string)
	Logger          *slog.Logger
	Now             clock.Now
}

// Counts holds the forwarder's counters, which only increase.
type Counts struct {
	Requests atomic.Uint64
	Repeats  atomic.Uint64
	// Quarantined counts the requests that were refused or not retried because servers fail when they run them.
	// ServerEnds counts the server failures during requests.
	Quarantined atomic.Uint64
	// Limited counts the requests refused by rate limits that servers announced. BackedOff counts the requests
	// refused by backoffs that servers asked for.
	Limited    atomic.Uint64
	BackedOff  atomic.Uint64
	ServerEnds atomic.Uint64
	// Shed counts the streams refused because demand exceeds the capacity of their pool and other streams have
	// priority. Unanswered counts the calls whose connection closed before any response.
	Shed       atomic.Uint64
	Unanswered atomic.Uint64
	// DetoursSent counts the requests sent to peer nodes, DetoursTaken the requests accepted from peer nodes,
	// DetoursRefused the requests of peer nodes that were not accepted.
	DetoursSent, DetoursTaken, DetoursRefused atomic.Uint64
}

// Forwarder is the http.Handler for callers' requests.
type Forwarder struct {
	Dependencies
	Counts Counts

	buffers sync.Pool
	// inboundDetours counts the requests of peer nodes in progress.
	inboundDetours atomic.Int64
	// shutdown is nil unless the node is shutting down. serving ends when the time for requests in progress is over, upon a
	// call of endServing.
	shutdown   atomic.Pointer[shutdownTimes]
	serving    context.Context
	endServing context.CancelFunc
}

// New returns a Forwarder.
func New(dependencies Dependencies) *Forwarder {
	if dependencies.Memory == nil {
		dependencies.Memory = memory.New(0)
	}
	if dependencies.OnUnconfirmedFailure == nil {
		dependencies.OnUnconfirmedFailure = func(*dispatch.Target, quarantine.Subject, bool) {}
	}
	forwarder := &Forwarder{Dependencies: dependencies, buffers: sync.Pool{New: func() any { return new([copyBufferSize]byte) }}}
	forwarder.serving, forwarder.endServing = context.WithCancel(context.Background()) //nolint:gosec // BeginShutdown calls it
	return forwarder
}

const (
	copyBufferSize = 4 << 10
	// defaultMaxBodyBytes bounds a request body while no configuration sets a limit.
	defaultMaxBodyBytes = 4 << 20
	// minTimeLeft is the shortest remaining time in which a response can still arrive.
	minTimeLeft = 15 * time.Millisecond
	// responseMargin is subtracted from the caller's time for returning the response to the caller.
	responseMargin = 15 * time.Millisecond
	// hopMargin is subtracted from the time limit that is sent to a server.
	hopMargin = 5 * time.Millisecond
)

// ServeHTTP serves one request of a caller.
func (forwarder *Forwarder) ServeHTTP(writer http.ResponseWriter, inbound *http.Request) {
	forwarder.Counts.Requests.Add(1)
	forwarder.serve(writer, inbound, nil)
}

// serve handles a request of a caller, or one that a peer node sent (origin is not nil).
func (forwarder *Forwarder) serve(writer http.ResponseWriter, inbound *http.Request, origin *detourOrigin) {
	exchange := &exchange{
		forwarder: forwarder, writer: writer, inbound: inbound, origin: origin,
		request: forwarder.DecodeRequest(inbound), arrived: forwarder.Now(),
	}
	if origin != nil {
		exchange.runs, exchange.mayHaveRun = origin.Runs, origin.Runs > 0
	}
	defer exchange.reservation.Release()
	if forwarder.Stopping() {
		writer.Header().Set("Connection", "close")
	}
	if !exchange.resolve() || !exchange.readBody() || exchange.refuseInShutdown() {
		return
	}
	exchange.mu.Lock()
	defer exchange.endRuns()
	if exchange.route.Kind == configuration.Streaming {
		exchange.serveStream()
		return
	}
	exchange.serveCall()
}
