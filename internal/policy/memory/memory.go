// Package memory implements a node's byte budget for data buffered between callers and servers: request bodies, plain
// responses, and incomplete events.
//
// Workspaces share the budget with a dynamic threshold: a workspace is granted more bytes as long as its total does
// not exceed what is then left free. A single workspace gets at most half of the budget. With k workspaces that
// request as much as they can, each gets 1/(k+1), and the same amount stays free for small requests of all others.
// Granted bytes are never revoked.
//
// Bytes of ordinary events of a stream that has begun are counted with ForceGrow whether they fit or not, since such a
// stream is never aborted for lack of memory. They reduce what is left for requests that can still be refused.
//
// The package starts no goroutines and reads no clock.
//
// # Usage
//
//	budget := memory.New(memory.BudgetFor(limit))
//	reservation := budget.NewReservation("acme", false)
//	defer reservation.Release()
//	if !reservation.Grow(int64(len(body))) {
//		reservation.RecordRefusal()
//	}
package memory

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// budgetDivisor is the ratio of the process's memory limit to the budget. The rest is for heap garbage, which may be
// half as large as the live heap, for stacks and connections, and for the node's data about the fleet.
const budgetDivisor = 4

// BudgetFor returns the budget of a process with the given memory limit; 0 means unlimited.
func BudgetFor(limit int64) int64 {
	return max(0, limit) / budgetDivisor
}

const (
	// maxAccounts bounds the workspaces whose refusals are remembered while they hold no bytes.
	maxAccounts = 256
	// maxStateWorkspaces bounds the workspaces in the state dump.
	maxStateWorkspaces = 16
	// logInterval is the least time between two log lines about refusals.
	logInterval = 10 * time.Second
)

// account holds the reserved bytes and the refusals of one workspace.
type account struct {
	reserved int64
	refused  uint64
}

// Budget tracks the reserved bytes of all workspaces. Use New to create one.
type Budget struct {
	size int64

	mu             sync.Mutex
	reserved       int64
	peak           int64
	refused        uint64
	accounts       map[string]account
	refusalsLogged uint64
	loggedAt       time.Duration
}

// New returns a budget of the given number of bytes; 0 means unlimited.
func New(bytes int64) *Budget {
	return &Budget{size: max(0, bytes), accounts: map[string]account{}}
}

// Limited reports whether the budget has a limit, so that requests can be refused.
func (budget *Budget) Limited() bool {
	return budget.size > 0
}

// NewReservation returns an empty reservation. Set exclusive if no other workspace can send requests to this node;
// the whole budget may then be granted to this one.
func (budget *Budget) NewReservation(workspace string, exclusive bool) Reservation {
	return Reservation{budget: budget, workspace: workspace, exclusive: exclusive}
}

// Reservation holds the reserved bytes of one request. It is not safe for concurrent use.
type Reservation struct {
	budget    *Budget
	workspace string
	exclusive bool
	bytes     int64
}

// Bytes returns the number of reserved bytes.
func (reservation *Reservation) Bytes() int64 {
	return reservation.bytes
}

// Grow tries to reserve more bytes, and reports whether they were granted.
func (reservation *Reservation) Grow(bytes int64) bool {
	budget := reservation.budget
	if budget == nil || bytes <= 0 {
		return true
	}
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if !budget.fitsLocked(reservation, bytes) {
		return false
	}
	budget.addLocked(reservation, bytes)
	return true
}

// fitsLocked reports whether the workspace would hold no more bytes than would be left free.
func (budget *Budget) fitsLocked(reservation *Reservation, bytes int64) bool {
	if budget.size == 0 {
		return true
	}
	free := budget.size - budget.reserved - bytes
	if reservation.exclusive {
		return free >= 0
	}
	return budget.accounts[reservation.workspace].reserved+bytes <= free
}

// ForceGrow reserves more bytes whether they fit or not.
func (reservation *Reservation) ForceGrow(bytes int64) {
	budget := reservation.budget
	if budget == nil || bytes <= 0 {
		return
	}
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.addLocked(reservation, bytes)
}

