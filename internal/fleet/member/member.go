// Package member tracks the other nodes: their addresses from the settings and the instance list, and which of them
// answered recently.
//
// A peer of the same data centre is queried every second, and is live while its last answer is fresh. Duties are
// distributed over the live peers. Two nodes that see different peers may both take a duty, which wastes work but is
// harmless. Of the other data centres, one peer each is queried in rotation, so that the cost of a node grows with
// its own data centre and not with the fleet.
//
// # Usage
//
//	table := member.New(member.Self{...}, clock.Boot)
//	table.AddAddresses(peers)
//	table.RecordAnswer(peer)
//	if table.OwnsDuty("watch/domain-1") { ... }
package member

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/rendezvous"
)

// LiveTTL is how long a peer counts as live after its last answer.
const LiveTTL = 3 * time.Second

// addressTTL is how long an address that neither the settings nor the instance list name any more is kept.
const addressTTL = 2 * time.Minute

// Self describes this node.
type Self struct {
	Incarnation uint64
	Name        string
	Region      string
	DataCentre  string
	Address     string
}

// Peer describes another node. Incarnation is 0 until the node has answered.
type Peer struct {
	Address     string
	Incarnation uint64
	Name        string
	Region      string
	DataCentre  string
	Heard       time.Duration
	Listed      time.Duration
	Stopping    bool
}

// State is the table's part of the state dump.
type State struct {
	Incarnation uint64
	Live        []uint64
	Peers       []Peer
}

// Table holds the known peers.
type Table struct {
	self Self
	now  clock.Now
	live atomic.Pointer[[]uint64]

	mu       sync.Mutex
	peers    map[string]*Peer
	rotation int
}

// New returns a table that contains only this node.
func New(self Self, now clock.Now) *Table {
	table := &Table{self: self, now: now, peers: map[string]*Peer{}}
	table.Refresh()
	return table
}

// AddAddresses adds the peers that the settings or the instance list name.
func (table *Table) AddAddresses(peers []Peer) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, peer := range peers {
		if peer.Address == table.self.Address {
			continue
		}
		known, ok := table.peers[peer.Address]
		if !ok {
			known = &Peer{Address: peer.Address, Region: peer.Region, DataCentre: peer.DataCentre}
			table.peers[peer.Address] = known
		}
		known.Listed = table.now()
	}
}

// RecordAnswer records an answer from a peer. Peer.Heard is the time at which the query was sent, so that a late
// answer does not make the peer look fresh.
func (table *Table) RecordAnswer(peer Peer) {
	table.mu.Lock()
	defer table.mu.Unlock()
	known, ok := table.peers[peer.Address]
	if !ok {
		known = &Peer{Listed: table.now()}
		table.peers[peer.Address] = known
	}
	listed := known.Listed
	*known = peer
	known.Listed = listed
	table.refreshLocked()
}

// Refresh removes peers that have not answered recently from the live peers, and removes addresses that have expired.
func (table *Table) Refresh() {
	table.mu.Lock()
	defer table.mu.Unlock()
	for address, peer := range table.peers {
		if table.now()-max(peer.Listed, peer.Heard) > addressTTL {
			delete(table.peers, address)
		}
	}
	table.refreshLocked()
}

func (table *Table) refreshLocked() {
	live := []uint64{table.self.Incarnation}
	for _, peer := range table.peers {
		if table.isLive(peer) && peer.DataCentre == table.self.DataCentre && !peer.Stopping {
			live = append(live, peer.Incarnation)
		}
	}
	slices.Sort(live)
	table.live.Store(&live)
}

func (table *Table) isLive(peer *Peer) bool {
	return peer.Incarnation != 0 && peer.Heard != 0 && table.now()-peer.Heard < LiveTTL
}

// Live returns the incarnations of the live nodes of this data centre, including this node. The slice must not be
// modified.
func (table *Table) Live() []uint64 {
	return *table.live.Load()
}

// DutyOwner returns the incarnation of the node that should perform a duty.
func (table *Table) DutyOwner(duty string) uint64 {
	incarnation, _ := rendezvous.Pick(duty, table.Live())
	return incarnation
}

// OwnsDuty reports whether this node should perform a duty.
func (table *Table) OwnsDuty(duty string) bool {
	return table.DutyOwner(duty) == table.self.Incarnation
}

// LocalPeers returns the known peers of this data centre and those whose data centre is not known yet, ordered by
// address.
func (table *Table) LocalPeers() []Peer {
	return table.filter(func(peer *Peer) bool {
		return peer.DataCentre == table.self.DataCentre || peer.DataCentre == ""
	})
}

// RemotePeers returns one peer of each other data centre of the region and one of another region. It rotates through
// the peers from call to call.
func (table *Table) RemotePeers() []Peer {
	table.mu.Lock()
	table.rotation++
	rotation := table.rotation
	table.mu.Unlock()
	byLocation := map[string][]Peer{}
	for _, peer := range table.filter(func(peer *Peer) bool { return peer.DataCentre != "" && peer.DataCentre != table.self.DataCentre }) {
		location := "other regions"
		if peer.Region == table.self.Region {
			location = peer.DataCentre
		}
		byLocation[location] = append(byLocation[location], peer)
	}
	chosen := []Peer{}
	for _, peers := range byLocation {
		chosen = append(chosen, peers[rotation%len(peers)])
	}
	slices.SortFunc(chosen, func(a, b Peer) int { return strings.Compare(a.Address, b.Address) })
	return chosen
}

func (table *Table) filter(keep func(peer *Peer) bool) []Peer {
	table.mu.Lock()
	defer table.mu.Unlock()
	found := []Peer{}
	for _, peer := range table.peers {
		if keep(peer) {
			found = append(found, *peer)
		}
	}
	slices.SortFunc(found, func(a, b Peer) int { return strings.Compare(a.Address, b.Address) })
	return found
}

// AddressOf returns the address of the peer with the given incarnation.
func (table *Table) AddressOf(incarnation uint64) (string, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, peer := range table.peers {
		if peer.Incarnation == incarnation {
			return peer.Address, true
		}
	}
	return "", false
}

// State returns the table's part of the state dump.
func (table *Table) State() State {
	return State{
		Incarnation: table.self.Incarnation, Live: table.Live(),
		Peers: table.filter(func(*Peer) bool { return true }),
	}
}
