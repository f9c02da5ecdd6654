package dispatch

import (
	"slices"
	"time"
)

// Wish is what a choice depends on.
type Wish struct {
	// DataCentre is where the caller's node is.
	DataCentre string
	// Exclude are servers that failed this request.
	Exclude []string
	// Beyond is how many calls more than its slots a target may have. They
	// wait at the server, which takes the most urgent first.
	Beyond int
	// Regions are those to whose servers the call may go, nil for all.
	Regions []string
	// Urgency ranks the call among those that wait for a server that names a limit, 0 the
	// most urgent.
	Urgency int
	// ReachedOnly takes no servers that this node doesn't reach, since another node may.
	ReachedOnly bool
	// anywhere also takes data centres and servers that are not reached.
	anywhere bool
	// broken also takes targets whose breakers are open.
	broken bool
	// Proven asks for a group whose streams this node has just seen going on,
	// if there is one with a place. A stream that was moved has mostly one more
	// attempt: servers are lost several at a time, and an idle group beside the
	// lost one says nothing of itself until a call has waited there for long.
	Proven bool
}

// Verdict says why no target was chosen.
type Verdict int

// The verdicts of Pick.
const (
	Chosen Verdict = iota
	// None means that no target serves this work.
	None
	// Full means that every target has all the calls that it may have.
	Full
	// Limited means that only servers could take the call that name a limit, and that this
	// node has no permit for any. The target returned with it is one to wait for.
	Limited
	// BackedOff means that only servers could take the call that asked for a backoff. The
	// target returned with it is the one that takes calls first.
	BackedOff
	// Unreached means that only servers could take the call that this node doesn't reach.
	Unreached
)

const (
	// near is how much later than at the best target the first event may come
	// at one that is chosen. It is about what a node can't know: a prompt that
	// another node sent since it last spoke.
	near = 15 * time.Millisecond
	// abroad is what a target in another data centre counts: more than near, so that
	// one of the own data centre is chosen among those nearly as good, and less than
	// two prompts of usual length. Calls that went across stand still when it is cut off.
	abroad = 25 * time.Millisecond
	// hinted is what a server counts that asked another node for a backoff: it would most
	// likely refuse the call, which costs a repeat, but nobody knows.
	hinted = 400 * time.Millisecond
	// never marks a target that can't be chosen.
	never = time.Duration(-1)
)

// Pick chooses a target of a pool. The call must be sent: it counts against the limit of
// the target's server.
func (board *Board) Pick(name string, wish Wish) (*Target, Verdict) {
	filled, ok := board.pool(name)
	if !ok || len(filled.targets) == 0 {
		return nil, None
	}
	costs, usable, broken, unreached := wish.costs(filled.targets, board)
	switch {
	case usable == 0 && broken > 0:
		wish.broken = true
		return board.Pick(name, wish)
	case usable == 0 && wish.ReachedOnly && unreached > 0:
		return nil, Unreached
	case usable == 0 && !wish.anywhere:
		wish.anywhere = true
		return board.Pick(name, wish)
	case usable == 0:
		return wish.opensFirst(filled.targets, board.now())
	}
	target, verdict := board.choose(filled.targets, costs, &wish)
	if verdict == Full && wish.ReachedOnly && unreached > 0 {
		verdict = Unreached
	}
	return target, verdict
}

// costs returns what each target costs, never for those that can't be chosen, and how many
// could be if they had a place. Those whose breakers are open are counted apart, and those that are not reached.
func (wish *Wish) costs(targets []*Target, board *Board) (costs []time.Duration, usable, broken, unreached int) {
	now := board.now()
	costs = make([]time.Duration, len(targets))
	trusted := !wish.broken && trustBreakers(targets, now)
	for number, target := range targets {
		costs[number] = never
		if target.unwilling(now) || !wish.allows(target) {
			continue
		}
		if !wish.anywhere && (target.centre.away() || target.way.Blocks(target.ID)) && !board.LivesOn(target) {
			unreached++
			continue
		}
		if target.Avoided(now) || slices.Contains(wish.Exclude, target.ID) {
			continue
		}
		if trusted && target.breaker.open(now) {
			broken++
			continue
		}
		usable++
		if target.Taken() >= target.Slots+wish.Beyond || (target.cold(now) && !target.warmup.WouldAllow(now, board.coldPart(target))) {
			continue
		}
		costs[number] = wish.cost(target) + target.risk(now)
		if target.record.Hinted(now) {
			costs[number] += hinted
		}
		if wish.Proven && !target.proven(now) {
			costs[number] += unproven
		}
	}
	return costs, usable, broken, unreached
}

