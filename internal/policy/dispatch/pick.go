package dispatch

import (
	"slices"
	"time"
)

// Criteria are the conditions under which Pick chooses a target.
type Criteria struct {
	// DataCentre is the data centre of the caller's node.
	DataCentre string
	// Exclude lists the servers that have failed this request.
	Exclude []string
	// MaxQueued is the number of calls that a target may have beyond its slots. These calls wait at the server,
	// which runs the most urgent first.
	MaxQueued int
	// Regions are the regions that the call may be sent to, nil for all.
	Regions []string
	// Urgency ranks the call among those that wait for a rate-limited server; 0 is the most urgent.
	Urgency int
	// ReachableOnly excludes servers that this node doesn't reach, because another node may reach them.
	ReachableOnly bool
	// IncludeAvoided allows targets that are avoided after failures or while they are silent, but not groups that are
	// known to have lost a member.
	IncludeAvoided bool
	// includeUnreachable allows data centres and servers that this node doesn't reach.
	includeUnreachable bool
	// ignoreBreakers allows targets whose circuit breakers are open.
	ignoreBreakers bool
	// PreferActive prefers a group with a free slot whose streams have just had events. A moved stream usually has
	// only one attempt left. Servers are often lost several at a time, and an idle group that has lost a member
	// looks healthy until a call has waited there for long.
	PreferActive bool
}

// Verdict is the result of Pick: Chosen, or why no target was chosen.
type Verdict int

// The verdicts of Pick.
const (
	Chosen Verdict = iota
	// NoTarget means that no target serves the pool.
	NoTarget
	// Full means that every target has as many calls as it may have.
	Full
	// RateLimited means that only rate-limited servers could take the call and this node has no permit for any of
	// them. The target returned with it is one to wait for.
	RateLimited
	// BackedOff means that only servers that asked for a backoff could take the call. The target returned with it is
	// the one whose backoff ends first.
	BackedOff
	// Unreachable means that only servers that this node doesn't reach could take the call.
	Unreachable
)

const (
	// nearBestMargin is how much later than at the best target the first event may come at the chosen one. It is
	// about the error of a node's counts: the prefill of a prompt that another node has sent since its last report.
	nearBestMargin = 15 * time.Millisecond
	// remotePenalty is added for a target in another data centre, because calls to it stall when the data centre is
	// cut off. It is more than nearBestMargin, so that the node's own data centre wins among nearly equal targets,
	// and less than the prefill of two prompts of usual length.
	remotePenalty = 25 * time.Millisecond
	// backoffHintPenalty is added for a server that asked another node for a backoff. The server would most likely
	// refuse the call, which costs a retry, but this isn't certain.
	backoffHintPenalty = 400 * time.Millisecond
	// notSelectable marks a target that can't be chosen.
	notSelectable = time.Duration(-1)
)

// Pick chooses a target of a pool. The caller must send the call, because Pick counts it against the rate limit
// of the target's server.
func (board *Board) Pick(name string, criteria Criteria) (*Target, Verdict) {
	pool, ok := board.pool(name)
	if !ok || len(pool.targets) == 0 {
		return nil, NoTarget
	}
	costs, usable, breakerOpen, unreachable := criteria.costs(pool.targets, board)
	switch {
	case usable == 0 && breakerOpen > 0:
		criteria.ignoreBreakers = true
		return board.Pick(name, criteria)
	case usable == 0 && criteria.ReachableOnly && unreachable > 0:
		return nil, Unreachable
	case usable == 0 && !criteria.includeUnreachable:
		criteria.includeUnreachable = true
		return board.Pick(name, criteria)
	case usable == 0:
		return criteria.earliestBackoffEnd(pool.targets, board.now())
	}
	target, verdict := board.chooseCheapest(pool.targets, costs, &criteria)
	if verdict == Full && criteria.ReachableOnly && unreachable > 0 {
		verdict = Unreachable
	}
	return target, verdict
}

