// Package quarantine decides which requests are no longer sent to any server, because servers fail
// while they run them. A suspect is a whole request, or a part that the prompts of many requests share.
//
// A server fails under a request if the request is in progress on the server at the time of the
// failure. A request that makes each server fail returns again and again: the node retries it, and
// the caller sends it again to any node. One attempt alone does not show whether the request caused
// the failure or something else did. A List therefore records, by request fingerprint, under which
// requests servers failed, and quarantines a request under which several did.
//
// When a server fails, all requests in progress on it fail, and at most one of them is the cause.
// The others can be told apart because they are answered completely in the end, which never happens
// to a request that makes its servers fail. One complete response, given by any node, lifts all
// suspicion. This also protects identical requests of many callers, such as status queries: some of
// them are always answered.
//
// A part is suspected if a server failed before it sent the first event of a request with that part: a server that
// fails under a part fails when it begins to answer. A failure is explained by the suspect with the most failures. Other
// suspects of the same server runs are quarantined only for failures that it does not explain, so that a part
// takes no other parts and no requests with it, once it has failed one more server than they.
//
// Nodes exchange the contents of their lists. Failures accumulate and may be announced any number
// of times: the count is the number of server runs that failed, not the number of calls that broke
// off.
//
// # Usage
//
//	list := quarantine.New()
//	fingerprint := quarantine.NewFingerprint(quarantine.Request{Workspace: workspace, Method: method, Target: target, Body: body})
//	if verdict, quarantined := list.Quarantined(fingerprint); quarantined { ... }
//	list.RecordFailure(quarantine.Subject{Fingerprint: fingerprint}, "i-1/g7/0")
//	list.RecordSuccess(fingerprint)
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
	// defaultFailureThreshold is the number of server failures after which a request is quarantined.
	// One failure may be coincidence. So may a second one when many servers fail at once, because a
	// stream that moved to another server soon breaks off again. A third is rare even then. Each
	// further failure costs a group of servers. Without a threshold one caller could make servers fail
	// for as long as it keeps retrying.
	defaultFailureThreshold = 3
	// defaultFailureTTL is how long a failure counts. Callers retry such a request after seconds or
	// minutes. Afterwards a fault that was fixed in the meantime no longer blocks requests.
	defaultFailureTTL = 10 * time.Minute
	// sameLiftTolerance is the maximum difference between the times that nodes record for the same
	// lift.
	sameLiftTolerance = time.Second
	// maxEntries bounds the list. At about 200 bytes per entry the list stays below half a megabyte.
	// When many servers fail at once, some hundred harmless requests are added. Most of them are
	// answered within seconds.
	maxEntries = 2048
	// answeredPartThreshold is the number of failures after which a part is quarantined that had been answered before.
	// When several parts make servers fail, all parts that their requests share fail with them, and none is answered.
	answeredPartThreshold = 6
	// maxFailuresKept is the maximum number of failures kept per suspect. The failures of a part explain those of
	// other suspects, so it covers what happens until all nodes know of the part.
	maxFailuresKept = 16
	// partSuccessTTL is how long an answered part is known as harmless. Requests with shared parts are answered more
	// often than that, and a part that turns harmful is found out soon after.
	partSuccessTTL = 2 * time.Second
	// answeredGrace delays the quarantine of a request that was answered before its failures, so that another answer can
	// lift the suspicion first. Without the delay harmless requests would be quarantined when all callers of a fleet send the same body
	// and several groups lose their head server at once.
	answeredGrace = 2 * time.Second
	// successTTL is how long a request is known as answered. successSlots is the number of slots for such requests, at
	// sixteen bytes each. A request's slot is given by the last bits of its fingerprint.
	successTTL   = 30 * time.Second
	successSlots = 4096
)

// Failure records that a server failed while a request was in progress on it.
type Failure struct {
	// Run identifies one run of the server in one group.
	Run string
	At  time.Duration
}

// Subject is what a failure may be blamed on: a request, or a part of prompts.
type Subject struct {
	Fingerprint Fingerprint
	Part        bool
}

// Suspect is what a node knows about one request, or about one part of prompts.
type Suspect struct {
	Subject
	// Answered is set if the request, or a request with the part, had been answered within successTTL before a failure.
	Answered bool
	// Failures holds the failures that count, oldest first.
	Failures []Failure
	// LiftedAt is when suspicion was last lifted, 0 for never. Failures up to this time do not count.
	LiftedAt time.Duration
	// Peak is the highest number of failures that counted at the same time, as far as this node knows.
	// Nodes that received an announcement with that many failures must also receive the lift.
	Peak int
}

