package gateway

import "time"

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
