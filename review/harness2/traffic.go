package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/platform/standin"
)

// traffic sends requests to all nodes until it is stopped.
type traffic struct {
	fleet  *fleet
	record *record
	// kind returns the kind of a request by its number. pause is the pause between two requests of a caller.
	kind  func(number int64) standin.Kind
	pause time.Duration

	numbers atomic.Int64
	cancel  context.CancelFunc
	callers sync.WaitGroup

	mu      sync.Mutex
	results []standin.Result
}

const (
	// events is the number of events of a stream.
	events = 6
	// callerTimeout bounds a request that gets no answer.
	callerTimeout = 8 * time.Second
)

// start starts a number of callers at each node.
func (traffic *traffic) start(callersPerNode int) {
	ctx, cancel := context.WithCancel(context.Background())
	traffic.cancel = cancel
	for node := range nodeCount {
		for range callersPerNode {
			traffic.callers.Go(func() { traffic.call(ctx, node) })
		}
	}
}

// call sends requests to a node, one after the other.
func (traffic *traffic) call(ctx context.Context, node int) {
	client := standin.NewCaller()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		traffic.send(ctx, client, node)
		select {
		case <-ctx.Done():
		case <-time.After(traffic.pause):
		}
	}
}

func (traffic *traffic) send(ctx context.Context, client *http.Client, node int) {
	number := traffic.numbers.Add(1)
	sent := standin.Request{ID: fmt.Sprintf("r%d", number), Kind: traffic.kind(number), Events: events, Body: fmt.Sprintf("request %d", number)}
	limited, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	result := standin.Send(limited, client, traffic.fleet.address(node, callerPort), sent)
	if ctx.Err() != nil {
		return
	}
	result.Node = node
	traffic.record.write("%s %s sent to node-%d %d ms ago: status %d, whole %t, %s %s", sent.Kind, sent.ID, node+1, result.Duration.Milliseconds(),
		result.Status, result.Complete, result.Failure, result.Violation)
	traffic.mu.Lock()
	defer traffic.mu.Unlock()
	traffic.results = append(traffic.results, result)
}

// stop ends the callers and returns what they got.
func (traffic *traffic) stop() []standin.Result {
	traffic.cancel()
	traffic.callers.Wait()
	traffic.mu.Lock()
	defer traffic.mu.Unlock()
	return traffic.results
}

// servedShare returns the share of the requests sent from a time until another that were served, and their number.
func servedShare(results []standin.Result, from, until time.Time) (share float64, sent int) {
	served := 0
	for index := range results {
		result := &results[index]
		if result.At.Before(from) || !result.At.Before(until) {
			continue
		}
		sent++
		if result.Status == http.StatusOK && result.Complete {
			served++
		}
	}
	return float64(served) / float64(max(1, sent)), sent
}
