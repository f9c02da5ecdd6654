package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/dispatch"
)

// twoCentres is the board of a node in the west, with a group there and two in the east.
func twoCentres() *dispatch.Board {
	board := dispatch.New(dispatch.Clock(clock.Virtual()), dispatch.DataCentre("west"))
	board.Update(map[string][]dispatch.Spec{"p": {
		{ID: "near", Address: "near:1", Group: "g1", DataCentre: "west", Slots: 4, Pass: 40 * time.Millisecond},
		{ID: "far-1", Address: "far-1:1", Group: "g2", DataCentre: "east", Slots: 4, Pass: 40 * time.Millisecond},
		{ID: "far-2", Address: "far-2:1", Group: "g3", DataCentre: "east", Slots: 4, Pass: 40 * time.Millisecond},
	}})
	return board
}

// far picks a target that isn't the near one.
func far(board *dispatch.Board) *dispatch.Target {
	target, _ := board.Pick("p", dispatch.Wish{DataCentre: "west", Exclude: []string{"near"}})
	return target
}

// chosen picks as a fresh call does, and names the target.
func chosen(board *dispatch.Board, exclude ...string) string {
	target, verdict := board.Pick("p", dispatch.Wish{DataCentre: "west", Exclude: exclude, Beyond: 4})
	if verdict != dispatch.Chosen {
		return ""
	}
	return target.ID
}

// A data centre is cut off. Calls to its servers time out one by one; each caller waits
// for one time-out after the other, at the next server behind the same cut, and leaves.
// After two of them none may be sent there, and when a server is reached again they may.
func TestTimeOutsAtTwoServersAreOneCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := twoCentres()
		time.Sleep(time.Second)
		sent := clock.Virtual()()
		time.Sleep(400 * time.Millisecond)
		first := far(board)
		first.Missed(sent)
		expect.Expect(board.Probes()).To(gomega.BeEmpty(), "one server may have ended")
		other := chosen(board, "near", first.ID)
		target, _ := board.Pick("p", dispatch.Wish{DataCentre: "west", Exclude: []string{"near", first.ID}})
		target.Missed(sent)

		for range 20 {
			expect.Expect(chosen(board)).To(gomega.Equal("near"))
		}
		probes := board.Probes()
		expect.Expect(probes).To(gomega.HaveLen(1))
		expect.Expect(probes[0].DataCentre).To(gomega.Equal("east"))
		expect.Expect(probes[0].Addresses).To(gomega.ConsistOf("far-1:1", "far-2:1"))
		_, news := probes[0].Done(false)
		expect.Expect(news).To(gomega.BeTrue())
		expect.Expect(chosen(board, "near")).NotTo(gomega.BeEmpty(), "there is nowhere else to go")
		time.Sleep(500 * time.Millisecond)
		again := board.Probes()
		expect.Expect(again).To(gomega.HaveLen(1))
		again[0].Done(true)
		expect.Expect(board.Probes()).To(gomega.BeEmpty())
		expect.Expect(chosen(board, "near", first.ID)).To(gomega.Equal(other))
	})
}

// A time-out of a call that was sent before something last came from there says nothing of
// the way there.
func TestOldTimeOutsDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := twoCentres()
		time.Sleep(time.Second)
		sent := clock.Virtual()()
		time.Sleep(400 * time.Millisecond)
		first := far(board)
		first.Heard()
		first.Missed(sent)
		target, _ := board.Pick("p", dispatch.Wish{DataCentre: "west", Exclude: []string{"near", first.ID}})
		target.Missed(sent)
		expect.Expect(board.Probes()).To(gomega.BeEmpty())
	})
}

// The streams of two groups of a data centre stand still together. They go on elsewhere
// once its servers can't be connected to; where one can, each group is looked at by itself.
func TestStreamsLeaveADataCentreThatIsNotReached(t *testing.T) {
	for _, answered := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			board := twoCentres()
			ended := 0
			first := far(board)
			second, _ := board.Pick("p", dispatch.Wish{DataCentre: "west", Exclude: []string{"near", first.ID}})
			for _, target := range []*dispatch.Target{first, first, second} {
				target.Begin(100, 1, func() { ended++ }).Event()
			}
			time.Sleep(200 * time.Millisecond)
			expect.Expect(board.Probes()).To(gomega.BeEmpty())
			time.Sleep(200 * time.Millisecond)
			probes := board.Probes()
			expect.Expect(probes).To(gomega.HaveLen(1))
			moved, _ := probes[0].Done(answered)
			if answered {
				expect.Expect(moved + ended).To(gomega.BeZero())
				return
			}
			expect.Expect(moved).To(gomega.Equal(3))
			expect.Expect(ended).To(gomega.Equal(3))
		})
	}
}
