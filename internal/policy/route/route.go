// Package route chooses the replica group for a draft by the predicted time to
// its first token.
//
// The prediction adds the work that waits at a group, the part of the prompt
// that is not in its prefix cache, and the distance. What waits is known late:
// the group's own report is corrected by what this node sent since and by what
// its peers said they have there. Since every node sees the same late reports,
// all of them would rush to the same best group; each therefore chooses at
// random among those near the best.
//
// One choice reads an immutable table and a few atomics, takes no lock, and
// costs the same however many nodes there are.
//
// # Usage
//
//	router := route.New(route.Random(draw))
//	router.Update(targets, nodes, now)
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
	// nearBest is how much worse than the best prediction a group may be and
	// still be chosen: a fifth, or a few milliseconds.
	nearBestShare = 0.2
	nearBestLeast = 5 * time.Millisecond
	// suspectFor is how long a group that just failed gets no new work, unless
	// a newer report of it arrives.
	suspectFor = 2 * time.Second
	// rampFor is how long a group that failed gets only a part of its share.
	rampFor        = 5 * time.Second
	prefixSlots    = 256
	prefixLifetime = 2 * time.Minute
	// cachedShare is how much of a prompt's time a known prefix is trusted to
	// save. The engine's cache is small and forgets, so it is not all of it.
	cachedShare    = 0.5
	defaultPrefill = 10_000
	defaultRate    = 500
	// reportTrust is the age at which a report's excess over what nodes say is
	// believed to a third.
	reportTrust = 500 * time.Millisecond
	// spillPart bounds what a node sends to a group of another data centre: a
	// part of the share that it would have there, so that one data centre's
	// surge does not sink its neighbours.
	spillPart = 2
	// spillRoom is how full a group of another data centre may be, by its last
	// report, and still get work from here.
	spillRoom = 0.9
	// remoteMargin is what a group of another data centre must be better by.
	remoteMargin = 30 * time.Millisecond
)

// Target is one serving group, as the router's table holds it.
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
	// PeerTokens and PeerRunning are what other nodes said they have there.
	PeerTokens  uint32
	PeerRunning uint32
}

// Request is what a choice depends on. PromptTokens is an estimate.
type Request struct {
	Model        string
	PromptTokens int
	AnswerTokens int
	Prefix       uint64
	// Exclude is a group not to choose, 0 for none.
	Exclude uint64
}

// Choice is a chosen group. The holder calls Done once.
type Choice struct {
	Target    Target
	Predicted time.Duration
	Near      int
	Known     int

	state  *groupState
	tokens int64
}

// groupState is what this node itself knows of a group. It outlives the
// tables, and is the same object in each of them.
type groupState struct {
	outstanding atomic.Int64
	running     atomic.Int64
	suspectAt   atomic.Int64
	prefixes    [prefixSlots]atomic.Uint64
}

type candidate struct {
	target Target
	state  *groupState
	// share is how many drafts this node may have at the group at once.
	share int64
}

type table struct {
	byModel map[string]*groups
}

// groups are those of one model, of this data centre and of others.
type groups struct {
	// capacity and taken sum up the local groups, spill this node's shares of
	// the remote ones.
	capacity, taken, spill int64

	local  list
	remote list
}

type list struct {
	candidates []candidate
	byNumber   map[uint64]int
}

func (list *list) add(candidate candidate) {
	if list.byNumber == nil {
		list.byNumber = map[uint64]int{}
	}
	list.byNumber[candidate.target.Number] = len(list.candidates)
	list.candidates = append(list.candidates, candidate)
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
	table   atomic.Pointer[table]
	random  func(n int) int
	predict Predictor
	// prefixes remembers the group that last had a prompt's prefix.
	prefixes [prefixSlots]atomic.Uint64

	mu     sync.Mutex
	states map[uint64]*groupState
}

// Option changes how a Router is built.
type Option func(*Router)

// Random sets how a number below n is drawn. It is called from many
// goroutines.
func Random(draw func(n int) int) Option {
	return func(router *Router) { router.random = draw }
}

// Predict replaces the prediction; comparisons with simpler rules use it.
func Predict(predict Predictor) Option {
	return func(router *Router) { router.predict = predict }
}

