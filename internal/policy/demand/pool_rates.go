package demand

import (
	"maps"
	"math"
	"slices"
)

// Add adds the rates of other.
func (poolRates PoolRates) Add(other PoolRates) {
	for pool, rates := range other {
		poolRates[pool] = poolRates[pool].Plus(rates)
	}
}

// Subtract returns the rates minus those of other, without pools that have no demand left.
func (poolRates PoolRates) Subtract(other PoolRates) PoolRates {
	remainders := make(PoolRates, len(poolRates))
	for pool, rates := range poolRates {
		if remainder := rates.Minus(other[pool]).rounded(); remainder != (Rates{}) {
			remainders[pool] = remainder
		}
	}
	return remainders
}

// Pools returns the names of the pools in sorted order.
func (poolRates PoolRates) Pools() []string {
	return slices.Sorted(maps.Keys(poolRates))
}

const (
	// minRelativeChange and minAbsoluteChange are by how much a rate must change to be reported: the larger of this
	// fraction of the rate and this many requests per second. Without them every interval would send a frame, since
	// rates decay all the time.
	minRelativeChange = 0.1
	minAbsoluteChange = 1.0
)

// DiffersFrom reports whether the rates differ enough from what was last reported to be reported now.
func (poolRates PoolRates) DiffersFrom(reported PoolRates) bool {
	for pool := range poolRates {
		if _, known := reported[pool]; !known {
			return true
		}
	}
	for pool, previous := range reported {
		current, known := poolRates[pool]
		if !known || current.differsFrom(previous) {
			return true
		}
	}
	return false
}

func (rates Rates) differsFrom(reported Rates) bool {
	for rank := range rates.Requested {
		if rateChanged(rates.Requested[rank], reported.Requested[rank]) {
			return true
		}
	}
	return rateChanged(rates.Refused, reported.Refused)
}

func rateChanged(current, reported float64) bool {
	return math.Abs(current-reported) > max(minAbsoluteChange, minRelativeChange*max(current, reported))
}

// maxReports is how many reports are kept. A sum that includes a report comes back within a few exchanges.
const maxReports = 16

// Reports keeps the last reports of this node to one other node, so that this node can subtract its own part from a
// sum that includes one of them.
type Reports struct {
	slots [maxReports]struct {
		sequence  uint64
		poolRates PoolRates
	}
}

// Add stores the report with the given sequence number, which starts at 1.
func (reports *Reports) Add(sequence uint64, poolRates PoolRates) {
	slot := &reports.slots[sequence%maxReports]
	slot.sequence, slot.poolRates = sequence, poolRates
}

// Get returns the report with the given sequence number, and whether it is still kept. Sequence number 0 stands for
// no report, and is always found.
func (reports *Reports) Get(sequence uint64) (PoolRates, bool) {
	slot := &reports.slots[sequence%maxReports]
	if sequence == 0 || slot.sequence != sequence {
		return nil, sequence == 0
	}
	return slot.poolRates, true
}

// State is the demand for one pool in the state dump, in requests per second.
type State struct {
	Pool string
	// Asked is the rate of streams requested from all nodes by rank, without trailing zero rates. OwnAsked is the
	// rate of this node over all ranks.
	Asked      []float64
	Refused    float64
	OwnAsked   float64
	OwnRefused float64
	// OthersKnown is set if Asked and Refused cover all nodes.
	OthersKnown bool
}

// State returns the demand for each pool, sorted by pool.
func (demand *Demand) State() []State {
	local := demand.Local()
	demand.mu.Lock()
	remote := demand.remote
	demand.mu.Unlock()
	total := PoolRates{}
	total.Add(local)
	total.Add(remote)
	states := make([]State, 0, len(total))
	for _, pool := range total.Pools() {
		state := State{Pool: pool, Refused: roundForDisplay(total[pool].Refused), OwnRefused: roundForDisplay(local[pool].Refused), OthersKnown: remote != nil}
		for _, requested := range local[pool].Requested {
			state.OwnAsked += requested
		}
		state.OwnAsked = roundForDisplay(state.OwnAsked)
		for _, requested := range total[pool].RequestedByRank() {
			state.Asked = append(state.Asked, roundForDisplay(requested))
		}
		states = append(states, state)
	}
	return states
}

// RequestedByRank returns the rates of requested streams by rank, without trailing zero rates.
func (rates Rates) RequestedByRank() []float64 {
	length := Ranks
	for length > 0 && rates.Requested[length-1] == 0 {
		length--
	}
	return append([]float64{}, rates.Requested[:length]...)
}

func roundForDisplay(rate float64) float64 {
	return math.Round(100*rate) / 100
}
