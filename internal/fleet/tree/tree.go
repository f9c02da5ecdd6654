// Package tree determines which nodes send updates to which other nodes of a fleet.
//
// The nodes of each data centre have an order that all nodes compute identically. The first nodes in the order are
// relays: they keep the full state and send the other nodes, the leaves, what these need. The first live relay is the
// root of its data centre: it sends updates to the other relays and exchanges updates with the roots of the other
// data centres. So the cost of a leaf does not grow with the fleet, and the cost of a relay grows with its share of
// its data centre.
//
// No agreement protocol is needed. A node attaches only to nodes that precede it in the order, so there are no
// cycles. A node that reaches none of them acts as a root. Two roots in one data centre represent different nodes,
// and find each other when the later one reaches the earlier one.
//
// The package only computes the order; it opens no connections.
//
// # Usage
//
//	position := tree.PositionOf(self, others, tree.Relays)
//	for _, address := range position.Upstreams { ... }
package tree

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Relays is the number of relays per data centre. With sixty nodes, each relay has twenty leaves, and the loss of a
// relay moves twenty. The second and third relay keep the full state while the first is unavailable.
const Relays = 3

// fallbackUpstreams is how many further nodes a leaf tries if it reaches no relay.
const fallbackUpstreams = 3

// Member is a node, reduced to the properties that determine its position.
type Member struct {
	Address    string
	DataCentre string
	// Capacity is the node's processor share, in thousandths of a core.
	Capacity uint32
}

// Compare orders two nodes of a data centre. A node with more processor capacity comes first, because a relay serves
// many others. Equal nodes are ordered by a hash, so that all nodes compute the same order.
func Compare(a, b Member) int {
	return cmp.Or(
		-cmp.Compare(a.Capacity, b.Capacity),
		cmp.Compare(orderHash(a.DataCentre, a.Address), orderHash(b.DataCentre, b.Address)),
		cmp.Compare(a.Address, b.Address),
	)
}

// Order sorts the nodes of a data centre, beginning with the preferred root.
func Order(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, Compare)
	return sorted
}

func orderHash(scope, address string) uint64 {
	return xxhash.Sum64String(scope + "/" + address)
}

// Position is the position of a node in the tree.
type Position struct {
	// Relay is set when the node is one of the first of its data centre.
	Relay bool
	// Upstreams lists the addresses of the nodes that this node may attach to, best first.
	Upstreams []string
}

// PositionOf returns the position of a node among others that may be alive. A relay attaches to the earliest node
// that it reaches. A leaf attaches to any relay; each leaf has its own order of preference, which spreads the leaves
// over the relays.
func PositionOf(self Member, others []Member, relays int) Position {
	earlier := []Member{}
	for _, other := range others {
		if other.DataCentre == self.DataCentre && other.Address != self.Address && Compare(other, self) < 0 {
			earlier = append(earlier, other)
		}
	}
	earlier = Order(earlier)
	position := Position{Relay: len(earlier) < relays}
	candidates := earlier[:min(relays, len(earlier))]
	if !position.Relay {
		slices.SortFunc(candidates, func(a, b Member) int {
			return cmp.Compare(orderHash(self.Address, a.Address), orderHash(self.Address, b.Address))
		})
	}
	for _, member := range candidates {
		position.Upstreams = append(position.Upstreams, member.Address)
	}
	for _, member := range earlier[len(candidates):min(len(earlier), len(candidates)+fallbackUpstreams)] {
		position.Upstreams = append(position.Upstreams, member.Address)
	}
	return position
}
