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

// burstModel is nodes before a pool of groups, in virtual time. Nodes hear of each other's
// calls with a delay. A group reads one prompt after the other, and only those of calls that
// have a place.
type burstModel struct {
	nodes, groups int
	// calm and burst are the calls a second, the burst lasting from burstFrom to burstTo.
	calm, burst        float64
	burstFrom, burstTo time.Duration
	length             time.Duration
	target, delay      time.Duration
	// nearest makes nodes choose the best target by the counts that they have.
	nearest bool
	// sheds says whether calls that the pool can't run are refused at once, and told whether nodes
	// hear what the others are asked for.
	sheds, told bool
	// heavy are the first nodes that get heavyPart of all calls.
	heavy     int
	heavyPart float64

	draw    *rand.Rand
	at      time.Duration
	events  events
	boards  []*dispatch.Board
	demands []*demand.Demand
	heads   map[string]*engine
	order   int

	asked, inTime, late, refused map[int]int
}

type engine struct {
	slots   int
	active  int
	queue   []*work
	readEnd time.Duration
	per     time.Duration
	pass    time.Duration
}

type work struct {
	node   int
	prompt int
	events int
	came   time.Duration
	use    *dispatch.Use
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
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }
func (events *events) Push(one any) { *events = append(*events, one.(event)) }
func (events *events) Pop() any {
	old := *events
	last := old[len(old)-1]
	*events = old[:len(old)-1]
	return last
}

func (model *burstModel) after(span time.Duration, do func()) {
	model.order++
	heap.Push(&model.events, event{at: model.at + span, order: model.order, do: do})
}

const (
	modelSlots  = 30
	modelPass   = 32 * time.Millisecond
	modelToken  = 12 * time.Microsecond
	modelPrompt = 674
	modelEvents = 31
	modelBeyond = 4
	modelTurn   = 33 * time.Millisecond
)

func (model *burstModel) start(seed uint64) {
	model.draw = rand.New(rand.NewPCG(seed, 1))
	model.heads = map[string]*engine{}
	model.asked, model.inTime, model.late, model.refused = map[int]int{}, map[int]int{}, map[int]int{}, map[int]int{}
	specs := []dispatch.Spec{}
	prompt := modelPrompt * modelToken
	if model.nearest {
		prompt = 0
	}
	for number := range model.groups {
		id := fmt.Sprintf("h%d", number)
		specs = append(specs, dispatch.Spec{
			ID: id, Group: "g-" + id, Address: id, Slots: modelSlots, Pass: modelPass, PerToken: modelToken,
			PerCall: 190 * time.Microsecond, Turnover: modelTurn, PerPrompt: prompt,
			DataCentre: fmt.Sprintf("d%d", number%3),
		})
		model.heads[id] = &engine{slots: modelSlots, per: modelToken, pass: modelPass}
	}
	for number := range model.nodes {
		now := func() time.Duration { return model.at + time.Hour }
		held := demand.New(demand.Clock(now))
		model.demands = append(model.demands, held)
		board := dispatch.New(dispatch.Clock(now), dispatch.Random(model.draw.IntN), dispatch.Demands(held),
			dispatch.DataCentre(fmt.Sprintf("d%d", number%3)), dispatch.Counted(func() int { return model.nodes }))
		board.Update(map[string][]dispatch.Spec{pool: specs})
		model.boards = append(model.boards, board)
	}
}

func (model *burstModel) spread(mean, spread float64, most int) int {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	value := mean * math.Exp(sigma*model.draw.NormFloat64()-sigma*sigma/2)
	return max(1, min(most, int(value)))
}

// tell makes the counts as they are now known to all nodes after the delay.
func (model *burstModel) tell() {
	all := make([]map[string]dispatch.Share, len(model.boards))
	sum := map[string]dispatch.Share{}
	for number, board := range model.boards {
		all[number] = board.Shares()
		for id, share := range all[number] {
			sum[id] = sum[id].Plus(share)
		}
	}
	model.after(model.delay, func() {
		for number, board := range model.boards {
			others := map[string]dispatch.Share{}
			for id, share := range sum {
				others[id] = share.Minus(all[number][id])
			}
			board.PeerLoads(others)
		}
	})
	model.tellDemands()
	model.after(50*time.Millisecond, model.tell)
}

