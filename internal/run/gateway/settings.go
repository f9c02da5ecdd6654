package gateway

import (
	"cmp"
	"time"
)

// Settings is what a gateway node is told of itself and its deployment.
type Settings struct {
	Name       string
	DataCentre string
	Region     string
	// Regions are the regions of data centres.
	Regions map[string]string
	Listen  Listen
	// Seeds are peer addresses to begin with when the store does not answer.
	Seeds []string
	// FirstStart says that the whole deployment starts for the first time, so that
	// nothing was asked of it before. A node that starts again has seen no request
	// either, and must not take that for it.
	FirstStart bool
	// Store is the address of the platform's store.
	Store  string
	Bounds Bounds
	Limits Limits
}

// Listen holds the addresses, host:port, that the node serves at.
type Listen struct {
	// Caller is for callers, behind the platform's balancer.
	Caller string
	// Readiness is where the balancer asks whether the node takes connections.
	Readiness string
	// Operator serves the state dump and the metrics; empty for none.
	Operator string
	// Peer is for other nodes.
	Peer string
	// PeerAdvertised is where other nodes reach Peer, where that is another address;
	// empty for the same.
	PeerAdvertised string
	// Detour is for requests of nodes that don't reach the servers; empty for none, and then this
	// node sends none through others.
	Detour string
}

// advertised is where other nodes reach this one.
func (listen *Listen) advertised() string {
	return cmp.Or(listen.PeerAdvertised, listen.Peer)
}

// Limits bounds what the process may use.
type Limits struct {
	MemoryBytes int64
	// Processor is the share of a processor, in thousandths of a core; 0 where
	// it isn't known.
	Processor uint32
}

// Bounds are the deployment's figures.
type Bounds struct {
	// Grace is how long the process has after it was told to stop.
	Grace time.Duration
	// Stall is how long a group that lost a member goes on accepting calls.
	Stall time.Duration
	// LoadWindow and LoadBurst bound loads from the weight store.
	LoadWindow time.Duration
	LoadBurst  float64
	// RetryRatio, RetryLeast and RetryWindow bound repeats, by all nodes
	// together.
	RetryRatio  float64
	RetryLeast  float64
	RetryWindow time.Duration
	// Settle is how long all nodes may take to act on what has changed; 0 if it isn't
	// known.
	Settle time.Duration
	// ColdOvershoot and ColdTolerance bound what a cold server may get in a second: so many
	// times what it bears, and so many requests more.
	ColdOvershoot float64
	ColdTolerance float64
}

// regionOf returns the region of a data centre, empty if it isn't known.
func (settings *Settings) regionOf(dataCentre string) string {
	if dataCentre == settings.DataCentre {
		return settings.Region
	}
	return settings.Regions[dataCentre]
}

// Check returns what is missing or out of range, in words.
func (settings *Settings) Check() []string {
	mistakes := []string{}
	required := []struct{ name, value string }{
		{"Name", settings.Name},
		{"DataCentre", settings.DataCentre},
		{"Listen.Caller", settings.Listen.Caller},
		{"Listen.Readiness", settings.Listen.Readiness},
		{"Listen.Peer", settings.Listen.Peer},
		{"Store", settings.Store},
	}
	for _, field := range required {
		if field.value == "" {
			mistakes = append(mistakes, field.name+" is missing")
		}
	}
	positive := []struct {
		name  string
		value time.Duration
	}{{"Bounds.Grace", settings.Bounds.Grace}, {"Bounds.Stall", settings.Bounds.Stall}, {"Bounds.RetryWindow", settings.Bounds.RetryWindow}}
	for _, field := range positive {
		if field.value <= 0 {
			mistakes = append(mistakes, field.name+" must be above 0")
		}
	}
	return mistakes
}
