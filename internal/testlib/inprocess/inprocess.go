// Package inprocess connects an HTTP client to a handler without a network, so that client tests run in virtual time
// and start no goroutines.
//
// # Usage
//
//	client := logservice.New("http://log", inprocess.Transport{Handler: log.Handler()})
package inprocess

import (
	"net/http"
	"net/http/httptest"

	"github.com/cockroachdb/errors"
)

// Transport is an http.RoundTripper that serves each request with a handler.
type Transport struct {
	Handler http.Handler
}

// RoundTrip serves the request. If the handler panics, as with http.ErrAbortHandler, RoundTrip returns an error like
// for a broken connection. The effects of the handler up to the panic remain.
func (transport Transport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			response, err = nil, errors.New("the handler aborted the connection")
		}
	}()
	recorder := httptest.NewRecorder()
	transport.Handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}