// costs returns the cost of each target, notSelectable for those that can't be chosen, and the number of targets
// that could be chosen if they had a free slot. Targets with open breakers and unreachable targets are counted
// separately.
func (criteria *Criteria) costs(targets []*Target, board *Board) (costs []time.Duration, usable, breakerOpen, unreachable int) {
	now := board.now()
	costs = make([]time.Duration, len(targets))
	checkBreakers := !criteria.ignoreBreakers && breakersApply(targets, now)
	for index, target := range targets {
		costs[index] = notSelectable
		if target.refusesCalls(now) || !criteria.allows(target) {
			continue
		}
		if !criteria.includeUnreachable && (target.dataCentrePath.unhealthy() || target.path.Blocks(target.ID)) && !board.ReachableByIdleConnection(target) {
			unreachable++
			continue
		}
		if (target.Avoided(now) && !criteria.IncludeAvoided) || slices.Contains(criteria.Exclude, target.ID) {
			continue
		}
		if checkBreakers && target.breaker.open(now) {
			breakerOpen++
			continue
		}
		usable++
		if target.ActiveCalls() >= target.Slots+criteria.MaxQueued || (target.cold(now) && !target.warmup.WouldAllow(now, board.coldLimit(target))) {
			continue
		}
		costs[index] = criteria.cost(target) + target.failureCost(now)
		if target.record.HasHint(now) {
			costs[index] += backoffHintPenalty
		}
		if criteria.PreferActive && !target.recentlyActive(now) {
			costs[index] += inactivePenalty
		}
	}
	return costs, usable, breakerOpen, unreachable
}

// allows reports whether the call may be sent to the target's region.
func (criteria *Criteria) allows(target *Target) bool {
	return criteria.Regions == nil || slices.Contains(criteria.Regions, target.Region)
}

// earliestBackoffEnd returns the target whose server's backoff ends first.
func (criteria *Criteria) earliestBackoffEnd(targets []*Target, now time.Duration) (*Target, Verdict) {
	var first *Target
	for _, target := range targets {
		if target.MemberLost() || target.drainStatus.Drained() || !criteria.allows(target) || target.record.Draining() || target.record.Accepts(now) {
			continue
		}
		if first == nil || target.BackoffEndsAt() < first.BackoffEndsAt() {
			first = target
		}
	}
	if first == nil {
		return nil, NoTarget
	}
	return first, BackedOff
}

// chooseCheapest draws from the cheapest targets until the rate limit of a target's server admits the call.
func (board *Board) chooseCheapest(targets []*Target, costs []time.Duration, criteria *Criteria) (*Target, Verdict) {
	var rateLimited *Target
	for {
		index := board.drawCheapest(targets, costs, criteria)
		switch {
		case index < 0 && rateLimited != nil:
			return rateLimited, RateLimited
		case index < 0:
			return nil, Full
		case !board.takeColdPermit(targets[index]):
		case targets[index].record.Gate.TryAcquire(criteria.Urgency):
			if rateLimited != nil {
				rateLimited.record.Gate.RecordDemand()
			}
			return targets[index], Chosen
		case rateLimited == nil:
			rateLimited = targets[index]
		}
		costs[index] = notSelectable
	}
}

const (
	// activePasses is the number of passes within which a group's last event must have come for the group to count
	// as active, that is, known to be complete.
	activePasses = 2
	// inactivePenalty is added for a group that isn't known to be active. It is longer than the prefill of a long
	// prompt and shorter than the time that a caller waits for a full group.
	inactivePenalty = 400 * time.Millisecond
)

// recentlyActive reports whether the target has running streams and one of them has just had an event.
func (target *Target) recentlyActive(now time.Duration) bool {
	return target.startedStreams.Load() > 0 && now-time.Duration(target.lastEventAt.Load()) <= activePasses*target.PassTime
}

