package retry

import (
	"math"
	"time"
)

// Allowance is the number of retries that an operator allows for a service on all nodes together:
// in any window of length Window, at most Ratio times the number of requests plus Base.
type Allowance struct {
	Ratio  float64
	Base   float64
	Window time.Duration
}

const (
	// usableShare is the fraction of the allowance that nodes use in a window. The rest is for counts that differ
	// between nodes and for retries that a process sent just before its end.
	usableShare = 0.91
	// blindShare is the fraction that nodes use in a window whose retries they do not know, because all nodes have
	// started within it. It comes on top of what their predecessors sent.
	blindShare = 0.03
	// restartReserve is the fraction that is left unused for each time that all nodes have started again within the
	// window, and in proportion if fewer have: the last retries of a process that was killed are known to nobody.
	restartReserve = 0.1
	// partitionReserve is the fraction that is left unused while some nodes are not heard of: what they send is not
	// known.
	partitionReserve = 0.1
	// maxReserve is the upper bound of both reserves.
	maxReserve = 0.25
	// settleTime is how long a new process may know only a part of the nodes.
	settleTime = 3 * time.Second
)

// WindowBudget limits the retries that a node sends to one service. What all nodes have sent in the window up to a
// time of the fleet is taken off the allowance, and the node uses its share of what is left after that time. The shares
// of all nodes for the same time add up to one, so that the nodes together stay within the allowance while callers move
// between them and processes are replaced. After a quiet window the whole allowance can be used at once: when a failure
// domain is lost, all its streams are retried within a second.
//
// Nodes know the counts of the fleet up to different times. A node takes the least of what is left for each time from
// the one that all nodes are known to know to the newest that it knows itself. There is one time that is in this span at
// every node, and what is left for that time bounds them all, however late the counts are.
//
// One half of what is left is shared by the requests that nodes got, the other equally: streams outlast the window. What
// requests after that time add to the allowance belongs to the node that got them.
//
// Retries are whole numbers, and in a large fleet a node's share is a fraction of a retry. The
// node's random rounding offset decides whether a fraction is rounded up or down. All nodes
// together then reach the sum of their shares, while rounding down everywhere would leave no
// retries. The offset is constant for the life of the process, so repeated attempts do not get
// another chance.
type WindowBudget struct {
	fleet          *Fleet
	roundingOffset float64
	// own are the counts of this node, all the counts of all nodes as far as they are known. Both are guarded by
	// the mutex of the fleet.
	own, all *ring
	granted  uint64
	refused  uint64
	// loggedRefused is the value of refused at loggedAt, when refusals were last logged.
	loggedRefused uint64
	loggedAt      time.Duration
}

// RecordRequest counts a caller's request.
func (budget *WindowBudget) RecordRequest() {
	budget.fleet.mu.Lock()
	defer budget.fleet.mu.Unlock()
	if entry := budget.own.slot(budget.fleet.currentLocked()); entry != nil {
		entry.Requests++
	}
}

// TryWithdraw grants and counts a retry, or returns false if the allowance is used up.
func (budget *WindowBudget) TryWithdraw() bool {
	budget.fleet.mu.Lock()
	defer budget.fleet.mu.Unlock()
	if budget.usageLocked().Left+budget.roundingOffset < 1 {
		budget.refused++
		return false
	}
	if entry := budget.own.slot(budget.fleet.currentLocked()); entry != nil {
		entry.Retries++
	}
	budget.granted++
	return true
}

// CanWithdraw reports whether TryWithdraw would grant a retry now.
func (budget *WindowBudget) CanWithdraw() bool {
	budget.fleet.mu.Lock()
	defer budget.fleet.mu.Unlock()
	return budget.usageLocked().Left+budget.roundingOffset >= 1
}

