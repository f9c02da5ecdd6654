// Package ratelimit enforces the request rate limits that backend servers announce. A limit is the
// number of requests per second that one server accepts from all nodes together.
//
// A node learns a limit from the responses of the server. A limit applies to one run of the server
// process and stays in force until a response announces none. A restarted server, and a server that
// takes over the address of another one, has no limit until it announces one.
//
// While a server announces a limit, each request to the server needs a permit. One node, the
// issuer, issues the permits at the rate of the limit. The other nodes borrow permits over the
// existing links between nodes. Each node borrows for itself and for the nodes behind it, which are
// the nodes that reach the issuer through it. An unused permit is returned and lent again. A node
// that receives nothing from a lender sends nothing to the server. An issuer that receives only
// from a share of the nodes issues only that share of the limit. Two issuers that do not receive
// from each other therefore keep the limit together.
//
// # Usage
//
//	limits := ratelimit.New(ratelimit.Clock(clock.Boot), ratelimit.Incarnation(incarnation))
//	gate := limits.Gate(ratelimit.Run{Server: "i-1", Born: 7})
//	limits.HandleResponse(run, ratelimit.Response{HasLimit: true, Rate: 2.5, SentAt: sentAt})
//	limits.Refresh(func(ratelimit.Run) ratelimit.PermitSource { return ratelimit.PermitSource{Issuer: true, Share: 1} })
//	if gate.TryAcquire(urgency) { ... }
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

// Run identifies one run of a server process: its lifetime from start to exit.
type Run struct {
	Server string
	// Born distinguishes the runs of servers that have the same ID.
	Born int64
}

// Limit is the latest known rate limit of one server run.
type Limit struct {
	Run
	// Rate is in requests per second.
	Rate float64
	// Ended is set once the server announces no limit anymore.
	Ended bool
	// Version increases with each change, whichever node learns of the change. It is 0 if no limit was
	// ever announced.
	Version uint64
	// At is the time of the latest response that announced the limit.
	At time.Duration
}

// loggedRateChange is the relative change of a rate above which the change is logged.
const loggedRateChange = 0.1

// WorthLogging reports whether limit differs from other enough to be logged. A server may announce
// a slightly different rate with each response, so small changes are not logged.
func (limit *Limit) WorthLogging(other *Limit) bool {
	return limit.Ended != other.Ended || math.Abs(limit.Rate-other.Rate) > loggedRateChange*other.Rate
}

// supersedes reports whether limit replaces other. If two nodes learn different changes at the same
// version, all nodes keep the stricter limit.
func (limit *Limit) supersedes(other *Limit) bool {
	switch {
	case limit.Version != other.Version:
		return limit.Version > other.Version
	case limit.Ended != other.Ended:
		return other.Ended
	}
	return !limit.Ended && limit.Rate < other.Rate
}

// runEntry holds the state of one server run.
type runEntry struct {
	gate               *Gate
	limit              Limit
	unreadableReported bool
	// allocator distributes the permits. It is nil while no limit is in force.
	allocator *allocator
	// idle is set if no target used the run at the last sweep.
	idle bool
}

// Counts holds cumulative counters.
type Counts struct {
	// Learned counts limits that were put in force or changed. Unreadable counts responses whose limit
	// could not be parsed.
	Learned    atomic.Uint64
	Unreadable atomic.Uint64
}

// Limits holds the rate limits that this node knows of.
type Limits struct {
	Counts Counts
	now    clock.Now

	// limitCount is the number of limits in force. While it is 0, responses are handled without taking
	// the lock.
	limitCount atomic.Int32
	// incarnation is the base of the session numbers of this node's loans.
	incarnation     uint64
	propagationTime time.Duration

	mu           sync.Mutex
	sessionCount uint64
	entries      map[Run]*runEntry
	// limited holds the entries that have a limit in force.
	limited map[Run]*runEntry
}

// Option configures Limits.
type Option func(*Limits)

// Clock sets the time source.
func Clock(now clock.Now) Option {
	return func(limits *Limits) { limits.now = now }
}

// Incarnation sets a number that is unique to this node. Session numbers are derived from it.
func Incarnation(number uint64) Option {
	return func(limits *Limits) { limits.incarnation = number }
}

// PropagationTime sets how long a limit may take to reach all nodes. The limit has to hold only in
// rate windows that end at least this long after the limit was learned. Requests sent before the
// first such window are not counted. Without this option all requests of the last rate window are
// counted.
func PropagationTime(span time.Duration) Option {
	return func(limits *Limits) { limits.propagationTime = span }
}

// New returns Limits without any known limit.
func New(options ...Option) *Limits {
	limits := &Limits{now: clock.Boot, entries: map[Run]*runEntry{}, limited: map[Run]*runEntry{}}
	for _, option := range options {
		option(limits)
	}
	return limits
}

