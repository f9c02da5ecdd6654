// Package roster keeps the newest known list of backend servers, each with the group that it reports to be in.
//
// The list comes from the platform's registry as records with positions, read by this node or passed on by a peer. A
// record only replaces an older record of the same server, so late and repeated records do no harm. A server whose
// entry was removed is no longer listed, and its last record is discarded.
//
// A complete read of the registry does not show which entries were removed before it. So a list that was read
// completely at a position cannot tell another node which entries were removed before that position. A node that knows
// the registry only up to an earlier position therefore receives all records and drops the servers that are absent
// (UpdateFor). For the same reason a list ignores a record of a server that it does not list from before the position
// that it has reached: the entry was removed in the meantime, and the sender has not learned of that.
//
// The registry may be restored from an older backup, which begins a new era (restore generation). Entries that come
// from the backup may be older than entries known before the restore: a server that has announced since that it is
// leaving would appear to accept calls again. So a record that may come from the backup does not replace a record
// with a higher offset from an earlier era, but the next record that the server writes does. A server that is absent
// from the backup is kept until servers have had time to write their entries again.
//
// # Usage
//
//	list := roster.New()
//	list.Merge(roster.Update{Records: records, End: end, ReadAt: readAt})
//	for _, server := range list.Load().Servers { ... }
package roster

import (
	"reflect"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/state/storelog"
)

// States of a group member. The head goes from Ready through Open to Closing; other members stay Ready.
const (
	Joining = "Joining"
	Ready   = "Ready"
	Open    = "Open"
	Closing = "Closing"
	Broken  = "Broken"
)

// Membership is a server's membership in a group. Name is empty if the server is in no group.
type Membership struct {
	Name  string
	Epoch int64
	// Rank is the server's index in the list of members; the head has rank 0.
	Rank  int
	State string
}

// Server is one run of a backend server's process.
type Server struct {
	ID string
	// Born is when the process started, in Unix milliseconds by the server's own clock, 0 if unknown. A server that
	// restarts under the same ID has lost all state of its previous run.
	Born       int64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	// Cold is for how much longer, counted from the writing of the entry, the server can handle only few requests.
	Cold time.Duration
	// FabricDomain is the part of the network within which members of a group have fast connections to each other.
	FabricDomain string
	// Staged lists the models whose weights are present on the server's host.
	Staged []string
	// Model is the model that the server runs, empty outside a group.
	Model string
	Group Membership
}

// HasStaged reports whether the model's weights are present on the server's host.
func (server *Server) HasStaged(model string) bool {
	return slices.Contains(server.Staged, model)
}

// Record is one change of the list. Server is nil if the entry was removed. Body is the undecoded entry from the
// registry, present until it is decoded. Hash is the hash of Body, 0 if the record came from another node.
type Record struct {
	ID       string
	Position storelog.Position
	// FromBackup is set when the record may be part of the backup that its era began with, and so may be older than a
	// record of an earlier era.
	FromBackup bool
	Server     *Server
	Body       []byte
	Hash       uint64

	// version is the list's version when the entry last changed. Servers rewrite unchanged entries as heartbeats,
	// which does not raise it.
	version uint64
	// changedAt is the record's position at that change.
	changedAt storelog.Position
}

// sameServer reports whether two records describe the server identically.
func (record *Record) sameServer(other *Record) bool {
	if record.Server == nil || other.Server == nil {
		return record.Server == other.Server
	}
	return reflect.DeepEqual(record.Server, other.Server)
}

// supersedes reports whether a record is newer than the held record of the same server. Of records from two eras, the
// one of the later era is newer, unless it may come from the backup and have been written before the record of the
// earlier era. Otherwise a restore would make a leaving server receive calls again.
func (record *Record) supersedes(existing *Record) bool {
	switch {
	case record.Position.Era == existing.Position.Era:
		return record.Position.Offset > existing.Position.Offset
	case record.Position.Era > existing.Position.Era:
		return !record.FromBackup || record.Position.Offset >= existing.Position.Offset
	}
	return existing.FromBackup && existing.Position.Offset < record.Position.Offset
}

// CachedServer returns the decoded server of an ID if its entry had the same hash, so the entry need not be decoded
// again.
func (list *List) CachedServer(id string, hash uint64) (*Server, bool) {
	list.mu.Lock()
	defer list.mu.Unlock()
	cached, ok := list.records[id]
	return cached.Server, ok && cached.Hash == hash && hash != 0 && cached.Server != nil
}

// Snapshot is the list at one moment. It is immutable.
type Snapshot struct {
	// End is the position up to which records were merged.
	End storelog.Position
	// ReadAt is when the registry was last read, by this node or by the peer that passed the records on, on this
	// node's clock.
	ReadAt time.Duration

	Servers   map[string]*Server
	ByService map[string][]*Server
}

