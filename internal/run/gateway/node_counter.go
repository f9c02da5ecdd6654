package gateway

import (
	"sync"
	"time"

	"hazelslip/internal/wire/frame"
)

const (
	// nodeCountWindow is how long an observed node count stays valid. Nodes that left may have spent their
	// share of a budget within the budget's window, and a partitioned node must not claim the shares of the
	// others.
	nodeCountWindow = 60 * time.Second
	// nodeCountSlot is the time span covered by one slot of the sliding window.
	nodeCountSlot = 5 * time.Second
	// initialNodeCount is assumed by a node that has just started and heard from no other node. The high
	// value leaves the node almost no fixed share of a budget until it knows the real count.
	initialNodeCount = 100
	// singleNodeAfter is how long a node that hears from no other node keeps initialNodeCount. After that it
	// counts itself as the only node.
	singleNodeAfter = 5 * time.Second
	// toldCountAge is added to the age of a node count that is sent to another node, since a frame is under way for
	// some time. Without it, a count that passes between nodes whose slots begin at different times could stay new.
	toldCountAge = time.Second
)

// nodeCounter keeps the highest number of nodes in the fleet observed within a sliding window.
type nodeCounter struct {
	mu              sync.Mutex
	slots           [nodeCountWindow / nodeCountSlot]int
	currentSlot     int64
	firstObservedAt time.Duration
	observed        bool
}

// observe records a node count.
func (nodeCounter *nodeCounter) observe(nodes int, now time.Duration) {
	nodeCounter.mu.Lock()
	defer nodeCounter.mu.Unlock()
	if !nodeCounter.observed {
		nodeCounter.observed, nodeCounter.firstObservedAt = true, now
	}
	nodeCounter.expire(now)
	slot := &nodeCounter.slots[nodeCounter.currentSlot%int64(len(nodeCounter.slots))]
	*slot = max(*slot, nodes)
}

// observeEarlier records a node count that another node made some time ago. A process that starts while nodes are cut
// off thus knows of them.
func (nodeCounter *nodeCounter) observeEarlier(nodes int, age, now time.Duration) {
	nodeCounter.mu.Lock()
	defer nodeCounter.mu.Unlock()
	nodeCounter.expire(now)
	number := nodeCountSlotAt(now - age)
	if number <= nodeCounter.currentSlot-int64(len(nodeCounter.slots)) {
		return
	}
	slot := &nodeCounter.slots[number%int64(len(nodeCounter.slots))]
	*slot = max(*slot, nodes)
}

// toTell returns the highest count within the window and the age that other nodes take it to have, which is higher than
// its real age. A count that nodes repeat to each other thus expires everywhere.
func (nodeCounter *nodeCounter) toTell(now time.Duration) (nodes int, age time.Duration) {
	nodeCounter.mu.Lock()
	defer nodeCounter.mu.Unlock()
	nodeCounter.expire(now)
	for back := range int64(len(nodeCounter.slots)) {
		number := nodeCounter.currentSlot - back
		if count := nodeCounter.slots[number%int64(len(nodeCounter.slots))]; count > nodes {
			nodes, age = count, now+nodeCountWindow-time.Duration(number)*nodeCountSlot+toldCountAge
		}
	}
	return nodes, age
}

// nodeCountSlotAt returns the number of the slot at a time of the clock. Numbers begin a window before the clock does,
// so that counts from before it have one.
func nodeCountSlotAt(at time.Duration) int64 {
	return int64((at + nodeCountWindow) / nodeCountSlot)
}

// expire clears the slots that have left the window since the last call.
func (nodeCounter *nodeCounter) expire(now time.Duration) {
	slot := nodeCountSlotAt(now)
	if slot-nodeCounter.currentSlot >= int64(len(nodeCounter.slots)) {
		clear(nodeCounter.slots[:])
	}
	for ; nodeCounter.currentSlot < slot && slot-nodeCounter.currentSlot < int64(len(nodeCounter.slots)); nodeCounter.currentSlot++ {
		nodeCounter.slots[(nodeCounter.currentSlot+1)%int64(len(nodeCounter.slots))] = 0
	}
	nodeCounter.currentSlot = slot
}

// highest returns the highest count within the window.
func (nodeCounter *nodeCounter) highest(now time.Duration) int {
	nodeCounter.mu.Lock()
	defer nodeCounter.mu.Unlock()
	nodeCounter.expire(now)
	highest := 1
	for _, count := range nodeCounter.slots {
		highest = max(highest, count)
	}
	if highest == 1 && (!nodeCounter.observed || now-nodeCounter.firstObservedAt < singleNodeAfter) {
		return initialNodeCount
	}
	return highest
}

// budgetNodes returns how many nodes, including this one, share the fleet-wide budgets.
func (peers *peers) budgetNodes() int {
	return peers.nodeCounter.highest(peers.node.now())
}

// addMostNodes adds the highest number of nodes that this node has recently known of to a frame.
func (peers *peers) addMostNodes(message *frame.Frame) {
	nodes, age := peers.nodeCounter.toTell(peers.node.now())
	message.MostNodes, message.MostNodesAgeMs = uint32(nodes), cappedMilliseconds(age)
}

// observeNodeCount records the number of nodes, including this one.
func (peers *peers) observeNodeCount(nodes int, now time.Duration) {
	peers.nodeCounter.observe(nodes, now)
	peers.reportingNodes.Store(int64(nodes))
}

// reachableNodes returns how many nodes, including this one, are currently part of the fleet as this node
// sees it.
func (peers *peers) reachableNodes() int {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	return peers.totalsLocked().fleetNodes
}
