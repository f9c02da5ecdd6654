package dispatch

import (
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/policy/notice"
)

// closed says whether the target gets no new calls, by what this node saw of it, by what its
// server says, or since its data centre is drained.
func (target *Target) closed(now time.Duration) bool {
	return target.unwilling(now) || target.Avoided(now)
}

// unwilling says whether the target gets no new calls from any node: its group is lost, its server wants none, or its
// data centre is drained.
func (target *Target) unwilling(now time.Duration) bool {
	return target.lost.Load() || target.drain.Drained() || !target.record.Takes(now)
}

// ErrDrained says that a call was withheld since the data centre of its target was drained
// after it was chosen.
var ErrDrained = errors.Mark(errors.New("the data centre is drained"), notice.ErrWithheld)

// Admit lets a call through that is about to be written, or returns why it may not be sent.
func (target *Target) Admit() error {
	if target.drain.Drained() {
		return ErrDrained
	}
	return target.record.Admit()
}

// cold says whether the server bears few calls as yet: it says so, or it may have become
// cold while its data centre was drained.
func (target *Target) cold(now time.Duration) bool {
	return target.ColdBound.Enabled() && (target.Cold || target.drain.EndedWithin(target.ColdTime, now))
}

// Avoided says whether new calls are kept off the target.
func (target *Target) Avoided(now time.Duration) bool {
	return target.lost.Load() || time.Duration(target.avoidUntil.Load()) > now
}

// coldPart is how many calls a second this node may send a target while that is cold.
func (board *Board) coldPart(target *Target) int {
	return target.ColdBound.NodeLimit(board.nodes(), target.lot)
}

// warms lets a call through to a target, unless that is cold and has had this node's part.
func (board *Board) warms(target *Target) bool {
	now := board.now()
	return !target.cold(now) || target.warmup.Allow(now, board.coldPart(target))
}
