package ratelimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
)

// unlimited stands for the permits of a gate whose server names no limit.
const unlimited = -1

// urgencies is how many ranks of requests are told apart; all beyond are the least urgent.
const urgencies = 12

func rankOf(urgency int) int {
	return min(max(urgency, 0), urgencies-1)
}

// Gate lets this node's requests through to one run of a server: all of them while the
// server names no limit, else one for each permit.
type Gate struct {
	now clock.Now
	// permits are those on hand, used counts those that were used since it was last read.
	permits atomic.Int64
	used    atomic.Int64
	// waiting counts the requests that wait for a permit, by their urgency.
	waiting [urgencies]atomic.Int32
	// rate has the bits of the limit, in requests a second.
	rate atomic.Uint64

	mu sync.Mutex
	// free counts the requests that needed no permit, paid the others, demand those that
	// would have been sent if there had been one, and were.
	free, paid, demand counter
	asked              time.Duration
}

func newGate(now clock.Now) *Gate {
	gate := &Gate{now: now}
	gate.permits.Store(unlimited)
	return gate
}

// Limited says whether the server names a limit.
func (gate *Gate) Limited() bool {
	return gate.permits.Load() != unlimited
}

// Rate is the server's limit in requests a second, 0 if it names none.
func (gate *Gate) Rate() float64 {
	return math.Float64frombits(gate.rate.Load())
}

// Open says whether a request may be sent.
func (gate *Gate) Open() bool {
	return gate.permits.Load() != 0
}

// Take lets one request through, and returns false if it may not be sent: there is no
// permit beside those for which more urgent requests wait. 0 is the most urgent.
func (gate *Gate) Take(urgency int) bool {
	for {
		permits := gate.permits.Load()
		switch {
		case permits == unlimited:
			gate.count(&gate.free)
			return true
		case permits <= gate.waitingBefore(rankOf(urgency)):
			return false
		case gate.permits.CompareAndSwap(permits, permits-1):
			gate.used.Add(1)
			gate.count(&gate.paid)
			return true
		}
	}
}

// Ask notes that a request would have been sent, and goes elsewhere: the next may find a
// permit.
func (gate *Gate) Ask() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.asked = gate.now()
	gate.demand.add(gate.asked, 1)
}

// waitingBefore counts the requests that wait and are more urgent.
func (gate *Gate) waitingBefore(rank int) int64 {
	count := int64(0)
	for more := range rank {
		count += int64(gate.waiting[more].Load())
	}
	return count
}

// Await counts a request that waits for a permit until the function is called.
func (gate *Gate) Await(urgency int) (done func()) {
	waiting := &gate.waiting[rankOf(urgency)]
	waiting.Add(1)
	return func() { waiting.Add(-1) }
}

func (gate *Gate) count(sent *counter) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	now := gate.now()
	sent.add(now, 1)
	if sent == &gate.paid {
		gate.demand.add(now, 1)
	}
}

// SentLately is how many requests were sent within a window, at most a slot more than it.
func (gate *Gate) SentLately() int {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	now := gate.now()
	return gate.free.sum(now) + gate.paid.sum(now)
}

// sentFree is the same of requests that needed no permit.
func (gate *Gate) sentFree() int {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return gate.free.sum(gate.now())
}

const (
	// ahead is for how long permits are asked for before they are needed: about what they
	// take from one end of the fleet to the other and back.
	ahead = 500 * time.Millisecond
)

// wanted is how many permits this node should have on hand.
func (gate *Gate) wanted() int {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	now := gate.now()
	expected := int(float64(gate.demand.sum(now))*ahead.Seconds()/window.Seconds() + 0.5)
	if expected == 0 && gate.asked > 0 && now-gate.asked < ahead {
		return 1
	}
	return expected
}

// trim forgets the requests without a permit that were sent longer ago.
func (gate *Gate) trim(span time.Duration) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.free.trim(gate.now(), span)
}

// grant adds permits.
func (gate *Gate) grant(count int) {
	gate.permits.Add(int64(count))
}

// revoke takes up to so many permits back, and returns how many there were.
func (gate *Gate) revoke(count int) int {
	for {
		permits := gate.permits.Load()
		taken := min(permits, int64(count))
		if taken <= 0 {
			return 0
		}
		if gate.permits.CompareAndSwap(permits, permits-taken) {
			return int(taken)
		}
	}
}

// limit makes the gate ask for permits, of which it has none; lift lets all through.
func (gate *Gate) limit() {
	gate.permits.Store(0)
	gate.used.Store(0)
}

func (gate *Gate) lift() {
	gate.rate.Store(0)
	gate.permits.Store(unlimited)
}

const (
	// window is over how long requests are counted against a limit.
	window = 4 * time.Second
	// slotTime is how finely they are counted, slots how many of these a window
	// touches.
	slotTime = 250 * time.Millisecond
	slots    = int64(window/slotTime) + 1
)

// counter counts events of the last window.
type counter struct {
	counts [slots]uint32
	slot   int64
}

func (counter *counter) add(now time.Duration, count int) {
	counter.turn(now)
	counter.counts[counter.slot%slots] += uint32(count)
}

func (counter *counter) sum(now time.Duration) int {
	counter.turn(now)
	sum := 0
	for _, count := range counter.counts {
		sum += int(count)
	}
	return sum
}

// trim clears the slots that lie a span back.
func (counter *counter) trim(now, span time.Duration) {
	counter.turn(now)
	for passed := max(0, int64(span/slotTime)+1); passed < slots; passed++ {
		counter.counts[(counter.slot-passed+slots)%slots] = 0
	}
}

// turn clears the slots that have passed since it was last used.
func (counter *counter) turn(now time.Duration) {
	slot := int64(now / slotTime)
	for passed := min(slot-counter.slot, slots); passed > 0; passed-- {
		counter.counts[(slot-passed+1)%slots] = 0
	}
	counter.slot = max(counter.slot, slot)
}
