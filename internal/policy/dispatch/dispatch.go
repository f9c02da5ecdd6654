// Package dispatch chooses the server for a call and watches what becomes of
// the calls that were sent.
//
// A pool is a set of Targets that can do the same work: the heads of the groups
// of one model, or the servers of a plain service. A call goes where its first
// event should come soonest. All nodes see the same counts late and would rush to
// the same target, so the choice is random: among the servers nearly as good, and among groups in
// proportion to what each would get of the calls that other nodes are expected to have sent. The count of
// calls hardly matters until all places are taken: a group that was just opened
// reads prompts no faster than a busy one, and a rush to it makes its first
// events late. What is known of a target is what this node has there and what
// its peers last said they have.
//
// A group whose member is lost accepts calls and stands still, and no error
// shows it. All its streams falling silent together does: a target with running
// streams and no event for a while gets no new calls, its streams are moved,
// and the node that repairs groups is told.
//
// # Usage
//
//	board := dispatch.New(dispatch.Clock(clock.Boot))
//	board.Update(pools)
//	target, verdict := board.Pick("draft/large", dispatch.Wish{})
//	use := target.Begin(promptTokens, tag, cancel)
//	defer use.End()
package dispatch

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/rendezvous"
	"hazelslip/internal/fleet/drain"
	"hazelslip/internal/policy/demand"
	"hazelslip/internal/policy/notice"
	"hazelslip/internal/policy/pace"
	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/policy/reach"
	"hazelslip/internal/policy/warmup"
)

// Spec describes a target for Update.
type Spec struct {
	// ID is the server's ID, the head's for a group.
	ID string
	// Born tells one run of the server's process from the next.
	Born       int64
	Address    string
	DataCentre string
	Region     string
	// Service is the one that the server belongs to.
	Service string
	// Group is empty for a plain server.
	Group string
	// Number is the target's place in what peers tell of all of them.
	Number int
	// Slots is how many calls run there at once.
	Slots int
	// Pass is how long a group takes between two events of a stream when all
	// its places are taken; 0 for a plain server.
	Pass time.Duration
	// PerToken is how long reading one token of a prompt takes, PerCall by how
	// much each further call lengthens a pass, and Turnover how long it takes,
	// with all places taken, until one comes free.
	PerToken time.Duration
	PerCall  time.Duration
	Turnover time.Duration
	// PerPrompt is how long reading a prompt of usual length takes; 0 for a plain server.
	PerPrompt time.Duration
	// Cold says that the server bears ColdBound only. So it may for ColdTime after a drain of
	// its data centre.
	Cold      bool
	ColdBound warmup.Bound
	ColdTime  time.Duration
}

// Target is a place that runs calls.
type Target struct {
	Spec
	*load
	// centre is the way to the target's data centre, nil for the node's own.
	centre *centre
	// way is this node's way to the servers of the target's service in its data centre.
	way *reach.Way
	// holding is what was seen of the calls of the target's pool, nil for a plain server.
	holding *holding
	// drain is the mark of the target's data centre.
	drain *drain.Mark
	// goneAt is when the target was first in no pool, 0 while it is in one; the
	// board's lock guards it.
	goneAt time.Duration
}

// load is what this node knows of a target from its own calls. It outlives the
// lists of targets and is the same object in each.
type load struct {
	now clock.Now
	// record is what the server said of itself, whatever groups it heads.
	record *notice.Record
	// warmup counts this node's calls while the server is cold, lot is the node's for these.
	warmup warmup.Gate
	lot    float64
	// mine and peers count the calls under way.
	mine  atomic.Int32
	peers atomic.Int32
	// unread is the prompt tokens of this node's calls that have had no event.
	unread atomic.Int64
	// peersUnread is the same of the peers.
	peersUnread atomic.Int64
	// running counts the streams that have had their first event, progress is
	// when something last came of any call.
	running atomic.Int32
	// held counts the running streams whose callers are being written to.
	held     atomic.Int32
	progress atomic.Int64
	// avoidUntil is up to when the target gets no new calls unless there is no
	// other.
	avoidUntil atomic.Int64
	// lost says that the group was found to have lost a member.
	lost    atomic.Bool
	breaker breaker
	paced   paced
	// former says that the target is in no pool any more. How a former run of a
	// server ended its calls says nothing of the one under the same ID.
	former atomic.Bool
	// ends is how this node's calls ended; the peers' are in hundredths.
	ends          record
	peersFailed   atomic.Int64
	peersAnswered atomic.Int64

	mu   sync.Mutex
	uses map[*Use]struct{}
}

