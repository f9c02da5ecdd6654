package node_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/common/outcome"
	"hazelslip/internal/run/demo"
	"hazelslip/internal/run/settings"
	"hazelslip/internal/standin/engine"
	"hazelslip/internal/standin/platform"
	"hazelslip/internal/testlib/fleet"
	"hazelslip/internal/testlib/suite"
)

const (
	randomSteps   = 30
	randomCallers = 4
)

// Random faults occur at random times, also several at once: members crash, pause, restart and leave; nodes are killed,
// replaced, and partitioned from each other and from engines; the log is unavailable, slow, stale or loses replies. The
// engines of one domain check fencing numbers, those of the other domain don't. Meanwhile callers send drafts and
// bookings. No invariant may be violated, each draft must be complete and correct or end in an error, and all groups
// must serve again after the faults are repaired.
func TestRandomFleets(t *testing.T) {
	for round := range suite.Rounds(3) {
		seed := suite.Seed()*1_000_000 + uint64(round)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			shape := demo.Shape{
				DataCentres: []string{"lakes-a"}, Nodes: 3, Domains: 2, Engines: 9, UncheckedDomains: 1,
				Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
			}
			withFleet(t, shape, func(t *testing.T, running *fleet.Fleet, g *gomega.WithT) {
				faultInjector := &faultInjector{t: t, running: running, random: rand.New(rand.NewPCG(seed, 7))}
				faultInjector.run(seed)
				running.Eventually(4*time.Minute, "all groups serve again", allNodesSeeServing(running, 4))
				g.Expect(running.Generate(0, "report", "after all", 10).Complete).To(gomega.BeTrue())
			})
		})
	}
}

// faultInjector injects and repairs faults at random.
type faultInjector struct {
	t       *testing.T
	running *fleet.Fleet
	random  *rand.Rand

	mu      sync.Mutex
	stopped bool
}

func (faultInjector *faultInjector) run(seed uint64) {
	callers := conc.NewWaitGroup()
	for caller := range randomCallers {
		callerRandom := rand.New(rand.NewPCG(seed, uint64(caller)+100))
		callers.Go(func() { faultInjector.sendRequests(caller, callerRandom) })
	}
	for range randomSteps {
		time.Sleep(time.Duration(faultInjector.random.IntN(6000)) * time.Millisecond)
		faultInjector.injectOrRepair()
	}
	faultInjector.repairAll()
	faultInjector.mu.Lock()
	faultInjector.stopped = true
	faultInjector.mu.Unlock()
	callers.Wait()
}

// injectOrRepair injects one random fault or repairs one.
func (faultInjector *faultInjector) injectOrRepair() {
	engines := faultInjector.running.Environment.Engines
	server := engines[faultInjector.random.IntN(len(engines))]
	node := faultInjector.random.IntN(len(faultInjector.running.Nodes))
	name := faultInjector.running.Settings[node].Name
	peer := faultInjector.running.Settings[(node+1)%len(faultInjector.running.Settings)].Listen.Peer
	switch faultInjector.random.IntN(12) {
	case 0:
		server.SetFaults(engine.Faults{Dead: true})
	case 1:
		server.SetFaults(engine.Faults{Paused: true})
	case 2:
		server.SetFaults(engine.Faults{Leaving: true})
	case 3, 4:
		server.Restart()
	case 5:
		server.SetFaults(engine.Faults{BreakDrafts: 2, BreakAtToken: faultInjector.random.IntN(10), DuplicateToken: true})
	case 6:
		server.SetFaults(engine.Faults{})
	case 7:
		faultInjector.running.Network.Partition(name, peer)
	case 8:
		faultInjector.running.Network.Partition(name, server.Report().Address)
	case 9:
		faultInjector.running.Network.Heal(name, peer, server.Report().Address)
	case 10:
		faults := []platform.LogFaults{{}, {Dark: true}, {LoseReplies: true}, {LatencyMs: 2000}, {StaleBy: 2}}
		faultInjector.running.Environment.Log.SetFaults(faults[faultInjector.random.IntN(len(faults))])
	case 11:
		faultInjector.replaceNode(node)
	}
}

// replaceNode kills a node and starts a new incarnation of it.
func (faultInjector *faultInjector) replaceNode(index int) {
	faultInjector.running.Kill(index)
	faultInjector.running.StartNode(index)
}

func (faultInjector *faultInjector) repairAll() {
	faultInjector.running.Environment.Log.SetFaults(platform.LogFaults{})
	// Engines are not restarted here. The nodes must detect engines that still belong to an old group and reuse them
	// as they are.
	for _, server := range faultInjector.running.Environment.Engines {
		server.SetFaults(engine.Faults{})
	}
	for _, nodeSettings := range faultInjector.running.Settings {
		for _, other := range faultInjector.running.Settings {
			faultInjector.running.Network.Heal(nodeSettings.Name, other.Listen.Peer)
		}
		for _, server := range faultInjector.running.Environment.Engines {
			faultInjector.running.Network.Heal(nodeSettings.Name, server.Report().Address)
		}
	}
}

// sendRequests sends drafts and bookings to random nodes until the test stops, and checks each response.
func (faultInjector *faultInjector) sendRequests(caller int, random *rand.Rand) {
	for serial := 0; ; serial++ {
		faultInjector.mu.Lock()
		stopped := faultInjector.stopped
		faultInjector.mu.Unlock()
		if stopped {
			return
		}
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		node := random.IntN(len(faultInjector.running.Settings))
		if random.IntN(2) == 0 {
			faultInjector.draft(node, fmt.Sprintf("caller %d, draft %d", caller, serial))
			continue
		}
		faultInjector.book(node, fmt.Sprintf("visit-%d", random.IntN(30)))
	}
}

func (faultInjector *faultInjector) draft(node int, content string) {
	const tokens = 30
	result := faultInjector.running.Generate(node, "report", content, tokens)
	want := engine.Completion(fleet.Prompt(content), tokens)
	switch {
	case result.Complete && result.Text != want:
		faultInjector.t.Errorf("%s: complete draft has the wrong text: %q", content, result.Text)
	case !result.Complete && result.Text != "" && result.Status == 200 && len(result.Text) <= len(want) && result.Text != want[:len(result.Text)]:
		faultInjector.t.Errorf("%s: partial draft has the wrong text: %q", content, result.Text)
	}
}

func (faultInjector *faultInjector) book(node int, key string) {
	result := faultInjector.running.BookSlot(node, key, key)
	if result.Outcome == outcome.Run && faultInjector.running.Environment.ExecutionCounter.Executions(key) != 1 {
		faultInjector.t.Errorf("%s: outcome is Run, but the call was executed %d times", key, faultInjector.running.Environment.ExecutionCounter.Executions(key))
	}
}
