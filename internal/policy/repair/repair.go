// Package repair plans the groups of one fabric domain: which groups to form, which to retire, and when to wait.
//
// Plan is a pure function of a DomainState, so that the same facts lead to the same plan on every node and each plan
// can be explained. It executes nothing.
//
// For each alternative the planner estimates the cost of the next minutes: the downtime price of the groups that do
// not serve, and the idle price of healthy servers that are not serving. It picks the cheapest alternative. How soon an
// unresponsive server comes back is learned from experience (see Recovery).
//
// # Usage
//
//	for _, action := range repair.Plan(domainState) {
//		// action.Kind, action.Model, action.Servers, action.Cause
//	}
package repair

import (
	"fmt"
	"slices"
	"time"
)

// Kind is the kind of an Action.
type Kind string

const (
	// Form creates a new group of Servers.
	Form Kind = "Form"
	// Retire dissolves the group Number.
	Retire Kind = "Retire"
	// Wait leaves the group Number unchanged, for the reason in Cause.
	Wait Kind = "Wait"
)

// Model is a model that the domain may serve. DowntimePrice is the cost of a second in which a wanted group of the
// model does not serve. Wanted is the number of wanted groups, 0 for as many as fit.
type Model struct {
	Name          string
	Size          int
	DowntimePrice float64
	Wanted        int
}

// Group is a group of servers in the domain.
type Group struct {
	Number  uint64
	Model   string
	Members []string
	Serving bool
	// Draining is set if a member is leaving.
	Draining bool
	// UnresponsiveFor is the longest time for which a member has not responded, 0 if all respond.
	UnresponsiveFor time.Duration
	// UnresponsiveMembers is the number of members that do not respond.
	UnresponsiveMembers int
	// Inconsistent is set if a member responds but is not in this group. Such a group cannot resume as it is.
	Inconsistent bool
	// Unreachable is set if no member responds, so that no order can be given to the group.
	Unreachable bool
	// Running is the number of responses in progress.
	Running uint32
}

// DomainState is the complete input of a plan.
type DomainState struct {
	Models []Model
	Groups []Group
	// Free lists the idle, healthy servers in order.
	Free []string
	// Unresponsive lists how long each unresponsive server outside a group has not responded.
	Unresponsive []time.Duration
	// GracePeriod is the least time to wait for an unresponsive member before its group is retired.
	GracePeriod time.Duration
	// IdlePrice is the cost of a second of one healthy server that is not serving.
	IdlePrice float64
	// LoadTime is how long a new group takes until it serves.
	LoadTime time.Duration
	Recovery Recovery
}

// Action is one step of a plan.
type Action struct {
	Kind    Kind
	Number  uint64
	Model   string
	Servers []string
	Cause   string
}

// Plan returns the actions to take now: those that are forced, followed by the cheapest alternative for all other
// groups.
func Plan(domainState DomainState) []Action {
	actions := []Action{}
	kept := []Group{}
	for _, group := range domainState.Groups {
		action, keep := forcedAction(group)
		if action.Kind != "" {
			actions = append(actions, action)
		}
		if keep {
			kept = append(kept, group)
		}
	}
	domainState.Groups = kept
	return append(actions, cheapestActions(domainState)...)
}

// forcedAction decides about groups that leave no choice. keep is set for groups that need a decision by cost.
func forcedAction(group Group) (action Action, keep bool) {
	switch {
	case group.Unreachable:
		return Action{Kind: Wait, Number: group.Number, Cause: "no member answers"}, false
	case group.Inconsistent:
		return Action{Kind: Retire, Number: group.Number, Cause: "a member is in another group or in none"}, false
	case group.Draining && group.Running == 0:
		return Action{Kind: Retire, Number: group.Number, Cause: "a member is leaving and nothing runs any more"}, false
	case group.Draining:
		return Action{Kind: Wait, Number: group.Number, Cause: "a member is leaving and answers are still under way"}, false
	}
	return Action{}, true
}

