package dispatch_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/dispatch"
)

// lastSent is after every answer: the call that ends was sent after them.
const lastSent = time.Duration(math.MaxInt64)

// Guards against a head that resets all its calls and so looks like the emptiest of all groups.
func TestHeadThatResetsItsCallsIsPassedBy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		reset := map[string]int{}
		for range 200 {
			target := pick(board)
			use := target.Begin(700, 0, func() {})
			if target.ID == "a" {
				target.Unanswered(lastSent)
				reset["a"]++
			} else {
				target.Heard()
			}
			use.End()
			time.Sleep(5 * time.Millisecond)
		}
		// 150, 300, 600 ms: three or four tries in a second.
		expect.Expect(reset["a"]).To(gomega.BeNumerically("<=", 4))
		expect.Expect(reset["a"]).To(gomega.BeNumerically(">=", 2), "it is tried again")
	})
}

// Guards against a node that refuses everything since all its connections were reset at once.
func TestResetOfAllConnectionsClosesNoPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		for _, id := range []string{"a", "b", "c"} {
			for {
				if target := pick(board); target.ID == id {
					target.Unanswered(lastSent)
					break
				}
			}
		}
		_, verdict := board.Pick(pool, dispatch.Wish{})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
	})
}

// refused says whether the next call would be shed.
func refused(board *dispatch.Board) bool {
	_, shed := board.Sheds(pool, 0, dispatch.Wish{})
	board.Asked(pool, 0)
	return shed
}

// Guards against load shedding that refuses all calls of a pool none of whose targets is open: after a reset of
// all connections, when the breakers are ignored, and while all servers ask for backoffs, which has its own answer.
func TestPoolWithoutOpenTargetsIsNotCrowded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		specs := []dispatch.Spec{head("a"), head("b"), head("c")}
		for number := range specs {
			specs[number].PerPrompt = 15 * time.Millisecond
		}
		board := newBoard(specs...)
		expect.Expect(refused(board)).To(gomega.BeFalse())
		for broken := map[string]bool{}; len(broken) < len(specs); {
			target := pick(board)
			if !broken[target.ID] {
				target.Unanswered(lastSent)
			}
			broken[target.ID] = true
		}
		for range 20 {
			expect.Expect(refused(board)).To(gomega.BeFalse(), "all were reset")
		}
	})
	expect := gomega.NewWithT(t)
	board, notices, _ := noticedBoard()
	specs := []dispatch.Spec{head("a"), head("b")}
	for number := range specs {
		specs[number].PerPrompt = 15 * time.Millisecond
		backoff(notices, specs[number].ID, 3*time.Second)
	}
	board.Update(map[string][]dispatch.Spec{pool: specs})
	expect.Expect(refused(board)).To(gomega.BeFalse(), "all ask for a backoff")
}

// Guards against a breaker that stays open after its head answers again, and one that a reset opens of a
// call from before the last answer.
func TestAnswerClosesTheBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		target := pick(board)
		time.Sleep(time.Second)
		expect.Expect(target.Unanswered(lastSent)).To(gomega.Equal(1))
		expect.Expect(target.Unanswered(lastSent)).To(gomega.Equal(2))
		expect.Expect(board.State()[pool][0].Broken).To(gomega.BeTrue())
		target.Heard()
		expect.Expect(board.State()[pool][0].Broken).To(gomega.BeFalse())
		expect.Expect(target.Unanswered(0)).To(gomega.BeZero())
	})
}
