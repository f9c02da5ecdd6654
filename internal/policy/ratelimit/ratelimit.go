// Package ratelimit keeps to the limits that backend servers name: how many requests a
// second a server takes from all nodes together.
//
// A limit is learnt from answers, and holds for one run of a server's process until an
// answer names none. A server that starts again and one that takes over its address have
// none until they name one.
//
// While a server names a limit, each request to it needs a permit. One node, the server's
// home, issues them at the rate of the limit; the others borrow them over the connections
// that there are, each for the nodes behind it. A permit that isn't used goes back and is
// lent anew. A node that hears from no lender sends nothing, and a home that hears only a
// part of the nodes issues that part of the limit: so two homes that don't hear each other
// keep the limit together.
//
// # Usage
//
//	limits := ratelimit.New(ratelimit.Clock(clock.Boot), ratelimit.Incarnation(incarnation))
//	gate := limits.Gate(ratelimit.Run{Server: "i-1", Born: 7})
//	limits.Answered(run, ratelimit.Answer{Named: true, Rate: 2.5, Began: began})
//	limits.Refresh(func(ratelimit.Run) ratelimit.Duty { return ratelimit.Duty{Home: true, Part: 1} })
//	if gate.Take(urgency) { ... }
package ratelimit

import (
	"cmp"
	"math"
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
	// Version rises with each change, wherever it is learnt; 0 if nothing was.
	Version uint64
	// At is when the answer came that told it.
	At time.Duration
}

// differs is the part of a limit by which another must differ to be worth a line.
const differs = 0.1

// Differs says whether the limit is another one for whoever reads of it: a server may name
// a slightly different one with each answer.
func (limit *Limit) Differs(other *Limit) bool {
	return limit.Ended != other.Ended || math.Abs(limit.Rate-other.Rate) > differs*other.Rate
}

// newer says whether the limit replaces another. Of two changes that were learnt at the same
// time at two nodes all nodes keep the stricter one.
func (limit *Limit) newer(other *Limit) bool {
	switch {
	case limit.Version != other.Version:
		return limit.Version > other.Version
	case limit.Ended != other.Ended:
		return other.Ended
	}
	return !limit.Ended && limit.Rate < other.Rate
}

// entry is what is known of one run.
type entry struct {
	gate   *Gate
	limit  Limit
	spoilt bool
	// account has the permits, nil while there is no limit.
	account *account
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
	// incarnation begins the numbers of sessions of this node's loans.
	incarnation uint64
	settle      time.Duration

	mu       sync.Mutex
	sessions uint64
	entries  map[Run]*entry
	// limited are the entries with a limit in force.
	limited map[Run]*entry
}

// Option changes how Limits are built.
type Option func(*Limits)

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(limits *Limits) { limits.now = now }
}

// Incarnation sets a number that no other node has.
func Incarnation(number uint64) Option {
	return func(limits *Limits) { limits.incarnation = number }
}

// Settle sets how long all nodes may take to keep to a limit. What was sent so long before
// the end of a window doesn't count against it; without it the whole window does.
func Settle(span time.Duration) Option {
	return func(limits *Limits) { limits.settle = span }
}

// New returns limits of which none is known.
func New(options ...Option) *Limits {
	limits := &Limits{now: clock.Boot, entries: map[Run]*entry{}, limited: map[Run]*entry{}}
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

func (limits *Limits) entryLocked(run Run) *entry {
	held, ok := limits.entries[run]
	if !ok {
		held = &entry{gate: newGate(limits.now)}
		limits.entries[run] = held
	}
	return held
}

// setLocked puts a limit in force, or ends it.
func (limits *Limits) setLocked(limit Limit) {
	held := limits.entryLocked(limit.Run)
	held.limit = limit
	if limit.Ended {
		held.account = nil
		held.gate.lift()
		limits.forgetLocked(limit.Run)
		return
	}
	if held.account == nil {
		held.gate.trim(window - limits.settle + learnTime)
		held.account = newAccount(held.gate, limits.now())
		limits.limited[limit.Run] = held
		limits.known.Store(int32(len(limits.limited)))
	}
	held.account.rate = min(max(limit.Rate, leastRate), mostRate)
	held.gate.rate.Store(math.Float64bits(held.account.rate))
	limits.Counts.Learnt.Add(1)
}

func (limits *Limits) forgetLocked(run Run) {
	delete(limits.limited, run)
	limits.known.Store(int32(len(limits.limited)))
}

const (
	// leastRate is the least limit that is kept to, in requests a second: by less, and by
	// none at all, nobody would learn when the limit ends.
	leastRate = 0.2
	// mostRate is more than a fleet sends one server.
	mostRate = 1e5
)

// Known returns what is known of a run's limit, also that it ended.
func (limits *Limits) Known(run Run) (Limit, bool) {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	held, ok := limits.entries[run]
	if !ok || held.limit.Version == 0 {
		return Limit{}, false
	}
	return held.limit, true
}

// All returns the limits in force.
func (limits *Limits) All() []Limit {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	all := []Limit{}
	for _, held := range limits.limited {
		all = append(all, held.limit)
	}
	return all
}

// Any says whether any limit is in force.
func (limits *Limits) Any() bool {
	return limits.known.Load() > 0
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
		limits.forgetLocked(run)
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
	// Home says that this node issues the permits, for a Part of the limit. Permits are on
	// hand, Outstanding lent to others, Waiting and Wanted what is asked for.
	Home                                  bool
	Part                                  float64
	Permits, Outstanding, Waiting, Wanted int
}

// State returns the limits in force, by server.
func (limits *Limits) State() []State {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	states := []State{}
	for run, held := range limits.limited {
		claim := held.account.claim()
		states = append(states, State{
			Server: run.Server, Rate: held.limit.Rate, AgeMilliseconds: (limits.now() - held.limit.At).Milliseconds(),
			SentLately: held.gate.SentLately(), Home: held.account.duty.Home, Part: held.account.duty.Part,
			Permits: int(held.gate.permits.Load()), Outstanding: held.account.outstanding(), Waiting: claim.Waiting, Wanted: claim.Wanted,
		})
	}
	slices.SortFunc(states, func(one, other State) int { return cmp.Compare(one.Server, other.Server) })
	return states
}
