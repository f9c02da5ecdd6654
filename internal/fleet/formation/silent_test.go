package formation_test

import (
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/roster"
)

// servingGroups returns the serving groups of a node.
func servingGroups(node *node) []formation.Group {
	return node.view.Serving(node.list.Load(), []formation.Service{{Name: service, Engine: engine()}})
}

// startLogged makes the first node of a fleet the leader and returns what it logs. The groups have formed on return, which
// is between two reads of the server list.
func startLogged(fleet *fleet) *logBuffer {
	logged := &logBuffer{}
	fleet.nodes[0].controller.Logger = slog.New(slog.NewJSONHandler(logged, nil))
	fleet.nodes[0].setTerm(4096)
	time.Sleep(8100 * time.Millisecond)
	return logged
}

// Guards against ending a sound group because a member is silent for a moment. Its process is paused and its host
// accepts connections. The group must stay open until the member replies again.
func TestGroupWithAPausedMemberIsKept(t *testing.T) {
	for _, rank := range []int{0, 2} {
		for _, span := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				expect := gomega.NewWithT(t)
				fleet := newFleet(2, 1, 7, 1)
				defer fleet.end()
				node := fleet.nodes[0]
				logged := startLogged(fleet)
				group := servingGroupOf(node, "large")
				expect.Expect(group.Members).To(gomega.HaveLen(4))
				orders, connections := node.controller.Counts.Orders.Load(), node.connections.Load()
				fleet.cluster.Pause(span, group.Members[rank])
				for range 4 {
					node.controller.Suspect(group.Head(), group.Name)
					time.Sleep(span / 4)
				}
				time.Sleep(time.Second)
				expect.Expect(servingGroupOf(node, "large").Name).To(gomega.Equal(group.Name))
				expect.Expect(node.controller.Counts.Lost.Load()).To(gomega.BeZero())
				expect.Expect(node.controller.Counts.Orders.Load()).To(gomega.Equal(orders))
				expect.Expect(lines(logged, "former: group kept while members are silent.")).To(gomega.HaveLen(1))
				again := lines(logged, "former: examined group is complete, all members reply again.")
				expect.Expect(again).To(gomega.HaveLen(1))
				expect.Expect(again[0]["Milliseconds"]).To(gomega.BeNumerically(">=", span.Milliseconds()))
				expect.Expect(again[0]["Milliseconds"]).To(gomega.BeNumerically("<", (span + 700*time.Millisecond).Milliseconds()))
				// Each round costs one connection at most, and no reference server is asked.
				expect.Expect(node.connections.Load() - connections).To(gomega.BeNumerically("<=", again[0]["Asked"]))
				expect.Expect(fleet.cluster.Violations()).To(gomega.BeEmpty())
			})
		}
	}
}

// Guards against ending a sound group because a member is paused again and again, and each question meets a pause.
func TestGroupWithAMemberThatPausesOftenIsKept(t *testing.T) {
	for _, running := range []time.Duration{20 * time.Millisecond, 150 * time.Millisecond} {
		for _, paused := range []time.Duration{550 * time.Millisecond, 1730 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				expect := gomega.NewWithT(t)
				fleet := newFleet(2, 1, 7, 1)
				defer fleet.end()
				node := fleet.nodes[0]
				startLogged(fleet)
				group := servingGroupOf(node, "large")
				for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(paused + running) {
					fleet.cluster.Pause(paused, group.Members[2])
					node.controller.Suspect(group.Head(), group.Name)
				}
				expect.Expect(servingGroupOf(node, "large").Name).To(gomega.Equal(group.Name), "%v of %v", running, paused)
				expect.Expect(node.controller.Counts.Lost.Load()).To(gomega.BeZero())
			})
		}
	}
}

