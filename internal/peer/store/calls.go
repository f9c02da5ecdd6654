package store

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/storetiming"
)

// CallTracker tracks the calls of one node to the store and derives from them whether the store is available.
type CallTracker struct {
	Counters Counters

	now           clock.Now
	onOutageStart func(call string, err error)
	onOutageEnd   func(outage Outage)
	onHungCall    func(hanging Hanging, err error)

	mu       sync.Mutex
	inFlight map[*Call]struct{}
	// answeredAt is when the store last answered; failures is the number of calls that have failed since.
	answeredAt  time.Duration
	failures    int
	unavailable bool
	// outageStartedAt is the start time of the first call that failed since the last answer.
	outageStartedAt time.Duration
	// newestAnsweredStart is the latest start time of any answered call.
	newestAnsweredStart time.Duration
	latencies           storetiming.LatencyWindow
	// recovery is closed when the store answers after a failure or when HintRecovery is called, and is then
	// replaced.
	recovery chan struct{}
	// hungReported is set if onHungCall was called since the last outage ended.
	hungReported bool
}

// Counters count calls and outages; they only grow. Hung counts failed calls although the store answered a call that
// started later, and overdue calls that were cancelled.
type Counters struct {
	Started, Failed, Hung, Outages atomic.Uint64
}

// Call is a call to the store in progress.
type Call struct {
	tracker   *CallTracker
	name      string
	startedAt time.Duration
	// wait is the long-poll time: how long the store may wait for new records before it answers.
	wait time.Duration
	// writes is set for a call that writes. The store may have executed a write whose answer was lost, so a failed
	// write does not show that the store is unavailable.
	writes bool
}

// Outage is a period in which the store answered none of this node's calls.
type Outage struct {
	// AnsweredCall names the first call that was answered after the outage.
	AnsweredCall string
	// Duration is the time from the start of the first failed call to that answer. Failures is the number of calls
	// that failed meanwhile.
	Duration time.Duration
	Failures int
	// Hanging are the overdue calls that are still in progress, the oldest first.
	Hanging []Hanging
}

// Hanging is a call that is overdue or was not answered.
type Hanging struct {
	Call string
	// Milliseconds is the time since the call started.
	Milliseconds int64
}

// Option configures a CallTracker.
type Option func(*CallTracker)

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(tracker *CallTracker) { tracker.now = now }
}

// OnOutageStart sets the function that is called for the first call that fails after an answered one.
func OnOutageStart(onStart func(call string, err error)) Option {
	return func(tracker *CallTracker) { tracker.onOutageStart = onStart }
}

// OnOutageEnd sets the function that is called for the first call that is answered after a failed one.
func OnOutageEnd(onEnd func(outage Outage)) Option {
	return func(tracker *CallTracker) { tracker.onOutageEnd = onEnd }
}

// OnHungCall sets the function that is called if a call fails although the store has answered a call that started later.
// It is called for the first such call only, until the next outage has ended.
func OnHungCall(onHung func(hanging Hanging, err error)) Option {
	return func(tracker *CallTracker) { tracker.onHungCall = onHung }
}

// NewCallTracker returns a tracker without calls.
func NewCallTracker(options ...Option) *CallTracker {
	tracker := &CallTracker{
		now: clock.Boot, inFlight: map[*Call]struct{}{}, recovery: make(chan struct{}),
		onOutageStart: func(string, error) {}, onOutageEnd: func(Outage) {}, onHungCall: func(Hanging, error) {},
	}
	for _, option := range options {
		option(tracker)
	}
	tracker.answeredAt = tracker.now()
	return tracker
}

// Start records the start of a read. The store may wait for new records for the given time before it answers.
func (tracker *CallTracker) Start(name string, wait time.Duration) *Call {
	return tracker.start(&Call{tracker: tracker, name: name, startedAt: tracker.now(), wait: wait})
}

// StartWrite records the start of a write.
func (tracker *CallTracker) StartWrite(name string) *Call {
	return tracker.start(&Call{tracker: tracker, name: name, startedAt: tracker.now(), writes: true})
}

func (tracker *CallTracker) start(call *Call) *Call {
	tracker.Counters.Started.Add(1)
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.inFlight[call] = struct{}{}
	return call
}

// Finish records the result of a call.
func (call *Call) Finish(err error) {
	tracker := call.tracker
	tracker.mu.Lock()
	delete(tracker.inFlight, call)
	var notify func()
	if err != nil {
		tracker.Counters.Failed.Add(1)
		notify = call.recordFailureLocked(err)
	} else {
		notify = call.recordAnswerLocked()
	}
	tracker.mu.Unlock()
	notify()
}

