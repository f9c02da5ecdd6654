package route

import (
	"math"
	"time"
)

// Predictor estimates the time to the first token at a group, given this node's own load there.
type Predictor func(target *Target, load LocalLoad, request Request, now time.Duration) time.Duration

// LocalLoad is this node's own load at a group.
type LocalLoad struct {
	Running           int64
	OutstandingTokens int64
	// PrefixCached reports that the group probably has the prompt's prefix in its cache.
	PrefixCached bool
}

// accepts reports whether the group may take one more draft of this node.
func (candidate *candidate) accepts(request Request, now time.Duration) bool {
	if candidate.target.Number == request.Exclude {
		return false
	}
	running := candidate.state.runningDrafts.Load()
	failedAt := time.Duration(candidate.state.failedAt.Load())
	if failedAt != 0 && candidate.target.ReadAt <= failedAt && now-failedAt < failurePause {
		return false
	}
	if failedAt != 0 && now-failedAt < failurePause+rampUpTime {
		return running < max(1, candidate.maxRunning/4)
	}
	if candidate.target.Remote {
		taken := running + int64(candidate.target.Running)
		return running < candidate.maxRunning && taken < int64(remoteMaxFill*float64(candidate.target.Concurrency))
	}
	return running < candidate.maxRunning || running+int64(candidate.target.PeerRunning) < int64(candidate.target.Concurrency)
}

func (groupState *groupState) localLoad(prefix uint64, now time.Duration) LocalLoad {
	return LocalLoad{Running: groupState.runningDrafts.Load(), OutstandingTokens: groupState.outstandingTokens.Load(), PrefixCached: groupState.hasPrefix(prefix, now)}
}

// PredictFirstToken is the default Predictor.
func PredictFirstToken(target *Target, load LocalLoad, request Request, now time.Duration) time.Duration {
	rate := float64(valueOrDefault(target.TokensPerSecond, defaultTokensPerSecond))
	prefill := float64(valueOrDefault(target.PrefillPerSecond, defaultPrefillPerSecond))
	// Node reports are at most a second old. The group's own report is older and includes much of the same work. The
	// part of it that exceeds the node reports gets less weight the older it is.
	reportWeight := math.Exp(-(now - target.ReadAt).Seconds() / reportDecayTime.Seconds())
	queued := float64(load.OutstandingTokens) + float64(target.PeerTokens)
	queued += reportWeight * max(0, float64(target.QueuedTokens)-queued)
	running := float64(load.Running) + float64(target.PeerRunning)
	running += reportWeight * max(0, float64(target.Running)-running)
	queueTime := 0.0
	if running >= float64(target.Concurrency) && running > 0 {
		// All slots of the batch are taken: the draft waits for its share of the queue ahead of it.
		queueTime = queued * (running - float64(target.Concurrency) + 1) / running / rate
	}
	prefillTime := float64(request.PromptTokens) / prefill
	if load.PrefixCached {
		prefillTime *= 1 - cachedPrefixSaving
	}
	// A fuller batch makes each step longer, which delays every token of the draft.
	stepTime := running / rate
	seconds := queueTime + prefillTime + stepTime
	predicted := time.Duration(seconds * float64(time.Second))
	if target.Remote {
		predicted += remoteMargin
	}
	return predicted
}

func valueOrDefault(value, fallback uint32) uint32 {
	if value == 0 {
		return fallback
	}
	return value
}

func (groupState *groupState) hasPrefix(prefix uint64, now time.Duration) bool {
	slot := groupState.prefixes[prefix%prefixSlots].Load()
	sent := time.Duration(slot&(1<<prefixTimestampBits-1)) * time.Second
	return slot != 0 && slot>>prefixTimestampBits == prefix>>prefixTimestampBits && now.Truncate(time.Second)-sent < prefixLifetime
}

func (groupState *groupState) rememberPrefix(prefix uint64, now time.Duration) {
	seconds := uint64(now/time.Second) & (1<<prefixTimestampBits - 1)
	groupState.prefixes[prefix%prefixSlots].Store(prefix>>prefixTimestampBits<<prefixTimestampBits | seconds)
}