// Guards against ending a sound group because this node was paused while it connected to a member. The connection times
// out although it was accepted, and reference servers are connected to after the pause.
func TestPauseOfTheLeaderEndsNoGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(1, 3, 10, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		startLogged(fleet)
		group := servingGroupOf(node, "large")
		node.pauseWhileAsking.Store(&group.Members[2])
		node.controller.Suspect(group.Head(), group.Name)
		time.Sleep(2 * time.Second)
		expect.Expect(node.pauseWhileAsking.Load()).To(gomega.BeNil())
		expect.Expect(node.view.HasEnded(group.Name)).To(gomega.BeFalse())
		expect.Expect(node.controller.Counts.FoundComplete.Load()).To(gomega.BeEquivalentTo(1))
	})
}

// Guards against ending many groups at once because a whole busy machine with their servers is silent for a moment.
func TestAllGroupsAreKeptWhileAllServersArePaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(1, 3, 10, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		logged := startLogged(fleet)
		before := servingGroups(node)
		expect.Expect(len(before)).To(gomega.BeNumerically(">=", 7))
		connections := node.connections.Load()
		for _, server := range fleet.cluster.Servers(service) {
			fleet.cluster.Pause(4*time.Second, server.ID)
		}
		for range 8 {
			for _, group := range before {
				node.controller.Suspect(group.Head(), group.Name)
			}
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(time.Second)
		expect.Expect(servingGroups(node)).To(gomega.Equal(before))
		expect.Expect(node.controller.Counts.Lost.Load()).To(gomega.BeZero())
		expect.Expect(lines(logged, "former: group kept while members are silent.")).To(gomega.HaveLen(len(before)))
		// Eight rounds fit into the pause, each with one connection to each member, and none to a reference server.
		expect.Expect(node.connections.Load() - connections).To(gomega.BeNumerically("<=", 8*30))
	})
}

// Guards against a member that never replies again and whose host still accepts connections, as a process that is stuck.
// Its group is ended once a group without it would have broken by itself. Of several such groups of a model, one is ended
// within a stall timeout, since the servers may still only be paused.
func TestGroupsWithStuckMembersAreEndedOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(1, 3, 10, 1)
		defer fleet.end()
		// The heads have no calls, so that their groups don't break by themselves.
		fleet.cluster.HeadsIdle = true
		node := fleet.nodes[0]
		startLogged(fleet)
		stuck := []formation.Group{}
		for _, group := range servingGroups(node) {
			if group.Model == "small" && len(stuck) < 3 {
				stuck = append(stuck, group)
				fleet.cluster.Pause(time.Hour, group.Members[1])
				node.controller.Suspect(group.Head(), group.Name)
			}
		}
		expect.Expect(stuck).To(gomega.HaveLen(3))
		ended := func() int {
			count := 0
			for _, group := range stuck {
				if node.view.HasEnded(group.Name) {
					count++
				}
			}
			return count
		}
		time.Sleep(5900 * time.Millisecond)
		expect.Expect(ended()).To(gomega.Equal(0))
		time.Sleep(1500 * time.Millisecond)
		expect.Expect(ended()).To(gomega.Equal(1))
		time.Sleep(4500 * time.Millisecond)
		expect.Expect(ended()).To(gomega.Equal(1))
		time.Sleep(1500 * time.Millisecond)
		expect.Expect(ended()).To(gomega.Equal(2))
		time.Sleep(6 * time.Second)
		expect.Expect(ended()).To(gomega.Equal(3))
		for _, group := range stuck {
			// An end on silence alone must not count as a failure of the requests there.
			expect.Expect(slices.Contains(node.changesOf(group.Name), formation.Retired)).To(gomega.BeTrue(), group.Name)
		}
		expect.Expect(fleet.cluster.Violations()).To(gomega.BeEmpty())
	})
}

// Guards against slow recovery from a member that lost power while its fleet is sound: its group is ended within one
// question, as all reference servers respond.
func TestGroupThatIsLostAloneIsEndedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(1, 3, 10, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		logged := startLogged(fleet)
		group := servingGroupOf(node, "large")
		fleet.cluster.Kill(group.Members[2])
		node.controller.Suspect(group.Head(), group.Name)
		time.Sleep(160 * time.Millisecond)
		expect.Expect(node.view.HasEnded(group.Name)).To(gomega.BeTrue())
		lost := lines(logged, "former: group lost members.")
		expect.Expect(lost).To(gomega.HaveLen(1))
		expect.Expect(lost[0]).To(gomega.HaveKeyWithValue("ReferencesAsked", 6.0))
		expect.Expect(lost[0]).To(gomega.HaveKeyWithValue("ReferencesReached", 6.0))
	})
}

