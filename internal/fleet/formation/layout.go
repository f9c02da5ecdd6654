package formation

import (
	"math"
)

// layout is how many groups of each model a domain should have, by the number of
// the model.
type layout []int

// The costs of a layout are in parts of what serving costs at best: the sum over
// all models of the square of the servers wanted by the servers that serve. It is
// least where each model has servers in proportion to its work, and rises the
// faster the more a model lacks, so a model starves only where nothing else fits.
const (
	// bareShare is the part of a group's time that is lost in a domain without a
	// server to spare, and spareRelief what of that is left with each server that
	// the domain has to spare: a group that lost a member stands again after a load
	// without one, and after a warm start with one.
	bareShare   = 0.30
	spareRelief = 0.35
	// horizon is how long a layout should last at least: servers that a change
	// takes out of service count for the part of it that they are away.
	horizon = 20.0
	// endTime is how long the servers of a group that is ended are away: its
	// streams end, and the servers start again with another model, in seconds.
	endTime = 5.0
	// loadPrice is what a load counts beside the servers that wait for it: the
	// weight store serves a few at once, and others wait for those.
	loadPrice = 0.25
	// moveGain is the least that a layout must gain, in parts of all costs, to be
	// taken in place of another, and endGain for each group that it ends: the plan
	// stays as it is while the work seen wavers.
	moveGain = 0.001
	endGain  = 0.02
)

// designer chooses the layouts of all domains together.
type designer struct {
	demands []Demand
	sites   []*site
	// serving is how many servers serve each model, by the layouts as they are.
	serving []float64
	// total is all servers, those of groups elsewhere included.
	total float64
	// cheap says that changes cost nothing.
	cheap bool
}

// site is a domain with the layouts that it has, can have and should have.
type site struct {
	*Domain
	servers int
	now     layout
	ready   []int
	chosen  layout
	options []layout
}

// design returns the layout of each domain that serves the work best, counted
// with what it costs to get there from the groups that stand.
//
// It improves one domain at a time until none can be improved: with domains that
// hold a few groups each, what one of them does depends on the others only through
// the sums. It begins with the layouts that were planned before, and with domains
// packed with one model first, and takes the best end.
//
// While loads are cheap, what it costs to get there is left out.
func design(domains []Domain, demands []Demand, cheap bool) []layout {
	designer := newDesigner(domains, demands)
	designer.cheap = cheap
	best := designer.descend()
	bestCost := designer.all()
	for first := range demands {
		for _, site := range designer.sites {
			designer.move(site, site.packed(first, demands))
		}
		if layouts := designer.descend(); designer.all() < bestCost-moveGain {
			best, bestCost = layouts, designer.all()
		}
	}
	return best
}

// descend improves domains one by one, and returns what was chosen.
func (designer *designer) descend() []layout {
	for round := 0; round < designRounds && designer.improve(); round++ {
		continue
	}
	layouts := make([]layout, 0, len(designer.sites))
	for _, site := range designer.sites {
		layouts = append(layouts, site.chosen)
	}
	return layouts
}

// packed is a layout with as many groups of one model as the domain holds, and of
// the others what then fits.
func (site *site) packed(first int, demands []Demand) layout {
	packed := make(layout, len(demands))
	left := site.servers
	for offset := range demands {
		model := (first + offset) % len(demands)
		packed[model] = left / max(1, demands[model].Size)
		left -= packed[model] * demands[model].Size
	}
	return packed
}

// Design returns what each domain should hold, by model.
func Design(domains []Domain, demands []Demand) []map[string]int {
	named := make([]map[string]int, 0, len(domains))
	for _, layout := range design(domains, demands, false) {
		named = append(named, layout.named(demands))
	}
	return named
}

// Cost is what the domains cost with the given groups of each model, with what it
// takes to get there; see the constants above for the unit.
func Cost(domains []Domain, demands []Demand, groups []map[string]int) float64 {
	designer := newDesigner(domains, demands)
	for number, site := range designer.sites {
		to := make(layout, len(demands))
		for model := range demands {
			to[model] = groups[number][demands[model].Name]
		}
		designer.move(site, to)
	}
	return designer.all()
}

// all is what the layouts that are chosen cost together.
func (designer *designer) all() float64 {
	cost := designer.serve()
	for _, site := range designer.sites {
		if !designer.cheap {
			cost += site.change(site.chosen, designer.demands, designer.total) / max(1, designer.total)
		}
	}
	return cost
}

func (layout layout) named(demands []Demand) map[string]int {
	named := make(map[string]int, len(demands))
	for model := range demands {
		named[demands[model].Name] = layout[model]
	}
	return named
}

// designRounds bounds the rounds of improvement. Two or three are usual.
const designRounds = 12

func newDesigner(domains []Domain, demands []Demand) *designer {
	designer := &designer{demands: demands, serving: make([]float64, len(demands))}
	for number := range demands {
		designer.serving[number] = float64(demands[number].Have * demands[number].Size)
		designer.total += designer.serving[number]
	}
	for number := range domains {
		site := newSite(&domains[number], demands)
		designer.sites = append(designer.sites, site)
		designer.total += float64(site.servers)
		for model := range demands {
			held := float64(site.now[model] * demands[model].Size)
			designer.total -= held
			designer.serving[model] += site.serves(site.chosen, model, demands) - held
		}
	}
	return designer
}

