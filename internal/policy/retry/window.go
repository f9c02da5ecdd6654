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

	startedAt time.Duration

	mu      sync.Mutex
	slots   [slotsPerWindow + 1]slot
	granted uint64
	refused uint64
	// loggedRefused is the value of refused at loggedAt, when refusals were last logged.
	loggedRefused uint64
	loggedAt      time.Duration
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

// NoPredecessor states that no earlier process of this node has sent retries, because the whole deployment
// starts for the first time.
func NoPredecessor() WindowBudgetOption {
	return func(*WindowBudget) {}
}

// NewWindowBudget returns a WindowBudget with empty counts.
func NewWindowBudget(allowance Allowance, nodes func() int, now clock.Now, options ...WindowBudgetOption) *WindowBudget {
	budget := &WindowBudget{allowance: allowance, nodes: nodes, now: now, startedAt: now()}
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
	usage := budget.usageLocked()
	if float64(usage.Retries+1) > usage.Allowed+budget.roundingOffset {
		budget.refused++
		return false
	}
	budget.currentSlot().retries++
	budget.granted++
	return true
}

// Usage is what a node sent and may send in the current window.
type Usage struct {
	Requests int
	Retries  int
	// Allowed is the number of retries that the node may send in the window.
	Allowed float64
	// Nodes is the number of nodes that share Base.
	Nodes int
	// AgeMilliseconds is the age of the count. A node that has just started knows nothing of the retries that its
	// predecessor sent.
	AgeMilliseconds int64
}

func (budget *WindowBudget) usageLocked() Usage {
	current := budget.currentSlot()
	usage := Usage{Nodes: budget.nodes(), AgeMilliseconds: (budget.now() - budget.startedAt).Milliseconds()}
	for _, slot := range budget.slots {
		if slot.number >= current.number-slotsPerWindow {
			usage.Requests += slot.requests
			usage.Retries += slot.retries
		}
	}
	usage.Allowed = usableRatio*budget.allowance.Ratio*float64(usage.Requests) +
		usableBase*budget.allowance.Base/float64(max(1, usage.Nodes))
	return usage
}

// refusalLogInterval is the minimum time between two log lines about refused retries.
const refusalLogInterval = time.Second

// RefusalsToLog returns the number of retries refused since the last log line and the usage of the window. due is
// false if the last line is too recent.
func (budget *WindowBudget) RefusalsToLog() (refused uint64, usage Usage, due bool) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	now := budget.now()
	if budget.loggedAt > 0 && now-budget.loggedAt < refusalLogInterval {
		return 0, Usage{}, false
	}
	refused = budget.refused - budget.loggedRefused
	budget.loggedRefused, budget.loggedAt = budget.refused, now
	return refused, budget.usageLocked(), true
}

// WindowState describes a WindowBudget in the state dump: the cumulative numbers of granted and
// refused retries, and the usage of the current window.
type WindowState struct {
	Sent     uint64
	Withheld uint64
	Window   Usage
}

// State returns the state of the budget for the state dump.
func (budget *WindowBudget) State() WindowState {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return WindowState{Sent: budget.granted, Withheld: budget.refused, Window: budget.usageLocked()}
}