// Verdict explains why a request is quarantined.
type Verdict struct {
	Failures []Failure
	// Remaining is the remaining time of the quarantine if there are no further failures.
	Remaining time.Duration
}

// suspectEntry is a Suspect with the list version of its last change.
type suspectEntry struct {
	Suspect
	version uint64
	// thresholdAt is the time of the failure that reached the threshold, 0 if there are fewer failures. Later failures
	// may push that failure out of the list.
	thresholdAt time.Duration
}

func (entry *suspectEntry) lastFailureAt() time.Duration {
	if len(entry.Failures) == 0 {
		return 0
	}
	return entry.Failures[len(entry.Failures)-1].At
}

// List holds the requests under which servers failed, as far as this node knows.
type List struct {
	now              clock.Now
	failureThreshold int
	failureTTL       time.Duration

	// entryCount and quarantinedCount let a node without recorded failures skip the lookup for each
	// request.
	entryCount       atomic.Int32
	quarantinedCount atomic.Int32

	successesMu sync.Mutex
	successes   [successSlots]success

	stallsMu sync.Mutex
	stalls   []stall

	mu      sync.Mutex
	entries map[Fingerprint]*suspectEntry
	version uint64
	// quarantined holds the suspects with enough failures that no other suspect explains.
	quarantined map[Fingerprint]struct{}
}

// success is a request that was answered completely.
type success struct {
	fingerprint Fingerprint
	at          time.Duration
}

// Option configures a List.
type Option func(*List)

// Clock sets the time source.
func Clock(now clock.Now) Option {
	return func(list *List) { list.now = now }
}

// FailureThreshold sets the number of server failures after which a request is quarantined.
func FailureThreshold(threshold int) Option {
	return func(list *List) { list.failureThreshold = threshold }
}

// FailureTTL sets how long a failure counts.
func FailureTTL(ttl time.Duration) Option {
	return func(list *List) { list.failureTTL = ttl }
}

// New returns an empty list.
func New(options ...Option) *List {
	list := &List{now: clock.Boot, failureThreshold: defaultFailureThreshold, failureTTL: defaultFailureTTL, entries: map[Fingerprint]*suspectEntry{}}
	for _, option := range options {
		option(list)
	}
	return list
}

// RecordFailure records that a server run failed under a subject. It returns the number of failures that count, and
// whether this one is new. The failure is ignored if a request with the part was answered on this node within
// partSuccessTTL.
func (list *List) RecordFailure(subject Subject, run string) (failures int, changed bool) {
	return list.RecordPastFailure(subject, run, list.now())
}

// RecordPastFailure records a failure that was not known to be one when it happened, like RecordFailure. The failure is
// ignored, too, if the request, or one with the part, was answered on this node since.
func (list *List) RecordPastFailure(subject Subject, run string, at time.Duration) (failures int, changed bool) {
	ttl := list.now() - at
	if subject.Part {
		ttl += partSuccessTTL
	}
	if list.succeededWithin(subject.Fingerprint, list.now(), ttl) {
		return 0, false
	}
	changed = list.Merge(Suspect{Subject: subject, Failures: []Failure{{Run: run, At: at}}})
	list.mu.Lock()
	defer list.mu.Unlock()
	if entry, known := list.entries[subject.Fingerprint]; known {
		failures = len(entry.Failures)
	}
	return failures, changed
}

// NearlyQuarantined reports whether one more failure would quarantine a suspect.
func (list *List) NearlyQuarantined(fingerprint Fingerprint) bool {
	if list.entryCount.Load() == 0 {
		return false
	}
	list.mu.Lock()
	defer list.mu.Unlock()
	entry, known := list.entries[fingerprint]
	return known && len(entry.Failures) >= list.threshold(entry)-1
}

// threshold returns the number of failures after which a suspect is quarantined.
func (list *List) threshold(entry *suspectEntry) int {
	if entry.Part && entry.Answered && !slices.ContainsFunc(entry.Failures, byOperator) {
		return answeredPartThreshold
	}
	return list.failureThreshold
}

