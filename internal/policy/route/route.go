// Package route chooses the replica group for a draft by the predicted time to its first token.
//
// The prediction adds up the work queued at a group, the part of the prompt that is not in the group's prefix
// cache, and the distance. The queue length is known late: the group's own report is corrected by what this node
// has sent since and by the loads that its peers report. All nodes see the same late reports and would all
// choose the same best group, so each node chooses at random among the groups near the best.
//
// A choice reads an immutable table and a few atomics and takes no lock. Its cost doesn't depend on the number
// of nodes.
//
// # Usage
//
//	router := route.New(route.Random(draw))
//	router.Update(targets, nodes)
//	choice, ok := router.Pick(route.Request{Model: "draft", PromptTokens: 300}, now)
//	defer choice.Done(...)
package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// nearBestShare and nearBestMargin bound how much worse than the best prediction a group's prediction may be for
	// the group to be chosen: by a fifth, or by a few milliseconds, whichever is more.
	nearBestShare  = 0.2
	nearBestMargin = 5 * time.Millisecond
	// failurePause is how long a group that has just failed gets no new work, unless a newer report of it arrives.
	failurePause = 2 * time.Second
	// rampUpTime is how long a group that failed then gets only a part of its share.
	rampUpTime     = 5 * time.Second
	prefixSlots    = 256
	prefixLifetime = 2 * time.Minute
	// cachedPrefixSaving is the part of the prefill time that a cached prefix is assumed to save. It is not 1
	// because the engine's cache is small and evicts prefixes.
	cachedPrefixSaving      = 0.5
	defaultPrefillPerSecond = 10_000
	defaultTokensPerSecond  = 500
	// reportDecayTime is the age at which the excess of a group's report over the node reports has a weight of a
	// third.
	reportDecayTime = 500 * time.Millisecond
	// remoteShareDivisor limits what a node sends to a group of another data centre to that part of its share, so
	// that a surge in one data centre doesn't overload its neighbours.
	remoteShareDivisor = 2
	// remoteMaxFill is the load, by its last report, up to which a group of another data centre gets work from here.
	remoteMaxFill = 0.9
	// remoteMargin is added to the prediction for a group of another data centre, which must be better by that much.
	remoteMargin = 30 * time.Millisecond
)

// Target is one serving group in the routing table.
type Target struct {
	Number           uint64
	Model            string
	Leader           string
	DataCentre       string
	Remote           bool
	Running          uint32
	QueuedTokens     uint32
	TokensPerSecond  uint32
	PrefillPerSecond uint32
	Concurrency      uint32
	ReadAt           time.Duration
	// PeerTokens and PeerRunning are the loads that other nodes report for the group.
	PeerTokens  uint32
	PeerRunning uint32
}

// Request describes the draft to route. PromptTokens is an estimate.
type Request struct {
	Model        string
	PromptTokens int
	AnswerTokens int
	PrefixHash   uint64
	// Exclude is a group that must not be chosen, 0 for none.
	Exclude uint64
}

// Choice is a chosen group. The holder calls Done once.
type Choice struct {
	Target Target
	// Predicted is the predicted time to the first token.
	Predicted time.Duration
	// NearBest is the number of groups near the best prediction, Groups the number of all groups of the model.
	NearBest int
	Groups   int

	state  *groupState
	tokens int64
}

// groupState is what this node itself knows of a group. It survives Update: all routing tables share the same
// object.
type groupState struct {
	outstandingTokens atomic.Int64
	runningDrafts     atomic.Int64
	failedAt          atomic.Int64
	prefixes          [prefixSlots]atomic.Uint64
}

type candidate struct {
	target Target
	state  *groupState
	// maxRunning is the number of drafts that this node may run at the group at once.
	maxRunning int64
}

type routingTable struct {
	byModel map[string]*modelGroups
}

// modelGroups are the groups of one model, in this data centre and in others.
type modelGroups struct {
	// capacity and peerRunning are totals over the local groups, remoteCapacity is the total of this node's shares
	// of the remote groups.
	capacity, peerRunning, remoteCapacity int64

	local  candidateList
	remote candidateList
}

type candidateList struct {
	candidates []candidate
	byNumber   map[uint64]int
}

func (candidateList *candidateList) add(candidate candidate) {
	if candidateList.byNumber == nil {
		candidateList.byNumber = map[uint64]int{}
	}
	candidateList.byNumber[candidate.target.Number] = len(candidateList.candidates)
	candidateList.candidates = append(candidateList.candidates, candidate)
}

// GroupState is one group in the state dump.
type GroupState struct {
	Target      Target
	Outstanding int64
	Running     int64
	Share       int64
}

// Router chooses groups.
type Router struct {
	table   atomic.Pointer[routingTable]
	random  func(n int) int
	predict Predictor
	// prefixes holds the number of the group that last got a prompt with the prefix.
	prefixes [prefixSlots]atomic.Uint64

	mu     sync.Mutex
	states map[uint64]*groupState
}

