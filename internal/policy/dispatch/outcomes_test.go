package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/dispatch"
)

// plainServer describes a server without a group.
func plainServer(id string) dispatch.Spec {
	return dispatch.Spec{ID: id, Address: id + ":1", Slots: 6, PassTimePerCall: 5 * time.Millisecond, SlotReleaseInterval: 5 * time.Millisecond}
}

// Guards against a server that resets every call of some callers immediately while its health check passes. It
// has no calls in progress, so it looked least loaded, attracted most calls, and used up the fleet's retries
// within seconds. The outcomes of other nodes count too, because a single node sends too few calls to notice.
func TestFastFailingServerIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(plainServer("a"), plainServer("b"), plainServer("c"))
		board.SetPeerLoads(map[string]dispatch.ServerLoad{
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

// Guards against a server that gets no calls long after its fault is over, because no new outcomes arrive
// without calls.
func TestFailuresDecay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(plainServer("a"), plainServer("b"))
		for target := pick(board); ; target = pick(board) {
			if target.ID == "a" {
				target.RecordOutcome(true)
				target.RecordOutcome(true)
				target.RecordOutcome(true)
				break
			}
		}
		for range 20 {
			expect.Expect(pick(board).ID).To(gomega.Equal("b"))
		}
		expect.Expect(board.OwnLoads()["a"].Failed).To(gomega.Equal(300))
		time.Sleep(6 * time.Second)
		drawn := map[string]bool{}
		for range 40 {
			drawn[pick(board).ID] = true
		}
		expect.Expect(drawn).To(gomega.HaveKey("a"))
	})
}

// The only server is used however often it fails.
func TestOnlyServerIsUsedDespiteFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(plainServer("a"))
		board.SetPeerLoads(map[string]dispatch.ServerLoad{"a": {Failed: 9000}})
		expect.Expect(pick(board).ID).To(gomega.Equal("a"))
	})
}

// Guards against avoiding the next group of a head whose previous group lost a member and failed calls until the
// loss was found. The next group is healthy and must be used immediately.
func TestFailuresDoNotCarryOverToNextGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"))
		for target := pick(board); ; target = pick(board) {
			if target.ID == "a" {
				for range 9 {
					target.RecordOutcome(true)
				}
				break
			}
		}
		expect.Expect(board.OwnLoads()).To(gomega.BeEmpty())
		next := head("a")
		next.Group = "g-later"
		board.Update(map[string][]dispatch.Spec{pool: {next, head("b")}})
		board.SetPeerLoads(map[string]dispatch.ServerLoad{"a": {Failed: 900}, "b": {Calls: 4}})
		drawn := map[string]bool{}
		for range 40 {
			drawn[pick(board).ID] = true
		}
		expect.Expect(drawn).To(gomega.HaveKey("a"))
	})
}

// Guards against avoiding a plain server that restarted under the same ID: the failures of its previous run kept
// calls away for seconds after it was healthy.
func TestRestartedServerHasNoFailures(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Minute
	board := dispatch.New(dispatch.Clock(func() time.Duration { return now }), dispatch.Random(func(int) int { return 0 }))
	pools := func(born int64) map[string][]dispatch.Spec {
		return map[string][]dispatch.Spec{"p": {{ID: "a", Slots: 6, Born: born}, {ID: "b", Slots: 6, Born: 1}}}
	}
	board.Update(pools(1))
	for range 20 {
		target, verdict := board.Pick("p", dispatch.Criteria{Exclude: []string{"b"}})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
		target.RecordOutcome(true)
	}
	target, _ := board.Pick("p", dispatch.Criteria{})
	expect.Expect(target.ID).To(gomega.Equal("b"))
	board.Update(pools(2))
	target, _ = board.Pick("p", dispatch.Criteria{})
	expect.Expect(target.ID).To(gomega.Equal("a"))
	expect.Expect(board.OwnLoads()).NotTo(gomega.HaveKey("a"))
}
