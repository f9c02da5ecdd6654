package formation

import (
	"math"
)

// layout is the number of groups of each model in a domain, by model index.
type layout []int

// The cost of a layout is relative to the minimum cost of serving. The cost of serving is the sum
// over all models of the square of the desired servers divided by the serving servers. It is lowest
// if each model has servers in proportion to its demand, and rises faster the more servers a model
// lacks, so a model is left far below its demand only if nothing else fits.
const (
	// lossWithoutSpare is the fraction of a group's serving time that is lost in a domain without
	// a spare server. lossFactorPerSpare is the factor by which each spare server reduces this
	// loss. Without a spare, a group that lost a member is re-formed after a load; with a spare,
	// after a warm start.
	lossWithoutSpare   = 0.30
	lossFactorPerSpare = 0.35
	// planHorizonSeconds is the minimum time that a layout should last. Servers that a change
	// takes out of service count for the fraction of this time that they are unavailable.
	planHorizonSeconds = 20.0
	// retireSeconds is how long the servers of a retired group are unavailable: its streams end,
	// and the servers restart with another model.
	retireSeconds = 5.0
	// storeLoadCost is the cost of a load in addition to the servers that wait for it. The weight
	// store serves a few loads at a time, and others wait for them.
	storeLoadCost = 0.25
	// minGain is the minimum gain, as a fraction of the total cost, for which one layout replaces
	// another. minGainPerRetiredGroup is the additional gain required per group that is retired.
	// Both keep the plan stable while the observed usage fluctuates.
	minGain                = 0.001
	minGainPerRetiredGroup = 0.02
)

// optimizer chooses the layouts of all domains together.
type optimizer struct {
	demands []Demand
	domains []*domainLayout
	// serving is the expected number of servers that serve each model under the chosen layouts.
	serving []float64
	// totalServers counts all servers, members of groups outside the domains included.
	totalServers float64
	// freeTransitions omits the cost of changing layouts.
	freeTransitions bool
}

// domainLayout is a domain with its current, feasible and chosen layouts.
type domainLayout struct {
	*Domain
	serverCount int
	current     layout
	// withModel counts, by model, the servers that have the model staged or last ran it, are
	// loading it, or are about to be released with it.
	withModel []int
	chosen    layout
	feasible  []layout
}

// optimizeLayouts returns for each domain the layout with the lowest total cost, including the cost
// of the change from the current groups.
//
// It uses coordinate descent: it improves one domain at a time until no domain can be improved.
// Each domain has few groups and depends on the other domains only through the sums per model. The
// descent starts once from the previous plan and then, for each model, from domains packed with
// that model first. The result with the lowest cost wins.
//
// With freeTransitions, the cost of the change is left out; the caller sets it while loads are
// cheap.
func optimizeLayouts(domains []Domain, demands []Demand, freeTransitions bool) []layout {
	optimizer := newOptimizer(domains, demands)
	optimizer.freeTransitions = freeTransitions
	best := optimizer.descend()
	bestCost := optimizer.totalCost()
	for firstModel := range demands {
		for _, domain := range optimizer.domains {
			optimizer.setLayout(domain, domain.packedLayout(firstModel, demands))
		}
		if layouts := optimizer.descend(); optimizer.totalCost() < bestCost-minGain {
			best, bestCost = layouts, optimizer.totalCost()
		}
	}
	return best
}

// descend improves the domains one by one and returns the chosen layouts.
func (optimizer *optimizer) descend() []layout {
	for round := 0; round < maxDescentRounds && optimizer.improve(); round++ {
		continue
	}
	layouts := make([]layout, 0, len(optimizer.domains))
	for _, domain := range optimizer.domains {
		layouts = append(layouts, domain.chosen)
	}
	return layouts
}

// packedLayout returns the layout with as many groups of one model as the domain can hold. The
// other models get the servers that remain, in turn.
func (domain *domainLayout) packedLayout(firstModel int, demands []Demand) layout {
	packed := make(layout, len(demands))
	left := domain.serverCount
	for offset := range demands {
		model := (firstModel + offset) % len(demands)
		packed[model] = left / max(1, demands[model].Size)
		left -= packed[model] * demands[model].Size
	}
	return packed
}

