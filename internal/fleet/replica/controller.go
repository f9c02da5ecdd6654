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
	// PlanInterval is how often the node plans the fabric domains that it owns.
	PlanInterval = time.Second
	orderTimeout = 2 * time.Second
	// orderCooldown is the pause in a domain after orders were sent there.
	orderCooldown = 500 * time.Millisecond
	minBackoff    = time.Second
	maxBackoff    = 4 * time.Second
	// formingTimeout is how long members of a new group may fail to report it before the group counts as broken.
	formingTimeout = 4 * time.Second
	historyTTL     = time.Minute
	// DefaultGrace is how long to wait for an unresponsive member before its group is retired.
	DefaultGrace = 6 * time.Second
)

// Event records the forming or the retirement of a group, for later explanation.
type Event struct {
	Number       uint64
	FabricDomain string
	Model        string
	Members      []string
	Kind         string
	Cause        string
}

// ControllerState is the state dump of a Controller.
type ControllerState struct {
	Domains  []string
	Formed   uint64
	Retired  uint64
	Refused  uint64
	Failed   uint64
	NoRight  uint64
	LastPlan map[string][]repair.Action
}

// Controller plans the fabric domains that this node owns, and orders their servers to join and leave groups.
type Controller struct {
	*lifecycle.Component
	// Incarnation identifies this run of the node.
	Incarnation uint64
	// Snapshot returns the groups as this node sees them.
	Snapshot func() *Snapshot
	// Servers returns the backend servers as this node sees them.
	Servers func() *fabric.Snapshot
	// Owns reports whether this node is responsible for an assignment key; see fabric.AssignmentKey.
	Owns func(key string) bool
	// Models returns the models to serve in each domain.
	Models func() []repair.Model
	// SendOrder sends one order to the server at an address.
	SendOrder func(ctx context.Context, address string, order engine.Order) (engine.OrderReply, error)
	// AuthorizeOrders returns an error when this node may not send orders in a domain. Otherwise it returns a
	// function that reports whether the authorization still holds.
	AuthorizeOrders func(ctx context.Context, domain string) (func() bool, error)
	// StoreSaturated reports whether the weight store serves as many loads as it can. It returns false when that is
	// unknown.
	StoreSaturated func(ctx context.Context) bool
	// Record stores an event.
	Record func(event Event)
	Now    clock.Now
	// Random returns a random number in [0, n).
	Random func(n int) int
	Logger *slog.Logger
	// Grace is the minimum time to wait for an unresponsive member. IdlePrice is the price of one healthy idle server
	// per second.
	Grace     time.Duration
	IdlePrice float64

	observed *observations

	mu            sync.Mutex
	cooldownUntil map[string]time.Duration
	lastPlans     map[string][]repair.Action
	history       map[uint64]*groupHistory
	draining      map[uint64]drainState
	// lastOrdersAt is when this node last sent orders in each domain. lastNumber is the highest fencing number that
	// it has used.
	lastOrdersAt map[string]time.Duration
	lastNumber   uint64

	formed, retired, refused, failed, notAuthorized atomic.Uint64
}

// Start starts planning at PlanInterval.
func (controller *Controller) Start() {
	controller.Component = lifecycle.New("former")
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.observed = newObservations(controller.Now)
	controller.cooldownUntil = map[string]time.Duration{}
	controller.lastPlans = map[string][]repair.Action{}
	controller.history = map[uint64]*groupHistory{}
	controller.draining = map[uint64]drainState{}
	controller.lastOrdersAt = map[string]time.Duration{}
	controller.Every(PlanInterval, controller.Tick)
}

// Tick plans each owned domain once, and sends the orders of the plans.
func (controller *Controller) Tick() {
	servers := controller.Servers()
	snapshot := controller.Snapshot()
	domains := pool.New()
	for _, domain := range servers.DomainNames() {
		if controller.Owns(fabric.AssignmentKey(domain)) && !controller.inCooldown(domain) {
			domains.Go(func() { controller.reconcile(domain, snapshot, servers.Domains[domain]) })
		}
	}
	domains.Wait()
	controller.pruneHistory()
}

