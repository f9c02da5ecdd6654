// Package weightstore reads how busy the platform's weight store is. Engines
// fetch weights from it themselves; it is rate-limited, so the order in which
// groups are told to load decides which class gets its weights first.
//
// # Usage
//
//	client := weightstore.New("http://127.0.0.1:7002")
//	status, err := client.Status(ctx)
//	if status.Loading >= status.Slots { ... }
package weightstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	requestTimeout = 2 * time.Second
	maxStatusBytes = 64 << 10
)

// Status is the store's load. Slots is how many loads it serves at full speed
// at once, Loading how many are under way.
type Status struct {
	Slots   int
	Loading int
}

// Client reads the store's status. Its zero value is not usable; call New.
type Client struct {
	base       string
	httpClient *http.Client
}

// Option changes how a Client is built.
type Option func(*Client)

// Transport makes the client use the given transport.
func Transport(transport http.RoundTripper) Option {
	return func(client *Client) { client.httpClient.Transport = transport }
}

// New returns a client of the weight store at the base URL.
func New(base string, options ...Option) *Client {
	client := &Client{base: base, httpClient: &http.Client{}}
	for _, option := range options {
		option(client)
	}
	return client
}

// Status reads the store's load.
func (client *Client) Status(ctx context.Context) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.base+"/status", nil)
	if err != nil {
		return Status{}, errors.Wrap(err, "build status request")
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return Status{}, errors.Wrap(err, "read the weight store's status")
	}
	defer response.Body.Close()
	var status Status
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status); err != nil {
		return Status{}, errors.Wrap(err, "decode the weight store's status")
	}
	return status, nil
}
