// Package demo runs a small deployment on loopback: stand-ins of the platform,
// the engines and a plain service. Entry nodes find each other only through
// their settings and the instance list.
//
// An Environment is the deployment without its nodes. `hazelslip standin` runs
// one for nodes in separate processes; `hazelslip demo` runs one together with
// its nodes.
//
// # Usage
//
//	environment, err := demo.NewEnvironment(demo.BasePort(7000))
//	if err != nil { ... }
//	defer environment.Stop()
//	for _, settings := range environment.Settings() { node.New(settings) }
package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/pprof"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/peer/instancelist"
	"hazelslip/internal/run/settings"
	"hazelslip/internal/standin/engine"
	"hazelslip/internal/standin/platform"
	"hazelslip/internal/standin/service"
)

// Region and ServiceName are the demo's default region and its plain service.
const (
	Region      = "great-lakes"
	ServiceName = "scheduling"
)

// Shape is the size and layout of an Environment.
type Shape struct {
	// DataCentres lists the data centre names, in the order of their ports.
	DataCentres []string
	// Regions lists the region of each data centre. If it is empty, all data
	// centres are in Region.
	Regions []string
	Nodes   int
	Domains int
	Engines int
	// UncheckedDomains is how many domains, counted from the last, have engines
	// that ignore fencing tokens.
	UncheckedDomains int
	Models           []settings.Model
}

// DefaultShape returns the shape of `hazelslip demo`: two data centres, each with two
// nodes and two domains of eight engines.
func DefaultShape() Shape {
	return Shape{
		DataCentres: []string{"lakes-a", "lakes-b"}, Nodes: 2, Domains: 2, Engines: 8, UncheckedDomains: 1,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}, {Name: "summary", GroupSize: 2}},
	}
}

// StandinLabel is the profiler label value of the stand-ins' goroutines.
const StandinLabel = "standin"

// Port offsets from the base port. Each node has nodePorts consecutive ports.
const (
	logPort     = 0
	listPort    = 1
	weightsPort = 2
	firstNode   = 10
	nodePorts   = 3
	// Services and engines start at these offsets, or further up if the nodes need more ports.
	firstService = 80
	firstEngine  = 100

	// listLag is the delay until the instance list shows a change. The weight store runs up to weightSlots
	// loads at once, and each takes weightLoadTime.
	listLag        = time.Second
	weightSlots    = 16
	weightLoadTime = 500 * time.Millisecond
	headerTimeout  = 5 * time.Second
)

// Environment is a running set of stand-ins.
type Environment struct {
	Log              *platform.Log
	List             *platform.List
	Weights          *platform.Weights
	ExecutionCounter *service.ExecutionCounter
	Domains          map[string]*engine.Domain
	Engines          []*engine.Engine

	Services []*service.Service

	shape     Shape
	basePort  int
	rates     engine.Rates
	listen    func(address string) (net.Listener, error)
	servers   []*http.Server
	listeners []net.Listener
	serving   conc.WaitGroup
}

// Option configures an Environment.
type Option func(*Environment)

// BasePort sets the first port. All listeners are at fixed offsets from it.
func BasePort(port int) Option {
	return func(environment *Environment) { environment.basePort = port }
}

// Size sets the shape of the environment.
func Size(shape Shape) Option {
	return func(environment *Environment) { environment.shape = shape }
}

// Speed sets the processing rates of the engines.
func Speed(rates engine.Rates) Option {
	return func(environment *Environment) { environment.rates = rates }
}

// Listen sets the function that opens listeners.
func Listen(listen func(address string) (net.Listener, error)) Option {
	return func(environment *Environment) { environment.listen = listen }
}

// NewEnvironment starts the stand-ins. It fails if a port is in use.
func NewEnvironment(options ...Option) (*Environment, error) {
	environment := &Environment{
		Log: platform.NewLog(), List: platform.NewList(listLag), Weights: platform.NewWeights(weightSlots, weightLoadTime),
		ExecutionCounter: service.NewExecutionCounter(), Domains: map[string]*engine.Domain{}, basePort: 7000, shape: DefaultShape(), rates: engine.DefaultRates,
		listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
	}
	for _, option := range options {
		option(environment)
	}
	if err := environment.start(); err != nil {
		environment.Stop()
		return nil, err
	}
	return environment, nil
}

// uncheckedDomains lists the domains whose engines ignore fencing tokens.
func (environment *Environment) uncheckedDomains() []string {
	names := []string{}
	for index := range environment.shape.DataCentres {
		for domain := range environment.shape.Domains {
			names = append(names, environment.domainName(index, domain))
		}
	}
	return names[len(names)-environment.shape.UncheckedDomains:]
}

func (environment *Environment) region(dataCentre int) string {
	if len(environment.shape.Regions) == 0 {
		return Region
	}
	return environment.shape.Regions[dataCentre]
}

func (environment *Environment) domainName(dataCentre, domain int) string {
	return fmt.Sprintf("%s-fabric-%d", environment.shape.DataCentres[dataCentre], domain+1)
}

// offsetAfterNodes raises an offset so that it lies beyond the ports of the nodes.
func (environment *Environment) offsetAfterNodes(offset int) int {
	nodes := firstNode + len(environment.shape.DataCentres)*environment.shape.Nodes*nodePorts
	return offset + max(0, nodes-firstService)
}

func (environment *Environment) address(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", environment.basePort+offset)
}

