// Package node puts the parts of an entry node together and runs them.
//
// Every entry node is the same. It serves callers, watches and repairs the
// fabric domains that fall to it, follows the platform's log, and exchanges
// what it knows with the other nodes. It keeps nothing on disk: a node that is
// lost takes no state with it but the requests in flight and its tickets.
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
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/policy/route"
	"hazelslip/internal/run/settings"
	"hazelslip/internal/serve/draft"
	"hazelslip/internal/serve/journal"
	"hazelslip/internal/state/booking"
	"hazelslip/internal/state/class"
	"hazelslip/internal/state/lease"
	"hazelslip/internal/state/stream"
)

// meters count what crosses the connections to each kind of peer.
type meters struct {
	platform metering.Traffic
	engines  metering.Traffic
	drafts   metering.Traffic
	peers    metering.Traffic
}

// Node is one entry node.
type Node struct {
	*lifecycle.Part
	Incarnation uint64

	settings settings.Node
	logger   *slog.Logger
	now      clock.Now
	dial     metering.Dialer
	listen   func(address string) (net.Listener, error)
	random   *lockedRandom

	log     *logservice.Client
	list    *instancelist.Client
	weights *weightstore.Client
	engines *engine.Client
	// drafting holds the connections of drafts apart from those of control.
	drafting  *engine.Client
	metered   meters
	policies  Policies
	services  *service.Client
	peers     *peer.Client
	server    *peer.Server
	members   *member.Table
	facts     *fabric.Facts
	watcher   *fabric.Watcher
	former    *replica.Former
	tally     *replica.Tally
	groups    atomic.Pointer[replica.Snapshot]
	router    *route.Router
	gate      *admission.Gate
	drafts    *draft.Server
	calls     *caller.Services
	journal   *journal.Journal
	classes   *class.Table
	leases    *lease.Table
	leaseHold *lease.Keeper
	keys      *booking.Table
	bookings  *booking.Keeper
	collector *booking.Batcher
	appender  *booking.Batcher
	streams   []*stream.Follower
	exchange  *exchanger
	lists     *listReader

	transport      *http.Transport
	callerServer   *http.Server
	operatorServer *http.Server
	listeners      []net.Listener

	startedAt time.Duration
	stopping  atomic.Bool
	requests  requestCount
	stopOnce  sync.Once
}

// Option changes how a Node is built.
type Option func(*Node)

// Logger sets the logger.
func Logger(logger *slog.Logger) Option {
	return func(node *Node) { node.logger = logger }
}

// Clock sets the monotonic clock.
func Clock(now clock.Now) Option {
	return func(node *Node) { node.now = now }
}

// Network replaces how the node connects and listens.
func Network(dial metering.Dialer, listen func(address string) (net.Listener, error)) Option {
	return func(node *Node) { node.dial, node.listen = dial, listen }
}

// Policies change how a node decides under load; comparisons with simpler
// rules use them.
type Policies struct {
	Route     []route.Option
	Admission []admission.Option
	Retry     []retry.Option
}

// Decide sets the node's policies.
func Decide(policies Policies) Option {
	return func(node *Node) { node.policies = policies }
}

// Seed makes the node's random choices and its incarnation repeatable.
func Seed(seed uint64) Option {
	return func(node *Node) {
		node.random = newRandom(seed)
		node.Incarnation = seed
	}
}

// New returns a node that has not started. The error says which address it
// could not listen at.
func New(settings settings.Node, options ...Option) (*Node, error) {
	created := &Node{
		Part: lifecycle.New("node"), settings: settings, logger: slog.Default(), now: clock.Boot,
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

// lockedRandom is a source of random numbers that many goroutines share.
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
			return errors.Wrapf(err, "listen at %s; set another address in Listen", address)
		}
		node.listeners = append(node.listeners, listener)
	}
	return nil
}

// The listeners, in the order in which they are opened.
const (
	callerListener = iota
	operatorListener
	peerListener
)

