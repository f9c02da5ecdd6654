// Package node builds an entry node from its components and runs it.
//
// All entry nodes have the same role. A node serves callers, watches and repairs the fabric domains assigned to it,
// follows the streams of the platform's log, and exchanges state with the other nodes. A node stores nothing on disk.
// The loss of a node loses only its requests in flight and its tickets.
//
// # Usage
//
//	node, err := node.New(settings, node.Logger(logger))
//	if err != nil { ... }
//	node.Start()
//	node.Stop() // a graceful shutdown
//	<-node.Done
package node

import (
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	randv2 "math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/common/metering"
	"hazelslip/internal/fleet/fabric"
	"hazelslip/internal/fleet/member"
	"hazelslip/internal/fleet/replica"
	"hazelslip/internal/peer/caller"
	"hazelslip/internal/peer/engine"
	"hazelslip/internal/peer/instancelist"
	"hazelslip/internal/peer/logservice"
	peer "hazelslip/internal/peer/node"
	"hazelslip/internal/peer/operator"
	"hazelslip/internal/peer/service"
	"hazelslip/internal/peer/weightstore"
	"hazelslip/internal/policy/admission"
	"hazelslip/internal/policy/memory"
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/policy/route"
	"hazelslip/internal/run/settings"
	"hazelslip/internal/serve/draft"
	"hazelslip/internal/serve/inbound"
	"hazelslip/internal/serve/journal"
	"hazelslip/internal/state/booking"
	"hazelslip/internal/state/class"
	"hazelslip/internal/state/lease"
	"hazelslip/internal/state/stream"
)

// peerMeters counts the connections to each kind of peer and the bytes that cross them.
type peerMeters struct {
	platform metering.Traffic
	engines  metering.Traffic
	drafts   metering.Traffic
	peers    metering.Traffic
}

// Node is one entry node.
type Node struct {
	*lifecycle.Component
	Incarnation uint64

	settings settings.Node
	logger   *slog.Logger
	now      clock.Now
	dial     metering.DialFunc
	listen   func(address string) (net.Listener, error)
	random   *lockedRandom

	logClient          *logservice.Client
	instanceListClient *instancelist.Client
	weightClient       *weightstore.Client
	engines            *engine.Client
	// draftEngines has its own connections, so that draft traffic and control traffic to engines are separate.
	draftEngines    *engine.Client
	meters          peerMeters
	policies        Policies
	services        *service.Client
	peers           *peer.Client
	peerServer      *peer.Server
	members         *member.Table
	serverStatuses  *fabric.StatusTable
	watcher         *fabric.Watcher
	groupController *replica.Controller
	availability    *replica.AvailabilityMeter
	groups          atomic.Pointer[replica.Snapshot]
	router          *route.Router
	admissionGate   *admission.Gate
	drafts          *draft.Server
	callerServices  *caller.Services
	journal         *journal.Journal
	classes         *class.Table
	leases          *lease.Table
	leaseManager    *lease.Manager
	bookingTable    *booking.Table
	bookings        *booking.Executor
	relayBatcher    *booking.Batcher
	appendBatcher   *booking.Batcher
	streams         []*stream.Follower
	exchanger       *exchanger
	listReader      *listReader

	transport      *http.Transport
	inbound        *inbound.Guard
	callerServer   *http.Server
	operatorServer *http.Server
	listeners      []net.Listener

	startedAt time.Duration
	stopping  atomic.Bool
	requests  requestTracker
	stopOnce  sync.Once
}

// Option configures a Node.
type Option func(*Node)

// Logger sets the logger; the default is slog.Default.
func Logger(logger *slog.Logger) Option {
	return func(node *Node) { node.logger = logger }
}

// Clock sets the monotonic clock; the default is clock.Boot.
func Clock(now clock.Now) Option {
	return func(node *Node) { node.now = now }
}

// Network sets the functions that open connections and listeners, in place of those of the net package.
func Network(dial metering.DialFunc, listen func(address string) (net.Listener, error)) Option {
	return func(node *Node) { node.dial, node.listen = dial, listen }
}

// Policies holds options for the node's policies under load. Benchmarks use them to compare the default policies with
// simpler ones.
type Policies struct {
	Route     []route.Option
	Admission []admission.Option
	Retry     []retry.Option
}

