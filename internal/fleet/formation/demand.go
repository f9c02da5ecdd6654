package formation

import (
	"fmt"
	"log/slog"
	"math"
	"sort"
	"time"

	"hazelslip/internal/fleet/roster"
)

// savePlannedLayouts stores the planned layout of each domain of a service.
func (controller *Controller) savePlannedLayouts(service Service, domains []Domain) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	for index := range domains {
		controller.plannedLayouts[service.Name+"/"+domains[index].Name] = domains[index].Planned
	}
}

// spareFraction is the fraction of a service's servers that is kept out of groups. With a spare, a
// group that loses a member is re-formed after a warm start instead of a load. Members are lost one
// at a time, every few seconds.
const spareFraction = 0.1

// planService computes the plan of a service and starts its steps.
func (controller *Controller) planService(term int64, service Service, servers *roster.Snapshot, listed []*ListedGroup) {
	domains, usable := controller.domains(service, servers, listed)
	demands := controller.demands(service, usable)
	beforeFirstRequest := controller.BeforeFirstRequest()
	controller.logPlan(service, domains, demands, usable)
	steps := Plan(domains, demands, beforeFirstRequest)
	controller.savePlannedLayouts(service, domains)
	formationBlocked := false
	for _, step := range steps {
		if step.Retire {
			controller.retireForOtherModel(term, step)
			continue
		}
		if (step.Stage && formationBlocked) || !controller.reserve(&step) {
			continue
		}
		if step.Loads > 0 && !controller.admitLoads(service, &step, beforeFirstRequest) {
			controller.release(&step)
			// A group's loads must be admitted together. If later single loads were still
			// admitted in this round, they would keep the limiter full and the group's loads
			// would never be admitted.
			formationBlocked = formationBlocked || !step.Stage
			continue
		}
		controller.Go(func() {
			defer controller.release(&step)
			defer controller.loadLimiter.finish(step.Loads)
			if step.Stage {
				controller.stageModel(term, step.Model, step.Members[0])
				return
			}
			controller.formGroup(term, service, step.Model, step.Members)
		})
	}
}

// planLogInterval is the minimum interval between two log lines about one service's plan.
const planLogInterval = 2 * time.Second

// logPlan logs the planner's input and the planned layouts, at most once per planLogInterval and
// service.
func (controller *Controller) logPlan(service Service, domains []Domain, demands []Demand, usable int) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	now := controller.Now()
	if now-controller.planLoggedAt[service.Name] < planLogInterval && controller.planLoggedAt[service.Name] != 0 {
		return
	}
	controller.planLoggedAt[service.Name] = now
	attributes := []any{"Service", service.Name, "Usable", usable, "Busy", len(controller.joining), "Ending", len(controller.groupsInWork)}
	for _, demand := range demands {
		staged := 0
		for index := range domains {
			staged += domains[index].freeWithModel(demand.Name)
		}
		attributes = append(attributes, slog.Group(demand.Name, "Have", demand.Current, "Want", math.Round(demand.Desired*10)/10, "StagedSpares", staged))
	}
	attributes = append(attributes, slog.Any("Domains", describeMismatches(domains, demands)))
	controller.Logger.Info("former: plan computed.", attributes...)
}

const (
	// loadBudgetFraction is the fraction of the load limit that is used. A load that is ordered
	// late begins in a later window than the one that it was counted in.
	loadBudgetFraction = 0.75
	// spareLoadFraction is the fraction of the concurrent loads that loads for spares may take.
	// Without it, a group that lacks one server would first wait for a spare's load.
	spareLoadFraction = 0.5
)

// maxLoggedDomains bounds the number of domains in one log line.
const maxLoggedDomains = 12

