// Package repair decides what to do with the servers of one fabric domain:
// which groups to form, which to take apart, and when to wait.
//
// It is a pure function of a Situation, so that the same facts give the same
// plan on every node and the plan can be explained. It gives no orders.
//
// Repair is a choice with a price. For each way to go on from a Situation the
// planner works out what the next minutes would cost: the groups that do not
// serve, at the price of downtime, and the healthy servers that stand idle, at
// the price of stranding. It takes the cheapest way. How soon a silent server
// comes back is learned (see Returns).
//
// # Usage
//
//	for _, action := range repair.Plan(situation) {
//		// action.Kind, action.Model, action.Servers, action.Cause
//	}
package repair

import (
	"fmt"
	"slices"
	"time"
)

// Kind is what an Action does.
type Kind string

const (
	// Form makes a new group of Servers.
	Form Kind = "Form"
	// Retire takes the group Number apart.
	Retire Kind = "Retire"
	// Wait leaves the group Number as it is, for Cause.
	Wait Kind = "Wait"
)

// Model is a model that the domain may serve. Worth is the price of a second
// in which a wanted group of it does not serve. Wanted is how many groups are
// asked for, 0 for as many as fit.
type Model struct {
	Name   string
	Size   int
	Worth  float64
	Wanted int
}

// Group is a group of the domain.
type Group struct {
	Number  uint64
	Model   string
	Members []string
	Serving bool
	// Draining marks a group with a leaving member.
	Draining bool
	// Silent is the longest time that a member has not answered, 0 if all do.
	Silent time.Duration
	// SilentMembers is how many members do not answer.
	SilentMembers int
	// Broken marks a group with a member that answers and is elsewhere; it
	// can not come back as it is.
	Broken bool
	// Dark marks a group of which no member answers, so none can be ordered.
	Dark bool
	// Running is the number of answers under way.
	Running uint32
}

// Situation is everything that a plan depends on.
type Situation struct {
	Models []Model
	Groups []Group
	// Free are the idle, healthy servers, ordered.
	Free []string
	// Away is how long each silent server outside a group has not answered.
	Away []time.Duration
	// Grace is how long a silent member is waited for at the least before its
	// group is taken apart.
	Grace time.Duration
	// Stranded is the price of a second of one healthy idle server.
	Stranded float64
	// Load is how long a new group takes until it serves.
	Load    time.Duration
	Returns Returns
}

// Action is one step of a plan.
type Action struct {
	Kind    Kind
	Number  uint64
	Model   string
	Servers []string
	Cause   string
}

// Plan returns what to do now: what has to be retired, then the cheapest way
// to go on from there.
func Plan(situation Situation) []Action {
	actions := []Action{}
	kept := []Group{}
	for _, group := range situation.Groups {
		action, stands := settle(group)
		if action.Kind != "" {
			actions = append(actions, action)
		}
		if stands {
			kept = append(kept, group)
		}
	}
	situation.Groups = kept
	return append(actions, cheapest(situation)...)
}

// settle decides about the groups that leave no choice.
func settle(group Group) (action Action, stands bool) {
	switch {
	case group.Dark:
		return Action{Kind: Wait, Number: group.Number, Cause: "no member answers"}, false
	case group.Broken:
		return Action{Kind: Retire, Number: group.Number, Cause: "a member is in another group or in none"}, false
	case group.Draining && group.Running == 0:
		return Action{Kind: Retire, Number: group.Number, Cause: "a member is leaving and nothing runs any more"}, false
	case group.Draining:
		return Action{Kind: Wait, Number: group.Number, Cause: "a member is leaving and answers are still under way"}, false
	}
	return Action{}, true
}

// way is one way to go on: which standing groups are retired, and how many
// groups of each model are formed from what is free then.
type way struct {
	retired []int
	formed  []int
	cost    float64
}

// cheapest compares the ways to go on and returns the actions of the best. Of
// ways that cost the same, the one that retires least comes first.
func cheapest(situation Situation) []Action {
	best, found := way{}, false
	wanted := wantedGroups(situation)
	for _, retired := range retirements(situation) {
		for _, formed := range formations(situation, retired) {
			candidate := way{retired: retired, formed: formed}
			candidate.cost = price(situation, wanted, candidate)
			if !found || candidate.cost < best.cost*(1-margin) {
				best, found = candidate, true
			}
		}
	}
	return best.actions(situation)
}

// margin is how much better a way must be to be preferred to one that does
// less, so that plans do not sway between equals.
const margin = 0.01

const (
	// silentMost bounds the groups that are weighed one by one; beyond it a
	// whole domain is in trouble, and they are taken together.
	silentMost = 4
	// takenMost bounds the serving groups that are weighed for being taken.
	takenMost = 3
)

// retirements lists the sets of groups worth considering: each choice of the
// groups with a silent member, alone or with one serving group whose members
// something worth more could use.
func retirements(situation Situation) [][]int {
	silent, taken := []int{}, []int{}
	for index, group := range situation.Groups {
		switch {
		case group.Silent > situation.Grace:
			silent = append(silent, index)
		case group.Silent == 0 && group.Serving && situation.givesWay(group):
			taken = append(taken, index)
		}
	}
	sets := [][]int{{}}
	if len(silent) > silentMost {
		sets = append(sets, silent)
	} else {
		for _, index := range silent {
			for _, set := range sets {
				sets = append(sets, append(slices.Clone(set), index))
			}
		}
	}
	for _, index := range taken[:min(len(taken), takenMost)] {
		for _, set := range slices.Clone(sets) {
			sets = append(sets, append(slices.Clone(set), index))
		}
	}
	return sets
}

