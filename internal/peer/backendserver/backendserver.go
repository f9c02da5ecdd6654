// Package backendserver sends calls to backend servers over kept connections
// and tells, of every call that fails, whether the server may have run it.
//
// The package has its own pool in place of http.Transport, because the
// transport decides two things that must be decided here: it sends a GET again
// by itself when a kept connection breaks, which runs a call twice, and it
// can't say whether a byte of a failed call had left. Requests and answers are
// read and written by net/http.
//
// A connection carries one call at a time and goes back to the pool only after
// the whole answer was read, with nothing left over. Before it is used again it
// is looked at: one that the server closed, or on which bytes came that nobody
// asked for, is thrown away.
//
// # Usage
//
//	pool := backendserver.New(backendserver.Codec{Encode: encode, Decode: decode})
//	reply, err := pool.Send(call)
//	switch {
//	case errors.Is(err, backendserver.ErrNotSent): // may be sent elsewhere
//	case err != nil: // may have run
//	}
//	defer reply.Close()
package backendserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a call. Use errors.Is.
var (
	// ErrNotSent means that no byte of the call left this process.
	ErrNotSent = errors.New("the call was not sent")
	// ErrNotOpened means that it wasn't since no connection was opened.
	ErrNotOpened = errors.New("no connection was opened")
	// ErrNotKept means that it should have gone over an open connection, and there is none.
	ErrNotKept = errors.New("no connection is open")
	// ErrNoAnswer means that the call was sent, at least in part, and no whole
	// head of an answer came.
	ErrNoAnswer = errors.New("the call was sent and got no answer")
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
	// Server is the ID of the server that the call is for. A server that took
	// over the address refuses it.
	Server string
	// Workspace is empty on routes that ask for no key.
	Workspace string
	// Left is how long the caller will wait from now; 0 is unknown.
	Left time.Duration
	// Urgency ranks the call at the server, 0 the most urgent.
	Urgency int
	// After is the last event that the caller has, where Continues is set.
	After     int64
	Continues bool
	// Cancel, when set, is given a function that ends the call at once from
	// another goroutine. It is called before anything is sent.
	Cancel func(end func())
	// Kept sends the call over an open connection or not at all.
	Kept bool
	// Opened, when set, is told that a new connection was opened for the call.
	Opened func()
	// Admit, when set, is asked just before the call is written, and ends it by an error:
	// connecting takes a while, in which the server may have said that it wants no more.
	Admit func() error
	// Heard, when set, is told of the head of each answer that comes, also of one that
	// belongs to an earlier call.
	Heard func(status int, verdict *Verdict)
}

// dialTime is how long connecting may take: not all of what the caller has
// left, so that another server can still be tried.
func (call *Call) dialTime() time.Duration {
	if call.Left <= 0 {
		return dialTimeout
	}
	return min(dialTimeout, call.Left/dialPart)
}

// Verdict is what the head of an answer says.
type Verdict struct {
	// NotRun means that the server did not run the call and never will.
	NotRun bool
	// WrongServer means that another server has the address, or that the group
	// is not there.
	WrongServer bool
	// Other marks an answer that belongs to another call.
	Other bool
	// Culprit names the server at fault for a refusal, if the server says so.
	Culprit string
	// KeepAlive is how long the server keeps the connection; 0 if it didn't say.
	KeepAlive time.Duration
	Said      Said
}

// Codec speaks for the pool: names of headers and what they mean.
type Codec struct {
	// Encode returns the headers to send.
	Encode func(call *Call) http.Header
	// Decode reads the head of an answer.
	Decode func(call *Call, status int, header http.Header) Verdict
}

// Timeouts and limits of a connection.
const (
	// dialTimeout bounds connecting. Within a region it takes a few
	// milliseconds; a lost first packet comes again only after a second, by
	// which time another server has answered.
	dialTimeout = 400 * time.Millisecond
	// dialPart is the part of the caller's time that connecting may take, as a
	// divisor.
	dialPart = 3
	// userTimeout ends a connection whose sent bytes are not acknowledged: a
	// host that lost power answers nothing.
	userTimeout = 3 * time.Second
	// writeTimeout bounds sending. A call fits into the buffers of a connection
	// unless its body is long and the server doesn't read it.
	writeTimeout = 2 * time.Second
	// readBuffer holds the head of an answer and some events.
	readBuffer = 2 << 10
	// idleUnsaid is how long an idle connection is trusted when the server
	// didn't say how long it keeps it.
	idleUnsaid = 4 * time.Second
	// idleMargin is taken off what the server said, for the way there.
	idleMargin = time.Second
	// idlePerServer bounds the idle connections to one server.
	idlePerServer = 24
	// strayAnswers is how many answers of earlier calls are skipped.
	strayAnswers = 2
)

