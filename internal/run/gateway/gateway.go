// Package gateway puts an entry node together: it takes callers' requests,
// forwards them to backend servers, forms and mends the groups that run models,
// and shares with the other nodes what it learns.
//
// Every node is the same and keeps nothing on disk. What the operator states
// and which servers there are comes from the platform's store, read by one node
// and passed on to the others, or read by any node whose knowledge grows old.
// One node at a time gives orders to servers; all others go on without it.
//
// The platform's own names and formats are not known here. Platform holds the
// functions that speak them.
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
	"hazelslip/internal/common/rendezvous"
	"hazelslip/internal/fleet/drain"
	"hazelslip/internal/fleet/follower"
	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/fleet/tenure"
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
	"hazelslip/internal/state/configuration"
)

// Platform speaks the platform's names and formats.
type Platform struct {
	Store store.Store
	Fleet formation.Fleet
	Codec backendserver.Codec
	// Hear sets who is told what servers say of themselves in answers to questions and
	// orders.
	Hear func(heard func(server *roster.Server, source string, said backendserver.ServerSignals))
	// DecodeCaller reads a caller's request but for its body.
	DecodeCaller func(request *http.Request) *forward.Request
	// ReadinessPath is where the balancer asks.
	ReadinessPath string
	// Close ends idle connections to the platform.
	Close func()
}

// Node is an entry node.
type Node struct {
	*lifecycle.Part
	Incarnation uint64

	settings Settings
	platform Platform
	logger   *slog.Logger
	now      clock.Now
	listen   func(address string) (net.Listener, error)
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	relays   int

	configuration *configuration.Table
	rawVersion    atomic.Pointer[rawConfiguration]
	drained       *drain.Table
	servers       *roster.List
	cold          *warmup.Table
	view          *formation.View
	former        *formation.Former
	keeper        *tenure.Keeper
	board         *dispatch.Board
	demand        *demand.Demand
	pool          *backendserver.Pool
	memory        *memory.Budget
	forwarder     *forward.Forwarder
	peers         *peers
	detours       *detours
	quarantine    *quarantine.List
	limits        *ratelimit.Limits
	notices       *notice.Notices
	// stored is used by the part that keeps it alone.
	stored       storedSuspects
	storeCalls   *store.CallTracker
	follower     *follower.Follower
	measures     *measures
	services     atomic.Pointer[engineServices]
	startedAt    time.Duration
	dirty        chan struct{}
	suspectsNews chan struct{}
	// known is closed once the node knows a configuration and the servers.
	known      chan struct{}
	knownOnce  sync.Once
	stopping   atomic.Bool
	newsLearnt atomic.Uint64
	waysLost   atomic.Uint64
	// suspectsGone says that the store may lack what was written of suspects.
	suspectsGone atomic.Bool

	mu      sync.Mutex
	budgets map[string]*retry.Window

	listeners []net.Listener
	caller    *http.Server
	readiness *http.Server
	operator  *http.Server
}

// rawConfiguration is the version in force as the store holds it, for peers.
type rawConfiguration struct {
	version int64
	body    []byte
}

// engineServices are the services that form groups, of one version.
type engineServices struct {
	version  int64
	services []formation.Service
}

// Option changes how a Node is built.
type Option func(*Node)

// Logger sets the logger.
func Logger(logger *slog.Logger) Option {
	return func(node *Node) { node.logger = logger }
}

// Clock sets the clock.
func Clock(now clock.Now) Option {
	return func(node *Node) { node.now = now }
}

// Network sets how the node listens and how it connects to others.
func Network(listen func(address string) (net.Listener, error), dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(node *Node) { node.listen, node.dial = listen, dial }
}

// Relays sets how many nodes of a data centre keep all that there is to know and
// tell the others.
func Relays(nodes int) Option {
	return func(node *Node) { node.relays = nodes }
}

