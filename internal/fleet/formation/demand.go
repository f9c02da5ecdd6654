package formation

import (
	"log/slog"
	"math"
	"sort"
	"strings"
	"time"

	"hazelslip/internal/fleet/roster"
)

const (
	// spareShare is the part of a service's servers that is kept out of groups,
	// so that a group that loses a member stands again after a warm start in
	// place of a load. Members are lost one by one every few seconds.
	spareShare = 0.1
	// demandTrust is how much the work seen weighs beside the stated shares.
	demandTrust = 0.7
)

// plan starts what should be done with the free servers of a service.
func (former *Former) plan(term int64, service Service, servers *roster.Snapshot, listed []*Listed) {
	domains, usable := former.domains(service, servers, listed)
	demands := former.demands(service, usable)
	quiet := former.Quiet()
	former.tell(service, domains, demands, usable)
	for _, step := range Plan(domains, demands, quiet) {
		if step.Retire {
			former.begin(step.Group.Name, func() { former.lend(term, step) })
			continue
		}
		if !former.reserve(step.Members, step.purpose()) {
			continue
		}
		if step.Loads > 0 && !former.mayLoad(service, step.Loads, quiet) {
			former.release(step.Members)
			continue
		}
		former.Go(func() {
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
	former.Logger.Info("former: the plan.", attributes...)
}

const (
	// loadsUsed is the part of the bound on loads that is used: a load that is
	// ordered late begins in another window than it was counted in.
	loadsUsed = 0.75
	// quietLoads is how many loads run at once, in multiples of what the weight
	// store serves at full speed, while nothing was asked of the fleet yet. Some
	// wait, so that the store is never idle; all at once would have no group
	// ready before the last.
	quietLoads = 2
)

// mayLoad says whether so many more loads may begin. Loads beyond what the
// store serves at full speed slow each other down, so the most urgent go first
// and the others wait their turn here.
func (former *Former) mayLoad(service Service, loads int, quiet bool) bool {
	atOnce := max(1, service.Engine.LoadsAtOnce)
	if quiet {
		return former.gate.begin(loads, quietLoads*atOnce)
	}
	window := former.Bounds.LoadWindow
	most := int(service.Engine.LoadsPerSecond * window.Seconds() * former.Bounds.LoadBurst * loadsUsed)
	return former.gate.take(loads, atOnce, most, window)
}

// domains sorts a service's servers: which are free, and which groups a domain
// has. It also returns how many servers there are to use.
func (former *Former) domains(service Service, servers *roster.Snapshot, listed []*Listed) ([]Domain, int) {
	former.mu.Lock()
	defer former.mu.Unlock()
	now := former.Now()
	byName := map[string]*Domain{}
	inNews := membersInNews(former.View.fresh(servers.ReadAt))
	usable := 0
	for _, server := range servers.ByService[service.Name] {
		if server.Draining || former.lost[server.ID] > now {
			continue
		}
		usable++
		domain, ok := byName[server.FabricDomain]
		if !ok {
			domain = &Domain{Name: server.FabricDomain, Groups: map[string]int{}, Loading: map[string]int{}}
			byName[server.FabricDomain] = domain
		}
		if model, staging := strings.CutPrefix(former.busy[server.ID], stagePurpose); staging {
			domain.Loading[model]++
		}
		if former.freeLocked(server, inNews) {
			domain.Spares = append(domain.Spares, spareOf(server))
		}
	}
	former.countGroupsLocked(service, servers, listed, byName)
	former.lendersLocked(service, servers, byName)
	domains := make([]Domain, 0, len(byName))
	for _, domain := range byName {
		domains = append(domains, *domain)
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i].Name < domains[j].Name })
	return domains, usable
}

func spareOf(server *roster.Server) Spare {
	return Spare{ID: server.ID, Staged: server.Staged, Last: server.Model}
}

// lendersLocked notes the serving groups of each domain that nothing is being
// done to.
func (former *Former) lendersLocked(service Service, servers *roster.Snapshot, byName map[string]*Domain) {
	for _, group := range former.View.Serving(servers, []Service{service}) {
		lender := Lender{Group: group, Size: len(group.Members)}
		var domain *Domain
		for _, id := range group.Members {
			server, ok := servers.Servers[id]
			if !ok || server.Draining || former.busy[id] != "" || former.working[group.Name] {
				domain = nil
				break
			}
			domain = byName[server.FabricDomain]
			lender.Members = append(lender.Members, spareOf(server))
		}
		if domain != nil && len(lender.Members) > 1 {
			domain.Lenders = append(domain.Lenders, lender)
		}
	}
}

// freeLocked says whether a server may be given something to do. The list lags
// behind what was ordered; what news says of a server goes before it, and the
// server itself is asked before it gets an order.
func (former *Former) freeLocked(server *roster.Server, inNews map[string]bool) bool {
	if former.busy[server.ID] != "" || inNews[server.ID] {
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

func (former *Former) countGroupsLocked(service Service, servers *roster.Snapshot, listed []*Listed, byName map[string]*Domain) {
	counted := map[string]bool{}
	count := func(group *Group) {
		if counted[group.Name] || group.Service != service.Name || group.Model == "" || former.View.Ended(group.Name) {
			return
		}
		counted[group.Name] = true
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
	for _, group := range former.View.fresh(servers.ReadAt) {
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

// shares returns the part of the servers that each model should have.
func (former *Former) shares(service Service) map[string]float64 {
	stated, seen := map[string]float64{}, map[string]float64{}
	statedSum, seenSum := 0.0, 0.0
	for _, model := range service.Engine.Models {
		stated[model.Name] = model.Share
		statedSum += model.Share
		taken, _ := former.Load(service.Name, model.Name)
		seen[model.Name] = float64(taken*model.Size) / float64(max(1, service.Engine.Slots))
		seenSum += seen[model.Name]
	}
	trust := demandTrust
	if seenSum < 1 {
		trust = 0
	}
	shares := map[string]float64{}
	for _, model := range service.Engine.Models {
		shares[model.Name] = (1 - trust) * stated[model.Name] / max(statedSum, 1e-9)
		if trust > 0 {
			shares[model.Name] += trust * seen[model.Name] / seenSum
		}
	}
	return shares
}
