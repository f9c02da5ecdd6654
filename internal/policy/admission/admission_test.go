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

func ask(gate *admission.Gate, class string, share float64, workspace string, capacity admission.Capacity, patience time.Duration) (*admission.Pass, *admission.Refusal) {
	return gate.Enter(context.Background(), admission.Request{
		Class:     admission.Class{Name: class, Model: "drafting", Share: share, Patience: patience},
		Workspace: workspace,
	}, func() admission.Capacity { return capacity })
}

// A campaign rush fills every place. The other class's callers come back to
// their share and must be let in at once, not behind the rush; and the rush
// must get what the others leave idle, or places stand empty.
func TestSurgeDoesNotStarveTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		gate, capacity := admission.New(), admission.Capacity{Total: 100, Nodes: 1}
		rush := 0
		for range 300 {
			if pass, _ := ask(gate, "rush", 0.3, "one", capacity, 0); pass != nil {
				rush++
			}
		}
		g.Expect(rush).To(gomega.BeNumerically(">=", 75), "idle places are used")
		g.Expect(rush).To(gomega.BeNumerically("<=", 90), "some places are kept")
		for range 40 {
			pass, refusal := ask(gate, "audit", 0.4, "two", capacity, 0)
			g.Expect(refusal).To(gomega.BeNil())
			g.Expect(pass.Guaranteed).To(gomega.BeTrue())
		}
		_, refusal := ask(gate, "audit", 0.4, "two", capacity, 0)
		g.Expect(refusal).NotTo(gomega.BeNil())
		g.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">=", time.Second))
	})
}

// One workspace sends everything it has. When room runs out another workspace
// of the same class must still get its part.
func TestLargeWorkspaceLeavesRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		gate, capacity := admission.New(), admission.Capacity{Total: 100, Nodes: 1}
		small, large := 0, 0
		for range 200 {
			if pass, _ := ask(gate, "report", 0, "large", capacity, 0); pass != nil {
				large++
			}
			if pass, _ := ask(gate, "report", 0, "large", capacity, 0); pass != nil {
				large++
			}
			if pass, _ := ask(gate, "report", 0, "small", capacity, 0); pass != nil {
				small++
			}
		}
		g.Expect(small).To(gomega.BeNumerically(">=", 25))
		g.Expect(small + large).To(gomega.BeNumerically(">=", 85))
	})
}

// There is no room, and none can come within the target. The caller must hear
// so at once, not after its target has passed.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		gate, capacity := admission.New(), admission.Capacity{Total: 1, Nodes: 1}
		pass, _ := ask(gate, "report", 0, "one", capacity, 0)
		time.Sleep(20 * time.Second)
		pass.Leave()
		for range 2 {
			_, _ = ask(gate, "report", 0, "one", capacity, 0)
		}
		began := time.Now()
		_, refusal := ask(gate, "report", 0, "one", capacity, time.Second)
		g.Expect(refusal).NotTo(gomega.BeNil())
		g.Expect(time.Since(began)).To(gomega.BeZero())
	})
}

// Random requests that come and go: a class within its guaranteed share is
// never refused, what is let in never exceeds the room and the shares together,
// and what runs comes back to zero.
func TestGateKeepsItsBounds(t *testing.T) {
	suite.SeedRapid(t)
	rapid.Check(t, func(t *rapid.T) {
		gate := admission.New()
		capacity := admission.Capacity{
			Total: int64(rapid.IntRange(1, 60).Draw(t, "total")), Nodes: int64(rapid.IntRange(1, 4).Draw(t, "nodes")),
			Peers: int64(rapid.IntRange(0, 60).Draw(t, "peers")),
		}
		shares := map[string]float64{"a": 0.5, "b": 0.3, "c": 0}
		running := map[string][]*admission.Pass{}
		total := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			class := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "class")
			if rapid.Bool().Draw(t, "leave") && len(running[class]) > 0 {
				running[class][0].Leave()
				running[class] = running[class][1:]
				total--
				continue
			}
			guaranteed := shares[class] * float64(capacity.Total) / float64(capacity.Nodes)
			pass, refusal := ask(gate, class, shares[class], "w", capacity, 0)
			if refusal != nil && float64(len(running[class])) < guaranteed {
				t.Fatalf("%s was refused with %d running of %g guaranteed", class, len(running[class]), guaranteed)
			}
			if pass != nil {
				running[class] = append(running[class], pass)
				total++
			}
			if float64(total) > 1.8*float64(capacity.Total)+4 {
				t.Fatalf("%d run in %d places", total, capacity.Total)
			}
		}
		for _, passes := range running {
			for _, pass := range passes {
				pass.Leave()
			}
		}
		for _, state := range gate.State() {
			if state.Running != 0 || state.Waiting != 0 || state.Workspaces != 0 {
				t.Fatalf("left over: %+v", state)
			}
		}
	})
}
