// Package rendezvous assigns duties to nodes by rendezvous hashing (highest random weight).
//
// Nodes that see the same live nodes compute the same assignment, and the loss of a node moves only the duties of that
// node. The assignment says which node should act. Which node may act is decided by the log or by the backend servers,
// so nodes that disagree about an assignment duplicate work but violate no invariant.
//
// # Usage
//
//	watcher, ok := rendezvous.Pick("domain-7", liveIncarnations)
package rendezvous

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Pick returns the node with the highest weight for the key, or false if there are no nodes. The order of nodes does
// not matter.
func Pick(key string, nodes []uint64) (uint64, bool) {
	var best, bestWeight uint64
	for _, node := range nodes {
		weight := weightOf(key, node)
		if best == 0 || weight > bestWeight || (weight == bestWeight && node > best) {
			best, bestWeight = node, weight
		}
	}
	return best, best != 0
}

// Rank returns the number of candidates that rank before the node for the key; ties go to the higher node.
func Rank(key string, node uint64, candidates []uint64) int {
	rank := 0
	ownWeight := weightOf(key, node)
	for _, candidate := range candidates {
		weight := weightOf(key, candidate)
		if weight > ownWeight || (weight == ownWeight && candidate > node) {
			rank++
		}
	}
	return rank
}

// UnitHash maps a key and a node to a number in [0, 1). It serves to grant a share of a resource to a fraction of the
// nodes. The number is deterministic: with a random one, a node could obtain a share by trying repeatedly.
func UnitHash(key string, node uint64) float64 {
	return float64(weightOf(key, node)>>discardedBits) / (1 << mantissaBits)
}

// A float64 represents integers of mantissaBits bits exactly. UnitHash discards the remaining bits of the 64-bit hash.
const (
	mantissaBits  = 53
	discardedBits = 64 - mantissaBits
)

func weightOf(key string, node uint64) uint64 {
	buffer := make([]byte, 0, 64)
	buffer = binary.BigEndian.AppendUint64(buffer, node)
	buffer = append(buffer, key...)
	return xxhash.Sum64(buffer)
}
