package formation_test

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/standin/backends"
	"hazelslip/internal/state/configuration"
	"hazelslip/internal/state/storelog"
)

const service = "drafts"

func engine() *configuration.Engine {
	return &configuration.Engine{
		Slots: 16, LoadsPerSecond: 5, LoadsAtOnce: 7, FormTime: 300 * time.Millisecond,
		Models: []configuration.Model{
			{Name: "large", Size: 4, Share: 0.5, Pace: 1, LoadTime: 16 * time.Second, WarmupTime: 1600 * time.Millisecond},
			{Name: "small", Size: 2, Share: 0.5, Pace: 0.6, LoadTime: 12 * time.Second, WarmupTime: 1100 * time.Millisecond},
		},
	}
}

// node is one node that may give orders, with its own list of servers.
type node struct {
	name   string
	world  *backends.Cluster
	former *formation.Former
	view   *formation.View
	list   *roster.List

	mu    sync.Mutex
	term  int64
	other []*node
	// refused is told of a term that a server refused.
	refused func(term int64)
	// slow is how long an order to join takes on its way.
	slow atomic.Int64
	// apart says that its news doesn't reach the others.
	apart atomic.Bool
	// refusing is the server that refuses all questions and orders with a backoff, asked
	// counts those that it got.
	refusing atomic.Pointer[string]
	asked    atomic.Int64
}

// refuses says whether a server refuses.
func (node *node) refuses(id string) bool {
	refusing := node.refusing.Load()
	return refusing != nil && *refusing == id
}

func newNode(name string, world *backends.Cluster, now clock.Now) *node {
	created := &node{name: name, world: world, list: roster.New()}
	created.view = formation.NewView(now, formation.Servers(created.list.Load))
	logger := slog.New(slog.DiscardHandler)
	if os.Getenv("HAZELSLIP_LOG") != "" {
		logger = slog.New(slog.NewTextHandler(os.Stdout, nil))
	}
	created.former = formation.New(formation.Parts{
		Told: func() bool { return false },
		Fleet: formation.Fleet{
			Report: func(_ context.Context, server *roster.Server) (formation.Report, error) {
				time.Sleep(time.Millisecond)
				if created.refuses(server.ID) {
					created.asked.Add(1)
					return formation.Report{}, formation.ErrRefused
				}
				return world.Report(name, server.ID)
			},
			Order: func(_ context.Context, server *roster.Server, order formation.Order) (formation.Result, error) {
				time.Sleep(time.Millisecond)
				if created.refuses(server.ID) {
					created.asked.Add(1)
					return formation.Invalid, formation.ErrRefused
				}
				if order.Kind == formation.Join {
					time.Sleep(time.Duration(created.slow.Load()))
				}
				return world.Order(name, server.ID, order)
			},
		},
		View: created.view, Servers: created.list.Load,
		Services: func() []formation.Service { return []formation.Service{{Name: service, Engine: engine()}} },
		Term:     created.currentTerm, Outdated: created.outdated, Announce: created.announce,
		Load:     func(string, string) formation.Usage { return formation.Usage{} },
		Quiet:    func() bool { return false },
		BacksOff: func(server *roster.Server) bool { return created.refuses(server.ID) },
		Bounds: formation.Bounds{
			Stall: 6 * time.Second, LoadWindow: 5 * time.Second, LoadBurst: 1.1,
		},
		Now: now, Logger: logger,
	})
	return created
}

func (node *node) currentTerm() int64 {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.term
}

func (node *node) setTerm(term int64) {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.term = term
}

func (node *node) outdated(term int64) {
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.term == term {
		node.term = 0
	}
	if node.refused != nil {
		node.refused(term)
	}
}

func (node *node) announce(news formation.News) {
	node.view.Learn(news)
	for _, other := range node.other {
		if !node.apart.Load() && !other.apart.Load() {
			other.view.Learn(news)
		}
	}
}

