// Package follower keeps a node's copy of the platform store's data up to date: the configuration in force, the data
// centres that the operator drained, and the registry of servers.
//
// One node, the reader, reads the store on behalf of all nodes, and the others receive the data over the tree. A node
// therefore asks the store itself only if its ReadPolicy says so; readpolicy.go decides that from facts that the node
// supplies. The age of the data is tracked separately for configuration and registry, because a fresh registry says
// nothing about the configuration. Package store repeats calls that the store has forgotten.
//
// The store may be restored from an older backup; era.go handles the consequences.
//
// # Usage
//
//	follower := follower.New(follower.Dependencies{Store: store, Calls: calls, ReadPolicy: readPolicy, ...})
//	follower.Start()
//	follower.OfferConfiguration(body, "10.1.0.2:7000")
//	follower.Stop()
package follower

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/fleet/drain"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/peer/store"
	"hazelslip/internal/policy/storetiming"
	"hazelslip/internal/state/configuration"
	"hazelslip/internal/state/storelog"
)

// Dependencies are the constructor arguments of a Follower.
type Dependencies struct {
	Store         store.Store
	Calls         *store.CallTracker
	Configuration *configuration.Table
	Drains        *drain.Table
	Servers       *roster.List
	// ReadPolicy returns the facts that decide when this node reads the store.
	ReadPolicy func() ReadPolicy
	// FirstStart reports that all nodes of the fleet are starting now.
	FirstStart bool
	// TickInterval returns the interval function of a periodic task in which leaves have no part: one tick on other
	// nodes, a longer interval on leaves.
	TickInterval func(tick time.Duration) func() time.Duration
	// ConfigurationApplied is called with a new configuration version and its encoded form.
	ConfigurationApplied func(version int64, body []byte)
	// DrainsChanged is called with the data centres whose drain began or ended according to the store.
	DrainsChanged func(changes []drain.Record)
	// ServersChanged is called after the list of servers has changed.
	ServersChanged func()
	// ServerSeen is called for each server that was read from the registry or received from another node.
	ServerSeen func(server *roster.Server)
	// StoreRestored is called after the store was restored from an older backup.
	StoreRestored func()
	Now           clock.Now
	Logger        *slog.Logger
}

// Follower keeps a node's copy of the store's data up to date.
type Follower struct {
	*lifecycle.Component
	Dependencies

	startedAt time.Duration
	// roleChangedAt is when the node got its current role. fed is set while an upstream node sends it servers, and
	// lossSeenAt is when it was last found that none does any more.
	roleChangedAt atomic.Int64
	fed           atomic.Bool
	lossSeenAt    atomic.Int64
	recheck       chan struct{}
	// storeHinted reports that another node has said that the store answers it.
	storeHinted atomic.Bool
	// confirmedAt is the latest time at which the store is known to have had no newer configuration than the one in
	// force.
	confirmedAt atomic.Int64

	// askLoggedAt holds, by kind of data, when the log last reported that this node asks the store itself.
	askLoggedAt map[string]time.Duration
	askLogMu    sync.Mutex

	readingList atomic.Bool
	listExpired atomic.Bool
	// listReadAt is when this node last read the registry itself.
	listReadAt atomic.Int64

	// era is the highest era seen from the store. settledEra is the era in which the servers of the previous era were
	// looked up once more. restores counts new eras.
	era        atomic.Int64
	settledEra atomic.Int64
	restores   atomic.Uint64
}

// UnknownAge is the age of data that was never read, and the highest age that is reported.
const UnknownAge = time.Hour

// infiniteAge is longer than the age of any data.
const infiniteAge = 1 << 62

// New returns a follower that has not been started.
func New(dependencies Dependencies) *Follower {
	follower := &Follower{Component: lifecycle.New("follower"), Dependencies: dependencies, recheck: make(chan struct{}, 1), askLoggedAt: map[string]time.Duration{}}
	follower.confirmedAt.Store(-infiniteAge)
	follower.listReadAt.Store(-infiniteAge)
	follower.era.Store(unknownEra)
	return follower
}

// Start starts to follow the store.
func (follower *Follower) Start() {
	follower.startedAt = follower.Now()
	follower.GoNamed("configuration", follower.followConfiguration)
	follower.RepeatNamed("list", follower.TickInterval(ListCheckInterval), follower.refreshList)
}

