package booking_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/common/outcome"
	"hazelslip/internal/standin/platform"
	"hazelslip/internal/state/booking"
	"hazelslip/internal/testlib/suite"
)

// request is one caller's request and what became of it.
type request struct {
	key        string
	answer     booking.Answer
	reached    bool
	began, end time.Duration
	caller     int
}

// Callers send the same keys everywhere at once and retry, while nodes are
// killed and replaced, and the log is dark, slow, stale or loses its replies.
// No call may run twice; who was told NotRun must not have run; who was told
// Run must get the answer of the one run; and the whole history must be that
// of one register a key (checked by porcupine).
func TestRandomRunsBookOnce(t *testing.T) {
	totals := map[outcome.Outcome]int{}
	for round := range suite.Rounds(20) {
		seed := suite.Seed()*1_000_000 + uint64(round)
		synctest.Test(t, func(t *testing.T) {
			for _, request := range randomRun(t, seed) {
				totals[request.answer.Outcome]++
			}
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("answers: %v", totals)
	if totals[outcome.Run] == 0 || totals[outcome.NotRun] == 0 || totals[outcome.Unknown] == 0 {
		t.Fatalf("the runs did not reach every outcome: %v", totals)
	}
}

const (
	randomNodes   = 3
	randomCallers = 12
	randomKeys    = 20
	randomTries   = 6
	faultChanges  = 25
)

func randomRun(t *testing.T, seed uint64) []request {
	random := rand.New(rand.NewPCG(seed, 1))
	ledger := newLedger(randomNodes)
	time.Sleep(time.Second)
	began := time.Now()
	history := &history{}
	work := conc.NewWaitGroup()
	for caller := range randomCallers {
		own := rand.New(rand.NewPCG(seed, uint64(caller)+2))
		work.Go(func() { ledger.callRandomly(caller, own, began, history) })
	}
	for range faultChanges {
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		ledger.log.SetFaults(randomFaults(random))
		if random.IntN(4) == 0 {
			ledger.replace(random.IntN(randomNodes))
		}
	}
	ledger.log.SetFaults(platform.LogFaults{})
	work.Wait()
	time.Sleep(time.Minute)
	ledger.check(t, history.requests)
	ledger.stop()
	return history.requests
}

// replace kills a node and starts another incarnation in its place.
func (ledger *ledger) replace(index int) {
	fresh := ledger.start()
	ledger.mu.Lock()
	old := ledger.nodes[index]
	ledger.nodes[index] = fresh
	ledger.mu.Unlock()
	ledger.forget(old)
	old.stop()
}

func (ledger *ledger) pick(index int) *node {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return ledger.nodes[index]
}

type history struct {
	mu       sync.Mutex
	requests []request
}

func (ledger *ledger) callRandomly(caller int, random *rand.Rand, began time.Time, history *history) {
	for range randomTries {
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		asked := request{key: fmt.Sprint("key-", random.IntN(randomKeys)), caller: caller, began: time.Since(began)}
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.IntN(20))*time.Second)
		asked.answer = ledger.pick(random.IntN(randomNodes)).Run(ctx, ledger.call(asked.key, &asked.reached))
		cancel()
		asked.end = time.Since(began)
		history.mu.Lock()
		history.requests = append(history.requests, asked)
		history.mu.Unlock()
	}
}

func (ledger *ledger) check(t *testing.T, requests []request) {
	t.Helper()
	if doubled := ledger.book.Duplicates(); doubled != 0 {
		t.Errorf("%d calls ran twice", doubled)
	}
	accounted := map[string]bool{}
	for _, request := range requests {
		switch request.answer.Outcome {
		case outcome.NotRun:
			if request.reached {
				t.Errorf("%s: NotRun was said of a call that ran", request.key)
			}
		case outcome.Run:
			if ledger.book.Executions(request.key) != 1 {
				t.Errorf("%s: Run was said of a call that ran %d times", request.key, ledger.book.Executions(request.key))
			}
			accounted[request.key] = true
		case outcome.Unknown:
			accounted[request.key] = true
		default:
			t.Errorf("%s: no outcome", request.key)
		}
	}
	for index := range randomKeys {
		key := fmt.Sprint("key-", index)
		if ledger.book.Executions(key) > 0 && !accounted[key] {
			t.Errorf("%s ran, and every caller was told NotRun", key)
		}
	}
	if !porcupine.CheckOperations(registerModel(), operations(requests)) {
		t.Error("the history is not that of one register a key")
	}
}

func operations(requests []request) []porcupine.Operation {
	found := []porcupine.Operation{}
	for _, request := range requests {
		found = append(found, porcupine.Operation{
			ClientId: request.caller, Input: request.key, Output: request.answer,
			Call: request.began.Nanoseconds(), Return: request.end.Nanoseconds(),
		})
	}
	return found
}

// The states of a key's register: never ran, ran with an answer that nobody
// has seen, or ran with the answer that stands there.
const (
	neverRan  = ""
	ranUnseen = "?"
)

// registerModel says what one key may answer. A NotRun changes nothing, an
// Unknown may or may not have run, and once it ran each Run has one answer.
func registerModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[string][]porcupine.Operation{}
			for _, operation := range history {
				byKey[operation.Input.(string)] = append(byKey[operation.Input.(string)], operation)
			}
			parts := [][]porcupine.Operation{}
			for _, part := range byKey {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() []any { return []any{neverRan} },
		Step: func(state, _, output any) []any {
			answer, held := output.(booking.Answer), state.(string)
			switch {
			case answer.Outcome == outcome.NotRun:
				return []any{held}
			case answer.Outcome == outcome.Unknown && held == neverRan:
				return []any{neverRan, ranUnseen}
			case answer.Outcome == outcome.Unknown:
				return []any{held}
			case held == neverRan || held == ranUnseen || held == string(answer.Body):
				return []any{string(answer.Body)}
			}
			return nil
		},
	}
	return model.ToModel()
}
