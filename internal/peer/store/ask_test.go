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
	"hazelslip/internal/policy/patience"
)

// script answers the calls of a question, each by its number.
type script struct {
	calls  *Calls
	part   *lifecycle.Component
	made   atomic.Int32
	wanted bool
	limits patience.Timing
}

func newScript() *script {
	return &script{calls: NewCalls(Clock(clock.Virtual())), part: lifecycle.New("test"), wanted: true, limits: patience.TimingFor(patience.Representative)}
}

// ask asks a question whose calls behave as given, and returns the answer and how long it took.
func (script *script) ask(behave func(ctx context.Context, number int) error) (number int, took time.Duration, err error) {
	began := time.Now()
	number, err = Ask(script.calls, script.part, Question[int]{
		Name: "test", Limits: script.limits, Wanted: func() bool { return script.wanted },
		Call: func(ctx context.Context, _ time.Duration) (int, error) {
			number := int(script.made.Add(1))
			return number, behave(ctx, number)
		},
	})
	return number, time.Since(began), err
}

func hang(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// thirdAnswers hangs but for the third call, which is answered at once.
func thirdAnswers(ctx context.Context, number int) error {
	if number < 3 {
		return hang(ctx)
	}
	return nil
}

// A call that the store has forgotten doesn't hold up one that it answers.
func TestOverdueCallIsMadeAgainBeside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		script := newScript()
		defer script.part.Stop()
		number, took, err := script.ask(thirdAnswers)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(number).To(gomega.Equal(3))
		expect.Expect(took).To(gomega.Equal(650 * time.Millisecond))
		synctest.Wait()
		expect.Expect(script.calls.State().Hanging).To(gomega.BeEmpty())
		expect.Expect(script.calls.Away()).To(gomega.BeFalse())
	})
}

// A store that answers within the time of one call is waited for, however slow it is.
func TestSlowAnswerCountsThoughOthersWereAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		script := newScript()
		defer script.part.Stop()
		_, took, err := script.ask(func(ctx context.Context, _ int) error {
			select {
			case <-time.After(2500 * time.Millisecond):
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(took).To(gomega.Equal(2500 * time.Millisecond))
		expect.Expect(script.calls.Counts.Outages.Load()).To(gomega.Equal(uint64(1)))
	})
}

// An answer to any other call, or a hint of one, makes a call that hangs be made anew at once.
func TestCallIsMadeAgainWhenTheStoreReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		script := newScript()
		defer script.part.Stop()
		script.calls.Begin("other", 0).End(errSilent)
		script.wanted = false
		script.part.Go(func() {
			time.Sleep(100 * time.Millisecond)
			script.calls.Hint()
			time.Sleep(30 * time.Millisecond)
			script.calls.Begin("other", 0).End(nil)
		})
		number, took, err := script.ask(thirdAnswers)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(number).To(gomega.Equal(3))
		expect.Expect(took).To(gomega.Equal(130 * time.Millisecond))
	})
}

// A question that nobody needs answered any more is not asked again, and fails with its calls.
func TestUnwantedQuestionIsNotAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		script := newScript()
		defer script.part.Stop()
		script.wanted = false
		_, took, err := script.ask(func(ctx context.Context, _ int) error { return hang(ctx) })
		expect.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
		expect.Expect(took).To(gomega.Equal(3 * time.Second))
		expect.Expect(script.made.Load()).To(gomega.Equal(int32(1)))
	})
}

// However long the store is silent, the calls of one question that are under way are bounded.
func TestCallsUnderWayAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		script := newScript()
		script.part.Go(func() {
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				expect.Expect(len(script.calls.State().Hanging)).To(gomega.BeNumerically("<=", besideMost))
			}
			script.part.RequestStop()
		})
		_, _, err := script.ask(func(ctx context.Context, _ int) error { return hang(ctx) })
		expect.Expect(err).To(gomega.HaveOccurred())
		script.part.Stop()
		expect.Expect(script.made.Load()).To(gomega.BeNumerically("<=", 27))
	})
}

// Calls that may be rare while the store is away are made again soon while it answers others.
func TestLostCallsAreMadeAgainSoonWhileTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		script := newScript()
		defer script.part.Stop()
		script.limits = patience.Timing{HedgeInterval: 400 * time.Millisecond, OutageInterval: 2 * time.Second, CallTimeout: 3 * time.Second}
		others := conc.WaitGroup{}
		others.Go(func() {
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				script.calls.Begin("other", 0).End(nil)
			}
		})
		_, took, err := script.ask(thirdAnswers)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(took).To(gomega.Equal(650 * time.Millisecond))
		others.Wait()
	})
}

// The store returns in the moment between the failure of a call and the rest after it.
func TestReturnDuringACallEndsTheRestAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		script := newScript()
		defer script.part.Stop()
		script.calls.Begin("other", 0).End(errSilent)
		script.calls.Begin("other", 0).End(errSilent)
		rest := script.calls.Rest(patience.TimingFor(patience.Listener))
		script.calls.Begin("other", 0).End(nil)
		script.calls.Begin("other", 0).End(errSilent)
		script.calls.Begin("other", 0).End(errSilent)
		began := time.Now()
		expect.Expect(rest.Wait(script.part)).To(gomega.BeTrue())
		expect.Expect(time.Since(began)).To(gomega.BeZero())
	})
}
