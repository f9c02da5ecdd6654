// Package booking runs non-idempotent calls at most once.
//
// An Executor appends an intent for the idempotency key of a call to a stream of the platform's log. The Executor sends
// the call only after it has read the stream up to its own intent and found that intent to be the first for the key.
// That intent is the claim of the key, and its node is the holder. The outcome of the call is appended to the same
// stream. A retry on any node therefore finds one of three states:
//
//   - an outcome, which is replayed
//   - a claim without an outcome, whose holder is asked
//   - no claim, so that the retry may claim the key
//
// A node never sends a call under a key that another node has claimed.
//
// While the log is unavailable, a call under a new key is refused as NotRun and is never sent. Tickets work without the
// log: a ticket is a key that only one incarnation of one node may run, which it tracks in memory; see
// Executor.IssueTicket.
//
// # Usage
//
//	executor := booking.New(incarnation, table, streamStatus, batcher)
//	result := executor.Run(ctx, booking.Call{Key: key, Digest: digest, Send: send})
//	// result.Outcome is NotRun, Run or Unknown
package booking

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/common/outcome"
	"hazelslip/internal/wire/record"
)

const (
	// claimTimeout is how long a call waits to read its own intent back from the stream.
	claimTimeout = 4 * time.Second
	// outcomeTimeout is how long a retry waits for an outcome on the stream before it asks the holder of the claim.
	outcomeTimeout = time.Second
	// maxClaimAge is how old a claim may be when its call is sent. A node that was paused for longer abandons the call,
	// because the key may have expired meanwhile.
	maxClaimAge = time.Minute
	// sendTimeout bounds the call itself, even if its caller has left.
	sendTimeout = 30 * time.Second
	// MaxStoredBodyBytes is the size of the largest response body that is stored for retries.
	MaxStoredBodyBytes = 64 << 10
	maxAbandonedClaims = 20_000
	abandonedClaimTTL  = 10 * time.Minute
	sweepInterval      = time.Second
	refusalRetryAfter  = 2 * time.Second
)

// Result is the result of a call as reported to its caller. If Outcome is Run, Status, ContentType and Body are those
// of the response of the service.
type Result struct {
	Outcome     outcome.Outcome
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool
	// Conflict is set if the key was used before with another request body.
	Conflict bool
	// Cause says why there is no response of the service.
	Cause string
	// RetryAfter is how long the caller should wait before it retries, or 0 if it should not retry.
	RetryAfter time.Duration
}

// Call is one non-idempotent call.
type Call struct {
	Key string
	// Digest is the digest of the request body.
	Digest []byte
	// Send makes the call once. It returns NotRun only if the call provably did not run.
	Send func(ctx context.Context) Result
}

// HolderReply is the reply of a claim's holder about a key.
type HolderReply struct {
	Known   bool
	Running bool
	Outcome *record.Outcome
}

// StreamStatus reports whether the history of the Bookings stream is known and whether the log is unavailable.
type StreamStatus struct {
	Ready          func() bool
	LogUnavailable func() bool
}

// State is the part of an Executor in the state dump.
type State struct {
	Keys          int
	KeyBytes      int
	Running       int
	Abandoned     int
	Tickets       int
	Appends       uint64
	Entries       uint64
	AppendsFailed uint64
	// ClaimsLost counts intents for keys that were already claimed.
	ClaimsLost uint64
	Runs       uint64
	Replays    uint64
	NotRun     uint64
	Unknown    uint64
	// Violations counts calls that were sent twice or without an execution. It must be 0.
	Violations uint64
}

// Executor runs the non-idempotent calls of one node.
type Executor struct {
	*lifecycle.Component
	incarnation uint64
	table       *Table
	stream      StreamStatus
	batcher     *Batcher
	now         clock.Now
	askHolder   func(ctx context.Context, incarnation uint64, key string) (HolderReply, bool)

	mu        sync.Mutex
	running   map[string]*execution
	abandoned map[claimID]time.Duration
	tickets   *tickets
	attempts  atomic.Uint64

	runs, replays, notRun, unknown, violations atomic.Uint64
}

