// Package drain tracks which data centres the operator has drained. No new call is sent to the backend servers of a
// drained data centre until the operator ends the drain.
//
// The start and the end of a drain are records in the operator's log; the later record of a data centre applies. One
// node reads the log and the others receive the records from their peers, so a node may receive the same record
// several times.
//
// A complete read of the log contains active drains only, so a node that started after the end of a drain has no record
// of it. Nodes therefore pass on all records together with the position up to which these cover the log: a drain that
// they lack has ended. For the same reason a table ignores the start of a drain that is not active, if the start is
// older than the position that the table has reached.
//
// The store may be restored from an older backup, which begins a new era (restore generation). A drain that the
// backup lacks is kept until the operator has had time to write it again. A drain that the backup contains, although
// it had ended, applies until its end is written again.
//
// The servers of a data centre may be cold after a drain, so each Status records when the drain ended.
//
// # Usage
//
//	table := drain.New(drain.Clock(clock.Boot))
//	changes := table.Apply(drain.Update{Records: records, End: end, Complete: true, ReadAt: readAt})
//	other.Apply(table.Update())
//	status := table.Status("centre-1")
//	if status.Drained() { ... }
package drain

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/state/storelog"
)

// Record is the start or the end of the drain of a data centre.
type Record struct {
	DataCentre string
	// Position is the record's position in the operator's log.
	Position storelog.Position
	Drained  bool
}

// Update is the result of one read of the operator's log, or what a peer passed on.
type Update struct {
	Records []Record
	// End is the position up to which Records contains all changes, storelog.Unknown if the peer has none.
	End storelog.Position
	// Complete is set when Records contains all active drains.
	Complete bool
	// ReadAt is when the store responded.
	ReadAt time.Duration
}

// Status is the drain status of one data centre. The zero value means that the data centre was never drained.
type Status struct {
	drained atomic.Bool
	// endedAt is when this node learned of the end of the last drain, 0 for none.
	endedAt atomic.Int64
}

// Drained reports whether the data centre gets no new calls.
func (status *Status) Drained() bool {
	return status.drained.Load()
}

// EndedWithin reports whether this node learned of the end of a drain less than span before now.
func (status *Status) EndedWithin(span, now time.Duration) bool {
	ended := time.Duration(status.endedAt.Load())
	return ended > 0 && now-ended < span
}

// Table holds the drain status of all data centres.
type Table struct {
	now clock.Now

	mu       sync.Mutex
	records  map[string]Record
	statuses map[string]*Status
	// end is the position up to which the table covers the log, and readAt when the log was read. eraStartedAt is the
	// time of the first read in the era of end.
	end          storelog.Position
	readAt       time.Duration
	eraStartedAt time.Duration
}

// Option configures a Table.
type Option func(*Table)

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(table *Table) { table.now = now }
}

// New returns a table without drains.
func New(options ...Option) *Table {
	table := &Table{now: clock.Boot, records: map[string]Record{}, statuses: map[string]*Status{}, end: storelog.Unknown}
	for _, option := range options {
		option(table)
	}
	return table
}

// Status returns the status of a data centre. It returns the same pointer on each call.
func (table *Table) Status(dataCentre string) *Status {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.statusLocked(dataCentre)
}

func (table *Table) statusLocked(dataCentre string) *Status {
	status, known := table.statuses[dataCentre]
	if !known {
		status = &Status{}
		table.statuses[dataCentre] = status
	}
	return status
}

// Apply applies an update, and returns the records that started or ended a drain.
func (table *Table) Apply(update Update) []Record {
	table.mu.Lock()
	defer table.mu.Unlock()
	if update.End.Known() && (!table.end.Known() || update.End.Era > table.end.Era) {
		table.eraStartedAt = update.ReadAt
	}
	outdated := storelog.Compare(update.End, table.end) < 0
	changes := []Record{}
	for _, record := range update.Records {
		if authoritative := update.Complete && !outdated; authoritative || !table.endedSinceLocked(&record) {
			changes = append(changes, table.mergeLocked(record)...)
		}
	}
	if !update.End.Known() || outdated {
		return changes
	}
	for _, record := range table.absentLocked(&update) {
		changes = append(changes, table.mergeLocked(record)...)
	}
	table.end, table.readAt = update.End, max(table.readAt, update.ReadAt)
	return changes
}

// endedSinceLocked reports whether a drain that is not active ended between the record of its start and the position
// that the table has reached. A drain from an earlier era may be unknown only because the backup lacks it, so it counts
// as ended once it was not written again within roster.ReregistrationTime.
func (table *Table) endedSinceLocked(record *Record) bool {
	if !record.Drained || table.records[record.DataCentre].Drained || storelog.Compare(record.Position, table.end) >= 0 {
		return false
	}
	return record.Position.Era == table.end.Era || table.rewriteTimeOverLocked(table.readAt)
}

// rewriteTimeOverLocked reports whether a read at the given time shows all records that were written again in the
// current era.
func (table *Table) rewriteTimeOverLocked(readAt time.Duration) bool {
	return readAt-table.eraStartedAt >= roster.ReregistrationTime
}

// absentLocked returns end records for the drains that are over because the update lacks them. A drain from the era of
// the update is over when a complete update lacks it. A drain from an earlier era is over when it was not written again
// within roster.ReregistrationTime.
func (table *Table) absentLocked(update *Update) []Record {
	rewriteTimeOver := table.rewriteTimeOverLocked(update.ReadAt)
	ended := []Record{}
	for _, existing := range table.records {
		listed := slices.ContainsFunc(update.Records, func(record Record) bool { return record.DataCentre == existing.DataCentre && record.Drained })
		older := storelog.Compare(existing.Position, update.End) < 0
		if !existing.Drained || listed || !older {
			continue
		}
		earlierEra := existing.Position.Era < update.End.Era
		if (earlierEra && rewriteTimeOver) || (!earlierEra && update.Complete) {
			end := storelog.Position{Era: update.End.Era, Offset: update.End.Offset - 1}
			ended = append(ended, Record{DataCentre: existing.DataCentre, Position: end})
		}
	}
	return ended
}

// mergeLocked applies a record if it is the newest of its data centre, and returns it if it started or ended a drain.
func (table *Table) mergeLocked(record Record) []Record {
	existing, known := table.records[record.DataCentre]
	if known && storelog.Compare(record.Position, existing.Position) <= 0 {
		return nil
	}
	table.records[record.DataCentre] = record
	if known && existing.Drained == record.Drained {
		return nil
	}
	status := table.statusLocked(record.DataCentre)
	status.drained.Store(record.Drained)
	if !record.Drained {
		status.endedAt.Store(int64(table.now()))
	}
	return []Record{record}
}

// Update returns all that the table knows, for other nodes.
func (table *Table) Update() Update {
	table.mu.Lock()
	defer table.mu.Unlock()
	records := slices.SortedFunc(maps.Values(table.records), func(one, other Record) int {
		return strings.Compare(one.DataCentre, other.DataCentre)
	})
	return Update{Records: records, End: table.end, ReadAt: table.readAt, Complete: table.end.Known()}
}

// Drained returns the names of the drained data centres, sorted.
func (table *Table) Drained() []string {
	drained := []string{}
	for _, record := range table.Update().Records {
		if record.Drained {
			drained = append(drained, record.DataCentre)
		}
	}
	return drained
}
