package engine

import "sync/atomic"

// Traffic counts control requests to engines. All fields only grow.
type Traffic struct {
	Requests atomic.Uint64
	Failures atomic.Uint64
}