// Counts are the pool's counters; they only grow.
type Counts struct {
	Dialled     atomic.Uint64
	Reused      atomic.Uint64
	DialFailed  atomic.Uint64
	Discarded   atomic.Uint64
	StrayAnswer atomic.Uint64
}

// Pool sends calls.
type Pool struct {
	codec  Codec
	dial   Dialler
	Counts Counts

	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	// until is when the server may close the connection for being idle.
	until time.Time
	// cut says that only a part of the last call was sent.
	cut bool
}

// Option changes how a Pool is built.
type Option func(*Pool)

// Dialler connects to an address within a time.
type Dialler func(address string, within time.Duration) (net.Conn, error)

// Dial makes the pool connect through the given function.
func Dial(dial Dialler) Option {
	return func(pool *Pool) { pool.dial = dial }
}

// ConnectWithin bounds connecting beside what a call allows.
func ConnectWithin(most time.Duration) Option {
	return func(pool *Pool) {
		dial := pool.dial
		pool.dial = func(address string, within time.Duration) (net.Conn, error) { return dial(address, min(within, most)) }
	}
}

// New returns a pool with no connections.
func New(codec Codec, options ...Option) *Pool {
	pool := &Pool{codec: codec, dial: dialTCP, idle: map[string][]*conn{}}
	for _, option := range options {
		option(pool)
	}
	return pool
}

// Reply is the head of an answer and the way to its body. Close must be
// called.
type Reply struct {
	Verdict
	Status int
	Header http.Header
	// Length is -1 where the head doesn't tell it.
	Length int64

	response *http.Response
	pool     *Pool
	conn     *conn
	address  string
	whole    bool
}

// Send sends a call and reads the head of its answer.
func (pool *Pool) Send(call *Call) (*Reply, error) {
	connection, fresh, err := pool.connection(call)
	if err != nil {
		return nil, errors.Mark(errors.Mark(errors.Wrapf(err, "connect to %s", call.Address), ErrNotOpened), ErrNotSent)
	}
	if fresh && call.Opened != nil {
		call.Opened()
	}
	if call.Cancel != nil {
		call.Cancel(func() { _ = connection.SetDeadline(longAgo) })
	}
	if call.Admit != nil {
		if err := call.Admit(); err != nil {
			pool.giveBack(call.Address, connection)
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
		return nil, errors.Mark(errors.Wrapf(err, "answer of %s", call.Address), ErrNoAnswer)
	}
	return reply, nil
}

// longAgo as a deadline ends reads and writes that are under way.
var longAgo = time.Unix(1, 0)

// write sends the call. If the first write fails without having
// taken a byte, the call provably did not leave. A server may answer before it
// has read a long body and then read no further: what was written stays at
// that, the answer is read, and the connection is not used again.
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
	connection.cut = true
	return nil
}