// read brings the node's list of servers up to date, as of a second ago.
func (node *node) read(now clock.Now) func() {
	position := int64(0)
	previous := []*roster.Server{}
	return func() {
		position++
		records := []roster.Record{}
		for _, server := range previous {
			records = append(records, roster.Record{ID: server.ID, Position: storelog.Position{Offset: position}, Server: server})
		}
		node.list.Take(roster.Reading{Records: records, End: storelog.Position{Offset: position}, ReadAt: now(), Whole: true})
		previous = node.world.Servers(service)
	}
}

// fleet is a world with nodes whose lists are read every 0.8 s.
type fleet struct {
	world *backends.Cluster
	nodes []*node
	stop  []func()
}

func newFleet(seed uint64, domains, size, count int) *fleet {
	now := clock.Virtual()
	world := backends.New(now, engine(), seed)
	world.ReportLag = 200 * time.Millisecond
	for domain := range domains {
		for number := range size {
			staged := "large"
			if number >= 5 {
				staged = "small"
			}
			world.Add(fmt.Sprintf("i-%d-%02d", domain, number), "domain-"+strconv.Itoa(domain), "east", staged)
		}
	}
	made := &fleet{world: world}
	for number := range count {
		made.nodes = append(made.nodes, newNode("node-"+strconv.Itoa(number), world, now))
	}
	for _, one := range made.nodes {
		for _, other := range made.nodes {
			if one != other {
				one.other = append(one.other, other)
			}
		}
		reader := make(chan struct{})
		refresh := one.read(now)
		go func() {
			ticker := time.NewTicker(800 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-reader:
					return
				case <-ticker.C:
					refresh()
				}
			}
		}()
		made.stop = append(made.stop, func() { close(reader); one.former.Stop() })
		one.former.Start()
	}
	return made
}

func (fleet *fleet) end() {
	for _, stop := range fleet.stop {
		stop()
	}
	// Orders that are carried out late come to their end.
	time.Sleep(20 * time.Second)
}

// headOf returns a serving head and its members.
func headOf(node *node, model string) formation.Group {
	groups := node.view.Serving(node.list.Load(), []formation.Service{{Name: service, Engine: engine()}})
	sort.Slice(groups, func(i, j int) bool { return groups[i].Name < groups[j].Name })
	for _, group := range groups {
		if group.Model == model {
			return group
		}
	}
	return formation.Group{}
}

func TestGroupsFormOfFreeServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(1, 3, 10, 1)
		fleet.nodes[0].setTerm(4096)
		time.Sleep(8 * time.Second)
		expect.Expect(fleet.world.CompleteGroups()["large"]).To(gomega.BeNumerically(">=", 2))
		expect.Expect(fleet.world.CompleteGroups()["small"]).To(gomega.BeNumerically(">=", 5))
		expect.Expect(fleet.world.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// A member of a group loses power. Callers' streams fall silent, a node tells
// the one that gives orders, and the survivors with a staged spare of the
// domain serve again within seconds, without a load.
func TestLostMemberIsReplacedByASpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(2, 1, 7, 1)
		fleet.nodes[0].setTerm(4096)
		time.Sleep(8 * time.Second)
		group := headOf(fleet.nodes[0], "large")
		expect.Expect(group.Members).To(gomega.HaveLen(4))
		fleet.world.Kill(group.Members[2])
		fleet.nodes[0].former.Suspect(group.Head(), group.Name)
		time.Sleep(3500 * time.Millisecond)
		expect.Expect(fleet.world.CompleteGroups()["large"]).To(gomega.Equal(1))
		expect.Expect(fleet.world.JoinLoads()).To(gomega.BeZero())
		expect.Expect(fleet.world.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// The node that gives orders is cut off from a whole data centre, whose groups
// serve on. It can reach none of a group's members, waits for the stall bound,
// and calls the members free; after the cut, whoever gives orders then joins a
// member to another group while the old head still serves. So a group of which
// nobody can be reached must be left alone.
func TestGroupOnTheFarSideOfACutIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(3, 2, 10, 2)
		first, second := fleet.nodes[0], fleet.nodes[1]
		first.setTerm(4096)
		time.Sleep(8 * time.Second)
		group := headOf(first, "small")
		for _, id := range group.Members {
			fleet.world.SetPartitioned(id, first.name, true)
		}
		first.former.Suspect(group.Head(), group.Name)
		time.Sleep(9 * time.Second)
		expect.Expect(second.view.Ended(group.Name)).To(gomega.BeFalse())
		first.setTerm(0)
		second.setTerm(8192)
		time.Sleep(8 * time.Second)
		expect.Expect(fleet.world.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// The head of a group can't be reached by the node that gives orders, and
// serves callers of other nodes. Its members may join another group only after
// one of them has left and the head has stood still for longer than the stall
// bound.
func TestMembersOfAnUnreachableHeadWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(4, 1, 10, 1)
		fleet.nodes[0].setTerm(4096)
		time.Sleep(8 * time.Second)
		group := headOf(fleet.nodes[0], "large")
		fleet.world.SetPartitioned(group.Head(), fleet.nodes[0].name, true)
		fleet.nodes[0].former.Suspect(group.Head(), group.Name)
		time.Sleep(5 * time.Second)
		expect.Expect(fleet.nodes[0].view.Free(group.Name)).To(gomega.BeFalse())
		time.Sleep(8 * time.Second)
		expect.Expect(fleet.nodes[0].view.Free(group.Name)).To(gomega.BeTrue())
		expect.Expect(fleet.world.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// The same, but the head has no calls: it doesn't notice that a member left, and
// stays open. It still beats to the registry. Its members must not join another
// group while the list shows it open.
func TestMembersOfAnIdleUnreachableHeadWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(5, 1, 10, 1)
		fleet.world.HeadsIdle = true
		fleet.nodes[0].setTerm(4096)
		time.Sleep(8 * time.Second)
		group := headOf(fleet.nodes[0], "large")
		fleet.world.SetPartitioned(group.Head(), fleet.nodes[0].name, true)
		fleet.nodes[0].former.Suspect(group.Head(), group.Name)
		time.Sleep(20 * time.Second)
		expect.Expect(fleet.nodes[0].view.Free(group.Name)).To(gomega.BeFalse())
		fleet.world.SetPartitioned(group.Head(), fleet.nodes[0].name, false)
		time.Sleep(3 * time.Second)
		expect.Expect(fleet.nodes[0].view.Free(group.Name)).To(gomega.BeTrue())
		expect.Expect(fleet.world.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// News of one group comes from several nodes and again and again. A group that
// was released must not seem merely lost when older news of it arrives late.
func TestLateNewsOfAGroupChangesNothing(t *testing.T) {
	expect := gomega.NewWithT(t)
	view := formation.NewView(clock.Boot)
	group := formation.Group{Name: "g1", Members: []string{"i-1", "i-2"}}
	expect.Expect(view.Learn(formation.News{Change: formation.Released, Group: group})).To(gomega.BeTrue())
	for _, change := range []formation.Change{formation.Lost, formation.Opened, formation.Retired, formation.Released} {
		expect.Expect(view.Learn(formation.News{Change: change, Group: group})).To(gomega.BeFalse())
	}
	expect.Expect(view.Free("g1")).To(gomega.BeTrue())
}

// Two nodes believe that they give orders. One asks free servers, and its
// orders to join take long; meanwhile the other, under a lower number, forms a
// group of the same servers and opens it. The late orders come under a higher
// number; only the count of orders that they expect keeps them from taking the
// servers out of the serving group.
func TestLateOrdersOfASecondHolderAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(6, 1, 10, 2)
		first, second := fleet.nodes[0], fleet.nodes[1]
		first.apart.Store(true)
		second.slow.Store(int64(2600 * time.Millisecond))
		time.Sleep(2 * time.Second)
		second.setTerm(8192)
		time.Sleep(200 * time.Millisecond)
		first.setTerm(4096)
		time.Sleep(12 * time.Second)
		expect.Expect(fleet.world.CompleteGroups()["large"]).To(gomega.BeNumerically(">=", 1))
		expect.Expect(fleet.world.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// Many empty servers come at once, and the right to give orders changes hands
// while they load. Loads must stay within what the weight store allows in any
// window, counted over all nodes.
func TestLoadsStayWithinTheWeightStoresBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(7, 2, 10, 2)
		fleet.nodes[0].setTerm(4096)
		time.Sleep(5 * time.Second)
		for number := range 60 {
			fleet.world.Add(fmt.Sprintf("new-%02d", number), "domain-"+strconv.Itoa(number%6), "east")
		}
		for term := int64(2); term < 20; term++ {
			time.Sleep(3 * time.Second)
			fleet.nodes[(term+1)%2].setTerm(0)
			fleet.nodes[term%2].setTerm(term * 4096)
		}
		expect.Expect(fleet.world.Loads()).To(gomega.BeNumerically(">", 20))
		expect.Expect(fleet.world.MaxLoadsWithin(5 * time.Second)).To(gomega.BeNumerically("<=", 30))
		fleet.end()
	})
}

// Servers die, are cut off from one node or the other, lose answers and carry
// orders out up to twelve seconds late; the right to give orders changes hands
// in the middle of things, and at times both nodes believe that they have it.
// No server may be taken out of a group that serves, and no head may serve
// before all its members were ready.
func TestRandomFaultsOfOrders(t *testing.T) {
	rapid.Check(t, func(property *rapid.T) {
		seed := rapid.Uint64().Draw(property, "seed")
		steps := rapid.SliceOfN(rapid.IntRange(0, 9999), 10, 30).Draw(property, "steps")
		synctest.Test(t, func(*testing.T) {
			fleet := newFleet(seed, 2, 10, 2)
			term := int64(4096)
			fleet.nodes[0].setTerm(term)
			time.Sleep(5 * time.Second)
			for _, step := range steps {
				term += 4096
				fleet.upset(step, term)
				time.Sleep(time.Duration(step%37) * 50 * time.Millisecond)
			}
			time.Sleep(5 * time.Second)
			for _, node := range fleet.nodes {
				node.setTerm(0)
			}
			fleet.end()
			if violations := fleet.world.Violations(); len(violations) > 0 {
				property.Fatalf("seed %d, steps %v: %v", seed, steps, violations)
			}
		})
	})
}

// upset makes one thing go wrong, or mends it.
func (fleet *fleet) upset(step int, term int64) {
	servers := fleet.world.Servers(service)
	if len(servers) == 0 {
		return
	}
	server := servers[step%len(servers)]
	node := fleet.nodes[step/7%2]
	switch step % 11 {
	case 0, 1:
		fleet.world.Kill(server.ID)
	case 2, 3:
		fleet.world.SetPartitioned(server.ID, node.name, step%2 == 0)
	case 4:
		for _, other := range servers {
			if other.FabricDomain == server.FabricDomain {
				fleet.world.SetPartitioned(other.ID, node.name, step/13%2 == 0)
			}
		}
	case 5, 6:
		fleet.world.SetFaults(server.ID, backends.Faults{LostReplies: 0.4, Delayed: 0.4, Delay: time.Duration(2+step%11) * time.Second})
	case 7:
		node.setTerm(term)
	case 8:
		node.apart.Store(!node.apart.Load())
	case 9:
		fleet.world.Drain(server.ID)
	case 10:
		for _, other := range fleet.nodes {
			if group := headOf(other, "large"); group.Name != "" {
				other.former.Suspect(group.Head(), group.Name)
			}
		}
	}
}
