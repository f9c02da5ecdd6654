package dispatch

import (
	"sync"
	"sync/atomic"
	"time"
)

// slotTimeCalls is the number of calls over which the slot time is averaged. Until that many calls were
// measured, the configured value stands in for the missing ones.
const slotTimeCalls = 32

// slotTime measures how long calls of a pool occupy their slots. The configuration has one usual answer length
// for all models and kinds of requests. The answers of one pool may be much shorter or longer, and passes that
// prefill many prompts take longer.
type slotTime struct {
	// mu serializes writers. Pick reads stats without it.
	mu    sync.Mutex
	stats atomic.Pointer[slotTimeStats]
}

// slotTimeStats is the average over the calls measured so far.
type slotTimeStats struct {
	mean  time.Duration
	calls int
}

func (slotTime *slotTime) record(duration time.Duration) {
	slotTime.mu.Lock()
	defer slotTime.mu.Unlock()
	stats := slotTimeStats{}
	if previous := slotTime.stats.Load(); previous != nil {
		stats = *previous
	}
	stats.calls = min(stats.calls+1, slotTimeCalls)
	stats.mean += (duration - stats.mean) / time.Duration(stats.calls)
	slotTime.stats.Store(&stats)
}

// estimate returns the slot time: the expected value blended with the measured mean, by the number of calls
// measured.
func (slotTime *slotTime) estimate(expected time.Duration) time.Duration {
	stats := slotTime.stats.Load()
	if stats == nil {
		return expected
	}
	missing := time.Duration(slotTimeCalls - stats.calls)
	return (missing*expected + time.Duration(stats.calls)*stats.mean) / slotTimeCalls
}

// measuredReleaseInterval is SlotReleaseInterval corrected by the measured slot times of the pool.
func (target *Target) measuredReleaseInterval() time.Duration {
	if target.slotTime == nil || target.SlotReleaseInterval <= 0 {
		return target.SlotReleaseInterval
	}
	slots := time.Duration(max(1, target.Slots))
	return target.slotTime.estimate(target.SlotReleaseInterval*slots) / slots
}

// completionRate is the number of calls per second that end at the target.
func (target *Target) completionRate() float64 {
	interval := target.scaleBySlowdown(target.measuredReleaseInterval())
	if interval <= 0 {
		return 0
	}
	return min(1, float64(target.ActiveCalls())/float64(max(1, target.Slots))) / interval.Seconds()
}
