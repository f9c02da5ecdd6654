package tree_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/tree"
)

func fleet(nodes int) []tree.Member {
	members := []tree.Member{}
	for number := range nodes {
		capacity := uint32(192)
		if number < 3 {
			capacity = 800
		}
		members = append(members, tree.Member{Address: fmt.Sprintf("10.0.0.%d:1", number), DataCentre: "east", Capacity: capacity})
	}
	return members
}

// All nodes must compute the same order, whatever order they learned of each other in. Otherwise two nodes could
// attach to each other, and neither would receive updates.
func TestOrderIsIndependentOfInputOrder(t *testing.T) {
	expect := gomega.NewWithT(t)
	members := fleet(60)
	sorted := tree.Order(members)
	for seed := range uint64(50) {
		shuffled := slices.Clone(members)
		rand.New(rand.NewPCG(seed, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		expect.Expect(tree.Order(shuffled)).To(gomega.Equal(sorted))
	}
}

func TestNodesAttachOnlyToEarlierNodes(t *testing.T) {
	expect := gomega.NewWithT(t)
	members := fleet(40)
	sorted := tree.Order(members)
	for number, member := range sorted {
		position := tree.PositionOf(member, members, tree.Relays)
		expect.Expect(position.Relay).To(gomega.Equal(number < tree.Relays))
		for _, upstream := range position.Upstreams {
			index := slices.IndexFunc(sorted, func(other tree.Member) bool { return other.Address == upstream })
			expect.Expect(index).To(gomega.BeNumerically("<", number))
		}
	}
	expect.Expect(tree.PositionOf(sorted[0], members, tree.Relays).Upstreams).To(gomega.BeEmpty())
}

// A relay serves each of its leaves several times a second. Guards against one relay that serves all leaves while the
// other relays are idle.
func TestLeavesSpreadOverTheRelays(t *testing.T) {
	expect := gomega.NewWithT(t)
	members := fleet(60)
	counts := map[string]int{}
	for _, member := range members {
		if position := tree.PositionOf(member, members, tree.Relays); !position.Relay {
			expect.Expect(position.Upstreams).To(gomega.HaveLen(min(6, slices.Index(addresses(tree.Order(members)), member.Address))))
			counts[position.Upstreams[0]]++
		}
	}
	expect.Expect(counts).To(gomega.HaveLen(3))
	for relay, count := range counts {
		expect.Expect(count).To(gomega.BeNumerically(">=", 10), relay)
	}
}

// Guards against a data centre without relays. When its three strongest nodes are gone for good and no node counts
// them any more, all nodes must take the next three as relays.
func TestNextNodesBecomeRelays(t *testing.T) {
	expect := gomega.NewWithT(t)
	remaining := tree.Order(fleet(20))[3:]
	expect.Expect(tree.PositionOf(remaining[0], remaining, tree.Relays)).To(gomega.Equal(tree.Position{Relay: true}))
	expect.Expect(tree.PositionOf(remaining[7], remaining, tree.Relays).Upstreams).To(gomega.ContainElements(remaining[0].Address, remaining[1].Address, remaining[2].Address))
}

func addresses(members []tree.Member) []string {
	found := []string{}
	for _, member := range members {
		found = append(found, member.Address)
	}
	return found
}