// Recheck makes the follower check immediately whether it should ask the store.
func (follower *Follower) Recheck() {
	select {
	case follower.recheck <- struct{}{}:
	default:
	}
	follower.refreshList()
}

// RoleChanged is called after the node's role has changed.
func (follower *Follower) RoleChanged() {
	follower.roleChangedAt.Store(int64(follower.Now()))
	follower.Recheck()
}

// awaitsFirstList reports whether a node without a server list is about to receive one: it has just attached to an
// upstream node, or has just lost one and is looking for the next. Otherwise each relay of a fleet that starts, and
// each leaf of a relay that ends, would read the whole registry.
func (follower *Follower) awaitsFirstList(role overlay.Role) bool {
	attached := role == overlay.Relay || role == overlay.Leaf
	return attached && follower.Now()-time.Duration(max(follower.roleChangedAt.Load(), follower.lossSeenAt.Load())) < firstListDelay
}

// HintStoreAvailable is called when another node reports that the store answers it. A node that still considers
// the store unavailable cannot claim a leadership term.
func (follower *Follower) HintStoreAvailable() {
	if !follower.Calls.Unavailable() {
		return
	}
	follower.storeHinted.Store(true)
	follower.Calls.HintRecovery()
	follower.Recheck()
}

// storeLimits returns how long this node waits for the store.
func (follower *Follower) storeLimits() storetiming.Timing {
	if follower.ReadPolicy().Role == overlay.Root {
		return storetiming.TimingFor(storetiming.Representative)
	}
	return storetiming.TimingFor(storetiming.Listener)
}

const (
	// readerLongPoll is how long the reader waits for a change in one call. The end of the call tells the other nodes
	// that there is none.
	readerLongPoll = 500 * time.Millisecond
	// suppliedRecheckInterval is how often a node that receives its data from other nodes checks whether that is
	// still so. startupRecheckInterval is how often a node without a configuration checks.
	suppliedRecheckInterval = 100 * time.Millisecond
	startupRecheckInterval  = 20 * time.Millisecond
	// emptyStoreDelay is the pause between reads while the store holds no configuration.
	emptyStoreDelay = 150 * time.Millisecond
)

// followConfiguration keeps the configuration up to date from the store.
func (follower *Follower) followConfiguration() {
	position := storelog.Unknown
	askedAt := time.Duration(0)
	for {
		if !follower.shouldAsk(askedAt) && !follower.storeHinted.Swap(false) {
			if !follower.waitForRecheck(follower.recheckInterval()) {
				return
			}
			continue
		}
		askedAt = follower.Now()
		follower.logNonReaderAsk("configuration", follower.ConfigurationAge())
		pause := follower.Calls.NewRetryPause(follower.storeLimits())
		next, err := follower.readConfiguration(position)
		switch {
		case errors.Is(err, store.ErrExpired) && position.Known():
			next = storelog.Unknown
		case err != nil:
			if !pause.Wait(follower.Component) {
				return
			}
			continue
		}
		if position = next; position.Offset == 0 && !follower.Sleep(emptyStoreDelay) {
			return
		}
		select {
		case <-follower.Stopping:
			return
		default:
		}
	}
}

// askLogInterval is how often the log reports that a node that is not the reader asks the store.
const askLogInterval = 5 * time.Second

// logNonReaderAsk logs that this node asks the store although another node is the reader.
func (follower *Follower) logNonReaderAsk(data string, age time.Duration) {
	policy := follower.ReadPolicy()
	if policy.IsReader() {
		return
	}
	follower.askLogMu.Lock()
	defer follower.askLogMu.Unlock()
	now := follower.Now()
	if at, logged := follower.askLoggedAt[data]; logged && now-at < askLogInterval {
		return
	}
	follower.askLoggedAt[data] = now
	follower.Logger.Info("gateway: this node asks the store although another node is the reader.", "Matter", data, "Role", policy.Role.String(),
		"AgeMilliseconds", age.Milliseconds(), "MissesVersion", policy.MissesVersion, "RootsAway", policy.RootsUnavailable)
}

