// Package crowd_test sends requests that break the limits of HTTP or of the operator to the processes of a deployment.
//
// Each test starts a node and a stand-in of the platform on loopback, and lets a small crowd of clients send such
// requests to one of the node's addresses. The node's limits are lowered so that the crowd would exceed them. The
// verdicts don't depend on the speed of the machine: the process lives, its memory and descriptors stay within its
// limits, and one ordinary request is answered afterwards.
package crowd_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"hazelslip/platform/standin"
)

// The crowd.
const (
	clients = 32
	rounds  = 3
	// clientTimeout bounds each step of a client. A client that is held that long goes on with its next step.
	clientTimeout = 5 * time.Second
)

// Sizes of what a client sends in one round.
const (
	// limitBytes is max_header_bytes of the stand-in's configuration.
	limitBytes = 16 << 10
	// overLimitBytes is the size of a head above the limit.
	overLimitBytes = 1 << 20
	// endlessBytes is the most that a client sends that would never end.
	endlessBytes = 16 << 20
)

// misbehaviour is what a client sends: the start, the rest again and again up to a size, and the end, which is sent
// once all clients of the crowd have sent what comes before it.
type misbehaviour struct {
	name  string
	start string
	// rest returns the part of the given number.
	rest func(number int) string
	size int
	end  string
}

// headEnd ends a head.
const headEnd = "\r\n"

// requestStart begins a request that the node forwards if it accepts the head.
var requestStart = fmt.Sprintf("POST /ping/1 HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nX-Hazelslip-Attempt-Id: crowd\r\n"+
	"X-Hazelslip-Deadline-Ms: 2000\r\nApi-Key: %s\r\n", standin.Host, standin.APIKey)

// shortField returns one of many short header fields with different names.
func shortField(number int) string { return fmt.Sprintf("%x:\r\n", number) }

func repeat(text string) func(int) string { return func(int) string { return text } }

var longPart = strings.Repeat("x", 4<<10)

var misbehaviours = []misbehaviour{
	{name: "whole heads of many fields within the limit", start: requestStart, rest: shortField, size: limitBytes - len(requestStart) - len(headEnd), end: headEnd},
	{name: "whole heads of many fields over the limit", start: requestStart, rest: shortField, size: overLimitBytes, end: headEnd},
	{name: "whole heads of one field over the limit", start: requestStart + "A: ", rest: repeat(longPart), size: overLimitBytes, end: "\r\n" + headEnd},
	{name: "fields without end", start: requestStart, rest: shortField, size: endlessBytes},
	{name: "a field without end", start: requestStart + "A: ", rest: repeat(longPart), size: endlessBytes},
	{name: "a request line without end", start: "POST /ping/", rest: repeat(longPart), size: endlessBytes},
	{name: "empty lines without end before a request", rest: repeat(strings.Repeat("\r\n", 2<<10)), size: endlessBytes},
	{name: "empty lines without end after a request", start: "GET /v1/readyz HTTP/1.1\r\nHost: demo.example\r\n\r\n", rest: repeat(strings.Repeat("\r\n", 2<<10)), size: endlessBytes},
}

// parts yields what a client sends before the end, in parts of some KB.
func (misbehaviour *misbehaviour) parts(yield func(part []byte) bool) {
	part, size := bytes.NewBufferString(misbehaviour.start), 0
	for number := 0; size < misbehaviour.size; number++ {
		rest := misbehaviour.rest(number)
		size += len(rest)
		if size > misbehaviour.size {
			break
		}
		part.WriteString(rest)
		if part.Len() >= len(longPart) {
			if !yield(part.Bytes()) {
				return
			}
			part.Reset()
		}
	}
	yield(part.Bytes())
}

// barrier lets clients wait for each other.
type barrier struct {
	arrivals sync.WaitGroup
}

// arrive waits until all clients have arrived.
func (barrier *barrier) arrive() {
	barrier.arrivals.Done()
	barrier.arrivals.Wait()
}

