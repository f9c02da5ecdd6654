package formation

import (
	"slices"
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

// quietLag is how long after the first request a node may still believe that there
// was none: nodes tell each other ten times a second.
const quietLag = 400 * time.Millisecond

// begin counts loads before the first request, or reports false when so many have
// begun just now that, if the first request has come meanwhile, they would break
// the bound on loads. However many run, each takes a tenth of its time.
func (gate *gate) begin(loads, most int) bool {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.held = true
	gate.started = gate.within(quietLag)
	if len(gate.started)+loads > most && len(gate.started) > 0 {
		return false
	}
	gate.note(loads)
	return true
}

// within returns the loads that began within a span.
func (gate *gate) within(span time.Duration) []time.Duration {
	now := gate.now()
	return slices.DeleteFunc(gate.started, func(at time.Duration) bool { return now-at >= span })
}

func (gate *gate) note(loads int) {
	now := gate.now()
	for range loads {
		gate.started = append(gate.started, now)
	}
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
	gate.started = gate.within(window)
	if len(gate.started)+loads > most || !gate.fits(loads, atOnce) {
		return false
	}
	gate.note(loads)
	return true
}

// finish uncounts loads that have ended.
func (gate *gate) finish(loads int) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.running -= loads
}
