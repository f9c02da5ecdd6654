package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/state/configuration"
	"hazelslip/internal/state/storelog"
)

// Store is the platform's store, as a node uses it. What it returns bears the era that
// the store was in.
type Store struct {
	// Configuration returns the newest version written at or after a position,
	// waiting for one; an empty body says that there was none. From nowhere it
	// returns what is in force.
	Configuration       func(ctx context.Context, from storelog.Position, wait time.Duration) (Version, error)
	DecodeConfiguration func(body []byte) (*configuration.Configuration, error)
	// Servers returns the records of the registry from a position on. Whole
	// says that the records are all entries that there are.
	Servers      func(ctx context.Context, from storelog.Position) (Listing, error)
	DecodeServer func(body []byte) (*roster.Server, error)
	// Claim appends a record that names the holder and returns its place.
	Claim func(ctx context.Context, holder string) (storelog.Position, error)
	// Register makes a node's peer address known, Nodes returns those of all.
	Register func(ctx context.Context, node Introduction) error
	Nodes    func(ctx context.Context) ([]Introduction, error)
	// Suspect writes what is known of requests under which servers ended, Suspects
	// returns all that is kept.
	Suspect  func(ctx context.Context, suspects []StoredSuspect) error
	Suspects func(ctx context.Context) ([]StoredSuspect, error)
}

// Introduction is what a node says of itself in the store.
type Introduction struct {
	Address    string `json:"-"`
	DataCentre string
	// Capacity is its share of a processor, in thousandths of a core.
	Capacity uint32
}

// ErrExpired says that the records at a position are no longer kept; all must
// be read again.
var ErrExpired = errors.New("the store no longer keeps the records at this position")

// Version is one answer about the configuration.
type Version struct {
	Body []byte
	Next storelog.Position
}

// Listing is one answer about the registry, of the store or, where Told is set, of
// another node.
type Listing struct {
	Records []roster.Record
	Next    storelog.Position
	Whole   bool
	Told    bool
}

const (
	// storeTimeout bounds a call to the store. It answers in a few
	// milliseconds; one that is slow answers within a second or two.
	storeTimeout     = 700 * time.Millisecond
	storeTimeoutMost = 3 * time.Second
	// storePause is waited after a failed call.
	storePause     = 150 * time.Millisecond
	storePauseMost = time.Second
	// readerWait is how long the node that reads for all waits for a change in
	// one call. A connection that went silent is given up soon after, well
	// within the time in which a change must be in force.
	readerWait = 800 * time.Millisecond
	// informedCheck is how often a node that others bring a fresh list of servers asks
	// for the configuration all the same, and informedLook how often it looks whether
	// that is still so. Each call to the store has a price, and nodes that wait there are
	// all woken by each change.
	informedCheck = 30 * time.Second
	informedLook  = 200 * time.Millisecond
	startLook     = 20 * time.Millisecond
	// startPatience is how long a node that starts again looks for others that have the
	// configuration before it asks the store.
	startPatience = 250 * time.Millisecond
	// listTick is how often the age of the list is looked at, and listEvery how
	// old it may be at the node that reads it for all.
	listTick  = 100 * time.Millisecond
	listEvery = 400 * time.Millisecond
	// listPatience is how old it may be at the others before they read it
	// themselves, one after the other by listStep.
	listPatience = 1100 * time.Millisecond
	listStep     = 150 * time.Millisecond
	// listStepsMost bounds the steps together. With many data centres the last node
	// would wait until long after servers that left are gone.
	listStepsMost = 800 * time.Millisecond
)

// backoff doubles a pause or a timeout up to a limit.
func backoff(span, most time.Duration) time.Duration {
	return min(2*span, most)
}

// followConfiguration keeps the configuration up to date from the store.
func (node *Node) followConfiguration() {
	position := storelog.Nowhere
	timeout, pause := storeTimeout, storePause
	checked := time.Duration(0)
	for {
		if !node.asksStore(checked) {
			if !node.await(node.lookPause()) {
				return
			}
			continue
		}
		checked = node.now()
		next, err := node.readConfiguration(position, timeout)
		if err != nil {
			if errors.Is(err, ErrExpired) {
				position = storelog.Nowhere
			}
			if !node.Sleep(pause) {
				return
			}
			timeout, pause = backoff(timeout, storeTimeoutMost), backoff(pause, storePauseMost)
			continue
		}
		timeout, pause = storeTimeout, storePause
		if position = next; position.Offset <= 0 && !node.Sleep(storePause) {
			return
		}
		select {
		case <-node.Stopping:
			return
		default:
		}
	}
}

