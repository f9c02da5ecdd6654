package dispatch_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/dispatch"
)

// pausedBoard is a board whose clock a test moves on, as it jumps for a process that was stopped.
type pausedBoard struct {
	*dispatch.Board
	now time.Duration
	// givenUp counts calls that were cancelled or suspected.
	givenUp int
}

func newPausedBoard(dataCentre string, specs ...dispatch.Spec) *pausedBoard {
	board := &pausedBoard{now: time.Hour}
	board.Board = dispatch.New(dispatch.Clock(func() time.Duration { return board.now }), dispatch.DataCentre("west"), dispatch.Random(func(int) int { return 0 }))
	for number := range specs {
		specs[number].DataCentre = dataCentre
	}
	board.Update(map[string][]dispatch.Spec{pool: specs})
	return board
}

// begin begins a call at each target. Those of started streams have had their first event.
func (board *pausedBoard) begin(targets int, started bool) []*dispatch.Call {
	calls, taken := []*dispatch.Call{}, []string{}
	for range targets {
		target, _ := board.Pick(pool, dispatch.Criteria{MaxQueued: 4, Exclude: taken})
		taken = append(taken, target.ID)
		call := target.Begin(100, 0, func() { board.givenUp++ }, func(dispatch.Suspicion) { board.givenUp++ })
		if started {
			call.RecordEvent()
		}
		calls = append(calls, call)
	}
	return calls
}

// Guards against a node that was stopped for a while and suspects all its calls at its first look at the clock. The
// events of the meantime lie unread in its connections.
func TestCallsStayAfterPauseOfThisProcess(t *testing.T) {
	for name, started := range map[string]bool{"streams": true, "calls without an event": false} {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			board := newPausedBoard("west", head("a"), head("b"), head("c"))
			board.begin(3, started)
			board.now += 3*time.Second + 40*time.Millisecond
			board.RecordPause(3 * time.Second)
			stalled := board.WatchGroups()
			expect.Expect(board.givenUp).To(gomega.BeZero())
			expect.Expect(stalled).To(gomega.BeEmpty())
			board.WatchPaths()
			expect.Expect(board.DuePathProbes()).To(gomega.BeEmpty())
			for _, id := range []string{"a", "b", "c"} {
				expect.Expect(pickable(board, id)).To(gomega.BeTrue(), id)
			}
			// A group that stays silent while the process runs is still found.
			board.now += 2 * time.Second
			expect.Expect(board.WatchGroups()).To(gomega.HaveLen(3))
		})
	}
}

func pickable(board *pausedBoard, id string) bool {
	others := []string{}
	for _, other := range []string{"a", "b", "c"} {
		if other != id {
			others = append(others, other)
		}
	}
	target, _ := board.Pick(pool, dispatch.Criteria{MaxQueued: 4, Exclude: others})
	return target != nil && target.ID == id
}

// Guards against a node that is short of processor time and never finds a stalled group, because each of its ticks is
// late.
func TestStalledGroupIsFoundDespitePauses(t *testing.T) {
	expect := gomega.NewWithT(t)
	board := newPausedBoard("west", head("a"))
	board.begin(1, true)
	ticks := 0
	for ; len(board.WatchGroups()) == 0 && ticks < 100; ticks++ {
		board.now += 190 * time.Millisecond
		board.RecordPause(150 * time.Millisecond)
	}
	expect.Expect(ticks).To(gomega.Equal(6), "six ticks of 40 ms are longer than the silence of a stalled group")
}

// Guards against a node that was stopped for a while and gives up a whole data centre, or all servers of a service.
func TestPauseOfThisProcessSuspectsNoPath(t *testing.T) {
	expect := gomega.NewWithT(t)
	board := newPausedBoard("east", head("a"), head("b"), head("c"))
	board.begin(3, true)
	board.now += 3*time.Second + 40*time.Millisecond
	board.RecordPause(3 * time.Second)
	expect.Expect(board.DueDataCentreProbes()).To(gomega.BeEmpty())
	board.now += 2 * time.Second
	expect.Expect(board.DueDataCentreProbes()).To(gomega.HaveLen(1), "the silence of a running process counts")
}
