package backendserver

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	connection, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	setUserTimeout(connection, tcpUserTimeout)
	return connection, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent bytes may stay unacknowledged. Without it a
// connection to a host that lost power hangs for minutes. If a platform rejects the option, the package's own
// deadlines still apply; they are shorter wherever a caller waits.
func setUserTimeout(connection net.Conn, timeout time.Duration) {
	raw := rawConn(connection)
	if raw == nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

func rawConn(connection net.Conn) syscall.RawConn {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// isReusable reports whether an idle connection is still open and has no unread bytes. A connection that the server
// has closed would accept the call's bytes and lose them, and whether the call was executed would be unknown. Unread
// bytes belong to no call of this node.
func isReusable(connection net.Conn) bool {
	raw := rawConn(connection)
	if raw == nil {
		return true
	}
	wouldBlock := false
	err := raw.Read(func(descriptor uintptr) bool {
		buffer := []byte{0}
		_, _, err := unix.Recvfrom(int(descriptor), buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		wouldBlock = err == unix.EAGAIN
		return true
	})
	return err == nil && wouldBlock
}

// maxInlineBody is the length up to which a body is copied after its head, so that both are sent in one packet. Longer
// bodies are written without a copy, since a copy of each body in flight would double the memory that calls use.
const maxInlineBody = 16 << 10

// encode returns a call as one message with a Content-Length, regardless of how the caller framed the body, so that no
// server can interpret a part of the body as another call.
func encode(call *Call, header http.Header) net.Buffers {
	message := &bytes.Buffer{}
	inline := len(call.Body) <= maxInlineBody
	if inline {
		message.Grow(512 + len(call.Body))
	}
	message.WriteString(call.Method)
	message.WriteByte(' ')
	message.WriteString(call.Target)
	message.WriteString(" HTTP/1.1\r\nHost: ")
	message.WriteString(call.Host)
	message.WriteString("\r\n")
	// Writes to a bytes.Buffer do not fail.
	_ = header.Write(message)
	if len(call.Body) > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		message.WriteString("Content-Length: ")
		message.WriteString(strconv.Itoa(len(call.Body)))
		message.WriteString("\r\n")
	}
	message.WriteString("\r\n")
	if inline {
		message.Write(call.Body)
		return net.Buffers{message.Bytes()}
	}
	return net.Buffers{message.Bytes(), call.Body}
}
