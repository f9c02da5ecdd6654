// Package tcpreset lets the reader of a connection tell a reset from a close.
//
// The kernel reports a reset once, to the call on the connection that comes first. If that is a write, later reads return
// io.EOF, as they do after the peer has closed the connection in order. A response without framing ends with its
// connection, so its reader would take a part of it for the whole.
//
// # Usage
//
//	conn := tcpreset.NewConn(dialled)
//	n, err := conn.Read(buffer) // io.EOF only after the peer closed the connection
package tcpreset

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// HidesReset reports whether reads after a write that failed with err return io.EOF although the peer has not closed the
// connection. EPIPE is the error of a connection that the peer had closed before it was reset.
func HidesReset(err error) bool {
	return err != nil && !errors.IsAny(err, os.ErrDeadlineExceeded, syscall.EPIPE)
}

// Conn is a connection on which Read returns the error of a write that hides a reset in place of io.EOF. One goroutine
// may write while another one reads.
type Conn struct {
	net.Conn

	// mu is held while Write is in progress. It guards hidden, the error of a write that hides a reset.
	mu     sync.Mutex
	hidden error
}

// NewConn returns a Conn that owns the given connection.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// Write writes to the connection.
func (conn *Conn) Write(buffer []byte) (int, error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	n, err := conn.Conn.Write(buffer)
	if conn.hidden == nil && HidesReset(err) {
		conn.hidden = errors.Wrap(err, "the connection failed during a write")
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the peer closed the connection.
func (conn *Conn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	if errors.Is(err, io.EOF) && conn.closed() {
		// A write in progress has failed already, so this does not wait for the peer.
		conn.mu.Lock()
		defer conn.mu.Unlock()
		if conn.hidden != nil {
			err = conn.hidden
		}
	}
	return n, err
}

// tcpClose is the state of a connection that was reset, TCP_CLOSE in the kernel.
const tcpClose = 7

// closed reports whether the connection has no open direction any more. That includes a connection that this process has
// closed meanwhile, as net/http does after a failed write.
func (conn *Conn) closed() bool {
	descriptor, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpClose
	})
	return err != nil || closed
}
