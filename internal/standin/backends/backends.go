// Package backends simulates the backend servers whose groups run models. The simulation executes orders, tracks group
// memberships as real servers do, and records violations of the group protocol.
//
// Each server is a compare-and-set register. The server refuses an order with a lower term than the highest term it has
// seen. An order that expects another count of executed orders conflicts. Epochs only rise. Faults are set per server:
// a server can stop, pause, be partitioned from given callers, lose replies or execute orders late.
//
// # Usage
//
//	cluster := backends.New(clock, engine, seed)
//	cluster.Add("i-1", "domain-1", "east")
//	result, err := cluster.Order("node-1", "i-1", order)
//	violations := cluster.Violations()
package backends

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/state/configuration"
)

// ErrNoResponse is returned for a call to a server that is stopped or unreachable.
var ErrNoResponse = errors.New("no response from the backend server")

// server holds the state of one simulated backend server and its host.
type server struct {
	id, domain, dataCentre string
	dead                   bool
	// crashed marks a dead server whose process exited, so that its connections are closed. Any other dead server
	// stops responding and leaves its connections open.
	crashed bool
	// pausedAt and pausedUntil are the bounds of the pause of the process. pausedUntil is 0 unless a pause has begun and
	// its end was not applied yet.
	pausedAt, pausedUntil time.Duration
	draining              bool
	// deregistered hides the running server from the registry.
	deregistered bool
	// partitionedFrom holds the callers that cannot reach the server.
	partitionedFrom map[string]bool
	faults          Faults
	// born identifies the server process. The value is 0 for the first process. Each restart raises it by 1 plus the
	// time of the restart in milliseconds.
	born      int64
	orders    int64
	term      int64
	epoch     int64
	group     membership
	staged    []string
	lastModel string
	// loading is the model that is being loaded onto the host. The load ends at loadedAt.
	loading  string
	loadedAt time.Duration
	// calls counts the calls that the server runs, by group.
	calls map[string]int
	// pastReports holds superseded reports, oldest first, for Cluster.ReportLag.
	pastReports []pastReport
}

// pastReport is a superseded report and the time until which it was current.
type pastReport struct {
	report formation.Report
	until  time.Duration
}

type membership struct {
	name    string
	epoch   int64
	model   string
	members []string
	rank    int
	state   string
	readyAt time.Duration
	openAt  time.Duration
	// stalledAt is the time at which the head noticed a missing member.
	stalledAt time.Duration
	stalled   bool
	// loads is set if the join loads the model's weights onto the host.
	loads bool
}

// Cluster holds all simulated backend servers and the violations that they recorded.
type Cluster struct {
	now    clock.Now
	engine *configuration.Engine
	// StallTimeout is the time from a missing member until the group breaks. The head accepts calls during that time.
	StallTimeout time.Duration
	// HeadsIdle simulates heads without calls. Such heads do not notice a missing member.
	HeadsIdle bool
	// ReportLag is the age of the reports that servers return.
	ReportLag time.Duration
	// ProcessEnded, if set, is called when a server's process has ended.
	ProcessEnded func(id string)

	mu           sync.Mutex
	servers      map[string]*server
	readyMembers map[string]map[string]bool
	violations   []string
	// groupsByEpoch maps each epoch to the name of the group that was formed in it.
	groupsByEpoch map[int64]string
	random        *rand.Rand
	loadStarts    []time.Duration
	joinLoads     int
}

