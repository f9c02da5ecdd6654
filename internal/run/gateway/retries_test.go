package gateway

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/wire/frame"
)

// retryNode returns a node whose retry counts follow a clock of the test.
func retryNode(t *testing.T, now *time.Duration) *Node {
	node := idleNode(t)
	node.now = func() time.Duration { return *now }
	node.settings.Bounds = Bounds{RetryRatio: 0.2, RetryBase: 100, RetryWindow: 10 * time.Second}
	node.retries = node.newRetryCounts()
	return node
}

// Guards against a node that is told nothing of the retries before its start, because the node above it learnt of them
// only after their first frame.
func TestPastRetryCountsReachNodesThatWereGreetedBefore(t *testing.T) {
	for purpose, backbone := range map[frame.Purpose]bool{frame.Purpose_Leaf: false, frame.Purpose_Relay: true} {
		expect := gomega.NewWithT(t)
		now := time.Hour
		above, below := retryNode(t, &now), retryNode(t, &now)
		down := &overlay.Link{Purpose: purpose, Done: make(chan struct{})}
		up := &overlay.Link{Purpose: purpose, Opened: true, Done: make(chan struct{})}
		exchange := func() *frame.Frame {
			now += 100 * time.Millisecond
			above.retries.Observed()
			received := &frame.Frame{}
			expect.Expect(proto.Unmarshal(above.peers.composeFrame(down, false), received)).To(gomega.Succeed())
			below.peers.handleRetryCounts(up, received)
			return received
		}
		exchange()
		expect.Expect(below.retries.Service("drafts").State().Window.FleetRetries).To(gomega.BeZero())
		// A node that outlived the restart is found: it knows the whole window, at a later time of the fleet.
		above.retries.Follow(time.Minute)
		first := int64(time.Minute/(500*time.Millisecond)) - 10
		above.retries.Merge(retry.Totals{"drafts": {First: first, Counts: []retry.Count{{Requests: 50, Retries: 30}}}})
		above.retries.MergeCoverage(retry.Coverage{From: 40 * time.Second, UpTo: time.Minute})
		exchange()
		window := below.retries.Service("drafts").State().Window
		expect.Expect(window.FleetRetries).To(gomega.Equal(30), "backbone %v", backbone)
		expect.Expect(window.KnownMilliseconds).To(gomega.Equal(int64(10000)), "backbone %v", backbone)
		// The past is sent once.
		later := exchange()
		for _, count := range later.RetryTotals {
			expect.Expect(count.Service).NotTo(gomega.Equal("drafts"), "backbone %v", backbone)
		}
	}
}
