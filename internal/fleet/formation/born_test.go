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

// A member's process ends and starts again under its ID, within a second. The marks
// of the lost one kept it out of groups for seconds, while its group waited for a
// fourth server and there was no other in the domain.
func TestServerThatStartedAgainIsUsedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(3, 1, 4, 1)
		fleet.nodes[0].setTerm(4096)
		time.Sleep(8 * time.Second)
		group := headOf(fleet.nodes[0], "large")
		expect.Expect(group.Members).To(gomega.HaveLen(4))
		fleet.world.Restart(group.Members[2])
		fleet.nodes[0].former.Suspect(group.Head(), group.Name)
		time.Sleep(4500 * time.Millisecond)
		expect.Expect(fleet.world.CompleteGroups()["large"]).To(gomega.Equal(1))
		expect.Expect(fleet.world.JoinLoads()).To(gomega.BeZero())
		expect.Expect(fleet.world.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// A server of a large group had the small model loaded onto its host and started
// again. It is no spare of the large model any more: told to join, it would load in
// the join, past the bound on loads.
func TestServerThatStartedAgainHasOnlyWhatLiesOnItsHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(4, 1, 7, 1)
		fleet.nodes[0].setTerm(4096)
		time.Sleep(8 * time.Second)
		group := headOf(fleet.nodes[0], "large")
		expect.Expect(group.Members).To(gomega.HaveLen(4))
		for _, id := range group.Members[1:] {
			fleet.world.SetStaged(id, "small")
			fleet.world.Restart(id)
		}
		fleet.nodes[0].former.Suspect(group.Head(), group.Name)
		time.Sleep(10 * time.Second)
		expect.Expect(fleet.world.JoinLoads()).To(gomega.BeZero())
		expect.Expect(fleet.world.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// A node hears that a group serves, and right after that a member starts again
// under its ID. The list shows the ID as before, so calls went on to a head that
// could only stand still or refuse.
func TestOpenedGroupEndsWithAMembersRun(t *testing.T) {
	expect := gomega.NewWithT(t)
	list := roster.New()
	put := func(position, born int64) {
		server := &roster.Server{ID: "b", Service: service, Born: born}
		list.Take(roster.Reading{
			Records: []roster.Record{{ID: "b", Position: storelog.Position{Offset: position}, Server: server}},
			End:     storelog.Position{Offset: position + 1}, ReadAt: time.Second,
		})
	}
	list.Take(roster.Reading{
		Records: []roster.Record{{ID: "a", Position: storelog.Position{Offset: 1}, Server: &roster.Server{ID: "a", Service: service, Born: 5}}},
		End:     storelog.Position{Offset: 2}, ReadAt: time.Second,
	})
	put(2, 5)
	view := formation.NewView(clock.Boot, formation.Servers(list.Load))
	view.Learn(formation.News{Change: formation.Opened, Group: formation.Group{Name: "g", Epoch: 9, Service: service, Model: "large", Members: []string{"a", "b"}}})
	services := []formation.Service{{Name: service, Engine: engine()}}
	expect.Expect(view.Serving(list.Load(), services)).To(gomega.HaveLen(1))
	put(4, 6)
	expect.Expect(view.Serving(list.Load(), services)).To(gomega.BeEmpty())
}

// The node that was ending a group is gone: the group's head had closed, all its
// members were ready. Whoever gave orders next took it for one that nobody had
// opened and opened it, while every node knew that it had ended and sent it
// nothing. Its servers served nobody for the rest of the day.
func TestGroupThatWasBeingEndedIsTakenApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(5, 1, 4, 2)
		fleet.nodes[0].setTerm(4096)
		time.Sleep(8 * time.Second)
		group := headOf(fleet.nodes[0], "large")
		expect.Expect(group.Members).To(gomega.HaveLen(4))
		fleet.nodes[0].setTerm(0)
		_, err := fleet.world.Order("node-0", group.Head(), formation.Order{Kind: formation.Close, Group: group.Name, Epoch: group.Epoch, Term: 4096, Expected: -1})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		fleet.nodes[0].announce(formation.News{Change: formation.Retired, Group: group})
		fleet.nodes[1].setTerm(8192)
		time.Sleep(8 * time.Second)
		next := headOf(fleet.nodes[1], "large")
		expect.Expect(next.Members).To(gomega.HaveLen(4))
		expect.Expect(next.Name).NotTo(gomega.Equal(group.Name))
		expect.Expect(fleet.world.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}
