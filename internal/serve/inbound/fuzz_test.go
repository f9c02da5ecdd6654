package inbound_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hazelslip/internal/policy/memory"
	"hazelslip/internal/serve/inbound"
)

// pipeListener returns one connection in memory, and then waits until it is closed.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *pipeListener) Close() error {
	close(listener.closed)
	return nil
}

func (listener *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// fuzzTimeout ends a run that hangs.
const fuzzTimeout = 10 * time.Second

// Whatever bytes come on a connection, however they are split, the server must end it once the client has left, give back
// all memory, and never hand a request with a length beside a chunked body to the handler while it keeps the connection.
func FuzzConnection(f *testing.F) {
	for _, seed := range []string{
		ordinaryRequest, ordinaryRequest + ordinaryRequest, head(16<<10, 3) + "abc", "\r\n\r\n\r\n" + ordinaryRequest, "POST ", "\x00\xff\n\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + ordinaryRequest,
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n1;e=f\r\nx\r\n0\r\nA: b\r\n\r\n" + ordinaryRequest,
		"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy", strings.Repeat("a:\n", 20_000),
	} {
		f.Add([]byte(seed), uint16(7))
	}
	f.Fuzz(func(t *testing.T, sent []byte, split uint16) {
		budget := memory.New(1 << 20)
		guard := inbound.New(inbound.Budget(budget))
		address := guard.NewAddress("Callers", inbound.MaxConns(2), inbound.CurrentLimits(func() inbound.Limits { return inbound.Limits{MaxHeaderBytes: 8 << 10} }))
		server := address.Server(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			writer.WriteHeader(http.StatusNoContent)
		}))
		listener := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		near, far := net.Pipe()
		listener.conns <- far
		served, read := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(served)
			_ = server.Serve(address.Listen(listener))
		}()
		go func() {
			defer close(read)
			_, _ = io.Copy(io.Discard, near)
		}()
		_ = near.SetWriteDeadline(time.Now().Add(fuzzTimeout))
		cut := int(split) % (len(sent) + 1)
		for _, part := range [][]byte{sent[:cut], sent[cut:]} {
			if _, err := near.Write(part); err != nil {
				break
			}
		}
		near.Close()
		<-read
		for began := time.Now(); ; time.Sleep(50 * time.Microsecond) {
			held, _, _ := budget.Totals()
			if state := guard.State()[0]; state.Conns == 0 && held == 0 {
				break
			} else if time.Since(began) > fuzzTimeout {
				t.Fatalf("%d connections are open and %d bytes held after the client left", state.Conns, held)
			}
		}
		server.Close()
		<-served
	})
}
