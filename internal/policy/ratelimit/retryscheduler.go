package ratelimit

import (
	"sync"
	"time"

	"hazelslip/internal/common/clock"
)

// maxRetryDelay is the longest delay returned to a refused caller. Most callers have little more
// time left.
const maxRetryDelay = 1300 * time.Millisecond

// RetryScheduler tells refused callers when to retry. Retries are spaced at the rate of the limits
// that caused the refusals, so that each retry finds a permit.
type RetryScheduler struct {
	now clock.Now

	mu sync.Mutex
	// next is the time of the next retry, by pool.
	next map[string]time.Duration
}

// NewRetryScheduler returns a RetryScheduler without scheduled retries.
func NewRetryScheduler(now clock.Now) *RetryScheduler {
	return &RetryScheduler{now: now, next: map[string]time.Duration{}}
}

// Delay returns how long a caller should wait before it retries. The pool of servers accepts rate
// requests per second from this node.
func (scheduler *RetryScheduler) Delay(pool string, rate float64) time.Duration {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	now := scheduler.now()
	interval := maxRetryDelay
	if rate > 0 {
		interval = min(maxRetryDelay, time.Duration(float64(time.Second)/rate))
	}
	retryAt := min(max(now, scheduler.next[pool])+interval, now+maxRetryDelay)
	scheduler.next[pool] = retryAt
	return retryAt - now
}
