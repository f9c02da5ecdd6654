package formation

import (
	"math"
	"slices"
	"sort"
)

// want is one load that would help.
type want struct {
	site  *site
	id    string
	model string
	score float64
	// urgent says that a group waits for it.
	urgent bool
}

// loadAll plans loads, those that help most first.
func (planner *planner) loadAll() {
	wants := []want{}
	for _, site := range planner.sites {
		wants = append(wants, planner.wants(site)...)
	}
	sort.SliceStable(wants, func(i, j int) bool { return wants[i].score > wants[j].score })
	for _, want := range wants {
		planner.steps = append(planner.steps, Step{Stage: true, Model: want.model, Members: []string{want.id}, Loads: 1, Urgent: want.urgent})
		want.site.load(want.id, want.model)
	}
}

const (
	// completes is what the load for a group that lacks one server scores, by the
	// group's size; a load for one that lacks more scores a part of it.
	completes = 100
	// insures is what the load for a spare scores in a domain with one group of
	// the model, by the square of its size: larger groups are hit more often, and
	// more servers wait for each loss.
	insures = 1
	// insuredOnce is what of that is left with each spare that is there.
	insuredOnce = 0.2
)

// wants returns the loads that would help in one domain.
func (planner *planner) wants(site *site) []want {
	found := []want{}
	pool := append([]Spare{}, site.Spares...)
	for model := range planner.demands {
		demand := &planner.demands[model]
		missing := site.chosen[model] - site.has(demand.Name)
		if missing <= 0 {
			continue
		}
		found = append(found, planner.forGroup(site, demand, &pool)...)
	}
	return append(found, planner.forSpares(site, pool)...)
}

// forGroup returns the loads that a group lacks that the domain should have. It
// takes the servers of the group out of the pool.
func (planner *planner) forGroup(site *site, demand *Demand, pool *[]Spare) []want {
	rest, lacking := []Spare{}, demand.Size-site.Loading[demand.Name]-site.Soon[demand.Name]
	for _, spare := range *pool {
		if spare.has(demand.Name) && lacking > 0 {
			lacking--
			continue
		}
		rest = append(rest, spare)
	}
	prepared := site.prepared(demand)
	lacking = max(0, lacking-prepared)
	score := completes * float64(demand.Size) / float64(1+lacking)
	found := []want{}
	sort.SliceStable(rest, func(i, j int) bool { return len(rest[i].Staged) < len(rest[j].Staged) })
	rest = slices.DeleteFunc(rest, func(spare Spare) bool { return spare.Staging != "" })
	for lacking > 0 && len(rest) > 0 {
		found = append(found, want{site: site, id: rest[0].ID, model: demand.Name, score: score, urgent: true})
		rest = rest[1:]
		lacking--
	}
	*pool = rest
	return found
}

// forSpares returns the loads by which the servers that are left, and the members
// of serving groups beside their work, insure the groups of the domain. A server
// starts the model that it ran last without its weights on the host, so it can hold
// another there, and be of use to two models.
func (planner *planner) forSpares(site *site, pool []Spare) []want {
	found := []want{}
	have := make([]int, len(planner.demands))
	for model := range planner.demands {
		name := planner.demands[model].Name
		have[model] = site.Loading[name] + site.Soon[name] + site.prepared(&planner.demands[model])
		for _, spare := range pool {
			if spare.has(name) {
				have[model]++
			}
		}
	}
	add := func(server *Spare, idle bool) {
		model, score := planner.bestInsured(site, server, have)
		if model < 0 {
			return
		}
		have[model]++
		if !idle {
			score *= besideWork
		}
		found = append(found, want{site: site, id: server.ID, model: planner.demands[model].Name, score: score})
	}
	for _, spare := range pool {
		if spare.Staging == "" && (len(spare.Staged) == 0 || spare.holds(spare.Last)) {
			add(&spare, len(spare.Staged) == 0)
		}
	}
	for number := range site.Serving {
		for _, member := range site.Serving[number].Members {
			if member.Staging == "" && member.holds(member.Last) {
				add(&member, false)
			}
		}
	}
	return found
}

// besideWork is what a load for a server that is of use as it is counts beside one
// for an empty server.
const besideWork = 0.2

// bestInsured is the model that a server lacks and of which one more spare helps
// most, -1 for none.
func (planner *planner) bestInsured(site *site, server *Spare, have []int) (model int, score float64) {
	model = -1
	for number := range planner.demands {
		if server.has(planner.demands[number].Name) {
			continue
		}
		if value := planner.insurance(site, number, have[number]); model < 0 || value > score {
			model, score = number, value
		}
	}
	return model, score
}

// insurance is what one more spare of a model helps in a domain that has some.
func (planner *planner) insurance(site *site, model, spares int) float64 {
	demand := &planner.demands[model]
	groups := max(float64(site.has(demand.Name)), unformed)
	return insures * groups * float64(demand.Size*demand.Size) * math.Pow(insuredOnce, float64(spares))
}

// unformed is what a model counts of which the domain has no group: its spares
// may be the beginning of one.
const unformed = 0.1
