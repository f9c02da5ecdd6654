package inbound

import (
	"bytes"
	"container/list"
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

// Conn is the connection of a client.
type Conn struct {
	net.Conn
	address *Address

	// serving is set while a request is handled. What is read then belongs to its body.
	serving atomic.Bool
	// headSince is the sweep at which the first byte of a head was read, 0 if none was.
	headSince atomic.Int64

	// The address's lock guards element, waitingSince and refusal. The element is the connection's place in the list of
	// the address, nil once the connection is closed. refusal is the reason for which no further request is accepted.
	element      *list.Element
	waitingSince int64
	refusal      error

	// headBytes, headCost and reservation belong to the goroutine that serves the connection. They describe what was
	// read of the head.
	headBytes, headCost int
	framing             framing
	reservation         memory.Reservation
}

// beginRequest notes that a head has been read. Only then is the connection safe from being closed.
func (conn *Conn) beginRequest() {
	conn.address.mu.Lock()
	defer conn.address.mu.Unlock()
	if conn.refusal == nil {
		conn.serving.Store(true)
	}
}

// inProgress reports whether the connection was safe when its request began.
func (conn *Conn) inProgress() bool {
	return conn.serving.Load()
}

// endRequest prepares for the next request.
func (conn *Conn) endRequest() {
	conn.reservation.Release()
	conn.headBytes, conn.headCost, conn.framing = 0, 0, framing{}
	conn.headSince.Store(0)
	conn.address.mu.Lock()
	defer conn.address.mu.Unlock()
	if conn.element != nil {
		conn.waitingSince = conn.address.guard.sweeps.Load()
		conn.address.conns.MoveToBack(conn.element)
	}
	conn.serving.Store(false)
}

// Close closes the connection.
func (conn *Conn) Close() error {
	conn.address.mu.Lock()
	defer conn.address.mu.Unlock()
	return conn.closeLocked()
}

func (conn *Conn) closeLocked() error {
	err := conn.Conn.Close()
	if conn.element != nil {
		conn.address.conns.Remove(conn.element)
		conn.element = nil
	}
	return err
}

// Read reads from the client. It refuses a head that is over a limit and returns an error upon which net/http closes the
// connection without a response of its own.
func (conn *Conn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	if conn.serving.Load() {
		return n, err
	}
	reason := conn.countHead(buffer[:n])
	if reason == nil && err != nil {
		reason = conn.lateness()
	}
	if reason == nil {
		return n, err
	}
	conn.refuse(reason, buffer)
	return 0, &net.OpError{Op: "read", Net: "tcp", Addr: conn.RemoteAddr(), Err: reason}
}

// lateness returns errHeadTooSlow if the connection was woken up for that.
func (conn *Conn) lateness() error {
	conn.address.mu.Lock()
	defer conn.address.mu.Unlock()
	if errors.Is(conn.refusal, errHeadTooSlow) {
		return conn.refusal
	}
	return nil
}

// countHead counts a part of a head, and returns the reason if the head must be refused.
func (conn *Conn) countHead(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	address := conn.address
	if conn.headBytes == 0 {
		conn.headSince.Store(address.guard.sweeps.Load())
	}
	conn.headBytes += len(part)
	conn.framing.scan(part)
	limits := address.limits().OrDefaults()
	if conn.headBytes > limits.MaxHeaderBytes+readAheadBytes {
		address.Counts.HeadsTooLarge.Add(1)
		return conn.reject(LimitHeaderBytes, errHeadTooLarge)
	}
	conn.headCost += headByteCost*len(part) + headLineCost*bytes.Count(part, []byte{'\n'})
	if !conn.reservation.Grow(int64(conn.headCost-ordinaryHeadCost) - conn.reservation.Bytes()) {
		conn.reservation.RecordRefusal()
		address.Counts.HeadsOutOfMemory.Add(1)
		return conn.reject(LimitHeadMemory, errOutOfMemory)
	}
	return nil
}

// reject records that a limit refuses the request, and returns the reason.
func (conn *Conn) reject(limit Limit, reason error) error {
	conn.address.mu.Lock()
	defer conn.address.mu.Unlock()
	conn.refusal = reason
	conn.address.recordLocked(limit, conn)
	return reason
}

// refuse responds that the request has not run, and reads on for a moment so that the client gets the response.
func (conn *Conn) refuse(reason error, buffer []byte) {
	conn.reservation.Release()
	status, header := http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %.3f\r\n", memoryRetryDelay.Seconds())
	switch {
	case errors.Is(reason, errHeadTooLarge):
		status, header = http.StatusRequestHeaderFieldsTooLarge, ""
	case errors.Is(reason, errHeadTooSlow):
		status, header = http.StatusRequestTimeout, ""
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
