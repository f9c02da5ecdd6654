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
	made := []route.Target{}
	for index := range count {
		made = append(made, route.Target{
			Number: uint64(index + 1), Model: "drafting", TokensPerSecond: 1000, PrefillPerSecond: 20_000,
			Concurrency: 8, ReadAt: now,
		})
	}
	return made
}

// BenchmarkPick is one choice among as many groups as the name says.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{10, 100, 300} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			router := route.New()
			router.Update(targets(count), 1)
			b.ReportAllocs()
			for index := range b.N {
				choice, ok := router.Pick(route.Request{Model: "drafting", PromptTokens: 300, Prefix: uint64(index)}, now)
				if ok {
					choice.Done(false, now)
				}
			}
		})
	}
}

// The regression guard of the request path: a choice allocates nothing,
// however many groups there are.
func TestPickAllocatesNothing(t *testing.T) {
	for _, count := range []int{10, 300} {
		router := route.New()
		router.Update(targets(count), 1)
		allocations := testing.AllocsPerRun(100, func() {
			choice, _ := router.Pick(route.Request{Model: "drafting", Prefix: 7}, now)
			choice.Done(false, now)
		})
		gomega.NewWithT(t).Expect(allocations).To(gomega.BeZero(), "%d groups", count)
	}
}

// Every node sees the same late reports. If each took the one best group, all
// would rush to it and overrun it before the next report; near-equal groups
// must share the work.
func TestNodesDoNotHerd(t *testing.T) {
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

// A group that just failed gets nothing until a newer report of it, and little
// for a while then: a group that is refusing must be probed, not hammered.
func TestFailedGroupIsProbed(t *testing.T) {
	g := gomega.NewWithT(t)
	router := route.New()
	made := targets(1)
	router.Update(made, 1)
	choice, _ := router.Pick(route.Request{Model: "drafting"}, now)
	choice.Done(true, now)
	_, ok := router.Pick(route.Request{Model: "drafting"}, now+time.Second)
	g.Expect(ok).To(gomega.BeFalse())
	made[0].ReadAt = now + time.Second
	router.Update(made, 1)
	taken := 0
	for range 8 {
		if _, ok := router.Pick(route.Request{Model: "drafting"}, now+2*time.Second); ok {
			taken++
		}
	}
	g.Expect(taken).To(gomega.Equal(2))
}

// plainOpen is the rule of who may be chosen, written down plainly.
func plainOpen(target route.Target, own, nodes int64) bool {
	share := max(1, int64(target.Concurrency)/max(1, nodes))
	return own < share || own+int64(target.PeerRunning) < int64(target.Concurrency)
}

// Random tables and loads, against the plain rule: what is chosen must be open,
// and nothing is chosen only when nothing is open. What a node has running
// never goes below zero and comes back to zero.
func TestPickAgainstPlainRule(t *testing.T) {
	suite.SeedRapid(t)
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
		made := targets(rapid.IntRange(1, 60).Draw(t, "groups"))
		for index := range made {
			made[index].PeerRunning = uint32(rapid.IntRange(0, 9).Draw(t, "peers"))
			made[index].QueuedTokens = uint32(rapid.IntRange(0, 5000).Draw(t, "queued"))
		}
		router := route.New()
		router.Update(made, nodes)
		own := map[uint64]int64{}
		open := []route.Choice{}
		for range rapid.IntRange(1, 120).Draw(t, "requests") {
			if len(open) > 0 && rapid.IntRange(0, 2).Draw(t, "end") == 0 {
				own[open[0].Target.Number]--
				open[0].Done(false, now)
				open = open[1:]
			}
			exclude := uint64(rapid.IntRange(0, len(made)).Draw(t, "exclude"))
			choice, ok := router.Pick(route.Request{Model: "drafting", AnswerTokens: 10, Exclude: exclude}, now)
			anyOpen := false
			for _, target := range made {
				anyOpen = anyOpen || (target.Number != exclude && plainOpen(target, own[target.Number], int64(nodes)))
			}
			if ok != anyOpen {
				t.Fatalf("chosen %t, the plain rule says %t", ok, anyOpen)
			}
			if !ok {
				continue
			}
			if choice.Target.Number == exclude || !plainOpen(choice.Target, own[choice.Target.Number], int64(nodes)) {
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
