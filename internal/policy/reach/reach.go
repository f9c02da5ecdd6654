// Package reach decides whether this node reaches the servers of a service, or has lost its own
// way to them.
//
// A node that can't connect to a server, whose connections are reset or fall silent, can't tell
// by one server whether that has ended or whether its own links have. Servers fail one at a time;
// a way that is lost fails at all of them. So a Way gathers what failed since something last came, doubts
// itself once two servers failed or all of them are silent, and has some servers connected to. While most of these can't
// be, calls don't go there but through nodes that reach them. A server that was connected to since is
// reached all the same: a node may lose the way to most servers of a service and keep the way to some.
//
// There is a Way for each service in each data centre, as one may be lost without the others. What a
// doubted way seems to tell of servers is not believed, nor told to other nodes.
//
// # Usage
//
//	ways := reach.New(reach.Clock(now))
//	way := ways.Of(reach.Place{Service: "drafts", DataCentre: "east"})
//	way.Failed("i-1", sentAt)
//	for _, probe := range ways.Due() { ... probe.Done(reached) }
//	way.Blocks("i-1")
package reach

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
)

const (
	// doubtServers is at how many servers calls must have failed since anything last came.
	doubtServers = 2
	// doubtAgain is how long a way that was found whole isn't doubted again for failures, silentAgain
	// for silence: the first event of a long prompt takes longer.
	doubtAgain  = 400 * time.Millisecond
	silentAgain = time.Second
	// sample is how many servers are connected to when a way is doubted or may be whole again,
	// lostParts of lostOf must not be reached for it to be lost.
	sample = 4
	// quietSample is how many are tried first where nothing but silence speaks against it.
	quietSample = 2
	lostParts   = 3
	lostOf      = 4
	// doubtedAtOnce is how many other ways are doubted when one is lost.
	doubtedAtOnce = 8
	// probeEvery is how often a lost way is tried, probes at how many servers.
	probeEvery = 250 * time.Millisecond
	probes     = 2
	// provenSample is how many servers are tried before a lost way counts as whole.
	provenSample = 8
	// reachedKept is how long a server of a lost way counts as reached after it was.
	reachedKept = 2 * time.Second
	// aliveFor is how long an open connection to a server counts as one that serves after something came
	// from there.
	aliveFor = 500 * time.Millisecond
	// failuresMost bounds the servers that are remembered.
	failuresMost = 64
)

// Standing is what the node believes of a way.
type Standing int32

// The standings of a way.
const (
	// Open: nothing speaks against it.
	Open Standing = iota
	// Doubted: some of its servers are being connected to.
	Doubted
	// Lost: most servers that were tried could not be connected to.
	Lost
)

// String names the standing for logs.
func (standing Standing) String() string {
	return [...]string{"Open", "Doubted", "Lost"}[standing]
}

// Place is the servers of a service in a data centre.
type Place struct {
	Service    string
	DataCentre string
}

// Ways are all ways of a node.
type Ways struct {
	now    clock.Now
	random func(n int) int

	mu   sync.Mutex
	ways map[Place]*Way
	// unsettled counts the ways that are not open, so that a node whose ways are open spends nothing.
	unsettled atomic.Int32
}

// Option changes how Ways are built.
type Option func(*Ways)

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(ways *Ways) { ways.now = now }
}

// Random sets how a number below n is drawn.
func Random(draw func(n int) int) Option {
	return func(ways *Ways) { ways.random = draw }
}

// Of returns the way to a place.
func (ways *Ways) Of(place Place) *Way {
	ways.mu.Lock()
	defer ways.mu.Unlock()
	way, known := ways.ways[place]
	if !known {
		way = &Way{Place: place, ways: ways, heard: ways.now()}
		ways.ways[place] = way
	}
	return way
}

// All returns all ways.
func (ways *Ways) All() []*Way {
	ways.mu.Lock()
	defer ways.mu.Unlock()
	all := make([]*Way, 0, len(ways.ways))
	for _, way := range ways.ways {
		all = append(all, way)
	}
	return all
}

// Unsettled says whether any way is doubted or lost.
func (ways *Ways) Unsettled() bool {
	return ways.unsettled.Load() > 0
}

