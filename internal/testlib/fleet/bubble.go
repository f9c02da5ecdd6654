package fleet

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Bubble runs a test in virtual time, like synctest.Test, and may be called more than once per process.
//
// yamux keeps timers in a process-wide sync.Pool. If one bubble reuses a timer that another bubble put there, the test
// process crashes with "select on synctest channel from outside bubble". Two garbage collections empty every pool, so
// no timer passes from one bubble to the next. Bubbles must not run concurrently.
func Bubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	const collectionsToEmptyPools = 2
	for range collectionsToEmptyPools {
		runtime.GC()
	}
	synctest.Test(t, test)
}
