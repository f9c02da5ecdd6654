package ratelimit

import (
	"sync"
	"time"

	"hazelslip/internal/common/clock"
)

// returnMost is the latest that a caller is told to come back: most callers have little
// more time left.
const returnMost = 1300 * time.Millisecond

// Returns tells refused callers when to come back: one after the other, at the rate of
// the limits for which they were refused, so that each finds a permit.
type Returns struct {
	now clock.Now

	mu sync.Mutex
	// next is when the next caller may come back, by what it asked for.
	next map[string]time.Duration
}

// NewReturns returns a Returns that has told nobody.
func NewReturns(now clock.Now) *Returns {
	return &Returns{now: now, next: map[string]time.Duration{}}
}

// After returns after which time a caller should come back to a pool of servers that take
// so many requests a second from this node.
func (returns *Returns) After(pool string, rate float64) time.Duration {
	returns.mu.Lock()
	defer returns.mu.Unlock()
	now := returns.now()
	pause := returnMost
	if rate > 0 {
		pause = min(returnMost, time.Duration(float64(time.Second)/rate))
	}
	at := min(max(now, returns.next[pool])+pause, now+returnMost)
	returns.next[pool] = at
	return at - now
}
