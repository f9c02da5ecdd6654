package reach

import (
	"sync"
	"sync/atomic"
	"time"
)

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
	// opened is when a connection was last opened.
	opened time.Duration
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

// Blocks says whether a server is not to be called: its way is lost, and nothing shows that it is reached; or its way is
// doubted, and it failed a call itself.
func (way *Way) Blocks(server string) bool {
	if way.Standing() == Open {
		return false
	}
	way.mu.Lock()
	defer way.mu.Unlock()
	if way.Standing() == Doubted {
		_, unopened := way.unopened[server]
		_, broken := way.broken[server]
		return unopened || broken
	}
	at, known := way.reached[server]
	return !known || way.ways.now()-at > reachedKept
}

// List sets the servers of the way.
func (way *Way) List(servers []string) {
	way.mu.Lock()
	defer way.mu.Unlock()
	way.servers = servers
}

// heardNow notes that something came, and says whether there is anything to note beside: not where nothing speaks against
// the way.
func (way *Way) heardNow(now time.Duration) bool {
	way.heardAt.Store(int64(now))
	return way.evidence.Load() != 0 || way.Standing() != Open
}

// silentFor is for how long nothing has come from any server.
func (way *Way) silentFor(now time.Duration) time.Duration {
	return now - time.Duration(way.heardAt.Load())
}

// Heard notes that something came from a server over an open connection.
func (way *Way) Heard(server string) {
	if way == nil {
		return
	}
	now := way.ways.now()
	if !way.heardNow(now) {
		return
	}
	way.mu.Lock()
	defer way.mu.Unlock()
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
	if !way.heardNow(now) {
		return
	}
	way.mu.Lock()
	defer way.mu.Unlock()
	way.opened = now
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
	if time.Duration(way.heardAt.Load()) > since {
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
	if way.silentFor(now) >= span && (way.wholeAt == 0 || now-way.wholeAt >= silentAgain) {
		way.doubtLocked(now)
		way.quiet = true
	}
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
