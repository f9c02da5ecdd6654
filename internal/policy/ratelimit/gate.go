package ratelimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
)

// unlimited is the permit count of a gate whose server announces no limit.
const unlimited = -1

// urgencyLevels is the number of distinct urgency levels. Higher values count as the least urgent
// level.
const urgencyLevels = 12

func urgencyLevel(urgency int) int {
	return min(max(urgency, 0), urgencyLevels-1)
}

// Gate admits this node's requests to one server run: all requests while the server announces no
// limit, otherwise one request per permit.
type Gate struct {
	now clock.Now
	// permits is the number of permits on hand. used counts the permits used since used was last read.
	permits atomic.Int64
	used    atomic.Int64
	// waiting counts the requests that wait for a permit, by urgency level.
	waiting [urgencyLevels]atomic.Int32
	// rate holds the bits of the limit as a float64, in requests per second.
	rate atomic.Uint64

	mu sync.Mutex
	// sentFreely counts requests sent without a permit. sentWithPermit counts requests sent with one.
	// demand counts requests sent with a permit and requests that went elsewhere because there was
	// none.
	sentFreely, sentWithPermit, demand slidingCounter
	unmetDemandAt                      time.Duration
}

func newGate(now clock.Now) *Gate {
	gate := &Gate{now: now}
	gate.permits.Store(unlimited)
	return gate
}

// Limited reports whether the server announces a limit.
func (gate *Gate) Limited() bool {
	return gate.permits.Load() != unlimited
}

// Rate returns the server's limit in requests per second, or 0 if there is none.
func (gate *Gate) Rate() float64 {
	return math.Float64frombits(gate.rate.Load())
}

// Open reports whether a request may be sent: the server has no limit, or a permit is on hand.
func (gate *Gate) Open() bool {
	return gate.permits.Load() != 0
}

// TryAcquire admits one request and takes a permit if the server is limited. It returns false if no
// permit is left after one is set aside for each more urgent request that waits. Urgency 0 is the
// most urgent.
func (gate *Gate) TryAcquire(urgency int) bool {
	for {
		permits := gate.permits.Load()
		switch {
		case permits == unlimited:
			gate.countSent(&gate.sentFreely)
			return true
		case permits <= gate.moreUrgentWaiters(urgencyLevel(urgency)):
			return false
		case gate.permits.CompareAndSwap(permits, permits-1):
			gate.used.Add(1)
			gate.countSent(&gate.sentWithPermit)
			return true
		}
	}
}

// RecordDemand records a request that would have been sent with a permit and goes elsewhere. The
// recorded demand makes this node ask for permits, so that a later request may find one.
func (gate *Gate) RecordDemand() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.unmetDemandAt = gate.now()
	gate.demand.add(gate.unmetDemandAt, 1)
}

// moreUrgentWaiters counts the waiting requests that are more urgent than level.
func (gate *Gate) moreUrgentWaiters(level int) int64 {
	count := int64(0)
	for moreUrgent := range level {
		count += int64(gate.waiting[moreUrgent].Load())
	}
	return count
}

// AddWaiter counts a request that waits for a permit until done is called.
func (gate *Gate) AddWaiter(urgency int) (done func()) {
	waiting := &gate.waiting[urgencyLevel(urgency)]
	waiting.Add(1)
	return func() { waiting.Add(-1) }
}

func (gate *Gate) countSent(sent *slidingCounter) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	now := gate.now()
	sent.add(now, 1)
	if sent == &gate.sentWithPermit {
		gate.demand.add(now, 1)
	}
}

// SentLately returns the number of requests sent within the rate window. The result may also
// include requests that are up to one slot older.
func (gate *Gate) SentLately() int {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	now := gate.now()
	return gate.sentFreely.sum(now) + gate.sentWithPermit.sum(now)
}

// sentWithoutPermit is like SentLately, but counts only requests sent without a permit.
func (gate *Gate) sentWithoutPermit() int {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return gate.sentFreely.sum(gate.now())
}

const (
	// permitLeadTime is how long before their use permits are requested. It is about the time of a
	// round trip across the whole fleet.
	permitLeadTime = 500 * time.Millisecond
)

// wantedPermits returns the number of permits that this node should have on hand.
func (gate *Gate) wantedPermits() int {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	now := gate.now()
	expected := int(float64(gate.demand.sum(now))*permitLeadTime.Seconds()/rateWindow.Seconds() + 0.5)
	if expected == 0 && gate.unmetDemandAt > 0 && now-gate.unmetDemandAt < permitLeadTime {
		return 1
	}
	return expected
}

// discardOlder removes requests that were sent without a permit more than span ago from the count.
func (gate *Gate) discardOlder(span time.Duration) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.sentFreely.discardOlder(gate.now(), span)
}

// grant adds permits.
func (gate *Gate) grant(count int) {
	gate.permits.Add(int64(count))
}

// revoke removes up to count permits and returns the number removed.
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

// requirePermits makes each request need a permit. The gate starts without any.
func (gate *Gate) requirePermits() {
	gate.permits.Store(0)
	gate.used.Store(0)
}

// removeLimit makes the gate admit all requests.
func (gate *Gate) removeLimit() {
	gate.rate.Store(0)
	gate.permits.Store(unlimited)
}

const (
	// rateWindow is the period over which requests are counted against a limit.
	rateWindow = 4 * time.Second
	// slotDuration is the resolution of the count. windowSlots is the number of slots that a rate
	// window overlaps.
	slotDuration = 250 * time.Millisecond
	windowSlots  = int64(rateWindow/slotDuration) + 1
)

// slidingCounter counts the events within the last rate window.
type slidingCounter struct {
	counts [windowSlots]uint32
	slot   int64
}

func (counter *slidingCounter) add(now time.Duration, count int) {
	counter.advance(now)
	counter.counts[counter.slot%windowSlots] += uint32(count)
}

func (counter *slidingCounter) sum(now time.Duration) int {
	counter.advance(now)
	sum := 0
	for _, count := range counter.counts {
		sum += int(count)
	}
	return sum
}

// discardOlder clears the slots that are older than span.
func (counter *slidingCounter) discardOlder(now, span time.Duration) {
	counter.advance(now)
	for passed := max(0, int64(span/slotDuration)+1); passed < windowSlots; passed++ {
		counter.counts[(counter.slot-passed+windowSlots)%windowSlots] = 0
	}
}

// advance clears the slots that have passed since the last use.
func (counter *slidingCounter) advance(now time.Duration) {
	slot := int64(now / slotDuration)
	for passed := min(slot-counter.slot, windowSlots); passed > 0; passed-- {
		counter.counts[(slot-passed+1)%windowSlots] = 0
	}
	counter.slot = max(counter.slot, slot)
}
