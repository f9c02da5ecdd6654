package route

import (
	"math"
	"time"
)

// Predictor estimates the time to the first token at a group at which this
// node has so many drafts and tokens under way.
type Predictor func(target *Target, own Own, request Request, now time.Duration) time.Duration

// Own is what this node itself has at a group.
type Own struct {
	Running     int64
	Outstanding int64
	// Cached tells that the group is likely to know the prompt's prefix.
	Cached bool
}

// open reports whether the group may take one more draft of this node.
func (candidate *candidate) open(request Request, now time.Duration) bool {
	if candidate.target.Number == request.Exclude {
		return false
	}
	running := candidate.state.running.Load()
	suspected := time.Duration(candidate.state.suspectAt.Load())
	if suspected != 0 && candidate.target.ReadAt <= suspected && now-suspected < suspectFor {
		return false
	}
	if suspected != 0 && now-suspected < suspectFor+rampFor {
		return running < max(1, candidate.share/4)
	}
	if candidate.target.Remote {
		taken := running + int64(candidate.target.Running)
		return running < candidate.share && taken < int64(spillRoom*float64(candidate.target.Concurrency))
	}
	return running < candidate.share || running+int64(candidate.target.PeerRunning) < int64(candidate.target.Concurrency)
}

func (state *groupState) own(prefix uint64, now time.Duration) Own {
	return Own{Running: state.running.Load(), Outstanding: state.outstanding.Load(), Cached: state.cached(prefix, now)}
}

// Prediction is the usual Predictor.
func Prediction(target *Target, own Own, request Request, now time.Duration) time.Duration {
	rate := float64(orDefault(target.TokensPerSecond, defaultRate))
	prefill := float64(orDefault(target.PrefillPerSecond, defaultPrefill))
	// What nodes say they have there is a second old at most; the group's own
	// report is older and counts much of the same work again. Of what it says
	// beyond theirs, less is believed the older it is.
	believed := math.Exp(-(now - target.ReadAt).Seconds() / reportTrust.Seconds())
	queued := float64(own.Outstanding) + float64(target.PeerTokens)
	queued += believed * max(0, float64(target.QueuedTokens)-queued)
	running := float64(own.Running) + float64(target.PeerRunning)
	running += believed * max(0, float64(target.Running)-running)
	waiting := 0.0
	if running >= float64(target.Concurrency) && running > 0 {
		// Every place in the batch is taken: the draft waits for the share of
		// the queue that is ahead of it.
		waiting = queued * (running - float64(target.Concurrency) + 1) / running / rate
	}
	prompt := float64(request.PromptTokens) / prefill
	if own.Cached {
		prompt *= 1 - cachedShare
	}
	// A fuller batch makes each step longer, which a draft pays at every token.
	step := running / rate
	seconds := waiting + prompt + step
	predicted := time.Duration(seconds * float64(time.Second))
	if target.Remote {
		predicted += remoteMargin
	}
	return predicted
}

func orDefault(value, otherwise uint32) uint32 {
	if value == 0 {
		return otherwise
	}
	return value
}

func (state *groupState) cached(prefix uint64, now time.Duration) bool {
	slot := state.prefixes[prefix%prefixSlots].Load()
	sent := time.Duration(slot&(1<<prefixTimeBits-1)) * time.Second
	return slot != 0 && slot>>prefixTimeBits == prefix>>prefixTimeBits && now.Truncate(time.Second)-sent < prefixLifetime
}

func (state *groupState) remember(prefix uint64, now time.Duration) {
	seconds := uint64(now/time.Second) & (1<<prefixTimeBits - 1)
	state.prefixes[prefix%prefixSlots].Store(prefix>>prefixTimeBits<<prefixTimeBits | seconds)
}