func (budget *Budget) addLocked(reservation *Reservation, bytes int64) {
	account := budget.accounts[reservation.workspace]
	account.reserved += bytes
	budget.accounts[reservation.workspace] = account
	reservation.bytes += bytes
	budget.reserved += bytes
	budget.peak = max(budget.peak, budget.reserved)
}

// Shrink returns bytes to the budget, at most as many as are reserved.
func (reservation *Reservation) Shrink(bytes int64) {
	budget := reservation.budget
	bytes = min(bytes, reservation.bytes)
	if budget == nil || bytes <= 0 {
		return
	}
	reservation.bytes -= bytes
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.reserved -= bytes
	account := budget.accounts[reservation.workspace]
	account.reserved -= bytes
	if account.reserved == 0 && (account.refused == 0 || len(budget.accounts) > maxAccounts) {
		delete(budget.accounts, reservation.workspace)
		return
	}
	budget.accounts[reservation.workspace] = account
}

// Release returns all reserved bytes to the budget.
func (reservation *Reservation) Release() {
	reservation.Shrink(reservation.bytes)
}

// RecordRefusal counts a request that was refused because it did not fit.
func (reservation *Reservation) RecordRefusal() {
	budget := reservation.budget
	if budget == nil {
		return
	}
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.refused++
	account, known := budget.accounts[reservation.workspace]
	if !known && len(budget.accounts) >= maxAccounts {
		return
	}
	account.refused++
	budget.accounts[reservation.workspace] = account
}

// RefusalSummary summarizes refused requests for the log.
type RefusalSummary struct {
	// Refused is the number of refusals since the last log line.
	Refused     uint64
	Reserved    int64
	BudgetBytes int64
}

// RefusalsToLog returns the summary to log, and whether a log line is due. One line covers all refusals within
// logInterval.
func (budget *Budget) RefusalsToLog(now time.Duration) (RefusalSummary, bool) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if budget.refused == budget.refusalsLogged || (budget.refusalsLogged > 0 && now-budget.loggedAt < logInterval) {
		return RefusalSummary{}, false
	}
	summary := RefusalSummary{Refused: budget.refused - budget.refusalsLogged, Reserved: budget.reserved, BudgetBytes: budget.size}
	budget.refusalsLogged, budget.loggedAt = budget.refused, now
	return summary, true
}

// State is the state of the budget in the state dump.
type State struct {
	// Bytes is the size of the budget, 0 if unlimited.
	Bytes int64
	Held  int64
	// Most is the highest number of bytes reserved at any time.
	Most    int64
	Refused uint64
	// Workspaces lists the workspaces with the most reserved bytes. Others is how many more workspaces have reserved
	// bytes or refusals.
	Workspaces []WorkspaceState
	Others     int
}

// WorkspaceState is the state of one workspace.
type WorkspaceState struct {
	Workspace string
	Held      int64
	Refused   uint64
}

// Totals returns the bytes reserved now, their peak, and the number of refused requests.
func (budget *Budget) Totals() (reserved, peak int64, refused uint64) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return budget.reserved, budget.peak, budget.refused
}

// State returns the state of the budget.
func (budget *Budget) State() State {
	budget.mu.Lock()
	state := State{Bytes: budget.size, Held: budget.reserved, Most: budget.peak, Refused: budget.refused, Workspaces: make([]WorkspaceState, 0, len(budget.accounts))}
	for workspace, account := range budget.accounts {
		state.Workspaces = append(state.Workspaces, WorkspaceState{Workspace: workspace, Held: account.reserved, Refused: account.refused})
	}
	budget.mu.Unlock()
	slices.SortFunc(state.Workspaces, func(one, other WorkspaceState) int {
		return cmp.Or(cmp.Compare(other.Held, one.Held), cmp.Compare(other.Refused, one.Refused), cmp.Compare(one.Workspace, other.Workspace))
	})
	if shown := min(maxStateWorkspaces, len(state.Workspaces)); shown < len(state.Workspaces) {
		state.Others = len(state.Workspaces) - shown
		state.Workspaces = state.Workspaces[:shown]
	}
	return state
}
