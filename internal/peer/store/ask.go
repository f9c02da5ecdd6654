package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/policy/patience"
)

// Question is what the store is asked, and how long its answer is waited for.
type Question[T any] struct {
	Name string
	// Wait is for how long the store is asked to wait for news.
	Wait   time.Duration
	Limits patience.Timing
	// Wanted says whether another call may still be made beside one that hangs.
	Wanted func() bool
	Call   func(ctx context.Context, wait time.Duration) (T, error)
}

// besideMost is how many calls of one question may be under way.
const besideMost = 12

type answer[T any] struct {
	value T
	err   error
}

// asking is a question under way.
type asking[T any] struct {
	Question[T]
	calls    *Calls
	part     *lifecycle.Component
	ctx      context.Context
	answers  chan answer[T]
	underWay int
	// oldest is the first call, youngest when the last began.
	oldest   *Call
	youngest time.Duration
}

// Ask returns the first answer to a question. A call that hangs is not given up before its
// time, since the store may be slow; another is made beside it, also at the moment at which
// any other call of this node is answered. It fails once no call is under way any more.
func Ask[T any](calls *Calls, part *lifecycle.Component, question Question[T]) (T, error) {
	ctx, cancel := part.ContextWithCancel()
	defer cancel()
	asking := &asking[T]{Question: question, calls: calls, part: part, ctx: ctx, answers: make(chan answer[T], besideMost)}
	return asking.run()
}

func (asking *asking[T]) run() (T, error) {
	asking.begin(asking.Wait)
	timer := time.NewTimer(asking.beside())
	defer timer.Stop()
	returns := asking.calls.Returns()
	for {
		select {
		case answer := <-asking.answers:
			asking.underWay--
			if answered(answer.err) || asking.underWay == 0 {
				return answer.value, answer.err
			}
			continue
		case <-timer.C:
			asking.oldest.late()
			timer.Reset(asking.Limits.NextHedge(asking.calls.Away()))
			if !asking.Wanted() {
				continue
			}
		case <-returns:
			returns = asking.calls.Returns()
			if asking.calls.now()-asking.youngest < settled {
				continue
			}
		}
		if asking.underWay < besideMost {
			asking.begin(0)
		}
	}
}

// beside is after which time the first call is overdue. A store that is away is not asked more
// often for that.
func (asking *asking[T]) beside() time.Duration {
	if asking.calls.Away() {
		return asking.Wait + asking.Limits.OutageInterval
	}
	return patience.HedgeDelay(asking.Wait, asking.calls.Usual())
}

// settled is how old the last call must be for another to be made when the store returns.
const settled = 20 * time.Millisecond

// begin makes one call.
func (asking *asking[T]) begin(wait time.Duration) {
	call := asking.calls.Begin(asking.Name, wait)
	if asking.oldest == nil {
		asking.oldest = call
	}
	asking.youngest = call.began
	asking.underWay++
	asking.part.Go(func() {
		ctx, cancel := context.WithTimeout(asking.ctx, wait+asking.Limits.CallTimeout)
		defer cancel()
		value, err := asking.Call(ctx, wait)
		switch {
		case answered(err):
			call.End(nil)
		case asking.ctx.Err() != nil:
			call.withdraw()
		default:
			call.End(err)
		}
		asking.answers <- answer[T]{value, err}
	})
}

// answered says whether a call was answered, be it that the records it asks for are gone.
func answered(err error) bool {
	return err == nil || errors.Is(err, ErrExpired)
}

// Rest is the pause after a call that failed.
type Rest struct {
	calls   *Calls
	limits  patience.Timing
	began   time.Duration
	returns <-chan struct{}
}

// Rest begins before a call, so that a return of the store meanwhile is not missed.
func (calls *Calls) Rest(limits patience.Timing) Rest {
	return Rest{calls: calls, limits: limits, began: calls.now(), returns: calls.Returns()}
}

// Wait waits before the next call, but no longer than until another is answered. It says
// whether the part goes on.
func (rest Rest) Wait(part *lifecycle.Component) bool {
	timer := time.NewTimer(rest.limits.RetryDelay(rest.calls.FailuresInRow(), rest.calls.now()-rest.began))
	defer timer.Stop()
	select {
	case <-part.Stopping:
		return false
	case <-rest.returns:
	case <-timer.C:
	}
	return true
}
