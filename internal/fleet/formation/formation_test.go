package formation_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
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
		Slots: 16, LoadsPerSecond: 5, LoadsAtOnce: 7, FormationTime: 300 * time.Millisecond,
		Models: []configuration.Model{
			{Name: "large", Size: 4, Share: 0.5, Pace: 1, LoadTime: 16 * time.Second, WarmupTime: 1600 * time.Millisecond},
			{Name: "small", Size: 2, Share: 0.5, Pace: 0.6, LoadTime: 12 * time.Second, WarmupTime: 1100 * time.Millisecond},
		},
	}
}

// node is one gateway node that may be the leader, with its own copy of the server list.
type node struct {
	name       string
	cluster    *backends.Cluster
	controller *formation.Controller
	view       *formation.View
	list       *roster.List

	mu    sync.Mutex
	term  int64
	peers []*node
	// onOutdated is called with a term that a server refused.
	onOutdated func(term int64)
	// joinDelay is the transit time of an order to join, in nanoseconds.
	joinDelay atomic.Int64
	// isolated cuts announcements between this node and the others, in both directions.
	isolated atomic.Bool
	// refusingServer is the server that refuses all report requests and orders because of a
	// backoff. requestsRefused counts the requests and orders that it got.
	refusingServer  atomic.Pointer[string]
	requestsRefused atomic.Int64
	// connections counts the connections that the leader opened in addition to its requests and orders.
	connections atomic.Int64
	// refusesConnections reports whether a server's host refuses connections. Nil stands for no server.
	refusesConnections atomic.Pointer[func(id string) bool]
	// clockAdvance is how far the node's clock has moved while the node was paused. pauseWhileAsking is a server whose next
	// report and connection time out because the node is paused for nodePause meanwhile.
	clockAdvance     atomic.Int64
	pauseWhileAsking atomic.Pointer[string]
	// unlisted holds the servers that are missing from the node's server list.
	unlisted sync.Map
	// editReport, if set, changes a server's report on its way to the node.
	editReport atomic.Pointer[func(id string, report *formation.Report)]

	ordersMu sync.Mutex
	orders   []sentOrder
	// announced are the changes that the node announced, by group.
	announced map[string][]formation.Change
}

// changesOf returns the changes of a group that the node announced.
func (node *node) changesOf(group string) []formation.Change {
	node.ordersMu.Lock()
	defer node.ordersMu.Unlock()
	return node.announced[group]
}

// sentOrder is an order that a node sent, whether or not it arrived.
type sentOrder struct {
	at     time.Time
	server string
	formation.Order
}

// ordersOf returns the orders of a kind that the node sent for a group.
func (node *node) ordersOf(kind formation.OrderKind, group string) []sentOrder {
	node.ordersMu.Lock()
	defer node.ordersMu.Unlock()
	found := []sentOrder{}
	for _, order := range node.orders {
		if order.Kind == kind && order.Group == group {
			found = append(found, order)
		}
	}
	return found
}

func (node *node) recordOrder(server string, order formation.Order) {
	node.ordersMu.Lock()
	defer node.ordersMu.Unlock()
	node.orders = append(node.orders, sentOrder{at: time.Now(), server: server, Order: order})
}

// report requests a server's report.
func (node *node) report(id string) (formation.Report, error) {
	report, err := node.cluster.Report(node.name, id)
	if edit := node.editReport.Load(); edit != nil && err == nil {
		(*edit)(id, &report)
	}
	return report, err
}

// reportTimeout is the time limit of a report, in which a node may be paused for nodePause.
const (
	reportTimeout = 150 * time.Millisecond
	nodePause     = 110 * time.Millisecond
)

var errPaused = errors.New("no response from the paused server")

// isRefusing reports whether a server refuses all requests.
func (node *node) isRefusing(id string) bool {
	refusing := node.refusingServer.Load()
	return refusing != nil && *refusing == id
}

