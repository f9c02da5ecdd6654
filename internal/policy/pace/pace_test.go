package pace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/pace"
)

const (
	start = time.Hour
	pass  = 32 * time.Millisecond
)

// recordPasses records passes of a group with the given slowdown factor, each of them seen by several streams. It
// returns the end of the last pass.
func recordPasses(meter *pace.Meter, from time.Duration, passes, streams int, factor float64) time.Duration {
	elapsed := time.Duration(factor * float64(pass))
	for range passes {
		from += elapsed
		for range streams {
			meter.Record(pace.Interval{Elapsed: elapsed, ExpectedPass: pass}, from)
		}
	}
	return from
}

// measureAll measures the groups of a pool, each of which must have enough passes.
func measureAll(expect *gomega.WithT, meters []*pace.Meter, now time.Duration) []pace.Measurement {
	measured := []pace.Measurement{}
	for _, meter := range meters {
		one, known := meter.Measure(now)
		expect.Expect(known).To(gomega.BeTrue())
		measured = append(measured, one)
	}
	return measured
}

// evaluate measures a group against a baseline of 1.
func evaluate(meter *pace.Meter, now time.Duration) pace.Assessment {
	meter.Measure(now)
	return meter.Evaluate(pace.Measurement{Factor: 1, DecodeOnly: 1}, now)
}

// Guards against a slow group that is not detected, or that is detected from too few passes.
func TestSlowGroupIsDetectedAfterEightPasses(t *testing.T) {
	expect := gomega.NewWithT(t)
	meter := &pace.Meter{}
	now := recordPasses(meter, start, 7, 5, 4)
	expect.Expect(evaluate(meter, now).Factor).To(gomega.Equal(1.0))
	assessment := evaluate(meter, recordPasses(meter, now, 1, 5, 4))
	expect.Expect(assessment.Factor).To(gomega.BeNumerically("~", 4, 0.01))
	expect.Expect(assessment.Changed).To(gomega.BeTrue())
}

// Guards against a group that is found slow only after most of the kept passes are slow.
func TestGroupTurningSlowIsDetectedFromLastPasses(t *testing.T) {
	expect := gomega.NewWithT(t)
	meter := &pace.Meter{}
	now := recordPasses(meter, start, 100, 1, 1)
	expect.Expect(evaluate(meter, now)).To(gomega.Equal(pace.Assessment{Factor: 1}))
	expect.Expect(evaluate(meter, recordPasses(meter, now, 8, 1, 3)).Factor).To(gomega.BeNumerically("~", 3, 0.01))
}

// Guards against a healthy group that appears slow because many of its passes include prefill.
func TestPrefillPassesDoNotMakeGroupSlow(t *testing.T) {
	expect := gomega.NewWithT(t)
	draw := rand.New(rand.NewPCG(1, 1))
	meter := &pace.Meter{}
	now, slow := start, 0
	for range 10_000 {
		elapsed := pass
		if draw.IntN(10) < 4 {
			elapsed *= 3
		}
		now += elapsed
		meter.Record(pace.Interval{Elapsed: elapsed, ExpectedPass: pass}, now)
		if evaluate(meter, now).Factor > 1 {
			slow++
		}
	}
	// Eight passes with prefill in a row have a probability of one in 1,500, and the next pass ends the run.
	expect.Expect(slow).To(gomega.BeNumerically("<", 20))
}

// Guards against a pass being counted once for each of its streams.
func TestEventsOfOnePassCountOnce(t *testing.T) {
	expect := gomega.NewWithT(t)
	meter := &pace.Meter{}
	now := recordPasses(meter, start, 3, 20, 5)
	expect.Expect(evaluate(meter, now).Factor).To(gomega.Equal(1.0))
}

// Guards against a slow group that is never tried again, and against one that is tried again at once.
func TestSlowdownDecays(t *testing.T) {
	expect := gomega.NewWithT(t)
	meter := &pace.Meter{}
	now := recordPasses(meter, start, 10, 1, 4)
	evaluate(meter, now)
	expect.Expect(evaluate(meter, now+4*time.Second).Factor).To(gomega.BeNumerically(">", pace.SlowThreshold))
	expect.Expect(evaluate(meter, now+6*time.Second).Factor).To(gomega.Equal(1.0))
}

