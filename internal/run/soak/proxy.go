package soak

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// proxy relays TCP connections between two processes on loopback and simulates network faults.
// Data that is held arrives when the fault has ended, as it does over TCP.
type proxy struct {
	listener net.Listener
	target   string
	workers  conc.WaitGroup

	mu      sync.Mutex
	changed chan struct{}
	delay   time.Duration
	// holdIn and holdOut count the active faults that hold data to the target and data from it.
	holdIn, holdOut int
	conns           map[net.Conn]struct{}
	closed          bool
}

const (
	proxyBufferSize  = 16 << 10
	proxyDialTimeout = time.Second
)

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s as proxy of %s", address, target)
	}
	created := &proxy{listener: listener, target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	created.workers.Go(created.accept)
	return created, nil
}

func (proxy *proxy) accept() {
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		proxy.workers.Go(func() { proxy.forward(client) })
	}
}

// forward relays one connection until either side closes it.
func (proxy *proxy) forward(client net.Conn) {
	defer client.Close()
	upstream, err := net.DialTimeout("tcp", proxy.target, proxyDialTimeout)
	if err != nil {
		reset(client)
		return
	}
	defer upstream.Close()
	if !proxy.track(client, upstream) {
		return
	}
	defer proxy.untrack(client, upstream)
	directions := conc.WaitGroup{}
	directions.Go(func() { proxy.relay(upstream, client, func() bool { return proxy.holdIn > 0 }) })
	directions.Go(func() { proxy.relay(client, upstream, func() bool { return proxy.holdOut > 0 }) })
	directions.Wait()
}

// relay copies data from one connection to the other, and closes both when either fails or ends.
func (proxy *proxy) relay(to, from net.Conn, isHeld func() bool) {
	buffer := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(buffer)
		if !proxy.waitWhileHeld(isHeld) {
			break
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	to.Close()
	from.Close()
}

// waitWhileHeld waits until a direction is not held and then for the delay. It reports false if the
// proxy was closed.
func (proxy *proxy) waitWhileHeld(isHeld func() bool) bool {
	for {
		proxy.mu.Lock()
		held, delay, changed, closed := isHeld(), proxy.delay, proxy.changed, proxy.closed
		proxy.mu.Unlock()
		if closed {
			return false
		}
		if !held {
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}

// update changes the simulated faults and wakes all waiting relays.
func (proxy *proxy) update(set func()) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	set()
	close(proxy.changed)
	proxy.changed = make(chan struct{})
}

// hold adds to the hold counts of the two directions. Negative values release a direction.
func (proxy *proxy) hold(in, out int) {
	proxy.update(func() { proxy.holdIn, proxy.holdOut = proxy.holdIn+in, proxy.holdOut+out })
}

func (proxy *proxy) setDelay(delay time.Duration) {
	proxy.update(func() { proxy.delay = delay })
}

// resetAll resets all open connections.
func (proxy *proxy) resetAll() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for conn := range proxy.conns {
		reset(conn)
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

func (proxy *proxy) track(conns ...net.Conn) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for _, conn := range conns {
		proxy.conns[conn] = struct{}{}
	}
	return !proxy.closed
}

func (proxy *proxy) untrack(conns ...net.Conn) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for _, conn := range conns {
		delete(proxy.conns, conn)
	}
}

func (proxy *proxy) stop() {
	proxy.listener.Close()
	proxy.update(func() { proxy.closed = true })
	proxy.resetAll()
	proxy.workers.Wait()
}