// Addresses returns where the node serves callers, operators and peers.
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
	node.exchange = newExchanger(node)
	node.lists = newListReader(node)
}

func (node *Node) buildPeers() {
	node.transport = &http.Transport{DialContext: node.metered.platform.Dial(node.dialer()), MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	node.log = logservice.New(node.settings.Platform.LogService, node.transport)
	node.list = instancelist.New(node.settings.Platform.InstanceList, node.transport)
	node.weights = weightstore.New(node.settings.Platform.WeightStore, node.transport)
	node.engines = engine.New(engine.Dial(node.metered.engines.Dial(node.dialer())))
	node.drafting = engine.New(engine.Dial(node.metered.drafts.Dial(node.dialer())))
	node.services = service.New(service.Dial(node.dialer()))
	node.peers = peer.NewClient(peer.Dial(node.metered.peers.Dial(node.dialer())))
	node.server = peer.NewServer(node.listeners[peerListener], node.metered.peers.Wrap, node.answer)
	_, _, address := node.Addresses()
	node.members = member.New(member.Self{
		Incarnation: node.Incarnation, Name: node.settings.Name, Region: node.settings.Region,
		DataCentre: node.settings.DataCentre, Address: address,
	}, node.now)
}

// dialer is how the node connects; where no other was given, over the network,
// giving up early enough to try something else.
func (node *Node) dialer() metering.Dialer {
	if node.dial != nil {
		return node.dial
	}
	return (&net.Dialer{Timeout: dialTimeout}).DialContext
}

const dialTimeout = 500 * time.Millisecond

// The streams that a node follows, as indexes of its followers.
const (
	configStream = iota
	groupStream
	bookingStream
)

func (node *Node) buildState() {
	node.classes = class.New()
	node.leases = lease.New(node.now)
	node.keys = booking.NewTable(time.Duration(node.settings.Limits.BookingWindowMinutes) * time.Minute)
	node.streams = []*stream.Follower{
		configStream:  node.follow(class.StreamName, node.classes.Fold()),
		groupStream:   node.follow("Groups."+node.settings.DataCentre, node.leases.Fold()),
		bookingStream: node.follow("Bookings."+node.settings.Region, node.keys.Fold()),
	}
	groups, bookings := node.streams[groupStream], node.streams[bookingStream]
	node.leaseHold = &lease.Keeper{
		Incarnation: node.Incarnation, Table: node.leases, Now: node.now,
		Append: groups.Append, Ready: groups.Ready,
	}
	node.appender = booking.NewBatcher(node.appendBatch)
	node.collector = booking.NewBatcher(node.relayBatch)
	node.bookings = booking.New(node.Incarnation, node.keys,
		booking.Follower{Ready: bookings.Ready, Dark: bookings.Dark}, node.collector,
		booking.Clock(node.now), booking.AskHolder(node.askHolder))
}

func (node *Node) follow(name string, fold stream.Fold) *stream.Follower {
	return stream.New(name, fold, stream.Read(node.log.Read), stream.Append(node.log.Append),
		stream.Clock(node.now), stream.Logger(node.logger))
}

func (node *Node) buildFleet() {
	node.facts = fabric.New(node.now)
	node.tally = replica.NewTally(node.now())
	node.groups.Store(replica.Assemble(node.facts.Snapshot(), node.now()))
	node.watcher = fabric.NewWatcher(node.facts, node.members.Mine, node.engines.Report, node.probe)
	node.former = &replica.Former{
		Incarnation: node.Incarnation, Snapshot: node.groups.Load, Facts: node.facts.Snapshot,
		Mine: node.mayForm, Models: node.models, Order: node.engines.Order, Right: node.right,
		StoreCrowded: node.storeCrowded,
		Record:       node.recordGroup, Now: node.now, Random: node.random.intN, Logger: node.logger,
		Grace:    time.Duration(node.settings.Engines.GraceSeconds) * time.Second,
		Stranded: node.settings.Prices.StrandedInstance,
	}
}

func (node *Node) buildServing() {
	node.router = route.New(append([]route.Option{route.Random(node.random.intN)}, node.policies.Route...)...)
	node.calls = node.callerServices()
	node.gate = admission.New(node.policies.Admission...)
	node.journal = journal.New(node.settings.Limits.JournalRequests)
	node.drafts = draft.New(node.router, node.gate, node.drafting.Generate, func() int { return len(node.members.Live()) }, node.now, retry.New(node.policies.Retry...))
	handler := &caller.Handler{
		Classes: node.classes.Snapshot, Drafts: node.drafts, Journal: node.journal, Ready: node.Ready,
		TrackRequest: node.requests.begin, MaxBodyBytes: node.settings.Limits.MaxBodyBytes,
		Services: node.calls,
	}
	node.callerServer = &http.Server{
		Handler: handler.Handler(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second,
		IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 64 << 10, ErrorLog: slog.NewLogLogger(node.logger.Handler(), slog.LevelDebug),
	}
	node.operatorServer = &http.Server{
		Handler: (&operator.Handler{
			Ready: node.Ready, State: func() any { return node.State() }, Groups: node.groupList,
			Classes: node.classes, Submit: node.submitter().Submit, Explain: node.explain,
			Booking: node.showBooking, Metrics: node.metrics,
		}).Handler(),
		ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second, IdleTimeout: time.Minute,
	}
}

func (node *Node) submitter() *class.Submitter {
	return &class.Submitter{Table: node.classes, Follower: node.streams[configStream]}
}

func (node *Node) callerServices() *caller.Services {
	return &caller.Services{
		Known: func(name string) bool { _, ok := node.service(name); return ok },
		Retryable: func(name, method string) bool {
			found, _ := node.service(name)
			return slices.Contains(found.Repeatable, method)
		},
		Addresses: node.serviceAddresses, Call: node.services.Call, Bookings: node.bookings,
		ForwardToIssuer: node.forwardTicket, Incarnation: node.Incarnation,
		MaxBodyBytes: node.settings.Limits.MaxBodyBytes, Budget: retry.New(),
	}
}

func (node *Node) service(name string) (settings.Service, bool) {
	for _, known := range node.settings.Services {
		if known.Name == name {
			return known, true
		}
	}
	return settings.Service{}, false
}

// Start runs every part.
func (node *Node) Start() {
	node.startedAt = node.now()
	for _, follower := range node.streams {
		follower.Start()
	}
	node.appender.Start()
	node.collector.Start()
	node.bookings.Start()
	node.server.Start()
	node.lists.start()
	node.exchange.start()
	node.watcher.Start()
	node.startView()
	node.former.Start()
	node.EveryAs("checkpoint", checkpointInterval, node.checkpoint)
	node.GoAs("operator", func() { node.serveHTTP(node.operatorServer, node.listeners[operatorListener]) })
	node.GoAs("caller", func() { node.serveHTTP(node.callerServer, node.listeners[callerListener]) })
	node.logger.Info("node: started.", "Name", node.settings.Name, "Incarnation", node.Incarnation)
}

const checkpointInterval = 10 * time.Second

// checkpoint writes the checkpoints that are this node's duty.
func (node *Node) checkpoint() {
	for _, follower := range node.streams {
		if !node.members.Mine("checkpoint/" + follower.Name) {
			continue
		}
		if err := follower.MaybeCheckpoint(); err != nil {
			node.logger.Warn("node: a checkpoint could not be written.", "Stream", follower.Name, "Error", err.Error())
		}
	}
}

func (node *Node) serveHTTP(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		node.logger.Error("node: a listener failed.", "Address", listener.Addr().String(), "Error", err.Error())
	}
}

// Ready returns nil when the node can take requests, else what it lacks.
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
