// Package booking runs calls that may not be repeated at most once.
//
// A Keeper writes an intent for the call's idempotency key to the log and
// sends the call only when it has read the stream through its own intent and
// found it to be the first one for the key. The outcome follows on the stream,
// so that a retry on any node finds an outcome, which is replayed, or a claim
// without one, whose holder is asked, or nothing, and may claim. Nobody ever
// sends a call under a key that somebody else claimed.
//
// With the log dark such a call is refused as NotRun, and truly was not run.
// Tickets are the way around that: a key that only one incarnation of one node
// may run, from its own memory; see Tickets.
//
// # Usage
//
//	keeper := booking.New(incarnation, table, follower, batcher)
//	answer := keeper.Run(ctx, booking.Call{Key: key, Digest: digest, Send: send})
//	// answer.Outcome is NotRun, Run or Unknown
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
	// claimPatience is how long a call waits for its own intent.
	claimPatience = 4 * time.Second
	// othersPatience is how long a retry waits for an outcome on the stream
	// before it asks the claim's holder.
	othersPatience = time.Second
	// claimAge is how old a claim may be when its call is sent. A node that
	// was paused for longer gives the call up: its key may have expired.
	claimAge = time.Minute
	// sendTimeout bounds the call itself, whether or not the caller waits.
	sendTimeout = 30 * time.Second
	// KeptBodyBytes is the largest answer that is kept for retries.
	KeptBodyBytes  = 64 << 10
	abandonedMost  = 20_000
	abandonedFor   = 10 * time.Minute
	sweepInterval  = time.Second
	retryAfterDark = 2 * time.Second
)

// Answer is what a caller is told. Status, ContentType and Body are the
// service's own where Outcome is Run.
type Answer struct {
	Outcome     outcome.Outcome
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool
	// Conflict marks a key that was used before with another body.
	Conflict bool
	// Cause says why there is no answer of the service.
	Cause string
	// RetryAfter says when the caller should come back, 0 for not at all.
	RetryAfter time.Duration
}

// Call is one call that may not be repeated.
type Call struct {
	Key    string
	Digest []byte
	// Send makes the call once. It must say NotRun only with proof.
	Send func(ctx context.Context) Answer
}

// HolderReply is what a claim's holder says about a key.
type HolderReply struct {
	Known   bool
	Running bool
	Outcome *record.Outcome
}

// Follower is what the Keeper needs to know about the stream.
type Follower struct {
	Ready func() bool
	Dark  func() bool
}

// State is what a Keeper shows in the state dump.
type State struct {
	Keys          int
	KeyBytes      int
	Running       int
	Abandoned     int
	Tickets       int
	Appends       uint64
	Entries       uint64
	AppendsFailed uint64
	ClaimsLost    uint64
	Runs          uint64
	Replays       uint64
	NotRun        uint64
	Unknown       uint64
	Violations    uint64
}

// Keeper runs calls that may not be repeated on one node.
type Keeper struct {
	*lifecycle.Component
	incarnation uint64
	table       *Table
	follower    Follower
	batcher     *Batcher
	now         clock.Now
	askHolder   func(ctx context.Context, incarnation uint64, key string) (HolderReply, bool)

	mu        sync.Mutex
	running   map[string]*run
	abandoned map[claimRef]time.Duration
	tickets   *tickets
	attempts  atomic.Uint64

	runs, replays, notRun, unknown, violations atomic.Uint64
}

// run is one request of this node under its key. An answer without an outcome
// asks whoever waits for it to look again.
type run struct {
	done   chan struct{}
	digest []byte
	answer Answer
	sent   bool
}

// Option changes how a Keeper is built.
type Option func(*Keeper)

// Clock sets the monotonic clock.
func Clock(now clock.Now) Option {
	return func(keeper *Keeper) { keeper.now = now }
}

// AskHolder sets how the holder of a claim is asked. It reports false when the
// holder cannot be reached.
func AskHolder(ask func(ctx context.Context, incarnation uint64, key string) (HolderReply, bool)) Option {
	return func(keeper *Keeper) { keeper.askHolder = ask }
}

// New returns a Keeper for one incarnation of a node.
func New(incarnation uint64, table *Table, follower Follower, batcher *Batcher, options ...Option) *Keeper {
	keeper := &Keeper{
		Component: lifecycle.New("booking"), incarnation: incarnation, table: table, follower: follower, batcher: batcher,
		now: clock.Boot, running: map[string]*run{}, abandoned: map[claimRef]time.Duration{}, tickets: newTickets(),
		askHolder: func(context.Context, uint64, string) (HolderReply, bool) { return HolderReply{}, false },
	}
	for _, option := range options {
		option(keeper)
	}
	return keeper
}

// Start begins to release claims that were given up.
func (keeper *Keeper) Start() {
	keeper.Every(sweepInterval, keeper.sweep)
}

// Run runs the call at most once and returns what is known of it. The call
// goes on when the caller's context ends; its outcome is kept for a retry.
func (keeper *Keeper) Run(ctx context.Context, call Call) Answer {
	answer := keeper.decide(ctx, call)
	switch answer.Outcome {
	case outcome.NotRun:
		keeper.notRun.Add(1)
	case outcome.Unknown:
		keeper.unknown.Add(1)
	}
	return answer
}

func (keeper *Keeper) decide(ctx context.Context, call Call) Answer {
	for {
		current, mine := keeper.join(call)
		var answer Answer
		if mine {
			answer = keeper.claim(ctx, call, current)
		} else {
			answer = keeper.await(ctx, call, current)
		}
		if answer.Outcome != "" {
			return answer
		}
	}
}

