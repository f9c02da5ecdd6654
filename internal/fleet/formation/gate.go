package formation

import (
	"sync"
	"time"
)

// gate bounds loads from the weight store: how many run at once, and how many
// begin in any window.
type gate struct {
	now func() time.Duration

	mu      sync.Mutex
	running int
	started []time.Duration
	held    bool
}

// rest notes that this node gives no orders. Whoever gave them may have begun
// loads just now; when this node takes over, it counts half of a window as
// used.
func (gate *gate) rest() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.held = false
}

// begin counts loads for which there is no bound: while nothing was asked of the
// fleet yet, each takes a tenth of its time, however many run.
func (gate *gate) begin(loads int) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.running += loads
}

// fits lets a group through that alone needs more than atOnce.
func (gate *gate) fits(loads, atOnce int) bool {
	return gate.running == 0 || gate.running+loads <= atOnce
}

// take counts loads, or reports false when they would be too many at once or
// in any window.
func (gate *gate) take(loads, atOnce, most int, window time.Duration) bool {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	now := gate.now()
	if !gate.held {
		gate.held = true
		for range most / 2 {
			gate.started = append(gate.started, now)
		}
	}
	kept := gate.started[:0]
	for _, at := range gate.started {
		if now-at < window {
			kept = append(kept, at)
		}
	}
	gate.started = kept
	if len(kept)+loads > most || !gate.fits(loads, atOnce) {
		return false
	}
	for range loads {
		gate.started = append(gate.started, now)
	}
	gate.running += loads
	return true
}

// finish uncounts loads that have ended.
func (gate *gate) finish(loads int) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.running -= loads
}
