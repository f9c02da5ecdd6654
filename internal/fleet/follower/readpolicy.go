package follower

import (
	"time"

	"hazelslip/internal/fleet/overlay"
)

// ReadPolicy holds the facts that decide when a node reads the store.
type ReadPolicy struct {
	Role overlay.Role
	// Rank returns the node's rank among the nodes that may be the reader; 0 is the reader.
	Rank func() int
	// RootsUnavailable reports that the node is a root, and that the store answers none of the roots it knows.
	RootsUnavailable bool
	// FedByUpstream reports that an upstream node sends this node the data that it needs.
	FedByUpstream bool
	// MissesVersion reports that the node has known for a while that a newer configuration exists.
	MissesVersion bool
}

const (
	// configurationMaxAge is how long ago the configuration may have been confirmed as the newest before the node
	// asks the store itself.
	configurationMaxAge = 800 * time.Millisecond
	// suppliedReadInterval is how often a node that receives its data from other nodes still asks the store for the
	// configuration.
	suppliedReadInterval = 30 * time.Second
	// startupReadDelay is how long a restarting node looks for other nodes that have the configuration before it asks
	// the store.
	startupReadDelay = 250 * time.Millisecond
	// firstListDelay is how long a node that has just attached to an upstream node waits for a server list before it
	// reads the registry.
	firstListDelay = 300 * time.Millisecond
	// readerListMaxAge is the maximum age of the server list at the reader.
	readerListMaxAge = 400 * time.Millisecond
	// ListMaxAge is the maximum age of the server list at the other nodes before they read the registry themselves.
	// Each rank adds listMaxAgeStep, so that the nodes read one after the other.
	ListMaxAge     = 1100 * time.Millisecond
	listMaxAgeStep = 150 * time.Millisecond
	// maxListMaxAgeSteps bounds the sum of the steps. With many data centres the last node would otherwise wait until
	// long after servers that left are gone.
	maxListMaxAgeSteps = 800 * time.Millisecond
)

// IsReader reports whether the node is the reader, which reads the store on behalf of all nodes.
func (readPolicy ReadPolicy) IsReader() bool {
	return readPolicy.Role == overlay.Root && readPolicy.Rank() == 0
}

// supplied reports whether other nodes supply this one with the store's data.
func (readPolicy ReadPolicy) supplied(configurationAge time.Duration) bool {
	return !readPolicy.MissesVersion && (readPolicy.FedByUpstream || configurationAge < configurationMaxAge)
}

// shouldAsk reports whether the node asks the store for the configuration. The reader asks all the time. Other nodes
// except leaves ask every suppliedReadInterval, and any node asks if no other node supplies it with updates. While
// the store answers no root, every root asks, because the reader may be the last that the store answers again.
func (readPolicy ReadPolicy) shouldAsk(configurationAge, sinceAsked time.Duration) bool {
	switch {
	case readPolicy.IsReader(), readPolicy.RootsUnavailable:
		return true
	case readPolicy.Role == overlay.Leaf:
		return !readPolicy.supplied(configurationAge)
	}
	return !readPolicy.supplied(configurationAge) || sinceAsked >= suppliedReadInterval
}

// listMaxAge returns the maximum age of the node's server list before it reads the registry itself. It is infinite
// for a node that an upstream node supplies, and for a starting node, which first looks for such an upstream node.
func (readPolicy ReadPolicy) listMaxAge() time.Duration {
	if readPolicy.Role == overlay.Starting || readPolicy.FedByUpstream {
		return infiniteAge
	}
	rank := readPolicy.Rank()
	if rank == 0 {
		return readerListMaxAge
	}
	return ListMaxAge + min(time.Duration(rank)*listMaxAgeStep, maxListMaxAgeSteps)
}
