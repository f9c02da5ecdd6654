package formation

import (
	"fmt"
	"log/slog"
	"math"
	"sort"
	"time"

	"hazelslip/internal/fleet/roster"
)

// keepPlanned remembers what the domains of a service should hold.
func (former *Former) keepPlanned(service Service, domains []Domain) {
	former.mu.Lock()
	defer former.mu.Unlock()
	for number := range domains {
		former.planned[service.Name+"/"+domains[number].Name] = domains[number].Planned
	}
}

// spareShare is the part of a service's servers that is kept out of groups, so
// that a group that loses a member stands again after a warm start in place of a
// load. Members are lost one by one every few seconds.
const spareShare = 0.1

// plan starts what should be done with the free servers of a service.
func (former *Former) plan(term int64, service Service, servers *roster.Snapshot, listed []*Listed) {
	domains, usable := former.domains(service, servers, listed)
	demands := former.demands(service, usable)
	quiet := former.Quiet()
	former.tell(service, domains, demands, usable)
	steps := Plan(domains, demands, quiet)
	former.keepPlanned(service, domains)
	waits := false
	for _, step := range steps {
		if step.Retire {
			former.lendOne(term, step)
			continue
		}
		if (step.Stage && waits) || !former.reserve(&step) {
			continue
		}
		if step.Loads > 0 && !former.mayLoad(service, &step, quiet) {
			former.release(&step)
			// Loads one by one would keep the gate full, and no group would come
			// through.
			waits = waits || !step.Stage
			continue
		}
		former.Go(func() {
			defer former.release(&step)
			defer former.gate.finish(step.Loads)
			if step.Stage {
				former.stage(term, step.Model, step.Members[0])
				return
			}
			former.form(term, service, step.Model, step.Members)
		})
	}
}

// tellEvery is how often what the planner sees is logged.
const tellEvery = 2 * time.Second

// tell logs what the planner sees, at most every other second.
func (former *Former) tell(service Service, domains []Domain, demands []Demand, usable int) {
	former.mu.Lock()
	defer former.mu.Unlock()
	now := former.Now()
	if now-former.told[service.Name] < tellEvery && former.told[service.Name] != 0 {
		return
	}
	former.told[service.Name] = now
	attributes := []any{"Service", service.Name, "Usable", usable, "Busy", len(former.busy), "Ending", len(former.working)}
	for _, demand := range demands {
		staged := 0
		for number := range domains {
			staged += domains[number].staged(demand.Name)
		}
		attributes = append(attributes, slog.Group(demand.Name, "Have", demand.Have, "Want", math.Round(demand.Want*10)/10, "StagedSpares", staged))
	}
	attributes = append(attributes, slog.Any("Domains", describe(domains, demands)))
	former.Logger.Info("former: the plan.", attributes...)
}

const (
	// loadsUsed is the part of the bound on loads that is used: a load that is
	// ordered late begins in another window than it was counted in.
	loadsUsed = 0.75
	// spareLoads is the part of the loads at once that those for spares may take:
	// a group that waits for one server would wait for a load of a spare first.
	spareLoads = 0.5
)

// domainsTold is how many domains are told of at most, for lines of bounded length.
const domainsTold = 12

// describe tells of the domains that don't hold what they should: servers to use,
// free ones, and by model the groups there are and should be, the free servers that
// have it, those that load it or come free with it, and members that have it beside
// their work.
func describe(domains []Domain, demands []Demand) []string {
	lines := []string{}
	for number := range domains {
		domain := &domains[number]
		line := fmt.Sprintf("%s: %d servers, %d free", domain.Name, domain.Servers, len(domain.Spares))
		asPlanned := true
		for model := range demands {
			demand := &demands[model]
			has, planned := domain.has(demand.Name), domain.Planned[demand.Name]
			asPlanned = asPlanned && has == planned
			line += fmt.Sprintf(", %s %d/%d (%d have it, %d load it, %d soon, %d beside)", demand.Name, has, planned,
				domain.staged(demand.Name), domain.Loading[demand.Name], domain.Soon[demand.Name], domain.prepared(demand))
		}
		if !asPlanned && len(lines) < domainsTold {
			lines = append(lines, line)
		}
	}
	return lines
}

// mayLoad says whether so many more loads may begin. Loads beyond what the
// store serves at full speed slow each other down, so the most urgent go first
// and the others wait their turn here.
func (former *Former) mayLoad(service Service, step *Step, quiet bool) bool {
	atOnce := max(1, service.Engine.LoadsAtOnce)
	window := former.Bounds.LoadWindow
	most := int(service.Engine.LoadsPerSecond * window.Seconds() * former.Bounds.LoadBurst * loadsUsed)
	if quiet {
		return former.gate.begin(step.Loads, most)
	}
	if !step.Urgent {
		atOnce = max(1, int(float64(atOnce)*spareLoads))
	}
	return former.gate.take(step.Loads, atOnce, most, window)
}