// Gate returns the gate of a run. All calls return the same gate until the run is swept.
func (limits *Limits) Gate(run Run) *Gate {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	entry := limits.entryLocked(run)
	entry.idle = false
	return entry.gate
}

func (limits *Limits) entryLocked(run Run) *runEntry {
	entry, ok := limits.entries[run]
	if !ok {
		entry = &runEntry{gate: newGate(limits.now)}
		limits.entries[run] = entry
	}
	return entry
}

// setLocked puts a limit in force or ends it.
func (limits *Limits) setLocked(limit Limit) {
	entry := limits.entryLocked(limit.Run)
	entry.limit = limit
	if limit.Ended {
		entry.allocator = nil
		entry.gate.removeLimit()
		limits.removeLimitLocked(limit.Run)
		return
	}
	if entry.allocator == nil {
		// The issuer starts issuing only usageReportTime after it learned the limit, so the gate counts
		// requests that much longer.
		entry.gate.discardOlder(rateWindow - limits.propagationTime + usageReportTime)
		entry.allocator = newAllocator(entry.gate, limits.now())
		limits.limited[limit.Run] = entry
		limits.limitCount.Store(int32(len(limits.limited)))
	}
	entry.allocator.rate = min(max(limit.Rate, minRate), maxRate)
	entry.gate.rate.Store(math.Float64bits(entry.allocator.rate))
	limits.Counts.Learned.Add(1)
}

func (limits *Limits) removeLimitLocked(run Run) {
	delete(limits.limited, run)
	limits.limitCount.Store(int32(len(limits.limited)))
}

const (
	// minRate is the lowest rate that is enforced, in requests per second. At a lower rate or at zero,
	// no request would be sent whose response could show that the limit has ended.
	minRate = 0.2
	// maxRate is higher than the rate that a whole fleet sends to one server.
	maxRate = 1e5
)

// Lookup returns the latest known limit of a run, including a limit that has ended.
func (limits *Limits) Lookup(run Run) (Limit, bool) {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	entry, ok := limits.entries[run]
	if !ok || entry.limit.Version == 0 {
		return Limit{}, false
	}
	return entry.limit, true
}

// All returns the limits in force.
func (limits *Limits) All() []Limit {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	all := []Limit{}
	for _, entry := range limits.limited {
		all = append(all, entry.limit)
	}
	return all
}

// Any reports whether any limit is in force.
func (limits *Limits) Any() bool {
	return limits.limitCount.Load() > 0
}

// Limit returns the limit of a run if a limit is in force.
func (limits *Limits) Limit(run Run) (Limit, bool) {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	entry, ok := limits.entries[run]
	if !ok || !entry.inForce() {
		return Limit{}, false
	}
	return entry.limit, true
}

// Sweep removes the runs that were unused at two consecutive sweeps. A single sweep is not enough
// because the gate of an unused run may just have been requested.
func (limits *Limits) Sweep(used func(run Run) bool) {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	for run, entry := range limits.entries {
		wasIdle := entry.idle
		entry.idle = !used(run)
		if !entry.idle || !wasIdle {
			continue
		}
		limits.removeLimitLocked(run)
		delete(limits.entries, run)
	}
}

// State describes one limit in the state dump.
type State struct {
	Server string
	// Rate is in requests per second.
	Rate float64
	// AgeMilliseconds is the time since a response last announced the limit. SentLately is the number
	// of requests that this node sent to the server within the last four seconds.
	AgeMilliseconds int64
	SentLately      int
	// Home is set if this node issues the permits, for the share Part of the limit. Permits is the
	// number of permits on hand for this node's own requests. Outstanding counts permits that were lent
	// and may still be used. Waiting counts requests that wait for a permit. Wanted counts the permits
	// that this node and its borrowers should have on hand.
	Home                                  bool
	Part                                  float64
	Permits, Outstanding, Waiting, Wanted int
}

// State returns the limits in force, sorted by server.
func (limits *Limits) State() []State {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	states := []State{}
	for run, entry := range limits.limited {
		claim := entry.allocator.claim()
		states = append(states, State{
			Server: run.Server, Rate: entry.limit.Rate, AgeMilliseconds: (limits.now() - entry.limit.At).Milliseconds(),
			SentLately: entry.gate.SentLately(), Home: entry.allocator.source.Issuer, Part: entry.allocator.source.Share,
			Permits: int(entry.gate.permits.Load()), Outstanding: entry.allocator.outstanding(), Waiting: claim.Waiting, Wanted: claim.Wanted,
		})
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Server, b.Server) })
	return states
}