// Guards against slow recovery from a member whose process ended: its host refuses connections, and its group is ended
// before a question would time out.
func TestGroupOfAnEndedProcessIsEndedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(1, 3, 10, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		startLogged(fleet)
		group := servingGroupOf(node, "large")
		fleet.cluster.Crash(group.Members[2], 5*time.Second)
		node.controller.Suspect(group.Head(), group.Name)
		time.Sleep(10 * time.Millisecond)
		expect.Expect(node.view.HasEnded(group.Name)).To(gomega.BeTrue())
	})
}

// Guards against a partition that refuses connections: the leader reaches a part of a group, and the rest looks like
// ended processes, as do the reference servers.
func TestPartitionThatRefusesConnectionsEndsNoGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(1, 3, 10, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		startLogged(fleet)
		group := servingGroupOf(node, "large")
		refuses := func(id string) bool { return id != group.Members[1] }
		node.refusesConnections.Store(&refuses)
		for _, server := range fleet.cluster.Servers(service) {
			fleet.cluster.SetPartitioned(server.ID, node.name, refuses(server.ID))
		}
		for range 10 {
			node.controller.Suspect(group.Head(), group.Name)
			time.Sleep(time.Second)
		}
		expect.Expect(node.view.HasEnded(group.Name)).To(gomega.BeFalse())
	})
}

// Guards against slow recovery where several servers are lost at once: some reference servers are lost, too. The group
// is ended after three questions.
func TestGroupIsEndedWhileOtherServersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(1, 1, 10, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		logged := startLogged(fleet)
		group := servingGroupOf(node, "large")
		others := slices.DeleteFunc(fleet.cluster.Servers(service), func(server *roster.Server) bool { return server.Group.Name == group.Name })
		expect.Expect(others).To(gomega.HaveLen(6))
		fleet.cluster.Kill(others[0].ID)
		fleet.cluster.Kill(others[3].ID)
		fleet.cluster.Kill(group.Members[2])
		node.controller.Suspect(group.Head(), group.Name)
		time.Sleep(900 * time.Millisecond)
		expect.Expect(node.view.HasEnded(group.Name)).To(gomega.BeTrue())
		lost := lines(logged, "former: group lost members.")
		expect.Expect(lost).To(gomega.HaveLen(1))
		expect.Expect(lost[0]).To(gomega.HaveKeyWithValue("ReferencesAsked", 6.0))
		expect.Expect(lost[0]).To(gomega.HaveKeyWithValue("ReferencesReached", 4.0))
		expect.Expect(lost[0]).To(gomega.HaveKeyWithValue("Asked", 3.0))
	})
}

// Guards against a leader that ends sound groups because its own network is away. It reaches the other members of the
// group, and few other servers.
func TestLeaderWithoutANetworkEndsNoGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(1, 3, 10, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		startLogged(fleet)
		group := servingGroupOf(node, "large")
		for _, server := range fleet.cluster.Servers(service) {
			if server.Group.Name != group.Name || server.ID == group.Members[2] {
				fleet.cluster.SetPartitioned(server.ID, node.name, true)
			}
		}
		for range 10 {
			node.controller.Suspect(group.Head(), group.Name)
			time.Sleep(time.Second)
		}
		expect.Expect(node.view.HasEnded(group.Name)).To(gomega.BeFalse())
	})
}

// Guards against more questions to reference servers when more groups are suspected at once.
func TestReferencesAreSharedByExaminations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(1, 4, 10, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		startLogged(fleet)
		suspected := servingGroups(node)[:6]
		for _, group := range suspected {
			fleet.cluster.Kill(group.Members[1])
		}
		connections := node.connections.Load()
		for _, group := range suspected {
			node.controller.Suspect(group.Head(), group.Name)
		}
		time.Sleep(160 * time.Millisecond)
		expect.Expect(node.connections.Load() - connections).To(gomega.Equal(int64(len(suspected) + 6)))
		for _, group := range suspected {
			expect.Expect(node.view.HasEnded(group.Name)).To(gomega.BeTrue())
		}
	})
}

