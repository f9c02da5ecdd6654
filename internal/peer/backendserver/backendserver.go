// Package backendserver sends calls to backend servers over pooled keep-alive
// connections. Its errors tell whether the server may have executed a failed call.
//
// The package has a connection pool of its own because http.Transport has two
// drawbacks: it retries a GET by itself when a keep-alive connection breaks, which
// can execute a call twice, and it does not report whether any byte of a failed
// call was sent. Headers are written, and responses are parsed, by net/http.
//
// A connection carries one call at a time and returns to the pool only after the
// whole response was read and no bytes are left over. The pool checks a connection
// before reuse and discards it if the server closed it or sent unsolicited bytes.
//
// # Usage
//
//	pool := backendserver.New(backendserver.Codec{Encode: encode, Decode: decode})
//	reply, err := pool.Send(call)
//	switch {
//	case errors.Is(err, backendserver.ErrNotSent): // may be sent to another server
//	case err != nil: // the server may have executed the call
//	}
//	defer reply.Close()
package backendserver

import (
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/responsehead"
	"hazelslip/internal/common/tcpreset"
)

// Errors of a call. Use errors.Is.
var (
	// ErrNotSent means that no byte of the call left this process.
	ErrNotSent = errors.New("the call was not sent")
	// ErrConnectFailed means that no connection to the server was available. A call that fails with it
	// also matches ErrNotSent.
	ErrConnectFailed = errors.New("could not connect to the backend server")
	// ErrNoIdleConnection means that Call.ReuseOnly is set and the pool has no usable connection to the server.
	ErrNoIdleConnection = errors.New("no connection is open")
	// ErrNoResponse means that the call was sent, at least in part, and no complete response head was received.
	ErrNoResponse = errors.New("the call was sent and got no response")
)

// Call is one call to one server.
type Call struct {
	ID      string
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	Address string
	// Server is the ID of the server that the call is for. A different server that has taken over the address
	// refuses the call.
	Server string
	// Workspace is empty on routes that require no API key.
	Workspace string
	// TimeLeft is how long the caller still waits, counted from now; 0 means unknown.
	TimeLeft time.Duration
	// Urgency is the scheduling priority of the call at the server; 0 is the most urgent.
	Urgency int
	// LastEventID is the last event that the caller has received. It is used only if Resumes is set, which
	// asks the server to continue the stream after that event.
	LastEventID int64
	Resumes     bool
	// SetCancel, if set, receives a function that aborts the call immediately from another goroutine. It is
	// called before anything is sent.
	SetCancel func(end func())
	// ReuseOnly sends the call over an idle connection or fails with ErrNoIdleConnection.
	ReuseOnly bool
	// OnConnect, if set, is called when a new connection was opened for the call.
	OnConnect func()
	// Admit, if set, is called just before the call is written. An error ends the call unsent. The check comes
	// this late because the server may have asked for no more calls while the connection was being opened.
	Admit func() error
	// OnResponseHead, if set, is called with the head of each response that is received, including one that
	// belongs to an earlier call.
	OnResponseHead func(status int, decoded *DecodedHead)
}

// dialTime returns the timeout for connecting. It is only a part of the caller's remaining time, so that another
// server can still be tried.
func (call *Call) dialTime() time.Duration {
	if call.TimeLeft <= 0 {
		return dialTimeout
	}
	return min(dialTimeout, call.TimeLeft/dialTimeDivisor)
}

// DecodedHead is the information that a response head carries.
type DecodedHead struct {
	// NotRun means that the server did not execute the call and never will.
	NotRun bool
	// WrongServer means that another server now has the address, or that the addressed group is not on this
	// server.
	WrongServer bool
	// ForOtherCall means that the response belongs to another call.
	ForOtherCall bool
	// Culprit is the server that caused a refusal; empty if the response does not name one.
	Culprit string
	// KeepAlive is how long the server keeps the idle connection open; 0 if the response does not say.
	KeepAlive time.Duration
	Signals   ServerSignals
}

