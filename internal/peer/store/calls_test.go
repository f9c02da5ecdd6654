package store

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
)

var errNoAnswer = errors.New("no answer")

// Guards against an outage whose start or end is reported more than once, and against an end that is reported without the
// calls that are still hanging.
func TestOutageStartAndEndAreReportedOnce(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	failedCalls, outages := []string{}, []Outage{}
	tracker := NewCallTracker(Clock(func() time.Duration { return now }),
		OnOutageStart(func(call string, _ error) { failedCalls = append(failedCalls, call) }),
		OnOutageEnd(func(outage Outage) { outages = append(outages, outage) }))
	tracker.Start("servers", 0).Finish(nil)
	now += 100 * time.Millisecond
	tracker.Start("servers", 0).Finish(errNoAnswer)
	tracker.Start("nodes", 0).Finish(errNoAnswer)
	hanging := tracker.Start("configuration", 500*time.Millisecond)
	now += 2 * time.Second
	expect.Expect(tracker.Unavailable()).To(gomega.BeTrue())
	tracker.Start("servers", 0).Finish(nil)
	expect.Expect(failedCalls).To(gomega.Equal([]string{"servers"}))
	expect.Expect(outages).To(gomega.Equal([]Outage{{
		AnsweredCall: "servers", Duration: 2 * time.Second, Failures: 2, Hanging: []Hanging{{Call: "configuration", Milliseconds: 2000}},
	}}))
	hanging.Finish(nil)
	expect.Expect(outages).To(gomega.HaveLen(1))
	expect.Expect(tracker.State()).To(gomega.Equal(State{Hanging: []Hanging{}}))
}

// Guards against a call that fails although the store answered a later call and then counts as an outage. The call must be
// reported as hung instead.
func TestCallOvertakenByAnotherIsReportedAsHung(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	hung := []Hanging{}
	tracker := NewCallTracker(Clock(func() time.Duration { return now }), OnHungCall(func(hanging Hanging, _ error) { hung = append(hung, hanging) }))
	first, other := tracker.Start("configuration", 0), tracker.Start("nodes", 0)
	now += time.Second
	tracker.Start("servers", 0).Finish(nil)
	now += time.Second
	first.Finish(errNoAnswer)
	expect.Expect(tracker.Unavailable()).To(gomega.BeFalse())
	other.Finish(nil)
	expect.Expect(hung).To(gomega.Equal([]Hanging{{Call: "configuration", Milliseconds: 2000}}))
}

// Guards against a failed write that counts as an outage: the store may have executed the write and only the answer was
// lost.
func TestFailedWriteIsNoOutage(t *testing.T) {
	expect := gomega.NewWithT(t)
	tracker := NewCallTracker()
	tracker.StartWrite("claim").Finish(errNoAnswer)
	expect.Expect(tracker.Unavailable()).To(gomega.BeFalse())
	expect.Expect(tracker.FailuresInRow()).To(gomega.BeZero())
	expect.Expect(tracker.Counters.Failed.Load()).To(gomega.Equal(uint64(1)))
}