// Guards against a member whose entry is gone from the registry only because its process is paused for longer than the
// registry keeps an entry without heartbeats.
func TestGroupWithAPausedMemberWithoutAnEntryIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(2, 1, 7, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		startLogged(fleet)
		group := servingGroupOf(node, "large")
		fleet.cluster.Pause(5*time.Second, group.Members[2])
		node.controller.Suspect(group.Head(), group.Name)
		time.Sleep(3 * time.Second)
		fleet.cluster.Deregister(group.Members[2])
		time.Sleep(1900 * time.Millisecond)
		expect.Expect(node.view.HasEnded(group.Name)).To(gomega.BeFalse())
	})
}

// Guards against ending a sound group because a member without an entry is paused again and again, and each question meets
// a pause.
func TestGroupWithAMemberWithoutAnEntryThatPausesOftenIsKept(t *testing.T) {
	for paused := 1630 * time.Millisecond; paused <= 2030*time.Millisecond; paused += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			fleet := newFleet(2, 1, 7, 1)
			defer fleet.end()
			node := fleet.nodes[0]
			startLogged(fleet)
			group := servingGroupOf(node, "large")
			time.AfterFunc(time.Second, func() { fleet.cluster.Deregister(group.Members[2]) })
			for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(paused + 20*time.Millisecond) {
				fleet.cluster.Pause(paused, group.Members[2])
				node.controller.Suspect(group.Head(), group.Name)
			}
			expect.Expect(node.controller.Counts.Lost.Load()).To(gomega.BeZero(), "%v", paused)
		})
	}
}

// Guards against an examination that goes on under a term that another node has taken over.
func TestExaminationEndsWithTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(2, 1, 7, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		startLogged(fleet)
		group := servingGroupOf(node, "large")
		fleet.cluster.Pause(time.Hour, group.Members[2])
		node.controller.Suspect(group.Head(), group.Name)
		time.Sleep(time.Second)
		node.setTerm(0)
		time.Sleep(time.Second)
		reports := node.controller.Counts.Reports.Load()
		time.Sleep(10 * time.Second)
		expect.Expect(node.controller.Counts.Reports.Load()).To(gomega.Equal(reports))
		expect.Expect(node.view.HasEnded(group.Name)).To(gomega.BeFalse())
	})
}

// keepClosing makes the head of a group report that it is closing for a while after it was ordered to close, as a head
// with streams does. It returns a function that tells when the head has closed.
func (node *node) keepClosing(group formation.Group, span time.Duration) (closedAt func() time.Time) {
	ordered := func() time.Time {
		closes := node.ordersOf(formation.Close, group.Name)
		if len(closes) == 0 {
			return time.Time{}
		}
		return closes[len(closes)-1].at
	}
	edit := func(id string, report *formation.Report) {
		if id == group.Head() && report.Group.Name == group.Name && time.Since(ordered()) < span {
			report.Group.State = roster.Closing
		}
	}
	node.editReport.Store(&edit)
	return func() time.Time { return ordered().Add(span) }
}

// expectLeftOnlyAfter expects that the members of a group were ordered to leave, and only after a time.
func expectLeftOnlyAfter(expect *gomega.WithT, node *node, group formation.Group, closedAt time.Time) {
	leaves := node.ordersOf(formation.Leave, group.Name)
	expect.Expect(leaves).NotTo(gomega.BeEmpty())
	expect.Expect(leaves[0].at.Sub(closedAt)).To(gomega.BeNumerically(">=", 0))
	expect.Expect(leaves[0].at.Sub(closedAt)).To(gomega.BeNumerically("<", 2*time.Second))
	expect.Expect(node.view.MembersFree(group.Name)).To(gomega.BeTrue())
}

