package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/dispatch"
)

// paceModel simulates nodes that call groups, which run one pass after the other, in virtual time. A pass
// prefills the prompts of the calls that got a slot before it; then each stream has an event.
type paceModel struct {
	burstModel
	// learnsPaces makes nodes learn slowdown factors. slowdown returns the factor of a group's passes at a time.
	learnsPaces bool
	slowdown    func(head string, at time.Duration) float64
	// meanPromptTokens and meanAnswerEvents are the mean lengths of calls.
	meanPromptTokens, meanAnswerEvents float64

	groups map[string]*passEngine
	// callsSent counts the calls sent to each group, by second.
	callsSent map[string]map[int]int
	// reportedSlow counts the pace changes that boards reported for each group.
	reportedSlow map[string]int
}

type passEngine struct {
	waiting, running []*modelCall
	busy             bool
}

func (model *paceModel) arriveWithoutShedding() {
	model.after(time.Duration(model.random.ExpFloat64()/model.calmRate*float64(time.Second)), model.arriveWithoutShedding)
	call := &modelCall{
		node: model.random.IntN(model.nodes), arrivedAt: model.at,
		promptTokens: model.drawLogNormal(model.meanPromptTokens, 0.89, 2340), events: model.drawLogNormal(model.meanAnswerEvents, 0.7, 78),
	}
	model.requested[0]++
	target, verdict := model.boards[call.node].Pick(pool, dispatch.Criteria{DataCentre: fmt.Sprintf("d%d", call.node%3), MaxQueued: modelMaxQueued})
	if verdict != dispatch.Chosen {
		model.refused[0]++
		return
	}
	call.call = target.Begin(call.promptTokens, 0, func() {}, ignoreSuspicion)
	if model.callsSent[target.ID] == nil {
		model.callsSent[target.ID] = map[int]int{}
	}
	model.callsSent[target.ID][int(model.at/time.Second)]++
	engine := model.groups[target.ID]
	engine.waiting = append(engine.waiting, call)
	model.pass(target.ID, engine)
}

// pass runs one pass after the other as long as there are calls.
func (model *paceModel) pass(head string, engine *passEngine) {
	if engine.busy || len(engine.waiting)+len(engine.running) == 0 {
		return
	}
	engine.busy = true
	begun := min(modelSlots-len(engine.running), len(engine.waiting))
	duration := modelPassTime - time.Duration(modelSlots-len(engine.running)-begun)*190*time.Microsecond
	for _, call := range engine.waiting[:begun] {
		duration += time.Duration(call.promptTokens) * modelTokenPrefill
	}
	engine.running, engine.waiting = append(engine.running, engine.waiting[:begun]...), engine.waiting[begun:]
	model.after(time.Duration(float64(duration)*model.slowdown(head, model.at)), func() {
		left := []*modelCall{}
		for number, call := range engine.running {
			call.call.RecordEvent()
			if number >= len(engine.running)-begun && model.at-call.arrivedAt <= model.latencyTarget {
				model.inTime[0]++
			}
			if call.events--; call.events > 0 {
				left = append(left, call)
			} else {
				call.call.End()
			}
		}
		engine.running, engine.busy = left, false
		model.pass(head, engine)
	})
}

// updatePaces makes each node update its slowdown factors, and sends the changes to the other nodes after the
// delay.
func (model *paceModel) updatePaces() {
	for number, board := range model.boards {
		for _, change := range board.UpdatePaces() {
			model.reportedSlow[change.Target.ID]++
			peerPace, _ := board.PaceForPeers(change.Target.Key())
			model.after(model.propagationDelay, func() {
				for other, board := range model.boards {
					if other != number && change.Broadcast {
						peerPace.Age = model.propagationDelay
						board.ApplyPeerPace(&peerPace)
					}
				}
			})
		}
	}
	model.after(40*time.Millisecond, model.updatePaces)
}

func (model *paceModel) runPaces(seed uint64) {
	model.start(seed)
	model.groups, model.callsSent, model.reportedSlow = map[string]*passEngine{}, map[string]map[int]int{}, map[string]int{}
	for id := range model.engines {
		model.groups[id] = &passEngine{}
	}
	model.after(0, model.publishLoads)
	model.after(0, model.arriveWithoutShedding)
	if model.learnsPaces {
		model.after(0, model.updatePaces)
	}
	model.runEvents()
}

// inTimeFraction returns the fraction of the calls that got their first event in time.
func (model *paceModel) inTimeFraction() float64 {
	return float64(model.inTime[0]) / float64(model.requested[0])
}

func (model *paceModel) callsSentTo(head string, from, to int) int {
	sum := 0
	for second := from; second < to; second++ {
		sum += model.callsSent[head][second]
	}
	return sum
}

func newPaceModel(perSecond float64, learnsPaces bool, slowdown func(head string, at time.Duration) float64) *paceModel {
	return &paceModel{
		burstModel: burstModel{
			nodes: 30, groups: 8, calmRate: perSecond, length: 20 * time.Second, latencyTarget: 200 * time.Millisecond, propagationDelay: 100 * time.Millisecond,
		},
		learnsPaces: learnsPaces, slowdown: slowdown, meanPromptTokens: modelPromptTokens, meanAnswerEvents: modelEvents,
	}
}

