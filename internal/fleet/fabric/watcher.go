package fabric

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/peer/engine"
)

const (
	// ReadInterval is how often a watcher reads its servers.
	ReadInterval = time.Second
	// FallbackAge is the age of a domain's newest report at which a node reads the domain itself, although another
	// node owns it.
	FallbackAge = 2500 * time.Millisecond
	// readTimeout bounds the read of one report. A paused server counts as unresponsive and does not delay the
	// others.
	readTimeout     = 700 * time.Millisecond
	readConcurrency = 32
)

// Reading is the latest reading of a domain by one watcher.
type Reading struct {
	FabricDomain string
	// Sequence increases with each reading, Version only with a reading in which something besides the ages changed.
	Sequence     uint64
	Version      uint64
	Servers      []ServerStatus
	Unresponsive []string
}

// WatcherState is the state dump of a Watcher.
type WatcherState struct {
	Domains   []string
	Reads     uint64
	Misses    uint64
	Probes    uint64
	ProbeSave uint64
	Fallbacks uint64
}

// Watcher reads the servers of the domains that this node owns.
type Watcher struct {
	*lifecycle.Component
	table *StatusTable
	now   clock.Now
	owns  func(key string) bool
	read  func(ctx context.Context, address string) (engine.Report, error)
	// probe asks a peer to read a server that this node cannot reach. The returned duration is the age of the report,
	// counted from before this node asked.
	probe func(ctx context.Context, address string) (engine.Report, time.Duration, bool)

	reads, misses, probes, probeSuccesses, fallbacks atomic.Uint64

	mu       sync.Mutex
	readings map[string]*Reading
	probing  map[string]bool
	sequence uint64
}

// NewWatcher returns a watcher. The function owns reports whether this node owns an assignment key.
func NewWatcher(
	table *StatusTable,
	owns func(key string) bool,
	read func(ctx context.Context, address string) (engine.Report, error),
	probe func(ctx context.Context, address string) (engine.Report, time.Duration, bool),
) *Watcher {
	return &Watcher{
		Component: lifecycle.New("watcher"), table: table, now: table.now, owns: owns, read: read, probe: probe,
		readings: map[string]*Reading{}, probing: map[string]bool{},
	}
}

// Start starts reading at ReadInterval.
func (watcher *Watcher) Start() {
	watcher.Every(ReadInterval, watcher.Tick)
}

// AssignmentKey returns the key by which the watching of a domain is assigned to a node.
func AssignmentKey(domain string) string {
	return "domain/" + domain
}

// Tick reads each domain that this node owns, and each one whose information is too old.
func (watcher *Watcher) Tick() {
	snapshot := watcher.table.Snapshot()
	due := []string{}
	for _, domain := range snapshot.DomainNames() {
		owned := watcher.owns(AssignmentKey(domain))
		if !owned && watcher.freshestAge(snapshot.Domains[domain]) < FallbackAge {
			watcher.dropReading(domain)
			continue
		}
		if !owned {
			watcher.fallbacks.Add(1)
		}
		due = append(due, domain)
	}
	reads := pool.New().WithMaxGoroutines(readConcurrency)
	results := make([][]ServerStatus, len(due))
	for index, domain := range due {
		results[index] = slices.Clone(snapshot.Domains[domain])
		for server := range results[index] {
			reads.Go(func() { watcher.readReport(&results[index][server]) })
		}
	}
	reads.Wait()
	for index, domain := range due {
		watcher.publish(domain, results[index])
	}
}

// freshestAge returns the age of the newest report of a domain.
func (watcher *Watcher) freshestAge(servers []ServerStatus) time.Duration {
	age := time.Duration(1 << 62)
	for index := range servers {
		age = min(age, servers[index].Age(watcher.now()))
	}
	return age
}

func (watcher *Watcher) readReport(server *ServerStatus) {
	ctx, cancel := watcher.ContextWithTimeout(readTimeout)
	defer cancel()
	requestedAt := watcher.now()
	watcher.reads.Add(1)
	report, err := watcher.read(ctx, server.Address)
	if err != nil {
		watcher.misses.Add(1)
		watcher.probeViaPeer(server.Address, server.FabricDomain, requestedAt)
		return
	}
	server.Report, server.RequestedAt, server.UnresponsiveSince = report, requestedAt, 0
}

