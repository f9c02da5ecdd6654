package formation

import (
	"math"
	"slices"
	"sort"

	"hazelslip/internal/state/configuration"
)

// Spare is a server, as the planner sees it.
type Spare struct {
	ID string
	// Staged are the models on its host, Last is the one that it last ran, which
	// it starts again without them.
	Staged []string
	Last   string
	// Staging is the model that is being loaded onto its host, which may take the
	// place of what lies there. Until then it joins groups of Last only.
	Staging string
}

// has says whether a server joins a group of the model without a load.
func (spare *Spare) has(model string) bool {
	return spare.Last == model || (spare.Staging == "" && slices.Contains(spare.Staged, model))
}

// Domain is the free servers of one fabric domain and the groups that it has,
// by model.
type Domain struct {
	Name   string
	Spares []Spare
	Groups map[string]int
	// Serving are the groups that serve and that nothing is being done to.
	Serving []Standing
	// Servers is how many servers there are to use, in groups or not.
	Servers int
	// Loading counts the servers that are having a model staged, members of groups
	// too. They are no spares of it yet: a group formed of them would load in their
	// join, past the bound on loads.
	Loading map[string]int
	// Planned is the layout that was chosen last, by model, empty at first.
	Planned map[string]int
	// Soon counts the servers that come free in a moment, by the model that they
	// ran last.
	Soon map[string]int
}

// load takes a server out of the spares to have a model staged.
func (domain *Domain) load(id, model string) {
	domain.take([]string{id})
	domain.Loading[model]++
}

// Demand is what is wanted of one model.
type Demand struct {
	configuration.Model
	// Have counts groups that serve or are in the making, Want is how many
	// there should be.
	Have int
	Want float64
}

// Standing is a group of a domain that serves.
type Standing struct {
	Group   Group
	Members []Spare
}

// prepared counts the members that have the model staged beside their work. A
// member of a small group can so be a spare of a larger model that is not idle.
func (standing *Standing) prepared(model string) int {
	return countWith(standing.Members, model)
}

// countWith counts the servers that join a group of the model without a load.
func countWith(servers []Spare, model string) int {
	count := 0
	for number := range servers {
		if servers[number].has(model) {
			count++
		}
	}
	return count
}

func (demand *Demand) share() float64 {
	if demand.Want <= 0 {
		return math.Inf(1)
	}
	return float64(demand.Have) / demand.Want
}

// has is how many groups of a model the domain has, with those in the making.
func (domain *Domain) has(model string) int {
	return max(domain.Groups[model], domain.standing(model))
}

// standing counts the groups of a model that serve and that nothing is being done
// to.
func (domain *Domain) standing(model string) int {
	count := 0
	for number := range domain.Serving {
		if domain.Serving[number].Group.Model == model {
			count++
		}
	}
	return count
}

// prepared counts the members of other models' groups that have a model staged.
func (domain *Domain) prepared(demand *Demand) int {
	count := 0
	for number := range domain.Serving {
		if domain.Serving[number].Group.Model != demand.Name {
			count += domain.Serving[number].prepared(demand.Name)
		}
	}
	return count
}

func (domain *Domain) staged(model string) int {
	return countWith(domain.Spares, model)
}

// choose returns a group's members: servers with the model first, then those
// with nothing staged.
func (domain *Domain) choose(model configuration.Model) []string {
	rank := func(spare Spare) int {
		switch {
		case spare.Last == model.Name:
			return 0
		case spare.has(model.Name):
			return 1
		case len(spare.Staged) == 0:
			return 2
		default:
			return 3
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
		if !slices.Contains(members, spare.ID) {
			kept = append(kept, spare)
		}
	}
	domain.Spares = kept
}