// Load returns the current snapshot.
func (list *List) Load() *Snapshot {
	return list.snapshot.Load()
}

// List is the newest known list of backend servers.
type List struct {
	snapshot atomic.Pointer[Snapshot]

	mu      sync.Mutex
	records map[string]Record
	// version increases with each entry that changes.
	version uint64
	// removalsKnownFrom is the position from which on the list has a record of each removed entry.
	removalsKnownFrom storelog.Position
	// eraStart is the first position known in the era of the snapshot's end: records from there on do not come from
	// the backup. eraStartedAt is when the registry was first read in that era.
	eraStart     storelog.Position
	eraStartedAt time.Duration

	draining func(id string, born int64) bool
}

// Option configures a List.
type Option func(*List)

// Draining sets a function that reports whether a run of a server is draining regardless of its entry. The result
// affects only this node's snapshots; records are passed on as the registry holds them.
func Draining(draining func(id string, born int64) bool) Option {
	return func(list *List) { list.draining = draining }
}

// New returns an empty list.
func New(options ...Option) *List {
	list := &List{records: map[string]Record{}, removalsKnownFrom: storelog.Unknown, draining: func(string, int64) bool { return false }}
	for _, option := range options {
		option(list)
	}
	list.snapshot.Store(&Snapshot{End: storelog.Unknown, ReadAt: -1, Servers: map[string]*Server{}, ByService: map[string][]*Server{}})
	return list
}

// Known reports whether the registry was ever read.
func (snapshot *Snapshot) Known() bool {
	return snapshot.ReadAt >= 0
}

// Update is the result of one read of the registry, or what a peer passed on.
type Update struct {
	Records []Record
	// End is the position up to which Records contains all changes.
	End storelog.Position
	// ReadAt is when the registry responded.
	ReadAt time.Duration
	// Complete is set when Records contains all existing entries.
	Complete bool
	// FromPeer is set when another node passed the records on and has already set their FromBackup.
	FromPeer bool
}

// ReregistrationTime is how long after a restore of the registry every live server has written its entry again.
const ReregistrationTime = 2500 * time.Millisecond

// Changes are the effects of an update on a list.
type Changes struct {
	// Changed is set if any record changed.
	Changed bool
	// Entered and Left are the sorted IDs of the servers that are listed since the update, and no longer listed.
	Entered, Left []string
}

// Merge applies an update and returns its effects.
func (list *List) Merge(update Update) Changes {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.recordEra(update)
	current := list.snapshot.Load()
	changed, outdated := false, storelog.Compare(update.End, current.End) < 0
	for _, record := range update.Records {
		if !update.FromPeer {
			record.FromBackup = record.Position.Era > 0 && storelog.Compare(record.Position, list.eraStart) < 0
		}
		if authoritative := update.Complete && !outdated; authoritative || !list.removedSince(&record, current) {
			changed = list.mergeRecord(record) || changed
		}
	}
	if update.Complete {
		changed = list.removeAbsent(update, outdated) || changed
	}
	if !current.End.Known() || (update.Complete && storelog.Compare(update.End, current.End) > 0) {
		list.removalsKnownFrom = update.End
	}
	next := &Snapshot{
		End: storelog.Latest(current.End, update.End), ReadAt: max(update.ReadAt, current.ReadAt),
		Servers: current.Servers, ByService: current.ByService,
	}
	if !changed {
		list.snapshot.Store(next)
		return Changes{}
	}
	next.Servers, next.ByService = list.index()
	list.snapshot.Store(next)
	return Changes{Changed: true, Entered: addedIDs(current.Servers, next.Servers), Left: addedIDs(next.Servers, current.Servers)}
}

// addedIDs returns the sorted IDs of the servers that only the second map contains.
func addedIDs(before, after map[string]*Server) []string {
	added := []string{}
	for id := range after {
		if before[id] == nil {
			added = append(added, id)
		}
	}
	slices.Sort(added)
	return added
}

// recordEra records where and when a new era began, as far as this node knows.
func (list *List) recordEra(update Update) {
	if known := list.snapshot.Load().End; !update.End.Known() || (known.Known() && update.End.Era <= known.Era) {
		return
	}
	list.eraStart, list.eraStartedAt = update.End, update.ReadAt
}

// mergeRecord applies one record and reports whether it changed what is known of the server.
func (list *List) mergeRecord(record Record) bool {
	existing, known := list.records[record.ID]
	if known && !record.supersedes(&existing) {
		return false
	}
	record.changedAt = record.Position
	changed := !known || !existing.sameServer(&record)
	if changed {
		list.version++
		record.version = list.version
	} else {
		record.changedAt, record.version, record.Server = existing.changedAt, existing.version, existing.Server
	}
	list.records[record.ID] = record
	return changed
}

