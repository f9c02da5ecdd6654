// Package demand measures the demand for each pool, in requests per second: the streams requested, by priority rank,
// and the streams refused because no slot was free.
//
// A node counts its own streams. The sums over other nodes arrive over the tree of nodes. The rates of all nodes are
// these sums plus the node's own rates, which are newer than what the node reported. Rates are exponentially decaying
// averages, so a node that stops sending requests drops out of the sums without a message.
//
// # Usage
//
//	tracker := demand.New(demand.Clock(clock.Boot))
//	tracker.RecordRequest("draft/large", rank)
//	tracker.RecordRefusal("draft/large")
//	report(tracker.Local())
//	tracker.SetRemote(others)
//	rates, known := tracker.Rates("draft/large")
package demand

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
)

const (
	// Ranks is the number of priority ranks; rank 0 is the most urgent.
	Ranks = 12
	// timeConstant is the time constant of the averages.
	timeConstant = 250 * time.Millisecond
	// minRate is the rate below which a pool counts as having no demand. The rate of a single stream decays to it
	// within two seconds.
	minRate = 0.05
	// rateStep is the unit to which reported rates are rounded. It is a power of two, so that a sum does not depend
	// on the order of its addends.
	rateStep = 1.0 / 64
)

// Rates is the demand for one pool, in requests per second.
type Rates struct {
	// Requested is the rate of streams requested, by rank.
	Requested [Ranks]float64
	// Refused is the rate of streams that were refused because no slot was free.
	Refused float64
}

// PoolRates holds rates by pool.
type PoolRates map[string]Rates

// Plus returns the sum of the rates and other.
func (rates Rates) Plus(other Rates) Rates {
	for rank := range rates.Requested {
		rates.Requested[rank] += other.Requested[rank]
	}
	rates.Refused += other.Refused
	return rates
}

// Minus returns the rates minus other, with no rate below zero.
func (rates Rates) Minus(other Rates) Rates {
	for rank := range rates.Requested {
		rates.Requested[rank] = max(0, rates.Requested[rank]-other.Requested[rank])
	}
	rates.Refused = max(0, rates.Refused-other.Refused)
	return rates
}

// Times returns the rates multiplied by a factor.
func (rates Rates) Times(factor float64) Rates {
	for rank := range rates.Requested {
		rates.Requested[rank] *= factor
	}
	rates.Refused *= factor
	return rates
}

// rounded returns the rates rounded to rateStep. Rates below minRate become zero.
func (rates Rates) rounded() Rates {
	for rank, requested := range rates.Requested {
		rates.Requested[rank] = roundRate(requested)
	}
	rates.Refused = roundRate(rates.Refused)
	return rates
}

func roundRate(rate float64) float64 {
	if rate < minRate {
		return 0
	}
	return math.Round(rate/rateStep) * rateStep
}

// EncodeRate encodes a rounded rate in hundredths, without loss.
func EncodeRate(rate float64) uint32 {
	return uint32(min(math.MaxUint32, math.Round(100*max(0, rate))))
}

// DecodeRate decodes a rate that was encoded by EncodeRate.
func DecodeRate(encoded uint32) float64 {
	return math.Round(float64(encoded)/100/rateStep) * rateStep
}

// average holds the average rates of one pool at a point in time.
type average struct {
	rates Rates
	at    time.Duration
}

// decayTo advances the average to the given time.
func (average *average) decayTo(now time.Duration) {
	if now > average.at {
		average.rates = average.rates.Times(math.Exp(-float64(now-average.at) / float64(timeConstant)))
		average.at = now
	}
}

// Counts are monotonic counters.
type Counts struct {
	// Requested and Refused count streams of this node. RemoteUpdates counts the sums of other nodes that were
	// received.
	Requested, Refused, RemoteUpdates atomic.Uint64
}

// Demand tracks the demand for each pool.
type Demand struct {
	Counts Counts

	now clock.Now

	mu    sync.Mutex
	local map[string]*average
	// remote is the demand seen by all other nodes, or nil while it is unknown.
	remote PoolRates
}

// Option configures a Demand.
type Option func(*Demand)

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(demand *Demand) { demand.now = now }
}

// New returns a Demand without any recorded streams.
func New(options ...Option) *Demand {
	demand := &Demand{now: clock.Boot, local: map[string]*average{}}
	for _, option := range options {
		option(demand)
	}
	return demand
}

// perRequest is what one stream adds to an average.
const perRequest = float64(time.Second) / float64(timeConstant)

// RecordRequest counts a stream that was requested from a pool. It is called once for each request.
func (demand *Demand) RecordRequest(pool string, rank int) {
	demand.Counts.Requested.Add(1)
	demand.mu.Lock()
	defer demand.mu.Unlock()
	demand.decayedLocked(pool).rates.Requested[min(max(0, rank), Ranks-1)] += perRequest
}

// RecordRefusal counts a stream that was refused because its pool had no free slot.
func (demand *Demand) RecordRefusal(pool string) {
	demand.Counts.Refused.Add(1)
	demand.mu.Lock()
	defer demand.mu.Unlock()
	demand.decayedLocked(pool).rates.Refused += perRequest
}

func (demand *Demand) decayedLocked(pool string) *average {
	now := demand.now()
	entry := demand.local[pool]
	if entry == nil {
		entry = &average{at: now}
		demand.local[pool] = entry
	}
	entry.decayTo(now)
	return entry
}

// Local returns the demand seen by this node, without rates below minRate. It forgets the pools that have no demand
// left.
func (demand *Demand) Local() PoolRates {
	demand.mu.Lock()
	defer demand.mu.Unlock()
	now := demand.now()
	poolRates := PoolRates{}
	for pool, entry := range demand.local {
		entry.decayTo(now)
		if rates := entry.rates.rounded(); rates != (Rates{}) {
			poolRates[pool] = rates
			continue
		}
		delete(demand.local, pool)
	}
	return poolRates
}

// SetRemote sets the demand seen by all other nodes together, which replaces the previous value; nil means unknown.
// The caller must not modify remote afterwards.
func (demand *Demand) SetRemote(remote PoolRates) {
	if remote != nil {
		demand.Counts.RemoteUpdates.Add(1)
	}
	demand.mu.Lock()
	defer demand.mu.Unlock()
	demand.remote = remote
}

// Rates returns the demand for a pool seen by all nodes. While the demand seen by other nodes is unknown, it returns
// that of this node only.
func (demand *Demand) Rates(pool string) (rates Rates, known bool) {
	demand.mu.Lock()
	defer demand.mu.Unlock()
	if entry := demand.local[pool]; entry != nil {
		entry.decayTo(demand.now())
		rates = entry.rates
	}
	return rates.Plus(demand.remote[pool]), demand.remote != nil
}
