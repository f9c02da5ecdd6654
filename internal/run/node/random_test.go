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

// Anything may fail at any moment, together or twice: members die, pause,
// restart and leave; nodes are killed and replaced and cut off from each other
// and from engines; the log is dark, slow, stale or loses replies. One domain's
// engines check fencing numbers, the other's do not. Meanwhile callers draft
// and book. No promise may break, every answer must be whole and right or end
// in an error, and once all is mended everything must serve again.
func TestRandomFleets(t *testing.T) {
	for round := range suite.Rounds(3) {
		seed := suite.Seed()*1_000_000 + uint64(round)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			shape := demo.Shape{
				DataCentres: []string{"lakes-a"}, Nodes: 3, Domains: 2, Engines: 9, Unchecked: 1,
				Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
			}
			inBubble(t, shape, func(t *testing.T, running *fleet.Fleet, g *gomega.WithT) {
				chaos := &chaos{t: t, running: running, random: rand.New(rand.NewPCG(seed, 7))}
				chaos.run(seed)
				running.Eventually(4*time.Minute, "everything serves again", servesBoth(running, 4))
				g.Expect(running.Generate(0, "report", "after all", 10).Complete).To(gomega.BeTrue())
			})
		})
	}
}

// chaos breaks and mends things at random.
type chaos struct {
	t       *testing.T
	running *fleet.Fleet
	random  *rand.Rand

	mu      sync.Mutex
	stopped bool
}

func (chaos *chaos) run(seed uint64) {
	callers := conc.NewWaitGroup()
	for caller := range randomCallers {
		own := rand.New(rand.NewPCG(seed, uint64(caller)+100))
		callers.Go(func() { chaos.call(caller, own) })
	}
	for range randomSteps {
		time.Sleep(time.Duration(chaos.random.IntN(6000)) * time.Millisecond)
		chaos.step()
	}
	chaos.mend()
	chaos.mu.Lock()
	chaos.stopped = true
	chaos.mu.Unlock()
	callers.Wait()
}

// step breaks or mends one thing.
func (chaos *chaos) step() {
	engines := chaos.running.Environment.Engines
	server := engines[chaos.random.IntN(len(engines))]
	node := chaos.random.IntN(len(chaos.running.Nodes))
	name := chaos.running.Settings[node].Name
	peer := chaos.running.Settings[(node+1)%len(chaos.running.Settings)].Listen.Peer
	switch chaos.random.IntN(12) {
	case 0:
		server.SetFaults(engine.Faults{Dead: true})
	case 1:
		server.SetFaults(engine.Faults{Paused: true})
	case 2:
		server.SetFaults(engine.Faults{Leaving: true})
	case 3, 4:
		server.Restart()
	case 5:
		server.SetFaults(engine.Faults{BreakDrafts: 2, BreakAtToken: chaos.random.IntN(10), DuplicateToken: true})
	case 6:
		server.SetFaults(engine.Faults{})
	case 7:
		chaos.running.Network.Partition(name, peer)
	case 8:
		chaos.running.Network.Partition(name, server.Report().Address)
	case 9:
		chaos.running.Network.Heal(name, peer, server.Report().Address)
	case 10:
		faults := []platform.LogFaults{{}, {Dark: true}, {LoseReplies: true}, {LatencyMs: 2000}, {StaleBy: 2}}
		chaos.running.Environment.Log.SetFaults(faults[chaos.random.IntN(len(faults))])
	case 11:
		chaos.replaceNode(node)
	}
}

// replaceNode kills a node and starts another incarnation in its place.
func (chaos *chaos) replaceNode(index int) {
	chaos.running.Kill(index)
	chaos.running.StartNode(index)
}

func (chaos *chaos) mend() {
	chaos.running.Environment.Log.SetFaults(platform.LogFaults{})
	// Nobody is restarted for it: whoever believes in an old group must be
	// found and put to use as it is.
	for _, server := range chaos.running.Environment.Engines {
		server.SetFaults(engine.Faults{})
	}
	for _, tree := range chaos.running.Settings {
		for _, other := range chaos.running.Settings {
			chaos.running.Network.Heal(tree.Name, other.Listen.Peer)
		}
		for _, server := range chaos.running.Environment.Engines {
			chaos.running.Network.Heal(tree.Name, server.Report().Address)
		}
	}
}

// call drafts and books at random nodes until the end, and checks each answer.
func (chaos *chaos) call(caller int, random *rand.Rand) {
	for serial := 0; ; serial++ {
		chaos.mu.Lock()
		stopped := chaos.stopped
		chaos.mu.Unlock()
		if stopped {
			return
		}
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		node := random.IntN(len(chaos.running.Settings))
		if random.IntN(2) == 0 {
			chaos.draft(node, fmt.Sprintf("caller %d, draft %d", caller, serial))
			continue
		}
		chaos.book(node, fmt.Sprintf("visit-%d", random.IntN(30)))
	}
}

func (chaos *chaos) draft(node int, content string) {
	const tokens = 30
	answer := chaos.running.Generate(node, "report", content, tokens)
	want := engine.Completion(fleet.Prompt(content), tokens)
	switch {
	case answer.Complete && answer.Text != want:
		chaos.t.Errorf("%s: a whole answer is wrong: %q", content, answer.Text)
	case !answer.Complete && answer.Text != "" && answer.Status == 200 && len(answer.Text) <= len(want) && answer.Text != want[:len(answer.Text)]:
		chaos.t.Errorf("%s: a part of an answer is wrong: %q", content, answer.Text)
	}
}

func (chaos *chaos) book(node int, key string) {
	answer := chaos.running.BookSlot(node, key, key)
	if answer.Outcome == outcome.Run && chaos.running.Environment.Book.Executions(key) != 1 {
		chaos.t.Errorf("%s: Run was said of a call that ran %d times", key, chaos.running.Environment.Book.Executions(key))
	}
}
