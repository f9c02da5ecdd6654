// Package admission decides whether a draft may start, so that a surge in one
// class does not starve the others.
//
// A class is never refused while it uses less than its guaranteed share of the
// data centre's capacity. Beyond it, classes use what the others leave idle. A
// class that comes back to its share is let in at once; the work that had
// borrowed it finishes, and the engines' priorities put the class first
// meanwhile. Workspaces of a class that has run out of room get equal parts.
//
// A request that cannot start within its class's target is refused at once, and
// told when room is expected. Nothing is queued to die.
//
// # Usage
//
//	gate := admission.New()
//	pass, refusal := gate.Enter(admission.Request{...})
//	if refusal == nil {
//		defer pass.Leave()
//	}
package admission

import (
	"context"
	"sync"
	"time"
)

const (
	// borrowLimit is the part of the capacity that classes beyond their share
	// may fill, so that a class within its share finds a place in the batch.
	borrowLimit = 0.9
	// retryLeast and retryMost bound what Retry-After says.
	retryLeast = time.Second
	retryMost  = 10 * time.Second
	// smoothing is the weight of a new sample of how long drafts take.
	smoothing = 0.1
)

// Class is what the gate knows about a class.
type Class struct {
	Name  string
	Model string
	// Share is the guaranteed part, 0 to 1, of the model's capacity.
	Share float64
	// Patience is how long a request may wait for room.
	Patience time.Duration
}

// Capacity is the room for one model's drafts in the data centre. Total is in
// drafts at once, Peers is what other nodes have running, Nodes how many nodes
// share it.
type Capacity struct {
	Total int64
	Peers int64
	Nodes int64
}

// Request asks to start one draft.
type Request struct {
	Class     Class
	Workspace string
	Capacity  Capacity
}

// Refusal says why a draft may not start, and when to come back.
type Refusal struct {
	Cause      string
	RetryAfter time.Duration
}

// Pass is the right to run one draft. Guaranteed marks one within the class's
// share. The holder calls Leave once.
type Pass struct {
	Guaranteed bool

	gate      *Gate
	class     string
	model     string
	workspace string
	began     time.Time
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

type classCount struct {
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
	mu      sync.Mutex
	classes map[string]*classCount
	models  map[string]int64
	freed   chan struct{}
	open    bool
}

// Option changes how a Gate is built.
type Option func(*Gate)

// Open lets every request in; comparisons use it.
func Open() Option {
	return func(gate *Gate) { gate.open = true }
}

// New returns an empty gate.
func New(options ...Option) *Gate {
	gate := &Gate{classes: map[string]*classCount{}, models: map[string]int64{}, freed: make(chan struct{})}
	for _, option := range options {
		option(gate)
	}
	return gate
}

// Enter admits the request, waits for room within the class's patience, or
// refuses it.
func (gate *Gate) Enter(ctx context.Context, request Request, capacity func() Capacity) (*Pass, *Refusal) {
	deadline := time.NewTimer(request.Class.Patience)
	defer deadline.Stop()
	for {
		request.Capacity = capacity()
		pass, refusal, freed := gate.try(request)
		if pass != nil || refusal != nil {
			return pass, refusal
		}
		select {
		case <-freed:
		case <-deadline.C:
			return nil, gate.refuse(request, "there was no room within the class's target")
		case <-ctx.Done():
			return nil, gate.refuse(request, "the caller left")
		}
		gate.stopWaiting(request.Class.Name)
	}
}

func (gate *Gate) refuse(request Request, cause string) *Refusal {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	count := gate.countLocked(request.Class.Name)
	count.waiting--
	return gate.refusalLocked(count, request, cause)
}

func (gate *Gate) stopWaiting(class string) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.countLocked(class).waiting--
}

