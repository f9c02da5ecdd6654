// Package catalogue holds what a node needs to know about backend servers to send calls to them: the heads of serving
// groups, and the plain servers.
//
// A relay derives the catalogue from the registry and the announcements of groups, and sends changes to its leaves.
// Each row has an index, so the loads of all rows can be encoded as two short arrays. The cost of a leaf then depends
// on how often groups change, a few times a second, and not on how often every server writes to the registry.
//
// The relay has a Catalogue, the leaf a Replica. Deltas must reach a replica in order and without gaps; a replica
// that missed a delta gets a full one.
//
// # Usage
//
//	rowCatalogue := catalogue.New()
//	rowCatalogue.Publish(rows)
//	delta := rowCatalogue.Since(version)
//	replica := catalogue.NewReplica()
//	replica.Apply(delta)
package catalogue

import (
	"slices"
	"sync"
)

// Row is a server that accepts calls: a plain server, or the head of a group.
type Row struct {
	// Server is the server's ID; for a group, the ID of its head.
	Server string
	// Born distinguishes runs of the server's process.
	Born       int64
	Address    string
	DataCentre string
	Service    string
	// Group and Model are empty for a plain server.
	Group string
	Model string
	Slots int
	// Cold is set while the server can handle only few requests.
	Cold bool
}

// rowKey identifies a row. The other fields of a row may change while it keeps its index.
type rowKey struct {
	server, group string
	born          int64
}

func (row *Row) key() rowKey {
	return rowKey{server: row.Server, group: row.Group, born: row.Born}
}

// IndexedRow is a row with its index.
type IndexedRow struct {
	Index int
	Row   Row
}

// Delta is a change of a catalogue.
type Delta struct {
	// Version is the version of the catalogue after the change.
	Version uint64
	// Full is set when Rows contains all rows of the catalogue.
	Full    bool
	Rows    []IndexedRow
	Removed []int
	// Lost lists the groups that lost a member.
	Lost []string
}

// Empty reports whether the delta contains no change.
func (delta *Delta) Empty() bool {
	return !delta.Full && len(delta.Rows) == 0 && len(delta.Removed) == 0 && len(delta.Lost) == 0
}

// maxLostGroups is how many lost groups are kept for leaves that have not received them yet. A fleet loses fewer
// between two frames.
const maxLostGroups = 256

// Catalogue holds the current rows, each with the version at which it last changed.
type Catalogue struct {
	mu          sync.Mutex
	version     uint64
	entries     []entry
	indexes     map[rowKey]int
	freeIndexes []int
	lost        []lostGroup
}

type entry struct {
	row       Row
	used      bool
	changedIn uint64
}

type lostGroup struct {
	group   string
	version uint64
}

// New returns an empty catalogue.
func New() *Catalogue {
	return &Catalogue{indexes: map[rowKey]int{}}
}

// Publish replaces the rows and reports whether anything changed. A row keeps its index for as long as it exists.
func (catalogue *Catalogue) Publish(rows []Row) bool {
	catalogue.mu.Lock()
	defer catalogue.mu.Unlock()
	next := catalogue.version + 1
	changed := false
	present := make(map[rowKey]bool, len(rows))
	for index := range rows {
		row := &rows[index]
		present[row.key()] = true
		changed = catalogue.setRow(row, next) || changed
	}
	for key, index := range catalogue.indexes {
		if !present[key] {
			delete(catalogue.indexes, key)
			catalogue.entries[index] = entry{changedIn: next}
			catalogue.freeIndexes = append(catalogue.freeIndexes, index)
			changed = true
		}
	}
	if changed {
		catalogue.version = next
	}
	return changed
}

func (catalogue *Catalogue) setRow(row *Row, version uint64) bool {
	index, known := catalogue.indexes[row.key()]
	if known && catalogue.entries[index].row == *row {
		return false
	}
	if !known {
		index = catalogue.allocateIndex()
		catalogue.indexes[row.key()] = index
	}
	catalogue.entries[index] = entry{row: *row, used: true, changedIn: version}
	return true
}