func listenTCP(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// New returns a node that listens and is yet to be started.
func New(settings Settings, platform Platform, options ...Option) (*Node, error) {
	node := &Node{
		Part: lifecycle.New("gateway"), Incarnation: rand.Uint64() | 1, settings: settings, platform: platform,
		logger: slog.New(slog.DiscardHandler), now: clock.Boot, listen: listenTCP,
		configuration: configuration.NewTable(), budgets: map[string]*retry.Window{},
		dirty: make(chan struct{}, 1), known: make(chan struct{}), suspectsNews: make(chan struct{}, 1), measures: newMeasures(), relays: tree.Relays,
	}
	node.services.Store(&engineServices{version: -1})
	node.memory = memory.New(memory.Part(settings.Limits.MemoryBytes))
	for _, option := range options {
		option(node)
	}
	node.storeCalls = store.NewCallTracker(store.Clock(node.now), store.OnOutageStart(node.storeLost), store.OnOutageEnd(node.storeReturned), store.OnHungCall(node.storeHung))
	node.drained, node.cold = drain.New(drain.Clock(node.now)), warmup.NewTable(node.now)
	node.servers = roster.New(roster.Draining(func(id string, born int64) bool {
		return node.notices.Draining(ratelimit.Run{Server: id, Born: born})
	}))
	node.view = formation.NewView(node.now, formation.Servers(node.servers.Load))
	node.quarantine = quarantine.New(quarantine.Clock(node.now))
	node.stored.held = map[quarantine.Fingerprint]struct{}{}
	node.limits = ratelimit.New(ratelimit.Clock(node.now), ratelimit.Incarnation(node.Incarnation), ratelimit.Settle(settings.Bounds.Settle))
	node.notices = notice.New(node.limits, notice.Clock(node.now))
	node.demand = demand.New(demand.Clock(node.now))
	node.detours = newDetours(node)
	node.board = dispatch.New(dispatch.Clock(node.now), dispatch.DataCentre(settings.DataCentre), dispatch.Notices(node.notices), dispatch.Demands(node.demand), dispatch.Ways(node.detours.ways),
		dispatch.Idle(func(address string) bool { return node.pool.HasIdle(address) }),
		dispatch.Drains(node.drained.Mark), dispatch.Lots(node.Incarnation, func() int { return node.peers.nodes() }),
		dispatch.Counted(func() int { return int(node.peers.counted.Load()) }))
	node.pool = backendserver.New(platform.Codec, node.poolOptions()...)
	node.keeper = tenure.New(node.Incarnation, node.claim, node.now)
	node.former = formation.New(node.formerParts())
	node.follower = follower.New(node.followerParts())
	node.forwarder = forward.New(node.forwarderParts())
	if platform.Hear != nil {
		platform.Hear(node.heardControl)
	}
	return node, node.open()
}

// poolOptions makes the pool connect as the node does, where that is set.
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

func (node *Node) formerParts() formation.Parts {
	return formation.Parts{
		Fleet: node.platform.Fleet, View: node.view, Servers: node.servers.Load, Services: node.engineServices,
		Term: node.orderTerm, Outdated: node.outdated, Announce: node.announce, Load: node.modelLoad,
		Told: func() bool { return node.peers.fed() },
		Quiet: func() bool {
			return node.settings.FirstStart && node.forwarder.Counts.Requests.Load() == 0 && !node.peers.busy()
		},
		BacksOff: node.backsOff,
		Bounds: formation.Bounds{
			Stall: node.settings.Bounds.Stall, LoadWindow: node.settings.Bounds.LoadWindow, LoadBurst: node.settings.Bounds.LoadBurst,
		},
		Now: node.now, Logger: node.logger,
	}
}

func (node *Node) forwarderParts() forward.Parts {
	return forward.Parts{
		Configuration: node.configuration, Board: node.board, Pool: node.pool, Decode: node.platform.DecodeCaller,
		DataCentre: node.settings.DataCentre, Budget: node.budget, Ready: node.known, Stopping: node.stopping.Load,
		Quarantine: node.quarantine, Suspected: node.suspected, Heard: node.heard,
		AskPermits: node.refreshPermits, Returns: ratelimit.NewReturns(node.now), Nodes: func() int { return node.peers.nodes() },
		Detours: node.detours.tableOrNil(), DetourPool: node.detours.pool, DetourWanted: node.detours.want, Unsure: node.detours.unsureOf,
		Name: node.settings.Name, NewerAt: func(address string, version int64) { node.peers.heardVersionAt(address, version) },
		Memory: node.memory, Failed: node.callFailed, Ended: node.measures.ended, Logger: node.logger, Now: node.now,
	}
}

// open listens at all addresses, so that one that is taken is told at start.
func (node *Node) open() error {
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
		node.detours.served = &http.Server{Handler: node.forwarder.Inward(), ReadHeaderTimeout: headerTimeout, IdleTimeout: detourIdle, ErrorLog: silent()}
	}
	if node.memory.Bounded() {
		node.listeners[0] = boundCallers(node.listeners[0])
		if node.detours.enabled() {
			node.detours.listener = boundCallers(node.detours.listener)
		}
	}
	node.peers = newPeers(node, node.listeners[2])
	node.caller = &http.Server{Handler: node.forwarder, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: silent()}
	node.readiness = &http.Server{Handler: http.HandlerFunc(node.serveReadiness), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: silent()}
	node.operator = &http.Server{Handler: node.operatorHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: silent()}
	return nil
}

