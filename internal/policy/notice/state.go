package notice

import (
	"cmp"
	"slices"
	"time"

	"hazelslip/internal/policy/ratelimit"
)

// State describes the backoff and drain of a server in the state dump.
type State struct {
	Server string
	// BackoffMilliseconds is the remaining backoff, 0 once the backoff has ended. AskedMilliseconds is
	// the requested duration, and AskedMillisecondsAgo the time since the request.
	BackoffMilliseconds  int64
	AskedMilliseconds    int64
	AskedMillisecondsAgo int64
	// HintMilliseconds is the remaining time of backoffs that the server requested from any node.
	HintMilliseconds int64
	// Untried is set if the backoff has ended and the server has not accepted a call since.
	Untried bool
	// DrainingMilliseconds is the time since the server announced a drain, -1 if there is no drain.
	DrainingMilliseconds int64
}

// State returns the servers with a backoff or a drain, sorted by server.
func (notices *Notices) State() []State {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	now := notices.now()
	states := []State{}
	for id, server := range notices.servers {
		hint := time.Duration(server.hintUntil.Load()) - now
		state := State{Server: id, DrainingMilliseconds: -1, HintMilliseconds: max(0, hint).Milliseconds()}
		if until := time.Duration(server.backoffUntil.Load()); until != 0 {
			state.BackoffMilliseconds, state.Untried = max(0, until-now).Milliseconds(), until <= now
			state.AskedMilliseconds, state.AskedMillisecondsAgo = server.requestedSpan.Milliseconds(), (now - server.requestedAt).Milliseconds()
		}
		for _, run := range server.runs {
			if run.draining.Load() {
				state.DrainingMilliseconds = max(state.DrainingMilliseconds, (now - run.drainingSince).Milliseconds())
			}
		}
		if state.AskedMilliseconds > 0 || state.HintMilliseconds > 0 || state.DrainingMilliseconds >= 0 {
			states = append(states, state)
		}
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Server, b.Server) })
	return states
}

// Sweep removes outdated state. It returns the servers whose backoff was removed without a call
// that tried the server after the backoff.
func (notices *Notices) Sweep(used func(run ratelimit.Run) bool) []string {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	now := notices.now()
	expired := []string{}
	for id, server := range notices.servers {
		if until := time.Duration(server.backoffUntil.Load()); until != 0 && now >= until+untriedBackoffTTL {
			server.backoffUntil.Store(0)
			server.probeSentAt.Store(0)
			expired = append(expired, id)
		}
		for born, run := range server.runs {
			if used(ratelimit.Run{Server: id, Born: born}) {
				run.lastUsedAt = now
			}
			if run.expired(now) {
				delete(server.runs, born)
			}
		}
		if len(server.runs) == 0 && server.backoffUntil.Load() == 0 {
			delete(notices.servers, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// unusedRunTTL is how long the state of an unused run is kept. A target for the run may just have
// been created.
const unusedRunTTL = 2 * time.Second

func (run *runState) expired(now time.Duration) bool {
	ttl := unusedRunTTL
	if run.draining.Load() {
		ttl = drainTTL
	}
	return now-run.lastUsedAt > ttl
}
