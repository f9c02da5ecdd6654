package notice

import (
	"cmp"
	"slices"
	"time"

	"hazelslip/internal/policy/ratelimit"
)

// State is what a server has said of itself, in the state dump.
type State struct {
	Server string
	// BackoffMilliseconds is what is left of its backoff, 0 once that has passed, of the
	// AskedMilliseconds that it asked for AskedMillisecondsAgo.
	BackoffMilliseconds  int64
	AskedMilliseconds    int64
	AskedMillisecondsAgo int64
	// HintMilliseconds is what is left of backoffs that it asked of any node.
	HintMilliseconds int64
	// Untried says that the backoff has passed and that no call has been taken since.
	Untried bool
	// DrainingMilliseconds is how long ago it said that it is draining, -1 if it didn't.
	DrainingMilliseconds int64
}

// State returns the servers that ask for a backoff or are draining, by server.
func (notices *Notices) State() []State {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	now := notices.now()
	states := []State{}
	for id, held := range notices.servers {
		hint := time.Duration(held.hintUntil.Load()) - now
		state := State{Server: id, DrainingMilliseconds: -1, HintMilliseconds: max(0, hint).Milliseconds()}
		if until := time.Duration(held.backoffUntil.Load()); until != 0 {
			state.BackoffMilliseconds, state.Untried = max(0, until-now).Milliseconds(), until <= now
			state.AskedMilliseconds, state.AskedMillisecondsAgo = held.requestedSpan.Milliseconds(), (now - held.requestedAt).Milliseconds()
		}
		for _, one := range held.runs {
			if one.draining.Load() {
				state.DrainingMilliseconds = max(state.DrainingMilliseconds, (now - one.drainingSince).Milliseconds())
			}
		}
		if state.AskedMilliseconds > 0 || state.HintMilliseconds > 0 || state.DrainingMilliseconds >= 0 {
			states = append(states, state)
		}
	}
	slices.SortFunc(states, func(one, other State) int { return cmp.Compare(one.Server, other.Server) })
	return states
}

// Sweep forgets what doesn't count any more, and returns the servers whose backoff was
// forgotten since no call had tried them.
func (notices *Notices) Sweep(used func(key ratelimit.Run) bool) []string {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	now := notices.now()
	untried := []string{}
	for id, held := range notices.servers {
		if until := time.Duration(held.backoffUntil.Load()); until != 0 && now >= until+untriedBackoffTTL {
			held.backoffUntil.Store(0)
			held.probeSentAt.Store(0)
			untried = append(untried, id)
		}
		for born, one := range held.runs {
			if used(ratelimit.Run{Server: id, Born: born}) {
				one.lastUsedAt = now
			}
			if one.expired(now) {
				delete(held.runs, born)
			}
		}
		if len(held.runs) == 0 && held.backoffUntil.Load() == 0 {
			delete(notices.servers, id)
		}
	}
	slices.Sort(untried)
	return untried
}

// unusedKept is how long a run is remembered for which nothing stands: a target may just
// have been made for it.
const unusedRunTTL = 2 * time.Second

func (run *run) expired(now time.Duration) bool {
	kept := unusedRunTTL
	if run.draining.Load() {
		kept = drainTTL
	}
	return now-run.lastUsedAt > kept
}
