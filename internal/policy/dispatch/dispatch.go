// Package dispatch chooses the server for each call and tracks the calls that are in progress.
//
// A pool is a set of targets that do the same work: the heads of the groups that serve one model, or the servers
// of a plain service. Pick chooses the target with the shortest expected time to the first event. Pick chooses
// at random among nearly equal targets, because all nodes see the same outdated counts and would otherwise
// overload the same target. Among groups, a target's probability is proportional to the calls that it would get
// if the calls that other nodes are expected to have sent were placed first. The number of calls at a group
// matters little until all its slots are taken: a new group prefills prompts no faster than a busy one, and a
// burst of calls to the new group delays their first events. The load of a target is what this node has there
// plus what its peers last reported.
//
// A group that has lost a member still accepts calls but makes no progress, and no error shows it. The only sign
// is that all its streams fall silent together. A target with running streams and no event for some time gets no
// new calls, the owners of its streams are told to look for other targets, and the node that repairs groups is notified.
//
// # Usage
//
//	board := dispatch.New(dispatch.Clock(clock.Boot))
//	board.Update(pools)
//	target, verdict := board.Pick("draft/large", dispatch.Criteria{})
//	call := target.Begin(promptTokens, fingerprint, cancel, suspect)
//	defer call.End()
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
	"hazelslip/internal/policy/pathhealth"
	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/policy/warmup"
)

// Spec describes a target for Update.
type Spec struct {
	// ID is the server's ID. For a group, ID is the ID of the group's head.
	ID string
	// Born distinguishes successive runs of the server's process.
	Born       int64
	Address    string
	DataCentre string
	Region     string
	// Service is the service that the server belongs to.
	Service string
	// Group is the group's name, empty for a plain server.
	Group string
	// CatalogueIndex is the index of the target in the per-server counts that peers report.
	CatalogueIndex int
	// Slots is the number of calls that the server runs concurrently.
	Slots int
	// PassTime is the duration of a forward pass of a group, the time between two events of a stream, when all slots
	// are taken. It is 0 for a plain server.
	PassTime time.Duration
	// TokenPrefillTime is the time to prefill one prompt token, PassTimePerCall the time that each further call adds
	// to a pass, and SlotReleaseInterval the time until a slot comes free when all slots are taken.
	// For a plain server, PassTimePerCall is the delay that one call causes the next.
	TokenPrefillTime    time.Duration
	PassTimePerCall     time.Duration
	SlotReleaseInterval time.Duration
	// PromptPrefillTime is the time to prefill a prompt of usual length, 0 for a plain server.
	PromptPrefillTime time.Duration
	// Cold reports that the server is cold and must not get more calls than ColdLimit. A server also counts as cold
	// for ColdDuration after a drain of its data centre.
	Cold         bool
	ColdLimit    warmup.Bound
	ColdDuration time.Duration
}

// Target is a server, or the head of a group, that runs calls.
type Target struct {
	Spec
	*localState
	// dataCentrePath is the network path to the target's data centre, nil for the node's own data centre.
	dataCentrePath *dataCentrePath
	// path is this node's network path to the servers of the target's service in the target's data centre.
	path *pathhealth.Path
	// slotTime holds the measured slot times of the target's pool, nil for a plain server.
	slotTime *slotTime
	// drainStatus tells whether the target's data centre is drained.
	drainStatus *drain.Status
	// delistedAt is when the target was first found to be in no pool, 0 while it is in one. The board's lock guards
	// it.
	delistedAt time.Duration
}

