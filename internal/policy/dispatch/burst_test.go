package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/demand"
	"hazelslip/internal/policy/dispatch"
)

// burstModel simulates nodes that call a pool of groups, in virtual time. Nodes learn of each other's calls with
// a delay. A group prefills one prompt after the other, and only the prompts of calls that have a slot.
type burstModel struct {
	nodes, groups int
	// calmRate and burstRate are calls per second. The burst lasts from burstFrom to burstTo.
	calmRate, burstRate             float64
	burstFrom, burstTo              time.Duration
	length                          time.Duration
	latencyTarget, propagationDelay time.Duration
	// greedy makes nodes choose the best target by the counts that they have, without balanced draws.
	greedy bool
	// sheds makes nodes refuse calls that the pool can't run. sharesDemand makes nodes tell each other their demand.
	sheds, sharesDemand bool
	// hotNodes is the number of first nodes that together get the fraction hotShare of all calls.
	hotNodes int
	hotShare float64

	random    *rand.Rand
	at        time.Duration
	events    events
	boards    []*dispatch.Board
	demands   []*demand.Demand
	engines   map[string]*engineModel
	nextOrder int

	requested, inTime, late, refused map[int]int
}

type engineModel struct {
	slots            int
	active           int
	queue            []*modelCall
	prefillEnd       time.Duration
	tokenPrefillTime time.Duration
	passTime         time.Duration
}

type modelCall struct {
	node         int
	promptTokens int
	events       int
	arrivedAt    time.Duration
	call         *dispatch.Call
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].order < events[j].order
}
func (events events) Swap(i, j int)  { events[i], events[j] = events[j], events[i] }
func (events *events) Push(item any) { *events = append(*events, item.(event)) }
func (events *events) Pop() any {
	old := *events
	last := old[len(old)-1]
	*events = old[:len(old)-1]
	return last
}

func (model *burstModel) after(delay time.Duration, do func()) {
	model.nextOrder++
	heap.Push(&model.events, event{at: model.at + delay, order: model.nextOrder, do: do})
}

const (
	modelSlots           = 30
	modelPassTime        = 32 * time.Millisecond
	modelTokenPrefill    = 12 * time.Microsecond
	modelPromptTokens    = 674
	modelEvents          = 31
	modelMaxQueued       = 4
	modelReleaseInterval = 33 * time.Millisecond
)

func (model *burstModel) start(seed uint64) {
	model.random = rand.New(rand.NewPCG(seed, 1))
	model.engines = map[string]*engineModel{}
	model.requested, model.inTime, model.late, model.refused = map[int]int{}, map[int]int{}, map[int]int{}, map[int]int{}
	specs := []dispatch.Spec{}
	prompt := modelPromptTokens * modelTokenPrefill
	if model.greedy {
		prompt = 0
	}
	for number := range model.groups {
		id := fmt.Sprintf("h%d", number)
		specs = append(specs, dispatch.Spec{
			ID: id, Group: "g-" + id, Address: id, Slots: modelSlots, PassTime: modelPassTime, TokenPrefillTime: modelTokenPrefill,
			PassTimePerCall: 190 * time.Microsecond, SlotReleaseInterval: modelReleaseInterval, PromptPrefillTime: prompt,
			DataCentre: fmt.Sprintf("d%d", number%3),
		})
		model.engines[id] = &engineModel{slots: modelSlots, tokenPrefillTime: modelTokenPrefill, passTime: modelPassTime}
	}
	for number := range model.nodes {
		now := func() time.Duration { return model.at + time.Hour }
		tracker := demand.New(demand.Clock(now))
		model.demands = append(model.demands, tracker)
		board := dispatch.New(dispatch.Clock(now), dispatch.Random(model.random.IntN), dispatch.Demand(tracker),
			dispatch.DataCentre(fmt.Sprintf("d%d", number%3)), dispatch.CountedNodes(func() int { return model.nodes }))
		board.Update(map[string][]dispatch.Spec{pool: specs})
		model.boards = append(model.boards, board)
	}
}

func (model *burstModel) drawLogNormal(mean, deviation float64, limit int) int {
	sigma := math.Sqrt(math.Log(1 + deviation*deviation))
	value := mean * math.Exp(sigma*model.random.NormFloat64()-sigma*sigma/2)
	return max(1, min(limit, int(value)))
}