// domains sorts a service's servers: which are free, and which groups a domain
// has. It also returns how many servers there are to use.
func (former *Former) domains(service Service, servers *roster.Snapshot, listed []*Listed) ([]Domain, int) {
	former.mu.Lock()
	defer former.mu.Unlock()
	now := former.Now()
	byName := map[string]*Domain{}
	inNews := membersInNews(former.View.fresh(servers))
	usable := 0
	for _, server := range servers.ByService[service.Name] {
		if !former.usableLocked(server, now) {
			continue
		}
		usable++
		domain, ok := byName[server.FabricDomain]
		if !ok {
			domain = &Domain{
				Name: server.FabricDomain, Groups: map[string]int{}, Loading: map[string]int{}, Soon: map[string]int{},
				Planned: former.planned[service.Name+"/"+server.FabricDomain],
			}
			byName[server.FabricDomain] = domain
		}
		domain.Servers++
		if model := former.staging[server.ID]; model != "" {
			domain.Loading[model]++
		}
		if !former.freeLocked(server, inNews) || former.settling[server.ID].holds(server, now) {
			continue
		}
		if spare := former.spareLocked(server); spare.Staging == "" || spare.Last != "" {
			domain.Spares = append(domain.Spares, spare)
		}
	}
	counted := former.countGroupsLocked(service, servers, listed, byName)
	former.servingLocked(service, servers, byName)
	former.soonLocked(servers.ByService[service.Name], counted, inNews, byName, now)
	domains := make([]Domain, 0, len(byName))
	for _, domain := range byName {
		domains = append(domains, *domain)
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i].Name < domains[j].Name })
	return domains, usable
}

// usableLocked says whether a server counts as one of its domain.
func (former *Former) usableLocked(server *roster.Server, now time.Duration) bool {
	return !server.Draining && server.FabricDomain != "" && !former.lost[server.ID].holds(server, now)
}

func (former *Former) spareLocked(server *roster.Server) Spare {
	return Spare{ID: server.ID, Staged: server.Staged, Last: former.ran[server.ID], Staging: former.staging[server.ID]}
}

// servingLocked notes the serving groups of each domain that nothing is being
// done to.
func (former *Former) servingLocked(service Service, servers *roster.Snapshot, byName map[string]*Domain) {
	for _, group := range former.View.Serving(servers, []Service{service}) {
		standing := Standing{Group: group}
		var domain *Domain
		for _, id := range group.Members {
			server, ok := servers.Servers[id]
			if !ok || server.Draining || former.busy[id] != "" || former.working[group.Name] {
				domain = nil
				break
			}
			domain = byName[server.FabricDomain]
			standing.Members = append(standing.Members, former.spareLocked(server))
		}
		if domain != nil {
			domain.Serving = append(domain.Serving, standing)
		}
	}
}

// freeLocked says whether a server may be given something to do. The list lags
// behind what was ordered; what news says of a server goes before it, and the
// server itself is asked before it gets an order.
func (former *Former) freeLocked(server *roster.Server, inNews map[string]bool) bool {
	if former.busy[server.ID] != "" || inNews[server.ID] || former.BacksOff(server) {
		return false
	}
	return server.Group.Name == "" || former.View.Free(server.Group.Name)
}

// membersInNews returns the servers that are in groups of which news says that
// they serve and which the list may not show yet.
func membersInNews(groups []Group) map[string]bool {
	members := map[string]bool{}
	for _, group := range groups {
		for _, id := range group.Members {
			members[id] = true
		}
	}
	return members
}

func (former *Former) countGroupsLocked(service Service, servers *roster.Snapshot, listed []*Listed, byName map[string]*Domain) map[string]bool {
	counted, members := map[string]bool{}, map[string]bool{}
	count := func(group *Group) {
		if counted[group.Name] || group.Service != service.Name || group.Model == "" || former.View.Ended(group.Name) {
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
	for _, group := range former.forming {
		count(&group)
	}
	for _, group := range former.View.fresh(servers) {
		count(&group)
	}
	for _, group := range listed {
		count(&group.Group)
	}
	former.haves = map[string]int{}
	for _, domain := range byName {
		for model, groups := range domain.Groups {
			former.haves[service.Name+"/"+model] += groups
		}
	}
	return members
}

// soonLocked counts the servers whose group has ended and which it is not known
// yet to have left: they will be free in a moment, with the model that they ran.
// A plan that left them out gave the spares of their domain to another model just
// when they were needed. The time is that for which the domains were sorted: a mark
// that ends in between would show a server whose domain isn't there.
func (former *Former) soonLocked(servers []*roster.Server, members, inNews map[string]bool, byName map[string]*Domain, now time.Duration) {
	for _, server := range servers {
		if !former.usableLocked(server, now) || members[server.ID] || former.busy[server.ID] != "" {
			continue
		}
		if !former.freeLocked(server, inNews) || former.settling[server.ID].holds(server, now) {
			byName[server.FabricDomain].Soon[former.ran[server.ID]]++
		}
	}
}

// demands returns how many groups of each model there are and should be. The
// shares that the operator states are those of the work at the start; the work
// that is seen corrects them.
func (former *Former) demands(service Service, usable int) []Demand {
	shares := former.shares(service)
	former.mu.Lock()
	defer former.mu.Unlock()
	demands := make([]Demand, 0, len(service.Engine.Models))
	for _, model := range service.Engine.Models {
		servers := shares[model.Name] * float64(usable) * (1 - spareShare)
		demands = append(demands, Demand{
			Model: model, Have: former.haves[service.Name+"/"+model.Name], Want: servers / float64(max(1, model.Size)),
		})
	}
	return demands
}
