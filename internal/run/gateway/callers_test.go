package gateway

import (
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a caller that reads slowly and is cut, and against one that takes nothing and
// keeps its place at a server for ever.
func TestOnlyCallersThatTakeNothingAreCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		near, far := net.Pipe()
		conn := &callerConn{Conn: near}
		read := make(chan struct{})
		go func() {
			defer close(read)
			for range 200 {
				time.Sleep(callerStall - time.Second)
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
		expect.Expect(time.Since(began)).To(gomega.Equal(callerStall))
	})
}

// Guards against what a slow caller takes of the kernel's buffer that isn't seen, since the kernel
// lets a writer go on only when a third of the buffer is free.
func TestWhatTheKernelHoldsForACallerIsSeen(t *testing.T) {
	expect := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer caller.Close()
	accepted, err := boundCallers(listener).Accept()
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer accepted.Close()
	conn := accepted.(*callerConn)
	expect.Expect(conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))).To(gomega.Succeed())
	taken, err := conn.Conn.Write(make([]byte, 64<<20))
	expect.Expect(err).To(gomega.MatchError(os.ErrDeadlineExceeded))
	held := conn.unsent()
	expect.Expect(held).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", 1<<20)))
	_, err = io.CopyN(io.Discard, caller, int64(taken-held/2))
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Eventually(conn.unsent).WithTimeout(5 * time.Second).Should(gomega.BeNumerically("<", held))
}
