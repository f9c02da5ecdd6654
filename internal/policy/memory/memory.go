// Package memory is a node's budget of bytes for what it buffers between callers and
// servers: request bodies, plain answers, and events that are not whole yet.
//
// The budget is shared by workspaces with a dynamic threshold: a workspace may be granted
// bytes as long as it then holds no more than what is left free. One workspace alone gets
// half of the budget at the most, k greedy ones get 1/(k+1) each, and as much stays free
// for the small requests of all others. Nothing that was granted is taken back.
//
// Bytes of a stream that was begun are counted with Take whether they fit or not, since
// such a stream is never given up; they leave less for what can still be refused.
//
// The package starts no goroutines and reads no clock.
//
// # Usage
//
//	budget := memory.New(memory.Part(limit))
//	hold := budget.Hold("acme", false)
//	defer hold.Release()
//	if !hold.Grow(int64(len(body))) {
//		hold.Refuse()
//	}
package memory

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// part is the part of the process's memory limit that the budget is, as a divisor. The
// rest is for the heap's garbage, which may be half as much as what is live, for stacks,
// connections, and what the node knows of the fleet.
const part = 4

// Part returns the budget of a process with a memory limit; 0 is no bound.
func Part(limit int64) int64 {
	return max(0, limit) / part
}

const (
	// accountsKept bounds the workspaces of which refusals are remembered while they hold
	// nothing.
	accountsKept = 256
	// statesShown bounds the workspaces in the state dump.
	statesShown = 16
	// tellPause is the least time between two log lines on refusals.
	tellPause = 10 * time.Second
)

// account is what one workspace holds.
type account struct {
	held    int64
	refused uint64
}

// Budget counts bytes. Use New.
type Budget struct {
	bytes int64

	mu       sync.Mutex
	held     int64
	most     int64
	refused  uint64
	accounts map[string]account
	told     uint64
	toldAt   time.Duration
}

// New returns a budget of so many bytes; 0 is without bound.
func New(bytes int64) *Budget {
	return &Budget{bytes: max(0, bytes), accounts: map[string]account{}}
}

// Bounded says whether anything can be refused.
func (budget *Budget) Bounded() bool {
	return budget.bytes > 0
}

// Hold returns a hold of nothing yet. Alone says that no other workspace can ask this node
// for anything, so that the whole budget may be granted to the one.
func (budget *Budget) Hold(workspace string, alone bool) Hold {
	return Hold{budget: budget, workspace: workspace, alone: alone}
}

// Hold is what one request holds. It is used by one goroutine at a time.
type Hold struct {
	budget    *Budget
	workspace string
	alone     bool
	bytes     int64
}

// Bytes returns how many bytes are held.
func (hold *Hold) Bytes() int64 {
	return hold.bytes
}

// Grow asks for more bytes and says whether they were granted.
func (hold *Hold) Grow(bytes int64) bool {
	budget := hold.budget
	if budget == nil || bytes <= 0 {
		return true
	}
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if !budget.fitsLocked(hold, bytes) {
		return false
	}
	budget.addLocked(hold, bytes)
	return true
}

// fitsLocked says whether the workspace would hold no more than what is left free.
func (budget *Budget) fitsLocked(hold *Hold, bytes int64) bool {
	if budget.bytes == 0 {
		return true
	}
	free := budget.bytes - budget.held - bytes
	if hold.alone {
		return free >= 0
	}
	return budget.accounts[hold.workspace].held+bytes <= free
}

// Take counts more bytes whether they fit or not.
func (hold *Hold) Take(bytes int64) {
	budget := hold.budget
	if budget == nil || bytes <= 0 {
		return
	}
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.addLocked(hold, bytes)
}

func (budget *Budget) addLocked(hold *Hold, bytes int64) {
	account := budget.accounts[hold.workspace]
	account.held += bytes
	budget.accounts[hold.workspace] = account
	hold.bytes += bytes
	budget.held += bytes
	budget.most = max(budget.most, budget.held)
}

// Shrink gives some bytes back, at the most those that are held.
func (hold *Hold) Shrink(bytes int64) {
	budget := hold.budget
	bytes = min(bytes, hold.bytes)
	if budget == nil || bytes <= 0 {
		return
	}
	hold.bytes -= bytes
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.held -= bytes
	account := budget.accounts[hold.workspace]
	account.held -= bytes
	if account.held == 0 && (account.refused == 0 || len(budget.accounts) > accountsKept) {
		delete(budget.accounts, hold.workspace)
		return
	}
	budget.accounts[hold.workspace] = account
}

// Release gives everything back.
func (hold *Hold) Release() {
	hold.Shrink(hold.bytes)
}

// Refuse counts a request that was refused since it did not fit.
func (hold *Hold) Refuse() {
	budget := hold.budget
	if budget == nil {
		return
	}
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.refused++
	account, known := budget.accounts[hold.workspace]
	if !known && len(budget.accounts) >= accountsKept {
		return
	}
	account.refused++
	budget.accounts[hold.workspace] = account
}

// Refusals is what the log tells of requests that were refused.
type Refusals struct {
	// Refused is how many were since the last line.
	Refused uint64
	Held    int64
	Bytes   int64
}

// Tell returns what the log should tell at a time, and whether a line is due: one for all
// refusals of some seconds.
func (budget *Budget) Tell(now time.Duration) (Refusals, bool) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if budget.refused == budget.told || (budget.told > 0 && now-budget.toldAt < tellPause) {
		return Refusals{}, false
	}
	refusals := Refusals{Refused: budget.refused - budget.told, Held: budget.held, Bytes: budget.bytes}
	budget.told, budget.toldAt = budget.refused, now
	return refusals, true
}

// State is the budget for the state dump.
type State struct {
	// Bytes is the budget, 0 without bound.
	Bytes int64
	Held  int64
	// Most is the most that was held at once.
	Most    int64
	Refused uint64
	// Workspaces are those that hold most; Others is how many more hold something or were
	// refused.
	Workspaces []WorkspaceState
	Others     int
}

// WorkspaceState is what one workspace holds.
type WorkspaceState struct {
	Workspace string
	Held      int64
	Refused   uint64
}

// Sums returns what is held, the most that was, and how many requests were refused.
func (budget *Budget) Sums() (held, most int64, refused uint64) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return budget.held, budget.most, budget.refused
}

// State returns the budget's state.
func (budget *Budget) State() State {
	budget.mu.Lock()
	state := State{Bytes: budget.bytes, Held: budget.held, Most: budget.most, Refused: budget.refused, Workspaces: make([]WorkspaceState, 0, len(budget.accounts))}
	for workspace, account := range budget.accounts {
		state.Workspaces = append(state.Workspaces, WorkspaceState{Workspace: workspace, Held: account.held, Refused: account.refused})
	}
	budget.mu.Unlock()
	slices.SortFunc(state.Workspaces, func(one, other WorkspaceState) int {
		return cmp.Or(cmp.Compare(other.Held, one.Held), cmp.Compare(other.Refused, one.Refused), cmp.Compare(one.Workspace, other.Workspace))
	})
	if shown := min(statesShown, len(state.Workspaces)); shown < len(state.Workspaces) {
		state.Others = len(state.Workspaces) - shown
		state.Workspaces = state.Workspaces[:shown]
	}
	return state
}