// describeMismatches describes the domains whose groups differ from the planned layout. Each line
// has the usable and the free servers, and per model: current and planned groups, free servers that
// start the model without a load, servers that are loading it, servers that are about to be
// released with it, and members of other models' groups that have it staged.
func describeMismatches(domains []Domain, demands []Demand) []string {
	lines := []string{}
	for index := range domains {
		domain := &domains[index]
		line := fmt.Sprintf("%s: %d servers, %d free", domain.Name, domain.ServerCount, len(domain.FreeServers))
		asPlanned := true
		for model := range demands {
			demand := &demands[model]
			current, planned := domain.groupCount(demand.Name), domain.Planned[demand.Name]
			asPlanned = asPlanned && current == planned
			line += fmt.Sprintf(", %s %d/%d groups (%d free with model, %d loading, %d releasing, %d in other groups)", demand.Name, current, planned,
				domain.freeWithModel(demand.Name), domain.Loading[demand.Name], domain.Releasing[demand.Name], domain.membersWithModel(demand))
		}
		if !asPlanned && len(lines) < maxLoggedDomains {
			lines = append(lines, line)
		}
	}
	return lines
}

// admitLoads reports whether the loads of a step may begin now. Loads beyond what the weight store
// serves at full speed slow each other down, so the most urgent loads go first and the others wait
// for a later round.
func (controller *Controller) admitLoads(service Service, step *Step, beforeFirstRequest bool) bool {
	maxConcurrent := max(1, service.Engine.LoadsAtOnce)
	window := controller.Bounds.LoadWindow
	maxLoads := int(service.Engine.LoadsPerSecond * window.Seconds() * controller.Bounds.LoadBurstFactor * loadBudgetFraction)
	if beforeFirstRequest {
		return controller.loadLimiter.admitBeforeFirstRequest(step.Loads, maxLoads)
	}
	if !step.Urgent {
		maxConcurrent = max(1, int(float64(maxConcurrent)*spareLoadFraction))
	}
	return controller.loadLimiter.admit(step.Loads, maxConcurrent, maxLoads, window)
}

// domains builds the planner's input from the server list: the free servers and the groups of each
// of a service's fabric domains. It also returns the number of usable servers.
func (controller *Controller) domains(service Service, servers *roster.Snapshot, listed []*ListedGroup) ([]Domain, int) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	now := controller.Now()
	byName := map[string]*Domain{}
	announced := announcedMembers(controller.View.announcedServing(servers))
	usable := 0
	for _, server := range servers.ByService[service.Name] {
		if !controller.isUsableLocked(server, now) {
			continue
		}
		usable++
		domain, ok := byName[server.FabricDomain]
		if !ok {
			domain = &Domain{
				Name: server.FabricDomain, Groups: map[string]int{}, Loading: map[string]int{}, Releasing: map[string]int{},
				Planned: controller.plannedLayouts[service.Name+"/"+server.FabricDomain],
			}
			byName[server.FabricDomain] = domain
		}
		domain.ServerCount++
		if model := controller.staging[server.ID]; model != "" {
			domain.Loading[model]++
		}
		if !controller.isFreeLocked(server, announced) || controller.settling[server.ID].appliesTo(server, now) {
			continue
		}
		if info := controller.serverInfoLocked(server); info.Staging == "" || info.LastModel != "" {
			domain.FreeServers = append(domain.FreeServers, info)
		}
	}
	groupMembers := controller.countGroupsLocked(service, servers, listed, byName)
	controller.addServingGroupsLocked(service, servers, byName)
	controller.countReleasingLocked(servers.ByService[service.Name], groupMembers, announced, byName, now)
	domains := make([]Domain, 0, len(byName))
	for _, domain := range byName {
		domains = append(domains, *domain)
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i].Name < domains[j].Name })
	return domains, usable
}

// isUsableLocked reports whether a server counts as one of its domain. The caller holds the mutex.
func (controller *Controller) isUsableLocked(server *roster.Server, now time.Duration) bool {
	return !server.Draining && server.FabricDomain != "" && !controller.lost[server.ID].appliesTo(server, now)
}

func (controller *Controller) serverInfoLocked(server *roster.Server) ServerInfo {
	return ServerInfo{ID: server.ID, Staged: server.Staged, LastModel: controller.lastModels[server.ID], Staging: controller.staging[server.ID]}
}

