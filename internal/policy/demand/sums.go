package demand

import (
	"maps"
	"math"
	"slices"
)

// Add adds to a sum.
func (sums Sums) Add(other Sums) {
	for pool, rates := range other {
		sums[pool] = sums[pool].Plus(rates)
	}
}

// Less returns a sum without a part of it.
func (sums Sums) Less(part Sums) Sums {
	rest := make(Sums, len(sums))
	for pool, rates := range sums {
		if left := rates.Minus(part[pool]).rounded(); left != (Rates{}) {
			rest[pool] = left
		}
	}
	return rest
}

// Pools returns the pools of a sum in order.
func (sums Sums) Pools() []string {
	return slices.Sorted(maps.Keys(sums))
}

const (
	// newsShare and newsLeast are by how much a rate must change to be news: by this part
	// of it, and by so many requests a second. Rates fade all the time, and would have
	// a frame sent in each interval.
	newsShare = 0.1
	newsLeast = 1.0
)

// News says whether a sum differs enough from what was told before to be told on its own.
func (sums Sums) News(told Sums) bool {
	for pool := range sums {
		if _, there := told[pool]; !there {
			return true
		}
	}
	for pool, before := range told {
		now, there := sums[pool]
		if !there || now.news(before) {
			return true
		}
	}
	return false
}

func (rates Rates) news(told Rates) bool {
	for rank := range rates.Asked {
		if differs(rates.Asked[rank], told.Asked[rank]) {
			return true
		}
	}
	return differs(rates.Refused, told.Refused)
}

func differs(now, told float64) bool {
	return math.Abs(now-told) > max(newsLeast, newsShare*max(now, told))
}

// reportsKept is how many reports are remembered: a sum that includes one is back within a
// few exchanges.
const reportsKept = 16

// Reports are the last reports of a node to one other, so that it can take its own part off
// a sum that includes one of them.
type Reports struct {
	kept [reportsKept]struct {
		sequence uint64
		sums     Sums
	}
}

// Add remembers a report of a number, from 1 on.
func (reports *Reports) Add(sequence uint64, sums Sums) {
	at := &reports.kept[sequence%reportsKept]
	at.sequence, at.sums = sequence, sums
}

// At returns the report of a number, and whether it is remembered; 0 stands for none.
func (reports *Reports) At(sequence uint64) (Sums, bool) {
	at := &reports.kept[sequence%reportsKept]
	if sequence == 0 || at.sequence != sequence {
		return nil, sequence == 0
	}
	return at.sums, true
}

// State is the demand of one pool in the state dump, in requests a second.
type State struct {
	Pool string
	// Asked are the streams requested of all nodes by rank, without the last ranks at which there are none;
	// OwnAsked counts this node's of all ranks.
	Asked      []float64
	Refused    float64
	OwnAsked   float64
	OwnRefused float64
	// OthersKnown says that Asked and Refused are of all nodes.
	OthersKnown bool
}

// State returns the demand of each pool, in order.
func (demand *Demand) State() []State {
	own := demand.Own()
	demand.mu.Lock()
	others := demand.others
	demand.mu.Unlock()
	all := Sums{}
	all.Add(own)
	all.Add(others)
	states := make([]State, 0, len(all))
	for _, pool := range all.Pools() {
		state := State{Pool: pool, Refused: shown(all[pool].Refused), OwnRefused: shown(own[pool].Refused), OthersKnown: others != nil}
		for _, asked := range own[pool].Asked {
			state.OwnAsked += asked
		}
		state.OwnAsked = shown(state.OwnAsked)
		for _, asked := range all[pool].Trimmed() {
			state.Asked = append(state.Asked, shown(asked))
		}
		states = append(states, state)
	}
	return states
}

// Trimmed are the rates of streams requested without the last ranks at which there are none.
func (rates Rates) Trimmed() []float64 {
	used := Ranks
	for used > 0 && rates.Asked[used-1] == 0 {
		used--
	}
	return append([]float64{}, rates.Asked[:used]...)
}

func shown(rate float64) float64 {
	return math.Round(100*rate) / 100
}
