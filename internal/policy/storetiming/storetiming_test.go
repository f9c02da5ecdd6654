package storetiming

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against hedging calls to a slow store too early: a call is hedged only after twice the
// highest recent latency, within bounds.
func TestHedgeDelayFollowsLatency(t *testing.T) {
	expect := gomega.NewWithT(t)
	window := LatencyWindow{}
	expect.Expect(HedgeDelay(500*time.Millisecond, window.Max())).To(gomega.Equal(750 * time.Millisecond))
	window.Observe(300 * time.Millisecond)
	expect.Expect(HedgeDelay(0, window.Max())).To(gomega.Equal(600 * time.Millisecond))
	window.Observe(2 * time.Second)
	expect.Expect(HedgeDelay(0, window.Max())).To(gomega.Equal(time.Second))
	for range latencySamples {
		window.Observe(-time.Millisecond)
	}
	expect.Expect(HedgeDelay(0, window.Max())).To(gomega.Equal(minHedgeDelay))
}

// Guards against calls that fail immediately and follow each other faster than calls that hang.
func TestFailedCallsAreSpaced(t *testing.T) {
	expect := gomega.NewWithT(t)
	timing := TimingFor(Representative)
	expect.Expect(timing.RetryDelay(1, 0)).To(gomega.Equal(firstRetryDelay))
	expect.Expect(timing.RetryDelay(2, 0)).To(gomega.Equal(timing.HedgeInterval))
	expect.Expect(timing.RetryDelay(2, 3*time.Second)).To(gomega.BeZero())
	expect.Expect(TimingFor(Listener).HedgeInterval).To(gomega.BeNumerically(">", timing.HedgeInterval))
}