// Codec translates between calls and the headers of the wire protocol.
type Codec struct {
	// Encode returns the headers to send.
	Encode func(call *Call) http.Header
	// Decode interprets a response head.
	Decode func(call *Call, status int, header http.Header) DecodedHead
}

// Timeouts and limits of a connection.
const (
	// dialTimeout bounds connecting. Connecting within a region takes a few milliseconds. TCP retransmits a lost
	// SYN only after a second, and another server can respond sooner than that.
	dialTimeout = 400 * time.Millisecond
	// dialTimeDivisor limits connecting to one third of the caller's remaining time.
	dialTimeDivisor = 3
	// tcpUserTimeout ends a connection whose sent bytes are not acknowledged, for example because the host lost
	// power.
	tcpUserTimeout = 3 * time.Second
	// writeTimeout bounds sending. A call fits into the socket buffers unless its body is long and the server
	// does not read it.
	writeTimeout = 2 * time.Second
	// readBufferSize fits a response head and some events.
	readBufferSize = 2 << 10
	// defaultIdleTimeout is how long an idle connection may be reused if the server announced no keep-alive time.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the announced keep-alive time to allow for network delay.
	idleMargin = time.Second
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 24
	// maxStrayResponses is how many responses to earlier calls are skipped before the call fails.
	maxStrayResponses = 2
	// maxStrayBytes bounds the body of such a response.
	maxStrayBytes = 1 << 20
)

// Counters count the events of a pool; they only grow. Discarded counts idle connections that were no longer usable.
// StrayResponses counts responses that belong to another call.
type Counters struct {
	Dialled        atomic.Uint64
	Reused         atomic.Uint64
	DialFailed     atomic.Uint64
	Discarded      atomic.Uint64
	StrayResponses atomic.Uint64
}

// Pool sends calls to backend servers and keeps idle connections for reuse.
type Pool struct {
	codec    Codec
	dial     DialFunc
	Counters Counters

	mu   sync.Mutex
	idle map[string][]*conn
}

// Option configures a Pool.
type Option func(*Pool)

// DialFunc connects to an address within a timeout.
type DialFunc func(address string, timeout time.Duration) (net.Conn, error)

// Dial sets the function that opens connections.
func Dial(dial DialFunc) Option {
	return func(pool *Pool) { pool.dial = dial }
}

// MaxDialTime bounds the time for connecting, in addition to the limit that follows from the call.
func MaxDialTime(limit time.Duration) Option {
	return func(pool *Pool) {
		dial := pool.dial
		pool.dial = func(address string, timeout time.Duration) (net.Conn, error) {
			return dial(address, min(timeout, limit))
		}
	}
}

// New returns a pool without connections.
func New(codec Codec, options ...Option) *Pool {
	pool := &Pool{codec: codec, dial: dialTCP, idle: map[string][]*conn{}}
	for _, option := range options {
		option(pool)
	}
	return pool
}

// Reply is a response head and a reader of its body. The caller must call Close.
type Reply struct {
	DecodedHead
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if the head does not state it.
	Length int64

	response *http.Response
	pool     *Pool
	conn     *conn
	address  string
	complete bool
}

// Send sends a call and reads the head of its response.
func (pool *Pool) Send(call *Call) (*Reply, error) {
	connection, isNew, err := pool.acquire(call)
	if err != nil {
		return nil, errors.Mark(errors.Mark(errors.Wrapf(err, "connect to %s", call.Address), ErrConnectFailed), ErrNotSent)
	}
	if isNew && call.OnConnect != nil {
		call.OnConnect()
	}
	if call.SetCancel != nil {
		call.SetCancel(func() { _ = connection.SetDeadline(pastDeadline) })
	}
	if call.Admit != nil {
		if err := call.Admit(); err != nil {
			pool.returnUnused(call.Address, connection)
			return nil, errors.Mark(errors.Wrapf(err, "send to %s", call.Address), ErrNotSent)
		}
	}
	if err := pool.write(connection, call); err != nil {
		connection.Close()
		return nil, err
	}
	reply, err := pool.read(connection, call)
	if err != nil {
		connection.Close()
		return nil, errors.Mark(errors.Wrapf(err, "answer of %s", call.Address), ErrNoResponse)
	}
	return reply, nil
}