// pool is the targets that can do the same work.
type pool struct {
	targets []*Target
}

// layout is all targets at a moment. It is replaced whole.
type layout struct {
	pools map[string]*pool
	// all are the targets of all pools, and those that are in none any more
	// while calls are under way there. A group that lost a member leaves the
	// list of servers, often before its silence is noticed: its calls would
	// wait for nothing until their deadline if nobody watched them.
	all []*Target
	// centres are the ways to other data centres.
	centres map[string]*centre
	// runs are those of the servers, with their data centres.
	runs map[ratelimit.Run]string
}

// Board holds the pools.
type Board struct {
	layout atomic.Pointer[layout]
	// dataCentre is the node's.
	dataCentre string
	random     func(n int) int
	now        clock.Now
	record     func(run ratelimit.Run) *notice.Record
	ways       *reach.Ways
	// idle says whether there is an open connection to an address that carries no call.
	idle  func(address string) bool
	drain func(dataCentre string) *drain.Mark
	// incarnation and nodes decide this node's part of what a cold server bears.
	incarnation uint64
	nodes       func() int
	// counted is how many nodes' calls are in the counts that this node has.
	counted func() int

	// PaceCounts count what was learnt of how slow groups are.
	PaceCounts pace.Counts

	// holdings are the times that calls hold their places, by pool; the lock guards the map.
	holdings map[string]*holding
	// demand is what is asked of the pools.
	demand *demand.Demand

	mu sync.Mutex
	// known are the targets by loadKey.
	known map[string]*Target
}

// Option changes how a Board is built.
type Option func(*Board)

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(board *Board) { board.now = now }
}

// DataCentre sets where the node is.
func DataCentre(name string) Option {
	return func(board *Board) { board.dataCentre = name }
}

// Random sets how a number below n is drawn; it is called from many goroutines.
func Random(draw func(n int) int) Option {
	return func(board *Board) { board.random = draw }
}

// Notices sets what servers say of themselves.
func Notices(notices *notice.Notices) Option {
	return func(board *Board) { board.record = notices.Record }
}

// Drains sets the marks of data centres.
func Drains(mark func(dataCentre string) *drain.Mark) Option {
	return func(board *Board) { board.drain = mark }
}

// Ways sets what this node knows of its ways to servers.
func Ways(ways *reach.Ways) Option {
	return func(board *Board) { board.ways = ways }
}

// Idle sets what tells of open connections to servers.
func Idle(idle func(address string) bool) Option {
	return func(board *Board) { board.idle = idle }
}

// Lots sets what decides this node's part of what a cold server bears: its incarnation, and
// how many nodes share that.
func Lots(incarnation uint64, nodes func() int) Option {
	return func(board *Board) { board.incarnation, board.nodes = incarnation, nodes }
}

// Counted sets how many nodes' calls are in the counts that the board is given, its own node included.
func Counted(nodes func() int) Option {
	return func(board *Board) { board.counted = nodes }
}

// Demands sets where calls that are asked for and refused are counted, and what all nodes are asked
// for. By default the board counts on its own and knows of no other node.
func Demands(held *demand.Demand) Option {
	return func(board *Board) { board.demand = held }
}

// New returns a board with no targets.
func New(options ...Option) *Board {
	board := &Board{
		random: rand.IntN, now: clock.Boot, record: notice.New(ratelimit.New()).Record, known: map[string]*Target{}, holdings: map[string]*holding{},
		idle: func(string) bool { return false }, drain: drain.New().Mark, nodes: func() int { return 1 }, counted: func() int { return 1 },
	}
	board.layout.Store(&layout{})
	for _, option := range options {
		option(board)
	}
	if board.demand == nil {
		board.demand = demand.New(demand.Clock(board.now))
	}
	if board.ways == nil {
		board.ways = reach.New(reach.Clock(board.now), reach.Random(board.random))
	}
	return board
}

// loadKey tells one group's calls from those of the next group with the same
// head, and those of one run of a server from the next: what was seen of the one
// says nothing of the other.
func loadKey(spec Spec) string {
	return spec.ID + "/" + spec.Group + "/" + strconv.FormatInt(spec.Born, 10)
}

