// Package notice tracks the backoffs and drains that backend servers announce in their responses.
//
// A server may request a backoff: it wants no more calls for some time from the node whose call it
// refused. A server may announce that it is draining: it wants no new calls at all until it exits.
// A server may also announce a rate limit that all nodes keep together. Package ratelimit handles
// that limit.
//
// There is one record for each run of a server process, independent of groups, pools and routes.
// Changes to groups, pools or routes therefore do not end what the server announced. HandleResponse
// receives every response of a server, whether to a call, a query or an order. Record.Admit checks
// each call just before the call is written, because a response may arrive between the choice of a
// server and the sending of the call. A backoff applies to the server's ID, because the cause may
// be the server's host. A drain ends with the run that announced it.
//
// After a backoff one probe call is sent first. The other calls follow once the server accepts the
// probe. A server that is still overloaded would refuse all of them, and each refusal costs a
// retry.
//
// Each node announces what it learns to the other nodes. A drain is binding for all nodes. A
// backoff is binding only for the node that was refused. For other nodes a backoff is a hint: these
// nodes call the server only if no other server can accept the call.
//
// # Usage
//
//	notices := notice.New(limits, notice.Clock(clock.Boot))
//	record := notices.Record(ratelimit.Run{Server: "i-1", Born: 7})
//	if err := record.Admit(); err != nil { ... } // send the call to another server
//	changes := notices.HandleResponse(record, notice.Response{Backoff: notice.Backoff{Span: 3 * time.Second}})
package notice

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/ratelimit"
)

// Errors returned by Record.Admit. Test for them with errors.Is.
var (
	// ErrWithheld is matched by ErrBackoff and ErrDraining.
	ErrWithheld = errors.New("the call was not sent to the server")
	ErrBackoff  = errors.Mark(errors.New("the server asked for a backoff"), ErrWithheld)
	ErrDraining = errors.Mark(errors.New("the server is draining"), ErrWithheld)
)

const (
	// maxBackoff caps a backoff. A server that requests more has exited or changed its request by then.
	maxBackoff = 7 * 24 * time.Hour
	// probeTimeout is how long an unanswered probe call blocks further probes. The response may be
	// lost, or the caller may disconnect.
	probeTimeout = 500 * time.Millisecond
	// minExtension is the smallest extension of a backoff that is reported as a change. Concurrent
	// calls that are refused together each extend the backoff a little.
	minExtension = 100 * time.Millisecond
	// untriedBackoffTTL is how long an ended backoff is kept if no call has tried the server since.
	untriedBackoffTTL = 10 * time.Second
	// drainTTL is how long the drain of a run is kept while no target and no registry entry refers to
	// the run. Entries may disappear and return, for example after a registry outage.
	drainTTL = 30 * time.Minute
)

// Backoff is the backoff requested by one response.
type Backoff struct {
	// Span is how long the server wants no more calls. 0 means that no backoff is requested.
	Span time.Duration
	// Unreadable is the quoted value if it could not be parsed as a duration, otherwise empty.
	Unreadable string
}

// Response is what one response of a server says about the server.
type Response struct {
	Backoff Backoff
	// Draining is set if the server accepts no new calls.
	Draining bool
	// Accepted is set if the server accepted a call. SentAt is the time when that call was sent.
	Accepted bool
	SentAt   time.Duration
}

// Change is the effect of a response on a backoff or a drain.
type Change int

// Effects of a response.
const (
	Unchanged Change = iota
	Learned
	Extended
	Ended
	// Unreadable means that the response has the first value of this server that could not be parsed.
	Unreadable
)

// Changes holds the effects of one response.
type Changes struct {
	Backoff  Change
	Draining Change
	// Announce is set if the change must be announced to other nodes.
	Announce bool
}

// Counts holds cumulative counters.
type Counts struct {
	// Backoffs counts backoffs that were started or extended. Unreadable counts responses whose backoff
	// could not be parsed. Drains counts runs that announced a drain.
	Backoffs   atomic.Uint64
	Unreadable atomic.Uint64
	Drains     atomic.Uint64
	// Hints counts backoffs announced by other nodes.
	Hints atomic.Uint64
	// Withheld counts calls that were refused by Record.Admit after a server was chosen for them.
	Withheld atomic.Uint64
}

// Notices holds the backoffs and drains of all servers.
type Notices struct {
	Counts Counts
	now    clock.Now
	limits *ratelimit.Limits

	mu      sync.Mutex
	servers map[string]*serverState
}

// serverState holds the state of all runs of one server ID.
type serverState struct {
	// backoffUntil is the end of the backoff for this node. probeSentAt is the time when the latest
	// probe call after the backoff was sent. Both are 0 for none.
	backoffUntil atomic.Int64
	probeSentAt  atomic.Int64
	// hintUntil is the latest end of the backoffs that the server requested from any node, 0 for none.
	hintUntil atomic.Int64

	// The lock of Notices guards the fields below. requestedSpan is the span of the latest backoff in
	// force, requestedAt the time of its request.
	requestedSpan      time.Duration
	requestedAt        time.Duration
	unreadableReported bool
	runs               map[int64]*runState
}