// pastDeadline is a deadline that interrupts reads and writes in progress.
var pastDeadline = time.Unix(1, 0)

// write sends the call. If it fails before the first byte was sent, the error is ErrNotSent. A failure after that
// is not an error: a server may respond before it has read a long body and stop reading. The response is then
// still read, but the connection is not reused.
func (pool *Pool) write(connection *conn, call *Call) error {
	message := encode(call, pool.codec.Encode(call))
	_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	sent, err := message.WriteTo(connection.Conn)
	switch {
	case err == nil:
		return nil
	case sent == 0:
		return errors.Mark(errors.Wrapf(err, "send to %s", call.Address), ErrNotSent)
	}
	connection.partlySent = true
	if tcpreset.HidesReset(err) {
		connection.hiddenReset = errors.Wrapf(err, "send to %s", call.Address)
	}
	return nil
}

func (pool *Pool) read(connection *conn, call *Call) (*Reply, error) {
	request := &http.Request{Method: call.Method}
	for stray := 0; ; {
		connection.beginHead()
		// Reply.Close closes the body; after an error the connection is closed.
		response, err := http.ReadResponse(connection.reader, request) //nolint:bodyclose // see above
		if err != nil {
			return nil, err
		}
		if err := responsehead.Check(response); err != nil {
			return nil, err
		}
		if connection.lines.folded {
			return nil, errFoldedField
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		connection.unreadHead = math.MaxInt
		decoded := pool.codec.Decode(call, response.StatusCode, response.Header)
		if call.OnResponseHead != nil {
			call.OnResponseHead(response.StatusCode, &decoded)
		}
		if !decoded.ForOtherCall {
			return &Reply{
				DecodedHead: decoded, Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
				response: response, pool: pool, conn: connection, address: call.Address,
			}, nil
		}
		// A server may respond to an earlier call twice. The second response then arrives in place of the
		// response to this call. It names the call that it belongs to.
		pool.Counters.StrayResponses.Add(1)
		stray++
		if stray > maxStrayResponses || response.ContentLength < 0 || response.ContentLength > maxStrayBytes {
			return nil, errors.New("answers of other calls came")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
}

// Read reads the body. It returns io.EOF only after the complete body.
func (reply *Reply) Read(buffer []byte) (int, error) {
	n, err := reply.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		reply.complete = true
	}
	return n, err
}

// Framed reports whether the response has message framing, a length or a transfer encoding. Without framing the end
// of the body can't be distinguished from a broken connection.
func (reply *Reply) Framed() bool {
	return reply.Length >= 0 || len(reply.response.TransferEncoding) > 0
}

// SetDeadline sets the deadline for reading the body.
func (reply *Reply) SetDeadline(deadline time.Time) {
	_ = reply.conn.SetReadDeadline(deadline)
}

// Abort closes the connection. It may be called from another goroutine, before Close.
func (reply *Reply) Abort() {
	reply.conn.Close()
}

// Close returns the connection to the pool if the complete body was read. Otherwise it closes the connection, upon
// which most servers stop working on the call.
func (reply *Reply) Close() {
	reusable := reply.complete && !reply.conn.partlySent && reply.Framed() && !reply.response.Close && reply.conn.reader.Buffered() == 0
	if !reusable {
		reply.conn.Close()
		return
	}
	keep := defaultIdleTimeout
	if reply.KeepAlive > 0 {
		keep = reply.KeepAlive - idleMargin
	}
	reply.pool.putIdle(reply.address, reply.conn, keep)
}

func (pool *Pool) putIdle(address string, connection *conn, keep time.Duration) {
	if keep <= 0 || connection.SetDeadline(time.Time{}) != nil {
		connection.Close()
		return
	}
	connection.idleDeadline = time.Now().Add(keep)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if len(pool.idle[address]) >= maxIdlePerServer {
		connection.Close()
		return
	}
	pool.idle[address] = append(pool.idle[address], connection)
}

// returnUnused returns a connection to the pool on which nothing was sent.
func (pool *Pool) returnUnused(address string, connection *conn) {
	keep := defaultIdleTimeout
	if !connection.idleDeadline.IsZero() {
		keep = time.Until(connection.idleDeadline)
	}
	pool.putIdle(address, connection, keep)
}

// acquire returns an idle connection to the call's server or opens one, and reports whether the connection is new.
func (pool *Pool) acquire(call *Call) (connection *conn, isNew bool, err error) {
	address := call.Address
	for {
		connection := pool.takeIdle(address)
		if connection == nil {
			break
		}
		if time.Now().Before(connection.idleDeadline) && isReusable(connection.Conn) {
			pool.Counters.Reused.Add(1)
			return connection, false, nil
		}
		pool.Counters.Discarded.Add(1)
		connection.Close()
	}
	if call.ReuseOnly {
		return nil, false, ErrNoIdleConnection
	}
	pool.Counters.Dialled.Add(1)
	dialled, err := pool.dial(address, call.dialTime())
	if err != nil {
		pool.Counters.DialFailed.Add(1)
		return nil, false, err
	}
	return newConn(dialled), true, nil
}

// HostReachable reports whether the host of a server responds to a connection attempt within the timeout. A connection
// that is accepted is kept for calls. A refused or reset connection also shows that the host is reachable.
func (pool *Pool) HostReachable(address string, timeout time.Duration) bool {
	err := pool.Connect(address, timeout)
	return err == nil || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// CanConnect reports whether a server accepts a connection within the timeout. The connection is kept for calls.
func (pool *Pool) CanConnect(address string, timeout time.Duration) bool {
	return pool.Connect(address, timeout) == nil
}

// Connect opens a new connection to a server and adds it to the pool.
func (pool *Pool) Connect(address string, timeout time.Duration) error {
	pool.Counters.Dialled.Add(1)
	dialled, err := pool.dial(address, timeout)
	if err != nil {
		pool.Counters.DialFailed.Add(1)
		return err
	}
	pool.putIdle(address, newConn(dialled), defaultIdleTimeout)
	return nil
}

// HasIdle reports whether the pool has an idle connection to a server.
func (pool *Pool) HasIdle(address string) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return len(pool.idle[address]) > 0
}

// takeIdle removes and returns the most recently used idle connection, which is the least likely to have been closed.
func (pool *Pool) takeIdle(address string) *conn {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	idle := pool.idle[address]
	if len(idle) == 0 {
		return nil
	}
	connection := idle[len(idle)-1]
	idle[len(idle)-1] = nil
	pool.idle[address] = idle[:len(idle)-1]
	return connection
}

// Sweep closes the idle connections that have passed their idle deadline and all those to servers that are no longer
// wanted.
func (pool *Pool) Sweep(wanted func(address string) bool) {
	now := time.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for address, idle := range pool.idle {
		kept := idle[:0]
		for _, connection := range idle {
			if now.Before(connection.idleDeadline) && wanted(address) {
				kept = append(kept, connection)
				continue
			}
			connection.Close()
		}
		if len(kept) == 0 {
			delete(pool.idle, address)
			continue
		}
		pool.idle[address] = kept
	}
}

// CloseIdle closes the idle connections to one server. It is used after one of the connections became unresponsive.
func (pool *Pool) CloseIdle(address string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, connection := range pool.idle[address] {
		connection.Close()
	}
	delete(pool.idle, address)
}
