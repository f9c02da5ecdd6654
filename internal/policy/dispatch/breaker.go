package dispatch

import (
	"sync/atomic"
	"time"
)

// A head whose process has ended may still be listed, and something may still accept
// connections at its address. Calls there end at once without an answer, so that none is ever
// under way: it looks like the emptiest of all groups and draws every call, and each of them
// takes a repeat of the budget that all calls share.
//
// So each target has a circuit breaker. A call whose connection is closed before any answer
// opens it; an answer closes it. It lets calls through again after a while, which doubles as long as
// calls go unanswered. Where most targets of a pool seem broken the fault lies with this
// node or its link, and the breakers are ignored.

const (
	// breakLeast and breakMost bound how long a breaker stays open.
	breakLeast = 150 * time.Millisecond
	breakMost  = breakLeast << breakDoublings
	// breakDoublings is how often the span is doubled.
	breakDoublings = 4
	// BreaksTold is how many unanswered calls in a row make a group worth telling of: one
	// may have been reset with all the others of its node.
	BreaksTold = 2
)

// breaker is the state of one target's circuit breaker.
type breaker struct {
	// unanswered counts the calls in a row that got no answer.
	unanswered atomic.Int32
	openUntil  atomic.Int64
	answeredAt atomic.Int64
	brokeAt    atomic.Int64
}

// note notes a call, sent at a time, that got no answer, and returns how many there were in a row. Calls that one reset
// ended together count once.
func (breaker *breaker) note(sent, now time.Duration) int {
	if time.Duration(max(breaker.answeredAt.Load(), breaker.brokeAt.Load())) > sent {
		return 0
	}
	breaker.brokeAt.Store(int64(now))
	count := breaker.unanswered.Add(1)
	span := breakLeast << min(count-1, breakDoublings)
	breaker.openUntil.Store(int64(now + span))
	return int(count)
}

func (breaker *breaker) answered(now time.Duration) {
	breaker.answeredAt.Store(int64(now))
	if breaker.unanswered.Load() != 0 {
		breaker.unanswered.Store(0)
		breaker.openUntil.Store(0)
	}
}

func (breaker *breaker) open(now time.Duration) bool {
	return time.Duration(breaker.openUntil.Load()) > now
}

// Unanswered tells that the connection of a call, sent at a time, was closed before any answer. It
// returns how many calls in a row ended so.
func (target *Target) Unanswered(sent time.Duration) int {
	target.Broke()
	return target.breaker.note(sent, target.now())
}

// trustBreakers says whether calls pass by targets whose breakers are open: not where that is so
// for most of a pool.
func trustBreakers(targets []*Target, now time.Duration) bool {
	open := 0
	for _, target := range targets {
		if target.breaker.open(now) {
			open++
		}
	}
	return 2*open <= len(targets)
}
