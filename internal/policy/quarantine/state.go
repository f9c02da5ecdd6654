package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Suspect returns what is known about a request.
func (list *List) Suspect(fingerprint Fingerprint) (Suspect, bool) {
	list.mu.Lock()
	defer list.mu.Unlock()
	entry, known := list.entries[fingerprint]
	if !known {
		return Suspect{}, false
	}
	return entry.snapshot(), true
}

// IsPart reports whether a suspect is a part of prompts.
func (list *List) IsPart(fingerprint Fingerprint) bool {
	list.mu.Lock()
	defer list.mu.Unlock()
	entry, known := list.entries[fingerprint]
	return known && entry.Part
}

func (entry *suspectEntry) snapshot() Suspect {
	return Suspect{Subject: entry.Subject, Answered: entry.Answered, Failures: slices.Clone(entry.Failures), LiftedAt: entry.LiftedAt, Peak: entry.Peak}
}

// Suspects returns the requests that changed after the given version of the list and whose peak is
// at least minPeak, the most recently changed last. It also returns the current version of the
// list.
func (list *List) Suspects(minPeak int, afterVersion uint64) ([]Suspect, uint64) {
	list.mu.Lock()
	defer list.mu.Unlock()
	found := []*suspectEntry{}
	for _, entry := range list.entries {
		if entry.version > afterVersion && entry.Peak >= minPeak {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(a, b *suspectEntry) int { return cmp.Compare(a.version, b.version) })
	suspects := make([]Suspect, 0, len(found))
	for _, entry := range found {
		suspects = append(suspects, entry.snapshot())
	}
	return suspects, list.version
}

// HasRecentFailure reports whether a server failed within the last span under a request with at
// least minFailures failures.
func (list *List) HasRecentFailure(minFailures int, span time.Duration) bool {
	if list.entryCount.Load() == 0 {
		return false
	}
	list.mu.Lock()
	defer list.mu.Unlock()
	for _, entry := range list.entries {
		if len(entry.Failures) >= minFailures && list.now()-entry.lastFailureAt() < span {
			return true
		}
	}
	return false
}

// State describes a suspected request in the state dump.
type State struct {
	Fingerprint string
	// Refused is set if the suspect is quarantined.
	Refused bool
	// Part is set for a part of prompts.
	Part bool
	// Ends holds the runs of the servers that failed under the request.
	Ends []string
	// LastEndMilliseconds is the time since the latest failure.
	LastEndMilliseconds int64
}

// State returns the requests with at least one failure and no complete response since, sorted by
// descending number of failures.
func (list *List) State() []State {
	list.mu.Lock()
	defer list.mu.Unlock()
	states := []State{}
	for _, entry := range list.entries {
		if len(entry.Failures) == 0 {
			continue
		}
		_, quarantined := list.quarantined[entry.Fingerprint]
		state := State{
			Fingerprint: entry.Fingerprint.String(), Part: entry.Part, Refused: quarantined && !list.inGrace(entry, list.now()),
			LastEndMilliseconds: (list.now() - entry.lastFailureAt()).Milliseconds(),
		}
		for _, failure := range entry.Failures {
			state.Ends = append(state.Ends, failure.Run)
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b State) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return states
}
