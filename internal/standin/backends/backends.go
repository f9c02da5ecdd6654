// Package backends stands in for the backend servers whose groups run models:
// it takes orders, keeps memberships as the real servers do, and counts what
// must never happen.
//
// It is a register for each server: orders under a number lower than one it has
// seen are refused, a join must name the count of orders taken, epochs only
// rise. Faults are switched on for each server: it can die, be cut off from the
// callers named, lose answers, or carry orders out late.
//
// # Usage
//
//	world := backends.New(clock, engine)
//	world.Add("i-1", "domain-1", "east")
//	result, err := world.Order("node-1", "i-1", order)
//	world.Violations()
package backends

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/state/configuration"
)

// ErrSilent is how a call to a server that doesn't answer ends.
var ErrSilent = errors.New("the server doesn't answer")

// server is one backend server.
type server struct {
	id, domain, dataCentre string
	dead                   bool
	// ended says that the process ended, of which its connections tell, where a dead
	// one falls silent.
	ended    bool
	draining bool
	// unlisted says that the registry doesn't show it, although it lives.
	unlisted bool
	// cut are the callers that can't reach it.
	cut    map[string]bool
	faults Faults
	// born is the millisecond at which the process started.
	born      int64
	orders    int64
	term      int64
	epoch     int64
	group     membership
	staged    []string
	lastModel string
	// loading is the model that is being loaded onto the host, until loadedAt.
	loading  string
	loadedAt time.Duration
	// past are reports that no longer hold, the oldest first.
	past []pastReport
}

// pastReport is what a server said of itself until a time.
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
	// stalledAt is when a head noticed that a member is missing.
	stalledAt time.Duration
	stalled   bool
	// loads says that the join brings the model's weights onto the host.
	loads bool
}

// World is all servers.
type World struct {
	now    clock.Now
	engine *configuration.Engine
	// Stall is how long a head without a member goes on accepting calls.
	Stall time.Duration
	// Idle says that heads have no calls, and so don't notice a missing member.
	Idle bool
	// ReportLag is how old the reports of servers are.
	ReportLag time.Duration

	mu         sync.Mutex
	servers    map[string]*server
	ready      map[string]map[string]bool
	violations []string
	// epochs are the groups that were formed, by their epochs.
	epochs    map[int64]string
	draw      *rand.Rand
	loads     []time.Duration
	joinLoads int
}

// New returns a world without servers. All its chance comes from the seed.
func New(now clock.Now, engine *configuration.Engine, seed uint64) *World {
	return &World{
		now: now, engine: engine, Stall: 6 * time.Second, servers: map[string]*server{}, epochs: map[int64]string{},
		ready: map[string]map[string]bool{}, draw: rand.New(rand.NewPCG(seed, 1)),
	}
}

// Add adds a server with models staged on its host.
func (world *World) Add(id, domain, dataCentre string, staged ...string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.servers[id] = &server{id: id, domain: domain, dataCentre: dataCentre, cut: map[string]bool{}, staged: staged}
}

// Members returns the servers of the group that a server is in, the head first.
func (world *World) Members(id string) []string {
	world.mu.Lock()
	defer world.mu.Unlock()
	return slices.Clone(world.servers[id].group.members)
}

// Violations returns what must never happen and did.
func (world *World) Violations() []string {
	world.mu.Lock()
	defer world.mu.Unlock()
	return append([]string{}, world.violations...)
}

// Loads is how many loads from the weight store have begun.
func (world *World) Loads() int {
	world.mu.Lock()
	defer world.mu.Unlock()
	return len(world.loads)
}

// JoinLoads is how many servers loaded from the weight store to join a group.
func (world *World) JoinLoads() int {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.joinLoads
}

