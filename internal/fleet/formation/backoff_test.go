package formation_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against ending a complete group because a member refuses a report request, as a server in
// a backoff does.
func TestMemberThatRefusesAReportIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(2, 1, 7, 1)
		node := fleet.nodes[0]
		node.setTerm(4096)
		time.Sleep(8 * time.Second)
		group := servingGroupOf(node, "large")
		expect.Expect(group.Members).To(gomega.HaveLen(4))
		node.refusingServer.Store(&group.Members[2])
		node.controller.Suspect(group.Head(), group.Name)
		time.Sleep(4 * time.Second)
		expect.Expect(servingGroupOf(node, "large").Name).To(gomega.Equal(group.Name))
		expect.Expect(node.controller.Counts.Lost.Load()).To(gomega.BeZero())
		fleet.end()
	})
}

// Guards against requests and orders to a free server in a backoff, and against such a server
// preventing groups of other servers.
func TestFreeServerInBackoffGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(1, 1, 10, 1)
		node := fleet.nodes[0]
		refusing := "i-0-02"
		node.refusingServer.Store(&refusing)
		node.setTerm(4096)
		time.Sleep(8 * time.Second)
		expect.Expect(node.requestsRefused.Load()).To(gomega.BeZero())
		expect.Expect(fleet.cluster.CompleteGroups()["small"] + fleet.cluster.CompleteGroups()["large"]).To(gomega.BeNumerically(">=", 2))
		node.refusingServer.Store(nil)
		time.Sleep(8 * time.Second)
		expect.Expect(fleet.cluster.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}
