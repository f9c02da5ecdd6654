// Package instancelist reads the platform's list of live and leaving instances.
// The list is eventually consistent: an instance can be gone, or leaving, for some
// time before the list shows it, and the list itself can be unavailable. Callers
// use the list as a hint about which instances to contact, never as proof that an
// instance is alive.
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

// Values of Instance.Role.
const (
	RoleEntry   = "Entry"
	RoleEngine  = "Engine"
	RoleService = "Service"
)

const (
	requestTimeout = 5 * time.Second
	maxListBytes   = 8 << 20
)

// Instance is one entry of the list. The meaning of Address depends on the role: the peer address of an entry node, or
// the HTTP address of an engine or a service.
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

// Client reads the instance list. The zero value is not usable; call New.
type Client struct {
	client *jsonhttp.Client
}

// New returns a client of the instance list at the base URL. A nil transport stands for an http.Transport of its own.
func New(base string, transport http.RoundTripper) *Client {
	return &Client{client: jsonhttp.New(base, transport)}
}

// Query selects instances; an empty field matches every instance.
type Query struct {
	Region     string
	DataCentre string
	Role       string
}

// Values returns the URL query parameters of a list request.
func (query Query) Values() url.Values {
	return url.Values{"Region": {query.Region}, "DataCentre": {query.DataCentre}, "Role": {query.Role}}
}

// Matches reports whether the query selects an instance.
func (query Query) Matches(instance Instance) bool {
	return (query.Region == "" || query.Region == instance.Region) &&
		(query.DataCentre == "" || query.DataCentre == instance.DataCentre) &&
		(query.Role == "" || query.Role == instance.Role)
}

// List returns the instances that match the query.
func (client *Client) List(ctx context.Context, query Query) ([]Instance, error) {
	var instances []Instance
	limits := jsonhttp.Limits{Timeout: requestTimeout, MaxBytes: maxListBytes}
	err := client.client.Get(ctx, "/instances?"+query.Values().Encode(), limits, &instances)
	return instances, errors.Wrap(err, "read the instance list")
}
