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
	// ReadEvery is how often a watcher reads its servers.
	ReadEvery = time.Second
	// TooOld is the age of knowledge at which a node reads a domain itself.
	TooOld = 2500 * time.Millisecond
	// readTimeout bounds one report; a paused server is missed, not waited for.
	readTimeout     = 700 * time.Millisecond
	readConcurrency = 32
)

// Reading is one watcher's latest reading of one domain.
type Reading struct {
	FabricDomain string
	// Sequence grows with each reading, Version only with those in which
	// something besides the ages changed.
	Sequence uint64
	Version  uint64
	Facts    []Fact
	Missed   []string
}

// WatcherState is what a Watcher shows in the state dump.
type WatcherState struct {
	Domains   []string
	Reads     uint64
	Misses    uint64
	Probes    uint64
	ProbeSave uint64
	Fallbacks uint64
}

// Watcher reads the domains that are this node's duty.
type Watcher struct {
	*lifecycle.Component
	facts *Facts
	now   clock.Now
	mine  func(duty string) bool
	read  func(ctx context.Context, address string) (engine.Report, error)
	// probe asks a peer to read a server that this node cannot reach. The
	// duration is the report's age, counted from before this node asked.
	probe func(ctx context.Context, address string) (engine.Report, time.Duration, bool)

	reads, misses, probes, saves, fallbacks atomic.Uint64

	mu       sync.Mutex
	readings map[string]*Reading
	probing  map[string]bool
	sequence uint64
}

// NewWatcher returns a watcher. Mine tells which domains are this node's duty.
func NewWatcher(
	facts *Facts,
	mine func(duty string) bool,
	read func(ctx context.Context, address string) (engine.Report, error),
	probe func(ctx context.Context, address string) (engine.Report, time.Duration, bool),
) *Watcher {
	return &Watcher{
		Component: lifecycle.New("watcher"), facts: facts, now: facts.now, mine: mine, read: read, probe: probe,
		readings: map[string]*Reading{}, probing: map[string]bool{},
	}
}

// Start begins to watch.
func (watcher *Watcher) Start() {
	watcher.Every(ReadEvery, watcher.Tick)
}

// Duty is the name under which a domain's watch is spread over the nodes.
func Duty(domain string) string {
	return "domain/" + domain
}

// Tick reads each domain that is this node's duty, or that it knows too little
// of.
func (watcher *Watcher) Tick() {
	snapshot := watcher.facts.Snapshot()
	due := []string{}
	for _, domain := range snapshot.DomainNames() {
		mine := watcher.mine(Duty(domain))
		if !mine && watcher.newest(snapshot.Domains[domain]) < TooOld {
			watcher.forget(domain)
			continue
		}
		if !mine {
			watcher.fallbacks.Add(1)
		}
		due = append(due, domain)
	}
	reads := pool.New().WithMaxGoroutines(readConcurrency)
	results := make([][]Fact, len(due))
	for index, domain := range due {
		results[index] = slices.Clone(snapshot.Domains[domain])
		for at := range results[index] {
			reads.Go(func() { watcher.readOne(&results[index][at]) })
		}
	}
	reads.Wait()
	for index, domain := range due {
		watcher.finish(domain, results[index])
	}
}

// newest is the age of the freshest fact of a domain.
func (watcher *Watcher) newest(facts []Fact) time.Duration {
	age := time.Duration(1 << 62)
	for index := range facts {
		age = min(age, facts[index].Age(watcher.now()))
	}
	return age
}

func (watcher *Watcher) readOne(fact *Fact) {
	ctx, cancel := watcher.ContextWithTimeout(readTimeout)
	defer cancel()
	at := watcher.now()
	watcher.reads.Add(1)
	report, err := watcher.read(ctx, fact.Address)
	if err != nil {
		watcher.misses.Add(1)
		watcher.ask(fact.Address, fact.FabricDomain, at)
		return
	}
	fact.Report, fact.At, fact.FirstMissed = report, at, 0
}

// ask lets another node try a server before it counts as missed: a cut between
// one node and one server must not cost a healthy group. It does not hold up
// the tick, or one paused server would make the reports of all others stale.
func (watcher *Watcher) ask(address, domain string, at time.Duration) {
	if !watcher.beginProbe(address) {
		return
	}
	watcher.Go(func() {
		defer watcher.endProbe(address)
		ctx, cancel := watcher.ContextWithTimeout(2 * readTimeout)
		defer cancel()
		report, age, ok := watcher.probe(ctx, address)
		if !ok {
			watcher.facts.Missed(address, at)
			return
		}
		watcher.saves.Add(1)
		watcher.facts.Put(domain, []Fact{{FabricDomain: domain, Address: address, Report: report, At: watcher.now() - age}})
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

// finish publishes a reading to this node and, through Readings, to its peers.
func (watcher *Watcher) finish(domain string, facts []Fact) {
	watcher.facts.Put(domain, facts)
	fresh, missed := []Fact{}, []string{}
	for _, fact := range watcher.facts.Snapshot().Domains[domain] {
		if fact.FirstMissed != 0 {
			missed = append(missed, fact.Address)
		} else if fact.At != 0 {
			fresh = append(fresh, fact)
		}
	}
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	watcher.sequence++
	before := watcher.readings[domain]
	reading := &Reading{FabricDomain: domain, Sequence: watcher.sequence, Version: watcher.sequence, Facts: fresh, Missed: missed}
	if before != nil && sameReports(before.Facts, fresh) {
		reading.Version = before.Version
	}
	watcher.readings[domain] = reading
}

func sameReports(before, after []Fact) bool {
	return slices.EqualFunc(before, after, func(a, b Fact) bool {
		return a.Address == b.Address && SameReport(a.Report, b.Report)
	})
}

// SameReport compares two reports but for where in memory they stand.
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

func (watcher *Watcher) forget(domain string) {
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
		ProbeSave: watcher.saves.Load(), Fallbacks: watcher.fallbacks.Load(),
	}
	for _, reading := range watcher.Readings() {
		state.Domains = append(state.Domains, reading.FabricDomain)
	}
	slices.Sort(state.Domains)
	return state
}
