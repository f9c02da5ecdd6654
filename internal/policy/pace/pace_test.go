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

// feed notes passes of a group that is so many times as slow, each of them at some streams, and
// returns when the last ended.
func feed(meter *pace.Meter, from time.Duration, passes, streams int, factor float64) time.Duration {
	gap := time.Duration(factor * float64(pass))
	for range passes {
		from += gap
		for range streams {
			meter.Note(pace.Gap{Took: gap, Pass: pass}, from)
		}
	}
	return from
}

// measureAll measures the groups of a pool, each of which has had passes enough.
func measureAll(expect *gomega.WithT, meters []*pace.Meter, now time.Duration) []pace.Measurement {
	measured := []pace.Measurement{}
	for _, meter := range meters {
		one, known := meter.Measured(now)
		expect.Expect(known).To(gomega.BeTrue())
		measured = append(measured, one)
	}
	return measured
}

// look measures a group of a pool in which nothing else is known.
func look(meter *pace.Meter, now time.Duration) pace.Learnt {
	meter.Measured(now)
	return meter.Look(pace.Measurement{Factor: 1, Plain: 1}, now)
}

// Guards against a slow group that isn't found, or is found by too few passes to know.
func TestSlowGroupIsFoundAfterEightPasses(t *testing.T) {
	expect := gomega.NewWithT(t)
	meter := &pace.Meter{}
	now := feed(meter, start, 7, 5, 4)
	expect.Expect(look(meter, now).Factor).To(gomega.Equal(1.0))
	learnt := look(meter, feed(meter, now, 1, 5, 4))
	expect.Expect(learnt.Factor).To(gomega.BeNumerically("~", 4, 0.01))
	expect.Expect(learnt.News).To(gomega.BeTrue())
}

// Guards against a group that is found slow only when most remembered passes were slow.
func TestGroupThatBecomesSlowIsFoundByItsLastPasses(t *testing.T) {
	expect := gomega.NewWithT(t)
	meter := &pace.Meter{}
	now := feed(meter, start, 100, 1, 1)
	expect.Expect(look(meter, now)).To(gomega.Equal(pace.Learnt{Factor: 1}))
	expect.Expect(look(meter, feed(meter, now, 8, 1, 3)).Factor).To(gomega.BeNumerically("~", 3, 0.01))
}

// Guards against a healthy group that looks slow since prompts are read in many of its passes.
func TestPassesThatReadPromptsDontMakeAGroupSlow(t *testing.T) {
	expect := gomega.NewWithT(t)
	draw := rand.New(rand.NewPCG(1, 1))
	meter := &pace.Meter{}
	now, slow := start, 0
	for range 10_000 {
		gap := pass
		if draw.IntN(10) < 4 {
			gap *= 3
		}
		now += gap
		meter.Note(pace.Gap{Took: gap, Pass: pass}, now)
		if look(meter, now).Factor > 1 {
			slow++
		}
	}
	// Eight such passes in a row are one case in 1,500, and the next pass ends it.
	expect.Expect(slow).To(gomega.BeNumerically("<", 20))
}

// Guards against a pass that a node has many streams of and that counts once for each.
func TestEventsOfOnePassCountOnce(t *testing.T) {
	expect := gomega.NewWithT(t)
	meter := &pace.Meter{}
	now := feed(meter, start, 3, 20, 5)
	expect.Expect(look(meter, now).Factor).To(gomega.Equal(1.0))
}

// Guards against a slow group that is never tried again, and one that is tried at once.
func TestPaceDecays(t *testing.T) {
	expect := gomega.NewWithT(t)
	meter := &pace.Meter{}
	now := feed(meter, start, 10, 1, 4)
	look(meter, now)
	expect.Expect(look(meter, now+4*time.Second).Factor).To(gomega.BeNumerically(">", pace.SlowFrom))
	expect.Expect(look(meter, now+6*time.Second).Factor).To(gomega.Equal(1.0))
}

