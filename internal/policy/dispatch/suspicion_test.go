package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/dispatch"
)

// Guards against calls that are given up without a record of why, and of how long they had been silent.
func TestMovedCallTellsReasonAndSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		target := pick(board)
		started, waiting := target.Begin(100, 0, func() {}), target.Begin(100, 0, func() {})
		time.Sleep(100 * time.Millisecond)
		started.RecordEvent()
		expect.Expect(started.Movement()).To(gomega.Equal(dispatch.Suspicion{}))
		time.Sleep(50 * time.Millisecond)
		board.MarkGroupLost("g-a")
		expect.Expect(started.Movement()).To(gomega.Equal(dispatch.Suspicion{Reason: dispatch.GroupLost, Silence: 50 * time.Millisecond}))
		expect.Expect(waiting.Movement()).To(gomega.Equal(dispatch.Suspicion{Reason: dispatch.GroupLost, Silence: 150 * time.Millisecond}))
		started.End()
		waiting.End()
	})
}
