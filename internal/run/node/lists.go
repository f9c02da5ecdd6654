package node

import (
	"slices"
	"sync/atomic"
	"time"

	"hazelslip/internal/fleet/member"
	"hazelslip/internal/peer/instancelist"
)

const (
	// listEvery is how often the own data centre's instances are listed. The
	// servers' own reports tell sooner that one is leaving.
	listEvery = 3 * time.Second
	// entriesEvery is how often the entry nodes of all regions are listed.
	entriesEvery = 15 * time.Second
	listTimeout  = 2 * time.Second
)

// listReader keeps what the instance list says. While the list does not
// answer, the last answer stands.
type listReader struct {
	node     *Node
	services atomic.Pointer[map[string][]instancelist.Instance]
	failures atomic.Uint64
}

func newListReader(node *Node) *listReader {
	reader := &listReader{node: node}
	reader.services.Store(&map[string][]instancelist.Instance{})
	return reader
}

func (reader *listReader) start() {
	seeds := []member.Peer{}
	for _, seed := range reader.node.settings.Peers.Seeds {
		seeds = append(seeds, member.Peer{Address: seed})
	}
	reader.node.members.Learn(seeds)
	reader.node.GoAs("lists", func() {
		reader.readOwn()
		reader.readEntries()
	})
	reader.node.EveryAs("lists", listEvery, func() {
		reader.node.members.Learn(seeds)
		reader.readOwn()
	})
	reader.node.EveryAs("lists", entriesEvery, reader.readEntries)
}

func (reader *listReader) read(query instancelist.Query) ([]instancelist.Instance, bool) {
	ctx, cancel := reader.node.Context(listTimeout)
	defer cancel()
	instances, err := reader.node.list.List(ctx, query)
	if err != nil {
		reader.failures.Add(1)
		return nil, false
	}
	return instances, true
}

func (reader *listReader) readOwn() {
	instances, ok := reader.read(instancelist.Query{DataCentre: reader.node.settings.DataCentre})
	if !ok {
		return
	}
	engines := []instancelist.Instance{}
	services := map[string][]instancelist.Instance{}
	for _, instance := range instances {
		switch instance.Role {
		case instancelist.RoleEngine:
			engines = append(engines, instance)
		case instancelist.RoleService:
			services[instance.Service] = append(services[instance.Service], instance)
		}
	}
	reader.node.facts.List(engines)
	reader.services.Store(&services)
	reader.learn(instances)
}

func (reader *listReader) readEntries() {
	if instances, ok := reader.read(instancelist.Query{Role: instancelist.RoleEntry}); ok {
		reader.learn(instances)
	}
}

func (reader *listReader) learn(instances []instancelist.Instance) {
	peers := []member.Peer{}
	for _, instance := range instances {
		if instance.Role == instancelist.RoleEntry {
			peers = append(peers, member.Peer{Address: instance.Address, Region: instance.Region, DataCentre: instance.DataCentre})
		}
	}
	reader.node.members.Learn(peers)
}

// serviceAddresses returns a service's servers in a random order, without
// those that are leaving.
func (node *Node) serviceAddresses(name string) []string {
	addresses := []string{}
	for _, instance := range (*node.lists.services.Load())[name] {
		if !instance.Leaving {
			addresses = append(addresses, instance.Address)
		}
	}
	if len(addresses) > 1 {
		first := node.random.intN(len(addresses))
		addresses = slices.Concat(addresses[first:], addresses[:first])
	}
	return addresses
}
