package class

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/peer/logservice"
	"hazelslip/internal/state/stream"
	"hazelslip/internal/wire/record"
)

// ErrUndecided means that the verdict about a change was not read from the log in time. The change may still come into
// force. Submitting it again with the same change ID is safe.
var ErrUndecided = errors.New("the change was not read back from the log in time")

// appendRetryInterval is how long Submit waits for the verdict before it appends the change again. The state machine
// applies each change ID only once.
const appendRetryInterval = 2 * time.Second

// Submitter appends changes to the log and waits for their verdicts.
type Submitter struct {
	Table    *Table
	Follower *stream.Follower
}

// Submit appends a change and returns its verdict after the follower has applied it. An append alone does not prove
// that the change is accepted, because an earlier record may have taken the same revision. If the reply to the append
// is lost, Submit appends the change again with the same change ID.
func (submitter *Submitter) Submit(ctx context.Context, change *record.ConfigChange) (Verdict, error) {
	if err := Check(change); err != nil {
		return Verdict{Reason: err.Error()}, nil
	}
	body, err := proto.Marshal(&record.ConfigRecord{Kind: &record.ConfigRecord_Change{Change: change}})
	if err != nil {
		return Verdict{}, errors.Wrap(err, "encode change")
	}
	for {
		if verdict, ok := submitter.Table.Verdict(change.ChangeID); ok {
			return verdict, nil
		}
		_, err := submitter.Follower.Append(ctx, body)
		verdict, ok := submitter.awaitVerdict(ctx, change.ChangeID)
		if ok {
			return verdict, nil
		}
		if ctx.Err() != nil {
			return Verdict{}, undecidedError(err)
		}
	}
}

// undecidedError says whether a change without a verdict may still come into force.
func undecidedError(err error) error {
	if errors.Is(err, logservice.ErrNotWritten) {
		return errors.Wrap(err, "the change was not written; try again when the log answers")
	}
	return errors.Mark(errors.Wrap(err, "the change may or may not be in force; look with `class show`"), ErrUndecided)
}

// awaitVerdict waits up to appendRetryInterval for the verdict about a change.
func (submitter *Submitter) awaitVerdict(ctx context.Context, changeID string) (Verdict, bool) {
	timer := time.NewTimer(appendRetryInterval)
	defer timer.Stop()
	for {
		advanced := submitter.Follower.Advanced()
		if verdict, ok := submitter.Table.Verdict(changeID); ok {
			return verdict, true
		}
		select {
		case <-advanced:
		case <-timer.C:
			return Verdict{}, false
		case <-ctx.Done():
			return Verdict{}, false
		}
	}
}
