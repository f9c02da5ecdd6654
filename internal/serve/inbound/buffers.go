package inbound

import (
	"net"

	"golang.org/x/sys/unix"
)

const (
	// receiveBufferBytes bounds the kernel's buffer for what a client sends and the node doesn't read yet. Left to itself
	// the kernel grows it to megabytes, which count towards the memory of the process.
	receiveBufferBytes = 64 << 10
	// sendBufferBytes bounds the kernel's buffer for responses. maxUnsentBytes bounds the part of it that the client has no
	// room for, so that a client that doesn't read makes the kernel hold little, and a distant one still gets a full
	// window.
	sendBufferBytes = 128 << 10
	maxUnsentBytes  = 16 << 10
)

// BoundBuffers bounds what the kernel holds for a client. If the kernel rejects a size, its own limit applies.
func BoundBuffers(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetReadBuffer(receiveBufferBytes)
	_ = tcp.SetWriteBuffer(sendBufferBytes)
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}
