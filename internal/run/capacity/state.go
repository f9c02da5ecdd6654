package capacity

import (
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"hazelslip/internal/policy/route"
	"hazelslip/internal/state/booking"
	"hazelslip/internal/state/class"
	"hazelslip/internal/state/stream"
	"hazelslip/internal/wire/record"
)

// Growth is what one more record, key, class or group costs.
type Growth struct {
	Sizes []int
	// Bytes of memory, Nanoseconds and allocations at each size.
	Bytes       []float64
	Checkpoint  []float64
	Nanoseconds []float64
	Allocations []float64
}

// slope is the difference per thing between the largest and the smallest size.
func slope(sizes []int, values []float64) float64 {
	last := len(sizes) - 1
	return (values[last] - values[0]) / float64(sizes[last]-sizes[0])
}

// table is a fold that can be given one more thing.
type table struct {
	fold stream.Fold
	add  func(fold stream.Fold, index int) error
}

// grown measures tables of each size: their memory, the size of their
// checkpoint, and the time to fold one thing.
func grown(sizes []int, newTable func() table) (Growth, error) {
	growth := Growth{Sizes: sizes}
	for _, size := range sizes {
		before := memoryInUse()
		measured := newTable()
		began := time.Now()
		for index := range size {
			if err := measured.add(measured.fold, index); err != nil {
				return Growth{}, err
			}
		}
		spent := time.Since(began)
		growth.Bytes = append(growth.Bytes, float64(memoryInUse())-float64(before))
		body, err := measured.fold.Snapshot(0)
		if err != nil {
			return Growth{}, err
		}
		growth.Checkpoint = append(growth.Checkpoint, float64(len(body)))
		growth.Nanoseconds = append(growth.Nanoseconds, float64(spent.Nanoseconds())/float64(size))
		runtime.KeepAlive(measured)
	}
	return growth, nil
}

// KeyGrowth measures the table of booking keys.
func KeyGrowth(sizes []int) (Growth, error) {
	return grown(sizes, func() table { return table{fold: booking.NewTable(time.Hour).Fold(), add: foldKey} })
}

// ClassGrowth measures the table of classes.
func ClassGrowth(sizes []int) (Growth, error) {
	return grown(sizes, func() table { return table{fold: class.New().Fold(), add: foldClass} })
}

// foldBody folds one record.
func foldBody(fold stream.Fold, index int, message proto.Message) error {
	body, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	decoded, err := fold.Decode(body)
	if err != nil {
		return err
	}
	decoded.Apply(uint64(index))
	return nil
}

const answerBytes = 120

func foldKey(fold stream.Fold, index int) error {
	key := fmt.Sprintf("scheduling/visit-%09d", index)
	return foldBody(fold, index, &record.BookingRecord{Kind: &record.BookingRecord_Batch{Batch: &record.BookingBatch{
		Intents: []*record.Intent{{Key: key, Digest: make([]byte, 16), Incarnation: 7, Attempt: uint64(index), UnixMs: 1}},
		Outcomes: []*record.Outcome{{
			Key: key, Incarnation: 7, Attempt: uint64(index), Kind: record.OutcomeKind_OutcomeRun, Status: 200,
			ContentType: "application/json", Body: make([]byte, answerBytes),
		}},
	}}})
}

func foldClass(fold stream.Fold, index int) error {
	name := fmt.Sprintf("class-%06d", index)
	return foldBody(fold, index, &record.ConfigRecord{Kind: &record.ConfigRecord_Change{Change: &record.ConfigChange{
		ChangeID: name, Name: name, Operator: "capacity",
		Target: &record.ClassTarget{Name: name, Model: "drafting", FirstTokenMs: 1800, BetweenTokensMs: 34, InTargetShare: 0.95},
	}}})
}

// ChoiceGrowth measures one choice of a group among as many as the sizes say.
func ChoiceGrowth(sizes []int) Growth {
	growth := Growth{Sizes: sizes}
	for _, size := range sizes {
		router := routerOf(size)
		const warm, choices = 1000, 50_000
		choose(router, warm)
		before, after := runtime.MemStats{}, runtime.MemStats{}
		runtime.ReadMemStats(&before)
		began := time.Now()
		choose(router, choices)
		spent := time.Since(began)
		runtime.ReadMemStats(&after)
		growth.Nanoseconds = append(growth.Nanoseconds, float64(spent.Nanoseconds())/choices)
		growth.Allocations = append(growth.Allocations, float64(after.Mallocs-before.Mallocs)/choices)
	}
	return growth
}

func routerOf(groups int) *route.Router {
	targets := []route.Target{}
	for index := range groups {
		targets = append(targets, route.Target{
			Number: uint64(index + 1), Model: "drafting", Leader: "127.0.0.1:1", TokensPerSecond: 1345,
			PrefillPerSecond: 20_000, Concurrency: 64, ReadAt: time.Hour,
		})
	}
	router := route.New()
	router.Update(targets, 1)
	return router
}

func choose(router *route.Router, times int) {
	for index := range times {
		request := route.Request{Model: "drafting", PromptTokens: 300, AnswerTokens: 400, Prefix: uint64(index)}
		if choice, ok := router.Pick(request, time.Hour); ok {
			choice.Done(false, time.Hour)
		}
	}
}