// localState is what this node knows of a target from its own calls and from peers' reports. It survives Update:
// all snapshots share the same object.
type localState struct {
	now clock.Now
	// record holds the server's own statements (rate limit, backoff, draining), whatever group the server heads.
	record *notice.Record
	// warmup limits this node's calls while the server is cold. warmupDraw is the random number that decides the
	// node's share of the limit.
	warmup     warmup.Limiter
	warmupDraw float64
	// ownCalls and peerCalls count the calls in progress.
	ownCalls  atomic.Int32
	peerCalls atomic.Int32
	// pendingPromptTokens counts the prompt tokens of this node's calls that have had no event yet.
	pendingPromptTokens atomic.Int64
	// peerPendingPromptTokens is the same count for the calls of other nodes.
	peerPendingPromptTokens atomic.Int64
	// startedStreams counts the streams that have had their first event.
	startedStreams atomic.Int32
	// pausedStreams counts the started streams that are not read because their callers are being written to.
	// lastEventAt is when the last event of any call arrived.
	pausedStreams atomic.Int32
	lastEventAt   atomic.Int64
	// avoidUntil is the time until which the target gets no new calls. silentUntil is the same for a group whose streams
	// are silent; an event ends it.
	avoidUntil  atomic.Int64
	silentUntil atomic.Int64
	// memberLost reports that the group was found to have lost a member.
	memberLost atomic.Bool
	breaker    breaker
	pace       paceState
	// delisted reports that the target is in no pool any more. The outcomes of a previous run of a server say
	// nothing about the run that has the same ID now.
	delisted atomic.Bool
	// outcomes counts how this node's calls ended. The counts of other nodes are in hundredths of a call.
	outcomes     outcomeStats
	peerFailed   atomic.Int64
	peerAnswered atomic.Int64

	mu    sync.Mutex
	calls map[*Call]struct{}
}

// pool is a set of targets that do the same work.
type pool struct {
	targets []*Target
}

// snapshot is an immutable view of all targets; Update replaces it as a whole.
type snapshot struct {
	pools map[string]*pool
	// targets holds the targets of all pools, and delisted targets that still have calls in progress. A group that
	// lost a member leaves the server list, often before its silence is detected. If the group were no longer
	// watched, its calls would wait until their deadlines.
	targets []*Target
	// dataCentrePaths holds the paths to other data centres by name.
	dataCentrePaths map[string]*dataCentrePath
	// serverRuns maps the runs of the servers to their data centres.
	serverRuns map[ratelimit.Run]string
}

// Board holds the pools and chooses targets from them.
type Board struct {
	snapshot atomic.Pointer[snapshot]
	// dataCentre is the node's own data centre.
	dataCentre   string
	random       func(n int) int
	now          clock.Now
	serverRecord func(run ratelimit.Run) *notice.Record
	paths        *pathhealth.Paths
	// witnesses returns all known servers of a path.
	witnesses func(destination pathhealth.Destination) []Witness
	// hasIdleConnection reports whether there is an open connection to an address that carries no call.
	hasIdleConnection func(address string) bool
	drainStatus       func(dataCentre string) *drain.Status
	// incarnation and nodeCount determine this node's share of the calls that a cold server may get.
	incarnation uint64
	nodeCount   func() int
	// countedNodes returns the number of nodes whose calls are included in the peer counts that this node has.
	countedNodes func() int

	// PaceCounts counts the groups found slow and recovered, and the slowdown factors learned from peers.
	PaceCounts pace.Counts

	// slotTimes holds the measured slot times by pool. mu guards the map.
	slotTimes map[string]*slotTime
	// demand counts the calls that are requested of the pools.
	demand *demand.Demand

	mu sync.Mutex
	// targets holds the targets by targetKey.
	targets map[string]*Target
}

// Option configures a Board.
type Option func(*Board)

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(board *Board) { board.now = now }
}

// DataCentre sets the node's own data centre.
func DataCentre(name string) Option {
	return func(board *Board) { board.dataCentre = name }
}

// Random sets the function that draws a random number in [0, n). It must be safe for concurrent use.
func Random(draw func(n int) int) Option {
	return func(board *Board) { board.random = draw }
}

// Notices sets the source of the servers' own statements: rate limits, backoffs and draining.
func Notices(notices *notice.Notices) Option {
	return func(board *Board) { board.serverRecord = notices.Record }
}

// Drains sets the source of the drain state of data centres.
func Drains(status func(dataCentre string) *drain.Status) Option {
	return func(board *Board) { board.drainStatus = status }
}

