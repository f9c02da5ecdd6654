package formation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/state/configuration"
)

// demands returns the demands for the large and the small model.
func demands(currentLarge int, desiredLarge float64, currentSmall int, desiredSmall float64) []formation.Demand {
	return []formation.Demand{
		{Model: configuration.Model{Name: "large", Size: 4}, Current: currentLarge, Desired: desiredLarge},
		{Model: configuration.Model{Name: "small", Size: 2}, Current: currentSmall, Desired: desiredSmall},
	}
}

// domain returns a domain with the given number of free servers for each staged model, and of empty
// ones.
func domain(large, small, empty int) formation.Domain {
	built := formation.Domain{Name: "d", Groups: map[string]int{}, Loading: map[string]int{}}
	add := func(count int, staged ...string) {
		for range count {
			built.FreeServers = append(built.FreeServers, formation.ServerInfo{ID: fmt.Sprintf("i-%02d", len(built.FreeServers)), Staged: staged})
		}
	}
	add(large, "large")
	add(small, "small")
	add(empty)
	return built
}

// servingGroup returns a serving group of the small model. staged lists the models on the host of
// its second member.
func servingGroup(name string, staged ...string) formation.ServingGroup {
	return formation.ServingGroup{
		Group: formation.Group{Name: name, Model: "small", Members: []string{name + "-1", name + "-2"}},
		Members: []formation.ServerInfo{
			{ID: name + "-1", Staged: []string{"small"}, LastModel: "small"}, {ID: name + "-2", Staged: staged, LastModel: "small"},
		},
	}
}

func TestModelWithLowestCoverageIsFormedFirst(t *testing.T) {
	expect := gomega.NewWithT(t)
	steps := formation.Plan([]formation.Domain{domain(4, 4, 0)}, demands(0, 1, 6, 8), false)
	expect.Expect(steps[0].Model).To(gomega.Equal("large"))
	expect.Expect(steps[0].Members).To(gomega.HaveLen(4))
	expect.Expect(steps[1].Model).To(gomega.Equal("small"))
}

// Guards against groups formed of empty servers while the fleet serves. All members would load
// during their joins, outside the limit on loads.
func TestEmptyServersAreStagedBeforeFormation(t *testing.T) {
	expect := gomega.NewWithT(t)
	steps := formation.Plan([]formation.Domain{domain(0, 0, 8)}, demands(0, 4, 0, 8), false)
	for _, step := range steps {
		expect.Expect(step.Stage).To(gomega.BeTrue())
		expect.Expect(step.Loads).To(gomega.Equal(1))
	}
	expect.Expect(steps).To(gomega.HaveLen(8))
}

// Guards against a large group that waits for a load while small groups could complete it. A large
// group lost a member in a domain without a spare. A member of a small group has the large model
// staged, so the small group must be retired to complete the large one.
func TestSmallGroupIsRetiredToCompleteALargeOne(t *testing.T) {
	expect := gomega.NewWithT(t)
	incomplete := domain(3, 0, 0)
	incomplete.Serving = []formation.ServingGroup{servingGroup("a", "small"), servingGroup("b", "large")}
	steps := formation.Plan([]formation.Domain{incomplete}, demands(3, 6, 12, 12), false)
	expect.Expect(steps[0].Retire).To(gomega.BeTrue())
	expect.Expect(steps[0].Group.Name).To(gomega.Equal("b"))
	for _, step := range steps[1:] {
		expect.Expect(step.Retire).To(gomega.BeFalse())
		expect.Expect(step.Stage).To(gomega.BeTrue())
	}
}

// Guards against a plan that ignores servers about to become free. A large group lost a member, its
// domain has a spare, and the reports of the other members are 200 ms old. A plan that took these
// members for missing retired a small group for its member. By the time that the small group's
// servers were free, the large group's servers had been used for small groups.
func TestPlanWaitsForReleasingServers(t *testing.T) {
	expect := gomega.NewWithT(t)
	incomplete := domain(1, 0, 0)
	incomplete.ServerCount = 6
	incomplete.Releasing = map[string]int{"large": 3}
	incomplete.Planned = map[string]int{"large": 1, "small": 1}
	incomplete.Serving = []formation.ServingGroup{servingGroup("b", "large")}
	for _, step := range formation.Plan([]formation.Domain{incomplete}, demands(3, 6, 12, 12), false) {
		expect.Expect(step.Retire).To(gomega.BeFalse())
		expect.Expect(step.Stage && step.Model == "small").To(gomega.BeFalse())
	}
}