// Usage is what the nodes sent and may send in the current window, as far as this node knows.
type Usage struct {
	// Requests and Retries are those of this node, FleetRequests and FleetRetries those of all nodes. Those after the
	// time up to which all counts are complete are missing in FleetRetries.
	Requests, Retries           int
	FleetRequests, FleetRetries int
	// Allowed is the number of retries that all nodes may send. Left is the number that this node may still send
	// now.
	Allowed, Left float64
	// Nodes is the number of nodes that share the allowance, Reached the number of those whose counts are known.
	Nodes, Reached int
	// RecentStarts is the number of processes that have started again within the window.
	RecentStarts int
	// AgeMilliseconds is the age of this node's process. KnownMilliseconds is how far back the retries of all nodes
	// are known, at most the window. StaleMilliseconds is the time since this node last received or added up counts.
	AgeMilliseconds, KnownMilliseconds, StaleMilliseconds int64
	// CompleteMilliseconds is the age of the time up to which the counts of all nodes are complete, AgreedMilliseconds the
	// age of the time up to which all nodes are known to know them, -1 if there is none. OldestNode is the address of the
	// node whose counts are the oldest.
	CompleteMilliseconds, AgreedMilliseconds int64
	OldestNode                               string
}

func (budget *WindowBudget) usageLocked() Usage {
	fleet := budget.fleet
	age := fleet.now() - fleet.startedAt
	usage := Usage{RecentStarts: fleet.recentStartsLocked(), AgeMilliseconds: age.Milliseconds()}
	reached, nodes, requestsPart := fleet.nodesLocked()
	usage.Reached, usage.Nodes = reached, nodes
	known, stale := fleet.knownLocked()
	usage.KnownMilliseconds, usage.StaleMilliseconds = known.Milliseconds(), stale.Milliseconds()
	usage.CompleteMilliseconds, usage.AgreedMilliseconds = fleet.ageLocked(fleet.completeness.Complete), fleet.ageLocked(fleet.completeness.Agreed)
	usage.OldestNode = fleet.completeness.Oldest
	budget.countWindowLocked(&usage)
	if !fleet.startAgreedLocked() {
		known = min(known, age, fleet.allowance.Window-1)
	}
	terms := usage.terms(fleet.allowance, known)
	terms.requestsPart = requestsPart
	usage.Allowed = terms.allowed(usage.FleetRequests)
	budget.settleLocked(&usage, &terms)
	return usage
}

// countWindowLocked adds up the current window. The requests cover at most a window, the retries at least one.
func (budget *WindowBudget) countWindowLocked(usage *Usage) {
	current := budget.fleet.currentLocked()
	for number := current - SlotsPerWindow; number <= current; number++ {
		own := budget.own.at(number)
		usage.Retries += int(own.Retries)
		if number > current-SlotsPerWindow {
			usage.Requests += int(own.Requests)
			usage.FleetRequests += int(budget.known(number).Requests)
		}
	}
}

// settleLocked sets what this node may still send: the least of what is left for it for each time that may be the one up
// to which all nodes know the counts. That is its share of what is left of the allowance for the requests up to then, and
// what its own requests after that add to the allowance. An excess isn't divided by shares, since nodes that get no
// requests don't make up for theirs. FleetRetries are those up to the newest of these times.
func (budget *WindowBudget) settleLocked(usage *Usage, terms *terms) {
	fleet := budget.fleet
	current := fleet.currentLocked()
	first := current - SlotsPerWindow
	newest := min(current, max(first, fleet.slotLocked(fleet.completeness.Complete)))
	oldest := min(newest, max(first, fleet.slotLocked(fleet.completeness.Agreed), fleet.startSlotLocked()))
	usage.Left = math.Inf(1)
	unsettled := Count{Requests: uint32(usage.Requests), Retries: uint32(usage.Retries)}
	settled, sinceStart := 0, settledRequests{}
	for number := first; ; number++ {
		if number >= oldest {
			left := terms.allowed(settled) - float64(usage.FleetRetries)
			if left > 0 {
				left *= budget.shareLocked(sinceStart, usage.Reached, terms.requestsPart)
			}
			usage.Left = min(usage.Left, left+terms.perRequest*float64(unsettled.Requests)-float64(unsettled.Retries))
		}
		if number == newest {
			return
		}
		own, all := budget.own.at(number), budget.known(number)
		unsettled.Retries -= own.Retries
		usage.FleetRetries += int(all.Retries)
		if number == first {
			// The requests cover a window, the retries one slot more.
			continue
		}
		unsettled.Requests -= own.Requests
		settled += int(all.Requests)
		if number >= fleet.startSlotLocked() {
			sinceStart.own += int(own.Requests)
			sinceStart.all += int(all.Requests)
		}
	}
}

