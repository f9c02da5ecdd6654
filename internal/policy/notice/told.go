package notice

import (
	"time"

	"hazelslip/internal/policy/ratelimit"
)

// Told is what a node tells others of a server.
type Told struct {
	ratelimit.Run
	Draining bool
	// Backoff is what is left of a backoff that the server asked of any node.
	Backoff time.Duration
}

// hintLeast is by how much a hint must grow to be told on: nodes that are refused one after
// the other would each tell all others of it.
const hintLeast = 500 * time.Millisecond

// Take takes what another node tells, and says whether it is news.
func (notices *Notices) Take(told Told) bool {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	held, one := notices.runLocked(told.Run)
	news := notices.hintLocked(held, told.Backoff)
	if news {
		notices.Counts.Hints.Add(1)
	}
	if told.Draining && !one.draining.Swap(true) {
		one.since = notices.now()
		notices.Counts.Drains.Add(1)
		return true
	}
	return news
}

// hintLocked notes a backoff that a server asked of any node, and says whether it is news.
func (notices *Notices) hintLocked(held *server, span time.Duration) bool {
	until := notices.now() + min(span, backoffMost)
	if span <= 0 || until < time.Duration(held.elsewhere.Load())+hintLeast {
		return false
	}
	held.elsewhere.Store(int64(until))
	return true
}

// Told returns what others are to be told of a run, and whether that is anything.
func (notices *Notices) Told(key ratelimit.Run) (Told, bool) {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	held, one := notices.runLocked(key)
	left := time.Duration(held.elsewhere.Load()) - notices.now()
	told := Told{Run: key, Draining: one.draining.Load(), Backoff: max(0, left)}
	return told, told.Draining || told.Backoff > 0
}

// All returns the runs of which others are to be told something.
func (notices *Notices) All() []ratelimit.Run {
	notices.mu.Lock()
	defer notices.mu.Unlock()
	now := notices.now()
	all := []ratelimit.Run{}
	for id, held := range notices.servers {
		for born, one := range held.runs {
			if one.draining.Load() || time.Duration(held.elsewhere.Load()) > now {
				all = append(all, ratelimit.Run{Server: id, Born: born})
			}
		}
	}
	return all
}

// Hinted says whether the server asked any node for a backoff that lasts.
func (record *Record) Hinted(now time.Duration) bool {
	until := record.server.elsewhere.Load()
	return until != 0 && time.Duration(until) > now
}
