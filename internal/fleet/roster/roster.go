// Package roster keeps the newest known list of backend servers, with the
// group that each says it is in.
//
// The list comes from the platform's registry as records with positions, read by
// this node or passed on by a peer. A record only replaces what an older record of
// the same server said, so late and repeated records do no harm. A server whose
// entry was removed is gone; what it last said is forgotten.
//
// The registry may come back from an older copy, which begins an era. Entries that it
// has from before may be older than those that were known: a server that has said
// since that it leaves seems to take calls again. So a record that the copy may hold
// doesn't replace one that was known of a later place; what the server writes next
// does. A server that the copy doesn't show is kept for as long as servers need to
// write their entries again.
//
// # Usage
//
//	list := roster.New()
//	list.Take(roster.Reading{Records: records, End: end, ReadAt: readAt})
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

// The states of a member of a group. A head goes from ready through open and
// closing; other members stay ready.
const (
	Joining = "Joining"
	Ready   = "Ready"
	Open    = "Open"
	Closing = "Closing"
	Broken  = "Broken"
)

// Membership is the group that a server is in. Name is empty for none.
type Membership struct {
	Name  string
	Epoch int64
	// Rank is the server's place in the list of members; 0 is the head.
	Rank  int
	State string
}

// Server is one backend server in one run of its process.
type Server struct {
	ID string
	// Born is when the process started, in Unix milliseconds by the server's own
	// clock, 0 where that isn't told. A server that starts again under its ID
	// knows nothing of before.
	Born       int64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	// Cold is for how much longer the server was to bear few requests only when it wrote
	// its entry.
	Cold time.Duration
	// FabricDomain is the part of the network within which members of a group
	// reach each other fast.
	FabricDomain string
	// Staged are the models whose weights lie on the server's host.
	Staged []string
	// Model is what the server runs, with Size its group's size; both are empty
	// outside a group.
	Model string
	Group Membership
}

// HasStaged says whether the model's weights lie on the server's host.
func (server *Server) HasStaged(model string) bool {
	return slices.Contains(server.Staged, model)
}

// Record is one change of the list. Server is nil when the entry was removed.
// Body is the entry as the registry holds it, until it is read; Hash is that of the
// body, 0 where the record came from another node.
type Record struct {
	ID       string
	Position storelog.Position
	// Copied says that the record may be of the copy that its era began with, and
	// older than what was known in the era before.
	Copied bool
	Server *Server
	Body   []byte
	Hash   uint64

	// version is the list's when the entry last said something new; servers write
	// their entries again and again as heartbeats.
	version uint64
	// changed is the record's position then.
	changed storelog.Position
}

// same says whether two records say the same of the server.
func (record *Record) same(other *Record) bool {
	if record.Server == nil || other.Server == nil {
		return record.Server == other.Server
	}
	return reflect.DeepEqual(record.Server, other.Server)
}

// supersedes says whether a record is newer than what is held of the server. Of two
// eras, the later one's is, unless the copy may hold it from before the held one was
// written: a server that is leaving would be sent calls again.
func (record *Record) supersedes(held *Record) bool {
	switch {
	case record.Position.Era == held.Position.Era:
		return record.Position.Offset > held.Position.Offset
	case record.Position.Era > held.Position.Era:
		return !record.Copied || record.Position.Offset >= held.Position.Offset
	}
	return held.Copied && held.Position.Offset < record.Position.Offset
}

// Held returns what is held of a server, if its entry had the same bytes.
func (list *List) Held(id string, hash uint64) (*Server, bool) {
	list.mu.Lock()
	defer list.mu.Unlock()
	held, ok := list.records[id]
	return held.Server, ok && held.Hash == hash && hash != 0 && held.Server != nil
}

// Snapshot is the list as of one moment. It is never changed.
type Snapshot struct {
	// End is the position up to which records were taken.
	End storelog.Position
	// ReadAt is when the registry was last read, by this node or by the peer
	// that passed the records on, on this node's clock.
	ReadAt time.Duration

	Servers   map[string]*Server
	ByService map[string][]*Server
}

// Load returns the current list.
func (list *List) Load() *Snapshot {
	return list.snapshot.Load()
}

// List is the newest known list.
type List struct {
	snapshot atomic.Pointer[Snapshot]

	mu      sync.Mutex
	records map[string]Record
	// version rises with each entry that says something new.
	version uint64
	// began is the first position that was known in the era of the snapshot's end:
	// what is written from there on is not of the copy. beganAt is when.
	began   storelog.Position
	beganAt time.Duration

	draining func(id string, born int64) bool
}

// Option changes how a List is built.
type Option func(*List)

// Draining sets who knows of runs that are draining whatever their entries say. The marks are
// this node's: records are passed on as the registry has them.
func Draining(draining func(id string, born int64) bool) Option {
	return func(list *List) { list.draining = draining }
}

// New returns an empty list.
func New(options ...Option) *List {
	list := &List{records: map[string]Record{}, draining: func(string, int64) bool { return false }}
	for _, option := range options {
		option(list)
	}
	list.snapshot.Store(&Snapshot{End: storelog.Unknown, ReadAt: -1, Servers: map[string]*Server{}, ByService: map[string][]*Server{}})
	return list
}