// join finds the run of this key on this node, or begins one.
func (keeper *Keeper) join(call Call) (current *run, mine bool) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	if current, ok := keeper.running[call.Key]; ok {
		return current, false
	}
	current = &run{done: make(chan struct{}), digest: call.Digest}
	keeper.running[call.Key] = current
	return current, true
}

func (keeper *Keeper) leave(key string, current *run, answer Answer) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	current.answer = answer
	delete(keeper.running, key)
	close(current.done)
}

// await waits for another request of this node under the same key.
func (keeper *Keeper) await(ctx context.Context, call Call, current *run) Answer {
	if string(current.digest) != string(call.Digest) {
		return conflict()
	}
	select {
	case <-current.done:
		answer := current.answer
		answer.Replayed = answer.Outcome == outcome.Run
		return answer
	case <-ctx.Done():
		return Answer{Outcome: outcome.Unknown, Cause: "the call is still running under this key"}
	}
}

// follow answers a request whose key is known from the stream.
func (keeper *Keeper) follow(ctx context.Context, call Call, entry Entry) Answer {
	if !sameDigest(entry, call.Digest) {
		return conflict()
	}
	released := false
	if entry.Outcome == nil {
		entry, released = keeper.awaitOutcome(ctx, call.Key, entry)
	}
	if released {
		return Answer{}
	}
	if entry.Outcome != nil {
		keeper.replays.Add(1)
		return Replay(entry.Outcome)
	}
	return keeper.ask(ctx, call.Key, entry.Intent)
}

// awaitOutcome waits a while for the outcome of somebody's claim. Released
// reports that the claim ended without a run, so the key is free again.
func (keeper *Keeper) awaitOutcome(ctx context.Context, key string, entry Entry) (latest Entry, released bool) {
	timer := time.NewTimer(othersPatience)
	defer timer.Stop()
	for {
		current, known, changed := keeper.table.Watch(key)
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

// ask asks a claim's holder. Without its word nothing is known.
func (keeper *Keeper) ask(ctx context.Context, key string, intent *record.Intent) Answer {
	if intent.Incarnation == keeper.incarnation {
		return refuse("an earlier claim of this key is being released")
	}
	reply, reached := keeper.askHolder(ctx, intent.Incarnation, key)
	switch {
	case reached && reply.Outcome != nil:
		keeper.replays.Add(1)
		return Replay(reply.Outcome)
	case reached && reply.Running:
		return Answer{Outcome: outcome.Unknown, Cause: "the call is still running under this key", RetryAfter: time.Second}
	case reached && reply.Known:
		return refuse("an earlier claim of this key is being released")
	}
	return Answer{Outcome: outcome.Unknown, Cause: "the node that claimed this key cannot be asked"}
}

// Replay turns a kept outcome into an answer.
func Replay(kept *record.Outcome) Answer {
	if kept.Kind == record.OutcomeKind_OutcomeUnknown {
		return Answer{Outcome: outcome.Unknown, Cause: "the call was sent and its answer was lost", Replayed: true}
	}
	return Answer{
		Outcome: outcome.Run, Status: int(kept.Status), ContentType: kept.ContentType,
		Body: kept.Body, Replayed: true,
	}
}

// Kept turns an answer into the outcome that is kept for retries.
func Kept(key string, answer Answer) *record.Outcome {
	kept := &record.Outcome{Key: key, Status: uint32(answer.Status), ContentType: answer.ContentType, Body: answer.Body}
	switch answer.Outcome {
	case outcome.NotRun:
		kept.Kind = record.OutcomeKind_OutcomeReleased
	case outcome.Run:
		kept.Kind = record.OutcomeKind_OutcomeRun
	default:
		kept.Kind = record.OutcomeKind_OutcomeUnknown
	}
	if len(kept.Body) > KeptBodyBytes {
		kept.Body, kept.ContentType = nil, ""
	}
	return kept
}

// Holding answers another node that asks about a claim of this incarnation.
func (keeper *Keeper) Holding(key string) HolderReply {
	keeper.mu.Lock()
	_, running := keeper.running[key]
	keeper.mu.Unlock()
	entry, known := keeper.table.Lookup(key)
	reply := HolderReply{Known: true, Running: running}
	if known && entry.Intent.Incarnation == keeper.incarnation {
		reply.Outcome = entry.Outcome
	}
	return reply
}

// State returns the keeper's part of the state dump.
func (keeper *Keeper) State() State {
	keeper.mu.Lock()
	state := State{Running: len(keeper.running), Abandoned: len(keeper.abandoned), Tickets: keeper.tickets.count()}
	keeper.mu.Unlock()
	keeper.table.mu.Lock()
	state.Keys, state.KeyBytes, state.ClaimsLost = len(keeper.table.entries), keeper.table.bytes, keeper.table.lost
	keeper.table.mu.Unlock()
	keeper.batcher.mu.Lock()
	state.Appends, state.Entries, state.AppendsFailed = keeper.batcher.appends, keeper.batcher.entries, keeper.batcher.refused
	keeper.batcher.mu.Unlock()
	state.Runs, state.Replays = keeper.runs.Load(), keeper.replays.Load()
	state.NotRun, state.Unknown, state.Violations = keeper.notRun.Load(), keeper.unknown.Load(), keeper.violations.Load()
	return state
}
