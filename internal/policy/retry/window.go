package retry

import (
	"sync"
	"time"

	"hazelslip/internal/common/clock"
)

// Allowance is the number of retries that an operator allows for a service on all nodes together:
// in any window of length Window, at most Ratio times the number of requests plus Base.
type Allowance struct {
	Ratio  float64
	Base   float64
	Window time.Duration
}

const (
	// slotsPerWindow is the number of slots in which a window is counted.
	slotsPerWindow = 10
	// usableRatio is the fraction of Ratio that a node uses. Windows slide, and nodes count different
	// requests, so the nodes would exceed the allowance if they used all of it.
	usableRatio = 0.85
	// usableBase is the fraction of Base that all nodes use together. A restarted node has lost its
	// count of retries.
	usableBase = 0.7
)

// WindowBudget limits the retries that a node sends to one service. Each node uses an equal share
// of Base, by the number of nodes that it knows of, so no shared counter is needed. The budget is
// made for the loss of a failure domain: all streams of the domain are retried within a second,
// which a rate that follows successes would not allow.
//
// Retries are whole numbers, and in a large fleet a node's share is a fraction of a retry. The
// node's random rounding offset decides whether a fraction is rounded up or down. All nodes
// together then reach the sum of their shares, while rounding down everywhere would leave no
// retries. The offset is constant for the life of the process, so repeated attempts do not get
// another chance.
type WindowBudget struct {
	allowance      Allowance
	nodes          func() int
	now            clock.Now
	roundingOffset float64

	mu      sync.Mutex
	slots   [slotsPerWindow + 1]slot
	granted uint64
	refused uint64
}

type slot struct {
	number   int64
	requests int
	retries  int
}

// WindowBudgetOption configures a WindowBudget.
type WindowBudgetOption func(*WindowBudget)

// RoundingOffset sets the node's rounding offset, from 0 up to but not including 1. With 0
// fractions are always rounded down.
func RoundingOffset(offset float64) WindowBudgetOption {
	return func(budget *WindowBudget) { budget.roundingOffset = offset }
}

// NewWindowBudget returns a WindowBudget with empty counts.
func NewWindowBudget(allowance Allowance, nodes func() int, now clock.Now, options ...WindowBudgetOption) *WindowBudget {
	budget := &WindowBudget{allowance: allowance, nodes: nodes, now: now}
	for _, option := range options {
		option(budget)
	}
	return budget
}

func (budget *WindowBudget) currentSlot() *slot {
	number := int64(budget.now() / (budget.allowance.Window / slotsPerWindow))
	slot := &budget.slots[number%int64(len(budget.slots))]
	if slot.number != number {
		slot.number, slot.requests, slot.retries = number, 0, 0
	}
	return slot
}

// RecordRequest counts a caller's request.
func (budget *WindowBudget) RecordRequest() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.currentSlot().requests++
}

// TryWithdraw grants and counts a retry, or returns false if the allowance is used up.
func (budget *WindowBudget) TryWithdraw() bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	current := budget.currentSlot()
	requests, retries := 0, 0
	for _, slot := range budget.slots {
		if slot.number >= current.number-slotsPerWindow {
			requests += slot.requests
			retries += slot.retries
		}
	}
	allowed := usableRatio*budget.allowance.Ratio*float64(requests) +
		usableBase*budget.allowance.Base/float64(max(1, budget.nodes()))
	if float64(retries+1) > allowed+budget.roundingOffset {
		budget.refused++
		return false
	}
	current.retries++
	budget.granted++
	return true
}

// WindowState describes a WindowBudget in the state dump: the cumulative numbers of granted and
// refused retries.
type WindowState struct {
	Sent     uint64
	Withheld uint64
}

// State returns the state of the budget for the state dump.
func (budget *WindowBudget) State() WindowState {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return WindowState{Sent: budget.granted, Withheld: budget.refused}
}
