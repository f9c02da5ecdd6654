package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/dispatch"
)

// Guards against calls that are given up without a record of why, and of how long they had been silent.
func TestGivenUpCallTellsReasonAndSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		target := pick(board)
		told := dispatch.Suspicion{}
		started, waiting := target.Begin(100, 0, func() {}, func(suspicion dispatch.Suspicion) { told = suspicion }), target.Begin(100, 0, func() {}, ignoreSuspicion)
		time.Sleep(100 * time.Millisecond)
		started.RecordEvent()
		time.Sleep(50 * time.Millisecond)
		board.MarkGroupLost("g-a")
		expect.Expect(told).To(gomega.Equal(dispatch.Suspicion{Reason: dispatch.GroupLost, Silence: 50 * time.Millisecond}))
		expect.Expect(started.Movement()).To(gomega.Equal(dispatch.Suspicion{}))
		expect.Expect(waiting.Movement()).To(gomega.Equal(dispatch.Suspicion{Reason: dispatch.GroupLost, Silence: 150 * time.Millisecond}))
		started.GiveUp(told)
		started.GiveUp(dispatch.Suspicion{Reason: dispatch.GroupSilent})
		expect.Expect(started.Movement()).To(gomega.Equal(told))
		started.End()
		waiting.End()
	})
}

// ignoreSuspicion is the callback of calls whose owners do nothing about suspicions.
func ignoreSuspicion(dispatch.Suspicion) {}
