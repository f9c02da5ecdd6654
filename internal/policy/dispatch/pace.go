package dispatch

import (
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"hazelslip/internal/policy/pace"
)

// A group may be slower than configured: it is as slow as its slowest member, and servers differ, are slow for
// some time after they start, or become slow. Predictions for a group are multiplied by its slowdown factor,
// which package pace derives from the times between events and from what other nodes report.

const (
	// slowCallerDivisor limits the time that forwarding an event to the caller may take to
	// PassTime/slowCallerDivisor. If it takes longer, the next gap is not measured: events queue up meanwhile, so
	// the caller caused the gap.
	slowCallerDivisor = 8
	// slowGroupSilentPasses is the number of measured passes for which the streams of a slow group may be silent. It
	// is less than silentPasses because a measured pass time already includes the load.
	slowGroupSilentPasses = 3
)

// paceState holds a target's slowdown factors in hundredths; 0 counts as 100.
type paceState struct {
	meter pace.Meter
	// applied is the factor that expected times are multiplied by. measured is the factor that this node knows for
	// the group alone, regardless of the pool's other groups.
	applied  atomic.Int64
	measured atomic.Int64
	// reportedSlow is set while this node has reported the group slow and has not reported its recovery. lastSlowAt
	// is when the group was last slow. Only UpdatePaces uses them.
	reportedSlow bool
	lastSlowAt   time.Duration
}

// recoveredAfter is how long a slow group must not be slow to count as recovered. It is long enough that a group
// that is tried again and is still slow isn't reported a second time.
const recoveredAfter = 3 * time.Second

// update reports whether this node has just found the group slow, and whether a group that it found slow has
// recovered.
func (paceState *paceState) update(changed, slow bool, now time.Duration) (becameSlow, recovered bool) {
	if slow {
		paceState.lastSlowAt = now
	}
	becameSlow = changed && slow && !paceState.reportedSlow
	recovered = paceState.reportedSlow && now-paceState.lastSlowAt >= recoveredAfter
	paceState.reportedSlow = (paceState.reportedSlow || becameSlow) && !recovered
	return becameSlow, recovered
}

func toHundredths(factor float64) int64 {
	return int64(math.Round(factor * hundredths))
}

func fromHundredths(value int64) float64 {
	return max(1, float64(value)/hundredths)
}

// slowdown returns the factor by which the target's times exceed the configured ones.
func (localState *localState) slowdown() float64 {
	return fromHundredths(localState.pace.applied.Load())
}

// scaleBySlowdown returns the duration multiplied by the target's slowdown factor.
func (localState *localState) scaleBySlowdown(duration time.Duration) time.Duration {
	if factor := localState.pace.applied.Load(); factor > hundredths {
		return duration * time.Duration(factor) / hundredths
	}
	return duration
}

// slowPassTime returns the measured pass time, or 0 if the target isn't slow.
func (target *Target) slowPassTime() time.Duration {
	if factor := target.pace.measured.Load(); factor > hundredths {
		return target.PassTime * time.Duration(factor) / hundredths
	}
	return 0
}

// pendingPrefillTime returns the expected time to prefill the pending prompts at the target, without those of
// calls that wait there for a slot.
func (target *Target) pendingPrefillTime() time.Duration {
	prefillTime := time.Duration(target.pendingPromptTokens.Load()+target.peerPendingPromptTokens.Load()) * target.TokenPrefillTime
	return max(0, prefillTime-time.Duration(max(0, target.ActiveCalls()-target.Slots))*target.PromptPrefillTime)
}

// recordGap measures the time since the previous event of a stream, 0 for none, for events that arrived together. Prompts
// that the group may have prefilled since the previous event lengthen the pass.
func (call *Call) recordGap(now, previousAt time.Duration, events int) {
	target := call.target
	if target.Group == "" || target.PassTime <= 0 {
		return
	}
	prefillTime := target.pendingPrefillTime()
	previousPrefillTime := time.Duration(call.prefillAtEvent.Swap(int64(prefillTime)))
	if previousAt == 0 || call.slowCaller.Swap(false) {
		return
	}
	expected := target.PassTime - time.Duration(max(0, target.Slots-target.ActiveCalls()))*target.PassTimePerCall
	events = max(1, events)
	eventCount := time.Duration(events)
	target.pace.meter.Record(pace.Interval{Elapsed: (now - previousAt) / eventCount, ExpectedPass: max(expected, target.PassTime/4), ExpectedPrefill: max(prefillTime, previousPrefillTime) / eventCount}, now)
}

