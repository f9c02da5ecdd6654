// Package weightstore reads how busy the platform's weight store is. Engines
// fetch weights from it themselves; it is rate-limited, so the order in which
// groups are told to load decides which class gets its weights first.
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

// Status is the store's load. Slots is how many loads it serves at full speed
// at once, Loading how many are under way.
type Status struct {
	Slots   int
	Loading int
}

// Client reads the store's status. Its zero value is not usable; call New.
type Client struct {
	client *jsonhttp.Client
}

// New returns a client of the weight store at the base URL. A nil transport is
// the usual one.
func New(base string, transport http.RoundTripper) *Client {
	return &Client{client: jsonhttp.New(base, transport)}
}

// Status reads the store's load.
func (client *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	limits := jsonhttp.Limits{Timeout: requestTimeout, MaxBytes: maxStatusBytes}
	err := client.client.Get(ctx, "/status", limits, &status)
	return status, errors.Wrap(err, "read the weight store's status")
}