// RecordSuccess records that a request was answered completely, which lifts suspicion. It reports
// whether there was any suspicion.
func (list *List) RecordSuccess(fingerprint Fingerprint) bool {
	list.successesMu.Lock()
	list.successes[fingerprint%successSlots] = success{fingerprint: fingerprint, at: list.now()}
	list.successesMu.Unlock()
	if list.entryCount.Load() == 0 {
		return false
	}
	list.mu.Lock()
	entry, known := list.entries[fingerprint]
	suspected := known && len(entry.Failures) > 0 && !slices.ContainsFunc(entry.Failures, byOperator)
	list.mu.Unlock()
	return suspected && list.Lift(fingerprint)
}

func (list *List) succeededWithin(fingerprint Fingerprint, now, ttl time.Duration) bool {
	list.successesMu.Lock()
	defer list.successesMu.Unlock()
	latest := list.successes[fingerprint%successSlots]
	return latest.fingerprint == fingerprint && latest.at > 0 && now-latest.at < ttl
}

// Lift lifts all suspicion from a request and reports whether that changed the list.
func (list *List) Lift(fingerprint Fingerprint) bool {
	return list.Merge(Suspect{Subject: Subject{Fingerprint: fingerprint}, LiftedAt: list.now()})
}

// operatorRunPrefix starts the run names of failures that stand for an operator's decision. No
// server failed for these. A response that was already in progress at the time of the decision does
// not lift them.
const operatorRunPrefix = "operator/"

func byOperator(failure Failure) bool {
	return strings.HasPrefix(failure.Run, operatorRunPrefix)
}

// Quarantine quarantines a request by an operator's decision and reports whether that changed the
// list.
func (list *List) Quarantine(fingerprint Fingerprint) bool {
	suspect := Suspect{Subject: Subject{Fingerprint: fingerprint}}
	for number := range list.failureThreshold {
		suspect.Failures = append(suspect.Failures, Failure{Run: operatorRunPrefix + strconv.Itoa(number+1), At: list.now()})
	}
	return list.Merge(suspect)
}

// Quarantined reports whether a request is quarantined, and why.
func (list *List) Quarantined(fingerprint Fingerprint) (Verdict, bool) {
	if list.quarantinedCount.Load() == 0 {
		return Verdict{}, false
	}
	list.mu.Lock()
	defer list.mu.Unlock()
	if _, quarantined := list.quarantined[fingerprint]; !quarantined {
		return Verdict{}, false
	}
	entry, now := list.entries[fingerprint], list.now()
	if list.inGrace(entry, now) {
		return Verdict{}, false
	}
	remaining := entry.lastFailureAt() + list.failureTTL - now
	return Verdict{Failures: slices.Clone(entry.Failures), Remaining: remaining}, remaining > 0
}

// inGrace reports whether a quarantined request may still be answered, see answeredGrace.
func (list *List) inGrace(entry *suspectEntry, now time.Duration) bool {
	if entry.Part || !entry.Answered || slices.ContainsFunc(entry.Failures, byOperator) {
		return false
	}
	return now < entry.thresholdAt+answeredGrace
}

// Merge adds what another node knows about a request and reports whether that changed the list.
func (list *List) Merge(suspect Suspect) bool {
	list.mu.Lock()
	defer list.mu.Unlock()
	defer list.updateCountsLocked()
	entry, known := list.entries[suspect.Fingerprint]
	if !known {
		entry = &suspectEntry{Suspect: Suspect{Subject: suspect.Subject}}
	}
	entry.Part = entry.Part || suspect.Part
	entry.Answered = entry.Answered || suspect.Answered || list.succeededWithin(suspect.Fingerprint, list.now(), successTTL)
	changed := suspect.LiftedAt > entry.LiftedAt+sameLiftTolerance || (suspect.LiftedAt > 0 && entry.LiftedAt == 0)
	entry.LiftedAt = max(entry.LiftedAt, suspect.LiftedAt)
	for _, failure := range suspect.Failures {
		changed = list.addFailure(entry, failure) || changed
	}
	entry.Peak = max(entry.Peak, len(entry.Failures))
	if now := list.now(); changed && entry.Part && !slices.ContainsFunc(entry.Failures, byOperator) && list.succeededWithin(entry.Fingerprint, now, partSuccessTTL) {
		// Another node reports a failure under a part that this node knows as harmless.
		entry.LiftedAt = now
	}
	before := len(entry.Failures)
	entry.Failures = slices.DeleteFunc(entry.Failures, func(failure Failure) bool { return failure.At <= entry.LiftedAt })
	if !changed && len(entry.Failures) == before {
		return false
	}
	list.version++
	entry.version = list.version
	list.entries[suspect.Fingerprint] = entry
	list.evictLocked()
	return true
}

