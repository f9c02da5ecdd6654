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
	// callersPerNode keep connections open to nodes and use them in turn.
	callersPerNode = 2
	// callEvery is the mean time between two requests of one caller.
	callEvery = 120 * time.Millisecond
	// bodyMost bounds the length of a booking's body, by which answers are told apart.
	bodyMost = 4000
	// draftEvents is how long drafts are.
	draftEvents = 20
)

// callers send requests and keep what they got.
type callers struct {
	address func(node int) string
	nodes   int

	mu       sync.Mutex
	answers  []standin.Result
	waiting  conc.WaitGroup
	stopping chan struct{}
}

func (callers *callers) start(seed uint64) {
	for number := range callersPerNode * callers.nodes {
		draw := rand.New(rand.NewPCG(seed, uint64(number)+1))
		callers.waiting.Go(func() { callers.run(number, draw) })
	}
}

// run is one caller: it keeps to a node for a while and goes on using its connection
// until the node closes it.
func (callers *callers) run(number int, draw *rand.Rand) {
	client := standin.NewCaller()
	defer client.CloseIdleConnections()
	node := number % callers.nodes
	for turn := 0; ; turn++ {
		select {
		case <-callers.stopping:
			return
		case <-time.After(time.Duration(draw.ExpFloat64() * float64(callEvery))):
		}
		if draw.IntN(20) == 0 {
			node = draw.IntN(callers.nodes)
		}
		kind := []standin.Kind{standin.Draft, standin.Draft, standin.Book, standin.Ping}[draw.IntN(4)]
		asked := standin.Request{ID: fmt.Sprintf("%s-%d-%d", kind, number, turn), Kind: kind, Body: strings.Repeat("x", 1+draw.IntN(bodyMost)), Events: draftEvents}
		callers.ask(client, node, asked)
	}
}

func (callers *callers) ask(client *http.Client, node int, asked standin.Request) standin.Result {
	answered := standin.Send(context.Background(), client, callers.address(node), asked)
	answered.Node = node
	callers.mu.Lock()
	defer callers.mu.Unlock()
	callers.answers = append(callers.answers, answered)
	return answered
}

// insist sends a request that ends servers to one node after the other.
func (callers *callers) insist(ctx context.Context, span time.Duration) {
	client := standin.NewCaller()
	defer client.CloseIdleConnections()
	for turn, began := 0, time.Now(); time.Since(began) < span && ctx.Err() == nil; turn++ {
		callers.ask(client, turn%callers.nodes, standin.Request{ID: fmt.Sprintf("harm-%d", turn), Kind: standin.Draft, Body: standin.CrashServerBody, Events: draftEvents})
		time.Sleep(100 * time.Millisecond)
	}
}

// stop ends the load and returns what was answered.
func (callers *callers) stop() []standin.Result {
	close(callers.stopping)
	callers.waiting.Wait()
	return callers.answers
}

// served says whether a node answers a draft, a booking and a ping whole within a time. The
// moment is part of the requests' IDs.
func (callers *callers) served(moment string, node int, within time.Duration) bool {
	client := standin.NewCaller()
	defer client.CloseIdleConnections()
	left := map[standin.Kind]bool{standin.Draft: true, standin.Book: true, standin.Ping: true}
	for turn, began := 0, time.Now(); len(left) > 0 && time.Since(began) < within; turn++ {
		for kind := range left {
			asked := standin.Request{ID: fmt.Sprintf("%s-%s-%d-%d", moment, kind, node, turn), Kind: kind, Body: moment, Events: draftEvents}
			if callers.ask(client, node, asked).Complete {
				delete(left, kind)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return len(left) == 0
}