// recordAnswerLocked records that the call was answered. It returns the notification to run without the lock.
func (call *Call) recordAnswerLocked() (notify func()) {
	tracker, now := call.tracker, call.tracker.now()
	outage := Outage{AnsweredCall: call.name, Duration: now - tracker.outageStartedAt, Failures: tracker.failures, Hanging: tracker.hangingLocked(now)}
	recovered := tracker.unavailable
	tracker.unavailable, tracker.failures, tracker.answeredAt = false, 0, now
	tracker.newestAnsweredStart = max(tracker.newestAnsweredStart, call.startedAt)
	tracker.latencies.Observe(now - call.startedAt - call.wait)
	if !recovered {
		return func() {}
	}
	tracker.hungReported = false
	tracker.signalRecoveryLocked()
	return func() { tracker.onOutageEnd(outage) }
}

// recordFailureLocked records that the call failed. It returns the notification to run without the lock. If the store
// has answered a call that started later, the store is available and the call counts as hung.
func (call *Call) recordFailureLocked(err error) (notify func()) {
	tracker := call.tracker
	if tracker.newestAnsweredStart <= call.startedAt {
		return call.recordUnansweredLocked(err)
	}
	tracker.Counters.Hung.Add(1)
	if tracker.hungReported {
		return func() {}
	}
	tracker.hungReported = true
	hanging := Hanging{Call: call.name, Milliseconds: (tracker.now() - call.startedAt).Milliseconds()}
	return func() { tracker.onHungCall(hanging, err) }
}

// recordUnansweredLocked records that the store did not answer the call. It returns the notification to run without the
// lock.
func (call *Call) recordUnansweredLocked(err error) (notify func()) {
	tracker := call.tracker
	if call.writes {
		return func() {}
	}
	tracker.failures++
	if tracker.unavailable {
		return func() {}
	}
	tracker.unavailable, tracker.outageStartedAt = true, call.startedAt
	tracker.Counters.Outages.Add(1)
	return func() { tracker.onOutageStart(call.name, err) }
}

// unansweredAfter is the time beyond its long-poll time after which a call in progress may count as failed.
const unansweredAfter = 600 * time.Millisecond

// markOverdue counts a call in progress as failed if it has taken too long, unless the store has answered a call that
// started later.
func (call *Call) markOverdue() {
	tracker := call.tracker
	tracker.mu.Lock()
	notify := func() {}
	if elapsed := tracker.now() - call.startedAt; elapsed >= call.wait+unansweredAfter && tracker.newestAnsweredStart <= call.startedAt {
		notify = call.recordUnansweredLocked(errors.Newf("the store did not answer within %d ms", elapsed.Milliseconds()))
	}
	tracker.mu.Unlock()
	notify()
}

// HintRecovery signals that the store answers another node. If the store is unavailable to this node, hedged requests in
// progress start another call.
func (tracker *CallTracker) HintRecovery() {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.unavailable {
		tracker.signalRecoveryLocked()
	}
}

func (tracker *CallTracker) signalRecoveryLocked() {
	close(tracker.recovery)
	tracker.recovery = make(chan struct{})
}

// cancel records that the call was cancelled because its answer is no longer needed.
func (call *Call) cancel() {
	tracker := call.tracker
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	delete(tracker.inFlight, call)
	if tracker.now()-call.startedAt > call.wait+hangingAfter {
		tracker.Counters.Hung.Add(1)
	}
}

// hangingAfter is the time beyond its long-poll time after which a call is overdue and counts as hanging.
const hangingAfter = 250 * time.Millisecond

func (tracker *CallTracker) hangingLocked(now time.Duration) []Hanging {
	hanging := []Hanging{}
	for call := range tracker.inFlight {
		if elapsed := now - call.startedAt; elapsed > call.wait+hangingAfter {
			hanging = append(hanging, Hanging{Call: call.name, Milliseconds: elapsed.Milliseconds()})
		}
	}
	slices.SortFunc(hanging, func(one, other Hanging) int {
		return cmp.Or(cmp.Compare(other.Milliseconds, one.Milliseconds), cmp.Compare(one.Call, other.Call))
	})
	return hanging
}

// LongestRecentLatency returns the longest latency of the recent answers, without the long-poll time.
func (tracker *CallTracker) LongestRecentLatency() time.Duration {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.latencies.Max()
}

// Recovery returns a channel that is closed when the store answers after a failure or when HintRecovery is called.
func (tracker *CallTracker) Recovery() <-chan struct{} {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.recovery
}

// Unavailable reports whether the store has left a read unanswered since it last answered a call.
func (tracker *CallTracker) Unavailable() bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.unavailable
}

// FailuresInRow returns the number of calls that have failed since the last answer.
func (tracker *CallTracker) FailuresInRow() int {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.failures
}

// State is the availability of the store in the state dump.
type State struct {
	Away bool
	// SinceAnswerMilliseconds is the time since the store last answered this node, or since the node started if it
	// never did.
	SinceAnswerMilliseconds int64
	FailuresInRow           int
	Hanging                 []Hanging
}

// State returns the availability of the store and the hanging calls.
func (tracker *CallTracker) State() State {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	now := tracker.now()
	return State{
		Away: tracker.unavailable, SinceAnswerMilliseconds: (now - tracker.answeredAt).Milliseconds(), FailuresInRow: tracker.failures,
		Hanging: tracker.hangingLocked(now),
	}
}
