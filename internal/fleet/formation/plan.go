package formation

import (
	"sort"
)

// Step is one action of a plan. By default it forms a group of Members. With Stage set, it stages
// Model on the only member. With Retire set, it retires Group so that its servers can form a group
// of Model.
type Step struct {
	Stage   bool
	Retire  bool
	Group   Group
	Model   string
	Members []string
	// Urgent marks a load that a group waits for. Other loads are for spares.
	Urgent bool
	// Loads is the number of members that load the weights from the weight store.
	Loads int
}

// Plan decides what to do with the servers.
//
// It first chooses the layout of each domain, then returns the steps that are possible now. It
// forms the groups for which a domain has enough servers with the model. It retires groups that
// exceed the layout once their servers complete a group that the layout lacks. It loads models,
// first for the groups that lack the fewest servers, then for spares. A group without a spare in
// its domain waits many seconds for a load, and a larger group keeps more servers waiting, so the
// last free servers of a domain are kept as spares.
//
// With loadOnJoin, which is set before the first request, groups are also formed of servers that
// must load the model first: loads are cheap then, and a load in the join saves a restart.
func Plan(domains []Domain, demands []Demand, loadOnJoin bool) []Step {
	planner := &planner{demands: demands, loadOnJoin: loadOnJoin}
	for index, layout := range optimizeLayouts(domains, demands, loadOnJoin) {
		domain := &domains[index]
		domain.Planned = layout.byModelName(demands)
		planner.domains = append(planner.domains, &domainLayout{Domain: domain, chosen: layout})
	}
	planner.formGroups()
	planner.planConversions()
	planner.planLoads()
	return planner.steps
}

// planner collects the steps of one plan.
type planner struct {
	domains    []*domainLayout
	demands    []Demand
	loadOnJoin bool
	steps      []Step
}

// formGroups forms every planned group for which there are servers, in order of the models'
// coverage, lowest first.
func (planner *planner) formGroups() {
	for formed := true; formed; {
		formed = false
		for _, model := range planner.modelsByCoverage() {
			if planner.formGroup(model) {
				formed = true
				break
			}
		}
	}
}

// formGroup forms one group of a model and reports whether it did.
func (planner *planner) formGroup(model int) bool {
	demand := &planner.demands[model]
	var best *domainLayout
	bestWithModel := -1
	for _, domain := range planner.domains {
		withModel := min(domain.freeWithModel(demand.Name), demand.Size)
		if domain.groupCount(demand.Name) >= domain.chosen[model] || len(domain.FreeServers) < demand.Size {
			continue
		}
		if (withModel == demand.Size || planner.loadOnJoin) && withModel > bestWithModel {
			best, bestWithModel = domain, withModel
		}
	}
	if best == nil {
		return false
	}
	members := best.selectMembers(demand.Model)
	demand.Current++
	best.Groups[demand.Name] = best.groupCount(demand.Name) + 1
	best.removeFree(members)
	planner.steps = append(planner.steps, Step{Model: demand.Name, Members: members, Loads: demand.Size - bestWithModel})
	return true
}

// modelsByCoverage returns the indices of the models, lowest coverage first.
func (planner *planner) modelsByCoverage() []int {
	models := make([]int, 0, len(planner.demands))
	for model := range planner.demands {
		models = append(models, model)
	}
	sort.SliceStable(models, func(i, j int) bool {
		return planner.demands[models[i]].coverage() < planner.demands[models[j]].coverage()
	})
	return models
}

// planConversions retires groups that exceed the layout if their servers complete a group that the
// layout lacks. The groups serve until then, because another model can be staged on a member's host
// while it serves.
func (planner *planner) planConversions() {
	for _, domain := range planner.domains {
		for model := range planner.demands {
			if domain.groupCount(planner.demands[model].Name) < domain.chosen[model] {
				planner.convertDomain(domain, &planner.demands[model])
			}
		}
	}
}

// convertDomain retires the groups of a domain whose servers complete a group of the model, unless
// the domain has enough servers for it already or soon.
func (planner *planner) convertDomain(domain *domainLayout, demand *Demand) {
	available := domain.freeWithModel(demand.Name)
	if planner.loadOnJoin {
		available = len(domain.FreeServers)
	}
	retiring := []int{}
	for index := range domain.Serving {
		serving := &domain.Serving[index]
		membersWithModel := serving.membersWithModel(demand.Name)
		if planner.loadOnJoin {
			membersWithModel = len(serving.Members)
		}
		if membersWithModel > 0 && available < demand.Size && planner.mayRetire(domain, serving, membersWithModel, demand) {
			available += membersWithModel
			retiring = append(retiring, index)
		}
	}
	if available < demand.Size || domain.freeWithModel(demand.Name)+domain.Releasing[demand.Name]+domain.Loading[demand.Name] >= demand.Size {
		return
	}
	for _, index := range retiring {
		group := domain.Serving[index].Group
		planner.steps = append(planner.steps, Step{Retire: true, Model: demand.Name, Group: group})
	}
}

// mayRetire reports whether a group may be retired for a group of another model. It may if the
// group exceeds the layout, or if it is the smaller group and can be re-formed at once with free
// servers that replace the ones it gives up.
func (planner *planner) mayRetire(domain *domainLayout, serving *ServingGroup, membersWithModel int, demand *Demand) bool {
	if planner.isSurplus(domain, serving) {
		return true
	}
	return len(serving.Members) < demand.Size && domain.freeWithModel(serving.Group.Model) >= membersWithModel
}

// isSurplus reports whether the domain has more groups of the group's model than its layout.
func (planner *planner) isSurplus(domain *domainLayout, serving *ServingGroup) bool {
	for model := range planner.demands {
		if planner.demands[model].Name == serving.Group.Model {
			return domain.groupCount(planner.demands[model].Name) > domain.chosen[model]
		}
	}
	return true
}
