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
	unitsPerRetry = 1000
	// earned is what a success adds, in thousandths of a retry: with it,
	// retries add at most a tenth to the load.
	unitsPerSuccess = 100
	// most is how many retries can be saved up.
	maxUnits = 50 * unitsPerRetry
	// atStart lets a node that just started try a few times.
	initialUnits = 10 * unitsPerRetry
)

// State is what a Budget shows in the state dump. Left is in retries.
type State struct {
	Left    float64
	Taken   uint64
	Refused uint64
}

// Budget is shared by the requests of one kind on a node.
type Budget struct {
	units     atomic.Int64
	taken     atomic.Uint64
	refused   atomic.Uint64
	unlimited bool
}

// Option changes how a Budget is built.
type Option func(*Budget)

// Endless lets every retry through; comparisons use it.
func Unlimited() Option {
	return func(budget *Budget) { budget.unlimited = true }
}

// New returns a budget with a few retries in it.
func New(options ...Option) *Budget {
	budget := &Budget{}
	budget.units.Store(initialUnits)
	for _, option := range options {
		option(budget)
	}
	return budget
}

// Succeeded earns a part of a retry.
func (budget *Budget) RecordSuccess() {
	for {
		left := budget.units.Load()
		if left >= maxUnits || budget.units.CompareAndSwap(left, min(maxUnits, left+unitsPerSuccess)) {
			return
		}
	}
}

// Take spends one retry and reports false when there is none. What is left
// never goes below zero.
func (budget *Budget) TryWithdraw() bool {
	if budget.unlimited {
		budget.taken.Add(1)
		return true
	}
	for {
		left := budget.units.Load()
		if left < unitsPerRetry {
			budget.refused.Add(1)
			return false
		}
		if budget.units.CompareAndSwap(left, left-unitsPerRetry) {
			budget.taken.Add(1)
			return true
		}
	}
}

// State returns the budget's part of the state dump.
func (budget *Budget) State() State {
	return State{Left: float64(budget.units.Load()) / unitsPerRetry, Taken: budget.taken.Load(), Refused: budget.refused.Load()}
}