// addFailure adds a failure to an entry unless the failure is already known, expired or lifted.
func (list *List) addFailure(entry *suspectEntry, failure Failure) bool {
	if failure.At <= entry.LiftedAt || list.now()-failure.At > list.failureTTL {
		return false
	}
	if slices.ContainsFunc(entry.Failures, func(other Failure) bool { return other.Run == failure.Run }) {
		return false
	}
	entry.Failures = append(entry.Failures, failure)
	slices.SortFunc(entry.Failures, func(a, b Failure) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Run, b.Run))
	})
	if len(entry.Failures) > maxFailuresKept {
		entry.Failures = slices.Delete(entry.Failures, 0, len(entry.Failures)-maxFailuresKept)
	}
	return true
}

// evictLocked removes the entry with the fewest failures if the list is too long, among equals the
// least recently changed one. Quarantined requests are therefore removed last.
func (list *List) evictLocked() {
	if len(list.entries) <= maxEntries {
		return
	}
	var evicted *suspectEntry
	for _, entry := range list.entries {
		if evicted == nil || len(entry.Failures) < len(evicted.Failures) || (len(entry.Failures) == len(evicted.Failures) && entry.version < evicted.version) {
			evicted = entry
		}
	}
	delete(list.entries, evicted.Fingerprint)
}

func (list *List) updateCountsLocked() {
	candidates := []*suspectEntry{}
	for _, entry := range list.entries {
		if len(entry.Failures) < list.failureThreshold {
			entry.thresholdAt = 0
			continue
		}
		if at := entry.Failures[list.failureThreshold-1].At; entry.thresholdAt == 0 || at < entry.thresholdAt {
			entry.thresholdAt = at
		}
		candidates = append(candidates, entry)
	}
	list.quarantined = list.unexplained(candidates)
	list.entryCount.Store(int32(len(list.entries)))
	list.quarantinedCount.Store(int32(len(list.quarantined)))
}

// unexplained returns the suspects with enough failures that no suspect with more failures explains. Of a request and
// a part with equally many failures the request is the explanation: a harmful part fails under several requests. Parts
// that had been answered before come last.
func (list *List) unexplained(candidates []*suspectEntry) map[Fingerprint]struct{} {
	if len(candidates) == 0 {
		return nil
	}
	rank := func(entry *suspectEntry) int {
		switch {
		case entry.Part && entry.Answered:
			return 1
		case entry.Part:
			return 2 * len(entry.Failures)
		}
		return 2*len(entry.Failures) + 1
	}
	slices.SortFunc(candidates, func(a, b *suspectEntry) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	found, explainedBy := map[Fingerprint]struct{}{}, map[string]int{}
	for _, entry := range candidates {
		remaining := 0
		for _, failure := range entry.Failures {
			if explainedBy[failure.Run] <= rank(entry) || byOperator(failure) {
				remaining++
			}
		}
		if remaining < list.threshold(entry) {
			continue
		}
		found[entry.Fingerprint] = struct{}{}
		for _, failure := range entry.Failures {
			explainedBy[failure.Run] = max(explainedBy[failure.Run], rank(entry))
		}
	}
	return found
}

// Sweep removes expired failures, and entries without failures. A lift is kept for as long as failures count, because a
// node that was cut off may still report failures from before it.
func (list *List) Sweep() {
	if list.entryCount.Load() == 0 {
		return
	}
	now := list.now()
	list.mu.Lock()
	defer list.mu.Unlock()
	defer list.updateCountsLocked()
	for fingerprint, entry := range list.entries {
		entry.Failures = slices.DeleteFunc(entry.Failures, func(failure Failure) bool { return now-failure.At > list.failureTTL })
		switch {
		case len(entry.Failures) > 0:
		case entry.LiftedAt == 0 || now-entry.LiftedAt > list.failureTTL:
			delete(list.entries, fingerprint)
		case now-entry.LiftedAt > successTTL:
			entry.Answered = false
		}
	}
}
