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

// paceModel is nodes before groups that run one pass after the other, in virtual time. A pass reads the
// prompts of the calls that got a place before it; each stream then has an event.
type paceModel struct {
	burstModel
	// learns says whether nodes learn paces, and slower by how much a group's passes are longer at a time.
	learns bool
	slower func(head string, at time.Duration) float64
	// prompt and answer are the mean lengths of calls, in tokens and events.
	prompt, answer float64

	groups map[string]*passEngine
	// sent are the calls that each group was sent, by second.
	sent map[string]map[int]int
	// slow are the groups that a board ever held for slow.
	slow map[string]int
}

type passEngine struct {
	waiting, running []*work
	busy             bool
}

func (model *paceModel) arriveHere() {
	model.after(time.Duration(model.draw.ExpFloat64()/model.calm*float64(time.Second)), model.arriveHere)
	one := &work{
		node: model.draw.IntN(model.nodes), came: model.at,
		prompt: model.spread(model.prompt, 0.89, 2340), events: model.spread(model.answer, 0.7, 78),
	}
	model.asked[0]++
	target, verdict := model.boards[one.node].Pick(pool, dispatch.Wish{DataCentre: fmt.Sprintf("d%d", one.node%3), Beyond: modelBeyond})
	if verdict != dispatch.Chosen {
		model.refused[0]++
		return
	}
	one.use = target.Begin(one.prompt, 0, func() {})
	if model.sent[target.ID] == nil {
		model.sent[target.ID] = map[int]int{}
	}
	model.sent[target.ID][int(model.at/time.Second)]++
	engine := model.groups[target.ID]
	engine.waiting = append(engine.waiting, one)
	model.pass(target.ID, engine)
}

// pass runs a pass and the next ones, as long as there are calls.
func (model *paceModel) pass(head string, engine *passEngine) {
	if engine.busy || len(engine.waiting)+len(engine.running) == 0 {
		return
	}
	engine.busy = true
	begun := min(modelSlots-len(engine.running), len(engine.waiting))
	span := modelPass - time.Duration(modelSlots-len(engine.running)-begun)*190*time.Microsecond
	for _, one := range engine.waiting[:begun] {
		span += time.Duration(one.prompt) * modelToken
	}
	engine.running, engine.waiting = append(engine.running, engine.waiting[:begun]...), engine.waiting[begun:]
	model.after(time.Duration(float64(span)*model.slower(head, model.at)), func() {
		left := []*work{}
		for number, one := range engine.running {
			one.use.Event()
			if number >= len(engine.running)-begun && model.at-one.came <= model.target {
				model.inTime[0]++
			}
			if one.events--; one.events > 0 {
				left = append(left, one)
			} else {
				one.use.End()
			}
		}
		engine.running, engine.busy = left, false
		model.pass(head, engine)
	})
}

// learn makes each node look at paces, and the others hear of what is news after the delay.
func (model *paceModel) learn() {
	for number, board := range model.boards {
		for _, news := range board.Paces() {
			model.slow[news.Target.ID]++
			told, _ := board.TellPace(news.Target.Run())
			model.after(model.delay, func() {
				for other, board := range model.boards {
					if other != number && news.Tell {
						told.Age = model.delay
						board.TakePace(&told)
					}
				}
			})
		}
	}
	model.after(40*time.Millisecond, model.learn)
}

func (model *paceModel) play(seed uint64) {
	model.start(seed)
	model.groups, model.sent, model.slow = map[string]*passEngine{}, map[string]map[int]int{}, map[string]int{}
	for id := range model.heads {
		model.groups[id] = &passEngine{}
	}
	model.after(0, model.tell)
	model.after(0, model.arriveHere)
	if model.learns {
		model.after(0, model.learn)
	}
	model.steps()
}

// part is the share of the calls that got their first event in time.
func (model *paceModel) part() float64 { return float64(model.inTime[0]) / float64(model.asked[0]) }

func (model *paceModel) sentTo(head string, from, to int) int {
	sum := 0
	for second := from; second < to; second++ {
		sum += model.sent[head][second]
	}
	return sum
}

func pacing(perSecond float64, learns bool, slower func(head string, at time.Duration) float64) *paceModel {
	return &paceModel{
		burstModel: burstModel{
			nodes: 30, groups: 8, calm: perSecond, length: 20 * time.Second, target: 200 * time.Millisecond, delay: 100 * time.Millisecond,
		},
		learns: learns, slower: slower, prompt: modelPrompt, answer: modelEvents,
	}
}

