package stream

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/peer/logservice"
)

// behind handles a log that ends before what was folded from it. A replica of
// the log that lags shows the same record at its end as was folded; it is
// waited for. A log that was restored empty or from an old copy does not come
// back to it: after resetAfter the state in memory goes onto it as a
// checkpoint before anything else is read, so that nothing accepted is lost.
func (follower *Follower) behind(ctx context.Context, page logservice.Page) error {
	follower.mu.Lock()
	now := follower.now()
	if follower.behindAt == 0 {
		follower.behindAt = now
	}
	follower.statistics.SteppedBack++
	waited := now - follower.behindAt
	follower.mu.Unlock()
	stale, err := follower.staleReplica(ctx, page)
	if err != nil {
		return err
	}
	if stale || waited < resetAfter {
		return errors.Newf("the log ends at %d, before what was read of it", page.Next)
	}
	return follower.refill(ctx, page)
}

func (follower *Follower) staleReplica(ctx context.Context, page logservice.Page) (bool, error) {
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

func (follower *Follower) refill(ctx context.Context, page logservice.Page) error {
	follower.mu.Lock()
	complete := follower.complete
	follower.mu.Unlock()
	if complete {
		// The old log's offsets mean nothing on this one: with 0, whatever
		// others have written to it already is folded as well.
		body, err := follower.fold.Snapshot(0)
		if err != nil {
			return errors.Wrap(err, "snapshot for a log that lost its records")
		}
		if err := follower.appendParts(ctx, body); err != nil {
			return errors.Wrap(err, "checkpoint for a log that lost its records")
		}
	}
	follower.logger.Warn("stream: the log lost its records, what is in force was written back.", "Stream", follower.Name)
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.next, follower.behindAt = page.Earliest, 0
	follower.recent, follower.held = nil, 0
	follower.statistics.Resets++
	return nil
}