const (
	// headerTimeout bounds reading the head of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle caller's connection is kept: longer than
	// any caller keeps one, so that the caller is the one that closes it and no
	// request crosses a close.
	idleTimeout = 5 * time.Minute
)

func (node *Node) closeListeners() {
	for _, listener := range node.listeners {
		listener.Close()
	}
}

// Start runs every part.
func (node *Node) Start() {
	node.startedAt = node.now()
	node.peers.start()
	node.follower.Start()
	node.GoAs("targets", node.followTargets)
	node.PacedAs("watch", node.watchPause, node.watch)
	node.PacedAs("tenure", node.pace(tenureTick), node.lookTenure)
	node.EveryAs("sweep", time.Second, node.sweep)
	node.GoAs("suspects", node.followSuspects)
	node.former.Start()
	node.GoAs("detours", node.detours.follow)
	if served := node.detours.served; served != nil {
		node.GoAs("http", func() { node.serve(served, node.detours.listener) })
	}
	servers := []*http.Server{node.caller, node.readiness, nil, node.operator}
	for number, listener := range node.listeners {
		if server := servers[number]; server != nil {
			node.GoAs("http", func() { node.serve(server, listener) })
		}
	}
	node.logger.Info("gateway: started.", "Name", node.settings.Name, "DataCentre", node.settings.DataCentre, "Incarnation", node.Incarnation)
}

func (node *Node) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		node.logger.Error("gateway: a listener failed.", "Address", listener.Addr().String(), "Error", err.Error())
	}
}

// Ready returns nil when the node can take requests, else what it lacks.
func (node *Node) Ready() error {
	switch {
	case node.stopping.Load():
		return errors.New("the node is shutting down")
	case !node.configuration.Load().Known():
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

// budget returns the window of repeats of a service.
func (node *Node) budget(service string) *retry.Window {
	node.mu.Lock()
	defer node.mu.Unlock()
	window, ok := node.budgets[service]
	if !ok {
		bounds := node.settings.Bounds
		window = retry.NewWindow(retry.Allowance{Ratio: bounds.RetryRatio, Least: bounds.RetryLeast, Span: bounds.RetryWindow}, node.peers.nodes, node.now,
			retry.Lot(rendezvous.Draw(service, node.Incarnation)))
		node.budgets[service] = window
	}
	return window
}

// Reload is told that the settings were read again. What changed in them takes
// effect when the node is started again, which the log says.
func (node *Node) Reload(settings Settings) {
	changed := settings.Bounds != node.settings.Bounds || settings.Listen != node.settings.Listen || settings.Limits != node.settings.Limits
	node.logger.Info("gateway: the settings were read again; changes take effect at the next start.", "Changed", changed)
}
