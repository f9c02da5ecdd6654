package retry_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/testlib/suite"
)

func allowance() retry.Allowance {
	return retry.Allowance{Ratio: 0.2, Base: 100, Window: 10 * time.Second}
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
		windows := []*retry.WindowBudget{}
		for range nodes {
			windows = append(windows, retry.NewWindowBudget(allowance(), func() int { return nodes }, now, retry.RoundingOffset(draw.Float64())))
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
				window.RecordRequest()
				one.requests++
				for draw.IntN(3) == 0 && window.TryWithdraw() {
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
		window := retry.NewWindowBudget(allowance(), func() int { return 6 }, clock.Virtual())
		for range 300 {
			window.RecordRequest()
		}
		taken := 0
		for window.TryWithdraw() {
			taken++
		}
		expect.Expect(taken).To(gomega.BeNumerically(">=", 50))
		expect.Expect(window.State().Withheld).To(gomega.Equal(uint64(1)))
		time.Sleep(12 * time.Second)
		expect.Expect(window.TryWithdraw()).To(gomega.BeTrue())
	})
}

// fleetSize is a fleet with what its operator allows, and how often each node is called.
type fleetSize struct {
	nodes int
	least float64
	// perNode is how many requests a second a node gets for the service, failing the part of
	// them whose first try fails.
	perNode, failing float64
}

// asked plays a fleet for a minute: each request that fails is repeated where its node may. It
// returns how many repeats were wanted and sent, and the most in a span as a part of what is
// allowed.
func (size fleetSize) asked(draw *rand.Rand, lot func() float64) (wanted, sent int, worst float64) {
	allowed := retry.Allowance{Ratio: 0.2, Base: size.least, Window: 10 * time.Second}
	now := time.Hour
	windows := make([]*retry.WindowBudget, size.nodes)
	for node := range windows {
		windows[node] = retry.NewWindowBudget(allowed, func() int { return size.nodes }, func() time.Duration { return now }, retry.RoundingOffset(lot()))
	}
	const step = 100 * time.Millisecond
	const spanSteps = int(10 * time.Second / step)
	requests, repeats := []int{}, []int{}
	for range 6 * spanSteps {
		now += step
		came := int(float64(size.nodes)*size.perNode*step.Seconds() + draw.Float64())
		requests, repeats = append(requests, came), append(repeats, 0)
		for range came {
			window := windows[draw.IntN(size.nodes)]
			window.RecordRequest()
			if draw.Float64() < size.failing {
				wanted++
				if window.TryWithdraw() {
					sent++
					repeats[len(repeats)-1]++
				}
			}
		}
		inSpan, repeated := 0, 0
		for number := max(0, len(requests)-spanSteps); number < len(requests); number++ {
			inSpan, repeated = inSpan+requests[number], repeated+repeats[number]
		}
		worst = max(worst, float64(repeated)/(allowed.Ratio*float64(inSpan)+allowed.Base))
	}
	return wanted, sent, worst
}

// Guards against requests that fail at the second server's door: a node whose part of the
// allowance is less than one repeat had none, however little the fleet repeats.
func TestFractionOfARepeatIsNotNone(t *testing.T) {
	expect := gomega.NewWithT(t)
	draw := rand.New(rand.NewPCG(suite.Seed(), 71))
	for _, size := range []fleetSize{
		{nodes: 3, least: 100, perNode: 6, failing: 0.02}, {nodes: 74, least: 248, perNode: 0.7, failing: 0.04}, {nodes: 984, least: 1040, perNode: 0.075, failing: 0.04},
	} {
		wanted, sent, worst := size.asked(draw, draw.Float64)
		expect.Expect(float64(sent)).To(gomega.BeNumerically(">=", 0.85*float64(wanted)), "%d nodes", size.nodes)
		expect.Expect(worst).To(gomega.BeNumerically("<=", 1), "%d nodes", size.nodes)
	}
}

// Guards against a fleet that sends more repeats than it may since fractions count as whole ones,
// when every request wants a repeat.
func TestFleetWhereAllFailsStaysWithinTheAllowance(t *testing.T) {
	draw := rand.New(rand.NewPCG(suite.Seed(), 72))
	for _, nodes := range []int{3, 74, 984, 2000, 6000} {
		size := fleetSize{nodes: nodes, least: 1040, perNode: 1, failing: 1}
		_, _, worst := size.asked(draw, draw.Float64)
		gomega.NewWithT(t).Expect(worst).To(gomega.BeNumerically("<=", 1), "%d nodes", nodes)
	}
}

// BenchmarkWaysToShareRepeats prints what part of the wanted repeats a fleet sends, by how a node
// takes its fraction: not at all, by lot, and as if one counter were shared.
func BenchmarkWaysToShareRepeats(b *testing.B) {
	for range b.N {
		for _, nodes := range []int{74, 300, 984, 2000} {
			size := fleetSize{nodes: nodes, least: 1040, perNode: 0.075, failing: 0.14}
			if nodes == 74 {
				size.least = 248
			}
			draw := rand.New(rand.NewPCG(1, 73))
			wanted, whole, _ := size.asked(draw, func() float64 { return 0 })
			drawnWanted, drawn, worst := size.asked(draw, draw.Float64)
			b.Logf("%d nodes: whole parts send %.2f of the repeats, drawn ones %.2f, one counter 1.00; the most in a span is %.2f of what is allowed",
				nodes, float64(whole)/float64(wanted), float64(drawn)/float64(drawnWanted), worst)
		}
	}
}