// RecordForwardTime records how long forwarding the last event to the caller took.
func (call *Call) RecordForwardTime(elapsed time.Duration) {
	if elapsed > call.target.PassTime/slowCallerDivisor {
		call.slowCaller.Store(true)
	}
}

// PaceChange is a change of what this node knows of a target's slowdown.
type PaceChange struct {
	Target *Target
	// Factor is the measured slowdown factor.
	Factor float64
	// Broadcast reports that other nodes must be told, BecameSlow that this node has found the group slow, and
	// Recovered that a group that this node found slow isn't slow any more.
	Broadcast, BecameSlow, Recovered bool
}

// UpdatePaces recomputes the slowdown factors of all groups, and returns the changes that result from this
// node's own measurements. It must not be called concurrently.
func (board *Board) UpdatePaces() []PaceChange {
	changes := []PaceChange{}
	now := board.now()
	pools := board.snapshot.Load().pools
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		pool := pools[name]
		for index, result := range pool.updatePaces(now) {
			target := pool.targets[index]
			becameSlow, recovered := target.pace.update(result.Changed, target.slowdown() > 1, now)
			switch {
			case becameSlow:
				board.PaceCounts.FoundSlow.Add(1)
			case recovered:
				board.PaceCounts.Recovered.Add(1)
			case !result.Changed:
				continue
			}
			changes = append(changes, PaceChange{Target: target, Factor: result.Factor, Broadcast: result.Changed, BecameSlow: becameSlow, Recovered: recovered})
		}
	}
	return changes
}

// updatePaces recomputes and applies the slowdown factors of the pool's groups.
func (pool *pool) updatePaces(now time.Duration) []pace.Assessment {
	if len(pool.targets) == 0 || pool.targets[0].Group == "" {
		return nil
	}
	results, factors := make([]pace.Assessment, len(pool.targets)), make([]float64, len(pool.targets))
	measured := []pace.Measurement{}
	for _, target := range pool.targets {
		if measurement, known := target.pace.meter.Measure(now); known {
			measured = append(measured, measurement)
		}
	}
	baseline := pace.Baseline(measured)
	for index, target := range pool.targets {
		results[index] = target.pace.meter.Evaluate(baseline, now)
		factors[index] = results[index].Factor
		target.pace.measured.Store(toHundredths(factors[index]))
	}
	for index, factor := range pace.EffectiveFactors(factors) {
		pool.targets[index].pace.applied.Store(toHundredths(factor))
	}
	return results
}

// PeerPace is a target's slowdown factor as nodes exchange it.
type PeerPace struct {
	Server, Group string
	Born          int64
	Factor        float64
	Age           time.Duration
}

// TargetKey identifies the target as Target.Key does.
func (peerPace *PeerPace) TargetKey() string {
	return targetKey(Spec{ID: peerPace.Server, Group: peerPace.Group, Born: peerPace.Born})
}

// ApplyPeerPace records a factor that another node measured, and reports whether it was new. The factor takes
// effect with the next UpdatePaces.
func (board *Board) ApplyPeerPace(peerPace *PeerPace) bool {
	target := board.targetByKey(peerPace.TargetKey())
	now := board.now()
	if target == nil || !target.pace.meter.ApplyRemote(peerPace.Factor, now-peerPace.Age, now) {
		return false
	}
	board.PaceCounts.Received.Add(1)
	return true
}

// PaceForPeers returns the factor to send to other nodes for the target with the given key.
func (board *Board) PaceForPeers(key string) (PeerPace, bool) {
	target := board.targetByKey(key)
	if target == nil {
		return PeerPace{}, false
	}
	factor, age := target.pace.meter.Announced(board.now())
	return PeerPace{Server: target.ID, Group: target.Group, Born: target.Born, Factor: factor, Age: age}, true
}

// SlowTargets returns the keys of the targets that seem slow, sorted.
func (board *Board) SlowTargets() []string {
	keys := []string{}
	for _, target := range board.snapshot.Load().targets {
		if target.pace.measured.Load() > hundredths {
			keys = append(keys, target.Key())
		}
	}
	slices.Sort(keys)
	return keys
}

func (board *Board) targetByKey(key string) *Target {
	board.mu.Lock()
	defer board.mu.Unlock()
	return board.targets[key]
}
