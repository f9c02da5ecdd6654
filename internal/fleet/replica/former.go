package replica

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/fleet/fabric"
	"hazelslip/internal/peer/engine"
	"hazelslip/internal/policy/repair"
)

const (
	// PlanEvery is how often the domains that are this node's duty are planned.
	PlanEvery    = time.Second
	orderTimeout = 2 * time.Second
	// settleLeast is how long a domain is left alone after orders.
	settleLeast  = 500 * time.Millisecond
	backoffLeast = time.Second
	backoffMost  = 4 * time.Second
	// formingFor is how long some members of a new group may not report it.
	formingFor = 4 * time.Second
	forgetSeen = time.Minute
	// DefaultGrace is how long a silent member is waited for.
	DefaultGrace = 6 * time.Second
)

// Event is one thing that was done to a group, for explanation.
type Event struct {
	Number       uint64
	FabricDomain string
	Model        string
	Members      []string
	Kind         string
	Cause        string
}

// FormerState is what a Former shows in the state dump.
type FormerState struct {
	Domains  []string
	Formed   uint64
	Retired  uint64
	Refused  uint64
	Failed   uint64
	NoRight  uint64
	LastPlan map[string][]repair.Action
}

// Former plans the domains that are this node's duty and gives the orders.
type Former struct {
	*lifecycle.Component
	// Incarnation is this node's.
	Incarnation uint64
	// Snapshot returns the groups as this node sees them.
	Snapshot func() *Snapshot
	// Facts returns the servers as this node sees them.
	Facts func() *fabric.Snapshot
	// Mine reports whether a duty is this node's.
	Mine func(duty string) bool
	// Models returns the models to serve in a domain.
	Models func() []repair.Model
	// Order gives one order.
	Order func(ctx context.Context, address string, order engine.Order) (engine.OrderReply, error)
	// Right returns nil when this node may give orders in a domain, for as
	// long as the returned function says so.
	Right func(ctx context.Context, domain string) (func() bool, error)
	// StoreCrowded reports whether the weight store serves as many loads as it
	// can. It may be unknown, which counts as no.
	StoreCrowded func(ctx context.Context) bool
	// Record notes what was done.
	Record func(event Event)
	Now    clock.Now
	// Random draws a number below n.
	Random func(n int) int
	Logger *slog.Logger
	// Grace is how long a silent member is waited for at the least, Stranded
	// the price of a second of one healthy idle server.
	Grace    time.Duration
	Stranded float64

	experience *experience

	mu       sync.Mutex
	rest     map[string]time.Duration
	plans    map[string][]repair.Action
	seen     map[uint64]*sighting
	draining map[uint64]draining
	// last is when this node last gave orders in a domain, given the highest
	// number that it gave.
	last  map[string]time.Duration
	given uint64

	formed, retired, refused, failed, noRight atomic.Uint64
}

// Start begins to plan.
func (former *Former) Start() {
	former.Component = lifecycle.New("former")
	former.mu.Lock()
	defer former.mu.Unlock()
	former.experience = newExperience(former.Now)
	former.rest = map[string]time.Duration{}
	former.plans = map[string][]repair.Action{}
	former.seen = map[uint64]*sighting{}
	former.draining = map[uint64]draining{}
	former.last = map[string]time.Duration{}
	former.Every(PlanEvery, former.Tick)
}

// Tick plans each domain once.
func (former *Former) Tick() {
	facts := former.Facts()
	snapshot := former.Snapshot()
	domains := pool.New()
	for _, domain := range facts.DomainNames() {
		if former.Mine(fabric.Duty(domain)) && !former.resting(domain) {
			domains.Go(func() { former.tend(domain, snapshot, facts.Domains[domain]) })
		}
	}
	domains.Wait()
	former.forgetUnseen()
}

func (former *Former) resting(domain string) bool {
	former.mu.Lock()
	defer former.mu.Unlock()
	return former.Now() < former.rest[domain]
}

func (former *Former) restFor(domain string, duration time.Duration) {
	former.mu.Lock()
	defer former.mu.Unlock()
	former.rest[domain] = former.Now() + duration
}

func (former *Former) tend(domain string, snapshot *Snapshot, servers []fabric.Fact) {
	former.experience.see(servers)
	plan := repair.Plan(former.situation(domain, snapshot, servers))
	former.mu.Lock()
	former.plans[domain] = plan
	former.mu.Unlock()
	due := slices.DeleteFunc(slices.Clone(plan), func(action repair.Action) bool { return action.Kind == repair.Wait })
	due = former.drain(domain, due, snapshot)
	if len(due) == 0 || !former.settled(domain, servers) {
		return
	}
	ctx, cancel := former.ContextWithTimeout(orderTimeout * time.Duration(2+len(due)))
	defer cancel()
	may, err := former.Right(ctx, domain)
	if err != nil {
		former.noRight.Add(1)
		former.backOff(domain)
		return
	}
	orders := &round{former: former, domain: domain, may: may, highest: highest(servers)}
	defer former.ordered(domain)
	for _, action := range former.inOrder(ctx, due) {
		if !orders.run(ctx, action, snapshot) {
			former.backOff(domain)
			return
		}
	}
	former.restFor(domain, settleLeast)
}

// inOrder leaves out what should wait for the weight store. It serves loads in
// the order in which they come; while it is crowded only the group that is
// needed most is formed, so that the others' loads do not stand before it.
func (former *Former) inOrder(ctx context.Context, actions []repair.Action) []repair.Action {
	forming := func(action repair.Action) bool { return action.Kind == repair.Form }
	first := slices.IndexFunc(actions, forming)
	if first < 0 || !former.StoreCrowded(ctx) {
		return actions
	}
	kept := slices.Clone(actions[:first+1])
	for _, action := range actions[first+1:] {
		if !forming(action) {
			kept = append(kept, action)
		}
	}
	return kept
}

