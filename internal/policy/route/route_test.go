package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hazelslip/internal/policy/route"
	"hazelslip/internal/testlib/suite"
)

const now = time.Hour

func targets(count int) []route.Target {
	groups := []route.Target{}
	for index := range count {
		groups = append(groups, route.Target{
			Number: uint64(index + 1), Model: "drafting", TokensPerSecond: 1000, PrefillPerSecond: 20_000,
			Concurrency: 8, ReadAt: now,
		})
	}
	return groups
}

// BenchmarkPick measures one choice among the number of groups in the benchmark's name.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{10, 100, 300} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			router := route.New()
			router.Update(targets(count), 1)
			b.ReportAllocs()
			for index := range b.N {
				choice, ok := router.Pick(route.Request{Model: "drafting", PromptTokens: 300, PrefixHash: uint64(index)}, now)
				if ok {
					choice.Done(false, now)
				}
			}
		})
	}
}

// Guards the request path against allocations: a choice allocates nothing, whatever the number of groups.
func TestPickAllocatesNothing(t *testing.T) {
	for _, count := range []int{10, 300} {
		router := route.New()
		router.Update(targets(count), 1)
		allocations := testing.AllocsPerRun(100, func() {
			choice, _ := router.Pick(route.Request{Model: "drafting", PrefixHash: 7}, now)
			choice.Done(false, now)
		})
		gomega.NewWithT(t).Expect(allocations).To(gomega.BeZero(), "%d groups", count)
	}
}

// Guards against all nodes choosing the same best group by the same late reports, which overloads it before the
// next report. Nearly equal groups must share the work.
func TestNodesSpreadOverNearEqualGroups(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(suite.Seed(), 1))
	load := map[uint64]int{}
	for range 100 {
		router := route.New(route.Random(random.IntN))
		router.Update(targets(8), 100)
		choice, ok := router.Pick(route.Request{Model: "drafting", PromptTokens: 300}, now)
		g.Expect(ok).To(gomega.BeTrue())
		load[choice.Target.Number]++
	}
	for number := range uint64(8) {
		g.Expect(load[number+1]).To(gomega.BeNumerically("<", 30))
	}
}

// Guards against sending full load to a group that has just failed. It gets nothing until a newer report of it
// arrives, and only a few drafts for some time after that.
func TestFailedGroupIsProbed(t *testing.T) {
	g := gomega.NewWithT(t)
	router := route.New()
	groups := targets(1)
	router.Update(groups, 1)
	choice, _ := router.Pick(route.Request{Model: "drafting"}, now)
	choice.Done(true, now)
	_, ok := router.Pick(route.Request{Model: "drafting"}, now+time.Second)
	g.Expect(ok).To(gomega.BeFalse())
	groups[0].ReadAt = now + time.Second
	router.Update(groups, 1)
	taken := 0
	for range 8 {
		if _, ok := router.Pick(route.Request{Model: "drafting"}, now+2*time.Second); ok {
			taken++
		}
	}
	g.Expect(taken).To(gomega.Equal(2))
}

// referenceAccepts is a simple statement of the rule which groups may be chosen.
func referenceAccepts(target route.Target, own, nodes int64) bool {
	share := max(1, int64(target.Concurrency)/max(1, nodes))
	return own < share || own+int64(target.PeerRunning) < int64(target.Concurrency)
}

// Checks random tables and loads against the reference rule: a chosen group must accept the draft, and no group
// is chosen only if none accepts it. The number of running drafts never goes below zero and returns to zero.
func TestPickMatchesReferenceRule(t *testing.T) {
	suite.SeedRapid(t)
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
		groups := targets(rapid.IntRange(1, 60).Draw(t, "groups"))
		for index := range groups {
			groups[index].PeerRunning = uint32(rapid.IntRange(0, 9).Draw(t, "peers"))
			groups[index].QueuedTokens = uint32(rapid.IntRange(0, 5000).Draw(t, "queued"))
		}
		router := route.New()
		router.Update(groups, nodes)
		own := map[uint64]int64{}
		open := []route.Choice{}
		for range rapid.IntRange(1, 120).Draw(t, "requests") {
			if len(open) > 0 && rapid.IntRange(0, 2).Draw(t, "end") == 0 {
				own[open[0].Target.Number]--
				open[0].Done(false, now)
				open = open[1:]
			}
			exclude := uint64(rapid.IntRange(0, len(groups)).Draw(t, "exclude"))
			choice, ok := router.Pick(route.Request{Model: "drafting", AnswerTokens: 10, Exclude: exclude}, now)
			anyOpen := false
			for _, target := range groups {
				anyOpen = anyOpen || (target.Number != exclude && referenceAccepts(target, own[target.Number], int64(nodes)))
			}
			if ok != anyOpen {
				t.Fatalf("chosen %t, the reference rule says %t", ok, anyOpen)
			}
			if !ok {
				continue
			}
			if choice.Target.Number == exclude || !referenceAccepts(choice.Target, own[choice.Target.Number], int64(nodes)) {
				t.Fatalf("group %d may not be chosen", choice.Target.Number)
			}
			own[choice.Target.Number]++
			open = append(open, choice)
		}
		for index := range open {
			open[index].Done(false, now)
		}
		for _, state := range router.State() {
			if state.Running != 0 || state.Outstanding != 0 {
				t.Fatalf("group %d has %d running and %d tokens left", state.Target.Number, state.Running, state.Outstanding)
			}
		}
	})
}