// execution is the attempt of this node to run the call of a key. All requests of this node with that key share its
// result. A result without an outcome makes the waiting requests start over.
type execution struct {
	done   chan struct{}
	digest []byte
	result Result
	sent   bool
}

// Option configures an Executor.
type Option func(*Executor)

// Clock sets the monotonic clock.
func Clock(now clock.Now) Option {
	return func(executor *Executor) { executor.now = now }
}

// AskHolder sets the function that asks the holder of a claim about a key. The function returns false if the holder
// cannot be reached.
func AskHolder(ask func(ctx context.Context, incarnation uint64, key string) (HolderReply, bool)) Option {
	return func(executor *Executor) { executor.askHolder = ask }
}

// New returns an Executor for one incarnation of a node.
func New(incarnation uint64, table *Table, status StreamStatus, batcher *Batcher, options ...Option) *Executor {
	executor := &Executor{
		Component: lifecycle.New("booking"), incarnation: incarnation, table: table, stream: status, batcher: batcher,
		now: clock.Boot, running: map[string]*execution{}, abandoned: map[claimID]time.Duration{}, tickets: newTickets(),
		askHolder: func(context.Context, uint64, string) (HolderReply, bool) { return HolderReply{}, false },
	}
	for _, option := range options {
		option(executor)
	}
	return executor
}

// Start starts the periodic release of abandoned claims.
func (executor *Executor) Start() {
	executor.Every(sweepInterval, executor.releaseAbandoned)
}

// Run runs the call at most once and returns what is known about it. The call continues when the caller's context
// ends, and its outcome is stored for a retry.
func (executor *Executor) Run(ctx context.Context, call Call) Result {
	result := executor.execute(ctx, call)
	switch result.Outcome {
	case outcome.NotRun:
		executor.notRun.Add(1)
	case outcome.Unknown:
		executor.unknown.Add(1)
	}
	return result
}

// execute runs the call, or waits for the request of this node that already runs a call with the same key. It starts
// over until there is an outcome.
func (executor *Executor) execute(ctx context.Context, call Call) Result {
	for {
		current, started := executor.startOrJoin(call)
		var result Result
		if started {
			result = executor.claimAndSend(ctx, call, current)
		} else {
			result = executor.awaitExecution(ctx, call, current)
		}
		if result.Outcome != "" {
			return result
		}
	}
}

// startOrJoin returns the execution of the key on this node. It starts one if there is none.
func (executor *Executor) startOrJoin(call Call) (current *execution, started bool) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	if current, ok := executor.running[call.Key]; ok {
		return current, false
	}
	current = &execution{done: make(chan struct{}), digest: call.Digest}
	executor.running[call.Key] = current
	return current, true
}

// finish removes an execution and passes its result to the requests that wait for it.
func (executor *Executor) finish(key string, current *execution, result Result) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	current.result = result
	delete(executor.running, key)
	close(current.done)
}

// awaitExecution waits for the result of an execution that another request of this node started.
func (executor *Executor) awaitExecution(ctx context.Context, call Call, current *execution) Result {
	if string(current.digest) != string(call.Digest) {
		return refuseConflict()
	}
	select {
	case <-current.done:
		result := current.result
		result.Replayed = result.Outcome == outcome.Run
		return result
	case <-ctx.Done():
		return Result{Outcome: outcome.Unknown, Cause: "the call is still running under this key"}
	}
}

// resolveClaimed returns the result of a call whose key is already claimed on the stream.
func (executor *Executor) resolveClaimed(ctx context.Context, call Call, entry Entry) Result {
	if !sameDigest(entry, call.Digest) {
		return refuseConflict()
	}
	released := false
	if entry.Outcome == nil {
		entry, released = executor.awaitOutcome(ctx, call.Key, entry)
	}
	if released {
		return Result{}
	}
	if entry.Outcome != nil {
		executor.replays.Add(1)
		return Replay(entry.Outcome)
	}
	return executor.queryHolder(ctx, call.Key, entry.Intent)
}

