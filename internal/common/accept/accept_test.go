package accept_test

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/accept"
)

// listener returns the errors and then connections, and is closed after them.
type listener struct {
	net.Listener
	errors      int
	connections int
}

func (listener *listener) Accept() (net.Conn, error) {
	switch {
	case listener.errors > 0:
		listener.errors--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	case listener.connections > 0:
		listener.connections--
		near, _ := net.Pipe()
		return near, nil
	}
	return nil, net.ErrClosed
}

// A lack of descriptors must not end the loop, and must not make it spin.
func TestErrorsThatPassDoNotEndTheLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		began, reported, accepted := time.Now(), 0, 0
		accept.Loop(&listener{errors: 20, connections: 3}, func(pause time.Duration) bool {
			time.Sleep(pause)
			return true
		}, func(error) { reported++ }, func(conn net.Conn) bool {
			conn.Close()
			accepted++
			return true
		})
		expect.Expect(accepted).To(gomega.Equal(3))
		expect.Expect(reported).To(gomega.Equal(1))
		expect.Expect(time.Since(began)).To(gomega.BeNumerically(">", 10*time.Second))
	})
}

// A loop whose owner stops must end, whatever its listener returns.
func TestStopEndsTheLoop(t *testing.T) {
	expect := gomega.NewWithT(t)
	failing := &listener{errors: 1 << 20}
	accept.Loop(failing, func(time.Duration) bool { return false }, func(error) {}, func(net.Conn) bool { return true })
	expect.Expect(failing.errors).To(gomega.Equal(1<<20 - 1))
}
