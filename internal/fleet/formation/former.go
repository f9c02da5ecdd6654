package formation

import (
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/fleet/roster"
)

// Parts is what a Former works with.
type Parts struct {
	Fleet
	View    *View
	Servers func() *roster.Snapshot
	// Services returns the services whose servers form groups.
	Services func() []Service
	// Term returns the number under which this node may give orders, 0 while it
	// may not.
	Term func() int64
	// Outdated is told of a number that a server refused.
	Outdated func(term int64)
	// Announce makes news known to this node and its peers.
	Announce func(news News)
	// Load returns what is asked of a model's groups.
	Load func(service, model string) Usage
	// Told says that this node is told what serves, and knows no servers to give orders
	// to.
	Told func() bool
	// Quiet says that no request has come yet.
	Quiet func() bool
	// BacksOff says whether a server asked this node for a backoff that lasts.
	BacksOff func(server *roster.Server) bool
	Bounds   Bounds
	Now      clock.Now
	Logger   *slog.Logger
}

const (
	// tick is how often the plan is looked at.
	tick = 100 * time.Millisecond
	// toldTick is how often a node that is told what serves looks whether that is still so.
	toldTick = 500 * time.Millisecond
	// answerTime bounds one question or order. A server in the region answers
	// within a few milliseconds; one that takes so long is dark.
	answerTime = 150 * time.Millisecond
	// listLag is how far the list's entries of one group may lie apart.
	listLag = 1500 * time.Millisecond
	// lostFor is how long a server that didn't answer is left alone: until the
	// registry has dropped it, if it is gone. Back among the spares before that, it
	// spoilt every other group that was tried.
	lostFor = 4 * time.Second
	// settleFor is how long a server is left alone whose report doesn't fit yet:
	// longer than reports are behind. The members of a group that just ended still
	// say that they serve.
	settleFor = 250 * time.Millisecond
	// examineAgain is how long a group that was found whole isn't asked again.
	examineAgain = 500 * time.Millisecond
	// termBits is how many epochs one term has.
	termBits = 16
	// nameDraws is how many ends a name may have.
	nameDraws = 36 * 36 * 36
)

// Former gives the orders that form and mend groups.
type Former struct {
	*lifecycle.Component
	Parts
	gate gate

	mu sync.Mutex
	// busy are the servers that are joining a group, with its model, and staging
	// those on whose host a model is loaded.
	busy    map[string]string
	staging map[string]string
	// lost are servers that didn't answer, up to when they are left alone.
	lost map[string]mark
	// settling are servers whose reports were behind, up to when they are left
	// alone.
	settling map[string]mark
	// forming are the groups in the making.
	forming map[string]Group
	// working are the groups that are being examined, ended or opened.
	working map[string]bool
	// whole are the groups that the list showed complete, by name, as of the
	// last round that did.
	whole map[string]Group
	// examined is when a group was last found whole.
	examined map[string]time.Duration
	// since is when a group was first seen in a state that should pass.
	since map[string]time.Duration
	// told is when the plan of a service was last logged.
	told map[string]time.Duration
	// planned is what each domain should hold, by service and domain.
	planned map[string]map[string]int
	// left are the groups whose heads this node saw leave them.
	left map[string]bool
	// ran is the model that each listed server ran last, as far as the list showed
	// it since this node and the server started; listed is the list that it was read
	// from.
	ran    map[string]string
	listed *roster.Snapshot
	// seen is the work of each service and model, averaged.
	seen map[string]sight
	// haves counts the groups of each service and model, as of the last round.
	haves map[string]int
	// lending says that a group is being ended for another.
	lending atomic.Bool
	counter int64
	termed  int64

	Counts Counts
}

