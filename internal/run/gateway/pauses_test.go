package gateway

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/detour"
	"hazelslip/internal/fleet/leadership"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/pathhealth"
	"hazelslip/internal/wire/frame"
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

// Guards against a node that was stopped for a while and suspects all its calls when it runs again, at servers and through
// other nodes: the clock shows a long silence before the node has read what arrived meanwhile.
func TestPausedNodeKeepsItsCalls(t *testing.T) {
	expect := gomega.NewWithT(t)
	jumping := newJumpingClock()
	node := nodeWithGroups(t, 3, Clock(jumping.now))
	tick := func(pause time.Duration) {
		jumping.advance(node.scheduleWatch() + pause)
		node.watch()
	}
	suspected := [4]atomic.Bool{}
	begin := func(target *dispatch.Target, number int) {
		target.Begin(100, 0, func() { suspected[number].Store(true) }, func(dispatch.Suspicion) { suspected[number].Store(true) }).RecordEvent()
	}
	suspectedCalls := func() []bool {
		return []bool{suspected[0].Load(), suspected[1].Load(), suspected[2].Load(), suspected[3].Load()}
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
	expect.Expect(suspectedCalls()).To(gomega.Equal([]bool{false, false, false, false}))
	for range 50 {
		tick(0)
	}
	expect.Expect(suspectedCalls()).To(gomega.Equal([]bool{true, true, true, true}), "the silence of a running node counts")
}

// Guards against a node that was stopped while it tried to connect to some servers, takes the expired timeouts for
// unreachable servers, and suspects all calls at the service or the data centre.
func TestProbesDuringPauseProveNothing(t *testing.T) {
	for name, paused := range map[string]time.Duration{"stopped": time.Second, "running": probeTimeout} {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			jumping := newJumpingClock()
			dial := func(context.Context, string, string) (net.Conn, error) {
				jumping.advance(paused / 2)
				return nil, os.ErrDeadlineExceeded
			}
			node := idleNode(t, Clock(jumping.now), func(node *Node) { node.dial = dial })
			specs := []dispatch.Spec{}
			for _, id := range []string{"i-1", "i-2"} {
				specs = append(specs, dispatch.Spec{ID: id, Address: id + ":1", Service: "drafts", DataCentre: "west", Group: "g-" + id, Slots: 8, PassTime: 40 * time.Millisecond})
			}
			node.board.Update(map[string][]dispatch.Spec{"drafts/m": specs})
			suspected := atomic.Int32{}
			for _, exclude := range [][]string{nil, nil, {"i-1"}, {"i-2"}} {
				target, _ := node.board.Pick("drafts/m", dispatch.Criteria{Exclude: exclude})
				target.Begin(100, 0, func() { suspected.Add(1) }, func(dispatch.Suspicion) { suspected.Add(1) }).RecordEvent()
			}
			jumping.advance(time.Second)
			for _, probe := range node.board.DueDataCentreProbes() {
				node.probeDataCentre(&probe)
			}
			node.board.WatchPaths()
			for range 3 {
				for _, probe := range node.board.DuePathProbes() {
					node.detours.probe(&probe)
				}
			}
			status := node.detours.paths.Get(pathhealth.Destination{Service: "drafts", DataCentre: "west"}).Status()
			if name == "running" {
				expect.Expect(status).To(gomega.Equal(pathhealth.Lost))
				expect.Expect(suspected.Load()).To(gomega.BeNumerically(">=", 4))
				return
			}
			expect.Expect(suspected.Load()).To(gomega.BeZero())
			expect.Expect(status).To(gomega.Equal(pathhealth.Suspected), "the next probe decides")
		})
	}
}

// Guards against a node that was stopped for a while and believes that the leader is gone, because it has heard no
// heartbeat meanwhile.
func TestPausedNodeKeepsItsLeader(t *testing.T) {
	expect := gomega.NewWithT(t)
	jumping := newJumpingClock()
	node := idleNode(t, Clock(jumping.now))
	node.peers.handleLeader(&frame.Holder{Term: 8192, Beat: 7})
	tick := func(pause time.Duration) {
		jumping.advance(node.scheduleLeadership() + pause)
		node.updateLeadership()
	}
	leader := leadership.Peer{Term: 8192}
	tick(0)
	tick(3 * time.Second)
	expect.Expect(node.peers.leaderCandidates()).To(gomega.ContainElement(leader))
	for range 8 {
		tick(0)
	}
	expect.Expect(node.peers.leaderCandidates()).To(gomega.BeEmpty(), "the silence of the leader counts while the node runs")
}