func (environment *Environment) start() error {
	environment.addServer(logPort, environment.Log.Handler())
	environment.addServer(listPort, environment.List.Handler())
	environment.addServer(weightsPort, environment.Weights.Handler())
	for index, dataCentre := range environment.shape.DataCentres {
		environment.startEngines(index, dataCentre)
		environment.startService(index, dataCentre)
		for number := range environment.shape.Nodes {
			environment.registerNode(index*environment.shape.Nodes+number, dataCentre)
		}
	}
	if len(environment.listeners) != len(environment.servers) {
		return errors.Newf("a port in the range that starts at %d is in use; choose another range with --base-port", environment.basePort)
	}
	for index, server := range environment.servers {
		environment.serving.Go(func() {
			// The label distinguishes the stand-ins from the nodes in a profile.
			pprof.Do(context.Background(), pprof.Labels(lifecycle.Label, StandinLabel), func(context.Context) {
				_ = server.Serve(environment.listeners[index])
			})
		})
	}
	return nil
}

// addServer opens a listener for a server. start checks that all listeners could be opened.
func (environment *Environment) addServer(offset int, handler http.Handler) {
	environment.servers = append(environment.servers, &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout})
	listener, err := environment.listen(environment.address(offset))
	if err != nil {
		return
	}
	environment.listeners = append(environment.listeners, listener)
}

func (environment *Environment) startEngines(index int, dataCentre string) {
	for domain := range environment.shape.Domains {
		name := environment.domainName(index, domain)
		environment.Domains[name] = engine.NewDomain(environment.Weights)
		for number := range environment.shape.Engines {
			offset := environment.offsetAfterNodes(firstEngine) + (index*environment.shape.Domains+domain)*environment.shape.Engines + number
			id := fmt.Sprintf("%s-engine-%d", name, number+1)
			engineServer := engine.New(id, environment.address(offset), environment.Domains[name], engine.ChecksFencing(!slices.Contains(environment.uncheckedDomains(), name)), engine.WithRates(environment.rates))
			environment.Engines = append(environment.Engines, engineServer)
			environment.addServer(offset, engineServer.Handler())
			environment.List.Put(instancelist.Instance{
				ID: id, Address: environment.address(offset), Role: instancelist.RoleEngine, Region: environment.region(index),
				DataCentre: dataCentre, FabricDomain: name,
			})
		}
	}
}

func (environment *Environment) startService(index int, dataCentre string) {
	id := fmt.Sprintf("%s-%s", dataCentre, ServiceName)
	plainService := service.New(id, environment.ExecutionCounter)
	environment.Services = append(environment.Services, plainService)
	environment.addServer(environment.offsetAfterNodes(firstService)+index, plainService.Handler())
	environment.List.Put(instancelist.Instance{
		ID: id, Address: environment.address(environment.offsetAfterNodes(firstService) + index), Role: instancelist.RoleService, Region: environment.region(index),
		DataCentre: dataCentre, Service: ServiceName,
	})
}

func (environment *Environment) registerNode(index int, dataCentre string) {
	environment.List.Put(instancelist.Instance{
		ID: environment.nodeName(index, dataCentre), Address: environment.nodeAddress(index, peerPort), Role: instancelist.RoleEntry,
		Region: environment.region(index / environment.shape.Nodes), DataCentre: dataCentre,
	})
}

func (environment *Environment) nodeName(index int, dataCentre string) string {
	return fmt.Sprintf("%s-entry-%d", dataCentre, index%environment.shape.Nodes+1)
}

// The ports of one node, as offsets from its first port.
const (
	callerPort = iota
	operatorPort
	peerPort
)

func (environment *Environment) nodeAddress(index, port int) string {
	return environment.address(firstNode + index*nodePorts + port)
}

// Settings returns the settings of all nodes, in the order of their ports.
func (environment *Environment) Settings() []settings.Node {
	all := []settings.Node{}
	for index := range len(environment.shape.DataCentres) * environment.shape.Nodes {
		dataCentre := environment.shape.DataCentres[index/environment.shape.Nodes]
		nodeSettings := settings.Default()
		nodeSettings.Name, nodeSettings.Region, nodeSettings.DataCentre = environment.nodeName(index, dataCentre), environment.region(index/environment.shape.Nodes), dataCentre
		nodeSettings.Listen = settings.Listen{
			Caller: environment.nodeAddress(index, callerPort), Operator: environment.nodeAddress(index, operatorPort),
			Peer: environment.nodeAddress(index, peerPort),
		}
		nodeSettings.Platform = settings.Platform{
			LogService: "http://" + environment.address(logPort), InstanceList: "http://" + environment.address(listPort),
			WeightStore: "http://" + environment.address(weightsPort),
		}
		nodeSettings.Peers.Seeds = []string{environment.nodeAddress(0, peerPort)}
		nodeSettings.Engines.UncheckedDomains = environment.uncheckedDomains()
		nodeSettings.Models = environment.shape.Models
		nodeSettings.Services = []settings.Service{{Name: ServiceName, Repeatable: []string{http.MethodGet}}}
		nodeSettings.Stopping = settings.Stopping{NoticeSeconds: 1, DrainSeconds: 60}
		all = append(all, nodeSettings)
	}
	return all
}

// Stop stops the stand-ins.
func (environment *Environment) Stop() {
	for _, server := range environment.servers {
		server.Close()
	}
	for _, listener := range environment.listeners {
		listener.Close()
	}
	environment.serving.Wait()
	for _, domain := range environment.Domains {
		domain.Close()
	}
}
