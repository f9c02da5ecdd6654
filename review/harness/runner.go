package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a runner began to run.
type run struct {
	runner, id, target string
	at                 time.Duration
}

// runner is a backend server of a plain service. Each start has a new time of birth; the ID stays.
type runner struct {
	id, service, address string
	deployment           *deployment
	// serve runs a request. The runner answers with its result.
	serve func(runner *runner, writer http.ResponseWriter, request *http.Request)

	mu       sync.Mutex
	born     int64
	sequence int
	server   *http.Server
	conns    map[net.Conn]struct{}
	crashes  int
	// left is set once the runner's entry was removed.
	left bool
}

// downTime is how long a crashed runner is down.
const downTime = 2 * time.Second

// start listens and announces the runner in the store.
func (runner *runner) start() error {
	listener, err := net.Listen("tcp", runner.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: runner, ReadHeaderTimeout: time.Minute, ConnState: runner.track, ErrorLog: log.New(io.Discard, "", 0)}
	runner.mu.Lock()
	runner.server, runner.born, runner.conns = server, time.Now().UnixMilli(), map[net.Conn]struct{}{}
	runner.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	runner.announce()
	return nil
}

func (runner *runner) track(conn net.Conn, state http.ConnState) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	switch state {
	case http.StateNew:
		runner.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(runner.conns, conn)
	}
}

// announce writes the runner's entry, unless the runner is down.
func (runner *runner) announce() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.server == nil || runner.left {
		return
	}
	runner.sequence++
	body, err := json.Marshal(map[string]any{
		"service": runner.service, "address": runner.address, "zone": zone, "version": "v1", "slots": runner.deployment.shape.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": runner.sequence, "born": runner.born, "model_list": []any{}, "group": nil,
	})
	if err == nil {
		runner.deployment.store.Put("keyed.servers", runner.id, body)
	}
}

// crash ends the runner's process: its connections are reset, and it is back after downTime with the same ID. It reports
// whether the process was still running.
func (runner *runner) crash(cause string) bool {
	runner.mu.Lock()
	server := runner.server
	if server == nil {
		runner.mu.Unlock()
		return false
	}
	runner.server = nil
	runner.crashes++
	for conn := range runner.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	runner.mu.Unlock()
	server.Close()
	runner.deployment.record.note("runner %s crashes: %s", runner.id, cause)
	time.AfterFunc(downTime, func() {
		if err := runner.start(); err == nil {
			runner.deployment.record.note("runner %s is back", runner.id)
		}
	})
	return true
}

func (runner *runner) stop() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.server != nil {
		runner.server.Close()
	}
}

// ServeHTTP serves a request, a health check or a report.
func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("X-Hazelslip-Attempt-Id", request.Header.Get("X-Hazelslip-Attempt-Id"))
	writer.Header().Set("Keep-Alive", "timeout=10")
	target := request.Header.Get("X-Hazelslip-Target-Instance")
	switch {
	case target != "" && target != runner.id:
		writer.Header().Set("X-Hazelslip-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
	case request.URL.Path == "/healthz":
		writer.Header().Set("X-Hazelslip-Instance-Id", runner.id)
	case request.URL.Path == "/v1/report":
		_, _ = fmt.Fprintf(writer, `{"phase":"unified","born":%d,"model_list":[],"busy":false,"sequence":0,"queued":0,"active":0,"group":null}`, runner.born)
	default:
		runner.serve(runner, writer, request)
	}
}

// begin records that the runner begins to run a request.
func (runner *runner) begin(request *http.Request) {
	id := request.Header.Get("X-Hazelslip-Attempt-Id")
	runner.deployment.recordRun(run{runner: runner.id, id: id, target: request.URL.Path, at: runner.deployment.record.now()})
	runner.deployment.record.note("runner %s runs %s %s (id %s)", runner.id, request.Method, request.RequestURI, id)
}

// callWork is the work of a sound call.
const callWork = 15 * time.Millisecond

// sign sets the headers of the answer to a request that has run.
func (runner *runner) sign(writer http.ResponseWriter) {
	writer.Header().Set("X-Hazelslip-Upstream-Signature", "signed."+runner.id)
}

// answer answers a request after its work.
func (runner *runner) answer(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	runner.begin(request)
	if !sleep(request.Context(), callWork) {
		panic(http.ErrAbortHandler)
	}
	runner.sign(writer)
	_, _ = io.WriteString(writer, "done by "+runner.id)
}

// sleep waits, and reports whether the context lasted so long.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// errTimeout reports a wait that took too long.
var errTimeout = errors.New("waited for too long")

// remove removes the runner's entry from the registry. The runner goes on serving.
func (runner *runner) remove() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.left = true
	runner.deployment.store.Put("keyed.servers", runner.id, nil)
}