// settledRequests are the requests of this node and of all nodes since this process started, up to a time.
type settledRequests struct{ own, all int }

// shareLocked returns this node's share of what is left. One half follows the requests, with one more for each node, since
// most nodes of a large fleet have few requests in a window or none. The other half is equal. A node that started just now
// may know a part of the nodes only, and gets no share without requests.
func (budget *WindowBudget) shareLocked(requests settledRequests, reached int, requestsPart float64) float64 {
	fleet := budget.fleet
	extra, equal := 0.0, 0.0
	if fleet.noPredecessor || fleet.now()-fleet.startedAt >= settleTime {
		extra, equal = 1, 0.5/float64(reached)
	}
	return equal + min(0.5, 0.5*(float64(requests.own)+extra)/(float64(requests.all)*requestsPart+float64(reached)))
}

// known returns the counts of all nodes in a slot, which include at least those of this node.
func (budget *WindowBudget) known(number int64) Count {
	own, all := budget.own.at(number), budget.all.at(number)
	return Count{Requests: max(own.Requests, all.Requests), Retries: max(own.Retries, all.Retries)}
}

// terms are what the allowance of the reached nodes is made of: retries for each request of the fleet and independent of
// them.
type terms struct {
	perRequest, base float64
	// requestsPart is the part of the known requests that counts for the reached nodes.
	requestsPart float64
}

// allowed returns the number of retries that the reached nodes may send in a window with so many known requests.
func (terms *terms) allowed(requests int) float64 {
	return terms.perRequest*float64(requests)*terms.requestsPart + terms.base
}

// terms returns the terms of the allowance, if the retries sent so far are known for the given span.
func (usage *Usage) terms(allowance Allowance, known time.Duration) terms {
	nodes := float64(usage.Nodes)
	usable := blindShare * known.Seconds() / allowance.Window.Seconds()
	if known >= allowance.Window {
		reserve := restartReserve * float64(usage.RecentStarts) / nodes
		if usage.Reached < usage.Nodes {
			reserve += partitionReserve
		}
		usable = usableShare - min(maxReserve, reserve)
	}
	return terms{perRequest: usable * allowance.Ratio, base: usable * allowance.Base * float64(usage.Reached) / nodes}
}

// refusalLogInterval is the minimum time between two log lines about refused retries.
const refusalLogInterval = time.Second

// RefusalsToLog returns the number of retries refused since the last log line and the usage of the window. due is
// false if the last line is too recent.
func (budget *WindowBudget) RefusalsToLog() (refused uint64, usage Usage, due bool) {
	budget.fleet.mu.Lock()
	defer budget.fleet.mu.Unlock()
	now := budget.fleet.now()
	if budget.loggedAt > 0 && now-budget.loggedAt < refusalLogInterval {
		return 0, Usage{}, false
	}
	refused = budget.refused - budget.loggedRefused
	budget.loggedRefused, budget.loggedAt = budget.refused, now
	return refused, budget.usageLocked(), true
}

// WindowState describes a WindowBudget in the state dump: the cumulative numbers of granted and
// refused retries, and the usage of the current window.
type WindowState struct {
	Sent     uint64
	Withheld uint64
	Window   Usage
}

// State returns the state of the budget for the state dump.
func (budget *WindowBudget) State() WindowState {
	budget.fleet.mu.Lock()
	defer budget.fleet.mu.Unlock()
	return WindowState{Sent: budget.granted, Withheld: budget.refused, Window: budget.usageLocked()}
}
