package demand_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/demand"
)

const pool = "draft/large"

// counting returns a Demand on a clock that the test moves.
func counting() (held *demand.Demand, now *time.Duration) {
	now = new(time.Duration)
	return demand.New(demand.Clock(func() time.Duration { return *now })), now
}

// Guards against rates that are off the mark, or that follow demand too late for shedding.
func TestRatesFollowWhatIsAsked(t *testing.T) {
	expect := gomega.NewWithT(t)
	held, now := counting()
	for ; *now < 3*time.Second; *now += 10 * time.Millisecond {
		held.Asked(pool, 1)
		if *now%(40*time.Millisecond) == 0 {
			held.Refused(pool)
		}
	}
	rates, _ := held.Rates(pool)
	expect.Expect(rates.Asked[1]).To(gomega.BeNumerically("~", 100, 3))
	expect.Expect(rates.Asked[0]).To(gomega.BeZero())
	expect.Expect(rates.Refused).To(gomega.BeNumerically("~", 25, 2))
	*now += 250 * time.Millisecond
	rates, _ = held.Rates(pool)
	expect.Expect(rates.Asked[1]).To(gomega.BeNumerically("~", 37, 2))
}

// Guards against ranks out of range, which would end the node, and against demand at one rank that counts at another.
func TestRanksOutOfRangeCountAtTheNearest(t *testing.T) {
	expect := gomega.NewWithT(t)
	held, _ := counting()
	held.Asked(pool, -1)
	held.Asked(pool, 99)
	rates, _ := held.Rates(pool)
	expect.Expect(rates.Asked[0]).To(gomega.BeNumerically(">", 0))
	expect.Expect(rates.Asked[demand.Ranks-1]).To(gomega.BeNumerically(">", 0))
}

// Guards against pools that are kept and told for good after their last stream.
func TestPoolsThatNobodyAsksForAreForgotten(t *testing.T) {
	expect := gomega.NewWithT(t)
	held, now := counting()
	held.Asked(pool, 0)
	expect.Expect(held.Own()).To(gomega.HaveLen(1))
	*now += 2 * time.Second
	expect.Expect(held.Own()).To(gomega.BeEmpty())
	expect.Expect(held.State()).To(gomega.BeEmpty())
}

// Guards against a node whose own part counts twice, and against sums that outlive what is known of other nodes.
func TestRatesAreTheOwnAndThoseOfOthers(t *testing.T) {
	expect := gomega.NewWithT(t)
	held, _ := counting()
	held.Asked(pool, 2)
	own := held.Own()
	rates, known := held.Rates(pool)
	expect.Expect(known).To(gomega.BeFalse())
	expect.Expect(rates).To(gomega.Equal(own[pool]))

	sum := demand.Sums{}
	sum.Add(own)
	sum.Add(demand.Sums{pool: {Asked: [demand.Ranks]float64{2: 7}, Refused: 3}, "draft/small": {Refused: 1}})
	held.Take(sum.Less(own))
	rates, known = held.Rates(pool)
	expect.Expect(known).To(gomega.BeTrue())
	expect.Expect(rates.Asked[2]).To(gomega.BeNumerically("~", own[pool].Asked[2]+7, 1e-9))
	expect.Expect(rates.Refused).To(gomega.BeNumerically("~", 3, 1e-9))
	small, _ := held.Rates("draft/small")
	expect.Expect(small.Refused).To(gomega.BeNumerically("~", 1, 1e-9))

	held.Take(nil)
	rates, known = held.Rates(pool)
	expect.Expect(known).To(gomega.BeFalse())
	expect.Expect(rates).To(gomega.Equal(own[pool]))
}

// Guards against the wrong report being taken off a sum: a newer one than the sum includes would hide other nodes' demand,
// and one that is forgotten must not pass for none.
func TestTheReportThatASumIncludesIsTakenOff(t *testing.T) {
	expect := gomega.NewWithT(t)
	reports := &demand.Reports{}
	for sequence := uint64(1); sequence <= 20; sequence++ {
		reports.Add(sequence, demand.Sums{pool: {Refused: float64(sequence)}})
	}
	kept, remembered := reports.At(18)
	expect.Expect(remembered).To(gomega.BeTrue())
	expect.Expect(kept[pool].Refused).To(gomega.Equal(18.0))
	_, remembered = reports.At(3)
	expect.Expect(remembered).To(gomega.BeFalse())
	kept, remembered = reports.At(0)
	expect.Expect(remembered).To(gomega.BeTrue())
	expect.Expect(kept).To(gomega.BeEmpty())
}

// Guards against a frame in each interval from a node whose rates only waver or fade, and against changes that are never told.
func TestSmallChangesAreNoNews(t *testing.T) {
	expect := gomega.NewWithT(t)
	told := demand.Sums{pool: {Asked: [demand.Ranks]float64{100, 2}, Refused: 3}}
	near := demand.Sums{pool: {Asked: [demand.Ranks]float64{105, 2.5}, Refused: 3.5}}
	expect.Expect(near.News(told)).To(gomega.BeFalse())
	expect.Expect(demand.Sums{pool: {Asked: [demand.Ranks]float64{120, 2}, Refused: 3}}.News(told)).To(gomega.BeTrue())
	expect.Expect(demand.Sums{pool: {Asked: [demand.Ranks]float64{100, 2}, Refused: 8}}.News(told)).To(gomega.BeTrue())
	expect.Expect(demand.Sums{}.News(told)).To(gomega.BeTrue(), "nothing is asked for any more")
	expect.Expect(told.News(nil)).To(gomega.BeTrue(), "first demand")
	expect.Expect(demand.Sums{}.News(nil)).To(gomega.BeFalse())
}

// Guards against sums that depend on the order in which links are added up, and against parts that are not what was told after their way over the wire.
func TestRatesAreExactOnTheWire(t *testing.T) {
	expect := gomega.NewWithT(t)
	for count := range 20_000 {
		rate := float64(count) / 64
		if back := demand.FromHundredths(demand.Hundredths(rate)); back != rate {
			t.Fatalf("%v became %v", rate, back)
		}
	}
	held, now := counting()
	held.Asked(pool, 0)
	*now += 123 * time.Millisecond
	told := held.Own()[pool].Asked[0]
	expect.Expect(demand.FromHundredths(demand.Hundredths(told))).To(gomega.Equal(told))
}
