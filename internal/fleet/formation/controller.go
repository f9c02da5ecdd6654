package formation

import (
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/fleet/roster"
)

// Dependencies holds what a Controller needs from the node.
type Dependencies struct {
	ServerClient
	View    *View
	Servers func() *roster.Snapshot
	// Services returns the services whose servers form groups.
	Services func() []Service
	// Term returns the term under which this node may send orders, or 0 if it is not the leader.
	Term func() int64
	// TermOutdated is called with a term that a server refused as outdated.
	TermOutdated func(term int64)
	// Announce publishes an announcement to this node and its peers.
	Announce func(announcement Announcement)
	// ModelUsage returns the usage of a model's groups.
	ModelUsage func(service, model string) Usage
	// FedByUpstream reports whether an upstream node sends this node the serving groups. A node
	// fed this way has no server list and can't send orders.
	FedByUpstream func() bool
	// BeforeFirstRequest reports whether no request has arrived yet.
	BeforeFirstRequest func() bool
	// InBackoff reports whether the server has asked this node for a backoff that is still in
	// force.
	InBackoff func(server *roster.Server) bool
	Bounds    Bounds
	// Random chooses reference servers. By default it has a random seed.
	Random *rand.Rand
	Now    clock.Now
	Logger *slog.Logger
}

const (
	// reconcileInterval is the interval of the reconciliation rounds.
	reconcileInterval = 100 * time.Millisecond
	// upstreamFedReconcileInterval is the interval at which a node that is fed by an upstream node
	// checks whether that is still the case.
	upstreamFedReconcileInterval = 500 * time.Millisecond
	// callTimeout bounds one report request; an order gets twice as long. A server in the region
	// replies within a few milliseconds, so a server that takes this long counts as unreachable.
	callTimeout = 150 * time.Millisecond
	// maxListSkew is the maximum age difference between the server list's entries of one group. A
	// group's state that such a difference could explain must last this long before the controller
	// acts on it.
	maxListSkew = 1500 * time.Millisecond
	// lostExclusion is how long a server that didn't reply is not used. If the server is gone, the
	// registry has dropped its entry by then. When lost servers were used again earlier, every
	// second group formation failed.
	lostExclusion = 4 * time.Second
	// settlingExclusion is how long a server with an outdated report is not used. It is longer
	// than the lag of reports: the members of a group that has just ended still report that they
	// serve.
	settlingExclusion = 250 * time.Millisecond
	// reexamineInterval is how long a group that was found complete is not examined again.
	reexamineInterval = 500 * time.Millisecond
	// epochBits is the number of low bits of an epoch that count the epochs within one term.
	epochBits = 16
	// nameSuffixes is the number of distinct random suffixes of group names.
	nameSuffixes = 36 * 36 * 36
)

// Controller sends the orders that form and repair groups.
type Controller struct {
	*lifecycle.Component
	Dependencies
	loadLimiter loadLimiter

	mu sync.Mutex
	// joining holds the servers that are joining a group, with the group's model. staging holds
	// the servers on whose host a model is being loaded, with that model.
	joining map[string]string
	staging map[string]string
	// lost holds servers that didn't reply. They are not used until the exclusion ends.
	lost map[string]exclusion
	// settling holds servers whose reports were outdated. They are not used until the exclusion
	// ends.
	settling map[string]exclusion
	// forming holds the groups that are being formed.
	forming map[string]Group
	// groupsInWork holds the groups that are being examined, ended or opened.
	groupsInWork map[string]bool
	// lastComplete holds each group as the server list last showed it complete, by name.
	lastComplete map[string]*ListedGroup
	// foundCompleteAt is when a group was last examined and found complete.
	foundCompleteAt map[string]time.Duration
	// transientSince is when a group was first seen in a state that should be transient.
	transientSince map[string]time.Duration
	// planLoggedAt is when the plan of a service was last logged.
	planLoggedAt map[string]time.Duration
	// plannedLayouts holds the planned layout of each domain, by service and domain.
	plannedLayouts map[string]map[string]int
	// headLeft holds the groups whose heads this node has seen leave.
	headLeft map[string]bool
	// lastModels is the model that each listed server last ran, as far as the server list showed
	// it since this node and the server's process started. lastList is the server list that
	// lastModels was read from.
	lastModels map[string]string
	lastList   *roster.Snapshot
	// usageAverages holds the averaged usage of each service.
	usageAverages map[string]usageAverage
	// groupCounts counts the groups of each service and model as of the last round.
	groupCounts map[string]int
	// retiringForOther is set while a group is being ended so that its servers can form a group of
	// another model.
	retiringForOther atomic.Bool
	// examining holds the groups whose members are being asked.
	examining map[string]*examinedGroup
	// referenceQuestions holds the last question to reference servers for each data centre.
	referenceQuestions map[string]*referenceQuestion
	suspicionLimit     suspicionLimit
	epochCounter       int64
	epochTerm          int64

	Counts Counts
}

