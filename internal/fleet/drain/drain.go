// Package drain tracks which data centres the operator has drained. No new call is sent to the backend servers of a
// drained data centre until the operator ends the drain.
//
// The start and the end of a drain are records in the operator's log; the later record of a data centre applies. One
// node reads the log and the others receive the records from their peers, so a node may receive the same record
// several times.
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
//	changes := table.ApplyLog(drain.Update{Records: records, End: end, Complete: true, ReadAt: readAt})
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

// Update is the result of one read of the operator's log.
type Update struct {
	Records []Record
	// End is the position up to which Records contains all changes.
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
	// era is the latest era in which the log was read, eraStartedAt the time of the first read in that era.
	era          int64
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
	table := &Table{now: clock.Boot, records: map[string]Record{}, statuses: map[string]*Status{}, era: -1}
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

// ApplyLog applies a read of the log by this node, and returns the records that started or ended a drain.
func (table *Table) ApplyLog(update Update) []Record {
	table.mu.Lock()
	defer table.mu.Unlock()
	if update.End.Era > table.era {
		table.era, table.eraStartedAt = update.End.Era, update.ReadAt
	}
	changes := table.mergeLocked(update.Records)
	return append(changes, table.mergeLocked(table.absentLocked(&update))...)
}

// absentLocked returns end records for the drains that are over because the update lacks them. A drain from the era of
// the update is over when a complete update lacks it. A drain from an earlier era is over when it was not written again
// within roster.ReregistrationTime.
func (table *Table) absentLocked(update *Update) []Record {
	rewriteTimeOver := update.ReadAt-table.eraStartedAt >= roster.ReregistrationTime
	ended := []Record{}
	for _, existing := range table.records {
		listed := slices.ContainsFunc(update.Records, func(record Record) bool { return record.DataCentre == existing.DataCentre })
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

// Merge applies records from another node, and returns the records that started or ended a drain.
func (table *Table) Merge(records []Record) []Record {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.mergeLocked(records)
}

func (table *Table) mergeLocked(records []Record) []Record {
	changes := []Record{}
	for _, record := range records {
		existing, known := table.records[record.DataCentre]
		if known && storelog.Compare(record.Position, existing.Position) <= 0 {
			continue
		}
		table.records[record.DataCentre] = record
		if known && existing.Drained == record.Drained {
			continue
		}
		status := table.statusLocked(record.DataCentre)
		status.drained.Store(record.Drained)
		if !record.Drained {
			status.endedAt.Store(int64(table.now()))
		}
		changes = append(changes, record)
	}
	return changes
}

// Records returns the last record of each data centre, ordered by data centre, for other nodes.
func (table *Table) Records() []Record {
	table.mu.Lock()
	defer table.mu.Unlock()
	return slices.SortedFunc(maps.Values(table.records), func(one, other Record) int {
		return strings.Compare(one.DataCentre, other.DataCentre)
	})
}

// Drained returns the names of the drained data centres, sorted.
func (table *Table) Drained() []string {
	drained := []string{}
	for _, record := range table.Records() {
		if record.Drained {
			drained = append(drained, record.DataCentre)
		}
	}
	return drained
}