// Way is the way to the servers of a service in a data centre. A nil Way is open.
type Way struct {
	Place Place
	ways  *Ways

	// standing and evidence change under the lock, and are read without it while calls are routed.
	standing atomic.Int32
	evidence atomic.Int32
	// heardAt is when anything last came from a server.
	heardAt atomic.Int64

	mu sync.Mutex
	// heard is heardAt as failures are compared with it, opened when a connection was last opened.
	heard, opened time.Duration
	// unopened are the servers that could not be connected to since one was, broken those whose
	// connections broke or fell silent since anything came.
	unopened, broken map[string]struct{}
	// alive are the servers from which something came since the way is lost, and when.
	alive map[string]time.Duration
	// servers are all of the way, as they were last listed.
	servers []string
	// reached are the servers of a lost way that were connected to, and when.
	reached map[string]time.Duration
	// since is when the way became doubted, triedAt when its servers were last tried, wholeAt
	// when it was last found whole.
	since, triedAt, wholeAt time.Duration
	// proving says that the last servers tried were reached, quiet that the way is doubted for silence
	// alone.
	proving, quiet bool
}

// Standing returns what the node believes of the way.
func (way *Way) Standing() Standing {
	if way == nil {
		return Open
	}
	return Standing(way.standing.Load())
}

// Blocks says whether a server is not to be called: its way is doubted or lost, and nothing shows that
// it is reached.
func (way *Way) Blocks(server string) bool {
	if way.Standing() == Open {
		return false
	}
	way.mu.Lock()
	defer way.mu.Unlock()
	at, known := way.reached[server]
	return !known || way.ways.now()-at > reachedKept
}

// List sets the servers of the way.
func (way *Way) List(servers []string) {
	way.mu.Lock()
	defer way.mu.Unlock()
	way.servers = servers
}

// Heard notes that something came from a server over an open connection.
func (way *Way) Heard(server string) {
	if way == nil {
		return
	}
	now := way.ways.now()
	way.heardAt.Store(int64(now))
	if way.evidence.Load() == 0 && way.Standing() == Open {
		return
	}
	way.mu.Lock()
	defer way.mu.Unlock()
	way.heard = now
	clear(way.broken)
	if _, known := way.reached[server]; known {
		way.reached[server] = now
	}
	if way.alive != nil {
		way.alive[server] = now
	}
	way.countLocked()
}

// Alive says whether something has just come from a server of a lost way: connections to it live on.
func (way *Way) Alive(server string) bool {
	if way.Standing() != Lost {
		return false
	}
	way.mu.Lock()
	defer way.mu.Unlock()
	at, known := way.alive[server]
	return known && way.ways.now()-at <= aliveFor
}

// Opened notes that a server was connected to for a call.
func (way *Way) Opened(server string) {
	if way == nil {
		return
	}
	now := way.ways.now()
	way.heardAt.Store(int64(now))
	if way.evidence.Load() == 0 && way.Standing() == Open {
		return
	}
	way.mu.Lock()
	defer way.mu.Unlock()
	way.openedLocked(server, now)
}

func (way *Way) openedLocked(server string, now time.Duration) {
	way.heard, way.opened = now, now
	clear(way.broken)
	clear(way.unopened)
	if way.reached != nil {
		way.reached[server] = now
	}
	way.countLocked()
}

// Unopened notes that a server could not be connected to, by an attempt begun at a time.
func (way *Way) Unopened(server string, began time.Duration) {
	if way == nil {
		return
	}
	way.mu.Lock()
	defer way.mu.Unlock()
	delete(way.reached, server)
	if way.opened > began {
		return
	}
	way.unopened = noteServer(way.unopened, server)
	way.judgeLocked()
}

// Broke notes that the connection of a call to a server broke, or that nothing has come of the call since
// a time.
func (way *Way) Broke(server string, since time.Duration) {
	if way == nil {
		return
	}
	way.mu.Lock()
	defer way.mu.Unlock()
	delete(way.reached, server)
	if max(way.heard, time.Duration(way.heardAt.Load())) > since {
		return
	}
	way.broken = noteServer(way.broken, server)
	way.judgeLocked()
}

