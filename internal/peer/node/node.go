// Package node is the request-reply protocol between the nodes of the system. A
// client has one TCP connection to each peer, with yamux streams over it. Each
// stream carries one length-prefixed protobuf request and its reply.
//
// The package does no failure detection: a failed call is returned as an error and
// does not prove that the peer has failed.
//
// # Usage
//
//	server := node.NewServer(listener, meter.WrapConn, func(ctx context.Context, request *exchange.Request) *exchange.Reply { ... })
//	server.Start()
//	client := node.NewClient()
//	reply, err := client.Call(ctx, "127.0.0.1:7300", request)
package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/common/accept"
	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/wire/exchange"
)

const (
	maxMessageBytes = 8 << 20
	dialTimeout     = time.Second
	// streamTimeout bounds one call at the server, so that a peer that stops in the middle of a request does not
	// keep memory allocated.
	streamTimeout = 40 * time.Second
	writeTimeout  = 5 * time.Second
	// maxSessions bounds the connections that peers open. A peer opens one.
	maxSessions = 1024
	// maxMissedReplies is the number of consecutive calls without a timely reply after which a connection is closed.
	maxMissedReplies = 3
)

// Errors of a call to a peer. Use errors.Is.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("could not connect to the peer")
	// ErrNoReply means that the request was sent and no reply came.
	ErrNoReply = errors.New("the peer did not reply")
)

// Counters count requests. All fields only grow.
type Counters struct {
	Requests  atomic.Uint64
	Failures  atomic.Uint64
	BadFrames atomic.Uint64
	// AcceptErrors counts the times at which accepting connections began to fail, SessionsRefused the connections beyond
	// maxSessions.
	AcceptErrors    atomic.Uint64
	SessionsRefused atomic.Uint64
}

func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.ConnectionWriteTimeout = writeTimeout
	return config
}

// Handler handles one request of a peer and returns the reply.
type Handler func(ctx context.Context, request *exchange.Request) *exchange.Reply

// Server handles the requests of peers.
type Server struct {
	*lifecycle.Component
	listener net.Listener
	wrap     func(net.Conn) net.Conn
	handle   Handler
	Counters Counters

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
}

// NewServer returns a server that passes requests to the handler, which must be safe for concurrent use. Each accepted
// connection is passed through wrap.
func NewServer(listener net.Listener, wrap func(net.Conn) net.Conn, handler Handler) *Server {
	return &Server{Component: lifecycle.New("peers"), listener: listener, wrap: wrap, handle: handler, sessions: map[*yamux.Session]struct{}{}}
}

// Start begins to accept connections.
func (server *Server) Start() {
	server.Go(func() {
		accept.Loop(server.listener, server.Sleep, func(error) { server.Counters.AcceptErrors.Add(1) }, server.add)
	})
}

// add serves a new connection. It reports false if the server is stopping.
func (server *Server) add(conn net.Conn) bool {
	session, err := yamux.Server(server.wrap(conn), muxConfig())
	if err != nil {
		conn.Close()
		return true
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	select {
	case <-server.Stopping:
		session.Close()
		return false
	default:
	}
	if len(server.sessions) >= maxSessions {
		server.Counters.SessionsRefused.Add(1)
		session.Close()
		return true
	}
	server.sessions[session] = struct{}{}
	server.Go(func() { server.serve(session) })
	return true
}

func (server *Server) serve(session *yamux.Session) {
	defer func() {
		session.Close()
		server.mu.Lock()
		delete(server.sessions, session)
		server.mu.Unlock()
	}()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		server.Go(func() { server.serveStream(stream) })
	}
}

func (server *Server) serveStream(stream *yamux.Stream) {
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(streamTimeout))
	request := &exchange.Request{}
	if err := receive(stream, request); err != nil {
		server.Counters.BadFrames.Add(1)
		return
	}
	server.Counters.Requests.Add(1)
	ctx, cancel := server.ContextWithTimeout(streamTimeout)
	defer cancel()
	if err := send(stream, server.handle(ctx, request)); err != nil {
		server.Counters.Failures.Add(1)
	}
}