// alternative is a set of actions to compare: the existing groups to retire, and the number of groups of each model
// to form from the servers that are then free.
type alternative struct {
	retiredGroups  []int
	formedPerModel []int
	cost           float64
}

// cheapestActions compares the alternatives and returns the actions of the cheapest. Alternatives that retire fewer
// groups come first and win a tie.
func cheapestActions(domainState DomainState) []Action {
	best, found := alternative{}, false
	wanted := wantedGroups(domainState)
	for _, retired := range retirementSets(domainState) {
		for _, formed := range formationCounts(domainState, retired) {
			candidate := alternative{retiredGroups: retired, formedPerModel: formed}
			candidate.cost = expectedCost(domainState, wanted, candidate)
			if !found || candidate.cost < best.cost*(1-minSaving) {
				best, found = candidate, true
			}
		}
	}
	return best.actions(domainState)
}

// minSaving is the fraction by which an alternative must be cheaper than one that does less. It keeps plans from
// switching between alternatives of about the same cost.
const minSaving = 0.01

const (
	// maxUnresponsiveGroups bounds the unresponsive groups that are considered one by one. With more of them, the
	// whole domain has a problem, and they are considered only together.
	maxUnresponsiveGroups = 4
	// maxPreemptibleGroups bounds the serving groups that are considered for preemption.
	maxPreemptibleGroups = 3
)

// retirementSets lists the sets of groups to consider for retirement: every subset of the groups whose
// members have been unresponsive for longer than the grace period, alone or together with serving groups that could be
// preempted for a more valuable model.
func retirementSets(domainState DomainState) [][]int {
	unresponsive, preemptible := []int{}, []int{}
	for index, group := range domainState.Groups {
		switch {
		case group.UnresponsiveFor > domainState.GracePeriod:
			unresponsive = append(unresponsive, index)
		case group.UnresponsiveFor == 0 && group.Serving && domainState.preemptible(group):
			preemptible = append(preemptible, index)
		}
	}
	sets := [][]int{{}}
	if len(unresponsive) > maxUnresponsiveGroups {
		sets = append(sets, unresponsive)
	} else {
		for _, index := range unresponsive {
			for _, set := range sets {
				sets = append(sets, append(slices.Clone(set), index))
			}
		}
	}
	for _, index := range preemptible[:min(len(preemptible), maxPreemptibleGroups)] {
		for _, set := range slices.Clone(sets) {
			sets = append(sets, append(slices.Clone(set), index))
		}
	}
	return sets
}

// preemptible reports whether a model that lacks a wanted group could use the members of this group, because that
// model has a higher downtime price or this group exceeds the wanted number.
func (domainState DomainState) preemptible(group Group) bool {
	own, ok := domainState.modelIndex(group.Model)
	if !ok {
		return true
	}
	wanted := wantedGroups(domainState)
	active := domainState.activeGroups()
	for index, model := range domainState.Models {
		preferred := model.DowntimePrice > domainState.Models[own].DowntimePrice || active[own] > wanted[own]
		if index != own && preferred && active[index] < wanted[index] {
			return true
		}
	}
	return false
}

func (domainState DomainState) modelIndex(name string) (int, bool) {
	index := slices.IndexFunc(domainState.Models, func(model Model) bool { return model.Name == name })
	return index, index >= 0
}

// activeGroups counts the groups of each model that serve or are about to serve.
func (domainState DomainState) activeGroups() []int {
	counts := make([]int, len(domainState.Models))
	for _, group := range domainState.Groups {
		if index, ok := domainState.modelIndex(group.Model); ok && group.UnresponsiveFor == 0 {
			counts[index]++
		}
	}
	return counts
}

// countServers returns the number of servers in the domain, including unresponsive ones.
func (domainState DomainState) countServers() int {
	count := len(domainState.Free) + len(domainState.Unresponsive)
	for _, group := range domainState.Groups {
		count += len(group.Members)
	}
	return count
}

