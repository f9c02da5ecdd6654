// Package inprocess lets an HTTP client call a handler without a network, so
// that tests of clients run in virtual time and start no goroutines.
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

// Transport answers requests with a handler.
type Transport struct {
	Handler http.Handler
}

// RoundTrip serves the request. A handler that aborts breaks the connection,
// after whatever it did.
func (transport Transport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			response, err = nil, errors.New("the connection broke")
		}
	}()
	recorder := httptest.NewRecorder()
	transport.Handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}