// allocateIndex returns the index of an unused entry.
func (catalogue *Catalogue) allocateIndex() int {
	if count := len(catalogue.freeIndexes); count > 0 {
		index := catalogue.freeIndexes[count-1]
		catalogue.freeIndexes = catalogue.freeIndexes[:count-1]
		return index
	}
	catalogue.entries = append(catalogue.entries, entry{})
	return len(catalogue.entries) - 1
}

// MarkLost records that a group lost a member. The group need not have a row: a group that is finishing its calls has
// none.
func (catalogue *Catalogue) MarkLost(group string) {
	catalogue.mu.Lock()
	defer catalogue.mu.Unlock()
	catalogue.version++
	catalogue.lost = append(catalogue.lost, lostGroup{group: group, version: catalogue.version})
	if len(catalogue.lost) > maxLostGroups {
		catalogue.lost = slices.Delete(catalogue.lost, 0, len(catalogue.lost)-maxLostGroups)
	}
}

// Version returns the current version.
func (catalogue *Catalogue) Version() uint64 {
	catalogue.mu.Lock()
	defer catalogue.mu.Unlock()
	return catalogue.version
}

// Since returns the changes after a version. Version 0 returns a full delta.
func (catalogue *Catalogue) Since(version uint64) Delta {
	catalogue.mu.Lock()
	defer catalogue.mu.Unlock()
	delta := Delta{Version: catalogue.version, Full: version == 0}
	for index := range catalogue.entries {
		entry := &catalogue.entries[index]
		switch {
		case entry.used && entry.changedIn > version:
			delta.Rows = append(delta.Rows, IndexedRow{Index: index, Row: entry.row})
		case !entry.used && entry.changedIn > version && !delta.Full:
			delta.Removed = append(delta.Removed, index)
		}
	}
	for _, lost := range catalogue.lost {
		if lost.version > version && !delta.Full {
			delta.Lost = append(delta.Lost, lost.group)
		}
	}
	return delta
}

// Servers returns the server ID at each index, empty for an unused entry.
func (catalogue *Catalogue) Servers() []string {
	catalogue.mu.Lock()
	defer catalogue.mu.Unlock()
	servers := make([]string, len(catalogue.entries))
	for index := range catalogue.entries {
		servers[index] = catalogue.entries[index].row.Server
	}
	return servers
}

// Replica is a leaf's copy of a catalogue. It is not safe for concurrent use.
type Replica struct {
	entries []entry
	// servers caches the result of Servers; a delta resets it to nil.
	servers []string
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{}
}

// Apply applies a delta.
func (replica *Replica) Apply(delta Delta) {
	replica.servers = nil
	if delta.Full {
		replica.entries = nil
	}
	for _, index := range delta.Removed {
		if index < len(replica.entries) {
			replica.entries[index] = entry{}
		}
	}
	for _, indexed := range delta.Rows {
		if indexed.Index > maxIndex {
			continue
		}
		for len(replica.entries) <= indexed.Index {
			replica.entries = append(replica.entries, entry{})
		}
		replica.entries[indexed.Index] = entry{row: indexed.Row, used: true}
	}
}

// maxIndex bounds accepted indexes, so that a malformed frame cannot make a node allocate unlimited memory.
const maxIndex = 1 << 20

// Rows returns the rows in order of their indexes.
func (replica *Replica) Rows() []IndexedRow {
	rows := make([]IndexedRow, 0, len(replica.entries))
	for index := range replica.entries {
		if entry := &replica.entries[index]; entry.used {
			rows = append(rows, IndexedRow{Index: index, Row: entry.row})
		}
	}
	return rows
}

// Servers returns the server ID at each index, empty for an unused entry.
func (replica *Replica) Servers() []string {
	if replica.servers != nil {
		return replica.servers
	}
	servers := make([]string, len(replica.entries))
	for index := range replica.entries {
		servers[index] = replica.entries[index].row.Server
	}
	replica.servers = servers
	return servers
}

// Server returns the server ID at an index, empty if there is no such row.
func (replica *Replica) Server(index int) string {
	if index < 0 || index >= len(replica.entries) {
		return ""
	}
	return replica.entries[index].row.Server
}
