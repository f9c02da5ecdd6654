// Package draft generates the answer to one model request and survives failures of the groups that generate it.
//
// Each try at a group is an attempt with its own number. A token is accepted only from the current attempt and
// only at the next position, so duplicate, reordered or stale pieces have no effect. When a group fails in the
// middle of an answer, the draft resumes at another group from the tokens already emitted. Each draft ends with a
// complete answer or with an explicit error.
//
// # Usage
//
//	server := draft.New(router, gate, generate, nodeCount, clock.Boot, retry.New())
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
	maxAttempts   = 6
	bytesPerToken = 4
	prefixBytes   = 64
	// minStallTimeout and stallFactor set how long a group may take for the next token before the draft may resume at
	// another group: stallFactor times the target gap between tokens, but at least minStallTimeout.
	minStallTimeout = 2 * time.Second
	stallFactor     = 20
	// firstTokenFactor and minFirstTokenTimeout do the same for the first token.
	firstTokenFactor     = 2
	minFirstTokenTimeout = 3 * time.Second
	// groupWaitFraction is the fraction of the first-token target, admission included, for which a draft waits for
	// a group. The wait ends before the target passes, so that a refusal does not come after the target.
	groupWaitFraction = 0.8
	// resumeWait is how long a draft that may already have run waits for a group.
	resumeWait      = 10 * time.Second
	pickInterval    = 50 * time.Millisecond
	exclusionPeriod = 2 * time.Second
	retryAfter      = time.Second
	// guaranteedPriorityBoost ranks requests of a class that is within its guaranteed share above requests of
	// classes that borrow capacity.
	guaranteedPriorityBoost = 10_000
)

// Request is one model request.
type Request struct {
	ID        string
	Class     admission.Class
	Workspace string
	Prompt    string
	MaxTokens int
	Priority  int32
	// FirstTokenTarget and TokenGapTarget are the latency targets of the request's class.
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	Entry            *journal.Entry
}

// Failure describes why a draft failed and whether the request may have run.
type Failure struct {
	Outcome    outcome.Outcome
	Cause      string
	RetryAfter time.Duration
}

// Result describes how a draft ended. Failure is nil if the answer is complete.
type Result struct {
	Tokens           int
	Attempts         int
	FinishReason     string
	TimeToFirstToken time.Duration
	// LongestTokenGap is the longest time between two consecutive tokens.
	LongestTokenGap time.Duration
	Failure         *Failure
}

// State is the Server's section of the state dump.
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
	router      *route.Router
	gate        *admission.Gate
	retryBudget *retry.Budget
	generate    func(ctx context.Context, address string, generate engine.GenerateRequest) (*engine.Stream, error)
	now         clock.Now
	nodeCount   func() int

	lastAttempt                                                    atomic.Uint64
	running                                                        atomic.Int64
	completed, failed, refused, resumed, piecesDropped, violations atomic.Uint64
}

// New returns a server. nodeCount returns the number of nodes that share the data centre's capacity.
func New(
	router *route.Router,
	gate *admission.Gate,
	generate func(ctx context.Context, address string, generate engine.GenerateRequest) (*engine.Stream, error),
	nodeCount func() int,
	now clock.Now,
	retryBudget *retry.Budget,
) *Server {
	return &Server{router: router, gate: gate, retryBudget: retryBudget, generate: generate, nodeCount: nodeCount, now: now}
}

// Run generates the answer to the request. Run calls emit once for each token, in order. An error from emit means
// that the caller has disconnected, and ends the draft.
func (server *Server) Run(ctx context.Context, request Request, emit func(token string) error) Result {
	startedAt := time.Now()
	permit, refusal := server.gate.Admit(ctx, admission.Request{Class: request.Class, Workspace: request.Workspace}, func() admission.Capacity {
		return server.capacity(request.Class.Model)
	})
	if refusal != nil {
		server.refused.Add(1)
		request.Entry.Addf("refused: %s", refusal.Cause)
		return Result{Failure: &Failure{Outcome: outcome.NotRun, Cause: refusal.Cause, RetryAfter: refusal.RetryAfter}}
	}
	defer permit.Release()
	server.running.Add(1)
	defer server.running.Add(-1)
	if permit.Guaranteed {
		request.Priority += guaranteedPriorityBoost
	}
	job := &job{server: server, ctx: ctx, request: request, emit: emit, startedAt: startedAt}
	result := job.run()
	server.countResult(result)
	return result
}

