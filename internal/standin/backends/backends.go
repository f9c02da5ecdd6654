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

// Faults are what goes wrong with orders at one server.
type Faults struct {
	// LostAnswers is the share of orders that are carried out and not answered.
	LostAnswers float64
	// Late is the share that are not answered and carried out LateBy later.
	Late   float64
	LateBy time.Duration
}

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
	draw       *rand.Rand
	loads      []time.Duration
	joinLoads  int
}

// New returns a world without servers. All its chance comes from the seed.
func New(now clock.Now, engine *configuration.Engine, seed uint64) *World {
	return &World{
		now: now, engine: engine, Stall: 6 * time.Second, servers: map[string]*server{},
		ready: map[string]map[string]bool{}, draw: rand.New(rand.NewPCG(seed, 1)),
	}
}

// Add adds a server with models staged on its host.
func (world *World) Add(id, domain, dataCentre string, staged ...string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.servers[id] = &server{id: id, domain: domain, dataCentre: dataCentre, cut: map[string]bool{}, staged: staged}
}

// Kill ends a server for good, without a word.
func (world *World) Kill(id string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.servers[id].dead = true
}

// End ends a server's process, which breaks its connections off, and starts it again
// after a while.
func (world *World) End(id string, down time.Duration) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.servers[id].dead, world.servers[id].ended = true, true
	time.AfterFunc(down, func() { world.Restart(id) })
}

// Members returns the servers of the group that a server is in, the head first.
func (world *World) Members(id string) []string {
	world.mu.Lock()
	defer world.mu.Unlock()
	return slices.Clone(world.servers[id].group.members)
}

// Restart ends a server's process and starts it again under its ID: it is in no
// group, has taken no order and seen no term. What lies on its host stays.
func (world *World) Restart(id string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	found := world.servers[id]
	world.settle(found)
	world.servers[id] = &server{
		id: id, domain: found.domain, dataCentre: found.dataCentre, cut: found.cut, staged: found.staged,
		born: found.born + 1 + world.now().Milliseconds(),
	}
}

// Put replaces what lies on a server's host.
func (world *World) Put(id, model string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.servers[id].staged = []string{model}
}

// Drain makes a server announce that it is leaving.
func (world *World) Drain(id string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.servers[id].draining = true
}

// Unlist takes a server's entry out of the registry while it goes on.
func (world *World) Unlist(id string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.servers[id].unlisted = true
}

// Cut cuts a server off from a caller, or mends that.
func (world *World) Cut(id, caller string, cut bool) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.servers[id].cut[caller] = cut
}

// SetFaults switches faults of a server's orders on.
func (world *World) SetFaults(id string, faults Faults) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.servers[id].faults = faults
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

// Order takes an order, or loses its answer, or carries it out late.
func (world *World) Order(caller, id string, order formation.Order) (formation.Result, error) {
	world.mu.Lock()
	defer world.mu.Unlock()
	found, err := world.reach(caller, id)
	if err != nil {
		return formation.Invalid, err
	}
	if world.draw.Float64() < found.faults.Late {
		time.AfterFunc(found.faults.LateBy, func() { world.carryOut(id, order) })
		return formation.Invalid, errors.Wrapf(ErrSilent, "order to %s", id)
	}
	result := world.take(found, order)
	if world.draw.Float64() < found.faults.LostAnswers {
		return formation.Invalid, errors.Wrapf(ErrSilent, "order to %s", id)
	}
	return result, nil
}

func (world *World) carryOut(id string, order formation.Order) {
	world.mu.Lock()
	defer world.mu.Unlock()
	found := world.servers[id]
	if found == nil || found.dead {
		return
	}
	world.settle(found)
	world.take(found, order)
}

