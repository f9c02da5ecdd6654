package dispatch

import "time"

// Wish is what a choice depends on.
type Wish struct {
	// DataCentre is where the caller's node is.
	DataCentre string
	// Exclude are servers that failed this request.
	Exclude []string
	// Beyond is how many calls more than its slots a target may have. They
	// wait at the server, which takes the most urgent first.
	Beyond int
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
)

const (
	// near is how much more of its places a target may have taken than the
	// least taken one and still be chosen: a place or so of twenty. Less makes
	// all nodes rush to one target between two exchanges of their counts.
	near = 0.08
	// abroad is how much more a target in another data centre seems taken:
	// half a place of twenty, so that the next one is preferred among equals.
	abroad = 0.03
)

// Pick chooses a target of a pool.
func (board *Board) Pick(name string, wish Wish) (*Target, Verdict) {
	filled, ok := (*board.pools.Load())[name]
	if !ok || len(filled.targets) == 0 {
		return nil, None
	}
	now := board.now()
	best := -1.0
	usable := 0
	costs := make([]float64, len(filled.targets))
	for number, target := range filled.targets {
		costs[number] = -1
		if target.Avoided(now) || wish.excludes(target.ID) {
			continue
		}
		usable++
		if target.Taken() >= target.Slots+wish.Beyond {
			continue
		}
		costs[number] = wish.cost(target)
		if best < 0 || costs[number] < best {
			best = costs[number]
		}
	}
	switch {
	case usable == 0:
		return nil, None
	case best < 0:
		return nil, Full
	}
	return board.draw(filled.targets, costs, best+near), Chosen
}

func (wish *Wish) excludes(id string) bool {
	for _, excluded := range wish.Exclude {
		if excluded == id {
			return true
		}
	}
	return false
}

func (wish *Wish) cost(target *Target) float64 {
	cost := float64(target.Taken()) / float64(max(1, target.Slots))
	if target.DataCentre != wish.DataCentre {
		cost += abroad
	}
	return cost
}

// draw picks at random among the targets that cost at most so much.
func (board *Board) draw(targets []*Target, costs []float64, most float64) *Target {
	count := 0
	for _, cost := range costs {
		if cost >= 0 && cost <= most {
			count++
		}
	}
	chosen := board.random(count)
	for number, cost := range costs {
		if cost < 0 || cost > most {
			continue
		}
		if chosen == 0 {
			return targets[number]
		}
		chosen--
	}
	return nil
}

// Occupancy is what of a pool is taken.
type Occupancy struct {
	Targets int
	Places  int
	Taken   int
}

// Occupancy returns how much of a pool's places is taken.
func (board *Board) Occupancy(name string) Occupancy {
	filled, ok := (*board.pools.Load())[name]
	if !ok {
		return Occupancy{}
	}
	now := board.now()
	occupancy := Occupancy{}
	for _, target := range filled.targets {
		if target.Avoided(now) {
			continue
		}
		occupancy.Targets++
		occupancy.Places += target.Slots
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
}

// Watch looks for groups that stand still. It keeps new calls off them, moves
// their streams when they have stood still for longer, and returns them.
func (board *Board) Watch() []Silent {
	now := board.now()
	silent := []Silent{}
	for _, filled := range *board.pools.Load() {
		for _, target := range filled.targets {
			span, limit := target.silence(now)
			if span < limit {
				continue
			}
			target.Avoid(avoidSilent)
			found := Silent{Head: target.ID, Group: target.Group, For: span, Calls: int(target.mine.Load())}
			if span >= limit+movePatience {
				target.move()
			}
			silent = append(silent, found)
		}
	}
	return silent
}

// silence returns for how long nothing came of the calls at a group, and how
// long that may be.
func (target *Target) silence(now time.Duration) (time.Duration, time.Duration) {
	if target.Group == "" || target.mine.Load() == 0 {
		return 0, time.Hour
	}
	if target.running.Load() > 0 {
		return now - time.Duration(target.progress.Load()), max(silentLeast, silentPasses*target.Pass)
	}
	return now - max(target.oldest(now), time.Duration(target.progress.Load())), unansweredLeast
}

// oldest returns when the call that has waited longest was sent.
func (load *load) oldest(now time.Duration) time.Duration {
	load.mu.Lock()
	defer load.mu.Unlock()
	oldest := now
	for use := range load.uses {
		oldest = min(oldest, use.sent)
	}
	return oldest
}
