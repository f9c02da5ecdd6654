package gateway

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/wire/frame"
)

// Guards against nodes that left for good and are never forgotten, because the others repeat their number to each other.
func TestToldNodeCountsExpireAtAllNodes(t *testing.T) {
	for name, count := range map[string]int{"few nodes": 7, "many nodes, whose slots begin one after the other": 100} {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			counters := make([]nodeCounter, count)
			// The clocks of nodes are unequal. Each node tells the next one, and frames are under way for as long as their slots
			// begin apart.
			step := nodeCountSlot / time.Duration(count)
			clockAt := func(node int, at time.Duration) time.Duration { return at - time.Duration(node)*step }
			left := time.Hour
			for node := range counters {
				counters[node].observe(3*count, clockAt(node, left))
			}
			for at := left; at < left+nodeCountWindow+nodeCountSlot; at += step {
				for node := range counters {
					counters[node].observe(2, clockAt(node, at))
				}
				for node := range counters {
					nodes, age := counters[node].toTell(clockAt(node, at))
					next := (node + 1) % count
					counters[next].observeEarlier(nodes, age, clockAt(next, at+step))
				}
			}
			for node := range counters {
				expect.Expect(counters[node].highest(clockAt(node, left+nodeCountWindow+nodeCountSlot))).To(gomega.Equal(2), "node %d", node)
			}
		})
	}
}

// Guards against a node on an instance that has just booted, which drops the counts from before its clock began.
func TestNodeOnAYoungClockKnowsOfEarlierNodeCounts(t *testing.T) {
	expect := gomega.NewWithT(t)
	told := &nodeCounter{}
	told.observe(2, 2*time.Second)
	told.observeEarlier(7, 20*time.Second, 2*time.Second)
	expect.Expect(told.highest(2 * time.Second)).To(gomega.Equal(7))
	expect.Expect(told.highest(36 * time.Second)).To(gomega.Equal(7))
	expect.Expect(told.highest(42 * time.Second)).To(gomega.Equal(2))
	told.observeEarlier(9, 24*time.Hour, 43*time.Second)
	expect.Expect(told.highest(43 * time.Second)).To(gomega.Equal(2))
}

// Guards against a node of an older version, which tells no node count, that changes the count of a newer one.
func TestFramesWithoutANodeCountChangeNone(t *testing.T) {
	expect := gomega.NewWithT(t)
	now := time.Hour
	node := retryNode(t, &now)
	link := &overlay.Link{Purpose: frame.Purpose_Leaf, Done: make(chan struct{})}
	node.peers.handleFrame(link, &frame.Frame{})
	expect.Expect(node.peers.budgetNodes()).To(gomega.Equal(initialNodeCount))
	node.peers.handleFrame(link, &frame.Frame{MostNodes: 7, MostNodesAgeMs: 20000})
	node.peers.handleFrame(link, &frame.Frame{})
	expect.Expect(node.peers.budgetNodes()).To(gomega.Equal(7))
}
