package stream

// MaybeCheckpoint writes a checkpoint when enough was folded, or enough time
// has passed, since the last one. The node whose duty it is calls it now and
// then; two nodes that both do so write two checkpoints, which is harmless.
//
// A record expires unread if no checkpoint stands for it by then, and a node
// that starts would miss an accepted change; a checkpoint an hour, against a
// retention of many hours, keeps well ahead of that.
func (follower *Follower) MaybeCheckpoint() error {
	if !follower.checkpointDue() {
		return nil
	}
	body, err := follower.snapshot()
	if err != nil {
		return err
	}
	ctx, cancel := follower.ContextWithTimeout(checkpointBudget)
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
	return follower.fold.Snapshot(follower.next)
}

func (follower *Follower) checkpointDue() bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if !follower.complete || !follower.caughtUp || follower.dark || follower.sinceMark == 0 {
		return false
	}
	return follower.sinceMark >= checkpointEvery || follower.now()-follower.lastMark >= checkpointAfter
}