// Guards against an unnecessary load. A domain lost a member of its large group and has no spare,
// and another node's plan staged the small model on the hosts of the group's members. These servers
// can still start the large model, since it is the model that they last ran.
func TestServersRestartTheirLastModelWithoutALoad(t *testing.T) {
	expect := gomega.NewWithT(t)
	repaired := domain(0, 0, 0)
	for index := range 4 {
		repaired.FreeServers = append(repaired.FreeServers, formation.ServerInfo{ID: fmt.Sprintf("i-%d", index), Staged: []string{"small"}, LastModel: "large"})
	}
	repaired.Planned = map[string]int{"large": 1}
	steps := formation.Plan([]formation.Domain{repaired}, demands(3, 4, 8, 8), false)
	expect.Expect(steps[0].Model).To(gomega.Equal("large"))
	expect.Expect(steps[0].Members).To(gomega.HaveLen(4))
	expect.Expect(steps[0].Loads).To(gomega.BeZero())
}

func TestSmallGroupsBelowTargetAreNotRetired(t *testing.T) {
	expect := gomega.NewWithT(t)
	incomplete := domain(3, 0, 0)
	incomplete.Serving = []formation.ServingGroup{servingGroup("b", "large")}
	for _, step := range formation.Plan([]formation.Domain{incomplete}, demands(3, 6, 6, 12), false) {
		expect.Expect(step.Retire).To(gomega.BeFalse())
	}
}

// Guards against a large group without a spare. The domain has no free server, so the large model
// must be staged on a member of a small group before a member is lost.
func TestLargeModelIsStagedOnASmallGroupMember(t *testing.T) {
	expect := gomega.NewWithT(t)
	withoutSpare := domain(0, 0, 0)
	withoutSpare.Groups["large"] = 1
	withoutSpare.Serving = []formation.ServingGroup{servingGroup("a", "small")}
	steps := formation.Plan([]formation.Domain{withoutSpare}, demands(1, 1, 1, 1), false)
	expect.Expect(steps).To(gomega.HaveLen(1))
	expect.Expect(steps[0].Stage).To(gomega.BeTrue())
	expect.Expect(steps[0].Urgent).To(gomega.BeFalse())
	expect.Expect(steps[0].Members).To(gomega.Equal([]string{"a-2"}))
	withoutSpare.Loading = map[string]int{"large": 1}
	expect.Expect(formation.Plan([]formation.Domain{withoutSpare}, demands(1, 1, 1, 1), false)).To(gomega.BeEmpty())
}

// Checks invariants of plans on random fleets: a plan uses no server twice and forms groups of the
// model's size within one domain. Only plans before the first request form groups whose members
// must load.
func TestRandomInputsGiveValidPlans(t *testing.T) {
	draw := rand.New(rand.NewPCG(5, 5))
	for range 2000 {
		domains := []formation.Domain{}
		for index := range 1 + draw.IntN(4) {
			generated := domain(draw.IntN(6), draw.IntN(6), draw.IntN(6))
			for server := range generated.FreeServers {
				generated.FreeServers[server].ID = fmt.Sprintf("d%d-%s", index, generated.FreeServers[server].ID)
			}
			generated.Groups["large"] = draw.IntN(3)
			if draw.IntN(2) == 0 {
				generated.Serving = []formation.ServingGroup{servingGroup(fmt.Sprintf("g%d", index), []string{"large", "small"}[draw.IntN(2)])}
			}
			domains = append(domains, generated)
		}
		beforeFirstRequest := draw.IntN(4) == 0
		used := map[string]bool{}
		for _, step := range formation.Plan(domains, demands(draw.IntN(8), draw.Float64()*8, draw.IntN(16), draw.Float64()*16), beforeFirstRequest) {
			for _, id := range step.Members {
				if used[id] {
					t.Fatalf("plan uses server %s twice", id)
				}
				used[id] = true
				if id[:2] != step.Members[0][:2] {
					t.Fatalf("members are in several domains: %v", step.Members)
				}
			}
			size := map[string]int{"large": 4, "small": 2}[step.Model]
			switch {
			case step.Retire, step.Stage && len(step.Members) == 1:
			case len(step.Members) != size:
				t.Fatalf("group of model %s has %d members", step.Model, len(step.Members))
			case step.Loads > 0 && !beforeFirstRequest:
				t.Fatalf("plan forms a group whose members must load: %v", step)
			}
		}
	}
}

