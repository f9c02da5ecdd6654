package node_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/common/outcome"
	peer "hazelslip/internal/peer/engine"
	"hazelslip/internal/run/demo"
	"hazelslip/internal/run/settings"
	"hazelslip/internal/standin/engine"
	"hazelslip/internal/standin/platform"
	"hazelslip/internal/testlib/fleet"
)

// spareShape is smallShape with nine engines in the domain: two groups of four and one spare engine.
func spareShape(unchecked int) demo.Shape {
	shape := smallShape(unchecked)
	shape.Engines = 9
	return shape
}

// lastMemberOfServingGroup returns the last member of a group that serves according to a node, and the group's number.
func lastMemberOfServingGroup(running *fleet.Fleet, index int) (*engine.Engine, uint64) {
	for _, group := range running.Nodes[index].State().Groups {
		if !group.Serving {
			continue
		}
		for _, server := range running.Environment.Engines {
			if server.Report().Address == group.Members[len(group.Members)-1] {
				return server, group.Number
			}
		}
	}
	return nil, 0
}

// allNodesSeeServing returns a condition: every running node sees the wanted number of serving groups.
func allNodesSeeServing(running *fleet.Fleet, wanted int) func() bool {
	return func() bool {
		for index := range running.Nodes {
			if running.Nodes[index] != nil && running.ServingGroups(index, "drafting") != wanted {
				return false
			}
		}
		return true
	}
}

// A member crashes and does not come back. Every node must stop sending to its group within seconds, the draft in
// progress must be completed by another group, and the group must be formed again with the spare.
func TestLostMemberIsReplacedBySpare(t *testing.T) {
	withFleet(t, spareShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		member, number := lastMemberOfServingGroup(running, 0)
		member.SetFaults(engine.Faults{Dead: true})
		result := running.Generate(0, "report", "through a loss", 300)
		g.Expect(result.Text).To(gomega.Equal(engine.Completion(fleet.Prompt("through a loss"), 300)), result.Error)
		running.Eventually(5*time.Second, "the group has stopped serving", func() bool {
			for index := range running.Nodes {
				for _, group := range running.Nodes[index].State().Groups {
					if group.Number == number && group.Serving {
						return false
					}
				}
			}
			return true
		})
		running.Eventually(20*time.Second, "two groups serve again", allNodesSeeServing(running, 2))
	})
}

// The log is unavailable for minutes and the node that formed the groups has crashed. If the engines check fencing
// numbers, the other node must still repair the groups, because the engines reject stale orders without the log.
func TestRepairContinuesInLogOutageWithFencing(t *testing.T) {
	withFleet(t, spareShape(0), func(_ *testing.T, running *fleet.Fleet, _ *gomega.WithT) {
		running.Environment.Log.SetFaults(platform.LogFaults{Dark: true})
		running.Kill(0)
		member, _ := lastMemberOfServingGroup(running, 1)
		member.SetFaults(engine.Faults{Dead: true})
		running.Eventually(30*time.Second, "two groups serve again", allNodesSeeServing(running, 2))
	})
}

// Engines that ignore fencing numbers are sent orders only by the holder of a lease in the log. While the log is
// unavailable, no node can acquire the lease: existing groups keep serving, and a broken group is rebuilt only after
// the log has recovered.
func TestRepairWaitsForLogWithoutFencing(t *testing.T) {
	withFleet(t, spareShape(1), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		running.Environment.Log.SetFaults(platform.LogFaults{Dark: true})
		time.Sleep(15 * time.Second)
		member, _ := lastMemberOfServingGroup(running, 0)
		member.SetFaults(engine.Faults{Dead: true})
		time.Sleep(40 * time.Second)
		g.Expect(running.ServingGroups(0, "drafting")).To(gomega.Equal(1))
		result := running.Generate(0, "report", "still serving", 10)
		g.Expect(result.Complete).To(gomega.BeTrue(), result.Error)
		running.Environment.Log.SetFaults(platform.LogFaults{})
		running.Eventually(40*time.Second, "two groups serve again", allNodesSeeServing(running, 2))
	})
}

