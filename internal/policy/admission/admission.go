// Package admission decides whether a draft may start, so that a surge in one class does not starve the others.
//
// A class is never refused while it uses less than its guaranteed share of the data centre's capacity. Beyond
// its share, a class borrows what the others leave idle. A class that returns to its share is admitted
// immediately: the drafts that had borrowed the capacity finish, and the engines' priorities favour the class
// meanwhile. Workspaces of a class that has run out of capacity get equal parts.
//
// A request that cannot start within its class's target is refused immediately, with the time at which capacity
// is expected. No request is queued if it would miss its target.
//
// # Usage
//
//	gate := admission.New()
//	permit, refusal := gate.Admit(ctx, admission.Request{...}, capacity)
//	if refusal == nil {
//		defer permit.Release()
//	}
package admission

import (
	"context"
	"sync"
	"time"
)

const (
	// borrowingCeiling is the part of the capacity that classes beyond their shares may fill, so that a class within
	// its share finds a slot in the batch.
	borrowingCeiling = 0.9
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
	// meanTimeWeight is the weight of a new sample in the moving average of draft durations.
	meanTimeWeight = 0.1
)

// Class is what the gate needs to know of a class.
type Class struct {
	Name  string
	Model string
	// Share is the guaranteed part of the model's capacity, from 0 to 1.
	Share float64
	// MaxWait is how long a request may wait for a slot.
	MaxWait time.Duration
}

// Capacity is the capacity for one model's drafts in the data centre. Total is the number of concurrent drafts,
// PeerRunning the number that other nodes run, and Nodes the number of nodes that share the capacity.
type Capacity struct {
	Total       int64
	PeerRunning int64
	Nodes       int64
}

// Request asks to start one draft.
type Request struct {
	Class     Class
	Workspace string
	Capacity  Capacity
}

// Refusal says why a draft may not start, and when to retry.
type Refusal struct {
	Cause      string
	RetryAfter time.Duration
}

// Permit is the right to run one draft. Guaranteed marks a draft within the class's share. The holder calls
// Release once.
type Permit struct {
	Guaranteed bool

	gate       *Gate
	class      string
	model      string
	workspace  string
	admittedAt time.Time
}

// ClassState is one class in the state dump.
type ClassState struct {
	Name       string
	Running    int64
	Waiting    int
	Admitted   uint64
	Borrowed   uint64
	Refused    uint64
	Workspaces int
	MeanTimeMs int64
}

type classUsage struct {
	running    int64
	waiting    int
	workspaces map[string]int64
	admitted   uint64
	borrowed   uint64
	refused    uint64
	meanTime   time.Duration
}

// Gate admits the drafts of one node.
type Gate struct {
	mu             sync.Mutex
	classes        map[string]*classUsage
	runningByModel map[string]int64
	released       chan struct{}
	admitAll       bool
}

// Option configures a Gate.
type Option func(*Gate)

// AdmitAll disables admission control: every request is admitted. Comparisons use it.
func AdmitAll() Option {
	return func(gate *Gate) { gate.admitAll = true }
}

// New returns a gate without running drafts.
func New(options ...Option) *Gate {
	gate := &Gate{classes: map[string]*classUsage{}, runningByModel: map[string]int64{}, released: make(chan struct{})}
	for _, option := range options {
		option(gate)
	}
	return gate
}

// Admit admits the request, waits for a slot up to the class's MaxWait, or refuses the request.
func (gate *Gate) Admit(ctx context.Context, request Request, capacity func() Capacity) (*Permit, *Refusal) {
	deadline := time.NewTimer(request.Class.MaxWait)
	defer deadline.Stop()
	for {
		request.Capacity = capacity()
		permit, refusal, released := gate.tryAdmit(request)
		if permit != nil || refusal != nil {
			return permit, refusal
		}
		select {
		case <-released:
		case <-deadline.C:
			return nil, gate.refuseWaiting(request, "there was no room within the class's target")
		case <-ctx.Done():
			return nil, gate.refuseWaiting(request, "the caller left")
		}
		gate.stopWaiting(request.Class.Name)
	}
}

func (gate *Gate) refuseWaiting(request Request, cause string) *Refusal {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	usage := gate.usageLocked(request.Class.Name)
	usage.waiting--
	return gate.refusalLocked(usage, request, cause)
}

func (gate *Gate) stopWaiting(class string) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.usageLocked(class).waiting--
}

