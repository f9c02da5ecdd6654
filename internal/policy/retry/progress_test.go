package retry_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/retry"
)

// Guards against a process that uses the share of its predecessor again, while other nodes still leave it to that one.
func TestProcessWaitsUntilItsStartIsAgreed(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	fleet := newNode(&now)
	fleet.Follow(time.Minute)
	now += 4 * time.Second
	position, _ := fleet.Position()
	fleet.MergeCoverage(retry.Coverage{From: 0, UpTo: position})
	fleet.Inform(retry.Completeness{Complete: position, Agreed: time.Minute - time.Second})
	early := fleet.Service("service").State().Window
	expect.Expect(early.Allowed).To(gomega.BeNumerically("<=", 0.03*100))
	fleet.Inform(retry.Completeness{Complete: position, Agreed: time.Minute + time.Second})
	expect.Expect(fleet.Service("service").State().Window.Allowed).To(gomega.BeNumerically(">", 20*early.Allowed))
}

// Guards against a slot that loses the retries of a node with its link, and against requests that raise the allowance
// twice.
func TestDeparturesKeepRetriesOnly(t *testing.T) {
	expect := gomega.NewWithT(t)
	departures := retry.Departures{Retention: 10 * time.Second}
	last := retry.Totals{"service": {First: 3, Counts: []retry.Count{{Requests: 9, Retries: 4}}}}
	departures.Add(1, last, time.Hour)
	departures.Add(2, last, time.Hour)
	kept := retry.Totals{"service": {First: 3, Counts: []retry.Count{{Retries: 4}}}}
	expect.Expect(departures.Counts(time.Hour + 10*time.Second)).To(gomega.Equal([]retry.Totals{kept, kept}))
	departures.Return(1)
	expect.Expect(departures.Counts(time.Hour)).To(gomega.Equal([]retry.Totals{kept}))
	expect.Expect(departures.Counts(time.Hour + 11*time.Second)).To(gomega.BeEmpty())
}

// Guards against a process that tells its own time, before it has heard of the fleet's, and makes all counts incomplete.
func TestProcessWithItsOwnTimeHoldsNothingUp(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	fleet := newNode(&now, retry.NoPredecessor())
	now += time.Minute
	fleet.Observed(retry.Progress{Complete: time.Second, Newest: time.Second, Known: retry.UnknownTime, Oldest: "started"})
	expect.Expect(fleet.Snapshot(true).Completeness.Complete).To(gomega.Equal(time.Minute))
	fleet.Observed(retry.Progress{Complete: 58 * time.Second, Newest: 59 * time.Second, Known: retry.UnknownTime, Oldest: "late"})
	expect.Expect(fleet.Snapshot(true).Completeness.Complete).To(gomega.Equal(58 * time.Second))
	expect.Expect(fleet.Snapshot(true).Completeness.Oldest).To(gomega.Equal("late"))
}

// Guards against a node that attaches anew and tells that it knows the counts of a fleet that it has not heard of.
func TestNodeThatAttachesKnowsNothingOfTheFleetYet(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	fleet := newNode(&now, retry.NoPredecessor())
	now += time.Minute
	fleet.Observed()
	expect.Expect(fleet.Progress(false).Known).To(gomega.Equal(time.Minute))
	expect.Expect(fleet.Progress(true).Known).To(gomega.Equal(retry.UnknownTime))
	received := retry.Completeness{Complete: 57 * time.Second, Agreed: 55 * time.Second}
	fleet.Inform(received)
	expect.Expect(fleet.Snapshot(true).Completeness).To(gomega.Equal(received))
	expect.Expect(fleet.Progress(true).Known).To(gomega.Equal(57 * time.Second))
}
