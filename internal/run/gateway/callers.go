package gateway

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// callerStall is how long a caller may take nothing at all of what is written to it. Over
	// TCP it is some times as long, since the caller's kernel takes a little more now and then.
	// A kernel tells the sender of freed room only when a part of its buffer is free:
	// with 15 s a caller that read 2 KB a second was cut.
	callerStall = time.Minute
	// callerBuffer bounds what the kernel takes of an answer for a caller that doesn't read;
	// it may grow to megabytes otherwise, which count for the process's limit as well.
	callerBuffer = 128 << 10
)

// boundCallers bounds what callers' connections make the node hold.
func boundCallers(listener net.Listener) net.Listener {
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
	if tcp, ok := accepted.(*net.TCPConn); ok {
		// Where it is refused, the kernel's own bound stays.
		_ = tcp.SetWriteBuffer(callerBuffer)
	}
	return &callerConn{Conn: accepted}, nil
}

// callerConn ends a write of which the caller takes nothing for callerStall. A caller that
// takes a byte in that time is never cut, however long the whole takes.
type callerConn struct {
	net.Conn
}

// Write returns once everything was taken.
func (conn *callerConn) Write(buffer []byte) (int, error) {
	written, unsent := 0, unknown
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(callerStall)); err != nil {
			return written, err
		}
		n, err := conn.Conn.Write(buffer[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || written == len(buffer) {
			return written, err
		}
		// The kernel takes more only when a third of its buffer is free, so what it still
		// holds tells whether a slow caller takes anything.
		before := unsent
		unsent = conn.unsent()
		if n == 0 && (unsent == unknown || (before != unknown && unsent >= before)) {
			return written, err
		}
	}
}

// CloseWrite ends what is written to the caller, as the connection itself does: an answer to a body that isn't
// read to its end is followed by that.
func (conn *callerConn) CloseWrite() error {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// unknown stands for a count of bytes that can't be had.
const unknown = -1

// unsent returns how many bytes the kernel still holds for the caller.
func (conn *callerConn) unsent() int {
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return unknown
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return unknown
	}
	held := unknown
	_ = control.Control(func(descriptor uintptr) {
		if queued, err := unix.IoctlGetInt(int(descriptor), unix.TIOCOUTQ); err == nil {
			held = queued
		}
	})
	return held
}
