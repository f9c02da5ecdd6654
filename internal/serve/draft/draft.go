// Package draft answers one model request, whatever happens to the groups that
// work on it.
//
// Each try at a group is an attempt with its own number. A token is accepted
// only from the current attempt and only at the next position, so pieces that
// come twice, out of order or from an earlier attempt do no harm. When a group
// dies in mid-answer the draft resumes at another one from the tokens already
// passed on. Its end is explicit: a draft that cannot be finished ends in an
// error, never in silence.
//
// # Usage
//
//	server := draft.New(router, gate, generate, nodes, clock.Boot, retry.New())
//	result := server.Run(ctx, draft.Request{...}, func(token string) error { ... })
//	if result.Failure != nil { ... }
package draft

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/outcome"
	"hazelslip/internal/peer/engine"
	"hazelslip/internal/policy/admission"
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/policy/route"
	"hazelslip/internal/serve/journal"
)

const (
	attemptsMost  = 6
	bytesPerToken = 4
	prefixBytes   = 64
	// stallLeast and stallFactor bound how long a group may keep a draft
	// waiting for its next token before the draft resumes elsewhere.
	stallLeast  = 2 * time.Second
	stallFactor = 20
	// firstFactor does the same for the first token.
	firstFactor = 2
	firstLeast  = 3 * time.Second
	// waitPart is the part of the first-token target, admission included, that
	// a draft waits for a group before its caller is told: a refusal should not
	// come after the target has passed.
	waitPart = 0.8
	// resumePatience is how long a draft that has begun waits for a group.
	resumePatience = 10 * time.Second
	pickAgain      = 50 * time.Millisecond
	returnAfter    = 2 * time.Second
	retryAfter     = time.Second
	// guaranteedPriority puts a class that is within its share ahead of those
	// that borrow.
	guaranteedPriority = 10_000
)

// Request is one model request.
type Request struct {
	ID        string
	Class     admission.Class
	Workspace string
	Prompt    string
	MaxTokens int
	Priority  int32
	// FirstToken and BetweenTokens are the class's targets.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Entry         *journal.Entry
}

// Failure says why a draft did not end well, and what is known about it.
type Failure struct {
	Outcome    outcome.Outcome
	Cause      string
	RetryAfter time.Duration
}

// Result is how a draft ended. Failure is nil where the answer is whole.
type Result struct {
	Tokens     int
	Attempts   int
	Reason     string
	FirstToken time.Duration
	// SlowestGap is the longest time between two tokens.
	SlowestGap time.Duration
	Failure    *Failure
}

// State is what a Server shows in the state dump.
type State struct {
	Running       int64
	Whole         uint64
	Failed        uint64
	Refused       uint64
	Resumed       uint64
	PiecesDropped uint64
	Violations    uint64
	Retries       retry.State
}

// Server runs the drafts of one node.
type Server struct {
	router   *route.Router
	gate     *admission.Gate
	budget   *retry.Budget
	generate func(ctx context.Context, address string, generate engine.GenerateRequest) (*engine.Stream, error)
	now      clock.Now
	nodes    func() int

	attempts                                                   atomic.Uint64
	running                                                    atomic.Int64
	whole, failed, refused, resumed, piecesDropped, violations atomic.Uint64
}

// New returns a server. Nodes tells how many nodes share the data centre.
func New(
	router *route.Router,
	gate *admission.Gate,
	generate func(ctx context.Context, address string, generate engine.GenerateRequest) (*engine.Stream, error),
	nodes func() int,
	now clock.Now,
	budget *retry.Budget,
) *Server {
	return &Server{router: router, gate: gate, budget: budget, generate: generate, nodes: nodes, now: now}
}

// Run answers the request. Emit gets each token once, in order; an error of
// emit means that the caller has left and ends the draft.
func (server *Server) Run(ctx context.Context, request Request, emit func(token string) error) Result {
	began := time.Now()
	pass, refusal := server.gate.Enter(ctx, admission.Request{Class: request.Class, Workspace: request.Workspace}, func() admission.Capacity {
		return server.capacity(request.Class.Model)
	})
	if refusal != nil {
		server.refused.Add(1)
		request.Entry.Note("refused: %s", refusal.Cause)
		return Result{Failure: &Failure{Outcome: outcome.NotRun, Cause: refusal.Cause, RetryAfter: refusal.RetryAfter}}
	}
	defer pass.Leave()
	server.running.Add(1)
	defer server.running.Add(-1)
	if pass.Guaranteed {
		request.Priority += guaranteedPriority
	}
	work := &work{server: server, ctx: ctx, request: request, emit: emit, began: began}
	result := work.run()
	server.count(result)
	return result
}

func (server *Server) capacity(model string) admission.Capacity {
	total, peers := server.router.Capacity(model)
	return admission.Capacity{Total: total, Peers: peers, Nodes: int64(server.nodes())}
}

func (server *Server) count(result Result) {
	if result.Failure != nil {
		server.failed.Add(1)
		return
	}
	server.whole.Add(1)
	server.budget.Succeeded()
}

// State returns the server's part of the state dump.
func (server *Server) State() State {
	return State{
		Running: server.running.Load(), Whole: server.whole.Load(), Failed: server.failed.Load(),
		Refused: server.refused.Load(), Resumed: server.resumed.Load(),
		PiecesDropped: server.piecesDropped.Load(), Violations: server.violations.Load(),
		Retries: server.budget.State(),
	}
}

// errCallerLeft means that the answer could not be passed on.
var errCallerLeft = errors.New("the caller left")

