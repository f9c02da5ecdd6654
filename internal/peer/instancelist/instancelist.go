// Package instancelist reads the platform's list of live and leaving
// instances. The list lags: an instance can be gone, or leaving, for a while
// before the list says so, and the list itself can be out of reach. Readers
// treat it as a hint about whom to ask, never as proof that somebody lives.
//
// # Usage
//
//	client := instancelist.New("http://127.0.0.1:7001", nil)
//	instances, err := client.List(ctx, instancelist.Query{DataCentre: "lakes-a"})
package instancelist

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/jsonhttp"
)

// The roles that an instance can have in the list.
const (
	RoleEntry   = "Entry"
	RoleEngine  = "Engine"
	RoleService = "Service"
)

const (
	requestTimeout = 5 * time.Second
	maxListBytes   = 8 << 20
)

// Instance is one line of the list. Address is the address for requests of
// its role: the peer address of an entry node, the HTTP address of an engine
// or a service.
type Instance struct {
	ID           string
	Address      string
	Role         string
	Region       string
	DataCentre   string
	FabricDomain string
	Service      string
	Leaving      bool
}

// Client reads the list. Its zero value is not usable; call New.
type Client struct {
	client *jsonhttp.Client
}

// New returns a client of the instance list at the base URL. A nil transport
// is the usual one.
func New(base string, transport http.RoundTripper) *Client {
	return &Client{client: jsonhttp.New(base, transport)}
}

// Query selects instances; an empty field selects all.
type Query struct {
	Region     string
	DataCentre string
	Role       string
}

// Values returns the query of a request to the list.
func (query Query) Values() url.Values {
	return url.Values{"Region": {query.Region}, "DataCentre": {query.DataCentre}, "Role": {query.Role}}
}

// Matches reports whether the query selects an instance.
func (query Query) Matches(instance Instance) bool {
	return (query.Region == "" || query.Region == instance.Region) &&
		(query.DataCentre == "" || query.DataCentre == instance.DataCentre) &&
		(query.Role == "" || query.Role == instance.Role)
}

// List returns the instances that the query selects.
func (client *Client) List(ctx context.Context, query Query) ([]Instance, error) {
	var instances []Instance
	limits := jsonhttp.Limits{Timeout: requestTimeout, MaxBytes: maxListBytes}
	err := client.client.Get(ctx, "/instances?"+query.Values().Encode(), limits, &instances)
	return instances, errors.Wrap(err, "read the instance list")
}
