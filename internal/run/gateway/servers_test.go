package gateway

import (
	"testing"

	"github.com/onsi/gomega"

	"hazelslip/internal/serve/inbound"
)

// The connections of clients must leave a server's connection for each request in progress, and fit into the machine.
func TestConnectionLimitsFitTheMachine(t *testing.T) {
	expect := gomega.NewWithT(t)
	for _, machine := range []Limits{
		{MemoryBytes: 184 << 20, MaxDescriptors: 4100},
		{MemoryBytes: 284 << 20, MaxDescriptors: 4200},
		{MemoryBytes: 536 << 20, MaxDescriptors: 8192},
		{MemoryBytes: 1048 << 20, MaxDescriptors: 16384},
		{MemoryBytes: 64 << 20, MaxDescriptors: 400},
	} {
		limits, sockets := machine.connLimits(), inbound.Sockets(machine.MaxDescriptors)
		expect.Expect(2*(limits.Callers+limits.Detours)+limits.Peers).To(gomega.BeNumerically("<=", sockets), "%+v", machine)
		expect.Expect(limits.Callers*connBytes).To(gomega.BeNumerically("<=", machine.MemoryBytes/connMemoryDivisor), "%+v", machine)
		t.Logf("%d MB, %d descriptors: %+v", machine.MemoryBytes>>20, machine.MaxDescriptors, limits)
	}
}