func (controller *Controller) inCooldown(domain string) bool {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	return controller.Now() < controller.cooldownUntil[domain]
}

func (controller *Controller) startCooldown(domain string, duration time.Duration) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.cooldownUntil[domain] = controller.Now() + duration
}

// reconcile plans one domain and sends the orders of the plan. It sends none while reports are older than the last
// orders, and backs off after a failed order.
func (controller *Controller) reconcile(domain string, snapshot *Snapshot, servers []fabric.ServerStatus) {
	controller.observed.recordServers(servers)
	plan := repair.Plan(controller.domainState(domain, snapshot, servers))
	controller.mu.Lock()
	controller.lastPlans[domain] = plan
	controller.mu.Unlock()
	actions := slices.DeleteFunc(slices.Clone(plan), func(action repair.Action) bool { return action.Kind == repair.Wait })
	actions = controller.holdRetirements(domain, actions, snapshot)
	if len(actions) == 0 || !controller.reportsCaughtUp(domain, servers) {
		return
	}
	ctx, cancel := controller.ContextWithTimeout(orderTimeout * time.Duration(2+len(actions)))
	defer cancel()
	authorized, err := controller.AuthorizeOrders(ctx, domain)
	if err != nil {
		controller.notAuthorized.Add(1)
		controller.backOff(domain)
		return
	}
	batch := &orderBatch{controller: controller, domain: domain, authorized: authorized, highestSeen: highestNumber(servers)}
	defer controller.markOrdered(domain)
	for _, action := range controller.limitForming(ctx, actions) {
		if !batch.run(ctx, action, snapshot) {
			controller.backOff(domain)
			return
		}
	}
	controller.startCooldown(domain, orderCooldown)
}

// limitForming drops all forming actions but the first while the weight store is saturated. The store serves loads in
// order of arrival, and plans list the most needed group first, so the loads of other groups must not queue ahead of
// it.
func (controller *Controller) limitForming(ctx context.Context, actions []repair.Action) []repair.Action {
	isForm := func(action repair.Action) bool { return action.Kind == repair.Form }
	firstForm := slices.IndexFunc(actions, isForm)
	if firstForm < 0 || !controller.StoreSaturated(ctx) {
		return actions
	}
	kept := slices.Clone(actions[:firstForm+1])
	for _, action := range actions[firstForm+1:] {
		if !isForm(action) {
			kept = append(kept, action)
		}
	}
	return kept
}

// backOff pauses planning of a domain for a random time. Without the jitter, two nodes that both consider a domain
// theirs would keep taking apart each other's partly formed groups in lockstep.
func (controller *Controller) backOff(domain string) {
	jitter := time.Duration(controller.Random(int(maxBackoff - minBackoff)))
	controller.startCooldown(domain, minBackoff+jitter)
}

// nextNumber returns a fencing number above the highest one seen in a domain and above every one that this node has
// used in any domain. Reports lag behind orders, so a number derived from reports alone could be used twice. A group
// is identified by its number alone, so two domains must not share one.
func (controller *Controller) nextNumber(highestSeen uint64) uint64 {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.lastNumber = NextNumber(max(highestSeen, controller.lastNumber), controller.Incarnation)
	return controller.lastNumber
}

func highestNumber(servers []fabric.ServerStatus) uint64 {
	number := uint64(0)
	for index := range servers {
		number = max(number, servers[index].Report.Highest, servers[index].Report.Group)
	}
	return number
}

func (controller *Controller) markOrdered(domain string) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.lastOrdersAt[domain] = controller.Now()
}

// reportsCaughtUp reports whether every healthy server of a domain was read after this node's last orders there. A
// plan based on older reports would repeat the same orders, or take apart a group that was just formed.
func (controller *Controller) reportsCaughtUp(domain string, servers []fabric.ServerStatus) bool {
	controller.mu.Lock()
	orderedAt := controller.lastOrdersAt[domain]
	controller.mu.Unlock()
	if orderedAt == 0 {
		return true
	}
	return !slices.ContainsFunc(servers, func(server fabric.ServerStatus) bool {
		return healthy(&server, controller.Now()) && server.RequestedAt <= orderedAt
	})
}

