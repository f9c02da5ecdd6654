package dispatch

import (
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/policy/notice"
)

// unavailable reports whether the target gets no new calls: because of what this node observed, because of what
// its server says, or because its data centre is drained.
func (target *Target) unavailable(now time.Duration) bool {
	return target.refusesCalls(now) || target.Avoided(now)
}

// refusesCalls reports whether the target gets no new calls from any node: its group has lost a member, its
// server accepts none, or its data centre is drained.
func (target *Target) refusesCalls(now time.Duration) bool {
	return target.memberLost.Load() || target.drainStatus.Drained() || !target.record.Accepts(now)
}

// ErrDrained reports that a call was withheld because the data centre of its target was drained after the target
// was chosen.
var ErrDrained = errors.Mark(errors.New("the data centre is drained"), notice.ErrWithheld)

// Admit checks a call immediately before it is written, and returns an error if the call must not be sent.
func (target *Target) Admit() error {
	if target.drainStatus.Drained() {
		return ErrDrained
	}
	return target.record.Admit()
}

// cold reports whether the server must get few calls: either the server is reported cold, or it may have become
// cold while its data centre was drained.
func (target *Target) cold(now time.Duration) bool {
	return target.ColdLimit.Enabled() && (target.Cold || target.drainStatus.EndedWithin(target.ColdDuration, now))
}

// Avoided reports whether new calls are kept away from the target.
func (target *Target) Avoided(now time.Duration) bool {
	return target.memberLost.Load() || time.Duration(max(target.avoidUntil.Load(), target.silentUntil.Load())) > now
}

// coldLimit returns the number of calls per second that this node may send to a cold target.
func (board *Board) coldLimit(target *Target) int {
	return target.ColdLimit.NodeLimit(board.nodeCount(), target.warmupDraw)
}

// takeColdPermit reports whether a call may be sent to the target: the target isn't cold, or this node's cold
// limit is not used up. It counts the call against the limit.
func (board *Board) takeColdPermit(target *Target) bool {
	now := board.now()
	return !target.cold(now) || target.warmup.Allow(now, board.coldLimit(target))
}
