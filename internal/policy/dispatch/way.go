package dispatch

import (
	"time"

	"hazelslip/internal/policy/reach"
)

const (
	// waySilence is how long nothing may come of the calls of a way, at least; silentPasses goes for it
	// as for one group.
	waySilence = 300 * time.Millisecond
	// wayAlive is within how long something must have come of a group's calls for them to be left
	// there when their way is lost: connections may live on while new ones are refused.
	wayAlive = 250 * time.Millisecond
)

func wayOf(spec *Spec) reach.Destination {
	return reach.Destination{Service: spec.Service, DataCentre: spec.DataCentre}
}

// listWays tells the ways which servers they lead to.
func (board *Board) listWays(held *layout) {
	servers := map[reach.Destination][]string{}
	for _, filled := range held.pools {
		for _, target := range filled.targets {
			servers[wayOf(&target.Spec)] = append(servers[wayOf(&target.Spec)], target.ID)
		}
	}
	for _, way := range board.ways.All() {
		way.SetServers(servers[way.Destination])
	}
}

// Opened tells that the target was connected to for a call.
func (target *Target) Opened() {
	target.way.RecordConnect(target.ID)
}

// Unopened tells that the target could not be connected to, by an attempt begun at a time.
func (target *Target) Unopened(began time.Duration) {
	target.way.RecordConnectFailure(target.ID, began)
}

// Broke tells that the connection of a call at the target broke.
func (target *Target) Broke() {
	target.way.RecordBreak(target.ID, target.now())
}

// Reached says whether the way to the target is beyond doubt. What calls there end by says nothing of the
// server where it isn't.
func (target *Target) Reached() bool {
	return target.way.Status() == reach.Healthy
}

// Way is this node's way to the target.
func (target *Target) Way() *reach.Path {
	return target.way
}

// LivesOn says whether a target can only be called over a connection that is open: its way is lost, something has just
// come from it, and such a connection is there.
func (board *Board) LivesOn(target *Target) bool {
	return target.way.RecentlyActive(target.ID) && board.idle(target.Address)
}

// WayLost says whether a pool has servers that this node doesn't reach beyond doubt, and none that it may reach.
func (board *Board) WayLost(name string) bool {
	filled, ok := board.pool(name)
	if !ok || len(filled.targets) == 0 {
		return false
	}
	for _, target := range filled.targets {
		if target.way.Status() != reach.Lost {
			return false
		}
	}
	return true
}

// Ways are this node's ways to servers.
func (board *Board) Ways() *reach.Paths {
	return board.ways
}

// WatchWays looks for ways of which all calls stand still.
func (board *Board) WatchWays() {
	now := board.now()
	for _, target := range board.layout.Load().all {
		if target.mine.Load() == 0 {
			continue
		}
		if span := target.stillAfter(waySilence); target.active() > 0 || now-target.oldest(now) >= span {
			target.way.RecordSilence(span)
		}
	}
}

// WayProbe is servers to be connected to, with their addresses.
type WayProbe struct {
	reach.Probe
	Addresses map[string]string
}

// WayProbes returns what is to be tried of ways that are doubted or lost.
func (board *Board) WayProbes() []WayProbe {
	due := board.ways.DueProbes()
	if len(due) == 0 {
		return nil
	}
	addresses := map[string]string{}
	for _, target := range board.layout.Load().all {
		addresses[target.ID] = target.Address
	}
	found := make([]WayProbe, 0, len(due))
	for _, probe := range due {
		found = append(found, WayProbe{Probe: probe, Addresses: addresses})
	}
	return found
}

// Leave ends the calls of a way that is lost, but for those of which something has just come, so that they go on
// elsewhere. It returns how many there were.
func (board *Board) Leave(way *reach.Path) int {
	moved, now := 0, board.now()
	for _, target := range board.layout.Load().all {
		if target.way == way && target.Group != "" && now-time.Duration(target.progress.Load()) > wayAlive {
			moved += target.move()
		}
	}
	return moved
}

// Calls counts this node's calls at all targets.
func (board *Board) Calls() int {
	calls := 0
	for _, target := range board.layout.Load().all {
		calls += int(target.mine.Load())
	}
	return calls
}

// Stalled ends the calls of a target that is apart, where nothing has come of them for too long: of those that have
// had an event, or of one that hasn't. It says whether it did.
func (target *Target) Stalled(still, unanswered time.Duration) bool {
	if target.mine.Load() == 0 {
		return false
	}
	most := unanswered
	span, running := target.stillFor(target.now())
	if running {
		most = still
	}
	if span < most {
		return false
	}
	target.move()
	return true
}
