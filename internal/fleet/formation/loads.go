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
	// insuredOnce is what is left of the score of a load for a spare with each spare
	// that is there. Without one it is the square of the group's size: larger groups
	// are hit more often, and more servers wait for each loss.
	insuredOnce = 0.2
)

// wants returns the loads that would help in one domain.
func (planner *planner) wants(site *site) []want {
	found := []want{}
	pool := append([]Spare{}, site.Spares...)
	for model := range planner.demands {
		demand := &planner.demands[model]
		coming := site.Loading[demand.Name] + site.Soon[demand.Name] + site.prepared(demand)
		for missing := site.chosen[model] - site.has(demand.Name); missing > 0; missing-- {
			found = append(found, planner.forGroup(site, demand, &pool, &coming)...)
		}
	}
	return append(found, planner.forSpares(site, pool)...)
}

// forGroup returns the loads that a group lacks that the domain should have. It
// takes the servers of the group out of the pool, and out of those that come with the
// model.
func (planner *planner) forGroup(site *site, demand *Demand, pool *[]Spare, coming *int) []want {
	used := min(*coming, demand.Size)
	*coming -= used
	rest, lacking := []Spare{}, demand.Size-used
	for _, spare := range *pool {
		if spare.has(demand.Name) && lacking > 0 {
			lacking--
			continue
		}
		rest = append(rest, spare)
	}
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

// forSpares returns the loads by which the servers that are left insure the
// groups of the domain.
func (planner *planner) forSpares(site *site, pool []Spare) []want {
	found := []want{}
	have := planner.insured(site, pool)
	for _, spare := range pool {
		if spare.Staging != "" || len(spare.Staged) > 0 {
			continue
		}
		model, score := planner.bestInsured(site, have)
		have[model]++
		found = append(found, want{site: site, id: spare.ID, model: planner.demands[model].Name, score: score})
	}
	return append(found, planner.besideWork(site, have)...)
}

// insured counts, by model, the servers that would replace one that is lost.
func (planner *planner) insured(site *site, pool []Spare) []int {
	have := make([]int, len(planner.demands))
	for model := range planner.demands {
		name := planner.demands[model].Name
		have[model] = site.Loading[name] + site.Soon[name] + site.prepared(&planner.demands[model]) + countWith(pool, name)
	}
	return have
}

// besideWork returns the loads onto a member of a smaller group, where the domain
// has a group of a model and nothing to replace its members. A server starts what
// it ran last without the weights on its host, so it loses nothing by another's.
//
// It is one load a model and domain: more of them keep the weight store from groups
// that wait.
func (planner *planner) besideWork(site *site, have []int) []want {
	found := []want{}
	for model := range planner.demands {
		demand := &planner.demands[model]
		if site.has(demand.Name) == 0 || have[model] > 0 {
			continue
		}
		if member := site.smallerMember(demand); member != nil {
			found = append(found, want{site: site, id: member.ID, model: demand.Name, score: planner.insurance(site, model, 0) * besideShare})
		}
	}
	return found
}

// besideShare is what a load beside other work counts, in parts of one for a server
// that is free.
const besideShare = 0.2

// smallerMember is a member of a smaller group that could hold a model, nil for
// none: not the head, whose host is the one that calls wait for.
func (site *site) smallerMember(demand *Demand) *Spare {
	for number := range site.Serving {
		members := site.Serving[number].Members
		last := &members[len(members)-1]
		if len(members) > 1 && len(members) < demand.Size && last.Staging == "" {
			return last
		}
	}
	return nil
}

// bestInsured is the model of which one more spare helps most.
func (planner *planner) bestInsured(site *site, have []int) (model int, score float64) {
	for number := range planner.demands {
		if value := planner.insurance(site, number, have[number]); number == 0 || value > score {
			model, score = number, value
		}
	}
	return model, score
}

// insurance is what one more spare of a model helps in a domain that has some.
func (planner *planner) insurance(site *site, model, spares int) float64 {
	demand := &planner.demands[model]
	groups := max(float64(site.has(demand.Name)), unformed)
	return groups * float64(demand.Size*demand.Size) * math.Pow(insuredOnce, float64(spares))
}

// unformed is what a model counts of which the domain has no group: its spares
// may be the beginning of one.
const unformed = 0.1