// backOff keeps rivals that both think a domain theirs from taking each
// other's half-formed groups apart in step.
func (former *Former) backOff(domain string) {
	spread := time.Duration(former.Random(int(backoffMost - backoffLeast)))
	former.restFor(domain, backoffLeast+spread)
}

// raise returns a fencing number above every one that was seen in a domain or
// given by this node, in any domain. Reports lag behind orders, so a number
// taken from them alone could be given twice; and a group is known everywhere
// by its number alone, so two domains must not share one.
func (former *Former) raise(seen uint64) uint64 {
	former.mu.Lock()
	defer former.mu.Unlock()
	former.given = NextNumber(max(seen, former.given), former.Incarnation)
	return former.given
}

func highest(servers []fabric.Fact) uint64 {
	number := uint64(0)
	for index := range servers {
		number = max(number, servers[index].Report.Highest, servers[index].Report.Group)
	}
	return number
}

func (former *Former) ordered(domain string) {
	former.mu.Lock()
	defer former.mu.Unlock()
	former.last[domain] = former.Now()
}

// settled reports whether every healthy server of a domain was read since this
// node's last orders there. A plan on older reports would give the same orders
// again, or take apart what was just formed.
func (former *Former) settled(domain string, servers []fabric.Fact) bool {
	former.mu.Lock()
	at := former.last[domain]
	former.mu.Unlock()
	if at == 0 {
		return true
	}
	return !slices.ContainsFunc(servers, func(fact fabric.Fact) bool {
		return healthy(&fact, former.Now()) && fact.At <= at
	})
}

func (former *Former) situation(domain string, snapshot *Snapshot, servers []fabric.Fact) repair.Situation {
	situation := repair.Situation{Models: former.Models(), Grace: former.Grace, Stranded: former.Stranded}
	situation.Returns, situation.Load = former.experience.expected()
	for _, fact := range snapshot.Free[domain] {
		situation.Free = append(situation.Free, fact.Address)
	}
	for _, group := range snapshot.Groups {
		if group.FabricDomain != domain {
			continue
		}
		if group.Serving {
			former.experience.serves(group.Number)
		}
		situation.Groups = append(situation.Groups, former.forPlan(group))
	}
	situation.Away = away(situation.Groups, servers, former.Now())
	return situation
}

// away lists how long each silent server outside the groups has been silent.
func away(groups []repair.Group, servers []fabric.Fact, now time.Duration) []time.Duration {
	silent := []time.Duration{}
	for index := range servers {
		member := slices.ContainsFunc(groups, func(group repair.Group) bool {
			return slices.Contains(group.Members, servers[index].Address)
		})
		if servers[index].FirstMissed != 0 && !member {
			silent = append(silent, now-servers[index].FirstMissed)
		}
	}
	return silent
}

func (former *Former) forPlan(group *Group) repair.Group {
	planned := repair.Group{
		Number: group.Number, Model: group.Model, Members: group.Members, Serving: group.Serving,
		Draining: group.Draining, Running: group.Running, Dark: group.Dark,
	}
	for _, missing := range group.Missing {
		planned.Silent = max(planned.Silent, missing.Silent)
		if missing.Silent > 0 {
			planned.SilentMembers++
		}
		planned.Broken = planned.Broken || missing.Elsewhere
	}
	planned.Broken = former.surelyBroken(group, planned.Broken)
	return planned
}

// surelyBroken tells a broken group from one that is being formed, by this
// node or a rival: there, some members report the group before others do, and
// taking it apart at once would let two rivals undo each other for ever. A
// group that has stood complete before is broken as soon as a member is
// elsewhere.
func (former *Former) surelyBroken(group *Group, broken bool) bool {
	former.mu.Lock()
	defer former.mu.Unlock()
	seen, ok := former.seen[group.Number]
	if !ok {
		seen = &sighting{first: former.Now()}
		former.seen[group.Number] = seen
	}
	seen.last = former.Now()
	seen.complete = seen.complete || len(group.Missing) == 0
	return broken && (seen.complete || former.Now()-seen.first > formingFor)
}

// forgetUnseen drops what is remembered of groups that are gone.
func (former *Former) forgetUnseen() {
	former.mu.Lock()
	defer former.mu.Unlock()
	for number, seen := range former.seen {
		if former.Now()-seen.last > forgetSeen {
			delete(former.seen, number)
		}
	}
}

// sighting is what this node remembers of a group.
type sighting struct {
	first    time.Duration
	last     time.Duration
	complete bool
}

// State returns the former's part of the state dump.
func (former *Former) State() FormerState {
	former.mu.Lock()
	defer former.mu.Unlock()
	state := FormerState{
		Formed: former.formed.Load(), Retired: former.retired.Load(), Refused: former.refused.Load(),
		Failed: former.failed.Load(), NoRight: former.noRight.Load(), LastPlan: map[string][]repair.Action{},
	}
	for domain, plan := range former.plans {
		state.Domains = append(state.Domains, domain)
		state.LastPlan[domain] = plan
	}
	slices.Sort(state.Domains)
	return state
}

// Waiting returns why the last plan left a group as it is, if it did.
func (former *Former) Waiting(domain string, number uint64) string {
	former.mu.Lock()
	defer former.mu.Unlock()
	for _, action := range former.plans[domain] {
		if action.Kind == repair.Wait && action.Number == number {
			return action.Cause
		}
	}
	return ""
}
