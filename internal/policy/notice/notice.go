// Package notice keeps what backend servers say of themselves in their answers.
//
// A server may ask for a backoff: for some time it wants no more calls from the node that it
// refused. It may say that it is draining: it wants no new calls at all until it has ended.
// And it may name a limit that all nodes keep together, which package ratelimit keeps.
//
// There is one record for each run of a server, whatever groups it heads, pools it stands in
// and routes lead to it, so that no change of those ends what the server said. Each answer
// is taken by Heard, whether to a call, a question or an order; each call is let through by
// Record.Admit just before it is written, since what was chosen before an answer came may be
// sent after it. A backoff belongs to the server's ID, since it may name its host's need; a
// drain ends with the run that announced it.
//
// When a backoff has passed one call goes first, and the others follow when the server has
// taken it: a server that is still in need would refuse them all, and each refusal
// costs a repeat.
//
// What one node heard it tells the others. A drain binds them all. A backoff is aimed at the
// node that was refused, and to the others a hint: they call the server after all
// others that can take a call.
//
// # Usage
//
//	notices := notice.New(limits, notice.Clock(clock.Boot))
//	record := notices.Record(ratelimit.Run{Server: "i-1", Born: 7})
//	if err := record.Admit(); err != nil { ... } // send the call elsewhere
//	changes := notices.Heard(record, notice.Answer{Backoff: notice.Backoff{Span: 3 * time.Second}})
package notice

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/ratelimit"
)

// Errors of Record.Admit. Use errors.Is.
var (
	// ErrWithheld is either of the others.
	ErrWithheld = errors.New("the call was withheld")
	ErrBackoff  = errors.Mark(errors.New("the server asked for a backoff"), ErrWithheld)
	ErrDraining = errors.Mark(errors.New("the server is draining"), ErrWithheld)
)

const (
	// backoffMost bounds a backoff: a server that asks for more has either ended by then or
	// changed its mind.
	maxBackoff = 7 * 24 * time.Hour
	// trialTime is how long the first call after a backoff is waited for before another
	// may try. Its answer may be lost, or its caller may leave.
	probeTimeout = 500 * time.Millisecond
	// prolongedLeast is by how much a backoff must grow to be news: calls that
	// were refused together each grow it a little.
	minExtension = 100 * time.Millisecond
	// unaskedAfter is how long after its end a backoff is forgotten that no call has tried.
	untriedBackoffTTL = 10 * time.Second
	// drainingKept is for how long a drain is remembered of a run that no target and no
	// entry stands for. Entries vanish and come back, also after outages of the registry.
	drainTTL = 30 * time.Minute
)

// Backoff is what one answer asks for.
type Backoff struct {
	// Span is for how long the server wants no more calls; 0 for no time.
	Span time.Duration
	// Unreadable is a value that is no span, quoted; empty if there is none.
	Unreadable string
}

// Answer is what one answer of a server says of the server.
type Response struct {
	Backoff Backoff
	// Draining says that the server takes no new calls.
	Draining bool
	// Taken says that the server took a call, Began when that was sent.
	Accepted bool
	SentAt   time.Duration
}

// Change is what an answer changed.
type Change int

// The changes.
const (
	Unchanged Change = iota
	Learned
	Extended
	Ended
	// Spoilt: the answer has the first value of this server that can't be read.
	Unreadable
)

// Changes are those of one answer.
type Changes struct {
	Backoff  Change
	Draining Change
	// Tell says that other nodes are to be told.
	Announce bool
}

// Counts are counters; they only grow.
type Counts struct {
	// Backoffs are those that were asked for anew or prolonged, Unreadable the answers with
	// a value that is none, Drains the runs that said they were draining.
	Backoffs   atomic.Uint64
	Unreadable atomic.Uint64
	Drains     atomic.Uint64
	// Hints are the backoffs that servers asked of other nodes.
	Hints atomic.Uint64
	// Withheld are the calls that were chosen and then not sent.
	Withheld atomic.Uint64
}

// Notices are the records of all servers.
type Notices struct {
	Counts Counts
	now    clock.Now
	limits *ratelimit.Limits

	mu      sync.Mutex
	servers map[string]*serverState
}

// server is what is known of all runs under one ID.
type serverState struct {
	// until is the end of the backoff, 0 for none; trial is when the call was sent that
	// tries the server after it, 0 for none.
	backoffUntil atomic.Int64
	probeSentAt  atomic.Int64
	// elsewhere is the end of a backoff that the server asked of other nodes, 0 for none.
	hintUntil atomic.Int64

	// The lock of Notices guards the rest. asked is the span that was asked for last, and
	// askedAt when.
	requestedSpan      time.Duration
	requestedAt        time.Duration
	unreadableReported bool
	runs               map[int64]*run
}

