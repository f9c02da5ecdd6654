package sibling_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/peer/sibling"
	"hazelslip/internal/wire/exchange"
)

// pipes is a network in memory with one listener.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
	// broken makes new connections take everything and say nothing.
	broken bool
}

func newPipes() *pipes {
	return &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (pipes *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-pipes.conns:
		return conn, nil
	case <-pipes.done:
		return nil, net.ErrClosed
	}
}

func (pipes *pipes) Close() error {
	close(pipes.done)
	return nil
}

func (pipes *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (pipes *pipes) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	if pipes.broken {
		go func() { _, _ = far.Read(make([]byte, 1<<16)) }()
		return near, nil
	}
	select {
	case pipes.conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func echo(request *exchange.Request) *exchange.Reply {
	return &exchange.Reply{Incarnation: request.Incarnation}
}

func TestQuestionsFollowEachOtherOnOneConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		network := newPipes()
		server := sibling.NewServer(network, echo)
		server.Start()
		link := sibling.NewLink("peer", network.dial)
		for number := range 5 {
			reply, err := link.Ask(&exchange.Request{Incarnation: uint64(number)}, time.Second)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(reply.Incarnation).To(gomega.Equal(uint64(number)))
		}
		link.Close()
		server.Stop()
	})
}

// A node is told to stop while its peers wait for answers and it waits for
// theirs. It must end at once, with no goroutine left that polls: over yamux a
// stream under read kept the only core, and the node never ended.
func TestStopEndsWhatIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		network := newPipes()
		held := make(chan struct{})
		server := sibling.NewServer(network, func(request *exchange.Request) *exchange.Reply {
			<-held
			return echo(request)
		})
		server.Start()
		link := sibling.NewLink("peer", network.dial)
		failed := make(chan error, 1)
		go func() {
			_, err := link.Ask(&exchange.Request{Incarnation: 1}, time.Hour)
			failed <- err
		}()
		synctest.Wait()
		began := time.Now()
		link.Close()
		expect.Expect(<-failed).To(gomega.HaveOccurred())
		expect.Expect(time.Since(began)).To(gomega.BeZero())
		close(held)
		server.Stop()
	})
}

// A peer went silent without closing the connection. The question ends in time,
// and the next one goes over a new connection.
func TestSilentPeerIsConnectedToAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		network := newPipes()
		server := sibling.NewServer(network, echo)
		server.Start()
		link := sibling.NewLink("peer", network.dial)
		network.broken = true
		_, err := link.Ask(&exchange.Request{Incarnation: 1}, time.Second)
		expect.Expect(err).To(gomega.HaveOccurred())
		network.broken = false
		_, err = link.Ask(&exchange.Request{Incarnation: 2}, time.Second)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		link.Close()
		server.Stop()
	})
}

// The connections between nodes are reset, or go silent while new ones work.
// Each node took its relay for dead at the first question after that, and all of
// a data centre wandered from one to the next. A question on a kept connection
// that fails is asked again on a new one, and the peer never seems to be gone.
func TestQuestionOnABrokenConnectionIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		network := newPipes()
		server := sibling.NewServer(network, echo)
		server.Start()
		var last net.Conn
		link := sibling.NewLink("peer", func(ctx context.Context, kind, address string) (net.Conn, error) {
			conn, err := network.dial(ctx, kind, address)
			last = conn
			return conn, err
		})
		for question := range 3 {
			reply, err := link.Ask(&exchange.Request{Incarnation: uint64(question)}, time.Second)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(reply.Incarnation).To(gomega.Equal(uint64(question)))
			expect.Expect(last.Close()).To(gomega.Succeed())
		}
		link.Close()
		server.Stop()
	})
}
