package retry

import "time"

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
	// unsettledSlots is the number of newest slots whose counts have not reached all nodes. In these a node uses
	// its own share only.
	unsettledSlots = 2
	// settleTime is how long a new process may know only a part of the nodes.
	settleTime = 3 * time.Second
)

// WindowBudget limits the retries that a node sends to one service. What all nodes have sent in the window, except
// for its newest slots, is taken off the allowance, and the node uses its share of what is left in the newest
// slots. So the nodes together stay within the allowance while callers move between them and processes are
// replaced. After a quiet window the whole allowance can be used at once: when a failure domain is lost, all its
// streams are retried within a second.
//
// One half of what is left is shared by the requests that nodes got, the other equally: streams outlast the window.
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
	// Requests and Retries are those of this node, FleetRequests and FleetRetries those of all nodes. The newest
	// slots are missing in FleetRetries.
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
	// are known, at most the window. StaleMilliseconds is the age of the newest of these counts.
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
	newest := budget.countWindowLocked(&usage)
	usage.Allowed = usage.allowed(fleet.allowance, requestsPart, known)
	share := min(0.5, budget.requestShareLocked(age, int(newest.Requests)*usage.Reached)/requestsPart)
	if fleet.noPredecessor || age >= settleTime {
		share += 0.5 / float64(usage.Reached)
	}
	usage.Left = share*max(0, usage.Allowed-float64(usage.FleetRetries)) - float64(newest.Retries)
	return usage
}

// countWindowLocked adds up the current window, and returns this node's counts in the newest slots. The requests
// cover at most a window, the retries at least one.
func (budget *WindowBudget) countWindowLocked(usage *Usage) (newest Count) {
	current := budget.fleet.currentLocked()
	for number := current - slotsPerWindow; number <= current; number++ {
		own, all := budget.own.at(number), budget.known(number)
		usage.Retries += int(own.Retries)
		if number > current-slotsPerWindow {
			usage.Requests += int(own.Requests)
			usage.FleetRequests += int(all.Requests)
		}
		if number > current-unsettledSlots {
			newest = Count{Requests: newest.Requests + own.Requests, Retries: newest.Retries + own.Retries}
		} else {
			usage.FleetRetries += int(all.Retries)
		}
	}
	return newest
}

// known returns the counts of all nodes in a slot, which include at least those of this node.
func (budget *WindowBudget) known(number int64) Count {
	own, all := budget.own.at(number), budget.all.at(number)
	return Count{Requests: max(own.Requests, all.Requests), Retries: max(own.Retries, all.Retries)}
}

// allowed returns the number of retries that the reached nodes may send in a window, if those sent so far are known for
// the given span.
func (usage *Usage) allowed(allowance Allowance, requestsPart float64, known time.Duration) float64 {
	nodes := float64(usage.Nodes)
	allowed := allowance.Ratio*float64(usage.FleetRequests)*requestsPart + allowance.Base*float64(usage.Reached)/nodes
	if known < allowance.Window {
		return allowed * blindShare * known.Seconds() / allowance.Window.Seconds()
	}
	reserve := restartReserve * float64(usage.RecentStarts) / nodes
	if usage.Reached < usage.Nodes {
		reserve += partitionReserve
	}
	return allowed * (usableShare - min(maxReserve, reserve))
}

// requestShareLocked returns half of this node's share of the requests in the window, or since its start. It assumes
// at least minRequests: requests that other nodes got in the newest slots may not be known yet, as when load sets in
// after a pause. A share that is unknown counts as none, so that the equal share remains.
func (budget *WindowBudget) requestShareLocked(age time.Duration, minRequests int) float64 {
	current := budget.fleet.currentLocked()
	own, all := 0, 0
	for number := current - min(slotsPerWindow-1, int64(age/budget.fleet.slotLength)); number <= current; number++ {
		own += int(budget.own.at(number).Requests)
		all += int(budget.known(number).Requests)
	}
	if own == 0 {
		return 0
	}
	return 0.5 * float64(own) / float64(max(all, minRequests))
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
