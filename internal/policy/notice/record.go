package notice

import "time"

// Draining reports whether the run accepts no new calls.
func (record *Record) Draining() bool {
	return record.run.draining.Load()
}

// Accepts reports whether a new call may be sent to the server.
func (record *Record) Accepts(now time.Duration) bool {
	if record.run.draining.Load() {
		return false
	}
	until := record.server.backoffUntil.Load()
	return until == 0 || record.server.nextCallAt(until) <= now
}

// nextCallAt returns the earliest time for the next call, given the end of the backoff.
func (server *serverState) nextCallAt(until int64) time.Duration {
	if probe := server.probeSentAt.Load(); probe != 0 {
		return max(time.Duration(until), time.Duration(probe)+probeTimeout)
	}
	return time.Duration(until)
}

// NextCallAt returns the earliest time for the next call after a backoff.
func (record *Record) NextCallAt() time.Duration {
	return record.server.nextCallAt(record.server.backoffUntil.Load())
}

// Admit checks a call that is about to be written. It returns an error if the call must not be
// sent. After a backoff Admit lets one probe call through at a time until the server accepts a
// call.
func (record *Record) Admit() error {
	until := record.server.backoffUntil.Load()
	if until == 0 && !record.run.draining.Load() {
		return nil
	}
	err := record.admitOrRefuse(until)
	if err != nil {
		record.notices.Counts.Withheld.Add(1)
	}
	return err
}

func (record *Record) admitOrRefuse(until int64) error {
	now := record.notices.now()
	if record.Draining() {
		return ErrDraining
	}
	if probe := record.server.probeSentAt.Load(); record.server.nextCallAt(until) <= now && record.server.probeSentAt.CompareAndSwap(probe, int64(now)) {
		return nil
	}
	return ErrBackoff
}