// lookPause is how long it takes until the node looks again: short while it has no
// configuration and refuses its callers.
func (node *Node) lookPause() time.Duration {
	if node.configuration.Load().Known() {
		return informedLook
	}
	return startLook
}

// look makes the node look at once whether it should ask the store.
func (node *Node) look() {
	select {
	case node.looking <- struct{}{}:
	default:
	}
}

// await waits until the node should look again whether to ask the store, and says
// whether it goes on.
func (node *Node) await(span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-node.Stopping:
		return false
	case <-node.looking:
	case <-timer.C:
	}
	return true
}

// asksStore says whether this node asks the store for the configuration: the one
// that reads for all does all the time, the others now and then and when nobody
// brings them what is new. A node that has just started first looks for somebody
// who does.
func (node *Node) asksStore(checked time.Duration) bool {
	role := node.peers.overlay.Role()
	switch {
	case role == overlay.Starting:
		// Requests may come before a node that starts again is ready.
		return !node.settings.FirstStart && !node.configuration.Load().Known() && node.now()-node.startedAt > startPatience
	case node.peers.reads():
		return true
	case role == overlay.Leaf:
		return !node.peers.informed()
	}
	return !node.peers.informed() || (checked > 0 && node.now()-checked >= informedCheck)
}

// readConfiguration asks the store for a version from a position on, and returns
// the position after it.
func (node *Node) readConfiguration(position storelog.Position, timeout time.Duration) (storelog.Position, error) {
	wait := readerWait
	if !position.Known() {
		wait = 0
	}
	ctx, cancel := node.Context(wait + timeout)
	defer cancel()
	version, err := node.platform.Store.Configuration(ctx, position, wait)
	node.storeReads.Add(1)
	if err == nil {
		err = node.heardEra(version.Next.Era)
	}
	if err != nil {
		node.storeFailed("configuration", err)
		return position, err
	}
	node.storeAnswered("configuration")
	if len(version.Body) > 0 {
		node.offer(version.Body, "store")
	}
	return version.Next, sameEra(position, version.Next)
}

// offer puts a version in force if it is newer.
func (node *Node) offer(body []byte, source string) {
	decoded, err := node.platform.Store.DecodeConfiguration(body)
	if err != nil {
		node.logger.Error("gateway: a configuration can't be read.", "Source", source, "Error", err.Error())
		return
	}
	if !node.configuration.Offer(decoded) {
		return
	}
	node.rawVersion.Store(&rawConfiguration{version: decoded.Version, body: body})
	node.logger.Info("gateway: a configuration is in force.", "ConfigurationVersion", decoded.Version, "Source", source,
		"Routes", len(decoded.Routes), "Services", len(decoded.Services), "Workspaces", len(decoded.Workspaces))
	node.changed()
	node.peers.tellVersion()
}

// refreshServers reads the registry when this node's knowledge of it is older
// than its part in reading allows.
func (node *Node) refreshServers() {
	if node.listAge() < node.listLimit() || !node.reading.CompareAndSwap(false, true) {
		return
	}
	node.GoAs("list", func() {
		defer node.reading.Store(false)
		node.readServers()
	})
}

func (node *Node) listAge() time.Duration {
	snapshot := node.servers.Load()
	if !snapshot.Known() {
		return time.Hour
	}
	return node.now() - snapshot.ReadAt
}

// listLimit is how old this node's list may be before it reads the registry itself.
// A leaf is told what it needs, and a node that has just started looks for somebody
// who tells it first.
func (node *Node) listLimit() time.Duration {
	if role := node.peers.overlay.Role(); role == overlay.Starting || node.peers.fed() {
		return never
	}
	rank := node.peers.rank()
	if rank == 0 {
		return listEvery
	}
	return listPatience + min(time.Duration(rank)*listStep, listStepsMost)
}