func newNode(name string, cluster *backends.Cluster, now clock.Now) *node {
	created := &node{name: name, cluster: cluster, list: roster.New()}
	created.view = formation.NewView(now, formation.WithServerList(created.list.Load))
	logger := slog.New(slog.DiscardHandler)
	if os.Getenv("HAZELSLIP_LOG") != "" {
		logger = slog.New(slog.NewTextHandler(os.Stdout, nil))
	}
	created.controller = formation.New(formation.Dependencies{
		FedByUpstream: func() bool { return false },
		ServerClient: formation.ServerClient{
			Report: func(ctx context.Context, server *roster.Server) (formation.Report, error) {
				if id := created.pauseWhileAsking.Load(); id != nil && *id == server.ID {
					time.Sleep(reportTimeout - nodePause)
					return formation.Report{}, context.DeadlineExceeded
				}
				time.Sleep(time.Millisecond)
				if state, remaining := cluster.ProcessState(server.ID); state == backends.ProcessPaused {
					// The process replies once it runs again.
					timer := time.NewTimer(remaining)
					defer timer.Stop()
					select {
					case <-ctx.Done():
						return formation.Report{}, errPaused
					case <-timer.C:
					}
				}
				if created.isRefusing(server.ID) {
					created.requestsRefused.Add(1)
					return formation.Report{}, formation.ErrRefused
				}
				return created.report(server.ID)
			},
			Order: func(ctx context.Context, server *roster.Server, order formation.Order) (formation.Result, error) {
				created.recordOrder(server.ID, order)
				time.Sleep(time.Millisecond)
				if state, remaining := cluster.ProcessState(server.ID); state == backends.ProcessPaused {
					// The process reads the order once it runs again.
					time.AfterFunc(remaining, func() { _, _ = cluster.Order(name, server.ID, order) })
					<-ctx.Done()
					return formation.Invalid, errPaused
				}
				if created.isRefusing(server.ID) {
					created.requestsRefused.Add(1)
					return formation.Invalid, formation.ErrRefused
				}
				if order.Kind == formation.Join {
					time.Sleep(time.Duration(created.joinDelay.Load()))
				}
				return cluster.Order(name, server.ID, order)
			},
			Connect: created.connect,
		},
		View: created.view, Servers: created.list.Load,
		Services: func() []formation.Service { return []formation.Service{{Name: service, Engine: engine()}} },
		Term:     created.currentTerm, TermOutdated: created.outdated, Announce: created.announce,
		ModelUsage:         func(string, string) formation.Usage { return formation.Usage{} },
		BeforeFirstRequest: func() bool { return false },
		InBackoff:          func(server *roster.Server) bool { return created.isRefusing(server.ID) },
		Bounds: formation.Bounds{
			StallTimeout: 6 * time.Second, LoadWindow: 5 * time.Second, LoadBurstFactor: 1.1,
		},
		Random: rand.New(rand.NewPCG(1, uint64(len(name)))),
		Now:    func() time.Duration { return now() + time.Duration(created.clockAdvance.Load()) }, Logger: logger,
	})
	return created
}

// connect opens a connection to a server. The host of a paused process accepts it, that of an ended one refuses it. A
// connection to a host without power or behind a partition times out.
func (node *node) connect(ctx context.Context, server *roster.Server) error {
	node.connections.Add(1)
	if id := node.pauseWhileAsking.Load(); id != nil && *id == server.ID {
		node.pauseWhileAsking.Store(nil)
		node.clockAdvance.Add(int64(nodePause))
		return os.ErrDeadlineExceeded
	}
	time.Sleep(time.Millisecond)
	if refuses := node.refusesConnections.Load(); refuses != nil && (*refuses)(server.ID) {
		return syscall.ECONNREFUSED
	}
	_, err := node.cluster.Report(node.name, server.ID)
	state, _ := node.cluster.ProcessState(server.ID)
	switch {
	case err == nil || state == backends.ProcessPaused:
		return nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return err
	}
	<-ctx.Done()
	return os.ErrDeadlineExceeded
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
	if node.onOutdated != nil {
		node.onOutdated(term)
	}
}

