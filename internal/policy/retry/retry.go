// Package retry limits the number of retries.
//
// A Budget gains a fraction of a retry with each success and loses one with each retry. Successes
// stop in an outage, so retries stop as well and do not multiply the load. A WindowBudget limits
// the retries that all nodes together send to a service in a sliding window. A Fleet counts them: nodes
// exchange their counts, so that a count outlasts the process that made it.
//
// # Usage
//
//	budget := retry.New()
//	budget.RecordSuccess()
//	if budget.TryWithdraw() { ... }
//
//	fleet := retry.NewFleet(allowance, retry.Clock(now), retry.Nodes(nodes))
//	fleet.Merge(retry.Sum(fleet.Own(), countsOfOtherNodes))
//	fleet.Observed()
//	if fleet.Service("drafts").TryWithdraw() { ... }
package retry

import "sync/atomic"

const (
	// Budgets count in thousandths of a retry.
	unitsPerRetry = 1000
	// unitsPerSuccess limits retries to an additional load of at most one tenth.
	unitsPerSuccess = 100
	// maxUnits is the maximum balance: 50 retries.
	maxUnits = 50 * unitsPerRetry
	// initialUnits is the balance of a new budget: 10 retries, so that a node can retry right after its
	// start.
	initialUnits = 10 * unitsPerRetry
)

// State describes a Budget in the state dump. Left is in retries.
type State struct {
	Left    float64
	Taken   uint64
	Refused uint64
}

// Budget is a retry budget shared by all requests of one kind on a node.
type Budget struct {
	units     atomic.Int64
	taken     atomic.Uint64
	refused   atomic.Uint64
	unlimited bool
}

// Option configures a Budget.
type Option func(*Budget)

// Unlimited grants every retry. It serves as the baseline in comparisons.
func Unlimited() Option {
	return func(budget *Budget) { budget.unlimited = true }
}

// New returns a budget with the initial balance.
func New(options ...Option) *Budget {
	budget := &Budget{}
	budget.units.Store(initialUnits)
	for _, option := range options {
		option(budget)
	}
	return budget
}

// RecordSuccess adds the fraction of a retry that a success gains.
func (budget *Budget) RecordSuccess() {
	for {
		units := budget.units.Load()
		if units >= maxUnits || budget.units.CompareAndSwap(units, min(maxUnits, units+unitsPerSuccess)) {
			return
		}
	}
}

// TryWithdraw takes one retry from the budget, or returns false if less than one is left. The
// balance never becomes negative.
func (budget *Budget) TryWithdraw() bool {
	if budget.unlimited {
		budget.taken.Add(1)
		return true
	}
	for {
		units := budget.units.Load()
		if units < unitsPerRetry {
			budget.refused.Add(1)
			return false
		}
		if budget.units.CompareAndSwap(units, units-unitsPerRetry) {
			budget.taken.Add(1)
			return true
		}
	}
}

// State returns the state of the budget for the state dump.
func (budget *Budget) State() State {
	return State{Left: float64(budget.units.Load()) / unitsPerRetry, Taken: budget.taken.Load(), Refused: budget.refused.Load()}
}
