package node

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"hazelslip/internal/fleet/member"
	"hazelslip/internal/peer/instancelist"
	"hazelslip/internal/wire/exchange"
)

const (
	// listTick is how often it is looked whether a listing has to be read.
	listTick    = time.Second
	listTimeout = 2 * time.Second
	// listTooOld is the age at which a node reads a listing itself, though it
	// is another node's duty.
	listTooOld = 4
)

// A listing is one question to the instance list. Every node needs the answers
// and they are long, so one node of the data centre asks, and its peers pull
// what changed.
type listing struct {
	name  string
	query instancelist.Query
	every time.Duration
	apply func(instances []instancelist.Instance)
	// At is when the answer was asked for; version a hash of it.
	at        time.Duration
	version   uint64
	instances []instancelist.Instance
	own       bool
}

// listReader keeps what the instance list says. While neither the list nor a
// peer answers, the last answer stands.
type listReader struct {
	node     *Node
	services atomic.Pointer[map[string][]instancelist.Instance]
	failures atomic.Uint64
	reads    atomic.Uint64

	mu       sync.Mutex
	listings []*listing
}

func newListReader(node *Node) *listReader {
	reader := &listReader{node: node}
	reader.services.Store(&map[string][]instancelist.Instance{})
	reader.listings = []*listing{
		{
			// The servers' own reports tell sooner that one is leaving.
			name: "own", query: instancelist.Query{DataCentre: node.settings.DataCentre},
			every: 3 * time.Second, apply: reader.applyOwn,
		},
		{
			name: "entries", query: instancelist.Query{Role: instancelist.RoleEntry},
			every: 15 * time.Second, apply: reader.learn,
		},
	}
	return reader
}

func (reader *listReader) start() {
	seeds := []member.Peer{}
	for _, seed := range reader.node.settings.Peers.Seeds {
		seeds = append(seeds, member.Peer{Address: seed})
	}
	reader.node.members.AddAddresses(seeds)
	reader.node.GoAs("lists", reader.tick)
	reader.node.EveryAs("lists", listTick, func() {
		reader.node.members.AddAddresses(seeds)
		reader.tick()
	})
}

// tick reads each listing that is this node's duty and due, or that is too old
// to wait for the node whose duty it is.
func (reader *listReader) tick() {
	for _, listing := range reader.listings {
		reader.mu.Lock()
		age, never := reader.node.now()-listing.at, listing.at == 0
		reader.mu.Unlock()
		mine := reader.node.members.OwnsDuty("list/" + listing.name)
		if never || (mine && age >= listing.every) || age >= listTooOld*listing.every {
			reader.read(listing)
		}
	}
	reader.renew()
}

func (reader *listReader) read(listing *listing) {
	ctx, cancel := reader.node.Context(listTimeout)
	defer cancel()
	at := reader.node.now()
	reader.reads.Add(1)
	instances, err := reader.node.list.List(ctx, listing.query)
	if err != nil {
		reader.failures.Add(1)
		return
	}
	reader.take(listing, instances, at, true)
}

// take replaces a listing by a newer one.
func (reader *listReader) take(listing *listing, instances []instancelist.Instance, at time.Duration, own bool) {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	if at <= listing.at {
		return
	}
	listing.at, listing.instances, listing.own = at, instances, own
	listing.version = xxhash.Sum64String(fmt.Sprint(instances))
	listing.apply(instances)
}

// renew tells the parts again what stands, so that they do not forget it while
// no new answer comes.
func (reader *listReader) renew() {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	for _, listing := range reader.listings {
		if listing.at != 0 {
			reader.learn(listing.instances)
		}
	}
}

func (reader *listReader) applyOwn(instances []instancelist.Instance) {
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
	reader.node.facts.UpdateListed(engines)
	reader.services.Store(&services)
	reader.learn(instances)
}

func (reader *listReader) learn(instances []instancelist.Instance) {
	peers := []member.Peer{}
	for _, instance := range instances {
		if instance.Role == instancelist.RoleEntry {
			peers = append(peers, member.Peer{Address: instance.Address, Region: instance.Region, DataCentre: instance.DataCentre})
		}
	}
	reader.node.members.AddAddresses(peers)
}

// versions says what this node holds, when it asks a peer.
func (reader *listReader) versions() []*exchange.ListingVersion {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	versions := []*exchange.ListingVersion{}
	for _, listing := range reader.listings {
		versions = append(versions, &exchange.ListingVersion{Name: listing.name, Version: listing.version})
	}
	return versions
}

// own returns the listings that this node read itself, whole only where the
// asker holds another version.
func (reader *listReader) own(held []*exchange.ListingVersion) []*exchange.Listing {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	given := []*exchange.Listing{}
	for _, listing := range reader.listings {
		if !listing.own {
			continue
		}
		wire := &exchange.Listing{Name: listing.name, Version: listing.version, AgeMs: milliseconds(reader.node.now() - listing.at)}
		wire.Same = slices.ContainsFunc(held, func(version *exchange.ListingVersion) bool {
			return version.Name == listing.name && version.Version == listing.version
		})
		if !wire.Same {
			wire.Lines = toListed(listing.instances)
		}
		given = append(given, wire)
	}
	return given
}

// learnFrom takes a peer's listing if it is newer than this node's.
func (reader *listReader) learnFrom(sent time.Duration, wire *exchange.Listing) {
	index := slices.IndexFunc(reader.listings, func(listing *listing) bool { return listing.name == wire.Name })
	if index < 0 {
		return
	}
	listing := reader.listings[index]
	at := sent - time.Duration(wire.AgeMs)*time.Millisecond
	if !wire.Same {
		reader.take(listing, fromListed(wire.Lines), at, false)
		return
	}
	reader.mu.Lock()
	defer reader.mu.Unlock()
	if listing.version == wire.Version && at > listing.at {
		listing.at, listing.own = at, false
	}
}

func toListed(instances []instancelist.Instance) []*exchange.Listed {
	lines := make([]*exchange.Listed, 0, len(instances))
	for _, instance := range instances {
		lines = append(lines, &exchange.Listed{
			ID: instance.ID, Address: instance.Address, Role: instance.Role, Region: instance.Region,
			DataCentre: instance.DataCentre, FabricDomain: instance.FabricDomain, Service: instance.Service, Leaving: instance.Leaving,
		})
	}
	return lines
}

func fromListed(lines []*exchange.Listed) []instancelist.Instance {
	instances := make([]instancelist.Instance, 0, len(lines))
	for _, line := range lines {
		instances = append(instances, instancelist.Instance{
			ID: line.ID, Address: line.Address, Role: line.Role, Region: line.Region,
			DataCentre: line.DataCentre, FabricDomain: line.FabricDomain, Service: line.Service, Leaving: line.Leaving,
		})
	}
	return instances
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