func (server *Server) capacity(model string) admission.Capacity {
	total, peers := server.router.Capacity(model)
	return admission.Capacity{Total: total, PeerRunning: peers, Nodes: int64(server.nodeCount())}
}

func (server *Server) countResult(result Result) {
	if result.Failure != nil {
		server.failed.Add(1)
		return
	}
	server.completed.Add(1)
	server.retryBudget.RecordSuccess()
}

// State returns the Server's section of the state dump.
func (server *Server) State() State {
	return State{
		Running: server.running.Load(), Whole: server.completed.Load(), Failed: server.failed.Load(),
		Refused: server.refused.Load(), Resumed: server.resumed.Load(),
		PiecesDropped: server.piecesDropped.Load(), Violations: server.violations.Load(),
		Retries: server.retryBudget.State(),
	}
}

// errCallerGone marks an error of emit: the token could not be delivered to the caller.
var errCallerGone = errors.New("deliver a token to the caller: the caller disconnected")

// job is one draft in progress. A job is used by one goroutine only.
type job struct {
	server    *Server
	ctx       context.Context
	request   Request
	emit      func(token string) error
	startedAt time.Time

	tokens        []string
	excludedGroup uint64
	failedAt      time.Time
	attempts      int
	// withdrawn is set if the next attempt has been taken from the retry budget.
	withdrawn bool
	// mayHaveRun is set once a group may have started the request.
	mayHaveRun       bool
	timeToFirstToken time.Duration
	lastTokenAt      time.Time
	longestGap       time.Duration
}

func (job *job) run() Result {
	for {
		choice, ok := job.awaitGroup()
		if !ok {
			return job.fail("no group can take the draft")
		}
		reason, err := job.runAttempt(choice)
		if err == nil {
			job.request.Entry.Addf("completed after %d tokens", len(job.tokens))
			return job.result(reason, nil)
		}
		if errors.Is(err, errCallerGone) || job.ctx.Err() != nil {
			return job.fail("the caller left")
		}
		job.request.Entry.Addf("attempt at group %d failed after %d tokens: %v", choice.Target.Number, len(job.tokens), err)
		job.excludedGroup, job.failedAt = choice.Target.Number, time.Now()
		if job.attempts >= maxAttempts {
			return job.fail("the draft failed at every group that was tried")
		}
		if !job.withdrawn && !job.server.retryBudget.TryWithdraw() {
			return job.fail("too many drafts are being tried again")
		}
		job.server.resumed.Add(1)
	}
}

// awaitGroup picks a group. If no group can take the draft, awaitGroup polls until a deadline, because a group
// that is being rebuilt may come back in time. A draft that has not run anywhere waits for a fraction of its
// first-token target, so that the caller is refused early. A draft that may have run waits longer, because giving
// up would discard all generated tokens.
func (job *job) awaitGroup() (route.Choice, bool) {
	deadline := job.startedAt.Add(time.Duration(groupWaitFraction * float64(job.request.FirstTokenTarget)))
	if job.mayHaveRun {
		deadline = job.failedAt.Add(resumeWait)
	}
	for {
		if choice, ok := job.pickGroup(); ok {
			return choice, true
		}
		if time.Now().After(deadline) {
			return route.Choice{}, false
		}
		if time.Since(job.failedAt) > exclusionPeriod {
			// No other group has become available: allow the failed group again.
			job.excludedGroup = 0
		}
		select {
		case <-job.ctx.Done():
			return route.Choice{}, false
		case <-time.After(pickInterval):
		}
	}
}

