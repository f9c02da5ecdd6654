// Package demo runs a small deployment on loopback: stand-ins of the platform,
// of the engines and of a plain service, and entry nodes that know each other
// only through settings and the instance list.
//
// A World is everything but the nodes; `hazelslip standin` runs one for nodes
// in processes of their own, `hazelslip demo` runs one with its nodes.
//
// # Usage
//
//	world, err := demo.NewWorld(demo.BasePort(7000))
//	if err != nil { ... }
//	defer world.Stop()
//	for _, settings := range world.Settings() { node.New(settings) }
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

// The names of the demo's places.
const (
	Region      = "great-lakes"
	ServiceName = "scheduling"
)

// Shape is how large a World is.
type Shape struct {
	// DataCentres are named in the order of their ports.
	DataCentres []string
	// Regions names each data centre's region; where it is empty all are in
	// Region.
	Regions []string
	Nodes   int
	Domains int
	Engines int
	// Unchecked is how many domains, from the last one on, have engines that
	// ignore fencing numbers.
	Unchecked int
	Models    []settings.Model
}

// DefaultShape is the demo's own: two data centres with two nodes and two
// domains of eight engines each.
func DefaultShape() Shape {
	return Shape{
		DataCentres: []string{"lakes-a", "lakes-b"}, Nodes: 2, Domains: 2, Engines: 8, Unchecked: 1,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}, {Name: "summary", GroupSize: 2}},
	}
}

// StandinLabel is the profiler label of the stand-ins' goroutines.
const StandinLabel = "standin"

// The layout of ports, as offsets from the base port.
const (
	logPort     = 0
	listPort    = 1
	weightsPort = 2
	firstNode   = 10
	nodePorts   = 3
	// Services and engines begin here, or after the nodes where they are many.
	firstService = 80
	firstEngine  = 100

	listLag       = time.Second
	weightSlots   = 16
	weightTime    = 500 * time.Millisecond
	headerTimeout = 5 * time.Second
)

// World is a running set of stand-ins.
type World struct {
	Log     *platform.Log
	List    *platform.List
	Weights *platform.Weights
	Book    *service.ExecutionCounter
	Domains map[string]*engine.Domain
	Engines []*engine.Engine

	Services []*service.Service

	shape     Shape
	basePort  int
	rates     engine.Rates
	listen    func(address string) (net.Listener, error)
	servers   []*http.Server
	listeners []net.Listener
	serving   conc.WaitGroup
}

// Option changes how a World is built.
type Option func(*World)

// BasePort sets the first port; everything listens at fixed offsets from it.
func BasePort(port int) Option {
	return func(world *World) { world.basePort = port }
}

// Size sets how large the world is.
func Size(shape Shape) Option {
	return func(world *World) { world.shape = shape }
}

// Speed sets how fast the engines work.
func Speed(rates engine.Rates) Option {
	return func(world *World) { world.rates = rates }
}

// Listen sets how listeners are opened.
func Listen(listen func(address string) (net.Listener, error)) Option {
	return func(world *World) { world.listen = listen }
}

// NewWorld starts the stand-ins. The error says which port is taken.
func NewWorld(options ...Option) (*World, error) {
	world := &World{
		Log: platform.NewLog(), List: platform.NewList(listLag), Weights: platform.NewWeights(weightSlots, weightTime),
		Book: service.NewExecutionCounter(), Domains: map[string]*engine.Domain{}, basePort: 7000, shape: DefaultShape(), rates: engine.DefaultRates,
		listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
	}
	for _, option := range options {
		option(world)
	}
	if err := world.start(); err != nil {
		world.Stop()
		return nil, err
	}
	return world, nil
}

// unchecked lists the domains whose engines ignore fencing numbers.
func (world *World) unchecked() []string {
	names := []string{}
	for index := range world.shape.DataCentres {
		for domain := range world.shape.Domains {
			names = append(names, world.domainName(index, domain))
		}
	}
	return names[len(names)-world.shape.Unchecked:]
}

func (world *World) region(dataCentre int) string {
	if len(world.shape.Regions) == 0 {
		return Region
	}
	return world.shape.Regions[dataCentre]
}

func (world *World) domainName(dataCentre, domain int) string {
	return fmt.Sprintf("%s-fabric-%d", world.shape.DataCentres[dataCentre], domain+1)
}

// afterNodes moves an offset beyond the nodes' ports.
func (world *World) afterNodes(offset int) int {
	nodes := firstNode + len(world.shape.DataCentres)*world.shape.Nodes*nodePorts
	return offset + max(0, nodes-firstService)
}

func (world *World) address(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", world.basePort+offset)
}

