package gateway

import (
	"cmp"
	"time"
)

// Settings configures a gateway node.
type Settings struct {
	Name       string
	DataCentre string
	Region     string
	// Regions maps data centres to their regions.
	Regions map[string]string
	Listen  Listen
	// Seeds are the peer addresses to contact first if the store doesn't respond.
	Seeds []string
	// FirstStart is true if the whole deployment starts for the first time, so that it has never received a
	// request. A restarted node has received none either, but must not conclude that the deployment is new.
	FirstStart bool
	// Store is the address of the platform's store.
	Store  string
	Bounds Bounds
	Limits Limits
}

// Listen holds the addresses (host:port) that the node listens on.
type Listen struct {
	// Caller serves callers, behind the platform's load balancer.
	Caller string
	// Readiness serves the load balancer's readiness checks.
	Readiness string
	// Operator serves the state dump and the metrics. Empty disables it.
	Operator string
	// Peer serves other nodes.
	Peer string
	// PeerAdvertised is the address under which other nodes reach Peer. Empty means the same address.
	PeerAdvertised string
	// Detour serves requests that other nodes forward because they don't reach the servers. If it is empty,
	// this node forwards no requests through other nodes either.
	Detour string
}

// advertised returns the address under which other nodes reach this one.
func (listen *Listen) advertised() string {
	return cmp.Or(listen.PeerAdvertised, listen.Peer)
}

// Limits bounds the resources of the process.
type Limits struct {
	MemoryBytes int64
	// MaxDescriptors bounds the open descriptors of the process, 0 if only the system bounds them.
	MaxDescriptors int
	// Millicores is the CPU share of the process in thousandths of a core, 0 if unknown.
	Millicores uint32
}

// Bounds holds the deployment's limits and time spans.
type Bounds struct {
	// Grace is how long the process may run after it was told to stop.
	Grace time.Duration
	// Stall is how long a group that lost a member keeps accepting calls.
	Stall time.Duration
	// LoadWindow and LoadBurst bound the model loads from the weight store: within any LoadWindow, LoadBurst
	// times what the configured rate allows.
	LoadWindow time.Duration
	LoadBurst  float64
	// RetryRatio, RetryBase and RetryWindow bound the retries of all nodes together: within any RetryWindow,
	// RetryRatio times the number of requests plus RetryBase.
	RetryRatio  float64
	RetryBase   float64
	RetryWindow time.Duration
	// PropagationTime is how long it may take until all nodes act on a change, 0 if unknown.
	PropagationTime time.Duration
	// ColdOvershoot and ColdTolerance bound the requests per second sent to a cold server: at most
	// ColdOvershoot times its capacity, plus ColdTolerance requests.
	ColdOvershoot float64
	ColdTolerance float64
}

// regionOf returns the region of a data centre, or an empty string if it is unknown.
func (settings *Settings) regionOf(dataCentre string) string {
	if dataCentre == settings.DataCentre {
		return settings.Region
	}
	return settings.Regions[dataCentre]
}

// Check returns a message for each setting that is missing or out of range.
func (settings *Settings) Check() []string {
	problems := []string{}
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
			problems = append(problems, field.name+" is missing")
		}
	}
	positive := []struct {
		name  string
		value time.Duration
	}{{"Bounds.Grace", settings.Bounds.Grace}, {"Bounds.Stall", settings.Bounds.Stall}, {"Bounds.RetryWindow", settings.Bounds.RetryWindow}}
	for _, field := range positive {
		if field.value <= 0 {
			problems = append(problems, field.name+" must be above 0")
		}
	}
	return problems
}