// OptimizeLayouts returns the optimized number of groups of each domain, by model.
func OptimizeLayouts(domains []Domain, demands []Demand) []map[string]int {
	named := make([]map[string]int, 0, len(domains))
	for _, layout := range optimizeLayouts(domains, demands, false) {
		named = append(named, layout.byModelName(demands))
	}
	return named
}

// LayoutCost returns the total cost of the given groups of each domain, including the cost of the
// change from the current groups. The comment on the cost constants describes the unit.
func LayoutCost(domains []Domain, demands []Demand, groups []map[string]int) float64 {
	optimizer := newOptimizer(domains, demands)
	for index, domain := range optimizer.domains {
		to := make(layout, len(demands))
		for model := range demands {
			to[model] = groups[index][demands[model].Name]
		}
		optimizer.setLayout(domain, to)
	}
	return optimizer.totalCost()
}

// totalCost returns the cost of all chosen layouts together.
func (optimizer *optimizer) totalCost() float64 {
	cost := optimizer.servingCost()
	for _, domain := range optimizer.domains {
		if !optimizer.freeTransitions {
			cost += domain.transitionCost(domain.chosen, optimizer.demands, optimizer.totalServers) / max(1, optimizer.totalServers)
		}
	}
	return cost
}

func (layout layout) byModelName(demands []Demand) map[string]int {
	named := make(map[string]int, len(demands))
	for model := range demands {
		named[demands[model].Name] = layout[model]
	}
	return named
}

// maxDescentRounds bounds the rounds of improvement. Two or three rounds are typical.
const maxDescentRounds = 12

func newOptimizer(domains []Domain, demands []Demand) *optimizer {
	optimizer := &optimizer{demands: demands, serving: make([]float64, len(demands))}
	for index := range demands {
		optimizer.serving[index] = float64(demands[index].Current * demands[index].Size)
		optimizer.totalServers += optimizer.serving[index]
	}
	for index := range domains {
		domain := newDomainLayout(&domains[index], demands)
		optimizer.domains = append(optimizer.domains, domain)
		optimizer.totalServers += float64(domain.serverCount)
		for model := range demands {
			previous := float64(domain.current[model] * demands[model].Size)
			optimizer.totalServers -= previous
			optimizer.serving[model] += domain.expectedServing(domain.chosen, model, demands) - previous
		}
	}
	return optimizer
}

func newDomainLayout(domain *Domain, demands []Demand) *domainLayout {
	created := &domainLayout{Domain: domain, current: make(layout, len(demands)), withModel: make([]int, len(demands))}
	accountedServers := len(domain.FreeServers)
	for model := range demands {
		name, size := demands[model].Name, demands[model].Size
		created.current[model] = domain.groupCount(name)
		created.withModel[model] = domain.freeWithModel(name) + domain.Loading[name] + domain.Releasing[name] + domain.membersWithModel(&demands[model])
		accountedServers += created.current[model]*size + domain.Loading[name]
	}
	created.serverCount = domain.ServerCount
	if created.serverCount == 0 {
		created.serverCount = accountedServers
	}
	created.feasible = feasibleLayouts(created.serverCount, demands)
	created.chosen = created.initialLayout(demands)
	return created
}

// initialLayout returns the previous plan's layout if the domain still has enough servers for it,
// and the current layout otherwise. For a domain that has just lost a group, the descent thus
// starts from the layout with that group, which is the fastest one to restore.
func (domain *domainLayout) initialLayout(demands []Demand) layout {
	planned := make(layout, len(demands))
	for model := range demands {
		planned[model] = domain.Planned[demands[model].Name]
	}
	if len(domain.Planned) == 0 || planned.serverCount(demands) > domain.serverCount {
		return domain.current
	}
	return planned
}

// maxFeasibleLayouts bounds the layouts that are evaluated per domain.
const maxFeasibleLayouts = 512

// feasibleLayouts returns the layouts that a domain with the given number of servers can hold, at
// most maxFeasibleLayouts.
func feasibleLayouts(servers int, demands []Demand) []layout {
	layouts := []layout{{}}
	for model := range demands {
		extended := []layout{}
		for _, partial := range layouts {
			left := servers - partial.serverCount(demands[:model])
			for count := 0; count*demands[model].Size <= left && len(extended) < maxFeasibleLayouts; count++ {
				extended = append(extended, append(append(layout{}, partial...), count))
			}
		}
		layouts = extended
	}
	return layouts
}