func (world *World) start() error {
	world.serve(logPort, world.Log.Handler())
	world.serve(listPort, world.List.Handler())
	world.serve(weightsPort, world.Weights.Handler())
	for index, dataCentre := range world.shape.DataCentres {
		world.startEngines(index, dataCentre)
		world.startService(index, dataCentre)
		for each := range world.shape.Nodes {
			world.listNode(index*world.shape.Nodes+each, dataCentre)
		}
	}
	if len(world.listeners) != len(world.servers) {
		return errors.Newf("a port from %d on is taken; name another with --base-port", world.basePort)
	}
	for index, server := range world.servers {
		world.serving.Go(func() {
			// The label keeps the stand-ins apart from the nodes in a profile.
			pprof.Do(context.Background(), pprof.Labels(lifecycle.Label, StandinLabel), func(context.Context) {
				_ = server.Serve(world.listeners[index])
			})
		})
	}
	return nil
}

// serve opens a listener; start checks that all could be opened.
func (world *World) serve(offset int, handler http.Handler) {
	world.servers = append(world.servers, &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout})
	listener, err := world.listen(world.address(offset))
	if err != nil {
		return
	}
	world.listeners = append(world.listeners, listener)
}

func (world *World) startEngines(index int, dataCentre string) {
	for domain := range world.shape.Domains {
		name := world.domainName(index, domain)
		world.Domains[name] = engine.NewDomain(world.Weights)
		for each := range world.shape.Engines {
			offset := world.afterNodes(firstEngine) + (index*world.shape.Domains+domain)*world.shape.Engines + each
			id := fmt.Sprintf("%s-engine-%d", name, each+1)
			created := engine.New(id, world.address(offset), world.Domains[name], engine.ChecksFencing(!slices.Contains(world.unchecked(), name)), engine.WithRates(world.rates))
			world.Engines = append(world.Engines, created)
			world.serve(offset, created.Handler())
			world.List.Put(instancelist.Instance{
				ID: id, Address: world.address(offset), Role: instancelist.RoleEngine, Region: world.region(index),
				DataCentre: dataCentre, FabricDomain: name,
			})
		}
	}
}

func (world *World) startService(index int, dataCentre string) {
	id := fmt.Sprintf("%s-%s", dataCentre, ServiceName)
	created := service.New(id, world.Book)
	world.Services = append(world.Services, created)
	world.serve(world.afterNodes(firstService)+index, created.Handler())
	world.List.Put(instancelist.Instance{
		ID: id, Address: world.address(world.afterNodes(firstService) + index), Role: instancelist.RoleService, Region: world.region(index),
		DataCentre: dataCentre, Service: ServiceName,
	})
}

func (world *World) listNode(index int, dataCentre string) {
	world.List.Put(instancelist.Instance{
		ID: world.nodeName(index, dataCentre), Address: world.nodeAddress(index, peerPort), Role: instancelist.RoleEntry,
		Region: world.region(index / world.shape.Nodes), DataCentre: dataCentre,
	})
}

func (world *World) nodeName(index int, dataCentre string) string {
	return fmt.Sprintf("%s-entry-%d", dataCentre, index%world.shape.Nodes+1)
}

// The ports of one node, in order.
const (
	callerPort = iota
	operatorPort
	peerPort
)

func (world *World) nodeAddress(index, port int) string {
	return world.address(firstNode + index*nodePorts + port)
}

// Settings returns the settings of the nodes, by name.
func (world *World) Settings() []settings.Node {
	all := []settings.Node{}
	for index := range len(world.shape.DataCentres) * world.shape.Nodes {
		dataCentre := world.shape.DataCentres[index/world.shape.Nodes]
		node := settings.Default()
		node.Name, node.Region, node.DataCentre = world.nodeName(index, dataCentre), world.region(index/world.shape.Nodes), dataCentre
		node.Listen = settings.Listen{
			Caller: world.nodeAddress(index, callerPort), Operator: world.nodeAddress(index, operatorPort),
			Peer: world.nodeAddress(index, peerPort),
		}
		node.Platform = settings.Platform{
			LogService: "http://" + world.address(logPort), InstanceList: "http://" + world.address(listPort),
			WeightStore: "http://" + world.address(weightsPort),
		}
		node.Peers.Seeds = []string{world.nodeAddress(0, peerPort)}
		node.Engines.UncheckedDomains = world.unchecked()
		node.Models = world.shape.Models
		node.Services = []settings.Service{{Name: ServiceName, Repeatable: []string{http.MethodGet}}}
		node.Stopping = settings.Stopping{NoticeSeconds: 1, DrainSeconds: 60}
		all = append(all, node)
	}
	return all
}

// Stop ends the stand-ins.
func (world *World) Stop() {
	for _, server := range world.servers {
		server.Close()
	}
	for _, listener := range world.listeners {
		listener.Close()
	}
	world.serving.Wait()
	for _, domain := range world.Domains {
		domain.Close()
	}
}
