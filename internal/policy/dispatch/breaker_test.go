package dispatch_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/dispatch"
)

// sentAfterAnswers is a send time after every recorded answer.
const sentAfterAnswers = time.Duration(math.MaxInt64)

// Guards against sending all calls to a head that resets them and therefore looks like the least loaded group.
func TestBreakerSkipsResettingHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		reset := map[string]int{}
		for range 200 {
			target := pick(board)
			call := target.Begin(700, 0, func() {}, ignoreSuspicion)
			if target.ID == "a" {
				target.RecordUnanswered(sentAfterAnswers)
				reset["a"]++
			} else {
				target.RecordResponse()
			}
			call.End()
			time.Sleep(5 * time.Millisecond)
		}
		// The breaker opens for 150, 300 and 600 ms: three or four attempts in a second.
		expect.Expect(reset["a"]).To(gomega.BeNumerically("<=", 4))
		expect.Expect(reset["a"]).To(gomega.BeNumerically(">=", 2), "the head is tried again")
	})
}

// Guards against a node that refuses every call after all its connections were reset at once.
func TestBreakersIgnoredWhenAllConnectionsReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		for _, id := range []string{"a", "b", "c"} {
			for {
				if target := pick(board); target.ID == id {
					target.RecordUnanswered(sentAfterAnswers)
					break
				}
			}
		}
		_, verdict := board.Pick(pool, dispatch.Criteria{})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
	})
}

// shedsNextCall reports whether the next call would be shed, and counts the call as demand.
func shedsNextCall(board *dispatch.Board) bool {
	_, shed := board.ShouldShed(pool, 0, dispatch.Criteria{})
	board.RecordDemand(pool, 0)
	return shed
}

// Guards against load shedding that refuses all calls of a pool without available targets: after a reset of all
// connections, when the breakers are ignored, and while all servers ask for backoffs, which Pick reports itself.
func TestNoSheddingWithoutAvailableTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		specs := []dispatch.Spec{head("a"), head("b"), head("c")}
		for number := range specs {
			specs[number].PromptPrefillTime = 15 * time.Millisecond
		}
		board := newBoard(specs...)
		expect.Expect(shedsNextCall(board)).To(gomega.BeFalse())
		for broken := map[string]bool{}; len(broken) < len(specs); {
			target := pick(board)
			if !broken[target.ID] {
				target.RecordUnanswered(sentAfterAnswers)
			}
			broken[target.ID] = true
		}
		for range 20 {
			expect.Expect(shedsNextCall(board)).To(gomega.BeFalse(), "all connections were reset")
		}
	})
	expect := gomega.NewWithT(t)
	board, notices, _ := newBoardWithNotices()
	specs := []dispatch.Spec{head("a"), head("b")}
	for number := range specs {
		specs[number].PromptPrefillTime = 15 * time.Millisecond
		recordBackoff(notices, specs[number].ID, 3*time.Second)
	}
	board.Update(map[string][]dispatch.Spec{pool: specs})
	expect.Expect(shedsNextCall(board)).To(gomega.BeFalse(), "all servers ask for a backoff")
}

// Guards against a breaker that stays open after its head has answered again, and against one that opens for the
// reset of a call that was sent before the last answer.
func TestAnswerClosesBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		target := pick(board)
		time.Sleep(time.Second)
		expect.Expect(target.RecordUnanswered(sentAfterAnswers)).To(gomega.Equal(1))
		expect.Expect(target.RecordUnanswered(sentAfterAnswers)).To(gomega.Equal(2))
		expect.Expect(board.State()[pool][0].Broken).To(gomega.BeTrue())
		target.RecordResponse()
		expect.Expect(board.State()[pool][0].Broken).To(gomega.BeFalse())
		expect.Expect(target.RecordUnanswered(0)).To(gomega.BeZero())
	})
}