// publishLoads delivers the current loads to all nodes after the propagation delay, and schedules itself again.
func (model *burstModel) publishLoads() {
	all := make([]map[string]dispatch.ServerLoad, len(model.boards))
	sum := map[string]dispatch.ServerLoad{}
	for number, board := range model.boards {
		all[number] = board.OwnLoads()
		for id, load := range all[number] {
			sum[id] = sum[id].Plus(load)
		}
	}
	model.after(model.propagationDelay, func() {
		for number, board := range model.boards {
			others := map[string]dispatch.ServerLoad{}
			for id, load := range sum {
				others[id] = load.Minus(all[number][id])
			}
			board.SetPeerLoads(others)
		}
	})
	model.publishDemand()
	model.after(50*time.Millisecond, model.publishLoads)
}

// publishDemand delivers the current demand at each node to all nodes after the propagation delay.
func (model *burstModel) publishDemand() {
	if !model.sharesDemand {
		return
	}
	own, sum := make([]demand.PoolRates, len(model.demands)), demand.PoolRates{}
	for number, tracker := range model.demands {
		own[number] = tracker.Local()
		sum.Add(own[number])
	}
	model.after(model.propagationDelay, func() {
		for number, tracker := range model.demands {
			tracker.SetRemote(sum.Subtract(own[number]))
		}
	})
}

// drawArrivalNode draws the node at which a call arrives.
func (model *burstModel) drawArrivalNode() int {
	if model.hotNodes > 0 && model.random.Float64() < model.hotShare {
		return model.random.IntN(model.hotNodes)
	}
	return model.hotNodes + model.random.IntN(model.nodes-model.hotNodes)
}

func (model *burstModel) arrive() {
	rate := model.calmRate
	if model.at >= model.burstFrom && model.at < model.burstTo {
		rate = model.burstRate
	}
	model.after(time.Duration(model.random.ExpFloat64()/rate*float64(time.Second)), model.arrive)
	model.placeCall(&modelCall{
		node: model.drawArrivalNode(), arrivedAt: model.at,
		promptTokens: model.drawLogNormal(modelPromptTokens, 0.89, 2340), events: model.drawLogNormal(modelEvents, 0.7, 78),
	}, 24*time.Millisecond)
}

func (model *burstModel) windowStart() int { return int(model.at/(2*time.Second)) * 2 }

func (model *burstModel) placeCall(call *modelCall, maxWait time.Duration) {
	if call.arrivedAt == model.at {
		model.requested[model.windowStart()]++
		_, shed := model.boards[call.node].ShouldShed(pool, 0, dispatch.Criteria{})
		model.boards[call.node].RecordDemand(pool, 0)
		if shed && model.sheds {
			model.refused[int(call.arrivedAt/(2*time.Second))*2]++
			return
		}
	}
	target, verdict := model.boards[call.node].Pick(pool, dispatch.Criteria{DataCentre: fmt.Sprintf("d%d", call.node%3), MaxQueued: modelMaxQueued})
	if verdict != dispatch.Chosen {
		if maxWait >= 8*time.Millisecond {
			model.after(8*time.Millisecond, func() { model.placeCall(call, maxWait-8*time.Millisecond) })
			return
		}
		model.refused[int(call.arrivedAt/(2*time.Second))*2]++
		return
	}
	call.call = target.Begin(call.promptTokens, 0, func() {}, ignoreSuspicion)
	engine := model.engines[target.ID]
	engine.queue = append(engine.queue, call)
	model.startQueued(engine)
}

func (model *burstModel) startQueued(engine *engineModel) {
	for engine.active < engine.slots && len(engine.queue) > 0 {
		call := engine.queue[0]
		engine.queue = engine.queue[1:]
		engine.active++
		engine.prefillEnd = max(engine.prefillEnd, model.at) + time.Duration(call.promptTokens)*engine.tokenPrefillTime
		first := engine.prefillEnd - model.at + engine.passTime
		model.after(first, func() {
			call.call.RecordEvent()
			elapsed := model.at - call.arrivedAt
			window := int(call.arrivedAt/(2*time.Second)) * 2
			if elapsed <= model.latencyTarget {
				model.inTime[window]++
			} else {
				model.late[window]++
			}
		})
		// Prefills lengthen the passes between events in proportion to their time.
		model.after(first+time.Duration(float64(call.events-1)*float64(engine.passTime)*1.2), func() {
			call.call.End()
			engine.active--
			model.startQueued(engine)
		})
	}
}

func (model *burstModel) run(seed uint64) {
	model.start(seed)
	model.after(0, model.publishLoads)
	model.after(0, model.arrive)
	model.runEvents()
}

