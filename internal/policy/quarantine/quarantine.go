// Package quarantine decides which requests are sent to no server any more, because
// servers end that run them.
//
// A request that ends each server that begins to run it comes again: the node that has
// it repeats it, and its caller returns, at any node. Nothing in one attempt tells it
// from a request whose server died of something else, so a List remembers under which
// requests servers ended, by what was asked, and refuses one under which several did.
//
// A server that dies takes all requests with it that it has under way, of which at most
// one is to blame. What tells the others: they are answered whole at last, as a request
// that ends its servers never is. One whole answer, wherever it was given, lifts all
// suspicion. That is also what frees a request that many callers send alike, as when
// they ask for the state of something: some of them are always answered.
//
// Nodes tell each other what their lists hold. Ends add up and are told as often as
// anybody likes: what counts is under how many runs of servers, not how many
// calls broke off.
//
// # Usage
//
//	list := quarantine.New()
//	fingerprint := quarantine.Of(quarantine.Asked{Workspace: workspace, Method: method, Target: target, Body: body})
//	if verdict, refused := list.Refuses(fingerprint); refused { ... }
//	list.Ended(fingerprint, "i-1/g7/0")
//	list.Served(fingerprint)
package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
)

const (
	// endsMost is under how many ends of servers a request is refused. One is chance,
	// and so is a second in a wave of losses, in which a stream that goes on elsewhere
	// soon breaks off again; a third is rare even there, and each costs a group. Without
	// the bound one caller goes on to end servers for as long as it returns.
	defaultFailureThreshold = 3
	// remembered is for how long an end counts. Who sends such a request comes back after
	// seconds or minutes; after this a fault that was mended meanwhile holds nobody up.
	defaultFailureTTL = 10 * time.Minute
	// liftRemembered is for how long it is remembered that suspicion was lifted: ends
	// that are told late don't raise it again.
	liftTTL = 30 * time.Second
	// sameLift is how far apart nodes may note one and the same lift.
	sameLiftTolerance = time.Second
	// entriesMost bounds the list: at some 200 bytes each, under half a megabyte. A wave
	// of losses brings some hundred innocent requests, most of which are served
	// within seconds.
	maxEntries = 2048
	// endsKept bounds the ends of one request.
	maxFailuresKept = 8
	// servedFor is for how long an answered request is known as harmless, and servedMost
	// how many are kept, by their fingerprints' last bits, sixteen bytes each. Where all
	// callers of a fleet send the same body and some groups lose their heads at once, innocent
	// requests would be refused without it.
	successTTL   = 30 * time.Second
	successSlots = 1024
)

// End is a server that ended while it had a request.
type Failure struct {
	// Run names one run of the server, in one group.
	Run string
	At  time.Duration
}

// Suspect is what is known of one request.
type Suspect struct {
	Fingerprint Fingerprint
	// Ends are those that count, the oldest first.
	Failures []Failure
	// LiftedAt is when suspicion was last lifted, 0 for never. Ends up to then don't count.
	LiftedAt time.Duration
	// Peak is the most ends that counted at a time, as far as this node knew: who was
	// told of that many must hear that suspicion was lifted.
	Peak int
}

// Verdict is why a request is refused.
type Verdict struct {
	Failures []Failure
	// Left is for how long it will be, if nothing more happens.
	Remaining time.Duration
}

// entry is a Suspect and how often it has changed here.
type suspectEntry struct {
	Suspect
	version uint64
}

func (entry *suspectEntry) lastFailureAt() time.Duration {
	if len(entry.Failures) == 0 {
		return 0
	}
	return entry.Failures[len(entry.Failures)-1].At
}

// List is the requests under which servers ended, as far as this node knows.
type List struct {
	now              clock.Now
	failureThreshold int
	failureTTL       time.Duration

	// known and refused count entries, so that a node on which no server ended
	// spends nothing on a request.
	entryCount       atomic.Int32
	quarantinedCount atomic.Int32

	successesMu sync.Mutex
	successes   [successSlots]success

	stallsMu sync.Mutex
	stalls   []stall

	mu      sync.Mutex
	entries map[Fingerprint]*suspectEntry
	version uint64
}

// served is a request that was answered whole.
type success struct {
	fingerprint Fingerprint
	at          time.Duration
}

// Option changes how a List is built.
type Option func(*List)

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(list *List) { list.now = now }
}

// Ends sets under how many ends of servers a request is refused.
func FailureThreshold(most int) Option {
	return func(list *List) { list.failureThreshold = most }
}

// Remembered sets for how long an end counts.
func FailureTTL(span time.Duration) Option {
	return func(list *List) { list.failureTTL = span }
}

// New returns an empty list.
func New(options ...Option) *List {
	list := &List{now: clock.Boot, failureThreshold: defaultFailureThreshold, failureTTL: defaultFailureTTL, entries: map[Fingerprint]*suspectEntry{}}
	for _, option := range options {
		option(list)
	}
	return list
}

// Ended notes that a run of a server ended under a request, and returns how many did.
// News says that it wasn't known. A request that was answered here a moment ago is not
// to blame.
func (list *List) RecordFailure(fingerprint Fingerprint, run string) (ends int, news bool) {
	now := list.now()
	if list.succeededRecently(fingerprint, now) {
		return 0, false
	}
	news = list.Merge(Suspect{Fingerprint: fingerprint, Failures: []Failure{{Run: run, At: now}}})
	list.mu.Lock()
	defer list.mu.Unlock()
	if held, known := list.entries[fingerprint]; known {
		ends = len(held.Failures)
	}
	return ends, news
}

