package pathhealth

import (
	"time"

	"hazelslip/internal/common/clock"
)

// RecordPause records that this process did not run for a span that ends now. The span does not count as silence of
// any path.
func (paths *Paths) RecordPause(pause time.Duration) {
	now := paths.now()
	for _, path := range paths.All() {
		last := path.lastActivity.Load()
		// An event that arrives meanwhile is later.
		path.lastActivity.CompareAndSwap(last, int64(clock.AfterPause(time.Duration(last), pause, now)))
	}
}
