package gateway

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"hazelslip/internal/serve/inbound"
)

const (
	// callerWriteTimeout is how long a write may make no progress before the caller's connection fails. Over
	// TCP the effective limit is a few times longer, because the caller's kernel still accepts a little data
	// now and then. The kernel reports freed space to the writer only once a part of the send buffer is free:
	// with a timeout of 15 s, a caller that read 2 KB/s was disconnected.
	callerWriteTimeout = time.Minute
)

// newCallerListener wraps a listener so that each accepted connection has bounded buffers and a timeout for stalled
// writes.
func newCallerListener(listener net.Listener) net.Listener {
	return &callerListener{Listener: listener}
}

type callerListener struct {
	net.Listener
}

// Accept returns the next caller's connection.
func (listener *callerListener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	inbound.BoundBuffers(accepted)
	return &callerConn{Conn: accepted}, nil
}

// callerConn fails a write once the caller has read nothing for callerWriteTimeout. A caller that reads at
// least a byte within that time is never disconnected, however long the whole write takes.
type callerConn struct {
	net.Conn
}

// Write returns once the whole buffer is written, or with an error if the caller stalls.
func (conn *callerConn) Write(buffer []byte) (int, error) {
	written, unsent := 0, unknownSize
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
			return written, err
		}
		n, err := conn.Conn.Write(buffer[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || written == len(buffer) {
			return written, err
		}
		// The kernel accepts more only when a third of its buffer is free. A shrinking amount of unsent data
		// therefore shows that a slow caller still reads.
		previouslyUnsent := unsent
		unsent = conn.unsentBytes()
		if n == 0 && (unsent == unknownSize || (previouslyUnsent != unknownSize && unsent >= previouslyUnsent)) {
			return written, err
		}
	}
}

// CloseWrite closes the write side of the connection, as net.TCPConn does. net/http calls it after a response
// to a request whose body was not read to its end.
func (conn *callerConn) CloseWrite() error {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets whether Close resets the connection, which a time of 0 seconds asks for, as for a net.TCPConn.
func (conn *callerConn) SetLinger(seconds int) error {
	if tcp, ok := conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// unknownSize is the result of unsentBytes when the kernel doesn't report the size.
const unknownSize = -1

// unsentBytes returns how many bytes the kernel holds that the caller has not acknowledged, or unknownSize.
func (conn *callerConn) unsentBytes() int {
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return unknownSize
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return unknownSize
	}
	unsent := unknownSize
	_ = control.Control(func(descriptor uintptr) {
		if queued, err := unix.IoctlGetInt(int(descriptor), unix.TIOCOUTQ); err == nil {
			unsent = queued
		}
	})
	return unsent
}