// allows says whether the call may go to the target's region.
func (wish *Wish) allows(target *Target) bool {
	return wish.Regions == nil || slices.Contains(wish.Regions, target.Region)
}

// opensFirst returns the target whose server's backoff ends first.
func (wish *Wish) opensFirst(targets []*Target, now time.Duration) (*Target, Verdict) {
	var first *Target
	for _, target := range targets {
		if target.Lost() || target.drain.Drained() || !wish.allows(target) || target.record.Draining() || target.record.Takes(now) {
			continue
		}
		if first == nil || target.OpensAt() < first.OpensAt() {
			first = target
		}
	}
	if first == nil {
		return nil, None
	}
	return first, BackedOff
}

// choose draws among the cheapest targets until its server's limit lets a call through.
func (board *Board) choose(targets []*Target, costs []time.Duration, wish *Wish) (*Target, Verdict) {
	var limited *Target
	for {
		number := board.draw(targets, costs, wish)
		switch {
		case number < 0 && limited != nil:
			return limited, Limited
		case number < 0:
			return nil, Full
		case !board.warms(targets[number]):
		case targets[number].record.Gate.Take(wish.Urgency):
			if limited != nil {
				limited.record.Gate.Ask()
			}
			return targets[number], Chosen
		case limited == nil:
			limited = targets[number]
		}
		costs[number] = never
	}
}

const (
	// provenPasses is within how many passes a group's last event must have come
	// for it to be known whole.
	provenPasses = 2
	// unproven is what a group counts of which nothing is known: longer than the
	// reading of a long prompt, shorter than a caller waits for a full group.
	unproven = 400 * time.Millisecond
)

// proven says whether an event of the target's streams came just now.
func (target *Target) proven(now time.Duration) bool {
	return target.running.Load() > 0 && now-time.Duration(target.progress.Load()) <= provenPasses*target.Pass
}

// cost is how long the first event should take, beyond what it takes anywhere.
func (wish *Wish) cost(target *Target) time.Duration {
	taken := target.Taken()
	unread := target.unread.Load() + target.peersUnread.Load()
	cost := time.Duration(unread)*target.PerToken + time.Duration(taken)*target.PerCall
	if beyond := taken - target.Slots + 1; beyond > 0 {
		cost += time.Duration(beyond) * target.Turnover
	}
	// A pass and the call's own prompt take the same anywhere but at a slow group.
	own := target.Pass + target.PerPrompt
	cost = target.slowed(cost+own) - own
	if target.DataCentre != wish.DataCentre {
		cost += abroad
	}
	return cost
}

// draw picks at random among the targets that cost little more than the cheapest, and
// returns its place, -1 for none. One for which there is a permit comes first: permits run
// out, and its server has nothing to spare for a call without one.
func (board *Board) draw(targets []*Target, costs []time.Duration, wish *Wish) int {
	most := never
	for _, cost := range costs {
		if cost != never && (most == never || cost+near < most) {
			most = cost + near
		}
	}
	cheap, permitted := 0, -1
	for number, cost := range costs {
		if cost == never || cost > most {
			continue
		}
		cheap++
		if gate := targets[number].record.Gate; gate.Limited() && gate.Open() && (permitted < 0 || cost < costs[permitted]) {
			permitted = number
		}
	}
	if cheap == 0 || permitted >= 0 {
		return permitted
	}
	if targets[0].PerPrompt > 0 {
		return board.spread(targets, costs, wish.Beyond)
	}
	chosen := board.random(cheap)
	for number, cost := range costs {
		if cost == never || cost > most {
			continue
		}
		if chosen == 0 {
			return number
		}
		chosen--
	}
	return -1
}

// Occupancy is what of a pool is taken.
type Occupancy struct {
	Targets int
	Places  int
	Taken   int
	// Limit is what the servers that name limits take together, in requests a second.
	Limit float64
}

