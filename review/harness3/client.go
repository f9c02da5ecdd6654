package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client keeps one connection to a node, and opens another one when it ends.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	record  *record
}

// result is what the client got.
type result struct {
	status          int
	signature, body string
	attempt         string
	closes          bool
	err             error
}

// clientTimeout is how long the client waits for an answer.
const clientTimeout = 3 * time.Second

func (client *client) close() {
	if client.conn != nil {
		client.conn.Close()
		client.conn = nil
	}
}

// send sends a request and returns its answer.
func (client *client) send(method, path, attempt, body string) result {
	client.record.note("client sends attempt %s: %s %s %q", attempt, method, path, body)
	got := client.exchange(method, path, attempt, body)
	client.record.note("client gets for attempt %s: status %d, attempt %q, signature %q, body %q, error %v", attempt, got.status, got.attempt, got.signature, got.body, got.err)
	if got.err != nil || got.closes {
		client.close()
	}
	return got
}

func (client *client) exchange(method, path, attempt, body string) result {
	if client.conn == nil {
		conn, err := net.DialTimeout("tcp", client.address, time.Second)
		if err != nil {
			return result{err: err}
		}
		client.conn, client.reader = conn, bufio.NewReader(conn)
	}
	_ = client.conn.SetDeadline(time.Now().Add(clientTimeout))
	_, err := fmt.Fprintf(client.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Hazelslip-Attempt-Id: %s\r\nX-Hazelslip-Deadline-Ms: 2000\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, attempt, callerKey, len(body), body)
	if err != nil {
		return result{err: err}
	}
	response, err := http.ReadResponse(client.reader, &http.Request{Method: method})
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	return result{
		status: response.StatusCode, signature: response.Header.Get("X-Hazelslip-Upstream-Signature"), attempt: response.Header.Get("X-Hazelslip-Attempt-Id"),
		body: string(received), closes: response.Close, err: err,
	}
}
