package replica

import (
	"strings"
	"sync"
	"time"
)

// AvailabilityMeter accumulates, as one node sees them, the seconds in which groups did not serve and the seconds in
// which healthy servers were idle. The former are kept by model and cause, the latter by fabric domain.
type AvailabilityMeter struct {
	mu         sync.Mutex
	lastAdd    time.Duration
	downtime   map[string]float64
	idle       map[string]float64
	violations uint64
}

// AvailabilityState is the state dump of an AvailabilityMeter. Values are in seconds.
type AvailabilityState struct {
	DowntimeSeconds map[string]float64
	StrandedSeconds map[string]float64
	Violations      uint64
}

// NewAvailabilityMeter returns a meter that starts counting at now.
func NewAvailabilityMeter(now time.Duration) *AvailabilityMeter {
	return &AvailabilityMeter{lastAdd: now, downtime: map[string]float64{}, idle: map[string]float64{}}
}

// Add attributes the time since the previous call to the state in the snapshot.
func (meter *AvailabilityMeter) Add(snapshot *Snapshot, now time.Duration) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	seconds := (now - meter.lastAdd).Seconds()
	meter.lastAdd = now
	for _, group := range snapshot.Groups {
		if !group.Serving {
			meter.downtime[group.Model+": "+causeCategory(group)] += seconds
		}
	}
	for domain, count := range snapshot.IdleServers {
		if count > 0 {
			meter.idle[domain] += seconds * float64(count)
		}
	}
	meter.violations += uint64(len(snapshot.Violations))
}

// causeCategory reduces a group's cause to a category without addresses, which keeps the number of counters small.
func causeCategory(group *Group) string {
	switch {
	case group.Unreachable:
		return "no member answers"
	case strings.Contains(group.Cause, "does not answer"), strings.Contains(group.Cause, "no fresh report"), strings.Contains(group.Cause, "never read"):
		return "a member does not answer"
	case len(group.Missing) > 0:
		return "a member is elsewhere"
	}
	return "weights are loading"
}

// State returns a copy of the accumulated seconds.
func (meter *AvailabilityMeter) State() AvailabilityState {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	state := AvailabilityState{DowntimeSeconds: map[string]float64{}, StrandedSeconds: map[string]float64{}, Violations: meter.violations}
	for cause, seconds := range meter.downtime {
		state.DowntimeSeconds[cause] = seconds
	}
	for domain, seconds := range meter.idle {
		state.StrandedSeconds[domain] = seconds
	}
	return state
}
