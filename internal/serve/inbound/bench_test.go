package inbound_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"hazelslip/internal/policy/memory"
	"hazelslip/internal/serve/inbound"
)

// BenchmarkRequest measures a request of ordinary size on a kept connection, with and without the bounds.
func BenchmarkRequest(b *testing.B) {
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.WriteHeader(http.StatusNoContent)
	})
	text := "POST /draft/1 HTTP/1.1\r\nHost: demo.example\r\nContent-Length: 2\r\n"
	for number := range 12 {
		text += fmt.Sprintf("X-Hazelslip-Field-%d: 9c41d07be2a35f689c41d07be2a35f68\r\n", number)
	}
	text += "\r\nxy"
	address := inbound.New(inbound.Budget(memory.New(64<<20))).NewAddress("Callers", inbound.MaxConns(1000))
	for _, name := range []string{"plain", "bounded"} {
		b.Run(name, func(b *testing.B) {
			server := &http.Server{Handler: handler}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			served := listener
			if name == "bounded" {
				server, served = address.Server(handler), address.Listen(listener)
			}
			go func() { _ = server.Serve(served) }()
			defer server.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			response := make([]byte, 4<<10)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(conn, text); err != nil {
					b.Fatal(err)
				}
				if _, err := conn.Read(response); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