// Guards against a slow group that gets as many calls on each retry as on the first try.
func TestRetriedGroupIsDetectedSooner(t *testing.T) {
	expect := gomega.NewWithT(t)
	meter := &pace.Meter{}
	now := recordPasses(meter, start, 10, 1, 4)
	evaluate(meter, now)
	now = recordPasses(meter, now+6*time.Second, 3, 1, 4)
	expect.Expect(evaluate(meter, now).Factor).To(gomega.BeNumerically("~", 4, 0.01))
}

// Guards against a group that is still avoided after it has recovered.
func TestRecoveredGroupIsNotSlow(t *testing.T) {
	expect := gomega.NewWithT(t)
	meter := &pace.Meter{}
	now := recordPasses(meter, start, 30, 1, 4)
	evaluate(meter, now)
	now = recordPasses(meter, now, 8, 1, 1)
	expect.Expect(evaluate(meter, now).Factor).To(gomega.Equal(1.0))
	expect.Expect(evaluate(meter, now).Changed).To(gomega.BeFalse(), "announced only once")
}

// Guards against nodes that announce the same factor to each other over and over.
func TestOnlyChangedFactorIsAnnounced(t *testing.T) {
	expect := gomega.NewWithT(t)
	meter := &pace.Meter{}
	now, announced := start, 0
	for range 80 {
		now = recordPasses(meter, now, 1, 1, 4)
		if evaluate(meter, now).Changed {
			announced++
		}
	}
	// The passes take ten seconds. An announced factor has decayed by a fifth after 0.9 seconds and is announced
	// again.
	expect.Expect(announced).To(gomega.BeNumerically("<=", 12))
	other := &pace.Meter{}
	expect.Expect(other.ApplyRemote(4, now, now)).To(gomega.BeTrue())
	expect.Expect(other.ApplyRemote(4.4, now+time.Millisecond, now+time.Millisecond)).To(gomega.BeFalse(), "nearly the same")
	expect.Expect(other.ApplyRemote(1, now-time.Second, now)).To(gomega.BeFalse(), "older than the known factor")
	expect.Expect(other.ApplyRemote(1, now+time.Second, now+time.Second)).To(gomega.BeTrue(), "recovered")
	expect.Expect(evaluate(other, now+time.Second)).To(gomega.Equal(pace.Assessment{Factor: 1}))
}

// Guards against a node that overrides a received factor with passes from before the group became slow.
func TestEarlierPassesDoNotOverrideRemoteFactor(t *testing.T) {
	expect := gomega.NewWithT(t)
	meter := &pace.Meter{}
	now := recordPasses(meter, start, 50, 1, 1)
	evaluate(meter, now)
	expect.Expect(meter.ApplyRemote(4, now, now)).To(gomega.BeTrue())
	now = recordPasses(meter, now, 7, 1, 1)
	expect.Expect(evaluate(meter, now).Factor).To(gomega.BeNumerically(">", 3))
	assessment := evaluate(meter, recordPasses(meter, now, 1, 1, 1))
	expect.Expect(assessment.Factor).To(gomega.Equal(1.0))
	expect.Expect(assessment.Changed).To(gomega.BeTrue())
}

// Guards against groups that appear slow because all passes take longer than configured, and against a slow group
// that is not detected among them.
func TestFactorIsComparedWithBaseline(t *testing.T) {
	expect := gomega.NewWithT(t)
	factors := []float64{1.8, 1.8, 7.2, 1.8}
	meters, now := []*pace.Meter{}, start
	for _, factor := range factors {
		meter := &pace.Meter{}
		now = max(now, recordPasses(meter, start, 10, 1, factor))
		meters = append(meters, meter)
	}
	measured := measureAll(expect, meters, now)
	for index, meter := range meters {
		assessment := meter.Evaluate(pace.Baseline(measured), now)
		expect.Expect(assessment.Factor > 1).To(gomega.Equal(index == 2))
		expect.Expect(assessment.Changed).To(gomega.Equal(index == 2))
	}
	expect.Expect(baselineOf(4)).To(gomega.Equal(4.0), "only one group")
	expect.Expect(baselineOf(4, 1)).To(gomega.Equal(1.0))
	expect.Expect(baselineOf(0.5, 0.6, 0.7)).To(gomega.Equal(1.0), "faster than configured")
	expect.Expect(baselineOf()).To(gomega.Equal(1.0))
	_, known := meters[0].Measure(now + 3*time.Minute)
	expect.Expect(known).To(gomega.BeFalse(), "too old")
}

