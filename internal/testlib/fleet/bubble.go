package fleet

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Bubble runs a test in virtual time, as synctest.Test does, and may be called
// more than once in a process.
//
// yamux keeps timers in a sync.Pool for the whole process. A timer that one
// bubble put there and another takes ends the test process ("select on
// synctest channel from outside bubble"). Two collections empty every pool, so
// nothing crosses from one bubble to the next. Bubbles must not run at the same
// time.
func Bubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	const collectionsThatEmptyAPool = 2
	for range collectionsThatEmptyAPool {
		runtime.GC()
	}
	synctest.Test(t, test)
}
