package dispatch

import (
	"math"
	"sync"
	"time"
)

const (
	// outcomeHalfLife is the time after which an outcome has half its weight. A failing server gets fewer calls, so
	// few new outcomes arrive. Its failures must not be forgotten before the fault is over, which takes some
	// seconds.
	outcomeHalfLife = 3 * time.Second
	// minFailures is the number of failures below which a target has no failure cost, because a single failure is
	// weak evidence.
	minFailures = 1.5
	// priorAnswers is the number of answered calls that every target is credited with, so that two failures out of
	// two calls weigh less than twenty out of twenty.
	priorAnswers = 2
	// failedCallCost is the cost of a failed call as a delay of the first event: the time waited in vain and the
	// call to the next server.
	failedCallCost = 1200 * time.Millisecond
)

// outcomeStats counts how calls ended. Older outcomes have less weight.
type outcomeStats struct {
	mu               sync.Mutex
	failed, answered float64
	decayedAt        time.Duration
}

func (outcomeStats *outcomeStats) record(now time.Duration, failed bool) {
	outcomeStats.mu.Lock()
	defer outcomeStats.mu.Unlock()
	outcomeStats.decay(now)
	if failed {
		outcomeStats.failed++
		return
	}
	outcomeStats.answered++
}

func (outcomeStats *outcomeStats) decay(now time.Duration) {
	factor := math.Exp2(-float64(now-outcomeStats.decayedAt) / float64(outcomeHalfLife))
	outcomeStats.failed *= factor
	outcomeStats.answered *= factor
	outcomeStats.decayedAt = now
}

func (outcomeStats *outcomeStats) decayedCounts(now time.Duration) (failed, answered float64) {
	outcomeStats.mu.Lock()
	defer outcomeStats.mu.Unlock()
	outcomeStats.decay(now)
	return outcomeStats.failed, outcomeStats.answered
}

// RecordOutcome records whether a call at the target failed or was answered. Calls that the server refused
// without running them, calls that moved, and calls whose callers left must not be recorded. RecordOutcome does
// nothing for groups; see failureCost.
func (target *Target) RecordOutcome(failed bool) {
	if target.Group == "" {
		target.outcomes.record(target.now(), failed)
	}
}

// failureCost returns the average delay that failures at a plain server cause.
//
// Some servers fail part of their calls, or all calls of some callers, while their health checks pass and other
// callers' calls succeed. A server that fails immediately has few calls in progress and attracts ever more. In a
// large fleet a node sends a server less than one call per second, so the outcomes of all nodes count.
//
// Groups have no failure cost. Calls of a group fail mostly because a member was lost, and the head's next
// group, which is healthy, would be kept idle for these failures.
func (target *Target) failureCost(now time.Duration) time.Duration {
	if target.Group != "" {
		return 0
	}
	failed, answered := target.outcomes.decayedCounts(now)
	failed += float64(target.peerFailed.Load()) / hundredths
	answered += float64(target.peerAnswered.Load()) / hundredths
	if failed < minFailures {
		return 0
	}
	return time.Duration(failed / (failed + answered + priorAnswers) * float64(failedCallCost))
}

// hundredths is the number of units per call, or per factor of 1, in the values that nodes exchange as integers.
const hundredths = 100
