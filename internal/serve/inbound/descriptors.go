package inbound

import (
	"math"

	"golang.org/x/sys/unix"
)

// fileDescriptors is the number of descriptors that are kept for files.
const fileDescriptors = 200

// Sockets returns how many sockets a process may open, by the limit in its settings, 0 for none, and by that of the
// system.
func Sockets(maxDescriptors int) int {
	limit := unix.Rlimit{}
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		limit.Cur = math.MaxInt32
	}
	if maxDescriptors <= 0 || int(limit.Cur) < maxDescriptors {
		maxDescriptors = int(limit.Cur)
	}
	return max(0, maxDescriptors-fileDescriptors)
}