// baselineOf returns the baseline of groups whose measurements are the same with and without prefill.
func baselineOf(factors ...float64) float64 {
	measured := []pace.Measurement{}
	for _, factor := range factors {
		measured = append(measured, pace.Measurement{Factor: factor, DecodeOnly: factor})
	}
	found := pace.Baseline(measured)
	if found.Factor != found.DecodeOnly {
		return math.NaN()
	}
	return found.Factor
}

// Guards against a group without prefill that appears slow among groups that nearly always have some, because prefill
// takes less time than expected. Also guards against a slow group of either kind that is not detected.
func TestDecodeOnlyPassesAreComparedWithDecodeOnlyBaseline(t *testing.T) {
	expect := gomega.NewWithT(t)
	for _, slow := range []int{-1, 0, 3} {
		meters, end := []*pace.Meter{}, start
		for index := range 6 {
			meter, now := &pace.Meter{}, start
			elapsed := pass * 9 / 5
			if index == slow {
				elapsed *= 4
			}
			for passIndex := range 24 {
				now += elapsed
				interval := pace.Interval{Elapsed: elapsed, ExpectedPass: pass}
				if index > 0 && passIndex%6 > 0 {
					interval.ExpectedPrefill = pass * 3 / 5
				}
				meter.Record(interval, now)
			}
			meters, end = append(meters, meter), max(end, now)
		}
		measured := measureAll(expect, meters, end)
		for index, meter := range meters {
			assessment := meter.Evaluate(pace.Baseline(measured), end)
			expect.Expect(assessment.Factor > 1).To(gomega.Equal(index == slow), fmt.Sprintf("group %d has factor %.2f, slow group is %d", index, assessment.Factor, slow))
		}
	}
}

// Guards against a slow group without prefill that is not detected while all other groups run prefill all the time.
func TestSlowDecodeOnlyGroupIsDetectedAmongPrefillingGroups(t *testing.T) {
	expect := gomega.NewWithT(t)
	busy, idle, now := &pace.Meter{}, &pace.Meter{}, start
	for range 24 {
		now += 2 * pass
		busy.Record(pace.Interval{Elapsed: 2 * pass, ExpectedPass: pass, ExpectedPrefill: pass}, now)
		idle.Record(pace.Interval{Elapsed: 8 * pass, ExpectedPass: pass}, now)
	}
	measured := measureAll(expect, []*pace.Meter{busy, idle}, now)
	expect.Expect(idle.Evaluate(pace.Baseline(measured), now).Factor).To(gomega.BeNumerically("~", 8, 0.01))
	expect.Expect(busy.Evaluate(pace.Baseline(measured), now).Factor).To(gomega.Equal(1.0))
}

// Guards against a pool in which too many groups are avoided because the configured durations are too short, and
// against more than a third of a pool counting as slow.
func TestAtMostOneThirdOfPoolIsSlow(t *testing.T) {
	expect := gomega.NewWithT(t)
	expect.Expect(pace.EffectiveFactors([]float64{1, 4, 1, 1, 1, 1})).To(gomega.Equal([]float64{1, 4, 1, 1, 1, 1}))
	expect.Expect(pace.EffectiveFactors([]float64{3, 4, 5, 1, 1, 1, 1})).To(gomega.Equal([]float64{1, 4, 5, 1, 1, 1, 1}))
	expect.Expect(pace.EffectiveFactors([]float64{2, 2, 2, 2, 2, 8})).To(gomega.Equal([]float64{1, 1, 1, 1, 1, 4}), "all groups are slower than configured")
	expect.Expect(pace.EffectiveFactors([]float64{4, 1})).To(gomega.Equal([]float64{1, 1}))
	expect.Expect(pace.EffectiveFactors(nil)).To(gomega.BeEmpty())
}

// BenchmarkRecord measures the cost of one event.
func BenchmarkRecord(b *testing.B) {
	meter := &pace.Meter{}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now += pass
		meter.Record(pace.Interval{Elapsed: pass, ExpectedPass: pass}, now)
	}
}
