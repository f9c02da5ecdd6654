// Package detour chooses the node through which a request is forwarded if this node cannot reach the request's
// servers itself.
//
// A Table holds the nodes that reported recently that they accept requests from other nodes, with the paths that each
// node has lost and its calls under way. Nodes report this when they are queried, and they are queried only while
// some path of this node is not healthy, so that a fleet whose paths are all healthy spends nothing on it.
//
// Nodes of the own data centre are preferred. Of the nodes that could take a request, two are drawn at random, and
// the one with fewer calls takes it. If most nodes of a fleet lose their paths at once, this spreads their requests
// over the remaining nodes, although each node knows only a few of them.
//
// # Usage
//
//	table := detour.New("east", detour.Clock(now))
//	table.RecordReport(detour.Node{Address: "10.0.0.7:7341", DataCentre: "east", Calls: 3})
//	peer, found := table.Choose("drafts", lost, nil)
//	call := peer.Begin(0, 0, cancel, suspect)
package detour

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/pathhealth"
)

const (
	// reportTTL is how long a node's report is valid. Nodes are queried several times in that period.
	reportTTL = 1500 * time.Millisecond
	// failureBackoff is how long a node that failed to take a request is not chosen.
	failureBackoff = 700 * time.Millisecond
	// maxNodes bounds the size of the table.
	maxNodes = 64
)

// Node is a node's report about itself.
type Node struct {
	// Address is where the node accepts requests from other nodes. PeerAddress is where it accepts their frames.
	Address     string
	PeerAddress string
	DataCentre  string
	// Lost are the destinations to which the node has lost its path.
	Lost []pathhealth.Destination
	// Calls is the number of the node's calls under way.
	Calls int
}

// Peer is a node through which requests are sent. Its Target counts them.
type Peer struct {
	*dispatch.Target
	Node

	reportedAt time.Duration
	avoidUntil time.Duration
}

// Table holds the nodes that are known to accept requests from other nodes.
type Table struct {
	dataCentre string
	now        clock.Now
	random     func(n int) int

	mu    sync.Mutex
	peers map[string]*Peer
	// queriedAt is when other nodes were last queried.
	queriedAt time.Duration
}

// Option configures a Table.
type Option func(*Table)

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(table *Table) { table.now = now }
}

// Random sets the source of random numbers in [0, n).
func Random(random func(n int) int) Option {
	return func(table *Table) { table.random = random }
}

// New returns an empty table for a node in the given data centre.
func New(dataCentre string, options ...Option) *Table {
	table := &Table{dataCentre: dataCentre, now: clock.Boot, random: rand.IntN, peers: map[string]*Peer{}}
	for _, option := range options {
		option(table)
	}
	return table
}