func (node *node) announce(announcement formation.Announcement) {
	node.ordersMu.Lock()
	if node.announced == nil {
		node.announced = map[string][]formation.Change{}
	}
	node.announced[announcement.Group.Name] = append(node.announced[announcement.Group.Name], announcement.Change)
	node.ordersMu.Unlock()
	node.view.Apply(announcement)
	for _, other := range node.peers {
		if !node.isolated.Load() && !other.isolated.Load() {
			other.view.Apply(announcement)
		}
	}
}

// listReader returns a function that updates the node's server list to the servers' state at the
// previous call.
func (node *node) listReader(now clock.Now) func() {
	position := int64(0)
	previous := []*roster.Server{}
	return func() {
		position++
		records := []roster.Record{}
		for _, server := range previous {
			if _, hidden := node.unlisted.Load(server.ID); hidden {
				continue
			}
			records = append(records, roster.Record{ID: server.ID, Position: storelog.Position{Offset: position}, Server: server})
		}
		node.list.Merge(roster.Update{Records: records, End: storelog.Position{Offset: position}, ReadAt: now(), Complete: true})
		previous = node.cluster.Servers(service)
	}
}

// fleet is a simulated cluster with nodes that read the server list every 0.8 s.
type fleet struct {
	cluster *backends.Cluster
	nodes   []*node
	stop    []func()
}

func newFleet(seed uint64, domains, size, count int) *fleet {
	now := clock.Virtual()
	cluster := backends.New(now, engine(), seed)
	cluster.ReportLag = 200 * time.Millisecond
	for domain := range domains {
		for index := range size {
			staged := "large"
			if index >= 5 {
				staged = "small"
			}
			cluster.Add(fmt.Sprintf("i-%d-%02d", domain, index), "domain-"+strconv.Itoa(domain), "east", staged)
		}
	}
	created := &fleet{cluster: cluster}
	for index := range count {
		created.nodes = append(created.nodes, newNode("node-"+strconv.Itoa(index), cluster, now))
	}
	for _, node := range created.nodes {
		for _, other := range created.nodes {
			if node != other {
				node.peers = append(node.peers, other)
			}
		}
		reader := make(chan struct{})
		refresh := node.listReader(now)
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
		created.stop = append(created.stop, func() { close(reader); node.controller.Stop() })
		node.controller.Start()
	}
	return created
}

func (fleet *fleet) end() {
	for _, stop := range fleet.stop {
		stop()
	}
	// Delayed orders are still carried out during this time.
	time.Sleep(20 * time.Second)
}

// servingGroupOf returns the first serving group of a model by name, or an empty group.
func servingGroupOf(node *node, model string) formation.Group {
	groups := node.view.Serving(node.list.Load(), []formation.Service{{Name: service, Engine: engine()}})
	sort.Slice(groups, func(i, j int) bool { return groups[i].Name < groups[j].Name })
	for _, group := range groups {
		if group.Model == model {
			return group
		}
	}
	return formation.Group{}
}

func TestGroupsAreFormedFromFreeServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(1, 3, 10, 1)
		fleet.nodes[0].setTerm(4096)
		time.Sleep(8 * time.Second)
		expect.Expect(fleet.cluster.CompleteGroups()["large"]).To(gomega.BeNumerically(">=", 2))
		expect.Expect(fleet.cluster.CompleteGroups()["small"]).To(gomega.BeNumerically(">=", 5))
		expect.Expect(fleet.cluster.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// Guards against slow recovery from a lost member. A member loses power, the callers' streams
// stall, and a node reports the head to the leader. The remaining members and a staged free server
// of the same domain must serve again within seconds, without a load.
func TestLostMemberIsReplacedByAFreeServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(2, 1, 7, 1)
		fleet.nodes[0].setTerm(4096)
		time.Sleep(8 * time.Second)
		group := servingGroupOf(fleet.nodes[0], "large")
		expect.Expect(group.Members).To(gomega.HaveLen(4))
		fleet.cluster.Kill(group.Members[2])
		fleet.nodes[0].controller.Suspect(group.Head(), group.Name)
		time.Sleep(3500 * time.Millisecond)
		expect.Expect(fleet.cluster.CompleteGroups()["large"]).To(gomega.Equal(1))
		expect.Expect(fleet.cluster.JoinLoads()).To(gomega.BeZero())
		expect.Expect(fleet.cluster.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// Guards against releasing the members of a group that the leader can't reach at all. The leader is
// cut off from a whole data centre whose groups continue to serve. If it waited for the stall
// timeout and then released the members, the next leader could join a member to another group while
// the old head still serves. So a group without a reachable member must not be ended.
func TestFullyUnreachableGroupIsNotEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(3, 2, 10, 2)
		first, second := fleet.nodes[0], fleet.nodes[1]
		first.setTerm(4096)
		time.Sleep(8 * time.Second)
		group := servingGroupOf(first, "small")
		for _, id := range group.Members {
			fleet.cluster.SetPartitioned(id, first.name, true)
		}
		first.controller.Suspect(group.Head(), group.Name)
		time.Sleep(9 * time.Second)
		expect.Expect(second.view.HasEnded(group.Name)).To(gomega.BeFalse())
		first.setTerm(0)
		second.setTerm(8192)
		time.Sleep(8 * time.Second)
		expect.Expect(fleet.cluster.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// Guards against reusing the members of an unreachable head too early. The leader can't reach the
// head, which still serves callers of other nodes. The members may join another group only after
// one of them has left and the head has been stalled for longer than the stall timeout.
func TestMembersOfAnUnreachableHeadAreReleasedAfterTheStallTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(4, 1, 10, 1)
		fleet.nodes[0].setTerm(4096)
		time.Sleep(8 * time.Second)
		group := servingGroupOf(fleet.nodes[0], "large")
		fleet.cluster.SetPartitioned(group.Head(), fleet.nodes[0].name, true)
		fleet.nodes[0].controller.Suspect(group.Head(), group.Name)
		time.Sleep(5 * time.Second)
		expect.Expect(fleet.nodes[0].view.MembersFree(group.Name)).To(gomega.BeFalse())
		time.Sleep(8 * time.Second)
		expect.Expect(fleet.nodes[0].view.MembersFree(group.Name)).To(gomega.BeTrue())
		expect.Expect(fleet.cluster.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// Guards against reusing the members of an unreachable head that has no calls. Such a head doesn't
// notice that a member left and stays open, and it still sends heartbeats to the registry. The
// members must not join another group while the server list shows the head open.
func TestMembersOfAnIdleUnreachableHeadAreNotReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(5, 1, 10, 1)
		fleet.cluster.HeadsIdle = true
		fleet.nodes[0].setTerm(4096)
		time.Sleep(8 * time.Second)
		group := servingGroupOf(fleet.nodes[0], "large")
		fleet.cluster.SetPartitioned(group.Head(), fleet.nodes[0].name, true)
		fleet.nodes[0].controller.Suspect(group.Head(), group.Name)
		time.Sleep(20 * time.Second)
		expect.Expect(fleet.nodes[0].view.MembersFree(group.Name)).To(gomega.BeFalse())
		fleet.cluster.SetPartitioned(group.Head(), fleet.nodes[0].name, false)
		time.Sleep(3 * time.Second)
		expect.Expect(fleet.nodes[0].view.MembersFree(group.Name)).To(gomega.BeTrue())
		expect.Expect(fleet.cluster.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// Guards against a late announcement that overrides a newer one. Announcements of one group come
// from several nodes and repeatedly. A released group must not seem merely lost when an older
// announcement arrives late.
func TestLateAnnouncementIsIgnored(t *testing.T) {
	expect := gomega.NewWithT(t)
	view := formation.NewView(clock.Boot)
	group := formation.Group{Name: "g1", Members: []string{"i-1", "i-2"}}
	expect.Expect(view.Apply(formation.Announcement{Change: formation.Released, Group: group})).To(gomega.BeTrue())
	for _, change := range []formation.Change{formation.Lost, formation.Opened, formation.Retired, formation.Released} {
		expect.Expect(view.Apply(formation.Announcement{Change: change, Group: group})).To(gomega.BeFalse())
	}
	expect.Expect(view.MembersFree("g1")).To(gomega.BeTrue())
}

// Guards against delayed orders of a second leader. Two nodes believe that they lead. One gets
// reports of free servers, and its orders to join are delayed; meanwhile the other, under a lower
// term, forms a group of the same servers and opens it. The delayed orders have the higher term, so
// only their expected count of accepted orders prevents them from taking servers out of the serving
// group.
func TestDelayedOrdersOfASecondLeaderAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(6, 1, 10, 2)
		first, second := fleet.nodes[0], fleet.nodes[1]
		first.isolated.Store(true)
		second.joinDelay.Store(int64(2600 * time.Millisecond))
		time.Sleep(2 * time.Second)
		second.setTerm(8192)
		time.Sleep(200 * time.Millisecond)
		first.setTerm(4096)
		time.Sleep(12 * time.Second)
		expect.Expect(fleet.cluster.CompleteGroups()["large"]).To(gomega.BeNumerically(">=", 1))
		expect.Expect(fleet.cluster.Violations()).To(gomega.BeEmpty())
		fleet.end()
	})
}

// Guards against too many loads from the weight store. Many empty servers are added at once, and
// the leader changes while they load. The loads of all nodes together must stay within the limit in
// any window.
func TestLoadsStayWithinTheWeightStoreLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		fleet := newFleet(7, 2, 10, 2)
		fleet.nodes[0].setTerm(4096)
		time.Sleep(5 * time.Second)
		for index := range 60 {
			fleet.cluster.Add(fmt.Sprintf("new-%02d", index), "domain-"+strconv.Itoa(index%6), "east")
		}
		for term := int64(2); term < 20; term++ {
			time.Sleep(3 * time.Second)
			fleet.nodes[(term+1)%2].setTerm(0)
			fleet.nodes[term%2].setTerm(term * 4096)
		}
		expect.Expect(fleet.cluster.Loads()).To(gomega.BeNumerically(">", 20))
		expect.Expect(fleet.cluster.MaxLoadsWithin(5 * time.Second)).To(gomega.BeNumerically("<=", 30))
		fleet.end()
	})
}

