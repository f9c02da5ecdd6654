package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/fabric"
	"hazelslip/internal/peer/engine"
	"hazelslip/internal/policy/repair"
)

// pausedDomain returns a controller and the groups of a domain of three servers and a free one. The reports of
// all but one member are fresh.
func pausedDomain(now time.Duration, lastRead, unresponsiveSince time.Duration) (*Controller, *Snapshot, []fabric.ServerStatus) {
	servers := []fabric.ServerStatus{}
	for number := range 4 {
		address := fmt.Sprint(number)
		status := fabric.ServerStatus{FabricDomain: "fabric", Address: address, RequestedAt: now - 50*time.Millisecond, Report: engine.Report{Address: address, State: engine.StateIdle}}
		if number < 3 {
			status.Report.State, status.Report.Group, status.Report.Model, status.Report.Members = engine.StateReady, 7, "drafting", []string{"0", "1", "2"}
		}
		servers = append(servers, status)
	}
	servers[2].RequestedAt, servers[2].UnresponsiveSince = lastRead, unresponsiveSince
	clock := func() time.Duration { return now }
	controller := &Controller{
		Now: clock, Grace: DefaultGrace, IdlePrice: 1, history: map[uint64]*groupHistory{}, observed: newObservations(clock),
		Models: func() []repair.Model { return []repair.Model{{Name: "drafting", Size: 3, DowntimePrice: 100}} },
	}
	return controller, Assemble(&fabric.Snapshot{Domains: map[string][]fabric.ServerStatus{"fabric": servers}}, now), servers
}

// Guards against a group that is retired at once because nobody has read the report of a member for a while: the node
// was stopped, or has just taken over the domain. Only a read that failed is silence of the member.
func TestReportThatNobodyReadIsNoSilence(t *testing.T) {
	const now = time.Hour
	cases := map[string]struct {
		lastRead, unresponsiveSince time.Duration
		retired                     bool
	}{
		"not read for 20 s":   {lastRead: now - 20*time.Second},
		"silent for 2 s":      {lastRead: now - 20*time.Second, unresponsiveSince: now - 2*time.Second},
		"silent for a minute": {lastRead: now - time.Minute, unresponsiveSince: now - time.Minute, retired: true},
	}
	for name, member := range cases {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			controller, snapshot, servers := pausedDomain(now, member.lastRead, member.unresponsiveSince)
			group, known := snapshot.Find(7)
			expect.Expect(known).To(gomega.BeTrue())
			expect.Expect(group.Serving).To(gomega.BeFalse())
			plan := repair.Plan(controller.domainState("fabric", snapshot, servers))
			kinds := []repair.Kind{}
			for _, action := range plan {
				if action.Number == 7 {
					kinds = append(kinds, action.Kind)
				}
			}
			expected := repair.Wait
			if member.retired {
				expected = repair.Retire
			}
			expect.Expect(kinds).To(gomega.Equal([]repair.Kind{expected}))
		})
	}
}