// removedSince reports whether a server that is not listed was removed between the record and the position that the list
// has reached. A record of an earlier era may be unknown only because the backup lacks it, so it counts as removed once
// ReregistrationTime has passed.
func (list *List) removedSince(record *Record, current *Snapshot) bool {
	listed := list.records[record.ID].Server != nil
	if listed || record.Server == nil || storelog.Compare(record.Position, current.End) >= 0 {
		return false
	}
	return record.Position.Era == current.End.Era || current.ReadAt-list.eraStartedAt >= ReregistrationTime
}

// removeAbsent removes the servers that a complete update does not contain, if their records are older than the
// update, and reports whether there was one. A record of an earlier era may be missing only because the backup lacks
// it, so it is kept until ReregistrationTime has passed. An update that is older than the list shows no removal in its
// own era that the list does not know.
func (list *List) removeAbsent(update Update, outdated bool) bool {
	listed := make(map[string]bool, len(update.Records))
	for _, record := range update.Records {
		listed[record.ID] = record.Server != nil
	}
	reregistrationOver := update.ReadAt-list.eraStartedAt >= ReregistrationTime
	absent := storelog.Position{Era: update.End.Era, Offset: update.End.Offset - 1}
	changed := false
	for id, record := range list.records {
		older := storelog.Compare(record.Position, update.End) < 0
		earlierEra := record.Position.Era < update.End.Era
		if listed[id] || !older || record.Server == nil || (earlierEra && !reregistrationOver) || (!earlierEra && outdated) {
			continue
		}
		list.version++
		list.records[id] = Record{ID: id, Position: absent, version: list.version, changedAt: absent}
		changed = true
	}
	return changed
}

// FullReadDue reports whether a full read of the registry would now show which servers last recorded in an earlier
// era still exist. This requires that there are such servers, and that they have had time to write their entries again.
func (list *List) FullReadDue(now time.Duration) bool {
	list.mu.Lock()
	defer list.mu.Unlock()
	era := list.snapshot.Load().End.Era
	if era == 0 || now-list.eraStartedAt < ReregistrationTime {
		return false
	}
	for _, record := range list.records {
		if record.Server != nil && record.Position.Era < era {
			return true
		}
	}
	return false
}

// RefreshDraining re-evaluates which servers are draining.
func (list *List) RefreshDraining() {
	list.mu.Lock()
	defer list.mu.Unlock()
	next := *list.snapshot.Load()
	next.Servers, next.ByService = list.index()
	list.snapshot.Store(&next)
}

// withDraining returns the server, marked as draining if its run is known to be draining.
func (list *List) withDraining(server *Server) *Server {
	if server.Draining || !list.draining(server.ID, server.Born) {
		return server
	}
	marked := *server
	marked.Draining = true
	return &marked
}

func (list *List) index() (map[string]*Server, map[string][]*Server) {
	servers := map[string]*Server{}
	byService := map[string][]*Server{}
	for id, record := range list.records {
		if record.Server != nil {
			server := list.withDraining(record.Server)
			servers[id] = server
			byService[server.Service] = append(byService[server.Service], server)
		}
	}
	for _, members := range byService {
		sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	}
	return servers, byService
}

// Known is what another node knows of the list: everything up to End, and what this node sent before.
type Known struct {
	End storelog.Position
	// version is the version of this node's list up to which changes were sent, 0 for none.
	version uint64
}

// UpdateFor returns the update that the other node merges, and what it knows afterwards. The update is complete if the
// other node may know servers whose removal this list has no record of. Records of earlier eras are included in the
// first update, because the other node may have read only the backup.
func (list *List) UpdateFor(known Known) (Update, Known) {
	list.mu.Lock()
	defer list.mu.Unlock()
	snapshot := list.snapshot.Load()
	complete := storelog.Compare(known.End, list.removalsKnownFrom) < 0
	update := Update{End: snapshot.End, ReadAt: snapshot.ReadAt, Complete: complete, FromPeer: true}
	for _, record := range list.records {
		if complete || known.lacks(&record, snapshot.End.Era) {
			update.Records = append(update.Records, record)
		}
	}
	return update, Known{End: storelog.Latest(known.End, snapshot.End), version: list.version}
}

// lacks reports whether the other node may lack a record of a list that has reached the given era.
func (known *Known) lacks(record *Record, era int64) bool {
	if known.version > 0 {
		return record.version > known.version
	}
	return known.End.Era != era || record.Position.Era < era || storelog.Compare(record.changedAt, known.End) >= 0
}
