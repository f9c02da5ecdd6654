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

func dialTCP(address string, within time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: within, KeepAlive: -1}
	connection, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	setUserTimeout(connection, userTimeout)
	return connection, nil
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged. Without
// it a connection to a host that lost power hangs for minutes. A platform that
// refuses the option leaves the package's own deadlines, which are shorter
// wherever a caller waits.
func setUserTimeout(connection net.Conn, timeout time.Duration) {
	raw := rawOf(connection)
	if raw == nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

func rawOf(connection net.Conn) syscall.RawConn {
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

// quiet says whether an idle connection is still open with nothing to read.
// A closed one would take the call's bytes and lose them, after which nobody
// could tell whether the call ran; and bytes that wait belong to no call of
// ours.
func quiet(connection net.Conn) bool {
	raw := rawOf(connection)
	if raw == nil {
		return true
	}
	waiting := false
	err := raw.Read(func(descriptor uintptr) bool {
		one := []byte{0}
		_, _, err := unix.Recvfrom(int(descriptor), one, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = err == unix.EAGAIN
		return true
	})
	return err == nil && waiting
}

// inlineBody is up to which length a body is copied behind its head, so that both leave in
// one packet. Longer ones are written from where they are: a copy of each body under way
// would double what the node holds for calls.
const inlineBody = 16 << 10

// encode returns a call as one message with a length, whatever way the caller
// sent it, so that no server can take part of a body for another call.
func encode(call *Call, header http.Header) net.Buffers {
	message := &bytes.Buffer{}
	inline := len(call.Body) <= inlineBody
	if inline {
		message.Grow(512 + len(call.Body))
	}
	message.WriteString(call.Method)
	message.WriteByte(' ')
	message.WriteString(call.Target)
	message.WriteString(" HTTP/1.1\r\nHost: ")
	message.WriteString(call.Host)
	message.WriteString("\r\n")
	// Writes to a buffer don't fail.
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