// cost returns the expected time to the first event at the target, less the part that is the same at all
// targets.
func (criteria *Criteria) cost(target *Target) time.Duration {
	activeCalls := target.ActiveCalls()
	pendingTokens := target.pendingPromptTokens.Load() + target.peerPendingPromptTokens.Load()
	cost := time.Duration(pendingTokens)*target.TokenPrefillTime + time.Duration(activeCalls)*target.PassTimePerCall
	if queued := activeCalls - target.Slots + 1; queued > 0 {
		cost += time.Duration(queued) * target.SlotReleaseInterval
	}
	// A pass and the call's own prefill take the same time at all targets except slow groups.
	baseTime := target.PassTime + target.PromptPrefillTime
	cost = target.scaleBySlowdown(cost+baseTime) - baseTime
	if target.DataCentre != criteria.DataCentre {
		cost += remotePenalty
	}
	return cost
}

// drawCheapest returns the index of a random target among those that cost little more than the cheapest, or -1
// for none. Rate-limited targets with a permit come first: permits expire, and their servers accept no call
// without one.
func (board *Board) drawCheapest(targets []*Target, costs []time.Duration, criteria *Criteria) int {
	maxCost := notSelectable
	for _, cost := range costs {
		if cost != notSelectable && (maxCost == notSelectable || cost+nearBestMargin < maxCost) {
			maxCost = cost + nearBestMargin
		}
	}
	candidateCount, permitted := 0, -1
	for index, cost := range costs {
		if cost == notSelectable || cost > maxCost {
			continue
		}
		candidateCount++
		if gate := targets[index].record.Gate; gate.Limited() && gate.Open() && (permitted < 0 || cost < costs[permitted]) {
			permitted = index
		}
	}
	if candidateCount == 0 || permitted >= 0 {
		return permitted
	}
	if targets[0].PromptPrefillTime > 0 {
		return board.drawBalanced(targets, costs, criteria.MaxQueued)
	}
	chosen := board.random(candidateCount)
	for index, cost := range costs {
		if cost == notSelectable || cost > maxCost {
			continue
		}
		if chosen == 0 {
			return index
		}
		chosen--
	}
	return -1
}

// Occupancy is the use of a pool's slots.
type Occupancy struct {
	Targets     int
	Slots       int
	ActiveCalls int
	// RateLimit is the total rate limit of the rate-limited servers, in requests per second.
	RateLimit float64
}

// effectiveSlots returns the number of slots that count as usable. A rate-limited server has no slots beyond
// those in use.
func (target *Target) effectiveSlots() int {
	if target.record.Gate.Limited() {
		return min(target.Slots, target.ActiveCalls())
	}
	return target.Slots
}

// Occupancy returns the use of a pool's slots.
func (board *Board) Occupancy(name string) Occupancy {
	pool, ok := board.pool(name)
	if !ok {
		return Occupancy{}
	}
	now := board.now()
	occupancy := Occupancy{}
	for _, target := range pool.targets {
		if target.unavailable(now) {
			continue
		}
		occupancy.Targets++
		occupancy.Slots += target.effectiveSlots()
		occupancy.RateLimit += target.record.Gate.Rate()
		occupancy.ActiveCalls += target.ActiveCalls()
	}
	return occupancy
}

const (
	// silentPasses is the number of passes without an event after which a group with running streams is suspected.
	// minGroupSilence is the minimum time for that, because prefilling a long prompt between two passes takes so
	// long.
	silentPasses    = 4
	minGroupSilence = 220 * time.Millisecond
	// avoidUnansweredAfter is how long calls may wait for their first events, at a group where no stream of this
	// node runs, before the group is avoided.
	avoidUnansweredAfter = 900 * time.Millisecond
	// suspectUnansweredAfter is how long such calls wait before they are suspected. An overloaded group is slow, not
	// lost. A second run uses one of the call's attempts and starts waiting again elsewhere. Callers give up after two
	// seconds.
	suspectUnansweredAfter = 1600 * time.Millisecond
	// suspectDelay is how much longer streams are not suspected at a stalled group, so that its members can be checked
	// for a loss.
	suspectDelay = 200 * time.Millisecond
	// avoidStalledFor is how long a stalled group gets no new calls if it isn't found to have lost a member.
	avoidStalledFor = 500 * time.Millisecond
)