func (controller *Controller) domainState(domain string, snapshot *Snapshot, servers []fabric.ServerStatus) repair.DomainState {
	state := repair.DomainState{Models: controller.Models(), GracePeriod: controller.Grace, IdlePrice: controller.IdlePrice}
	state.Recovery, state.LoadTime = controller.observed.estimates()
	for _, server := range snapshot.Free[domain] {
		state.Free = append(state.Free, server.Address)
	}
	for _, group := range snapshot.Groups {
		if group.FabricDomain != domain {
			continue
		}
		if group.Serving {
			controller.observed.recordServing(group.Number)
		}
		state.Groups = append(state.Groups, controller.repairGroup(group))
	}
	state.Unresponsive = unresponsiveTimes(state.Groups, servers, controller.Now())
	return state
}

// unresponsiveTimes returns, for each unresponsive server outside the groups, how long it has been unresponsive.
func unresponsiveTimes(groups []repair.Group, servers []fabric.ServerStatus, now time.Duration) []time.Duration {
	times := []time.Duration{}
	for index := range servers {
		isMember := slices.ContainsFunc(groups, func(group repair.Group) bool {
			return slices.Contains(group.Members, servers[index].Address)
		})
		if servers[index].UnresponsiveSince != 0 && !isMember {
			times = append(times, now-servers[index].UnresponsiveSince)
		}
	}
	return times
}

func (controller *Controller) repairGroup(group *Group) repair.Group {
	planned := repair.Group{
		Number: group.Number, Model: group.Model, Members: group.Members, Serving: group.Serving,
		Draining: group.Draining, Running: group.Running, Unreachable: group.Unreachable,
	}
	for _, missing := range group.Missing {
		planned.UnresponsiveFor = max(planned.UnresponsiveFor, missing.UnresponsiveFor)
		if missing.UnresponsiveFor > 0 {
			planned.UnresponsiveMembers++
		}
		planned.Inconsistent = planned.Inconsistent || missing.Departed
	}
	planned.Inconsistent = controller.confirmBroken(group, planned.Inconsistent)
	return planned
}

// confirmBroken distinguishes a broken group from one that this node or another is still forming. While a group is
// being formed, some members report it before others do; taking it apart at once would let two nodes undo each
// other's groups forever. A group that was complete before is broken as soon as a member has departed; any other only
// after formingTimeout.
func (controller *Controller) confirmBroken(group *Group, broken bool) bool {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	history, ok := controller.history[group.Number]
	if !ok {
		history = &groupHistory{firstSeen: controller.Now()}
		controller.history[group.Number] = history
	}
	history.lastSeen = controller.Now()
	history.wasComplete = history.wasComplete || len(group.Missing) == 0
	return broken && (history.wasComplete || controller.Now()-history.firstSeen > formingTimeout)
}

// pruneHistory removes the history of groups that have not been seen for historyTTL.
func (controller *Controller) pruneHistory() {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	for number, history := range controller.history {
		if controller.Now()-history.lastSeen > historyTTL {
			delete(controller.history, number)
		}
	}
}

// groupHistory is when this node saw a group, and whether it ever saw the group complete.
type groupHistory struct {
	firstSeen   time.Duration
	lastSeen    time.Duration
	wasComplete bool
}

// State returns the controller's part of the state dump.
func (controller *Controller) State() ControllerState {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	state := ControllerState{
		Formed: controller.formed.Load(), Retired: controller.retired.Load(), Refused: controller.refused.Load(),
		Failed: controller.failed.Load(), NoRight: controller.notAuthorized.Load(), LastPlan: map[string][]repair.Action{},
	}
	for domain, plan := range controller.lastPlans {
		state.Domains = append(state.Domains, domain)
		state.LastPlan[domain] = plan
	}
	slices.Sort(state.Domains)
	return state
}

// WaitCause returns why the last plan waits with a group instead of acting on it, and "" if it does not wait.
func (controller *Controller) WaitCause(domain string, number uint64) string {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	for _, action := range controller.lastPlans[domain] {
		if action.Kind == repair.Wait && action.Number == number {
			return action.Cause
		}
	}
	return ""
}
