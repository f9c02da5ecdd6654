package retry

import (
	"math"
	"sync"
	"time"

	"hazelslip/internal/common/clock"
)

// SlotsPerWindow is the number of slots in which a window is counted.
const SlotsPerWindow = 20

const (
	// defaultWindow is the window in which a deployment that states none counts.
	defaultWindow = 10 * time.Second
	// reportedSlots is the minimum number of slots that nodes report to each other. Older slots are reported until all
	// nodes are known to know them, and no longer, since a report that reaches two nodes during a change of the tree
	// counts twice.
	reportedSlots = 6
	// meetingTime is how long all slots of the window are reported after this node reaches more nodes than before. Nodes
	// that were cut off from each other have counted their own retries only. The highest total of a slot is
	// that of one side, so that older slots need the sum once more, too.
	meetingTime = 3 * time.Second
	// defaultMaxStaleness is the time without any counts of the fleet from which on these count as unknown. Frames
	// that a node may omit arrive more often than that.
	defaultMaxStaleness = 1200 * time.Millisecond
)

// Fleet counts the requests and retries of all nodes, by service, as far as this node knows.
//
// Nodes number slots of time alike: each follows the highest number that it hears of. Recent slots are summed over
// the tree of nodes. A node keeps the highest total that it has computed or received for each slot, so that the
// retries of a process outlast it at all other nodes. A process that has started knows nothing of the slots before:
// coverage tells from when on the counts are complete.
type Fleet struct {
	allowance      Allowance
	now            clock.Now
	roundingOffset func(service string) float64
	nodes          func() (reached, all int)
	slotLength     time.Duration
	maxStaleness   time.Duration
	startedAt      time.Duration
	noPredecessor  bool
	name           string

	mu sync.Mutex
	// shift is the difference between the time of the fleet and the node's clock.
	shift    time.Duration
	coverage Coverage
	// updatedAt is when counts of the fleet were last received or added up.
	updatedAt time.Duration
	// completeness is how far this node knows the counts of the fleet. independent is set if this node has added them up
	// itself, not received them from an upstream node. proposals are the times that all nodes know. Each becomes agreed on
	// when the counts up to its Newest are complete: these have all that nodes sent before they knew it.
	completeness Completeness
	independent  bool
	proposals    []Progress
	// lastReached is the number of nodes whose counts last reached this node, droppedAt when it last fell, metAt when
	// it last rose.
	lastReached      int
	droppedAt, metAt time.Duration
	services         map[string]*WindowBudget
}

// Coverage is the span of fleet time over which counts are complete.
type Coverage struct {
	From, UpTo time.Duration
}

// FleetOption configures a Fleet.
type FleetOption func(*Fleet)

// Clock sets the clock.
func Clock(now clock.Now) FleetOption {
	return func(fleet *Fleet) { fleet.now = now }
}

// Nodes sets the function that returns how many nodes share the allowance: those whose counts reach this node, and
// all, including this node.
func Nodes(nodes func() (reached, all int)) FleetOption {
	return func(fleet *Fleet) { fleet.nodes = nodes }
}

// RoundingOffset sets the node's rounding offset by service, from 0 up to but not including 1. With 0
// fractions are always rounded down.
func RoundingOffset(offset func(service string) float64) FleetOption {
	return func(fleet *Fleet) { fleet.roundingOffset = offset }
}

// NoPredecessor states that no earlier process of any node has sent retries, because the whole deployment
// starts for the first time.
func NoPredecessor() FleetOption {
	return func(fleet *Fleet) { fleet.noPredecessor = true }
}

// Name sets the name by which other nodes know this node.
func Name(name string) FleetOption {
	return func(fleet *Fleet) { fleet.name = name }
}

// MaxStaleness sets the time without any counts of the fleet from which on these count as unknown.
func MaxStaleness(age time.Duration) FleetOption {
	return func(fleet *Fleet) { fleet.maxStaleness = age }
}