// Guards against streams that are cut because the head of a closing group is silent for a moment, or refuses a report
// request. Neither means that it has finished its calls.
func TestClosingGroupIsNotEndedWhileItsHeadIsSilent(t *testing.T) {
	for name, disturb := range map[string]func(fleet *fleet, head string){
		"paused": func(fleet *fleet, head string) { fleet.cluster.Pause(time.Second, head) },
		"refuses requests": func(fleet *fleet, head string) {
			fleet.nodes[0].refusingServer.Store(&head)
			time.Sleep(time.Second)
			fleet.nodes[0].refusingServer.Store(nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				expect := gomega.NewWithT(t)
				fleet := newFleet(2, 1, 7, 1)
				defer fleet.end()
				node := fleet.nodes[0]
				startLogged(fleet)
				group := servingGroupOf(node, "large")
				closedAt := node.keepClosing(group, 5*time.Second)
				fleet.cluster.Drain(group.Members[2])
				time.Sleep(3 * time.Second)
				expect.Expect(node.ordersOf(formation.Close, group.Name)).To(gomega.HaveLen(1))
				disturb(fleet, group.Head())
				time.Sleep(6 * time.Second)
				expectLeftOnlyAfter(expect, node, group, closedAt())
			})
		})
	}
}

// Guards against streams that are cut because the head of a group that is to be closed doesn't reply to the order, or
// refuses it, for a moment.
func TestGroupIsNotEndedWhileItsHeadIsSilentToTheOrderToClose(t *testing.T) {
	for name, disturb := range map[string]func(fleet *fleet, head string){
		"paused": func(fleet *fleet, head string) { fleet.cluster.Pause(4*time.Second, head) },
		"refuses requests": func(fleet *fleet, head string) {
			fleet.nodes[0].refusingServer.Store(&head)
			time.AfterFunc(4*time.Second, func() { fleet.nodes[0].refusingServer.Store(nil) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				expect := gomega.NewWithT(t)
				fleet := newFleet(2, 1, 7, 1)
				defer fleet.end()
				node := fleet.nodes[0]
				startLogged(fleet)
				group := servingGroupOf(node, "large")
				closedAt := node.keepClosing(group, 3*time.Second)
				fleet.cluster.Drain(group.Members[2])
				disturb(fleet, group.Head())
				time.Sleep(9 * time.Second)
				expectLeftOnlyAfter(expect, node, group, closedAt())
			})
		})
	}
}

// Guards against slow recovery from a head that dies while its group closes or is to be closed.
func TestClosingGroupWithoutItsHeadIsEndedAtOnce(t *testing.T) {
	for name, delay := range map[string]time.Duration{"closing": 3 * time.Second, "to be closed": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				expect := gomega.NewWithT(t)
				fleet := newFleet(2, 1, 7, 1)
				defer fleet.end()
				node := fleet.nodes[0]
				startLogged(fleet)
				group := servingGroupOf(node, "large")
				node.keepClosing(group, 8*time.Second)
				fleet.cluster.Drain(group.Members[2])
				time.Sleep(delay)
				fleet.cluster.Kill(group.Head())
				time.Sleep(2500 * time.Millisecond)
				expect.Expect(node.ordersOf(formation.Leave, group.Name)).NotTo(gomega.BeEmpty())
			})
		})
	}
}

// Guards against a group that is ended, with its streams, because one member is not in the registry and another one is
// silent for a moment. The group must be closed first.
func TestGroupWithAnUnlistedAndASilentMemberIsDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(2, 1, 7, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		startLogged(fleet)
		group := servingGroupOf(node, "large")
		closedAt := node.keepClosing(group, time.Second)
		fleet.cluster.Deregister(group.Members[3])
		time.Sleep(2 * time.Second)
		fleet.cluster.Pause(2500*time.Millisecond, group.Members[2])
		time.Sleep(8 * time.Second)
		expect.Expect(node.ordersOf(formation.Close, group.Name)).NotTo(gomega.BeEmpty())
		expectLeftOnlyAfter(expect, node, group, closedAt())
	})
}

