package pathhealth_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/pathhealth"
)

// fixture is a path to a number of servers, some of which accept connections.
type fixture struct {
	now        time.Duration
	paths      *pathhealth.Paths
	path       *pathhealth.Path
	reachable  map[string]bool
	probeCount int
}

func newFixture(servers int) *fixture {
	fixture := &fixture{now: time.Hour, reachable: map[string]bool{}}
	number := 0
	fixture.paths = pathhealth.New(pathhealth.Clock(func() time.Duration { return fixture.now }), pathhealth.Random(func(n int) int { number++; return number * 7 % n }))
	fixture.path = fixture.paths.Get(pathhealth.Destination{Service: "drafts", DataCentre: "east"})
	names := []string{}
	for server := range servers {
		names = append(names, serverName(server))
		fixture.reachable[serverName(server)] = true
	}
	fixture.path.SetServers(names)
	return fixture
}

func serverName(server int) string { return fmt.Sprintf("i-%d", server) }

// setReachable makes only the first servers, below the given number, accept connections.
func (fixture *fixture) setReachable(count int) {
	for server := range fixture.reachable {
		fixture.reachable[server] = false
	}
	for server := range count {
		fixture.reachable[serverName(server)] = true
	}
}

// runProbes advances the clock and runs the probes that are due.
func (fixture *fixture) runProbes(after time.Duration) {
	fixture.now += after
	for _, due := range fixture.paths.DueProbes() {
		reachable := []string{}
		for _, server := range due.Servers {
			fixture.probeCount++
			if fixture.reachable[server] {
				reachable = append(reachable, server)
			}
		}
		due.Complete(reachable)
	}
}

// Guards against a node that needs many failed calls to detect that it reaches no server.
func TestPathIsLostAfterTwoUnreachableServers(t *testing.T) {
	for _, servers := range []int{1, 2, 3, 60, 3060} {
		expect := gomega.NewWithT(t)
		fixture := newFixture(servers)
		fixture.setReachable(0)
		for server := range min(2, servers) {
			expect.Expect(fixture.path.Status()).To(gomega.Equal(pathhealth.Healthy))
			fixture.path.RecordConnectFailure(serverName(server), fixture.now)
		}
		expect.Expect(fixture.path.Status()).To(gomega.Equal(pathhealth.Suspected))
		fixture.runProbes(0)
		expect.Expect(fixture.path.Status()).To(gomega.Equal(pathhealth.Lost))
		expect.Expect(fixture.probeCount).To(gomega.BeNumerically("<=", 4))
		expect.Expect(fixture.paths.LostDestinations(false)).To(gomega.Equal([]pathhealth.Destination{fixture.path.Destination}))
		expect.Expect(fixture.paths.AllLost("drafts", fixture.paths.LostDestinations(false))).To(gomega.BeTrue())
		expect.Expect(fixture.paths.AllLost("bookings", fixture.paths.LostDestinations(false))).To(gomega.BeFalse())
		expect.Expect(fixture.path.Blocks(serverName(0))).To(gomega.BeTrue())
	}
}

// Guards against a path being lost because some servers end or go silent.
func TestServerFailuresDoNotMarkPathLost(t *testing.T) {
	cases := map[string]func(fixture *fixture){
		"one server fails repeatedly": func(fixture *fixture) {
			for range 10 {
				fixture.path.RecordConnectFailure(serverName(0), fixture.now)
			}
		},
		"a few servers fail while others respond": func(fixture *fixture) {
			for server := range 5 {
				fixture.path.RecordBreak(serverName(server), fixture.now)
				fixture.now += time.Millisecond
				fixture.path.RecordActivity(serverName(9))
			}
		},
		"a rack fails": func(fixture *fixture) {
			fixture.setReachable(40)
			for server := range 20 {
				fixture.path.RecordBreak(serverName(40+server), fixture.now)
			}
		},
		"silence for a second": func(fixture *fixture) {
			fixture.now += time.Second
			fixture.path.RecordSilence(300 * time.Millisecond)
		},
		"calls sent before another server responded time out": func(fixture *fixture) {
			sent := fixture.now
			fixture.now += time.Second
			fixture.path.RecordActivity(serverName(9))
			fixture.path.RecordBreak(serverName(0), sent)
			fixture.path.RecordBreak(serverName(1), sent)
		},
	}
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			fixture := newFixture(60)
			act(fixture)
			fixture.runProbes(0)
			expect.Expect(fixture.path.Status()).To(gomega.Equal(pathhealth.Healthy))
			expect.Expect(fixture.paths.AnyUnhealthy()).To(gomega.BeFalse())
		})
	}
}