// Counts holds the counters of a Controller, all monotonic.
type Counts struct {
	Formed          atomic.Uint64
	Abandoned       atomic.Uint64
	Lost            atomic.Uint64
	Retired         atomic.Uint64
	Staged          atomic.Uint64
	Orders          atomic.Uint64
	Reports         atomic.Uint64
	FoundComplete   atomic.Uint64
	RetiredForOther atomic.Uint64
}

// New returns a Controller that has not been started.
func New(dependencies Dependencies) *Controller {
	controller := &Controller{
		Component: lifecycle.New("former"), Dependencies: dependencies,
		joining: map[string]string{}, staging: map[string]string{}, lost: map[string]exclusion{}, settling: map[string]exclusion{}, forming: map[string]Group{},
		groupsInWork: map[string]bool{}, planLoggedAt: map[string]time.Duration{}, foundCompleteAt: map[string]time.Duration{}, transientSince: map[string]time.Duration{},
		lastComplete: map[string]*ListedGroup{}, examining: map[string]*examinedGroup{}, referenceQuestions: map[string]*referenceQuestion{},
		usageAverages: map[string]usageAverage{}, lastModels: map[string]string{}, headLeft: map[string]bool{}, plannedLayouts: map[string]map[string]int{},
	}
	controller.loadLimiter.now = dependencies.Now
	if controller.Random == nil {
		controller.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return controller
}

// Start begins the reconciliation rounds. A round sends orders only while this node is the leader.
func (controller *Controller) Start() {
	controller.RepeatNamed("former", controller.roundInterval, controller.reconcile)
}

func (controller *Controller) roundInterval() time.Duration {
	if controller.FedByUpstream() {
		return upstreamFedReconcileInterval
	}
	return reconcileInterval
}

// nextEpoch returns the next epoch and a group name for it. Epochs of a later term are higher than
// all epochs of earlier terms. The name has a random suffix: if two nodes ever lead under the same
// term, their groups must not be confused.
func (controller *Controller) nextEpoch(term int64) (int64, string) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if controller.epochTerm != term {
		controller.epochTerm, controller.epochCounter = term, 0
	}
	controller.epochCounter++
	epoch := term<<epochBits | controller.epochCounter
	return epoch, "g" + strconv.FormatInt(epoch, 36) + strconv.FormatInt(rand.Int64N(nameSuffixes), 36)
}

// TermOf returns the term under which an epoch was issued.
func TermOf(epoch int64) int64 {
	return epoch >> epochBits
}

// reconcile compares the listed groups and free servers with the desired state, and starts the
// necessary work.
func (controller *Controller) reconcile() {
	term := controller.Term()
	servers := controller.Servers()
	newList := controller.recordLastModels(servers)
	if term == 0 || !servers.Known() {
		if newList {
			// The next leader must know the members of a group that the list no longer shows complete.
			controller.recordCompleteGroups(ListedGroups(servers, controller.Services()))
		}
		controller.resetPlan()
		return
	}
	services := controller.Services()
	listed := ListedGroups(servers, services)
	controller.recordCompleteGroups(listed)
	for _, group := range listed {
		controller.reconcileGroup(term, group)
	}
	for _, service := range services {
		controller.planService(term, service, servers, listed)
	}
}

// resetPlan discards the planned layouts and the usage averages while this node sends no orders.
func (controller *Controller) resetPlan() {
	controller.loadLimiter.markNotLeader()
	controller.mu.Lock()
	defer controller.mu.Unlock()
	clear(controller.plannedLayouts)
	clear(controller.usageAverages)
}

// reconcileGroup starts the work that a listed group needs.
func (controller *Controller) reconcileGroup(term int64, group *ListedGroup) {
	if controller.View.MembersFree(group.Name) || controller.isInWork(group) {
		return
	}
	switch {
	case controller.View.HasEnded(group.Name):
		// The node that was ending the group is gone. If the group were opened again, it would
		// keep its servers without serving, since no node sends calls to a group that has ended.
		if controller.hasPersisted(group.Name, maxListSkew) {
			controller.startGroupWork(group.Name, func() { controller.resumeEnding(term, group.Group) })
		}
	case group.HeadState() == roster.Broken:
		controller.startGroupWork(group.Name, func() { controller.endGroup(term, group.Group, nil) })
	case group.HeadState() == "" || !group.Complete():
		// The server list doesn't show a member in the group. The member is gone, has left the
		// group, or is cut off from the registry and still serves.
		if controller.hasPersisted(group.Name, maxListSkew) {
			controller.startGroupWork(group.Name, func() { controller.retireUnlisted(term, group.Group) })
		}
	case group.Draining():
		controller.startGroupWork(group.Name, func() { controller.drainGroup(term, group.Group) })
	case group.HeadState() == roster.Ready && group.AllInState(roster.Ready):
		// All members are ready and the group was not opened: the node that formed it stopped.
		if controller.hasPersisted(group.Name, maxListSkew) {
			controller.startGroupWork(group.Name, func() { controller.openGroup(term, group.Group) })
		}
	case group.HeadState() == roster.Open:
		controller.clearTransient(group.Name)
	default:
		if controller.hasPersisted(group.Name, stuckAfter) {
			controller.startGroupWork(group.Name, func() { controller.endGroup(term, group.Group, nil) })
		}
	}
}