// LoadsWithin is the most loads that began in any window of a span.
func (world *World) LoadsWithin(span time.Duration) int {
	world.mu.Lock()
	defer world.mu.Unlock()
	most := 0
	for first := range world.loads {
		count := 0
		for _, at := range world.loads[first:] {
			if at-world.loads[first] < span {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func (world *World) reach(caller, id string) (*server, error) {
	found, ok := world.servers[id]
	if !ok || found.dead || found.cut[caller] {
		return nil, errors.Wrapf(ErrSilent, "server %s", id)
	}
	world.settle(found)
	return found, nil
}

// settle moves a server's state on to now.
func (world *World) settle(found *server) {
	now := world.now()
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
		if world.ready[key] == nil {
			world.ready[key] = map[string]bool{}
		}
		world.ready[key][found.id] = true
	}
	if group.rank != 0 || (group.state != roster.Open && group.state != roster.Closing) {
		return
	}
	if world.Idle || world.whole(group) {
		group.stalled = false
		return
	}
	if !group.stalled {
		group.stalled, group.stalledAt = true, now
	}
	if now-group.stalledAt >= world.Stall {
		group.state = roster.Broken
	}
}

func readyKey(group *membership) string {
	return fmt.Sprint(group.name, "/", group.epoch, "/", group.members)
}

// whole says whether all members are there for their head.
func (world *World) whole(group *membership) bool {
	for _, id := range group.members {
		member, ok := world.servers[id]
		if !ok || member.dead || member.group.name != group.name || member.group.epoch != group.epoch {
			return false
		}
	}
	return true
}

// Report answers a question.
func (world *World) Report(caller, id string) (formation.Report, error) {
	world.mu.Lock()
	defer world.mu.Unlock()
	found, err := world.reach(caller, id)
	if err != nil {
		return formation.Report{}, err
	}
	return world.lagged(found), nil
}

func (found *server) report() formation.Report {
	return formation.Report{
		Born: found.born, Group: found.membership(), Model: found.group.model, Staged: append([]string{}, found.staged...),
		Orders: found.orders, Busy: found.group.state == roster.Joining || found.loading != "", Pace: 1,
	}
}

// lagged is what a server said of itself as long ago as reports are behind.
func (world *World) lagged(found *server) formation.Report {
	asOf := world.now() - world.ReportLag
	for _, past := range found.past {
		if past.until > asOf {
			return past.report
		}
	}
	return found.report()
}

// turn keeps what a server says of itself before it changes.
func (world *World) turn(found *server) {
	asOf := world.now() - world.ReportLag
	found.past = slices.DeleteFunc(found.past, func(past pastReport) bool { return past.until <= asOf })
	found.past = append(found.past, pastReport{report: found.report(), until: world.now()})
}

func (server *server) membership() roster.Membership {
	group := server.group
	return roster.Membership{Name: group.name, Epoch: group.epoch, Rank: group.rank, State: group.state}
}

// Standing is what a head can do with calls.
type Standing int

// The standings of a head.
const (
	// Serving: it runs calls.
	Serving Standing = iota
	// Still: it accepts calls, and nothing moves.
	Still
	// Shut: it refuses calls.
	Shut
	// Gone: it doesn't answer.
	Gone
)

// Head returns what a server does with calls of a group's model.
func (world *World) Head(id string) Standing {
	world.mu.Lock()
	defer world.mu.Unlock()
	found, ok := world.servers[id]
	if !ok || (found.dead && !found.ended) {
		return Gone
	}
	if found.ended {
		return Shut
	}
	world.settle(found)
	group := &found.group
	switch {
	case group.rank != 0 || group.state != roster.Open:
		return Shut
	case world.now() < group.openAt+world.engine.FormationTime:
		return Shut
	case !world.whole(group):
		return Still
	}
	return Serving
}

// Servers returns the list of servers as the registry would show it.
func (world *World) Servers(service string) []*roster.Server {
	world.mu.Lock()
	defer world.mu.Unlock()
	list := []*roster.Server{}
	for _, found := range world.servers {
		if found.dead || found.unlisted {
			continue
		}
		world.settle(found)
		list = append(list, &roster.Server{
			ID: found.id, Born: found.born, Service: service, Address: found.id + ":1", DataCentre: found.dataCentre,
			Slots: world.engine.Slots, Draining: found.draining, FabricDomain: found.domain,
			Staged: append([]string{}, found.staged...), Model: found.group.model, Group: found.membership(),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Whole returns how many groups serve with all members, by model.
func (world *World) Whole() map[string]int {
	world.mu.Lock()
	defer world.mu.Unlock()
	whole := map[string]int{}
	for _, found := range world.servers {
		if found.dead {
			continue
		}
		world.settle(found)
		if found.group.rank == 0 && found.group.state == roster.Open && world.whole(&found.group) {
			whole[found.group.model]++
		}
	}
	return whole
}