// wantedGroups returns how many groups of each model the domain would hold if all its servers were healthy. Downtime
// is measured against these numbers.
func wantedGroups(domainState DomainState) []int {
	return allocate(domainState.Models, make([]int, len(domainState.Models)), domainState.countServers())
}

// allocate repeatedly gives free servers to the most valuable model until no group fits any more, and returns the
// resulting number of groups of each model.
func allocate(models []Model, active []int, free int) []int {
	counts := slices.Clone(active)
	for {
		index, ok := mostValuableModel(models, counts, free)
		if !ok {
			return counts
		}
		counts[index]++
		free -= models[index].Size
	}
}

// mostValuableModel returns the model whose next group has the highest value. The value is the downtime price divided
// by one plus the number of groups that the model already has, so that every model gets its first group.
func mostValuableModel(models []Model, counts []int, free int) (int, bool) {
	best, bestValue, found := 0, 0.0, false
	for index, model := range models {
		if model.Size > free || (model.Wanted > 0 && counts[index] >= model.Wanted) {
			continue
		}
		value := model.DowntimePrice / float64(1+counts[index])
		if !found || value > bestValue {
			best, bestValue, found = index, value, true
		}
	}
	return best, found
}

// formationCounts lists the numbers of groups of each model to consider forming: all that fit, by value; groups of
// one model only, so that free servers are not used up by groups smaller than the one the domain is waiting for; or
// none.
func formationCounts(domainState DomainState, retired []int) [][]int {
	free := len(domainState.Free)
	remaining := domainState
	remaining.Groups = nil
	for index, group := range domainState.Groups {
		if slices.Contains(retired, index) {
			free += len(group.Members) - group.UnresponsiveMembers
			continue
		}
		remaining.Groups = append(remaining.Groups, group)
	}
	counts := remaining.activeGroups()
	candidates := [][]int{subtract(allocate(domainState.Models, counts, free), counts)}
	add := func(formed []int) {
		equal := func(other []int) bool { return slices.Equal(formed, other) }
		if !slices.ContainsFunc(candidates, equal) {
			candidates = append(candidates, formed)
		}
	}
	for index := range domainState.Models {
		only := []Model{}
		for other, model := range domainState.Models {
			if other != index {
				model.Size = free + 1
			}
			only = append(only, model)
		}
		add(subtract(allocate(only, counts, free), counts))
	}
	add(make([]int, len(domainState.Models)))
	return candidates
}

func subtract(a, b []int) []int {
	difference := make([]int, len(a))
	for index := range a {
		difference[index] = a[index] - b[index]
	}
	return difference
}

// actions converts an alternative to actions. Groups to be formed from members of retired groups are left to a later
// plan, once these members report that they are free.
func (alternative alternative) actions(domainState DomainState) []Action {
	actions := []Action{}
	for index, group := range domainState.Groups {
		switch {
		case slices.Contains(alternative.retiredGroups, index) && group.UnresponsiveFor > 0:
			actions = append(actions, Action{Kind: Retire, Number: group.Number, Cause: fmt.Sprintf("a member has not answered for %s and waiting would cost more", group.UnresponsiveFor.Round(time.Second))})
		case slices.Contains(alternative.retiredGroups, index):
			actions = append(actions, Action{Kind: Retire, Number: group.Number, Cause: "its members are worth more elsewhere"})
		case group.UnresponsiveFor > 0:
			actions = append(actions, Action{Kind: Wait, Number: group.Number, Cause: "a silent member may come back, and waiting costs less"})
		}
	}
	free := domainState.Free
	active := domainState.activeGroups()
	for index, count := range alternative.formedPerModel {
		for range count {
			model := domainState.Models[index]
			if len(free) < model.Size {
				break
			}
			actions = append(actions, Action{
				Kind: Form, Model: model.Name, Servers: free[:model.Size:model.Size],
				Cause: fmt.Sprintf("%s has %d groups here", model.Name, active[index]),
			})
			free = free[model.Size:]
			active[index]++
		}
	}
	return actions
}
