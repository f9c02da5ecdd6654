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
	return []repair.Model{{Name: "drafting", Size: 4, DowntimePrice: 1}, {Name: "summary", Size: 2, DowntimePrice: 0.4}}
}

// alwaysRebuild is a naive policy that retires a group as soon as a member is unresponsive, and forms whatever fits.
func alwaysRebuild(domainState repair.DomainState) []repair.Action {
	actions, active := []repair.Action{}, map[string]int{}
	for _, group := range domainState.Groups {
		if group.Unreachable {
			continue
		}
		if group.UnresponsiveFor > 0 || group.Inconsistent {
			actions = append(actions, repair.Action{Kind: repair.Retire, Number: group.Number})
			continue
		}
		active[group.Model]++
	}
	return append(actions, formWanted(domainState, active)...)
}

// alwaysWait is a naive policy that waits for every member, and forms new groups only from restarted servers.
func alwaysWait(domainState repair.DomainState) []repair.Action {
	actions, active := []repair.Action{}, map[string]int{}
	for _, group := range domainState.Groups {
		if group.Inconsistent && group.UnresponsiveFor == 0 {
			actions = append(actions, repair.Action{Kind: repair.Retire, Number: group.Number})
			continue
		}
		active[group.Model]++
	}
	return append(actions, formWanted(domainState, active)...)
}

// graceOnly is the first policy of this project: wait for the grace period, then rebuild.
func graceOnly(domainState repair.DomainState) []repair.Action {
	actions, active := []repair.Action{}, map[string]int{}
	for _, group := range domainState.Groups {
		if group.Unreachable {
			continue
		}
		if group.UnresponsiveFor > 6*time.Second || group.Inconsistent {
			actions = append(actions, repair.Action{Kind: repair.Retire, Number: group.Number})
			continue
		}
		active[group.Model]++
	}
	return append(actions, formWanted(domainState, active)...)
}

// formWanted forms the wanted groups that fit, the most valuable first. Without the limit to wanted groups, the naive
// policies tied up leftover servers in small groups for good and looked far worse than necessary.
func formWanted(domainState repair.DomainState, active map[string]int) []repair.Action {
	actions, free := []repair.Action{}, domainState.Free
	servers := len(domainState.Free) + len(domainState.Unresponsive)
	for _, group := range domainState.Groups {
		servers += len(group.Members)
	}
	wanted := greedyCounts(domainState.Models, servers)
	for {
		best, bestValue := -1, 0.0
		for index, model := range domainState.Models {
			if value := model.DowntimePrice / float64(1+active[model.Name]); model.Size <= len(free) && active[model.Name] < wanted[index] && value > bestValue {
				best, bestValue = index, value
			}
		}
		if best < 0 {
			return actions
		}
		model := domainState.Models[best]
		actions = append(actions, repair.Action{Kind: repair.Form, Model: model.Name, Servers: free[:model.Size]})
		free = free[model.Size:]
		active[model.Name]++
	}
}

var policies = []struct {
	name   string
	decide func(domainState repair.DomainState) []repair.Action
}{
	{"always rebuild", alwaysRebuild},
	{"always wait", alwaysWait},
	{"grace only", graceOnly},
	{"by price", repair.Plan},
}

// BenchmarkTraces replays the committed traces with each policy and prints their costs side by side.
func BenchmarkTraces(b *testing.B) {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "USER\tSERVERS\tPOLICY\tCOST\tDOWNTIME group-s\tSTRANDED server-s")
	for range b.N {
		for _, user := range []prices{lakeshore, viaAndina} {
			for _, servers := range []int{9, 17, 40} {
				for _, policy := range policies {
					sum := replayAll(user, servers, tracesPerCase, policy.decide)
					_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%.0f\t%.0f\t%.0f\n", user.name, servers, policy.name, sum.cost, sum.downtime, sum.idle)
				}
			}
		}
	}
	_ = table.Flush()
}

const (
	tracesPerCase  = 12
	testTraces     = 2
	outagesPerHour = 0.5
)

func replayAll(user prices, servers, traces int, decide func(domainState repair.DomainState) []repair.Action) *replay {
	sum := &replay{}
	for seed := range uint64(traces) {
		replayed := replayTrace(drawTrace(seed+1, servers, models(), user, outagesPerHour), decide)
		sum.cost += replayed.cost
		sum.downtime += replayed.downtime
		sum.idle += replayed.idle
	}
	return sum
}

// Guards the measured advantage of the planner: on the committed traces it must stay cheaper than the better naive
// policy, for both users.
func TestPlanIsCheaperThanNaivePolicies(t *testing.T) {
	for _, user := range []prices{lakeshore, viaAndina} {
		t.Run(user.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			cheapestNaive := min(replayAll(user, 17, testTraces, alwaysRebuild).cost, replayAll(user, 17, testTraces, alwaysWait).cost)
			g.Expect(replayAll(user, 17, testTraces, repair.Plan).cost).To(gomega.BeNumerically("<", cheapestNaive))
		})
	}
}

// BenchmarkPlan measures one plan for a domain of 40 servers in which two groups have an unresponsive member.
func BenchmarkPlan(b *testing.B) {
	domainState := repair.DomainState{Models: models(), GracePeriod: 3 * time.Second, IdlePrice: 1, LoadTime: loadTime, Recovery: repair.DefaultRecovery}
	for groupIndex := range 12 {
		size, name := 4, "drafting"
		if groupIndex >= 8 {
			size, name = 2, "summary"
		}
		group := repair.Group{Number: uint64(groupIndex + 1), Model: name, Serving: groupIndex > 1}
		for member := range size {
			group.Members = append(group.Members, fmt.Sprint(groupIndex, "/", member))
		}
		if !group.Serving {
			group.UnresponsiveFor, group.UnresponsiveMembers = 10*time.Second, 1
		}
		domainState.Groups = append(domainState.Groups, group)
	}
	b.ReportAllocs()
	for range b.N {
		repair.Plan(domainState)
	}
}
