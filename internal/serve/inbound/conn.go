package inbound

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/policy/memory"
)

// headAccount is the account of the memory budget for heads. They are not assigned to a workspace yet.
const headAccount = "(heads of requests)"

const (
	// readAheadBytes is the buffer of net/http, which may read so many bytes past the end of a head.
	readAheadBytes = 4 << 10
	// headByteCost and headLineCost are the bytes of memory for each byte and each line of a head: parsed by net/http,
	// and copied once for the call to a server. A line of a few bytes takes a map entry and a slice in each.
	headByteCost = 2
	headLineCost = 256
	// ordinaryHeadCost is the cost up to which a head is always accepted. It is a part of what a connection takes and is
	// not counted in the budget, so that a crowd with large heads does not crowd out ordinary requests.
	ordinaryHeadCost = 16 << 10
)

const (
	// refusalLinger and refusalLingerBytes bound how long and how much a connection is still read after a refusal. Closing
	// a connection with unread bytes resets it, which may destroy the refusal.
	refusalLinger      = 500 * time.Millisecond
	refusalLingerBytes = 256 << 10
	// refusalWriteTimeout bounds writing a refusal. It fits into any send buffer that is empty.
	refusalWriteTimeout = 500 * time.Millisecond
	// memoryRetryDelay is the delay after which a client whose head did not fit is asked to retry.
	memoryRetryDelay = 400 * time.Millisecond
)

var (
	errHeadTooLarge = errors.New("the head of the request is over the limit")
	errOutOfMemory  = errors.New("the head of the request does not fit into the memory budget")
)

// Conn is the connection of an HTTP client. Its goroutine at the server is the only one that reads a head and calls
// TrackState.
type Conn struct {
	net.Conn
	guard  *Guard
	limits func() Limits
	// serving is set while a request is handled. What is read then belongs to its body.
	serving atomic.Bool
	// headBytes and headCost describe what was read of the head.
	headBytes, headCost int
	reservation         memory.Reservation
}

// awaitHead prepares for the next request.
func (conn *Conn) awaitHead() {
	conn.reservation.Release()
	conn.headBytes, conn.headCost = 0, 0
	conn.serving.Store(false)
}

// Read reads from the client. It refuses a head that is over a limit and returns an error upon which net/http closes the
// connection without a response of its own.
func (conn *Conn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	if n == 0 || conn.serving.Load() {
		return n, err
	}
	if reason := conn.countHead(buffer[:n]); reason != nil {
		conn.refuse(reason, buffer)
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: conn.RemoteAddr(), Err: reason}
	}
	return n, err
}

// countHead counts a part of a head, and returns the reason if the head must be refused.
func (conn *Conn) countHead(part []byte) error {
	limits := conn.limits()
	conn.headBytes += len(part)
	if conn.headBytes > limits.maxHeaderBytes()+readAheadBytes {
		conn.guard.Counts.HeadsTooLarge.Add(1)
		return errHeadTooLarge
	}
	conn.headCost += headByteCost*len(part) + headLineCost*bytes.Count(part, []byte{'\n'})
	if !conn.reservation.Grow(int64(conn.headCost-ordinaryHeadCost) - conn.reservation.Bytes()) {
		conn.reservation.RecordRefusal()
		conn.guard.Counts.HeadsOutOfMemory.Add(1)
		return errOutOfMemory
	}
	return nil
}

// refuse responds that the request has not run, and reads on for a moment so that the client gets the response.
func (conn *Conn) refuse(reason error, buffer []byte) {
	conn.reservation.Release()
	status, header := http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %.3f\r\n", memoryRetryDelay.Seconds())
	if errors.Is(reason, errHeadTooLarge) {
		status, header = http.StatusRequestHeaderFieldsTooLarge, ""
	}
	_ = conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, err := fmt.Fprintf(conn.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), header)
	if err != nil || conn.CloseWrite() != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(refusalLinger))
	for discarded := 0; discarded < refusalLingerBytes; {
		n, err := conn.Conn.Read(buffer)
		if discarded += n; err != nil {
			return
		}
	}
}

// CloseWrite closes the write side of the connection, as net.TCPConn does. net/http calls it after a response to a
// request whose body was not read to its end.
func (conn *Conn) CloseWrite() error {
	if half, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets whether Close resets the connection, as for a net.TCPConn.
func (conn *Conn) SetLinger(seconds int) error {
	if resettable, ok := conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return resettable.SetLinger(seconds)
	}
	return nil
}
