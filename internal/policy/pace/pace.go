// Package pace learns how slow a group of servers is, from the time between the events of its
// streams.
//
// A stream emits one event per forward pass, so the time between two events, divided by the
// duration that a pass should have at that load, is the group's pace: 1 as expected, 4 where it
// is four times as slow. Prompts that are read meanwhile lengthen passes, and so does anything
// between the group and this node; nothing shortens them. So the shortest of some dozens of gaps
// count. Events that come together are of one pass and count once.
//
// A group that is known to be slow gets few calls, and then nothing is learnt of it. So what is
// known decays towards 1 within some seconds, and the group is tried again.
//
// Nothing here has a clock: time is passed in. A Meter stands for one run of a server in one
// group, and may be used from several goroutines.
//
// # Usage
//
//	meter := &pace.Meter{}
//	meter.Note(gap, expected, now) // for each event of each stream
//	measured, known := meter.Measured(now)     // of each group of a pool
//	usual := pace.Usual(allMeasured)
//	if learnt := meter.Look(usual, now); learnt.News { tell(learnt.Factor) }
//	paces := pace.Slow(factors)                // of all groups of the pool
package pace

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// SlowFrom is the pace from which a group is treated as slow. Configured durations are a
	// few tenths off, and so is a pass that reads a long prompt.
	SlowFrom = 1.5
	// fastBelow is the pace below which a slow group is as expected again. It is less than
	// SlowFrom so that a pace near that isn't told over and over.
	fastBelow = 1.25
	// passesNeeded is from how many passes a pace is learnt, passesKept how many are remembered.
	passesNeeded = 8
	passesKept   = 24
	// passLife is for how long passes are remembered: longer than a slow group is passed by.
	passLife = 15 * time.Second
	// pause is after how long without a pass a group counts as tried again, and passesBefore is how many
	// passes before the pause still count then: with three more there are enough, so that one
	// that is as slow as before is passed by again soon.
	pause        = 2 * time.Second
	passesBefore = 5
	// halfLife is the time after which half of what a group was slower is forgotten. A group four
	// times as slow is tried again after five seconds.
	halfLife = 2 * time.Second
	// tellRatio is by which ratio a pace must have changed to be told to other nodes, and tellEvery how
	// often that may be.
	tellRatio = 1.25
	tellEvery = 200 * time.Millisecond
	// measuredKept is for how long a measurement counts towards what is usual in a pool.
	measuredKept = 2 * time.Minute
	// highest bounds a pace.
	highest = 100
)

// Counts are counters; they only grow.
type Counts struct {
	// Found are the groups that this node found slow, Ended those of them that aren't any more.
	Found atomic.Uint64
	Ended atomic.Uint64
	// Heard are the paces that other nodes told and this one did not know.
	Heard atomic.Uint64
}

// finding is a pace at a time.
type finding struct {
	factor float64
	at     time.Duration
}

// decayed is what is left of a finding.
func (finding finding) decayed(now time.Duration) float64 {
	if finding.factor <= 1 {
		return 1
	}
	return 1 + (finding.factor-1)*math.Exp2(-float64(max(0, now-finding.at))/float64(halfLife))
}

// effective is the same as far as it takes effect.
func (finding finding) effective(now time.Duration) float64 {
	if factor := finding.decayed(now); factor >= SlowFrom {
		return factor
	}
	return 1
}

// round is a pass: the shortest of the gaps that ended with it.
type round struct {
	ratio float64
	at    time.Duration
}

// Meter learns the pace of one run of a server in one group.
type Meter struct {
	mu     sync.Mutex
	rounds [passesKept]round
	// last is the place of the newest round, count how many there are.
	last, count int
	// fresh says that there were events since the last measurement, anew that there was a measurement
	// since the last look.
	fresh, anew bool
	// measured is the last measurement, newest what is known, compared with what is usual, and told what
	// the other nodes know.
	measured, newest, told finding
}

// Note takes the time between two events of a stream, and how long that should be.
func (meter *Meter) Note(gap, expected, now time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := float64(gap) / float64(expected)
	meter.mu.Lock()
	defer meter.mu.Unlock()
	meter.fresh = true
	newest := &meter.rounds[meter.last]
	if meter.count > 0 {
		since := now - newest.at
		if since < expected/2 {
			newest.ratio = min(newest.ratio, ratio)
			return
		}
		if since > pause {
			meter.count = min(meter.count, passesBefore)
		}
	}
	meter.last = (meter.last + 1) % passesKept
	meter.rounds[meter.last] = round{ratio: ratio, at: now}
	meter.count = min(meter.count+1, passesKept)
}

