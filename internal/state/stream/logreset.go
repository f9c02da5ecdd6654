package stream

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/peer/logservice"
)

// handleLogBehind handles a log that ends before the records that this follower has applied. If a replica of the log
// lags, its last record is the one that was applied at that offset, and the follower waits for the replica. If the log
// came back empty or was restored from an older backup, it does not catch up. After resetDelay the follower therefore
// appends its state as a checkpoint before it reads anything else, so that no accepted change is lost.
func (follower *Follower) handleLogBehind(ctx context.Context, page logservice.Page) error {
	follower.mu.Lock()
	now := follower.now()
	if follower.behindSince == 0 {
		follower.behindSince = now
	}
	follower.statistics.SteppedBack++
	waited := now - follower.behindSince
	follower.mu.Unlock()
	lagging, err := follower.isStaleReplica(ctx, page)
	if err != nil {
		return err
	}
	if lagging || waited < resetDelay {
		return errors.Newf("read the log: it ends at offset %d, before the records that were already read", page.Next)
	}
	return follower.rewriteLog(ctx, page)
}

// isStaleReplica reports whether the last record of a log that ends too early is the one that was applied at its
// offset.
func (follower *Follower) isStaleReplica(ctx context.Context, page logservice.Page) (bool, error) {
	if page.Next == 0 || page.Next == page.Earliest {
		return false, nil
	}
	last, err := follower.read(ctx, follower.Name, page.Next-1, 1, 0)
	if err != nil || len(last.Records) == 0 {
		return false, err
	}
	follower.mu.Lock()
	defer follower.mu.Unlock()
	for _, record := range follower.recent {
		if record.Offset == last.Records[0].Offset {
			return bytes.Equal(record.Body, last.Records[0].Body), nil
		}
	}
	return false, nil
}

// rewriteLog appends the state, if it is complete, to a log that lost its records, and continues at the earliest record
// of that log.
func (follower *Follower) rewriteLog(ctx context.Context, page logservice.Page) error {
	follower.mu.Lock()
	complete := follower.complete
	follower.mu.Unlock()
	if complete {
		// The offsets of the old log do not apply to this one. A checkpoint with offset 0 makes nodes also apply the
		// records that others have already appended to it.
		body, err := follower.stateMachine.Snapshot(0)
		if err != nil {
			return errors.Wrap(err, "take a snapshot for a log that lost its records")
		}
		if err := follower.appendParts(ctx, body); err != nil {
			return errors.Wrap(err, "append a checkpoint to a log that lost its records")
		}
	}
	follower.logger.Warn("stream: the log lost its records; the state, if complete, was appended to it as a checkpoint.", "Stream", follower.Name)
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.next, follower.behindSince = page.Earliest, 0
	follower.recent, follower.recentSize = nil, 0
	follower.statistics.Resets++
	return nil
}
