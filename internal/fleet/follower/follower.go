// Package follower keeps what a node knows of the platform's store up to date: the
// configuration in force, the data centres that the operator drained, and the registry of
// servers.
//
// One node reads the store for all and the others are told over the tree, so a node asks
// the store itself only where its part in reading says so: standing.go decides that from
// facts that the node gives. How old its knowledge is counts by matter: a fresh registry
// says nothing of the configuration. Calls that the store has forgotten are made again,
// see package store.
//
// The store may come back from an older copy; era.go has what follows from that.
//
// # Usage
//
//	follower := follower.New(follower.Parts{Store: store, Calls: calls, Standing: standing, ...})
//	follower.Start()
//	follower.Offer(body, "10.1.0.2:7000")
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
	"hazelslip/internal/policy/patience"
	"hazelslip/internal/state/configuration"
	"hazelslip/internal/state/storelog"
)

// Parts is what a Follower works with.
type Parts struct {
	Store         store.Store
	Calls         *store.CallTracker
	Configuration *configuration.Table
	Drains        *drain.Table
	Servers       *roster.List
	// Standing returns the node's part in reading the store.
	Standing func() Standing
	// FirstStart says that all nodes start now.
	FirstStart bool
	// Pace returns how often what leaves have no part in is done, where others do it
	// after each tick.
	Pace func(tick time.Duration) func() time.Duration
	// InForce is told of a new version and its encoded form.
	InForce func(version int64, body []byte)
	// DrainsChanged is told of the data centres whose drain began or ended by what was read.
	DrainsChanged func(changes []drain.Record)
	// ListChanged is told that the list of servers changed.
	ListChanged func()
	// HeardServer is told of each server that was read or told of.
	HeardServer func(server *roster.Server)
	// CameBack is told that the store came back from an older copy.
	CameBack func()
	Now      clock.Now
	Logger   *slog.Logger
}

// Follower keeps a node's knowledge up to date.
type Follower struct {
	*lifecycle.Part
	Parts

	startedAt time.Duration
	// roleAt is when the node got its role, fedAt when it was last seen that a node above told it of servers.
	roleAt  atomic.Int64
	fedAt   atomic.Int64
	looking chan struct{}
	// hinted says that another node has told that the store answers it.
	hinted atomic.Bool
	// confirmedAt is the latest time at which the store is known to have had no newer
	// configuration than the one in force.
	confirmedAt atomic.Int64

	// askingToldAt is when the log was last told that this node asks the store itself, by matter.
	askingToldAt map[string]time.Duration
	askingMu     sync.Mutex

	reading     atomic.Bool
	listExpired atomic.Bool
	// readAt is when this node last read the registry itself.
	readAt atomic.Int64

	// era is the highest that the store was seen in, settled that in which the servers of
	// the era before were looked for once more. returns counts new eras.
	era     atomic.Int64
	settled atomic.Int64
	returns atomic.Uint64
}

// UnknownAge is the age of what was never read, and the highest that is told.
const UnknownAge = time.Hour

// never is longer than any knowledge is old.
const never = 1 << 62

// New returns a follower that is yet to be started.
func New(parts Parts) *Follower {
	follower := &Follower{Part: lifecycle.New("follower"), Parts: parts, looking: make(chan struct{}, 1), askingToldAt: map[string]time.Duration{}}
	follower.confirmedAt.Store(-never)
	follower.readAt.Store(-never)
	follower.era.Store(unknownEra)
	return follower
}

// Start begins to follow the store.
func (follower *Follower) Start() {
	follower.startedAt = follower.Now()
	follower.GoAs("configuration", follower.followConfiguration)
	follower.PacedAs("list", follower.Pace(ListTick), follower.refreshList)
}

// Look makes the follower look at once whether it should ask the store.
func (follower *Follower) Look() {
	select {
	case follower.looking <- struct{}{}:
	default:
	}
	follower.refreshList()
}

// NewRole is told that the node has another role.
func (follower *Follower) NewRole() {
	follower.roleAt.Store(int64(follower.Now()))
	follower.Look()
}

// awaitsFirst says whether a node that knows no servers is about to be told of them: one that has just
// attached to another is, or has just lost it and looks for the next. If all relays of a fleet read the
// registry at a start, or all leaves of a relay when it ends, that is one whole reading each.
func (follower *Follower) awaitsFirst(role overlay.Role) bool {
	attached := role == overlay.Relay || role == overlay.Leaf
	return attached && follower.Now()-time.Duration(max(follower.roleAt.Load(), follower.fedAt.Load())) < firstPatience
}

// Hint is told by another node that the store answers it. A node that goes on to take it
// for away could claim no term.
func (follower *Follower) Hint() {
	if !follower.Calls.Unavailable() {
		return
	}
	follower.hinted.Store(true)
	follower.Calls.HintRecovery()
	follower.Look()
}

// limits are how long this node waits for the store.
func (follower *Follower) limits() patience.Limits {
	if follower.Standing().Role == overlay.Root {
		return patience.Of(patience.Speaker)
	}
	return patience.Of(patience.Hearer)
}

const (
	// readerWait is how long the node that reads for all waits for a change in
	// one call. Others know by its end that there is none.
	readerWait = 500 * time.Millisecond
	// informedLook is how often a node that others bring what the store has looks whether
	// that is still so, and startLook how often one without a configuration does.
	informedLook = 100 * time.Millisecond
	startLook    = 20 * time.Millisecond
	// emptyPause is waited where the store holds no configuration yet.
	emptyPause = 150 * time.Millisecond
)

