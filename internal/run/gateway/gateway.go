// Package gateway assembles an entry node of the fleet. An entry node accepts callers' requests, forwards them to
// backend servers, forms and repairs the groups of servers that run models, and shares its state with the other nodes.
//
// All nodes are equal and keep nothing on disk. The operator's configuration and the registry of servers come from the
// platform's store. One node reads the store and distributes the content to the others; a node whose copy grows old
// reads the store itself. One node at a time, the leader, gives orders to servers, under a term that rises with each
// new leader. All other functions of a node work without a leader.
//
// The package doesn't know the platform's names and formats. Platform holds the functions that implement them.
//
// # Tree of nodes
//
// The nodes of a data centre form a tree: leaves attach to relays, relays to the root, and the roots of all data centres
// connect to each other. Nodes exchange frames over these links. The files of this package follow that exchange:
//
//   - peers.go holds the state of each link, compose.go builds frames, and receive.go applies received frames.
//   - demands.go, drains.go, limits.go, notices.go, paces.go and suspects.go each exchange one kind of state.
//   - background.go runs periodic tasks: call targets, group checks, leadership and cleanup.
//   - paths.go tracks lost paths to servers, and detours.go forwards requests through other nodes meanwhile.
//   - store.go and fetch.go obtain state from the store and from peers.
//
// # Usage
//
//	node, err := gateway.New(settings, platform, gateway.Logger(logger))
//	node.Start()
//	<-signals
//	node.Stop()
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/fleet/drain"
	"hazelslip/internal/fleet/follower"
	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/leadership"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/fleet/tree"
	"hazelslip/internal/peer/backendserver"
	"hazelslip/internal/peer/store"
	"hazelslip/internal/policy/demand"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/memory"
	"hazelslip/internal/policy/notice"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/policy/warmup"
	"hazelslip/internal/serve/forward"
	"hazelslip/internal/serve/inbound"
	"hazelslip/internal/state/configuration"
)

// Platform holds the functions that implement the platform's names and formats.
type Platform struct {
	Store store.Store
	Fleet formation.ServerClient
	Codec backendserver.Codec
	// SetSignalsHandler sets the function that receives the signals of servers in responses to queries and
	// orders.
	SetSignalsHandler func(handler func(server *roster.Server, source string, signals backendserver.ServerSignals))
	// DecodeCaller decodes a caller's request, except for its body.
	DecodeCaller func(request *http.Request) *forward.Request
	// ReadinessPath is the URL path of the load balancer's readiness check.
	ReadinessPath string
	// Close closes idle connections to the platform.
	Close func()
}

// Node is an entry node of the fleet.
type Node struct {
	*lifecycle.Component
	Incarnation uint64

	settings   Settings
	platform   Platform
	logger     *slog.Logger
	now        clock.Now
	listen     func(address string) (net.Listener, error)
	dial       func(ctx context.Context, network, address string) (net.Conn, error)
	relayCount int

	configuration    *configuration.Table
	rawConfiguration atomic.Pointer[rawConfiguration]
	drains           *drain.Table
	servers          *roster.List
	warmups          *warmup.ColdTable
	groupView        *formation.View
	groupController  *formation.Controller
	elector          *leadership.Elector
	board            *dispatch.Board
	demand           *demand.Demand
	pool             *backendserver.Pool
	memory           *memory.Budget
	inbound          *inbound.Guard
	forwarder        *forward.Forwarder
	peers            *peers
	detours          *detours
	quarantine       *quarantine.List
	limits           *ratelimit.Limits
	notices          *notice.Notices
	// storedSuspects is used only by the goroutine that runs runSuspectSync.
	storedSuspects     storedSuspects
	storeCalls         *store.CallTracker
	follower           *follower.Follower
	requestMetrics     *requestMetrics
	engineServiceCache atomic.Pointer[cachedEngineServices]
	startedAt          time.Duration
	targetsDirty       chan struct{}
	suspectsDirty      chan struct{}
	// stateKnown is closed once the node has both a configuration and the servers.
	stateKnown           chan struct{}
	stateKnownOnce       sync.Once
	stopping             atomic.Bool
	announcementsApplied atomic.Uint64
	pathsLost            atomic.Uint64
	// watchPauses and leadershipPauses detect pauses of this process, each for its own task. pauses counts them.
	watchPauses, leadershipPauses *clock.PauseDetector
	pauses                        atomic.Uint64
	// storedSuspectsLost is set when the store may have lost the suspects written to it.
	storedSuspectsLost atomic.Bool

	// retries counts the retries of all nodes.
	retries *retry.Fleet

	listeners       []net.Listener
	callerServer    *http.Server
	readinessServer *http.Server
	operatorServer  *http.Server
}

// rawConfiguration is the configuration in force as encoded in the store, for peers to fetch.
type rawConfiguration struct {
	version int64
	body    []byte
}

// cachedEngineServices holds the services with engine groups of one configuration version.
type cachedEngineServices struct {
	version  int64
	services []formation.Service
}

// Option configures a Node.
type Option func(*Node)

// Logger sets the logger.
func Logger(logger *slog.Logger) Option {
	return func(node *Node) { node.logger = logger }
}

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(node *Node) { node.now = now }
}

