package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/notice"
	"hazelslip/internal/policy/ratelimit"
)

// backoffModel is nodes before the servers of one pool, some of which refuse everything for a
// while and ask for backoffs.
type backoffModel struct {
	nodes, servers, refusing int
	// perSecond is the rate of calls of all nodes together.
	perSecond float64
	// told says that nodes tell each other of backoffs.
	told bool

	at      time.Duration
	draw    *rand.Rand
	boards  []*dispatch.Board
	notices []*notice.Notices
	later   []func()
	laterAt []time.Duration

	refusals, unserved, calls int
}

const (
	modelBackoff = 3 * time.Second
	modelSpan    = 9 * time.Second
	// modelWay is how long word takes from any node to all others.
	modelWay   = 200 * time.Millisecond
	modelCall  = 400 * time.Millisecond
	modelTries = 2
)

func (model *backoffModel) start() {
	model.draw, model.at = rand.New(rand.NewPCG(1, 1)), time.Hour
	now := func() time.Duration { return model.at }
	specs := []dispatch.Spec{}
	for number := range model.servers {
		specs = append(specs, head(fmt.Sprintf("s%d", number)))
	}
	for range model.nodes {
		notices := notice.New(ratelimit.New(ratelimit.Clock(now)), notice.Clock(now))
		board := dispatch.New(dispatch.Clock(now), dispatch.Random(model.draw.IntN), dispatch.Notices(notices))
		board.Update(map[string][]dispatch.Spec{pool: specs})
		model.boards, model.notices = append(model.boards, board), append(model.notices, notices)
	}
}

func (model *backoffModel) after(span time.Duration, do func()) {
	model.later, model.laterAt = append(model.later, do), append(model.laterAt, model.at+span)
}

// pass moves the clock on, and does what was due by then.
func (model *backoffModel) pass(span time.Duration) {
	until := model.at + span
	for len(model.laterAt) > 0 {
		first := 0
		for number, at := range model.laterAt {
			if at < model.laterAt[first] {
				first = number
			}
		}
		if model.laterAt[first] > until {
			break
		}
		model.at = model.laterAt[first]
		do := model.later[first]
		last := len(model.later) - 1
		model.later[first], model.laterAt[first] = model.later[last], model.laterAt[last]
		model.later, model.laterAt = model.later[:last], model.laterAt[:last]
		do()
	}
	model.at = until
}

func (model *backoffModel) run() {
	model.start()
	for end := model.at + modelSpan; model.at < end; {
		model.pass(time.Duration(model.draw.ExpFloat64() / model.perSecond * float64(time.Second)))
		model.call(model.draw.IntN(model.nodes))
	}
}

func (model *backoffModel) call(node int) {
	model.calls++
	wish := dispatch.Wish{}
	for range modelTries {
		target, verdict := model.boards[node].Pick(pool, wish)
		if verdict != dispatch.Chosen {
			break
		}
		if target.Record().Admit() != nil {
			wish.Exclude = append(wish.Exclude, target.ID)
			continue
		}
		if !model.refuses(target.ID) {
			use, sent := target.Begin(100, 0, func() {}), model.at
			model.after(modelCall, func() {
				use.End()
				model.notices[node].HandleResponse(target.Record(), notice.Response{Accepted: true, SentAt: sent})
			})
			return
		}
		model.refusals++
		wish.Exclude = append(wish.Exclude, target.ID)
		model.hear(node, target)
	}
	model.unserved++
}

func (model *backoffModel) refuses(server string) bool {
	number := 0
	_, _ = fmt.Sscanf(server, "s%d", &number)
	return number < model.refusing
}

func (model *backoffModel) hear(node int, target *dispatch.Target) {
	changes := model.notices[node].HandleResponse(target.Record(), notice.Response{Backoff: notice.Backoff{Span: modelBackoff}})
	told, known := model.notices[node].Announcement(target.ServerRun())
	if !model.told || !changes.Announce || !known {
		return
	}
	model.after(modelWay, func() {
		for other, notices := range model.notices {
			if other != node {
				notices.Merge(told)
			}
		}
	})
}

// Compares nodes that each learn of a backoff by a refusal with nodes that tell each other.
func BenchmarkWaysToLearnOfABackoff(b *testing.B) {
	for _, shape := range []backoffModel{
		{nodes: 7, servers: 30, perSecond: 110}, {nodes: 74, servers: 80, perSecond: 450}, {nodes: 300, servers: 260, perSecond: 890},
	} {
		for _, part := range []int{0, 10, 2} {
			for _, told := range []bool{false, true} {
				model := shape
				model.told = told
				if part > 0 {
					model.refusing = model.servers / part
				}
				b.Run(fmt.Sprintf("%d-of-%d-at-%d-nodes/told=%v", model.refusing, model.servers, model.nodes, told), func(b *testing.B) {
					for b.Loop() {
						one := model
						one.run()
						b.ReportMetric(float64(one.refusals)/float64(one.calls)*100, "refusals/100calls")
						b.ReportMetric(float64(one.unserved)/float64(one.calls)*100, "unserved/100calls")
					}
				})
			}
		}
	}
}

// Prints what a choice costs where none, some, and half of the servers of a pool are in a
// backoff.
func BenchmarkPickBesideBackoffs(b *testing.B) {
	for _, part := range []int{0, 26, 130} {
		b.Run(fmt.Sprintf("%d-of-260", part), func(b *testing.B) {
			model := backoffModel{nodes: 1, servers: 260}
			model.start()
			for number := range part {
				backoff(model.notices[0], fmt.Sprintf("s%d", number), time.Hour)
			}
			for b.Loop() {
				if _, verdict := model.boards[0].Pick(pool, dispatch.Wish{}); verdict != dispatch.Chosen {
					b.Fatal(verdict)
				}
			}
		})
	}
}
