package store

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/patience"
)

// Calls keeps account of one node's calls to the store.
type Calls struct {
	Counts Counts

	now      clock.Now
	lost     func(call string, err error)
	returned func(outage Outage)
	hung     func(hanging Hanging, err error)

	mu       sync.Mutex
	underWay map[*Call]struct{}
	// answeredAt is when the store last answered, failures how many calls have failed
	// since.
	answeredAt time.Duration
	failures   int
	away       bool
	// awayFrom is when the first call began that failed since then.
	awayFrom time.Duration
	// answeredFrom is when the youngest call began that was answered.
	answeredFrom time.Duration
	usual        patience.LatencyWindow
	// returns is closed with the first answer after a failure, or a hint of one.
	returns chan struct{}
	// hungTold says that a call that hung was told of in this outage.
	hungTold bool
}

// Counts are the counters of calls; they only grow.
type Counts struct {
	Begun, Failed, Hung, Outages atomic.Uint64
}

// Call is a call under way.
type Call struct {
	calls *Calls
	name  string
	began time.Duration
	// wait is for how long the store was asked to wait for news.
	wait time.Duration
	// writes says that the call writes. The store may have done what it asks for though
	// nothing comes back, so a failure doesn't show that the store is away.
	writes bool
}

// Outage is a time in which the store answered none of this node's calls.
type Outage struct {
	// Call names the call that was answered first.
	Call string
	// Lasted is the time from the start of the first call that failed to that answer,
	// Failures how many calls failed in it.
	Lasted   time.Duration
	Failures int
	// Hanging are calls that were due to be answered and are still under way, the oldest first.
	Hanging []Hanging
}

// Hanging is a call that has not been answered in its time.
type Hanging struct {
	Call string
	// Milliseconds is how long ago it began.
	Milliseconds int64
}

// Option changes how Calls are built.
type Option func(*Calls)

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(calls *Calls) { calls.now = now }
}

// Lost is told of the first call that fails after one was answered.
func Lost(lost func(call string, err error)) Option {
	return func(calls *Calls) { calls.lost = lost }
}

// Returned is told of the first call that is answered after one failed.
func Returned(returned func(outage Outage)) Option {
	return func(calls *Calls) { calls.returned = returned }
}

// Hung is told of the first call of an outage that fails though the store answered others that
// began later.
func Hung(hung func(hanging Hanging, err error)) Option {
	return func(calls *Calls) { calls.hung = hung }
}

// NewCalls returns the calls of a node that has made none.
func NewCalls(options ...Option) *Calls {
	calls := &Calls{
		now: clock.Boot, underWay: map[*Call]struct{}{}, returns: make(chan struct{}),
		lost: func(string, error) {}, returned: func(Outage) {}, hung: func(Hanging, error) {},
	}
	for _, option := range options {
		option(calls)
	}
	calls.answeredAt = calls.now()
	return calls
}

// Begin notes that a call is made in which the store is asked to wait for news.
func (calls *Calls) Begin(name string, wait time.Duration) *Call {
	return calls.begin(&Call{calls: calls, name: name, began: calls.now(), wait: wait})
}

// BeginWrite notes that a call is made that writes.
func (calls *Calls) BeginWrite(name string) *Call {
	return calls.begin(&Call{calls: calls, name: name, began: calls.now(), writes: true})
}

func (calls *Calls) begin(call *Call) *Call {
	calls.Counts.Begun.Add(1)
	calls.mu.Lock()
	defer calls.mu.Unlock()
	calls.underWay[call] = struct{}{}
	return call
}

// End notes how a call ended.
func (call *Call) End(err error) {
	calls := call.calls
	calls.mu.Lock()
	delete(calls.underWay, call)
	var tell func()
	if err != nil {
		calls.Counts.Failed.Add(1)
		tell = call.failedLocked(err)
	} else {
		tell = call.answeredLocked()
	}
	calls.mu.Unlock()
	tell()
}

// answeredLocked notes that a call was answered, and returns what tells of it.
func (call *Call) answeredLocked() (tell func()) {
	calls, now := call.calls, call.calls.now()
	outage := Outage{Call: call.name, Lasted: now - calls.awayFrom, Failures: calls.failures, Hanging: calls.hangingLocked(now)}
	ended := calls.away
	calls.away, calls.failures, calls.answeredAt = false, 0, now
	calls.answeredFrom = max(calls.answeredFrom, call.began)
	calls.usual.Observe(now - call.began - call.wait)
	if !ended {
		return func() {}
	}
	calls.hungTold = false
	calls.returnsLocked()
	return func() { calls.returned(outage) }
}