// stuckAfter is how long a group may be joining or closing before it is ended. It is longer than a
// load from the weight store takes.
const stuckAfter = 40 * time.Second

func (controller *Controller) isInWork(group *ListedGroup) bool {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if controller.groupsInWork[group.Name] {
		return true
	}
	_, forming := controller.forming[group.Name]
	return forming
}

// hasPersisted reports whether the group has been in a transient state for the given time. The
// first call for a name starts the clock.
func (controller *Controller) hasPersisted(name string, span time.Duration) bool {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	now := controller.Now()
	since, ok := controller.transientSince[name]
	if !ok {
		controller.transientSince[name] = now
		return false
	}
	return now-since >= span
}

func (controller *Controller) clearTransient(name string) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	delete(controller.transientSince, name)
}

// startGroupWork runs work on a group in the background and reports whether it was started. It is
// not started while other work on the group is in progress.
func (controller *Controller) startGroupWork(name string, work func()) bool {
	controller.mu.Lock()
	if controller.groupsInWork[name] {
		controller.mu.Unlock()
		return false
	}
	controller.groupsInWork[name] = true
	controller.mu.Unlock()
	controller.Go(func() {
		defer func() {
			controller.mu.Lock()
			defer controller.mu.Unlock()
			delete(controller.groupsInWork, name)
			delete(controller.transientSince, name)
		}()
		work()
	})
	return true
}

// Suspect handles a report that the calls of a group's head have stalled. It examines the group
// unless the group was found complete within reexamineInterval.
func (controller *Controller) Suspect(head, group string) {
	term := controller.Term()
	if term == 0 || controller.View.HasEnded(group) {
		return
	}
	controller.mu.Lock()
	recent := controller.Now()-controller.foundCompleteAt[group] < reexamineInterval && controller.foundCompleteAt[group] != 0
	controller.mu.Unlock()
	if recent {
		return
	}
	found, ok := controller.findGroup(group)
	if !ok || found.Head() != head {
		return
	}
	controller.startGroupWork(group, func() { controller.examineGroup(term, found) })
}

// findGroup returns a group by name, from announcements or from the server list. If the list no
// longer shows the group complete, findGroup returns the group as it was last complete: a member
// whose entry is gone is the likeliest reason for the stall.
func (controller *Controller) findGroup(name string) (Group, bool) {
	for _, group := range controller.View.Serving(controller.Servers(), controller.Services()) {
		if group.Name == name {
			return group, true
		}
	}
	for _, listed := range ListedGroups(controller.Servers(), controller.Services()) {
		if listed.Name == name && listed.Complete() {
			return listed.Group, true
		}
	}
	return controller.lastCompleteGroup(name)
}

// lastCompleteGroup returns a group as the server list last showed it complete.
func (controller *Controller) lastCompleteGroup(name string) (Group, bool) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	listed, ok := controller.lastComplete[name]
	if !ok {
		return Group{}, false
	}
	return listed.Group, true
}

// lastMember returns a member of a group as the server list last showed the group complete, or nil if it
// never did.
func (controller *Controller) lastMember(group, id string) *roster.Server {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	listed, ok := controller.lastComplete[group]
	if !ok {
		return nil
	}
	for _, server := range listed.ByRank {
		if server.ID == id {
			return server
		}
	}
	return nil
}

// reserve reserves all servers of a step, or none if one of them is reserved already. Staging has
// its own reservations: a server on whose host a model is being loaded may join another group
// meanwhile.
func (controller *Controller) reserve(step *Step) bool {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	reserved := controller.joining
	if step.Stage {
		reserved = controller.staging
	}
	for _, id := range step.Members {
		if reserved[id] != "" {
			return false
		}
	}
	for _, id := range step.Members {
		reserved[id] = step.Model
	}
	return true
}

func (controller *Controller) release(step *Step) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	reserved := controller.joining
	if step.Stage {
		reserved = controller.staging
	}
	for _, id := range step.Members {
		delete(reserved, id)
	}
}

// State is the Controller's part of the state dump.
type State struct {
	Term    int64
	Busy    map[string]string
	Forming []Group
	Lost    []string
}

// State returns the Controller's current work.
func (controller *Controller) State() State {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	state := State{Term: controller.Term(), Busy: map[string]string{}}
	for id, model := range controller.joining {
		state.Busy[id] = model
	}
	for _, group := range controller.forming {
		state.Forming = append(state.Forming, group)
	}
	for id, excluded := range controller.lost {
		if excluded.until > controller.Now() {
			state.Lost = append(state.Lost, id)
		}
	}
	return state
}
