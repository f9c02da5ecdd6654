package gateway

import (
	"sync"
	"time"

	"hazelslip/internal/fleet/overlay"
)

// newerPatience is how long a node waits for others to bring it a newer
// configuration that it has heard of before it asks the store: a few hundred KB over
// 20 Mbit/s, and one more try.
const newerPatience = 700 * time.Millisecond

// fetchSlow is from which time on a fetch is told in the log, and another node is asked.
const fetchSlow = 300 * time.Millisecond

// newerVersion is a version that another node has and this one doesn't.
type newerVersion struct {
	version int64
	since   time.Duration
}

// fetches are the nodes that a configuration is being fetched from, and since when.
type fetches struct {
	mu    sync.Mutex
	since map[string]time.Duration
}

// fetchesMost is how many nodes are asked at once.
const fetchesMost = 2

// begin says whether a node is to be asked, and notes that it is: the first that tells of a
// version, and another where that one takes long, since it may stand still.
func (fetches *fetches) begin(address string, now time.Duration) bool {
	fetches.mu.Lock()
	defer fetches.mu.Unlock()
	if _, asked := fetches.since[address]; asked || len(fetches.since) >= fetchesMost {
		return false
	}
	for _, since := range fetches.since {
		if now-since < fetchSlow {
			return false
		}
	}
	if fetches.since == nil {
		fetches.since = map[string]time.Duration{}
	}
	fetches.since[address] = now
	return true
}

func (fetches *fetches) end(address string) {
	fetches.mu.Lock()
	defer fetches.mu.Unlock()
	delete(fetches.since, address)
}

// heardVersion fetches the configuration from a node that has a newer one, on a
// connection of its own. Within a link it would hold up everything else on a
// slow one.
func (peers *peers) heardVersion(link *overlay.Link, version int64) {
	peers.heardVersionAt(link.Remote.Address, version)
}

// heardVersionAt is the same for a node that there may be no link with, and whose address may not be known.
func (peers *peers) heardVersionAt(address string, version int64) {
	if address == "" || version <= peers.node.configuration.Load().Configuration.Version {
		return
	}
	if held := peers.newer.Load(); held == nil || held.version < version {
		peers.newer.Store(&newerVersion{version: version, since: peers.node.now()})
	}
	if !peers.fetching.begin(address, peers.node.now()) {
		return
	}
	peers.overlay.Go(func() {
		defer peers.fetching.end(address)
		peers.fetch(address, version)
	})
}

func (peers *peers) fetch(address string, version int64) {
	began := peers.node.now()
	body, err := peers.overlay.FetchConfiguration(address)
	elapsed := peers.node.now() - began
	if err != nil {
		peers.node.logger.Warn("gateway: a configuration could not be fetched.", "Peer", address,
			"ConfigurationVersion", version, "Milliseconds", elapsed.Milliseconds(), "Error", err.Error())
		return
	}
	if elapsed > fetchSlow {
		peers.node.logger.Warn("gateway: a configuration took long to fetch.", "Peer", address,
			"ConfigurationVersion", version, "Milliseconds", elapsed.Milliseconds())
	}
	peers.node.follower.OfferConfiguration(body, address)
}

// missesVersion says whether this node has known for a while that there is a newer
// configuration than its own.
func (peers *peers) missesVersion() bool {
	held := peers.newer.Load()
	return held != nil && held.version > peers.node.configuration.Load().Configuration.Version && peers.node.now()-held.since > newerPatience
}
