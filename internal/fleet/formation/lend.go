package formation

import (
	"slices"
)

// Lender is a serving group of a domain. A member of a small group can have a
// larger model staged on its host while it serves, and so be a spare of it that
// is not idle.
type Lender struct {
	Group   Group
	Size    int
	Members []Spare
}

// lendMargin is how much fuller the lender's model must be supplied than the
// borrower's, in parts of what is wanted, so that servers don't go back and
// forth.
const lendMargin = 0.1

// shadows counts the members that have the model staged.
func (lender *Lender) shadows(model string) int {
	count := 0
	for _, member := range lender.Members {
		if slices.Contains(member.Staged, model) {
			count++
		}
	}
	return count
}

// shadows counts the members of smaller groups that have a model staged.
func (domain *Domain) shadows(demand *Demand) int {
	count := 0
	for number := range domain.Lenders {
		if domain.Lenders[number].Size < demand.Size {
			count += domain.Lenders[number].shadows(demand.Name)
		}
	}
	return count
}

// lendAll lets groups of smaller models lend servers to larger ones. A large
// group that loses a member strands the rest of its servers when its domain has
// no spare, for as long as a load takes. So a member of a small group has the
// large model staged ahead, beside its work; when the rest of a large group
// lacks just that server, the small group ends, after it has finished what it
// runs. Its other servers find a partner sooner than those of a large group.
func (planner *planner) lendAll() {
	if planner.fromStore {
		return
	}
	for _, demand := range planner.bySize() {
		for number := range planner.domains {
			domain := &planner.domains[number]
			if !planner.lend(domain, demand) {
				planner.stageShadow(domain, demand)
			}
		}
	}
}

// lend ends a small group that completes a large one and says whether it did.
func (planner *planner) lend(domain *Domain, demand *Demand) bool {
	staged := domain.staged(demand.Name)
	if staged == 0 || staged >= demand.Size {
		return false
	}
	for number := range domain.Lenders {
		lender := &domain.Lenders[number]
		from := planner.demand(lender.Group.Model)
		if from == nil || lender.Size >= demand.Size || staged+lender.shadows(demand.Name) < demand.Size {
			continue
		}
		if demand.share()+lendMargin > from.share() {
			continue
		}
		planner.steps = append(planner.steps, Step{Retire: true, Model: demand.Name, Group: lender.Group})
		from.Have--
		return true
	}
	return false
}

// stageShadow plans to stage a model on a member of a smaller group, where the
// domain has a group of the model, or most of one, and no spare.
func (planner *planner) stageShadow(domain *Domain, demand *Demand) {
	ready := domain.staged(demand.Name) + domain.shadows(demand) + domain.Loading[demand.Name]
	insures := domain.Groups[demand.Name] > 0 && ready == 0
	completes := domain.staged(demand.Name) > 0 && ready == demand.Size-1 && demand.share() < 1
	if !insures && !completes {
		return
	}
	for number := range domain.Lenders {
		lender := &domain.Lenders[number]
		if lender.Size >= demand.Size || lender.shadows(demand.Name) > 0 {
			continue
		}
		// Not the head: its host is the one that calls wait for.
		last := lender.Members[len(lender.Members)-1]
		planner.steps = append(planner.steps, Step{Stage: true, Model: demand.Name, Members: []string{last.ID}, Loads: 1})
		domain.Loading[demand.Name]++
		return
	}
}

func (planner *planner) demand(model string) *Demand {
	for number := range planner.demands {
		if planner.demands[number].Name == model {
			return &planner.demands[number]
		}
	}
	return nil
}
