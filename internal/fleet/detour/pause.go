package detour

import "time"

// RecordPause records that this process did not run for a span that ends now. The span does not count as silence of
// any node.
func (table *Table) RecordPause(pause time.Duration) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, peer := range table.peers {
		peer.RecordPause(pause)
	}
}
