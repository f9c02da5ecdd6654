package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"hazelslip/platform/standin"
)

const (
	// callersPerNode is the number of callers per node. Each keeps its connections open and reuses them.
	callersPerNode = 2
	// callInterval is the mean time between two requests of one caller.
	callInterval = 120 * time.Millisecond
	// maxBodyLength bounds the random length of a request body. The length tells the responses to bookings apart.
	maxBodyLength = 4000
	// draftEvents is the number of events in a draft.
	draftEvents = 20
)

// callerPool sends requests and keeps their results.
type callerPool struct {
	address func(node int) string
	nodes   int
	// perNode is the number of callers per node, draftEvents the number of events in each of their drafts.
	perNode, draftEvents int

	mu       sync.Mutex
	results  []standin.Result
	running  conc.WaitGroup
	stopping chan struct{}
}

func (callerPool *callerPool) start(seed uint64) {
	for number := range callerPool.perNode * callerPool.nodes {
		random := rand.New(rand.NewPCG(seed, uint64(number)+1))
		callerPool.running.Go(func() { callerPool.run(number, random) })
	}
}

// run runs one caller. The caller stays with a node for a while and reuses its connection
// until the node closes it.
func (callerPool *callerPool) run(caller int, random *rand.Rand) {
	client := standin.NewCaller()
	defer client.CloseIdleConnections()
	node := caller % callerPool.nodes
	for number := 0; ; number++ {
		select {
		case <-callerPool.stopping:
			return
		case <-time.After(time.Duration(random.ExpFloat64() * float64(callInterval))):
		}
		if random.IntN(20) == 0 {
			node = random.IntN(callerPool.nodes)
		}
		kind := []standin.Kind{standin.Draft, standin.Draft, standin.Book, standin.Ping}[random.IntN(4)]
		request := standin.Request{ID: fmt.Sprintf("%s-%d-%d", kind, caller, number), Kind: kind, Body: strings.Repeat("x", 1+random.IntN(maxBodyLength)), Events: callerPool.draftEvents}
		callerPool.send(client, node, request)
	}
}

func (callerPool *callerPool) send(client *http.Client, node int, request standin.Request) standin.Result {
	result := standin.Send(context.Background(), client, callerPool.address(node), request)
	result.Node = node
	callerPool.mu.Lock()
	defer callerPool.mu.Unlock()
	callerPool.results = append(callerPool.results, result)
	return result
}

// sendHarmful sends requests that crash servers to the nodes in turn.
func (callerPool *callerPool) sendHarmful(ctx context.Context, duration time.Duration) {
	client := standin.NewCaller()
	defer client.CloseIdleConnections()
	for number, start := 0, time.Now(); time.Since(start) < duration && ctx.Err() == nil; number++ {
		callerPool.send(client, number%callerPool.nodes, standin.Request{ID: fmt.Sprintf("harm-%d", number), Kind: standin.Draft, Body: standin.CrashServerBody, Events: draftEvents})
		time.Sleep(100 * time.Millisecond)
	}
}

// stop ends the load and returns the results of all requests.
func (callerPool *callerPool) stop() []standin.Result {
	close(callerPool.stopping)
	callerPool.running.Wait()
	return callerPool.results
}

// waitUntilServing reports whether a node completes a draft, a booking and a ping before the timeout. The
// phase is part of the request IDs.
func (callerPool *callerPool) waitUntilServing(phase string, node int, timeout time.Duration) bool {
	client := standin.NewCaller()
	defer client.CloseIdleConnections()
	pending := map[standin.Kind]bool{standin.Draft: true, standin.Book: true, standin.Ping: true}
	for number, start := 0, time.Now(); len(pending) > 0 && time.Since(start) < timeout; number++ {
		for kind := range pending {
			request := standin.Request{ID: fmt.Sprintf("%s-%s-%d-%d", phase, kind, node, number), Kind: kind, Body: phase, Events: draftEvents}
			if callerPool.send(client, node, request).Complete {
				delete(pending, kind)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return len(pending) == 0
}