func newSite(domain *Domain, demands []Demand) *site {
	site := &site{Domain: domain, now: make(layout, len(demands)), ready: make([]int, len(demands))}
	counted := len(domain.Spares)
	for model := range demands {
		name, size := demands[model].Name, demands[model].Size
		site.now[model] = domain.has(name)
		site.ready[model] = domain.staged(name) + domain.Loading[name] + domain.Soon[name] + domain.prepared(&demands[model])
		counted += site.now[model]*size + domain.Loading[name]
	}
	site.servers = domain.Servers
	if site.servers == 0 {
		site.servers = counted
	}
	site.options = options(site.servers, demands)
	site.chosen = site.planned(demands)
	return site
}

// planned is the layout that was chosen before, if the domain still has the
// servers for it, else the one that it has. A domain that just lost a group is so
// first thought of as it was: what stands again soonest is what stood.
func (site *site) planned(demands []Demand) layout {
	before := make(layout, len(demands))
	for model := range demands {
		before[model] = site.Planned[demands[model].Name]
	}
	if len(site.Planned) == 0 || before.servers(demands) > site.servers {
		return site.now
	}
	return before
}

// optionsMost bounds the layouts that are weighed for one domain.
const optionsMost = 512

// options returns every layout that a domain of so many servers can hold.
func options(servers int, demands []Demand) []layout {
	found := []layout{{}}
	for model := range demands {
		longer := []layout{}
		for _, begun := range found {
			left := servers - begun.servers(demands[:model])
			for count := 0; count*demands[model].Size <= left && len(longer) < optionsMost; count++ {
				longer = append(longer, append(append(layout{}, begun...), count))
			}
		}
		found = longer
	}
	return found
}

// servers is how many servers the groups of a layout take.
func (layout layout) servers(demands []Demand) int {
	sum := 0
	for model, count := range layout {
		sum += count * max(1, demands[model].Size)
	}
	return sum
}

// serves is how many servers serve a model in a layout on average, with losses.
func (site *site) serves(layout layout, model int, demands []Demand) float64 {
	spare := max(0, site.servers-layout.servers(demands))
	lost := bareShare * math.Pow(spareRelief, float64(spare))
	return float64(layout[model]*demands[model].Size) * (1 - lost)
}

// improve moves each domain to its best layout and says whether any moved.
func (designer *designer) improve() bool {
	moved := false
	for _, site := range designer.sites {
		best, bestCost := site.chosen, designer.cost(site, site.chosen)-moveGain
		for _, option := range site.options {
			if cost := designer.cost(site, option); cost < bestCost {
				best, bestCost = option, cost
			}
		}
		if !best.same(site.chosen) {
			designer.move(site, best)
			moved = true
		}
	}
	return moved
}

func (layout layout) same(other layout) bool {
	for model := range layout {
		if layout[model] != other[model] {
			return false
		}
	}
	return true
}

func (designer *designer) move(site *site, to layout) {
	for model := range designer.demands {
		designer.serving[model] += site.serves(to, model, designer.demands) - site.serves(site.chosen, model, designer.demands)
	}
	site.chosen = to
}

// leastServing stands for a model that nothing serves.
const leastServing = 0.5

// cost is what all costs if the domain takes the layout.
func (designer *designer) cost(site *site, option layout) float64 {
	held := site.chosen
	designer.move(site, option)
	cost := designer.serve()
	designer.move(site, held)
	if designer.cheap {
		return cost
	}
	return cost + site.change(option, designer.demands, designer.total)/max(1, designer.total)
}

// serve is what serving costs with the layouts that are chosen.
func (designer *designer) serve() float64 {
	wanted, cost := 0.0, 0.0
	for model := range designer.demands {
		work := designer.demands[model].work()
		wanted += work
		cost += work * work / max(designer.serving[model], leastServing)
	}
	return cost / max(wanted, leastServing)
}

// work is the servers that a model should have.
func (demand *Demand) work() float64 {
	return max(demand.Want, leastWant) * float64(demand.Size)
}

// leastWant keeps a part of a group for a model that nobody asks for now.
const leastWant = 0.25

// change is how many servers the way to a layout takes out of service, each for
// the part of the horizon that it is away: those of groups that end, and those of
// groups that wait for a load; and how much of the weight store it takes.
func (site *site) change(option layout, demands []Demand, total float64) float64 {
	away := 0.0
	for model := range demands {
		size := demands[model].Size
		if ended := site.now[model] - option[model]; ended > 0 {
			away += float64(ended) * (float64(size)*endTime/horizon + endGain*total)
			continue
		}
		added := option[model] - site.now[model]
		loads := max(0, added*size-site.ready[model])
		waiting := (loads + size - 1) / size * size
		away += (float64(waiting) + float64(loads)*loadPrice) * demands[model].loadTime() / horizon
	}
	return away
}

func (demand *Demand) loadTime() float64 {
	if demand.LoadTime <= 0 {
		return usualLoad
	}
	return demand.LoadTime.Seconds()
}

// usualLoad is what a load takes where nothing says how long, in seconds.
const usualLoad = 15