// Guards against a slow group that is tried with as many calls each time as the first time.
func TestGroupThatIsTriedAgainIsFoundSlowSooner(t *testing.T) {
	expect := gomega.NewWithT(t)
	meter := &pace.Meter{}
	now := feed(meter, start, 10, 1, 4)
	look(meter, now)
	now = feed(meter, now+6*time.Second, 3, 1, 4)
	expect.Expect(look(meter, now).Factor).To(gomega.BeNumerically("~", 4, 0.01))
}

// Guards against a group that goes on being passed by after it recovered.
func TestGroupThatRecoversIsNotSlow(t *testing.T) {
	expect := gomega.NewWithT(t)
	meter := &pace.Meter{}
	now := feed(meter, start, 30, 1, 4)
	look(meter, now)
	now = feed(meter, now, 8, 1, 1)
	expect.Expect(look(meter, now).Factor).To(gomega.Equal(1.0))
	expect.Expect(look(meter, now).News).To(gomega.BeFalse(), "it is told once")
}

// Guards against nodes that tell each other the same pace over and over.
func TestOnlyAPaceThatChangedIsNews(t *testing.T) {
	expect := gomega.NewWithT(t)
	meter := &pace.Meter{}
	now, told := start, 0
	for range 80 {
		now = feed(meter, now, 1, 1, 4)
		if look(meter, now).News {
			told++
		}
	}
	// Ten seconds: what was told has decayed by a fifth after 0.9 seconds and is told again.
	expect.Expect(told).To(gomega.BeNumerically("<=", 12))
	other := &pace.Meter{}
	expect.Expect(other.Take(4, now, now)).To(gomega.BeTrue())
	expect.Expect(other.Take(4.4, now+time.Millisecond, now+time.Millisecond)).To(gomega.BeFalse(), "nearly the same")
	expect.Expect(other.Take(1, now-time.Second, now)).To(gomega.BeFalse(), "older")
	expect.Expect(other.Take(1, now+time.Second, now+time.Second)).To(gomega.BeTrue(), "recovered")
	expect.Expect(look(other, now+time.Second)).To(gomega.Equal(pace.Learnt{Factor: 1}))
}

// Guards against a node that contradicts what it is told by passes from before the group became slow.
func TestPassesFromBeforeDontContradictWhatIsTold(t *testing.T) {
	expect := gomega.NewWithT(t)
	meter := &pace.Meter{}
	now := feed(meter, start, 50, 1, 1)
	look(meter, now)
	expect.Expect(meter.Take(4, now, now)).To(gomega.BeTrue())
	now = feed(meter, now, 7, 1, 1)
	expect.Expect(look(meter, now).Factor).To(gomega.BeNumerically(">", 3))
	learnt := look(meter, feed(meter, now, 1, 1, 1))
	expect.Expect(learnt.Factor).To(gomega.Equal(1.0))
	expect.Expect(learnt.News).To(gomega.BeTrue())
}

// Guards against groups that look slow since all passes are longer than configured, and against a group that
// doesn't look slow among these.
func TestPaceIsComparedWithWhatIsUsual(t *testing.T) {
	expect := gomega.NewWithT(t)
	factors := []float64{1.8, 1.8, 7.2, 1.8}
	meters, now := []*pace.Meter{}, start
	for _, factor := range factors {
		meter := &pace.Meter{}
		now = max(now, feed(meter, start, 10, 1, factor))
		meters = append(meters, meter)
	}
	measured := measureAll(expect, meters, now)
	for number, meter := range meters {
		learnt := meter.Look(pace.Usual(measured), now)
		expect.Expect(learnt.Factor > 1).To(gomega.Equal(number == 2))
		expect.Expect(learnt.News).To(gomega.Equal(number == 2))
	}
	expect.Expect(usual(4)).To(gomega.Equal(4.0), "the only one")
	expect.Expect(usual(4, 1)).To(gomega.Equal(1.0))
	expect.Expect(usual(0.5, 0.6, 0.7)).To(gomega.Equal(1.0), "faster than configured")
	expect.Expect(usual()).To(gomega.Equal(1.0))
	_, known := meters[0].Measured(now + 3*time.Minute)
	expect.Expect(known).To(gomega.BeFalse(), "long ago")
}