// Guards against free servers that stay unused. After several losses, a domain has two servers with
// the large model staged that can't complete a large group, and a single server left of a small
// group. All three waited forever while calls of both models were refused. One of the two must load
// the small model to form a group with the third.
func TestStrandedServersAreReassignedToASmallerModel(t *testing.T) {
	expect := gomega.NewWithT(t)
	loads := func(built formation.Domain, currentSmall int) int {
		count := 0
		for _, step := range formation.Plan([]formation.Domain{built}, demands(2, 4, currentSmall, 14), false) {
			expect.Expect(step.Stage).To(gomega.BeTrue())
			expect.Expect(step.Model).To(gomega.Equal("small"))
			count++
		}
		return count
	}
	expect.Expect(loads(domain(2, 1, 0), 9)).To(gomega.Equal(1))
	expect.Expect(loads(domain(2, 0, 0), 9)).To(gomega.Equal(2))
	// There are enough groups of the small model, so the servers keep their model.
	expect.Expect(loads(domain(2, 0, 0), 14)).To(gomega.BeZero())
	// A single server can't form a group.
	expect.Expect(loads(domain(1, 0, 0), 9)).To(gomega.BeZero())
	// There are three of four servers, and a small group can be retired for the fourth.
	lacking := domain(3, 0, 0)
	lacking.Serving = []formation.ServingGroup{servingGroup("b", "large")}
	for _, step := range formation.Plan([]formation.Domain{lacking}, demands(2, 4, 9, 14), false) {
		expect.Expect(step.Stage && step.Model == "small").To(gomega.BeFalse())
	}
	// One server is a spare for the domain's other large group.
	withSpare := domain(2, 0, 0)
	withSpare.Groups["large"] = 1
	expect.Expect(loads(withSpare, 9)).To(gomega.BeZero())
}

// exhaustiveMinimumCost returns the lowest cost over every combination of layouts.
func exhaustiveMinimumCost(domains []formation.Domain, demands []formation.Demand) float64 {
	best := -1.0
	var try func(index int, chosen []map[string]int)
	try = func(index int, chosen []map[string]int) {
		if index == len(domains) {
			if cost := formation.LayoutCost(domains, demands, chosen); best < 0 || cost < best {
				best = cost
			}
			return
		}
		for large := 0; large*4 <= domains[index].ServerCount; large++ {
			for small := 0; large*4+small*2 <= domains[index].ServerCount; small++ {
				try(index+1, append(chosen, map[string]int{"large": large, "small": small}))
			}
		}
	}
	try(0, nil)
	return best
}

// Checks the coordinate descent, which improves one domain at a time, against the best of all
// combinations on small fleets.
func TestOptimizedLayoutsAreNearTheOptimum(t *testing.T) {
	expect := gomega.NewWithT(t)
	draw := rand.New(rand.NewPCG(7, 7))
	worst, sum := 0.0, 0.0
	const fleets = 150
	for range fleets {
		domains := []formation.Domain{}
		for range 3 {
			generated := domain(draw.IntN(6), draw.IntN(5), draw.IntN(3))
			generated.ServerCount = len(generated.FreeServers)
			domains = append(domains, generated)
		}
		randomDemands := demands(0, 0.5+draw.Float64()*4, 0, 0.5+draw.Float64()*6)
		best := exhaustiveMinimumCost(domains, randomDemands)
		optimized := formation.LayoutCost(domains, randomDemands, formation.OptimizeLayouts(domains, randomDemands))
		expect.Expect(optimized).To(gomega.BeNumerically(">=", best-1e-9))
		excess := optimized/best - 1
		worst, sum = max(worst, excess), sum+excess
	}
	t.Logf("cost above the optimum: mean %.2f %%, maximum %.2f %%", 100*sum/fleets, 100*worst)
	expect.Expect(sum / fleets).To(gomega.BeNumerically("<", 0.01))
	expect.Expect(worst).To(gomega.BeNumerically("<", 0.25))
}

// Guards against loading for only one group of a domain at a time. A domain has a large group and
// one small group, and six servers with the large model staged are idle while a burst needs small
// groups. The plan loaded for one group at a time, so each pair took a full load time although the
// weight store had capacity for all.
func TestDomainLoadsForAllMissingGroups(t *testing.T) {
	expect := gomega.NewWithT(t)
	idle := domain(6, 0, 0)
	idle.Groups["large"], idle.Groups["small"], idle.ServerCount = 1, 1, 12
	domains := []formation.Domain{idle}
	steps := formation.Plan(domains, demands(1, 1, 1, 4), false)
	lacking := domains[0].Planned["small"] - 1
	expect.Expect(lacking).To(gomega.BeNumerically(">", 1))
	urgent := 0
	for _, step := range steps {
		if step.Stage && step.Urgent && step.Model == "small" {
			urgent++
		}
	}
	expect.Expect(urgent).To(gomega.Equal(2 * lacking))
}
