package formation

import (
	"sort"
)

// Step is one thing to do: to form a group of Members; to stage Model on the one
// of Members, where Stage is set; or to end Group for the sake of Model, where
// Retire is set.
type Step struct {
	Stage   bool
	Retire  bool
	Group   Group
	Model   string
	Members []string
	// Urgent loads are for a group that waits for them, the others for spares.
	Urgent bool
	// Loads is how many of the members need the weights from the store.
	Loads int
}

// Plan decides what to do with the servers.
//
// It first designs what each domain should hold, then takes the steps that are
// possible now: it forms the groups for which enough servers of a domain have the
// model; it ends groups that the design has no place for, once their servers
// complete one that it has; and it loads models, for groups that lack the fewest
// servers first, then for spares. A group without a staged spare of its domain
// waits for a load of many seconds, and the larger the group, the more servers
// wait with it, so the last servers of a domain are kept for that.
//
// While nothing was asked of the fleet yet (fromStore), groups are also formed
// of servers that must load first: loads cost little then, and joining loads
// without a further start.
func Plan(domains []Domain, demands []Demand, fromStore bool) []Step {
	planner := &planner{demands: demands, fromStore: fromStore}
	for number, layout := range design(domains, demands, fromStore) {
		domain := &domains[number]
		domain.Planned = layout.named(demands)
		planner.sites = append(planner.sites, &site{Domain: domain, chosen: layout})
	}
	planner.formAll()
	planner.convertAll()
	planner.loadAll()
	return planner.steps
}

type planner struct {
	sites     []*site
	demands   []Demand
	fromStore bool
	steps     []Step
}

// formAll forms every group that the design has and for which there are servers,
// of the model that lacks most first.
func (planner *planner) formAll() {
	for formed := true; formed; {
		formed = false
		for _, model := range planner.byNeed() {
			if planner.formOne(model) {
				formed = true
				break
			}
		}
	}
}

// formOne forms one group of a model and says whether it did.
func (planner *planner) formOne(model int) bool {
	demand := &planner.demands[model]
	var best *site
	bestStaged := -1
	for _, site := range planner.sites {
		staged := min(site.staged(demand.Name), demand.Size)
		if site.has(demand.Name) >= site.chosen[model] || len(site.Spares) < demand.Size {
			continue
		}
		if (staged == demand.Size || planner.fromStore) && staged > bestStaged {
			best, bestStaged = site, staged
		}
	}
	if best == nil {
		return false
	}
	members := best.choose(demand.Model)
	demand.Have++
	best.Groups[demand.Name] = best.has(demand.Name) + 1
	best.take(members)
	planner.steps = append(planner.steps, Step{Model: demand.Name, Members: members, Loads: demand.Size - bestStaged})
	return true
}

// byNeed returns the numbers of the models, the one that lacks most first.
func (planner *planner) byNeed() []int {
	models := make([]int, 0, len(planner.demands))
	for model := range planner.demands {
		models = append(models, model)
	}
	sort.SliceStable(models, func(i, j int) bool {
		return planner.demands[models[i]].share() < planner.demands[models[j]].share()
	})
	return models
}

// convertAll ends groups that the design has no place for where their servers
// complete a group that it has. They serve until then: a member of a group can
// have another model staged on its host beside its work.
func (planner *planner) convertAll() {
	for _, site := range planner.sites {
		for model := range planner.demands {
			if site.has(planner.demands[model].Name) < site.chosen[model] {
				planner.convert(site, &planner.demands[model])
			}
		}
	}
}

func (planner *planner) convert(site *site, demand *Demand) {
	ready := site.staged(demand.Name)
	if planner.fromStore {
		ready = len(site.Spares)
	}
	ending := []int{}
	for number := range site.Serving {
		standing := &site.Serving[number]
		prepared := standing.prepared(demand.Name)
		if planner.fromStore {
			prepared = len(standing.Members)
		}
		if prepared > 0 && ready < demand.Size && planner.lends(site, standing, prepared, demand) {
			ready += prepared
			ending = append(ending, number)
		}
	}
	if ready < demand.Size || site.staged(demand.Name)+site.Soon[demand.Name]+site.Loading[demand.Name] >= demand.Size {
		return
	}
	for _, number := range ending {
		group := site.Serving[number].Group
		planner.steps = append(planner.steps, Step{Retire: true, Model: demand.Name, Group: group})
	}
}

// lends says whether a group may be ended for one of another model: the design has
// no place for it, or it is smaller and stands again at once, with spares in place
// of those that it gives.
func (planner *planner) lends(site *site, standing *Standing, prepared int, demand *Demand) bool {
	if planner.surplus(site, standing) {
		return true
	}
	return len(standing.Members) < demand.Size && site.staged(standing.Group.Model) >= prepared
}

// surplus says whether the design has fewer groups of a group's model than there
// are in the domain.
func (planner *planner) surplus(site *site, standing *Standing) bool {
	for model := range planner.demands {
		if planner.demands[model].Name == standing.Group.Model {
			return site.has(planner.demands[model].Name) > site.chosen[model]
		}
	}
	return true
}