// misbehave sends a request and reads until the node closes the connection or nothing comes for clientTimeout. Errors
// are expected: a node may refuse the request and close the connection at any point. The connection stays open until
// all clients are done.
func (misbehaviour *misbehaviour) misbehave(address string, sent, done *barrier) {
	conn, err := net.DialTimeout("tcp", address, clientTimeout)
	if err == nil {
		defer conn.Close()
		for part := range misbehaviour.parts {
			_ = conn.SetWriteDeadline(time.Now().Add(clientTimeout))
			if _, err = conn.Write(part); err != nil {
				break
			}
		}
	}
	sent.arrive()
	if err == nil && misbehaviour.end != "" {
		_ = conn.SetWriteDeadline(time.Now().Add(clientTimeout))
		_, err = io.WriteString(conn, misbehaviour.end)
	}
	if err == nil {
		_ = conn.SetReadDeadline(time.Now().Add(clientTimeout))
		_, _ = io.Copy(io.Discard, conn)
	}
	done.arrive()
}

// runCrowd lets all clients misbehave at once, in several rounds.
func (misbehaviour *misbehaviour) runCrowd(address string) {
	for range rounds {
		sent, done := &barrier{}, &barrier{}
		sent.arrivals.Add(clients)
		done.arrivals.Add(clients)
		crowd := conc.WaitGroup{}
		for range clients {
			crowd.Go(func() { misbehaviour.misbehave(address, sent, done) })
		}
		crowd.Wait()
	}
}

// checkCrowds lets a crowd misbehave in each way at an address of a node.
func checkCrowds(t *testing.T, start func(t *testing.T) *system, address string) {
	t.Helper()
	for number := range misbehaviours {
		misbehaviour := &misbehaviours[number]
		t.Run(misbehaviour.name, func(t *testing.T) { checkCrowd(t, start, address, misbehaviour) })
	}
}

// checkCrowd lets a crowd misbehave in one way, and checks the node's life, memory and descriptors, and that it serves an
// ordinary request afterwards.
func checkCrowd(t *testing.T, start func(t *testing.T) *system, address string, misbehaviour *misbehaviour) {
	t.Helper()
	expect := gomega.NewWithT(t)
	system := start(t)
	idle, used := system.node.peakMemory(), &usage{}
	stop := used.watch(system)
	misbehaviour.runCrowd(address)
	err := system.answered("afterwards")
	memory := system.node.peakMemory()
	stop()
	t.Logf("memory %d KB (%d KB before the crowd), %d KB in buffers of sockets, %d descriptors", memory>>10, idle>>10, used.queued>>10, used.descriptors)
	expect.Expect(system.node.alive()).To(gomega.BeTrue(), "the process has ended")
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(system.readiness()).To(gomega.Equal(http.StatusOK))
	expect.Expect(memory+used.queued).To(gomega.BeNumerically("<=", memoryMB<<20), "memory")
	expect.Expect(used.descriptors).To(gomega.BeNumerically("<=", maxDescriptors), "descriptors")
}

// A crowd at the callers' address must not exhaust the node's memory.
func TestHeadsAtCallerAddressStayWithinMemory(t *testing.T) {
	checkCrowds(t, startGateway, nodeAddress(callerPort))
}

// A crowd at the load balancer's address must not exhaust the node's memory.
func TestHeadsAtReadinessAddressStayWithinMemory(t *testing.T) {
	checkCrowds(t, startGateway, nodeAddress(readinessPort))
}

// A crowd at the operator's address must not exhaust the node's memory.
func TestHeadsAtOperatorAddressStayWithinMemory(t *testing.T) {
	checkCrowds(t, startGateway, nodeAddress(operatorPort))
}

// A crowd at the address for detours of other nodes must not exhaust the node's memory.
func TestHeadsAtDetourAddressStayWithinMemory(t *testing.T) {
	checkCrowds(t, startGateway, nodeAddress(detourPort))
}

// A crowd at the other nodes' address must not exhaust the node's memory.
func TestHeadsAtPeerAddressStayWithinMemory(t *testing.T) {
	checkCrowds(t, startGateway, nodeAddress(peerPort))
}

// A crowd at the callers' address of a node with the project's own interface must not exhaust the node's memory.
func TestHeadsAtOwnCallerAddressStayWithinMemory(t *testing.T) {
	checkCrowds(t, startOwnNode, ownAddress(ownCallerPort))
}

// A crowd at the operator's address of a node with the project's own interface must not exhaust the node's memory.
func TestHeadsAtOwnOperatorAddressStayWithinMemory(t *testing.T) {
	checkCrowds(t, startOwnNode, ownAddress(ownOperatorPort))
}

// A crowd at the other nodes' address of a node with the project's own interface must not exhaust the node's memory.
func TestHeadsAtOwnPeerAddressStayWithinMemory(t *testing.T) {
	checkCrowds(t, startOwnNode, ownAddress(ownPeerPort))
}
