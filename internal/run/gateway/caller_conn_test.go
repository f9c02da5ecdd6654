package gateway

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against disconnecting a caller that reads slowly, and against a caller that reads nothing and
// occupies a server's slot forever.
func TestWriteTimesOutOnlyForStalledCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		near, far := net.Pipe()
		conn := &callerConn{Conn: near}
		read := make(chan struct{})
		go func() {
			defer close(read)
			for range 200 {
				time.Sleep(callerWriteTimeout - time.Second)
				_, _ = io.ReadFull(far, make([]byte, 1))
			}
		}()
		began := time.Now()
		n, err := conn.Write(make([]byte, 200))
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(n).To(gomega.Equal(200))
		expect.Expect(time.Since(began)).To(gomega.BeNumerically(">", 40*time.Minute))
		<-read
		began = time.Now()
		_, err = conn.Write(make([]byte, 200))
		expect.Expect(err).To(gomega.MatchError(os.ErrDeadlineExceeded))
		expect.Expect(time.Since(began)).To(gomega.Equal(callerWriteTimeout))
	})
}

// Guards against missing the progress of a slow caller: it drains the kernel's send buffer, but the kernel
// unblocks the writer only when a third of that buffer is free.
func TestUnsentBytesTracksKernelSendQueue(t *testing.T) {
	expect := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer caller.Close()
	accepted, err := newCallerListener(listener).Accept()
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer accepted.Close()
	conn := accepted.(*callerConn)
	expect.Expect(conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))).To(gomega.Succeed())
	written, err := conn.Conn.Write(make([]byte, 64<<20))
	expect.Expect(err).To(gomega.MatchError(os.ErrDeadlineExceeded))
	queued := conn.unsentBytes()
	expect.Expect(queued).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", 1<<20)))
	_, err = io.CopyN(io.Discard, caller, int64(written-queued/2))
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Eventually(conn.unsentBytes).WithTimeout(5 * time.Second).Should(gomega.BeNumerically("<", queued))
}

// Guards against a connection that ends cleanly although it was to be reset.
func TestCallerConnectionCanBeReset(t *testing.T) {
	expect := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer caller.Close()
	accepted, err := newCallerListener(listener).Accept()
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(accepted.(*callerConn).SetLinger(0)).To(gomega.Succeed())
	expect.Expect(accepted.Close()).To(gomega.Succeed())
	_, err = io.ReadAll(caller)
	expect.Expect(err).To(gomega.MatchError(syscall.ECONNRESET))
}
