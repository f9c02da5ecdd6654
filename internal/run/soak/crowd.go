package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"hazelslip/platform/standin"
)

const (
	// crowdStream selects a random stream for misbehaving clients that is independent of the plan's.
	crowdStream = 49
	// crowdInterval is the mean time between two crowds, maxCrowd the number of clients in one, and maxCrowdTime how long
	// a client stays.
	crowdInterval = 2 * time.Second
	maxCrowd      = 40
	maxCrowdTime  = 4 * time.Second
	// crowdBytes is the most that a client sends.
	crowdBytes = 2 << 20
	// nodeMemoryBytes is the memory limit of each node.
	nodeMemoryBytes = 512 << 20
	// resourceInterval is the interval at which the use of memory is read.
	resourceInterval = 200 * time.Millisecond
)

// offences are what misbehaving clients send: a start, and a part that is repeated.
var offences = []struct{ start, rest string }{
	{"", ""},
	{"POST /ping/1 HTTP/1.1\r\nHost: " + standin.Host + "\r\nA: ", ""},
	{"POST /ping/1 HTTP/1.1\r\nHost: " + standin.Host + "\r\n", "a:\r\n"},
	{"POST /ping/1 HTTP/1.1\r\nHost: " + standin.Host + "\r\nA: ", "xxxx"},
	{"", "\r\n"},
	{standin.ChunkedHead("crowd"), "1\r\nx\r\n"},
}

// runCrowds lets crowds of clients misbehave at random nodes until the context ends.
func (runner *runner) runCrowds(ctx context.Context, random *rand.Rand) {
	crowds := conc.WaitGroup{}
	defer crowds.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() * float64(crowdInterval))):
		}
		port := []int{callerPort, callerPort, readinessPort, operatorPort}[random.IntN(4)]
		address, offence := runner.fleet.nodeAddress(random.IntN(runner.options.Nodes), port), offences[random.IntN(len(offences))]
		stay := time.Duration(random.Float64() * float64(maxCrowdTime))
		for range 1 + random.IntN(maxCrowd) {
			crowds.Go(func() { misbehave(ctx, address, offence.start, offence.rest, stay) })
		}
	}
}

// misbehave sends an offence over one connection, which stays open for a time unless the node closes it.
func misbehave(ctx context.Context, address, start, rest string, stay time.Duration) {
	until := time.Now().Add(stay)
	conn, err := net.DialTimeout("tcp", address, maxCrowdTime)
	if err != nil {
		// The node may be down.
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	_ = conn.SetDeadline(until)
	if _, err := conn.Write([]byte(start)); err != nil {
		return
	}
	if part := []byte(strings.Repeat(rest, 512)); len(part) > 0 {
		for sent := 0; sent < crowdBytes; sent += len(part) {
			if _, err := conn.Write(part); err != nil {
				return
			}
		}
	}
	// The connection stays open until the node closes it or the deadline passes.
	_, _ = conn.Read(make([]byte, 1))
}

// watchMemory records each node whose memory exceeds its limit.
func (runner *runner) watchMemory(ctx context.Context, node int) {
	for ctx.Err() == nil {
		if used := residentBytes(runner.fleet.nodes[node].pid()); used > nodeMemoryBytes {
			runner.recordViolation("node %d holds %d MB of memory, of %d", node+1, used>>20, nodeMemoryBytes>>20)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(resourceInterval):
		}
	}
}

// residentBytes returns the largest resident memory that a process has had, or 0 if it has ended.
func residentBytes(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	used, err := strconv.Atoi(kilobytes)
	if err != nil {
		return 0
	}
	return used << 10
}
