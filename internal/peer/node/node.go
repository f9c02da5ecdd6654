// Package node carries questions between the nodes of the system: one TCP
// connection to each peer that is asked, yamux streams over it, and on each
// stream one length-prefixed protobuf request and its reply.
//
// A failure to ask is an error and proves nothing about the other node. The
// package decides nothing about who is alive.
//
// # Usage
//
//	server := node.NewServer(listener, meter.Wrap, func(ctx context.Context, request *exchange.Request) *exchange.Reply { ... })
//	server.Start()
//	client := node.NewClient()
//	reply, err := client.Ask(ctx, "127.0.0.1:7300", request)
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

	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/wire/exchange"
)

const (
	maxMessageBytes = 8 << 20
	dialTimeout     = time.Second
	// streamTimeout bounds one question at the answering side, so that a peer
	// that stops half way does not hold memory.
	streamTimeout = 40 * time.Second
	writeTimeout  = 5 * time.Second
	maxStrikes    = 3
)

// Errors of a peer. Use errors.Is.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("the peer could not be connected to")
	// ErrNoReply means that the request was sent and no reply came.
	ErrNoReply = errors.New("the peer did not reply")
)

// Traffic counts requests. All fields only grow.
type Traffic struct {
	Requests  atomic.Uint64
	Failures  atomic.Uint64
	BadFrames atomic.Uint64
}

func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.ConnectionWriteTimeout = writeTimeout
	return config
}

// Answerer answers one request of a peer.
type Answerer func(ctx context.Context, request *exchange.Request) *exchange.Reply

// Server answers the questions of peers.
type Server struct {
	*lifecycle.Component
	listener net.Listener
	wrap     func(net.Conn) net.Conn
	answer   Answerer
	Traffic  Traffic

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
}

// NewServer returns a server that answers through the function, which is
// called from many goroutines. Each accepted connection goes through wrap.
func NewServer(listener net.Listener, wrap func(net.Conn) net.Conn, answer Answerer) *Server {
	return &Server{Component: lifecycle.New("peers"), listener: listener, wrap: wrap, answer: answer, sessions: map[*yamux.Session]struct{}{}}
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
		session, err := yamux.Server(server.wrap(conn), muxConfig())
		if err != nil {
			conn.Close()
			continue
		}
		if !server.keep(session) {
			session.Close()
			return
		}
		server.Go(func() { server.serve(session) })
	}
}

func (server *Server) keep(session *yamux.Session) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	select {
	case <-server.Stopping:
		return false
	default:
		server.sessions[session] = struct{}{}
		return true
	}
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
		server.Traffic.BadFrames.Add(1)
		return
	}
	server.Traffic.Requests.Add(1)
	ctx, cancel := server.ContextWithTimeout(streamTimeout)
	defer cancel()
	if err := send(stream, server.answer(ctx, request)); err != nil {
		server.Traffic.Failures.Add(1)
	}
}

// Stop closes the listener and every connection and waits for the answers
// that are under way.
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

// Client asks peers. Its zero value is not usable; call NewClient.
type Client struct {
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Traffic Traffic

	mu       sync.Mutex
	sessions map[string]*link
	closed   bool
}

// link is the connection to one peer. Strikes counts the questions in a row
// that got no reply in time.
type link struct {
	*yamux.Session
	strikes atomic.Int32
}

// Option changes how a Client is built.
type Option func(*Client)

// Dial makes the client connect through the given function.
func Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(client *Client) { client.dial = dial }
}

// NewClient returns a client of peers.
func NewClient(options ...Option) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	client := &Client{dial: dialer.DialContext, sessions: map[string]*link{}}
	for _, option := range options {
		option(client)
	}
	return client
}

// Ask sends a request and waits for its reply until the context ends.
func (client *Client) Ask(ctx context.Context, address string, request *exchange.Request) (*exchange.Reply, error) {
	client.Traffic.Requests.Add(1)
	reply, err := client.ask(ctx, address, request)
	if err != nil {
		client.Traffic.Failures.Add(1)
	}
	return reply, err
}

func (client *Client) ask(ctx context.Context, address string, request *exchange.Request) (*exchange.Reply, error) {
	session, err := client.session(ctx, address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to peer %s", address), ErrNotSent)
	}
	stream, err := session.OpenStream()
	if err != nil {
		client.drop(address, session)
		return nil, errors.Mark(errors.Wrapf(err, "open a stream to peer %s", address), ErrNotSent)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := send(stream, request); err != nil {
		client.strike(ctx, address, session)
		return nil, errors.Mark(errors.Wrapf(err, "ask peer %s", address), ErrNoReply)
	}
	reply := &exchange.Reply{}
	if err := receive(stream, reply); err != nil {
		client.strike(ctx, address, session)
		return nil, errors.Mark(errors.Wrapf(err, "reply of peer %s", address), ErrNoReply)
	}
	session.strikes.Store(0)
	if reply.Failure != "" {
		return nil, errors.Newf("peer %s: %s", address, reply.Failure)
	}
	return reply, nil
}

func (client *Client) session(ctx context.Context, address string) (*link, error) {
	client.mu.Lock()
	session, ok := client.sessions[address]
	closed := client.closed
	client.mu.Unlock()
	if closed {
		return nil, errors.New("the client is closed")
	}
	if ok && !session.IsClosed() {
		return session, nil
	}
	return client.connect(ctx, address)
}

func (client *Client) connect(ctx context.Context, address string) (*link, error) {
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
		return nil, errors.New("the client is closed")
	}
	found := &link{Session: session}
	client.sessions[address] = found
	return found, nil
}

// strike gives up a connection that broke, or on which several questions in a
// row got no reply: its peer may be gone without a word. One late reply alone
// does not end it, since other questions are under way on the same connection.
func (client *Client) strike(ctx context.Context, address string, session *link) {
	if ctx.Err() != nil && session.strikes.Add(1) < maxStrikes {
		return
	}
	client.drop(address, session)
}

func (client *Client) drop(address string, session *link) {
	client.mu.Lock()
	if client.sessions[address] == session {
		delete(client.sessions, address)
	}
	client.mu.Unlock()
	session.Close()
}

// Close ends every connection.
func (client *Client) Close() {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.closed = true
	for _, session := range client.sessions {
		session.Close()
	}
}
