package replica

import (
	"sync"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/fabric"
	"hazelslip/internal/policy/repair"
)

const (
	// defaultLoadTime is the assumed time from forming a group until it serves, before one was observed.
	defaultLoadTime = 30 * time.Second
	// loadTimeSmoothing is the weight of a new observation in the moving average of the load time.
	loadTimeSmoothing = 0.3
)

// observations holds what a controller has observed: how unresponsive servers recover, and how long new groups load.
// It is not persisted; a restarted node begins with the defaults.
type observations struct {
	now clock.Now

	mu       sync.Mutex
	learner  *repair.Learner
	outages  map[string]outage
	formedAt map[uint64]time.Duration
	loadTime time.Duration
}

// outage is a period in which a server does not answer.
type outage struct {
	since       time.Duration
	incarnation uint64
}

func newObservations(now clock.Now) *observations {
	return &observations{
		now: now, learner: repair.NewLearner(), outages: map[string]outage{},
		formedAt: map[uint64]time.Duration{}, loadTime: defaultLoadTime,
	}
}

// recordServers updates the outages with the status of every server of a domain.
func (observations *observations) recordServers(servers []fabric.ServerStatus) {
	observations.mu.Lock()
	defer observations.mu.Unlock()
	for index := range servers {
		server := &servers[index]
		ongoing, unresponsive := observations.outages[server.Address]
		switch {
		case server.UnresponsiveSince != 0 && !unresponsive:
			observations.outages[server.Address] = outage{since: server.UnresponsiveSince, incarnation: server.Report.Incarnation}
		case server.UnresponsiveSince == 0 && unresponsive:
			observations.learner.Observe(server.RequestedAt-ongoing.since, server.Report.Incarnation == ongoing.incarnation)
			delete(observations.outages, server.Address)
		}
	}
}

// recordFormed notes when a group was formed. recordServing, called when the group serves, updates the average load
// time.
func (observations *observations) recordFormed(number uint64) {
	observations.mu.Lock()
	defer observations.mu.Unlock()
	observations.formedAt[number] = observations.now()
}

func (observations *observations) recordServing(number uint64) {
	observations.mu.Lock()
	defer observations.mu.Unlock()
	formedAt, ok := observations.formedAt[number]
	if !ok {
		return
	}
	delete(observations.formedAt, number)
	elapsed := observations.now() - formedAt
	observations.loadTime += time.Duration(loadTimeSmoothing * float64(elapsed-observations.loadTime))
}

// estimates returns the expected recovery of unresponsive servers and the expected load time of a group.
func (observations *observations) estimates() (repair.Recovery, time.Duration) {
	observations.mu.Lock()
	defer observations.mu.Unlock()
	return observations.learner.Recovery(), observations.loadTime
}
