package formation_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/roster"
)

// restartLeaderBeforeOpening returns the name of a group whose members are all ready, and pauses its head. The leader has
// stopped before it has opened the group, and is back now.
func restartLeaderBeforeOpening(expect *gomega.WithT, fleet *fleet) (name string, members []string) {
	node := fleet.nodes[0]
	time.Sleep(2 * time.Second)
	node.setTerm(4096)
	time.Sleep(500 * time.Millisecond)
	node.setTerm(0)
	time.Sleep(20 * time.Second)
	ready := slices.DeleteFunc(fleet.cluster.Servers(service), func(server *roster.Server) bool {
		return server.Model != "large" || server.Group.State != roster.Ready
	})
	expect.Expect(ready).To(gomega.HaveLen(4))
	members = fleet.cluster.Members(ready[0].ID)
	fleet.cluster.Pause(6*time.Second, members[0])
	node.setTerm(8192)
	return ready[0].Group.Name, members
}

// Guards against a loaded group that is taken apart because its head is silent for a moment when it is ordered to open.
func TestReadyGroupIsKeptWhileItsHeadIsSilentToTheOrderToOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(2, 1, 7, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		name, _ := restartLeaderBeforeOpening(expect, fleet)
		time.Sleep(9 * time.Second)
		expect.Expect(node.ordersOf(formation.Leave, name)).To(gomega.BeEmpty())
		expect.Expect(servingGroupOf(node, "large").Name).To(gomega.Equal(name))
	})
}

// Guards against a group that is opened without a member that is lost while the head is silent.
func TestReadyGroupIsNotOpenedAfterALoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(2, 1, 7, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		name, members := restartLeaderBeforeOpening(expect, fleet)
		for len(node.ordersOf(formation.Open, name)) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		fleet.cluster.Kill(members[2])
		time.Sleep(3500 * time.Millisecond)
		expect.Expect(node.ordersOf(formation.Leave, name)).NotTo(gomega.BeEmpty())
		opens := len(node.ordersOf(formation.Open, name))
		time.Sleep(4 * time.Second)
		expect.Expect(node.ordersOf(formation.Open, name)).To(gomega.HaveLen(opens))
	})
}
