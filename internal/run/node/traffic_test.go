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

// Control must stay small when nothing happens: 25 KB a second for a node is
// the budget, and the log's appends are scarce. The bounds are counts, so they
// hold on any machine; they stand a little above what docs/CAPACITY.md measured.
func TestQuietFleetKeepsToItsBudget(t *testing.T) {
	const nodes, servers, quiet = 6, 24, 60
	shape := demo.Shape{
		DataCentres: []string{"lakes-a"}, Nodes: nodes, Domains: servers / 4, Engines: 4, Unchecked: 1,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}
	inBubble(t, shape, func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		time.Sleep(20 * time.Second)
		before, appends := totals(running), running.Environment.Log.Appends()
		time.Sleep(quiet * time.Second)
		after := totals(running)
		g.Expect(running.Environment.Log.Appends()).To(gomega.Equal(appends), "appends while nothing happens")
		g.Expect(after.asked-before.asked).To(gomega.BeNumerically("<=", nodes*(nodes-1)*quiet), "questions to peers")
		g.Expect(after.reports-before.reports).To(gomega.BeNumerically("<=", servers*(quiet+1)), "reports, each server read by one node")
		g.Expect(after.lists-before.lists).To(gomega.BeNumerically("<=", quiet/3+quiet/15+nodes), "readings of the list, by one node")
		perNode := (after.bytes - before.bytes) / nodes / quiet
		g.Expect(perNode).To(gomega.BeNumerically("<", 12_000), "bytes a node and second")
	})
}

type total struct {
	asked, reports, lists, bytes uint64
}

func totals(running *fleet.Fleet) total {
	sum := total{}
	for _, node := range running.Nodes {
		state := node.State()
		sum.asked += state.Traffic.PeerAsked
		sum.reports += state.Traffic.EngineRequests
		sum.lists += state.ListReads
		sum.bytes += state.Traffic.Peers.BytesSent + state.Traffic.Peers.BytesReceived +
			state.Traffic.Engines.BytesSent + state.Traffic.Engines.BytesReceived +
			state.Traffic.Platform.BytesSent + state.Traffic.Platform.BytesReceived
	}
	return sum
}

// One node cannot reach the platform's instance list. It must learn from its
// peers which servers there are, and serve as the others do.
func TestNodeCutOffFromTheListLearnsFromPeers(t *testing.T) {
	inBubble(t, small(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		running.Kill(0)
		running.Network.Partition(running.Settings[0].Name, "127.0.0.1:7001")
		running.StartNode(0)
		running.Eventually(20*time.Second, "the cut-off node sees the groups", servesBoth(running, 2))
		g.Expect(running.Generate(0, "report", "cut off", 5).Complete).To(gomega.BeTrue())
	})
}

// A data centre loses the platform but not the other data centres. A change of
// configuration must be in force there within seconds all the same, and an
// operator's change made there must be refused, not half accepted.
func TestConfigurationReachesACutOffDataCentre(t *testing.T) {
	shape := demo.Shape{
		DataCentres: []string{"lakes-a", "lakes-b"}, Nodes: 2, Domains: 1, Engines: 4,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}
	inBubble(t, shape, func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
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

// Each draft closed its connection to the engine a few bytes before the end,
// so the next one had to connect anew and its first token came a millisecond
// later than it need be.
func TestDraftsShareConnections(t *testing.T) {
	inBubble(t, small(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		for range 20 {
			g.Expect(running.Generate(0, "report", "one after the other", 3).Complete).To(gomega.BeTrue())
		}
		g.Expect(running.Nodes[0].State().Traffic.Drafts.Connections).To(gomega.BeNumerically("<=", 2))
	})
}

// Two regions, one of which loses the platform. Configuration must reach it
// through the other region's nodes, and a draft must not be sent across regions
// when its own is dark, nor do keys cross: a key holds within its region.
func TestRegionsShareConfigurationOnly(t *testing.T) {
	shape := demo.Shape{
		DataCentres: []string{"lakes-a", "costa-a"}, Regions: []string{"great-lakes", "costa-centro"},
		Nodes: 2, Domains: 1, Engines: 4, Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}
	inBubble(t, shape, func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
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
		answer := running.Generate(2, "report", "far away", 3)
		g.Expect(answer.Outcome).To(gomega.Equal(outcome.NotRun), answer.Text)
		for _, server := range running.Environment.Engines[4:] {
			server.Restart()
		}
	})
}
