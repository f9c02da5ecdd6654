package fabric

import (
	"time"

	"hazelslip/internal/common/clock"
)

// RecordPause records that this process did not run for a span that ends now. The span does not count as silence of
// any server.
func (table *StatusTable) RecordPause(pause time.Duration) {
	table.mu.Lock()
	defer table.mu.Unlock()
	now := table.now()
	for _, server := range table.servers {
		if server.UnresponsiveSince != 0 {
			server.UnresponsiveSince = clock.AfterPause(server.UnresponsiveSince, pause, now)
		}
	}
	table.publishLocked()
}
