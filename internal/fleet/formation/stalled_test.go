package formation_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/formation"
)

// Guards against ignoring a stalled group that the server list no longer shows complete. A member
// dies, and its entry is gone from the list before a node reports that the group's streams have
// stalled. The leader knew the group only from the list, did not find it complete there, and left
// the streams to the slower check of listed groups.
func TestStalledGroupWithAnUnlistedMemberIsExamined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(1, 2, 10, 1)
		node := fleet.nodes[0]
		node.setTerm(4096)
		time.Sleep(8 * time.Second)
		group := servingGroupOf(node, "large")
		fleet.cluster.Kill(group.Members[1])
		// The server list is read every 0.8 s and shows the state of the previous read.
		for node.list.Load().Servers[group.Members[1]] != nil {
			time.Sleep(10 * time.Millisecond)
		}
		node.controller.Suspect(group.Head(), group.Name)
		time.Sleep(200 * time.Millisecond)
		expect.Expect(node.view.HasEnded(group.Name)).To(gomega.BeTrue())
		for _, serving := range node.view.Serving(node.list.Load(), []formation.Service{{Name: service, Engine: engine()}}) {
			expect.Expect(serving.Name).NotTo(gomega.Equal(group.Name))
		}
		expect.Expect(fleet.cluster.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// Guards against immediately ending groups whose members are only cut off from the registry. When
// the entries of members of a dozen groups expired, all these groups were ended in the same second
// although they still served, and moving their streams used up the retry budget of the whole fleet.
// Such a group must be retired: it finishes its calls, and only then its members are released.
func TestGroupWithAnUnlistedMemberIsDrained(t *testing.T) {
	for _, rank := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			fleet := newFleet(1, 2, 10, 1)
			node := fleet.nodes[0]
			node.setTerm(4096)
			time.Sleep(8 * time.Second)
			group := servingGroupOf(node, "large")
			fleet.cluster.Deregister(group.Members[rank])
			changes := []formation.Change{}
			for began := time.Now(); time.Since(began) < 20*time.Second && !node.view.MembersFree(group.Name); time.Sleep(50 * time.Millisecond) {
				for _, announcement := range node.view.RecentAnnouncements() {
					if announcement.Group.Name == group.Name && !slices.Contains(changes, announcement.Change) {
						changes = append(changes, announcement.Change)
					}
				}
			}
			expect.Expect(node.view.MembersFree(group.Name)).To(gomega.BeTrue())
			expect.Expect(changes).NotTo(gomega.BeEmpty())
			expect.Expect(changes[0]).To(gomega.Equal(formation.Retired))
			expect.Expect(node.controller.Counts.Lost.Load()).To(gomega.BeZero())
			expect.Expect(fleet.cluster.Violations()).To(gomega.BeEmpty())
			fleet.end()
		})
	}
}