func fourTimes(head string, _ time.Duration) float64 {
	if head == "h3" {
		return 4
	}
	return 1
}

// Guards against calls that go to a slow group as to any other and get their first events late.
func TestSlowGroupIsPassedBy(t *testing.T) {
	for _, perSecond := range []float64{60, 100, 140} {
		t.Run(fmt.Sprintf("%.0f a second", perSecond), func(t *testing.T) {
			expect := gomega.NewWithT(t)
			for seed := range uint64(2) {
				without, with := pacing(perSecond, false, fourTimes), pacing(perSecond, true, fourTimes)
				without.play(seed)
				with.play(seed)
				t.Logf("in time %.4f, without %.4f; sent to the slow group %d, without %d", with.part(), without.part(),
					with.sentTo("h3", 0, 20), without.sentTo("h3", 0, 20))
				expect.Expect(with.part()).To(gomega.BeNumerically(">=", 0.97), "calls in time")
				expect.Expect(without.part()).To(gomega.BeNumerically("<", 0.97), "calls in time without the mechanism")
			}
		})
	}
}

// Guards against a healthy group that looks slow since long prompts are read in most of its passes.
func TestPromptsDontMakeAGroupLookSlow(t *testing.T) {
	expect := gomega.NewWithT(t)
	for seed := range uint64(5) {
		model := pacing(190, true, func(string, time.Duration) float64 { return 1 })
		model.prompt, model.answer = 1800, 10
		model.play(seed)
		t.Log(model.slow, model.part())
		expect.Expect(model.slow).To(gomega.BeEmpty())
	}
}

// Guards against a group that gets no calls long after it has recovered.
func TestGroupThatRecoversGetsCallsAgain(t *testing.T) {
	expect := gomega.NewWithT(t)
	model := pacing(100, true, func(head string, at time.Duration) float64 {
		if head == "h3" && at < 8*time.Second {
			return 4
		}
		return 1
	})
	model.play(1)
	expect.Expect(model.sentTo("h3", 2, 5)).To(gomega.BeNumerically("<", 10), "while it is slow")
	// An eighth of 100 a second.
	expect.Expect(model.sentTo("h3", 14, 20)).To(gomega.BeNumerically(">", 55), "six seconds after it recovered")
}

// Guards against a pool of which more than a third is passed by.
func TestAtMostAThirdOfAPoolIsPassedBy(t *testing.T) {
	expect := gomega.NewWithT(t)
	model := pacing(60, true, func(head string, _ time.Duration) float64 {
		if head < "h3" {
			return 3
		}
		return 1
	})
	most := 0
	count := func() {
		for _, board := range model.boards {
			slow := 0
			for _, state := range board.State()[pool] {
				if state.Pace > 1 {
					slow++
				}
			}
			most = max(most, slow)
		}
	}
	for at := time.Second; at < model.length; at += 100 * time.Millisecond {
		model.after(at, count)
	}
	model.play(1)
	expect.Expect(most).To(gomega.Equal(8 / 3))
}

// Guards against a node that sends its calls to a group that others have found slow.
func TestNodeThatHearsOfASlowGroupPassesItBy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		told := dispatch.ToldPace{Server: "a", Group: "g-a", Factor: 4, Age: 100 * time.Millisecond}
		expect.Expect(board.TakePace(&told)).To(gomega.BeTrue())
		expect.Expect(board.TakePace(&told)).To(gomega.BeFalse(), "it is no news any more")
		expect.Expect(board.Paces()).To(gomega.BeEmpty(), "it was found elsewhere")
		expect.Expect(board.SlowRuns()).To(gomega.ConsistOf("a/g-a/0"))
		for range 50 {
			expect.Expect(pick(board).ID).NotTo(gomega.Equal("a"))
		}
		time.Sleep(6 * time.Second)
		board.Paces()
		expect.Expect(board.SlowRuns()).To(gomega.BeEmpty(), "it is tried again")
		expect.Expect(board.TakePace(&dispatch.ToldPace{Server: "b", Group: "g-of-before", Factor: 4})).To(gomega.BeFalse(), "another group")
		expect.Expect(board.TakePace(&dispatch.ToldPace{Server: "b", Group: "g-b", Born: 7, Factor: 4})).To(gomega.BeFalse(), "another run")
	})
}

// Guards against a group that looks slow since a caller is slow to take its events, and since events that
// came together count as one.
func TestSlowCallerDoesntMakeAGroupLookSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		slow, held := pick(board).Begin(700, 0, func() {}), pick(board).Begin(700, 0, func() {})
		for range 40 {
			time.Sleep(180 * time.Millisecond)
			slow.Event()
			slow.PassedOn(100 * time.Millisecond)
			held.Events(4)
			expect.Expect(board.Paces()).To(gomega.BeEmpty())
		}
		expect.Expect(board.SlowRuns()).To(gomega.BeEmpty())
	})
}

