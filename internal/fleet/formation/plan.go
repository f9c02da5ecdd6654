package formation

import (
	"log/slog"
	"math"
	"sort"
	"time"

	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/state/configuration"
)

// Spare is a free server, as the planner sees it.
type Spare struct {
	ID     string
	Staged []string
}

// Domain is the free servers of one fabric domain and the groups that it has,
// by model.
type Domain struct {
	Name   string
	Spares []Spare
	Groups map[string]int
}

// Demand is what is wanted of one model.
type Demand struct {
	configuration.Model
	// Have counts groups that serve or are in the making, Want is how many
	// there should be.
	Have int
	Want float64
}

// Step is one thing to do: to form a group of Members, or to stage Model on
// the one of Members where Stage is set.
type Step struct {
	Stage   bool
	Model   string
	Members []string
	// Loads is how many of the members need the weights from the store.
	Loads int
}

// Plan decides what to do with free servers.
//
// Groups are formed of the model that lacks most of what it should have, where
// enough free servers of one domain have it staged. It answers fleets that lose
// members one by one every few seconds: a group without a spare of its domain
// waits for a load of many seconds, and the larger the group, the more servers
// wait with it. So most groups come first, then a staged spare for each model
// in each domain, then the other groups, and last groups beyond what is wanted
// where servers would be idle all the same.
//
// While nothing was asked of the fleet yet (fromStore), groups are also formed
// of servers that must load first: loads cost little then, and joining loads
// without a further start.
func Plan(domains []Domain, demands []Demand, fromStore bool) []Step {
	planner := &planner{domains: domains, demands: demands, fromStore: fromStore}
	planner.formAll(mostGroups)
	planner.stageSpares()
	planner.formAll(1)
	planner.stageRest()
	planner.formIdle()
	return planner.steps
}

// mostGroups is the part of the groups wanted that is formed before spares are
// staged.
const mostGroups = 0.75

type planner struct {
	domains   []Domain
	demands   []Demand
	fromStore bool
	steps     []Step
}

// formAll forms groups until each model has a part of what is wanted of it, or
// no domain has the servers.
func (planner *planner) formAll(part float64) {
	for planner.formOne(part) {
		continue
	}
}

// formOne plans one group and says whether it did.
func (planner *planner) formOne(part float64) bool {
	for _, demand := range planner.byNeed() {
		if float64(demand.Have)+formSlack > demand.Want*part {
			continue
		}
		if domain, loads := planner.place(demand, 0); domain != nil {
			planner.form(domain, demand, loads)
			return true
		}
	}
	return false
}

func (planner *planner) form(domain *Domain, demand *Demand, loads int) {
	members := domain.choose(demand.Model)
	demand.Have++
	domain.Groups[demand.Name]++
	domain.take(members)
	planner.steps = append(planner.steps, Step{Model: demand.Name, Members: members, Loads: loads})
}

// formIdle forms groups beyond what is wanted where a domain has staged servers
// to spare and still keeps some.
func (planner *planner) formIdle() {
	if planner.fromStore {
		return
	}
	for formed := true; formed; {
		formed = false
		for _, demand := range planner.byNeed() {
			if domain, _ := planner.place(demand, idleKept); domain != nil {
				planner.form(domain, demand, 0)
				formed = true
				break
			}
		}
	}
}

const (
	// formSlack is how much of a group may be too much: wants are fractions.
	formSlack = 0.5
	// idleKept is how many free servers a domain keeps when a group beyond what
	// is wanted is formed there.
	idleKept = 1
)

// byNeed returns the demands, the one that lacks most first.
func (planner *planner) byNeed() []*Demand {
	demands := make([]*Demand, 0, len(planner.demands))
	for number := range planner.demands {
		demands = append(demands, &planner.demands[number])
	}
	sort.SliceStable(demands, func(i, j int) bool { return demands[i].share() < demands[j].share() })
	return demands
}

func (demand *Demand) share() float64 {
	if demand.Want <= 0 {
		return math.Inf(1)
	}
	return float64(demand.Have) / demand.Want
}

// place finds the domain with the most servers that are ready for the model
// and more than kept besides, and how many of them must load.
func (planner *planner) place(demand *Demand, kept int) (*Domain, int) {
	var best *Domain
	bestStaged, bestFree := -1, -1
	for number := range planner.domains {
		domain := &planner.domains[number]
		staged := min(domain.staged(demand.Name), demand.Size)
		free := len(domain.Spares)
		if free < demand.Size+kept || (staged < demand.Size && !planner.fromStore) {
			continue
		}
		if staged > bestStaged || (staged == bestStaged && free > bestFree) {
			best, bestStaged, bestFree = domain, staged, free
		}
	}
	return best, max(0, demand.Size-bestStaged)
}

