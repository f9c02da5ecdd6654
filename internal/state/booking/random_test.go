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

// request is one request of a caller and its result.
type request struct {
	key        string
	result     booking.Result
	reached    bool
	start, end time.Duration
	caller     int
}

// Callers send requests with the same keys to all nodes concurrently and retry, while nodes are killed and replaced and
// the log is unavailable, slow, stale or loses its replies. No call may run twice. The call of a request that got
// NotRun must not have run, and a request that got Run must get the result of the only run. Porcupine checks that the
// history is linearizable with one register per key.
func TestRandomRunsBookOnce(t *testing.T) {
	totals := map[outcome.Outcome]int{}
	for round := range suite.Rounds(20) {
		seed := suite.Seed()*1_000_000 + uint64(round)
		synctest.Test(t, func(t *testing.T) {
			for _, request := range randomRun(t, seed) {
				totals[request.result.Outcome]++
			}
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("outcomes: %v", totals)
	if totals[outcome.Run] == 0 || totals[outcome.NotRun] == 0 || totals[outcome.Unknown] == 0 {
		t.Fatalf("not every outcome occurred in the random runs: %v", totals)
	}
}

const (
	randomNodes       = 3
	randomCallers     = 12
	randomKeys        = 20
	requestsPerCaller = 6
	faultChanges      = 25
)

func randomRun(t *testing.T, seed uint64) []request {
	random := rand.New(rand.NewPCG(seed, 1))
	cluster := newCluster(randomNodes)
	time.Sleep(time.Second)
	epoch := time.Now()
	history := &history{}
	work := conc.NewWaitGroup()
	for caller := range randomCallers {
		callerRandom := rand.New(rand.NewPCG(seed, uint64(caller)+2))
		work.Go(func() { cluster.callRandomly(caller, callerRandom, epoch, history) })
	}
	for range faultChanges {
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		cluster.log.SetFaults(randomFaults(random))
		if random.IntN(4) == 0 {
			cluster.replace(random.IntN(randomNodes))
		}
	}
	cluster.log.SetFaults(platform.LogFaults{})
	work.Wait()
	time.Sleep(time.Minute)
	cluster.check(t, history.requests)
	cluster.stop()
	return history.requests
}

// replace kills a node and starts a new incarnation in its place.
func (cluster *cluster) replace(index int) {
	replacement := cluster.start()
	cluster.mu.Lock()
	previous := cluster.nodes[index]
	cluster.nodes[index] = replacement
	cluster.mu.Unlock()
	cluster.makeUnreachable(previous)
	previous.stop()
}

func (cluster *cluster) pick(index int) *node {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.nodes[index]
}

type history struct {
	mu       sync.Mutex
	requests []request
}

func (cluster *cluster) callRandomly(caller int, random *rand.Rand, epoch time.Time, history *history) {
	for range requestsPerCaller {
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		sent := request{key: fmt.Sprint("key-", random.IntN(randomKeys)), caller: caller, start: time.Since(epoch)}
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.IntN(20))*time.Second)
		sent.result = cluster.pick(random.IntN(randomNodes)).Run(ctx, cluster.call(sent.key, &sent.reached))
		cancel()
		sent.end = time.Since(epoch)
		history.mu.Lock()
		history.requests = append(history.requests, sent)
		history.mu.Unlock()
	}
}

func (cluster *cluster) check(t *testing.T, requests []request) {
	t.Helper()
	if duplicates := cluster.counter.Duplicates(); duplicates != 0 {
		t.Errorf("%d calls ran twice", duplicates)
	}
	reported := map[string]bool{}
	for _, request := range requests {
		switch request.result.Outcome {
		case outcome.NotRun:
			if request.reached {
				t.Errorf("%s: a request got NotRun although its call ran", request.key)
			}
		case outcome.Run:
			if cluster.counter.Executions(request.key) != 1 {
				t.Errorf("%s: a request got Run although its call ran %d times", request.key, cluster.counter.Executions(request.key))
			}
			reported[request.key] = true
		case outcome.Unknown:
			reported[request.key] = true
		default:
			t.Errorf("%s: no outcome", request.key)
		}
	}
	for index := range randomKeys {
		key := fmt.Sprint("key-", index)
		if cluster.counter.Executions(key) > 0 && !reported[key] {
			t.Errorf("%s: the call ran although every request got NotRun", key)
		}
	}
	if !porcupine.CheckOperations(registerModel(), operations(requests)) {
		t.Error("the history is not linearizable with one register per key")
	}
}

func operations(requests []request) []porcupine.Operation {
	found := []porcupine.Operation{}
	for _, request := range requests {
		found = append(found, porcupine.Operation{
			ClientId: request.caller, Input: request.key, Output: request.result,
			Call: request.start.Nanoseconds(), Return: request.end.Nanoseconds(),
		})
	}
	return found
}

// States of the register of a key. Any other value is the response body of the only run.
const (
	neverRan             = ""
	ranWithUnknownResult = "?"
)

// registerModel returns the specification of the register of a key. NotRun changes nothing, a call that got Unknown may
// or may not have run, and all requests that got Run have the same response body.
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
			result, current := output.(booking.Result), state.(string)
			switch {
			case result.Outcome == outcome.NotRun:
				return []any{current}
			case result.Outcome == outcome.Unknown && current == neverRan:
				return []any{neverRan, ranWithUnknownResult}
			case result.Outcome == outcome.Unknown:
				return []any{current}
			case current == neverRan || current == ranWithUnknownResult || current == string(result.Body):
				return []any{string(result.Body)}
			}
			return nil
		},
	}
	return model.ToModel()
}
