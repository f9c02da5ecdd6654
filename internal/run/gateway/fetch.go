package gateway

import (
	"sync"
	"time"

	"hazelslip/internal/fleet/overlay"
)

// newerVersionWait is how long a node waits for its peers to deliver a newer configuration that it has heard
// of before it asks the store. It covers the transfer of a few hundred KB at 20 Mbit/s and one retry.
const newerVersionWait = 700 * time.Millisecond

// slowFetch is the duration from which a fetch is logged as slow and a second node is asked.
const slowFetch = 300 * time.Millisecond

// seenVersion is a configuration version that another node has and this node lacks.
type seenVersion struct {
	version int64
	since   time.Duration
}

// fetchTracker records which nodes a configuration is being fetched from, and since when.
type fetchTracker struct {
	mu        sync.Mutex
	startedAt map[string]time.Duration
}

// maxFetches is how many nodes are asked at once.
const maxFetches = 2

// begin reports whether to fetch from a node, and records the fetch if so. The first node that announces a
// version is asked. Another one is asked in addition if the first takes longer than slowFetch, since it may
// hang.
func (fetchTracker *fetchTracker) begin(address string, now time.Duration) bool {
	fetchTracker.mu.Lock()
	defer fetchTracker.mu.Unlock()
	if _, asked := fetchTracker.startedAt[address]; asked || len(fetchTracker.startedAt) >= maxFetches {
		return false
	}
	for _, since := range fetchTracker.startedAt {
		if now-since < slowFetch {
			return false
		}
	}
	if fetchTracker.startedAt == nil {
		fetchTracker.startedAt = map[string]time.Duration{}
	}
	fetchTracker.startedAt[address] = now
	return true
}

func (fetchTracker *fetchTracker) end(address string) {
	fetchTracker.mu.Lock()
	defer fetchTracker.mu.Unlock()
	delete(fetchTracker.startedAt, address)
}

// fetchIfNewer fetches the configuration from the node at the other end of a link if its version is newer.
// The fetch uses a connection of its own: over a slow link it would delay all other frames.
func (peers *peers) fetchIfNewer(link *overlay.Link, version int64) {
	peers.fetchIfNewerFrom(link.Remote.Address, version)
}

// fetchIfNewerFrom fetches the configuration from a node, with or without a link to it, if its version is
// newer. It does nothing if the node's address is empty, that is, unknown.
func (peers *peers) fetchIfNewerFrom(address string, version int64) {
	if address == "" || version <= peers.node.configuration.Load().Configuration.Version {
		return
	}
	if newest := peers.newestSeen.Load(); newest == nil || newest.version < version {
		peers.newestSeen.Store(&seenVersion{version: version, since: peers.node.now()})
	}
	if !peers.fetches.begin(address, peers.node.now()) {
		return
	}
	peers.overlay.Go(func() {
		defer peers.fetches.end(address)
		peers.fetch(address, version)
	})
}

func (peers *peers) fetch(address string, version int64) {
	began := peers.node.now()
	body, err := peers.overlay.FetchConfiguration(address)
	elapsed := peers.node.now() - began
	if err != nil {
		peers.node.logger.Warn("gateway: a configuration fetch failed.", "Peer", address,
			"ConfigurationVersion", version, "Milliseconds", elapsed.Milliseconds(), "Error", err.Error())
		return
	}
	if elapsed > slowFetch {
		peers.node.logger.Warn("gateway: a configuration fetch was slow.", "Peer", address,
			"ConfigurationVersion", version, "Milliseconds", elapsed.Milliseconds())
	}
	peers.node.follower.OfferConfiguration(body, address)
}

// newerVersionOverdue reports whether this node has lacked a newer configuration for longer than
// newerVersionWait.
func (peers *peers) newerVersionOverdue() bool {
	newest := peers.newestSeen.Load()
	return newest != nil && newest.version > peers.node.configuration.Load().Configuration.Version && peers.node.now()-newest.since > newerVersionWait
}