func noteServer(held map[string]struct{}, server string) map[string]struct{} {
	if held == nil {
		held = map[string]struct{}{}
	}
	if len(held) < failuresMost {
		held[server] = struct{}{}
	}
	return held
}

func (way *Way) countLocked() {
	way.evidence.Store(int32(len(way.unopened) + len(way.broken)))
}

// judgeLocked doubts the way if enough speaks against it.
func (way *Way) judgeLocked() {
	way.countLocked()
	failed := len(way.unopened)
	for server := range way.broken {
		if _, both := way.unopened[server]; !both {
			failed++
		}
	}
	now := way.ways.now()
	if failed >= min(doubtServers, max(1, len(way.servers))) && (way.wholeAt == 0 || now-way.wholeAt >= doubtAgain) {
		way.doubtLocked(now)
	}
}

func (way *Way) doubtLocked(now time.Duration) {
	if way.Standing() != Open {
		return
	}
	way.standing.Store(int32(Doubted))
	way.ways.unsettled.Add(1)
	way.since, way.triedAt, way.quiet = now, 0, false
	way.reached, way.alive = map[string]time.Duration{}, map[string]time.Duration{}
}

// Silent notes that calls have waited for as long as given while nothing came of any call. The way
// is doubted if nothing has come from any of its servers for that time either.
func (way *Way) Silent(span time.Duration) {
	if way == nil || way.Standing() != Open {
		return
	}
	now := way.ways.now()
	way.mu.Lock()
	defer way.mu.Unlock()
	if now-max(way.heard, time.Duration(way.heardAt.Load())) >= span && (way.wholeAt == 0 || now-way.wholeAt >= silentAgain) {
		way.doubtLocked(now)
		way.quiet = true
	}
}

// State is a way in the state dump.
type State struct {
	Service, DataCentre, Standing string
	// Servers are all of the way, Reached those that are called although it is not open.
	Servers, Reached int
	// ForMilliseconds is since when it is not open.
	ForMilliseconds int64
}

// State returns the ways that are not open.
func (ways *Ways) State() []State {
	states := []State{}
	for _, way := range ways.All() {
		if way.Standing() == Open {
			continue
		}
		way.mu.Lock()
		states = append(states, State{
			Service: way.Place.Service, DataCentre: way.Place.DataCentre, Standing: way.Standing().String(), Servers: len(way.servers),
			Reached: way.reachedLocked(ways.now()), ForMilliseconds: (ways.now() - way.since).Milliseconds(),
		})
		way.mu.Unlock()
	}
	return states
}

func (way *Way) reachedLocked(now time.Duration) int {
	count := 0
	for _, at := range way.reached {
		if now-at <= reachedKept {
			count++
		}
	}
	return count
}

// Lost returns the places whose ways are lost, in a fixed order; with doubts, also those whose ways are doubted. A few
// servers of a lost way may be reached: too few for what is asked of it.
func (ways *Ways) Lost(doubts bool) []Place {
	if !ways.Unsettled() {
		return nil
	}
	lost := []Place{}
	for _, way := range ways.All() {
		way.mu.Lock()
		standing := way.Standing()
		if len(way.servers) > 0 && (standing == Lost || (doubts && standing == Doubted)) {
			lost = append(lost, way.Place)
		}
		way.mu.Unlock()
	}
	slices.SortFunc(lost, func(one, other Place) int {
		return cmp.Or(cmp.Compare(one.Service, other.Service), cmp.Compare(one.DataCentre, other.DataCentre))
	})
	return lost
}

// Without says whether a node that has lost the ways to some places reaches no server of a service.
func (ways *Ways) Without(service string, lost []Place) bool {
	if len(lost) == 0 {
		return false
	}
	known := false
	for _, way := range ways.All() {
		way.mu.Lock()
		servers := len(way.servers)
		way.mu.Unlock()
		if way.Place.Service != service || servers == 0 {
			continue
		}
		known = true
		if !slices.Contains(lost, way.Place) {
			return false
		}
	}
	return known
}

// New returns Ways of which nothing is known.
func New(options ...Option) *Ways {
	ways := &Ways{now: clock.Boot, random: randomBelow, ways: map[Place]*Way{}}
	for _, option := range options {
		option(ways)
	}
	return ways
}
