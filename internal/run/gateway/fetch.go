package gateway

import (
	"time"

	"hazelslip/internal/peer/sibling"
	"hazelslip/internal/wire/exchange"
)

const (
	// fetchTimeout bounds fetching a configuration from a peer: some hundred KB
	// over a link of 20 Mbit/s that loses packets.
	fetchTimeout = 1500 * time.Millisecond
	// newerPatience is how long a node waits for its peers to bring it a newer
	// configuration that it has heard of before it asks the store.
	newerPatience = 400 * time.Millisecond
)

// newerVersion is a version that a peer has and this node doesn't.
type newerVersion struct {
	version int64
	since   time.Duration
}

// fetch gets the configuration from a peer that has a newer one, on a connection
// of its own. With the standings it would hold them up on a slow link; and where
// it took longer than an exchange may, each exchange began it anew, and the
// node learnt of nothing any more.
func (peers *peers) fetch(standing *exchange.Standing) {
	if !peers.plan.Load().large {
		return
	}
	if standing.ConfigurationVersion <= peers.node.configuration.Load().Configuration.Version {
		return
	}
	if held := peers.newer.Load(); held == nil || held.version < standing.ConfigurationVersion {
		peers.newer.Store(&newerVersion{version: standing.ConfigurationVersion, since: peers.node.now()})
	}
	if !peers.fetching.CompareAndSwap(false, true) {
		return
	}
	peers.Go(func() {
		defer peers.fetching.Store(false)
		link := sibling.NewLink(standing.Address, peers.dial)
		defer link.Close()
		asked := peers.node.standing(false)
		asked.WantConfiguration = true
		reply, err := link.Ask(&exchange.Request{
			Incarnation: peers.node.Incarnation, Kind: &exchange.Request_Standing{Standing: asked},
		}, fetchTimeout)
		if err != nil {
			peers.node.logger.Warn("gateway: a configuration could not be fetched.", "Peer", standing.Address,
				"ConfigurationVersion", standing.ConfigurationVersion, "Error", err.Error())
			return
		}
		if body := reply.GetStanding().GetConfiguration(); len(body) > 0 {
			peers.node.offer(body, standing.Address)
		}
	})
}

// missesVersion says whether this node has known for a while that there is a newer
// configuration than its own.
func (peers *peers) missesVersion() bool {
	held := peers.newer.Load()
	return held != nil && held.version > peers.node.configuration.Load().Configuration.Version && peers.node.now()-held.since > newerPatience
}