// runState holds the drain of one run.
type runState struct {
	draining atomic.Bool
	// drainingSince is when the drain was announced. lastUsedAt is when a target or a registry entry
	// last referred to the run.
	drainingSince, lastUsedAt time.Duration
}

// Record gives access to the backoff, drain and rate limit of one server run.
type Record struct {
	ratelimit.Run
	// Gate enforces the server's rate limit.
	Gate *ratelimit.Gate

	notices *Notices
	server  *serverState
	run     *runState
}

// Option configures Notices.
type Option func(*Notices)

// Clock sets the time source.
func Clock(now clock.Now) Option {
	return func(notices *Notices) { notices.now = now }
}

// New returns Notices without any server. The records share the given rate limits.
func New(limits *ratelimit.Limits, options ...Option) *Notices {
	notices := &Notices{now: clock.Boot, limits: limits, servers: map[string]*serverState{}}
	for _, option := range options {
		option(notices)
	}
	return notices
}

// Record returns the record of a run.
func (notices *Notices) Record(id ratelimit.Run) *Record {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	server, run := notices.runStateLocked(id)
	return &Record{Run: id, Gate: notices.limits.Gate(id), notices: notices, server: server, run: run}
}

func (notices *Notices) runStateLocked(id ratelimit.Run) (*serverState, *runState) {
	server := notices.servers[id.Server]
	if server == nil {
		server = &serverState{runs: map[int64]*runState{}}
		notices.servers[id.Server] = server
	}
	run := server.runs[id.Born]
	if run == nil {
		run = &runState{}
		server.runs[id.Born] = run
	}
	run.lastUsedAt = notices.now()
	return server, run
}

// HandleResponse updates the backoff and the drain of a server from a response.
func (notices *Notices) HandleResponse(record *Record, response Response) Changes {
	noNotice := response.Backoff == Backoff{} && !response.Draining
	if noNotice && (!response.Accepted || record.server.backoffUntil.Load() == 0) {
		return Changes{}
	}
	notices.mu.Lock()
	defer notices.mu.Unlock()
	changes := Changes{Backoff: notices.applyBackoffLocked(record.server, response), Draining: notices.applyDrainLocked(record.run, response)}
	hintExtended := notices.applyHintLocked(record.server, response.Backoff.Span)
	changes.Announce = hintExtended || changes.Draining == Learned
	return changes
}

func (notices *Notices) applyBackoffLocked(server *serverState, response Response) Change {
	now := notices.now()
	until := time.Duration(server.backoffUntil.Load())
	switch requested := response.Backoff; {
	case requested.Span > 0:
		return notices.extendBackoffLocked(server, min(requested.Span, maxBackoff))
	case requested.Unreadable != "":
		return notices.countUnreadableLocked(server)
	case !response.Accepted || until == 0 || now < until || response.SentAt < until:
		return Unchanged
	}
	server.backoffUntil.Store(0)
	server.probeSentAt.Store(0)
	return Ended
}

func (notices *Notices) countUnreadableLocked(server *serverState) Change {
	notices.Counts.Unreadable.Add(1)
	if server.unreadableReported {
		return Unchanged
	}
	server.unreadableReported = true
	return Unreadable
}

// extendBackoffLocked starts or extends a backoff. A shorter backoff does not cut a longer one
// short, because the server may have requested the longer one in response to another call.
func (notices *Notices) extendBackoffLocked(server *serverState, span time.Duration) Change {
	now := notices.now()
	before, until := time.Duration(server.backoffUntil.Load()), now+span
	if until <= before {
		return Unchanged
	}
	server.backoffUntil.Store(int64(until))
	server.probeSentAt.Store(0)
	server.requestedSpan, server.requestedAt = span, now
	switch {
	case before <= now:
		notices.Counts.Backoffs.Add(1)
		return Learned
	case until-before < minExtension:
		return Unchanged
	}
	notices.Counts.Backoffs.Add(1)
	return Extended
}

func (notices *Notices) applyDrainLocked(run *runState, response Response) Change {
	if !response.Draining || run.draining.Swap(true) {
		return Unchanged
	}
	run.drainingSince = notices.now()
	notices.Counts.Drains.Add(1)
	return Learned
}

// Draining reports whether a run has announced that it is draining.
func (notices *Notices) Draining(run ratelimit.Run) bool {
	if notices.Counts.Drains.Load() == 0 {
		return false
	}
	notices.mu.Lock()
	defer notices.mu.Unlock()
	server := notices.servers[run.Server]
	if server == nil || server.runs[run.Born] == nil {
		return false
	}
	return server.runs[run.Born].draining.Load()
}

// InBackoff reports whether a backoff that the server requested from this node is in force.
func (notices *Notices) InBackoff(id string) bool {
	if notices.Counts.Backoffs.Load() == 0 {
		return false
	}
	notices.mu.Lock()
	defer notices.mu.Unlock()
	server := notices.servers[id]
	return server != nil && time.Duration(server.backoffUntil.Load()) > notices.now()
}
