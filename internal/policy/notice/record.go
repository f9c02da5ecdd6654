package notice

import "time"

// Draining says whether the run takes no new calls.
func (record *Record) Draining() bool {
	return record.run.draining.Load()
}

// Takes says whether a new call may be sent to the server.
func (record *Record) Accepts(now time.Duration) bool {
	if record.run.draining.Load() {
		return false
	}
	until := record.server.backoffUntil.Load()
	return until == 0 || record.server.nextCallAt(until) <= now
}

// opensAt is when the next call may be sent, after a backoff that ends at a time.
func (server *serverState) nextCallAt(until int64) time.Duration {
	if trial := server.probeSentAt.Load(); trial != 0 {
		return max(time.Duration(until), time.Duration(trial)+probeTimeout)
	}
	return time.Duration(until)
}

// OpensAt is when the next call may be sent after a backoff.
func (record *Record) NextCallAt() time.Duration {
	return record.server.nextCallAt(record.server.backoffUntil.Load())
}

// Admit lets a call through that is about to be written, or returns why it may not be sent.
// Of the calls after a backoff one is let through at a time until the server has taken one.
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
	if trial := record.server.probeSentAt.Load(); record.server.nextCallAt(until) <= now && record.server.probeSentAt.CompareAndSwap(trial, int64(now)) {
		return nil
	}
	return ErrBackoff
}
