package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/dispatch"
)

const pool = "drafts/large"

func head(id string) dispatch.Spec {
	return dispatch.Spec{
		ID: id, Address: id + ":1", Group: "g-" + id, Slots: 16, PassTime: 45 * time.Millisecond,
		TokenPrefillTime: 22 * time.Microsecond, PassTimePerCall: 500 * time.Microsecond, SlotReleaseInterval: 80 * time.Millisecond,
	}
}

func newBoard(specs ...dispatch.Spec) *dispatch.Board {
	draw := rand.New(rand.NewPCG(1, 1))
	board := dispatch.New(dispatch.Clock(clock.Virtual()), dispatch.Random(draw.IntN))
	board.Update(map[string][]dispatch.Spec{pool: specs})
	return board
}

// startStreams begins calls that have had their first event.
func startStreams(board *dispatch.Board, target *dispatch.Target, calls int) {
	for range calls {
		call := target.Begin(1000, 0, func() {}, ignoreSuspicion)
		call.RecordEvent()
	}
	_ = board
}

func pick(board *dispatch.Board) *dispatch.Target {
	target, _ := board.Pick(pool, dispatch.Criteria{MaxQueued: 4})
	return target
}

// Guards against spreading calls evenly over the data centres: when one was cut off, two thirds of its streams
// stalled because they ran elsewhere. Among nearly equal groups the local one is chosen, but not if it has more
// prompts to prefill.
func TestPickPrefersLocalDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		local, remote := head("a"), head("b")
		local.DataCentre, remote.DataCentre = "north", "south"
		board := newBoard(local, remote)
		target, _ := board.Pick(pool, dispatch.Criteria{DataCentre: "north"})
		for range 40 {
			chosen, _ := board.Pick(pool, dispatch.Criteria{DataCentre: "north"})
			expect.Expect(chosen.ID).To(gomega.Equal("a"))
		}
		target.Begin(2500, 0, func() {}, ignoreSuspicion)
		chosen, _ := board.Pick(pool, dispatch.Criteria{DataCentre: "north"})
		expect.Expect(chosen.ID).To(gomega.Equal("b"))
	})
}

// Guards against flooding a group that was just formed at peak load. Chosen by free slots, it got the requests
// of all nodes at once, and their prompts queued there longer than at the busy groups.
func TestNewGroupIsNotFlooded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		busy := map[string]bool{}
		for len(busy) < 2 {
			target := pick(board)
			if target.ID != "c" && !busy[target.ID] {
				startStreams(board, target, 10)
				busy[target.ID] = true
			}
		}
		sent := map[string]int{}
		for range 12 {
			target := pick(board)
			target.Begin(1400, 0, func() {}, ignoreSuspicion)
			sent[target.ID]++
		}
		expect.Expect(sent["c"]).To(gomega.BeNumerically("<=", 6))
		expect.Expect(sent["a"] + sent["b"]).To(gomega.BeNumerically(">=", 6))
	})
}

// Pending prompts, of this node's calls or those of peers, delay the next first event. A request goes where
// fewer are pending.
func TestPickAvoidsPendingPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"))
		board.SetPeerLoads(map[string]dispatch.ServerLoad{"a": {Calls: 3, PendingPromptTokens: 6000}})
		for range 20 {
			expect.Expect(pick(board).ID).To(gomega.Equal("b"))
		}
	})
}

func TestPickDistinguishesFullFromNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		board.SetPeerLoads(map[string]dispatch.ServerLoad{"a": {Calls: 20}})
		_, verdict := board.Pick(pool, dispatch.Criteria{MaxQueued: 4})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Full))
		_, verdict = board.Pick(pool, dispatch.Criteria{MaxQueued: 5})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
		_, verdict = board.Pick(pool, dispatch.Criteria{Exclude: []string{"a"}})
		expect.Expect(verdict).To(gomega.Equal(dispatch.NoTarget))
		_, verdict = board.Pick("drafts/other", dispatch.Criteria{})
		expect.Expect(verdict).To(gomega.Equal(dispatch.NoTarget))
	})
}

