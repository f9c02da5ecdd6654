package booking

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/outcome"
	"hazelslip/internal/peer/logservice"
	"hazelslip/internal/wire/record"
)

// claimID identifies one claim of this incarnation.
type claimID struct {
	key     string
	attempt uint64
}

// claimAndSend claims the key and sends the call, unless the key is already claimed. It returns a result without an
// outcome if another claim of the key was released, so that the key can be claimed again.
func (executor *Executor) claimAndSend(ctx context.Context, call Call, current *execution) (result Result) {
	defer func() { executor.finish(call.Key, current, result) }()
	if !executor.stream.Ready() {
		return refuse("the history of booking keys is not known yet on this node")
	}
	if entry, known := executor.table.Lookup(call.Key); known {
		return executor.resolveClaimed(ctx, call, entry)
	}
	if executor.stream.LogUnavailable() {
		return refuse("the log does not answer, so the key cannot be claimed; a ticket can be used instead")
	}
	if executor.table.full() {
		return refuse("this region keeps as many keys as it can hold")
	}
	attempt := executor.attempts.Add(1)
	startedAt := executor.now()
	claimed, result := executor.acquireClaim(ctx, call, attempt)
	if !claimed {
		return result
	}
	if executor.now()-startedAt > maxClaimAge {
		executor.writeOutcome(call.Key, attempt, Result{Outcome: outcome.NotRun})
		return refuse("the claim was too old when it could be used")
	}
	return executor.send(call, attempt)
}

func refuse(cause string) Result {
	return Result{Outcome: outcome.NotRun, Cause: cause, RetryAfter: refusalRetryAfter}
}

func refuseConflict() Result {
	return Result{Outcome: outcome.NotRun, Conflict: true, Cause: "the key was used before with another request"}
}

// acquireClaim appends an intent and waits until it reads the intent back as the first one for the key.
func (executor *Executor) acquireClaim(ctx context.Context, call Call, attempt uint64) (bool, Result) {
	intent := &record.Intent{
		Key: call.Key, Digest: call.Digest, Incarnation: executor.incarnation,
		Attempt: attempt, UnixMs: time.Now().UnixMilli(),
	}
	written := executor.batcher.Add(&record.BookingBatch{Intents: []*record.Intent{intent}})
	timer := time.NewTimer(claimTimeout)
	defer timer.Stop()
	for {
		entry, known, changed := executor.table.Watch(call.Key)
		if known && isClaim(entry.Intent, executor.incarnation, attempt) {
			return true, Result{}
		}
		if known {
			// Another intent is the first for the key, so this request does not send the call. A retry of its caller
			// finds the outcome of the other claim.
			executor.abandon(call.Key, attempt)
			return false, executor.resolveClaimed(ctx, call, entry)
		}
		select {
		case <-changed:
		case err := <-written:
			written = nil
			if errors.Is(err, logservice.ErrNotWritten) {
				return false, refuse("the log refused the claim of the key")
			}
		case <-timer.C:
			executor.abandon(call.Key, attempt)
			executor.table.Unwatch(call.Key)
			return false, refuse("the claim of the key was not read back in time")
		}
	}
}

// abandon records a claim that this node gave up before it sent the call. The intent may still reach the log. The claim
// must then be released, or the key would stay claimed for the whole window although no node runs its call.
func (executor *Executor) abandon(key string, attempt uint64) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	if len(executor.abandoned) < maxAbandonedClaims {
		executor.abandoned[claimID{key: key, attempt: attempt}] = executor.now()
	}
}

// releaseAbandoned releases abandoned claims whose intents have reached the log. The attempt number identifies the
// claim to release: a later claim of the same key by this incarnation may have run its call, and releasing that claim
// would let the call run twice.
func (executor *Executor) releaseAbandoned() {
	for _, id := range executor.takeReleasable() {
		executor.writeOutcome(id.key, id.attempt, Result{Outcome: outcome.NotRun})
	}
	executor.tickets.expire(executor.now())
}

// takeReleasable removes and returns the abandoned claims that have to be released. It also removes claims that were
// abandoned longer ago than abandonedClaimTTL.
func (executor *Executor) takeReleasable() []claimID {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	due := []claimID{}
	for id, abandonedAt := range executor.abandoned {
		entry, known := executor.table.Lookup(id.key)
		onLog := known && entry.Outcome == nil && isClaim(entry.Intent, executor.incarnation, id.attempt)
		if onLog {
			due = append(due, id)
		}
		if onLog || executor.now()-abandonedAt > abandonedClaimTTL {
			delete(executor.abandoned, id)
		}
	}
	return due
}

// send makes the call once and writes its outcome to the stream.
func (executor *Executor) send(call Call, attempt uint64) Result {
	executor.markSent(call.Key)
	executor.runs.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	result := call.Send(ctx)
	executor.writeOutcome(call.Key, attempt, result)
	return result
}

// markSent marks the execution of a key as sent. It counts a violation if the execution is missing or was sent before.
func (executor *Executor) markSent(key string) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	current := executor.running[key]
	if current == nil || current.sent {
		executor.violations.Add(1)
		return
	}
	current.sent = true
}

// writeOutcome appends the outcome of a claim in the background and retries until the log has taken it.
func (executor *Executor) writeOutcome(key string, attempt uint64, result Result) {
	stored := OutcomeRecord(key, result)
	stored.Incarnation, stored.Attempt = executor.incarnation, attempt
	batch := &record.BookingBatch{Outcomes: []*record.Outcome{stored}}
	executor.Go(func() {
		for {
			select {
			case err := <-executor.batcher.Add(batch):
				if err == nil || !executor.Sleep(sweepInterval) {
					return
				}
			case <-executor.Stopping:
				return
			}
		}
	})
}
