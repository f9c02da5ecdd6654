package repair

import (
	"math"
	"time"
)

// Mode is one reason for which a server is silent: how often it is the reason,
// and how long it lasts on average.
type Mode struct {
	Share float64
	Mean  time.Duration
}

// Returns is what is known about how silent servers come back. A pause ends
// with the server as it was; a restart with an idle one; a loss when the
// platform has replaced it.
type Returns struct {
	Pause   Mode
	Restart Mode
	Loss    Mode
}

// DefaultReturns is assumed until enough was seen.
var DefaultReturns = Returns{
	Pause:   Mode{Share: 0.3, Mean: 4 * time.Second},
	Restart: Mode{Share: 0.6, Mean: 45 * time.Second},
	Loss:    Mode{Share: 0.1, Mean: 15 * time.Minute},
}

// after weighs the modes for a server that has been silent for a while: the
// longer it lasts, the less it can be one of the short ones.
func (returns Returns) after(silent time.Duration) (pause, restart, loss float64) {
	weigh := func(mode Mode) float64 {
		return mode.Share * math.Exp(-silent.Seconds()/max(mode.Mean.Seconds(), 1e-3))
	}
	pause, restart, loss = weigh(returns.Pause), weigh(returns.Restart), weigh(returns.Loss)
	total := pause + restart + loss
	if total == 0 {
		return 0, 0, 1
	}
	return pause / total, restart / total, loss / total
}

// Learner learns Returns from what is seen. It belongs to one goroutine.
type Learner struct {
	pauses sum
	resets sum
	losses sum
}

// sum counts what was seen of one mode, with what was assumed before counting
// as a few sightings.
type sum struct {
	count   float64
	seconds float64
}

const assumedSightings = 10

// NewLearner returns a learner that assumes DefaultReturns.
func NewLearner() *Learner {
	assume := func(mode Mode) sum {
		count := assumedSightings * mode.Share
		return sum{count: count, seconds: count * mode.Mean.Seconds()}
	}
	return &Learner{
		pauses: assume(DefaultReturns.Pause), resets: assume(DefaultReturns.Restart), losses: assume(DefaultReturns.Loss),
	}
}

// lossAfter tells a replaced server from a restarted one.
const lossAfter = 5 * time.Minute

// Came notes a server that came back after a silence, as it was or restarted.
func (learner *Learner) Came(silent time.Duration, intact bool) {
	seen := &learner.resets
	switch {
	case intact:
		seen = &learner.pauses
	case silent > lossAfter:
		seen = &learner.losses
	}
	seen.count++
	seen.seconds += silent.Seconds()
}

// Returns is what is known so far.
func (learner *Learner) Returns() Returns {
	total := learner.pauses.count + learner.resets.count + learner.losses.count
	mode := func(seen sum) Mode {
		return Mode{Share: seen.count / total, Mean: time.Duration(seen.seconds / seen.count * float64(time.Second))}
	}
	return Returns{Pause: mode(learner.pauses), Restart: mode(learner.resets), Loss: mode(learner.losses)}
}