// never is longer than any list is old.
const never = 1 << 62

func (node *Node) readServers() {
	asked := node.now()
	settling := node.settles(asked)
	from := node.listFrom(settling)
	ctx, cancel := node.Context(node.listTimeout())
	defer cancel()
	node.storeReads.Add(1)
	listing, err := node.platform.Store.Servers(ctx, from)
	if err == nil {
		err = node.heardEra(listing.Next.Era)
	}
	if err == nil {
		err = sameEra(from, listing.Next)
	}
	if err != nil {
		node.listExpired.Store(errors.Is(err, ErrExpired))
		node.storeFailed("servers", err)
		node.Sleep(storePause)
		return
	}
	node.storeAnswered("servers")
	node.listExpired.Store(false)
	node.readAt.Store(int64(asked))
	node.takeServers(listing, asked)
	if settling {
		node.noteSettled(listing.Next.Era)
	}
}

// listFrom is the position from which the registry is read next: nowhere for all
// entries that there are.
func (node *Node) listFrom(settling bool) storelog.Position {
	snapshot := node.servers.Load()
	if !snapshot.Known() || node.listExpired.Load() || settling {
		return storelog.Nowhere
	}
	return snapshot.End
}

// listTimeout grows while the store is slow.
func (node *Node) listTimeout() time.Duration {
	return min(storeTimeoutMost, storeTimeout*time.Duration(1+node.failuresInRow.Load()))
}

// takeServers takes what the registry or another node said.
func (node *Node) takeServers(listing Listing, readAt time.Duration) {
	for number := range listing.Records {
		record := &listing.Records[number]
		if len(record.Body) > 0 && !node.decodeServer(record) {
			continue
		}
		if record.Server != nil {
			node.keeper.Heard(formation.TermOf(record.Server.Group.Epoch))
		}
	}
	reading := roster.Reading{Records: listing.Records, End: listing.Next, ReadAt: readAt, Whole: listing.Whole, Told: listing.Told}
	if node.servers.Take(reading) || listing.Whole {
		node.changed()
	}
}

// decodeServer reads an entry of the registry. One that says the same as before,
// as most do, which are heartbeats, isn't read again.
func (node *Node) decodeServer(record *roster.Record) bool {
	record.Hash = xxhash.Sum64(record.Body)
	body := record.Body
	record.Body = nil
	if held, same := node.servers.Held(record.ID, record.Hash); same {
		record.Server = held
		return true
	}
	server, err := node.platform.Store.DecodeServer(body)
	if err != nil {
		node.logger.Error("gateway: a server's entry can't be read.", "Server", record.ID, "Error", err.Error())
		return false
	}
	server.ID = record.ID
	record.Server = server
	return true
}

// storeFailed notes that the store did not answer; the first time is logged.
func (node *Node) storeFailed(call string, err error) {
	node.storeFailures.Add(1)
	node.failuresInRow.Add(1)
	if node.storeAway.CompareAndSwap(false, true) {
		node.logger.Warn("gateway: the store doesn't answer.", "Call", call, "Error", err.Error())
	}
}

func (node *Node) storeAnswered(call string) {
	node.failuresInRow.Store(0)
	if node.storeAway.CompareAndSwap(true, false) {
		node.logger.Info("gateway: the store answers again.", "Call", call)
	}
}

// errStoreAway says that the store wasn't asked, because it doesn't answer.
var errStoreAway = errors.New("the store doesn't answer")

// awayAfter is how many calls in a row must fail before the store isn't asked
// for a term any more: waiting for it would leave the fleet without orders.
const awayAfter = 2

// claim gets this node a place in the store's order of terms.
func (node *Node) claim() (storelog.Position, error) {
	if node.failuresInRow.Load() >= awayAfter {
		return storelog.Nowhere, errStoreAway
	}
	ctx, cancel := node.Context(storeTimeout)
	defer cancel()
	place, err := node.platform.Store.Claim(ctx, node.settings.Name)
	if err != nil {
		return storelog.Nowhere, err
	}
	return place, node.heardEra(place.Era)
}
