// Package repair decides what to do with the servers of one fabric domain:
// which groups to form, which to take apart, and when to wait.
//
// It is a pure function of a Situation, so that the same facts give the same
// plan on every node and the plan can be explained. It gives no orders.
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

// Model is a model that the domain may serve. Worth orders models: the price
// of a second in which a wanted group of it does not serve. Wanted is how many
// groups are asked for, 0 for as many as fit.
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
	// Grace is how long a silent member is waited for before its group is
	// taken apart.
	Grace time.Duration
}

// Action is one step of a plan.
type Action struct {
	Kind    Kind
	Number  uint64
	Model   string
	Servers []string
	Cause   string
}

// Plan returns what to do now, the most urgent first.
func Plan(situation Situation) []Action {
	actions := []Action{}
	standing := map[string]int{}
	for _, group := range situation.Groups {
		action, stands := planGroup(group, situation)
		if action.Kind != "" {
			actions = append(actions, action)
		}
		if stands {
			standing[group.Model]++
		}
	}
	return append(actions, planForming(situation, standing)...)
}

func planGroup(group Group, situation Situation) (action Action, stands bool) {
	switch {
	case group.Dark:
		return Action{Kind: Wait, Number: group.Number, Cause: "no member answers"}, false
	case group.Broken:
		return Action{Kind: Retire, Number: group.Number, Cause: "a member is in another group or in none"}, false
	case group.Silent > situation.Grace:
		return Action{Kind: Retire, Number: group.Number, Cause: fmt.Sprintf("a member has not answered for %s", group.Silent.Round(time.Second))}, false
	case group.Silent > 0:
		return Action{Kind: Wait, Number: group.Number, Cause: "a silent member may come back"}, true
	case group.Draining && group.Running == 0:
		return Action{Kind: Retire, Number: group.Number, Cause: "a member is leaving and nothing runs any more"}, false
	case group.Draining:
		return Action{Kind: Wait, Number: group.Number, Cause: "a member is leaving and answers are still under way"}, false
	}
	return Action{}, true
}

// planForming gives the free servers to the model that lacks groups most,
// until none fits.
func planForming(situation Situation, standing map[string]int) []Action {
	actions := []Action{}
	free := slices.Clone(situation.Free)
	for {
		model, ok := neediest(situation.Models, standing, len(free))
		if !ok {
			return actions
		}
		actions = append(actions, Action{
			Kind: Form, Model: model.Name, Servers: free[:model.Size:model.Size],
			Cause: fmt.Sprintf("%s has %d groups here", model.Name, standing[model.Name]),
		})
		free = free[model.Size:]
		standing[model.Name]++
	}
}

// neediest is the model whose next group is worth most. The worth of a further
// group of the same model falls, so that every model gets its first one.
func neediest(models []Model, standing map[string]int, free int) (Model, bool) {
	best, bestWorth, found := Model{}, 0.0, false
	for _, model := range models {
		count := standing[model.Name]
		if model.Size > free || (model.Wanted > 0 && count >= model.Wanted) {
			continue
		}
		worth := model.Worth / float64(1+count)
		if !found || worth > bestWorth {
			best, bestWorth, found = model, worth, true
		}
	}
	return best, found
}
