package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// runner is a plain server that speaks HTTP on raw connections.
type runner struct {
	id, zone string
	born     int64
	listener net.Listener
	record   *record
	deployed *deployment
	// after, if set, is called on the connection once the answer to a request has been written.
	after func(conn net.Conn)

	sequence int
	stopped  chan struct{}
}

func (deployed *deployment) startRunner(id, zone string) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &runner{id: id, zone: zone, born: time.Now().UnixMilli(), listener: listener, record: deployed.record, deployed: deployed, stopped: make(chan struct{})}
	deployed.closers = append(deployed.closers, listener)
	go started.accept()
	go started.beat()
	return started, nil
}

// beat writes the registry entry every heartbeat.
func (started *runner) beat() {
	for {
		started.sequence++
		started.deployed.store.Put("keyed.servers", started.id, encode(map[string]any{
			"service": serviceName, "address": started.listener.Addr().String(), "zone": started.zone, "version": "v1", "slots": 6, "state": "ready",
			"cold_remaining_ms": 0, "sequence": started.sequence, "born": started.born, "model_list": []any{}, "group": nil,
		}))
		select {
		case <-started.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (started *runner) accept() {
	for {
		conn, err := started.listener.Accept()
		if err != nil {
			close(started.stopped)
			return
		}
		go started.serve(conn)
	}
}

func (started *runner) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		attempt := request.Header.Get("X-Hazelslip-Attempt-Id")
		if target := request.Header.Get("X-Hazelslip-Target-Instance"); target != "" && target != started.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Hazelslip-Attempt-Id: %s\r\nX-Hazelslip-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
			continue
		}
		started.record.run(started.id, attempt, request.Method, request.URL.Path, string(body))
		time.Sleep(15 * time.Millisecond)
		answer := answerOf(attempt)
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Hazelslip-Attempt-Id: %s\r\nX-Hazelslip-Upstream-Signature: signed.%s.%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
			attempt, started.id, attempt, len(answer), answer)
		if err != nil {
			return
		}
		if started.after != nil {
			started.after(conn)
		}
	}
}

// answerOf is the body of the answer to an attempt.
func answerOf(attempt string) string {
	return "booked for " + attempt + "\n"
}
