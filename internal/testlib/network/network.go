// Package network is an in-memory network for tests that run complete nodes in virtual time. Connections are pipes, so
// a synctest bubble detects when all goroutines are blocked. A host is a name that the test chooses for the source of
// connections; tests can partition hosts from addresses.
//
// A partition drops data without an error, like a lost link: data written to an affected connection is lost and the
// other end reads nothing more. New connections time out. A test can also refuse new connections while open ones
// continue, reset open connections, or delay all data from and to a host.
//
// # Usage
//
//	memory := network.New()
//	listener, err := memory.Listen("127.0.0.1:7000")
//	conn, err := memory.Dialer("lakes-a")(ctx, "tcp", "127.0.0.1:7000")
//	memory.Partition("lakes-a", "127.0.0.1:7000")
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
	maxPendingConnections = 256
	dialTimeout           = 500 * time.Millisecond
)

// Network holds the listeners and open connections with the faults of each link.
type Network struct {
	mu         sync.Mutex
	listeners  map[string]*listener
	partitions map[link]bool
	refused    map[link]bool
	delays     map[string]time.Duration
	// oneWayDelays delay only the data that the end which opened the connection writes, or only that of the other end.
	oneWayDelays map[link]oneWayDelay
	conns        map[*conn]struct{}
}

type link struct{ from, to string }

// oneWayDelay holds the delays of writes by the end that opened a connection and by the end that accepted it.
type oneWayDelay struct{ opener, accepter time.Duration }

// New returns an empty network.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, partitions: map[link]bool{}, refused: map[link]bool{}, delays: map[string]time.Duration{}, oneWayDelays: map[link]oneWayDelay{}, conns: map[*conn]struct{}{}}
}

// Listen opens a listener at an address.
func (network *Network) Listen(address string) (net.Listener, error) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.listeners[address] != nil {
		return nil, errors.Newf("listen on %s: the address is already in use", address)
	}
	opened := &listener{network: network, address: address, pending: make(chan net.Conn, maxPendingConnections), closed: make(chan struct{})}
	network.listeners[address] = opened
	return opened, nil
}

// Dialer returns the dial function of the named host.
func (network *Network) Dialer(host string) func(ctx context.Context, _, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.dial(ctx, host, address)
	}
}

func (network *Network) dial(ctx context.Context, host, address string) (net.Conn, error) {
	network.mu.Lock()
	target, ok := network.listeners[address]
	partitioned, refused := network.partitions[link{host, address}], network.refused[link{host, address}]
	network.mu.Unlock()
	switch {
	case partitioned:
		return nil, waitForTimeout(ctx)
	case refused:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	}
	if !ok {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: errors.Newf("no listener at %s", address)}
	}
	dialerEnd, listenerEnd := net.Pipe()
	opened := &conn{Conn: dialerEnd, network: network, link: link{host, address}, remote: address, opener: true}
	accepted := &conn{Conn: listenerEnd, network: network, link: opened.link, remote: host, peer: opened}
	opened.peer = accepted
	network.mu.Lock()
	network.conns[opened], network.conns[accepted] = struct{}{}, struct{}{}
	network.mu.Unlock()
	select {
	case target.pending <- accepted:
		return opened, nil
	case <-target.closed:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: errors.Newf("the listener at %s was closed", address)}
	}
}

func waitForTimeout(ctx context.Context) error {
	timer := time.NewTimer(dialTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return &net.OpError{Op: "dial", Net: "memory", Err: os.ErrDeadlineExceeded}
}

// Partition drops all data between the host and the addresses and makes new connections of the host time out, until
// Heal.
func (network *Network) Partition(host string, addresses ...string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	for _, address := range addresses {
		network.partitions[link{host, address}] = true
		for open := range network.conns {
			if open.link == (link{host, address}) {
				open.partitioned.Store(true)
			}
		}
	}
}

// Disconnect closes all connections that the host opened, like a restart of a load balancer or of a machine in between.
// The host may reconnect at once.
func (network *Network) Disconnect(host string) {
	network.mu.Lock()
	ended := []*conn{}
	for open := range network.conns {
		if open.link.from == host && open.remote == host {
			ended = append(ended, open)
		}
	}
	network.mu.Unlock()
	for _, open := range ended {
		_ = open.Close()
	}
}

// RefuseConnections refuses new connections from the host to the addresses, until Heal. Open connections continue.
func (network *Network) RefuseConnections(host string, addresses ...string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	for _, address := range addresses {
		network.refused[link{host, address}] = true
	}
}

// ResetConnections resets the open connections from the host to the addresses: reads and writes on both ends return
// ECONNRESET.
func (network *Network) ResetConnections(host string, addresses ...string) {
	network.mu.Lock()
	matching := []*conn{}
	for open := range network.conns {
		if open.link.from == host && slices.Contains(addresses, open.link.to) {
			matching = append(matching, open)
		}
	}
	network.mu.Unlock()
	for _, open := range matching {
		open.reset.Store(true)
	}
	for _, open := range matching {
		_ = open.Conn.Close()
	}
}

// Heal ends the partition and the refusal between the host and the addresses. Connections that were open during the
// partition remain without data.
func (network *Network) Heal(host string, addresses ...string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	for _, address := range addresses {
		delete(network.partitions, link{host, address})
		delete(network.refused, link{host, address})
	}
}

// SetDelay delays every write on the connections from or to the host or listener address, in both directions. A delay
// of 0 removes it.
func (network *Network) SetDelay(host string, delay time.Duration) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.delays[host] = delay
}

