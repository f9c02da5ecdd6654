// Package retry bounds how much work is tried again.
//
// A Budget earns a fraction of a try with each success and spends a whole one
// with each retry, so that in an outage, when successes stop, retries stop too
// and cannot multiply the load.
//
// # Usage
//
//	budget := retry.New()
//	budget.Succeeded()
//	if budget.Take() { ... }
package retry

import "sync/atomic"

const (
	scale = 1000
	// earned is what a success adds, in thousandths of a retry: with it,
	// retries add at most a tenth to the load.
	earned = 100
	// most is how many retries can be saved up.
	most = 50 * scale
	// atStart lets a node that just started try a few times.
	atStart = 10 * scale
)

// State is what a Budget shows in the state dump. Left is in retries.
type State struct {
	Left    float64
	Taken   uint64
	Refused uint64
}

// Budget is shared by the requests of one kind on a node.
type Budget struct {
	left    atomic.Int64
	taken   atomic.Uint64
	refused atomic.Uint64
	endless bool
}

// Option changes how a Budget is built.
type Option func(*Budget)

// Endless lets every retry through; comparisons use it.
func Endless() Option {
	return func(budget *Budget) { budget.endless = true }
}

// New returns a budget with a few retries in it.
func New(options ...Option) *Budget {
	budget := &Budget{}
	budget.left.Store(atStart)
	for _, option := range options {
		option(budget)
	}
	return budget
}

// Succeeded earns a part of a retry.
func (budget *Budget) Succeeded() {
	for {
		left := budget.left.Load()
		if left >= most || budget.left.CompareAndSwap(left, min(most, left+earned)) {
			return
		}
	}
}

// Take spends one retry and reports false when there is none. What is left
// never goes below zero.
func (budget *Budget) Take() bool {
	if budget.endless {
		budget.taken.Add(1)
		return true
	}
	for {
		left := budget.left.Load()
		if left < scale {
			budget.refused.Add(1)
			return false
		}
		if budget.left.CompareAndSwap(left, left-scale) {
			budget.taken.Add(1)
			return true
		}
	}
}

// State returns the budget's part of the state dump.
func (budget *Budget) State() State {
	return State{Left: float64(budget.left.Load()) / scale, Taken: budget.taken.Load(), Refused: budget.refused.Load()}
}
