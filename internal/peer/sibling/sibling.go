// Package sibling carries frames between entry nodes. Each pair of connected nodes
// shares one TCP connection, which carries a sequence of length-prefixed protobuf
// messages in each direction.
//
// The package does not use yamux, for two reasons. The frames between two nodes form
// one ordered stream, so there is nothing to multiplex. And a yamux stream that is
// being read when its session ends polls in a busy loop until another goroutine has
// closed the stream. On a single core that goroutine may not be scheduled for a long
// time: a node that was asked to stop kept its core busy instead.
//
// The caller encodes frames, so that a frame for many nodes is encoded only once.
//
// # Usage
//
//	server := sibling.NewServer(listener, func(conn *sibling.Conn) { ... })
//	server.Start()
//	conn, err := sibling.Connect(dial, "10.0.0.7:7300", time.Second)
//	err = conn.Send(body, time.Second)
//	received, err := conn.Receive(time.Second)
package sibling

import (
	"bufio"
	"container/list"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"

	"hazelslip/internal/common/accept"
	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/wire/frame"
)

const (
	// maxFrameBytes bounds the size of a frame. It leaves room for a configuration of several thousand routes or
	// a list of several thousand servers.
	maxFrameBytes = 8 << 20
	// maxFirstFrameBytes bounds the first frame on an accepted connection. Such a frame only introduces its sender. The
	// memory for a frame is allocated as soon as its length has been read.
	maxFirstFrameBytes = 16 << 10
	// readBufferSize fits a frame of typical size.
	readBufferSize = 2 << 10
)

// ErrConnectionEnded means that the connection failed or was closed, or that a frame was not sent or received within the
// timeout.
var ErrConnectionEnded = errors.New("the connection to the node ended")

// DialFunc opens a connection to a node.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Conn is a connection that carries frames. One goroutine may send while another receives. Close may be called from any
// goroutine.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader
	buffer []byte
	// awaitingFirst is set on an accepted connection until it has received a frame.
	awaitingFirst atomic.Bool
}

func newConn(conn net.Conn) *Conn {
	return &Conn{conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize)}
}

// Connect opens a connection to a node within the timeout.
func Connect(dial DialFunc, address string, timeout time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to node %s", address)
	}
	return newConn(conn), nil
}

// Send sends an encoded frame within the timeout. Length and frame are written together, so that a frame needs one
// system call and a short frame one packet.
func (conn *Conn) Send(body []byte, timeout time.Duration) error {
	if err := conn.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return errors.Mark(err, ErrConnectionEnded)
	}
	conn.buffer = append(protowire.AppendVarint(conn.buffer[:0], uint64(len(body))), body...)
	if _, err := conn.conn.Write(conn.buffer); err != nil {
		return errors.Mark(errors.Wrap(err, "send frame"), ErrConnectionEnded)
	}
	return nil
}

// Receive returns the next frame. The complete frame must arrive within the timeout.
func (conn *Conn) Receive(timeout time.Duration) (*frame.Frame, error) {
	if err := conn.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, errors.Mark(err, ErrConnectionEnded)
	}
	received, limit := &frame.Frame{}, int64(maxFrameBytes)
	if conn.awaitingFirst.Load() {
		limit = maxFirstFrameBytes
	}
	if err := (protodelim.UnmarshalOptions{MaxSize: limit}).UnmarshalFrom(conn.reader, received); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "receive frame"), ErrConnectionEnded)
	}
	conn.awaitingFirst.Store(false)
	return received, nil
}

// Close closes the connection, upon which sends and receives in progress fail.
func (conn *Conn) Close() {
	_ = conn.conn.Close()
}

// Server accepts connections from other nodes.
type Server struct {
	*lifecycle.Component
	listener net.Listener
	serve    func(conn *Conn)
	maxConns int
	// onAcceptError is called for the first of several errors in a row.
	onAcceptError func(err error)
	// Accepted counts the accepted connections. Displaced counts the connections that were closed because there were too
	// many: the oldest one without a frame or, if there is none, the new one.
	Accepted, Displaced atomic.Uint64

	mu sync.Mutex
	// conns holds the open connections (*Conn) in the order in which they were accepted, elements their places in it.
	conns    list.List
	elements map[*Conn]*list.Element
}

// Option configures a Server.
type Option func(*Server)

// MaxConns sets the maximum number of connections, 0 for none. Beyond it, the oldest connection without a frame is closed.
func MaxConns(maxConns int) Option {
	return func(server *Server) { server.maxConns = maxConns }
}

// OnAcceptError sets the function that is called when accepting connections begins to fail.
func OnAcceptError(report func(err error)) Option {
	return func(server *Server) { server.onAcceptError = report }
}

// NewServer returns a server that is not started. The serve function is called once for each connection, in a goroutine
// of its own; when it returns, the connection is closed.
func NewServer(listener net.Listener, serve func(conn *Conn), options ...Option) *Server {
	server := &Server{Component: lifecycle.New("peers"), listener: listener, serve: serve, onAcceptError: func(error) {}, elements: map[*Conn]*list.Element{}}
	for _, option := range options {
		option(server)
	}
	return server
}

// Start begins to accept connections.
func (server *Server) Start() {
	server.Go(func() { accept.Loop(server.listener, server.Sleep, server.onAcceptError, server.add) })
}

func (server *Server) stopping() bool {
	select {
	case <-server.Stopping:
		return true
	default:
		return false
	}
}

// add serves a new connection. It reports false if the server is stopping.
func (server *Server) add(accepted net.Conn) bool {
	conn := newConn(accepted)
	conn.awaitingFirst.Store(true)
	if !server.register(conn) {
		conn.Close()
		return !server.stopping()
	}
	server.Accepted.Add(1)
	server.Go(func() {
		defer server.closeConn(conn)
		server.serve(conn)
	})
	return true
}

// register reports whether the connection may be served.
func (server *Server) register(conn *Conn) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.stopping() {
		return false
	}
	if server.maxConns > 0 && server.conns.Len() >= server.maxConns {
		server.Displaced.Add(1)
		if !server.displaceLocked() {
			return false
		}
	}
	server.elements[conn] = server.conns.PushBack(conn)
	return true
}

// displaceLocked closes the oldest connection that has received no frame, and reports whether there was one.
func (server *Server) displaceLocked() bool {
	for element := server.conns.Front(); element != nil; element = element.Next() {
		if conn := element.Value.(*Conn); conn.awaitingFirst.Load() {
			conn.Close()
			server.removeLocked(conn)
			return true
		}
	}
	return false
}

func (server *Server) removeLocked(conn *Conn) {
	if element := server.elements[conn]; element != nil {
		server.conns.Remove(element)
		delete(server.elements, conn)
	}
}

func (server *Server) closeConn(conn *Conn) {
	conn.Close()
	server.mu.Lock()
	defer server.mu.Unlock()
	server.removeLocked(conn)
}

// Stop closes the listener and all connections, and waits for the serve functions to return.
func (server *Server) Stop() {
	server.RequestStop()
	_ = server.listener.Close()
	server.mu.Lock()
	for conn := range server.elements {
		conn.Close()
	}
	server.mu.Unlock()
	server.Component.Stop()
}
