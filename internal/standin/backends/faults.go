package backends

import (
	"time"
)

// Faults are what goes wrong with orders at one server.
type Faults struct {
	// LostAnswers is the share of orders that are carried out and not answered.
	LostAnswers float64
	// Late is the share that are not answered and carried out LateBy later.
	Late   float64
	LateBy time.Duration
}

// Kill ends a server for good, without a word.
func (world *World) Kill(id string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.servers[id].dead = true
}

// End ends a server's process, which breaks its connections off, and starts it again
// after a while.
func (world *World) End(id string, down time.Duration) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.servers[id].dead, world.servers[id].ended = true, true
	time.AfterFunc(down, func() { world.Restart(id) })
}

// Restart ends a server's process and starts it again under its ID: it is in no
// group, has taken no order and seen no term. What lies on its host stays.
func (world *World) Restart(id string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	found := world.servers[id]
	world.settle(found)
	world.servers[id] = &server{
		id: id, domain: found.domain, dataCentre: found.dataCentre, cut: found.cut, staged: found.staged,
		born: found.born + 1 + world.now().Milliseconds(),
	}
}

// Put replaces what lies on a server's host.
func (world *World) Put(id, model string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.servers[id].staged = []string{model}
}

// Drain makes a server announce that it is leaving.
func (world *World) Drain(id string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.servers[id].draining = true
}

// Unlist takes a server's entry out of the registry while it goes on.
func (world *World) Unlist(id string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.servers[id].unlisted = true
}

// Cut cuts a server off from a caller, or mends that.
func (world *World) Cut(id, caller string, cut bool) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.servers[id].cut[caller] = cut
}

// SetFaults switches faults of a server's orders on.
func (world *World) SetFaults(id string, faults Faults) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.servers[id].faults = faults
}
