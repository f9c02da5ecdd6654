// Package weightstore reads the load of the platform's weight store. Engines fetch
// weights from the store themselves. The store is rate-limited, so the order in
// which groups are told to load determines which class gets its weights first.
//
// # Usage
//
//	client := weightstore.New("http://127.0.0.1:7002", nil)
//	status, err := client.Status(ctx)
//	if status.Loading >= status.Slots { ... }
package weightstore

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/jsonhttp"
)

const (
	requestTimeout = 2 * time.Second
	maxStatusBytes = 64 << 10
)

// Status is the load of the weight store. Slots is the number of weight loads that the store serves concurrently at full
// speed; Loading is the number of loads in progress.
type Status struct {
	Slots   int
	Loading int
}

// Client reads the status of the weight store. The zero value is not usable; call New.
type Client struct {
	client *jsonhttp.Client
}

// New returns a client of the weight store at the base URL. A nil transport stands for an http.Transport of its own.
func New(base string, transport http.RoundTripper) *Client {
	return &Client{client: jsonhttp.New(base, transport)}
}

// Status reads the load of the weight store.
func (client *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	limits := jsonhttp.Limits{Timeout: requestTimeout, MaxBytes: maxStatusBytes}
	err := client.client.Get(ctx, "/status", limits, &status)
	return status, errors.Wrap(err, "read the weight store's status")
}
