// Package patience decides how long an answer of the store is waited for, and how often a
// store that doesn't answer is asked again.
//
// A store that was away may have forgotten the calls that it was sent meanwhile. Whoever
// waits for one of them learns of the return only when it times out, and whoever waits
// less loses a store that is merely slow. So a call that is overdue is not given up: another
// is made beside it, and the first answer counts. How long calls may take and how often they
// are made are two limits, and only the second decides how soon a return is noticed.
//
// # Usage
//
//	beside := patience.Beside(wait, usual.Longest())
//	pause := patience.Of(patience.Speaker).Pause(failures, elapsed)
package patience

import "time"

// Part is a node's part in reading the store.
type Role int

// The parts of nodes.
const (
	// Speaker: it speaks for its data centre, and others hear from it that the store is back.
	Representative Role = iota
	// Hearer: it asks for itself, where nobody tells it.
	Listener
)

// Limits are how long one node waits for the store.
type Timing struct {
	// Again is the time between the starts of two calls while none is answered, Away the same
	// once the store answers no call of this node.
	HedgeInterval, OutageInterval time.Duration
	// Most is how long one call may take beside the time that it waits for news.
	CallTimeout time.Duration
}

const (
	representativeInterval = 400 * time.Millisecond
	listenerInterval       = 800 * time.Millisecond
	// most is as long as a store may take that is slow and not away.
	callTimeout = 3 * time.Second
	// besideLeast and besideMost bound when a second call is made beside one.
	minHedgeDelay = 250 * time.Millisecond
	maxHedgeDelay = time.Second
)

// Of returns the limits of a node with a part.
func TimingFor(part Role) Timing {
	if part == Representative {
		return Timing{HedgeInterval: representativeInterval, OutageInterval: representativeInterval, CallTimeout: callTimeout}
	}
	return Timing{HedgeInterval: listenerInterval, OutageInterval: listenerInterval, CallTimeout: callTimeout}
}

// Beside returns after which time of a call that waits for news another is made beside it:
// twice what answers usually take, within bounds.
func HedgeDelay(wait, usual time.Duration) time.Duration {
	return wait + min(maxHedgeDelay, max(minHedgeDelay, 2*usual))
}

// firstPause follows the first failure after an answer: a connection that was reset is
// no outage.
const firstRetryDelay = 150 * time.Millisecond

// Pause returns how long the next call waits after one that failed some time after its
// start, as the last of some in a row.
func (limits Timing) RetryDelay(failures int, elapsed time.Duration) time.Duration {
	if failures <= 1 {
		return firstRetryDelay
	}
	return max(0, limits.OutageInterval-elapsed)
}

// Next returns how long after a call that hangs another is made beside it.
func (limits Timing) NextHedge(away bool) time.Duration {
	if away {
		return limits.OutageInterval
	}
	return limits.HedgeInterval
}

// usualOf is over how many answers the usual time is taken.
const latencySamples = 8

// Usual is how long answers take.
type LatencyWindow struct {
	latest [latencySamples]time.Duration
	next   int
}

// Took notes how long an answer took beside the time that it waited for news.
func (usual *LatencyWindow) Observe(span time.Duration) {
	usual.latest[usual.next] = max(0, span)
	usual.next = (usual.next + 1) % latencySamples
}

// Longest is the longest of the latest answers.
func (usual *LatencyWindow) Max() time.Duration {
	longest := time.Duration(0)
	for _, span := range usual.latest {
		longest = max(longest, span)
	}
	return longest
}