func (world *World) take(found *server, order formation.Order) formation.Result {
	if order.Term < found.term {
		return formation.Outdated
	}
	found.term = order.Term
	if order.Expected >= 0 && order.Expected != found.orders {
		return formation.Conflict
	}
	world.turn(found)
	switch order.Kind {
	case formation.Join:
		return world.join(found, order)
	case formation.Stage:
		return world.stage(found, order.Model)
	}
	group := &found.group
	if group.name != order.Group || group.epoch != order.Epoch {
		return formation.Conflict
	}
	return world.change(found, order.Kind)
}

// stage loads a model onto a host, one at a time.
func (world *World) stage(found *server, name string) formation.Result {
	model, ok := world.engine.Model(name)
	switch {
	case !ok:
		return formation.Invalid
	case found.loading != "":
		return formation.Conflict
	}
	found.orders++
	world.loads = append(world.loads, world.now())
	found.loading, found.loadedAt = name, world.now()+model.LoadTime
	return formation.Begun
}

// change carries out an order about the group that a server is in.
func (world *World) change(found *server, kind formation.Kind) formation.Result {
	group := &found.group
	switch kind {
	case formation.Leave:
		found.group = membership{}
	case formation.Open:
		if group.state == roster.Open {
			return formation.Done
		}
		if group.state != roster.Ready || group.rank != 0 {
			return formation.Conflict
		}
		group.state, group.openAt = roster.Open, world.now()
		world.checkWhole(group)
	case formation.Close:
		if group.state == roster.Ready {
			return formation.Done
		}
		group.state = roster.Ready
	default:
		return formation.Invalid
	}
	found.orders++
	return formation.Begun
}

// checkWhole notes a head that is opened before every member was ready.
func (world *World) checkWhole(group *membership) {
	model, _ := world.engine.Model(group.model)
	if len(group.members) != model.Size || len(world.ready[readyKey(group)]) != model.Size {
		world.violations = append(world.violations, "a head was opened before all its members were ready: "+readyKey(group))
	}
}

func (world *World) join(found *server, order formation.Order) formation.Result {
	group := &found.group
	if order.Epoch < found.epoch {
		return formation.Outdated
	}
	if group.name == order.Group && group.epoch == order.Epoch {
		return formation.Done
	}
	world.checkFree(found, order)
	rank := 0
	for number, id := range order.Members {
		if id == found.id {
			rank = number
		}
	}
	found.epoch = order.Epoch
	found.orders++
	takes, loads := world.joinTime(found, order.Model)
	found.group = membership{
		name: order.Group, epoch: order.Epoch, model: order.Model, members: order.Members, rank: rank,
		state: roster.Joining, readyAt: world.now() + takes, loads: loads,
	}
	return formation.Begun
}

// joinTime is how long a server takes to be ready for a model, and whether it must
// load it: it starts the one that it ran last fastest, whatever lies on its host.
func (world *World) joinTime(found *server, name string) (takes time.Duration, loads bool) {
	model, _ := world.engine.Model(name)
	switch {
	case found.lastModel == name:
		return lastModelTime, false
	case len(found.staged) > 0 && found.staged[0] == name:
		return model.WarmupTime, false
	case found.loading == name:
		return found.loadedAt - world.now() + model.WarmupTime, false
	}
	world.loads = append(world.loads, world.now())
	world.joinLoads++
	return model.LoadTime, true
}

// lastModelTime is what a server takes to start the model that it ran last.
const lastModelTime = 200 * time.Millisecond

// checkFree notes a server that is taken out of a group that may serve.
func (world *World) checkFree(found *server, order formation.Order) {
	if found.group.name == "" || found.group.rank == 0 {
		return
	}
	head, ok := world.servers[found.group.members[0]]
	if !ok || head.dead || head.group.name != found.group.name || head.group.epoch != found.group.epoch {
		return
	}
	world.settle(head)
	if head.group.state == roster.Open || head.group.state == roster.Closing {
		world.violations = append(world.violations, fmt.Sprintf("server %s was joined to %s while %s of %s was open",
			found.id, order.Group, found.group.name, head.id))
	}
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
	case world.now() < group.openAt+world.engine.FormTime:
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
