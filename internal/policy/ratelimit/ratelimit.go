// Package ratelimit knows the limits that backend servers name: how many requests a
// second a server takes from all nodes together.
//
// A limit is learnt from answers, and holds for one run of a server's process until an
// answer names none. A server that starts again and one that takes over its address have
// none until they name one.
//
// # Usage
//
//	limits := ratelimit.New(ratelimit.Clock(clock.Boot))
//	gate := limits.Gate(ratelimit.Run{Server: "i-1", Born: 7})
//	gate.Sent()
//	limits.Answered(run, ratelimit.Answer{Named: true, Rate: 2.5, Began: began})
package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
)

// Run is one run of a server's process.
type Run struct {
	Server string
	// Born tells one run from the next under the same ID.
	Born int64
}

// Limit is what is known of the limit of one run.
type Limit struct {
	Run
	// Rate is in requests a second.
	Rate float64
	// Ended says that the server names none any more.
	Ended bool
	// At is when the answer came that told it.
	At time.Duration
}

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

// entry is what is known of one run.
type entry struct {
	gate   *Gate
	limit  Limit
	spoilt bool
	// unused says that no target stood for the run at the last sweep.
	unused bool
}

// Counts are counters; they only grow.
type Counts struct {
	// Learnt are the limits that were named first or anew, Unreadable the answers with a
	// value that is no limit.
	Learnt     atomic.Uint64
	Unreadable atomic.Uint64
}

// Limits are those that this node knows.
type Limits struct {
	Counts Counts
	now    clock.Now

	// known counts the limits in force, so that answers cost nothing while there are none.
	known atomic.Int32

	mu      sync.Mutex
	entries map[Run]*entry
}

// Option changes how Limits are built.
type Option func(*Limits)

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(limits *Limits) { limits.now = now }
}

// New returns limits of which none is known.
func New(options ...Option) *Limits {
	limits := &Limits{now: clock.Boot, entries: map[Run]*entry{}}
	for _, option := range options {
		option(limits)
	}
	return limits
}

// Gate returns the gate of a run, the same one each time until it is swept.
func (limits *Limits) Gate(run Run) *Gate {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	held := limits.entryLocked(run)
	held.unused = false
	return held.gate
}

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
		limits.setLocked(Limit{Run: run, Rate: answer.Rate, At: limits.now()})
		return Learnt
	case answer.Named && held.limit.Rate != answer.Rate:
		limits.setLocked(Limit{Run: run, Rate: answer.Rate, At: limits.now()})
		return Changed
	case answer.Named:
		held.limit.At = limits.now()
		return Unchanged
	case !held.inForce() || answer.Refused || answer.Began <= held.limit.At:
		return Unchanged
	}
	limits.setLocked(Limit{Run: run, Rate: held.limit.Rate, Ended: true, At: limits.now()})
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

func (limits *Limits) entryLocked(run Run) *entry {
	held, ok := limits.entries[run]
	if !ok {
		held = &entry{gate: &Gate{now: limits.now}}
		limits.entries[run] = held
	}
	return held
}

// setLocked puts a limit in force, or ends it.
func (limits *Limits) setLocked(limit Limit) {
	held := limits.entryLocked(limit.Run)
	if was, is := held.inForce(), !limit.Ended; was != is {
		limits.known.Add(map[bool]int32{true: 1, false: -1}[is])
	}
	if !limit.Ended {
		limits.Counts.Learnt.Add(1)
	}
	held.limit = limit
}

func (entry *entry) inForce() bool {
	return entry.limit.At > 0 && !entry.limit.Ended
}

// Limit returns the limit in force of a run.
func (limits *Limits) Limit(run Run) (Limit, bool) {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	held, ok := limits.entries[run]
	if !ok || !held.inForce() {
		return Limit{}, false
	}
	return held.limit, true
}

// Sweep forgets the runs that were not used at two sweeps in a row: one may just have
// been asked for.
func (limits *Limits) Sweep(used func(run Run) bool) {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	for run, held := range limits.entries {
		wasUnused := held.unused
		held.unused = !used(run)
		if !held.unused || !wasUnused {
			continue
		}
		if held.inForce() {
			limits.known.Add(-1)
		}
		delete(limits.entries, run)
	}
}

// State is a limit in the state dump.
type State struct {
	Server string
	// Rate is in requests a second.
	Rate float64
	// AgeMilliseconds is how long ago an answer named it, SentLately how many requests this
	// node sent the server within the last four seconds.
	AgeMilliseconds int64
	SentLately      int
}

// State returns the limits in force, by server.
func (limits *Limits) State() []State {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	states := []State{}
	for run, held := range limits.entries {
		if !held.inForce() {
			continue
		}
		states = append(states, State{
			Server: run.Server, Rate: held.limit.Rate, AgeMilliseconds: (limits.now() - held.limit.At).Milliseconds(),
			SentLately: held.gate.SentLately(),
		})
	}
	slices.SortFunc(states, func(one, other State) int { return cmp.Compare(one.Server, other.Server) })
	return states
}