// New returns a cluster without servers. The seed determines all random choices.
func New(now clock.Now, engine *configuration.Engine, seed uint64) *Cluster {
	return &Cluster{
		now: now, engine: engine, StallTimeout: 6 * time.Second, servers: map[string]*server{}, groupsByEpoch: map[int64]string{},
		readyMembers: map[string]map[string]bool{}, random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// Add adds a server whose host already stores the staged models.
func (cluster *Cluster) Add(id, domain, dataCentre string, staged ...string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.servers[id] = &server{id: id, domain: domain, dataCentre: dataCentre, partitionedFrom: map[string]bool{}, calls: map[string]int{}, staged: staged}
}

// Members returns the members of the server's group, with the head first.
func (cluster *Cluster) Members(id string) []string {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return slices.Clone(cluster.servers[id].group.members)
}

// Group returns the name of the server's group, empty for none.
func (cluster *Cluster) Group(id string) string {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.servers[id].group.name
}

// Violations describes each violation of the group protocol: a head that was opened before all members were ready, a
// server that left a serving group to join another one, or an epoch with two groups.
func (cluster *Cluster) Violations() []string {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return append([]string{}, cluster.violations...)
}

// Loads returns how many loads from the weight store have started.
func (cluster *Cluster) Loads() int {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return len(cluster.loadStarts)
}

// JoinLoads returns how many joins required a load from the weight store.
func (cluster *Cluster) JoinLoads() int {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.joinLoads
}

// MaxLoadsWithin returns the maximum number of loads that started in any window of length span.
func (cluster *Cluster) MaxLoadsWithin(span time.Duration) int {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	most := 0
	for first := range cluster.loadStarts {
		count := 0
		for _, at := range cluster.loadStarts[first:] {
			if at-cluster.loadStarts[first] < span {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// reachableServer returns the server if it responds to the caller. The error for a crashed server is also
// syscall.ECONNREFUSED.
func (cluster *Cluster) reachableServer(caller, id string) (*server, error) {
	found, ok := cluster.servers[id]
	if !ok || found.partitionedFrom[caller] || found.poweredOff() {
		return nil, errors.Wrapf(ErrNoResponse, "server %s", id)
	}
	if found.crashed {
		return nil, errors.Mark(errors.Wrapf(syscall.ECONNREFUSED, "server %s", id), ErrNoResponse)
	}
	if cluster.now() < found.pausedUntil {
		return nil, errors.Wrapf(ErrNoResponse, "server %s is paused", id)
	}
	cluster.advance(found)
	return found, nil
}

func (server *server) poweredOff() bool { return server.dead && !server.crashed }

// advance applies the state changes of the server that are due by now. A paused server changes nothing.
func (cluster *Cluster) advance(found *server) {
	now := cluster.now()
	if now < found.pausedUntil {
		return
	}
	cluster.resume(found)
	group := &found.group
	if found.loading != "" && now >= found.loadedAt {
		found.staged, found.loading = []string{found.loading}, ""
	}
	if group.state == roster.Joining && now >= group.readyAt {
		group.state = roster.Ready
		if group.loads {
			found.staged = []string{group.model}
		}
		found.lastModel = group.model
		key := readyKey(group)
		if cluster.readyMembers[key] == nil {
			cluster.readyMembers[key] = map[string]bool{}
		}
		cluster.readyMembers[key][found.id] = true
	}
	if group.rank != 0 || (group.state != roster.Open && group.state != roster.Closing) {
		return
	}
	if cluster.HeadsIdle || cluster.allMembersPresent(group) && !cluster.anyMemberPaused(group) {
		group.stalled = false
		return
	}
	if !group.stalled {
		group.stalled, group.stalledAt = true, now
	}
	if now-group.stalledAt >= cluster.StallTimeout {
		group.state = roster.Broken
	}
}

func readyKey(group *membership) string {
	return fmt.Sprint(group.name, "/", group.epoch, "/", group.members)
}

// allMembersPresent reports whether every listed member is alive and belongs to the same group and epoch.
func (cluster *Cluster) allMembersPresent(group *membership) bool {
	for _, id := range group.members {
		member, ok := cluster.servers[id]
		if !ok || member.dead || member.group.name != group.name || member.group.epoch != group.epoch {
			return false
		}
	}
	return true
}

// anyMemberPaused reports whether the process of a listed member is paused.
func (cluster *Cluster) anyMemberPaused(group *membership) bool {
	return slices.ContainsFunc(group.members, func(id string) bool {
		member, ok := cluster.servers[id]
		return ok && cluster.now() < member.pausedUntil
	})
}

// Report returns the report of the server to the caller, as old as ReportLag.
func (cluster *Cluster) Report(caller, id string) (formation.Report, error) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	found, err := cluster.reachableServer(caller, id)
	if err != nil {
		return formation.Report{}, err
	}
	return cluster.laggedReport(found), nil
}

func (server *server) report() formation.Report {
	return formation.Report{
		Born: server.born, Group: server.membership(), Model: server.group.model, Staged: append([]string{}, server.staged...),
		Orders: server.orders, Busy: server.group.state == roster.Joining || server.loading != "", Pace: 1,
	}
}

// laggedReport returns the report that was current ReportLag ago.
func (cluster *Cluster) laggedReport(found *server) formation.Report {
	asOf := cluster.now() - cluster.ReportLag
	for _, past := range found.pastReports {
		if past.until > asOf {
			return past.report
		}
	}
	return found.report()
}

// saveReport saves the current report of the server before its state changes, and deletes reports older than ReportLag.
func (cluster *Cluster) saveReport(found *server) {
	asOf := cluster.now() - cluster.ReportLag
	found.pastReports = slices.DeleteFunc(found.pastReports, func(past pastReport) bool { return past.until <= asOf })
	found.pastReports = append(found.pastReports, pastReport{report: found.report(), until: cluster.now()})
}

func (server *server) membership() roster.Membership {
	group := server.group
	return roster.Membership{Name: group.name, Epoch: group.epoch, Rank: group.rank, State: group.state}
}

// HeadState describes how a server handles calls for its group.
type HeadState int

// The states of a head.
const (
	// Serving means that the server runs calls.
	Serving HeadState = iota
	// Stalled means that the server accepts calls and makes no progress on them.
	Stalled
	// Refusing means that the server refuses calls.
	Refusing
	// Unresponsive means that the server does not respond.
	Unresponsive
	// Paused means that the server or a member of its group is paused. The server makes no progress on calls until the
	// pause ends.
	Paused
	// Closing means that the server refuses new calls and finishes the ones that it runs.
	Closing
)

// HeadState returns how the server handles calls for its group's model.
func (cluster *Cluster) HeadState(id string) HeadState {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	found, ok := cluster.servers[id]
	return cluster.headState(found, ok)
}

func (cluster *Cluster) headState(found *server, ok bool) HeadState {
	switch {
	case !ok || found.poweredOff():
		return Unresponsive
	case found.crashed:
		return Refusing
	case cluster.now() < found.pausedUntil:
		return Paused
	}
	cluster.advance(found)
	group := &found.group
	open := group.state == roster.Open && cluster.now() >= group.openAt+cluster.engine.FormationTime
	switch {
	case group.rank != 0 || (!open && group.state != roster.Closing):
		return Refusing
	case !cluster.allMembersPresent(group):
		return Stalled
	case cluster.anyMemberPaused(group):
		return Paused
	case !open:
		return Closing
	}
	return Serving
}

// BeginCall counts a call at a server if its state is Serving, until end is called. It returns how the server handles
// new calls, which a closing head refuses.
func (cluster *Cluster) BeginCall(id string) (state HeadState, end func()) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	found, ok := cluster.servers[id]
	state = cluster.headState(found, ok)
	if ok && found.group.state == roster.Closing {
		state = Refusing
	}
	if state != Serving {
		return state, nil
	}
	group := found.group.name
	found.calls[group]++
	return state, func() {
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		found.calls[group]--
		if found.group.name == group && found.group.state == roster.Closing && found.calls[group] == 0 {
			cluster.saveReport(found)
			found.group.state = roster.Ready
		}
	}
}

// ProcessState describes a server's process and its host.
type ProcessState int

// The states of a server's process.
const (
	// ProcessRunning means that the process runs.
	ProcessRunning ProcessState = iota
	// ProcessPaused means that the host accepts connections and the process makes no progress.
	ProcessPaused
	// ProcessEnded means that the process has crashed. The host refuses connections.
	ProcessEnded
	// HostOff means that the host has lost power. Connecting to it times out.
	HostOff
)

// ProcessState returns the state of a server's process, and how long a pause still lasts.
func (cluster *Cluster) ProcessState(id string) (state ProcessState, remaining time.Duration) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	found, ok := cluster.servers[id]
	switch {
	case !ok || found.poweredOff():
		return HostOff, 0
	case found.crashed:
		return ProcessEnded, 0
	case cluster.now() < found.pausedUntil:
		return ProcessPaused, found.pausedUntil - cluster.now()
	}
	return ProcessRunning, 0
}

// Servers returns the registered servers, ordered by ID.
func (cluster *Cluster) Servers(service string) []*roster.Server {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	list := []*roster.Server{}
	for _, found := range cluster.servers {
		if found.dead || found.deregistered {
			continue
		}
		cluster.advance(found)
		list = append(list, &roster.Server{
			ID: found.id, Born: found.born, Service: service, Address: found.id + ":1", DataCentre: found.dataCentre,
			Slots: cluster.engine.Slots, Draining: found.draining, FabricDomain: found.domain,
			Staged: append([]string{}, found.staged...), Model: found.group.model, Group: found.membership(),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// CompleteGroups returns the number of open groups with all members present, by model.
func (cluster *Cluster) CompleteGroups() map[string]int {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	complete := map[string]int{}
	for _, found := range cluster.servers {
		if found.dead {
			continue
		}
		cluster.advance(found)
		if found.group.rank == 0 && found.group.state == roster.Open && cluster.allMembersPresent(&found.group) {
			complete[found.group.model]++
		}
	}
	return complete
}
