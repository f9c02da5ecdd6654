package gateway

import (
	"time"

	"hazelslip/internal/common/clock"
)

// observePause discounts a pause of this process from the silence of servers and other nodes. A process that was
// stopped, or got no processor time, has not read what arrived meanwhile.
func (node *Node) observePause() {
	pause := node.watchPauses.Observe()
	if pause == 0 {
		return
	}
	node.pauses.Add(1)
	node.logger.Warn("gateway: this node did not run for a while.", "Milliseconds", pause.Milliseconds(), "Calls", node.board.OwnCalls())
	node.board.RecordPause(pause)
	node.detours.table.RecordPause(pause)
}

// scheduleWatch returns the time until the next check of groups and paths.
func (node *Node) scheduleWatch() time.Duration {
	return node.watchPauses.Schedule(node.nextWatchInterval())
}

// observeLeadershipPause discounts a pause of this process from the silence of the leader. Its heartbeats of the
// meantime are not read yet, and the links that brought them may have to be opened again.
func (node *Node) observeLeadershipPause() {
	pause := node.leadershipPauses.Observe()
	if pause == 0 {
		return
	}
	node.elector.RecordPause(pause)
	node.peers.recordPause(pause)
}

func (peers *peers) recordPause(pause time.Duration) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	peers.leader.seenAt = clock.AfterPause(peers.leader.seenAt, pause, peers.node.now())
}

// scheduleLeadership returns the time until the next check of the leadership.
func (node *Node) scheduleLeadership() time.Duration {
	return node.leadershipPauses.Schedule(node.leafAwareInterval(leadershipInterval)())
}
