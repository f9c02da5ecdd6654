package inbound

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"
)

// A request whose connection gave way while its head was parsed must not reach the handler.
func TestDisplacedConnectionsReachNoHandler(t *testing.T) {
	expect := gomega.NewWithT(t)
	address, handled := New().NewAddress("Callers", MaxConns(1)), 0
	handler := checkRequest(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled++ }))
	serve := func(conn *Conn) {
		trackState(conn, http.StateActive)
		request := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
		handler.ServeHTTP(httptest.NewRecorder(), request.WithContext(context.WithValue(request.Context(), connKey{}, net.Conn(conn))))
	}
	admit := func() *Conn {
		near, far := net.Pipe()
		t.Cleanup(func() { far.Close() })
		return address.admit(near)
	}
	displaced := admit()
	newer := admit()
	expect.Expect(func() { serve(displaced) }).To(gomega.PanicWith(http.ErrAbortHandler))
	expect.Expect(handled).To(gomega.BeZero())
	serve(newer)
	expect.Expect(handled).To(gomega.Equal(1))
	// A request in progress keeps its place, so a further connection is not admitted.
	expect.Expect(admit()).To(gomega.BeNil())
}
