package node_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/outcome"
	"hazelslip/internal/run/demo"
	"hazelslip/internal/run/settings"
	"hazelslip/internal/standin/engine"
	"hazelslip/internal/testlib/fleet"
)

// An idle fleet must cause little control traffic: the budget is 25 KB per second and node, and appends to the log are
// scarce. The limits are counts, so they apply on any machine. They are slightly above the values measured in
// docs/CAPACITY.md.
func TestIdleFleetStaysWithinTrafficBudget(t *testing.T) {
	const nodes, servers, idleSeconds = 6, 24, 60
	shape := demo.Shape{
		DataCentres: []string{"lakes-a"}, Nodes: nodes, Domains: servers / 4, Engines: 4, UncheckedDomains: 1,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}
	withFleet(t, shape, func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		time.Sleep(20 * time.Second)
		before, appends := sumControlTraffic(running), running.Environment.Log.Appends()
		time.Sleep(idleSeconds * time.Second)
		after := sumControlTraffic(running)
		g.Expect(running.Environment.Log.Appends()).To(gomega.Equal(appends), "appends of an idle fleet")
		g.Expect(after.peerRequests-before.peerRequests).To(gomega.BeNumerically("<=", nodes*(nodes-1)*idleSeconds), "requests to peers")
		g.Expect(after.reportRequests-before.reportRequests).To(gomega.BeNumerically("<=", servers*(idleSeconds+1)), "report requests, to each server from one node")
		g.Expect(after.listQueries-before.listQueries).To(gomega.BeNumerically("<=", idleSeconds/3+idleSeconds/15+nodes), "queries to the instance list, from one node")
		perNode := (after.bytes - before.bytes) / nodes / idleSeconds
		g.Expect(perNode).To(gomega.BeNumerically("<", 12_000), "bytes per node and second")
	})
}

// controlTraffic holds the counts of control messages and bytes of all nodes.
type controlTraffic struct {
	peerRequests, reportRequests, listQueries, bytes uint64
}

func sumControlTraffic(running *fleet.Fleet) controlTraffic {
	traffic := controlTraffic{}
	for _, node := range running.Nodes {
		state := node.State()
		traffic.peerRequests += state.Traffic.PeerAsked
		traffic.reportRequests += state.Traffic.EngineRequests
		traffic.listQueries += state.ListReads
		traffic.bytes += state.Traffic.Peers.BytesSent + state.Traffic.Peers.BytesReceived +
			state.Traffic.Engines.BytesSent + state.Traffic.Engines.BytesReceived +
			state.Traffic.Platform.BytesSent + state.Traffic.Platform.BytesReceived
	}
	return traffic
}

// One node cannot reach the instance list. It must learn the servers from its peers and serve like the other nodes.
func TestNodeWithoutInstanceListLearnsFromPeers(t *testing.T) {
	withFleet(t, smallShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		running.Kill(0)
		running.Network.Partition(running.Settings[0].Name, "127.0.0.1:7001")
		running.StartNode(0)
		running.Eventually(20*time.Second, "the cut-off node sees the groups", allNodesSeeServing(running, 2))
		g.Expect(running.Generate(0, "report", "cut off", 5).Complete).To(gomega.BeTrue())
	})
}

// A data centre cannot reach the platform's services, but reaches the other data centres. A configuration change made
// elsewhere must still come into force there within seconds.
// A change submitted in the isolated data centre must be refused rather than partly accepted; this test doesn't check
// that.
func TestConfigurationReachesIsolatedDataCentre(t *testing.T) {
	shape := demo.Shape{
		DataCentres: []string{"lakes-a", "lakes-b"}, Nodes: 2, Domains: 1, Engines: 4,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}
	withFleet(t, shape, func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		time.Sleep(20 * time.Second)
		for _, index := range []int{2, 3} {
			running.Network.Partition(running.Settings[index].Name, "127.0.0.1:7000", "127.0.0.1:7001", "127.0.0.1:7002")
		}
		time.Sleep(15 * time.Second)
		running.Environment.Log.Append("Config", fleet.EncodeClassChange(fleet.ClassTarget("late", "drafting", 0.1), 0, "late"))
		running.Eventually(9*time.Second, "the change is in force everywhere", func() bool {
			for _, node := range running.Nodes {
				if node.State().Classes.Classes != 2 {
					return false
				}
			}
			return true
		})
		g.Expect(running.Generate(2, "late", "cut off", 5).Complete).To(gomega.BeTrue())
	})
}

// Guards against drafts that don't reuse connections. Each draft closed its connection to the engine a few bytes before
// the end of the response, so the next draft needed a new connection, which delayed its first token by a millisecond.
func TestDraftsReuseConnections(t *testing.T) {
	withFleet(t, smallShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		for range 20 {
			g.Expect(running.Generate(0, "report", "one after the other", 3).Complete).To(gomega.BeTrue())
		}
		g.Expect(running.Nodes[0].State().Traffic.Drafts.Connections).To(gomega.BeNumerically("<=", 2))
	})
}

// One of two regions cannot reach the platform's services. Configuration must reach it through the nodes of the other
// region. Drafts must not be sent to the other region, even when the region's own engines are down. An idempotency key
// is valid only within its region.
func TestRegionsShareConfigurationOnly(t *testing.T) {
	shape := demo.Shape{
		DataCentres: []string{"lakes-a", "costa-a"}, Regions: []string{"great-lakes", "costa-centro"},
		Nodes: 2, Domains: 1, Engines: 4, Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}
	withFleet(t, shape, func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		time.Sleep(30 * time.Second)
		g.Expect(running.BookSlot(0, "visit", "lakes").Outcome).To(gomega.Equal(outcome.Run))
		g.Expect(running.BookSlot(2, "face", "costa").Outcome).To(gomega.Equal(outcome.Run))
		_, known := running.Nodes[2].Booking(demo.ServiceName, "visit")
		g.Expect(known).To(gomega.BeFalse())

		for _, index := range []int{2, 3} {
			running.Network.Partition(running.Settings[index].Name, "127.0.0.1:7000", "127.0.0.1:7001", "127.0.0.1:7002")
		}
		time.Sleep(15 * time.Second)
		running.Environment.Log.Append("Config", fleet.EncodeClassChange(fleet.ClassTarget("late", "drafting", 0.1), 0, "late"))
		running.Eventually(9*time.Second, "the change is in force in both regions", func() bool {
			return running.Nodes[2].InForce("late") == 1 && running.Nodes[3].InForce("late") == 1
		})
		for _, server := range running.Environment.Engines[4:] {
			server.SetFaults(engine.Faults{Dead: true})
		}
		running.Eventually(10*time.Second, "the region's group has stopped", func() bool { return running.ServingGroups(2, "drafting") == 0 })
		time.Sleep(5 * time.Second)
		result := running.Generate(2, "report", "far away", 3)
		g.Expect(result.Outcome).To(gomega.Equal(outcome.NotRun), result.Text)
		for _, server := range running.Environment.Engines[4:] {
			server.Restart()
		}
	})
}