// New returns a router that knows no groups.
func New(options ...Option) *Router {
	router := &Router{random: rand.IntN, predict: Prediction, states: map[uint64]*groupState{}}
	router.table.Store(&table{byModel: map[string]*groups{}})
	for _, option := range options {
		option(router)
	}
	return router
}

// Update replaces the table. Nodes is how many nodes of the data centre share
// the groups. Each node gets an even part of a group's concurrency, and may go
// beyond it while the group as a whole is not full.
func (router *Router) Update(targets []Target, nodes int) {
	router.mu.Lock()
	defer router.mu.Unlock()
	states := map[uint64]*groupState{}
	next := &table{byModel: map[string]*groups{}}
	for _, target := range targets {
		state, ok := router.states[target.Number]
		if !ok {
			state = &groupState{}
		}
		states[target.Number] = state
		share := int64(max(1, int(target.Concurrency)/max(1, nodes)))
		if target.Remote {
			share = max(1, share/spillPart)
		}
		next.add(candidate{target: target, state: state, share: share})
	}
	for number, state := range router.states {
		if state.running.Load() > 0 && states[number] == nil {
			states[number] = state
		}
	}
	router.states = states
	router.table.Store(next)
}

func (table *table) add(candidate candidate) {
	ofModel, ok := table.byModel[candidate.target.Model]
	if !ok {
		ofModel = &groups{}
		table.byModel[candidate.target.Model] = ofModel
	}
	if candidate.target.Remote {
		ofModel.spill += candidate.share
		ofModel.remote.add(candidate)
		return
	}
	ofModel.capacity += int64(candidate.target.Concurrency)
	ofModel.taken += int64(candidate.target.PeerRunning)
	ofModel.local.add(candidate)
}

const (
	// windowGroups is how many groups of one kind are looked at.
	windowGroups = 12
	// searchMost is all that one search holds: two windows and one more.
	searchMost = 2*windowGroups + 1
)

// The low bits of a slot hold when the prefix was sent, in seconds, the rest a
// part of its hash.
const prefixTimeBits = 24

func (choice *Choice) begin(prefix uint64, now time.Duration) {
	choice.state.outstanding.Add(choice.tokens)
	choice.state.running.Add(1)
	choice.state.remember(prefix, now)
}

// Token tells that one token of the answer has come.
func (choice *Choice) Token() {
	if choice.tokens > 0 {
		choice.tokens--
		choice.state.outstanding.Add(-1)
	}
}

// Done ends the choice. A failed group gets no new work until a newer report
// of it arrives, and then less for a while.
func (choice *Choice) Done(failed bool, now time.Duration) {
	choice.state.outstanding.Add(-choice.tokens)
	choice.state.running.Add(-1)
	choice.tokens = 0
	if failed {
		choice.state.suspectAt.Store(int64(now))
	}
}

// Capacity is how many drafts of a model can run at once at the groups of this
// data centre, and in what this node may use of others, and how many of them
// peers said are taken.
func (router *Router) Capacity(model string) (capacity, taken int64) {
	ofModel, ok := router.table.Load().byModel[model]
	if !ok {
		return 0, 0
	}
	return ofModel.capacity + ofModel.spill, ofModel.taken
}

// Sent returns what this node has at each group, for its peers.
func (router *Router) Sent() []GroupState {
	router.mu.Lock()
	defer router.mu.Unlock()
	sent := []GroupState{}
	for number, state := range router.states {
		if running := state.running.Load(); running > 0 {
			sent = append(sent, GroupState{Target: Target{Number: number}, Outstanding: state.outstanding.Load(), Running: running})
		}
	}
	return sent
}

// State returns the router's part of the state dump.
func (router *Router) State() []GroupState {
	states := []GroupState{}
	for _, ofModel := range router.table.Load().byModel {
		for _, candidate := range slices.Concat(ofModel.local.candidates, ofModel.remote.candidates) {
			states = append(states, GroupState{
				Target: candidate.target, Outstanding: candidate.state.outstanding.Load(),
				Running: candidate.state.running.Load(), Share: candidate.share,
			})
		}
	}
	slices.SortFunc(states, func(a, b GroupState) int { return int(int64(a.Target.Number) - int64(b.Target.Number)) })
	return states
}
