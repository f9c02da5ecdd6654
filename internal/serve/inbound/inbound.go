// Package inbound bounds what HTTP clients make a node hold, and for how long.
//
// net/http reads the head of a request before any handler runs, and parses it into several times its size. It keeps a
// connection that sends nothing as long as its timeouts say, however many there are. Connections of this package count
// what is read for a head, and refuse a head that is over the limit or doesn't fit into the node's memory budget. Each
// address has a maximum number of connections; when it is reached, the connection that has waited longest for a request
// gives way. A connection with a request in progress is never closed.
//
// The limits are read when they are applied, so a change concerns open connections, too.
//
// | a client that | gets |
// |---|---|
// | sends a head over the limit | 431 |
// | sends a head that doesn't fit into memory | 503 with Retry-After |
// | takes too long for a head | 408 |
// | sends a length beside a chunked body | 400 |
// | is idle for too long, or gives way to another one | its connection closed |
//
// After each the connection is closed. No handler has seen the request, so it has not run and never will.
//
// # Usage
//
//	guard := inbound.New(inbound.Budget(budget))
//	address := guard.NewAddress("Callers", inbound.MaxConns(1000), inbound.CurrentLimits(limits.Load))
//	server := address.Server(handler)
//	go server.Serve(address.Listen(listener))
//	guard.Sweep() // every SweepInterval
package inbound

import (
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/policy/memory"
)

// Limits used while the operator's are not known, and on addresses that are not for callers.
const (
	DefaultMaxHeaderBytes = 64 << 10
	DefaultHeaderTimeout  = 10 * time.Second
	DefaultIdleTimeout    = 5 * time.Minute
)

// SweepInterval is the interval at which Sweep must be called. Timeouts are counted in it, so that a process that did
// not run for a while doesn't close the connections whose requests wait to be read.
const SweepInterval = time.Second

// Limits bounds what a client may send. 0 stands for the default.
type Limits struct {
	// MaxHeaderBytes bounds the head of a request. Up to readAheadBytes more are accepted, as by net/http.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a head to its last one.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time without a request.
	IdleTimeout time.Duration
}

// OrDefaults returns the limits with the defaults in place of values that are not set.
func (limits Limits) OrDefaults() Limits {
	if limits.MaxHeaderBytes <= 0 {
		limits.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = DefaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = DefaultIdleTimeout
	}
	return limits
}

// Guard bounds the connections of a node's HTTP clients, at all of its addresses.
type Guard struct {
	budget *memory.Budget
	// sweeps counts the calls of Sweep. It begins with 1, so that 0 stands for no sweep.
	sweeps atomic.Int64
	report func(episode Episode)

	mu        sync.Mutex
	addresses []*Address
}

// Option configures a Guard.
type Option func(*Guard)

// Budget sets the budget from which heads are reserved.
func Budget(budget *memory.Budget) Option {
	return func(guard *Guard) { guard.budget = budget }
}

// OnEpisode sets the function that is called when a limit begins to refuse clients and when it has ended. It must not
// block.
func OnEpisode(report func(episode Episode)) Option {
	return func(guard *Guard) { guard.report = report }
}

// New returns a Guard without addresses.
func New(options ...Option) *Guard {
	guard := &Guard{budget: memory.New(0), report: func(Episode) {}}
	guard.sweeps.Store(1)
	for _, option := range options {
		option(guard)
	}
	return guard
}

// Sweep applies the timeouts and reports the limits that began or ceased to refuse clients.
func (guard *Guard) Sweep() {
	now := guard.sweeps.Add(1)
	guard.mu.Lock()
	addresses := guard.addresses
	guard.mu.Unlock()
	for _, address := range addresses {
		address.expire(now)
		address.reportEpisodes(now)
	}
}

// CloseWaiting closes all connections without a request in progress. A server that shuts down waits for those of which a
// part of a head was read.
func (guard *Guard) CloseWaiting() {
	guard.mu.Lock()
	addresses := guard.addresses
	guard.mu.Unlock()
	for _, address := range addresses {
		address.closeWaiting()
	}
}

// Counters returns the counters of each address.
func (guard *Guard) Counters() map[string]map[string]uint64 {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	counters := map[string]map[string]uint64{}
	for _, address := range guard.addresses {
		counts := &address.Counts
		counters[address.Name] = map[string]uint64{
			"HeadsTooLarge": counts.HeadsTooLarge.Load(), "HeadsOutOfMemory": counts.HeadsOutOfMemory.Load(), "HeadsTooSlow": counts.HeadsTooSlow.Load(),
			"RequestsAmbiguous": counts.RequestsAmbiguous.Load(), "IdleClosed": counts.IdleClosed.Load(), "ConnectionsDisplaced": counts.ConnsDisplaced.Load(), "ConnectionsRefused": counts.ConnsRefused.Load(),
		}
	}
	return counters
}
