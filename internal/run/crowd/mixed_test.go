package crowd_test

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"hazelslip/platform/standin"
)

// draftLines are the header lines of a stream.
const draftLines = "X-Hazelslip-Model-Id: " + standin.SmallModel + "\r\nX-Hazelslip-Token-Usage: 900,3000\r\nContent-Length: 0\r\n"

// mixed are ways to make a node hold memory at the same time: heads, bodies, responses that nobody reads, and streams.
var mixed = []misbehaviour{
	{name: "heads", start: requestStart, rest: shortField, size: limitBytes - len(requestStart) - len(headEnd)},
	{name: "bodies", start: kept("Content-Length: 1000000\r\n"), rest: repeat(longPart), size: 995_000},
	{name: "responses", rest: repeat(strings.Repeat(kept("Content-Length: 0\r\n"), 20)), size: 1 << 20},
	{name: "streams", rest: repeat(request(standin.Draft, "crowd", draftLines)), size: 1 << 20},
}

// All that clients can make a node hold, at the same time, must not exhaust its memory.
func TestMixedCrowdStaysWithinMemory(t *testing.T) {
	expect := gomega.NewWithT(t)
	system := startGateway(t)
	used := &usage{}
	stop := used.watch(system)
	crowd := conc.WaitGroup{}
	for number := range mixed {
		crowd.Go(func() { mixed[number].runCrowd(nodeAddress(callerPort)) })
	}
	crowd.Wait()
	err := system.answered("afterwards")
	memory := system.node.peakMemory()
	stop()
	t.Logf("memory %d KB, %d KB in buffers of sockets, %d descriptors", memory>>10, used.queued>>10, used.descriptors)
	expect.Expect(system.node.alive()).To(gomega.BeTrue(), "the process has ended")
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(memory+used.queued).To(gomega.BeNumerically("<=", memoryMB<<20), "memory")
	expect.Expect(used.descriptors).To(gomega.BeNumerically("<=", maxDescriptors), "descriptors")
}
