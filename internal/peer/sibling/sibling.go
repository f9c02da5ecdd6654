// Package sibling carries frames between entry nodes: one TCP connection for each
// pair that talks, on it one length-prefixed protobuf message after the other in
// both directions.
//
// It does without yamux. What two nodes tell each other is one ordered stream, so
// there is nothing to multiplex; and a yamux stream that is being read when its
// session ends polls without a pause until another goroutine has closed it. On
// one core that goroutine may not run for long: a node that was told to stop
// held its core instead.
//
// Frames are encoded by the caller, so that one that goes to many is encoded once.
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
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"

	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/wire/frame"
)

const (
	// messageMost bounds a frame: a configuration of some thousand routes, or a
	// list of some thousand servers.
	messageMost = 8 << 20
	// readBuffer holds a usual frame.
	readBuffer = 2 << 10
)

// ErrEnded says that the other end closed the connection, or that nothing came
// in time.
var ErrEnded = errors.New("the connection ended")

// Dial opens a connection to a node.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Conn is a connection that carries frames. One goroutine may send while another
// receives; Close may be called from any.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader
	buffer []byte
}

func newConn(conn net.Conn) *Conn {
	return &Conn{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer)}
}

// Connect opens a connection to a node within a time.
func Connect(dial Dial, address string, within time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to node %s", address)
	}
	return newConn(conn), nil
}

// Send writes an encoded frame, in one piece, so that it costs one system call
// and, if it is short, one packet.
func (conn *Conn) Send(body []byte, within time.Duration) error {
	if err := conn.conn.SetWriteDeadline(time.Now().Add(within)); err != nil {
		return errors.Mark(err, ErrEnded)
	}
	conn.buffer = append(protowire.AppendVarint(conn.buffer[:0], uint64(len(body))), body...)
	if _, err := conn.conn.Write(conn.buffer); err != nil {
		return errors.Mark(errors.Wrap(err, "send a frame"), ErrEnded)
	}
	return nil
}

// Receive reads the next frame, if one begins and ends within a time.
func (conn *Conn) Receive(within time.Duration) (*frame.Frame, error) {
	if err := conn.conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return nil, errors.Mark(err, ErrEnded)
	}
	received := &frame.Frame{}
	if err := (protodelim.UnmarshalOptions{MaxSize: messageMost}).UnmarshalFrom(conn.reader, received); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "receive a frame"), ErrEnded)
	}
	return received, nil
}

// Close ends the connection and whatever is under way on it.
func (conn *Conn) Close() {
	_ = conn.conn.Close()
}

// Server takes connections of other nodes.
type Server struct {
	*lifecycle.Component
	listener net.Listener
	serve    func(conn *Conn)
	// Accepted counts the connections that were taken.
	Accepted atomic.Uint64

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewServer returns a server that is yet to be started. The function serves one
// connection each time it is called; when it returns, the connection is closed.
func NewServer(listener net.Listener, serve func(conn *Conn)) *Server {
	return &Server{Component: lifecycle.New("peers"), listener: listener, serve: serve, conns: map[*Conn]struct{}{}}
}

// Start begins to accept connections.
func (server *Server) Start() {
	server.Go(server.accept)
}

func (server *Server) accept() {
	for {
		accepted, err := server.listener.Accept()
		if err != nil {
			return
		}
		conn := newConn(accepted)
		if !server.keep(conn) {
			conn.Close()
			return
		}
		server.Accepted.Add(1)
		server.Go(func() {
			defer server.drop(conn)
			server.serve(conn)
		})
	}
}

func (server *Server) keep(conn *Conn) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	select {
	case <-server.Stopping:
		return false
	default:
		server.conns[conn] = struct{}{}
		return true
	}
}

func (server *Server) drop(conn *Conn) {
	conn.Close()
	server.mu.Lock()
	defer server.mu.Unlock()
	delete(server.conns, conn)
}

// Stop closes the listener and every connection.
func (server *Server) Stop() {
	server.RequestStop()
	_ = server.listener.Close()
	server.mu.Lock()
	for conn := range server.conns {
		conn.Close()
	}
	server.mu.Unlock()
	server.Component.Stop()
}
