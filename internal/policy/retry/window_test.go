package retry_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/retry"
)

func allowance() retry.Allowance {
	return retry.Allowance{Ratio: 0.2, Least: 100, Span: 10 * time.Second}
}

// A domain goes dark and all its streams are repeated within a second; what the
// nodes send together must stay within the allowance of any span, however
// requests come and go and although each node counts for itself.
func TestNodesTogetherStayWithinTheAllowance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		const nodes = 6
		draw := rand.New(rand.NewPCG(3, 3))
		now := clock.Virtual()
		windows := []*retry.Window{}
		for range nodes {
			windows = append(windows, retry.NewWindow(allowance(), func() int { return nodes }, now))
		}
		type sent struct {
			at                time.Duration
			requests, repeats int
		}
		history := []sent{}
		for step := range 600 {
			one := sent{at: now()}
			rate := 1 + 12*(step/100%2)
			for range rate {
				window := windows[draw.IntN(nodes)]
				window.Request()
				one.requests++
				for draw.IntN(3) == 0 && window.Take() {
					one.repeats++
				}
			}
			history = append(history, one)
			time.Sleep(100 * time.Millisecond)
		}
		for first := range history {
			requests, repeats := 0, 0
			for _, one := range history[first:] {
				if one.at-history[first].at >= 10*time.Second {
					break
				}
				requests += one.requests
				repeats += one.repeats
			}
			expect.Expect(float64(repeats)).To(gomega.BeNumerically("<=", 0.2*float64(requests)+100))
		}
	})
}

func TestDarkDomainIsRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		window := retry.NewWindow(allowance(), func() int { return 6 }, clock.Virtual())
		for range 300 {
			window.Request()
		}
		taken := 0
		for window.Take() {
			taken++
		}
		expect.Expect(taken).To(gomega.BeNumerically(">=", 50))
		expect.Expect(window.State().Withheld).To(gomega.Equal(uint64(1)))
		time.Sleep(12 * time.Second)
		expect.Expect(window.Take()).To(gomega.BeTrue())
	})
}
