// Package fabric keeps what is known about the backend servers of a data
// centre's fabric domains.
//
// The domains are split among the live nodes of the data centre: the node
// whose duty a domain is reads its servers' reports, and its peers pull these
// readings. A node whose knowledge of a domain has grown old reads it itself,
// so neither a lost watcher nor a cut between nodes leaves a domain unwatched.
//
// Every Fact carries the moment before it was asked for, on this node's own
// clock, by the most cautious reckoning; a report that was held up on its way
// is old when it arrives, and cannot make a lost server look alive.
//
// # Usage
//
//	facts := fabric.New(clock.Boot)
//	watcher := fabric.NewWatcher(facts, table, read, probe)
//	watcher.Start()
//	snapshot := facts.Snapshot()
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

// Fact is the newest report of one server. At is the moment before it was
// asked for; zero means that it was never read.
type Fact struct {
	FabricDomain string
	Address      string
	Report       engine.Report
	At           time.Duration
	// FirstMissed is since when every try to read it has failed, 0 while the
	// last one succeeded.
	FirstMissed time.Duration
	// ListedLeaving is what the instance list says.
	ListedLeaving bool
}

// Leaving reports whether the server should get no new work.
func (fact *Fact) Leaving() bool {
	return fact.ListedLeaving || fact.Report.Leaving
}

// Age is how old the fact is at most.
func (fact *Fact) Age(now time.Duration) time.Duration {
	if fact.At == 0 {
		return 1 << 62
	}
	return now - fact.At
}

// Snapshot holds the facts of each domain, ordered by address. It never
// changes.
type Snapshot struct {
	Domains map[string][]Fact
}

// Facts collects facts from this node's own readings and from peers.
type Facts struct {
	now      clock.Now
	snapshot atomic.Pointer[Snapshot]
	changed  chan struct{}

	mu      sync.Mutex
	servers map[string]*Fact
}

// New returns facts about nothing.
func New(now clock.Now) *Facts {
	facts := &Facts{now: now, changed: make(chan struct{}, 1), servers: map[string]*Fact{}}
	facts.snapshot.Store(&Snapshot{Domains: map[string][]Fact{}})
	return facts
}

// List takes the servers of the instance list. A server that is no longer
// listed is forgotten once it does not answer either: the list may lag or be
// wrong, and a server that answers is still there.
func (facts *Facts) List(instances []instancelist.Instance) {
	facts.mu.Lock()
	defer facts.mu.Unlock()
	listed := map[string]bool{}
	for _, instance := range instances {
		listed[instance.Address] = true
		fact, ok := facts.servers[instance.Address]
		if !ok {
			fact = &Fact{FabricDomain: instance.FabricDomain, Address: instance.Address}
			facts.servers[instance.Address] = fact
		}
		fact.ListedLeaving = instance.Leaving
	}
	for address, fact := range facts.servers {
		if !listed[address] && fact.Age(facts.now()) > ForgetAfter {
			delete(facts.servers, address)
		}
	}
	facts.publishLocked()
}

// ForgetAfter is how long a server that is not listed is kept after its last
// report.
const ForgetAfter = 10 * time.Second

// Put takes reports that are newer than what is known, in one go.
func (facts *Facts) Put(domain string, readings []Fact) {
	facts.mu.Lock()
	defer facts.mu.Unlock()
	for index := range readings {
		facts.putLocked(domain, &readings[index])
	}
	facts.publishLocked()
}

func (facts *Facts) putLocked(domain string, reading *Fact) {
	known, ok := facts.servers[reading.Address]
	if !ok {
		known = &Fact{FabricDomain: domain, Address: reading.Address}
		facts.servers[reading.Address] = known
	}
	if reading.At <= known.At {
		return
	}
	known.Report, known.At, known.FirstMissed = reading.Report, reading.At, 0
}

// Missed notes that a server did not answer a question asked at the moment.
func (facts *Facts) Missed(address string, at time.Duration) {
	facts.mu.Lock()
	defer facts.mu.Unlock()
	fact, ok := facts.servers[address]
	if !ok || fact.FirstMissed != 0 || fact.At >= at {
		return
	}
	fact.FirstMissed = at
	facts.publishLocked()
}

func (facts *Facts) publishLocked() {
	domains := map[string][]Fact{}
	for _, fact := range facts.servers {
		domains[fact.FabricDomain] = append(domains[fact.FabricDomain], *fact)
	}
	for _, members := range domains {
		slices.SortFunc(members, func(a, b Fact) int { return strings.Compare(a.Address, b.Address) })
	}
	facts.snapshot.Store(&Snapshot{Domains: domains})
	select {
	case facts.changed <- struct{}{}:
	default:
	}
}

// Snapshot returns what is known now.
func (facts *Facts) Snapshot() *Snapshot {
	return facts.snapshot.Load()
}

// Changed returns a channel that gets a value when something changed.
func (facts *Facts) Changed() <-chan struct{} {
	return facts.changed
}

// DomainNames returns the names of the known domains, in order.
func (snapshot *Snapshot) DomainNames() []string {
	names := make([]string, 0, len(snapshot.Domains))
	for name := range snapshot.Domains {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