// givesWay reports whether some model that lacks a wanted group could use this
// group's members: it is worth more, or this group is beyond what is wanted.
func (situation Situation) givesWay(group Group) bool {
	own, ok := situation.model(group.Model)
	if !ok {
		return true
	}
	wanted := wantedGroups(situation)
	standing := situation.standing()
	for index, model := range situation.Models {
		more := model.Worth > situation.Models[own].Worth || standing[own] > wanted[own]
		if index != own && more && standing[index] < wanted[index] {
			return true
		}
	}
	return false
}

func (situation Situation) model(name string) (int, bool) {
	index := slices.IndexFunc(situation.Models, func(model Model) bool { return model.Name == name })
	return index, index >= 0
}

// standing counts the groups of each model that serve or are about to.
func (situation Situation) standing() []int {
	counts := make([]int, len(situation.Models))
	for _, group := range situation.Groups {
		if index, ok := situation.model(group.Model); ok && group.Silent == 0 {
			counts[index]++
		}
	}
	return counts
}

// servers counts every server of the domain, the silent ones too.
func (situation Situation) servers() int {
	count := len(situation.Free) + len(situation.Away)
	for _, group := range situation.Groups {
		count += len(group.Members)
	}
	return count
}

// wantedGroups is how many groups of each model the domain would hold with
// every server there. Against it downtime is counted.
func wantedGroups(situation Situation) []int {
	return fill(situation.Models, make([]int, len(situation.Models)), situation.servers())
}

// fill gives free servers to the model that lacks groups most, until none
// fits, and returns how many groups of each there are then.
func fill(models []Model, standing []int, free int) []int {
	counts := slices.Clone(standing)
	for {
		index, ok := neediest(models, counts, free)
		if !ok {
			return counts
		}
		counts[index]++
		free -= models[index].Size
	}
}

// neediest is the model whose next group is worth most a server. The worth of
// a further group of the same model falls, so that every model gets its first
// one.
func neediest(models []Model, counts []int, free int) (int, bool) {
	best, bestWorth, found := 0, 0.0, false
	for index, model := range models {
		if model.Size > free || (model.Wanted > 0 && counts[index] >= model.Wanted) {
			continue
		}
		worth := model.Worth / float64(1+counts[index])
		if !found || worth > bestWorth {
			best, bestWorth, found = index, worth, true
		}
	}
	return best, found
}

// formations lists how many groups of each model to form: all that fit, by
// need; none that is smaller than what the domain waits for; or none at all.
func formations(situation Situation, retired []int) [][]int {
	free := len(situation.Free)
	after := situation
	after.Groups = nil
	for index, group := range situation.Groups {
		if slices.Contains(retired, index) {
			free += len(group.Members) - group.SilentMembers
			continue
		}
		after.Groups = append(after.Groups, group)
	}
	counts := after.standing()
	ways := [][]int{minus(fill(situation.Models, counts, free), counts)}
	add := func(formed []int) {
		same := func(other []int) bool { return slices.Equal(formed, other) }
		if !slices.ContainsFunc(ways, same) {
			ways = append(ways, formed)
		}
	}
	for index := range situation.Models {
		only := []Model{}
		for other, model := range situation.Models {
			if other != index {
				model.Size = free + 1
			}
			only = append(only, model)
		}
		add(minus(fill(only, counts, free), counts))
	}
	add(make([]int, len(situation.Models)))
	return ways
}

func minus(a, b []int) []int {
	difference := make([]int, len(a))
	for index := range a {
		difference[index] = a[index] - b[index]
	}
	return difference
}

// actions turns a way into orders. Groups that are formed from the members of
// retired ones are formed by a later plan, when those report that they are
// free.
func (way way) actions(situation Situation) []Action {
	actions := []Action{}
	for index, group := range situation.Groups {
		switch {
		case slices.Contains(way.retired, index) && group.Silent > 0:
			actions = append(actions, Action{Kind: Retire, Number: group.Number, Cause: fmt.Sprintf("a member has not answered for %s and waiting would cost more", group.Silent.Round(time.Second))})
		case slices.Contains(way.retired, index):
			actions = append(actions, Action{Kind: Retire, Number: group.Number, Cause: "its members are worth more elsewhere"})
		case group.Silent > 0:
			actions = append(actions, Action{Kind: Wait, Number: group.Number, Cause: "a silent member may come back, and waiting costs less"})
		}
	}
	free := situation.Free
	standing := situation.standing()
	for index, count := range way.formed {
		for range count {
			model := situation.Models[index]
			if len(free) < model.Size {
				break
			}
			actions = append(actions, Action{
				Kind: Form, Model: model.Name, Servers: free[:model.Size:model.Size],
				Cause: fmt.Sprintf("%s has %d groups here", model.Name, standing[index]),
			})
			free = free[model.Size:]
			standing[index]++
		}
	}
	return actions
}
