package formation_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc/pool"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/leadership"
	"hazelslip/internal/standin/backends"
	"hazelslip/internal/state/storelog"
)

// event is a fault of a schedule, or the end of one.
type event string

// The events of a schedule. There are two nodes and three servers, numbered from 0.
const (
	partitionNodes          event = "nodes are partitioned"
	healPartition           event = "partition between the nodes ends"
	storeUnavailable        event = "store becomes unavailable"
	storeAvailable          event = "store becomes available"
	storeRestoredFromBackup event = "store is restored from an older backup without the last claim"
	loseReplies             event = "server 0 carries out orders without replying"
	delayOrders             event = "server 1 carries out orders late"
	clearServerFaults       event = "server faults end"
	restartServer           event = "server 1 restarts under the same ID"
	suspectGroup            event = "serving groups are suspected of a stall"
	pauseServer             event = "server 0's process is paused and then carries out the orders it got"
)

var events = []event{partitionNodes, healPartition, storeUnavailable, storeAvailable, storeRestoredFromBackup, loseReplies, delayOrders, clearServerFaults, restartServer, suspectGroup, pauseServer}

// termLog is the platform store's log of claimed terms.
type termLog struct {
	mu          sync.Mutex
	era         int64
	claimants   []string
	unavailable bool
}

var errStoreUnavailable = errors.New("claim term: store is unavailable")

// claimLatency is how long the store takes for a claim. Another node may take a term meanwhile.
const claimLatency = 300 * time.Millisecond

func (termLog *termLog) claim(claimant string) (storelog.Position, error) {
	time.Sleep(claimLatency)
	termLog.mu.Lock()
	defer termLog.mu.Unlock()
	if termLog.unavailable {
		return storelog.Unknown, errStoreUnavailable
	}
	termLog.claimants = append(termLog.claimants, claimant)
	return storelog.Position{Era: termLog.era, Offset: int64(len(termLog.claimants)) - 1}, nil
}

func (termLog *termLog) update(change func()) {
	termLog.mu.Lock()
	defer termLog.mu.Unlock()
	change()
}

// simulation runs one schedule of events: two nodes with real electors and controllers, and
// three servers of one domain. It collects violated invariants.
type simulation struct {
	fleet    *fleet
	termLog  *termLog
	electors []*leadership.Elector
	stop     chan struct{}
	done     sync.WaitGroup

	mu sync.Mutex
	// leaders maps each term to the node that led under it.
	leaders    map[int64]int
	violations []string
	trace      []string
	startedAt  time.Time
}

func newSimulation() *simulation {
	simulation := &simulation{fleet: newFleet(1, 1, 3, 2), termLog: &termLog{}, stop: make(chan struct{}), leaders: map[int64]int{}, startedAt: time.Now()}
	for server := range 3 {
		simulation.fleet.cluster.SetStaged(serverID(server), "small")
	}
	for index, node := range simulation.fleet.nodes {
		var elector *leadership.Elector
		elector = leadership.New(uint64(index)+1, func() (storelog.Position, error) { return simulation.termLog.claim(node.name) }, clock.Virtual(),
			// One node's own terms are even and the other's odd. Two nodes that reach neither
			// each other nor the store thus never choose the same term.
			leadership.Random(func(int64) int64 { return (elector.Highest() + 1 + int64(index)) % 2 }))
		node.onOutdated = elector.HandleRefusal
		simulation.electors = append(simulation.electors, elector)
	}
	for index := range simulation.electors {
		simulation.done.Go(func() { simulation.runElector(index) })
		simulation.done.Go(func() { simulation.exchangeTerms(index) })
	}
	return simulation
}

func serverID(index int) string { return fmt.Sprintf("i-0-%02d", index) }

// exchangeTerms passes a node the terms that the other node and the server list know. It runs
// independently of the node's other work.
func (simulation *simulation) exchangeTerms(index int) {
	own, other := simulation.electors[index], simulation.electors[1-index]
	for simulation.wait(20 * time.Millisecond) {
		if !simulation.fleet.nodes[0].isolated.Load() {
			own.Observe(other.Highest())
		}
		for _, server := range simulation.fleet.nodes[index].list.Load().Servers {
			own.Observe(formation.TermOf(server.Group.Epoch))
		}
	}
}

// wait sleeps and reports whether the simulation is still running.
func (simulation *simulation) wait(span time.Duration) bool {
	select {
	case <-simulation.stop:
		return false
	case <-time.After(span):
		return true
	}
}

// runElector runs a node's elector ten times a second.
func (simulation *simulation) runElector(index int) {
	own, other := simulation.electors[index], simulation.electors[1-index]
	for simulation.wait(100 * time.Millisecond) {
		peers := []leadership.Peer{}
		if !simulation.fleet.nodes[0].isolated.Load() {
			peers = append(peers, leadership.Peer{Incarnation: uint64(2 - index), Term: other.Term(), Eligible: true})
		}
		if own.TryTakeOver(peers, true) {
			simulation.recordLeader(index, own.Term())
		}
		simulation.fleet.nodes[index].setTerm(own.Term())
	}
}

func (simulation *simulation) recordLeader(index int, term int64) {
	simulation.record(fmt.Sprintf("node %d takes term %d", index, term))
	simulation.mu.Lock()
	defer simulation.mu.Unlock()
	if before, held := simulation.leaders[term]; held && before != index {
		simulation.violations = append(simulation.violations, fmt.Sprintf("both nodes hold term %d", term))
	}
	simulation.leaders[term] = index
}

