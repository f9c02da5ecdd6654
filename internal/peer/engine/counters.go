package engine

import "sync/atomic"

// Counters count control requests to engines. All fields only grow.
type Counters struct {
	Requests atomic.Uint64
	Failures atomic.Uint64
}