func slowH3(head string, _ time.Duration) float64 {
	if head == "h3" {
		return 4
	}
	return 1
}

// Guards against sending as many calls to a slow group as to any other, so that their first events are late.
func TestSlowGroupGetsFewerCalls(t *testing.T) {
	for _, perSecond := range []float64{60, 100, 140} {
		t.Run(fmt.Sprintf("%.0f a second", perSecond), func(t *testing.T) {
			expect := gomega.NewWithT(t)
			for seed := range uint64(2) {
				without, with := newPaceModel(perSecond, false, slowH3), newPaceModel(perSecond, true, slowH3)
				without.runPaces(seed)
				with.runPaces(seed)
				t.Logf("in time %.4f, without learning %.4f; sent to the slow group %d, without learning %d", with.inTimeFraction(), without.inTimeFraction(),
					with.callsSentTo("h3", 0, 20), without.callsSentTo("h3", 0, 20))
				expect.Expect(with.inTimeFraction()).To(gomega.BeNumerically(">=", 0.97), "calls in time")
				expect.Expect(without.inTimeFraction()).To(gomega.BeNumerically("<", 0.97), "calls in time without learned slowdown factors")
			}
		})
	}
}

// Guards against taking a healthy group for slow because most of its passes prefill long prompts.
func TestPrefillDoesNotMakeGroupSlow(t *testing.T) {
	expect := gomega.NewWithT(t)
	for seed := range uint64(5) {
		model := newPaceModel(190, true, func(string, time.Duration) float64 { return 1 })
		model.meanPromptTokens, model.meanAnswerEvents = 1800, 10
		model.runPaces(seed)
		t.Log(model.reportedSlow, model.inTimeFraction())
		expect.Expect(model.reportedSlow).To(gomega.BeEmpty())
	}
}

// Guards against a group that gets no calls long after it has recovered.
func TestRecoveredGroupGetsCallsAgain(t *testing.T) {
	expect := gomega.NewWithT(t)
	model := newPaceModel(100, true, func(head string, at time.Duration) float64 {
		if head == "h3" && at < 8*time.Second {
			return 4
		}
		return 1
	})
	model.runPaces(1)
	expect.Expect(model.callsSentTo("h3", 2, 5)).To(gomega.BeNumerically("<", 10), "while it is slow")
	// An eighth of 100 calls per second for six seconds is 75.
	expect.Expect(model.callsSentTo("h3", 14, 20)).To(gomega.BeNumerically(">", 55), "six seconds after it recovered")
}

// Guards against treating more than a third of a pool as slow.
func TestAtMostThirdOfPoolIsSlow(t *testing.T) {
	expect := gomega.NewWithT(t)
	model := newPaceModel(60, true, func(head string, _ time.Duration) float64 {
		if head < "h3" {
			return 3
		}
		return 1
	})
	maxSlow := 0
	count := func() {
		for _, board := range model.boards {
			slow := 0
			for _, state := range board.State()[pool] {
				if state.Pace > 1 {
					slow++
				}
			}
			maxSlow = max(maxSlow, slow)
		}
	}
	for at := time.Second; at < model.length; at += 100 * time.Millisecond {
		model.after(at, count)
	}
	model.runPaces(1)
	expect.Expect(maxSlow).To(gomega.Equal(8 / 3))
}

// Guards against a node that sends its calls to a group that other nodes have found slow.
func TestPeerPaceDivertsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		peerPace := dispatch.PeerPace{Server: "a", Group: "g-a", Factor: 4, Age: 100 * time.Millisecond}
		expect.Expect(board.ApplyPeerPace(&peerPace)).To(gomega.BeTrue())
		expect.Expect(board.ApplyPeerPace(&peerPace)).To(gomega.BeFalse(), "the factor is already known")
		expect.Expect(board.UpdatePaces()).To(gomega.BeEmpty(), "another node found the group slow")
		expect.Expect(board.SlowTargets()).To(gomega.ConsistOf("a/g-a/0"))
		for range 50 {
			expect.Expect(pick(board).ID).NotTo(gomega.Equal("a"))
		}
		time.Sleep(6 * time.Second)
		board.UpdatePaces()
		expect.Expect(board.SlowTargets()).To(gomega.BeEmpty(), "the group is tried again")
		expect.Expect(board.ApplyPeerPace(&dispatch.PeerPace{Server: "b", Group: "g-previous", Factor: 4})).To(gomega.BeFalse(), "another group")
		expect.Expect(board.ApplyPeerPace(&dispatch.PeerPace{Server: "b", Group: "g-b", Born: 7, Factor: 4})).To(gomega.BeFalse(), "another run")
	})
}

// Guards against taking a group for slow because a caller is slow to take its events, or because events that
// arrive together are counted as one.
func TestSlowCallerDoesNotMakeGroupSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		slow, batched := pick(board).Begin(700, 0, func() {}, ignoreSuspicion), pick(board).Begin(700, 0, func() {}, ignoreSuspicion)
		for range 40 {
			time.Sleep(180 * time.Millisecond)
			slow.RecordEvent()
			slow.RecordForwardTime(100 * time.Millisecond)
			batched.RecordEvents(4)
			expect.Expect(board.UpdatePaces()).To(gomega.BeEmpty())
		}
		expect.Expect(board.SlowTargets()).To(gomega.BeEmpty())
	})
}

