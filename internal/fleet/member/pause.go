package member

import (
	"time"

	"hazelslip/internal/common/clock"
)

// RecordPause records that this process did not run for a span that ends now. The span does not count as silence of
// any peer. Otherwise all duties would seem to fall to this node until the peers have answered again.
func (table *Table) RecordPause(pause time.Duration) {
	table.mu.Lock()
	defer table.mu.Unlock()
	now := table.now()
	for _, peer := range table.peers {
		if peer.Heard != 0 {
			peer.Heard = clock.AfterPause(peer.Heard, pause, now)
		}
	}
	table.refreshLocked()
}
