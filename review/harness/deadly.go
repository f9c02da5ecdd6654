package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crashDelay is how long a runner runs a request that crashes it.
	crashDelay = 20 * time.Millisecond
	// stableTime is stable_ms of the settings.
	stableTime = 3 * time.Second
	// crashesBeforeRefusal is how many runners a request may crash, and maxLateRetries how many of its retries may reach
	// runners later than stableTime after that.
	crashesBeforeRefusal = 3
	maxLateRetries       = 3
	// deadlyPath is the path of the request that crashes each runner that begins to run it.
	deadlyPath = "/status/deadly"
)

// deadlyRequest is a request that crashes each runner that begins to run it, from a moment on.
type deadlyRequest struct {
	// delay is how long a runner runs the request until it crashes. keepsRunning is set for runners that don't drop a
	// request when its connection closes.
	delay        time.Duration
	keepsRunning bool

	mu               sync.Mutex
	begun            bool
	arrived, crashes []time.Duration
}

// matches reports whether a request crashes its runner.
func (deadly *deadlyRequest) matches(request *http.Request) bool {
	deadly.mu.Lock()
	defer deadly.mu.Unlock()
	return deadly.begun && strings.HasPrefix(request.URL.Path, deadlyPath)
}

// begin makes the request crash its runners from now on, unless the case runs without the disruption.
func (deadly *deadlyRequest) begin(deployment *deployment) {
	if !deployment.trouble {
		return
	}
	deployment.record.note("from now on %s crashes each runner that begins to run it", deadlyPath)
	deadly.mu.Lock()
	defer deadly.mu.Unlock()
	deadly.begun = true
}

// serve runs sound requests, and crashes under the deadly one.
func (deadly *deadlyRequest) serve(runner *runner, writer http.ResponseWriter, request *http.Request) {
	if !deadly.matches(request) {
		runner.answer(writer, request)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	runner.begin(request)
	record := runner.deployment.record
	deadly.mu.Lock()
	deadly.arrived = append(deadly.arrived, record.now())
	deadly.mu.Unlock()
	if deadly.keepsRunning {
		time.Sleep(deadly.delay)
	} else if !sleep(request.Context(), deadly.delay) {
		panic(http.ErrAbortHandler)
	}
	if runner.crash("it runs " + request.Header.Get("X-Hazelslip-Attempt-Id")) {
		deadly.mu.Lock()
		deadly.crashes = append(deadly.crashes, record.now())
		deadly.mu.Unlock()
	}
	// A process that has ended answers nothing.
	panic(http.ErrAbortHandler)
}

// verdict returns how the rule was broken: too many retries reached runners later than stableTime after the third crash.
func (deadly *deadlyRequest) verdict(record *recorder) string {
	deadly.mu.Lock()
	defer deadly.mu.Unlock()
	record.note("%d arrivals of the deadly request, %d crashes", len(deadly.arrived), len(deadly.crashes))
	if len(deadly.crashes) < crashesBeforeRefusal {
		return ""
	}
	third, late := deadly.crashes[crashesBeforeRefusal-1], 0
	for _, at := range deadly.arrived {
		if at > third+stableTime {
			late++
		}
	}
	record.note("third crash at %.3f s; %d arrivals later than %v after it", third.Seconds(), late, stableTime)
	if late <= maxLateRetries {
		return ""
	}
	return fmt.Sprintf("BUDGET: %d retries of a request that crashes its runners reached runners later than 3 s after the third crash", late)
}

// statusRoute is the route of the deadly request and of sound ones.
var statusRoute = route{prefix: "/status/", kind: "idempotent", timeoutMS: 600, targetMS: 100, attempts: 2}

// pollSound sends sound requests of the same route to all nodes.
func pollSound(deployment *deployment, waiters *sync.WaitGroup, until time.Duration) {
	for node := range deployment.shape.nodes {
		for number := range 4 {
			poll(deployment, waiters, node, fmt.Sprintf("/status/%d", number), 200*time.Millisecond, until)
		}
	}
}

func init() {
	small := &deadlyRequest{delay: crashDelay}
	scenarios["small-service"] = scenario{
		deployment: deploymentShape{nodes: 3, runners: 3, slots: 6, serve: small.serve, routes: []route{statusRoute}},
		run:        small.runSmallService,
	}
	answered := &deadlyRequest{delay: crashDelay}
	scenarios["answered-before"] = scenario{
		deployment: deploymentShape{nodes: 3, runners: 6, slots: 6, serve: answered.serve, routes: []route{statusRoute}},
		run:        answered.runAnsweredBefore,
	}
	abandoned := &deadlyRequest{delay: 250 * time.Millisecond, keepsRunning: true}
	scenarios["client-leaves"] = scenario{
		deployment: deploymentShape{nodes: 3, runners: 6, slots: 6, serve: abandoned.serve, routes: []route{{prefix: "/status/", kind: "idempotent", timeoutMS: 3000, targetMS: 300, attempts: 2}}},
		run:        abandoned.runClientLeaves,
	}
}

// atOnce is how many clients send the deadly request at the same time.
const atOnce = 6

// runSmallService lets some clients send the deadly request at once, again and again, to one node before a service with
// three runners.
func (deadly *deadlyRequest) runSmallService(deployment *deployment) (string, error) {
	waiters := &sync.WaitGroup{}
	end := deployment.record.now() + 40*time.Second
	pollSound(deployment, waiters, end)
	time.Sleep(4 * time.Second)
	deadly.begin(deployment)
	for range atOnce {
		poll(deployment, waiters, 0, deadlyPath, 3*time.Second, end)
	}
	waiters.Wait()
	return deadly.verdict(deployment.record), nil
}

// runAnsweredBefore sends a request once a second to each node. It is answered at first, and then crashes its runners.
func (deadly *deadlyRequest) runAnsweredBefore(deployment *deployment) (string, error) {
	waiters := &sync.WaitGroup{}
	end := deployment.record.now() + 36*time.Second
	pollSound(deployment, waiters, end)
	for node := range deployment.shape.nodes {
		poll(deployment, waiters, node, deadlyPath, time.Second, end)
	}
	time.Sleep(6 * time.Second)
	deadly.begin(deployment)
	waiters.Wait()
	return deadly.verdict(deployment.record), nil
}

// runClientLeaves sends the deadly request from clients that leave before their deadline, and before the crash.
func (deadly *deadlyRequest) runClientLeaves(deployment *deployment) (string, error) {
	waiters := &sync.WaitGroup{}
	end := deployment.record.now() + 32*time.Second
	pollSound(deployment, waiters, end)
	time.Sleep(4 * time.Second)
	deadly.begin(deployment)
	for number := 0; deployment.record.now() < end; number++ {
		client := deployment.newClient(number % deployment.shape.nodes)
		client.patience = 150 * time.Millisecond
		client.send(http.MethodGet, deadlyPath, "", 3*time.Second)
		time.Sleep(700 * time.Millisecond)
	}
	waiters.Wait()
	return deadly.verdict(deployment.record), nil
}
