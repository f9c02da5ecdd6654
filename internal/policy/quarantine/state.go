package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Suspect returns what is known of a request.
func (list *List) Suspect(fingerprint Fingerprint) (Suspect, bool) {
	list.mu.Lock()
	defer list.mu.Unlock()
	held, known := list.entries[fingerprint]
	if !known {
		return Suspect{}, false
	}
	return held.snapshot(), true
}

func (entry *suspectEntry) snapshot() Suspect {
	return Suspect{Fingerprint: entry.Fingerprint, Failures: slices.Clone(entry.Failures), LiftedAt: entry.LiftedAt, Peak: entry.Peak}
}

// Suspects returns the requests under which at least so many servers ended at a time,
// those that changed last at the end, and the version of the list that they are of. Only
// what changed after a version of this list is returned.
func (list *List) Suspects(least int, after uint64) ([]Suspect, uint64) {
	list.mu.Lock()
	defer list.mu.Unlock()
	found := []*suspectEntry{}
	for _, held := range list.entries {
		if held.version > after && held.Peak >= least {
			found = append(found, held)
		}
	}
	slices.SortFunc(found, func(one, other *suspectEntry) int { return cmp.Compare(one.version, other.version) })
	suspects := make([]Suspect, 0, len(found))
	for _, held := range found {
		suspects = append(suspects, held.snapshot())
	}
	return suspects, list.version
}

// Fresh says whether a server ended within a span under a request under which at least
// so many did.
func (list *List) HasRecentFailure(least int, span time.Duration) bool {
	if list.entryCount.Load() == 0 {
		return false
	}
	list.mu.Lock()
	defer list.mu.Unlock()
	for _, held := range list.entries {
		if len(held.Failures) >= least && list.now()-held.lastFailureAt() < span {
			return true
		}
	}
	return false
}

// State is a suspected request in the state dump.
type State struct {
	Fingerprint string
	Refused     bool
	// Ends are the runs of servers that ended under it.
	Ends []string
	// LastEndMilliseconds is how long ago the last of them ended.
	LastEndMilliseconds int64
}

// State returns the requests under which at least one server ended and that were not
// answered since, those with most ends first.
func (list *List) State() []State {
	list.mu.Lock()
	defer list.mu.Unlock()
	states := []State{}
	for _, held := range list.entries {
		if len(held.Failures) == 0 {
			continue
		}
		state := State{
			Fingerprint: held.Fingerprint.String(), Refused: len(held.Failures) >= list.failureThreshold,
			LastEndMilliseconds: (list.now() - held.lastFailureAt()).Milliseconds(),
		}
		for _, end := range held.Failures {
			state.Ends = append(state.Ends, end.Run)
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(one, other State) int {
		return cmp.Or(cmp.Compare(len(other.Ends), len(one.Ends)), cmp.Compare(one.Fingerprint, other.Fingerprint))
	})
	return states
}
