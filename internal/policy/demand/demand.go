// Package demand counts what is asked of each pool: the streams requested, by rank of
// urgency, and those refused for lack of a slot, as rates in requests a second.
//
// A node counts its own streams. Sums over other nodes come over the tree of nodes, and the
// rates of all nodes are those sums and the node's own rates, which are newer than what it
// reported. Rates are averages that fade exponentially, so a node that stops asking is forgotten
// without a message.
//
// # Usage
//
//	held := demand.New(demand.Clock(clock.Boot))
//	held.Asked("draft/large", rank)
//	held.Refused("draft/large")
//	report(held.Own())
//	held.Take(others)
//	rates, known := held.Rates("draft/large")
package demand

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
)

const (
	// Ranks is how many ranks of urgency are told apart, 0 for the most urgent.
	Ranks = 12
	// averagedOver is the time constant of the averages.
	averagedOver = 250 * time.Millisecond
	// least is the rate below which a pool's demand counts as none. One stream fades to it within two seconds.
	least = 0.05
	// step is what rates that are told are multiples of. As a power of two it keeps sums the same in
	// whatever order they are added up.
	step = 1.0 / 64
)

// Rates is what is asked of a pool, in requests a second.
type Rates struct {
	// Asked are the streams requested, by rank.
	Asked [Ranks]float64
	// Refused are the streams that were refused for lack of a slot.
	Refused float64
}

// Sums are rates by pool.
type Sums map[string]Rates

// Plus returns the sum of two rates.
func (rates Rates) Plus(other Rates) Rates {
	for rank := range rates.Asked {
		rates.Asked[rank] += other.Asked[rank]
	}
	rates.Refused += other.Refused
	return rates
}

// Minus returns the rates without a part of them, none below zero.
func (rates Rates) Minus(part Rates) Rates {
	for rank := range rates.Asked {
		rates.Asked[rank] = max(0, rates.Asked[rank]-part.Asked[rank])
	}
	rates.Refused = max(0, rates.Refused-part.Refused)
	return rates
}

// Times returns the rates multiplied by a factor.
func (rates Rates) Times(factor float64) Rates {
	for rank := range rates.Asked {
		rates.Asked[rank] *= factor
	}
	rates.Refused *= factor
	return rates
}

// rounded rounds the rates, and leaves out those that are too small to tell.
func (rates Rates) rounded() Rates {
	for rank, asked := range rates.Asked {
		rates.Asked[rank] = rounded(asked)
	}
	rates.Refused = rounded(rates.Refused)
	return rates
}

func rounded(rate float64) float64 {
	if rate < least {
		return 0
	}
	return math.Round(rate/step) * step
}

// Hundredths encodes a rate that was told, without loss.
func Hundredths(rate float64) uint32 {
	return uint32(min(math.MaxUint32, math.Round(100*max(0, rate))))
}

// FromHundredths decodes a rate.
func FromHundredths(told uint32) float64 {
	return math.Round(float64(told)/100/step) * step
}

// counted is the average of one pool as of a time.
type counted struct {
	rates Rates
	at    time.Duration
}

// fade brings the average to a time.
func (counted *counted) fade(now time.Duration) {
	if now > counted.at {
		counted.rates = counted.rates.Times(math.Exp(-float64(now-counted.at) / float64(averagedOver)))
		counted.at = now
	}
}

// Counts are counters that only grow.
type Counts struct {
	// Asked and Refused are this node's streams, Taken the sums of other nodes that were taken.
	Asked, Refused, Taken atomic.Uint64
}

// Demand holds what is asked of each pool.
type Demand struct {
	Counts Counts

	now clock.Now

	mu  sync.Mutex
	own map[string]*counted
	// others is what other nodes are asked for, nil while that is not known.
	others Sums
}

// Option changes how a Demand is built.
type Option func(*Demand)

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(demand *Demand) { demand.now = now }
}

// New returns a Demand that has counted nothing.
func New(options ...Option) *Demand {
	demand := &Demand{now: clock.Boot, own: map[string]*counted{}}
	for _, option := range options {
		option(demand)
	}
	return demand
}

// each is what one stream adds to an average.
const each = float64(time.Second) / float64(averagedOver)

// Asked counts a stream that was requested of a pool. It is called once for each request.
func (demand *Demand) Asked(pool string, rank int) {
	demand.Counts.Asked.Add(1)
	demand.mu.Lock()
	defer demand.mu.Unlock()
	demand.fadedLocked(pool).rates.Asked[min(max(0, rank), Ranks-1)] += each
}

// Refused counts a stream that was refused since its pool had no slot for it.
func (demand *Demand) Refused(pool string) {
	demand.Counts.Refused.Add(1)
	demand.mu.Lock()
	defer demand.mu.Unlock()
	demand.fadedLocked(pool).rates.Refused += each
}

func (demand *Demand) fadedLocked(pool string) *counted {
	now := demand.now()
	held := demand.own[pool]
	if held == nil {
		held = &counted{at: now}
		demand.own[pool] = held
	}
	held.fade(now)
	return held
}

// Own returns what this node is asked for, without rates that are too small to tell, and
// forgets pools that nothing is asked of any more.
func (demand *Demand) Own() Sums {
	demand.mu.Lock()
	defer demand.mu.Unlock()
	now := demand.now()
	sums := Sums{}
	for pool, held := range demand.own {
		held.fade(now)
		if rates := held.rates.rounded(); rates != (Rates{}) {
			sums[pool] = rates
			continue
		}
		delete(demand.own, pool)
	}
	return sums
}

// Take takes what all other nodes together are asked for, which replaces what was taken
// before; nil means that it is not known. The sums must not be changed afterwards.
func (demand *Demand) Take(others Sums) {
	if others != nil {
		demand.Counts.Taken.Add(1)
	}
	demand.mu.Lock()
	defer demand.mu.Unlock()
	demand.others = others
}

// Rates returns what all nodes together are asked for of a pool. While that of other nodes
// is not known, it is this node's own.
func (demand *Demand) Rates(pool string) (rates Rates, known bool) {
	demand.mu.Lock()
	defer demand.mu.Unlock()
	if held := demand.own[pool]; held != nil {
		held.fade(demand.now())
		rates = held.rates
	}
	return rates.Plus(demand.others[pool]), demand.others != nil
}
