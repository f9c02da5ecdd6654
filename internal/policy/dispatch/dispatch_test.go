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
		ID: id, Address: id + ":1", Group: "g-" + id, Slots: 16, Pass: 45 * time.Millisecond,
		PerToken: 22 * time.Microsecond, PerCall: 500 * time.Microsecond, Turnover: 80 * time.Millisecond,
	}
}

func newBoard(specs ...dispatch.Spec) *dispatch.Board {
	draw := rand.New(rand.NewPCG(1, 1))
	board := dispatch.New(dispatch.Clock(clock.Virtual()), dispatch.Random(draw.IntN))
	board.Update(map[string][]dispatch.Spec{pool: specs})
	return board
}

// fill begins calls whose prompts were read.
func fill(board *dispatch.Board, target *dispatch.Target, calls int) {
	for range calls {
		use := target.Begin(1000, 0, func() {})
		use.Event()
	}
	_ = board
}

func pick(board *dispatch.Board) *dispatch.Target {
	target, _ := board.Pick(pool, dispatch.Wish{Beyond: 4})
	return target
}

// A third of the calls went to groups of each data centre, wherever they came from.
// When one was cut off, two thirds of its streams stood still. Among groups nearly
// as good, one of the own data centre is taken; with more prompts to read it isn't.
func TestOwnDataCentreComesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		own, other := head("a"), head("b")
		own.DataCentre, other.DataCentre = "north", "south"
		board := newBoard(own, other)
		target, _ := board.Pick(pool, dispatch.Wish{DataCentre: "north"})
		for range 40 {
			chosen, _ := board.Pick(pool, dispatch.Wish{DataCentre: "north"})
			expect.Expect(chosen.ID).To(gomega.Equal("a"))
		}
		target.Begin(2500, 0, func() {})
		chosen, _ := board.Pick(pool, dispatch.Wish{DataCentre: "north"})
		expect.Expect(chosen.ID).To(gomega.Equal("b"))
	})
}

// A group was just opened beside busy ones, at peak load. Counted by places, it
// drew every request of all nodes at once; their prompts queued there, and their
// first events came later than at the busy groups. Requests must spread.
func TestNewGroupIsNotRushed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		busy := map[string]bool{}
		for len(busy) < 2 {
			target := pick(board)
			if target.ID != "c" && !busy[target.ID] {
				fill(board, target, 10)
				busy[target.ID] = true
			}
		}
		sent := map[string]int{}
		for range 12 {
			target := pick(board)
			target.Begin(1400, 0, func() {})
			sent[target.ID]++
		}
		expect.Expect(sent["c"]).To(gomega.BeNumerically("<=", 6))
		expect.Expect(sent["a"] + sent["b"]).To(gomega.BeNumerically(">=", 6))
	})
}

// Prompts that wait to be read, here or sent by peers, make the next first event
// late; a request goes where fewer wait.
func TestUnreadPromptsAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"))
		board.PeerLoads(map[string]dispatch.Share{"a": {Calls: 3, Unread: 6000}})
		for range 20 {
			expect.Expect(pick(board).ID).To(gomega.Equal("b"))
		}
	})
}

func TestFullAndEmptyPoolsAreToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		board.PeerLoads(map[string]dispatch.Share{"a": {Calls: 20}})
		_, verdict := board.Pick(pool, dispatch.Wish{Beyond: 4})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Full))
		_, verdict = board.Pick(pool, dispatch.Wish{Beyond: 5})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
		_, verdict = board.Pick(pool, dispatch.Wish{Exclude: []string{"a"}})
		expect.Expect(verdict).To(gomega.Equal(dispatch.None))
		_, verdict = board.Pick("drafts/other", dispatch.Wish{})
		expect.Expect(verdict).To(gomega.Equal(dispatch.None))
	})
}

// A member of a group is lost: the head goes on accepting, and no stream moves.
// New calls stay away within a few passes, and soon after the streams move. A
// group that reads a long prompt for some passes stays.
func TestSilentGroupIsAvoidedThenLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"))
		target := pick(board)
		moved := false
		use := target.Begin(100, 0, func() { moved = true })
		use.Event()
		time.Sleep(200 * time.Millisecond)
		expect.Expect(board.Watch()).To(gomega.BeEmpty())
		time.Sleep(50 * time.Millisecond)
		expect.Expect(board.Watch()).To(gomega.HaveLen(1))
		expect.Expect(moved).To(gomega.BeFalse())
		for range 10 {
			expect.Expect(pick(board).ID).NotTo(gomega.Equal(target.ID))
		}
		time.Sleep(200 * time.Millisecond)
		board.Watch()
		expect.Expect(moved).To(gomega.BeTrue())
		expect.Expect(use.Moved()).To(gomega.BeTrue())
		use.End()
	})
}