// Network sets the functions that open listeners and connections.
func Network(listen func(address string) (net.Listener, error), dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(node *Node) { node.listen, node.dial = listen, dial }
}

// Relays sets how many nodes of a data centre hold the whole fleet state and distribute it to the other
// nodes.
func Relays(nodes int) Option {
	return func(node *Node) { node.relayCount = nodes }
}

func listenTCP(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// New returns a node whose listeners are open. Start runs it.
func New(settings Settings, platform Platform, options ...Option) (*Node, error) {
	node := &Node{
		Component: lifecycle.New("gateway"), Incarnation: rand.Uint64() | 1, settings: settings, platform: platform,
		logger: slog.New(slog.DiscardHandler), now: clock.Boot, listen: listenTCP,
		configuration: configuration.NewTable(),
		targetsDirty:  make(chan struct{}, 1), stateKnown: make(chan struct{}), suspectsDirty: make(chan struct{}, 1), requestMetrics: newRequestMetrics(), relayCount: tree.Relays,
	}
	node.engineServiceCache.Store(&cachedEngineServices{version: -1})
	node.memory = memory.New(memory.BudgetFor(settings.Limits.MemoryBytes))
	node.inbound = inbound.New(inbound.Budget(node.memory), inbound.OnEpisode(node.logEpisode))
	for _, option := range options {
		option(node)
	}
	node.storeCalls = store.NewCallTracker(store.Clock(node.now), store.OnOutageStart(node.storeBecameUnavailable), store.OnOutageEnd(node.storeRecovered), store.OnHungCall(node.logHungStoreCall))
	node.watchPauses, node.leadershipPauses = clock.NewPauseDetector(node.now), clock.NewPauseDetector(node.now)
	node.drains, node.warmups = drain.New(drain.Clock(node.now)), warmup.NewColdTable(node.now)
	node.servers = roster.New(roster.Draining(func(id string, born int64) bool {
		return node.notices.Draining(ratelimit.Run{Server: id, Born: born})
	}))
	node.groupView = formation.NewView(node.now, formation.WithServerList(node.servers.Load))
	node.quarantine = quarantine.New(quarantine.Clock(node.now))
	node.storedSuspects.recorded = map[quarantine.Fingerprint]struct{}{}
	node.limits = ratelimit.New(ratelimit.Clock(node.now), ratelimit.Incarnation(node.Incarnation), ratelimit.PropagationTime(settings.Bounds.PropagationTime))
	node.notices = notice.New(node.limits, notice.Clock(node.now))
	node.demand = demand.New(demand.Clock(node.now))
	node.retries = node.newRetryCounts()
	node.detours = newDetours(node)
	node.board = dispatch.New(dispatch.Clock(node.now), dispatch.DataCentre(settings.DataCentre), dispatch.Notices(node.notices), dispatch.Demand(node.demand), dispatch.Paths(node.detours.paths), dispatch.Witnesses(node.listedServers),
		dispatch.IdleConnections(func(address string) bool { return node.pool.HasIdle(address) }),
		dispatch.Drains(node.drains.Status), dispatch.ColdShare(node.Incarnation, func() int { return node.peers.budgetNodes() }),
		dispatch.CountedNodes(func() int { return int(node.peers.reportingNodes.Load()) }))
	node.pool = backendserver.New(platform.Codec, node.poolOptions()...)
	node.elector = leadership.New(node.Incarnation, node.claimTerm, node.now)
	node.groupController = formation.New(node.formationDependencies())
	node.follower = follower.New(node.followerDependencies())
	node.forwarder = forward.New(node.forwarderDependencies())
	if platform.SetSignalsHandler != nil {
		platform.SetSignalsHandler(node.handleControlSignals)
	}
	return node, node.openListeners()
}

// poolOptions makes the connection pools use the node's own dial function, if one is set.
func (node *Node) poolOptions() []backendserver.Option {
	if node.dial == nil {
		return nil
	}
	return []backendserver.Option{backendserver.Dial(func(address string, within time.Duration) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		return node.dial(ctx, "tcp", address)
	})}
}

func (node *Node) formationDependencies() formation.Dependencies {
	return formation.Dependencies{
		ServerClient: node.serverClient(), View: node.groupView, Servers: node.servers.Load, Services: node.engineServices,
		Term: node.orderTerm, TermOutdated: node.handleOutdatedTerm, Announce: node.announceGroupChange, ModelUsage: node.modelUsage,
		FedByUpstream: func() bool { return node.peers.fedByUpstream() },
		BeforeFirstRequest: func() bool {
			return node.settings.FirstStart && node.forwarder.Counts.Requests.Load() == 0 && !node.peers.othersBusy()
		},
		InBackoff: node.backingOff,
		Bounds: formation.Bounds{
			StallTimeout: node.settings.Bounds.Stall, LoadWindow: node.settings.Bounds.LoadWindow, LoadBurstFactor: node.settings.Bounds.LoadBurst,
		},
		Now: node.now, Logger: node.logger,
	}
}

