package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"hazelslip/internal/policy/retry"
	"hazelslip/internal/testlib/suite"
)

// Guards against a budget that multiplies the load in an outage, when successes stop and every
// request asks for retries. The balance must stay between 0 and 50, and the granted retries must
// not exceed the initial balance plus one tenth of the successes.
func TestBudgetBoundsRetries(t *testing.T) {
	suite.SeedRapid(t)
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.New()
		initial := budget.State().Left
		successes, granted := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "success") {
				budget.RecordSuccess()
				successes++
			} else if budget.TryWithdraw() {
				granted++
			}
			if left := budget.State().Left; left < 0 || left > 50 {
				t.Fatalf("budget has %g retries, want 0 to 50", left)
			}
		}
		if float64(granted) > initial+float64(successes)/10 {
			t.Fatalf("%d retries granted after %d successes", granted, successes)
		}
	})
}
