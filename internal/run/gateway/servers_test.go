package gateway

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/serve/inbound"
	"hazelslip/internal/state/configuration"
)

// The operator's limits must be in force for callers and for detours, and change with a new version. Before any, no client
// within the operator's limits may meet one.
func TestOperatorLimitsAreInForce(t *testing.T) {
	expect := gomega.NewWithT(t)
	node := idleNode(t)
	expect.Expect(node.callerLimits().OrDefaults()).To(gomega.Equal(inbound.Limits{}.OrDefaults()))
	for version, limits := range []inbound.Limits{
		{MaxHeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		{MaxHeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second},
	} {
		inForce := configuration.Limits{MaxHeaderBytes: limits.MaxHeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
		expect.Expect(node.configuration.StoreIfNewer(&configuration.Configuration{Version: int64(version + 1), Limits: inForce})).To(gomega.BeTrue())
		expect.Expect(node.callerLimits()).To(gomega.Equal(limits))
		detours := node.detourLimits()
		expect.Expect(detours.MaxHeaderBytes).To(gomega.BeNumerically(">", limits.MaxHeaderBytes+4<<10))
		expect.Expect(detours.IdleTimeout).To(gomega.Equal(detourIdleTimeout))
	}
}

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