// pickGroup picks a group, excluding the group on which this draft last failed.
func (job *job) pickGroup() (route.Choice, bool) {
	request := job.routeRequest()
	request.Exclude = job.excludedGroup
	choice, ok := job.server.router.Pick(request, job.server.now())
	if ok {
		job.request.Entry.Addf("picked group %d at %s: predicted time to first token %s, one of %d near-best groups of %d known",
			choice.Target.Number, choice.Target.Leader, choice.Predicted.Round(time.Millisecond), choice.NearBest, choice.Groups)
	}
	return choice, ok
}

// routeRequest describes what is left of the draft.
func (job *job) routeRequest() route.Request {
	return route.Request{
		Model: job.request.Class.Model, PromptTokens: len(job.request.Prompt)/bytesPerToken + len(job.tokens),
		AnswerTokens: job.request.MaxTokens - len(job.tokens), PrefixHash: prefixHash(job.request.Prompt),
	}
}

func prefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(prefixBytes, len(prompt))])
}

// fail ends the draft with an error. The outcome is NotRun only if no attempt can have run.
func (job *job) fail(cause string) Result {
	failure := &Failure{Outcome: outcome.Unknown, Cause: cause, RetryAfter: retryAfter}
	if !job.mayHaveRun {
		failure.Outcome = outcome.NotRun
	}
	job.request.Entry.Addf("failed: %s", cause)
	return job.result("", failure)
}

func (job *job) result(reason string, failure *Failure) Result {
	return Result{
		Tokens: len(job.tokens), Attempts: job.attempts, FinishReason: reason,
		TimeToFirstToken: job.timeToFirstToken, LongestTokenGap: job.longestGap, Failure: failure,
	}
}

// runAttempt continues the draft at one group.
func (job *job) runAttempt(choice route.Choice) (reason string, err error) {
	job.attempts++
	number := job.server.lastAttempt.Add(1)
	ctx, cancel := context.WithCancel(job.ctx)
	defer cancel()
	defer func() {
		failed := err != nil && !errors.Is(err, errCallerGone) && job.ctx.Err() == nil
		choice.Done(failed, job.server.now())
	}()
	watchdog := job.newWatchdog(choice.Target.Number, cancel)
	defer func() { job.withdrawn = watchdog.stop() }()
	stream, err := job.server.generate(ctx, choice.Target.Leader, engine.GenerateRequest{
		Group: choice.Target.Number, Attempt: number, Model: job.request.Class.Model,
		Prompt: job.request.Prompt, Resume: job.tokens, MaxTokens: job.request.MaxTokens,
		Priority: job.request.Priority, Workspace: job.request.Workspace,
	})
	if err != nil {
		notRun := errors.Is(err, engine.ErrNotSent) || errors.Is(err, engine.ErrRefused)
		job.mayHaveRun = job.mayHaveRun || !notRun
		return "", err
	}
	job.mayHaveRun = true
	defer stream.Close()
	reader := &pieceReader{job: job, stream: stream, attempt: number, pending: map[int]string{}}
	return reader.read(&choice, func() { watchdog.recordActivity(job.stallTimeout()) })
}

func (job *job) firstTokenTimeout() time.Duration {
	return max(minFirstTokenTimeout, firstTokenFactor*job.request.FirstTokenTarget)
}

func (job *job) stallTimeout() time.Duration {
	return max(minStallTimeout, stallFactor*job.request.TokenGapTarget)
}

// emitToken records the next token and delivers the token to the caller.
func (job *job) emitToken(token string) error {
	now := time.Now()
	if len(job.tokens) == 0 {
		job.timeToFirstToken = now.Sub(job.startedAt)
	} else {
		job.longestGap = max(job.longestGap, now.Sub(job.lastTokenAt))
	}
	job.lastTokenAt = now
	job.tokens = append(job.tokens, token)
	if err := job.emit(token); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	return nil
}
