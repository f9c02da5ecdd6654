package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// drainTime is drain_ms of the settings.
	drainTime = 2 * time.Second
	// lingerTime is how long a runner serves after its entry was removed.
	lingerTime = 10 * time.Second
	// upTime is how long a node runs until it is killed, restartDelay how much later it starts again.
	upTime       = 3 * time.Second
	restartDelay = 1500 * time.Millisecond
	// leaveDelay is how long after the restart of the node a runner leaves.
	leaveDelay = 5 * time.Millisecond
	// cycles is how often that happens.
	cycles = 16
)

// departures holds when the store acknowledged the removal of each runner's entry.
type departures struct {
	mu sync.Mutex
	at map[string]time.Duration
}

// replace replaces a runner: a new one starts, and the old one leaves without reporting that it drains. Its entry is
// removed, and it serves for a while.
func (departures *departures) replace(deployment *deployment, number int) error {
	old := deployment.runnerAt(number)
	old.remove()
	at := deployment.record.now()
	deployment.record.note("the entry of runner %s is removed", old.id)
	departures.mu.Lock()
	departures.at[old.id] = at
	departures.mu.Unlock()
	time.AfterFunc(lingerTime, old.stop)
	return deployment.startRunner(deployment.shape.runners + number)
}

func init() {
	scenarios["removed-runner"] = scenario{
		deployment: deploymentShape{
			nodes: 2, runners: 6, slots: 6, routes: []route{{prefix: "/confirm/", kind: "idempotent", timeoutMS: 600, targetMS: 100, attempts: 2}},
			serve: func(runner *runner, writer http.ResponseWriter, request *http.Request) {
				runner.answer(writer, request)
			},
		},
		run: runRemovedRunner,
	}
}

// runRemovedRunner replaces runners while the node that reads the registry is killed and restarted.
func runRemovedRunner(deployment *deployment) (string, error) {
	gone, waiters := &departures{at: map[string]time.Duration{}}, &sync.WaitGroup{}
	time.Sleep(time.Second)
	reader, err := deployment.reader()
	if err != nil {
		return "", err
	}
	// The calls of the other node, which is never disturbed, are judged.
	end := deployment.record.now() + cycles*(upTime+restartDelay) + lingerTime
	for number := range 3 {
		poll(deployment, waiters, 1-reader, fmt.Sprintf("/confirm/%d", number), 60*time.Millisecond, end)
	}
	for cycle := range cycles {
		time.Sleep(upTime)
		if deployment.trouble {
			if err := deployment.restart(reader); err != nil {
				return "", err
			}
		} else {
			time.Sleep(restartDelay)
		}
		time.Sleep(leaveDelay)
		if err := gone.replace(deployment, cycle); err != nil {
			return "", err
		}
	}
	waiters.Wait()
	return gone.verdict(deployment), nil
}

// restart kills a node's process and starts it again.
func (deployment *deployment) restart(number int) error {
	deployment.record.note("node %d is killed", number)
	_ = deployment.nodes[number].command.Process.Signal(syscall.SIGKILL)
	<-deployment.nodes[number].exited
	time.Sleep(restartDelay)
	return deployment.startNode(number, false)
}

// reader returns the number of the node that reads the registry for the others.
func (deployment *deployment) reader() (int, error) {
	for number := range deployment.shape.nodes {
		response, err := http.Get("http://" + deployment.nodeAddress(number, adminPort) + "/state") //nolint:gosec // loopback
		if err != nil {
			return 0, err
		}
		state := struct{ ReadsStore bool }{}
		err = json.NewDecoder(response.Body).Decode(&state)
		response.Body.Close()
		if err == nil && state.ReadsStore {
			return number, nil
		}
	}
	return 0, fmt.Errorf("no node reads the store: %w", errTimeout)
}

// verdict returns how the rule was broken: a request reached a runner later than drainTime after its entry was removed.
func (departures *departures) verdict(deployment *deployment) string {
	late, latest, runners := 0, time.Duration(0), map[string]bool{}
	for _, run := range deployment.runLog() {
		at, removed := departures.at[run.runner]
		if !removed || run.at-at <= drainTime {
			continue
		}
		late++
		latest, runners[run.runner] = max(latest, run.at-at), true
		deployment.record.note("request %s reached runner %s %.3f s after its entry was removed", run.id, run.runner, (run.at - at).Seconds())
	}
	if late == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d requests reached %d runners that were gone for more than 2 s, up to %.1f s", late, len(runners), latest.Seconds())
}
