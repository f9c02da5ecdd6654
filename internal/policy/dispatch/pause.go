package dispatch

import (
	"time"

	"hazelslip/internal/common/clock"
)

// RecordPause records that this process did not run for a span that ends now. The span does not count as silence of
// any target or path. Silence before and after the span adds up, so that a process that is short of processor time
// still finds stalled groups.
func (board *Board) RecordPause(pause time.Duration) {
	now := board.now()
	current := board.snapshot.Load()
	for _, target := range current.targets {
		target.RecordPause(pause)
	}
	for _, path := range current.dataCentrePaths {
		path.recordPause(pause, now)
	}
	board.paths.RecordPause(pause)
}

// RecordPause is Board.RecordPause for a single target.
func (target *Target) RecordPause(pause time.Duration) {
	now := target.now()
	silence, _ := target.silentFor(now)
	if target.ownCalls.Load() == 0 || silence <= 0 {
		return
	}
	since := int64(clock.AfterPause(now-silence, pause, now))
	for last := target.lastEventAt.Load(); last < since; last = target.lastEventAt.Load() {
		if target.lastEventAt.CompareAndSwap(last, since) {
			return
		}
	}
}

func (dataCentrePath *dataCentrePath) recordPause(pause, now time.Duration) {
	dataCentrePath.mu.Lock()
	defer dataCentrePath.mu.Unlock()
	dataCentrePath.lastResponseAt = clock.AfterPause(dataCentrePath.lastResponseAt, pause, now)
}
