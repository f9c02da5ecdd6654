// Package detour chooses through which other node a request goes on that this node can't bring to its
// servers.
//
// A Table holds the nodes that said lately that they take requests of others, with the ways to servers
// that they have lost and the calls that they have under way. Nodes say so when they are asked, and they are asked
// while some way of this node isn't open, so that a fleet of which all ways are open spends nothing on it.
//
// Nodes of the own data centre come first. Among those that could take a request two are drawn, and
// the one with fewer calls takes it: where most nodes of a fleet have lost their ways at once, the others share
// what these are asked for, though each node knows a few of them only.
//
// # Usage
//
//	table := detour.New("east", detour.Clock(now))
//	table.Heard(detour.Node{Address: "10.0.0.7:7341", DataCentre: "east", Calls: 3})
//	peer, found := table.Choose("drafts", ways.Lost(true), nil)
//	use := peer.Begin(0, 0, cancel)
package detour

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/reach"
)

const (
	// freshFor is how long what a node said counts. Nodes are asked several times in that time.
	freshFor = 1500 * time.Millisecond
	// avoidFailed is how long a node that didn't take a request is passed by.
	avoidFailed = 700 * time.Millisecond
	// nodesMost bounds the table.
	nodesMost = 64
)

// Node is what a node says of itself.
type Node struct {
	// Address is where it takes requests of other nodes, Peer where it takes their frames.
	Address    string
	Peer       string
	DataCentre string
	// Lost are the ways to servers that it has lost.
	Lost []reach.Destination
	// Calls are those that it has under way.
	Calls int
}

// Peer is a node that requests are sent through. Its Target counts them.
type Peer struct {
	*dispatch.Target
	Node

	heardAt    time.Duration
	avoidUntil time.Duration
}

// Table is the nodes that take requests of others, as far as is known.
type Table struct {
	dataCentre string
	now        clock.Now
	random     func(n int) int

	mu    sync.Mutex
	peers map[string]*Peer
	// askedAt is when other nodes were last asked.
	askedAt time.Duration
}

// Option changes how a Table is built.
type Option func(*Table)

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(table *Table) { table.now = now }
}

// Random sets how a number below n is drawn.
func Random(draw func(n int) int) Option {
	return func(table *Table) { table.random = draw }
}

// New returns a table without nodes, of a node in a data centre.
func New(dataCentre string, options ...Option) *Table {
	table := &Table{dataCentre: dataCentre, now: clock.Boot, random: rand.IntN, peers: map[string]*Peer{}}
	for _, option := range options {
		option(table)
	}
	return table
}

