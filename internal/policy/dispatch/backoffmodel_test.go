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

// backoffModel simulates nodes that call the servers of one pool. Some servers refuse everything for some time
// and ask for backoffs.
type backoffModel struct {
	nodes, servers, refusing int
	// callRate is the number of calls per second from all nodes together.
	callRate float64
	// sharesBackoffs makes nodes tell each other of backoffs.
	sharesBackoffs bool

	at        time.Duration
	random    *rand.Rand
	boards    []*dispatch.Board
	notices   []*notice.Notices
	pending   []func()
	pendingAt []time.Duration

	refusals, unserved, calls int
}

const (
	modelBackoffTime = 3 * time.Second
	modelDuration    = 9 * time.Second
	// modelPropagationDelay is the time until a message from one node has reached all others.
	modelPropagationDelay = 200 * time.Millisecond
	modelCallTime         = 400 * time.Millisecond
	modelMaxAttempts      = 2
)

func (model *backoffModel) start() {
	model.random, model.at = rand.New(rand.NewPCG(1, 1)), time.Hour
	now := func() time.Duration { return model.at }
	specs := []dispatch.Spec{}
	for number := range model.servers {
		specs = append(specs, head(fmt.Sprintf("s%d", number)))
	}
	for range model.nodes {
		notices := notice.New(ratelimit.New(ratelimit.Clock(now)), notice.Clock(now))
		board := dispatch.New(dispatch.Clock(now), dispatch.Random(model.random.IntN), dispatch.Notices(notices))
		board.Update(map[string][]dispatch.Spec{pool: specs})
		model.boards, model.notices = append(model.boards, board), append(model.notices, notices)
	}
}

func (model *backoffModel) after(duration time.Duration, do func()) {
	model.pending, model.pendingAt = append(model.pending, do), append(model.pendingAt, model.at+duration)
}

// advance moves the clock on and runs the functions that are due by then.
func (model *backoffModel) advance(duration time.Duration) {
	until := model.at + duration
	for len(model.pendingAt) > 0 {
		earliest := 0
		for number, at := range model.pendingAt {
			if at < model.pendingAt[earliest] {
				earliest = number
			}
		}
		if model.pendingAt[earliest] > until {
			break
		}
		model.at = model.pendingAt[earliest]
		do := model.pending[earliest]
		last := len(model.pending) - 1
		model.pending[earliest], model.pendingAt[earliest] = model.pending[last], model.pendingAt[last]
		model.pending, model.pendingAt = model.pending[:last], model.pendingAt[:last]
		do()
	}
	model.at = until
}

func (model *backoffModel) run() {
	model.start()
	for end := model.at + modelDuration; model.at < end; {
		model.advance(time.Duration(model.random.ExpFloat64() / model.callRate * float64(time.Second)))
		model.call(model.random.IntN(model.nodes))
	}
}

func (model *backoffModel) call(node int) {
	model.calls++
	criteria := dispatch.Criteria{}
	for range modelMaxAttempts {
		target, verdict := model.boards[node].Pick(pool, criteria)
		if verdict != dispatch.Chosen {
			break
		}
		if target.Record().Admit() != nil {
			criteria.Exclude = append(criteria.Exclude, target.ID)
			continue
		}
		if !model.refuses(target.ID) {
			call, sentAt := target.Begin(100, 0, func() {}, ignoreSuspicion), model.at
			model.after(modelCallTime, func() {
				call.End()
				model.notices[node].HandleResponse(target.Record(), notice.Response{Accepted: true, SentAt: sentAt})
			})
			return
		}
		model.refusals++
		criteria.Exclude = append(criteria.Exclude, target.ID)
		model.recordRefusal(node, target)
	}
	model.unserved++
}

func (model *backoffModel) refuses(server string) bool {
	number := 0
	_, _ = fmt.Sscanf(server, "s%d", &number)
	return number < model.refusing
}

func (model *backoffModel) recordRefusal(node int, target *dispatch.Target) {
	changes := model.notices[node].HandleResponse(target.Record(), notice.Response{Backoff: notice.Backoff{Span: modelBackoffTime}})
	report, known := model.notices[node].Announcement(target.ServerRun())
	if !model.sharesBackoffs || !changes.Announce || !known {
		return
	}
	model.after(modelPropagationDelay, func() {
		for other, notices := range model.notices {
			if other != node {
				notices.Merge(report)
			}
		}
	})
}

// Compares nodes that each learn of a backoff from a refused call with nodes that tell each other.
func BenchmarkWaysToLearnOfABackoff(b *testing.B) {
	for _, shape := range []backoffModel{
		{nodes: 7, servers: 30, callRate: 110}, {nodes: 74, servers: 80, callRate: 450}, {nodes: 300, servers: 260, callRate: 890},
	} {
		for _, part := range []int{0, 10, 2} {
			for _, sharesBackoffs := range []bool{false, true} {
				model := shape
				model.sharesBackoffs = sharesBackoffs
				if part > 0 {
					model.refusing = model.servers / part
				}
				b.Run(fmt.Sprintf("%d-of-%d-at-%d-nodes/told=%v", model.refusing, model.servers, model.nodes, sharesBackoffs), func(b *testing.B) {
					for b.Loop() {
						run := model
						run.run()
						b.ReportMetric(float64(run.refusals)/float64(run.calls)*100, "refusals/100calls")
						b.ReportMetric(float64(run.unserved)/float64(run.calls)*100, "unserved/100calls")
					}
				})
			}
		}
	}
}

// Measures Pick when none, some, or half of a pool's servers are in a backoff.
func BenchmarkPickBesideBackoffs(b *testing.B) {
	for _, part := range []int{0, 26, 130} {
		b.Run(fmt.Sprintf("%d-of-260", part), func(b *testing.B) {
			model := backoffModel{nodes: 1, servers: 260}
			model.start()
			for number := range part {
				recordBackoff(model.notices[0], fmt.Sprintf("s%d", number), time.Hour)
			}
			for b.Loop() {
				if _, verdict := model.boards[0].Pick(pool, dispatch.Criteria{}); verdict != dispatch.Chosen {
					b.Fatal(verdict)
				}
			}
		})
	}
}
