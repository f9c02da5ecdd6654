package ratelimit_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/ratelimit"
)

var run = ratelimit.Run{Server: "i-1", Born: 7}

// clockAt is a clock that a test sets.
type clockAt struct{ at time.Duration }

func (clock *clockAt) now() time.Duration { return clock.at }

func newLimits() (*clockAt, *ratelimit.Limits) {
	clock := &clockAt{at: time.Minute}
	return clock, ratelimit.New(ratelimit.Clock(clock.now))
}

func TestLimitHoldsUntilAnAnswerOfALaterRequestNamesNone(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock, limits := newLimits()
	expect.Expect(limits.Answered(run, ratelimit.Answer{})).To(gomega.Equal(ratelimit.Unchanged))
	expect.Expect(limits.Answered(run, ratelimit.Answer{Named: true, Rate: 2.5})).To(gomega.Equal(ratelimit.Learnt))
	expect.Expect(limits.Answered(run, ratelimit.Answer{Named: true, Rate: 2.5})).To(gomega.Equal(ratelimit.Unchanged))
	learnt := clock.at
	clock.at += time.Second
	expect.Expect(limits.Answered(run, ratelimit.Answer{Began: learnt - time.Second})).To(gomega.Equal(ratelimit.Unchanged), "sent before the limit was named")
	expect.Expect(limits.Answered(run, ratelimit.Answer{Began: clock.at, Refused: true})).To(gomega.Equal(ratelimit.Unchanged), "refused")
	expect.Expect(limits.Answered(run, ratelimit.Answer{Named: true, Rate: 1})).To(gomega.Equal(ratelimit.Changed))
	clock.at += time.Second
	expect.Expect(limits.Answered(run, ratelimit.Answer{Began: clock.at})).To(gomega.Equal(ratelimit.Ended))
	_, known := limits.Limit(run)
	expect.Expect(known).To(gomega.BeFalse())
	expect.Expect(limits.Answered(run, ratelimit.Answer{Began: clock.at})).To(gomega.Equal(ratelimit.Unchanged))
}

func TestServerThatStartedAgainHasNoLimit(t *testing.T) {
	expect := gomega.NewWithT(t)
	_, limits := newLimits()
	limits.Answered(run, ratelimit.Answer{Named: true, Rate: 2.5})
	_, known := limits.Limit(ratelimit.Run{Server: run.Server, Born: run.Born + 1})
	expect.Expect(known).To(gomega.BeFalse())
}

func TestValueThatIsNoLimitIsToldOnceAndChangesNothing(t *testing.T) {
	expect := gomega.NewWithT(t)
	_, limits := newLimits()
	limits.Answered(run, ratelimit.Answer{Named: true, Rate: 2.5})
	expect.Expect(limits.Answered(run, ratelimit.Answer{Unreadable: "NaN"})).To(gomega.Equal(ratelimit.Spoilt))
	expect.Expect(limits.Answered(run, ratelimit.Answer{Unreadable: "NaN"})).To(gomega.Equal(ratelimit.Unchanged))
	expect.Expect(limits.Counts.Unreadable.Load()).To(gomega.BeEquivalentTo(2))
	limit, known := limits.Limit(run)
	expect.Expect(known).To(gomega.BeTrue())
	expect.Expect(limit.Rate).To(gomega.Equal(2.5))
}

func TestSweepForgetsRunsThatAreUsedNoMore(t *testing.T) {
	expect := gomega.NewWithT(t)
	_, limits := newLimits()
	gate := limits.Gate(run)
	limits.Answered(run, ratelimit.Answer{Named: true, Rate: 2.5})
	limits.Sweep(func(ratelimit.Run) bool { return false })
	expect.Expect(limits.Gate(run)).To(gomega.BeIdenticalTo(gate), "asked for between two sweeps")
	limits.Sweep(func(ratelimit.Run) bool { return false })
	limits.Sweep(func(ratelimit.Run) bool { return false })
	expect.Expect(limits.State()).To(gomega.BeEmpty())
	expect.Expect(limits.Gate(run)).NotTo(gomega.BeIdenticalTo(gate))
}

func TestGateCountsWhatWasSentWithinFourSeconds(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock, limits := newLimits()
	gate := limits.Gate(run)
	for range 12 {
		expect.Expect(gate.Take(0)).To(gomega.BeTrue())
		clock.at += 500 * time.Millisecond
	}
	expect.Expect(gate.SentLately()).To(gomega.BeNumerically("~", 8, 1))
	clock.at += 4250 * time.Millisecond
	expect.Expect(gate.SentLately()).To(gomega.BeZero())
	clock.at += time.Hour
	expect.Expect(gate.Take(0)).To(gomega.BeTrue())
	expect.Expect(gate.SentLately()).To(gomega.Equal(1))
}
