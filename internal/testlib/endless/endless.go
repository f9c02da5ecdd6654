// Package endless is the other end of a connection that sends bytes without end, as a broken server does, until its peer
// closes the connection.
//
// # Usage
//
//	sender := endless.New("HTTP/1.1 200 OK\r\nA: ", "xxxx")
//	client.Dial = func() (net.Conn, error) { return sender.Conn, nil }
//	written := sender.Wait()
package endless

import (
	"io"
	"net"

	"github.com/sourcegraph/conc"
)

// Sender sends bytes without end over a connection in memory. Conn is the end of its peer.
type Sender struct {
	Conn net.Conn

	running *conc.WaitGroup
	written int
}

// New returns a Sender that writes the start once and the rest again and again. What its peer writes is discarded.
func New(start, rest string) *Sender {
	near, far := net.Pipe()
	sender := &Sender{Conn: near, running: conc.NewWaitGroup()}
	sender.running.Go(func() { _, _ = io.Copy(io.Discard, far) })
	sender.running.Go(func() {
		for part := start; ; part = rest {
			n, err := io.WriteString(far, part)
			sender.written += n
			if err != nil {
				return
			}
		}
	})
	return sender
}

// Wait waits until the peer has closed the connection, and returns the number of bytes that it has read.
func (sender *Sender) Wait() int {
	sender.running.Wait()
	return sender.written
}