// shouldAsk reports whether this node asks the store for the configuration. askedAt is when the node last did so, or
// 0 for never.
func (follower *Follower) shouldAsk(askedAt time.Duration) bool {
	now := follower.Now()
	policy := follower.ReadPolicy()
	if policy.Role == overlay.Starting {
		// Requests may arrive before a restarting node is ready.
		return !follower.FirstStart && !follower.Configuration.Load().HasVersion() && now-follower.startedAt > startupReadDelay
	}
	sinceAsked := time.Duration(0)
	if askedAt > 0 {
		sinceAsked = now - askedAt
	}
	return policy.shouldAsk(follower.ConfigurationAge(), sinceAsked)
}

// recheckInterval returns the pause before the next check. It is short while the node has no configuration and
// refuses its callers.
func (follower *Follower) recheckInterval() time.Duration {
	if follower.Configuration.Load().HasVersion() {
		return suppliedRecheckInterval
	}
	return startupRecheckInterval
}

// waitForRecheck waits until the next check of whether to ask the store. It returns false if the follower is
// stopping.
func (follower *Follower) waitForRecheck(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-follower.Stopping:
		return false
	case <-follower.recheck:
	case <-timer.C:
	}
	return true
}

// readConfiguration reads the next configuration version after a position from the store, and returns the position
// after that version.
func (follower *Follower) readConfiguration(position storelog.Position) (storelog.Position, error) {
	wait := readerLongPoll
	if !position.Known() || follower.Calls.Unavailable() {
		wait = 0
	}
	version, err := store.CallHedged(follower.Calls, follower.Component, store.HedgedRequest[store.Version]{
		Name: "configuration", Wait: wait, Timing: follower.storeLimits(), MayHedge: func() bool { return follower.shouldAsk(0) },
		Call: func(ctx context.Context, wait time.Duration) (store.Version, error) {
			began := follower.Now()
			version, err := follower.Store.Configuration(ctx, position, wait)
			version.CurrentAt = min(follower.Now(), began+wait)
			if err == nil {
				err = follower.ObserveEra(version.Next.Era)
			}
			return version, err
		},
	})
	if err != nil {
		return position, err
	}
	eraErr := checkSameEra(position, version.Next)
	update := drain.Update{Records: version.Drains, End: version.Next, Complete: version.Complete, ReadAt: version.CurrentAt}
	if eraErr != nil {
		// The records before the position may differ from those that were read, so the update covers nothing.
		update.End = storelog.Unknown
	}
	if changes := follower.Drains.Apply(update); len(changes) > 0 {
		follower.DrainsChanged(changes)
	}
	if len(version.Body) > 0 {
		follower.OfferConfiguration(version.Body, "store")
	}
	follower.markConfirmed(version.CurrentAt)
	return version.Next, eraErr
}

// OfferConfiguration decodes a configuration version and applies it if it is newer than the one in force.
func (follower *Follower) OfferConfiguration(body []byte, source string) {
	decoded, err := follower.Store.DecodeConfiguration(body)
	if err != nil {
		follower.Logger.Error("gateway: cannot decode a configuration.", "Source", source, "Error", err.Error())
		return
	}
	if !follower.Configuration.StoreIfNewer(decoded) {
		return
	}
	follower.Logger.Info("gateway: a configuration is in force.", "ConfigurationVersion", decoded.Version, "Source", source,
		"Routes", len(decoded.Routes), "Services", len(decoded.Services), "Workspaces", len(decoded.Workspaces))
	follower.ConfigurationApplied(decoded.Version, body)
}

// ConfigurationAge returns how long ago the store is known to have had no newer configuration than the one in force,
// at most UnknownAge.
func (follower *Follower) ConfigurationAge() time.Duration {
	at := follower.confirmedAt.Load()
	if at == -infiniteAge {
		return UnknownAge
	}
	return min(UnknownAge, follower.Now()-time.Duration(at))
}

// markConfirmed records that the store had no newer configuration at a time.
func (follower *Follower) markConfirmed(at time.Duration) {
	for {
		current := follower.confirmedAt.Load()
		if int64(at) <= current || follower.confirmedAt.CompareAndSwap(current, int64(at)) {
			return
		}
	}
}

// ConfirmVersion applies another node's knowledge of how long ago a version was the newest. It has no effect if this
// node has another version in force.
func (follower *Follower) ConfirmVersion(version int64, age time.Duration) {
	if version == follower.Configuration.Load().Configuration.Version {
		follower.markConfirmed(follower.Now() - age)
	}
}
