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

// spare is one domain of nine engines for groups of four: two groups and one
// spare.
func spare(unchecked int) demo.Shape {
	shape := small(unchecked)
	shape.Engines = 9
	return shape
}

// memberOf returns the engine that is the last member of a serving group, and
// the group's number.
func memberOf(running *fleet.Fleet, index int) (*engine.Engine, uint64) {
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

func servesBoth(running *fleet.Fleet, wanted int) func() bool {
	return func() bool {
		for index := range running.Nodes {
			if running.Nodes[index] != nil && running.ServingGroups(index, "drafting") != wanted {
				return false
			}
		}
		return true
	}
}

// A member dies for good. Every node must stop sending to its group within
// seconds, the draft under way must end whole elsewhere, and the group must
// come back with the spare.
func TestLostMemberIsReplacedBySpare(t *testing.T) {
	inBubble(t, spare(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		member, number := memberOf(running, 0)
		member.SetFaults(engine.Faults{Dead: true})
		answer := running.Generate(0, "report", "through a loss", 300)
		g.Expect(answer.Text).To(gomega.Equal(engine.Completion(fleet.Prompt("through a loss"), 300)), answer.Error)
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
		running.Eventually(20*time.Second, "two groups serve again", servesBoth(running, 2))
	})
}

// The platform's log is dark for minutes and the node that formed the groups
// is gone. Where engines check fencing numbers, the other node must repair the
// groups all the same: the engines are the arbiters, not the log.
func TestRepairGoesOnInLogOutageWhereEnginesCheckNumbers(t *testing.T) {
	inBubble(t, spare(0), func(_ *testing.T, running *fleet.Fleet, _ *gomega.WithT) {
		running.Environment.Log.SetFaults(platform.LogFaults{Dark: true})
		running.Kill(0)
		member, _ := memberOf(running, 1)
		member.SetFaults(engine.Faults{Dead: true})
		running.Eventually(30*time.Second, "two groups serve again", servesBoth(running, 2))
	})
}

// Engines that ignore fencing numbers take orders only from the holder of a
// lease on the log. With the log dark nobody can take one: the groups that
// stand go on serving, the broken one is not rebuilt until the log is back.
func TestRepairWaitsForTheLogWhereEnginesIgnoreNumbers(t *testing.T) {
	inBubble(t, spare(1), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		running.Environment.Log.SetFaults(platform.LogFaults{Dark: true})
		time.Sleep(15 * time.Second)
		member, _ := memberOf(running, 0)
		member.SetFaults(engine.Faults{Dead: true})
		time.Sleep(40 * time.Second)
		g.Expect(running.ServingGroups(0, "drafting")).To(gomega.Equal(1))
		answer := running.Generate(0, "report", "still serving", 10)
		g.Expect(answer.Complete).To(gomega.BeTrue(), answer.Error)
		running.Environment.Log.SetFaults(platform.LogFaults{})
		running.Eventually(40*time.Second, "two groups serve again", servesBoth(running, 2))
	})
}