// NewFleet returns a Fleet for a process that starts now.
func NewFleet(allowance Allowance, options ...FleetOption) *Fleet {
	if allowance.Window <= 0 {
		// Without a window nothing is allowed, but time still needs slots.
		allowance = Allowance{Window: defaultWindow}
	}
	fleet := &Fleet{
		allowance: allowance, now: clock.Boot, slotLength: allowance.Window / SlotsPerWindow, maxStaleness: defaultMaxStaleness, services: map[string]*WindowBudget{},
		roundingOffset: func(string) float64 { return 0 }, nodes: func() (int, int) { return 1, 1 },
	}
	for _, option := range options {
		option(fleet)
	}
	fleet.startedAt = fleet.now()
	fleet.updatedAt = fleet.startedAt
	fleet.shift = -fleet.startedAt
	fleet.completeness = Completeness{Complete: UnknownTime, Agreed: UnknownTime}
	if fleet.noPredecessor {
		fleet.coverage.From = -allowance.Window
	} else {
		fleet.serviceLocked(processStarts).own.slot(0).Requests++
	}
	return fleet
}

// Service returns the budget of a service.
func (fleet *Fleet) Service(name string) *WindowBudget {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.serviceLocked(name)
}

func (fleet *Fleet) serviceLocked(name string) *WindowBudget {
	budget, known := fleet.services[name]
	if !known {
		budget = &WindowBudget{fleet: fleet, roundingOffset: fleet.roundingOffset(name), own: newRing(fleet.currentLocked()), all: newRing(fleet.currentLocked())}
		fleet.services[name] = budget
	}
	return budget
}

func (fleet *Fleet) positionLocked() time.Duration { return fleet.now() + fleet.shift }

// currentLocked returns the number of the current slot.
func (fleet *Fleet) currentLocked() int64 { return int64(fleet.positionLocked() / fleet.slotLength) }

// SlotLength returns the length of a slot, a part of the window in which retries are limited.
func (fleet *Fleet) SlotLength() time.Duration { return fleet.slotLength }

// Position returns the current time of the fleet, and the coverage of the counts.
func (fleet *Fleet) Position() (time.Duration, Coverage) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.positionLocked(), fleet.coverage
}

// Follow advances the fleet time to that of another node that is ahead by half a slot or more. What was counted so
// far moves with it. Smaller differences stay, so that nodes with unequal delays don't advance each other.
func (fleet *Fleet) Follow(position time.Duration) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	jump, before := position-fleet.positionLocked(), fleet.currentLocked()
	if jump < fleet.slotLength/2 {
		return
	}
	fleet.shift += jump
	slots := fleet.currentLocked() - before
	fleet.coverage.From += jump
	fleet.coverage.UpTo += jump
	fleet.completeness.Complete += jump
	fleet.completeness.Agreed += jump
	fleet.proposals = nil
	for _, budget := range fleet.services {
		budget.own, budget.all = budget.own.renumbered(slots), budget.all.renumbered(slots)
	}
}

// Own returns the counts of this node in the slots that nodes report now.
func (fleet *Fleet) Own() Totals {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	totals, current := Totals{}, fleet.currentLocked()
	for service, budget := range fleet.services {
		totals.add(service, budget.own, fleet.firstReportedLocked(), current)
	}
	return totals
}

// All returns the counts of all nodes: those of the slots that nodes report now, or of all slots that are kept.
func (fleet *Fleet) All(recentOnly bool) Totals {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.allLocked(recentOnly)
}

func (fleet *Fleet) allLocked(recentOnly bool) Totals {
	totals, current := Totals{}, fleet.currentLocked()
	first := current - SlotsPerWindow
	if recentOnly {
		first = fleet.firstReportedLocked()
	}
	for service, budget := range fleet.services {
		totals.add(service, budget.all, first, current)
	}
	return totals
}

// firstReportedLocked returns the number of the first slot that nodes report to each other now.
func (fleet *Fleet) firstReportedLocked() int64 {
	current := fleet.currentLocked()
	if fleet.lastReached > 1 && fleet.now()-fleet.metAt < meetingTime {
		return current - SlotsPerWindow
	}
	return max(current-SlotsPerWindow, min(current-reportedSlots+1, fleet.slotLocked(fleet.completeness.Agreed)))
}

// slotLocked returns the number of the slot in which a time lies. All slots before it are complete if counts are
// complete up to that time.
func (fleet *Fleet) slotLocked(at time.Duration) int64 {
	return int64(math.Floor(float64(at) / float64(fleet.slotLength)))
}

// startSlotLocked returns the number of the slot after that in which this process started, or of the first of all slots
// if the process has no predecessor.
func (fleet *Fleet) startSlotLocked() int64 {
	if fleet.noPredecessor {
		return math.MinInt64
	}
	return fleet.slotLocked(fleet.startedAt+fleet.shift) + 1
}