// work is one draft under way. It belongs to one goroutine.
type work struct {
	server  *Server
	ctx     context.Context
	request Request
	emit    func(token string) error
	began   time.Time

	tokens   []string
	exclude  uint64
	failedAt time.Time
	attempts int
	// sent is set once an attempt may have run.
	sent      bool
	first     time.Duration
	lastToken time.Time
	slowest   time.Duration
}

func (work *work) run() Result {
	for {
		choice, ok := work.await()
		if !ok {
			return work.fail("no group can take the draft")
		}
		reason, err := work.attempt(choice)
		if err == nil {
			work.request.Entry.Note("whole after %d tokens", len(work.tokens))
			return work.result(reason, nil)
		}
		if errors.Is(err, errCallerLeft) || work.ctx.Err() != nil {
			return work.fail("the caller left")
		}
		work.request.Entry.Note("group %d failed after %d tokens: %v", choice.Target.Number, len(work.tokens), err)
		work.exclude, work.failedAt = choice.Target.Number, time.Now()
		if work.attempts >= attemptsMost {
			return work.fail("the draft failed at every group that was tried")
		}
		if !work.server.budget.Take() {
			return work.fail("too many drafts are being tried again")
		}
		work.server.resumed.Add(1)
	}
}

// await chooses a group, and waits a while when none can take the draft: a
// group that is being rebuilt is worth waiting for. A draft of which nothing
// was sent waits a part of its target for the first token, then its caller is
// told; one that has begun waits longer, since giving it up would
// cost its caller all of it.
func (work *work) await() (route.Choice, bool) {
	deadline := work.began.Add(time.Duration(waitPart * float64(work.request.FirstToken)))
	if work.sent {
		deadline = work.failedAt.Add(resumePatience)
	}
	for {
		if choice, ok := work.pick(); ok {
			return choice, true
		}
		if time.Now().After(deadline) {
			return route.Choice{}, false
		}
		if time.Since(work.failedAt) > returnAfter {
			// Nothing else came up: the group that failed is tried once more.
			work.exclude = 0
		}
		select {
		case <-work.ctx.Done():
			return route.Choice{}, false
		case <-time.After(pickAgain):
		}
	}
}

// pick chooses a group other than the one that just failed this draft.
func (work *work) pick() (route.Choice, bool) {
	request := route.Request{
		Model: work.request.Class.Model, PromptTokens: len(work.request.Prompt)/bytesPerToken + len(work.tokens),
		AnswerTokens: work.request.MaxTokens - len(work.tokens), Prefix: prefixHash(work.request.Prompt),
		Exclude: work.exclude,
	}
	choice, ok := work.server.router.Pick(request, work.server.now())
	if ok {
		work.request.Entry.Note("group %d at %s: first token predicted in %s, one of %d near the best of %d",
			choice.Target.Number, choice.Target.Leader, choice.Predicted.Round(time.Millisecond), choice.Near, choice.Known)
	}
	return choice, ok
}

func prefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(prefixBytes, len(prompt))])
}

// fail ends the draft with an error. NotRun is said only while no attempt can
// have run.
func (work *work) fail(cause string) Result {
	failure := &Failure{Outcome: outcome.Unknown, Cause: cause, RetryAfter: retryAfter}
	if !work.sent {
		failure.Outcome = outcome.NotRun
	}
	work.request.Entry.Note("failed: %s", cause)
	return work.result("", failure)
}

func (work *work) result(reason string, failure *Failure) Result {
	return Result{
		Tokens: len(work.tokens), Attempts: work.attempts, Reason: reason,
		FirstToken: work.first, SlowestGap: work.slowest, Failure: failure,
	}
}

// attempt lets one group go on with the draft.
func (work *work) attempt(choice route.Choice) (reason string, err error) {
	work.attempts++
	number := work.server.attempts.Add(1)
	ctx, cancel := context.WithCancel(work.ctx)
	defer cancel()
	defer func() {
		failed := err != nil && !errors.Is(err, errCallerLeft) && work.ctx.Err() == nil
		choice.Done(failed, work.server.now())
	}()
	// A group that stops without closing its connection would hold the draft
	// for ever; the watchdog closes the connection instead.
	watchdog := time.AfterFunc(work.firstPatience(), cancel)
	defer watchdog.Stop()
	stream, err := work.server.generate(ctx, choice.Target.Leader, engine.GenerateRequest{
		Group: choice.Target.Number, Attempt: number, Model: work.request.Class.Model,
		Prompt: work.request.Prompt, Resume: work.tokens, MaxTokens: work.request.MaxTokens,
		Priority: work.request.Priority, Workspace: work.request.Workspace,
	})
	if err != nil {
		notRun := errors.Is(err, engine.ErrNotSent) || errors.Is(err, engine.ErrRefused)
		work.sent = work.sent || !notRun
		return "", err
	}
	work.sent = true
	defer stream.Close()
	reader := &reader{work: work, stream: stream, attempt: number, held: map[int]string{}}
	return reader.read(&choice, func() { watchdog.Reset(work.stallPatience()) })
}

func (work *work) firstPatience() time.Duration {
	return max(firstLeast, firstFactor*work.request.FirstToken)
}

func (work *work) stallPatience() time.Duration {
	return max(stallLeast, stallFactor*work.request.BetweenTokens)
}

// accept passes the next token on.
func (work *work) accept(token string) error {
	now := time.Now()
	if len(work.tokens) == 0 {
		work.first = now.Sub(work.began)
	} else {
		work.slowest = max(work.slowest, now.Sub(work.lastToken))
	}
	work.lastToken = now
	work.tokens = append(work.tokens, token)
	if err := work.emit(token); err != nil {
		return errors.Mark(err, errCallerLeft)
	}
	return nil
}
