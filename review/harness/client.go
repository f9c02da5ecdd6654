package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// attempts numbers the client attempts.
var attempts atomic.Int64

// answer is what a client got.
type answer struct {
	id           string
	status       int
	signature    string
	bytes        int64
	sentAt, head time.Duration
	end          time.Duration
	err          error
}

// client sends requests to one node over kept connections.
type client struct {
	deployment *deployment
	node       int
	http       *http.Client
	// patience is how long the client stays, 0 for until its deadline.
	patience time.Duration
}

func (deployment *deployment) newClient(node int) *client {
	return &client{deployment: deployment, node: node, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}}
}

// send sends a request with a new ID and waits for its answer until its deadline, as clients do.
func (client *client) send(method, target, body string, wait time.Duration) answer {
	record := client.deployment.record
	result := answer{id: fmt.Sprintf("a%06d", attempts.Add(1)), sentAt: record.now()}
	ctx, cancel := context.WithTimeout(context.Background(), min(wait, cmp.Or(client.patience, wait)))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+client.deployment.nodeAddress(client.node, callerPort)+target, bytes.NewReader([]byte(body))) //nolint:gosec // loopback
	if err != nil {
		result.err = err
		return result
	}
	request.Host = host
	request.Header.Set("X-Hazelslip-Attempt-Id", result.id)
	request.Header.Set("X-Hazelslip-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	request.Header.Set("Api-Key", apiKey)
	response, err := client.http.Do(request) //nolint:gosec // loopback
	if err == nil {
		result.status, result.head, result.signature = response.StatusCode, record.now(), response.Header.Get("X-Hazelslip-Upstream-Signature")
		result.bytes, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	result.end, result.err = record.now(), err
	record.note("client at node %d: %s %s (id %s, sent at %.3f s): status %d, signature %q, %d bytes, error %v", client.node, method, target, result.id, result.sentAt.Seconds(), result.status, result.signature, result.bytes, err)
	return result
}

// pollWait is how long a client that polls waits for an answer.
const pollWait = 600 * time.Millisecond

// poll sends a request to a node again and again until the given time.
func poll(deployment *deployment, waiters *sync.WaitGroup, node int, target string, pause, until time.Duration) {
	waiters.Add(1)
	go func() {
		defer waiters.Done()
		client := deployment.newClient(node)
		for deployment.record.now() < until {
			client.send(http.MethodGet, target, "", pollWait)
			time.Sleep(pause)
		}
	}()
}
