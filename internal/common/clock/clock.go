// Package clock reads a monotonic clock that keeps running while the machine is suspended.
//
// Lease expiry and the ages of reports are measured with this clock. Go's monotonic clock stops while the machine is
// suspended, so a lease holder that was suspended past the end of its lease would still consider the lease valid. Boot
// time does not stop, and the holder sees the expiry as soon as it resumes.
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

// Now returns the time since a fixed moment before the process started. Components take a Now as an option; tests
// inside a synctest bubble pass the result of Virtual.
type Now func() time.Duration

// Boot returns the time since the machine started, including time in suspend (CLOCK_BOOTTIME). Where that clock cannot
// be read, Boot returns the time since the process started.
func Boot() time.Duration {
	var bootTime unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &bootTime); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(bootTime.Nano())
}

var processStart = time.Now()

// Virtual returns a Now that follows the clock of the time package, which a synctest bubble replaces by a virtual one.
func Virtual() Now {
	start := time.Now()
	return func() time.Duration { return time.Since(start) + time.Hour }
}