// runEvents runs the scheduled events until the simulated time is over.
func (model *burstModel) runEvents() {
	for model.events.Len() > 0 {
		next, _ := heap.Pop(&model.events).(event)
		if next.at > model.length {
			return
		}
		model.at = next.at
		next.do()
	}
}

// burstCounts returns the calls that arrived during the burst, and those of them with a first event in time.
func (model *burstModel) burstCounts() (asked, inTime int) {
	for window := 4; window < 8; window += 2 {
		asked, inTime = asked+model.requested[window], inTime+model.inTime[window]
	}
	return asked, inTime
}

func newBurstModel(perSecond float64) *burstModel {
	return &burstModel{
		nodes: 91, groups: 22, calmRate: 420, burstRate: perSecond, burstFrom: 4 * time.Second, burstTo: 8 * time.Second, length: 14 * time.Second,
		latencyTarget: 200 * time.Millisecond, propagationDelay: 100 * time.Millisecond, sheds: true,
	}
}

// Guards against goodput that falls under overload: at up to three times the load that fits, as many calls per
// second as at normal load get their first event in time.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	for _, perSecond := range []float64{760, 1000, 1300} {
		t.Run(fmt.Sprintf("%.0f a second", perSecond), func(t *testing.T) {
			expect := gomega.NewWithT(t)
			model := newBurstModel(perSecond)
			model.run(1)
			calm := model.inTime[2]
			_, inTime := model.burstCounts()
			expect.Expect(inTime).To(gomega.BeNumerically(">=", 2*calm), "calls in time in the four seconds of the burst")

			unshed := newBurstModel(perSecond)
			unshed.sheds = false
			unshed.run(1)
			_, inTimeUnshed := unshed.burstCounts()
			expect.Expect(inTimeUnshed).To(gomega.BeNumerically("<", inTime*3/4), "without shedding")
		})
	}
}

// Guards against refusing calls that the pool can run.
func TestNoSheddingAtNormalLoad(t *testing.T) {
	expect := gomega.NewWithT(t)
	model := newBurstModel(420)
	model.run(1)
	for window, refused := range model.refused {
		expect.Expect(refused).To(gomega.BeZero(), "calls refused in the two seconds from second %d on", window)
	}
}

// Guards against all nodes sending to the group that looks best by outdated counts.
func TestBalancedDrawReducesLateCalls(t *testing.T) {
	expect := gomega.NewWithT(t)
	balanced, greedy := newBurstModel(520), newBurstModel(520)
	balanced.sheds, greedy.sheds, greedy.greedy = false, false, true
	balanced.run(1)
	greedy.run(1)
	expect.Expect(balanced.late[4] + balanced.late[6]).To(gomega.BeNumerically("<", (greedy.late[4]+greedy.late[6])/2))
}

// Guards against shedding by a node's own share of the load. If a few nodes get most of the calls, these nodes
// refuse nearly all of them and the others none, so that slots stay free.
func TestSheddingByFleetDemandServesUnevenLoad(t *testing.T) {
	for _, perSecond := range []float64{760, 1000, 1300} {
		t.Run(fmt.Sprintf("%.0f a second", perSecond), func(t *testing.T) {
			expect := gomega.NewWithT(t)
			inTime := map[bool]int{}
			for _, sharesDemand := range []bool{false, true} {
				model := newBurstModel(perSecond)
				model.hotNodes, model.hotShare, model.sharesDemand = 6, 0.85, sharesDemand
				model.run(1)
				_, inTime[sharesDemand] = model.burstCounts()
			}
			t.Logf("%d in time by own demand, %d by the demand of all nodes", inTime[false], inTime[true])
			expect.Expect(inTime[true]).To(gomega.BeNumerically(">", inTime[false]*103/100))
		})
	}
}

// Guards against shedding by fleet-wide demand that admits too many calls at an even load: late demand reports
// must not cost more than the assumption that all nodes have the same demand.
func TestSheddingByFleetDemandServesEvenLoad(t *testing.T) {
	expect := gomega.NewWithT(t)
	inTime := map[bool]int{}
	for _, sharesDemand := range []bool{false, true} {
		for seed := uint64(1); seed <= 3; seed++ {
			model := newBurstModel(1000)
			model.sharesDemand = sharesDemand
			model.run(seed)
			_, served := model.burstCounts()
			inTime[sharesDemand] += served
		}
	}
	t.Logf("%d in time by own demand, %d by the demand of all nodes", inTime[false], inTime[true])
	expect.Expect(inTime[true]).To(gomega.BeNumerically(">=", inTime[false]*98/100))
}
