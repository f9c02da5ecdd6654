// Package sibling carries questions between entry nodes that exchange what they
// know all the time: one TCP connection a peer, on it one length-prefixed
// protobuf request and its reply after the other.
//
// It does without yamux. A node has one question at a time for a peer, so there
// is nothing to multiplex; and a yamux stream that is being read when its
// session ends polls without a pause until another goroutine has closed it. On
// one core that goroutine may not run for long: a node that was told to stop
// held its core instead.
//
// A failed question closes the connection, and the next one connects anew: a
// late reply can't be taken for the next question's.
//
// # Usage
//
//	server := sibling.NewServer(listener, func(request *exchange.Request) *exchange.Reply { ... })
//	server.Start()
//	link := sibling.NewLink("10.0.0.7:7300")
//	reply, err := link.Ask(request, time.Second)
package sibling

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/wire/exchange"
)

const (
	// messageMost bounds a message: a configuration of some thousand routes and
	// a list of some thousand servers.
	messageMost = 8 << 20
	// readBuffer holds a usual standing.
	readBuffer = 2 << 10
	// idleMost is how long a connection may be silent at the answering side.
	// Peers ask several times a second; one that doesn't is gone.
	idleMost = 20 * time.Second
	// linkMost is how long the asking side keeps a connection without use: less
	// than the other side does, whose end would be taken for a peer that failed.
	linkMost = 10 * time.Second
	// answerTime bounds writing an answer.
	answerTime = 2 * time.Second
)

// Dial opens a connection to a peer.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Link is the way to one peer. Ask must not be called from two goroutines at
// once; Close may be called from any.
type Link struct {
	address string
	dial    Dial

	mu     sync.Mutex
	conn   net.Conn
	reader *bufio.Reader
	used   time.Time
	closed bool
}

// NewLink returns a link that is yet to connect.
func NewLink(address string, dial Dial) *Link {
	return &Link{address: address, dial: dial}
}

// Ask sends a request and waits for its reply. On a kept connection that fails it
// asks once more on a new one: connections are reset or go silent while the peer
// is well, and new ones work. So it may take twice as long as given.
func (link *Link) Ask(request *exchange.Request, timeout time.Duration) (*exchange.Reply, error) {
	reply, kept, err := link.once(request, timeout)
	if err != nil && kept {
		reply, _, err = link.once(request, timeout)
	}
	if err != nil {
		return nil, err
	}
	if reply.Failure != "" {
		return nil, errors.Newf("peer %s: %s", link.address, reply.Failure)
	}
	return reply, nil
}

// once asks on the connection that there is, or on a new one, and says whether
// it was a kept one.
func (link *Link) once(request *exchange.Request, timeout time.Duration) (*exchange.Reply, bool, error) {
	deadline := time.Now().Add(timeout)
	conn, reader, kept, err := link.connect(timeout)
	if err != nil {
		return nil, false, errors.Wrapf(err, "connect to peer %s", link.address)
	}
	reply := &exchange.Reply{}
	if err := ask(conn, reader, request, reply, deadline); err != nil {
		link.drop(conn)
		return nil, kept, errors.Wrapf(err, "ask peer %s", link.address)
	}
	return reply, kept, nil
}

func ask(conn net.Conn, reader *bufio.Reader, request *exchange.Request, reply *exchange.Reply, deadline time.Time) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	if err := send(conn, request); err != nil {
		return err
	}
	return protodelim.UnmarshalOptions{MaxSize: messageMost}.UnmarshalFrom(reader, reply)
}

// send writes a message in one piece, so that it costs one system call and, if
// it is short, one packet.
func send(conn net.Conn, message proto.Message) error {
	framed := &bytes.Buffer{}
	if _, err := protodelim.MarshalTo(framed, message); err != nil {
		return err
	}
	_, err := conn.Write(framed.Bytes())
	return err
}

// connect returns a connection and whether it was kept from before.
func (link *Link) connect(timeout time.Duration) (net.Conn, *bufio.Reader, bool, error) {
	link.mu.Lock()
	if link.conn != nil && time.Since(link.used) > linkMost {
		link.conn.Close()
		link.conn, link.reader = nil, nil
	}
	link.used = time.Now()
	conn, reader, closed := link.conn, link.reader, link.closed
	link.mu.Unlock()
	if closed {
		return nil, nil, false, errors.New("the link is closed")
	}
	if conn != nil {
		return conn, reader, true, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	dialled, err := link.dial(ctx, "tcp", link.address)
	if err != nil {
		return nil, nil, false, err
	}
	link.mu.Lock()
	defer link.mu.Unlock()
	if link.closed {
		dialled.Close()
		return nil, nil, false, errors.New("the link is closed")
	}
	link.conn, link.reader = dialled, bufio.NewReaderSize(dialled, readBuffer)
	return link.conn, link.reader, false, nil
}

func (link *Link) drop(conn net.Conn) {
	link.mu.Lock()
	defer link.mu.Unlock()
	conn.Close()
	if link.conn == conn {
		link.conn, link.reader = nil, nil
	}
}

// Close ends the connection and whatever is asked on it.
func (link *Link) Close() {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.closed = true
	if link.conn != nil {
		link.conn.Close()
	}
}

// Answerer answers one request of a peer.
type Answerer func(request *exchange.Request) *exchange.Reply

// Server answers the questions of peers.
type Server struct {
	*lifecycle.Part
	listener net.Listener
	answer   Answerer
	// BadFrames counts connections that were closed over what came on them.
	BadFrames atomic.Uint64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server that is yet to be started. The answerer is called
// from many goroutines.
func NewServer(listener net.Listener, answer Answerer) *Server {
	return &Server{Part: lifecycle.New("peers"), listener: listener, answer: answer, conns: map[net.Conn]struct{}{}}
}

// Start begins to accept connections.
func (server *Server) Start() {
	server.Go(server.accept)
}

func (server *Server) accept() {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		if !server.keep(conn) {
			conn.Close()
			return
		}
		server.Go(func() { server.serve(conn) })
	}
}

func (server *Server) keep(conn net.Conn) bool {
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

func (server *Server) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		server.mu.Lock()
		delete(server.conns, conn)
		server.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(conn, readBuffer)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(idleMost)); err != nil {
			return
		}
		request := &exchange.Request{}
		if err := (protodelim.UnmarshalOptions{MaxSize: messageMost}).UnmarshalFrom(reader, request); err != nil {
			server.BadFrames.Add(1)
			return
		}
		if err := conn.SetWriteDeadline(time.Now().Add(answerTime)); err != nil {
			return
		}
		if err := send(conn, server.answer(request)); err != nil {
			return
		}
	}
}

// Stop closes the listener and every connection.
func (server *Server) Stop() {
	server.Ask()
	server.listener.Close()
	server.mu.Lock()
	for conn := range server.conns {
		conn.Close()
	}
	server.mu.Unlock()
	server.Part.Stop()
}