// Counts are the former's counters; they only grow.
type Counts struct {
	Formed    atomic.Uint64
	Abandoned atomic.Uint64
	Lost      atomic.Uint64
	Retired   atomic.Uint64
	Staged    atomic.Uint64
	Orders    atomic.Uint64
	Reports   atomic.Uint64
	WholeSeen atomic.Uint64
	Lent      atomic.Uint64
}

// New returns a former that is yet to be started.
func New(parts Parts) *Former {
	former := &Former{
		Component: lifecycle.New("former"), Parts: parts,
		busy: map[string]string{}, staging: map[string]string{}, lost: map[string]mark{}, settling: map[string]mark{}, forming: map[string]Group{},
		working: map[string]bool{}, told: map[string]time.Duration{}, examined: map[string]time.Duration{}, since: map[string]time.Duration{},
		whole: map[string]Group{}, seen: map[string]sight{}, ran: map[string]string{}, left: map[string]bool{}, planned: map[string]map[string]int{},
	}
	former.gate.now = parts.Now
	return former
}

// Start begins to form groups whenever this node may.
func (former *Former) Start() {
	former.RepeatNamed("former", former.pause, former.round)
}

func (former *Former) pause() time.Duration {
	if former.Told() {
		return toldTick
	}
	return tick
}

// epoch returns the next epoch and a name for it. Epochs of a later term are
// higher than all of earlier ones. The name ends in a draw: should two nodes
// ever believe in one term, their groups must not be taken for each other's.
func (former *Former) epoch(term int64) (int64, string) {
	former.mu.Lock()
	defer former.mu.Unlock()
	if former.termed != term {
		former.termed, former.counter = term, 0
	}
	former.counter++
	epoch := term<<termBits | former.counter
	return epoch, "g" + strconv.FormatInt(epoch, 36) + strconv.FormatInt(rand.Int64N(nameDraws), 36)
}

// TermOf returns the term under which an epoch was given.
func TermOf(epoch int64) int64 {
	return epoch >> termBits
}

// round looks at what there is and starts what should be done.
func (former *Former) round() {
	term := former.Term()
	servers := former.Servers()
	former.rememberModels(servers)
	if term == 0 || !servers.Known() {
		former.rest()
		return
	}
	services := former.Services()
	listed := List(servers, services)
	former.remember(listed)
	for _, group := range listed {
		former.look(term, group)
	}
	for _, service := range services {
		former.plan(term, service, servers, listed)
	}
}

// rest forgets, while another node gives orders, what this one planned.
func (former *Former) rest() {
	former.gate.rest()
	former.mu.Lock()
	defer former.mu.Unlock()
	clear(former.planned)
	clear(former.seen)
}

// look starts what one listed group needs.
func (former *Former) look(term int64, group *Listed) {
	if former.View.Free(group.Name) || former.isBusy(group) {
		return
	}
	switch {
	case former.View.Ended(group.Name):
		// Whoever was ending it is gone. Opened again it would hold its servers and
		// serve nobody, since no node sends calls to a group that has ended.
		if former.lasts(group.Name, listLag) {
			former.begin(group.Name, func() { former.finish(term, group.Group) })
		}
	case group.HeadState() == roster.Broken:
		former.begin(group.Name, func() { former.end(term, group.Group, nil) })
	case group.HeadState() == "" || !group.Complete():
		// The list doesn't show a member in the group: it is gone, or has left, or
		// is cut off from the registry and serves.
		if former.lasts(group.Name, listLag) {
			former.begin(group.Name, func() { former.retire(term, group.Group) })
		}
	case group.Draining():
		former.begin(group.Name, func() { former.drain(term, group.Group) })
	case group.HeadState() == roster.Ready && group.All(roster.Ready):
		// All are ready and nobody opened it: the node that formed it ended.
		if former.lasts(group.Name, listLag) {
			former.begin(group.Name, func() { former.open(term, group.Group) })
		}
	case group.HeadState() == roster.Open:
		former.clear(group.Name)
	default:
		if former.lasts(group.Name, stuckAfter) {
			former.begin(group.Name, func() { former.end(term, group.Group, nil) })
		}
	}
}

