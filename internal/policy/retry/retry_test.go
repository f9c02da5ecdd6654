package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"hazelslip/internal/policy/retry"
	"hazelslip/internal/testlib/suite"
)

// An outage: successes stop and every request asks for retries. The budget must
// run dry instead of multiplying the load, never go below zero, and grant no
// more than a tenth of the successes beyond what was saved up.
func TestBudgetAgainstCounting(t *testing.T) {
	suite.SeedRapid(t)
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.New()
		saved := budget.State().Left
		succeeded, taken := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "success") {
				budget.Succeeded()
				succeeded++
			} else if budget.Take() {
				taken++
			}
			if left := budget.State().Left; left < 0 || left > 50 {
				t.Fatalf("%g left", left)
			}
		}
		if float64(taken) > saved+float64(succeeded)/10 {
			t.Fatalf("%d retries on %d successes", taken, succeeded)
		}
	})
}