// Known says whether the registry was ever read.
func (snapshot *Snapshot) Known() bool {
	return snapshot.ReadAt >= 0
}

// Reading is what was learnt of the registry at one time.
type Reading struct {
	Records []Record
	// End is the position up to which they are all that changed.
	End storelog.Position
	// ReadAt is when the registry answered.
	ReadAt time.Duration
	// Whole says that the records are all entries that there are.
	Whole bool
	// Told says that another node passed the records on, and has judged which of
	// them are copied.
	Told bool
}

// ReappearWithin is how long after the registry came back a server that lives has
// written its entry again.
const ReappearWithin = 2500 * time.Millisecond

// Take takes what was read and says whether any of it was news.
func (list *List) Take(reading Reading) bool {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.noteEra(reading)
	changed := false
	for _, record := range reading.Records {
		if !reading.Told {
			record.Copied = record.Position.Era > 0 && storelog.Compare(record.Position, list.began) < 0
		}
		changed = list.take(record) || changed
	}
	if reading.Whole {
		changed = list.forget(reading) || changed
	}
	held := list.snapshot.Load()
	next := &Snapshot{
		End: storelog.Latest(held.End, reading.End), ReadAt: max(reading.ReadAt, held.ReadAt),
		Servers: held.Servers, ByService: held.ByService,
	}
	if changed {
		next.Servers, next.ByService = list.index()
	}
	list.snapshot.Store(next)
	return changed
}

// noteEra notes where an era began, as far as is known.
func (list *List) noteEra(reading Reading) {
	if known := list.snapshot.Load().End; !reading.End.Known() || (known.Known() && reading.End.Era <= known.Era) {
		return
	}
	list.began, list.beganAt = reading.End, reading.ReadAt
}

// take takes one record and says whether it was news.
func (list *List) take(record Record) bool {
	held, known := list.records[record.ID]
	if known && !record.supersedes(&held) {
		return false
	}
	record.changed = record.Position
	news := !known || !held.same(&record)
	if news {
		list.version++
		record.version = list.version
	} else {
		record.changed, record.version, record.Server = held.changed, held.version, held.Server
	}
	list.records[record.ID] = record
	return news
}

// forget forgets every server that a full reading doesn't show and whose record is
// older than it, and says whether there was one. A record of an era before may just be
// missing in the copy; it is kept until the server must have written it again.
func (list *List) forget(reading Reading) bool {
	named := make(map[string]bool, len(reading.Records))
	for _, record := range reading.Records {
		named[record.ID] = true
	}
	settled := reading.ReadAt-list.beganAt >= ReappearWithin
	absent := storelog.Position{Era: reading.End.Era, Offset: reading.End.Offset - 1}
	changed := false
	for id, record := range list.records {
		older := storelog.Compare(record.Position, reading.End) < 0
		if named[id] || !older || record.Server == nil || (record.Position.Era < reading.End.Era && !settled) {
			continue
		}
		list.version++
		list.records[id] = Record{ID: id, Position: absent, version: list.version, changed: absent}
		changed = true
	}
	return changed
}

// Settles says whether a full reading would tell which servers of an era before are
// still there: they have had the time to write their entries again.
func (list *List) Settles(now time.Duration) bool {
	list.mu.Lock()
	defer list.mu.Unlock()
	era := list.snapshot.Load().End.Era
	if era == 0 || now-list.beganAt < ReappearWithin {
		return false
	}
	for _, record := range list.records {
		if record.Server != nil && record.Position.Era < era {
			return true
		}
	}
	return false
}

// Refresh looks anew which servers are draining.
func (list *List) Refresh() {
	list.mu.Lock()
	defer list.mu.Unlock()
	next := *list.snapshot.Load()
	next.Servers, next.ByService = list.index()
	list.snapshot.Store(&next)
}

// marked returns the server, as draining if it said so.
func (list *List) marked(server *Server) *Server {
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
			server := list.marked(record.Server)
			servers[id] = server
			byService[server.Service] = append(byService[server.Service], server)
		}
	}
	for _, members := range byService {
		sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	}
	return servers, byService
}

// Since returns what changed after a version of the list, and the version now.
func (list *List) Since(version uint64) ([]Record, uint64) {
	return list.pick(func(record *Record) bool { return record.version > version })
}

// After returns what a peer lacks that knows the list up to a position, and the
// version of the list now. Records of an era before its own are among it: the peer may
// have read the copy alone.
func (list *List) After(position storelog.Position) ([]Record, uint64) {
	era := list.Load().End.Era
	return list.pick(func(record *Record) bool {
		return position.Era != era || record.Position.Era < era || storelog.Compare(record.changed, position) >= 0
	})
}

func (list *List) pick(wanted func(record *Record) bool) ([]Record, uint64) {
	list.mu.Lock()
	defer list.mu.Unlock()
	found := []Record{}
	for _, record := range list.records {
		if wanted(&record) {
			found = append(found, record)
		}
	}
	return found, list.version
}