// serverCount returns the number of servers that the groups of the layout need.
func (layout layout) serverCount(demands []Demand) int {
	sum := 0
	for model, count := range layout {
		sum += count * max(1, demands[model].Size)
	}
	return sum
}

// expectedServing returns the expected number of servers that serve a model under a layout, after
// losses.
func (domain *domainLayout) expectedServing(layout layout, model int, demands []Demand) float64 {
	spare := max(0, domain.serverCount-layout.serverCount(demands))
	lossShare := lossWithoutSpare * math.Pow(lossFactorPerSpare, float64(spare))
	return float64(layout[model]*demands[model].Size) * (1 - lossShare)
}

// improve moves each domain to its best layout and reports whether any domain changed.
func (optimizer *optimizer) improve() bool {
	changed := false
	for _, domain := range optimizer.domains {
		best, bestCost := domain.chosen, optimizer.costWith(domain, domain.chosen)-minGain
		for _, option := range domain.feasible {
			if cost := optimizer.costWith(domain, option); cost < bestCost {
				best, bestCost = option, cost
			}
		}
		if !best.equals(domain.chosen) {
			optimizer.setLayout(domain, best)
			changed = true
		}
	}
	return changed
}

func (layout layout) equals(other layout) bool {
	for model := range layout {
		if layout[model] != other[model] {
			return false
		}
	}
	return true
}

// setLayout chooses a layout for a domain and updates the serving servers of each model.
func (optimizer *optimizer) setLayout(domain *domainLayout, to layout) {
	for model := range optimizer.demands {
		optimizer.serving[model] += domain.expectedServing(to, model, optimizer.demands) - domain.expectedServing(domain.chosen, model, optimizer.demands)
	}
	domain.chosen = to
}

// minServingServers is the lower bound of the divisors in the cost, for a model that nothing
// serves.
const minServingServers = 0.5

// costWith returns the total cost if the domain changes to the layout.
func (optimizer *optimizer) costWith(domain *domainLayout, option layout) float64 {
	previous := domain.chosen
	optimizer.setLayout(domain, option)
	cost := optimizer.servingCost()
	optimizer.setLayout(domain, previous)
	if optimizer.freeTransitions {
		return cost
	}
	return cost + domain.transitionCost(option, optimizer.demands, optimizer.totalServers)/max(1, optimizer.totalServers)
}

// servingCost returns the cost of serving under the chosen layouts.
func (optimizer *optimizer) servingCost() float64 {
	desired, cost := 0.0, 0.0
	for model := range optimizer.demands {
		servers := optimizer.demands[model].desiredServers()
		desired += servers
		cost += servers * servers / max(optimizer.serving[model], minServingServers)
	}
	return cost / max(desired, minServingServers)
}

// desiredServers returns the number of servers that a model should have.
func (demand *Demand) desiredServers() float64 {
	return max(demand.Desired, minDesiredGroups) * float64(demand.Size)
}

// minDesiredGroups is the minimum number of groups that a model counts as desired, also while it
// has no calls.
const minDesiredGroups = 0.25

// transitionCost returns the cost of a change from the current layout. It counts the servers of
// retired groups and of new groups that wait for a load, each for the fraction of the horizon
// that it is unavailable, and the use of the weight store.
func (domain *domainLayout) transitionCost(option layout, demands []Demand, total float64) float64 {
	unavailable := 0.0
	for model := range demands {
		size := demands[model].Size
		if retired := domain.current[model] - option[model]; retired > 0 {
			unavailable += float64(retired) * (float64(size)*retireSeconds/planHorizonSeconds + minGainPerRetiredGroup*total)
			continue
		}
		added := option[model] - domain.current[model]
		loads := max(0, added*size-domain.withModel[model])
		waiting := (loads + size - 1) / size * size
		unavailable += (float64(waiting) + float64(loads)*storeLoadCost) * demands[model].loadSeconds() / planHorizonSeconds
	}
	return unavailable
}

func (demand *Demand) loadSeconds() float64 {
	if demand.LoadTime <= 0 {
		return defaultLoadSeconds
	}
	return demand.LoadTime.Seconds()
}

// defaultLoadSeconds is the load time of a model without a configured one.
const defaultLoadSeconds = 15