// addServingGroupsLocked adds to each domain its serving groups that no work is in progress on. The
// caller holds the mutex.
func (controller *Controller) addServingGroupsLocked(service Service, servers *roster.Snapshot, byName map[string]*Domain) {
	for _, group := range controller.View.Serving(servers, []Service{service}) {
		serving := ServingGroup{Group: group}
		var domain *Domain
		for _, id := range group.Members {
			server, ok := servers.Servers[id]
			if !ok || server.Draining || controller.joining[id] != "" || controller.groupsInWork[group.Name] {
				domain = nil
				break
			}
			domain = byName[server.FabricDomain]
			serving.Members = append(serving.Members, controller.serverInfoLocked(server))
		}
		if domain != nil {
			domain.Serving = append(domain.Serving, serving)
		}
	}
}

// isFreeLocked reports whether a server may get an order. The server list lags behind the orders,
// so announcements take precedence over the list, and a server is asked for a report before it gets
// an order. The caller holds the mutex.
func (controller *Controller) isFreeLocked(server *roster.Server, announced map[string]bool) bool {
	if controller.joining[server.ID] != "" || announced[server.ID] || controller.InBackoff(server) {
		return false
	}
	return server.Group.Name == "" || controller.View.MembersFree(server.Group.Name)
}

// announcedMembers returns the members of groups that were announced as opened. The server list may
// not show these groups yet.
func announcedMembers(groups []Group) map[string]bool {
	members := map[string]bool{}
	for _, group := range groups {
		for _, id := range group.Members {
			members[id] = true
		}
	}
	return members
}

// countGroupsLocked counts the groups of a service by domain and model: those being formed, those
// announced as opened and the listed ones. A group counts once, in the first domain that has one of
// its members. It returns the members of the counted groups. The caller holds the mutex.
func (controller *Controller) countGroupsLocked(service Service, servers *roster.Snapshot, listed []*ListedGroup, byName map[string]*Domain) map[string]bool {
	counted, members := map[string]bool{}, map[string]bool{}
	count := func(group *Group) {
		if counted[group.Name] || group.Service != service.Name || group.Model == "" || controller.View.HasEnded(group.Name) {
			return
		}
		counted[group.Name] = true
		for _, id := range group.Members {
			members[id] = true
		}
		for _, id := range group.Members {
			if server, ok := servers.Servers[id]; ok && byName[server.FabricDomain] != nil {
				byName[server.FabricDomain].Groups[group.Model]++
				return
			}
		}
	}
	for _, group := range controller.forming {
		count(&group)
	}
	for _, group := range controller.View.announcedServing(servers) {
		count(&group)
	}
	for _, group := range listed {
		count(&group.Group)
	}
	controller.groupCounts = map[string]int{}
	for _, domain := range byName {
		for model, groups := range domain.Groups {
			controller.groupCounts[service.Name+"/"+model] += groups
		}
	}
	return members
}

// countReleasingLocked counts, by their last model, the servers whose group has ended but that are
// not known to have left it. They become free within moments. A plan that ignored them gave the
// spares of their domain to another model just when they were needed. The caller holds the mutex
// and passes the time at which the domains were built: if a server's exclusion ended in between,
// its domain would be missing from byName.
func (controller *Controller) countReleasingLocked(servers []*roster.Server, members, announced map[string]bool, byName map[string]*Domain, now time.Duration) {
	for _, server := range servers {
		if !controller.isUsableLocked(server, now) || members[server.ID] || controller.joining[server.ID] != "" {
			continue
		}
		if !controller.isFreeLocked(server, announced) || controller.settling[server.ID].appliesTo(server, now) {
			byName[server.FabricDomain].Releasing[controller.lastModels[server.ID]]++
		}
	}
}

// demands returns the current and desired number of groups of each model. The shares configured by
// the operator describe the expected mix of calls at the start; the observed usage corrects them.
func (controller *Controller) demands(service Service, usable int) []Demand {
	shares := controller.shares(service)
	controller.mu.Lock()
	defer controller.mu.Unlock()
	demands := make([]Demand, 0, len(service.Engine.Models))
	for _, model := range service.Engine.Models {
		servers := shares[model.Name] * float64(usable) * (1 - spareFraction)
		demands = append(demands, Demand{
			Model: model, Current: controller.groupCounts[service.Name+"/"+model.Name], Desired: servers / float64(max(1, model.Size)),
		})
	}
	return demands
}