// One node cannot reach one engine, for example because of a broken route. The engine's group is healthy and must not
// be retired: the watcher has another node probe the engine before it reports a member as missed.
func TestMemberUnreachableFromOneNodeKeepsItsGroup(t *testing.T) {
	withFleet(t, smallShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		member, number := lastMemberOfServingGroup(running, 0)
		for index := range running.Nodes {
			running.Network.Partition(running.Settings[index].Name, member.Report().Address)
			time.Sleep(20 * time.Second)
			for other := range running.Nodes {
				g.Expect(running.ServingGroups(other, "drafting")).To(gomega.Equal(2))
			}
			running.Network.Heal(running.Settings[index].Name, member.Report().Address)
			time.Sleep(5 * time.Second)
		}
		g.Expect(member.Report().Group).To(gomega.Equal(number))
	})
}

// The two nodes of a data centre cannot reach each other, so each considers itself assigned to every domain, and both
// send orders. They may revert each other's changes for a while, but no engine may end up in two groups, and the groups
// must become stable.
func TestPartitionedNodesConverge(t *testing.T) {
	withFleet(t, spareShape(0), func(_ *testing.T, running *fleet.Fleet, _ *gomega.WithT) {
		running.Network.Partition(running.Settings[0].Name, running.Settings[1].Listen.Peer)
		running.Network.Partition(running.Settings[1].Name, running.Settings[0].Listen.Peer)
		time.Sleep(10 * time.Second)
		member, _ := lastMemberOfServingGroup(running, 0)
		member.SetFaults(engine.Faults{Dead: true})
		running.Eventually(60*time.Second, "two groups serve again", allNodesSeeServing(running, 2))
		time.Sleep(30 * time.Second)
		running.Eventually(time.Second, "two groups still serve", allNodesSeeServing(running, 2))
	})
}

// A member pauses, its group is rebuilt without it, and the member resumes with the state of the old group. No node may
// consider the old group as serving, and the member must become free again.
func TestMemberReturningAfterRebuildBecomesFree(t *testing.T) {
	withFleet(t, spareShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		member, number := lastMemberOfServingGroup(running, 0)
		member.SetFaults(engine.Faults{Paused: true})
		running.Eventually(40*time.Second, "the group was rebuilt with the spare", func() bool {
			return allNodesSeeServing(running, 2)() && !anyNodeSeesServing(running, number)
		})
		member.SetFaults(engine.Faults{})
		g.Consistently(func() bool { return anyNodeSeesServing(running, number) }).Should(gomega.BeFalse())
		running.Eventually(20*time.Second, "the member is free again", func() bool { return member.Report().Group == 0 })
	})
}

// anyNodeSeesServing returns true if the group serves according to at least one node.
func anyNodeSeesServing(running *fleet.Fleet, number uint64) bool {
	for index := range running.Nodes {
		if running.Nodes[index] == nil {
			continue
		}
		for _, group := range running.Nodes[index].State().Groups {
			if group.Number == number && group.Serving {
				return true
			}
		}
	}
	return false
}

// All engines of a fabric domain fail and later restart, as after a power failure of a rack. The groups of the domain
// must stop at once, those of the other domain must keep serving, and the groups must be formed again after the
// restart.
func TestGroupsAreFormedAgainAfterDomainOutage(t *testing.T) {
	shape := demo.Shape{
		DataCentres: []string{"lakes-a"}, Nodes: 2, Domains: 2, Engines: 4,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}
	withFleet(t, shape, func(_ *testing.T, running *fleet.Fleet, _ *gomega.WithT) {
		for _, server := range running.Environment.Engines[:4] {
			server.SetFaults(engine.Faults{Dead: true})
		}
		running.Eventually(6*time.Second, "one group serves", allNodesSeeServing(running, 1))
		time.Sleep(30 * time.Second)
		for _, server := range running.Environment.Engines[:4] {
			server.Restart()
		}
		running.Eventually(20*time.Second, "two groups serve again", allNodesSeeServing(running, 2))
	})
}

// A server announces that it is leaving. Within seconds its group must receive no new work; the group finishes its work
// and is then formed again without the server.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	withFleet(t, spareShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		member, number := lastMemberOfServingGroup(running, 0)
		member.SetFaults(engine.Faults{Leaving: true})
		time.Sleep(4 * time.Second)
		for index := range running.Nodes {
			for _, group := range running.Nodes[index].State().Routes {
				g.Expect(group.Target.Number).NotTo(gomega.Equal(number))
			}
		}
		running.Eventually(20*time.Second, "two groups serve without it", func() bool {
			return allNodesSeeServing(running, 2)() && member.Report().Group == 0
		})
	})
}

