package retry

import "time"

// Departures holds the last counts of retries of nodes whose links have ended, so that a slot in which a node was lost
// keeps its retries while those of the other nodes grow. The retries of a node that attaches elsewhere count twice until
// Retention has passed. Requests are left out, since the allowance grows with them. It isn't safe for concurrent use.
type Departures struct {
	// Retention is how long counts are kept, the window in which retries are limited.
	Retention time.Duration

	byProcess map[uint64]departure
}

type departure struct {
	counts Totals
	at     time.Duration
}

// Add keeps the retries of the last counts that a process sent.
func (departures *Departures) Add(process uint64, last Totals, now time.Duration) {
	counts := Totals{}
	for service, series := range last {
		retries := Series{First: series.First}
		for _, count := range series.Counts {
			retries.Counts = append(retries.Counts, Count{Retries: count.Retries})
		}
		counts[service] = retries
	}
	if len(counts) == 0 {
		return
	}
	if departures.byProcess == nil {
		departures.byProcess = map[uint64]departure{}
	}
	departures.byProcess[process] = departure{counts: counts, at: now}
}

// Return drops the counts of a process that sends them itself again.
func (departures *Departures) Return(process uint64) {
	delete(departures.byProcess, process)
}

// Counts returns the counts that are kept.
func (departures *Departures) Counts(now time.Duration) []Totals {
	counts := make([]Totals, 0, len(departures.byProcess))
	for process, departure := range departures.byProcess {
		if now-departure.at > departures.Retention {
			delete(departures.byProcess, process)
			continue
		}
		counts = append(counts, departure.counts)
	}
	return counts
}
