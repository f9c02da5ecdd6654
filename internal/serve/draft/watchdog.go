package draft

import (
	"context"
	"sync"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/route"
)

// watchdog gives up an attempt at a group that has stopped responding, in favour of an attempt at a group that can go on
// with the draft. Silence alone says nothing about the group, since an engine that was paused goes on. A draft that is
// given up while no group can take it over, or without the budget for another attempt, is lost.
type watchdog struct {
	server  *Server
	request route.Request
	group   uint64
	// lastAttempt is set if the draft may make no further attempt.
	lastAttempt bool
	cancel      context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer
	pauses  *clock.PauseDetector
	stopped bool
	// activeAt is when something last arrived, timeout how long the attempt may be silent since.
	activeAt, timeout time.Duration
	// withdrawn is set if the next attempt has been taken from the retry budget.
	withdrawn bool
}

// maxSilence is how much longer than its timeout an attempt may be silent if the draft can't go on elsewhere. Then the
// attempt is given up in any case, because a connection may be dead without being closed.
const maxSilence = resumeWait

// newWatchdog starts a watchdog that waits for the first token of an attempt.
func (job *job) newWatchdog(group uint64, cancel context.CancelFunc) *watchdog {
	server := job.server
	watchdog := &watchdog{
		server: server, request: job.routeRequest(), group: group, lastAttempt: job.attempts >= maxAttempts, cancel: cancel,
		pauses: clock.NewPauseDetector(server.now), activeAt: server.now(), timeout: job.firstTokenTimeout(),
	}
	watchdog.mu.Lock()
	defer watchdog.mu.Unlock()
	watchdog.timer = time.AfterFunc(watchdog.pauses.Schedule(watchdog.timeout), watchdog.expire)
	return watchdog
}

// recordActivity records that something arrived, and how long the attempt may be silent from now on.
func (watchdog *watchdog) recordActivity(timeout time.Duration) {
	watchdog.mu.Lock()
	defer watchdog.mu.Unlock()
	watchdog.activeAt, watchdog.timeout = watchdog.server.now(), timeout
}

// stop ends the watchdog and reports whether the next attempt has been taken from the retry budget.
func (watchdog *watchdog) stop() (withdrawn bool) {
	watchdog.mu.Lock()
	defer watchdog.mu.Unlock()
	watchdog.stopped = true
	watchdog.timer.Stop()
	return watchdog.withdrawn
}

func (watchdog *watchdog) expire() {
	watchdog.mu.Lock()
	defer watchdog.mu.Unlock()
	if watchdog.stopped {
		return
	}
	now := watchdog.server.now()
	if pause := watchdog.pauses.Observe(); pause > 0 {
		watchdog.activeAt = clock.AfterPause(watchdog.activeAt, pause, now)
	}
	next := pickInterval
	switch silence := now - watchdog.activeAt; {
	case silence < watchdog.timeout:
		next = watchdog.timeout - silence
	case silence >= watchdog.timeout+maxSilence:
		watchdog.cancel()
		return
	case watchdog.takeNextAttempt(now):
		watchdog.withdrawn = true
		watchdog.cancel()
		return
	}
	watchdog.timer.Reset(watchdog.pauses.Schedule(next))
}

// takeNextAttempt reports whether another group can go on with the draft, and takes the attempt from the retry budget.
func (watchdog *watchdog) takeNextAttempt(now time.Duration) bool {
	server := watchdog.server
	return !watchdog.lastAttempt && server.router.CanTakeOver(watchdog.request, watchdog.group, watchdog.activeAt, now) && server.retryBudget.TryWithdraw()
}
