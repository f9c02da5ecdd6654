package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"hazelslip/platform/standin"
)

// Timing of the case. Times with the prefix silence and ask count from the SIGTERM.
const (
	stoppedNode = 0
	// callers is how many callers have a connection to the node that is stopped.
	callers = 16
	// silenceStart is when the first member of the group falls silent, silenceTime how long each member is silent, and
	// silenceStep the time from one member to the next.
	silenceStart = 2250 * time.Millisecond
	silenceTime  = 1400 * time.Millisecond
	silenceStep  = 1340 * time.Millisecond
	// askStart is when the callers send their requests.
	askStart = 2300 * time.Millisecond
	// graceTime is how long a process may run after the SIGTERM. A request is excused if its server works on it in the last
	// sixth of that time.
	graceTime = 8 * time.Second
	// routeTimeout bounds a stream, callerDeadline is what the callers wait.
	routeTimeout   = 8 * time.Second
	callerDeadline = 8 * time.Second
)

// streamResult is what a caller of a stream got.
type streamResult struct {
	id             string
	sentAt, endAt  time.Time
	status, events int
	whole          bool
	failure        string
}

// playRollingSilence plays LOST: a node gets SIGTERM, and the members of one group fall silent one after the other.
func playRollingSilence(trouble bool, record *record) (verdict, error) {
	fleet, err := newFleet(standin.Shape{Domains: 3, Servers: 10, Ledgers: 3, Seed: 1})
	if err != nil {
		return verdict{}, err
	}
	defer fleet.stop()
	fleet.platform.Store.Put("keyed.op", "config", onceOnlyStreams())
	if err := fleet.startAll(true); err != nil {
		return verdict{}, err
	}
	groups := func() map[string]int { return fleet.platform.Cluster.CompleteGroups() }
	if err := fleet.awaitReady(func() bool { return groups()[standin.LargeModel] >= 3 }); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	record.print("all nodes are ready; serving groups: %v", groups())
	members := largeGroup(fleet)
	if len(members) == 0 {
		return verdict{}, fmt.Errorf("no group of the model %s serves", standin.LargeModel)
	}
	clients := make([]*http.Client, callers)
	for number := range clients {
		clients[number] = &http.Client{Transport: &http.Transport{DisableCompression: true, IdleConnTimeout: time.Minute}}
	}
	calm := askAll(fleet, record, clients, "calm")
	for _, result := range calm {
		if !result.whole {
			return verdict{}, fmt.Errorf("request %s before the SIGTERM got status %d, %d events, %s", result.id, result.status, result.events, result.failure)
		}
	}
	time.Sleep(time.Second)
	stoppedAt := time.Now()
	_ = fleet.nodes[stoppedNode].command.Process.Signal(syscall.SIGTERM)
	record.print("node-%d gets SIGTERM", stoppedNode+1)
	if trouble {
		for number, id := range members {
			time.AfterFunc(time.Until(stoppedAt.Add(silenceStart+time.Duration(number)*silenceStep)), func() {
				record.write("%s of the group of %s falls silent for %s", id, members[0], silenceTime)
				fleet.platform.PauseServers(silenceTime, id)
			})
		}
	}
	time.Sleep(time.Until(stoppedAt.Add(askStart)))
	results := askAll(fleet, record, clients, "stop")
	<-fleet.nodes[stoppedNode].ended
	record.print("node-%d has ended %.3f s after the SIGTERM", stoppedNode+1, time.Since(stoppedAt).Seconds())
	return judgeLost(fleet, record, results, stoppedAt), nil
}