// tryAdmit admits or refuses the request immediately, or returns the channel to wait on.
func (gate *Gate) tryAdmit(request Request) (*Permit, *Refusal, <-chan struct{}) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	usage := gate.usageLocked(request.Class.Name)
	if request.Capacity.Total == 0 {
		return nil, gate.refusalLocked(usage, request, "no group serves the class's model"), nil
	}
	guaranteed := float64(usage.running) < nodeGuarantee(request)
	if guaranteed || gate.admitAll || gate.mayBorrowLocked(usage, request) {
		return gate.admitLocked(usage, request, guaranteed), nil, nil
	}
	if gate.expectedWaitLocked(usage, request) > request.Class.MaxWait {
		return nil, gate.refusalLocked(usage, request, "the class's target could not be met"), nil
	}
	usage.waiting++
	return nil, nil, gate.released
}

// nodeGuarantee returns this node's part of the class's guaranteed share.
func nodeGuarantee(request Request) float64 {
	return request.Class.Share * float64(request.Capacity.Total) / float64(max(1, request.Capacity.Nodes))
}

// mayBorrowLocked reports whether there is capacity beyond the guaranteed share, and whether the workspace may
// use it.
func (gate *Gate) mayBorrowLocked(usage *classUsage, request Request) bool {
	limit := borrowingCeiling * float64(request.Capacity.Total)
	running := float64(gate.runningByModel[request.Class.Model] + request.Capacity.PeerRunning)
	nodeLimit := borrowingCeiling * float64(request.Capacity.Total) / float64(max(1, request.Capacity.Nodes))
	if running >= limit && float64(gate.runningByModel[request.Class.Model]) >= nodeLimit {
		return false
	}
	if running < limit/2 || len(usage.workspaces) == 0 {
		return true
	}
	workspaces := len(usage.workspaces)
	if usage.workspaces[request.Workspace] == 0 {
		workspaces++
	}
	return float64(usage.workspaces[request.Workspace]) < max(1, nodeLimit/float64(workspaces)) || running < limit*3/4
}

// expectedWaitLocked estimates when a slot comes free for one more draft. It assumes that each slot is released
// once per mean draft duration.
func (gate *Gate) expectedWaitLocked(usage *classUsage, request Request) time.Duration {
	slots := max(1, gate.runningByModel[request.Class.Model])
	return usage.meanTime * time.Duration(usage.waiting+1) / time.Duration(slots)
}

func (gate *Gate) refusalLocked(usage *classUsage, request Request, cause string) *Refusal {
	usage.refused++
	wait := gate.expectedWaitLocked(usage, request) - request.Class.MaxWait
	return &Refusal{Cause: cause, RetryAfter: min(maxRetryAfter, max(minRetryAfter, wait))}
}

func (gate *Gate) admitLocked(usage *classUsage, request Request, guaranteed bool) *Permit {
	usage.running++
	usage.admitted++
	if !guaranteed {
		usage.borrowed++
	}
	usage.workspaces[request.Workspace]++
	gate.runningByModel[request.Class.Model]++
	return &Permit{
		Guaranteed: guaranteed, gate: gate, class: request.Class.Name, model: request.Class.Model,
		workspace: request.Workspace, admittedAt: time.Now(),
	}
}

func (gate *Gate) usageLocked(class string) *classUsage {
	usage, ok := gate.classes[class]
	if !ok {
		usage = &classUsage{workspaces: map[string]int64{}}
		gate.classes[class] = usage
	}
	return usage
}

// Release ends the draft and wakes the requests that wait for a slot.
func (permit *Permit) Release() {
	gate := permit.gate
	gate.mu.Lock()
	defer gate.mu.Unlock()
	usage := gate.usageLocked(permit.class)
	usage.running--
	gate.runningByModel[permit.model]--
	usage.workspaces[permit.workspace]--
	if usage.workspaces[permit.workspace] == 0 {
		delete(usage.workspaces, permit.workspace)
	}
	elapsed := time.Since(permit.admittedAt)
	if usage.meanTime == 0 {
		usage.meanTime = elapsed
	}
	usage.meanTime += time.Duration(meanTimeWeight * float64(elapsed-usage.meanTime))
	close(gate.released)
	gate.released = make(chan struct{})
}

// State returns the gate's part of the state dump.
func (gate *Gate) State() []ClassState {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	states := []ClassState{}
	for name, usage := range gate.classes {
		states = append(states, ClassState{
			Name: name, Running: usage.running, Waiting: usage.waiting, Admitted: usage.admitted,
			Borrowed: usage.borrowed, Refused: usage.refused, Workspaces: len(usage.workspaces),
			MeanTimeMs: usage.meanTime.Milliseconds(),
		})
	}
	return states
}