// UsePolicies sets the options of the node's policies.
func UsePolicies(policies Policies) Option {
	return func(node *Node) { node.policies = policies }
}

// Seed makes the node's random choices reproducible and sets its incarnation to the seed.
func Seed(seed uint64) Option {
	return func(node *Node) {
		node.random = newRandom(seed)
		node.Incarnation = seed
	}
}

// New builds a node and opens its listeners, but does not start it. An error names the address at which the node could
// not listen.
func New(settings settings.Node, options ...Option) (*Node, error) {
	created := &Node{
		Component: lifecycle.New("node"), settings: settings, logger: slog.Default(), now: clock.Boot,
		listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
	}
	created.Incarnation = newIncarnation()
	created.random = newRandom(created.Incarnation)
	for _, option := range options {
		option(created)
	}
	if err := created.listenAll(); err != nil {
		return nil, err
	}
	created.build()
	return created, nil
}

func newIncarnation() uint64 {
	var random [8]byte
	// crypto/rand.Read never fails on the systems that Go supports.
	_, _ = rand.Read(random[:])
	return binary.BigEndian.Uint64(random[:]) | 1
}

// lockedRandom is a source of random numbers that is safe for concurrent use.
type lockedRandom struct {
	mu     sync.Mutex
	source *randv2.Rand
}

func newRandom(seed uint64) *lockedRandom {
	return &lockedRandom{source: randv2.New(randv2.NewPCG(seed, seed>>1|1))}
}

func (random *lockedRandom) intN(n int) int {
	random.mu.Lock()
	defer random.mu.Unlock()
	return random.source.IntN(n)
}

func (node *Node) listenAll() error {
	for _, address := range []string{node.settings.Listen.Caller, node.settings.Listen.Operator, node.settings.Listen.Peer} {
		listener, err := node.listen(address)
		if err != nil {
			for _, opened := range node.listeners {
				opened.Close()
			}
			return errors.Wrapf(err, "listen on %s; set another address in the Listen settings", address)
		}
		node.listeners = append(node.listeners, listener)
	}
	return nil
}

// Indexes of Node.listeners, in the order in which listenAll opens them.
const (
	callerListener = iota
	operatorListener
	peerListener
)

// Addresses returns the addresses at which the node listens for callers, operators and peers.
func (node *Node) Addresses() (callers, operators, peers string) {
	return node.listeners[callerListener].Addr().String(),
		node.listeners[operatorListener].Addr().String(),
		node.listeners[peerListener].Addr().String()
}

func (node *Node) build() {
	node.buildPeers()
	node.buildState()
	node.buildFleet()
	node.buildServing()
	node.exchanger = newExchanger(node)
	node.listReader = newListReader(node)
}

