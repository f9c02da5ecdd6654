package gateway

import (
	"time"

	"hazelslip/internal/wire/exchange"
)

// echo is a silent group that was told to a relay.
type echo struct {
	head       string
	dataCentre string
	at         time.Duration
}

// echoFor is how long a relay passes a silent group on. The nodes that see it
// go on telling; a shorter time could be lost with one exchange.
const echoFor = 400 * time.Millisecond

// echoed notes a silent group that a peer told, and says whether it was new.
func (peers *peers) echoed(silent *exchange.SilentHead, dataCentre string) bool {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	now := peers.node.now()
	held, known := peers.echoes[silent.Group]
	if known && now-held.at < echoFor {
		return false
	}
	peers.echoes[silent.Group] = echo{head: silent.Server, dataCentre: dataCentre, at: now}
	return true
}

// echoesFor returns the silent groups to pass on to a peer. What came from
// another data centre goes to the own one only: two relays that told each other
// what they were told would never be done.
func (peers *peers) echoesFor(dataCentre string) []*exchange.SilentHead {
	own := peers.node.settings.DataCentre
	peers.mu.Lock()
	defer peers.mu.Unlock()
	now := peers.node.now()
	passed := []*exchange.SilentHead{}
	for group, held := range peers.echoes {
		switch {
		case now-held.at >= echoFor:
			delete(peers.echoes, group)
		case held.dataCentre == own || dataCentre == own:
			passed = append(passed, &exchange.SilentHead{Server: held.head, Group: group})
		}
	}
	return passed
}
