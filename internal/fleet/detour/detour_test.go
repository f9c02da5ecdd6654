package detour_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/detour"
	"hazelslip/internal/policy/reach"
)

// Guards against requests that go through a node that doesn't reach the service, that was not heard of lately,
// or that has just failed to take one.
func TestNodesThatCanNotServeAreNotChosen(t *testing.T) {
	expect := gomega.NewWithT(t)
	at := time.Hour
	table := detour.New("east", detour.Clock(func() time.Duration { return at }))
	lost := []reach.Destination{{Service: "drafts", DataCentre: "east"}, {Service: "drafts", DataCentre: "west"}}
	choose := func(exclude ...string) string {
		peer, found := table.Choose("drafts", lost, exclude)
		if !found {
			return ""
		}
		return peer.Address
	}
	expect.Expect(choose()).To(gomega.BeEmpty())
	table.Heard(detour.Node{Address: "a", DataCentre: "east", Lost: lost})
	expect.Expect(choose()).To(gomega.BeEmpty())
	table.Heard(detour.Node{Address: "b", DataCentre: "west", Lost: lost[:1]})
	expect.Expect(choose()).To(gomega.Equal("b"))
	table.Heard(detour.Node{Address: "c", DataCentre: "east", Calls: 50})
	expect.Expect(choose()).To(gomega.Equal("c"), "the own data centre first")
	expect.Expect(choose("c")).To(gomega.Equal("b"))
	table.Lacks("c", "drafts", lost)
	expect.Expect(choose()).To(gomega.Equal("b"), "it refused a request since it reaches none either")
	table.Heard(detour.Node{Address: "c", DataCentre: "east", Calls: 50})
	table.Failed("c")
	expect.Expect(choose()).To(gomega.Equal("b"))
	at += time.Second
	table.Heard(detour.Node{Address: "c", DataCentre: "east"})
	expect.Expect(choose()).To(gomega.Equal("c"))
	at += 2 * time.Second
	expect.Expect(choose()).To(gomega.BeEmpty())
}

// Load: most nodes of a fleet lose their ways at once, and each knows a few of the others. Guards against
// one node that is sent the requests of all.
func TestRequestsSpreadOverTheNodesThatAreLeft(t *testing.T) {
	for _, fleet := range []struct{ cut, left, known int }{{6, 1, 1}, {4, 3, 3}, {80, 11, 8}, {900, 84, 8}} {
		expect := gomega.NewWithT(t)
		draw := rand.New(rand.NewPCG(1, 2))
		taken := make([]int, fleet.left)
		for range fleet.cut {
			table := detour.New("east", detour.Clock(func() time.Duration { return time.Hour }), detour.Random(draw.IntN))
			for _, node := range draw.Perm(fleet.left)[:fleet.known] {
				table.Heard(detour.Node{Address: fmt.Sprint(node), DataCentre: "east", Calls: taken[node]})
			}
			for range 20 {
				peer, found := table.Choose("drafts", []reach.Destination{{Service: "drafts"}}, nil)
				expect.Expect(found).To(gomega.BeTrue())
				peer.Begin(0, 0, func() {})
				node := 0
				_, err := fmt.Sscan(peer.Address, &node)
				expect.Expect(err).NotTo(gomega.HaveOccurred())
				taken[node]++
			}
		}
		most, mean := 0, float64(fleet.cut*20)/float64(fleet.left)
		for _, calls := range taken {
			most = max(most, calls)
		}
		expect.Expect(float64(most)).To(gomega.BeNumerically("<=", 1.5*mean), "%d of %d cut: %v", fleet.cut, fleet.cut+fleet.left, taken)
	}
}