func (simulation *simulation) record(text string) {
	simulation.mu.Lock()
	defer simulation.mu.Unlock()
	simulation.trace = append(simulation.trace, fmt.Sprintf("%6.2f s  %s", time.Since(simulation.startedAt).Seconds(), text))
}

func (simulation *simulation) apply(event event) {
	simulation.record(string(event))
	cluster := simulation.fleet.cluster
	switch event {
	case partitionNodes, healPartition:
		simulation.fleet.nodes[0].isolated.Store(event == partitionNodes)
	case storeUnavailable, storeAvailable:
		simulation.termLog.update(func() { simulation.termLog.unavailable = event == storeUnavailable })
	case storeRestoredFromBackup:
		simulation.termLog.update(func() {
			simulation.termLog.unavailable = false
			simulation.termLog.era++
			simulation.termLog.claimants = simulation.termLog.claimants[:max(0, len(simulation.termLog.claimants)-1)]
		})
	case loseReplies:
		cluster.SetFaults(serverID(0), backends.Faults{LostReplies: 1})
	case delayOrders:
		cluster.SetFaults(serverID(1), backends.Faults{Delayed: 1, Delay: 1500 * time.Millisecond})
	case clearServerFaults:
		cluster.SetFaults(serverID(0), backends.Faults{})
		cluster.SetFaults(serverID(1), backends.Faults{})
	case restartServer:
		cluster.Restart(serverID(1))
	case pauseServer:
		cluster.Pause(pauseTime, serverID(0))
	case suspectGroup:
		for _, node := range simulation.fleet.nodes {
			if group := servingGroupOf(node, "small"); group.Name != "" {
				node.controller.Suspect(group.Head(), group.Name)
			}
		}
	}
}

const (
	// formationTime is the time for groups to form before the first event. drainTime is the time
	// for orders to be completed after the last event.
	formationTime = 3500 * time.Millisecond
	drainTime     = 8 * time.Second
	// pauseTime is longer than the orders to a server are repeated.
	pauseTime = 2500 * time.Millisecond
	// eventInterval is longer than a node takes to notice that the leader is gone.
	eventInterval = 1100 * time.Millisecond
)

// runSchedule runs a schedule and returns the violations and the trace of events.
func runSchedule(schedule []event) (violations, trace []string) {
	simulation := newSimulation()
	time.Sleep(formationTime)
	for _, event := range schedule {
		simulation.apply(event)
		time.Sleep(eventInterval)
	}
	for _, event := range []event{clearServerFaults, storeAvailable, healPartition} {
		simulation.apply(event)
	}
	time.Sleep(drainTime)
	simulation.checkServing()
	close(simulation.stop)
	simulation.done.Wait()
	simulation.fleet.end()
	return append(simulation.violations, simulation.fleet.cluster.Violations()...), simulation.trace
}

// checkServing records a violation for a node that sends calls to a group that doesn't serve, and
// one if no group serves after all faults have ended.
func (simulation *simulation) checkServing() {
	for index, node := range simulation.fleet.nodes {
		if group := servingGroupOf(node, "small"); group.Name != "" && simulation.fleet.cluster.HeadState(group.Head()) != backends.Serving {
			simulation.violations = append(simulation.violations, fmt.Sprintf("node %d sends calls to a group that doesn't serve", index))
		}
	}
	if simulation.fleet.cluster.CompleteGroups()["small"] == 0 {
		simulation.violations = append(simulation.violations, "no group serves after all faults have ended")
	}
}

// allSchedules returns all sequences of the given number of events.
func allSchedules(depth int) [][]event {
	all := [][]event{{}}
	for range depth {
		longer := [][]event{}
		for _, schedule := range all {
			for _, event := range events {
				if len(schedule) == 0 || schedule[len(schedule)-1] != event {
					longer = append(longer, append(slices.Clone(schedule), event))
				}
			}
		}
		all = longer
	}
	return all
}

// scheduleDepth returns the number of events of a schedule, from HAZELSLIP_DEPTH or 2 by default.
func scheduleDepth() int {
	if asked, err := strconv.Atoi(os.Getenv("HAZELSLIP_DEPTH")); err == nil {
		return asked
	}
	return 2
}

// Runs every short schedule of the faults that could make two nodes send orders under one term or
// take a server out of a serving group: partitions, a store that is unavailable or restored from a
// backup without the last claim, lost replies, delayed orders and restarts under the same ID. The
// electors and controllers are the real ones.
func TestNoScheduleBreaksWhatMustHold(t *testing.T) {
	simulations := pool.New().WithMaxGoroutines(6)
	startedAt := time.Now()
	var mu sync.Mutex
	found := map[string][]string{}
	all := allSchedules(scheduleDepth())
	for index, schedule := range all {
		simulations.Go(func() {
			t.Run(strconv.Itoa(index), func(t *testing.T) {
				synctest.Test(t, func(*testing.T) {
					violations, trace := runSchedule(schedule)
					for _, violation := range violations {
						mu.Lock()
						if found[violation] == nil || len(trace) < len(found[violation]) {
							found[violation] = trace
						}
						mu.Unlock()
					}
				})
			})
		})
	}
	simulations.Wait()
	t.Logf("%d schedules of %d events in %s", len(all), scheduleDepth(), time.Since(startedAt).Round(time.Second))
	for violation, trace := range found {
		t.Errorf("%s:\n%s", violation, strings.Join(trace, "\n"))
	}
	gomega.NewWithT(t).Expect(found).To(gomega.BeEmpty())
}
