package ratelimit

import (
	"math"
	"time"
)

// Response is what one response of a server says about its limit.
type Response struct {
	// HasLimit is set if the response announces a limit. Rate is the limit in requests per second.
	HasLimit bool
	Rate     float64
	// Unreadable is the announced value if it could not be parsed as a limit, otherwise empty.
	Unreadable string
	// Refused is set if the server did not run the request.
	Refused bool
	// SentAt is the time when the request was sent.
	SentAt time.Duration
}

// Change is the effect of a response on the limit.
type Change int

// Effects of a response.
const (
	// Unchanged means that the response contains nothing new.
	Unchanged Change = iota
	Learned
	Changed
	Ended
	// Unreadable means that the response has the first value of this run that could not be parsed.
	Unreadable
)

// HandleResponse updates the limit of a run from a response. A response without a limit ends the
// known limit, with two exceptions. If the request was sent before the latest response that
// announced the limit, its own response may be outdated. If the server refused the request, the
// refusal may come from a component that does not count requests.
func (limits *Limits) HandleResponse(run Run, response Response) Change {
	if !response.HasLimit && response.Unreadable == "" && limits.limitCount.Load() == 0 {
		return Unchanged
	}
	limits.mu.Lock()
	defer limits.mu.Unlock()
	entry := limits.entryLocked(run)
	switch {
	case response.Unreadable != "":
		return limits.countUnreadableLocked(entry)
	case response.HasLimit && !entry.inForce():
		limits.setLocked(Limit{Run: run, Rate: response.Rate, Version: entry.limit.Version + 1, At: limits.now()})
		return Learned
	case response.HasLimit && entry.limit.Rate != response.Rate:
		limits.setLocked(Limit{Run: run, Rate: response.Rate, Version: entry.limit.Version + 1, At: limits.now()})
		return Changed
	case response.HasLimit:
		entry.limit.At = limits.now()
		return Unchanged
	case !entry.inForce() || response.Refused || response.SentAt <= entry.limit.At:
		return Unchanged
	}
	limits.setLocked(Limit{Run: run, Rate: entry.limit.Rate, Version: entry.limit.Version + 1, Ended: true, At: limits.now()})
	return Ended
}

// countUnreadableLocked counts a value that could not be parsed. Only the first such value of a run
// is reported.
func (limits *Limits) countUnreadableLocked(entry *runEntry) Change {
	limits.Counts.Unreadable.Add(1)
	if entry.unreadableReported {
		return Unchanged
	}
	entry.unreadableReported = true
	return Unreadable
}

// MergeResult is the effect of a limit received from another node.
type MergeResult int

// Effects of a received limit.
const (
	// AlreadyKnown means that this node knew the limit.
	AlreadyKnown MergeResult = iota
	// Applied means that the limit replaced the one known to this node.
	Applied
	// Stale means that the received limit is outdated. This node knows a newer one and should announce
	// it.
	Stale
)

// Merge applies a limit received from another node.
func (limits *Limits) Merge(limit Limit) MergeResult {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	return limits.mergeLocked(limit)
}

func (limits *Limits) mergeLocked(limit Limit) MergeResult {
	if !(limit.Rate >= 0) || math.IsInf(limit.Rate, 1) {
		return AlreadyKnown
	}
	entry := limits.entryLocked(limit.Run)
	switch {
	case limit.supersedes(&entry.limit):
		limits.setLocked(limit)
		return Applied
	case entry.limit.supersedes(&limit):
		return Stale
	}
	entry.limit.At = max(entry.limit.At, limit.At)
	return AlreadyKnown
}