// Update replaces the pools. Targets that are gone are kept while calls are
// under way there.
func (board *Board) Update(pools map[string][]Spec) {
	board.mu.Lock()
	defer board.mu.Unlock()
	next := &layout{pools: make(map[string]*pool, len(pools)), centres: map[string]*centre{}}
	listed := map[string]*Target{}
	for name, specs := range pools {
		filled := &pool{}
		for _, spec := range specs {
			target := &Target{Spec: spec, load: board.load(spec), centre: board.centre(spec.DataCentre, next), way: board.ways.Of(wayOf(&spec)), drain: board.drain(spec.DataCentre)}
			if spec.Group != "" {
				target.holding = board.holding(name)
			}
			target.former.Store(false)
			listed[loadKey(spec)] = target
			filled.targets = append(filled.targets, target)
		}
		next.pools[name] = filled
		next.all = append(next.all, filled.targets...)
	}
	for key, target := range board.known {
		if listed[key] == nil && board.stays(target) {
			target.former.Store(true)
			listed[key] = target
			next.all = append(next.all, target)
			board.centre(target.DataCentre, next)
		}
	}
	next.runs = make(map[ratelimit.Run]string, len(next.all))
	for _, target := range next.all {
		next.runs[target.serverRun()] = target.DataCentre
	}
	board.known = listed
	board.layout.Store(next)
	board.listWays(next)
}

func (board *Board) holding(pool string) *holding {
	if board.holdings[pool] == nil {
		board.holdings[pool] = &holding{}
	}
	return board.holdings[pool]
}

// centre returns the way to a data centre, and notes it in the next layout.
func (board *Board) centre(dataCentre string, next *layout) *centre {
	if dataCentre == board.dataCentre || board.dataCentre == "" {
		return nil
	}
	if next.centres[dataCentre] == nil {
		held := board.layout.Load().centres[dataCentre]
		if held == nil {
			held = &centre{timedOut: map[string]struct{}{}, heard: board.now()}
		}
		next.centres[dataCentre] = held
	}
	return next.centres[dataCentre]
}

// goneKept is how long a target that is in no pool any more is kept without
// calls: one may have been chosen for it just before and not have begun.
const goneKept = time.Second

// stays says whether a target that is in no pool any more is kept.
func (board *Board) stays(target *Target) bool {
	now := board.now()
	if target.goneAt == 0 {
		target.goneAt = now
	}
	return target.mine.Load() > 0 || now-target.goneAt < goneKept
}

func (board *Board) load(spec Spec) *load {
	if target, ok := board.known[loadKey(spec)]; ok {
		return target.load
	}
	return &load{
		now: board.now, record: board.record(spec.serverRun()), uses: map[*Use]struct{}{},
		lot: rendezvous.UnitHash(loadKey(spec), board.incarnation),
	}
}

func (spec *Spec) serverRun() ratelimit.Run {
	return ratelimit.Run{Server: spec.ID, Born: spec.Born}
}

// ServerRuns are the runs of servers that targets stand for, with their data centres.
func (board *Board) ServerRuns() map[ratelimit.Run]string {
	return board.layout.Load().runs
}

func (board *Board) pool(name string) (*pool, bool) {
	filled, ok := board.layout.Load().pools[name]
	return filled, ok
}

// Taken is how many calls are under way at the target as far as is known.
func (target *Target) Taken() int {
	return int(target.mine.Load() + target.peers.Load())
}

// Lost says whether the target's group was found to have lost a member.
func (target *Target) Lost() bool {
	return target.lost.Load()
}

// Run names the run of the server, in its group, that the target stands for.
func (target *Target) Run() string {
	return loadKey(target.Spec)
}

// ServerRun names the run of the server, whatever group it heads.
func (target *Target) ServerRun() ratelimit.Run {
	return target.serverRun()
}

// Await counts a call that waits for a permit of the target's server until the function
// is called.
func (target *Target) Await(urgency int) (done func()) {
	return target.record.Gate.Await(urgency)
}

// Record is what the target's server said of itself.
func (target *Target) Record() *notice.Record {
	return target.record
}

// OpensAt is when a target whose server asked for a backoff may get the next call.
func (target *Target) OpensAt() time.Duration {
	return target.record.OpensAt()
}

// Avoid keeps new calls off the target for a while, after it failed one. It doesn't shorten
// what is left of an earlier while.
func (target *Target) Avoid(span time.Duration) {
	until := int64(target.now() + span)
	for held := target.avoidUntil.Load(); held < until; held = target.avoidUntil.Load() {
		if target.avoidUntil.CompareAndSwap(held, until) {
			return
		}
	}
}

// Apart returns a target that is in no pool and counts its calls: another node that calls go through.
func Apart(spec Spec, now clock.Now) *Target {
	notices := notice.New(ratelimit.New(ratelimit.Clock(now)), notice.Clock(now))
	return &Target{
		Spec: spec, drain: drain.New().Mark(spec.DataCentre),
		load: &load{now: now, record: notices.Record(spec.serverRun()), uses: map[*Use]struct{}{}},
	}
}
