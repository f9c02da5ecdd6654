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

// Kill stops a server permanently. Its connections stay open without a response.
func (cluster *Cluster) Kill(id string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.servers[id].dead = true
}

// Crash ends a server's process, which closes its connections, and restarts the process after the given downtime.
func (cluster *Cluster) Crash(id string, downtime time.Duration) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.servers[id].dead, cluster.servers[id].crashed = true, true
	time.AfterFunc(downtime, func() { cluster.Restart(id) })
}

// Restart replaces a server's process under the same ID. The new process has no group, has executed no orders and knows
// no term. The models staged on the host remain.
func (cluster *Cluster) Restart(id string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	found := cluster.servers[id]
	cluster.advance(found)
	cluster.servers[id] = &server{
		id: id, domain: found.domain, dataCentre: found.dataCentre, partitionedFrom: found.partitionedFrom, staged: found.staged,
		born: found.born + 1 + cluster.now().Milliseconds(),
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
