package ratelimit

import (
	"math"
	"time"
)

// Answer is what one answer of a server says of its limit.
type Answer struct {
	// Named says that it names one, Rate in requests a second.
	Named bool
	Rate  float64
	// Unreadable is a value that is no limit; empty if there is none.
	Unreadable string
	// Refused says that the server did not run the request.
	Refused bool
	// Began is when the request was sent.
	Began time.Duration
}

// Change is what an answer changed.
type Change int

// The changes.
const (
	// Unchanged: the answer says nothing new.
	Unchanged Change = iota
	Learnt
	Changed
	Ended
	// Spoilt: the answer has the first value of this run that can't be read.
	Spoilt
)

// Answered takes what an answer says. One without a limit ends the one that is known
// unless its request was sent before that was, or the server refused it: whoever refuses
// need not be who counts.
func (limits *Limits) Answered(run Run, answer Answer) Change {
	if !answer.Named && answer.Unreadable == "" && limits.known.Load() == 0 {
		return Unchanged
	}
	limits.mu.Lock()
	defer limits.mu.Unlock()
	held := limits.entryLocked(run)
	switch {
	case answer.Unreadable != "":
		return limits.spoilLocked(held)
	case answer.Named && !held.inForce():
		limits.setLocked(Limit{Run: run, Rate: answer.Rate, Version: held.limit.Version + 1, At: limits.now()})
		return Learnt
	case answer.Named && held.limit.Rate != answer.Rate:
		limits.setLocked(Limit{Run: run, Rate: answer.Rate, Version: held.limit.Version + 1, At: limits.now()})
		return Changed
	case answer.Named:
		held.limit.At = limits.now()
		return Unchanged
	case !held.inForce() || answer.Refused || answer.Began <= held.limit.At:
		return Unchanged
	}
	limits.setLocked(Limit{Run: run, Rate: held.limit.Rate, Version: held.limit.Version + 1, Ended: true, At: limits.now()})
	return Ended
}

func (limits *Limits) spoilLocked(held *entry) Change {
	limits.Counts.Unreadable.Add(1)
	if held.spoilt {
		return Unchanged
	}
	held.spoilt = true
	return Spoilt
}

// Word is what a limit that another node tells is to this one.
type Word int

// The words.
const (
	// Same: this node knew it.
	Same Word = iota
	// News: it replaces what this node knew.
	News
	// Old: this node knows better, and should tell.
	Old
)

// Take takes a limit that another node knows.
func (limits *Limits) Take(limit Limit) Word {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	return limits.takeLocked(limit)
}

func (limits *Limits) takeLocked(limit Limit) Word {
	if !(limit.Rate >= 0) || math.IsInf(limit.Rate, 1) {
		return Same
	}
	held := limits.entryLocked(limit.Run)
	switch {
	case limit.newer(&held.limit):
		limits.setLocked(limit)
		return News
	case held.limit.newer(&limit):
		return Old
	}
	held.limit.At = max(held.limit.At, limit.At)
	return Same
}
