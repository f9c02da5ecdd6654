package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/dispatch"
)

// Guards against refusals after all groups of a pool were silent for a moment: their events go on, and new calls are
// still kept away from all of them.
func TestGroupsThatGoOnGetCallsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		calls, taken := []*dispatch.Call{}, []string{}
		for range 3 {
			target, _ := board.Pick(pool, dispatch.Criteria{MaxQueued: 4, Exclude: taken})
			call := target.Begin(100, 0, func() {}, func(dispatch.Suspicion) {})
			call.RecordEvent()
			calls, taken = append(calls, call), append(taken, target.ID)
		}
		for range 10 {
			time.Sleep(40 * time.Millisecond)
			board.WatchGroups()
		}
		_, verdict := board.Pick(pool, dispatch.Criteria{MaxQueued: 4})
		expect.Expect(verdict).To(gomega.Equal(dispatch.NoTarget), "the groups are silent")
		calls[0].RecordEvent()
		target, verdict := board.Pick(pool, dispatch.Criteria{MaxQueued: 4})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
		expect.Expect(target.ID).To(gomega.Equal(taken[0]), "the other groups are still silent")
		expect.Expect(board.Occupancy(pool).Targets).To(gomega.Equal(1))
		for _, call := range calls {
			call.End()
		}
	})
}