// One node cannot reach one engine, for instance for a broken route. The
// engine's group is healthy for everybody else and must not be taken apart: the
// watcher asks another node before it calls a member missing.
func TestMemberThatOneNodeCannotReachCostsNoGroup(t *testing.T) {
	inBubble(t, small(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		member, number := memberOf(running, 0)
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

// The two nodes of a data centre cannot reach each other, so each believes
// that every domain is its own. Both give orders. They may undo each other for
// a while, but no engine may end in two groups, and the groups must settle.
func TestNodesCutOffFromEachOtherSettle(t *testing.T) {
	inBubble(t, spare(0), func(_ *testing.T, running *fleet.Fleet, _ *gomega.WithT) {
		running.Network.Partition(running.Settings[0].Name, running.Settings[1].Listen.Peer)
		running.Network.Partition(running.Settings[1].Name, running.Settings[0].Listen.Peer)
		time.Sleep(10 * time.Second)
		member, _ := memberOf(running, 0)
		member.SetFaults(engine.Faults{Dead: true})
		running.Eventually(60*time.Second, "two groups serve again", servesBoth(running, 2))
		time.Sleep(30 * time.Second)
		running.Eventually(time.Second, "two groups still serve", servesBoth(running, 2))
	})
}

// A member pauses, its group moves on without it, and it comes back still
// believing in the old group. Nobody may serve with the old group, and the
// member must be put to use again.
func TestMemberThatReturnsAfterItsGroupMovedOn(t *testing.T) {
	inBubble(t, spare(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		member, number := memberOf(running, 0)
		member.SetFaults(engine.Faults{Paused: true})
		running.Eventually(40*time.Second, "the group was rebuilt with the spare", func() bool {
			return servesBoth(running, 2)() && !serves(running, number)
		})
		member.SetFaults(engine.Faults{})
		g.Consistently(func() bool { return serves(running, number) }).Should(gomega.BeFalse())
		running.Eventually(20*time.Second, "the member is free again", func() bool { return member.Report().Group == 0 })
	})
}

func serves(running *fleet.Fleet, number uint64) bool {
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

// A whole fabric domain goes dark and comes back restarted, as after a power
// cut of a rack. Its groups stop at once, the other domain's go on, and its
// own are formed again when it is back.
func TestDarkDomainComesBack(t *testing.T) {
	shape := demo.Shape{
		DataCentres: []string{"lakes-a"}, Nodes: 2, Domains: 2, Engines: 4,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}
	inBubble(t, shape, func(_ *testing.T, running *fleet.Fleet, _ *gomega.WithT) {
		for _, server := range running.Environment.Engines[:4] {
			server.SetFaults(engine.Faults{Dead: true})
		}
		running.Eventually(6*time.Second, "one group serves", servesBoth(running, 1))
		time.Sleep(30 * time.Second)
		for _, server := range running.Environment.Engines[:4] {
			server.Restart()
		}
		running.Eventually(20*time.Second, "two groups serve again", servesBoth(running, 2))
	})
}

// A server is about to leave. It gets no new work within seconds, its group
// finishes what it has and is then formed anew without it.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	inBubble(t, spare(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		member, number := memberOf(running, 0)
		member.SetFaults(engine.Faults{Leaving: true})
		time.Sleep(4 * time.Second)
		for index := range running.Nodes {
			for _, group := range running.Nodes[index].State().Routes {
				g.Expect(group.Target.Number).NotTo(gomega.Equal(number))
			}
		}
		running.Eventually(20*time.Second, "two groups serve without it", func() bool {
			return servesBoth(running, 2)() && member.Report().Group == 0
		})
	})
}

// A paused server made each reading of its domain take two seconds, and the
// next plan was made on reports from before the last orders: the same group was
// formed twice under one number. With other members the second time, one
// number would have named two groups, which engines that check numbers accept.
func TestNoFencingNumberIsGivenTwice(t *testing.T) {
	inBubble(t, spare(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		member, number := memberOf(running, 0)
		member.SetFaults(engine.Faults{Paused: true})
		running.Eventually(40*time.Second, "the group was rebuilt", func() bool {
			return servesBoth(running, 2)() && !serves(running, number)
		})
		member.SetFaults(engine.Faults{})
		time.Sleep(20 * time.Second)
		formed := map[uint64]int{}
		for _, given := range formedNumbers(running) {
			formed[given]++
			g.Expect(formed[given]).To(gomega.Equal(1), "group %d", given)
		}
		g.Expect(len(formed)).To(gomega.Equal(3))
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

// One node had two domains to tend and formed the first group of each at the
// same moment. It numbered them by what it saw in each domain, so both got the
// same number, and the router, which knows a group by its number, sent work for
// one to the other.
func TestGroupsOfTwoDomainsHaveNumbersOfTheirOwn(t *testing.T) {
	shape := demo.Shape{
		DataCentres: []string{"lakes-a"}, Nodes: 1, Domains: 2, Engines: 4,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}
	inBubble(t, shape, func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		numbers := map[uint64]string{}
		for _, group := range running.Nodes[0].State().Groups {
			numbers[group.Number] = group.FabricDomain
		}
		g.Expect(numbers).To(gomega.HaveLen(2))
	})
}

// A node was paused past its lease and sends one order that it had ready, to an
// engine that ignores fencing numbers. It cannot be prevented; it must cost one
// group downtime and no more: nobody serves with a member that has left, and no
// engine is in two groups.
func TestStaleOrderCostsOneGroupDowntimeOnly(t *testing.T) {
	inBubble(t, spare(1), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		member, number := memberOf(running, 0)
		others := []string{member.Report().Address, "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
		reply := member.Order(peer.Order{Number: 1, Model: "drafting", Members: others})
		g.Expect(reply.Accepted).To(gomega.BeTrue())
		running.Eventually(4*time.Second, "the group has stopped", func() bool { return !serves(running, number) })
		g.Expect(running.Generate(0, "report", "meanwhile", 10).Complete).To(gomega.BeTrue())
		running.Eventually(60*time.Second, "two groups serve again", servesBoth(running, 2))
	})
}

// The same order to an engine that checks numbers is refused, and nothing
// happens.
func TestStaleOrderIsRefusedWhereNumbersAreChecked(t *testing.T) {
	inBubble(t, spare(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		member, number := memberOf(running, 0)
		reply := member.Order(peer.Order{Number: 1, Model: "drafting", Members: []string{member.Report().Address}})
		g.Expect(reply.Accepted).To(gomega.BeFalse())
		time.Sleep(10 * time.Second)
		g.Expect(serves(running, number)).To(gomega.BeTrue())
	})
}

// Every engine of a data centre is dark. Its callers' drafts must go to the
// neighbouring data centre, in bounds, instead of being refused.
func TestDraftsSpillToTheNeighbour(t *testing.T) {
	shape := demo.Shape{
		DataCentres: []string{"lakes-a", "lakes-b"}, Nodes: 2, Domains: 1, Engines: 4,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}
	inBubble(t, shape, func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		time.Sleep(10 * time.Second)
		for _, server := range running.Environment.Engines[:4] {
			server.SetFaults(engine.Faults{Dead: true})
		}
		running.Eventually(10*time.Second, "the group has stopped", func() bool { return running.ServingGroups(0, "drafting") == 0 })
		time.Sleep(5 * time.Second)
		for index := range running.Nodes {
			answer := running.Generate(index, "report", "from next door", 10)
			g.Expect(answer.Text).To(gomega.Equal(engine.Completion(fleet.Prompt("from next door"), 10)), answer.Error)
		}
		for _, server := range running.Environment.Engines[:4] {
			server.Restart()
		}
	})
}

// A node that has just started has heard no peer yet, so every domain looks
// like its own. It must not plan against the node that is forming a group
// there at that moment.
func TestNodeThatJustStartedGivesNoOrders(t *testing.T) {
	inBubble(t, spare(0), func(_ *testing.T, running *fleet.Fleet, g *gomega.WithT) {
		member, _ := memberOf(running, 0)
		running.Kill(0)
		member.SetFaults(engine.Faults{Dead: true})
		time.Sleep(9 * time.Second)
		running.StartNode(0)
		time.Sleep(2900 * time.Millisecond)
		former := running.Nodes[0].State().Former
		g.Expect(former.Formed + former.Retired + former.Refused + former.Failed).To(gomega.BeZero())
		running.Eventually(30*time.Second, "two groups serve again", servesBoth(running, 2))
	})
}

// Two groups of a lesser model stand while a group of the model that matters
// has lost a member for good. The planner takes a lesser group's members, while
// that group is writing drafts. A planned stop cuts off nothing: the group gets
// no new work, finishes, and is then taken apart.
func TestGroupThatGivesWayFinishesItsDrafts(t *testing.T) {
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
		answers := make(chan fleet.Result, 2)
		callers := conc.NewWaitGroup()
		for index := range 2 {
			callers.Go(func() { answers <- running.Generate(index, "later", "a long summary", 6000) })
		}
		time.Sleep(time.Second)
		memberOfModel(running, "drafting").SetFaults(engine.Faults{Dead: true})
		running.Eventually(10*time.Second, "the group has stopped", func() bool { return running.ServingGroups(0, "drafting") == 0 })
		done := make(chan struct{})
		callers.Go(func() { keepDrafting(running, g, done) })
		running.Eventually(100*time.Second, "the model that matters serves again", func() bool {
			return running.ServingGroups(0, "drafting") == 1
		})
		close(done)
		callers.Wait()
		for range 2 {
			answer := <-answers
			g.Expect(answer.Complete).To(gomega.BeTrue(), answer.Error)
			g.Expect(answer.Text).To(gomega.Equal(engine.Completion(fleet.Prompt("a long summary"), 6000)))
		}
		for _, node := range running.Nodes {
			g.Expect(node.State().Drafts.Resumed).To(gomega.BeZero())
		}
	})
}

// keepDrafting sends one draft after the other at the node that did not plan.
// Each must be whole, or refused without having run.
func keepDrafting(running *fleet.Fleet, g *gomega.WithT, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		// A refusal takes no time; without a pause this would never let any pass.
		time.Sleep(500 * time.Millisecond)
		answer := running.Generate(1, "later", "one more", 400)
		g.Expect(answer.Complete || answer.Outcome == outcome.NotRun).To(gomega.BeTrue(), answer.Error)
	}
}

func memberOfModel(running *fleet.Fleet, model string) *engine.Engine {
	for _, server := range running.Environment.Engines {
		if report := server.Report(); report.Model == model && report.Members[0] != report.Address {
			return server
		}
	}
	return nil
}