// RecordReport stores a node's current report. If the table is full, it drops the node with the oldest report.
func (table *Table) RecordReport(node Node) {
	if node.Address == "" {
		return
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	now := table.now()
	peer := &Peer{Node: node, reportedAt: now}
	if existing, known := table.peers[node.Address]; known {
		peer.Target, peer.avoidUntil = existing.Target, existing.avoidUntil
	} else {
		peer.Target = dispatch.NewStandaloneTarget(dispatch.Spec{ID: node.Address, Address: node.Address, DataCentre: node.DataCentre}, table.now)
	}
	table.peers[node.Address] = peer
	if len(table.peers) <= maxNodes {
		return
	}
	oldest := slices.MinFunc(table.sortedLocked(), func(a, b *Peer) int { return cmp.Compare(a.reportedAt, b.reportedAt) })
	delete(table.peers, oldest.Address)
}

func (table *Table) sortedLocked() []*Peer {
	sorted := make([]*Peer, 0, len(table.peers))
	for _, peer := range table.peers {
		sorted = append(sorted, peer)
	}
	slices.SortFunc(sorted, func(a, b *Peer) int { return cmp.Compare(a.Address, b.Address) })
	return sorted
}

// freshLocked returns the nodes whose report is still valid.
func (table *Table) freshLocked() []*Peer {
	now := table.now()
	return slices.DeleteFunc(table.sortedLocked(), func(peer *Peer) bool { return now-peer.reportedAt > reportTTL })
}

// PeersWithPath returns the frame addresses of the nodes that reported recently that they still have a path to any of
// the lost destinations.
func (table *Table) PeersWithPath(lost []pathhealth.Destination) []string {
	table.mu.Lock()
	defer table.mu.Unlock()
	addresses := []string{}
	for _, peer := range table.freshLocked() {
		if peer.PeerAddress != "" && peer.hasPath(lost) {
			addresses = append(addresses, peer.PeerAddress)
		}
	}
	return addresses
}

// Choose returns a node that still has a path to one of the lost destinations of a service. It skips the excluded
// addresses and nodes that failed recently.
func (table *Table) Choose(service string, lost []pathhealth.Destination, exclude []string) (*Peer, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	now, lost := table.now(), destinationsOf(service, lost)
	local, remote := []*Peer{}, []*Peer{}
	for _, peer := range table.freshLocked() {
		switch {
		case now < peer.avoidUntil, slices.Contains(exclude, peer.Address), !peer.hasPath(lost):
		case peer.DataCentre == table.dataCentre:
			local = append(local, peer)
		default:
			remote = append(remote, peer)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return nil, false
	}
	first, second := local[table.random(len(local))], local[table.random(len(local))]
	if second.load() < first.load() {
		first = second
	}
	return first, true
}

// hasPath reports whether the node has a path to any of the destinations.
func (peer *Peer) hasPath(destinations []pathhealth.Destination) bool {
	return slices.ContainsFunc(destinations, func(destination pathhealth.Destination) bool { return !slices.Contains(peer.Lost, destination) })
}

// destinationsOf returns the destinations that belong to a service.
func destinationsOf(service string, destinations []pathhealth.Destination) []pathhealth.Destination {
	return slices.DeleteFunc(slices.Clone(destinations), func(destination pathhealth.Destination) bool { return destination.Service != service })
}

// RecordQuery records that other nodes were queried and have had time to answer.
func (table *Table) RecordQuery() {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.queriedAt = table.now()
}

// QueriedRecently reports whether other nodes were queried recently. If so, waiting a moment for more answers will not
// make another node known.
func (table *Table) QueriedRecently() bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.queriedAt != 0 && table.now()-table.queriedAt <= reportTTL
}

// load returns the calls that the node reported plus those that this node has under way there.
func (peer *Peer) load() int {
	return peer.Calls + peer.ActiveCalls()
}

// RecordFailure records that a node did not take a request, and excludes the node for failureBackoff.
func (table *Table) RecordFailure(address string) {
	table.avoid(address)
}

// Stalled suspects the calls through nodes that have sent nothing for too long, keeps new calls away from these nodes,
// and returns the addresses of those that have newly stalled. The limit is answerTimeout before the first event of a
// call, and idleTimeout after it.
func (table *Table) Stalled(idleTimeout, answerTimeout time.Duration) []string {
	stalled := []string{}
	for _, peer := range table.all() {
		if peer.SuspectStalled(idleTimeout, answerTimeout) && table.avoid(peer.Address) {
			stalled = append(stalled, peer.Address)
		}
	}
	return stalled
}

func (table *Table) all() []*Peer {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.sortedLocked()
}

// avoid keeps calls away from a node for failureBackoff, and reports whether the node was not avoided before.
func (table *Table) avoid(address string) bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	peer, known := table.peers[address]
	if !known {
		return false
	}
	isNew := table.now() >= peer.avoidUntil
	peer.avoidUntil = table.now() + failureBackoff
	return isNew
}

// RecordLostPaths records that a node, in refusing a request, reported that it reaches no server of the service
// either.
func (table *Table) RecordLostPaths(address, service string, lost []pathhealth.Destination) {
	table.mu.Lock()
	defer table.mu.Unlock()
	peer, known := table.peers[address]
	if !known {
		return
	}
	updated := *peer
	updated.Lost = slices.Clone(peer.Lost)
	for _, destination := range destinationsOf(service, lost) {
		if !slices.Contains(updated.Lost, destination) {
			updated.Lost = append(updated.Lost, destination)
		}
	}
	table.peers[address] = &updated
}

// State describes a node of the table in the state dump.
type State struct {
	Address, DataCentre string
	Lost                []pathhealth.Destination
	// Calls is the number of calls that the node reported, Mine the number that this node has under way through it.
	Calls, Mine     int
	AgeMilliseconds int64
}

// State returns the nodes whose report is still valid.
func (table *Table) State() []State {
	table.mu.Lock()
	defer table.mu.Unlock()
	states := []State{}
	for _, peer := range table.freshLocked() {
		states = append(states, State{
			Address: peer.Address, DataCentre: peer.DataCentre, Lost: peer.Lost, Calls: peer.Calls,
			Mine: peer.ActiveCalls(), AgeMilliseconds: (table.now() - peer.reportedAt).Milliseconds(),
		})
	}
	return states
}
