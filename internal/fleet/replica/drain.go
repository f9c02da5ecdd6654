package replica

import (
	"slices"
	"time"

	"hazelslip/internal/policy/repair"
)

const (
	// minDrainTime is the minimum time for which a serving group gets no new work before it is retired. It leaves
	// time for every node to learn of the drain and for a report to be read after that.
	minDrainTime = 4 * time.Second
	// maxDrainTime bounds the wait for requests in flight. Requests that still run then resume on another group.
	maxDrainTime = 2 * time.Minute
)

// holdRetirements holds back the retirement of serving groups until they are drained. Retiring a serving group is
// planned, because a member is leaving or a more valuable group needs the servers, and must not interrupt requests.
// Taking a group apart at once would break every response that it is generating. A group that is idle in a report of
// a second ago may have received work since. So every node first stops sending new work to the group, and the group
// is retired when nothing is left in flight.
func (controller *Controller) holdRetirements(domain string, actions []repair.Action, snapshot *Snapshot) []repair.Action {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	ready := []repair.Action{}
	retiring := map[uint64]bool{}
	for _, action := range actions {
		group, known := snapshot.Find(action.Number)
		if action.Kind != repair.Retire || !known || !group.Serving {
			ready = append(ready, action)
			continue
		}
		retiring[group.Number] = true
		if controller.drainedLocked(group) {
			ready = append(ready, action)
		}
	}
	for number, draining := range controller.draining {
		if draining.domain == domain && !retiring[number] {
			delete(controller.draining, number)
		}
	}
	return ready
}

// drainState is the drain of a group that is about to be retired.
type drainState struct {
	domain string
	since  time.Duration
}

// drainedLocked starts the drain of a group if it has none, and reports whether the drain is complete.
func (controller *Controller) drainedLocked(group *Group) bool {
	drain, ok := controller.draining[group.Number]
	if !ok {
		controller.draining[group.Number] = drainState{domain: group.FabricDomain, since: controller.Now()}
		return false
	}
	waited := controller.Now() - drain.since
	idle := group.Running == 0 && group.ReadAt > drain.since+minDrainTime/2
	return waited >= maxDrainTime || (waited >= minDrainTime && idle)
}

// Draining returns, in order, the numbers of the groups that no node should send new work to.
func (controller *Controller) Draining() []uint64 {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	numbers := make([]uint64, 0, len(controller.draining))
	for number := range controller.draining {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}