// StalledGroup is a group whose streams have stalled.
type StalledGroup struct {
	Head     string
	Group    string
	Duration time.Duration
	Calls    int
	// PathUnhealthy reports that the path to the group is suspected or lost.
	PathUnhealthy bool
}

// NoGroupCalls reports whether this node has no calls at any group.
func (board *Board) NoGroupCalls() bool {
	for _, target := range board.snapshot.Load().targets {
		if target.Group != "" && target.ownCalls.Load() > 0 {
			return false
		}
	}
	return true
}

// WatchGroups returns the groups that have stalled. It keeps new calls away from them, and suspects their calls once
// they have been silent for longer, or at once if the group is known to have lost a member.
func (board *Board) WatchGroups() []StalledGroup {
	now := board.now()
	stalled := []StalledGroup{}
	for _, target := range board.snapshot.Load().targets {
		duration, avoid, suspect := target.silence(now)
		if duration < avoid {
			continue
		}
		target.avoidSilent(now)
		group := StalledGroup{Head: target.ID, Group: target.Group, Duration: duration, Calls: int(target.ownCalls.Load()), PathUnhealthy: !target.PathHealthy()}
		switch {
		case target.MemberLost():
			target.giveUpUnanswered(GroupLost)
			target.suspectCalls(GroupLost)
		case duration >= suspect:
			target.suspectCalls(GroupSilent)
		}
		stalled = append(stalled, group)
	}
	return stalled
}

// avoidSilent keeps new calls away from a silent group. An event of a stream shows that the group goes on. The first
// event of an overloaded group, where calls have waited for long, shows no free room.
func (target *Target) avoidSilent(now time.Duration) {
	if target.readableStreams() > 0 {
		target.silentUntil.Store(int64(now + avoidStalledFor))
		return
	}
	target.Avoid(avoidStalledFor)
}

// silence returns how long the calls at a group have been silent, after which silence the group is avoided, and
// after which its calls are suspected.
func (target *Target) silence(now time.Duration) (duration, avoid, suspect time.Duration) {
	if target.Group == "" || target.ownCalls.Load() == 0 {
		return 0, time.Hour, time.Hour
	}
	duration, streaming := target.silentFor(now)
	if streaming {
		avoid = target.silenceThreshold(minGroupSilence)
		return duration, avoid, avoid + suspectDelay
	}
	return duration, avoidUnansweredAfter, suspectUnansweredAfter
}

// silentFor returns how long nothing has arrived for this node's calls at the target, and whether any started
// stream is being read.
func (target *Target) silentFor(now time.Duration) (duration time.Duration, streaming bool) {
	lastEvent := time.Duration(target.lastEventAt.Load())
	if target.readableStreams() > 0 {
		return now - lastEvent, true
	}
	return now - max(target.oldestUnanswered(now), lastEvent), false
}

// silenceThreshold returns how long running streams may be silent before they count as stalled; it is at least
// the given minimum.
func (target *Target) silenceThreshold(minimum time.Duration) time.Duration {
	return max(minimum, silentPasses*target.PassTime, slowGroupSilentPasses*target.slowPassTime())
}

// oldestUnanswered returns when the oldest call without a first event was sent.
func (localState *localState) oldestUnanswered(now time.Duration) time.Duration {
	localState.mu.Lock()
	defer localState.mu.Unlock()
	oldest := now
	for call := range localState.calls {
		if !call.started.Load() {
			oldest = min(oldest, call.sentAt)
		}
	}
	return oldest
}