func (domain *Domain) staged(model string) int {
	count := 0
	for _, spare := range domain.Spares {
		if contains(spare.Staged, model) {
			count++
		}
	}
	return count
}

// choose returns a group's members: servers with the model first, then those
// with nothing staged.
func (domain *Domain) choose(model configuration.Model) []string {
	rank := func(spare Spare) int {
		switch {
		case contains(spare.Staged, model.Name):
			return 0
		case len(spare.Staged) == 0:
			return 1
		default:
			return 2
		}
	}
	sorted := append([]Spare{}, domain.Spares...)
	sort.SliceStable(sorted, func(i, j int) bool { return rank(sorted[i]) < rank(sorted[j]) })
	members := make([]string, 0, model.Size)
	for _, spare := range sorted[:model.Size] {
		members = append(members, spare.ID)
	}
	return members
}

func (domain *Domain) take(members []string) {
	kept := domain.Spares[:0]
	for _, spare := range domain.Spares {
		if !contains(members, spare.ID) {
			kept = append(kept, spare)
		}
	}
	domain.Spares = kept
}

// stageSpares plans one staged spare for each model of each domain, the largest
// models first.
func (planner *planner) stageSpares() {
	bySize := planner.byNeed()
	sort.SliceStable(bySize, func(i, j int) bool { return bySize[i].Size > bySize[j].Size })
	for _, demand := range bySize {
		for number := range planner.domains {
			domain := &planner.domains[number]
			if domain.Groups[demand.Name] > 0 && domain.staged(demand.Name) == 0 {
				planner.stage(domain, demand.Name)
			}
		}
	}
}

// stage plans to stage a model on a free server of a domain that has nothing
// staged, which then waits as a spare.
func (planner *planner) stage(domain *Domain, model string) {
	for _, spare := range domain.Spares {
		if len(spare.Staged) == 0 {
			planner.steps = append(planner.steps, Step{Stage: true, Model: model, Members: []string{spare.ID}, Loads: 1})
			domain.take([]string{spare.ID})
			return
		}
	}
}

// stageRest plans what the other servers that wait should have staged.
func (planner *planner) stageRest() {
	for number := range planner.domains {
		domain := &planner.domains[number]
		for _, spare := range append([]Spare{}, domain.Spares...) {
			if len(spare.Staged) > 0 {
				continue
			}
			if model := planner.wantStaged(domain); model != "" {
				planner.steps = append(planner.steps, Step{Stage: true, Model: model, Members: []string{spare.ID}, Loads: 1})
				domain.note(spare.ID, model)
			}
		}
	}
}

func (domain *Domain) note(id, model string) {
	for number := range domain.Spares {
		if domain.Spares[number].ID == id {
			domain.Spares[number].Staged = []string{model}
		}
	}
}

// wantStaged returns the model of which a domain's waiting servers should have
// one more: the one that completes the most of a lacking group first.
func (planner *planner) wantStaged(domain *Domain) string {
	best, bestScore := "", -1.0
	for _, demand := range planner.byNeed() {
		staged := domain.staged(demand.Name)
		score := 0.0
		if domain.Groups[demand.Name] > 0 && staged == 0 {
			score += float64(demand.Size)
		}
		if demand.share() < 1 && staged < demand.Size && len(domain.Spares) >= demand.Size {
			score += 1 + float64(staged)
		}
		score += 1 / float64(1+staged)
		if score > bestScore {
			best, bestScore = demand.Name, score
		}
	}
	return best
}

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
		if !former.reserve(step.Members, step.Model) {
			continue
		}
		if step.Loads > 0 && !former.mayLoad(service, step.Loads, quiet) {
			former.unreserve(step.Members)
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

func (former *Former) unreserve(ids []string) {
	former.mu.Lock()
	defer former.mu.Unlock()
	for _, id := range ids {
		delete(former.busy, id)
	}
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
			domain = &Domain{Name: server.FabricDomain, Groups: map[string]int{}}
			byName[server.FabricDomain] = domain
		}
		if former.freeLocked(server, inNews) {
			domain.Spares = append(domain.Spares, Spare{ID: server.ID, Staged: server.Staged})
		}
	}
	former.countGroupsLocked(service, servers, listed, byName)
	domains := make([]Domain, 0, len(byName))
	for _, domain := range byName {
		domains = append(domains, *domain)
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i].Name < domains[j].Name })
	return domains, usable
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