// serverClient returns the platform's client of servers, which opens connections through the node's pool.
func (node *Node) serverClient() formation.ServerClient {
	client := node.platform.Fleet
	client.Connect = func(ctx context.Context, server *roster.Server) error {
		deadline, _ := ctx.Deadline()
		// A dialer takes a timeout of 0 for none.
		return node.pool.Connect(server.Address, max(time.Until(deadline), time.Nanosecond))
	}
	return client
}

func (node *Node) forwarderDependencies() forward.Dependencies {
	return forward.Dependencies{
		Configuration: node.configuration, Board: node.board, Pool: node.pool, DecodeRequest: node.platform.DecodeCaller,
		DataCentre: node.settings.DataCentre, RetryBudget: node.retries.Service, Ready: node.stateKnown, Stopping: node.stopping.Load,
		Quarantine: node.quarantine, OnQuarantineChange: node.suspectChanged, OnResponseHead: node.handleResponseHead,
		RequestPermits: node.refreshPermits, RetryScheduler: ratelimit.NewRetryScheduler(node.now), NodeCount: func() int { return node.peers.budgetNodes() },
		Detours: node.detours.tableOrNil(), DetourPool: node.detours.pool, RequestDetours: node.detours.requestQuery, OnUnconfirmedFailure: node.detours.deferFailure,
		NodeName: node.settings.Name, OnNewerVersion: func(address string, version int64) { node.peers.fetchIfNewerFrom(address, version) },
		Memory: node.memory, OnServerFailure: node.handleCallFailure, OnRequestEnd: node.requestMetrics.record, Logger: node.logger, Now: node.now,
	}
}

// openListeners opens all listeners, so that an address in use is reported at startup.
func (node *Node) openListeners() error {
	addresses := []string{node.settings.Listen.Caller, node.settings.Listen.Readiness, node.settings.Listen.Peer}
	if node.settings.Listen.Operator != "" {
		addresses = append(addresses, node.settings.Listen.Operator)
	}
	for _, address := range addresses {
		listener, err := node.listen(address)
		if err != nil {
			node.closeListeners()
			return errors.Wrapf(err, "listen at %s", address)
		}
		node.listeners = append(node.listeners, listener)
	}
	if node.detours.enabled() {
		listener, err := node.listen(node.settings.Listen.Detour)
		if err != nil {
			node.closeListeners()
			return errors.Wrapf(err, "listen at %s", node.settings.Listen.Detour)
		}
		node.detours.listener = listener
	}
	node.peers = newPeers(node, node.listeners[2])
	node.newServers()
	return nil
}

func (node *Node) closeListeners() {
	for _, listener := range node.listeners {
		listener.Close()
	}
}

// Start starts all components of the node.
func (node *Node) Start() {
	node.startedAt = node.now()
	node.peers.start()
	node.follower.Start()
	node.GoNamed("targets", node.runTargetUpdates)
	node.RepeatNamed("watch", node.scheduleWatch, node.watch)
	node.RepeatNamed("tenure", node.scheduleLeadership, node.updateLeadership)
	node.EveryNamed("sweep", inbound.SweepInterval, node.sweep)
	node.RepeatNamed("retries", node.leafAwareInterval(retryTotalInterval), node.peers.updateRetryTotals)
	node.GoNamed("suspects", node.runSuspectSync)
	node.groupController.Start()
	node.GoNamed("detours", node.detours.runQueries)
	if detourServer := node.detours.server; detourServer != nil {
		node.GoNamed("http", func() { node.serve(detourServer, node.detours.listener) })
	}
	servers := []*http.Server{node.callerServer, node.readinessServer, nil, node.operatorServer}
	for number, listener := range node.listeners {
		if server := servers[number]; server != nil {
			node.GoNamed("http", func() { node.serve(server, listener) })
		}
	}
	limits := node.settings.Limits.connLimits()
	node.logger.Info("gateway: the node started.", "Name", node.settings.Name, "DataCentre", node.settings.DataCentre, "Incarnation", node.Incarnation,
		"MaxCallerConnections", limits.Callers, "MaxDetourConnections", limits.Detours, "MaxPeerConnections", limits.Peers)
}

func (node *Node) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		node.logger.Error("gateway: an HTTP server failed.", "Address", listener.Addr().String(), "Error", err.Error())
	}
}

// Ready returns nil if the node can accept requests, otherwise an error with the reason.
func (node *Node) Ready() error {
	switch {
	case node.stopping.Load():
		return errors.New("the node is shutting down")
	case !node.configuration.Load().HasVersion():
		return errors.New("no configuration is known yet")
	case !node.servers.Load().Known() && node.peers.rows.Load() == nil:
		return errors.New("no list of servers is known yet")
	}
	return nil
}

func (node *Node) serveReadiness(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != node.platform.ReadinessPath {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	if err := node.Ready(); err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// Reload is called when the settings were read again. Changed settings take effect only after a restart,
// which the log states.
func (node *Node) Reload(settings Settings) {
	changed := settings.Bounds != node.settings.Bounds || settings.Listen != node.settings.Listen || settings.Limits != node.settings.Limits
	node.logger.Info("gateway: the settings were reloaded; changes take effect after a restart.", "Changed", changed)
}