// Guards against planning with outdated reports. A paused server made each reading of its domain take two seconds, so
// the next plan used reports from before the last orders, and the same group was formed twice under one number. With
// different members the second time, two groups would have had the same number, and engines that check fencing numbers
// would have accepted both.
func TestFencingNumbersAreNotReused(t *testing.T) {
	withFleet(t, spareShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		member, number := lastMemberOfServingGroup(running, 0)
		member.SetFaults(engine.Faults{Paused: true})
		running.Eventually(40*time.Second, "the group was rebuilt", func() bool {
			return allNodesSeeServing(running, 2)() && !anyNodeSeesServing(running, number)
		})
		member.SetFaults(engine.Faults{})
		time.Sleep(20 * time.Second)
		timesFormed := map[uint64]int{}
		for _, given := range formedNumbers(running) {
			timesFormed[given]++
			g.Expect(timesFormed[given]).To(gomega.Equal(1), "group %d", given)
		}
		g.Expect(len(timesFormed)).To(gomega.Equal(3))
	})
}

func formedNumbers(running *fleet.Fleet) []uint64 {
	numbers := []uint64{}
	for _, event := range running.Nodes[0].GroupEvents() {
		if event.Event == "Formed" {
			numbers = append(numbers, event.Number)
		}
	}
	return numbers
}

// Guards against group numbers that are unique only within a domain. One node formed the first groups of two domains at
// the same time and derived each number from that domain's reports, so both groups received the same number. The router
// identifies groups by number and sent work for one group to the other.
func TestGroupNumbersAreUniqueAcrossDomains(t *testing.T) {
	shape := demo.Shape{
		DataCentres: []string{"lakes-a"}, Nodes: 1, Domains: 2, Engines: 4,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}
	withFleet(t, shape, func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		numbers := map[uint64]string{}
		for _, group := range running.Nodes[0].State().Groups {
			numbers[group.Number] = group.FabricDomain
		}
		g.Expect(numbers).To(gomega.HaveLen(2))
	})
}

// A node is paused until its lease has expired and then sends an order that it had prepared, to an engine that
// ignores fencing numbers. This cannot be prevented. It may cost the downtime of one group, but no group may serve
// with a member that has left it, and no engine may be in two groups.
func TestStaleOrderStopsOnlyOneGroupWithoutFencing(t *testing.T) {
	withFleet(t, spareShape(1), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		member, number := lastMemberOfServingGroup(running, 0)
		members := []string{member.Report().Address, "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
		reply := member.Order(peer.Order{Number: 1, Model: "drafting", Members: members})
		g.Expect(reply.Accepted).To(gomega.BeTrue())
		running.Eventually(4*time.Second, "the group has stopped", func() bool { return !anyNodeSeesServing(running, number) })
		g.Expect(running.Generate(0, "report", "meanwhile", 10).Complete).To(gomega.BeTrue())
		running.Eventually(60*time.Second, "two groups serve again", allNodesSeeServing(running, 2))
	})
}

// An engine that checks fencing numbers must refuse the same stale order, and its group must keep serving.
func TestStaleOrderIsRefusedWithFencing(t *testing.T) {
	withFleet(t, spareShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		member, number := lastMemberOfServingGroup(running, 0)
		reply := member.Order(peer.Order{Number: 1, Model: "drafting", Members: []string{member.Report().Address}})
		g.Expect(reply.Accepted).To(gomega.BeFalse())
		time.Sleep(10 * time.Second)
		g.Expect(anyNodeSeesServing(running, number)).To(gomega.BeTrue())
	})
}

// All engines of a data centre are down. Drafts of its callers must be sent to the other data centre of the region,
// within limits, instead of being refused.
func TestDraftsSpillToOtherDataCentre(t *testing.T) {
	shape := demo.Shape{
		DataCentres: []string{"lakes-a", "lakes-b"}, Nodes: 2, Domains: 1, Engines: 4,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}
	withFleet(t, shape, func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		time.Sleep(10 * time.Second)
		for _, server := range running.Environment.Engines[:4] {
			server.SetFaults(engine.Faults{Dead: true})
		}
		running.Eventually(10*time.Second, "the group has stopped", func() bool { return running.ServingGroups(0, "drafting") == 0 })
		time.Sleep(5 * time.Second)
		for index := range running.Nodes {
			result := running.Generate(index, "report", "from next door", 10)
			g.Expect(result.Text).To(gomega.Equal(engine.Completion(fleet.Prompt("from next door"), 10)), result.Error)
		}
		for _, server := range running.Environment.Engines[:4] {
			server.Restart()
		}
	})
}

