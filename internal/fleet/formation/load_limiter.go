package formation

import (
	"slices"
	"sync"
	"time"
)

// loadLimiter limits the loads from the weight store: the number that runs concurrently and the
// number that begins within any window.
type loadLimiter struct {
	now func() time.Duration

	mu         sync.Mutex
	running    int
	startTimes []time.Duration
	isLeader   bool
}

// markNotLeader records that this node sends no orders. The previous leader may begin loads until
// the moment that this node takes over, so on taking over this node counts half of a window's loads
// as used.
func (limiter *loadLimiter) markNotLeader() {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.isLeader = false
}

// firstRequestDelay is how long after the first request a node may still believe that there was
// none. Nodes exchange their state ten times a second.
const firstRequestDelay = 400 * time.Millisecond

// admitBeforeFirstRequest counts loads that begin before the first request. It returns false if so
// many loads began within firstRequestDelay that they would exceed the limit, should the first
// request have arrived meanwhile. Before the first request each load takes a tenth of its usual
// time however many run, so their concurrency is not limited.
func (limiter *loadLimiter) admitBeforeFirstRequest(loads, maxLoads int) bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.isLeader = true
	limiter.startTimes = limiter.startedWithin(firstRequestDelay)
	if len(limiter.startTimes)+loads > maxLoads && len(limiter.startTimes) > 0 {
		return false
	}
	limiter.record(loads)
	return true
}

// startedWithin returns the start times of the loads that began within the span.
func (limiter *loadLimiter) startedWithin(span time.Duration) []time.Duration {
	now := limiter.now()
	return slices.DeleteFunc(limiter.startTimes, func(at time.Duration) bool { return now-at >= span })
}

func (limiter *loadLimiter) record(loads int) {
	now := limiter.now()
	for range loads {
		limiter.startTimes = append(limiter.startTimes, now)
	}
	limiter.running += loads
}

// fitsConcurrency reports whether the loads may run beside those in progress. A group that needs
// more than maxConcurrent loads on its own is admitted if none is running.
func (limiter *loadLimiter) fitsConcurrency(loads, maxConcurrent int) bool {
	return limiter.running == 0 || limiter.running+loads <= maxConcurrent
}

// admit counts loads that begin now, or returns false if they would exceed the concurrency limit or
// the limit per window.
func (limiter *loadLimiter) admit(loads, maxConcurrent, maxLoads int, window time.Duration) bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	now := limiter.now()
	if !limiter.isLeader {
		limiter.isLeader = true
		for range maxLoads / 2 {
			limiter.startTimes = append(limiter.startTimes, now)
		}
	}
	limiter.startTimes = limiter.startedWithin(window)
	if len(limiter.startTimes)+loads > maxLoads || !limiter.fitsConcurrency(loads, maxConcurrent) {
		return false
	}
	limiter.record(loads)
	return true
}

// finish subtracts loads that have ended from the running loads.
func (limiter *loadLimiter) finish(loads int) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.running -= loads
}
