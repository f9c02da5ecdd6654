package backends

import (
	"time"
)

// Faults sets how orders to one server fail.
type Faults struct {
	// LostReplies is the probability, 0 to 1, that the server executes an order and its reply is lost.
	LostReplies float64
	// Delayed is the probability, 0 to 1, that an order gets no reply and the server executes it after Delay.
	Delayed float64
	Delay   time.Duration
}

// Kill cuts the power of a server's host permanently. Its connections stay open without a response, and connecting to it
// times out.
func (cluster *Cluster) Kill(id string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.servers[id].dead = true
}

// Crash ends a server's process, which resets its connections, and restarts the process after the given downtime. The
// host refuses connections until then.
func (cluster *Cluster) Crash(id string, downtime time.Duration) {
	cluster.mu.Lock()
	cluster.servers[id].dead, cluster.servers[id].crashed = true, true
	cluster.mu.Unlock()
	if cluster.ProcessEnded != nil {
		cluster.ProcessEnded(id)
	}
	time.AfterFunc(downtime, func() { cluster.Restart(id) })
}

// Pause stops the processes of servers for a while, like SIGSTOP. Paused servers accept connections and respond to
// nothing. They keep their groups, and all that was in progress goes on after the pause. A longer pause that is already
// in progress is not shortened.
func (cluster *Cluster) Pause(duration time.Duration, ids ...string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	// Heads notice the end of an earlier pause of their members before the new one begins.
	for _, found := range cluster.servers {
		cluster.advance(found)
	}
	now := cluster.now()
	for _, id := range ids {
		found := cluster.servers[id]
		if found.pausedUntil == 0 {
			found.pausedAt = now
		}
		found.pausedUntil = max(found.pausedUntil, now+duration)
	}
}

// resume ends a pause that is over. Whatever was in progress when the pause began takes longer by its length.
func (cluster *Cluster) resume(found *server) {
	if found.pausedUntil == 0 {
		return
	}
	began, length := found.pausedAt, found.pausedUntil-found.pausedAt
	found.pausedAt, found.pausedUntil = 0, 0
	if found.loadedAt > began {
		found.loadedAt += length
	}
	group := &found.group
	if group.readyAt > began {
		group.readyAt += length
	}
	if group.openAt+cluster.engine.FormationTime > began {
		group.openAt += length
	}
}

// Restart replaces a server's process under the same ID. The new process has no group, has executed no orders and knows
// no term. The models staged on the host remain.
func (cluster *Cluster) Restart(id string) {
	cluster.mu.Lock()
	found := cluster.servers[id]
	cluster.advance(found)
	cluster.servers[id] = &server{
		id: id, domain: found.domain, dataCentre: found.dataCentre, partitionedFrom: found.partitionedFrom, calls: map[string]int{}, staged: found.staged,
		born: found.born + 1 + cluster.now().Milliseconds(),
	}
	cluster.mu.Unlock()
	if !found.dead && cluster.ProcessEnded != nil {
		cluster.ProcessEnded(id)
	}
}

// SetStaged replaces the models staged on a server's host with one model.
func (cluster *Cluster) SetStaged(id, model string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.servers[id].staged = []string{model}
}

// Drain makes a server announce that it is draining.
func (cluster *Cluster) Drain(id string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.servers[id].draining = true
}

// Deregister removes a server's registry entry while the server continues to run.
func (cluster *Cluster) Deregister(id string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.servers[id].deregistered = true
}

// SetPartitioned starts or ends a partition between a server and a caller.
func (cluster *Cluster) SetPartitioned(id, caller string, partitioned bool) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.servers[id].partitionedFrom[caller] = partitioned
}

// SetFaults replaces the order faults of a server.
func (cluster *Cluster) SetFaults(id string, faults Faults) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.servers[id].faults = faults
}
