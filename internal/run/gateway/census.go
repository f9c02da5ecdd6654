package gateway

import (
	"sync"
	"time"
)

const (
	// censusKept is how long a count of nodes holds: nodes that went away may have
	// spent their parts of a budget within its window, and a node that is cut off from
	// the others must not take their parts for its own.
	censusKept = 60 * time.Second
	// censusSlot is over how long the highest count is taken together.
	censusSlot = 5 * time.Second
	// censusStart is what a node counts that has just started and heard of nobody: so
	// many that it has next to no fixed part of a budget until it knows better.
	censusStart = 100
	// censusAlone is after which time a node that has heard of nobody is alone.
	censusAlone = 5 * time.Second
)

// census counts the nodes of the fleet, as the most that were known of lately.
type census struct {
	mu      sync.Mutex
	slots   [censusKept / censusSlot]int
	slot    int64
	started time.Duration
	known   bool
}

// note takes a count.
func (census *census) note(nodes int, now time.Duration) {
	census.mu.Lock()
	defer census.mu.Unlock()
	if !census.known {
		census.known, census.started = true, now
	}
	census.forget(now)
	at := &census.slots[census.slot%int64(len(census.slots))]
	*at = max(*at, nodes)
}

// forget clears the slots that have begun anew since the last count.
func (census *census) forget(now time.Duration) {
	slot := int64(now / censusSlot)
	if slot-census.slot >= int64(len(census.slots)) {
		clear(census.slots[:])
	}
	for ; census.slot < slot && slot-census.slot < int64(len(census.slots)); census.slot++ {
		census.slots[(census.slot+1)%int64(len(census.slots))] = 0
	}
	census.slot = slot
}

// most is the highest count that was taken lately.
func (census *census) most(now time.Duration) int {
	census.mu.Lock()
	defer census.mu.Unlock()
	census.forget(now)
	most := 1
	for _, count := range census.slots {
		most = max(most, count)
	}
	if most == 1 && (!census.known || now-census.started < censusAlone) {
		return censusStart
	}
	return most
}

// nodes is how many nodes share the fleet's budgets, this one included.
func (peers *peers) nodes() int {
	return peers.census.most(peers.node.now())
}

// noteNodes takes a count of nodes, this one included.
func (peers *peers) noteNodes(nodes int, now time.Duration) {
	peers.census.note(nodes, now)
	peers.counted.Store(int64(nodes))
}

// count is how many nodes there are now by what this one hears, itself included.
func (peers *peers) count() int {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	return peers.sumsLocked().nodes
}
