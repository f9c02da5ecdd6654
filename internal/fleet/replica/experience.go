package replica

import (
	"sync"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/fabric"
	"hazelslip/internal/policy/repair"
)

const (
	// assumedLoad is how long a new group is taken to need until it serves,
	// until one was seen.
	assumedLoad = 30 * time.Second
	// loadWeight is the weight of a new sighting.
	loadWeight = 0.3
)

// experience is what a former has seen of servers that come back and of groups
// that load. It is not kept: a node that starts assumes, and learns again.
type experience struct {
	now clock.Now

	mu       sync.Mutex
	learner  *repair.Learner
	silences map[string]silence
	formed   map[uint64]time.Duration
	load     time.Duration
}

// silence is a server that does not answer.
type silence struct {
	since       time.Duration
	incarnation uint64
}

func newExperience(now clock.Now) *experience {
	return &experience{
		now: now, learner: repair.NewLearner(), silences: map[string]silence{},
		formed: map[uint64]time.Duration{}, load: assumedLoad,
	}
}

// see takes the state of every server of a domain.
func (experience *experience) see(servers []fabric.Fact) {
	experience.mu.Lock()
	defer experience.mu.Unlock()
	for index := range servers {
		fact := &servers[index]
		known, silent := experience.silences[fact.Address]
		switch {
		case fact.FirstMissed != 0 && !silent:
			experience.silences[fact.Address] = silence{since: fact.FirstMissed, incarnation: fact.Report.Incarnation}
		case fact.FirstMissed == 0 && silent:
			experience.learner.Observe(fact.At-known.since, fact.Report.Incarnation == known.incarnation)
			delete(experience.silences, fact.Address)
		}
	}
}

// began notes that a group was ordered, serves that it is complete.
func (experience *experience) began(number uint64) {
	experience.mu.Lock()
	defer experience.mu.Unlock()
	experience.formed[number] = experience.now()
}

func (experience *experience) serves(number uint64) {
	experience.mu.Lock()
	defer experience.mu.Unlock()
	began, ok := experience.formed[number]
	if !ok {
		return
	}
	delete(experience.formed, number)
	took := experience.now() - began
	experience.load += time.Duration(loadWeight * float64(took-experience.load))
}

// expected returns how servers come back and how long a group loads.
func (experience *experience) expected() (repair.Recovery, time.Duration) {
	experience.mu.Lock()
	defer experience.mu.Unlock()
	return experience.learner.Recovery(), experience.load
}
