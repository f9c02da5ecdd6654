package dispatch

import (
	"math"
	"sync"
	"time"
)

const (
	// recordHalf is the time after which the end of a call counts half. A server
	// that fails gets fewer calls, so that little is learnt of it; it should not
	// be forgotten before the fault is over, which takes some seconds.
	recordHalf = 3 * time.Second
	// riskLeast is how many failures make a target risky: a single one says
	// little.
	riskLeast = 1.5
	// riskPrior is how many good ends every target is given besides, so that two
	// failures of two calls weigh less than twenty of twenty.
	riskPrior = 2
	// failureCost is what a failed call counts in time to the first event: what
	// it waited in vain, and the next server's way.
	failureCost = 1200 * time.Millisecond
)

// record is how calls ended, the older ones counting less.
type record struct {
	mu               sync.Mutex
	failed, answered float64
	at               time.Duration
}

func (record *record) note(now time.Duration, failed bool) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.decay(now)
	if failed {
		record.failed++
		return
	}
	record.answered++
}

func (record *record) decay(now time.Duration) {
	faded := math.Exp2(-float64(now-record.at) / float64(recordHalf))
	record.failed *= faded
	record.answered *= faded
	record.at = now
}

func (record *record) read(now time.Duration) (failed, answered float64) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.decay(now)
	return record.failed, record.answered
}

// Note tells how a call at the target ended. A call that the server refused
// without running it, and one that was moved or whose caller left, is neither.
// For groups it does nothing; see risk.
func (target *Target) Note(failed bool) {
	if target.Group == "" {
		target.ends.note(target.now(), failed)
	}
}

// risk is the time that failures at a plain server cost on average.
//
// Some servers fail part of their calls, or all of some callers', while their
// health answers are good and the others' calls go on. One that fails at once
// has few calls under way and draws ever more. In a large fleet a node sends a
// server less than a call a second, so what counts is what all nodes saw.
//
// It isn't for groups: what calls of a group failed by was mostly a member that
// was lost, and the head's next group, which is well, would be kept idle for it.
func (target *Target) risk(now time.Duration) time.Duration {
	if target.Group != "" {
		return 0
	}
	failed, answered := target.ends.read(now)
	failed += float64(target.peersFailed.Load()) / hundredths
	answered += float64(target.peersAnswered.Load()) / hundredths
	if failed < riskLeast {
		return 0
	}
	return time.Duration(failed / (failed + answered + riskPrior) * float64(failureCost))
}

// hundredths is the unit in which nodes tell each other decayed counts.
const hundredths = 100
