package ratelimit

import (
	"sync"
	"time"

	"hazelslip/internal/common/clock"
)

const (
	// window is over how long requests are counted against a limit.
	window = 4 * time.Second
	// slotTime is how finely they are counted, slots how many of these a window
	// touches.
	slotTime = 250 * time.Millisecond
	slots    = int64(window/slotTime) + 1
)

// Gate counts the requests that this node sends to one run of a server.
type Gate struct {
	now clock.Now

	mu   sync.Mutex
	sent counter
}

// Sent counts a request.
func (gate *Gate) Sent() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.sent.add(gate.now())
}

// SentLately is how many requests were sent within a window, at most a slot more than it.
func (gate *Gate) SentLately() int {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return gate.sent.sum(gate.now())
}

// counter counts events of the last window.
type counter struct {
	counts [slots]uint32
	slot   int64
}

func (counter *counter) add(now time.Duration) {
	counter.turn(now)
	counter.counts[counter.slot%slots]++
}

func (counter *counter) sum(now time.Duration) int {
	counter.turn(now)
	sum := 0
	for _, count := range counter.counts {
		sum += int(count)
	}
	return sum
}

// turn clears the slots that have passed since it was last used.
func (counter *counter) turn(now time.Duration) {
	slot := int64(now / slotTime)
	for passed := min(slot-counter.slot, slots); passed > 0; passed-- {
		counter.counts[(slot-passed+1)%slots] = 0
	}
	counter.slot = max(counter.slot, slot)
}
