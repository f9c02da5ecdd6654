// Package configuration holds the configuration that the operator put in force: routes, services with their models,
// workspaces with their keys, and limits.
//
// A Configuration must not be changed once it was passed to a Table. Requests read the Table's Snapshot, an index of
// one Configuration behind an atomic pointer, without taking a lock. While the process runs, a Table never returns to
// an older version, even if versions arrive late or out of order.
//
// # Usage
//
//	table := configuration.NewTable()
//	table.StoreIfNewer(newest)
//	route, ok := table.Load().Match("example.org", "/drafts/7")
package configuration

import (
	"time"
)

// Kind decides whether a request may be sent to a second backend server after the first may have run it.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once. It is the zero value, so that requests of a route with an unknown kind
	// are never sent twice.
	NonIdempotent Kind = iota
	Idempotent
	// Streaming responses are series of events. Route.Resumable says whether another server may continue a stream.
	Streaming
)

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may be kept waiting, or 0 for no limit.
	Timeout time.Duration
	// Target is the time in which the response, or the first event of a stream, should arrive.
	Target time.Duration
	// PauseTarget is the longest time between two events of a stream that still meets the target.
	PauseTarget time.Duration
	// Priority is the rank among routes. 0 is the most urgent.
	Priority int
	Services []WeightedService
	// MaxAttempts is the largest number of backend servers that one request may be sent to.
	MaxAttempts int
	// Anonymous routes accept requests without a key.
	Anonymous bool
	// Resumable streams may be continued by another server.
	Resumable bool
	// Regions are the regions whose servers may run the requests. If empty, servers of all regions may.
	Regions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == Idempotent || (route.Kind == Streaming && route.Resumable)
}

// WeightedService is a service of a route and its weight among the services of the route.
type WeightedService struct {
	Name   string
	Weight int
}

// Service is a set of backend servers that do the same work.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdTime is how long a server is cold after its start. ColdPerSecond is the number of requests a second that a
	// cold server can take. Both are 0 if servers are never cold.
	ColdTime      time.Duration
	ColdPerSecond float64
	// Engine is nil for a service without model engines.
	Engine *Engine
}

// Engine holds the timing and the limits of the model engines of a service. Times apply to a group whose model has a
// Pace of 1.
type Engine struct {
	// Slots is the number of requests that a group runs concurrently.
	Slots      int
	KVCapacity int
	Models     []Model
	// StepTime is the base time of a token step. Each request that is generating tokens adds SequenceTime.
	StepTime     time.Duration
	SequenceTime time.Duration
	// StepsPerPass is the number of token steps of a forward pass. Waiting requests are admitted between passes.
	StepsPerPass int
	// PrefillPerSecond is the number of prompt tokens that are prefilled per second.
	PrefillPerSecond float64
	// ReportLag is the age of the figures in a server's report.
	ReportLag time.Duration
	// LoadsPerSecond and LoadsAtOnce limit the rate and the concurrency of model loads from the weight store.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// FormationTime is the time from the order to serve until a group accepts its first request.
	FormationTime time.Duration
	// MeanPromptTokens and MeanCompletionTokens are the mean token counts of a prompt and of a completion.
	MeanPromptTokens     int
	MeanCompletionTokens int
}

// Model is one model that the engines of a service can run.
type Model struct {
	Name string
	// Size is the number of backend servers of one replica.
	Size int
	// Share is the model's share of the requests when the deployment starts.
	Share float64
	// Pace is the pace factor: it multiplies all times of a group that runs this model.
	Pace float64
	// LoadTime is the time to load the model from the weight store. WarmupTime is the time to start a model that is
	// staged on the host.
	LoadTime   time.Duration
	WarmupTime time.Duration
}

// Model returns the model with a name.
func (engine *Engine) Model(name string) (Model, bool) {
	for _, model := range engine.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// Workspace is a customer and its API keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are the regions whose servers may run the requests. If empty, servers of all regions may.
	Regions []string
}

// Limits holds the limits on what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of the configuration that the operator sets.
type Configuration struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
