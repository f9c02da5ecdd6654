// Package service is a client of the plain services that are served alongside the
// model engines. The client streams bodies in both directions, follows no redirect
// and never retries a call. Its errors tell whether the service may have executed
// the call: ErrNotSent means that it did not.
//
// # Usage
//
//	client := service.New()
//	response, err := client.Call(ctx, "127.0.0.1:7200", service.Call{Method: http.MethodGet, Path: "/"})
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

	"hazelslip/internal/common/responsehead"
	"hazelslip/internal/common/tcpreset"
)

// Errors of a call to a service. Use errors.Is.
var (
	// ErrNotSent means that the service certainly did not execute the call: no byte of the call left this
	// process, or the service refused it with HeaderRefused.
	ErrNotSent = errors.New("the call was not sent to the service or the service refused it")
	// ErrNoResponse means that the call was or may have been sent and no response was received.
	ErrNoResponse = errors.New("the service did not respond")
)

// HeaderRefused is the response header by which a service states that it refused a call without executing it, for
// example while it is shutting down.
const HeaderRefused = "Service-Refused"

const dialTimeout = 500 * time.Millisecond

// Call is one call to a service. Header is forwarded unchanged, except for the hop-by-hop headers, which are removed.
type Call struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   io.Reader
	Length int64
}

// Client calls services. The zero value is not usable; call New.
type Client struct {
	transport  *http.Transport
	httpClient *http.Client
}

// Option configures a Client.
type Option func(*Client)

// Dial sets the function that opens connections.
func Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(client *Client) {
		client.transport.DialContext = trackResets(dial)
	}
}

// trackResets returns a dial function whose connections tell a reset from a close. net/http does not when it writes the
// body of a call and reads the response at the same time.
func trackResets(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return tcpreset.NewConn(conn), nil
	}
}

// New returns a client that opens a new connection for each call.
func New(options ...Option) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	// net/http retries a request by itself if a keep-alive connection breaks before the first byte of the
	// response. That could execute a non-idempotent call twice, so each call uses a new connection.
	transport := &http.Transport{DialContext: trackResets(dialer.DialContext), DisableKeepAlives: true, DisableCompression: true}
	client := &Client{transport: transport, httpClient: &http.Client{
		Transport: responsehead.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
	for _, option := range options {
		option(client)
	}
	return client
}

// Call sends the call once. The caller must close the body of the response.
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
		return nil, errors.Mark(errors.Wrapf(err, "call %s", address), ErrNoResponse)
	}
	if response.Header.Get(HeaderRefused) != "" {
		response.Body.Close()
		return nil, errors.Mark(errors.Newf("call %s: the service refused it", address), ErrNotSent)
	}
	return response, nil
}

// dropConnectionHeaders removes the hop-by-hop headers of RFC 9110, section 7.6.1.
func dropConnectionHeaders(header http.Header) {
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	} {
		header.Del(name)
	}
}
