package soak

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// proxy stands between two parts on loopback and does to their connections what a network
// does. What it holds up arrives when the fault has ended, as it does over TCP.
type proxy struct {
	listener net.Listener
	target   string
	workers  conc.WaitGroup

	mu      sync.Mutex
	changed chan struct{}
	delay   time.Duration
	// holdIn and holdOut hold up what goes to the target, and what comes from it.
	holdIn, holdOut int
	conns           map[net.Conn]struct{}
	closed          bool
}

const (
	proxyBuffer  = 16 << 10
	proxyDialing = time.Second
)

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s in place of %s", address, target)
	}
	created := &proxy{listener: listener, target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	created.workers.Go(created.accept)
	return created, nil
}

func (proxy *proxy) accept() {
	for {
		near, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		proxy.workers.Go(func() { proxy.carry(near) })
	}
}

// carry carries one connection until either side ends it.
func (proxy *proxy) carry(near net.Conn) {
	defer near.Close()
	far, err := net.DialTimeout("tcp", proxy.target, proxyDialing)
	if err != nil {
		reset(near)
		return
	}
	defer far.Close()
	if !proxy.keep(near, far) {
		return
	}
	defer proxy.forget(near, far)
	both := conc.WaitGroup{}
	both.Go(func() { proxy.copy(far, near, func() bool { return proxy.holdIn > 0 }) })
	both.Go(func() { proxy.copy(near, far, func() bool { return proxy.holdOut > 0 }) })
	both.Wait()
}

// copy passes on what one side sends; its end ends the other.
func (proxy *proxy) copy(to, from net.Conn, held func() bool) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if !proxy.await(held) {
			break
		}
		if n > 0 {
			if _, failure := to.Write(buffer[:n]); failure != nil {
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

// await waits while a direction is held up, and for the delay. It says whether the proxy
// goes on.
func (proxy *proxy) await(held func() bool) bool {
	for {
		proxy.mu.Lock()
		holding, delay, changed, closed := held(), proxy.delay, proxy.changed, proxy.closed
		proxy.mu.Unlock()
		if closed {
			return false
		}
		if !holding {
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}

// change sets what is done to connections.
func (proxy *proxy) change(set func()) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	set()
	close(proxy.changed)
	proxy.changed = make(chan struct{})
}

// hold holds up one direction or both; release ends that.
func (proxy *proxy) hold(in, out int) {
	proxy.change(func() { proxy.holdIn, proxy.holdOut = proxy.holdIn+in, proxy.holdOut+out })
}

func (proxy *proxy) slow(delay time.Duration) {
	proxy.change(func() { proxy.delay = delay })
}

// resetAll resets all connections that there are.
func (proxy *proxy) resetAll() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for conn := range proxy.conns {
		reset(conn)
	}
}

// reset closes a connection so that the other end sees it as reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

func (proxy *proxy) keep(conns ...net.Conn) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for _, conn := range conns {
		proxy.conns[conn] = struct{}{}
	}
	return !proxy.closed
}

func (proxy *proxy) forget(conns ...net.Conn) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for _, conn := range conns {
		delete(proxy.conns, conn)
	}
}

func (proxy *proxy) stop() {
	proxy.listener.Close()
	proxy.change(func() { proxy.closed = true })
	proxy.resetAll()
	proxy.workers.Wait()
}
