package formation

import (
	"math"
	"slices"
	"sort"
)

// loadCandidate is a load of a model onto a server that would be useful.
type loadCandidate struct {
	domain   *domainLayout
	serverID string
	model    string
	score    float64
	// urgent is set if a group waits for the load.
	urgent bool
}

// planLoads plans the useful loads, those with the highest score first.
func (planner *planner) planLoads() {
	candidates := []loadCandidate{}
	for _, domain := range planner.domains {
		candidates = append(candidates, planner.loadCandidates(domain)...)
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].score > candidates[j].score })
	for _, candidate := range candidates {
		planner.steps = append(planner.steps, Step{Stage: true, Model: candidate.model, Members: []string{candidate.serverID}, Loads: 1, Urgent: candidate.urgent})
		candidate.domain.startStaging(candidate.serverID, candidate.model)
	}
}

const (
	// missingGroupScore is the score, per server of the group, of the load for a group that lacks
	// one server. A load for a group that lacks more servers scores a fraction of it.
	missingGroupScore = 100
	// valueFactorPerSpare is the factor by which each existing spare reduces the score of a load
	// for another spare. Without a spare, the score is the number of groups times the square of
	// their size: larger groups lose members more often, and more servers wait after each loss.
	valueFactorPerSpare = 0.2
)

// loadCandidates returns the useful loads of one domain.
func (planner *planner) loadCandidates(domain *domainLayout) []loadCandidate {
	found := []loadCandidate{}
	available := append([]ServerInfo{}, domain.FreeServers...)
	for model := range planner.demands {
		demand := &planner.demands[model]
		pending := domain.Loading[demand.Name] + domain.Releasing[demand.Name] + domain.membersWithModel(demand)
		for missing := domain.chosen[model] - domain.groupCount(demand.Name); missing > 0; missing-- {
			found = append(found, planner.loadsForMissingGroup(domain, demand, &available, &pending)...)
		}
	}
	return append(found, planner.loadsForSpares(domain, available)...)
}

// loadsForMissingGroup returns the loads that one planned but missing group of a model needs. It
// removes the group's servers from the available servers, and from the pending servers that will
// become free with the model.
func (planner *planner) loadsForMissingGroup(domain *domainLayout, demand *Demand, available *[]ServerInfo, pending *int) []loadCandidate {
	used := min(*pending, demand.Size)
	*pending -= used
	remaining, lacking := []ServerInfo{}, demand.Size-used
	for _, server := range *available {
		if server.startsWithoutLoad(demand.Name) && lacking > 0 {
			lacking--
			continue
		}
		remaining = append(remaining, server)
	}
	score := missingGroupScore * float64(demand.Size) / float64(1+lacking)
	found := []loadCandidate{}
	sort.SliceStable(remaining, func(i, j int) bool { return len(remaining[i].Staged) < len(remaining[j].Staged) })
	remaining = slices.DeleteFunc(remaining, func(server ServerInfo) bool { return server.Staging != "" })
	for lacking > 0 && len(remaining) > 0 {
		found = append(found, loadCandidate{domain: domain, serverID: remaining[0].ID, model: demand.Name, score: score, urgent: true})
		remaining = remaining[1:]
		lacking--
	}
	*available = remaining
	return found
}

// loadsForSpares returns the loads that turn the remaining free servers into spares for the groups
// of the domain.
func (planner *planner) loadsForSpares(domain *domainLayout, available []ServerInfo) []loadCandidate {
	found := []loadCandidate{}
	replacements := planner.replacementCounts(domain, available)
	for _, server := range available {
		if server.Staging != "" || len(server.Staged) > 0 {
			continue
		}
		model, score := planner.bestSpareModel(domain, replacements)
		replacements[model]++
		found = append(found, loadCandidate{domain: domain, serverID: server.ID, model: planner.demands[model].Name, score: score})
	}
	return append(found, planner.loadsOntoGroupMembers(domain, replacements)...)
}

// replacementCounts returns, by model, the number of servers that could replace a lost member.
func (planner *planner) replacementCounts(domain *domainLayout, available []ServerInfo) []int {
	replacements := make([]int, len(planner.demands))
	for model := range planner.demands {
		name := planner.demands[model].Name
		replacements[model] = domain.Loading[name] + domain.Releasing[name] + domain.membersWithModel(&planner.demands[model]) + countWithModel(available, name)
	}
	return replacements
}

// loadsOntoGroupMembers returns loads onto members of smaller groups, for models of which the
// domain has a group but no replacement for a member. Staging another model costs the member
// nothing, since a server restarts its last model without staged weights.
//
// It returns at most one load per model and domain: more would delay the loads of waiting groups in
// the weight store.
func (planner *planner) loadsOntoGroupMembers(domain *domainLayout, replacements []int) []loadCandidate {
	found := []loadCandidate{}
	for model := range planner.demands {
		demand := &planner.demands[model]
		if domain.groupCount(demand.Name) == 0 || replacements[model] > 0 {
			continue
		}
		if member := domain.memberOfSmallerGroup(demand); member != nil {
			found = append(found, loadCandidate{domain: domain, serverID: member.ID, model: demand.Name, score: planner.spareValue(domain, model, 0) * memberLoadWeight})
		}
	}
	return found
}

// memberLoadWeight is the score of a load onto a group member relative to the same load onto a free
// server.
const memberLoadWeight = 0.2

// memberOfSmallerGroup returns a member of a group smaller than the model's size onto which the
// model can be loaded, or nil if there is none. It never returns the head, because calls wait for
// the head's host.
func (domain *domainLayout) memberOfSmallerGroup(demand *Demand) *ServerInfo {
	for index := range domain.Serving {
		members := domain.Serving[index].Members
		last := &members[len(members)-1]
		if len(members) > 1 && len(members) < demand.Size && last.Staging == "" {
			return last
		}
	}
	return nil
}

// bestSpareModel returns the model for which one more spare has the highest value, and that value.
func (planner *planner) bestSpareModel(domain *domainLayout, replacements []int) (model int, score float64) {
	for index := range planner.demands {
		if value := planner.spareValue(domain, index, replacements[index]); index == 0 || value > score {
			model, score = index, value
		}
	}
	return model, score
}

// spareValue returns the value of one more spare for a model in a domain that already has some
// spares.
func (planner *planner) spareValue(domain *domainLayout, model, spares int) float64 {
	demand := &planner.demands[model]
	groups := max(float64(domain.groupCount(demand.Name)), weightWithoutGroup)
	return groups * float64(demand.Size*demand.Size) * math.Pow(valueFactorPerSpare, float64(spares))
}

// weightWithoutGroup is the number of groups that a model counts as having in a domain without a
// group of it. Its spares may become the first members of a group.
const weightWithoutGroup = 0.1
