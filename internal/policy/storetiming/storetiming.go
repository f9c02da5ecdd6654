// Package storetiming sets the timing of calls to the store: when an overdue call is hedged by another
// one, when a failed call is retried, and how long a call may take.
//
// A store that comes back from an outage may have lost the calls that were sent to it in the
// meantime. With long call timeouts a node notices the return only when such a call times out. With
// short ones a node gives up on a store that is merely slow. An overdue call is therefore not
// cancelled: a second call is sent in parallel, and the first response counts. The maximum duration
// of a call and the interval between calls are separate limits, and only the interval determines
// how soon the return of the store is noticed.
//
// # Usage
//
//	delay := storetiming.HedgeDelay(wait, latencies.Max())
//	pause := storetiming.TimingFor(storetiming.Representative).RetryDelay(failures, elapsed)
package storetiming

import "time"

// Role is a node's role in reading the store.
type Role int

// Roles of nodes.
const (
	// Representative reads the store on behalf of its data centre. Other nodes learn from it that the
	// store is back.
	Representative Role = iota
	// Listener reads the store only for itself, while no other node passes on the store's content.
	Listener
)

// Timing holds the timing of one node's calls to the store.
type Timing struct {
	// HedgeInterval is the time between the starts of two calls while none is answered. OutageInterval
	// replaces it once the store answers no call of this node.
	HedgeInterval, OutageInterval time.Duration
	// CallTimeout is the maximum duration of a call, not counting the time for which the store is asked
	// to wait for a change.
	CallTimeout time.Duration
}

const (
	representativeInterval = 400 * time.Millisecond
	listenerInterval       = 800 * time.Millisecond
	// callTimeout is the longest response time of a store that is slow but not down.
	callTimeout = 3 * time.Second
	// minHedgeDelay and maxHedgeDelay bound the time after which an overdue call is hedged.
	minHedgeDelay = 250 * time.Millisecond
	maxHedgeDelay = time.Second
)

// TimingFor returns the timing for a node with the given role.
func TimingFor(role Role) Timing {
	if role == Representative {
		return Timing{HedgeInterval: representativeInterval, OutageInterval: representativeInterval, CallTimeout: callTimeout}
	}
	return Timing{HedgeInterval: listenerInterval, OutageInterval: listenerInterval, CallTimeout: callTimeout}
}

// HedgeDelay returns the time after which a call is hedged by a second call: the time for which the
// store is asked to wait for a change, plus twice the typical latency, within bounds.
func HedgeDelay(wait, typical time.Duration) time.Duration {
	return wait + min(maxHedgeDelay, max(minHedgeDelay, 2*typical))
}

// firstRetryDelay is the delay after the first failure since the last response. A connection reset
// is not an outage.
const firstRetryDelay = 150 * time.Millisecond

// RetryDelay returns the delay before the next call, given the number of consecutive failures and
// the time since the start of the failed call.
func (timing Timing) RetryDelay(failures int, elapsed time.Duration) time.Duration {
	if failures <= 1 {
		return firstRetryDelay
	}
	return max(0, timing.OutageInterval-elapsed)
}

// NextHedge returns the time after which a call that hangs is hedged by another one.
func (timing Timing) NextHedge(outage bool) time.Duration {
	if outage {
		return timing.OutageInterval
	}
	return timing.HedgeInterval
}

// latencySamples is the number of responses in a LatencyWindow.
const latencySamples = 8

// LatencyWindow holds the latencies of the latest responses.
type LatencyWindow struct {
	latest [latencySamples]time.Duration
	next   int
}

// Observe records the latency of a response, not counting the time for which the store waited for a
// change.
func (window *LatencyWindow) Observe(latency time.Duration) {
	window.latest[window.next] = max(0, latency)
	window.next = (window.next + 1) % latencySamples
}

// Max returns the highest latency in the window.
func (window *LatencyWindow) Max() time.Duration {
	longest := time.Duration(0)
	for _, latency := range window.latest {
		longest = max(longest, latency)
	}
	return longest
}
