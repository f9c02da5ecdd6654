// Package relay decides who exchanges what with whom in a fleet that is too
// large for every node to talk to every other.
//
// Each data centre has a relay: the first of its nodes in an order that all of
// them work out alike. A node tells its relay what it has under way and is told
// what all others have; relays of different data centres tell each other the
// sums of theirs. So what a node sends grows with the groups that it uses, not
// with the square of the fleet, and what passes between data centres grows with
// the number of these alone. A node whose relay doesn't answer goes on with the
// next in the order, without waiting for anybody's agreement: two relays at once
// waste messages and break nothing.
//
// The package holds the order and the Table of what relays said; it sends
// nothing.
//
// # Usage
//
//	first := relay.Order("east", members)[0]
//	table := relay.NewTable()
//	table.Take("west", digest)
//	members := table.Fresh(now, time.Second)["west"].Members
package relay

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hazelslip/internal/policy/dispatch"
)

// Member is a node that is alive, as its data centre's relay knows it.
type Member struct {
	Incarnation uint64
	Address     string
	DataCentre  string
	// Term is the number of its right to give orders, 0 for none.
	Term int64
	// Fit says that it knows a configuration and the servers.
	Fit bool
	// StoreAway says that the platform's store doesn't answer it.
	StoreAway bool
	// Capacity is its share of a processor, in thousandths of a core.
	Capacity uint32
}

// Order sorts the nodes of a data centre, its relay first: one that knows what
// there is to know and reaches the store, so that its reads serve the others;
// of these the one with the most processor, since a relay answers its whole
// data centre several times a second; and among equals by a hash, so that all
// nodes come to the same.
func Order(dataCentre string, members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(
			-compareBool(a.Fit, b.Fit),
			compareBool(a.StoreAway, b.StoreAway),
			-cmp.Compare(a.Capacity, b.Capacity),
			cmp.Compare(weigh(dataCentre, a.Address), weigh(dataCentre, b.Address)),
			cmp.Compare(a.Address, b.Address),
		)
	})
	return sorted
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func weigh(dataCentre, address string) uint64 {
	return xxhash.Sum64String(dataCentre + "/" + address)
}

// Version is a hash of members in any order, by which two nodes see that they
// know the same.
func Version(members []Member) uint64 {
	sum := uint64(0)
	for _, member := range members {
		buffer := make([]byte, 0, 64)
		buffer = append(buffer, member.Address...)
		buffer = binary.BigEndian.AppendUint64(buffer, member.Incarnation)
		buffer = binary.BigEndian.AppendUint64(buffer, uint64(member.Term))
		buffer = binary.BigEndian.AppendUint32(buffer, member.Capacity)
		buffer = append(buffer, bit(member.Fit), bit(member.StoreAway))
		// A sum doesn't depend on the order; members differ in their addresses,
		// so that none cancels another out.
		sum += xxhash.Sum64(buffer)
	}
	return sum
}

func bit(value bool) byte {
	if value {
		return 1
	}
	return 0
}

// Digest is what a relay said of its data centre.
type Digest struct {
	// At is when the relay worked it out, by this node's clock.
	At time.Duration
	// Version is the hash of the members. Members is nil where the sender knew
	// that this node has them.
	Version uint64
	Members []Member
	// Loads is nil where the sender left them out.
	Loads map[string]dispatch.Share
}

// Table is the newest digest of each data centre.
type Table struct {
	mu      sync.Mutex
	digests map[string]Digest
}

// NewTable returns a table that knows nothing.
func NewTable() *Table {
	return &Table{digests: map[string]Digest{}}
}

// Take notes a digest if it is newer than what is held. One that leaves out
// members which this node doesn't have is of no use.
func (table *Table) Take(dataCentre string, digest Digest) {
	table.mu.Lock()
	defer table.mu.Unlock()
	held, known := table.digests[dataCentre]
	if known && digest.At <= held.At {
		return
	}
	if digest.Members == nil {
		if !known || held.Version != digest.Version {
			return
		}
		digest.Members = held.Members
	}
	table.digests[dataCentre] = digest
}

// Versions returns the version of the members that are held of each data
// centre.
func (table *Table) Versions() map[string]uint64 {
	table.mu.Lock()
	defer table.mu.Unlock()
	versions := make(map[string]uint64, len(table.digests))
	for dataCentre, digest := range table.digests {
		versions[dataCentre] = digest.Version
	}
	return versions
}

// Fresh returns the digests that are at most so old.
func (table *Table) Fresh(now, span time.Duration) map[string]Digest {
	table.mu.Lock()
	defer table.mu.Unlock()
	fresh := make(map[string]Digest, len(table.digests))
	for dataCentre, digest := range table.digests {
		if now-digest.At < span {
			fresh[dataCentre] = digest
		}
	}
	return fresh
}
