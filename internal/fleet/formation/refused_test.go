package formation_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a whole group that is taken apart since a member refused to be asked, as one
// in its backoff does.
func TestMemberThatRefusesAQuestionIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(2, 1, 7, 1)
		one := fleet.nodes[0]
		one.setTerm(4096)
		time.Sleep(8 * time.Second)
		group := headOf(one, "large")
		expect.Expect(group.Members).To(gomega.HaveLen(4))
		one.refusing.Store(&group.Members[2])
		one.former.Suspect(group.Head(), group.Name)
		time.Sleep(4 * time.Second)
		expect.Expect(headOf(one, "large").Name).To(gomega.Equal(group.Name))
		expect.Expect(one.former.Counts.Lost.Load()).To(gomega.BeZero())
		fleet.end()
	})
}

// Guards against a spare in its backoff that is asked and ordered on, and against groups that
// are not formed of others for it.
func TestSpareInItsBackoffIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(1, 1, 10, 1)
		one := fleet.nodes[0]
		spare := "i-0-02"
		one.refusing.Store(&spare)
		one.setTerm(4096)
		time.Sleep(8 * time.Second)
		expect.Expect(one.asked.Load()).To(gomega.BeZero())
		expect.Expect(fleet.world.CompleteGroups()["small"] + fleet.world.CompleteGroups()["large"]).To(gomega.BeNumerically(">=", 2))
		one.refusing.Store(nil)
		time.Sleep(8 * time.Second)
		expect.Expect(fleet.world.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}
