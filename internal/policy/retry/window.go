package retry

import (
	"sync"
	"time"

	"hazelslip/internal/common/clock"
)

// Allowance is what an operator allows a service in repeats, by all nodes
// together: in any span, Ratio times the requests in it plus Least.
type Allowance struct {
	Ratio  float64
	Base   float64
	Window time.Duration
}

const (
	// windowParts is how many parts a span is counted in.
	slotsPerWindow = 10
	// ratioUsed is the part of the ratio that a node uses. Windows slide and
	// nodes count different requests, so not all of it can be.
	usableRatio = 0.85
	// leastUsed is the part of the fixed allowance that the nodes use together:
	// a node that was restarted has forgotten what it spent.
	usableBase = 0.7
)

// Window bounds the repeats that a node sends to one service. Each node takes
// its part of the fixed allowance by the number of nodes that it knows of, so
// that no counter is shared. It answers a domain that goes dark: all its
// streams are repeated within a second, which a rate that follows successes
// would not let through.
//
// Repeats are whole, and a node of a large fleet has a fraction of one. The node's lot decides
// whether that counts as a whole one or as none: all nodes together come to the sum of their
// parts, where each would come to nothing. The lot is kept for the life of the process, so
// a node can't win by asking again.
type WindowBudget struct {
	allowance      Allowance
	nodes          func() int
	now            clock.Now
	roundingOffset float64

	mu       sync.Mutex
	slots    [slotsPerWindow + 1]slot
	sent     uint64
	withheld uint64
}

type slot struct {
	number   int64
	requests int
	retries  int
}

// WindowOption changes how a Window is built.
type WindowBudgetOption func(*WindowBudget)

// Lot sets the node's lot, from 0 up to 1. With the least of them a fraction counts as none.
func RoundingOffset(lot float64) WindowBudgetOption {
	return func(window *WindowBudget) { window.roundingOffset = lot }
}

// NewWindow returns a window in which nothing was counted.
func NewWindowBudget(allowance Allowance, nodes func() int, now clock.Now, options ...WindowBudgetOption) *WindowBudget {
	window := &WindowBudget{allowance: allowance, nodes: nodes, now: now}
	for _, option := range options {
		option(window)
	}
	return window
}

func (window *WindowBudget) currentSlot() *slot {
	number := int64(window.now() / (window.allowance.Window / slotsPerWindow))
	part := &window.slots[number%int64(len(window.slots))]
	if part.number != number {
		part.number, part.requests, part.retries = number, 0, 0
	}
	return part
}

// Request counts a caller's request.
func (window *WindowBudget) RecordRequest() {
	window.mu.Lock()
	defer window.mu.Unlock()
	window.currentSlot().requests++
}

// Take counts a repeat, or reports false when there is none left.
func (window *WindowBudget) TryWithdraw() bool {
	window.mu.Lock()
	defer window.mu.Unlock()
	current := window.currentSlot()
	requests, repeats := 0, 0
	for _, part := range window.slots {
		if part.number >= current.number-slotsPerWindow {
			requests += part.requests
			repeats += part.retries
		}
	}
	allowed := usableRatio*window.allowance.Ratio*float64(requests) +
		usableBase*window.allowance.Base/float64(max(1, window.nodes()))
	if float64(repeats+1) > allowed+window.roundingOffset {
		window.withheld++
		return false
	}
	current.retries++
	window.sent++
	return true
}

// WindowState is a Window in the state dump. Both only grow.
type WindowState struct {
	Sent     uint64
	Withheld uint64
}

// State returns the window's part of the state dump.
func (window *WindowBudget) State() WindowState {
	window.mu.Lock()
	defer window.mu.Unlock()
	return WindowState{Sent: window.sent, Withheld: window.withheld}
}
