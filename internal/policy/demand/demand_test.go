package demand_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/demand"
)

const pool = "draft/large"

// newDemand returns a Demand whose clock the test controls.
func newDemand() (tracker *demand.Demand, now *time.Duration) {
	now = new(time.Duration)
	return demand.New(demand.Clock(func() time.Duration { return *now })), now
}

// Guards against wrong rates, and against rates that follow demand too slowly for load shedding.
func TestRatesFollowRequests(t *testing.T) {
	expect := gomega.NewWithT(t)
	tracker, now := newDemand()
	for ; *now < 3*time.Second; *now += 10 * time.Millisecond {
		tracker.RecordRequest(pool, 1)
		if *now%(40*time.Millisecond) == 0 {
			tracker.RecordRefusal(pool)
		}
	}
	rates, _ := tracker.Rates(pool)
	expect.Expect(rates.Requested[1]).To(gomega.BeNumerically("~", 100, 3))
	expect.Expect(rates.Requested[0]).To(gomega.BeZero())
	expect.Expect(rates.Refused).To(gomega.BeNumerically("~", 25, 2))
	*now += 250 * time.Millisecond
	rates, _ = tracker.Rates(pool)
	expect.Expect(rates.Requested[1]).To(gomega.BeNumerically("~", 37, 2))
}

// Guards against a panic on ranks out of range, and against a stream counting at the wrong rank.
func TestRanksOutOfRangeAreClamped(t *testing.T) {
	expect := gomega.NewWithT(t)
	tracker, _ := newDemand()
	tracker.RecordRequest(pool, -1)
	tracker.RecordRequest(pool, 99)
	rates, _ := tracker.Rates(pool)
	expect.Expect(rates.Requested[0]).To(gomega.BeNumerically(">", 0))
	expect.Expect(rates.Requested[demand.Ranks-1]).To(gomega.BeNumerically(">", 0))
}

// Guards against pools that are kept and reported forever after their last stream.
func TestIdlePoolsAreForgotten(t *testing.T) {
	expect := gomega.NewWithT(t)
	tracker, now := newDemand()
	tracker.RecordRequest(pool, 0)
	expect.Expect(tracker.Local()).To(gomega.HaveLen(1))
	*now += 2 * time.Second
	expect.Expect(tracker.Local()).To(gomega.BeEmpty())
	expect.Expect(tracker.State()).To(gomega.BeEmpty())
}

// Guards against a node's own demand counting twice, and against remote rates that stay in use after they became
// unknown.
func TestRatesAddLocalAndRemote(t *testing.T) {
	expect := gomega.NewWithT(t)
	tracker, _ := newDemand()
	tracker.RecordRequest(pool, 2)
	local := tracker.Local()
	rates, known := tracker.Rates(pool)
	expect.Expect(known).To(gomega.BeFalse())
	expect.Expect(rates).To(gomega.Equal(local[pool]))

	sum := demand.PoolRates{}
	sum.Add(local)
	sum.Add(demand.PoolRates{pool: {Requested: [demand.Ranks]float64{2: 7}, Refused: 3}, "draft/small": {Refused: 1}})
	tracker.SetRemote(sum.Subtract(local))
	rates, known = tracker.Rates(pool)
	expect.Expect(known).To(gomega.BeTrue())
	expect.Expect(rates.Requested[2]).To(gomega.BeNumerically("~", local[pool].Requested[2]+7, 1e-9))
	expect.Expect(rates.Refused).To(gomega.BeNumerically("~", 3, 1e-9))
	small, _ := tracker.Rates("draft/small")
	expect.Expect(small.Refused).To(gomega.BeNumerically("~", 1, 1e-9))

	tracker.SetRemote(nil)
	rates, known = tracker.Rates(pool)
	expect.Expect(known).To(gomega.BeFalse())
	expect.Expect(rates).To(gomega.Equal(local[pool]))
}

// Guards against subtracting the wrong report from a sum. A newer report than the sum includes would hide the demand
// of other nodes, and a report that is no longer kept must not be treated as no report.
func TestReportIncludedInSumIsFound(t *testing.T) {
	expect := gomega.NewWithT(t)
	reports := &demand.Reports{}
	for sequence := uint64(1); sequence <= 20; sequence++ {
		reports.Add(sequence, demand.PoolRates{pool: {Refused: float64(sequence)}})
	}
	kept, remembered := reports.Get(18)
	expect.Expect(remembered).To(gomega.BeTrue())
	expect.Expect(kept[pool].Refused).To(gomega.Equal(18.0))
	_, remembered = reports.Get(3)
	expect.Expect(remembered).To(gomega.BeFalse())
	kept, remembered = reports.Get(0)
	expect.Expect(remembered).To(gomega.BeTrue())
	expect.Expect(kept).To(gomega.BeEmpty())
}

// Guards against a node that sends a frame in every interval although its rates only fluctuate or decay, and against
// changes that are never reported.
func TestSmallChangesAreNotReported(t *testing.T) {
	expect := gomega.NewWithT(t)
	reported := demand.PoolRates{pool: {Requested: [demand.Ranks]float64{100, 2}, Refused: 3}}
	similar := demand.PoolRates{pool: {Requested: [demand.Ranks]float64{105, 2.5}, Refused: 3.5}}
	expect.Expect(similar.DiffersFrom(reported)).To(gomega.BeFalse())
	expect.Expect(demand.PoolRates{pool: {Requested: [demand.Ranks]float64{120, 2}, Refused: 3}}.DiffersFrom(reported)).To(gomega.BeTrue())
	expect.Expect(demand.PoolRates{pool: {Requested: [demand.Ranks]float64{100, 2}, Refused: 8}}.DiffersFrom(reported)).To(gomega.BeTrue())
	expect.Expect(demand.PoolRates{}.DiffersFrom(reported)).To(gomega.BeTrue(), "no demand left")
	expect.Expect(reported.DiffersFrom(nil)).To(gomega.BeTrue(), "first report")
	expect.Expect(demand.PoolRates{}.DiffersFrom(nil)).To(gomega.BeFalse())
}

// Guards against sums that depend on the order of their addends, and against rates that change when they are encoded
// for the wire.
func TestRateEncodingIsLossless(t *testing.T) {
	expect := gomega.NewWithT(t)
	for count := range 20_000 {
		rate := float64(count) / 64
		if decoded := demand.DecodeRate(demand.EncodeRate(rate)); decoded != rate {
			t.Fatalf("rate %v was decoded as %v", rate, decoded)
		}
	}
	tracker, now := newDemand()
	tracker.RecordRequest(pool, 0)
	*now += 123 * time.Millisecond
	reported := tracker.Local()[pool].Requested[0]
	expect.Expect(demand.DecodeRate(demand.EncodeRate(reported))).To(gomega.Equal(reported))
}