// AnyHost stands for all hosts.
const AnyHost = ""

// SetOneWayDelay delays the writes on the connections of a host, or AnyHost, to a listener address, separately by the end
// that opened the connection and by the end that accepted it.
func (network *Network) SetOneWayDelay(host, address string, opener, accepter time.Duration) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.oneWayDelays[link{host, address}] = oneWayDelay{opener: opener, accepter: accepter}
}

// delay returns the delay of each write by one end of a connection: the largest of the delays of both ends and of its
// direction.
func (network *Network) delay(conn *conn) time.Duration {
	network.mu.Lock()
	defer network.mu.Unlock()
	highest := max(network.delays[conn.link.from], network.delays[conn.link.to])
	for _, key := range []link{conn.link, {AnyHost, conn.link.to}} {
		if conn.opener {
			highest = max(highest, network.oneWayDelays[key].opener)
		} else {
			highest = max(highest, network.oneWayDelays[key].accepter)
		}
	}
	return highest
}

type listener struct {
	network *Network
	address string
	pending chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept returns the next connection.
func (listener *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-listener.pending:
		return accepted, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the connections that were not accepted and releases the address.
func (listener *listener) Close() error {
	listener.once.Do(func() {
		close(listener.closed)
		listener.network.mu.Lock()
		defer listener.network.mu.Unlock()
		delete(listener.network.listeners, listener.address)
		for {
			select {
			case waiting := <-listener.pending:
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

// Network returns the network name "memory".
func (address) Network() string { return "memory" }

// String returns the address.
func (address address) String() string { return string(address) }

// conn is one end of a connection. The link names the host that opened the connection and the address that it dialed.
type conn struct {
	net.Conn
	network     *Network
	link        link
	remote      string
	peer        *conn
	opener      bool
	partitioned atomic.Bool
	reset       atomic.Bool
	resetsAtEnd atomic.Bool
}

// Read reads data from the other end, and returns ECONNRESET after a reset.
func (conn *conn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	if err != nil && conn.reset.Load() {
		err = &net.OpError{Op: "read", Net: "memory", Err: syscall.ECONNRESET}
	}
	return n, err
}

// Write sends data to the other end after the delay of the link. On a partitioned connection the data is dropped and
// Write succeeds.
func (conn *conn) Write(buffer []byte) (int, error) {
	if conn.reset.Load() {
		return 0, &net.OpError{Op: "write", Net: "memory", Err: syscall.ECONNRESET}
	}
	if conn.partitioned.Load() || conn.peer.partitioned.Load() {
		return len(buffer), nil
	}
	if delay := conn.network.delay(conn); delay > 0 {
		time.Sleep(delay)
	}
	return conn.Conn.Write(buffer)
}

// SetLinger sets whether Close resets the connection, which a time of 0 seconds asks for.
func (conn *conn) SetLinger(seconds int) error {
	conn.resetsAtEnd.Store(seconds == 0)
	return nil
}

// Close closes the connection and removes it from the network.
func (conn *conn) Close() error {
	conn.network.mu.Lock()
	delete(conn.network.conns, conn)
	conn.network.mu.Unlock()
	if conn.resetsAtEnd.Load() && !conn.partitioned.Load() && !conn.peer.partitioned.Load() {
		conn.peer.reset.Store(true)
	}
	return conn.Conn.Close()
}

// RemoteAddr returns the address or host name of the other end.
func (conn *conn) RemoteAddr() net.Addr { return address(conn.remote) }