// try admits or refuses at once, or returns the channel to wait on.
func (gate *Gate) try(request Request) (*Pass, *Refusal, <-chan struct{}) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	count := gate.countLocked(request.Class.Name)
	if request.Capacity.Total == 0 {
		return nil, gate.refusalLocked(count, request, "no group serves the class's model"), nil
	}
	guaranteed := float64(count.running) < guarantee(request)
	if guaranteed || gate.open || gate.roomLocked(count, request) {
		return gate.admitLocked(count, request, guaranteed), nil, nil
	}
	if gate.expectedWaitLocked(count, request) > request.Class.Patience {
		return nil, gate.refusalLocked(count, request, "the class's target could not be met"), nil
	}
	count.waiting++
	return nil, nil, gate.freed
}

// guarantee is this node's part of what the class is guaranteed.
func guarantee(request Request) float64 {
	return request.Class.Share * float64(request.Capacity.Total) / float64(max(1, request.Capacity.Nodes))
}

// roomLocked reports whether there is room beyond the guaranteed share, and
// whether the workspace may use it.
func (gate *Gate) roomLocked(count *classCount, request Request) bool {
	limit := borrowLimit * float64(request.Capacity.Total)
	used := float64(gate.models[request.Class.Model] + request.Capacity.Peers)
	mine := borrowLimit * float64(request.Capacity.Total) / float64(max(1, request.Capacity.Nodes))
	if used >= limit && float64(gate.models[request.Class.Model]) >= mine {
		return false
	}
	if used < limit/2 || len(count.workspaces) == 0 {
		return true
	}
	workspaces := len(count.workspaces)
	if count.workspaces[request.Workspace] == 0 {
		workspaces++
	}
	return float64(count.workspaces[request.Workspace]) < max(1, mine/float64(workspaces)) || used < limit*3/4
}

// expectedWaitLocked estimates when a place comes free for one more: the
// places turn over once in the mean time that a draft takes.
func (gate *Gate) expectedWaitLocked(count *classCount, request Request) time.Duration {
	places := max(1, gate.models[request.Class.Model])
	return count.meanTime * time.Duration(count.waiting+1) / time.Duration(places)
}

func (gate *Gate) refusalLocked(count *classCount, request Request, cause string) *Refusal {
	count.refused++
	wait := gate.expectedWaitLocked(count, request) - request.Class.Patience
	return &Refusal{Cause: cause, RetryAfter: min(retryMost, max(retryLeast, wait))}
}

func (gate *Gate) admitLocked(count *classCount, request Request, guaranteed bool) *Pass {
	count.running++
	count.admitted++
	if !guaranteed {
		count.borrowed++
	}
	count.workspaces[request.Workspace]++
	gate.models[request.Class.Model]++
	return &Pass{
		Guaranteed: guaranteed, gate: gate, class: request.Class.Name, model: request.Class.Model,
		workspace: request.Workspace, began: time.Now(),
	}
}

func (gate *Gate) countLocked(class string) *classCount {
	count, ok := gate.classes[class]
	if !ok {
		count = &classCount{workspaces: map[string]int64{}}
		gate.classes[class] = count
	}
	return count
}

// Leave ends the draft and wakes the requests that wait for room.
func (pass *Pass) Leave() {
	gate := pass.gate
	gate.mu.Lock()
	defer gate.mu.Unlock()
	count := gate.countLocked(pass.class)
	count.running--
	gate.models[pass.model]--
	count.workspaces[pass.workspace]--
	if count.workspaces[pass.workspace] == 0 {
		delete(count.workspaces, pass.workspace)
	}
	took := time.Since(pass.began)
	if count.meanTime == 0 {
		count.meanTime = took
	}
	count.meanTime += time.Duration(smoothing * float64(took-count.meanTime))
	close(gate.freed)
	gate.freed = make(chan struct{})
}

// State returns the gate's part of the state dump.
func (gate *Gate) State() []ClassState {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	states := []ClassState{}
	for name, count := range gate.classes {
		states = append(states, ClassState{
			Name: name, Running: count.running, Waiting: count.waiting, Admitted: count.admitted,
			Borrowed: count.borrowed, Refused: count.refused, Workspaces: len(count.workspaces),
			MeanTimeMs: count.meanTime.Milliseconds(),
		})
	}
	return states
}