// onceOnlyStreams is the stand-in's configuration with streams that may not be resumed.
func onceOnlyStreams() []byte {
	body := map[string]any{}
	if err := json.Unmarshal(standin.Configuration(2), &body); err != nil {
		panic(err)
	}
	routes, _ := body["routes"].([]any)
	for _, entry := range routes {
		if route, ok := entry.(map[string]any); ok && route["route_type"] == "streaming" {
			route["stream_resume"], route["timeout_ms"] = false, routeTimeout.Milliseconds()
		}
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return encoded
}

// largeGroup returns the members of one group of the large model, the head first.
func largeGroup(fleet *fleet) []string {
	engines, _ := standin.ServerIDs(fleet.shape)
	for _, id := range engines {
		if members := fleet.platform.Cluster.Members(id); len(members) == 4 && fleet.platform.Cluster.Group(id) != "" && members[0] == id {
			return members
		}
	}
	return nil
}

// askAll sends one request of each caller to the node that is stopped, at the same time.
func askAll(fleet *fleet, record *record, clients []*http.Client, name string) []streamResult {
	results, waiters := make([]streamResult, len(clients)), sync.WaitGroup{}
	for number, client := range clients {
		waiters.Go(func() { results[number] = ask(fleet, client, fmt.Sprintf("%s-%d", name, number)) })
	}
	waiters.Wait()
	for index := range results {
		result := &results[index]
		record.write("stream %s sent %d ms ago, ended after %d ms: status %d, %d events, whole %t %s", result.id, time.Since(result.sentAt).Milliseconds(),
			result.endAt.Sub(result.sentAt).Milliseconds(), result.status, result.events, result.whole, result.failure)
	}
	return results
}

// ask sends a request for a stream of the large model.
func ask(fleet *fleet, client *http.Client, id string) streamResult {
	result := streamResult{id: id, sentAt: time.Now()}
	defer func() { result.endAt = time.Now() }()
	request, err := http.NewRequest(http.MethodPost, "http://"+fleet.address(stoppedNode, callerPort)+"/draft/1", strings.NewReader("request "+id)) //nolint:noctx // the client's time is the rule's
	if err != nil {
		result.failure = err.Error()
		return result
	}
	// The transport would send a POST again if its kept connection ends before a response.
	request.GetBody = nil
	request.Host = standin.Host
	for field, value := range map[string]string{
		"X-Hazelslip-Attempt-Id": id, "X-Hazelslip-Deadline-Ms": fmt.Sprint(callerDeadline.Milliseconds()), "Api-Key": standin.APIKey,
		"X-Hazelslip-Model-Id": standin.LargeModel, "X-Hazelslip-Token-Usage": fmt.Sprintf("900,%d", 5*events),
	} {
		request.Header.Set(field, value)
	}
	response, err := client.Do(request)
	if err != nil {
		result.failure, result.endAt = err.Error(), time.Now()
		return result
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	result.endAt, result.status, result.events = time.Now(), response.StatusCode, strings.Count(string(body), "\n\n")
	if err != nil {
		result.failure = err.Error()
	}
	result.whole = err == nil && result.status == http.StatusOK && result.events == events
	return result
}

// judgeLost counts the requests that the node passed on to a server and whose connection ended without an answer. A request
// that a server began is not counted, nor one that the caller's deadline or the route's timeout had reached.
func judgeLost(fleet *fleet, record *record, results []streamResult, stoppedAt time.Time) verdict {
	runs, passedOn := fleet.platform.Recorder.Runs(), map[string]string{}
	engines, _ := standin.ServerIDs(fleet.shape)
	for _, id := range engines {
		for _, arrival := range fleet.platform.Recorder.Arrivals(id) {
			record.write("%s was passed on to %s", arrival.RequestID, id)
			passedOn[arrival.RequestID] = id
		}
	}
	for _, run := range fleet.platform.Recorder.RunLog() {
		record.write("%s ran at %s", run.ID, run.Server)
	}
	lost, whole := 0, 0
	for index := range results {
		result := &results[index]
		took := result.endAt.Sub(result.sentAt)
		switch {
		case result.whole:
			whole++
		case result.status == 0 && passedOn[result.id] != "" && runs[result.id] == 0 && took < min(callerDeadline, routeTimeout) && result.endAt.Before(stoppedAt.Add(graceTime+time.Second)):
			lost++
			record.print("LOST: stream %s was sent %.3f s after the SIGTERM and passed on to %s, no server began it, and its connection ended %.3f s after the SIGTERM: %s",
				result.id, result.sentAt.Sub(stoppedAt).Seconds(), passedOn[result.id], result.endAt.Sub(stoppedAt).Seconds(), result.failure)
		}
	}
	return verdict{broken: lost > 0, reason: fmt.Sprintf("%d of %d requests ended without an answer around the SIGTERM, %d were answered whole", lost, len(results), whole)}
}
