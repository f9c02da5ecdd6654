package store

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/policy/storetiming"
)

// script makes hedged requests whose calls behave according to their number, counted from 1.
type script struct {
	tracker   *CallTracker
	component *lifecycle.Component
	started   atomic.Int32
	mayHedge  bool
	timing    storetiming.Timing
}

func newScript() *script {
	return &script{tracker: NewCallTracker(Clock(clock.Virtual())), component: lifecycle.New("test"), mayHedge: true, timing: storetiming.TimingFor(storetiming.Representative)}
}

// request makes a hedged request whose calls behave as given. It returns the number of the answered call and how long the
// request took.
func (script *script) request(behave func(ctx context.Context, number int) error) (number int, took time.Duration, err error) {
	startedAt := time.Now()
	number, err = CallHedged(script.tracker, script.component, HedgedRequest[int]{
		Name: "test", Timing: script.timing, MayHedge: func() bool { return script.mayHedge },
		Call: func(ctx context.Context, _ time.Duration) (int, error) {
			number := int(script.started.Add(1))
			return number, behave(ctx, number)
		},
	})
	return number, time.Since(startedAt), err
}

func hang(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// thirdAnswers answers the third call immediately. All other calls hang.
func thirdAnswers(ctx context.Context, number int) error {
	if number < 3 {
		return hang(ctx)
	}
	return nil
}

// Guards against a request that waits for a call that the store has forgotten, although another call would be answered.
func TestOverdueCallIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		script := newScript()
		defer script.component.Stop()
		number, took, err := script.request(thirdAnswers)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(number).To(gomega.Equal(3))
		expect.Expect(took).To(gomega.Equal(650 * time.Millisecond))
		synctest.Wait()
		expect.Expect(script.tracker.State().Hanging).To(gomega.BeEmpty())
		expect.Expect(script.tracker.Unavailable()).To(gomega.BeFalse())
	})
}

// Guards against hedging that cancels the earlier calls of a slow store. An answer within the timeout of a call counts.
func TestSlowAnswerCountsAfterHedging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		script := newScript()
		defer script.component.Stop()
		_, took, err := script.request(func(ctx context.Context, _ int) error {
			select {
			case <-time.After(2500 * time.Millisecond):
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(took).To(gomega.Equal(2500 * time.Millisecond))
		expect.Expect(script.tracker.Counters.Outages.Load()).To(gomega.Equal(uint64(1)))
	})
}

// Guards against a request that keeps waiting for a hanging call after the store has recovered. An answer to any other
// call, or a recovery hint, must start another call immediately.
func TestRecoveryStartsAnotherCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		script := newScript()
		defer script.component.Stop()
		script.tracker.Start("other", 0).Finish(errNoAnswer)
		script.mayHedge = false
		script.component.Go(func() {
			time.Sleep(100 * time.Millisecond)
			script.tracker.HintRecovery()
			time.Sleep(30 * time.Millisecond)
			script.tracker.Start("other", 0).Finish(nil)
		})
		number, took, err := script.request(thirdAnswers)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(number).To(gomega.Equal(3))
		expect.Expect(took).To(gomega.Equal(130 * time.Millisecond))
	})
}

// Guards against hedging when MayHedge returns false. The request must fail when its only call times out.
func TestNoHedgingUnlessAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		script := newScript()
		defer script.component.Stop()
		script.mayHedge = false
		_, took, err := script.request(func(ctx context.Context, _ int) error { return hang(ctx) })
		expect.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
		expect.Expect(took).To(gomega.Equal(3 * time.Second))
		expect.Expect(script.started.Load()).To(gomega.Equal(int32(1)))
	})
}

// Guards against an unbounded number of concurrent calls of one request while the store does not answer.
func TestConcurrentCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		script := newScript()
		script.component.Go(func() {
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				expect.Expect(len(script.tracker.State().Hanging)).To(gomega.BeNumerically("<=", maxConcurrentCalls))
			}
			script.component.RequestStop()
		})
		_, _, err := script.request(func(ctx context.Context, _ int) error { return hang(ctx) })
		expect.Expect(err).To(gomega.HaveOccurred())
		script.component.Stop()
		expect.Expect(script.started.Load()).To(gomega.BeNumerically("<=", 27))
	})
}

// Guards against the long hedging interval of an outage being used while the store answers other calls.
func TestHedgingIsFrequentWhileTheStoreAnswersOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		script := newScript()
		defer script.component.Stop()
		script.timing = storetiming.Timing{HedgeInterval: 400 * time.Millisecond, OutageInterval: 2 * time.Second, CallTimeout: 3 * time.Second}
		others := conc.WaitGroup{}
		others.Go(func() {
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				script.tracker.Start("other", 0).Finish(nil)
			}
		})
		_, took, err := script.request(thirdAnswers)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(took).To(gomega.Equal(650 * time.Millisecond))
		others.Wait()
	})
}

// Guards against a pause that misses a recovery of the store during the failed call before it.
func TestRecoveryDuringACallEndsTheRetryPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		script := newScript()
		defer script.component.Stop()
		script.tracker.Start("other", 0).Finish(errNoAnswer)
		script.tracker.Start("other", 0).Finish(errNoAnswer)
		pause := script.tracker.NewRetryPause(storetiming.TimingFor(storetiming.Listener))
		script.tracker.Start("other", 0).Finish(nil)
		script.tracker.Start("other", 0).Finish(errNoAnswer)
		script.tracker.Start("other", 0).Finish(errNoAnswer)
		startedAt := time.Now()
		expect.Expect(pause.Wait(script.component)).To(gomega.BeTrue())
		expect.Expect(time.Since(startedAt)).To(gomega.BeZero())
	})
}