// tellDemands does the same for what the nodes are asked for.
func (model *burstModel) tellDemands() {
	if !model.told {
		return
	}
	owns, sum := make([]demand.PoolRates, len(model.demands)), demand.PoolRates{}
	for number, held := range model.demands {
		owns[number] = held.Local()
		sum.Add(owns[number])
	}
	model.after(model.delay, func() {
		for number, held := range model.demands {
			held.SetRemote(sum.Subtract(owns[number]))
		}
	})
}

// asks draws the node that a call comes to.
func (model *burstModel) asks() int {
	if model.heavy > 0 && model.draw.Float64() < model.heavyPart {
		return model.draw.IntN(model.heavy)
	}
	return model.heavy + model.draw.IntN(model.nodes-model.heavy)
}

func (model *burstModel) arrive() {
	rate := model.calm
	if model.at >= model.burstFrom && model.at < model.burstTo {
		rate = model.burst
	}
	model.after(time.Duration(model.draw.ExpFloat64()/rate*float64(time.Second)), model.arrive)
	model.call(&work{
		node: model.asks(), came: model.at,
		prompt: model.spread(modelPrompt, 0.89, 2340), events: model.spread(modelEvents, 0.7, 78),
	}, 24*time.Millisecond)
}

func (model *burstModel) window() int { return int(model.at/(2*time.Second)) * 2 }

func (model *burstModel) call(one *work, patience time.Duration) {
	if one.came == model.at {
		model.asked[model.window()]++
		_, shed := model.boards[one.node].Sheds(pool, 0, dispatch.Wish{})
		model.boards[one.node].Asked(pool, 0)
		if shed && model.sheds {
			model.refused[int(one.came/(2*time.Second))*2]++
			return
		}
	}
	target, verdict := model.boards[one.node].Pick(pool, dispatch.Wish{DataCentre: fmt.Sprintf("d%d", one.node%3), Beyond: modelBeyond})
	if verdict != dispatch.Chosen {
		if patience >= 8*time.Millisecond {
			model.after(8*time.Millisecond, func() { model.call(one, patience-8*time.Millisecond) })
			return
		}
		model.refused[int(one.came/(2*time.Second))*2]++
		return
	}
	one.use = target.Begin(one.prompt, 0, func() {})
	engine := model.heads[target.ID]
	engine.queue = append(engine.queue, one)
	model.begin(engine)
}

func (model *burstModel) begin(engine *engine) {
	for engine.active < engine.slots && len(engine.queue) > 0 {
		one := engine.queue[0]
		engine.queue = engine.queue[1:]
		engine.active++
		engine.readEnd = max(engine.readEnd, model.at) + time.Duration(one.prompt)*engine.per
		first := engine.readEnd - model.at + engine.pass
		model.after(first, func() {
			one.use.Event()
			took := model.at - one.came
			window := int(one.came/(2*time.Second)) * 2
			if took <= model.target {
				model.inTime[window]++
			} else {
				model.late[window]++
			}
		})
		// Prompts that are read lengthen the passes between events by their part of the time.
		model.after(first+time.Duration(float64(one.events-1)*float64(engine.pass)*1.2), func() {
			one.use.End()
			engine.active--
			model.begin(engine)
		})
	}
}

func (model *burstModel) run(seed uint64) {
	model.start(seed)
	model.after(0, model.tell)
	model.after(0, model.arrive)
	model.steps()
}

// steps does what is due until the model's time is over.
func (model *burstModel) steps() {
	for model.events.Len() > 0 {
		next, _ := heap.Pop(&model.events).(event)
		if next.at > model.length {
			return
		}
		model.at = next.at
		next.do()
	}
}

