package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// routeTimeout is timeout_ms of the route, callerDeadline how long its clients wait.
	routeTimeout   = 2 * time.Second
	callerDeadline = 8 * time.Second
	// answerSlack is how long after its route's timeout a request may have no final answer.
	answerSlack = 500 * time.Millisecond
	// minUnanswered is how many requests without a final answer break the rule, if they are over a quarter.
	minUnanswered = 8
	// burstBytes are sent at once by a runner in trouble, then endlessBytesPerSecond.
	burstBytes            = 12 << 20
	endlessBytesPerSecond = 2 << 20
)

// sendEndless answers with bytes that don't end until the caller closes.
func sendEndless(runner *runner, writer http.ResponseWriter, request *http.Request) {
	runner.begin(request)
	runner.sign(writer)
	block := bytes.Repeat([]byte("x"), 64<<10)
	for sent := 0; ; sent += len(block) {
		if _, err := writer.Write(block); err != nil {
			runner.deployment.record.note("runner %s: the caller of %s closed after %d bytes", runner.id, request.Header.Get("X-Hazelslip-Attempt-Id"), sent)
			panic(http.ErrAbortHandler)
		}
		if sent >= burstBytes && !sleep(request.Context(), time.Second*time.Duration(len(block))/endlessBytesPerSecond) {
			runner.deployment.record.note("runner %s: the caller of %s closed after %d bytes", runner.id, request.Header.Get("X-Hazelslip-Attempt-Id"), sent)
			panic(http.ErrAbortHandler)
		}
	}
}

func init() {
	inTrouble := atomic.Bool{}
	scenarios["endless-body"] = scenario{
		deployment: deploymentShape{
			nodes: 2, runners: 3, slots: 6, routes: []route{{prefix: "/summary/", kind: "non_idempotent", timeoutMS: int(routeTimeout.Milliseconds()), targetMS: 300, attempts: 1}},
			serve: func(runner *runner, writer http.ResponseWriter, request *http.Request) {
				if _, err := io.Copy(io.Discard, request.Body); err != nil {
					panic(http.ErrAbortHandler)
				}
				if inTrouble.Load() {
					sendEndless(runner, writer, request)
					return
				}
				runner.answer(writer, request)
			},
		},
		run: func(deployment *deployment) (string, error) {
			if deployment.trouble {
				inTrouble.Store(true)
			}
			waiters, mu := sync.WaitGroup{}, sync.Mutex{}
			answers := []answer{}
			for number := range 12 {
				waiters.Add(1)
				go func() {
					defer waiters.Done()
					got := deployment.newClient(number%deployment.shape.nodes).send(http.MethodPost, fmt.Sprintf("/summary/%d", number), "{}", callerDeadline)
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, got)
				}()
				time.Sleep(200 * time.Millisecond)
			}
			waiters.Wait()
			lasting, unanswered := 0, 0
			for _, got := range answers {
				if got.end-got.sentAt > routeTimeout {
					lasting++
				}
				if got.end-got.sentAt > routeTimeout+answerSlack {
					unanswered++
				}
			}
			deployment.record.note("%d requests lasted longer than their route's timeout of %v; %d had no final answer %v after it", lasting, routeTimeout, unanswered, answerSlack)
			if unanswered < minUnanswered || 4*unanswered <= lasting {
				return "", nil
			}
			return fmt.Sprintf("CONFIG: %d of %d requests that lasted longer than their route's timeout_ms had no final answer 0.5 s after it", unanswered, lasting), nil
		},
	}
}
