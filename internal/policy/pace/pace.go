// Package pace learns how slow a group of servers is, from the time between the events of its
// streams.
//
// A stream emits one event per forward pass, so the time between two events, divided by the
// duration that a pass should have at that load, is the group's pace: 1 as expected, 4 where it
// is four times as slow. Prompts that are read meanwhile lengthen passes, and so does anything
// between the group and this node; nothing shortens them. So the shortest of some dozens of gaps
// count. Events that come together are of one pass and count once.
//
// How long reading prompts takes is a guess, and a high one. So a pace that was measured while none
// were read is compared with paces of other groups that were measured so.
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
//	meter.Note(pace.Gap{Took: gap, Pass: expected, Reading: prompts}, now) // for each event of each stream
//	measured, known := meter.Measured(now)     // of each group of a pool
//	usual := pace.Usual(allMeasured)
//	if learnt := meter.Look(usual, now); learnt.News { tell(learnt.Factor) }
//	paces := pace.Slow(factors)                // of all groups of the pool
package pace

import (
	"cmp"
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
	// plainNeeded is how many passes without a prompt show what is usual in them.
	plainNeeded = 3
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
	// plain says that no prompt was read in that gap.
	plain bool
}

// rounds are the newest passes of a group.
type rounds struct {
	kept [passesKept]round
	// last is the place of the newest pass, count how many there are.
	last, count int
}

// note takes a gap of a pass that should take so long.
func (rounds *rounds) note(noted round, expected time.Duration) {
	newest := &rounds.kept[rounds.last]
	if rounds.count > 0 {
		since := noted.at - newest.at
		if since < expected/2 {
			if noted.ratio < newest.ratio {
				newest.ratio, newest.plain = noted.ratio, noted.plain
			}
			return
		}
		if since > pause {
			rounds.count = min(rounds.count, passesBefore)
		}
	}
	rounds.last = (rounds.last + 1) % passesKept
	rounds.kept[rounds.last] = noted
	rounds.count = min(rounds.count+1, passesKept)
}

// latest returns the passes that aren't older than passLife, the newest first. They are in the array.
func (rounds *rounds) latest(now time.Duration, held *[passesKept]round) []round {
	found := held[:0]
	for number := range rounds.count {
		one := rounds.kept[(rounds.last-number+passesKept)%passesKept]
		if now-one.at > passLife {
			break
		}
		found = append(found, one)
	}
	return found
}

func byRatio(one, other round) int { return cmp.Compare(one.ratio, other.ratio) }

// quarter returns the lower quartile by ratio, and sorts the passes.
func quarter(passes []round) round {
	slices.SortFunc(passes, byRatio)
	return passes[(len(passes)-1)/4]
}

// bounded keeps a pace within what is believed.
func bounded(factor float64) float64 { return min(max(1, factor), highest) }

// Gap is the time between two events of a stream: how long it took, how long a pass that reads nothing
// should take, and how long the prompts should that may have been read meanwhile.
type Gap struct {
	Took, Pass, Reading time.Duration
}

// Measurement is a group's pace by the events that came at this node.
type Measurement struct {
	// Factor is the pace by all passes, Plain that by passes that read no prompt, or Factor if those were too few.
	Factor, Plain float64
}

// Meter learns the pace of one run of a server in one group.
type Meter struct {
	mu sync.Mutex
	// all are the newest passes, plain the newest that read no prompt.
	all, plain rounds
	// fresh says that there were events since the last measurement, anew that there was a measurement
	// since the last look.
	fresh, anew bool
	// measured is the last measurement, newest what is known, compared with what is usual, and told what
	// the other nodes know.
	measured, newest, told finding
	// plainFactor is the last measurement by plain passes, or by all where those were too few. isPlain says
	// that a plain pass decided measured.
	plainFactor float64
	isPlain     bool
}

// Note takes a gap that ended now.
func (meter *Meter) Note(gap Gap, now time.Duration) {
	expected := gap.Pass + gap.Reading
	if gap.Pass <= 0 {
		return
	}
	noted := round{ratio: float64(gap.Took) / float64(expected), at: now, plain: gap.Reading <= 0}
	meter.mu.Lock()
	defer meter.mu.Unlock()
	meter.fresh = true
	meter.all.note(noted, expected)
	if noted.plain {
		meter.plain.note(noted, expected)
	}
}

// measureLocked measures the pace by the passes that are remembered.
func (meter *Meter) measureLocked(now time.Duration) {
	held := [passesKept]round{}
	passes := meter.all.latest(now, &held)
	if len(passes) < passesNeeded {
		return
	}
	at := passes[0].at
	// A group that becomes slow shows it in its last passes long before it does in most of those
	// that are remembered.
	found := slices.MinFunc(passes[:passesNeeded], byRatio)
	if usual := quarter(passes); usual.ratio > found.ratio {
		found = usual
	}
	meter.measured = finding{factor: bounded(found.ratio), at: at}
	meter.plainFactor, meter.isPlain, meter.anew = meter.measured.factor, found.plain, true
	if plain := meter.plain.latest(now, &held); len(plain) >= plainNeeded {
		meter.plainFactor = bounded(quarter(plain).ratio)
	}
}

// Measured returns the last measurement, if there is one that counts.
func (meter *Meter) Measured(now time.Duration) (measured Measurement, known bool) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	if meter.fresh {
		meter.fresh = false
		meter.measureLocked(now)
	}
	measured = Measurement{Factor: meter.measured.factor, Plain: meter.plainFactor}
	return measured, measured.Factor > 0 && now-meter.measured.at < measuredKept
}

// Usual returns what is usual in a pool, by what was measured of its groups. It is above 1 where passes are
// longer than configured, or this node or its network lengthens all gaps; that makes no group slow. So a
// group is found slow only by a node that has measured another one.
func Usual(measured []Measurement) Measurement {
	factors, plain := make([]float64, 0, len(measured)), make([]float64, 0, len(measured))
	for _, one := range measured {
		factors, plain = append(factors, one.Factor), append(plain, one.Plain)
	}
	return Measurement{Factor: middle(factors), Plain: middle(plain)}
}

// middle is the lower median of paces, 1 at least.
func middle(paces []float64) float64 {
	if len(paces) == 0 {
		return 1
	}
	slices.Sort(paces)
	return max(1, paces[(len(paces)-1)/2])
}

// Learnt is what a look at a meter shows.
type Learnt struct {
	// Factor is the pace as far as it takes effect.
	Factor float64
	// News says that this node has just measured what other nodes are to be told.
	News bool
}

// Look returns what is known now, where a pace is usual in the pool.
func (meter *Meter) Look(usual Measurement, now time.Duration) Learnt {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	learnt := Learnt{}
	if meter.anew {
		meter.anew = false
		compared := usual.Factor
		if meter.isPlain {
			compared = usual.Plain
		}
		learnt.News = meter.learnLocked(finding{factor: max(1, meter.measured.factor/compared), at: meter.measured.at}, now)
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
	told := finding{factor: bounded(factor), at: min(at, now)}
	if told.at <= meter.told.at || !differs(told.effective(now), meter.told.effective(now)) {
		return false
	}
	if differs(told.effective(now), meter.newest.effective(now)) {
		meter.all.count, meter.plain.count, meter.anew = 0, 0, false
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
