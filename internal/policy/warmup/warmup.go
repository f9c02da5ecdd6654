// Package warmup limits the requests that all nodes together send to a cold backend server.
//
// A server that has just started, or has come out of a drain, handles only some requests per second and crashes under
// many more. It stays cold only for seconds, which is too short to lend and return permits for it. So each node takes
// a share of the bound by the number of nodes. In a small fleet a share is some requests per second. In a large fleet
// it is less than one, so a random draw gives each node either one request or none: the shares of all nodes add up to
// the bound on average, and the part of the bound that is held back is many times the spread of the draws.
//
// ColdTable records which servers are cold, as reported by the servers themselves.
//
// # Usage
//
//	bound := warmup.Bound{PerSecond: 26, Overshoot: 1.5, Tolerance: 5}
//	limit := bound.NodeLimit(nodes, rendezvous.UnitHash(server, incarnation))
//	if limiter.Allow(now, limit) { ... }
package warmup

import (
	"sync"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/ratelimit"
)

// Bound limits the requests per second that one cold server may receive: PerSecond times Overshoot, plus Tolerance.
// The zero value is no limit.
type Bound struct {
	PerSecond, Overshoot, Tolerance float64
}

const (
	// usedShare is the fraction of a bound that all nodes use together. The rest is held back because requests that
	// are written late arrive together with later ones.
	usedShare = 0.6
	// drawnShare replaces usedShare where nodes draw their share. It is smaller because more nodes may win the draw
	// than expected.
	drawnShare = 0.4
)

// Enabled reports whether requests to cold servers are limited at all.
func (bound Bound) Enabled() bool {
	return bound.PerSecond > 0
}

// NodeLimit returns how many requests per second one of the given number of nodes may send to a cold server. The draw
// is the node's random number for that server, in [0, 1).
func (bound Bound) NodeLimit(nodes int, draw float64) int {
	total := max(bound.PerSecond, bound.PerSecond*bound.Overshoot+bound.Tolerance)
	perNode := total / float64(max(1, nodes))
	if share := usedShare * perNode; share >= 1 {
		return int(share)
	}
	if draw < drawnShare*perNode {
		return 1
	}
	return 0
}

// window is the span over which requests are counted: the second of the bound, plus the difference in delay between
// calls of one node.
const window = 1050 * time.Millisecond

// Limiter limits the requests of one node to one run of a server.
type Limiter struct {
	mu     sync.Mutex
	sentAt []time.Duration
}

// Allow lets a request through, and counts it, if fewer than limit requests were sent within the window.
func (limiter *Limiter) Allow(now time.Duration, limit int) bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if limiter.countLocked(now) >= limit {
		return false
	}
	limiter.sentAt = append(limiter.sentAt, now)
	return true
}

// WouldAllow reports whether Allow would let a request through.
func (limiter *Limiter) WouldAllow(now time.Duration, limit int) bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.countLocked(now) < limit
}

func (limiter *Limiter) countLocked(now time.Duration) int {
	expired := 0
	for expired < len(limiter.sentAt) && now-limiter.sentAt[expired] >= window {
		expired++
	}
	limiter.sentAt = limiter.sentAt[expired:]
	return len(limiter.sentAt)
}

// ColdTable records which runs of servers are cold.
type ColdTable struct {
	now clock.Now

	mu        sync.Mutex
	coldUntil map[ratelimit.Run]time.Duration
}

// NewColdTable returns an empty table.
func NewColdTable(now clock.Now) *ColdTable {
	return &ColdTable{now: now, coldUntil: map[ratelimit.Run]time.Duration{}}
}

// Update records how long a server reports that it stays cold; 0 means that it is warm.
func (coldTable *ColdTable) Update(run ratelimit.Run, remaining time.Duration) {
	coldTable.mu.Lock()
	defer coldTable.mu.Unlock()
	if remaining <= 0 {
		delete(coldTable.coldUntil, run)
		return
	}
	coldTable.coldUntil[run] = coldTable.now() + remaining
}

// IsCold reports whether a server run is cold.
func (coldTable *ColdTable) IsCold(run ratelimit.Run) bool {
	coldTable.mu.Lock()
	defer coldTable.mu.Unlock()
	coldUntil, known := coldTable.coldUntil[run]
	return known && coldTable.now() < coldUntil
}

// Sweep removes the servers that have become warm, and reports whether there were any.
func (coldTable *ColdTable) Sweep() bool {
	coldTable.mu.Lock()
	defer coldTable.mu.Unlock()
	now, before := coldTable.now(), len(coldTable.coldUntil)
	for run, coldUntil := range coldTable.coldUntil {
		if now >= coldUntil {
			delete(coldTable.coldUntil, run)
		}
	}
	return len(coldTable.coldUntil) < before
}
