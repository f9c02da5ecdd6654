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
	// listCheckInterval is the interval at which the node checks which listings are due.
	listCheckInterval = time.Second
	listTimeout       = 2 * time.Second
	// listMaxIntervals is the age of a listing, in intervals, at which a node reads it although it is assigned to
	// another node.
	listMaxIntervals = 4
)

// listing is one query to the instance list and its latest result. All nodes need the results, which are large, so one
// node of the data centre runs the query and its peers pull the results that have changed.
type listing struct {
	name     string
	query    instancelist.Query
	interval time.Duration
	apply    func(instances []instancelist.Instance)
	// requestedAt is the time before the query was sent, version a hash of its result. readHere is true if this node
	// ran the query itself.
	requestedAt time.Duration
	version     uint64
	instances   []instancelist.Instance
	readHere    bool
}

// listReader holds the latest results from the instance list. While neither the instance list nor a peer responds, the
// last results remain in use.
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
			// The reports of the servers show earlier than this query that a server is leaving.
			name: "own", query: instancelist.Query{DataCentre: node.settings.DataCentre},
			interval: 3 * time.Second, apply: reader.applyDataCentre,
		},
		{
			name: "entries", query: instancelist.Query{Role: instancelist.RoleEntry},
			interval: 15 * time.Second, apply: reader.addEntryNodes,
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
	reader.node.GoNamed("lists", reader.readDue)
	reader.node.EveryNamed("lists", listCheckInterval, func() {
		reader.node.members.AddAddresses(seeds)
		reader.readDue()
	})
}

// readDue reads each listing that was never read, that is due and assigned to this node, or that is too old to wait any
// longer for the assigned node.
func (reader *listReader) readDue() {
	for _, listing := range reader.listings {
		reader.mu.Lock()
		age, neverRead := reader.node.now()-listing.requestedAt, listing.requestedAt == 0
		reader.mu.Unlock()
		assigned := reader.node.members.OwnsDuty("list/" + listing.name)
		if neverRead || (assigned && age >= listing.interval) || age >= listMaxIntervals*listing.interval {
			reader.read(listing)
		}
	}
	reader.refreshMembers()
}

func (reader *listReader) read(listing *listing) {
	ctx, cancel := reader.node.ContextWithTimeout(listTimeout)
	defer cancel()
	requestedAt := reader.node.now()
	reader.reads.Add(1)
	instances, err := reader.node.instanceListClient.List(ctx, listing.query)
	if err != nil {
		reader.failures.Add(1)
		return
	}
	reader.storeIfNewer(listing, instances, requestedAt, true)
}

// storeIfNewer replaces the result of a listing if the new one was requested later.
func (reader *listReader) storeIfNewer(listing *listing, instances []instancelist.Instance, requestedAt time.Duration, readHere bool) {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	if requestedAt <= listing.requestedAt {
		return
	}
	listing.requestedAt, listing.instances, listing.readHere = requestedAt, instances, readHere
	listing.version = xxhash.Sum64String(fmt.Sprint(instances))
	listing.apply(instances)
}

// refreshMembers adds the listed entry nodes to the member table again, so that the table doesn't expire them while no
// new result arrives.
func (reader *listReader) refreshMembers() {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	for _, listing := range reader.listings {
		if listing.requestedAt != 0 {
			reader.addEntryNodes(listing.instances)
		}
	}
}

func (reader *listReader) applyDataCentre(instances []instancelist.Instance) {
	engineInstances := []instancelist.Instance{}
	services := map[string][]instancelist.Instance{}
	for _, instance := range instances {
		switch instance.Role {
		case instancelist.RoleEngine:
			engineInstances = append(engineInstances, instance)
		case instancelist.RoleService:
			services[instance.Service] = append(services[instance.Service], instance)
		}
	}
	reader.node.serverStatuses.UpdateListed(engineInstances)
	reader.services.Store(&services)
	reader.addEntryNodes(instances)
}

func (reader *listReader) addEntryNodes(instances []instancelist.Instance) {
	peers := []member.Peer{}
	for _, instance := range instances {
		if instance.Role == instancelist.RoleEntry {
			peers = append(peers, member.Peer{Address: instance.Address, Region: instance.Region, DataCentre: instance.DataCentre})
		}
	}
	reader.node.members.AddAddresses(peers)
}

// heldVersions returns the versions of this node's listings, for a pull request to a peer.
func (reader *listReader) heldVersions() []*exchange.ListingVersion {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	versions := []*exchange.ListingVersion{}
	for _, listing := range reader.listings {
		versions = append(versions, &exchange.ListingVersion{Name: listing.name, Version: listing.version})
	}
	return versions
}

// changedListings returns the listings that this node read itself. A listing includes the instances only if the
// requesting peer holds another version.
func (reader *listReader) changedListings(peerVersions []*exchange.ListingVersion) []*exchange.Listing {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	changed := []*exchange.Listing{}
	for _, listing := range reader.listings {
		if !listing.readHere {
			continue
		}
		wire := &exchange.Listing{Name: listing.name, Version: listing.version, AgeMs: milliseconds(reader.node.now() - listing.requestedAt)}
		wire.Same = slices.ContainsFunc(peerVersions, func(version *exchange.ListingVersion) bool {
			return version.Name == listing.name && version.Version == listing.version
		})
		if !wire.Same {
			wire.Lines = toWireListing(listing.instances)
		}
		changed = append(changed, wire)
	}
	return changed
}

// mergeFromPeer stores a peer's listing if it is newer than this node's.
func (reader *listReader) mergeFromPeer(sentAt time.Duration, wire *exchange.Listing) {
	index := slices.IndexFunc(reader.listings, func(listing *listing) bool { return listing.name == wire.Name })
	if index < 0 {
		return
	}
	listing := reader.listings[index]
	requestedAt := sentAt - time.Duration(wire.AgeMs)*time.Millisecond
	if !wire.Same {
		reader.storeIfNewer(listing, fromWireListing(wire.Lines), requestedAt, false)
		return
	}
	reader.mu.Lock()
	defer reader.mu.Unlock()
	if listing.version == wire.Version && requestedAt > listing.requestedAt {
		listing.requestedAt, listing.readHere = requestedAt, false
	}
}

func toWireListing(instances []instancelist.Instance) []*exchange.Listed {
	lines := make([]*exchange.Listed, 0, len(instances))
	for _, instance := range instances {
		lines = append(lines, &exchange.Listed{
			ID: instance.ID, Address: instance.Address, Role: instance.Role, Region: instance.Region,
			DataCentre: instance.DataCentre, FabricDomain: instance.FabricDomain, Service: instance.Service, Leaving: instance.Leaving,
		})
	}
	return lines
}

func fromWireListing(lines []*exchange.Listed) []instancelist.Instance {
	instances := make([]instancelist.Instance, 0, len(lines))
	for _, line := range lines {
		instances = append(instances, instancelist.Instance{
			ID: line.ID, Address: line.Address, Role: line.Role, Region: line.Region,
			DataCentre: line.DataCentre, FabricDomain: line.FabricDomain, Service: line.Service, Leaving: line.Leaving,
		})
	}
	return instances
}

// serviceAddresses returns the addresses of a service's servers, without those that are leaving. The list starts at a
// random server, so that calls are spread over the servers.
func (node *Node) serviceAddresses(name string) []string {
	addresses := []string{}
	for _, instance := range (*node.listReader.services.Load())[name] {
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
