package dispatch

import (
	"sync/atomic"
	"time"
)

// The head of a group whose process has ended may still be listed, and something may still accept connections at
// its address. Calls to it end immediately without an answer, so it never has calls in progress. It then looks
// like the least loaded group and attracts every call, and each of these calls uses up a retry of the shared
// retry budget.
//
// Each target therefore has a circuit breaker. A call whose connection is closed before any answer opens the
// breaker; an answer closes it. The breaker lets calls through again after a delay, which doubles as long as
// calls get no answer. If the breakers of most targets of a pool are open, the fault is with this node or its
// network, and the breakers are ignored.

const (
	// minOpenTime and maxOpenTime bound how long a breaker stays open.
	minOpenTime = 150 * time.Millisecond
	maxOpenTime = minOpenTime << maxDoublings
	// maxDoublings is how often the open time is doubled.
	maxDoublings = 4
	// ReportedUnanswered is the number of consecutive unanswered calls from which a group is reported. A single call
	// may have been reset together with all other calls of its node.
	ReportedUnanswered = 2
)

// breaker is the state of one target's circuit breaker.
type breaker struct {
	// unanswered counts consecutive calls without an answer.
	unanswered       atomic.Int32
	openUntil        atomic.Int64
	lastAnswerAt     atomic.Int64
	lastUnansweredAt atomic.Int64
}

// recordUnanswered records that a call, sent at the given time, got no answer, and returns the number of
// consecutive unanswered calls. Calls that were ended by the same reset count once: a call that was sent before
// the last answer, or before the last call was recorded as unanswered, returns 0.
func (breaker *breaker) recordUnanswered(sent, now time.Duration) int {
	if time.Duration(max(breaker.lastAnswerAt.Load(), breaker.lastUnansweredAt.Load())) > sent {
		return 0
	}
	breaker.lastUnansweredAt.Store(int64(now))
	count := breaker.unanswered.Add(1)
	openTime := minOpenTime << min(count-1, maxDoublings)
	breaker.openUntil.Store(int64(now + openTime))
	return int(count)
}

func (breaker *breaker) recordAnswer(now time.Duration) {
	breaker.lastAnswerAt.Store(int64(now))
	if breaker.unanswered.Load() != 0 {
		breaker.unanswered.Store(0)
		breaker.openUntil.Store(0)
	}
}

func (breaker *breaker) open(now time.Duration) bool {
	return time.Duration(breaker.openUntil.Load()) > now
}

// RecordUnanswered records that the connection of a call, sent at the given time, was closed before any answer.
// It returns the number of consecutive calls that ended so.
func (target *Target) RecordUnanswered(sent time.Duration) int {
	target.RecordBrokenConnection()
	return target.breaker.recordUnanswered(sent, target.now())
}

// breakersApply reports whether targets with open breakers are skipped: not if the breakers of more than half of
// the pool are open.
func breakersApply(targets []*Target, now time.Duration) bool {
	open := 0
	for _, target := range targets {
		if target.breaker.open(now) {
			open++
		}
	}
	return 2*open <= len(targets)
}