// followConfiguration keeps the configuration up to date from the store.
func (follower *Follower) followConfiguration() {
	position := storelog.Nowhere
	checked := time.Duration(0)
	for {
		if !follower.asks(checked) && !follower.hinted.Swap(false) {
			if !follower.await(follower.lookPause()) {
				return
			}
			continue
		}
		checked = follower.Now()
		follower.noteAsking("configuration", follower.ConfigurationAge())
		rest := follower.Calls.NewRetryPause(follower.limits())
		next, err := follower.readConfiguration(position)
		switch {
		case errors.Is(err, store.ErrExpired) && position.Known():
			next = storelog.Nowhere
		case err != nil:
			if !rest.Wait(follower.Part) {
				return
			}
			continue
		}
		if position = next; position.Offset == 0 && !follower.Sleep(emptyPause) {
			return
		}
		select {
		case <-follower.Stopping:
			return
		default:
		}
	}
}

// askingTold is how often the log tells that a node asks the store itself.
const askingTold = 5 * time.Second

// noteAsking tells that a node asks the store though another reads it for all.
func (follower *Follower) noteAsking(matter string, age time.Duration) {
	standing := follower.Standing()
	if standing.Reads() {
		return
	}
	follower.askingMu.Lock()
	defer follower.askingMu.Unlock()
	now := follower.Now()
	if at, told := follower.askingToldAt[matter]; told && now-at < askingTold {
		return
	}
	follower.askingToldAt[matter] = now
	follower.Logger.Info("gateway: this node asks the store, though it is not the reader.", "Matter", matter, "Role", standing.Role.String(),
		"AgeMilliseconds", age.Milliseconds(), "MissesVersion", standing.Misses, "RootsAway", standing.RootsAway)
}

// asks says whether this node asks the store for the configuration. Checked is when it last
// did, 0 for never.
func (follower *Follower) asks(checked time.Duration) bool {
	now := follower.Now()
	standing := follower.Standing()
	if standing.Role == overlay.Starting {
		// Requests may come before a node that starts again is ready.
		return !follower.FirstStart && !follower.Configuration.Load().Known() && now-follower.startedAt > startPatience
	}
	sinceChecked := time.Duration(0)
	if checked > 0 {
		sinceChecked = now - checked
	}
	return standing.asks(follower.ConfigurationAge(), sinceChecked)
}

// lookPause is how long it takes until the node looks again: short while it has no
// configuration and refuses its callers.
func (follower *Follower) lookPause() time.Duration {
	if follower.Configuration.Load().Known() {
		return informedLook
	}
	return startLook
}

// await waits until the node should look again whether to ask the store, and says
// whether it goes on.
func (follower *Follower) await(span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-follower.Stopping:
		return false
	case <-follower.looking:
	case <-timer.C:
	}
	return true
}

// readConfiguration asks the store for a version from a position on, and returns
// the position after it.
func (follower *Follower) readConfiguration(position storelog.Position) (storelog.Position, error) {
	wait := readerWait
	if !position.Known() || follower.Calls.Unavailable() {
		wait = 0
	}
	version, err := store.CallHedged(follower.Calls, follower.Part, store.HedgedRequest[store.Version]{
		Name: "configuration", Wait: wait, Timing: follower.limits(), MayHedge: func() bool { return follower.asks(0) },
		Call: func(ctx context.Context, wait time.Duration) (store.Version, error) {
			began := follower.Now()
			version, err := follower.Store.Configuration(ctx, position, wait)
			version.CurrentAt = min(follower.Now(), began+wait)
			if err == nil {
				err = follower.HeardEra(version.Next.Era)
			}
			return version, err
		},
	})
	if err != nil {
		return position, err
	}
	reading := drain.Reading{Records: version.Drains, End: version.Next, Whole: version.Complete, At: version.CurrentAt}
	if changes := follower.Drains.Read(reading); len(changes) > 0 {
		follower.DrainsChanged(changes)
	}
	if len(version.Body) > 0 {
		follower.Offer(version.Body, "store")
	}
	follower.confirmed(version.CurrentAt)
	return version.Next, sameEra(position, version.Next)
}

// Offer puts a version in force if it is newer.
func (follower *Follower) Offer(body []byte, source string) {
	decoded, err := follower.Store.DecodeConfiguration(body)
	if err != nil {
		follower.Logger.Error("gateway: a configuration can't be read.", "Source", source, "Error", err.Error())
		return
	}
	if !follower.Configuration.Offer(decoded) {
		return
	}
	follower.Logger.Info("gateway: a configuration is in force.", "ConfigurationVersion", decoded.Version, "Source", source,
		"Routes", len(decoded.Routes), "Services", len(decoded.Services), "Workspaces", len(decoded.Workspaces))
	follower.InForce(decoded.Version, body)
}

// ConfigurationAge is how long ago the store is known to have had no newer configuration
// than the one in force, UnknownAge at the most.
func (follower *Follower) ConfigurationAge() time.Duration {
	at := follower.confirmedAt.Load()
	if at == -never {
		return UnknownAge
	}
	return min(UnknownAge, follower.Now()-time.Duration(at))
}

// confirmed notes that the store had no newer configuration at a time.
func (follower *Follower) confirmed(at time.Duration) {
	for {
		held := follower.confirmedAt.Load()
		if int64(at) <= held || follower.confirmedAt.CompareAndSwap(held, int64(at)) {
			return
		}
	}
}

// Confirmed takes how old another node's knowledge of a version is. It says nothing where
// this node has another version in force.
func (follower *Follower) Confirmed(version int64, age time.Duration) {
	if version == follower.Configuration.Load().Configuration.Version {
		follower.confirmed(follower.Now() - age)
	}
}
