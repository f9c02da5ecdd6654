package booking

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/outcome"
	"hazelslip/internal/peer/logservice"
	"hazelslip/internal/wire/record"
)

// claimRef names one claim of this incarnation.
type claimRef struct {
	key     string
	attempt uint64
}

// claim decides what this request may do under its key. It returns no outcome
// when another claim ended without a run and the key deserves another look.
func (keeper *Keeper) claim(ctx context.Context, call Call, current *run) (answer Answer) {
	defer func() { keeper.leave(call.Key, current, answer) }()
	if !keeper.follower.Ready() {
		return refuse("the history of booking keys is not known yet on this node")
	}
	if entry, known := keeper.table.Lookup(call.Key); known {
		return keeper.follow(ctx, call, entry)
	}
	if keeper.follower.Dark() {
		return refuse("the log does not answer, so the key cannot be claimed; a ticket can be used instead")
	}
	if keeper.table.full() {
		return refuse("this region keeps as many keys as it can hold")
	}
	attempt := keeper.attempts.Add(1)
	began := keeper.now()
	won, answer := keeper.win(ctx, call, attempt)
	if !won {
		return answer
	}
	if keeper.now()-began > claimAge {
		keeper.end(call.Key, attempt, Answer{Outcome: outcome.NotRun})
		return refuse("the claim was too old when it could be used")
	}
	return keeper.send(call, attempt)
}

func refuse(cause string) Answer {
	return Answer{Outcome: outcome.NotRun, Cause: cause, RetryAfter: retryAfterDark}
}

func conflict() Answer {
	return Answer{Outcome: outcome.NotRun, Conflict: true, Cause: "the key was used before with another request"}
}

// win writes the intent and waits to read it back as the first one.
func (keeper *Keeper) win(ctx context.Context, call Call, attempt uint64) (bool, Answer) {
	intent := &record.Intent{
		Key: call.Key, Digest: call.Digest, Incarnation: keeper.incarnation,
		Attempt: attempt, UnixMs: time.Now().UnixMilli(),
	}
	written := keeper.batcher.Add(&record.BookingBatch{Intents: []*record.Intent{intent}})
	timer := time.NewTimer(claimPatience)
	defer timer.Stop()
	for {
		entry, known, changed := keeper.table.Watch(call.Key)
		if known && holds(entry.Intent, keeper.incarnation, attempt) {
			return true, Answer{}
		}
		if known {
			// Another node's intent is the first. This request sends nothing;
			// its caller's retry finds the other's outcome.
			keeper.abandon(call.Key, attempt)
			return false, keeper.follow(ctx, call, entry)
		}
		select {
		case <-changed:
		case err := <-written:
			written = nil
			if errors.Is(err, logservice.ErrNotWritten) {
				return false, refuse("the log refused the claim of the key")
			}
		case <-timer.C:
			keeper.abandon(call.Key, attempt)
			keeper.table.Unwatch(call.Key)
			return false, refuse("the claim of the key was not read back in time")
		}
	}
}

// abandon remembers a claim that this node gave up before it sent anything.
// Its intent may still come to stand on the log and must then be released, or
// the key would stay claimed for the whole window with nobody to run it.
func (keeper *Keeper) abandon(key string, attempt uint64) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	if len(keeper.abandoned) < abandonedMost {
		keeper.abandoned[claimRef{key: key, attempt: attempt}] = keeper.now()
	}
}

// sweep releases abandoned claims that came to stand on the log. A claim is
// named by its attempt: a later claim of the same key by this incarnation may
// have run, and releasing that one would let the call run twice.
func (keeper *Keeper) sweep() {
	for _, ref := range keeper.releasable() {
		keeper.end(ref.key, ref.attempt, Answer{Outcome: outcome.NotRun})
	}
	keeper.tickets.expire(keeper.now())
}

func (keeper *Keeper) releasable() []claimRef {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	due := []claimRef{}
	for ref, since := range keeper.abandoned {
		entry, known := keeper.table.Lookup(ref.key)
		stands := known && entry.Outcome == nil && holds(entry.Intent, keeper.incarnation, ref.attempt)
		if stands {
			due = append(due, ref)
		}
		if stands || keeper.now()-since > abandonedFor {
			delete(keeper.abandoned, ref)
		}
	}
	return due
}

// send makes the call, once, and writes its outcome.
func (keeper *Keeper) send(call Call, attempt uint64) Answer {
	keeper.markSent(call.Key)
	keeper.runs.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	answer := call.Send(ctx)
	keeper.end(call.Key, attempt, answer)
	return answer
}

// markSent asserts that one run sends at most once.
func (keeper *Keeper) markSent(key string) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	current := keeper.running[key]
	if current == nil || current.sent {
		keeper.violations.Add(1)
		return
	}
	current.sent = true
}

// end writes the outcome of a claim and tries again until the log has it.
func (keeper *Keeper) end(key string, attempt uint64, answer Answer) {
	ended := Kept(key, answer)
	ended.Incarnation, ended.Attempt = keeper.incarnation, attempt
	batch := &record.BookingBatch{Outcomes: []*record.Outcome{ended}}
	keeper.Go(func() {
		for {
			select {
			case err := <-keeper.batcher.Add(batch):
				if err == nil || !keeper.Sleep(sweepInterval) {
					return
				}
			case <-keeper.Stopping:
				return
			}
		}
	})
}
