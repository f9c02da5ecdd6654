package gateway

import (
	"time"

	"hazelslip/internal/wire/exchange"
)

// relayedSilence is a silent group that was told to a relay.
type relayedSilence struct {
	head       string
	dataCentre string
	at         time.Duration
}

// silenceKept is how long a relay passes a silent group on. The nodes that see it
// go on telling; a shorter time could be lost with one exchange.
const silenceKept = 400 * time.Millisecond

// takeSilence notes a silent group that a peer told, and says whether it was new.
func (peers *peers) takeSilence(silent *exchange.SilentHead, dataCentre string) bool {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	now := peers.node.now()
	held, known := peers.silences[silent.Group]
	if known && now-held.at < silenceKept {
		return false
	}
	peers.silences[silent.Group] = relayedSilence{head: silent.Server, dataCentre: dataCentre, at: now}
	return true
}

// silencesFor returns the silent groups to pass on to a peer. What came from
// another data centre goes to the own one only: two relays that told each other
// what they were told would never be done.
func (peers *peers) silencesFor(dataCentre string) []*exchange.SilentHead {
	own := peers.node.settings.DataCentre
	peers.mu.Lock()
	defer peers.mu.Unlock()
	now := peers.node.now()
	passed := []*exchange.SilentHead{}
	for group, held := range peers.silences {
		if now-held.at < silenceKept && (held.dataCentre == own || dataCentre == own) {
			passed = append(passed, &exchange.SilentHead{Server: held.head, Group: group})
		}
	}
	return passed
}

// toldKept is how long it is remembered when a group's silence was last told at
// once. Names of groups are not used again.
const toldKept = time.Minute

// forgetSilences drops what is known of groups that have been gone for long.
func (peers *peers) forgetSilences(now time.Duration) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for group, held := range peers.silences {
		if now-held.at >= silenceKept {
			delete(peers.silences, group)
		}
	}
	for group, at := range peers.silent {
		if now-at >= toldKept {
			delete(peers.silent, group)
		}
	}
}