// Checks the guarantees under random faults. Servers die, are cut off from one node or the other, are paused,
// lose replies and carry out orders up to twelve seconds late. The leader changes at any time, and
// at times both nodes believe that they lead. No server may be taken out of a serving group, and no
// head may serve before all its members were ready.
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
				fleet.injectFault(step, term)
				time.Sleep(time.Duration(step%37) * 50 * time.Millisecond)
			}
			time.Sleep(5 * time.Second)
			for _, node := range fleet.nodes {
				node.setTerm(0)
			}
			fleet.end()
			if violations := fleet.cluster.Violations(); len(violations) > 0 {
				property.Fatalf("seed %d, steps %v: %v", seed, steps, violations)
			}
		})
	})
}

// injectFault causes one fault or clears one.
func (fleet *fleet) injectFault(step int, term int64) {
	servers := fleet.cluster.Servers(service)
	if len(servers) == 0 {
		return
	}
	server := servers[step%len(servers)]
	node := fleet.nodes[step/7%2]
	if step%5 == 0 {
		fleet.cluster.Pause(time.Duration(step%70)*100*time.Millisecond, server.ID)
	}
	switch step % 11 {
	case 0, 1:
		fleet.cluster.Kill(server.ID)
	case 2, 3:
		fleet.cluster.SetPartitioned(server.ID, node.name, step%2 == 0)
	case 4:
		for _, other := range servers {
			if other.FabricDomain == server.FabricDomain {
				fleet.cluster.SetPartitioned(other.ID, node.name, step/13%2 == 0)
			}
		}
	case 5, 6:
		fleet.cluster.SetFaults(server.ID, backends.Faults{LostReplies: 0.4, Delayed: 0.4, Delay: time.Duration(2+step%11) * time.Second})
	case 7:
		node.setTerm(term)
	case 8:
		node.isolated.Store(!node.isolated.Load())
	case 9:
		fleet.cluster.Drain(server.ID)
	case 10:
		for _, other := range fleet.nodes {
			if group := servingGroupOf(other, "large"); group.Name != "" {
				other.controller.Suspect(group.Head(), group.Name)
			}
		}
	}
}