// inBurst sums the calls that came in the burst of a model.
func (model *burstModel) inBurst() (asked, inTime int) {
	for window := 4; window < 8; window += 2 {
		asked, inTime = asked+model.asked[window], inTime+model.inTime[window]
	}
	return asked, inTime
}

func burst(perSecond float64) *burstModel {
	return &burstModel{
		nodes: 91, groups: 22, calm: 420, burst: perSecond, burstFrom: 4 * time.Second, burstTo: 8 * time.Second, length: 14 * time.Second,
		target: 200 * time.Millisecond, delay: 100 * time.Millisecond, sheds: true,
	}
}

// Guards against goodput that falls when more is asked for: up to three times what fits, as many calls as
// in calm get their first event in time.
func TestGoodputStaysWhenMoreIsAskedFor(t *testing.T) {
	for _, perSecond := range []float64{760, 1000, 1300} {
		t.Run(fmt.Sprintf("%.0f a second", perSecond), func(t *testing.T) {
			expect := gomega.NewWithT(t)
			model := burst(perSecond)
			model.run(1)
			calm := model.inTime[2]
			_, inTime := model.inBurst()
			expect.Expect(inTime).To(gomega.BeNumerically(">=", 2*calm), "calls in time in the four seconds of the burst")

			unshed := burst(perSecond)
			unshed.sheds = false
			unshed.run(1)
			_, without := unshed.inBurst()
			expect.Expect(without).To(gomega.BeNumerically("<", inTime*3/4), "without shedding")
		})
	}
}

// Guards against calls that are refused though the pool can run them.
func TestNothingIsShedInCalm(t *testing.T) {
	expect := gomega.NewWithT(t)
	model := burst(420)
	model.run(1)
	for window, refused := range model.refused {
		expect.Expect(refused).To(gomega.BeZero(), "calls of the second from %d on", window)
	}
}

// Guards against all nodes that send to the group that looks best by counts that are late.
func TestFewerAreLateWhereNearlyAllPlacesAreTaken(t *testing.T) {
	expect := gomega.NewWithT(t)
	spread, nearest := burst(520), burst(520)
	spread.sheds, nearest.sheds, nearest.nearest = false, false, true
	spread.run(1)
	nearest.run(1)
	expect.Expect(spread.late[4] + spread.late[6]).To(gomega.BeNumerically("<", (nearest.late[4]+nearest.late[6])/2))
}

// Guards against shedding that goes by a node's own share of the load: where a few nodes get most of
// the calls these refuse nearly all of them, and the others none, so that places stay free.
func TestSheddingByTheRatesOfAllNodesServesUnevenShares(t *testing.T) {
	for _, perSecond := range []float64{760, 1000, 1300} {
		t.Run(fmt.Sprintf("%.0f a second", perSecond), func(t *testing.T) {
			expect := gomega.NewWithT(t)
			inTime := map[bool]int{}
			for _, told := range []bool{false, true} {
				model := burst(perSecond)
				model.heavy, model.heavyPart, model.told = 6, 0.85, told
				model.run(1)
				_, inTime[told] = model.inBurst()
			}
			t.Logf("%d in time by own rates, %d by those of all nodes", inTime[false], inTime[true])
			expect.Expect(inTime[true]).To(gomega.BeNumerically(">", inTime[false]*103/100))
		})
	}
}

// Guards against sums of all nodes that let more calls through than an even share of the load needs: what is told late
// must not cost more than the guess that all nodes are asked for the same.
func TestSheddingByTheRatesOfAllNodesServesEvenShares(t *testing.T) {
	expect := gomega.NewWithT(t)
	inTime := map[bool]int{}
	for _, told := range []bool{false, true} {
		for seed := uint64(1); seed <= 3; seed++ {
			model := burst(1000)
			model.told = told
			model.run(seed)
			_, served := model.inBurst()
			inTime[told] += served
		}
	}
	t.Logf("%d in time by own rates, %d by those of all nodes", inTime[false], inTime[true])
	expect.Expect(inTime[true]).To(gomega.BeNumerically(">=", inTime[false]*98/100))
}
