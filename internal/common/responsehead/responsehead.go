// Package responsehead rejects heads of responses that net/http accepts although they are not valid HTTP. Where a response
// with such a head ends is unknown, so its connection is closed.
//
// # Usage
//
//	client := &http.Client{Transport: responsehead.NewTransport(transport)}
//	if err := responsehead.Check(response); err != nil { // read with http.ReadResponse
package responsehead

import (
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid means that a server sent a head that is not valid HTTP.
var ErrInvalid = errors.New("invalid response head")

// MaxBytes bounds the heads that a Transport accepts. Parsed, short fields take more than twenty times their size.
const MaxBytes = 64 << 10

// Check returns an error marked as ErrInvalid if the head of a response, which may be informational, is not valid. No
// request asks for another protocol, so status 101 is not valid either.
func Check(response *http.Response) error {
	if response.StatusCode < http.StatusContinue || response.StatusCode == http.StatusSwitchingProtocols {
		return errors.Mark(errors.Newf("response with status %03d", response.StatusCode), ErrInvalid)
	}
	for name := range response.Header {
		// A length or an encoding whose name ends with a blank does not count for net/http.
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Mark(errors.Newf("response with field name %q", name), ErrInvalid)
		}
	}
	return nil
}

// Transport is a RoundTripper that fails if the head of a response is not valid or exceeds MaxBytes.
type Transport struct {
	base http.RoundTripper
}

// NewTransport returns a Transport that sends requests through the base, nil for an http.Transport of its own. If the base
// is an http.Transport, it must not be in use yet, since its limit for heads is set.
func NewTransport(base http.RoundTripper) *Transport {
	if base == nil {
		base = &http.Transport{}
	}
	if transport, ok := base.(*http.Transport); ok {
		transport.MaxResponseHeaderBytes = MaxBytes
	}
	return &Transport{base: base}
}

// RoundTrip sends a request and checks the head of its response.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn net.Conn
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }})
	response, err := transport.base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		// Closing the body does not close the connection if the body is empty.
		if conn != nil {
			conn.Close()
		}
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the base. http.Client calls it.
func (transport *Transport) CloseIdleConnections() {
	if base, ok := transport.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
