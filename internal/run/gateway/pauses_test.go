package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/detour"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/pathhealth"
)

// jumpingClock is a clock that a test moves on, as it jumps for a process that was stopped.
type jumpingClock struct{ at atomic.Int64 }

func newJumpingClock() *jumpingClock {
	jumping := &jumpingClock{}
	jumping.advance(time.Hour)
	return jumping
}

func (jumping *jumpingClock) now() time.Duration { return time.Duration(jumping.at.Load()) }

func (jumping *jumpingClock) advance(span time.Duration) { jumping.at.Add(int64(span)) }

// Guards against a node that was stopped for a while and ends all its calls when it runs again, at servers and through
// other nodes: the clock shows a long silence before the node has read what arrived meanwhile.
func TestPausedNodeKeepsItsCalls(t *testing.T) {
	expect := gomega.NewWithT(t)
	jumping := newJumpingClock()
	node := nodeWithGroups(t, 3, Clock(jumping.now))
	tick := func(pause time.Duration) {
		jumping.advance(node.scheduleWatch() + pause)
		node.watch()
	}
	ended := [4]atomic.Bool{}
	begin := func(target *dispatch.Target, number int) {
		target.Begin(100, 0, func() { ended[number].Store(true) }).RecordEvent()
	}
	endedCalls := func() []bool {
		return []bool{ended[0].Load(), ended[1].Load(), ended[2].Load(), ended[3].Load()}
	}
	tick(0)
	exclude := []string{}
	for number := range 3 {
		target, _ := node.board.Pick("drafts/m", dispatch.Criteria{Exclude: exclude})
		exclude = append(exclude, target.ID)
		begin(target, number)
	}
	node.detours.table.RecordReport(detour.Node{Address: "peer:1", DataCentre: "east"})
	peer, _ := node.detours.table.Choose("drafts", []pathhealth.Destination{{Service: "drafts", DataCentre: "east"}}, nil)
	begin(peer.Target, 3)
	tick(0)
	tick(3 * time.Second)
	expect.Expect(endedCalls()).To(gomega.Equal([]bool{false, false, false, false}))
	for range 50 {
		tick(0)
	}
	expect.Expect(endedCalls()).To(gomega.Equal([]bool{true, true, true, true}), "the silence of a running node counts")
}
