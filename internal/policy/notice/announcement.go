package notice

import (
	"time"

	"hazelslip/internal/policy/ratelimit"
)

// Told is what a node tells others of a server.
type Announcement struct {
	ratelimit.Run
	Draining bool
	// Backoff is what is left of a backoff that the server asked of any node.
	Backoff time.Duration
}

// hintLeast is by how much a hint must grow to be told on: nodes that are refused one after
// the other would each tell all others of it.
const minHintExtension = 500 * time.Millisecond

// Take takes what another node tells, and says whether it is news.
func (notices *Notices) Merge(told Announcement) bool {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	held, one := notices.runLocked(told.Run)
	news := notices.hintLocked(held, told.Backoff)
	if news {
		notices.Counts.Hints.Add(1)
	}
	if told.Draining && !one.draining.Swap(true) {
		one.drainingSince = notices.now()
		notices.Counts.Drains.Add(1)
		return true
	}
	return news
}

// hintLocked notes a backoff that a server asked of any node, and says whether it is news.
func (notices *Notices) hintLocked(held *serverState, span time.Duration) bool {
	until := notices.now() + min(span, maxBackoff)
	if span <= 0 || until < time.Duration(held.hintUntil.Load())+minHintExtension {
		return false
	}
	held.hintUntil.Store(int64(until))
	return true
}

// Told returns what others are to be told of a run, and whether that is anything.
func (notices *Notices) Announcement(key ratelimit.Run) (Announcement, bool) {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	held, one := notices.runLocked(key)
	left := time.Duration(held.hintUntil.Load()) - notices.now()
	told := Announcement{Run: key, Draining: one.draining.Load(), Backoff: max(0, left)}
	return told, told.Draining || told.Backoff > 0
}

// All returns the runs of which others are to be told something.
func (notices *Notices) RunsToAnnounce() []ratelimit.Run {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	now := notices.now()
	all := []ratelimit.Run{}
	for id, held := range notices.servers {
		for born, one := range held.runs {
			if one.draining.Load() || time.Duration(held.hintUntil.Load()) > now {
				all = append(all, ratelimit.Run{Server: id, Born: born})
			}
		}
	}
	return all
}

// Hinted says whether the server asked any node for a backoff that lasts.
func (record *Record) HasHint(now time.Duration) bool {
	until := record.server.hintUntil.Load()
	return until != 0 && time.Duration(until) > now
}