// Guards against a group that is given up while it forms because a member is silent, or refuses requests, for a moment,
// and against one that waits for a member that is lost or stuck until the time for its load is over.
func TestFormingGroupWaitsOnlyForMembersThatMayReply(t *testing.T) {
	for name, test := range map[string]struct {
		disturb func(fleet *fleet, id string)
		// givenUp bounds the time after which the group is given up. 0 means that it is kept.
		givenUp time.Duration
	}{
		"paused": {disturb: func(fleet *fleet, id string) { fleet.cluster.Pause(2*time.Second, id) }},
		"refuses requests": {disturb: func(fleet *fleet, id string) {
			fleet.nodes[0].refusingServer.Store(&id)
			time.AfterFunc(2*time.Second, func() { fleet.nodes[0].refusingServer.Store(nil) })
		}},
		"lost power": {disturb: func(fleet *fleet, id string) { fleet.cluster.Kill(id) }, givenUp: 500 * time.Millisecond},
		"ended":      {disturb: func(fleet *fleet, id string) { fleet.cluster.Crash(id, time.Minute) }, givenUp: 500 * time.Millisecond},
		"stuck":      {disturb: func(fleet *fleet, id string) { fleet.cluster.Pause(time.Hour, id) }, givenUp: 7 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				expect := gomega.NewWithT(t)
				fleet := newFleet(2, 1, 7, 1)
				defer fleet.end()
				node := fleet.nodes[0]
				time.Sleep(2 * time.Second)
				node.setTerm(4096)
				time.Sleep(500 * time.Millisecond)
				joining := slices.DeleteFunc(fleet.cluster.Servers(service), func(server *roster.Server) bool {
					return server.Model != "large" || server.Group.State != roster.Joining
				})
				expect.Expect(joining).To(gomega.HaveLen(4))
				test.disturb(fleet, joining[2].ID)
				if test.givenUp > 0 {
					time.Sleep(test.givenUp)
					expect.Expect(node.controller.Counts.Abandoned.Load()).To(gomega.BeEquivalentTo(1))
					expect.Expect(node.controller.State().Lost).To(gomega.ConsistOf(joining[2].ID))
					return
				}
				time.Sleep(6 * time.Second)
				expect.Expect(node.controller.Counts.Abandoned.Load()).To(gomega.BeZero())
				expect.Expect(fleet.cluster.CompleteGroups()["large"]).To(gomega.Equal(1))
				expect.Expect(fleet.cluster.Violations()).To(gomega.BeEmpty())
			})
		})
	}
}

// Guards against references that say what this node reached before its network went away. The leader asks about one group
// and soon after that about another one, of which it still reaches a member.
func TestOlderReferencesDontCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(1, 3, 10, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		startLogged(fleet)
		lost, kept := servingGroupOf(node, "large"), servingGroupOf(node, "small")
		fleet.cluster.Kill(lost.Members[1])
		node.controller.Suspect(lost.Head(), lost.Name)
		time.Sleep(100 * time.Millisecond)
		for _, server := range fleet.cluster.Servers(service) {
			fleet.cluster.SetPartitioned(server.ID, node.name, server.ID != kept.Members[1])
		}
		node.controller.Suspect(kept.Head(), kept.Name)
		time.Sleep(5 * time.Second)
		expect.Expect(node.view.HasEnded(kept.Name)).To(gomega.BeFalse())
	})
}

// Guards against slow recovery from a member whose entry is gone: neither the registry nor the leader hears of it, so no
// reference server is needed.
func TestUnlistedMemberWithoutAConnectionIsLostAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(1, 1, 10, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		startLogged(fleet)
		group := servingGroupOf(node, "large")
		others := slices.DeleteFunc(fleet.cluster.Servers(service), func(server *roster.Server) bool { return server.Group.Name == group.Name })
		fleet.cluster.Kill(group.Members[2])
		time.Sleep(1700 * time.Millisecond)
		expect.Expect(node.list.Load().Servers).NotTo(gomega.HaveKey(group.Members[2]))
		fleet.cluster.Kill(others[0].ID)
		node.controller.Suspect(group.Head(), group.Name)
		time.Sleep(160 * time.Millisecond)
		expect.Expect(node.view.HasEnded(group.Name)).To(gomega.BeTrue())
	})
}