// awaitOutcome waits up to outcomeTimeout for the outcome of another request's claim. It returns released as true if
// the claim ended without running the call, so that the key can be claimed again.
func (executor *Executor) awaitOutcome(ctx context.Context, key string, entry Entry) (latest Entry, released bool) {
	timer := time.NewTimer(outcomeTimeout)
	defer timer.Stop()
	for {
		current, known, changed := executor.table.Watch(key)
		if !known {
			return entry, true
		}
		if current.Outcome != nil {
			return current, false
		}
		select {
		case <-changed:
		case <-timer.C:
			return entry, false
		case <-ctx.Done():
			return entry, false
		}
	}
}

// queryHolder asks the holder of a claim for the outcome. If the holder cannot be asked, the outcome is Unknown.
func (executor *Executor) queryHolder(ctx context.Context, key string, intent *record.Intent) Result {
	if intent.Incarnation == executor.incarnation {
		return refuse("an earlier claim of this key is being released")
	}
	reply, reached := executor.askHolder(ctx, intent.Incarnation, key)
	switch {
	case reached && reply.Outcome != nil:
		executor.replays.Add(1)
		return Replay(reply.Outcome)
	case reached && reply.Running:
		return Result{Outcome: outcome.Unknown, Cause: "the call is still running under this key", RetryAfter: time.Second}
	case reached && reply.Known:
		return refuse("an earlier claim of this key is being released")
	}
	return Result{Outcome: outcome.Unknown, Cause: "the node that claimed this key cannot be asked"}
}

// Replay converts a stored outcome to a result.
func Replay(stored *record.Outcome) Result {
	if stored.Kind == record.OutcomeKind_OutcomeUnknown {
		return Result{Outcome: outcome.Unknown, Cause: "the call was sent and its answer was lost", Replayed: true}
	}
	return Result{
		Outcome: outcome.Run, Status: int(stored.Status), ContentType: stored.ContentType,
		Body: stored.Body, Replayed: true,
	}
}

// OutcomeRecord converts a result to the outcome that is stored for retries. It leaves out a body that is larger than
// MaxStoredBodyBytes.
func OutcomeRecord(key string, result Result) *record.Outcome {
	stored := &record.Outcome{Key: key, Status: uint32(result.Status), ContentType: result.ContentType, Body: result.Body}
	switch result.Outcome {
	case outcome.NotRun:
		stored.Kind = record.OutcomeKind_OutcomeReleased
	case outcome.Run:
		stored.Kind = record.OutcomeKind_OutcomeRun
	default:
		stored.Kind = record.OutcomeKind_OutcomeUnknown
	}
	if len(stored.Body) > MaxStoredBodyBytes {
		stored.Body, stored.ContentType = nil, ""
	}
	return stored
}

// ClaimStatus returns the reply to a node that asks about a claim of this incarnation.
func (executor *Executor) ClaimStatus(key string) HolderReply {
	executor.mu.Lock()
	_, running := executor.running[key]
	executor.mu.Unlock()
	entry, known := executor.table.Lookup(key)
	reply := HolderReply{Known: true, Running: running}
	if known && entry.Intent.Incarnation == executor.incarnation {
		reply.Outcome = entry.Outcome
	}
	return reply
}

// State returns the executor's part of the state dump.
func (executor *Executor) State() State {
	executor.mu.Lock()
	state := State{Running: len(executor.running), Abandoned: len(executor.abandoned), Tickets: executor.tickets.count()}
	executor.mu.Unlock()
	executor.table.mu.Lock()
	state.Keys, state.KeyBytes, state.ClaimsLost = len(executor.table.entries), executor.table.bytes, executor.table.lostClaims
	executor.table.mu.Unlock()
	executor.batcher.mu.Lock()
	state.Appends, state.Entries, state.AppendsFailed = executor.batcher.appends, executor.batcher.entries, executor.batcher.failedAppends
	executor.batcher.mu.Unlock()
	state.Runs, state.Replays = executor.runs.Load(), executor.replays.Load()
	state.NotRun, state.Unknown, state.Violations = executor.notRun.Load(), executor.unknown.Load(), executor.violations.Load()
	return state
}
