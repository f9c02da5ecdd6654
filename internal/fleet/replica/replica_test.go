package replica_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/fabric"
	"hazelslip/internal/fleet/replica"
	"hazelslip/internal/peer/engine"
	"hazelslip/internal/testlib/suite"
)

func TestReplica(t *testing.T) { suite.Run(t, "replica") }

const now = time.Hour

// whole is a domain of three servers in one serving group and one free server.
func whole() []fabric.Fact {
	facts := []fabric.Fact{}
	for _, address := range []string{"a", "b", "c"} {
		facts = append(facts, fabric.Fact{
			FabricDomain: "fabric", Address: address, At: now - time.Second,
			Report: engine.Report{
				Address: address, State: engine.StateReady, Group: 7, Model: "drafting", Members: []string{"a", "b", "c"},
			},
		})
	}
	free := fabric.Fact{FabricDomain: "fabric", Address: "d", At: now - time.Second, Report: engine.Report{Address: "d", State: engine.StateIdle}}
	return append(facts, free)
}

func assemble(facts []fabric.Fact) *replica.Snapshot {
	return replica.Assemble(&fabric.Snapshot{Domains: map[string][]fabric.Fact{"fabric": facts}}, now)
}

var _ = ginkgo.Describe("Assemble", func() {
	ginkgo.It("lets a group serve whose members all report it", func() {
		snapshot := assemble(whole())
		gomega.Expect(snapshot.Groups).To(gomega.HaveLen(1))
		gomega.Expect(snapshot.Groups[0].Serving).To(gomega.BeTrue(), snapshot.Groups[0].Cause)
		gomega.Expect(snapshot.Free["fabric"]).To(gomega.HaveLen(1))
		gomega.Expect(snapshot.Stranded["fabric"]).To(gomega.Equal(1))
		gomega.Expect(snapshot.Violations).To(gomega.BeEmpty())
	})

	// A caller's draft would hang or die at a group that lacks a member; each
	// way to lack one must stop the group on its own.
	ginkgo.DescribeTable("lets no group serve that lacks a member",
		func(change func(facts []fabric.Fact)) {
			facts := whole()
			change(facts)
			snapshot := assemble(facts)
			group, known := snapshot.Find(7)
			gomega.Expect(known).To(gomega.BeTrue())
			gomega.Expect(group.Serving).To(gomega.BeFalse())
			gomega.Expect(group.Cause).NotTo(gomega.BeEmpty())
			gomega.Expect(snapshot.Violations).To(gomega.BeEmpty())
		},
		ginkgo.Entry("never read", func(facts []fabric.Fact) { facts[1].At = 0 }),
		ginkgo.Entry("does not answer", func(facts []fabric.Fact) { facts[1].FirstMissed = now - time.Second }),
		ginkgo.Entry("no fresh report", func(facts []fabric.Fact) { facts[1].At = now - replica.StaleAfter }),
		ginkgo.Entry("in no group", func(facts []fabric.Fact) { facts[1].Report.Group = 0 }),
		ginkgo.Entry("in another group", func(facts []fabric.Fact) { facts[2].Report.Group = 6; facts[2].Report.Members = []string{"c"} }),
		ginkgo.Entry("names other members", func(facts []fabric.Fact) { facts[2].Report.Members = []string{"a", "c"} }),
		ginkgo.Entry("names another model", func(facts []fabric.Fact) { facts[2].Report.Model = "other" }),
		ginkgo.Entry("loads weights", func(facts []fabric.Fact) { facts[2].Report.State = engine.StateLoading }),
	)

	ginkgo.It("gives a group with a leaving member no new work", func() {
		facts := whole()
		facts[2].ListedLeaving = true
		snapshot := assemble(facts)
		gomega.Expect(snapshot.Groups[0].Serving).To(gomega.BeTrue())
		gomega.Expect(snapshot.Open(nil)).To(gomega.BeEmpty())
	})

	ginkgo.It("counts no server as free that does not answer or is leaving", func() {
		facts := whole()
		facts[3].FirstMissed = now - time.Second
		gomega.Expect(assemble(facts).Free["fabric"]).To(gomega.BeEmpty())
		facts = whole()
		facts[3].Report.Leaving = true
		gomega.Expect(assemble(facts).Free["fabric"]).To(gomega.BeEmpty())
	})

	ginkgo.It("forgets a group that only a silent server remembers", func() {
		facts := whole()
		for index := range 2 {
			facts[index].Report.Group, facts[index].Report.Members = 8, []string{"a", "b"}
		}
		facts[2].FirstMissed = now - time.Minute
		snapshot := assemble(facts)
		gomega.Expect(snapshot.Groups).To(gomega.HaveLen(1))
		gomega.Expect(snapshot.Groups[0].Number).To(gomega.Equal(uint64(8)))
	})
})

var _ = ginkgo.Describe("NextNumber", func() {
	ginkgo.It("is above what was seen and unique to the incarnation", func() {
		first, second := replica.NextNumber(0, 11), replica.NextNumber(0, 12)
		gomega.Expect(first).NotTo(gomega.Equal(second))
		gomega.Expect(replica.NextNumber(second, 11)).To(gomega.BeNumerically(">", second))
	})
})
