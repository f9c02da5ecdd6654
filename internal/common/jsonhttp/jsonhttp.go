// Package jsonhttp fetches JSON from the platform's HTTP services, with a timeout and a limit on the response size.
//
// # Usage
//
//	client := jsonhttp.New("http://127.0.0.1:7001", transport)
//	err := client.Get(ctx, "/instances?Region=x", jsonhttp.Limits{Timeout: time.Second, MaxBytes: 1 << 20}, &instances)
package jsonhttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/responsehead"
)

// Client fetches JSON from one service. Create a Client with New; the zero value is not usable.
type Client struct {
	BaseURL string
	HTTP    *http.Client
}

// Limits bounds one request.
type Limits struct {
	Timeout time.Duration
	// MaxBytes is the maximum number of bytes read from the response body.
	MaxBytes int64
}

// New returns a client for the service at the base URL. A nil transport stands for an http.Transport of its own.
func New(base string, transport http.RoundTripper) *Client {
	return &Client{BaseURL: base, HTTP: &http.Client{Transport: responsehead.NewTransport(transport)}}
}

// Get requests a path and decodes the JSON response into value.
func (client *Client) Get(ctx context.Context, path string, limits Limits, value any) error {
	ctx, cancel := context.WithTimeout(ctx, limits.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.BaseURL+path, nil)
	if err != nil {
		return errors.Wrap(err, "create the request")
	}
	response, err := client.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("unexpected response status %s", response.Status)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, limits.MaxBytes)).Decode(value), "decode the response body")
}

// Write sends value as the response, in indented JSON.
func Write(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