// probeViaPeer asks another node to read a server before the server counts as unresponsive, because a broken
// connection between one node and one server must not cost a healthy group. It runs in the background: if it delayed
// the tick, one paused server would make the reports of all others stale.
func (watcher *Watcher) probeViaPeer(address, domain string, requestedAt time.Duration) {
	if !watcher.beginProbe(address) {
		return
	}
	watcher.Go(func() {
		defer watcher.endProbe(address)
		ctx, cancel := watcher.ContextWithTimeout(2 * readTimeout)
		defer cancel()
		report, age, ok := watcher.probe(ctx, address)
		if !ok {
			watcher.table.MarkUnresponsive(address, requestedAt)
			return
		}
		watcher.probeSuccesses.Add(1)
		watcher.table.Merge(domain, []ServerStatus{{FabricDomain: domain, Address: address, Report: report, RequestedAt: watcher.now() - age}})
	})
}

func (watcher *Watcher) beginProbe(address string) bool {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	if watcher.probing[address] {
		return false
	}
	watcher.probing[address] = true
	watcher.probes.Add(1)
	return true
}

func (watcher *Watcher) endProbe(address string) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	delete(watcher.probing, address)
}

// publish makes a reading available to this node and, through Readings, to its peers.
func (watcher *Watcher) publish(domain string, servers []ServerStatus) {
	watcher.table.Merge(domain, servers)
	fresh, unresponsive := []ServerStatus{}, []string{}
	for _, server := range watcher.table.Snapshot().Domains[domain] {
		if server.UnresponsiveSince != 0 {
			unresponsive = append(unresponsive, server.Address)
		} else if server.RequestedAt != 0 {
			fresh = append(fresh, server)
		}
	}
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	watcher.sequence++
	previous := watcher.readings[domain]
	reading := &Reading{FabricDomain: domain, Sequence: watcher.sequence, Version: watcher.sequence, Servers: fresh, Unresponsive: unresponsive}
	if previous != nil && sameReports(previous.Servers, fresh) {
		reading.Version = previous.Version
	}
	watcher.readings[domain] = reading
}

func sameReports(previous, current []ServerStatus) bool {
	return slices.EqualFunc(previous, current, func(a, b ServerStatus) bool {
		return a.Address == b.Address && SameReport(a.Report, b.Report)
	})
}

// SameReport reports whether two reports are equal. It compares the contents of Members.
func SameReport(a, b engine.Report) bool {
	if !slices.Equal(a.Members, b.Members) {
		return false
	}
	a.Members, b.Members = nil, nil
	return a.Instance == b.Instance && a.Incarnation == b.Incarnation && a.State == b.State &&
		a.Group == b.Group && a.Highest == b.Highest && a.Model == b.Model && a.Running == b.Running &&
		a.QueuedTokens == b.QueuedTokens && a.TokensPerSecond == b.TokensPerSecond &&
		a.PrefillPerSecond == b.PrefillPerSecond && a.Concurrency == b.Concurrency && a.Leaving == b.Leaving
}

func (watcher *Watcher) dropReading(domain string) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	delete(watcher.readings, domain)
}

// Readings returns this node's own readings, for its peers.
func (watcher *Watcher) Readings() []Reading {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	readings := make([]Reading, 0, len(watcher.readings))
	for _, reading := range watcher.readings {
		readings = append(readings, *reading)
	}
	return readings
}

// State returns the watcher's part of the state dump.
func (watcher *Watcher) State() WatcherState {
	state := WatcherState{
		Reads: watcher.reads.Load(), Misses: watcher.misses.Load(), Probes: watcher.probes.Load(),
		ProbeSave: watcher.probeSuccesses.Load(), Fallbacks: watcher.fallbacks.Load(),
	}
	for _, reading := range watcher.Readings() {
		state.Domains = append(state.Domains, reading.FabricDomain)
	}
	slices.Sort(state.Domains)
	return state
}
