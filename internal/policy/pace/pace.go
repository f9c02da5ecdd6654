// Package pace estimates how slow a group of servers is, from the time between the events of its streams.
//
// A stream emits one event per forward pass. The time between two events, divided by the expected duration of a pass
// at that load, is the slowdown factor of the group: 1 is as expected, 4 is four times as slow. Prefill of other
// prompts lengthens passes, and so does any delay between the group and this node. Nothing shortens passes, so the
// estimate is taken from the shortest of some dozens of intervals. Events that arrive together belong to one pass and
// count once.
//
// The expected prefill time is only an estimate, and a high one. So a factor that was measured in decode-only passes,
// without prefill, is compared with the decode-only factors of other groups.
//
// A group that is known to be slow gets few calls, so that nothing new is learned about it. So a known factor decays
// towards 1 within a few seconds, and the group is then tried again.
//
// The package has no clock; the caller passes in the time. A Meter belongs to one run of a server in one group, and
// is safe for concurrent use.
//
// # Usage
//
//	meter := &pace.Meter{}
//	// For each event of each stream:
//	meter.Record(pace.Interval{Elapsed: elapsed, ExpectedPass: pass, ExpectedPrefill: prefill}, now)
//	// For each group of a pool:
//	measured, known := meter.Measure(now)
//	baseline := pace.Baseline(allMeasured)
//	if assessment := meter.Evaluate(baseline, now); assessment.Changed { announce(assessment.Factor) }
//	effective := pace.EffectiveFactors(factors) // for all groups of the pool
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
	// SlowThreshold is the factor from which a group is treated as slow. Lower factors are within the error of the
	// configured durations, which are a few tenths off, and of passes that include prefill of a long prompt.
	SlowThreshold = 1.5
	// recoveredThreshold is the factor below which a slow group is healthy again. It is less than SlowThreshold so
	// that a factor close to that threshold is not announced over and over.
	recoveredThreshold = 1.25
	// minPasses is how many passes a measurement needs, and maxPasses is how many passes are kept.
	minPasses = 8
	maxPasses = 24
	// minDecodeOnlyPasses is how many passes a decode-only measurement needs.
	minDecodeOnlyPasses = 3
	// passTTL is how long passes are kept. It is longer than the time for which a slow group is avoided.
	passTTL = 15 * time.Second
	// idlePause is the time without a pass after which a group counts as tried again. passesKeptAfterPause is how
	// many passes from before the pause still count. Three more passes then make a measurement, so that a group that
	// is still slow is avoided again soon.
	idlePause            = 2 * time.Second
	passesKeptAfterPause = 5
	// halfLife is the time in which the excess of a factor over 1 halves. A group four times as slow is tried again
	// after five seconds.
	halfLife = 2 * time.Second
	// announceRatio is the ratio by which a factor must have changed to be announced to other nodes, and
	// announceInterval is the least time between two announcements.
	announceRatio    = 1.25
	announceInterval = 200 * time.Millisecond
	// measurementTTL is how long a measurement counts towards the baseline of a pool.
	measurementTTL = 2 * time.Minute
	// maxFactor bounds a factor.
	maxFactor = 100
)

// Counts are monotonic counters.
type Counts struct {
	// FoundSlow counts the groups that this node found slow, and Recovered counts those of them that are no longer
	// slow.
	FoundSlow atomic.Uint64
	Recovered atomic.Uint64
	// Received counts the factors that were received from other nodes and were new to this node.
	Received atomic.Uint64
}

// estimate is a slowdown factor and the time at which it was measured.
type estimate struct {
	factor float64
	at     time.Duration
}

// decayedFactor returns the factor after its decay up to now.
func (estimate estimate) decayedFactor(now time.Duration) float64 {
	if estimate.factor <= 1 {
		return 1
	}
	return 1 + (estimate.factor-1)*math.Exp2(-float64(max(0, now-estimate.at))/float64(halfLife))
}

// effectiveFactor returns the decayed factor, or 1 if it is below SlowThreshold.
func (estimate estimate) effectiveFactor(now time.Duration) float64 {
	if factor := estimate.decayedFactor(now); factor >= SlowThreshold {
		return factor
	}
	return 1
}

// passSample is one pass, represented by the shortest of the intervals that ended with it.
type passSample struct {
	ratio float64
	at    time.Duration
	// decodeOnly is set if no prompt was read during that interval.
	decodeOnly bool
}

// passWindow is a ring buffer of the newest passes of a group.
type passWindow struct {
	samples [maxPasses]passSample
	// newestIndex is the index of the newest pass, and count is the number of passes.
	newestIndex, count int
}

