package detour_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/detour"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/pathhealth"
)

// Guards against requests through a node that does not reach the service, has not reported recently, or has just failed
// to take a request.
func TestUnusableNodesAreNotChosen(t *testing.T) {
	expect := gomega.NewWithT(t)
	at := time.Hour
	table := detour.New("east", detour.Clock(func() time.Duration { return at }))
	lost := []pathhealth.Destination{{Service: "drafts", DataCentre: "east"}, {Service: "drafts", DataCentre: "west"}}
	choose := func(exclude ...string) string {
		peer, found := table.Choose("drafts", lost, exclude)
		if !found {
			return ""
		}
		return peer.Address
	}
	expect.Expect(choose()).To(gomega.BeEmpty())
	table.RecordReport(detour.Node{Address: "a", DataCentre: "east", Lost: lost})
	expect.Expect(choose()).To(gomega.BeEmpty())
	table.RecordReport(detour.Node{Address: "b", DataCentre: "west", Lost: lost[:1]})
	expect.Expect(choose()).To(gomega.Equal("b"))
	table.RecordReport(detour.Node{Address: "c", DataCentre: "east", Calls: 50})
	expect.Expect(choose()).To(gomega.Equal("c"), "nodes of the own data centre come first")
	expect.Expect(choose("c")).To(gomega.Equal("b"))
	table.RecordLostPaths("c", "drafts", lost)
	expect.Expect(choose()).To(gomega.Equal("b"), "c refused a request because it reaches no server either")
	table.RecordReport(detour.Node{Address: "c", DataCentre: "east", Calls: 50})
	table.RecordFailure("c")
	expect.Expect(choose()).To(gomega.Equal("b"))
	at += time.Second
	table.RecordReport(detour.Node{Address: "c", DataCentre: "east"})
	expect.Expect(choose()).To(gomega.Equal("c"))
	at += 2 * time.Second
	expect.Expect(choose()).To(gomega.BeEmpty())
}

// Guards against one node that receives the requests of all others: most nodes of a fleet lose their paths at once,
// and each knows only a few of the remaining nodes.
func TestRequestsSpreadOverRemainingNodes(t *testing.T) {
	for _, fleet := range []struct{ isolated, connected, known int }{{6, 1, 1}, {4, 3, 3}, {80, 11, 8}, {900, 84, 8}} {
		expect := gomega.NewWithT(t)
		draw := rand.New(rand.NewPCG(1, 2))
		calls := make([]int, fleet.connected)
		for range fleet.isolated {
			table := detour.New("east", detour.Clock(func() time.Duration { return time.Hour }), detour.Random(draw.IntN))
			for _, node := range draw.Perm(fleet.connected)[:fleet.known] {
				table.RecordReport(detour.Node{Address: fmt.Sprint(node), DataCentre: "east", Calls: calls[node]})
			}
			for range 20 {
				peer, found := table.Choose("drafts", []pathhealth.Destination{{Service: "drafts"}}, nil)
				expect.Expect(found).To(gomega.BeTrue())
				peer.Begin(0, 0, func() {}, func(dispatch.Suspicion) {})
				node := 0
				_, err := fmt.Sscan(peer.Address, &node)
				expect.Expect(err).NotTo(gomega.HaveOccurred())
				calls[node]++
			}
		}
		most, mean := 0, float64(fleet.isolated*20)/float64(fleet.connected)
		for _, count := range calls {
			most = max(most, count)
		}
		expect.Expect(float64(most)).To(gomega.BeNumerically("<=", 1.5*mean), "%d of %d nodes isolated: %v", fleet.isolated, fleet.isolated+fleet.connected, calls)
	}
}