// measureLocked returns the pace by the passes that are remembered, and when the last of them was.
func (meter *Meter) measureLocked(now time.Duration) (found finding, enough bool) {
	var held [passesKept]float64
	ratios := held[:0]
	for number := range meter.count {
		one := &meter.rounds[(meter.last-number+passesKept)%passesKept]
		if now-one.at > passLife {
			break
		}
		ratios = append(ratios, one.ratio)
	}
	if len(ratios) < passesNeeded {
		return finding{}, false
	}
	// A group that becomes slow shows it in its last passes long before it does in most of those
	// that are remembered.
	latest := slices.Min(ratios[:passesNeeded])
	slices.Sort(ratios)
	return finding{factor: min(max(1, latest, ratios[(len(ratios)-1)/4]), highest), at: meter.rounds[meter.last].at}, true
}

// Measured returns the last measurement by events that came at this node, if there is one that counts.
func (meter *Meter) Measured(now time.Duration) (factor float64, known bool) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	if meter.fresh {
		meter.fresh = false
		if measured, enough := meter.measureLocked(now); enough {
			meter.measured, meter.anew = measured, true
		}
	}
	return meter.measured.factor, meter.measured.factor > 0 && now-meter.measured.at < measuredKept
}

// Usual is the pace of a pool as a whole, by what was measured of its groups. It is above 1 where passes are
// longer than configured, or this node or its network lengthens all gaps; that makes no group slow. So a
// group is found slow only by a node that has measured another one.
func Usual(measured []float64) float64 {
	if len(measured) == 0 {
		return 1
	}
	sorted := slices.Clone(measured)
	slices.Sort(sorted)
	return max(1, sorted[(len(sorted)-1)/2])
}

// Learnt is what a look at a meter shows.
type Learnt struct {
	// Factor is the pace as far as it takes effect.
	Factor float64
	// News says that this node has just measured what other nodes are to be told.
	News bool
}

// Look returns what is known now, where a pace is usual in the pool.
func (meter *Meter) Look(usual float64, now time.Duration) Learnt {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	learnt := Learnt{}
	if meter.anew {
		meter.anew = false
		learnt.News = meter.learnLocked(finding{factor: max(1, meter.measured.factor/usual), at: meter.measured.at}, now)
	}
	learnt.Factor = meter.newest.effective(now)
	return learnt
}

// learnLocked takes what was measured, and says whether that is news to other nodes.
func (meter *Meter) learnLocked(measured finding, now time.Duration) bool {
	before := meter.newest.decayed(now)
	if measured.factor < fastBelow || (measured.factor < SlowFrom && before < SlowFrom) {
		measured.factor = 1
	}
	meter.newest = measured
	if !differs(measured.factor, meter.told.effective(now)) || (meter.told.at != 0 && now-meter.told.at < tellEvery) {
		return false
	}
	meter.told = measured
	return true
}

func differs(one, other float64) bool {
	return one >= tellRatio*other || other >= tellRatio*one
}

// Told returns what other nodes are to know, and how old that is.
func (meter *Meter) Told(now time.Duration) (factor float64, age time.Duration) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	return max(1, meter.told.factor), max(0, now-meter.told.at)
}

// Take takes a pace that another node measured at a time, and says whether that is news. What
// this node measured before that counts no more: its passes may be of before the group became slow.
func (meter *Meter) Take(factor float64, at, now time.Duration) bool {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	told := finding{factor: min(max(1, factor), highest), at: min(at, now)}
	if told.at <= meter.told.at || !differs(told.effective(now), meter.told.effective(now)) {
		return false
	}
	if differs(told.effective(now), meter.newest.effective(now)) {
		meter.count, meter.anew = 0, false
		meter.newest = told
	}
	meter.told = told
	return true
}

// Slow returns the paces of a pool's groups as they take effect. At most a third is slow, the slowest:
// where more seem so the fault lies with what was expected, or with this node. For the same reason a
// pace, which may have been told by a node that has measured few groups, is compared with the median.
func Slow(factors []float64) []float64 {
	order := make([]int, len(factors))
	paces := make([]float64, len(factors))
	for number := range factors {
		order[number], paces[number] = number, 1
	}
	slices.SortStableFunc(order, func(one, other int) int {
		switch {
		case factors[one] > factors[other]:
			return -1
		case factors[one] < factors[other]:
			return 1
		}
		return 0
	})
	if len(order) == 0 {
		return paces
	}
	median := max(1, factors[order[len(order)/2]])
	for _, number := range order[:len(order)/3] {
		if factor := factors[number] / median; factor >= SlowFrom {
			paces[number] = factor
		}
	}
	return paces
}
