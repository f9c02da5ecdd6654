package repair_test

import (
	"fmt"
	"os"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/repair"
)

func models() []repair.Model {
	return []repair.Model{{Name: "drafting", Size: 4, Worth: 1}, {Name: "summary", Size: 2, Worth: 0.4}}
}

// alwaysRebuild is the naive policy that takes a group apart at the first
// silence and forms whatever fits.
func alwaysRebuild(situation repair.Situation) []repair.Action {
	actions, standing := []repair.Action{}, map[string]int{}
	for _, group := range situation.Groups {
		if group.Dark {
			continue
		}
		if group.Silent > 0 || group.Broken {
			actions = append(actions, repair.Action{Kind: repair.Retire, Number: group.Number})
			continue
		}
		standing[group.Model]++
	}
	return append(actions, formAll(situation, standing)...)
}

// alwaysWait is the naive policy that waits for every member, and forms anew
// only what was restarted.
func alwaysWait(situation repair.Situation) []repair.Action {
	actions, standing := []repair.Action{}, map[string]int{}
	for _, group := range situation.Groups {
		if group.Broken && group.Silent == 0 {
			actions = append(actions, repair.Action{Kind: repair.Retire, Number: group.Number})
			continue
		}
		standing[group.Model]++
	}
	return append(actions, formAll(situation, standing)...)
}

// graceOnly is this project's first policy: wait for the grace, then rebuild.
func graceOnly(situation repair.Situation) []repair.Action {
	actions, standing := []repair.Action{}, map[string]int{}
	for _, group := range situation.Groups {
		if group.Dark {
			continue
		}
		if group.Silent > 6*time.Second || group.Broken {
			actions = append(actions, repair.Action{Kind: repair.Retire, Number: group.Number})
			continue
		}
		standing[group.Model]++
	}
	return append(actions, formAll(situation, standing)...)
}

// formAll forms what is wanted and fits, the neediest first. Without the bound
// of what is wanted the naive policies gave remnants to small groups for good
// and looked far worse than they need to.
func formAll(situation repair.Situation, standing map[string]int) []repair.Action {
	actions, free := []repair.Action{}, situation.Free
	servers := len(situation.Free) + len(situation.Away)
	for _, group := range situation.Groups {
		servers += len(group.Members)
	}
	wanted := fillPlain(situation.Models, servers)
	for {
		best, bestWorth := -1, 0.0
		for index, model := range situation.Models {
			if worth := model.Worth / float64(1+standing[model.Name]); model.Size <= len(free) && standing[model.Name] < wanted[index] && worth > bestWorth {
				best, bestWorth = index, worth
			}
		}
		if best < 0 {
			return actions
		}
		model := situation.Models[best]
		actions = append(actions, repair.Action{Kind: repair.Form, Model: model.Name, Servers: free[:model.Size]})
		free = free[model.Size:]
		standing[model.Name]++
	}
}

var policies = []struct {
	name   string
	decide func(situation repair.Situation) []repair.Action
}{
	{"always rebuild", alwaysRebuild},
	{"always wait", alwaysWait},
	{"grace only", graceOnly},
	{"by price", repair.Plan},
}

// BenchmarkTraces plays the committed traces to each policy and prints what
// they cost, side by side.
func BenchmarkTraces(b *testing.B) {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "USER\tSERVERS\tPOLICY\tCOST\tDOWNTIME group-s\tSTRANDED server-s")
	for range b.N {
		for _, user := range []prices{lakeshore, viaAndina} {
			for _, servers := range []int{9, 17, 40} {
				for _, policy := range policies {
					sum := total(user, servers, tracesEach, policy.decide)
					_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%.0f\t%.0f\t%.0f\n", user.name, servers, policy.name, sum.cost, sum.downtime, sum.stranded)
				}
			}
		}
	}
	_ = table.Flush()
}

const (
	tracesEach    = 12
	guardTraces   = 2
	hourlyOutages = 0.5
)

func total(user prices, servers, traces int, decide func(situation repair.Situation) []repair.Action) *player {
	sum := &player{}
	for seed := range uint64(traces) {
		played := play(drawTrace(seed+1, servers, models(), user, hourlyOutages), decide)
		sum.cost += played.cost
		sum.downtime += played.downtime
		sum.stranded += played.stranded
	}
	return sum
}

// The guard of the measurement: on the committed traces the plan by price must
// stay cheaper than the better naive policy for both users.
func TestPlanIsCheaperThanNaivePolicies(t *testing.T) {
	for _, user := range []prices{lakeshore, viaAndina} {
		t.Run(user.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			naive := min(total(user, 17, guardTraces, alwaysRebuild).cost, total(user, 17, guardTraces, alwaysWait).cost)
			g.Expect(total(user, 17, guardTraces, repair.Plan).cost).To(gomega.BeNumerically("<", naive))
		})
	}
}

// BenchmarkPlan is one plan of a domain of 40 servers in which two groups have
// a silent member.
func BenchmarkPlan(b *testing.B) {
	situation := repair.Situation{Models: models(), Grace: 3 * time.Second, Stranded: 1, Load: load, Returns: repair.DefaultReturns}
	for group := range 12 {
		size, name := 4, "drafting"
		if group >= 8 {
			size, name = 2, "summary"
		}
		made := repair.Group{Number: uint64(group + 1), Model: name, Serving: group > 1}
		for member := range size {
			made.Members = append(made.Members, fmt.Sprint(group, "/", member))
		}
		if !made.Serving {
			made.Silent, made.SilentMembers = 10*time.Second, 1
		}
		situation.Groups = append(situation.Groups, made)
	}
	b.ReportAllocs()
	for range b.N {
		repair.Plan(situation)
	}
}
