package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"hazelslip/platform/standin"
)

const (
	bookingSlots = 6
	bookingWork  = 15 * time.Millisecond
)

// arrival is a request that reached a booking server.
type arrival struct {
	id string
	at time.Time
}

// bookingServer is a plain server that keeps its entry in the registry.
type bookingServer struct {
	id      string
	fleet   *fleet
	record  *record
	server  *http.Server
	address string
	slots   chan struct{}

	mu       sync.Mutex
	arrivals []arrival
	runs     map[string]int
	listed   bool
	sequence int
	born     int64
	stopped  chan struct{}
	// extraShare is the share of the responses after which the server sends the bytes of extra.
	extraShare float64
	extra      string
	extrasSent int
}

// connKey is the key of the connection state in the context of a request.
type connKey struct{}

// connState is the state of a connection. Additional bytes are sent where the next response is expected.
type connState struct {
	net.Conn
	extraDue bool
}

// Additional bytes that follow a complete response of a faulty server. They look like a response, have no attempt ID and
// belong to no request.
const (
	extraSuccess = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n"
	// extraRefusal is the refusal of a full server as the bench's examples of messages show it.
	extraRefusal = "HTTP/1.1 503 Service Unavailable\r\nX-Hazelslip-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// extraDelay is how long after the start of a run the additional bytes are sent. It is a part of the work.
const extraDelay = 3 * time.Millisecond

// startBookingServer starts a server at a port offset and lists it.
func startBookingServer(fleet *fleet, record *record, number int) (*bookingServer, error) {
	address := fmt.Sprintf("127.0.0.1:%d", fleet.base+serverPort+50+number)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &bookingServer{
		id: fmt.Sprintf("b-%d", number), fleet: fleet, record: record, address: address, slots: make(chan struct{}, bookingSlots),
		runs: map[string]int{}, listed: true, born: time.Now().UnixMilli(), stopped: make(chan struct{}),
	}
	server.server = &http.Server{Handler: server, ReadHeaderTimeout: 5 * time.Second, ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, &connState{Conn: conn})
	}}
	go func() { _ = server.server.Serve(listener) }()
	server.writeEntry()
	go server.keepEntry()
	return server, nil
}

// ServeHTTP runs a request.
func (server *bookingServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Hazelslip-Attempt-Id")
	writer.Header().Set("X-Hazelslip-Attempt-Id", id)
	if target := request.Header.Get("X-Hazelslip-Target-Instance"); target != "" && target != server.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	server.mu.Lock()
	server.arrivals = append(server.arrivals, arrival{id: id, at: time.Now()})
	server.mu.Unlock()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	server.slots <- struct{}{}
	defer func() { <-server.slots }()
	server.mu.Lock()
	server.runs[id]++
	server.mu.Unlock()
	server.record.write("%s runs at %s", id, server.id)
	time.Sleep(extraDelay)
	server.sendExtra(request, id)
	time.Sleep(bookingWork - extraDelay)
	writer.Header().Set("X-Hazelslip-Upstream-Signature", "signed."+server.id)
	writer.Header().Set("Keep-Alive", "timeout=10")
	_, _ = fmt.Fprintf(writer, "took %d bytes", len(body))
}

// setExtra makes the server send additional bytes after a share of its responses.
func (server *bookingServer) setExtra(share float64, extra string) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.extraShare, server.extra = share, extra
}

// sendExtra sends the additional bytes that follow the previous response of the connection, and decides whether some
// follow this one. The requests of a connection are handled one after the other.
func (server *bookingServer) sendExtra(request *http.Request, id string) {
	state, ok := request.Context().Value(connKey{}).(*connState)
	if !ok {
		return
	}
	server.mu.Lock()
	due, extra := state.extraDue, server.extra
	state.extraDue = rand.Float64() < server.extraShare
	if due {
		server.extrasSent++
	}
	server.mu.Unlock()
	if due {
		server.record.write("%s sends additional bytes where the response to %s is expected", server.id, id)
		_, _ = state.Write([]byte(extra))
	}
}

// keepEntry writes the entry every heartbeat while the server is listed.
func (server *bookingServer) keepEntry() {
	for {
		select {
		case <-server.stopped:
			return
		case <-time.After(heartbeat):
			server.writeEntry()
		}
	}
}

func (server *bookingServer) writeEntry() {
	server.mu.Lock()
	defer server.mu.Unlock()
	if !server.listed {
		return
	}
	server.sequence++
	entry, err := json.Marshal(map[string]any{
		"service": standin.LedgerService, "address": server.address, "zone": server.fleet.shape.DataCentreOf(0), "version": "v1", "slots": bookingSlots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": server.sequence, "born": server.born,
	})
	if err != nil {
		panic(err)
	}
	server.fleet.platform.Store.Put("keyed.servers", server.id, entry)
}

// unlist removes the server's entry for good, and returns when the store had done so. The server goes on serving.
func (server *bookingServer) unlist() time.Time {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.listed = false
	server.fleet.platform.Store.Put("keyed.servers", server.id, nil)
	return time.Now()
}

// exit ends the server.
func (server *bookingServer) exit() {
	close(server.stopped)
	server.server.Close()
}

// arrivalsAfter returns the requests that reached the server after a time.
func (server *bookingServer) arrivalsAfter(at time.Time) []arrival {
	server.mu.Lock()
	defer server.mu.Unlock()
	late := []arrival{}
	for _, arrived := range server.arrivals {
		if arrived.at.After(at) {
			late = append(late, arrived)
		}
	}
	return late
}

// runsOf returns how often the server began to run a request.
func (server *bookingServer) runsOf(id string) int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.runs[id]
}

// extras returns how often the server sent additional bytes.
func (server *bookingServer) extras() int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.extrasSent
}
