package patience

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A store that answers after many times its usual time is not asked anew before it has answered.
func TestSlowStoreIsWaitedFor(t *testing.T) {
	expect := gomega.NewWithT(t)
	usual := LatencyWindow{}
	expect.Expect(HedgeDelay(500*time.Millisecond, usual.Max())).To(gomega.Equal(750 * time.Millisecond))
	usual.Observe(300 * time.Millisecond)
	expect.Expect(HedgeDelay(0, usual.Max())).To(gomega.Equal(600 * time.Millisecond))
	usual.Observe(2 * time.Second)
	expect.Expect(HedgeDelay(0, usual.Max())).To(gomega.Equal(time.Second))
	for range latencySamples {
		usual.Observe(-time.Millisecond)
	}
	expect.Expect(HedgeDelay(0, usual.Max())).To(gomega.Equal(minHedgeDelay))
}

// Calls that fail at once don't follow each other faster than those that hang.
func TestFailedCallsAreSpaced(t *testing.T) {
	expect := gomega.NewWithT(t)
	limits := TimingFor(Representative)
	expect.Expect(limits.RetryDelay(1, 0)).To(gomega.Equal(firstRetryDelay))
	expect.Expect(limits.RetryDelay(2, 0)).To(gomega.Equal(limits.HedgeInterval))
	expect.Expect(limits.RetryDelay(2, 3*time.Second)).To(gomega.BeZero())
	expect.Expect(TimingFor(Listener).HedgeInterval).To(gomega.BeNumerically(">", limits.HedgeInterval))
}
