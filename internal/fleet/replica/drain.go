package replica

import (
	"slices"
	"time"

	"hazelslip/internal/policy/repair"
)

const (
	// drainLeast is how long a group that serves gets no new work before it is
	// retired: time for every node to hear of it, and for a report to be read
	// after that.
	drainLeast = 4 * time.Second
	// drainMost bounds the wait for what is in flight. What still runs then
	// resumes at another group.
	drainMost = 2 * time.Minute
)

// drain holds back the retirement of groups that serve. Such a stop is planned,
// for a member that is leaving or for something worth more, and a planned stop
// must cut off nothing: a group that is taken apart at once breaks every answer
// it is writing, and one that looks idle in a report of a second ago may have
// got work since. So the group first gets no new work, on any node, and is
// retired when it has nothing left.
func (former *Former) drain(domain string, due []repair.Action, snapshot *Snapshot) []repair.Action {
	former.mu.Lock()
	defer former.mu.Unlock()
	ready := []repair.Action{}
	wanted := map[uint64]bool{}
	for _, action := range due {
		group, known := snapshot.Find(action.Number)
		if action.Kind != repair.Retire || !known || !group.Serving {
			ready = append(ready, action)
			continue
		}
		wanted[group.Number] = true
		if former.drainedLocked(group) {
			ready = append(ready, action)
		}
	}
	for number, draining := range former.draining {
		if draining.domain == domain && !wanted[number] {
			delete(former.draining, number)
		}
	}
	return ready
}

// draining is a group that gets no new work before it is retired.
type draining struct {
	domain string
	since  time.Duration
}

func (former *Former) drainedLocked(group *Group) bool {
	known, ok := former.draining[group.Number]
	if !ok {
		former.draining[group.Number] = draining{domain: group.FabricDomain, since: former.Now()}
		return false
	}
	waited := former.Now() - known.since
	idle := group.Running == 0 && group.ReadAt > known.since+drainLeast/2
	return waited >= drainMost || (waited >= drainLeast && idle)
}

// Draining lists the groups that no node should give new work, in order.
func (former *Former) Draining() []uint64 {
	former.mu.Lock()
	defer former.mu.Unlock()
	numbers := make([]uint64, 0, len(former.draining))
	for number := range former.draining {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}