// Paths sets this node's network paths to servers.
func Paths(paths *pathhealth.Paths) Option {
	return func(board *Board) { board.paths = paths }
}

// Witnesses sets the source of all known servers of a path, those included that get no calls.
func Witnesses(list func(destination pathhealth.Destination) []Witness) Option {
	return func(board *Board) { board.witnesses = list }
}

// IdleConnections sets the function that reports whether an idle connection to an address is open.
func IdleConnections(idle func(address string) bool) Option {
	return func(board *Board) { board.hasIdleConnection = idle }
}

// ColdShare sets what determines this node's share of the calls that a cold server may get: the node's
// incarnation and the number of nodes that share the limit.
func ColdShare(incarnation uint64, nodes func() int) Option {
	return func(board *Board) { board.incarnation, board.nodeCount = incarnation, nodes }
}

// CountedNodes sets the number of nodes whose calls are included in the peer counts, this node included.
func CountedNodes(nodes func() int) Option {
	return func(board *Board) { board.countedNodes = nodes }
}

// Demand sets the tracker of requested and refused calls, which also knows the demand at other nodes. By default
// the board has a tracker of its own that knows of no other node.
func Demand(tracker *demand.Demand) Option {
	return func(board *Board) { board.demand = tracker }
}

// New returns a board without targets.
func New(options ...Option) *Board {
	board := &Board{
		random: rand.IntN, now: clock.Boot, serverRecord: notice.New(ratelimit.New()).Record, targets: map[string]*Target{}, slotTimes: map[string]*slotTime{},
		witnesses:         func(pathhealth.Destination) []Witness { return nil },
		hasIdleConnection: func(string) bool { return false }, drainStatus: drain.New().Status, nodeCount: func() int { return 1 }, countedNodes: func() int { return 1 },
	}
	board.snapshot.Store(&snapshot{})
	for _, option := range options {
		option(board)
	}
	if board.demand == nil {
		board.demand = demand.New(demand.Clock(board.now))
	}
	if board.paths == nil {
		board.paths = pathhealth.New(pathhealth.Clock(board.now), pathhealth.Random(board.random))
	}
	return board
}

// targetKey identifies a run of a server in a group. What was observed of a group says nothing about the next
// group with the same head, nor what was observed of a server's run about the next run.
func targetKey(spec Spec) string {
	return spec.ID + "/" + spec.Group + "/" + strconv.FormatInt(spec.Born, 10)
}

// Update replaces the pools. Targets that are no longer listed are kept while calls are in progress there.
func (board *Board) Update(pools map[string][]Spec) {
	board.mu.Lock()
	defer board.mu.Unlock()
	next := &snapshot{pools: make(map[string]*pool, len(pools)), dataCentrePaths: map[string]*dataCentrePath{}}
	listed := map[string]*Target{}
	for name, specs := range pools {
		pool := &pool{}
		for _, spec := range specs {
			target := &Target{Spec: spec, localState: board.localState(spec), dataCentrePath: board.dataCentrePath(spec.DataCentre, next), path: board.paths.Get(destinationOf(&spec)), drainStatus: board.drainStatus(spec.DataCentre)}
			if spec.Group != "" {
				target.slotTime = board.slotTime(name)
			}
			target.delisted.Store(false)
			listed[targetKey(spec)] = target
			pool.targets = append(pool.targets, target)
		}
		next.pools[name] = pool
		next.targets = append(next.targets, pool.targets...)
	}
	for key, target := range board.targets {
		if listed[key] == nil && board.retains(target) {
			target.delisted.Store(true)
			listed[key] = target
			next.targets = append(next.targets, target)
			board.dataCentrePath(target.DataCentre, next)
		}
	}
	next.serverRuns = make(map[ratelimit.Run]string, len(next.targets))
	for _, target := range next.targets {
		next.serverRuns[target.serverRun()] = target.DataCentre
	}
	board.targets = listed
	board.snapshot.Store(next)
	board.updatePathServers(next)
}

func (board *Board) slotTime(poolName string) *slotTime {
	if board.slotTimes[poolName] == nil {
		board.slotTimes[poolName] = &slotTime{}
	}
	return board.slotTimes[poolName]
}

