// Package fabric tracks the status of the backend servers in the fabric domains of a data centre.
//
// The domains are divided among the live nodes of the data centre. The node that owns a domain reads the reports of
// its servers, and the node's peers pull these statuses. A node whose information about a domain is too old reads the
// domain itself, so neither the loss of a watcher nor a network partition between nodes leaves a domain unwatched.
//
// Each ServerStatus carries the time before its report was requested, on this node's clock; where that time is
// uncertain, the oldest possible one. A delayed report is therefore old on arrival, and cannot make a lost server look
// alive.
//
// # Usage
//
//	table := fabric.New(clock.Boot)
//	watcher := fabric.NewWatcher(table, owns, read, probe)
//	watcher.Start()
//	snapshot := table.Snapshot()
package fabric

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/peer/engine"
	"hazelslip/internal/peer/instancelist"
)

// ServerStatus is the newest report of one server. RequestedAt is a time just before the report was requested;
// zero means that no report was ever read.
type ServerStatus struct {
	FabricDomain string
	Address      string
	Report       engine.Report
	RequestedAt  time.Duration
	// UnresponsiveSince is when the current series of failed reads began, 0 if the last read succeeded.
	UnresponsiveSince time.Duration
	// ListedLeaving is set when the instance list says that the server is leaving.
	ListedLeaving bool
}

// Leaving reports whether the server should get no new work.
func (status *ServerStatus) Leaving() bool {
	return status.ListedLeaving || status.Report.Leaving
}

// Age returns the maximum age of the report.
func (status *ServerStatus) Age(now time.Duration) time.Duration {
	if status.RequestedAt == 0 {
		return 1 << 62
	}
	return now - status.RequestedAt
}

// Snapshot holds the server statuses by domain, ordered by address. It is immutable.
type Snapshot struct {
	Domains map[string][]ServerStatus
}

// StatusTable collects server statuses from this node's own readings and from peers.
type StatusTable struct {
	now      clock.Now
	snapshot atomic.Pointer[Snapshot]
	changed  chan struct{}

	mu      sync.Mutex
	servers map[string]*ServerStatus
}

// New returns an empty table.
func New(now clock.Now) *StatusTable {
	table := &StatusTable{now: now, changed: make(chan struct{}, 1), servers: map[string]*ServerStatus{}}
	table.snapshot.Store(&Snapshot{Domains: map[string][]ServerStatus{}})
	return table
}

// UpdateListed applies the instance list. The list may lag or be wrong, and a server that answers still exists: so a
// server that is no longer listed is removed only when its last report is older than UnlistedRetention.
func (table *StatusTable) UpdateListed(instances []instancelist.Instance) {
	table.mu.Lock()
	defer table.mu.Unlock()
	listed := map[string]bool{}
	for _, instance := range instances {
		listed[instance.Address] = true
		server, ok := table.servers[instance.Address]
		if !ok {
			server = &ServerStatus{FabricDomain: instance.FabricDomain, Address: instance.Address}
			table.servers[instance.Address] = server
		}
		server.ListedLeaving = instance.Leaving
	}
	for address, server := range table.servers {
		if !listed[address] && server.Age(table.now()) > UnlistedRetention {
			delete(table.servers, address)
		}
	}
	table.publishLocked()
}

// UnlistedRetention is how long an unlisted server is kept after its last report.
const UnlistedRetention = 10 * time.Second

// Merge applies those statuses that are newer than the known ones, and publishes one snapshot.
func (table *StatusTable) Merge(domain string, statuses []ServerStatus) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for index := range statuses {
		table.mergeLocked(domain, &statuses[index])
	}
	table.publishLocked()
}

func (table *StatusTable) mergeLocked(domain string, update *ServerStatus) {
	existing, ok := table.servers[update.Address]
	if !ok {
		existing = &ServerStatus{FabricDomain: domain, Address: update.Address}
		table.servers[update.Address] = existing
	}
	if update.RequestedAt <= existing.RequestedAt {
		return
	}
	existing.Report, existing.RequestedAt, existing.UnresponsiveSince = update.Report, update.RequestedAt, 0
}

// MarkUnresponsive records that a server did not answer a request sent at the given time.
func (table *StatusTable) MarkUnresponsive(address string, requestedAt time.Duration) {
	table.mu.Lock()
	defer table.mu.Unlock()
	server, ok := table.servers[address]
	if !ok || server.UnresponsiveSince != 0 || server.RequestedAt >= requestedAt {
		return
	}
	server.UnresponsiveSince = requestedAt
	table.publishLocked()
}

func (table *StatusTable) publishLocked() {
	domains := map[string][]ServerStatus{}
	for _, server := range table.servers {
		domains[server.FabricDomain] = append(domains[server.FabricDomain], *server)
	}
	for _, members := range domains {
		slices.SortFunc(members, func(a, b ServerStatus) int { return strings.Compare(a.Address, b.Address) })
	}
	table.snapshot.Store(&Snapshot{Domains: domains})
	select {
	case table.changed <- struct{}{}:
	default:
	}
}

// Snapshot returns the current statuses.
func (table *StatusTable) Snapshot() *Snapshot {
	return table.snapshot.Load()
}

// Changed returns a channel that receives a value after each change; changes may be coalesced.
func (table *StatusTable) Changed() <-chan struct{} {
	return table.changed
}

// DomainNames returns the names of the known domains, sorted.
func (snapshot *Snapshot) DomainNames() []string {
	names := make([]string, 0, len(snapshot.Domains))
	for name := range snapshot.Domains {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
