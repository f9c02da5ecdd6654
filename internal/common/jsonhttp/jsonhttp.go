// Package jsonhttp reads JSON from a service of the platform, with a time
// limit and a bound on what it takes.
//
// # Usage
//
//	client := jsonhttp.New("http://127.0.0.1:7001", transport)
//	err := client.Get(ctx, "/instances?Region=x", jsonhttp.Limits{Timeout: time.Second, Bytes: 1 << 20}, &instances)
package jsonhttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Client reads from one service. Its zero value is not usable; call New.
type Client struct {
	Base string
	HTTP *http.Client
}

// Limits bound one question.
type Limits struct {
	Timeout time.Duration
	// Bytes is the largest answer that is read.
	Bytes int64
}

// New returns a client of the service at the base URL. A nil transport is the
// usual one.
func New(base string, transport http.RoundTripper) *Client {
	return &Client{Base: base, HTTP: &http.Client{Transport: transport}}
}

// Get reads a path into the value.
func (client *Client) Get(ctx context.Context, path string, limits Limits, value any) error {
	ctx, cancel := context.WithTimeout(ctx, limits.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.Base+path, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := client.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("it answered %s", response.Status)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, limits.Bytes)).Decode(value), "decode the answer")
}

// Write answers a request with a value as indented JSON.
func Write(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