// stuckAfter is how long a group may be joining or closing before it is taken
// apart: more than a load from the weight store takes.
const stuckAfter = 40 * time.Second

func (former *Former) isBusy(group *Listed) bool {
	former.mu.Lock()
	defer former.mu.Unlock()
	if former.working[group.Name] {
		return true
	}
	_, forming := former.forming[group.Name]
	return forming
}

// lasts says whether it was asked about the same name for so long.
func (former *Former) lasts(name string, span time.Duration) bool {
	former.mu.Lock()
	defer former.mu.Unlock()
	now := former.Now()
	since, ok := former.since[name]
	if !ok {
		former.since[name] = now
		return false
	}
	return now-since >= span
}

func (former *Former) clear(name string) {
	former.mu.Lock()
	defer former.mu.Unlock()
	delete(former.since, name)
}

// begin runs work on a group unless some is under way, and says whether it does.
func (former *Former) begin(name string, work func()) bool {
	former.mu.Lock()
	if former.working[name] {
		former.mu.Unlock()
		return false
	}
	former.working[name] = true
	former.mu.Unlock()
	former.Go(func() {
		defer func() {
			former.mu.Lock()
			defer former.mu.Unlock()
			delete(former.working, name)
			delete(former.since, name)
		}()
		work()
	})
	return true
}

// Suspect is told that a head's calls stand still.
func (former *Former) Suspect(head, group string) {
	term := former.Term()
	if term == 0 || former.View.Ended(group) {
		return
	}
	former.mu.Lock()
	recent := former.Now()-former.examined[group] < examineAgain && former.examined[group] != 0
	former.mu.Unlock()
	if recent {
		return
	}
	found, ok := former.find(group)
	if !ok || found.Head() != head {
		return
	}
	former.begin(group, func() { former.examine(term, found) })
}

// find returns a group by its name, from news or from the list. A group that the
// list shows no longer whole is found as it was: a member whose entry has gone
// is the likeliest reason for its silence.
func (former *Former) find(name string) (Group, bool) {
	for _, group := range former.View.Serving(former.Servers(), former.Services()) {
		if group.Name == name {
			return group, true
		}
	}
	for _, listed := range List(former.Servers(), former.Services()) {
		if listed.Name == name && listed.Complete() {
			return listed.Group, true
		}
	}
	former.mu.Lock()
	defer former.mu.Unlock()
	group, ok := former.whole[name]
	return group, ok
}

// reserve marks the servers of a step as concerned by it, all or none. A server on
// whose host a model is loaded may be told to join another group meanwhile.
func (former *Former) reserve(step *Step) bool {
	former.mu.Lock()
	defer former.mu.Unlock()
	held := former.busy
	if step.Stage {
		held = former.staging
	}
	for _, id := range step.Members {
		if held[id] != "" {
			return false
		}
	}
	for _, id := range step.Members {
		held[id] = step.Model
	}
	return true
}

func (former *Former) release(step *Step) {
	former.mu.Lock()
	defer former.mu.Unlock()
	held := former.busy
	if step.Stage {
		held = former.staging
	}
	for _, id := range step.Members {
		delete(held, id)
	}
}

// State is the former's part of the state dump.
type State struct {
	Term    int64
	Busy    map[string]string
	Forming []Group
	Lost    []string
}

// State returns what the former is doing.
func (former *Former) State() State {
	former.mu.Lock()
	defer former.mu.Unlock()
	state := State{Term: former.Term(), Busy: map[string]string{}}
	for id, purpose := range former.busy {
		state.Busy[id] = purpose
	}
	for _, group := range former.forming {
		state.Forming = append(state.Forming, group)
	}
	for id, mark := range former.lost {
		if mark.until > former.Now() {
			state.Lost = append(state.Lost, id)
		}
	}
	return state
}
