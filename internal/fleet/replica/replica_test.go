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

// healthyDomain returns a domain with one serving group of three servers and one free server.
func healthyDomain() []fabric.ServerStatus {
	servers := []fabric.ServerStatus{}
	for _, address := range []string{"a", "b", "c"} {
		servers = append(servers, fabric.ServerStatus{
			FabricDomain: "fabric", Address: address, RequestedAt: now - time.Second,
			Report: engine.Report{
				Address: address, State: engine.StateReady, Group: 7, Model: "drafting", Members: []string{"a", "b", "c"},
			},
		})
	}
	free := fabric.ServerStatus{FabricDomain: "fabric", Address: "d", RequestedAt: now - time.Second, Report: engine.Report{Address: "d", State: engine.StateIdle}}
	return append(servers, free)
}

func assemble(servers []fabric.ServerStatus) *replica.Snapshot {
	return replica.Assemble(&fabric.Snapshot{Domains: map[string][]fabric.ServerStatus{"fabric": servers}}, now)
}

var _ = ginkgo.Describe("Assemble", func() {
	ginkgo.It("marks a group as serving when all its members report it", func() {
		snapshot := assemble(healthyDomain())
		gomega.Expect(snapshot.Groups).To(gomega.HaveLen(1))
		gomega.Expect(snapshot.Groups[0].Serving).To(gomega.BeTrue(), snapshot.Groups[0].Cause)
		gomega.Expect(snapshot.Free["fabric"]).To(gomega.HaveLen(1))
		gomega.Expect(snapshot.IdleServers["fabric"]).To(gomega.Equal(1))
		gomega.Expect(snapshot.Violations).To(gomega.BeEmpty())
	})

	// Guards against requests sent to a group that lacks a member, where they would hang or fail. Each way of lacking
	// a member must alone keep the group from serving.
	ginkgo.DescribeTable("does not mark a group as serving when it lacks a member",
		func(change func(servers []fabric.ServerStatus)) {
			servers := healthyDomain()
			change(servers)
			snapshot := assemble(servers)
			group, known := snapshot.Find(7)
			gomega.Expect(known).To(gomega.BeTrue())
			gomega.Expect(group.Serving).To(gomega.BeFalse())
			gomega.Expect(group.Cause).NotTo(gomega.BeEmpty())
			gomega.Expect(snapshot.Violations).To(gomega.BeEmpty())
		},
		ginkgo.Entry("never read", func(servers []fabric.ServerStatus) { servers[1].RequestedAt = 0 }),
		ginkgo.Entry("does not answer", func(servers []fabric.ServerStatus) { servers[1].UnresponsiveSince = now - time.Second }),
		ginkgo.Entry("no fresh report", func(servers []fabric.ServerStatus) { servers[1].RequestedAt = now - replica.StaleAfter }),
		ginkgo.Entry("in no group", func(servers []fabric.ServerStatus) { servers[1].Report.Group = 0 }),
		ginkgo.Entry("in another group", func(servers []fabric.ServerStatus) {
			servers[2].Report.Group = 6
			servers[2].Report.Members = []string{"c"}
		}),
		ginkgo.Entry("reports other members", func(servers []fabric.ServerStatus) { servers[2].Report.Members = []string{"a", "c"} }),
		ginkgo.Entry("reports another model", func(servers []fabric.ServerStatus) { servers[2].Report.Model = "other" }),
		ginkgo.Entry("is loading weights", func(servers []fabric.ServerStatus) { servers[2].Report.State = engine.StateLoading }),
	)

	ginkgo.It("does not give new work to a group with a leaving member", func() {
		servers := healthyDomain()
		servers[2].ListedLeaving = true
		snapshot := assemble(servers)
		gomega.Expect(snapshot.Groups[0].Serving).To(gomega.BeTrue())
		gomega.Expect(snapshot.AcceptingGroups(nil)).To(gomega.BeEmpty())
	})

	ginkgo.It("does not count an unresponsive or leaving server as free", func() {
		servers := healthyDomain()
		servers[3].UnresponsiveSince = now - time.Second
		gomega.Expect(assemble(servers).Free["fabric"]).To(gomega.BeEmpty())
		servers = healthyDomain()
		servers[3].Report.Leaving = true
		gomega.Expect(assemble(servers).Free["fabric"]).To(gomega.BeEmpty())
	})

	ginkgo.It("drops a group that only an unresponsive server last reported", func() {
		servers := healthyDomain()
		for index := range 2 {
			servers[index].Report.Group, servers[index].Report.Members = 8, []string{"a", "b"}
		}
		servers[2].UnresponsiveSince = now - time.Minute
		snapshot := assemble(servers)
		gomega.Expect(snapshot.Groups).To(gomega.HaveLen(1))
		gomega.Expect(snapshot.Groups[0].Number).To(gomega.Equal(uint64(8)))
	})
})

var _ = ginkgo.Describe("NextNumber", func() {
	ginkgo.It("is above the highest number seen and unique to the incarnation", func() {
		first, second := replica.NextNumber(0, 11), replica.NextNumber(0, 12)
		gomega.Expect(first).NotTo(gomega.Equal(second))
		gomega.Expect(replica.NextNumber(second, 11)).To(gomega.BeNumerically(">", second))
	})
})