// Guards against a pool that accepts more calls than it runs because a slow group, which gets few calls, has
// free slots.
func TestFreeSlotsOfSlowGroupAddNoCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		specs := []dispatch.Spec{head("a"), head("b"), head("c")}
		for number := range specs {
			specs[number].PromptPrefillTime = 15 * time.Millisecond
		}
		board := newBoard(specs...)
		for _, id := range []string{"b", "c"} {
			for range 16 {
				beginAt(board, id)
			}
		}
		refusals := func() int {
			count := 0
			for range 400 {
				if shedsNextCall(board) {
					count++
				}
				time.Sleep(5 * time.Millisecond)
			}
			return count
		}
		expect.Expect(refusals()).To(gomega.BeZero())
		expect.Expect(board.ApplyPeerPace(&dispatch.PeerPace{Server: "a", Group: "g-a", Factor: 4})).To(gomega.BeTrue())
		board.UpdatePaces()
		expect.Expect(refusals()).To(gomega.BeNumerically(">", 200))
	})
}

// Guards against a log line for each new attempt at a group that stays slow, and against reports when all groups
// are equally slower than configured.
func TestSlowGroupIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		becameSlow, recovered := 0, 0
		run := func(duration, gap time.Duration, heads ...string) {
			calls := []*dispatch.Call{}
			for _, id := range heads {
				calls = append(calls, beginAt(board, id))
			}
			for began := time.Now(); time.Since(began) < duration; time.Sleep(gap) {
				for _, call := range calls {
					call.RecordEvent()
				}
				for _, change := range board.UpdatePaces() {
					if change.BecameSlow {
						becameSlow++
					}
					if change.Recovered {
						recovered++
					}
				}
			}
			for _, call := range calls {
				call.End()
			}
		}
		run(3*time.Second, 180*time.Millisecond, "a", "b", "c")
		expect.Expect(becameSlow).To(gomega.BeZero(), "all groups are equally slow")
		time.Sleep(3 * time.Minute)
		run(time.Second, 40*time.Millisecond, "b")
		run(3*time.Second, 180*time.Millisecond, "a")
		run(6*time.Second, 40*time.Millisecond)
		run(3*time.Second, 180*time.Millisecond, "a")
		expect.Expect([]int{becameSlow, recovered}).To(gomega.Equal([]int{1, 0}))
		run(3*time.Second, 40*time.Millisecond, "a")
		run(2*time.Second, 40*time.Millisecond)
		expect.Expect([]int{becameSlow, recovered}).To(gomega.Equal([]int{1, 1}))
		expect.Expect(board.PaceCounts.FoundSlow.Load()).To(gomega.Equal(uint64(1)))
		expect.Expect(board.PaceCounts.Recovered.Load()).To(gomega.Equal(uint64(1)))
	})
}

// beginAt begins a call at the given head.
func beginAt(board *dispatch.Board, id string) *dispatch.Call {
	return beginWatchedAt(board, id, ignoreSuspicion)
}

// beginWatchedAt begins a call at the given head that is told of suspicions.
func beginWatchedAt(board *dispatch.Board, id string, suspect func(dispatch.Suspicion)) *dispatch.Call {
	others := []string{"a", "b", "c"}
	others = slices.DeleteFunc(others, func(other string) bool { return other == id })
	target, _ := board.Pick(pool, dispatch.Criteria{Exclude: others})
	return target.Begin(0, 0, func() {}, suspect)
}

// Guards against suspecting the streams of a slow group as if they had stalled, and against detecting a lost group
// too late because it was slow.
func TestStreamsOfSlowGroupStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		suspected := false
		call, other := beginWatchedAt(board, "a", func(dispatch.Suspicion) { suspected = true }), beginAt(board, "b")
		for range 12 {
			for range 5 {
				time.Sleep(40 * time.Millisecond)
				other.RecordEvent()
			}
			call.RecordEvent()
			board.UpdatePaces()
		}
		other.End()
		time.Sleep(400 * time.Millisecond)
		expect.Expect(board.WatchGroups()).To(gomega.BeEmpty())
		time.Sleep(550 * time.Millisecond)
		expect.Expect(board.WatchGroups()).To(gomega.HaveLen(1))
		expect.Expect(suspected).To(gomega.BeTrue())
	})
}

// BenchmarkEvent measures RecordEvent, without reading the clock.
func BenchmarkEvent(b *testing.B) {
	now := time.Hour
	board := dispatch.New(dispatch.Clock(func() time.Duration { return now }))
	board.Update(map[string][]dispatch.Spec{pool: {head("a"), head("b"), head("c")}})
	call := pick(board).Begin(700, 0, func() {}, ignoreSuspicion)
	b.ReportAllocs()
	for b.Loop() {
		now += 45 * time.Millisecond
		call.RecordEvent()
	}
}