// Option configures a Router.
type Option func(*Router)

// Random sets the function that draws a random number in [0, n). It must be safe for concurrent use.
func Random(draw func(n int) int) Option {
	return func(router *Router) { router.random = draw }
}

// WithPredictor replaces the predictor. Comparisons with simpler rules use it.
func WithPredictor(predict Predictor) Option {
	return func(router *Router) { router.predict = predict }
}

// New returns a router without groups.
func New(options ...Option) *Router {
	router := &Router{random: rand.IntN, predict: PredictFirstToken, states: map[uint64]*groupState{}}
	router.table.Store(&routingTable{byModel: map[string]*modelGroups{}})
	for _, option := range options {
		option(router)
	}
	return router
}

// Update replaces the routing table. nodes is the number of nodes of the data centre that share the groups. Each
// node gets an equal share of a group's concurrency, and may exceed it while the group as a whole is not full.
func (router *Router) Update(targets []Target, nodes int) {
	router.mu.Lock()
	defer router.mu.Unlock()
	states := map[uint64]*groupState{}
	next := &routingTable{byModel: map[string]*modelGroups{}}
	for _, target := range targets {
		state, ok := router.states[target.Number]
		if !ok {
			state = &groupState{}
		}
		states[target.Number] = state
		share := int64(max(1, int(target.Concurrency)/max(1, nodes)))
		if target.Remote {
			share = max(1, share/remoteShareDivisor)
		}
		next.add(candidate{target: target, state: state, maxRunning: share})
	}
	for number, state := range router.states {
		if state.runningDrafts.Load() > 0 && states[number] == nil {
			states[number] = state
		}
	}
	router.states = states
	router.table.Store(next)
}

func (routingTable *routingTable) add(candidate candidate) {
	groups, ok := routingTable.byModel[candidate.target.Model]
	if !ok {
		groups = &modelGroups{}
		routingTable.byModel[candidate.target.Model] = groups
	}
	if candidate.target.Remote {
		groups.remoteCapacity += candidate.maxRunning
		groups.remote.add(candidate)
		return
	}
	groups.capacity += int64(candidate.target.Concurrency)
	groups.peerRunning += int64(candidate.target.PeerRunning)
	groups.local.add(candidate)
}

const (
	// windowSize is the number of local, or remote, groups that one search considers.
	windowSize = 12
	// maxCandidates is the maximum number of groups in one search: two windows and the group that has the prefix.
	maxCandidates = 2*windowSize + 1
)

// prefixTimestampBits is the number of low bits of a prefix slot that hold when the prefix was sent, in seconds.
// The other bits hold a part of the prefix hash.
const prefixTimestampBits = 24

func (choice *Choice) recordStart(prefix uint64, now time.Duration) {
	choice.state.outstandingTokens.Add(choice.tokens)
	choice.state.runningDrafts.Add(1)
	choice.state.rememberPrefix(prefix, now)
}

// RecordToken records that one token of the answer has arrived.
func (choice *Choice) RecordToken() {
	if choice.tokens > 0 {
		choice.tokens--
		choice.state.outstandingTokens.Add(-1)
	}
}

// Done ends the choice. A group that failed gets no new work until a newer report of it arrives, and less work
// for some time after that.
func (choice *Choice) Done(failed bool, now time.Duration) {
	choice.state.outstandingTokens.Add(-choice.tokens)
	choice.state.runningDrafts.Add(-1)
	choice.tokens = 0
	if failed {
		choice.state.failedAt.Store(int64(now))
	}
}

// Capacity returns how many drafts of a model can run at once at the groups of this data centre, plus this
// node's share of other data centres, and how many slots of the local groups are taken according to peers.
func (router *Router) Capacity(model string) (capacity, taken int64) {
	groups, ok := router.table.Load().byModel[model]
	if !ok {
		return 0, 0
	}
	return groups.capacity + groups.remoteCapacity, groups.peerRunning
}

// OwnLoads returns this node's load at each group, to be sent to peers.
func (router *Router) OwnLoads() []GroupState {
	router.mu.Lock()
	defer router.mu.Unlock()
	loads := []GroupState{}
	for number, state := range router.states {
		if running := state.runningDrafts.Load(); running > 0 {
			loads = append(loads, GroupState{Target: Target{Number: number}, Outstanding: state.outstandingTokens.Load(), Running: running})
		}
	}
	return loads
}

// State returns the router's part of the state dump.
func (router *Router) State() []GroupState {
	states := []GroupState{}
	for _, groups := range router.table.Load().byModel {
		for _, candidate := range slices.Concat(groups.local.candidates, groups.remote.candidates) {
			states = append(states, GroupState{
				Target: candidate.target, Outstanding: candidate.state.outstandingTokens.Load(),
				Running: candidate.state.runningDrafts.Load(), Share: candidate.maxRunning,
			})
		}
	}
	slices.SortFunc(states, func(a, b GroupState) int { return int(int64(a.Target.Number) - int64(b.Target.Number)) })
	return states
}
