package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/policy/storetiming"
)

// HedgedRequest is a read of the store that may be sent as several concurrent calls, of which the first answer counts.
type HedgedRequest[T any] struct {
	// Name names the calls in logs and in the state dump.
	Name string
	// Wait is the long-poll time of the first call: how long the store may wait for new records before it answers.
	Wait time.Duration
	// Timing holds the timeout of each call and the intervals between calls.
	Timing storetiming.Timing
	// MayHedge reports whether another call may be started while earlier calls are overdue. Recovery of the store
	// starts another call in any case.
	MayHedge func() bool
	Call     func(ctx context.Context, wait time.Duration) (T, error)
}

// maxConcurrentCalls bounds the concurrent calls of one request.
const maxConcurrentCalls = 12

type result[T any] struct {
	value T
	err   error
}

// hedger is the state of a hedged request in progress.
type hedger[T any] struct {
	HedgedRequest[T]
	tracker   *CallTracker
	component *lifecycle.Component
	ctx       context.Context
	results   chan result[T]
	inFlight  int
	// oldest is the first call; newestStartedAt is when the latest call started.
	oldest          *Call
	newestStartedAt time.Duration
}

// CallHedged returns the first answer to a request. An overdue call is not cancelled before its timeout, since the store
// may merely be slow. Another call is started in addition, both after a delay and when the store recovers, which is
// when any other call of this node is answered. CallHedged fails when a call fails and no other call is in progress.
func CallHedged[T any](tracker *CallTracker, component *lifecycle.Component, request HedgedRequest[T]) (T, error) {
	ctx, cancel := component.ContextWithCancel()
	defer cancel()
	hedger := &hedger[T]{HedgedRequest: request, tracker: tracker, component: component, ctx: ctx, results: make(chan result[T], maxConcurrentCalls)}
	return hedger.run()
}

func (hedger *hedger[T]) run() (T, error) {
	hedger.start(hedger.Wait)
	timer := time.NewTimer(hedger.hedgeDelay())
	defer timer.Stop()
	recovery := hedger.tracker.Recovery()
	for {
		select {
		case answer := <-hedger.results:
			hedger.inFlight--
			if isAnswer(answer.err) || hedger.inFlight == 0 {
				return answer.value, answer.err
			}
			continue
		case <-timer.C:
			hedger.oldest.markOverdue()
			timer.Reset(hedger.Timing.NextHedge(hedger.tracker.Unavailable()))
			if !hedger.MayHedge() {
				continue
			}
		case <-recovery:
			recovery = hedger.tracker.Recovery()
			if hedger.tracker.now()-hedger.newestStartedAt < minHedgeInterval {
				continue
			}
		}
		if hedger.inFlight < maxConcurrentCalls {
			hedger.start(0)
		}
	}
}

// hedgeDelay returns the time after which the first call is overdue and may be hedged. While the store is unavailable,
// the delay follows the outage interval, so that hedging does not make calls to the store more frequent.
func (hedger *hedger[T]) hedgeDelay() time.Duration {
	if hedger.tracker.Unavailable() {
		return hedger.Wait + hedger.Timing.OutageInterval
	}
	return storetiming.HedgeDelay(hedger.Wait, hedger.tracker.LongestRecentLatency())
}

// minHedgeInterval is the minimum age of the latest call for recovery of the store to start another call.
const minHedgeInterval = 20 * time.Millisecond

// start starts one call.
func (hedger *hedger[T]) start(wait time.Duration) {
	call := hedger.tracker.Start(hedger.Name, wait)
	if hedger.oldest == nil {
		hedger.oldest = call
	}
	hedger.newestStartedAt = call.startedAt
	hedger.inFlight++
	hedger.component.Go(func() {
		ctx, cancel := context.WithTimeout(hedger.ctx, wait+hedger.Timing.CallTimeout)
		defer cancel()
		value, err := hedger.Call(ctx, wait)
		switch {
		case isAnswer(err):
			call.Finish(nil)
		case hedger.ctx.Err() != nil:
			call.cancel()
		default:
			call.Finish(err)
		}
		hedger.results <- result[T]{value, err}
	})
}

// isAnswer reports whether the store answered a call. ErrExpired, which means that the requested records are gone, is an
// answer too.
func isAnswer(err error) bool {
	return err == nil || errors.Is(err, ErrExpired)
}

// RetryPause is the pause between a failed call and the next one.
type RetryPause struct {
	tracker   *CallTracker
	timing    storetiming.Timing
	startedAt time.Duration
	recovery  <-chan struct{}
}

// NewRetryPause returns the pause to make if the next call fails. It must be called before that call starts, so that a
// recovery of the store during the call is not missed.
func (tracker *CallTracker) NewRetryPause(timing storetiming.Timing) RetryPause {
	return RetryPause{tracker: tracker, timing: timing, startedAt: tracker.now(), recovery: tracker.Recovery()}
}

// Wait waits until the next call may be made: until the pause is over or the store has recovered. It returns false if
// the component was asked to stop.
func (pause RetryPause) Wait(component *lifecycle.Component) bool {
	timer := time.NewTimer(pause.timing.RetryDelay(pause.tracker.FailuresInRow(), pause.tracker.now()-pause.startedAt))
	defer timer.Stop()
	select {
	case <-component.Stopping:
		return false
	case <-pause.recovery:
	case <-timer.C:
	}
	return true
}
