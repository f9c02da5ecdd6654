package ratelimit_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/ratelimit"
)

var run = ratelimit.Run{Server: "i-1", Born: 7}

// fakeClock is a clock that a test sets.
type fakeClock struct{ current time.Duration }

func (clock *fakeClock) now() time.Duration { return clock.current }

func newLimits() (*fakeClock, *ratelimit.Limits) {
	clock := &fakeClock{current: time.Minute}
	return clock, ratelimit.New(ratelimit.Clock(clock.now))
}

func TestLimitHoldsUntilLaterResponseOmitsIt(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock, limits := newLimits()
	expect.Expect(limits.HandleResponse(run, ratelimit.Response{})).To(gomega.Equal(ratelimit.Unchanged))
	expect.Expect(limits.HandleResponse(run, ratelimit.Response{HasLimit: true, Rate: 2.5})).To(gomega.Equal(ratelimit.Learned))
	expect.Expect(limits.HandleResponse(run, ratelimit.Response{HasLimit: true, Rate: 2.5})).To(gomega.Equal(ratelimit.Unchanged))
	learnt := clock.current
	clock.current += time.Second
	expect.Expect(limits.HandleResponse(run, ratelimit.Response{SentAt: learnt - time.Second})).To(gomega.Equal(ratelimit.Unchanged), "request sent before the limit was learned")
	expect.Expect(limits.HandleResponse(run, ratelimit.Response{SentAt: clock.current, Refused: true})).To(gomega.Equal(ratelimit.Unchanged), "refused")
	expect.Expect(limits.HandleResponse(run, ratelimit.Response{HasLimit: true, Rate: 1})).To(gomega.Equal(ratelimit.Changed))
	clock.current += time.Second
	expect.Expect(limits.HandleResponse(run, ratelimit.Response{SentAt: clock.current})).To(gomega.Equal(ratelimit.Ended))
	_, known := limits.Limit(run)
	expect.Expect(known).To(gomega.BeFalse())
	expect.Expect(limits.HandleResponse(run, ratelimit.Response{SentAt: clock.current})).To(gomega.Equal(ratelimit.Unchanged))
}

func TestRestartedServerHasNoLimit(t *testing.T) {
	expect := gomega.NewWithT(t)
	_, limits := newLimits()
	limits.HandleResponse(run, ratelimit.Response{HasLimit: true, Rate: 2.5})
	_, known := limits.Limit(ratelimit.Run{Server: run.Server, Born: run.Born + 1})
	expect.Expect(known).To(gomega.BeFalse())
}

func TestUnreadableLimitIsReportedOnce(t *testing.T) {
	expect := gomega.NewWithT(t)
	_, limits := newLimits()
	limits.HandleResponse(run, ratelimit.Response{HasLimit: true, Rate: 2.5})
	expect.Expect(limits.HandleResponse(run, ratelimit.Response{Unreadable: "NaN"})).To(gomega.Equal(ratelimit.Unreadable))
	expect.Expect(limits.HandleResponse(run, ratelimit.Response{Unreadable: "NaN"})).To(gomega.Equal(ratelimit.Unchanged))
	expect.Expect(limits.Counts.Unreadable.Load()).To(gomega.BeEquivalentTo(2))
	limit, known := limits.Limit(run)
	expect.Expect(known).To(gomega.BeTrue())
	expect.Expect(limit.Rate).To(gomega.Equal(2.5))
}

func TestSweepRemovesUnusedRuns(t *testing.T) {
	expect := gomega.NewWithT(t)
	_, limits := newLimits()
	gate := limits.Gate(run)
	limits.HandleResponse(run, ratelimit.Response{HasLimit: true, Rate: 2.5})
	limits.Sweep(func(ratelimit.Run) bool { return false })
	expect.Expect(limits.Gate(run)).To(gomega.BeIdenticalTo(gate), "gate used between two sweeps")
	limits.Sweep(func(ratelimit.Run) bool { return false })
	limits.Sweep(func(ratelimit.Run) bool { return false })
	expect.Expect(limits.State()).To(gomega.BeEmpty())
	expect.Expect(limits.Gate(run)).NotTo(gomega.BeIdenticalTo(gate))
}

func TestGateCountsRequestsOfLastFourSeconds(t *testing.T) {
	expect := gomega.NewWithT(t)
	clock, limits := newLimits()
	gate := limits.Gate(run)
	for range 12 {
		expect.Expect(gate.TryAcquire(0)).To(gomega.BeTrue())
		clock.current += 500 * time.Millisecond
	}
	expect.Expect(gate.SentLately()).To(gomega.BeNumerically("~", 8, 1))
	clock.current += 4250 * time.Millisecond
	expect.Expect(gate.SentLately()).To(gomega.BeZero())
	clock.current += time.Hour
	expect.Expect(gate.TryAcquire(0)).To(gomega.BeTrue())
	expect.Expect(gate.SentLately()).To(gomega.Equal(1))
}
