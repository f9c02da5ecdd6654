package admission_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hazelslip/internal/policy/admission"
	"hazelslip/internal/testlib/suite"
)

func admit(gate *admission.Gate, class string, share float64, workspace string, capacity admission.Capacity, maxWait time.Duration) (*admission.Permit, *admission.Refusal) {
	return gate.Admit(context.Background(), admission.Request{
		Class:     admission.Class{Name: class, Model: "drafting", Share: share, MaxWait: maxWait},
		Workspace: workspace,
	}, func() admission.Capacity { return capacity })
}

// Guards against a surge that fills every slot: other classes that return to their shares must be admitted
// immediately, not queued behind the surge. The surging class must still get what the others leave idle, or
// slots stay unused.
func TestSurgeDoesNotStarveOtherClasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		gate, capacity := admission.New(), admission.Capacity{Total: 100, Nodes: 1}
		surge := 0
		for range 300 {
			if permit, _ := admit(gate, "surge", 0.3, "one", capacity, 0); permit != nil {
				surge++
			}
		}
		g.Expect(surge).To(gomega.BeNumerically(">=", 75), "idle slots are used")
		g.Expect(surge).To(gomega.BeNumerically("<=", 90), "some slots are kept free")
		for range 40 {
			permit, refusal := admit(gate, "audit", 0.4, "two", capacity, 0)
			g.Expect(refusal).To(gomega.BeNil())
			g.Expect(permit.Guaranteed).To(gomega.BeTrue())
		}
		_, refusal := admit(gate, "audit", 0.4, "two", capacity, 0)
		g.Expect(refusal).NotTo(gomega.BeNil())
		g.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">=", time.Second))
	})
}

// Guards against one workspace that takes all capacity: when capacity runs out, another workspace of the same
// class must still get its part.
func TestLargeWorkspaceLeavesRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		gate, capacity := admission.New(), admission.Capacity{Total: 100, Nodes: 1}
		small, large := 0, 0
		for range 200 {
			if permit, _ := admit(gate, "report", 0, "large", capacity, 0); permit != nil {
				large++
			}
			if permit, _ := admit(gate, "report", 0, "large", capacity, 0); permit != nil {
				large++
			}
			if permit, _ := admit(gate, "report", 0, "small", capacity, 0); permit != nil {
				small++
			}
		}
		g.Expect(small).To(gomega.BeNumerically(">=", 25))
		g.Expect(small + large).To(gomega.BeNumerically(">=", 85))
	})
}

// Guards against queueing a request that can't get a slot within its target: the caller must be refused
// immediately, not after the target has passed.
func TestRequestBeyondTargetIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		gate, capacity := admission.New(), admission.Capacity{Total: 1, Nodes: 1}
		permit, _ := admit(gate, "report", 0, "one", capacity, 0)
		time.Sleep(20 * time.Second)
		permit.Release()
		for range 2 {
			_, _ = admit(gate, "report", 0, "one", capacity, 0)
		}
		began := time.Now()
		_, refusal := admit(gate, "report", 0, "one", capacity, time.Second)
		g.Expect(refusal).NotTo(gomega.BeNil())
		g.Expect(time.Since(began)).To(gomega.BeZero())
	})
}

// Checks random requests and releases: a class within its guaranteed share is never refused, the admitted drafts
// never exceed the capacity and the shares together, and the counts return to zero.
func TestGateInvariants(t *testing.T) {
	suite.SeedRapid(t)
	rapid.Check(t, func(t *rapid.T) {
		gate := admission.New()
		capacity := admission.Capacity{
			Total: int64(rapid.IntRange(1, 60).Draw(t, "total")), Nodes: int64(rapid.IntRange(1, 4).Draw(t, "nodes")),
			PeerRunning: int64(rapid.IntRange(0, 60).Draw(t, "peers")),
		}
		shares := map[string]float64{"a": 0.5, "b": 0.3, "c": 0}
		running := map[string][]*admission.Permit{}
		total := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			class := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "class")
			if rapid.Bool().Draw(t, "leave") && len(running[class]) > 0 {
				running[class][0].Release()
				running[class] = running[class][1:]
				total--
				continue
			}
			guaranteed := shares[class] * float64(capacity.Total) / float64(capacity.Nodes)
			permit, refusal := admit(gate, class, shares[class], "w", capacity, 0)
			if refusal != nil && float64(len(running[class])) < guaranteed {
				t.Fatalf("%s was refused with %d running of %g guaranteed", class, len(running[class]), guaranteed)
			}
			if permit != nil {
				running[class] = append(running[class], permit)
				total++
			}
			if float64(total) > 1.8*float64(capacity.Total)+4 {
				t.Fatalf("%d run in %d slots", total, capacity.Total)
			}
		}
		for _, permits := range running {
			for _, permit := range permits {
				permit.Release()
			}
		}
		for _, state := range gate.State() {
			if state.Running != 0 || state.Waiting != 0 || state.Workspaces != 0 {
				t.Fatalf("left over: %+v", state)
			}
		}
	})
}
