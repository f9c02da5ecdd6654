package crowd_test

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"hazelslip/platform/standin"
)

const (
	// silentClients is more than the node has descriptors.
	silentClients = 600
	// reconnects is how often a client whose connection was closed opens another one.
	reconnects     = 20
	reconnectPause = 50 * time.Millisecond
)

// stayConnected keeps a connection open that sends the text and then nothing, until the test leaves.
func stayConnected(address, text string, connected *barrier, leaving <-chan struct{}) {
	arrived := false
	arrive := func() {
		if !arrived {
			arrived = true
			connected.arrivals.Done()
		}
	}
	defer arrive()
	for range reconnects {
		conn, err := net.DialTimeout("tcp", address, clientTimeout)
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(text))
		arrive()
		closed, waiting := make(chan struct{}), conc.WaitGroup{}
		waiting.Go(func() {
			defer close(closed)
			_, _ = conn.Read(make([]byte, 1))
		})
		select {
		case <-closed:
		case <-leaving:
		}
		conn.Close()
		waiting.Wait()
		select {
		case <-leaving:
			return
		case <-time.After(reconnectPause):
		}
	}
}

// checkSilentConnections lets a crowd hold connections at an address, and checks that the node serves meanwhile and
// afterwards.
func checkSilentConnections(t *testing.T, port int, text string) {
	t.Helper()
	expect := gomega.NewWithT(t)
	system := startGateway(t)
	used := &usage{}
	stop := used.watch(system)
	connected, leaving, crowd := &barrier{}, make(chan struct{}), conc.WaitGroup{}
	connected.arrivals.Add(silentClients)
	for range silentClients {
		crowd.Go(func() { stayConnected(nodeAddress(port), text, connected, leaving) })
	}
	connected.arrivals.Wait()
	during := system.answered("during")
	ready, readyErr := system.readiness()
	close(leaving)
	crowd.Wait()
	after := system.answered("afterwards")
	memory := system.node.peakMemory()
	stop()
	t.Logf("memory %d KB, %d KB in buffers of sockets, %d descriptors", memory>>10, used.queued>>10, used.descriptors)
	expect.Expect(system.node.alive()).To(gomega.BeTrue(), "the process has ended")
	expect.Expect(during).NotTo(gomega.HaveOccurred(), "while the crowd is connected")
	expect.Expect(readyErr).NotTo(gomega.HaveOccurred())
	expect.Expect(ready).To(gomega.Equal(http.StatusOK))
	expect.Expect(after).NotTo(gomega.HaveOccurred())
	expect.Expect(memory+used.queued).To(gomega.BeNumerically("<=", memoryMB<<20), "memory")
	// A descriptor that is opened must find one free.
	expect.Expect(used.descriptors).To(gomega.BeNumerically("<", maxDescriptors), "descriptors")
}

// listeners are the addresses of a gateway node.
var listeners = []struct {
	name string
	port int
}{{"callers", callerPort}, {"readiness", readinessPort}, {"operator", operatorPort}, {"detours", detourPort}, {"peers", peerPort}}

// halfHead is the beginning of a head.
const halfHead = "POST /ping/1 HTTP/1.1\r\nHost: demo.example\r\nA: "

// Connections that send nothing must leave the node the descriptors that it needs.
func TestSilentConnectionsLeaveDescriptors(t *testing.T) {
	for _, listener := range listeners {
		t.Run(listener.name, func(t *testing.T) { checkSilentConnections(t, listener.port, "") })
	}
}

// Connections that stop in the middle of a head must leave the node the descriptors that it needs.
func TestHalfHeadsLeaveDescriptors(t *testing.T) {
	for _, listener := range listeners {
		t.Run(listener.name, func(t *testing.T) { checkSilentConnections(t, listener.port, halfHead) })
	}
}

// A node must stop within its grace time while a crowd is connected, and must report no failure.
func TestStopEndsWithCrowdConnected(t *testing.T) {
	expect := gomega.NewWithT(t)
	system := startGateway(t)
	connected, leaving, crowd := &barrier{}, make(chan struct{}), conc.WaitGroup{}
	connected.arrivals.Add(2 * clients)
	for range clients {
		crowd.Go(func() { stayConnected(nodeAddress(callerPort), "", connected, leaving) })
		crowd.Go(func() { stayConnected(nodeAddress(callerPort), halfHead, connected, leaving) })
	}
	connected.arrivals.Wait()
	expect.Expect(system.node.command.Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
	select {
	case <-system.node.ended:
	case <-time.After(standin.DefaultBounds().Grace):
	}
	ended := !system.node.alive()
	close(leaving)
	crowd.Wait()
	expect.Expect(ended).To(gomega.BeTrue(), "the process runs after its grace time")
	expect.Expect(system.node.command.ProcessState.Success()).To(gomega.BeTrue(), system.node.command.ProcessState.String())
}
