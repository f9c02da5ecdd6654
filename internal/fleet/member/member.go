// Package member knows the other nodes: their addresses from the settings and
// the instance list, and which of them answered lately.
//
// A peer of the same data centre is asked every second and is live while its
// last answer is fresh. Duties are spread over the live peers; two nodes that
// see different peers may both take a duty, which wastes work and breaks
// nothing. Of other data centres one peer each is asked in turn, so the cost of
// a node grows with its own data centre and not with the fleet.
//
// # Usage
//
//	table := member.New(member.Self{...}, clock.Boot)
//	table.Learn(addresses)
//	table.Heard(address, hello)
//	if table.Mine("watch/domain-1") { ... }
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

// LiveFor is how long a peer counts as live after its last answer.
const LiveFor = 3 * time.Second

// forgetAfter is how long an address that no longer stands anywhere is kept.
const forgetAfter = 2 * time.Minute

// Self is this node.
type Self struct {
	Incarnation uint64
	Name        string
	Region      string
	DataCentre  string
	Address     string
}

// Peer is another node. Incarnation is 0 until it has answered.
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

// State is what a Table shows in the state dump.
type State struct {
	Incarnation uint64
	Live        []uint64
	Peers       []Peer
}

// Table holds the peers.
type Table struct {
	self Self
	now  clock.Now
	live atomic.Pointer[[]uint64]

	mu    sync.Mutex
	peers map[string]*Peer
	turn  int
}

// New returns a table that knows only this node.
func New(self Self, now clock.Now) *Table {
	table := &Table{self: self, now: now, peers: map[string]*Peer{}}
	table.Refresh()
	return table
}

// Learn adds addresses that the settings or the instance list name.
func (table *Table) Learn(peers []Peer) {
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

// Heard notes an answer of a peer. The moment is when the question was sent,
// so a late answer does not make a peer look fresh.
func (table *Table) Heard(peer Peer) {
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

// Refresh drops peers that have not answered lately from the live ones, and
// forgets addresses that nothing names any more.
func (table *Table) Refresh() {
	table.mu.Lock()
	defer table.mu.Unlock()
	for address, peer := range table.peers {
		if table.now()-max(peer.Listed, peer.Heard) > forgetAfter {
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
	return peer.Incarnation != 0 && peer.Heard != 0 && table.now()-peer.Heard < LiveFor
}

// Live returns the incarnations of the live nodes of this data centre, this
// one among them. The slice must not be changed.
func (table *Table) Live() []uint64 {
	return *table.live.Load()
}

// Duty returns the node that should act on a duty.
func (table *Table) Duty(duty string) uint64 {
	incarnation, _ := rendezvous.Pick(duty, table.Live())
	return incarnation
}

// Mine reports whether this node should act on a duty.
func (table *Table) Mine(duty string) bool {
	return table.Duty(duty) == table.self.Incarnation
}

// Local returns the known peers of this data centre, and those whose data
// centre is not known yet, ordered by address.
func (table *Table) Local() []Peer {
	return table.filter(func(peer *Peer) bool {
		return peer.DataCentre == table.self.DataCentre || peer.DataCentre == ""
	})
}

// Remote returns one peer of each other data centre of the region and one of
// another region, a different one each time.
func (table *Table) Remote() []Peer {
	table.mu.Lock()
	table.turn++
	turn := table.turn
	table.mu.Unlock()
	byPlace := map[string][]Peer{}
	for _, peer := range table.filter(func(peer *Peer) bool { return peer.DataCentre != "" && peer.DataCentre != table.self.DataCentre }) {
		place := "other regions"
		if peer.Region == table.self.Region {
			place = peer.DataCentre
		}
		byPlace[place] = append(byPlace[place], peer)
	}
	chosen := []Peer{}
	for _, peers := range byPlace {
		chosen = append(chosen, peers[turn%len(peers)])
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

// Find returns the address of the peer with an incarnation.
func (table *Table) Find(incarnation uint64) (string, bool) {
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
