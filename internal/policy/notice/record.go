package notice

import "time"

// Draining says whether the run takes no new calls.
func (record *Record) Draining() bool {
	return record.run.draining.Load()
}

// Takes says whether a new call may be sent to the server.
func (record *Record) Takes(now time.Duration) bool {
	if record.run.draining.Load() {
		return false
	}
	until := record.server.until.Load()
	return until == 0 || record.server.opensAt(until) <= now
}

// opensAt is when the next call may be sent, after a backoff that ends at a time.
func (server *server) opensAt(until int64) time.Duration {
	if trial := server.trial.Load(); trial != 0 {
		return max(time.Duration(until), time.Duration(trial)+trialTime)
	}
	return time.Duration(until)
}

// OpensAt is when the next call may be sent after a backoff.
func (record *Record) OpensAt() time.Duration {
	return record.server.opensAt(record.server.until.Load())
}

// Admit lets a call through that is about to be written, or returns why it may not be sent.
// Of the calls after a backoff one is let through at a time until the server has taken one.
func (record *Record) Admit() error {
	until := record.server.until.Load()
	if until == 0 && !record.run.draining.Load() {
		return nil
	}
	err := record.admit(until)
	if err != nil {
		record.notices.Counts.Withheld.Add(1)
	}
	return err
}

func (record *Record) admit(until int64) error {
	now := record.notices.now()
	if record.Draining() {
		return ErrDraining
	}
	if trial := record.server.trial.Load(); record.server.opensAt(until) <= now && record.server.trial.CompareAndSwap(trial, int64(now)) {
		return nil
	}
	return ErrBackoff
}