func (pool *Pool) read(connection *conn, call *Call) (*Reply, error) {
	asked := &http.Request{Method: call.Method}
	for stray := 0; ; {
		// Reply.Close ends the body, or the connection is closed on an error.
		response, err := http.ReadResponse(connection.reader, asked) //nolint:bodyclose // see above
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		verdict := pool.codec.Decode(call, response.StatusCode, response.Header)
		if call.Heard != nil {
			call.Heard(response.StatusCode, &verdict)
		}
		if !verdict.Other {
			return &Reply{
				Verdict: verdict, Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
				response: response, pool: pool, conn: connection, address: call.Address,
			}, nil
		}
		// A server may answer an earlier call twice; its second answer then
		// stands where ours is due. It names the call that it belongs to.
		pool.Counts.StrayAnswer.Add(1)
		stray++
		if stray > strayAnswers || response.ContentLength < 0 {
			return nil, errors.New("answers of other calls came")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
}

// Read reads the body. It returns io.EOF only after a whole body.
func (reply *Reply) Read(buffer []byte) (int, error) {
	n, err := reply.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		reply.whole = true
	}
	return n, err
}

// Framed says whether the end of the body can be told from a broken
// connection.
func (reply *Reply) Framed() bool {
	return reply.Length >= 0 || len(reply.response.TransferEncoding) > 0
}

// SetDeadline ends reads that have not returned by then.
func (reply *Reply) SetDeadline(deadline time.Time) {
	_ = reply.conn.SetReadDeadline(deadline)
}

// Abort closes the connection. It may be called from another goroutine, before Close.
func (reply *Reply) Abort() {
	reply.conn.Close()
}

// Close gives the connection back if the whole body was read, else ends it,
// at which most servers stop working on the call.
func (reply *Reply) Close() {
	reusable := reply.whole && !reply.conn.cut && reply.Framed() && !reply.response.Close && reply.conn.reader.Buffered() == 0
	if !reusable {
		reply.conn.Close()
		return
	}
	keep := idleUnsaid
	if reply.KeepAlive > 0 {
		keep = reply.KeepAlive - idleMargin
	}
	reply.pool.put(reply.address, reply.conn, keep)
}

func (pool *Pool) put(address string, connection *conn, keep time.Duration) {
	if keep <= 0 || connection.SetDeadline(time.Time{}) != nil {
		connection.Close()
		return
	}
	connection.until = time.Now().Add(keep)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if len(pool.idle[address]) >= idlePerServer {
		connection.Close()
		return
	}
	pool.idle[address] = append(pool.idle[address], connection)
}

// giveBack keeps a connection on which nothing was sent.
func (pool *Pool) giveBack(address string, connection *conn) {
	keep := idleUnsaid
	if !connection.until.IsZero() {
		keep = time.Until(connection.until)
	}
	pool.put(address, connection, keep)
}

// connection returns a connection to a server, and whether it is a new one.
func (pool *Pool) connection(call *Call) (connection *conn, fresh bool, err error) {
	address := call.Address
	for {
		connection := pool.take(address)
		if connection == nil {
			break
		}
		if time.Now().Before(connection.until) && quiet(connection.Conn) {
			pool.Counts.Reused.Add(1)
			return connection, false, nil
		}
		pool.Counts.Discarded.Add(1)
		connection.Close()
	}
	if call.Kept {
		return nil, false, ErrNotKept
	}
	pool.Counts.Dialled.Add(1)
	dialled, err := pool.dial(address, call.dialTime())
	if err != nil {
		pool.Counts.DialFailed.Add(1)
		return nil, false, err
	}
	return &conn{Conn: dialled, reader: bufio.NewReaderSize(dialled, readBuffer)}, true, nil
}

// Reaches says whether a server takes a connection within a time. One that it takes is
// kept for calls; one that it refuses shows that its host is reached.
func (pool *Pool) Reaches(address string, within time.Duration) bool {
	err := pool.open(address, within)
	return err == nil || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// Opens says whether a server takes a connection within a time, which is kept for calls.
func (pool *Pool) Opens(address string, within time.Duration) bool {
	return pool.open(address, within) == nil
}

// open connects to a server and keeps the connection.
func (pool *Pool) open(address string, within time.Duration) error {
	pool.Counts.Dialled.Add(1)
	dialled, err := pool.dial(address, within)
	if err != nil {
		pool.Counts.DialFailed.Add(1)
		return err
	}
	pool.put(address, &conn{Conn: dialled, reader: bufio.NewReaderSize(dialled, readBuffer)}, idleUnsaid)
	return nil
}

// Idle says whether there is an open connection to a server that carries no call.
func (pool *Pool) Idle(address string) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return len(pool.idle[address]) > 0
}

// take returns the connection used last, which is the least likely to have
// been closed.
func (pool *Pool) take(address string) *conn {
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

// Sweep closes idle connections that have run out, and all of those to servers
// that are not wanted any more.
func (pool *Pool) Sweep(wanted func(address string) bool) {
	now := time.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for address, idle := range pool.idle {
		kept := idle[:0]
		for _, connection := range idle {
			if now.Before(connection.until) && wanted(address) {
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

// Drop closes the idle connections to one server, after one of them went
// silent.
func (pool *Pool) Drop(address string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, connection := range pool.idle[address] {
		connection.Close()
	}
	delete(pool.idle, address)
}
