package clock

import "time"

// MinPause is the shortest delay of a tick or a timeout that counts as a pause. Shorter delays are usual on a busy
// machine. They are well below any silence that a node acts on.
const MinPause = 100 * time.Millisecond

// PauseDetector detects pauses of this process: spans in which the process was stopped or got no processor time. The
// process receives nothing in such a span, so the span says nothing about the silence of others.
//
// A detector belongs to one periodic task. A tick that is much later than its interval shows a pause.
type PauseDetector struct {
	now      Now
	interval time.Duration
	// lastTick is 0 before the first tick is scheduled.
	lastTick time.Duration
}

// NewPauseDetector returns a detector for a task that has not begun.
func NewPauseDetector(now Now) *PauseDetector {
	return &PauseDetector{now: now}
}

// Schedule records the interval until the next tick, and returns it.
func (detector *PauseDetector) Schedule(interval time.Duration) time.Duration {
	if detector.lastTick == 0 {
		detector.lastTick = detector.now()
	}
	detector.interval = interval
	return interval
}

// Restart excludes the time since the last tick, in which the task waited for an answer.
func (detector *PauseDetector) Restart() {
	detector.lastTick = detector.now()
}

// Observe is called at the start of each tick. It returns how long this process was paused since the previous tick, or
// 0 if the tick is on time.
func (detector *PauseDetector) Observe() time.Duration {
	now, previous := detector.now(), detector.lastTick
	detector.lastTick = now
	if pause := now - previous - detector.interval; previous > 0 && pause >= MinPause {
		return pause
	}
	return 0
}

// AfterPause returns the time from which a silence counts that began at a given time, if the process was paused until
// now. The pause itself does not count.
func AfterPause(since, pause, now time.Duration) time.Duration {
	return min(now, since+pause)
}
