// Package retrybudget makes retry budgets for tests of other parts: those of a single node that has no predecessor
// and hears of no other node.
//
// # Usage
//
//	window := retrybudget.New(1000, now)
package retrybudget

import (
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/retry"
)

// New returns a budget of a fifth of the requests plus base retries in 10 s.
func New(base float64, now clock.Now) *retry.WindowBudget {
	fleet := retry.NewFleet(retry.Allowance{Ratio: 0.2, Base: base, Window: 10 * time.Second}, retry.Clock(now), retry.NoPredecessor(), retry.MaxStaleness(time.Hour))
	return fleet.Service("service")
}