func (node *Node) buildPeers() {
	node.transport = &http.Transport{DialContext: node.meters.platform.WrapDial(node.dialer()), MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	node.logClient = logservice.New(node.settings.Platform.LogService, node.transport)
	node.instanceListClient = instancelist.New(node.settings.Platform.InstanceList, node.transport)
	node.weightClient = weightstore.New(node.settings.Platform.WeightStore, node.transport)
	node.engines = engine.New(engine.Dial(node.meters.engines.WrapDial(node.dialer())))
	node.draftEngines = engine.New(engine.Dial(node.meters.drafts.WrapDial(node.dialer())))
	node.services = service.New(service.Dial(node.dialer()))
	node.peers = peer.NewClient(peer.Dial(node.meters.peers.WrapDial(node.dialer())))
	node.peerServer = peer.NewServer(node.listeners[peerListener], node.meters.peers.WrapConn, node.handleRequest)
	_, _, address := node.Addresses()
	node.members = member.New(member.Self{
		Incarnation: node.Incarnation, Name: node.settings.Name, Region: node.settings.Region,
		DataCentre: node.settings.DataCentre, Address: address,
	}, node.now)
}

// dialer returns the function that opens the node's connections. Without the Network option it is that of net.Dialer,
// with a timeout short enough that the node can still try another server.
func (node *Node) dialer() metering.DialFunc {
	if node.dial != nil {
		return node.dial
	}
	return (&net.Dialer{Timeout: dialTimeout}).DialContext
}

const dialTimeout = 500 * time.Millisecond

// Indexes of Node.streams, one for each stream that the node follows.
const (
	configStream = iota
	groupStream
	bookingStream
)

func (node *Node) buildState() {
	node.classes = class.New()
	node.leases = lease.New(node.now)
	node.bookingTable = booking.NewTable(time.Duration(node.settings.Limits.BookingWindowMinutes) * time.Minute)
	node.streams = []*stream.Follower{
		configStream:  node.newFollower(class.StreamName, node.classes.StateMachine()),
		groupStream:   node.newFollower("Groups."+node.settings.DataCentre, node.leases.StateMachine()),
		bookingStream: node.newFollower("Bookings."+node.settings.Region, node.bookingTable.StateMachine()),
	}
	groups, bookings := node.streams[groupStream], node.streams[bookingStream]
	node.leaseManager = &lease.Manager{
		Incarnation: node.Incarnation, Table: node.leases, Now: node.now,
		Append: groups.Append, Ready: groups.Ready,
	}
	node.appendBatcher = booking.NewBatcher(node.appendBatch)
	node.relayBatcher = booking.NewBatcher(node.relayBatch)
	node.bookings = booking.New(node.Incarnation, node.bookingTable,
		booking.StreamStatus{Ready: bookings.Ready, LogUnavailable: bookings.LogUnavailable}, node.relayBatcher,
		booking.Clock(node.now), booking.AskHolder(node.queryClaimHolder))
}

func (node *Node) newFollower(name string, stateMachine stream.StateMachine) *stream.Follower {
	return stream.New(name, stateMachine, stream.Read(node.logClient.Read), stream.Append(node.logClient.Append),
		stream.Clock(node.now), stream.Logger(node.logger))
}

func (node *Node) buildFleet() {
	node.serverStatuses = fabric.New(node.now)
	node.availability = replica.NewAvailabilityMeter(node.now())
	node.groups.Store(replica.Assemble(node.serverStatuses.Snapshot(), node.now()))
	node.watcher = fabric.NewWatcher(node.serverStatuses, node.members.OwnsDuty, node.engines.Report, node.probeViaPeer)
	node.groupController = &replica.Controller{
		Incarnation: node.Incarnation, Snapshot: node.groups.Load, Servers: node.serverStatuses.Snapshot,
		Owns: node.mayPlan, Models: node.requestedModels, SendOrder: node.engines.Order, AuthorizeOrders: node.acquireOrderRight,
		StoreSaturated: node.weightStoreBusy,
		Record:         node.recordGroupEvent, Now: node.now, Random: node.random.intN, Logger: node.logger,
		Grace:     time.Duration(node.settings.Engines.GraceSeconds) * time.Second,
		IdlePrice: node.settings.Prices.StrandedInstance,
	}
}

func (node *Node) buildServing() {
	node.inbound = inbound.New(inbound.Budget(memory.New(headMemoryBytes)))
	node.router = route.New(append([]route.Option{route.Random(node.random.intN)}, node.policies.Route...)...)
	node.callerServices = node.newCallerServices()
	node.admissionGate = admission.New(node.policies.Admission...)
	node.journal = journal.New(node.settings.Limits.JournalRequests)
	node.drafts = draft.New(node.router, node.admissionGate, node.draftEngines.Generate, func() int { return len(node.members.Live()) }, node.now, retry.New(node.policies.Retry...))
	handler := &caller.Handler{
		Classes: node.classes.Snapshot, Drafts: node.drafts, Journal: node.journal, Ready: node.Ready,
		TrackRequest: node.requests.begin, MaxBodyBytes: node.settings.Limits.MaxBodyBytes,
		Services: node.callerServices,
	}
	operatorHandler := &operator.Handler{
		Ready: node.Ready, State: func() any { return node.State() }, Groups: node.groupInfos,
		Classes: node.classes, Submit: node.newSubmitter().Submit, Explain: node.explain,
		Booking: node.bookingInfo, Metrics: node.metrics,
	}
	maxCallers := min(maxCallerConns, inbound.Sockets(0)/2)
	node.callerServer = node.newServer(callerListener, "Callers", maxCallers, handler.Handler())
	node.operatorServer = node.newServer(operatorListener, "Operator", maxOperatorConns, operatorHandler.Handler())
}

// newServer creates a server whose clients are bounded, and replaces its listener.
func (node *Node) newServer(listener int, name string, maxConns int, handler http.Handler) *http.Server {
	address := node.inbound.NewAddress(name, inbound.MaxConns(maxConns), inbound.CurrentLimits(func() inbound.Limits {
		return inbound.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	}))
	node.listeners[listener] = address.Listen(node.listeners[listener])
	server := address.Server(handler)
	server.ReadTimeout, server.ErrorLog = requestTimeout, slog.NewLogLogger(node.logger.Handler(), slog.LevelDebug)
	return server
}

const (
	// headMemoryBytes is the budget for large heads of callers and operators, who together get half of it.
	headMemoryBytes = 8 << 20
	// headerTimeout and requestTimeout bound reading a head and a whole request, idleTimeout the time between requests.
	headerTimeout  = 5 * time.Second
	requestTimeout = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	// maxCallerConns and maxOperatorConns bound the connections at each address.
	maxCallerConns   = 2048
	maxOperatorConns = 64
)

func (node *Node) newSubmitter() *class.Submitter {
	return &class.Submitter{Table: node.classes, Follower: node.streams[configStream]}
}

func (node *Node) newCallerServices() *caller.Services {
	return &caller.Services{
		Known: func(name string) bool { _, ok := node.findService(name); return ok },
		Retryable: func(name, method string) bool {
			configured, _ := node.findService(name)
			return slices.Contains(configured.Repeatable, method)
		},
		Addresses: node.serviceAddresses, Call: node.services.Call, Bookings: node.bookings,
		ForwardToIssuer: node.forwardTicketCall, Incarnation: node.Incarnation,
		MaxBodyBytes: node.settings.Limits.MaxBodyBytes, Budget: retry.New(),
	}
}

func (node *Node) findService(name string) (settings.Service, bool) {
	for _, configured := range node.settings.Services {
		if configured.Name == name {
			return configured, true
		}
	}
	return settings.Service{}, false
}

// Start starts all components of the node.
func (node *Node) Start() {
	node.startedAt = node.now()
	for _, follower := range node.streams {
		follower.Start()
	}
	node.appendBatcher.Start()
	node.relayBatcher.Start()
	node.bookings.Start()
	node.peerServer.Start()
	node.listReader.start()
	node.exchanger.start()
	node.watcher.Start()
	node.startView()
	node.groupController.Start()
	node.EveryNamed("clients", inbound.SweepInterval, node.inbound.Sweep)
	node.EveryNamed("checkpoint", checkpointInterval, node.checkpoint)
	node.GoNamed("operator", func() { node.serveHTTP(node.operatorServer, node.listeners[operatorListener]) })
	node.GoNamed("caller", func() { node.serveHTTP(node.callerServer, node.listeners[callerListener]) })
	node.logger.Info("node: started.", "Name", node.settings.Name, "Incarnation", node.Incarnation)
}

const checkpointInterval = 10 * time.Second

// checkpoint writes a checkpoint of each stream whose checkpoints are assigned to this node.
func (node *Node) checkpoint() {
	for _, follower := range node.streams {
		if !node.members.OwnsDuty("checkpoint/" + follower.Name) {
			continue
		}
		if err := follower.MaybeCheckpoint(); err != nil {
			node.logger.Warn("node: failed to write a checkpoint.", "Stream", follower.Name, "Error", err.Error())
		}
	}
}

func (node *Node) serveHTTP(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		node.logger.Error("node: a listener failed.", "Address", listener.Addr().String(), "Error", err.Error())
	}
}

// Ready returns nil if the node can accept requests, or an error that states what is missing.
func (node *Node) Ready() error {
	if node.stopping.Load() {
		return errors.New("the node is shutting down")
	}
	for _, follower := range node.streams {
		if !follower.Ready() {
			return errors.Newf("the history of the stream %s is not known yet, from the log or from a peer", follower.Name)
		}
	}
	return nil
}