// Guards against a pool that takes more calls than it runs since a slow group, which calls pass by, has free places.
func TestFreePlacesOfASlowGroupMakeNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		specs := []dispatch.Spec{head("a"), head("b"), head("c")}
		for number := range specs {
			specs[number].PerPrompt = 15 * time.Millisecond
		}
		board := newBoard(specs...)
		for _, id := range []string{"b", "c"} {
			for range 16 {
				begin(board, id)
			}
		}
		refusals := func() int {
			count := 0
			for range 400 {
				if refused(board) {
					count++
				}
				time.Sleep(5 * time.Millisecond)
			}
			return count
		}
		expect.Expect(refusals()).To(gomega.BeZero())
		expect.Expect(board.TakePace(&dispatch.ToldPace{Server: "a", Group: "g-a", Factor: 4})).To(gomega.BeTrue())
		board.Paces()
		expect.Expect(refusals()).To(gomega.BeNumerically(">", 200))
	})
}

// Guards against log lines for each try of a group that stays slow, and for groups that are all slower
// than configured.
func TestSlowGroupIsToldOfOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		found, ended := 0, 0
		run := func(span, gap time.Duration, heads ...string) {
			uses := []*dispatch.Use{}
			for _, id := range heads {
				uses = append(uses, begin(board, id))
			}
			for began := time.Now(); time.Since(began) < span; time.Sleep(gap) {
				for _, use := range uses {
					use.Event()
				}
				for _, news := range board.Paces() {
					if news.Found {
						found++
					}
					if news.Ended {
						ended++
					}
				}
			}
			for _, use := range uses {
				use.End()
			}
		}
		run(3*time.Second, 180*time.Millisecond, "a", "b", "c")
		expect.Expect(found).To(gomega.BeZero(), "all are as slow")
		time.Sleep(3 * time.Minute)
		run(time.Second, 40*time.Millisecond, "b")
		run(3*time.Second, 180*time.Millisecond, "a")
		run(6*time.Second, 40*time.Millisecond)
		run(3*time.Second, 180*time.Millisecond, "a")
		expect.Expect([]int{found, ended}).To(gomega.Equal([]int{1, 0}))
		run(3*time.Second, 40*time.Millisecond, "a")
		run(2*time.Second, 40*time.Millisecond)
		expect.Expect([]int{found, ended}).To(gomega.Equal([]int{1, 1}))
		expect.Expect(board.PaceCounts.FoundSlow.Load()).To(gomega.Equal(uint64(1)))
		expect.Expect(board.PaceCounts.Recovered.Load()).To(gomega.Equal(uint64(1)))
	})
}

// begin begins a call at a head.
func begin(board *dispatch.Board, id string) *dispatch.Use {
	others := []string{"a", "b", "c"}
	others = slices.DeleteFunc(others, func(other string) bool { return other == id })
	target, _ := board.Pick(pool, dispatch.Wish{Exclude: others})
	return target.Begin(0, 0, func() {})
}

// Guards against streams that are moved from a slow group as if it stood still, and against a lost group
// that is found late since it was slow.
func TestStreamsOfASlowGroupStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		board := newBoard(head("a"), head("b"), head("c"))
		use, other := begin(board, "a"), begin(board, "b")
		for range 12 {
			for range 5 {
				time.Sleep(40 * time.Millisecond)
				other.Event()
			}
			use.Event()
			board.Paces()
		}
		other.End()
		time.Sleep(400 * time.Millisecond)
		expect.Expect(board.Watch()).To(gomega.BeEmpty())
		time.Sleep(550 * time.Millisecond)
		expect.Expect(board.Watch()).To(gomega.HaveLen(1))
		expect.Expect(use.Moved()).To(gomega.BeTrue())
	})
}

// BenchmarkEvent is what an event of a group's stream costs, but for reading the clock.
func BenchmarkEvent(b *testing.B) {
	now := time.Hour
	board := dispatch.New(dispatch.Clock(func() time.Duration { return now }))
	board.Update(map[string][]dispatch.Spec{pool: {head("a"), head("b"), head("c")}})
	use := pick(board).Begin(700, 0, func() {})
	b.ReportAllocs()
	for b.Loop() {
		now += 45 * time.Millisecond
		use.Event()
	}
}