// add adds an interval whose pass has the given expected duration. An interval that ends within half of that duration
// after the newest pass belongs to the same pass.
func (passWindow *passWindow) add(sample passSample, expected time.Duration) {
	newest := &passWindow.samples[passWindow.newestIndex]
	if passWindow.count > 0 {
		since := sample.at - newest.at
		if since < expected/2 {
			if sample.ratio < newest.ratio {
				newest.ratio, newest.decodeOnly = sample.ratio, sample.decodeOnly
			}
			return
		}
		if since > idlePause {
			passWindow.count = min(passWindow.count, passesKeptAfterPause)
		}
	}
	passWindow.newestIndex = (passWindow.newestIndex + 1) % maxPasses
	passWindow.samples[passWindow.newestIndex] = sample
	passWindow.count = min(passWindow.count+1, maxPasses)
}

// recent returns the passes that are not older than passTTL, newest first. The result is stored in buffer.
func (passWindow *passWindow) recent(now time.Duration, buffer *[maxPasses]passSample) []passSample {
	selected := buffer[:0]
	for index := range passWindow.count {
		sample := passWindow.samples[(passWindow.newestIndex-index+maxPasses)%maxPasses]
		if now-sample.at > passTTL {
			break
		}
		selected = append(selected, sample)
	}
	return selected
}

func compareRatios(one, other passSample) int { return cmp.Compare(one.ratio, other.ratio) }

// lowerQuartile sorts the passes by ratio and returns their lower quartile.
func lowerQuartile(passes []passSample) passSample {
	slices.SortFunc(passes, compareRatios)
	return passes[(len(passes)-1)/4]
}

// clampFactor limits a factor to the range from 1 to maxFactor.
func clampFactor(factor float64) float64 { return min(max(1, factor), maxFactor) }

// Interval is the time between two events of a stream. ExpectedPass is the expected duration of a decode-only pass,
// and ExpectedPrefill is the expected time for the prompts that may have been read during the interval.
type Interval struct {
	Elapsed, ExpectedPass, ExpectedPrefill time.Duration
}

// Measurement is the slowdown factor of a group, measured from the events that arrived at this node.
type Measurement struct {
	// Factor is measured from all passes. DecodeOnly is measured from decode-only passes, and equals Factor if there
	// were too few of them.
	Factor, DecodeOnly float64
}

// Meter estimates the slowdown factor of one run of a server in one group.
type Meter struct {
	mu sync.Mutex
	// all holds the newest passes, and decodeOnly holds the newest decode-only passes.
	all, decodeOnly passWindow
	// hasNewEvents is set if there were events since the last measurement. hasNewMeasurement is set if there was a
	// measurement since the last call of Evaluate.
	hasNewEvents, hasNewMeasurement bool
	// measured is the last measurement. current is the known factor, relative to the baseline. announced is the
	// factor that the other nodes know.
	measured, current, announced estimate
	// decodeOnlyFactor is the last measurement from decode-only passes, or from all passes if there were too few of
	// them. isDecodeOnly is set if measured was taken from a decode-only pass.
	decodeOnlyFactor float64
	isDecodeOnly     bool
}

// Record adds an interval that ended now.
func (meter *Meter) Record(interval Interval, now time.Duration) {
	expected := interval.ExpectedPass + interval.ExpectedPrefill
	if interval.ExpectedPass <= 0 {
		return
	}
	sample := passSample{ratio: float64(interval.Elapsed) / float64(expected), at: now, decodeOnly: interval.ExpectedPrefill <= 0}
	meter.mu.Lock()
	defer meter.mu.Unlock()
	meter.hasNewEvents = true
	meter.all.add(sample, expected)
	if sample.decodeOnly {
		meter.decodeOnly.add(sample, expected)
	}
}

// measureLocked measures the factor from the passes that are kept.
func (meter *Meter) measureLocked(now time.Duration) {
	buffer := [maxPasses]passSample{}
	passes := meter.all.recent(now, &buffer)
	if len(passes) < minPasses {
		return
	}
	at := passes[0].at
	// A group that becomes slow shows it in its last passes long before most of the kept passes are slow. So the
	// larger of the minimum of the last passes and the quartile of all passes is used.
	selected := slices.MinFunc(passes[:minPasses], compareRatios)
	if quartile := lowerQuartile(passes); quartile.ratio > selected.ratio {
		selected = quartile
	}
	meter.measured = estimate{factor: clampFactor(selected.ratio), at: at}
	meter.decodeOnlyFactor, meter.isDecodeOnly, meter.hasNewMeasurement = meter.measured.factor, selected.decodeOnly, true
	if decodeOnly := meter.decodeOnly.recent(now, &buffer); len(decodeOnly) >= minDecodeOnlyPasses {
		meter.decodeOnlyFactor = clampFactor(lowerQuartile(decodeOnly).ratio)
	}
}

