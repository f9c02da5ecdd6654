// Package inbound bounds what HTTP clients make a node hold before a request of theirs is accepted.
//
// net/http reads the head of a request before any handler runs, and parses it into several times its size. Connections
// of this package count what is read for a head, and refuse a head that is over the limit or doesn't fit into the
// node's memory budget. The limits are read for each head, so that a change applies to open connections, too.
//
// A refused client gets 431 for a head over the limit and 503 for one that doesn't fit, and its connection is closed.
// No handler has seen the request then, so it has not run.
//
// # Usage
//
//	guard := inbound.New(budget)
//	listener := guard.Listen(tcpListener, func() inbound.Limits { return limits.Load() })
//	server := &http.Server{Handler: handler, ConnState: inbound.TrackState}
//	server.Serve(listener)
package inbound

import (
	"net"
	"net/http"
	"sync/atomic"

	"hazelslip/internal/policy/memory"
)

// DefaultMaxHeaderBytes bounds a head while no limit is known, and on addresses for which the operator sets none.
const DefaultMaxHeaderBytes = 64 << 10

// Limits bounds what a client may send.
type Limits struct {
	// MaxHeaderBytes bounds the head of a request. 0 stands for DefaultMaxHeaderBytes. Up to readAheadBytes more are
	// accepted, as by net/http.
	MaxHeaderBytes int
}

func (limits *Limits) maxHeaderBytes() int {
	if limits.MaxHeaderBytes <= 0 {
		return DefaultMaxHeaderBytes
	}
	return limits.MaxHeaderBytes
}

// Counts holds the counters of a Guard, which only increase.
type Counts struct {
	// HeadsTooLarge counts heads over the limit, HeadsOutOfMemory those that did not fit into the memory budget.
	HeadsTooLarge    atomic.Uint64
	HeadsOutOfMemory atomic.Uint64
}

// Guard bounds the connections of a node's HTTP clients.
type Guard struct {
	Counts Counts

	budget *memory.Budget
}

// New returns a Guard that reserves the memory for heads from the budget.
func New(budget *memory.Budget) *Guard {
	return &Guard{budget: budget}
}

// Listen returns a listener whose connections are bounded. The limits function is called for each part of a head.
func (guard *Guard) Listen(listener net.Listener, limits func() Limits) net.Listener {
	return &guardedListener{Listener: listener, guard: guard, limits: limits}
}

type guardedListener struct {
	net.Listener
	guard  *Guard
	limits func() Limits
}

// Accept returns the next connection.
func (listener *guardedListener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: accepted, guard: listener.guard, limits: listener.limits, reservation: listener.guard.budget.NewReservation(headAccount, false)}, nil
}

// TrackState is the ConnState function of a server whose listener a Guard returned. It tells the connection when a head
// has been read and when the request has ended.
func TrackState(conn net.Conn, state http.ConnState) {
	guarded, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		guarded.serving.Store(true)
	case http.StateIdle:
		guarded.awaitHead()
	case http.StateClosed, http.StateHijacked:
		guarded.reservation.Release()
	}
}