// Stop closes the listener and all connections and waits for the handlers in progress.
func (server *Server) Stop() {
	server.RequestStop()
	server.listener.Close()
	server.mu.Lock()
	for session := range server.sessions {
		session.Close()
	}
	server.mu.Unlock()
	server.Component.Stop()
}

func send(stream io.Writer, message proto.Message) error {
	_, err := protodelim.MarshalTo(stream, message)
	return err
}

func receive(stream io.Reader, message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return options.UnmarshalFrom(bufio.NewReaderSize(stream, 512), message)
}

// Client sends requests to peers. The zero value is not usable; call NewClient.
type Client struct {
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	Counters Counters

	mu       sync.Mutex
	sessions map[string]*peerSession
	closed   bool
}

// peerSession is the connection to one peer. missedReplies counts the consecutive calls without a reply in time.
type peerSession struct {
	*yamux.Session
	missedReplies atomic.Int32
}

// Option configures a Client.
type Option func(*Client)

// Dial sets the function that opens connections.
func Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(client *Client) { client.dial = dial }
}

// NewClient returns a client without connections.
func NewClient(options ...Option) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	client := &Client{dial: dialer.DialContext, sessions: map[string]*peerSession{}}
	for _, option := range options {
		option(client)
	}
	return client
}

// Call sends a request to a peer and waits for the reply until the context ends.
func (client *Client) Call(ctx context.Context, address string, request *exchange.Request) (*exchange.Reply, error) {
	client.Counters.Requests.Add(1)
	reply, err := client.call(ctx, address, request)
	if err != nil {
		client.Counters.Failures.Add(1)
	}
	return reply, err
}

func (client *Client) call(ctx context.Context, address string, request *exchange.Request) (*exchange.Reply, error) {
	session, err := client.session(ctx, address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to peer %s", address), ErrNotSent)
	}
	stream, err := session.OpenStream()
	if err != nil {
		client.closeSession(address, session)
		return nil, errors.Mark(errors.Wrapf(err, "open a stream to peer %s", address), ErrNotSent)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := send(stream, request); err != nil {
		client.recordFailure(ctx, address, session)
		return nil, errors.Mark(errors.Wrapf(err, "send request to peer %s", address), ErrNoReply)
	}
	reply := &exchange.Reply{}
	if err := receive(stream, reply); err != nil {
		client.recordFailure(ctx, address, session)
		return nil, errors.Mark(errors.Wrapf(err, "read reply of peer %s", address), ErrNoReply)
	}
	session.missedReplies.Store(0)
	if reply.Failure != "" {
		return nil, errors.Newf("peer %s: %s", address, reply.Failure)
	}
	return reply, nil
}

func (client *Client) session(ctx context.Context, address string) (*peerSession, error) {
	client.mu.Lock()
	session, ok := client.sessions[address]
	closed := client.closed
	client.mu.Unlock()
	if closed {
		return nil, errors.New("the peer client is closed")
	}
	if ok && !session.IsClosed() {
		return session, nil
	}
	return client.connect(ctx, address)
}

func (client *Client) connect(ctx context.Context, address string) (*peerSession, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := client.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	session, err := yamux.Client(conn, muxConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	if other, ok := client.sessions[address]; ok && !other.IsClosed() {
		session.Close()
		return other, nil
	}
	if client.closed {
		session.Close()
		return nil, errors.New("the peer client is closed")
	}
	added := &peerSession{Session: session}
	client.sessions[address] = added
	return added, nil
}

// recordFailure closes a connection that broke or on which maxMissedReplies consecutive calls got no reply in time: the
// peer may have disappeared without closing the connection. One late reply does not close the connection, since other
// calls are in progress on it.
func (client *Client) recordFailure(ctx context.Context, address string, session *peerSession) {
	if ctx.Err() != nil && session.missedReplies.Add(1) < maxMissedReplies {
		return
	}
	client.closeSession(address, session)
}

func (client *Client) closeSession(address string, session *peerSession) {
	client.mu.Lock()
	if client.sessions[address] == session {
		delete(client.sessions, address)
	}
	client.mu.Unlock()
	session.Close()
}

// Close closes all connections.
func (client *Client) Close() {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.closed = true
	for _, session := range client.sessions {
		session.Close()
	}
}