// Guards against a suspected path on which all servers are blocked.
func TestOnlyFailedServersAreBlockedWhileSuspected(t *testing.T) {
	expect := gomega.NewWithT(t)
	fixture := newFixture(60)
	fixture.path.RecordConnectFailure(serverName(0), fixture.now)
	fixture.path.RecordBreak(serverName(1), fixture.now)
	expect.Expect(fixture.path.Status()).To(gomega.Equal(pathhealth.Suspected))
	expect.Expect([]bool{fixture.path.Blocks(serverName(0)), fixture.path.Blocks(serverName(1)), fixture.path.Blocks(serverName(2))}).To(gomega.Equal([]bool{true, true, false}))
	due := fixture.paths.DueProbes()
	expect.Expect([]bool{due[0].ProvesHealthy(0), due[0].ProvesHealthy(1), due[0].ProvesHealthy(2)}).To(gomega.Equal([]bool{false, false, true}))
}

// Guards against a partly lost path whose reachable servers get no calls.
func TestReachableServersOfLostPathStayUsable(t *testing.T) {
	expect := gomega.NewWithT(t)
	fixture := newFixture(63)
	fixture.setReachable(4)
	fixture.path.RecordConnectFailure(serverName(10), fixture.now)
	fixture.path.RecordConnectFailure(serverName(11), fixture.now)
	for range 400 {
		fixture.runProbes(250 * time.Millisecond)
		if fixture.path.Status() == pathhealth.Healthy {
			fixture.path.RecordConnectFailure(serverName(10), fixture.now)
			fixture.path.RecordConnectFailure(serverName(11), fixture.now)
		}
	}
	expect.Expect(fixture.path.Status()).To(gomega.Equal(pathhealth.Lost))
	expect.Expect(fixture.probeCount).To(gomega.BeNumerically("<", 400*4))
	fixture.path.RecordConnect(serverName(0))
	expect.Expect(fixture.path.Blocks(serverName(0))).To(gomega.BeFalse())
	expect.Expect(fixture.paths.LostDestinations(false)).To(gomega.Equal([]pathhealth.Destination{fixture.path.Destination}), "the path stays lost, so that other nodes take the calls that the few reachable servers cannot")
	expect.Expect(fixture.path.Blocks(serverName(20))).To(gomega.BeTrue())
	fixture.path.RecordConnectFailure(serverName(0), fixture.now)
	expect.Expect(fixture.path.Blocks(serverName(0))).To(gomega.BeTrue())
}

// Guards against a path that stays lost after its servers are reachable again, and against a path that flaps.
func TestLostPathIsProbedUntilHealthy(t *testing.T) {
	expect := gomega.NewWithT(t)
	fixture := newFixture(60)
	fixture.setReachable(0)
	fixture.path.RecordBreak(serverName(0), fixture.now)
	fixture.path.RecordBreak(serverName(1), fixture.now)
	for range 40 {
		fixture.runProbes(40 * time.Millisecond)
		expect.Expect(fixture.path.Status()).To(gomega.Equal(pathhealth.Lost))
	}
	expect.Expect(fixture.probeCount).To(gomega.BeNumerically("<=", 4+2*7))
	fixture.setReachable(60)
	for range 14 {
		fixture.runProbes(40 * time.Millisecond)
	}
	expect.Expect(fixture.path.Status()).To(gomega.Equal(pathhealth.Healthy))
	fixture.path.RecordConnectFailure(serverName(0), fixture.now)
	fixture.path.RecordConnectFailure(serverName(1), fixture.now)
	expect.Expect(fixture.path.Status()).To(gomega.Equal(pathhealth.Healthy), "the path was found healthy just before")
}

// Guards against a path that is taken for lost because the only servers that get calls have ended, while the other
// members of their groups and free servers accept connections.
func TestEndedServersAreNoLostPath(t *testing.T) {
	for _, called := range []int{1, 2} {
		for _, reachable := range []bool{true, false} {
			expect := gomega.NewWithT(t)
			fixture := newFixture(called)
			fixture.setReachable(0)
			witnesses := []string{"w-1", "w-2", "w-3", "w-4", "w-5", "w-6"}
			for _, witness := range witnesses {
				fixture.reachable[witness] = reachable
			}
			fixture.path.SetWitnesses(witnesses)
			for server := range called {
				fixture.path.RecordConnectFailure(serverName(server), fixture.now)
			}
			expect.Expect(fixture.path.Status()).To(gomega.Equal(pathhealth.Suspected))
			fixture.runProbes(0)
			expected := pathhealth.Lost
			if reachable {
				expected = pathhealth.Healthy
			}
			expect.Expect(fixture.path.Status()).To(gomega.Equal(expected), "%d called, others reachable: %t", called, reachable)
		}
	}
}