// run is what is known of one run.
type run struct {
	draining atomic.Bool
	// since is when it said so, usedAt when anything last stood for the run.
	drainingSince, lastUsedAt time.Duration
}

// Record is what one run of a server has said of itself.
type Record struct {
	ratelimit.Run
	// Gate keeps the limit.
	Gate *ratelimit.Gate

	notices *Notices
	server  *serverState
	run     *run
}

// Option changes how Notices are built.
type Option func(*Notices)

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(notices *Notices) { notices.now = now }
}

// New returns notices of no server, with the limits that servers name.
func New(limits *ratelimit.Limits, options ...Option) *Notices {
	notices := &Notices{now: clock.Boot, limits: limits, servers: map[string]*serverState{}}
	for _, option := range options {
		option(notices)
	}
	return notices
}

// Record returns the record of a run.
func (notices *Notices) Record(key ratelimit.Run) *Record {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	held, one := notices.runLocked(key)
	return &Record{Run: key, Gate: notices.limits.Gate(key), notices: notices, server: held, run: one}
}

func (notices *Notices) runLocked(key ratelimit.Run) (*serverState, *run) {
	held := notices.servers[key.Server]
	if held == nil {
		held = &serverState{runs: map[int64]*run{}}
		notices.servers[key.Server] = held
	}
	one := held.runs[key.Born]
	if one == nil {
		one = &run{}
		held.runs[key.Born] = one
	}
	one.lastUsedAt = notices.now()
	return held, one
}

// Heard takes what an answer says of its server.
func (notices *Notices) HandleResponse(record *Record, answer Response) Changes {
	quiet := answer.Backoff == Backoff{} && !answer.Draining
	if quiet && (!answer.Accepted || record.server.backoffUntil.Load() == 0) {
		return Changes{}
	}
	notices.mu.Lock()
	defer notices.mu.Unlock()
	changes := Changes{Backoff: notices.applyBackoffLocked(record.server, answer), Draining: notices.applyDrainLocked(record.run, answer)}
	hinted := notices.hintLocked(record.server, answer.Backoff.Span)
	changes.Announce = hinted || changes.Draining == Learned
	return changes
}

func (notices *Notices) applyBackoffLocked(held *serverState, answer Response) Change {
	now := notices.now()
	until := time.Duration(held.backoffUntil.Load())
	switch asked := answer.Backoff; {
	case asked.Span > 0:
		return notices.extendBackoffLocked(held, min(asked.Span, maxBackoff))
	case asked.Unreadable != "":
		return notices.countUnreadableLocked(held)
	case !answer.Accepted || until == 0 || now < until || answer.SentAt < until:
		return Unchanged
	}
	held.backoffUntil.Store(0)
	held.probeSentAt.Store(0)
	return Ended
}

func (notices *Notices) countUnreadableLocked(held *serverState) Change {
	notices.Counts.Unreadable.Add(1)
	if held.unreadableReported {
		return Unchanged
	}
	held.unreadableReported = true
	return Unreadable
}

// prolongLocked puts a backoff in force. A shorter one doesn't cut a longer one short: the
// server may have asked for the longer one because of another call.
func (notices *Notices) extendBackoffLocked(held *serverState, span time.Duration) Change {
	now := notices.now()
	before, until := time.Duration(held.backoffUntil.Load()), now+span
	if until <= before {
		return Unchanged
	}
	held.backoffUntil.Store(int64(until))
	held.probeSentAt.Store(0)
	held.requestedSpan, held.requestedAt = span, now
	switch {
	case before <= now:
		notices.Counts.Backoffs.Add(1)
		return Learned
	case until-before < minExtension:
		return Unchanged
	}
	notices.Counts.Backoffs.Add(1)
	return Extended
}

func (notices *Notices) applyDrainLocked(held *run, answer Response) Change {
	if !answer.Draining || held.draining.Swap(true) {
		return Unchanged
	}
	held.drainingSince = notices.now()
	notices.Counts.Drains.Add(1)
	return Learned
}

// Draining says whether a run has said that it is draining.
func (notices *Notices) Draining(key ratelimit.Run) bool {
	if notices.Counts.Drains.Load() == 0 {
		return false
	}
	notices.mu.Lock()
	defer notices.mu.Unlock()
	held := notices.servers[key.Server]
	if held == nil || held.runs[key.Born] == nil {
		return false
	}
	return held.runs[key.Born].draining.Load()
}

// BacksOff says whether a server asked this node for a backoff that lasts.
func (notices *Notices) InBackoff(id string) bool {
	if notices.Counts.Backoffs.Load() == 0 {
		return false
	}
	notices.mu.Lock()
	defer notices.mu.Unlock()
	held := notices.servers[id]
	return held != nil && time.Duration(held.backoffUntil.Load()) > notices.now()
}