// failedLocked notes that a call failed, and returns what tells of it. Where the store has
// answered a call that began later, it isn't away.
func (call *Call) failedLocked(err error) (tell func()) {
	calls := call.calls
	if calls.answeredFrom <= call.began {
		return call.lostLocked(err)
	}
	calls.Counts.Hung.Add(1)
	if calls.hungTold {
		return func() {}
	}
	calls.hungTold = true
	hanging := Hanging{Call: call.name, Milliseconds: (calls.now() - call.began).Milliseconds()}
	return func() { calls.hung(hanging, err) }
}

// lostLocked notes that a call was not answered, and returns what tells of it.
func (call *Call) lostLocked(err error) (tell func()) {
	calls := call.calls
	if call.writes {
		return func() {}
	}
	calls.failures++
	if calls.away {
		return func() {}
	}
	calls.away, calls.awayFrom = true, call.began
	calls.Counts.Outages.Add(1)
	return func() { calls.lost(call.name, err) }
}

// lateAfter is how much longer than it waits for news a call must take to count as failed
// while it is still under way.
const lateAfter = 600 * time.Millisecond

// late counts a call that hangs as failed, unless the store answered one that began later.
func (call *Call) late() {
	calls := call.calls
	calls.mu.Lock()
	tell := func() {}
	if elapsed := calls.now() - call.began; elapsed >= call.wait+lateAfter && calls.answeredFrom <= call.began {
		tell = call.lostLocked(errors.Newf("no answer within %d ms", elapsed.Milliseconds()))
	}
	calls.mu.Unlock()
	tell()
}

// Hint tells that the store answers another node. Calls that hang here are made anew.
func (calls *Calls) Hint() {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	if calls.away {
		calls.returnsLocked()
	}
}

func (calls *Calls) returnsLocked() {
	close(calls.returns)
	calls.returns = make(chan struct{})
}

// withdraw notes that a call was given up, since its answer is no longer needed.
func (call *Call) withdraw() {
	calls := call.calls
	calls.mu.Lock()
	defer calls.mu.Unlock()
	delete(calls.underWay, call)
	if calls.now()-call.began > call.wait+overdueAfter {
		calls.Counts.Hung.Add(1)
	}
}

// overdueAfter is how much longer than it waits for news a call may take.
const overdueAfter = 250 * time.Millisecond

func (calls *Calls) hangingLocked(now time.Duration) []Hanging {
	hanging := []Hanging{}
	for call := range calls.underWay {
		if elapsed := now - call.began; elapsed > call.wait+overdueAfter {
			hanging = append(hanging, Hanging{Call: call.name, Milliseconds: elapsed.Milliseconds()})
		}
	}
	slices.SortFunc(hanging, func(one, other Hanging) int {
		return cmp.Or(cmp.Compare(other.Milliseconds, one.Milliseconds), cmp.Compare(one.Call, other.Call))
	})
	return hanging
}

// Usual is how long the store takes to answer, as the longest of the latest answers.
func (calls *Calls) Usual() time.Duration {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	return calls.usual.Max()
}

// Returns is closed with the first answer after a failure, or a hint of one.
func (calls *Calls) Returns() <-chan struct{} {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	return calls.returns
}

// Away says whether the last call that ended failed.
func (calls *Calls) Away() bool {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	return calls.away
}

// FailuresInRow is how many calls have failed since the last answer.
func (calls *Calls) FailuresInRow() int {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	return calls.failures
}

// State is the dump of how the store answers.
type State struct {
	Away bool
	// SinceAnswerMilliseconds is how long ago the store last answered this node, or how
	// long ago the node started.
	SinceAnswerMilliseconds int64
	FailuresInRow           int
	Hanging                 []Hanging
}

// State returns how the store answers.
func (calls *Calls) State() State {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	now := calls.now()
	return State{
		Away: calls.away, SinceAnswerMilliseconds: (now - calls.answeredAt).Milliseconds(), FailuresInRow: calls.failures,
		Hanging: calls.hangingLocked(now),
	}
}