// Served notes that a request was answered whole, which lifts suspicion. It says whether
// there was any.
func (list *List) RecordSuccess(fingerprint Fingerprint) bool {
	list.successesMu.Lock()
	list.successes[fingerprint%successSlots] = success{fingerprint: fingerprint, at: list.now()}
	list.successesMu.Unlock()
	if list.entryCount.Load() == 0 {
		return false
	}
	list.mu.Lock()
	held, known := list.entries[fingerprint]
	suspected := known && len(held.Failures) > 0 && !slices.ContainsFunc(held.Failures, byOperator)
	list.mu.Unlock()
	return suspected && list.Lift(fingerprint)
}

func (list *List) succeededRecently(fingerprint Fingerprint, now time.Duration) bool {
	list.successesMu.Lock()
	defer list.successesMu.Unlock()
	held := list.successes[fingerprint%successSlots]
	return held.fingerprint == fingerprint && held.at > 0 && now-held.at < successTTL
}

// Lift ends all suspicion of a request, and says whether that is news.
func (list *List) Lift(fingerprint Fingerprint) bool {
	return list.Merge(Suspect{Fingerprint: fingerprint, LiftedAt: list.now()})
}

// operatorRun begins the names of ends that an operator stated, of which no server
// ended. An answer that was under way when the operator decided doesn't lift them.
const operatorRunPrefix = "operator/"

func byOperator(end Failure) bool {
	return strings.HasPrefix(end.Run, operatorRunPrefix)
}

// Refuse makes a request be refused, as an operator decides, and says whether that is
// news.
func (list *List) Quarantine(fingerprint Fingerprint) bool {
	told := Suspect{Fingerprint: fingerprint}
	for number := range list.failureThreshold {
		told.Failures = append(told.Failures, Failure{Run: operatorRunPrefix + strconv.Itoa(number+1), At: list.now()})
	}
	return list.Merge(told)
}

// Refuses says whether a request is refused, and why.
func (list *List) Quarantined(fingerprint Fingerprint) (Verdict, bool) {
	if list.quarantinedCount.Load() == 0 {
		return Verdict{}, false
	}
	list.mu.Lock()
	defer list.mu.Unlock()
	held, known := list.entries[fingerprint]
	if !known || len(held.Failures) < list.failureThreshold {
		return Verdict{}, false
	}
	left := held.lastFailureAt() + list.failureTTL - list.now()
	return Verdict{Failures: slices.Clone(held.Failures), Remaining: left}, left > 0
}

// Take adds what another node knows of a request, and says whether any of it is news.
func (list *List) Merge(told Suspect) bool {
	list.mu.Lock()
	defer list.mu.Unlock()
	defer list.updateCountsLocked()
	held, known := list.entries[told.Fingerprint]
	if !known {
		held = &suspectEntry{Suspect: Suspect{Fingerprint: told.Fingerprint}}
	}
	news := told.LiftedAt > held.LiftedAt+sameLiftTolerance || (told.LiftedAt > 0 && held.LiftedAt == 0)
	held.LiftedAt = max(held.LiftedAt, told.LiftedAt)
	for _, end := range told.Failures {
		news = list.addFailure(held, end) || news
	}
	held.Peak = max(held.Peak, len(held.Failures))
	before := len(held.Failures)
	held.Failures = slices.DeleteFunc(held.Failures, func(end Failure) bool { return end.At <= held.LiftedAt })
	if !news && len(held.Failures) == before {
		return false
	}
	list.version++
	held.version = list.version
	list.entries[told.Fingerprint] = held
	list.evictLocked()
	return true
}

// add adds an end to an entry unless it is known or counts no more.
func (list *List) addFailure(held *suspectEntry, end Failure) bool {
	if end.At <= held.LiftedAt || list.now()-end.At > list.failureTTL {
		return false
	}
	if slices.ContainsFunc(held.Failures, func(other Failure) bool { return other.Run == end.Run }) {
		return false
	}
	held.Failures = append(held.Failures, end)
	slices.SortFunc(held.Failures, func(one, other Failure) int {
		return cmp.Or(cmp.Compare(one.At, other.At), cmp.Compare(one.Run, other.Run))
	})
	if len(held.Failures) > maxFailuresKept {
		held.Failures = slices.Delete(held.Failures, 0, len(held.Failures)-maxFailuresKept)
	}
	return true
}

// boundLocked forgets the entry with the fewest ends, the oldest of them, when there are
// too many: one that is refused goes last.
func (list *List) evictLocked() {
	if len(list.entries) <= maxEntries {
		return
	}
	var least *suspectEntry
	for _, held := range list.entries {
		if least == nil || len(held.Failures) < len(least.Failures) || (len(held.Failures) == len(least.Failures) && held.version < least.version) {
			least = held
		}
	}
	delete(list.entries, least.Fingerprint)
}

func (list *List) updateCountsLocked() {
	refused := int32(0)
	for _, held := range list.entries {
		if len(held.Failures) >= list.failureThreshold {
			refused++
		}
	}
	list.entryCount.Store(int32(len(list.entries)))
	list.quarantinedCount.Store(refused)
}

// Sweep forgets what is too old to count.
func (list *List) Sweep() {
	if list.entryCount.Load() == 0 {
		return
	}
	now := list.now()
	list.mu.Lock()
	defer list.mu.Unlock()
	defer list.updateCountsLocked()
	for fingerprint, held := range list.entries {
		held.Failures = slices.DeleteFunc(held.Failures, func(end Failure) bool { return now-end.At > list.failureTTL })
		if len(held.Failures) == 0 && now-held.LiftedAt > liftTTL {
			delete(list.entries, fingerprint)
		}
	}
}