// usual is the pace that is usual among groups of which each was measured alike with prompts and without.
func usual(factors ...float64) float64 {
	measured := []pace.Measurement{}
	for _, factor := range factors {
		measured = append(measured, pace.Measurement{Factor: factor, Plain: factor})
	}
	found := pace.Usual(measured)
	if found.Factor != found.Plain {
		return math.NaN()
	}
	return found.Factor
}

// Guards against a group without prompts that looks slow among groups that nearly always have some, since
// these take less time than was expected; and against a slow one of either kind that doesn't look slow.
func TestGroupThatReadsNoPromptIsComparedWithSuchPasses(t *testing.T) {
	expect := gomega.NewWithT(t)
	for _, slow := range []int{-1, 0, 3} {
		meters, end := []*pace.Meter{}, start
		for number := range 6 {
			meter, now := &pace.Meter{}, start
			took := pass * 9 / 5
			if number == slow {
				took *= 4
			}
			for round := range 24 {
				now += took
				gap := pace.Gap{Took: took, Pass: pass}
				if number > 0 && round%6 > 0 {
					gap.Reading = pass * 3 / 5
				}
				meter.Note(gap, now)
			}
			meters, end = append(meters, meter), max(end, now)
		}
		measured := measureAll(expect, meters, end)
		for number, meter := range meters {
			learnt := meter.Look(pace.Usual(measured), end)
			expect.Expect(learnt.Factor > 1).To(gomega.Equal(number == slow), fmt.Sprintf("group %d by %.2f, slow is %d", number, learnt.Factor, slow))
		}
	}
}

// Guards against a slow group without prompts that doesn't look slow while all others read some all the time.
func TestGroupThatReadsNoPromptIsSlowAmongThoseThatAlwaysDo(t *testing.T) {
	expect := gomega.NewWithT(t)
	busy, idle, now := &pace.Meter{}, &pace.Meter{}, start
	for range 24 {
		now += 2 * pass
		busy.Note(pace.Gap{Took: 2 * pass, Pass: pass, Reading: pass}, now)
		idle.Note(pace.Gap{Took: 8 * pass, Pass: pass}, now)
	}
	measured := measureAll(expect, []*pace.Meter{busy, idle}, now)
	expect.Expect(idle.Look(pace.Usual(measured), now).Factor).To(gomega.BeNumerically("~", 8, 0.01))
	expect.Expect(busy.Look(pace.Usual(measured), now).Factor).To(gomega.Equal(1.0))
}

// Guards against a pool that is closed since its configured passes are too short, and against a
// third that is exceeded.
func TestAtMostAThirdOfAPoolIsSlow(t *testing.T) {
	expect := gomega.NewWithT(t)
	expect.Expect(pace.Slow([]float64{1, 4, 1, 1, 1, 1})).To(gomega.Equal([]float64{1, 4, 1, 1, 1, 1}))
	expect.Expect(pace.Slow([]float64{3, 4, 5, 1, 1, 1, 1})).To(gomega.Equal([]float64{1, 4, 5, 1, 1, 1, 1}))
	expect.Expect(pace.Slow([]float64{2, 2, 2, 2, 2, 8})).To(gomega.Equal([]float64{1, 1, 1, 1, 1, 4}), "all are slower than configured")
	expect.Expect(pace.Slow([]float64{4, 1})).To(gomega.Equal([]float64{1, 1}))
	expect.Expect(pace.Slow(nil)).To(gomega.BeEmpty())
}

// BenchmarkNote is what an event costs.
func BenchmarkNote(b *testing.B) {
	meter := &pace.Meter{}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now += pass
		meter.Note(pace.Gap{Took: pass, Pass: pass}, now)
	}
}