// Guards against a group that is avoided, and whose stream is moved, since its only caller reads
// slowly; and against one whose silence isn't seen any more after that, or beside it.
func TestStreamOfASlowReaderIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		target := pick(board)
		use := target.Begin(100, 0, func() {})
		use.Event()
		use.Hold()
		time.Sleep(10 * time.Second)
		expect.Expect(board.Watch()).To(gomega.BeEmpty())
		use.Resume()
		time.Sleep(200 * time.Millisecond)
		expect.Expect(board.Watch()).To(gomega.BeEmpty())
		time.Sleep(50 * time.Millisecond)
		expect.Expect(board.Watch()).To(gomega.HaveLen(1))
		use.Hold()
		waiting := target.Begin(100, 0, func() {})
		time.Sleep(800 * time.Millisecond)
		expect.Expect(board.Watch()).To(gomega.BeEmpty())
		time.Sleep(200 * time.Millisecond)
		expect.Expect(board.Watch()).To(gomega.HaveLen(1), "the other call waits for its first event")
		waiting.End()
		use.Resume()
		use.End()
	})
}

// At peak load a group's calls wait over a second for their first events. Taken
// from it they used up their attempts and failed, while the group was whole. They
// stay, new calls are kept away, and only callers' patience bounds the wait.
func TestCallsOfACrowdedGroupStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"))
		target := pick(board)
		moved := false
		use := target.Begin(100, 0, func() { moved = true })
		time.Sleep(1200 * time.Millisecond)
		expect.Expect(board.Watch()).To(gomega.HaveLen(1))
		expect.Expect(moved).To(gomega.BeFalse())
		expect.Expect(pick(board).ID).NotTo(gomega.Equal(target.ID))
		time.Sleep(500 * time.Millisecond)
		board.Watch()
		expect.Expect(moved).To(gomega.BeTrue())
		use.End()
	})
}

// The node that mends groups says that one is lost; its calls move at once, and
// a later group with the same head starts afresh.
func TestLostGroupIsLeftAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		ended := 0
		use := pick(board).Begin(100, 0, func() { ended++ })
		expect.Expect(board.Lose("g-a")).To(gomega.Equal(1))
		expect.Expect(board.Lose("g-a")).To(gomega.BeZero())
		expect.Expect(ended).To(gomega.Equal(1))
		expect.Expect(pick(board)).To(gomega.BeNil())
		next := head("a")
		next.Group = "g-later"
		board.Update(map[string][]dispatch.Spec{pool: {next}})
		expect.Expect(pick(board).Taken()).To(gomega.BeZero())
		use.End()
	})
}

// Counts of a target survive the lists that show it, and calls are uncounted
// once however often they end.
func TestCountsOutliveLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		use := pick(board).Begin(700, 0, func() {})
		board.Update(map[string][]dispatch.Spec{pool: {head("a"), head("b")}})
		expect.Expect(board.Shares()).To(gomega.Equal(map[string]dispatch.Share{"a": {Calls: 1, Unread: 700}}))
		use.Event()
		expect.Expect(board.Shares()).To(gomega.Equal(map[string]dispatch.Share{"a": {Calls: 1}}))
		use.End()
		use.End()
		expect.Expect(board.Shares()).To(gomega.BeEmpty())
	})
}

// A caller waits until its deadline for a stream that nobody will go on with: a
// member of its group is lost, and before the group's silence is noticed, the
// list of servers shows the group incomplete. The group leaves the pool, and
// its calls with it left the watch, so that they were neither moved nor ended.
func TestCallsOfGroupThatLeftThePoolAreWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		target := pick(board)
		ended := 0
		use := target.Begin(1000, 0, func() { ended++ })
		use.Event()
		board.Update(map[string][]dispatch.Spec{})
		time.Sleep(2 * time.Second)
		silent := board.Watch()
		expect.Expect(silent).To(gomega.HaveLen(1))
		expect.Expect(silent[0].Group).To(gomega.Equal("g-a"))
		expect.Expect(ended).To(gomega.Equal(1))
		use.End()
		expect.Expect(board.Watch()).To(gomega.BeEmpty())
	})
}

// The same, and the node that mends groups finds the loss first: its news must
// reach the calls of a group that the list no longer shows.
func TestCallsOfGroupThatLeftThePoolAreMovedByNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"))
		target := pick(board)
		ended := 0
		target.Begin(1000, 0, func() { ended++ })
		board.Update(map[string][]dispatch.Spec{})
		expect.Expect(board.Lose("g-a")).To(gomega.Equal(1))
		expect.Expect(ended).To(gomega.Equal(1))
	})
}

// Two groups lose a member at once. The streams of the one were moved to the
// other, which had none of its own to show that it stood still, and used up
// their last attempt there. A moved stream goes where events are seen to come.
func TestMovedStreamGoesToAGroupSeenGoingOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		for target := pick(board); ; target = pick(board) {
			if target.ID == "b" {
				fill(board, target, 6)
				break
			}
		}
		for range 20 {
			target, _ := board.Pick(pool, dispatch.Wish{Beyond: 4, Proven: true})
			expect.Expect(target.ID).To(gomega.Equal("b"))
		}
		time.Sleep(time.Second)
		target, verdict := board.Pick(pool, dispatch.Wish{Beyond: 4, Proven: true, Exclude: []string{"b"}})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
		expect.Expect(target.ID).NotTo(gomega.Equal("b"))
	})
}