// Guards against calls that wait at a group that has lost a member, whose head still accepts calls while no
// stream progresses. New calls stay away within a few passes, and soon after the streams are suspected, again and again
// while the silence lasts. A group that is silent for some passes because it prefills a long prompt is not suspected,
// and no stream is cancelled for silence: its server may be sound.
func TestStalledGroupIsAvoidedThenCallsAreSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"))
		target := pick(board)
		canceled, suspicions := false, []dispatch.Suspicion{}
		call := target.Begin(100, 0, func() { canceled = true }, func(suspicion dispatch.Suspicion) { suspicions = append(suspicions, suspicion) })
		call.RecordEvent()
		time.Sleep(200 * time.Millisecond)
		expect.Expect(board.WatchGroups()).To(gomega.BeEmpty())
		time.Sleep(50 * time.Millisecond)
		expect.Expect(board.WatchGroups()).To(gomega.HaveLen(1))
		expect.Expect(suspicions).To(gomega.BeEmpty())
		for range 10 {
			expect.Expect(pick(board).ID).NotTo(gomega.Equal(target.ID))
		}
		time.Sleep(200 * time.Millisecond)
		board.WatchGroups()
		expect.Expect(suspicions).To(gomega.Equal([]dispatch.Suspicion{{Reason: dispatch.GroupSilent, Silence: 450 * time.Millisecond}}))
		time.Sleep(3 * time.Second)
		board.WatchGroups()
		expect.Expect(suspicions).To(gomega.HaveLen(2))
		expect.Expect(canceled || call.Moved()).To(gomega.BeFalse())
		call.RecordEvent()
		expect.Expect(board.WatchGroups()).To(gomega.BeEmpty())
		expect.Expect(suspicions).To(gomega.HaveLen(2))
		call.End()
	})
}

// Guards against avoiding a group and moving its stream because its only caller reads slowly, and against
// missing the silence of a group after such a pause or beside a paused stream.
func TestPausedStreamIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		target := pick(board)
		call := target.Begin(100, 0, func() {}, ignoreSuspicion)
		call.RecordEvent()
		call.PauseReading()
		time.Sleep(10 * time.Second)
		expect.Expect(board.WatchGroups()).To(gomega.BeEmpty())
		call.ResumeReading()
		time.Sleep(200 * time.Millisecond)
		expect.Expect(board.WatchGroups()).To(gomega.BeEmpty())
		time.Sleep(50 * time.Millisecond)
		expect.Expect(board.WatchGroups()).To(gomega.HaveLen(1))
		call.PauseReading()
		waiting := target.Begin(100, 0, func() {}, ignoreSuspicion)
		time.Sleep(800 * time.Millisecond)
		expect.Expect(board.WatchGroups()).To(gomega.BeEmpty())
		time.Sleep(200 * time.Millisecond)
		expect.Expect(board.WatchGroups()).To(gomega.HaveLen(1), "the other call waits for its first event")
		waiting.End()
		call.ResumeReading()
		call.End()
	})
}

// Guards against suspecting calls of a group that is only overloaded. At peak load calls wait over a second for
// their first events; second runs would use up their attempts. They stay, new calls are kept away, and the
// wait is bounded only by the callers' patience.
func TestCallsOfOverloadedGroupStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"))
		target := pick(board)
		canceled, suspected := false, false
		call := target.Begin(100, 0, func() { canceled = true }, func(dispatch.Suspicion) { suspected = true })
		time.Sleep(1200 * time.Millisecond)
		expect.Expect(board.WatchGroups()).To(gomega.HaveLen(1))
		expect.Expect(suspected).To(gomega.BeFalse())
		expect.Expect(pick(board).ID).NotTo(gomega.Equal(target.ID))
		time.Sleep(500 * time.Millisecond)
		board.WatchGroups()
		expect.Expect(suspected).To(gomega.BeTrue())
		expect.Expect(canceled).To(gomega.BeFalse())
		call.End()
	})
}