// Heard takes what a node has just said of itself.
func (table *Table) Heard(node Node) {
	if node.Address == "" {
		return
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	now := table.now()
	made := &Peer{Node: node, heardAt: now}
	if held, known := table.peers[node.Address]; known {
		made.Target, made.avoidUntil = held.Target, held.avoidUntil
	} else {
		made.Target = dispatch.NewStandaloneTarget(dispatch.Spec{ID: node.Address, Address: node.Address, DataCentre: node.DataCentre}, table.now)
	}
	table.peers[node.Address] = made
	if len(table.peers) <= nodesMost {
		return
	}
	oldest := slices.MinFunc(table.allLocked(), func(one, other *Peer) int { return cmp.Compare(one.heardAt, other.heardAt) })
	delete(table.peers, oldest.Address)
}

func (table *Table) allLocked() []*Peer {
	all := make([]*Peer, 0, len(table.peers))
	for _, peer := range table.peers {
		all = append(all, peer)
	}
	slices.SortFunc(all, func(one, other *Peer) int { return cmp.Compare(one.Address, other.Address) })
	return all
}

// freshLocked returns the nodes that said something lately.
func (table *Table) freshLocked() []*Peer {
	now := table.now()
	return slices.DeleteFunc(table.allLocked(), func(peer *Peer) bool { return now-peer.heardAt > freshFor })
}

// Useful returns where the nodes take frames that said lately that they have kept some of the ways that are lost here.
func (table *Table) Useful(lost []reach.Destination) []string {
	table.mu.Lock()
	defer table.mu.Unlock()
	useful := []string{}
	for _, peer := range table.freshLocked() {
		if peer.Peer != "" && peer.keeps(lost) {
			useful = append(useful, peer.Peer)
		}
	}
	return useful
}

// Choose returns a node that reaches servers of a service which this one doesn't, by the ways that this one has lost. It
// is none of those that are excluded, by their addresses.
func (table *Table) Choose(service string, lost []reach.Destination, exclude []string) (*Peer, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	now, lost := table.now(), placesOf(service, lost)
	near, far := []*Peer{}, []*Peer{}
	for _, peer := range table.freshLocked() {
		switch {
		case now < peer.avoidUntil, slices.Contains(exclude, peer.Address), !peer.keeps(lost):
		case peer.DataCentre == table.dataCentre:
			near = append(near, peer)
		default:
			far = append(far, peer)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil, false
	}
	one, other := near[table.random(len(near))], near[table.random(len(near))]
	if other.load() < one.load() {
		one = other
	}
	return one, true
}

// keeps says whether the node has kept the way to any of some places.
func (peer *Peer) keeps(places []reach.Destination) bool {
	return slices.ContainsFunc(places, func(place reach.Destination) bool { return !slices.Contains(peer.Node.Lost, place) })
}

// placesOf returns those of some places that are of a service.
func placesOf(service string, places []reach.Destination) []reach.Destination {
	return slices.DeleteFunc(slices.Clone(places), func(place reach.Destination) bool { return place.Service != service })
}

// Asked notes that other nodes were asked, and that those which answer have answered.
func (table *Table) Asked() {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.askedAt = table.now()
}

// Knows says whether other nodes were asked lately, so that none will be known in a moment that isn't yet.
func (table *Table) Knows() bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.askedAt != 0 && table.now()-table.askedAt <= freshFor
}

// load is the calls that the node said it has, and those that this node has sent there.
func (peer *Peer) load() int {
	return peer.Calls + peer.ActiveCalls()
}

// Failed notes that a node did not take a request.
func (table *Table) Failed(address string) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if held, known := table.peers[address]; known {
		held.avoidUntil = table.now() + avoidFailed
	}
}

// Stalled ends the calls through nodes of which nothing has come for too long, and returns the addresses of these.
func (table *Table) Stalled(still, unanswered time.Duration) []string {
	table.mu.Lock()
	defer table.mu.Unlock()
	stalled := []string{}
	for address, peer := range table.peers {
		if peer.CancelStalled(still, unanswered) {
			peer.avoidUntil = table.now() + avoidFailed
			stalled = append(stalled, address)
		}
	}
	return stalled
}

// Lacks notes that a node said, refusing a request, that it reaches no server of a service either.
func (table *Table) Lacks(address, service string, lost []reach.Destination) {
	table.mu.Lock()
	defer table.mu.Unlock()
	held, known := table.peers[address]
	if !known {
		return
	}
	changed := *held
	changed.Node.Lost = slices.Clone(held.Node.Lost)
	for _, place := range placesOf(service, lost) {
		if !slices.Contains(changed.Node.Lost, place) {
			changed.Node.Lost = append(changed.Node.Lost, place)
		}
	}
	table.peers[address] = &changed
}

// State is a node of the table in the state dump.
type State struct {
	Address, DataCentre string
	Lost                []reach.Destination
	// Calls are those that it said it has, Mine those that this node has sent through it.
	Calls, Mine     int
	AgeMilliseconds int64
}

// State returns the nodes that count.
func (table *Table) State() []State {
	table.mu.Lock()
	defer table.mu.Unlock()
	states := []State{}
	for _, peer := range table.freshLocked() {
		states = append(states, State{
			Address: peer.Address, DataCentre: peer.DataCentre, Lost: peer.Node.Lost, Calls: peer.Calls,
			Mine: peer.ActiveCalls(), AgeMilliseconds: (table.now() - peer.heardAt).Milliseconds(),
		})
	}
	return states
}
