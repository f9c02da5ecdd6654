package stream

// MaybeCheckpoint writes a checkpoint if enough records were applied, or enough time has passed, since the last one.
// The node that is responsible for checkpoints calls it periodically. If two nodes do, they write two checkpoints,
// which is harmless.
//
// If records expire before a checkpoint covers them, a node that starts later misses accepted changes. The log retains
// records for many hours, so one checkpoint an hour is well in time.
func (follower *Follower) MaybeCheckpoint() error {
	if !follower.checkpointDue() {
		return nil
	}
	body, err := follower.snapshot()
	if err != nil {
		return err
	}
	ctx, cancel := follower.ContextWithTimeout(checkpointTimeout)
	defer cancel()
	if err := follower.appendParts(ctx, body); err != nil {
		return err
	}
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.statistics.Checkpoints++
	return nil
}

func (follower *Follower) snapshot() ([]byte, error) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.stateMachine.Snapshot(follower.next)
}

func (follower *Follower) checkpointDue() bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if !follower.complete || !follower.caughtUp || follower.logUnavailable || follower.sinceCheckpoint == 0 {
		return false
	}
	return follower.sinceCheckpoint >= checkpointRecords || follower.now()-follower.lastCheckpoint >= checkpointInterval
}
