// Package network is a network in memory, for tests that run whole nodes in
// virtual time. Connections are pipes, so a synctest bubble can tell when
// everybody waits; places can be cut off from each other.
//
// A cut is silent, as a lost link is: what is written on a connection that a
// cut goes through vanishes, and nothing more is read from it. New connections
// time out. A place may also be refused new connections while its open ones live on, or have
// those reset. A slow place takes its time for everything that it sends and is sent.
//
// # Usage
//
//	wires := network.New()
//	listener, err := wires.Listen("127.0.0.1:7000")
//	conn, err := wires.Dialer("lakes-a")(ctx, "tcp", "127.0.0.1:7000")
//	wires.Cut("lakes-a", "127.0.0.1:7000")
package network

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	backlog     = 256
	dialTimeout = 500 * time.Millisecond
)

// Network holds listeners by address.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cuts      map[link]bool
	refused   map[link]bool
	delays    map[string]time.Duration
	conns     map[*conn]struct{}
}

type link struct{ from, to string }

// New returns an empty network.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, cuts: map[link]bool{}, refused: map[link]bool{}, delays: map[string]time.Duration{}, conns: map[*conn]struct{}{}}
}

// Listen opens a listener at an address.
func (network *Network) Listen(address string) (net.Listener, error) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.listeners[address] != nil {
		return nil, errors.Newf("%s is taken", address)
	}
	opened := &listener{network: network, address: address, accepted: make(chan net.Conn, backlog), closed: make(chan struct{})}
	network.listeners[address] = opened
	return opened, nil
}

// Dialer returns how the named place connects.
func (network *Network) Dialer(place string) func(ctx context.Context, _, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.dial(ctx, place, address)
	}
}

func (network *Network) dial(ctx context.Context, place, address string) (net.Conn, error) {
	network.mu.Lock()
	target, ok := network.listeners[address]
	cut, refused := network.cuts[link{place, address}], network.refused[link{place, address}]
	network.mu.Unlock()
	switch {
	case cut:
		return nil, timeOut(ctx)
	case refused:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	}
	if !ok {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: errors.Newf("nobody listens at %s", address)}
	}
	near, far := net.Pipe()
	opened := &conn{Conn: near, network: network, link: link{place, address}, remote: address}
	answered := &conn{Conn: far, network: network, link: opened.link, remote: place, peer: opened}
	opened.peer = answered
	network.mu.Lock()
	network.conns[opened], network.conns[answered] = struct{}{}, struct{}{}
	network.mu.Unlock()
	select {
	case target.accepted <- answered:
		return opened, nil
	case <-target.closed:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: errors.Newf("%s was closed", address)}
	}
}

func timeOut(ctx context.Context) error {
	timer := time.NewTimer(dialTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return &net.OpError{Op: "dial", Net: "memory", Err: os.ErrDeadlineExceeded}
}

// Cut cuts the place off from the addresses.
func (network *Network) Cut(place string, addresses ...string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	for _, address := range addresses {
		network.cuts[link{place, address}] = true
		for open := range network.conns {
			if open.link == (link{place, address}) {
				open.lost.Store(true)
			}
		}
	}
}

// Reset ends all connections that the place opened, as where a load balancer or a host
// between them starts again. It may connect anew at once.
func (network *Network) Reset(place string) {
	network.mu.Lock()
	ended := []*conn{}
	for open := range network.conns {
		if open.link.from == place && open.remote == place {
			ended = append(ended, open)
		}
	}
	network.mu.Unlock()
	for _, open := range ended {
		_ = open.Close()
	}
}

// Refuse makes new connections of the place to the addresses be refused. Open ones live on.
func (network *Network) Refuse(place string, addresses ...string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	for _, address := range addresses {
		network.refused[link{place, address}] = true
	}
}

// Sever resets the open connections of the place to the addresses.
func (network *Network) Sever(place string, addresses ...string) {
	network.mu.Lock()
	severed := []*conn{}
	for open := range network.conns {
		if open.link.from == place && slices.Contains(addresses, open.link.to) {
			severed = append(severed, open)
		}
	}
	network.mu.Unlock()
	for _, open := range severed {
		open.reset.Store(true)
	}
	for _, open := range severed {
		_ = open.Conn.Close()
	}
}

// Heal joins the place to the addresses again.
func (network *Network) Heal(place string, addresses ...string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	for _, address := range addresses {
		delete(network.cuts, link{place, address})
		delete(network.refused, link{place, address})
	}
}

// Slow makes everything that the place or an address sends take longer, also what a
// place is sent by it. 0 ends it.
func (network *Network) Slow(place string, delay time.Duration) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.delays[place] = delay
}

// delay is how long what is sent over a link takes.
func (network *Network) delay(link link) time.Duration {
	network.mu.Lock()
	defer network.mu.Unlock()
	return max(network.delays[link.from], network.delays[link.to])
}

type listener struct {
	network  *Network
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept returns the next connection.
func (listener *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-listener.accepted:
		return accepted, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
func (listener *listener) Close() error {
	listener.once.Do(func() {
		close(listener.closed)
		listener.network.mu.Lock()
		defer listener.network.mu.Unlock()
		delete(listener.network.listeners, listener.address)
		for {
			select {
			case waiting := <-listener.accepted:
				_ = waiting.(*conn).Conn.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr returns the listener's address.
func (listener *listener) Addr() net.Addr { return address(listener.address) }

type address string

// Network names the kind of address.
func (address) Network() string { return "memory" }

// String returns the address.
func (address address) String() string { return string(address) }

// conn is one end of a connection.
type conn struct {
	net.Conn
	network *Network
	link    link
	remote  string
	peer    *conn
	lost    atomic.Bool
	reset   atomic.Bool
}

// Read returns what the other end wrote.
func (conn *conn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	if err != nil && conn.reset.Load() {
		err = &net.OpError{Op: "read", Net: "memory", Err: syscall.ECONNRESET}
	}
	return n, err
}

// Write passes data on, or loses it where a cut goes through the connection.
func (conn *conn) Write(buffer []byte) (int, error) {
	if conn.reset.Load() {
		return 0, &net.OpError{Op: "write", Net: "memory", Err: syscall.ECONNRESET}
	}
	if conn.lost.Load() || conn.peer.lost.Load() {
		return len(buffer), nil
	}
	if delay := conn.network.delay(conn.link); delay > 0 {
		time.Sleep(delay)
	}
	return conn.Conn.Write(buffer)
}

// Close ends the connection.
func (conn *conn) Close() error {
	conn.network.mu.Lock()
	delete(conn.network.conns, conn)
	conn.network.mu.Unlock()
	return conn.Conn.Close()
}

// RemoteAddr returns the other end.
func (conn *conn) RemoteAddr() net.Addr { return address(conn.remote) }
