package formation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/state/configuration"
)

func demands(haveLarge int, wantLarge float64, haveSmall int, wantSmall float64) []formation.Demand {
	return []formation.Demand{
		{Model: configuration.Model{Name: "large", Size: 4}, Have: haveLarge, Want: wantLarge},
		{Model: configuration.Model{Name: "small", Size: 2}, Have: haveSmall, Want: wantSmall},
	}
}

// domain is one with so many free servers of each staged model.
func domain(large, small, empty int) formation.Domain {
	made := formation.Domain{Name: "d", Groups: map[string]int{}, Loading: map[string]int{}}
	add := func(count int, staged ...string) {
		for range count {
			made.Spares = append(made.Spares, formation.Spare{ID: fmt.Sprintf("i-%02d", len(made.Spares)), Staged: staged})
		}
	}
	add(large, "large")
	add(small, "small")
	add(empty)
	return made
}

func lender(name string, staged ...string) formation.Lender {
	return formation.Lender{
		Group: formation.Group{Name: name, Model: "small", Members: []string{name + "-1", name + "-2"}}, Size: 2,
		Members: []formation.Spare{{ID: name + "-1", Staged: []string{"small"}}, {ID: name + "-2", Staged: staged}},
	}
}

func TestModelThatLacksMostIsFormedFirst(t *testing.T) {
	expect := gomega.NewWithT(t)
	steps := formation.Plan([]formation.Domain{domain(4, 2, 0)}, demands(0, 4, 6, 8), false)
	expect.Expect(steps[0].Model).To(gomega.Equal("large"))
	expect.Expect(steps[0].Members).To(gomega.HaveLen(4))
	expect.Expect(steps[1].Model).To(gomega.Equal("small"))
}

// Empty servers come while the fleet serves. Groups formed of them at once would
// all load in their joins, past the bound on loads.
func TestEmptyServersAreStagedBeforeTheyAreUsed(t *testing.T) {
	expect := gomega.NewWithT(t)
	steps := formation.Plan([]formation.Domain{domain(0, 0, 8)}, demands(0, 4, 0, 8), false)
	for _, step := range steps {
		expect.Expect(step.Stage).To(gomega.BeTrue())
		expect.Expect(step.Loads).To(gomega.Equal(1))
	}
	expect.Expect(steps).To(gomega.HaveLen(8))
}

// A large group lost a member in a domain without a spare; its three others
// waited for a load while small groups of the domain had room. A member of one
// has the large model staged beside its work, so that group ends and completes
// the large one.
func TestSmallGroupCompletesALargeOne(t *testing.T) {
	expect := gomega.NewWithT(t)
	short := domain(3, 0, 0)
	short.Lenders = []formation.Lender{lender("a", "small"), lender("b", "large")}
	steps := formation.Plan([]formation.Domain{short}, demands(3, 6, 12, 12), false)
	expect.Expect(steps).To(gomega.HaveLen(1))
	expect.Expect(steps[0].Retire).To(gomega.BeTrue())
	expect.Expect(steps[0].Group.Name).To(gomega.Equal("b"))
}

func TestSmallGroupsThatAreShortLendNothing(t *testing.T) {
	expect := gomega.NewWithT(t)
	short := domain(3, 0, 0)
	short.Lenders = []formation.Lender{lender("b", "large")}
	for _, step := range formation.Plan([]formation.Domain{short}, demands(3, 6, 6, 12), false) {
		expect.Expect(step.Retire).To(gomega.BeFalse())
	}
}

// A domain has a large group and no spare of it: the model is staged on a member
// of a small group ahead of the loss.
func TestLargeGroupIsInsuredByASmallOne(t *testing.T) {
	expect := gomega.NewWithT(t)
	insured := domain(0, 0, 0)
	insured.Groups["large"] = 1
	insured.Lenders = []formation.Lender{lender("a", "small")}
	steps := formation.Plan([]formation.Domain{insured}, demands(1, 1, 1, 1), false)
	expect.Expect(steps).To(gomega.HaveLen(1))
	expect.Expect(steps[0].Stage).To(gomega.BeTrue())
	expect.Expect(steps[0].Members).To(gomega.Equal([]string{"a-2"}))
	insured.Loading = map[string]int{"large": 1}
	expect.Expect(formation.Plan([]formation.Domain{insured}, demands(1, 1, 1, 1), false)).To(gomega.BeEmpty())
}

// Whatever the fleet looks like, a plan uses no server twice, forms groups of
// the model's size within one domain, and outside the quiet start forms none
// that would load.
func TestPlansAreSound(t *testing.T) {
	draw := rand.New(rand.NewPCG(5, 5))
	for range 2000 {
		domains := []formation.Domain{}
		for number := range 1 + draw.IntN(4) {
			one := domain(draw.IntN(6), draw.IntN(6), draw.IntN(6))
			for spare := range one.Spares {
				one.Spares[spare].ID = fmt.Sprintf("d%d-%s", number, one.Spares[spare].ID)
			}
			one.Groups["large"] = draw.IntN(3)
			if draw.IntN(2) == 0 {
				one.Lenders = []formation.Lender{lender(fmt.Sprintf("g%d", number), []string{"large", "small"}[draw.IntN(2)])}
			}
			domains = append(domains, one)
		}
		quiet := draw.IntN(4) == 0
		used := map[string]bool{}
		for _, step := range formation.Plan(domains, demands(draw.IntN(8), draw.Float64()*8, draw.IntN(16), draw.Float64()*16), quiet) {
			for _, id := range step.Members {
				if used[id] {
					t.Fatalf("server %s is used twice", id)
				}
				used[id] = true
				if id[:2] != step.Members[0][:2] {
					t.Fatalf("a group spans domains: %v", step.Members)
				}
			}
			size := map[string]int{"large": 4, "small": 2}[step.Model]
			switch {
			case step.Retire, step.Stage && len(step.Members) == 1:
			case len(step.Members) != size:
				t.Fatalf("a group of %s has %d members", step.Model, len(step.Members))
			case step.Loads > 0 && !quiet:
				t.Fatalf("a group would load: %v", step)
			}
		}
	}
}

// After a series of losses two servers with the large model's weights are left in
// a domain, and nothing will complete their group; a small group lost a member
// too. The three waited for good while calls of both models were turned away. One
// of the two is given the small model's weights, and makes a group with the third.
func TestStrandedSparesAreGivenToASmallerModel(t *testing.T) {
	expect := gomega.NewWithT(t)
	loads := func(made formation.Domain, have int) int {
		count := 0
		for _, step := range formation.Plan([]formation.Domain{made}, demands(2, 4, have, 14), false) {
			expect.Expect(step.Stage).To(gomega.BeTrue())
			expect.Expect(step.Model).To(gomega.Equal("small"))
			count++
		}
		return count
	}
	expect.Expect(loads(domain(2, 1, 0), 9)).To(gomega.Equal(1))
	expect.Expect(loads(domain(2, 0, 0), 9)).To(gomega.Equal(2))
	// Enough of the small model: they stay.
	expect.Expect(loads(domain(2, 0, 0), 14)).To(gomega.BeZero())
	// One alone makes no group.
	expect.Expect(loads(domain(1, 0, 0), 9)).To(gomega.BeZero())
	// Three of four: a small group will lend the fourth.
	expect.Expect(loads(domain(3, 0, 0), 9)).To(gomega.BeZero())
	// One insures the domain's other large group.
	insured := domain(2, 0, 0)
	insured.Groups["large"] = 1
	expect.Expect(loads(insured, 9)).To(gomega.BeZero())
}