// places is how many calls the target has places for. A server that names a limit has
// none beside those that are taken.
func (target *Target) places() int {
	if target.record.Gate.Limited() {
		return min(target.Slots, target.Taken())
	}
	return target.Slots
}

// Occupancy returns how much of a pool's places is taken.
func (board *Board) Occupancy(name string) Occupancy {
	filled, ok := board.pool(name)
	if !ok {
		return Occupancy{}
	}
	now := board.now()
	occupancy := Occupancy{}
	for _, target := range filled.targets {
		if target.closed(now) {
			continue
		}
		occupancy.Targets++
		occupancy.Places += target.places()
		occupancy.Limit += target.record.Gate.Rate()
		occupancy.Taken += target.Taken()
	}
	return occupancy
}

const (
	// silentPasses is how many passes without an event make a group with
	// running streams suspect, and silentLeast how long it takes at least: the
	// reading of a long prompt between two passes takes so long.
	silentPasses = 4
	silentLeast  = 220 * time.Millisecond
	// unansweredLeast is how long the first events of calls may take together
	// at a group where no stream of this node runs.
	unansweredLeast = 900 * time.Millisecond
	// unansweredMost is how long such calls stay all the same. A crowded group is
	// slow, not lost; a call that is taken from it has used one of its attempts
	// and waits anew elsewhere. Callers give up after two seconds.
	unansweredMost = 1600 * time.Millisecond
	// movePatience is how much longer the streams stay, for the members to be
	// asked whether one is lost.
	movePatience = 200 * time.Millisecond
	// avoidSilent is how long a silent group gets no new calls if it is not
	// found to be lost.
	avoidSilent = 500 * time.Millisecond
)

// Silent is a group whose streams stand still.
type Silent struct {
	Head  string
	Group string
	For   time.Duration
	Calls int
	// Unsure says that the way to the group is doubted or lost.
	Unsure bool
}

// Idle says that this node has no calls at any group.
func (board *Board) Idle() bool {
	for _, target := range board.layout.Load().all {
		if target.Group != "" && target.mine.Load() > 0 {
			return false
		}
	}
	return true
}

// Watch looks for groups that stand still. It keeps new calls off them, moves
// their streams when they have stood still for longer, and returns them.
func (board *Board) Watch() []Silent {
	now := board.now()
	silent := []Silent{}
	for _, target := range board.layout.Load().all {
		span, avoid, move := target.silence(now)
		if span < avoid {
			continue
		}
		target.Avoid(avoidSilent)
		found := Silent{Head: target.ID, Group: target.Group, For: span, Calls: int(target.mine.Load()), Unsure: !target.Reached()}
		if span >= move {
			target.move()
		}
		silent = append(silent, found)
	}
	return silent
}

// silence returns for how long nothing came of the calls at a group, how long
// that may be before it is avoided, and before its calls move.
func (target *Target) silence(now time.Duration) (span, avoid, move time.Duration) {
	if target.Group == "" || target.mine.Load() == 0 {
		return 0, time.Hour, time.Hour
	}
	span, running := target.stillFor(now)
	if running {
		avoid = target.stillAfter(silentLeast)
		return span, avoid, avoid + movePatience
	}
	return span, unansweredLeast, unansweredMost
}

// stillFor returns for how long nothing came of this node's calls at the target, and whether any of them has had
// an event.
func (target *Target) stillFor(now time.Duration) (span time.Duration, running bool) {
	progress := time.Duration(target.progress.Load())
	if target.active() > 0 {
		return now - progress, true
	}
	return now - max(target.oldest(now), progress), false
}

// stillAfter is after how long without an event running streams stand still, the least that is given or longer.
func (target *Target) stillAfter(least time.Duration) time.Duration {
	return max(least, silentPasses*target.Pass, slowPasses*target.learntPass())
}

// oldest returns when the call was sent that has waited longest for its first event.
func (load *load) oldest(now time.Duration) time.Duration {
	load.mu.Lock()
	defer load.mu.Unlock()
	oldest := now
	for use := range load.uses {
		if !use.running.Load() {
			oldest = min(oldest, use.sent)
		}
	}
	return oldest
}
