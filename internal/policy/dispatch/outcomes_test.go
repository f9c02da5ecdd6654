package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/dispatch"
)

// plain is a server without a group.
func plain(id string) dispatch.Spec {
	return dispatch.Spec{ID: id, Address: id + ":1", Slots: 6, PerCall: 5 * time.Millisecond, Turnover: 5 * time.Millisecond}
}

// A server resets every call of some callers at once, and its health is good.
// It never has calls under way, so that it looked like the emptiest of all, drew
// most of the calls, and the fleet's repeats were spent on it within seconds.
// What other nodes saw counts too: one of many sends it too little to know.
func TestServerThatFailsAtOnceDrawsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(plain("a"), plain("b"), plain("c"))
		board.PeerLoads(map[string]dispatch.Share{
			"a": {Failed: 800, Answered: 100}, "b": {Calls: 3, Answered: 2000}, "c": {Calls: 3, Failed: 100, Answered: 2000},
		})
		sent := map[string]int{}
		for range 60 {
			sent[pick(board).ID]++
		}
		expect.Expect(sent["a"]).To(gomega.BeZero())
		expect.Expect(sent["c"]).To(gomega.BeNumerically(">", 15))
	})
}

// The fault is over: the server gets calls again within some seconds, although
// nobody sends it any meanwhile.
func TestFailuresAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(plain("a"), plain("b"))
		for target := pick(board); ; target = pick(board) {
			if target.ID == "a" {
				target.Note(true)
				target.Note(true)
				target.Note(true)
				break
			}
		}
		for range 20 {
			expect.Expect(pick(board).ID).To(gomega.Equal("b"))
		}
		expect.Expect(board.Shares()["a"].Failed).To(gomega.Equal(300))
		time.Sleep(6 * time.Second)
		drawn := map[string]bool{}
		for range 40 {
			drawn[pick(board).ID] = true
		}
		expect.Expect(drawn).To(gomega.HaveKey("a"))
	})
}

// A server that is the only one is used however it fails.
func TestOnlyServerIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(plain("a"))
		board.PeerLoads(map[string]dispatch.Share{"a": {Failed: 9000}})
		expect.Expect(pick(board).ID).To(gomega.Equal("a"))
	})
}

// A group loses a member, and calls to its head fail until that is found. The
// head's next group is well and must be used at once.
func TestNextGroupOfAHeadIsNotAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"))
		for target := pick(board); ; target = pick(board) {
			if target.ID == "a" {
				for range 9 {
					target.Note(true)
				}
				break
			}
		}
		expect.Expect(board.Shares()).To(gomega.BeEmpty())
		next := head("a")
		next.Group = "g-later"
		board.Update(map[string][]dispatch.Spec{pool: {next, head("b")}})
		board.PeerLoads(map[string]dispatch.Share{"a": {Failed: 900}, "b": {Calls: 4}})
		drawn := map[string]bool{}
		for range 40 {
			drawn[pick(board).ID] = true
		}
		expect.Expect(drawn).To(gomega.HaveKey("a"))
	})
}

// A plain server failed all its calls and was started again under its ID. What was
// learnt of its former run kept calls off it for seconds after it was well.
func TestServerThatStartedAgainHasACleanRecord(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Minute
	board := dispatch.New(dispatch.Clock(func() time.Duration { return now }), dispatch.Random(func(int) int { return 0 }))
	pools := func(born int64) map[string][]dispatch.Spec {
		return map[string][]dispatch.Spec{"p": {{ID: "a", Slots: 6, Born: born}, {ID: "b", Slots: 6, Born: 1}}}
	}
	board.Update(pools(1))
	for range 20 {
		target, verdict := board.Pick("p", dispatch.Wish{Exclude: []string{"b"}})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
		target.Note(true)
	}
	target, _ := board.Pick("p", dispatch.Wish{})
	expect.Expect(target.ID).To(gomega.Equal("b"))
	board.Update(pools(2))
	target, _ = board.Pick("p", dispatch.Wish{})
	expect.Expect(target.ID).To(gomega.Equal("a"))
	expect.Expect(board.Shares()).NotTo(gomega.HaveKey("a"))
}
