package repair

import (
	"math"
	"time"
)

// OutageMode is one cause of a server being unresponsive: how often it is the cause, and its mean duration.
type OutageMode struct {
	Share float64
	Mean  time.Duration
}

// Recovery describes how unresponsive servers come back. After a pause, a server is in its previous state. After a
// restart, it is idle. After a loss, it comes back when the platform has replaced it.
type Recovery struct {
	Pause   OutageMode
	Restart OutageMode
	Loss    OutageMode
}

// DefaultRecovery is assumed until there are enough observations.
var DefaultRecovery = Recovery{
	Pause:   OutageMode{Share: 0.3, Mean: 4 * time.Second},
	Restart: OutageMode{Share: 0.6, Mean: 45 * time.Second},
	Loss:    OutageMode{Share: 0.1, Mean: 15 * time.Minute},
}

// posterior returns the probability of each mode for a server that has been unresponsive for the given time. The
// longer the outage lasts, the less likely are the short modes.
func (recovery Recovery) posterior(unresponsiveFor time.Duration) (pause, restart, loss float64) {
	weight := func(mode OutageMode) float64 {
		return mode.Share * math.Exp(-unresponsiveFor.Seconds()/max(mode.Mean.Seconds(), 1e-3))
	}
	pause, restart, loss = weight(recovery.Pause), weight(recovery.Restart), weight(recovery.Loss)
	total := pause + restart + loss
	if total == 0 {
		return 0, 0, 1
	}
	return pause / total, restart / total, loss / total
}

// Learner estimates a Recovery from observed outages. It is not safe for concurrent use.
type Learner struct {
	pauses   observations
	restarts observations
	losses   observations
}

// observations accumulates the outages of one mode. It starts with a few prior observations from DefaultRecovery.
type observations struct {
	count   float64
	seconds float64
}

const priorObservations = 10

// NewLearner returns a learner that starts from DefaultRecovery.
func NewLearner() *Learner {
	prior := func(mode OutageMode) observations {
		count := priorObservations * mode.Share
		return observations{count: count, seconds: count * mode.Mean.Seconds()}
	}
	return &Learner{
		pauses: prior(DefaultRecovery.Pause), restarts: prior(DefaultRecovery.Restart), losses: prior(DefaultRecovery.Loss),
	}
}

// lossThreshold is the outage duration beyond which a server counts as replaced and not as restarted.
const lossThreshold = 5 * time.Minute

// Observe records a server that came back after an outage, either intact or restarted.
func (learner *Learner) Observe(unresponsiveFor time.Duration, intact bool) {
	observed := &learner.restarts
	switch {
	case intact:
		observed = &learner.pauses
	case unresponsiveFor > lossThreshold:
		observed = &learner.losses
	}
	observed.count++
	observed.seconds += unresponsiveFor.Seconds()
}

// Recovery returns the current estimate.
func (learner *Learner) Recovery() Recovery {
	total := learner.pauses.count + learner.restarts.count + learner.losses.count
	mode := func(observed observations) OutageMode {
		return OutageMode{Share: observed.count / total, Mean: time.Duration(observed.seconds / observed.count * float64(time.Second))}
	}
	return Recovery{Pause: mode(learner.pauses), Restart: mode(learner.restarts), Loss: mode(learner.losses)}
}
