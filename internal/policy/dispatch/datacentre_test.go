package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/dispatch"
)

// newTwoDataCentreBoard returns the board of a node in the west, with one group there and two in the east.
func newTwoDataCentreBoard() *dispatch.Board {
	board := dispatch.New(dispatch.Clock(clock.Virtual()), dispatch.DataCentre("west"))
	board.Update(map[string][]dispatch.Spec{"p": {
		{ID: "near", Address: "near:1", Group: "g1", DataCentre: "west", Slots: 4, PassTime: 40 * time.Millisecond},
		{ID: "far-1", Address: "far-1:1", Group: "g2", DataCentre: "east", Slots: 4, PassTime: 40 * time.Millisecond},
		{ID: "far-2", Address: "far-2:1", Group: "g3", DataCentre: "east", Slots: 4, PassTime: 40 * time.Millisecond},
	}})
	return board
}

// pickRemote picks a target in the east.
func pickRemote(board *dispatch.Board) *dispatch.Target {
	target, _ := board.Pick("p", dispatch.Criteria{DataCentre: "west", Exclude: []string{"near"}})
	return target
}

// pickID picks a target as for a new call, and returns its ID or "" if none was chosen.
func pickID(board *dispatch.Board, exclude ...string) string {
	target, verdict := board.Pick("p", dispatch.Criteria{DataCentre: "west", Exclude: exclude, MaxQueued: 4})
	if verdict != dispatch.Chosen {
		return ""
	}
	return target.ID
}

// Guards against a cut-off data centre whose servers time out one by one, so that each caller waits for one
// timeout after the other behind the same cut and leaves. After timeouts at two servers no call goes there until
// a server is reached again.
func TestTimeoutsAtTwoServersSuspectDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newTwoDataCentreBoard()
		time.Sleep(time.Second)
		sent := clock.Virtual()()
		time.Sleep(400 * time.Millisecond)
		first := pickRemote(board)
		first.RecordTimeout(sent)
		expect.Expect(board.DueDataCentreProbes()).To(gomega.BeEmpty(), "a single server may have ended")
		other := pickID(board, "near", first.ID)
		target, _ := board.Pick("p", dispatch.Criteria{DataCentre: "west", Exclude: []string{"near", first.ID}})
		target.RecordTimeout(sent)

		for range 20 {
			expect.Expect(pickID(board)).To(gomega.Equal("near"))
		}
		probes := board.DueDataCentreProbes()
		expect.Expect(probes).To(gomega.HaveLen(1))
		expect.Expect(probes[0].DataCentre).To(gomega.Equal("east"))
		expect.Expect(probes[0].Addresses).To(gomega.ConsistOf("far-1:1", "far-2:1"))
		_, changed := probes[0].Done(false)
		expect.Expect(changed).To(gomega.BeTrue())
		expect.Expect(pickID(board, "near")).NotTo(gomega.BeEmpty(), "no other data centre is left")
		time.Sleep(500 * time.Millisecond)
		again := board.DueDataCentreProbes()
		expect.Expect(again).To(gomega.HaveLen(1))
		again[0].Done(true)
		expect.Expect(board.DueDataCentreProbes()).To(gomega.BeEmpty())
		expect.Expect(pickID(board, "near", first.ID)).To(gomega.Equal(other))
	})
}

// Guards against suspecting a data centre for the timeout of a call that was sent before the last response from
// there.
func TestTimeoutsBeforeLastResponseIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newTwoDataCentreBoard()
		time.Sleep(time.Second)
		sent := clock.Virtual()()
		time.Sleep(400 * time.Millisecond)
		first := pickRemote(board)
		first.RecordResponse()
		first.RecordTimeout(sent)
		target, _ := board.Pick("p", dispatch.Criteria{DataCentre: "west", Exclude: []string{"near", first.ID}})
		target.RecordTimeout(sent)
		expect.Expect(board.DueDataCentreProbes()).To(gomega.BeEmpty())
	})
}

// Guards against streams that wait in a data centre that is cut off, where the streams of two groups stall
// together. They are suspected once its servers can't be connected to. If a server can be, each group is checked on its
// own.
func TestStreamsInUnreachableDataCentreAreSuspected(t *testing.T) {
	for _, answered := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			board := newTwoDataCentreBoard()
			suspected := 0
			first := pickRemote(board)
			second, _ := board.Pick("p", dispatch.Criteria{DataCentre: "west", Exclude: []string{"near", first.ID}})
			for _, target := range []*dispatch.Target{first, first, second} {
				target.Begin(100, 1, func() { t.Error("a stream was cancelled") }, func(dispatch.Suspicion) { suspected++ }).RecordEvent()
			}
			time.Sleep(200 * time.Millisecond)
			expect.Expect(board.DueDataCentreProbes()).To(gomega.BeEmpty())
			time.Sleep(200 * time.Millisecond)
			probes := board.DueDataCentreProbes()
			expect.Expect(probes).To(gomega.HaveLen(1))
			told, _ := probes[0].Done(answered)
			if answered {
				expect.Expect(told + suspected).To(gomega.BeZero())
				return
			}
			expect.Expect(told).To(gomega.Equal(3))
			expect.Expect(suspected).To(gomega.Equal(3))
		})
	}
}
