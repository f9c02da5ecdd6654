// Package service passes calls on to the plain services that stand beside the
// model engines. It streams bodies both ways, follows no redirect, never
// repeats a call, and sorts each failure by what it proves: ErrNotSent means
// that no byte of the call left this process.
//
// # Usage
//
//	client := service.New()
//	response, err := client.Call(ctx, "127.0.0.1:7200", request, body)
package service

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a service. Use errors.Is.
var (
	// ErrNotSent means that no byte of the call left this process.
	ErrNotSent = errors.New("the service could not be connected to")
	// ErrNoAnswer means that the call was sent and its answer never came.
	ErrNoAnswer = errors.New("the service did not answer")
)

// HeaderRefused is the header by which a service says that it refused a call
// without running it, for instance while it is leaving.
const HeaderRefused = "Service-Refused"

const dialTimeout = 500 * time.Millisecond

// Call is one call to a service. Header is passed on as it stands but for the
// headers of a single connection.
type Call struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   io.Reader
	Length int64
}

// Client calls services. Its zero value is not usable; call New.
type Client struct {
	httpClient *http.Client
}

// Option changes how a Client is built.
type Option func(*Client)

// Dial makes the client connect through the given function.
func Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(client *Client) {
		client.httpClient.Transport.(*http.Transport).DialContext = dial
	}
}

// New returns a client of services.
func New(options ...Option) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	// net/http repeats a request on its own when a kept-alive connection
	// turns out to be dead before the first byte of the answer. For a call
	// that may not be repeated that would be a second run, so every call gets
	// a connection of its own.
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	client := &Client{httpClient: &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
	for _, option := range options {
		option(client)
	}
	return client
}

// Call sends the call once. The caller closes the answer's body.
func (client *Client) Call(ctx context.Context, address string, call Call) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	target := "http://" + address + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, target, call.Body)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "build call"), ErrNotSent)
	}
	request.ContentLength = call.Length
	request.Header = call.Header.Clone()
	dropConnectionHeaders(request.Header)
	response, err := client.httpClient.Do(request)
	if err != nil && !connected.Load() {
		return nil, errors.Mark(errors.Wrapf(err, "call %s", address), ErrNotSent)
	}
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "call %s", address), ErrNoAnswer)
	}
	if response.Header.Get(HeaderRefused) != "" {
		response.Body.Close()
		return nil, errors.Mark(errors.Newf("call %s: the service refused it", address), ErrNotSent)
	}
	return response, nil
}

// dropConnectionHeaders removes the headers that RFC 9110, section 7.6.1,
// limits to one connection.
func dropConnectionHeaders(header http.Header) {
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	} {
		header.Del(name)
	}
}
