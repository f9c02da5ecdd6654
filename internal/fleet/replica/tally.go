package replica

import (
	"strings"
	"sync"
	"time"
)

// Tally adds up the two measures of the deployment, as one node sees them:
// the seconds that groups could not serve, and the seconds that healthy
// servers stood idle, both by cause.
type Tally struct {
	mu       sync.Mutex
	last     time.Duration
	downtime map[string]float64
	stranded map[string]float64
	broken   uint64
}

// TallyState is what a Tally shows in the state dump. Values are seconds.
type TallyState struct {
	DowntimeSeconds map[string]float64
	StrandedSeconds map[string]float64
	Violations      uint64
}

// NewTally returns a tally that counts from now.
func NewTally(now time.Duration) *Tally {
	return &Tally{last: now, downtime: map[string]float64{}, stranded: map[string]float64{}}
}

// Add counts the time since the last call as spent in the snapshot's state.
func (tally *Tally) Add(snapshot *Snapshot, now time.Duration) {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	seconds := (now - tally.last).Seconds()
	tally.last = now
	for _, group := range snapshot.Groups {
		if !group.Serving {
			tally.downtime[group.Model+": "+causeKind(group)] += seconds
		}
	}
	for domain, count := range snapshot.Stranded {
		if count > 0 {
			tally.stranded[domain] += seconds * float64(count)
		}
	}
	tally.broken += uint64(len(snapshot.Violations))
}

// causeKind is the cause without the addresses, so that counters stay few.
func causeKind(group *Group) string {
	switch {
	case group.Dark:
		return "no member answers"
	case strings.Contains(group.Cause, "does not answer"), strings.Contains(group.Cause, "no fresh report"), strings.Contains(group.Cause, "never read"):
		return "a member does not answer"
	case len(group.Missing) > 0:
		return "a member is elsewhere"
	}
	return "weights are loading"
}

// State returns a copy of the sums.
func (tally *Tally) State() TallyState {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	state := TallyState{DowntimeSeconds: map[string]float64{}, StrandedSeconds: map[string]float64{}, Violations: tally.broken}
	for cause, seconds := range tally.downtime {
		state.DowntimeSeconds[cause] = seconds
	}
	for domain, seconds := range tally.stranded {
		state.StrandedSeconds[domain] = seconds
	}
	return state
}