// A node that has just started has not heard from any peer, so every domain seems to be assigned to it. It must not
// send orders that conflict with those of the assigned node, which is forming a group at that moment.
func TestNewlyStartedNodeSendsNoOrders(t *testing.T) {
	withFleet(t, spareShape(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		member, _ := lastMemberOfServingGroup(running, 0)
		running.Kill(0)
		member.SetFaults(engine.Faults{Dead: true})
		time.Sleep(9 * time.Second)
		running.StartNode(0)
		time.Sleep(2900 * time.Millisecond)
		controller := running.Nodes[0].State().Former
		g.Expect(controller.Formed + controller.Retired + controller.Refused + controller.Failed).To(gomega.BeZero())
		running.Eventually(30*time.Second, "two groups serve again", allNodesSeeServing(running, 2))
	})
}

// A group of the more important model loses a member permanently. The planner takes the members of a group of the less
// important model while that group generates drafts. A planned retirement must not cut off drafts: the group receives
// no new work, finishes its drafts, and is then retired.
func TestRetiredGroupFinishesItsDrafts(t *testing.T) {
	shape := demo.Shape{
		DataCentres: []string{"lakes-a"}, Nodes: 2, Domains: 1, Engines: 6,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}, {Name: "summary", GroupSize: 2}},
	}
	fleet.Bubble(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		running := fleet.New(t, shape)
		defer running.Stop()
		running.Start()
		running.ApplyClasses(fleet.ClassTarget("urgent", "drafting", 0.9), fleet.ClassTarget("later", "summary", 0))
		running.Eventually(60*time.Second, "both groups serve", func() bool {
			return running.ServingGroups(0, "drafting") == 1 && running.ServingGroups(0, "summary") == 1
		})
		time.Sleep(5 * time.Second)
		results := make(chan fleet.Result, 2)
		callers := conc.NewWaitGroup()
		for index := range 2 {
			callers.Go(func() { results <- running.Generate(index, "later", "a long summary", 6000) })
		}
		time.Sleep(time.Second)
		nonLeaderOfModel(running, "drafting").SetFaults(engine.Faults{Dead: true})
		running.Eventually(10*time.Second, "the group has stopped", func() bool { return running.ServingGroups(0, "drafting") == 0 })
		done := make(chan struct{})
		callers.Go(func() { sendDraftsUntilDone(running, g, done) })
		running.Eventually(100*time.Second, "the more important model serves again", func() bool {
			return running.ServingGroups(0, "drafting") == 1
		})
		close(done)
		callers.Wait()
		for range 2 {
			result := <-results
			g.Expect(result.Complete).To(gomega.BeTrue(), result.Error)
			g.Expect(result.Text).To(gomega.Equal(engine.Completion(fleet.Prompt("a long summary"), 6000)))
		}
		for _, node := range running.Nodes {
			g.Expect(node.State().Drafts.Resumed).To(gomega.BeZero())
		}
	})
}

// sendDraftsUntilDone sends drafts one after the other to node 1, which did not plan the retirement. Each draft must be
// complete, or refused with the outcome NotRun.
func sendDraftsUntilDone(running *fleet.Fleet, g *gomega.WithT, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		// A refusal takes no time in the synctest bubble; without a sleep, virtual time would never advance.
		time.Sleep(500 * time.Millisecond)
		result := running.Generate(1, "later", "one more", 400)
		g.Expect(result.Complete || result.Outcome == outcome.NotRun).To(gomega.BeTrue(), result.Error)
	}
}

// nonLeaderOfModel returns a member, other than the first, of a group of the model.
func nonLeaderOfModel(running *fleet.Fleet, model string) *engine.Engine {
	for _, server := range running.Environment.Engines {
		if report := server.Report(); report.Model == model && report.Members[0] != report.Address {
			return server
		}
	}
	return nil
}
