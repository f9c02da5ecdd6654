package notice

import (
	"time"

	"hazelslip/internal/policy/ratelimit"
)

// Announcement is what a node announces to other nodes about a server run.
type Announcement struct {
	ratelimit.Run
	Draining bool
	// Backoff is the remaining time of backoffs that the server requested from any node.
	Backoff time.Duration
}

// minHintExtension is the minimum extension of a hint that is announced. Otherwise nodes that are
// refused one after the other would each send an announcement to all nodes.
const minHintExtension = 500 * time.Millisecond

// Merge applies an announcement of another node and reports whether the announcement changed
// anything.
func (notices *Notices) Merge(announcement Announcement) bool {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	server, run := notices.runStateLocked(announcement.Run)
	extended := notices.applyHintLocked(server, announcement.Backoff)
	if extended {
		notices.Counts.Hints.Add(1)
	}
	if announcement.Draining && !run.draining.Swap(true) {
		run.drainingSince = notices.now()
		notices.Counts.Drains.Add(1)
		return true
	}
	return extended
}

// applyHintLocked records a backoff that the server requested from any node and reports whether the
// hint was extended.
func (notices *Notices) applyHintLocked(server *serverState, span time.Duration) bool {
	until := notices.now() + min(span, maxBackoff)
	if span <= 0 || until < time.Duration(server.hintUntil.Load())+minHintExtension {
		return false
	}
	server.hintUntil.Store(int64(until))
	return true
}

// Announcement returns what to announce to other nodes about a run. It returns false if there is
// nothing to announce.
func (notices *Notices) Announcement(id ratelimit.Run) (Announcement, bool) {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	server, run := notices.runStateLocked(id)
	remaining := time.Duration(server.hintUntil.Load()) - notices.now()
	announcement := Announcement{Run: id, Draining: run.draining.Load(), Backoff: max(0, remaining)}
	return announcement, announcement.Draining || announcement.Backoff > 0
}

// RunsToAnnounce returns the runs with a drain or a hint to announce to other nodes.
func (notices *Notices) RunsToAnnounce() []ratelimit.Run {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	now := notices.now()
	all := []ratelimit.Run{}
	for id, server := range notices.servers {
		for born, run := range server.runs {
			if run.draining.Load() || time.Duration(server.hintUntil.Load()) > now {
				all = append(all, ratelimit.Run{Server: id, Born: born})
			}
		}
	}
	return all
}

// HasHint reports whether a backoff that the server requested from any node is in force.
func (record *Record) HasHint(now time.Duration) bool {
	until := record.server.hintUntil.Load()
	return until != 0 && time.Duration(until) > now
}