// dataCentrePath returns the path to a data centre and adds it to the next snapshot.
func (board *Board) dataCentrePath(dataCentre string, next *snapshot) *dataCentrePath {
	if dataCentre == board.dataCentre || board.dataCentre == "" {
		return nil
	}
	if next.dataCentrePaths[dataCentre] == nil {
		path := board.snapshot.Load().dataCentrePaths[dataCentre]
		if path == nil {
			path = &dataCentrePath{timedOutServers: map[string]struct{}{}, lastResponseAt: board.now()}
		}
		next.dataCentrePaths[dataCentre] = path
	}
	return next.dataCentrePaths[dataCentre]
}

// delistedRetention is how long a delisted target without calls is kept: Pick may have returned it just before
// it was delisted, and the call may not have begun.
const delistedRetention = time.Second

// retains reports whether a target that is in no pool any more is kept.
func (board *Board) retains(target *Target) bool {
	now := board.now()
	if target.delistedAt == 0 {
		target.delistedAt = now
	}
	return target.ownCalls.Load() > 0 || now-target.delistedAt < delistedRetention
}

func (board *Board) localState(spec Spec) *localState {
	if target, ok := board.targets[targetKey(spec)]; ok {
		return target.localState
	}
	return &localState{
		now: board.now, record: board.serverRecord(spec.serverRun()), calls: map[*Call]struct{}{},
		warmupDraw: rendezvous.UnitHash(targetKey(spec), board.incarnation),
	}
}

func (spec *Spec) serverRun() ratelimit.Run {
	return ratelimit.Run{Server: spec.ID, Born: spec.Born}
}

// ServerRuns returns the runs of the targets' servers and their data centres.
func (board *Board) ServerRuns() map[ratelimit.Run]string {
	return board.snapshot.Load().serverRuns
}

func (board *Board) pool(name string) (*pool, bool) {
	pool, ok := board.snapshot.Load().pools[name]
	return pool, ok
}

// ActiveCalls returns the number of calls in progress at the target, as far as this node knows.
func (target *Target) ActiveCalls() int {
	return int(target.ownCalls.Load() + target.peerCalls.Load())
}

// MemberLost reports whether the target's group was found to have lost a member.
func (target *Target) MemberLost() bool {
	return target.memberLost.Load()
}

// Key identifies the target: a run of a server in its group.
func (target *Target) Key() string {
	return targetKey(target.Spec)
}

// ServerRun identifies the run of the target's server, whatever group the server heads.
func (target *Target) ServerRun() ratelimit.Run {
	return target.serverRun()
}

// AwaitPermit counts a call as waiting for a permit of the target's server until done is called.
func (target *Target) AwaitPermit(urgency int) (done func()) {
	return target.record.Gate.AddWaiter(urgency)
}

// Record returns the statements of the target's server: rate limit, backoff and draining.
func (target *Target) Record() *notice.Record {
	return target.record
}

// BackoffEndsAt returns when a target whose server asked for a backoff may get the next call.
func (target *Target) BackoffEndsAt() time.Duration {
	return target.record.NextCallAt()
}

// Avoid keeps new calls away from a target that failed a call. A shorter duration doesn't cut an earlier, longer
// one.
func (target *Target) Avoid(duration time.Duration) {
	until := int64(target.now() + duration)
	for current := target.avoidUntil.Load(); current < until; current = target.avoidUntil.Load() {
		if target.avoidUntil.CompareAndSwap(current, until) {
			return
		}
	}
}

// NewStandaloneTarget returns a target that is in no pool, such as another node that calls are forwarded
// through, and counts its calls.
func NewStandaloneTarget(spec Spec, now clock.Now) *Target {
	notices := notice.New(ratelimit.New(ratelimit.Clock(now)), notice.Clock(now))
	return &Target{
		Spec: spec, drainStatus: drain.New().Status(spec.DataCentre),
		localState: &localState{now: now, record: notices.Record(spec.serverRun()), calls: map[*Call]struct{}{}},
	}
}
