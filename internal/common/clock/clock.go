// Package clock reads a monotonic clock that goes on while the machine sleeps.
//
// Leases and the ages of reports are counted on it. Go's own monotonic reading
// stops while a machine is suspended, so a holder that slept through its lease
// would still believe in it; boot time does not stop, and the holder sees at
// once that its lease is over.
//
// # Usage
//
//	now := clock.Boot
//	start := now()
//	elapsed := now() - start
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since some fixed moment before the process started.
// Parts take a Now as an option, and tests inside a synctest bubble pass
// Virtual.
type Now func() time.Duration

// Boot is the time since the machine started, sleep included (CLOCK_BOOTTIME).
func Boot() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(reading.Nano())
}

var processStart = time.Now()

// Virtual returns a Now that follows the time package, which a synctest
// bubble replaces.
func Virtual() Now {
	start := time.Now()
	return func() time.Duration { return time.Since(start) + time.Hour }
}
