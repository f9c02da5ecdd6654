package sibling_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/peer/sibling"
	"hazelslip/internal/wire/frame"
)

// pipeNetwork is an in-memory network with one listener.
type pipeNetwork struct {
	conns chan net.Conn
	done  chan struct{}
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (network *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case conn := <-network.conns:
		return conn, nil
	case <-network.done:
		return nil, net.ErrClosed
	}
}

func (network *pipeNetwork) Close() error {
	close(network.done)
	return nil
}

func (network *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

func (network *pipeNetwork) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	clientSide, serverSide := net.Pipe()
	select {
	case network.conns <- serverSide:
		return clientSide, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func encodeFrame(sequence uint64) []byte {
	body, err := proto.Marshal(&frame.Frame{Sequence: sequence})
	if err != nil {
		panic(err)
	}
	return body
}

// echo returns each received frame to the sender.
func echo(conn *sibling.Conn) {
	for {
		received, err := conn.Receive(time.Hour)
		if err != nil {
			return
		}
		if err := conn.Send(encodeFrame(received.Sequence), time.Second); err != nil {
			return
		}
	}
}

// Guards against frames that are lost, reordered or sent over more than one connection.
func TestConnectionCarriesFramesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		network := newPipeNetwork()
		server := sibling.NewServer(network, echo)
		server.Start()
		conn, err := sibling.Connect(network.dial, "peer", time.Second)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		for sequence := range uint64(5) {
			expect.Expect(conn.Send(encodeFrame(sequence), time.Second)).To(gomega.Succeed())
			received, err := conn.Receive(time.Second)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(received.Sequence).To(gomega.Equal(sequence))
		}
		conn.Close()
		server.Stop()
		expect.Expect(server.Accepted.Load()).To(gomega.Equal(uint64(1)))
	})
}

// Guards against a server that does not stop while it and its peers wait for frames. Stop must return immediately and
// leave no goroutine that polls: with yamux, a stream that was being read kept the only core busy and the node never
// stopped.
func TestStopEndsPendingReceives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		network := newPipeNetwork()
		server := sibling.NewServer(network, echo)
		server.Start()
		conn, err := sibling.Connect(network.dial, "peer", time.Second)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		failed := make(chan error, 1)
		go func() {
			_, err := conn.Receive(time.Hour)
			failed <- err
		}()
		synctest.Wait()
		startedAt := time.Now()
		server.Stop()
		expect.Expect(errors.Is(<-failed, sibling.ErrConnectionEnded)).To(gomega.BeTrue())
		expect.Expect(time.Since(startedAt)).To(gomega.BeZero())
		conn.Close()
	})
}

// Guards against a receiver that waits longer than its timeout for a node that has become unresponsive without closing
// the connection, possibly in the middle of a frame.
func TestReceiveTimesOutOnUnresponsiveNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		network := newPipeNetwork()
		server := sibling.NewServer(network, func(conn *sibling.Conn) {
			_, _ = conn.Receive(time.Hour)
		})
		server.Start()
		conn, err := sibling.Connect(network.dial, "peer", time.Second)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		startedAt := time.Now()
		_, err = conn.Receive(700 * time.Millisecond)
		expect.Expect(errors.Is(err, sibling.ErrConnectionEnded)).To(gomega.BeTrue())
		expect.Expect(time.Since(startedAt)).To(gomega.Equal(700 * time.Millisecond))
		conn.Close()
		server.Stop()
	})
}

// Guards against a frame whose announced length exceeds maxFrameBytes. Reading such a frame would let any sender make the
// node allocate an arbitrary amount of memory.
func TestOversizedFrameEndsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		network := newPipeNetwork()
		ended := make(chan error, 1)
		server := sibling.NewServer(network, func(conn *sibling.Conn) {
			_, err := conn.Receive(time.Hour)
			ended <- err
		})
		server.Start()
		conn, err := network.dial(t.Context(), "tcp", "peer")
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = conn.Write([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(<-ended).To(gomega.HaveOccurred())
		conn.Close()
		server.Stop()
	})
}

// Guards against memory that is allocated for the length that an unknown client announces. Later frames may be long.
func TestFirstFrameIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		network := newPipeNetwork()
		server := sibling.NewServer(network, echo)
		server.Start()
		long, err := proto.Marshal(&frame.Frame{Configuration: make([]byte, 1<<20)})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		for _, introduced := range []bool{false, true} {
			conn, err := sibling.Connect(network.dial, "peer", time.Second)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			if introduced {
				expect.Expect(conn.Send(encodeFrame(1), time.Second)).To(gomega.Succeed())
				_, err = conn.Receive(time.Second)
				expect.Expect(err).NotTo(gomega.HaveOccurred())
			}
			sent := conn.Send(long, time.Second)
			if !introduced {
				expect.Expect(sent).To(gomega.HaveOccurred())
			} else {
				expect.Expect(sent).To(gomega.Succeed())
				_, err = conn.Receive(time.Second)
				expect.Expect(err).NotTo(gomega.HaveOccurred())
			}
			conn.Close()
		}
		server.Stop()
	})
}

// Guards against clients that hold connections without introducing themselves, so that no node can connect. The oldest of
// them gives way; a connection that carries frames stays.
func TestSilentConnectionsGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		network := newPipeNetwork()
		server := sibling.NewServer(network, echo, sibling.MaxConns(3))
		server.Start()
		exchange := func(conn *sibling.Conn) error {
			if err := conn.Send(encodeFrame(1), time.Second); err != nil {
				return err
			}
			_, err := conn.Receive(time.Second)
			return err
		}
		connect := func() *sibling.Conn {
			conn, err := sibling.Connect(network.dial, "peer", time.Second)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			synctest.Wait()
			return conn
		}
		established, silent := connect(), []*sibling.Conn{}
		expect.Expect(exchange(established)).To(gomega.Succeed())
		for range 10 {
			silent = append(silent, connect())
		}
		second, third := connect(), connect()
		expect.Expect(exchange(second)).To(gomega.Succeed())
		expect.Expect(exchange(third)).To(gomega.Succeed())
		expect.Expect(exchange(established)).To(gomega.Succeed())
		// All connections carry frames now, so a new one is closed.
		expect.Expect(exchange(connect())).NotTo(gomega.Succeed())
		expect.Expect(exchange(established)).To(gomega.Succeed())
		for _, conn := range append(silent, established, second, third) {
			conn.Close()
		}
		server.Stop()
	})
}