// startAgreedLocked reports whether all nodes know the counts up to the start of this process. Until then they
// leave its predecessor a share, of which this process doesn't know what was used.
func (fleet *Fleet) startAgreedLocked() bool {
	return fleet.slotLocked(min(fleet.completeness.Agreed, fleet.completeness.Complete)) >= fleet.startSlotLocked()
}

// Merge raises the known counts of the fleet to at least the given totals.
func (fleet *Fleet) Merge(totals Totals) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	current := fleet.currentLocked()
	for service, series := range totals {
		budget := fleet.serviceLocked(service)
		for offset, count := range series.Counts {
			if number := series.First + int64(offset); number <= current+1 {
				budget.all.mergeMax(number, count)
			}
		}
	}
}

// MergeCoverage adds the coverage of counts that were merged from another node.
func (fleet *Fleet) MergeCoverage(received Coverage) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.noteNodesLocked()
	known := &fleet.coverage
	fleet.updatedAt = fleet.now()
	switch {
	case received.UpTo < known.From:
	case received.From > known.UpTo:
		*known = received
	default:
		known.From, known.UpTo = min(known.From, received.From), max(known.UpTo, received.UpTo)
	}
}

// knownLocked returns over which span the counts of all nodes are complete, at most the window, and the age of the
// newest of them. Counts that are too old count as unknown.
func (fleet *Fleet) knownLocked() (known, stale time.Duration) {
	position := fleet.positionLocked()
	stale = fleet.now() - fleet.updatedAt
	since := fleet.coverage.From
	if stale > fleet.maxStaleness {
		since = max(fleet.coverage.UpTo, position-fleet.allowance.Window+1)
	}
	return min(fleet.allowance.Window, position-since), stale
}

// recentStartsLocked returns how many processes with a predecessor have started within the window.
func (fleet *Fleet) recentStartsLocked() int {
	budget, known := fleet.services[processStarts]
	if !known {
		return 0
	}
	starts := 0
	for number := fleet.currentLocked() - SlotsPerWindow; number <= fleet.currentLocked(); number++ {
		starts += int(max(budget.own.at(number).Requests, budget.all.at(number).Requests))
	}
	return starts
}

// Observed states that this node has itself added up the counts of all nodes that it reaches until now, and the
// progress of the others. After an interruption, such as a frozen process, counts are complete only from now on.
func (fleet *Fleet) Observed(others ...Progress) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.observeLocked(others)
	fleet.noteNodesLocked()
	position := fleet.positionLocked()
	if fleet.now()-fleet.updatedAt > fleet.maxStaleness {
		fleet.coverage.From = position
	}
	fleet.coverage.UpTo, fleet.updatedAt = position, fleet.now()
}

// noteNodesLocked records when the number of nodes whose counts reach this node falls or rises.
func (fleet *Fleet) noteNodesLocked() {
	reached, _ := fleet.nodes()
	switch {
	case reached < fleet.lastReached:
		fleet.droppedAt = fleet.now()
	case reached > fleet.lastReached:
		fleet.metAt = fleet.now()
	}
	fleet.lastReached = reached
}

// nodesLocked returns how many nodes share the allowance, those whose counts reach this node and all. requestsPart is
// the part of the known requests that counts for the nodes that are reached: until a window has passed, the others know
// the same requests.
func (fleet *Fleet) nodesLocked() (reached, all int, requestsPart float64) {
	fleet.noteNodesLocked()
	reached, all = fleet.nodes()
	reached, all = max(1, reached), max(1, reached, all)
	if reached < all && fleet.now()-fleet.droppedAt < fleet.allowance.Window {
		return reached, all, float64(reached) / float64(all)
	}
	return reached, all, 1
}

// Granted returns the number of retries that this node was granted.
func (fleet *Fleet) Granted() uint64 {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	granted := uint64(0)
	for _, budget := range fleet.services {
		granted += budget.granted
	}
	return granted
}

// States returns the states of all budgets for the state dump.
func (fleet *Fleet) States() map[string]WindowState {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	states := map[string]WindowState{}
	for service, budget := range fleet.services {
		if service == processStarts {
			continue
		}
		states[service] = WindowState{Sent: budget.granted, Withheld: budget.refused, Window: budget.usageLocked()}
	}
	return states
}
