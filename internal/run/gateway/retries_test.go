package gateway

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/fleet/tree"
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

// Guards against counts of another fleet, from the future or with numbers that overflow, which use up the allowance or
// advance the time of all nodes.
func TestImpossibleRetryCountsAreRefused(t *testing.T) {
	const slot, minute = 500, 60_000
	counts := func(first int64, requests ...uint32) []*frame.RetryCount {
		return []*frame.RetryCount{{Service: "drafts", First: first, Requests: requests, Retries: requests}}
	}
	coverage := &frame.RetryCoverage{PositionMs: minute, SlotMs: slot}
	progress := &frame.RetryProgress{CompleteMs: minute - 100, NewestMs: minute, SlotMs: slot}
	for name, received := range map[string]*frame.Frame{
		"other slot length of totals":   {RetryTotals: counts(110, 5), RetryCoverage: &frame.RetryCoverage{PositionMs: minute, SlotMs: 250}},
		"other slot length of parts":    {RetryParts: counts(110, 5), RetryProgress: &frame.RetryProgress{CompleteMs: minute, NewestMs: minute, SlotMs: 250}},
		"time that overflows":           {RetryCoverage: &frame.RetryCoverage{PositionMs: 1 << 62, SlotMs: slot}},
		"time before the fleet":         {RetryCoverage: &frame.RetryCoverage{PositionMs: -1, SlotMs: slot}},
		"totals from the future":        {RetryTotals: counts(10_000, 5), RetryCoverage: coverage},
		"totals of a future time":       {RetryCoverage: &frame.RetryCoverage{PositionMs: minute, SlotMs: slot, CompleteMs: proto.Int64(100 * minute)}},
		"parts from the future":         {RetryParts: counts(110, 5), RetryProgress: &frame.RetryProgress{CompleteMs: 10 * minute, NewestMs: 10 * minute, SlotMs: slot}},
		"slot number that overflows":    {RetryParts: counts(1<<63-1, 5, 5), RetryProgress: progress},
		"slot before the fleet":         {RetryParts: counts(-1, 5), RetryProgress: progress},
		"numbers that overflow":         {RetryParts: counts(110, 5, 1<<32-1), RetryProgress: progress},
		"more slots than a window":      {RetryParts: counts(90, make([]uint32, 30)...), RetryProgress: progress},
		"requests without retries":      {RetryParts: []*frame.RetryCount{{Service: "drafts", First: 110, Requests: []uint32{5}}}, RetryProgress: progress},
		"complete after the newest one": {RetryParts: counts(110, 5), RetryProgress: &frame.RetryProgress{CompleteMs: minute, NewestMs: minute - 1, SlotMs: slot}},
	} {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			now := time.Hour
			node := retryNode(t, &now)
			lines := bytes.Buffer{}
			node.logger = slog.New(slog.NewTextHandler(&lines, nil))
			node.retries.Follow(time.Minute)
			link := &overlay.Link{Purpose: frame.Purpose_Leaf, Remote: tree.Member{Address: "10.0.0.9:7000"}, Done: make(chan struct{})}
			for range 2 {
				node.peers.handleRetryCounts(link, received)
			}
			node.peers.updateRetryTotals()
			position, _ := node.retries.Position()
			expect.Expect(position).To(gomega.Equal(time.Minute))
			expect.Expect(node.retries.All(false)).NotTo(gomega.HaveKey("drafts"))
			expect.Expect(strings.Count(lines.String(), "retry counts of a node were refused")).To(gomega.Equal(1))
			expect.Expect(lines.String()).To(gomega.ContainSubstring("10.0.0.9:7000"))
		})
	}
	sound := &frame.Frame{RetryParts: counts(110, 5), RetryProgress: progress, RetryCoverage: coverage}
	gomega.NewWithT(t).Expect(checkRetryCounts(sound, 0, slot*time.Millisecond)).To(gomega.Succeed())
}
