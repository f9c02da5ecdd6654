package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/common/outcome"
	"hazelslip/internal/peer/caller"
	"hazelslip/internal/run/demo"
	"hazelslip/internal/run/settings"
	"hazelslip/internal/standin/engine"
	"hazelslip/internal/standin/platform"
	"hazelslip/internal/testlib/fleet"
)

// logOutage makes the log unavailable.
var logOutage = platform.LogFaults{Dark: true}

// smallShape is one data centre with two nodes and one fabric domain of eight engines. In the given number of
// domains, 0 or 1, the engines ignore fencing numbers.
func smallShape(unchecked int) demo.Shape {
	return demo.Shape{
		DataCentres: []string{"lakes-a"}, Nodes: 2, Domains: 1, Engines: 8, UncheckedDomains: unchecked,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}
}

// withFleet runs a test on a fleet in virtual time. After the test it checks the invariants that the nodes and the
// stand-ins record.
func withFleet(t *testing.T, shape demo.Shape, test func(t *testing.T, running *fleet.Fleet, g *gomega.WithT)) {
	t.Helper()
	fleet.Bubble(t, func(t *testing.T) {
		running := fleet.New(t, shape)
		defer running.Stop()
		running.Start()
		running.ApplyClasses(fleet.ClassTarget("report", "drafting", 0.5))
		running.Eventually(90*time.Second, "all groups serve", allNodesSeeServing(running, shape.Domains*shape.Engines/4))
		test(t, running, gomega.NewWithT(t))
		assertInvariants(t, running)
	})
}

func assertInvariants(t *testing.T, running *fleet.Fleet) {
	t.Helper()
	g := gomega.NewWithT(t)
	for _, node := range running.Nodes {
		if node == nil {
			continue
		}
		state := node.State()
		numbers := map[uint64]bool{}
		for _, group := range state.Groups {
			g.Expect(numbers[group.Number]).To(gomega.BeFalse(), "two groups have the number %d", group.Number)
			numbers[group.Number] = true
		}
		g.Expect(state.Tally.Violations).To(gomega.BeZero(), "groups")
		g.Expect(state.Bookings.Violations).To(gomega.BeZero(), "bookings")
		g.Expect(state.Classes.Reverts).To(gomega.BeZero(), "configuration")
		g.Expect(state.Drafts.Violations).To(gomega.BeZero(), "drafts")
	}
	for _, server := range running.Environment.Engines {
		g.Expect(server.Violations()).To(gomega.BeEmpty())
	}
	g.Expect(running.Environment.ExecutionCounter.Duplicates()).To(gomega.BeZero())
}

// A draft must be returned in full, and a booking repeated at another node must be replayed without a second execution.
func TestDraftAndBookingEndToEnd(t *testing.T) {
	withFleet(t, smallShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		result := running.Generate(0, "report", "the cellar is dry", 12)
		g.Expect(result.Complete).To(gomega.BeTrue(), result.Error)
		g.Expect(result.Text).To(gomega.Equal(engine.Completion(fleet.Prompt("the cellar is dry"), 12)))

		booked := running.BookSlot(0, "visit-1", "Tuesday")
		g.Expect(booked.Outcome).To(gomega.Equal(outcome.Run), booked.Text)
		replayed := running.BookSlot(1, "visit-1", "Tuesday")
		g.Expect(replayed.Header.Get(caller.HeaderReplayed)).To(gomega.Equal("true"))
		g.Expect(replayed.Text).To(gomega.Equal(booked.Text))
		g.Expect(running.Environment.ExecutionCounter.Executions("visit-1")).To(gomega.Equal(1))
	})
}

// The group that generates a draft fails while the caller reads the draft. The caller must receive the complete and
// correct text exactly once, even if tokens are lost, late, duplicated, out of order, or from an abandoned attempt.
func TestDraftSurvivesEngineFaults(t *testing.T) {
	cases := map[string]engine.Faults{
		"refuses":                    {RefuseDrafts: 1},
		"dies before first token":    {BreakDrafts: 1, BreakAtToken: 0},
		"dies in mid-answer":         {BreakDrafts: 1, BreakAtToken: 7},
		"loses a piece":              {LoseToken: 5},
		"answers late":               {LateMs: 9000},
		"sends pieces twice":         {DuplicateToken: true},
		"sends pieces out of order":  {ReorderTokens: true},
		"answers for an old attempt": {StaleAttempts: true},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			withFleet(t, smallShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
				for _, server := range running.Environment.Engines {
					server.SetFaults(faults)
				}
				time.AfterFunc(2*time.Second, func() {
					for _, server := range running.Environment.Engines {
						server.SetFaults(engine.Faults{})
					}
				})
				result := running.Generate(0, "report", name, 20)
				g.Expect(result.Complete).To(gomega.BeTrue(), result.Error)
				g.Expect(result.Text).To(gomega.Equal(engine.Completion(fleet.Prompt(name), 20)))
				time.Sleep(6 * time.Second)
			})
		})
	}
}

// Nodes are restarted one after the other, as for an upgrade, while they serve long drafts. No draft may be cut off: a
// stopping node reports at once that it is not ready, accepts requests until the load balancer has noticed, and
// finishes the requests in flight.
func TestGracefulShutdownFinishesDrafts(t *testing.T) {
	withFleet(t, smallShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		for index := range running.Nodes {
			results := make([]fleet.Result, 8)
			callers := conc.NewWaitGroup()
			for caller := range results {
				callers.Go(func() { results[caller] = running.Generate(index, "report", "long visit", 400) })
			}
			time.Sleep(100 * time.Millisecond)
			stopping := running.Nodes[index]
			callers.Go(stopping.Stop)
			time.Sleep(time.Millisecond)
			g.Expect(running.Call(index, http.MethodGet, "/readyz", nil, "").Status).To(gomega.Equal(http.StatusServiceUnavailable))
			callers.Wait()
			for _, result := range results {
				g.Expect(result.Complete).To(gomega.BeTrue(), result.Error)
				g.Expect(result.Text).To(gomega.Equal(engine.Completion(fleet.Prompt("long visit"), 400)))
			}
			running.StartNode(index)
			running.Eventually(20*time.Second, "the new incarnation is ready", func() bool {
				return running.Nodes[index].Ready() == nil && running.ServingGroups(index, "drafting") == 2
			})
		}
	})
}
