package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// foreignPort is the port of a server that is no runner.
const foreignPort = 21

func init() {
	scenarios["foreign-entry"] = scenario{
		deployment: deploymentShape{
			nodes: 3, runners: 3, slots: 6, routes: []route{{prefix: "/book/", kind: "non_idempotent", timeoutMS: 600, targetMS: 100, attempts: 1}},
			serve: func(runner *runner, writer http.ResponseWriter, request *http.Request) {
				runner.answer(writer, request)
			},
		},
		run: runForeignEntry,
	}
}

// runForeignEntry lets another writer leave an entry without some of the fields that the entry of a runner has.
func runForeignEntry(deployment *deployment) (string, error) {
	record := deployment.record
	address, taken, mu := fmt.Sprintf("127.0.4.1:%d", deployment.base+foreignPort), 0, sync.Mutex{}
	other := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		taken++
		record.note("the other system's server gets %s %s (id %s)", request.Method, request.RequestURI, request.Header.Get("X-Hazelslip-Attempt-Id"))
		_, _ = io.WriteString(writer, "It works!")
	})
	if err := deployment.serveHTTP(address, other); err != nil {
		return "", err
	}
	if deployment.trouble {
		// An entry of a runner also has cold_remaining_ms and born.
		body, err := json.Marshal(map[string]any{"service": serviceName, "address": address, "zone": zone, "version": "legacy", "slots": 6, "state": "ready", "sequence": 1})
		if err != nil {
			return "", err
		}
		record.note("another writer leaves the entry legacy-1: %s", body)
		deployment.store.Put("keyed.servers", "legacy-1", body)
	}
	waiters, wrong := sync.WaitGroup{}, 0
	for node := range deployment.shape.nodes {
		waiters.Add(1)
		go func() {
			defer waiters.Done()
			client := deployment.newClient(node)
			for number := range 50 {
				got := client.send(http.MethodPost, fmt.Sprintf("/book/%d-%d", node, number), "Tuesday 9:00", 600*time.Millisecond)
				mu.Lock()
				if got.status/100 == 2 && got.signature == "" {
					wrong++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	waiters.Wait()
	record.note("%d requests reached the other system's server; clients got %d successes without a runner's signature", taken, wrong)
	if wrong == 0 {
		return "", nil
	}
	return fmt.Sprintf("MIXED: clients got %d successes without a runner's signature; %d requests reached a server that is no runner", wrong, taken), nil
}
