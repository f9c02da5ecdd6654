package formation_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/state/storelog"
)

// Guards against a restarted member being kept out of groups. A member's process ends and starts
// again under the same ID within a second. The exclusion of its previous run used to cover the new
// run too: the group then waited several seconds for a fourth server, and its domain had no other.
func TestRestartedServerIsUsedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(3, 1, 4, 1)
		fleet.nodes[0].setTerm(4096)
		time.Sleep(8 * time.Second)
		group := servingGroupOf(fleet.nodes[0], "large")
		expect.Expect(group.Members).To(gomega.HaveLen(4))
		fleet.cluster.Restart(group.Members[2])
		fleet.nodes[0].controller.Suspect(group.Head(), group.Name)
		time.Sleep(4500 * time.Millisecond)
		expect.Expect(fleet.cluster.CompleteGroups()["large"]).To(gomega.Equal(1))
		expect.Expect(fleet.cluster.JoinLoads()).To(gomega.BeZero())
		expect.Expect(fleet.cluster.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// Guards against a load during a join. A member of a large group had the small model staged on its
// host and then restarted. It can no longer start the large model: ordered to join a large group,
// it would load the weights in the join, outside the limit on loads.
func TestRestartedServerHasOnlyStagedModels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(4, 1, 7, 1)
		fleet.nodes[0].setTerm(4096)
		time.Sleep(8 * time.Second)
		group := servingGroupOf(fleet.nodes[0], "large")
		expect.Expect(group.Members).To(gomega.HaveLen(4))
		for _, id := range group.Members[1:] {
			fleet.cluster.SetStaged(id, "small")
			fleet.cluster.Restart(id)
		}
		fleet.nodes[0].controller.Suspect(group.Head(), group.Name)
		time.Sleep(10 * time.Second)
		expect.Expect(fleet.cluster.JoinLoads()).To(gomega.BeZero())
		expect.Expect(fleet.cluster.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// Guards against calls to a group whose member restarted just after the group was announced as
// opened. The server list shows the ID as before, so calls went on to a head that could only stall
// or refuse them.
func TestOpenedGroupIsDroppedWhenAMemberRestarts(t *testing.T) {
	expect := gomega.NewWithT(t)
	list := roster.New()
	putServer := func(position, born int64) {
		server := &roster.Server{ID: "b", Service: service, Born: born}
		list.Merge(roster.Update{
			Records: []roster.Record{{ID: "b", Position: storelog.Position{Offset: position}, Server: server}},
			End:     storelog.Position{Offset: position + 1}, ReadAt: time.Second,
		})
	}
	list.Merge(roster.Update{
		Records: []roster.Record{{ID: "a", Position: storelog.Position{Offset: 1}, Server: &roster.Server{ID: "a", Service: service, Born: 5}}},
		End:     storelog.Position{Offset: 2}, ReadAt: time.Second,
	})
	putServer(2, 5)
	view := formation.NewView(clock.Boot, formation.WithServerList(list.Load))
	view.Apply(formation.Announcement{Change: formation.Opened, Group: formation.Group{Name: "g", Epoch: 9, Service: service, Model: "large", Members: []string{"a", "b"}}})
	services := []formation.Service{{Name: service, Engine: engine()}}
	expect.Expect(view.Serving(list.Load(), services)).To(gomega.HaveLen(1))
	putServer(4, 6)
	expect.Expect(view.Serving(list.Load(), services)).To(gomega.BeEmpty())
}

// Guards against reopening a group that was being ended. The leader closed the group's head and
// went away while all members were ready. The next leader took the group for one that had never
// been opened and opened it, but every node knew that the group had ended and sent it no calls. Its
// servers stayed unused for the rest of the day.
func TestPartlyEndedGroupIsEndedByTheNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(5, 1, 4, 2)
		fleet.nodes[0].setTerm(4096)
		time.Sleep(8 * time.Second)
		group := servingGroupOf(fleet.nodes[0], "large")
		expect.Expect(group.Members).To(gomega.HaveLen(4))
		fleet.nodes[0].setTerm(0)
		_, err := fleet.cluster.Order("node-0", group.Head(), formation.Order{Kind: formation.Close, Group: group.Name, Epoch: group.Epoch, Term: 4096, Expected: -1})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		fleet.nodes[0].announce(formation.Announcement{Change: formation.Retired, Group: group})
		fleet.nodes[1].setTerm(8192)
		time.Sleep(8 * time.Second)
		next := servingGroupOf(fleet.nodes[1], "large")
		expect.Expect(next.Members).To(gomega.HaveLen(4))
		expect.Expect(next.Name).NotTo(gomega.Equal(group.Name))
		expect.Expect(fleet.cluster.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// Guards against streams that are cut because the next leader finishes the retirement of a group whose head has lost its
// entry in the registry.
func TestRetiredGroupWhoseHeadHasNoEntryIsClosedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(5, 1, 4, 2)
		defer fleet.end()
		fleet.nodes[0].setTerm(4096)
		time.Sleep(8 * time.Second)
		group := servingGroupOf(fleet.nodes[0], "large")
		fleet.nodes[0].setTerm(0)
		next := fleet.nodes[1]
		closedAt := next.keepClosing(group, 2*time.Second)
		fleet.nodes[0].announce(formation.Announcement{Change: formation.Retired, Group: group})
		fleet.cluster.Deregister(group.Head())
		time.Sleep(2 * time.Second)
		next.setTerm(8192)
		// A head without an entry is not ordered to leave. Its members are released after the stall timeout.
		time.Sleep(20 * time.Second)
		expect.Expect(next.ordersOf(formation.Close, group.Name)).NotTo(gomega.BeEmpty())
		expectLeftOnlyAfter(expect, next, group, closedAt())
	})
}
