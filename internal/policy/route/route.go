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
	"math"
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
	spillPart = 4
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

// Predictor estimates the time to the first token at a group at which this
// node has so many drafts and tokens under way.
type Predictor func(target *Target, own Own, request Request, now time.Duration) time.Duration

// Own is what this node itself has at a group.
type Own struct {
	Running     int64
	Outstanding int64
	// Cached tells that the group is likely to know the prompt's prefix.
	Cached bool
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

// Pick chooses a group for the request, and false when there is none that may
// take it. It looks at a few groups drawn at random and at the one that last
// had the prompt's prefix, so its cost does not grow with the groups; where
// none of these may take the request it looks at all.
func (router *Router) Pick(request Request, now time.Duration) (Choice, bool) {
	groups, ok := router.table.Load().byModel[request.Model]
	if !ok {
		return Choice{}, false
	}
	search := search{request: request, now: now, predict: router.predict}
	search.window(&groups.local, router.random)
	search.window(&groups.remote, router.random)
	if remembered, ok := groups.local.byNumber[router.prefixes[request.Prefix%prefixSlots].Load()]; ok {
		search.consider(&groups.local.candidates[remembered])
	}
	if search.count == 0 {
		search.all(&groups.local)
		search.all(&groups.remote)
	}
	known := len(groups.local.candidates) + len(groups.remote.candidates)
	if search.count == 0 {
		return Choice{Known: known}, false
	}
	chosen, predicted, near := search.draw(router.random)
	choice := Choice{
		Target: chosen.target, Predicted: predicted, Near: near, Known: known,
		state: chosen.state, tokens: int64(request.AnswerTokens),
	}
	router.prefixes[request.Prefix%prefixSlots].Store(chosen.target.Number)
	choice.begin(request.Prefix, now)
	return choice, true
}

const (
	// windowGroups is how many groups of one kind are looked at.
	windowGroups = 12
	// searchMost is all that one search holds: two windows and one more.
	searchMost = 2*windowGroups + 1
)

// search is the groups that one choice has looked at. It lives on the stack.
type search struct {
	request     Request
	now         time.Duration
	predict     Predictor
	found       [searchMost]*candidate
	predictions [searchMost]time.Duration
	count       int
	best        time.Duration
}

// window looks at a run of groups that begins at random.
func (search *search) window(list *list, random func(n int) int) {
	total := len(list.candidates)
	if total == 0 {
		return
	}
	first := 0
	if total > windowGroups {
		first = random(total)
	}
	for offset := range min(total, windowGroups) {
		search.consider(&list.candidates[(first+offset)%total])
	}
}

// all looks at every group until enough may take the request.
func (search *search) all(list *list) {
	for index := range list.candidates {
		search.consider(&list.candidates[index])
	}
}

func (search *search) consider(candidate *candidate) {
	if search.count == searchMost || !candidate.open(search.request, search.now) {
		return
	}
	predicted := search.predict(&candidate.target, candidate.state.own(search.request.Prefix, search.now), search.request, search.now)
	if search.count == 0 || predicted < search.best {
		search.best = predicted
	}
	search.found[search.count], search.predictions[search.count] = candidate, predicted
	search.count++
}

// draw chooses at random among those near the best.
func (search *search) draw(random func(n int) int) (chosen *candidate, predicted time.Duration, near int) {
	limit := search.best + max(nearBestLeast, time.Duration(float64(search.best)*nearBestShare))
	var within [searchMost]int
	for index := range search.count {
		if search.predictions[index] <= limit {
			within[near] = index
			near++
		}
	}
	drawn := within[random(near)]
	return search.found[drawn], search.predictions[drawn], near
}

// open reports whether the group may take one more draft of this node.
func (candidate *candidate) open(request Request, now time.Duration) bool {
	if candidate.target.Number == request.Exclude {
		return false
	}
	running := candidate.state.running.Load()
	suspected := time.Duration(candidate.state.suspectAt.Load())
	if suspected != 0 && candidate.target.ReadAt <= suspected && now-suspected < suspectFor {
		return false
	}
	if suspected != 0 && now-suspected < suspectFor+rampFor {
		return running < max(1, candidate.share/4)
	}
	if candidate.target.Remote {
		return running < candidate.share
	}
	return running < candidate.share || running+int64(candidate.target.PeerRunning) < int64(candidate.target.Concurrency)
}

func (state *groupState) own(prefix uint64, now time.Duration) Own {
	return Own{Running: state.running.Load(), Outstanding: state.outstanding.Load(), Cached: state.cached(prefix, now)}
}

// Prediction is the usual Predictor.
func Prediction(target *Target, own Own, request Request, now time.Duration) time.Duration {
	rate := float64(orDefault(target.TokensPerSecond, defaultRate))
	prefill := float64(orDefault(target.PrefillPerSecond, defaultPrefill))
	// What nodes say they have there is a second old at most; the group's own
	// report is older and counts much of the same work again. Of what it says
	// beyond theirs, less is believed the older it is.
	believed := math.Exp(-(now - target.ReadAt).Seconds() / reportTrust.Seconds())
	queued := float64(own.Outstanding) + float64(target.PeerTokens)
	queued += believed * max(0, float64(target.QueuedTokens)-queued)
	running := float64(own.Running) + float64(target.PeerRunning)
	running += believed * max(0, float64(target.Running)-running)
	waiting := 0.0
	if running >= float64(target.Concurrency) && running > 0 {
		// Every place in the batch is taken: the draft waits for the share of
		// the queue that is ahead of it.
		waiting = queued * (running - float64(target.Concurrency) + 1) / running / rate
	}
	prompt := float64(request.PromptTokens) / prefill
	if own.Cached {
		prompt *= 1 - cachedShare
	}
	// A fuller batch makes each step longer, which a draft pays at every token.
	step := running / rate
	seconds := waiting + prompt + step
	predicted := time.Duration(seconds * float64(time.Second))
	if target.Remote {
		predicted += remoteMargin
	}
	return predicted
}

func orDefault(value, otherwise uint32) uint32 {
	if value == 0 {
		return otherwise
	}
	return value
}

// The low bits of a slot hold when the prefix was sent, in seconds, the rest a
// part of its hash.
const prefixTimeBits = 24

func (state *groupState) cached(prefix uint64, now time.Duration) bool {
	slot := state.prefixes[prefix%prefixSlots].Load()
	sent := time.Duration(slot&(1<<prefixTimeBits-1)) * time.Second
	return slot != 0 && slot>>prefixTimeBits == prefix>>prefixTimeBits && now.Truncate(time.Second)-sent < prefixLifetime
}

func (state *groupState) remember(prefix uint64, now time.Duration) {
	seconds := uint64(now/time.Second) & (1<<prefixTimeBits - 1)
	state.prefixes[prefix%prefixSlots].Store(prefix>>prefixTimeBits<<prefixTimeBits | seconds)
}

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