// Guards against servers that stay out of use although they are sound: members that are silent while another one is lost,
// and lost ones that reply again.
func TestOnlyLostMembersAreExcludedUntilTheyReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(2, 1, 7, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		startLogged(fleet)
		group := servingGroupOf(node, "large")
		fleet.cluster.SetPartitioned(group.Head(), node.name, true)
		fleet.cluster.Pause(time.Second, group.Members[2])
		node.controller.Suspect(group.Head(), group.Name)
		time.Sleep(time.Second)
		expect.Expect(node.controller.State().Lost).To(gomega.ConsistOf(group.Head()))
		fleet.cluster.SetPartitioned(group.Head(), node.name, false)
		time.Sleep(1500 * time.Millisecond)
		expect.Expect(node.controller.State().Lost).To(gomega.BeEmpty())
		expect.Expect(node.view.MembersFree(group.Name)).To(gomega.BeTrue())
	})
}

// Guards against a group that isn't drained because one of its members is silent.
func TestExaminedGroupIsDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(2, 1, 7, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		startLogged(fleet)
		group := servingGroupOf(node, "large")
		fleet.cluster.Pause(5*time.Second, group.Members[2])
		node.controller.Suspect(group.Head(), group.Name)
		fleet.cluster.Drain(group.Members[3])
		time.Sleep(3 * time.Second)
		expect.Expect(node.ordersOf(formation.Close, group.Name)).To(gomega.HaveLen(1))
	})
}

// Guards against a node that goes on ending a group after it has lost its term.
func TestDrainEndsWithTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(2, 1, 7, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		logged := startLogged(fleet)
		group := servingGroupOf(node, "large")
		node.keepClosing(group, 5*time.Second)
		fleet.cluster.Drain(group.Members[3])
		time.Sleep(3 * time.Second)
		expect.Expect(node.ordersOf(formation.Close, group.Name)).To(gomega.HaveLen(1))
		node.setTerm(0)
		time.Sleep(8 * time.Second)
		expect.Expect(node.ordersOf(formation.Leave, group.Name)).To(gomega.BeEmpty())
		expect.Expect(lines(logged, "former: group not ended because none of its members can be reached.")).To(gomega.BeEmpty())
	})
}

// Guards against a sound group that is retired although the missing entry of its member is back.
func TestGroupStaysIfTheMissingEntryIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(2, 1, 7, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		startLogged(fleet)
		group := servingGroupOf(node, "large")
		node.unlisted.Store(group.Members[3], true)
		time.Sleep(1500 * time.Millisecond)
		fleet.cluster.Pause(4*time.Second, group.Members[2])
		time.Sleep(1400 * time.Millisecond)
		node.unlisted.Delete(group.Members[3])
		time.Sleep(8 * time.Second)
		expect.Expect(node.view.HasEnded(group.Name)).To(gomega.BeFalse())
		expect.Expect(servingGroupOf(node, "large").Name).To(gomega.Equal(group.Name))
	})
}

// Guards against free servers that are kept from forming a group for seconds because one of them is silent for a moment.
// No order was sent to any of them, so there is nothing to take back.
func TestSilentFreeServerDelaysNoOtherGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(2, 1, 7, 1)
		defer fleet.end()
		node := fleet.nodes[0]
		time.Sleep(2 * time.Second)
		fleet.cluster.Pause(1500*time.Millisecond, "i-0-02")
		node.setTerm(4096)
		time.Sleep(6 * time.Second)
		expect.Expect(fleet.cluster.CompleteGroups()["large"]).To(gomega.Equal(1))
		node.ordersMu.Lock()
		defer node.ordersMu.Unlock()
		for _, order := range node.orders {
			expect.Expect(order.Kind).NotTo(gomega.Equal(formation.Leave))
		}
	})
}