// Measure updates the measurement if there were new events, and returns it. known is false if there is no measurement
// or it is too old.
func (meter *Meter) Measure(now time.Duration) (measured Measurement, known bool) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	if meter.hasNewEvents {
		meter.hasNewEvents = false
		meter.measureLocked(now)
	}
	measured = Measurement{Factor: meter.measured.factor, DecodeOnly: meter.decodeOnlyFactor}
	return measured, measured.Factor > 0 && now-meter.measured.at < measurementTTL
}

// Baseline returns the typical measurement of the groups of a pool. It is above 1 if passes take longer than
// configured, or if this node or its network delays all events; neither makes a single group slow. As a consequence,
// a node finds a group slow only if it has also measured another group of the pool.
func Baseline(measured []Measurement) Measurement {
	factors, decodeOnly := make([]float64, 0, len(measured)), make([]float64, 0, len(measured))
	for _, one := range measured {
		factors, decodeOnly = append(factors, one.Factor), append(decodeOnly, one.DecodeOnly)
	}
	return Measurement{Factor: lowerMedian(factors), DecodeOnly: lowerMedian(decodeOnly)}
}

// lowerMedian returns the lower median of the factors, but at least 1.
func lowerMedian(factors []float64) float64 {
	if len(factors) == 0 {
		return 1
	}
	slices.Sort(factors)
	return max(1, factors[(len(factors)-1)/2])
}

// Assessment is the result of Evaluate.
type Assessment struct {
	// Factor is the effective factor: 1 unless the group counts as slow.
	Factor float64
	// Changed is set if this node has just measured a factor that has to be announced to other nodes.
	Changed bool
}

// Evaluate compares the latest measurement with the baseline of the pool and returns the factor known now.
func (meter *Meter) Evaluate(baseline Measurement, now time.Duration) Assessment {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	assessment := Assessment{}
	if meter.hasNewMeasurement {
		meter.hasNewMeasurement = false
		reference := baseline.Factor
		if meter.isDecodeOnly {
			reference = baseline.DecodeOnly
		}
		assessment.Changed = meter.updateLocked(estimate{factor: max(1, meter.measured.factor/reference), at: meter.measured.at}, now)
	}
	assessment.Factor = meter.current.effectiveFactor(now)
	return assessment
}

// updateLocked stores a new estimate, and reports whether it has to be announced to other nodes.
func (meter *Meter) updateLocked(measured estimate, now time.Duration) bool {
	before := meter.current.decayedFactor(now)
	if measured.factor < recoveredThreshold || (measured.factor < SlowThreshold && before < SlowThreshold) {
		measured.factor = 1
	}
	meter.current = measured
	if !differsNotably(measured.factor, meter.announced.effectiveFactor(now)) || (meter.announced.at != 0 && now-meter.announced.at < announceInterval) {
		return false
	}
	meter.announced = measured
	return true
}

func differsNotably(one, other float64) bool {
	return one >= announceRatio*other || other >= announceRatio*one
}

// Announced returns the factor that other nodes should know, and its age.
func (meter *Meter) Announced(now time.Duration) (factor float64, age time.Duration) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	return max(1, meter.announced.factor), max(0, now-meter.announced.at)
}

// ApplyRemote applies a factor that another node measured at the given time, and reports whether it was new. This
// node's own earlier passes are discarded if they disagree, since they may be from before the group became slow.
func (meter *Meter) ApplyRemote(factor float64, at, now time.Duration) bool {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	remote := estimate{factor: clampFactor(factor), at: min(at, now)}
	if remote.at <= meter.announced.at || !differsNotably(remote.effectiveFactor(now), meter.announced.effectiveFactor(now)) {
		return false
	}
	if differsNotably(remote.effectiveFactor(now), meter.current.effectiveFactor(now)) {
		meter.all.count, meter.decodeOnly.count, meter.hasNewMeasurement = 0, 0, false
		meter.current = remote
	}
	meter.announced = remote
	return true
}

// EffectiveFactors returns the factors of the groups of a pool as they take effect. At most a third of the groups,
// the slowest ones, counts as slow: if more of them appear slow, the expected durations or this node are at fault.
// For the same reason each factor is divided by the median of the pool: it may come from a node that has measured
// only a few groups.
func EffectiveFactors(factors []float64) []float64 {
	order := make([]int, len(factors))
	effective := make([]float64, len(factors))
	for index := range factors {
		order[index], effective[index] = index, 1
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
		return effective
	}
	median := max(1, factors[order[len(order)/2]])
	for _, index := range order[:len(order)/3] {
		if factor := factors[index] / median; factor >= SlowThreshold {
			effective[index] = factor
		}
	}
	return effective
}
