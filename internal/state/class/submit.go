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

// ErrUndecided means that the change was not read back in time. It may still
// come into force; sending it again under the same change ID is safe.
var ErrUndecided = errors.New("the change was not read back from the log in time")

// retryAppend is how long Submit waits for its record before it appends the
// same change once more; the fold takes a change ID only once.
const retryAppend = 2 * time.Second

// Submitter writes changes to the log and reads back what became of them.
type Submitter struct {
	Table    *Table
	Follower *stream.Follower
}

// Submit appends the change and waits until the fold has judged it. "Accepted"
// is said only then: an append alone proves nothing, since an earlier record
// can have taken the same revision. A lost reply is followed by the same
// append under the same change ID.
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
		verdict, ok := submitter.await(ctx, change.ChangeID)
		if ok {
			return verdict, nil
		}
		if ctx.Err() != nil {
			return Verdict{}, undecided(err)
		}
	}
}

func undecided(err error) error {
	if errors.Is(err, logservice.ErrNotWritten) {
		return errors.Wrap(err, "the change was not written; try again when the log answers")
	}
	return errors.Mark(errors.Wrap(err, "the change may or may not be in force; look with `class show`"), ErrUndecided)
}

func (submitter *Submitter) await(ctx context.Context, changeID string) (Verdict, bool) {
	timer := time.NewTimer(retryAppend)
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