// Guards against calls that wait for their first event at a group that the repairing node reports lost, against
// cancelling streams there that a sound group goes on with, and against a later group with the same head that inherits
// its counts.
func TestMarkGroupLostGivesUpUnansweredCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		ended, suspicions := 0, []dispatch.Suspicion{}
		target := pick(board)
		call := target.Begin(100, 0, func() { ended++ }, func(dispatch.Suspicion) { t.Error("a cancelled call was suspected") })
		started := target.Begin(100, 0, func() { t.Error("a stream was cancelled") }, func(suspicion dispatch.Suspicion) { suspicions = append(suspicions, suspicion) })
		started.RecordEvent()
		kept := target.Begin(100, 0, func() { t.Error("a kept call was cancelled") }, func(suspicion dispatch.Suspicion) { suspicions = append(suspicions, suspicion) })
		kept.KeepAtLoss()
		expect.Expect(board.MarkGroupLost("g-a")).To(gomega.Equal(3))
		expect.Expect(board.MarkGroupLost("g-a")).To(gomega.BeZero())
		expect.Expect(ended).To(gomega.Equal(1))
		expect.Expect(call.Moved()).To(gomega.BeTrue())
		expect.Expect(suspicions).To(gomega.Equal([]dispatch.Suspicion{{Reason: dispatch.GroupLost}, {Reason: dispatch.GroupLost}}))
		expect.Expect(pick(board)).To(gomega.BeNil())
		next := head("a")
		next.Group = "g-later"
		board.Update(map[string][]dispatch.Spec{pool: {next}})
		expect.Expect(pick(board).ActiveCalls()).To(gomega.BeZero())
		call.End()
		started.End()
		kept.End()
	})
}

// Guards against call counts that are reset by Update, and against a call that is subtracted twice when it ends
// twice.
func TestCallCountsSurviveUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		call := pick(board).Begin(700, 0, func() {}, ignoreSuspicion)
		board.Update(map[string][]dispatch.Spec{pool: {head("a"), head("b")}})
		expect.Expect(board.OwnLoads()).To(gomega.Equal(map[string]dispatch.ServerLoad{"a": {Calls: 1, PendingPromptTokens: 700}}))
		call.RecordEvent()
		expect.Expect(board.OwnLoads()).To(gomega.Equal(map[string]dispatch.ServerLoad{"a": {Calls: 1}}))
		call.End()
		call.End()
		expect.Expect(board.OwnLoads()).To(gomega.BeEmpty())
	})
}

// Guards against callers that wait until their deadline for a stalled stream: a member of its group is lost, and
// the server list shows the group as incomplete before its silence is detected. The group leaves the pool, and
// its calls must still be watched.
func TestDelistedGroupIsWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		target := pick(board)
		suspected := 0
		call := target.Begin(1000, 0, func() {}, func(dispatch.Suspicion) { suspected++ })
		call.RecordEvent()
		board.Update(map[string][]dispatch.Spec{})
		time.Sleep(2 * time.Second)
		stalled := board.WatchGroups()
		expect.Expect(stalled).To(gomega.HaveLen(1))
		expect.Expect(stalled[0].Group).To(gomega.Equal("g-a"))
		expect.Expect(suspected).To(gomega.Equal(1))
		call.End()
		expect.Expect(board.WatchGroups()).To(gomega.BeEmpty())
	})
}

// The same when the node that repairs groups finds the loss first: MarkGroupLost must reach the calls of a group
// that is no longer listed.
func TestMarkGroupLostReachesDelistedGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		target := pick(board)
		ended := 0
		target.Begin(1000, 0, func() { ended++ }, ignoreSuspicion)
		board.Update(map[string][]dispatch.Spec{})
		expect.Expect(board.MarkGroupLost("g-a")).To(gomega.Equal(1))
		expect.Expect(ended).To(gomega.Equal(1))
	})
}

// Guards against moving the streams of one lost group to another one, when two groups lose a member at once. The
// other group had no streams of its own that showed the loss, and the moved streams used up their last attempt
// there. A moved stream goes to a group that has had events.
func TestMovedStreamPrefersActiveGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		for target := pick(board); ; target = pick(board) {
			if target.ID == "b" {
				startStreams(board, target, 6)
				break
			}
		}
		for range 20 {
			target, _ := board.Pick(pool, dispatch.Criteria{MaxQueued: 4, PreferActive: true})
			expect.Expect(target.ID).To(gomega.Equal("b"))
		}
		time.Sleep(time.Second)
		target, verdict := board.Pick(pool, dispatch.Criteria{MaxQueued: 4, PreferActive: true, Exclude: []string{"b"}})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
		expect.Expect(target.ID).NotTo(gomega.Equal("b"))
	})
}
