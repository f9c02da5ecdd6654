package dispatch

import (
	"sync"
	"sync/atomic"
	"time"
)

// holdingCalls is over how many calls the time that a call holds its place is averaged. The first
// ones count beside what the configuration says of it.
const holdingCalls = 32

// holding is how long calls of a pool hold their places. The configuration names the usual
// size of an answer for all models and kinds of requests together; those of one pool may be much shorter or longer, and
// so may passes in which many prompts are read.
type holding struct {
	// mu is held by writers; the choice of a target reads without it.
	mu   sync.Mutex
	seen atomic.Pointer[held]
}

// held is what was seen so far.
type held struct {
	mean  time.Duration
	calls int
}

func (holding *holding) note(span time.Duration) {
	holding.mu.Lock()
	defer holding.mu.Unlock()
	seen := held{}
	if before := holding.seen.Load(); before != nil {
		seen = *before
	}
	seen.calls = min(seen.calls+1, holdingCalls)
	seen.mean += (span - seen.mean) / time.Duration(seen.calls)
	holding.seen.Store(&seen)
}

// read returns the time, with what is expected where little was seen.
func (holding *holding) read(expected time.Duration) time.Duration {
	seen := holding.seen.Load()
	if seen == nil {
		return expected
	}
	unseen := time.Duration(holdingCalls - seen.calls)
	return (unseen*expected + time.Duration(seen.calls)*seen.mean) / holdingCalls
}

// learntTurnover is Turnover by how long calls of the pool held their places lately.
func (target *Target) learntTurnover() time.Duration {
	if target.holding == nil || target.Turnover <= 0 {
		return target.Turnover
	}
	slots := time.Duration(max(1, target.Slots))
	return target.holding.read(target.Turnover*slots) / slots
}

// endsPerSecond is how many calls a second end at a target.
func (target *Target) endsPerSecond() float64 {
	turnover := target.slowed(target.learntTurnover())
	if turnover <= 0 {
		return 0
	}
	return min(1, float64(target.Taken())/float64(max(1, target.Slots))) / turnover.Seconds()
}
