package pathhealth

import (
	"sync"
	"sync/atomic"
	"time"
)

// Path is the network path from this node to the servers of a service in a data centre. A nil Path is healthy.
type Path struct {
	Destination Destination
	paths       *Paths

	// status and failureCount are written under mu and read without it while calls are routed.
	status       atomic.Int32
	failureCount atomic.Int32
	// lastActivity is when any server of the path last sent anything.
	lastActivity atomic.Int64

	mu sync.Mutex
	// lastConnect is when a connection to a server was last opened.
	lastConnect time.Duration
	// connectFailed holds the servers that could not be connected to since a connection last succeeded. broken holds the
	// servers whose connections broke or went silent since any server last sent something.
	connectFailed, broken map[string]struct{}
	// activeAt holds when each server last sent something since the path stopped being healthy.
	activeAt map[string]time.Duration
	// servers are the servers of the path that get calls, as last set by SetServers. witnesses are its other servers.
	servers, witnesses []string
	// reachedAt holds when each server was last connected to since the path stopped being healthy.
	reachedAt map[string]time.Duration
	// unhealthySince is when the path became suspected, probedAt is when its servers were last probed, and
	// recoveredAt is when the path was last found healthy.
	unhealthySince, probedAt, recoveredAt time.Duration
	// lastProbePassed is set if the last probe reached all its servers. silenceOnly is set if the path is suspected
	// only because its servers are silent.
	lastProbePassed, silenceOnly bool
}

// Status returns the current status of the path.
func (path *Path) Status() Status {
	if path == nil {
		return Healthy
	}
	return Status(path.status.Load())
}

// Blocks reports whether calls must not be sent to a server. On a lost path, all servers are blocked except those
// that were reached recently. On a suspected path, only servers that failed a call themselves are blocked.
func (path *Path) Blocks(server string) bool {
	if path.Status() == Healthy {
		return false
	}
	path.mu.Lock()
	defer path.mu.Unlock()
	if path.Status() == Suspected {
		_, connectFailed := path.connectFailed[server]
		_, broken := path.broken[server]
		return connectFailed || broken
	}
	at, known := path.reachedAt[server]
	return !known || path.paths.now()-at > reachedTTL
}

// SetServers replaces the list of servers of the path that get calls.
func (path *Path) SetServers(servers []string) {
	path.mu.Lock()
	defer path.mu.Unlock()
	path.servers = servers
}

// SetWitnesses replaces the list of the other servers of the path. They get no calls from this node, but they can be
// connected to: where few servers get calls, these may all have ended while the path works.
func (path *Path) SetWitnesses(witnesses []string) {
	path.mu.Lock()
	defer path.mu.Unlock()
	path.witnesses = witnesses
}

// touch records that a server sent something. It reports whether more has to be recorded, which is not the case while
// the path is healthy and has no recorded failures.
func (path *Path) touch(now time.Duration) bool {
	path.lastActivity.Store(int64(now))
	return path.failureCount.Load() != 0 || path.Status() != Healthy
}

// idleFor returns how long no server of the path has sent anything.
func (path *Path) idleFor(now time.Duration) time.Duration {
	return now - time.Duration(path.lastActivity.Load())
}

// RecordActivity records that a server sent something over an open connection.
func (path *Path) RecordActivity(server string) {
	if path == nil {
		return
	}
	now := path.paths.now()
	if !path.touch(now) {
		return
	}
	path.mu.Lock()
	defer path.mu.Unlock()
	clear(path.broken)
	if _, known := path.reachedAt[server]; known {
		path.reachedAt[server] = now
	}
	if path.activeAt != nil {
		path.activeAt[server] = now
	}
	path.updateFailureCountLocked()
}

// RecentlyActive reports whether a server of a lost path has just sent something, so that open connections to it are
// still in use.
func (path *Path) RecentlyActive(server string) bool {
	if path.Status() != Lost {
		return false
	}
	path.mu.Lock()
	defer path.mu.Unlock()
	at, known := path.activeAt[server]
	return known && path.paths.now()-at <= activeWindow
}

// RecordConnect records that a connection to a server was opened for a call.
func (path *Path) RecordConnect(server string) {
	if path == nil {
		return
	}
	now := path.paths.now()
	if !path.touch(now) {
		return
	}
	path.mu.Lock()
	defer path.mu.Unlock()
	path.lastConnect = now
	clear(path.broken)
	clear(path.connectFailed)
	if path.reachedAt != nil {
		path.reachedAt[server] = now
	}
	path.updateFailureCountLocked()
}

// RecordConnectFailure records that an attempt to connect to a server failed. The failure does not count against the
// path if another connection was opened after the attempt began.
func (path *Path) RecordConnectFailure(server string, began time.Duration) {
	if path == nil {
		return
	}
	path.mu.Lock()
	defer path.mu.Unlock()
	delete(path.reachedAt, server)
	if path.lastConnect > began {
		return
	}
	path.connectFailed = addServer(path.connectFailed, server)
	path.evaluateLocked()
}

// RecordBreak records that the connection of a call to a server broke, or that the call has received nothing since
// the given time. It does not count against the path if any server has sent something after that time.
func (path *Path) RecordBreak(server string, since time.Duration) {
	if path == nil {
		return
	}
	path.mu.Lock()
	defer path.mu.Unlock()
	delete(path.reachedAt, server)
	if time.Duration(path.lastActivity.Load()) > since {
		return
	}
	path.broken = addServer(path.broken, server)
	path.evaluateLocked()
}

func addServer(servers map[string]struct{}, server string) map[string]struct{} {
	if servers == nil {
		servers = map[string]struct{}{}
	}
	if len(servers) < maxFailedServers {
		servers[server] = struct{}{}
	}
	return servers
}

func (path *Path) updateFailureCountLocked() {
	path.failureCount.Store(int32(len(path.connectFailed) + len(path.broken)))
}

// evaluateLocked marks the path as suspected if enough servers have failed.
func (path *Path) evaluateLocked() {
	path.updateFailureCountLocked()
	failed := len(path.connectFailed)
	for server := range path.broken {
		if _, both := path.connectFailed[server]; !both {
			failed++
		}
	}
	now := path.paths.now()
	if failed >= min(suspectAfterServers, max(1, len(path.servers))) && (path.recoveredAt == 0 || now-path.recoveredAt >= suspectCooldown) {
		path.markSuspectedLocked(now)
	}
}

func (path *Path) markSuspectedLocked(now time.Duration) {
	if path.Status() != Healthy {
		return
	}
	path.status.Store(int32(Suspected))
	path.paths.unhealthy.Add(1)
	path.unhealthySince, path.probedAt, path.silenceOnly = now, 0, false
	path.reachedAt, path.activeAt = map[string]time.Duration{}, map[string]time.Duration{}
}

// RecordSilence records that calls have waited for the given span without receiving anything. The path becomes
// suspected if no server of the path has sent anything for that span either.
func (path *Path) RecordSilence(span time.Duration) {
	if path == nil || path.Status() != Healthy {
		return
	}
	now := path.paths.now()
	path.mu.Lock()
	defer path.mu.Unlock()
	if path.idleFor(now) >= span && (path.recoveredAt == 0 || now-path.recoveredAt >= silenceCooldown) {
		path.markSuspectedLocked(now)
		path.silenceOnly = true
	}
}

func (path *Path) countReachedLocked(now time.Duration) int {
	count := 0
	for _, at := range path.reachedAt {
		if now-at <= reachedTTL {
			count++
		}
	}
	return count
}
