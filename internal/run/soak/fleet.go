package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/run/gateway"
	"hazelslip/platform/standin"
)

// The ports of a soak, from the base port on. Each node has a loopback address of its
// own, on which all have the same ports; what stands between them has another.
const (
	storePort   = 0
	controlPort = 1
	callerPort  = 10
	readyPort   = 11
	operator    = 12
	peerPort    = 13
	serverPort  = 100
	// nodesMost is how many addresses there are.
	nodesMost = 240
	// firstHost is the last part of the first node's address.
	firstHost = 10
)

// fleet is the processes of a soak and what stands between them.
type fleet struct {
	options Options
	shape   standin.Shape
	note    func(format string, values ...any)
	control *http.Client

	standin *process
	nodes   []*process
	// peers, stores and servers are the proxies before a node's peer port, before the
	// store for a node, and before a server.
	peers, stores []*proxy
	servers       []*proxy
	engines       []string
	plain         []string

	// mu orders the operator's versions.
	mu      sync.Mutex
	version int64
}

func (fleet *fleet) nodeAddress(node, port int) string {
	return fmt.Sprintf("127.0.0.%d:%d", firstHost+node, fleet.options.BasePort+port)
}

// between is the address of what stands before a node.
func (fleet *fleet) between(node, port int) string {
	return fmt.Sprintf("127.0.1.%d:%d", firstHost+node, fleet.options.BasePort+port)
}

// serversHost is the address of what stands before the servers.
const serversHost = "127.0.2.1"

func (fleet *fleet) start() error {
	fleet.engines, fleet.plain = standin.ServerIDs(fleet.shape)
	if err := fleet.startStandin(); err != nil {
		return err
	}
	if err := fleet.startProxies(); err != nil {
		return err
	}
	for node := range fleet.options.Nodes {
		process, err := fleet.newNode(node)
		if err != nil {
			return err
		}
		if err := process.start(); err != nil {
			return err
		}
		fleet.nodes = append(fleet.nodes, process)
	}
	return nil
}

func (fleet *fleet) startStandin() error {
	options, shape := fleet.options, fleet.shape
	fleet.standin = &process{
		name: "standin", program: options.Program, folder: options.Folder, note: fleet.note,
		arguments: []string{
			"standin", "--platform", "--base-port", strconv.Itoa(options.BasePort), "--domains", strconv.Itoa(shape.Domains),
			"--servers", strconv.Itoa(shape.Servers), "--ledgers", strconv.Itoa(shape.Ledgers), "--seed", strconv.FormatUint(shape.Seed, 10),
			"--control", fmt.Sprintf("127.0.0.1:%d", options.BasePort+controlPort), "--advertise-host", serversHost,
		},
	}
	// A port that is taken shows here, with its name.
	for _, port := range []int{storePort, controlPort, serverPort} {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", options.BasePort+port))
		if err != nil {
			return errors.Wrap(err, "the stand-in can't listen")
		}
		listener.Close()
	}
	if err := fleet.standin.start(); err != nil {
		return err
	}
	for range 100 {
		if _, err := fleet.observed(); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.Newf("the stand-in doesn't answer; see %s", filepath.Join(options.Folder, "standin-1.log"))
}

func (fleet *fleet) startProxies() error {
	base := fleet.options.BasePort
	for node := range fleet.options.Nodes {
		peer, err := newProxy(fleet.between(node, peerPort), fleet.nodeAddress(node, peerPort))
		if err != nil {
			return err
		}
		fleet.peers = append(fleet.peers, peer)
		store, err := newProxy(fleet.between(node, storePort), fmt.Sprintf("127.0.0.1:%d", base+storePort))
		if err != nil {
			return err
		}
		fleet.stores = append(fleet.stores, store)
	}
	for number := range len(fleet.engines) + len(fleet.plain) {
		port := base + serverPort + number
		server, err := newProxy(fmt.Sprintf("%s:%d", serversHost, port), fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return err
		}
		fleet.servers = append(fleet.servers, server)
	}
	return nil
}

const settingsMode = 0o600

func (fleet *fleet) newNode(node int) (*process, error) {
	name := fmt.Sprintf("node-%d", node+1)
	settings := gateway.Settings{
		Name: name, DataCentre: fleet.shape.DataCentreOf(node), Region: "soak", Store: fleet.between(node, storePort),
		Listen: gateway.Listen{
			Caller: fleet.nodeAddress(node, callerPort), Readiness: fleet.nodeAddress(node, readyPort), Operator: fleet.nodeAddress(node, operator),
		},
		Bounds: standin.DefaultBounds(), Limits: gateway.Limits{MemoryBytes: 512 << 20},
	}
	seeds := []string{}
	for seed := range min(3, fleet.options.Nodes) {
		seeds = append(seeds, fleet.between(seed, operator))
	}
	created := &process{name: name, program: fleet.options.Program, folder: fleet.options.Folder, note: fleet.note}
	for _, first := range []bool{true, false} {
		settings.FirstStart = first
		body, err := standin.SettingsFile(settings, fmt.Sprintf("127.0.0.%d", firstHost+node), fleet.options.BasePort+peerPort, seeds)
		if err != nil {
			return nil, err
		}
		path := filepath.Join(fleet.options.Folder, fmt.Sprintf("%s-first-%t.toml", name, first))
		if err := os.WriteFile(path, body, settingsMode); err != nil {
			return nil, errors.Wrap(err, "write settings")
		}
		arguments := []string{"gateway", "--settings", path, "--advertise-peer", fleet.between(node, peerPort)}
		if first {
			created.arguments = arguments
		} else {
			created.again = arguments
		}
	}
	return created, nil
}

func (fleet *fleet) stop() {
	stops := conc.WaitGroup{}
	for _, node := range fleet.nodes {
		stops.Go(node.stop)
	}
	stops.Wait()
	if fleet.standin != nil {
		fleet.standin.stop()
	}
	for _, proxies := range [][]*proxy{fleet.peers, fleet.stores, fleet.servers} {
		for _, proxy := range proxies {
			stops.Go(proxy.stop)
		}
	}
	stops.Wait()
}

// tell asks the stand-in for something.
func (fleet *fleet) tell(path string) {
	response, err := fleet.control.Post(fmt.Sprintf("http://127.0.0.1:%d%s", fleet.options.BasePort+controlPort, path), "", nil)
	if err != nil {
		fleet.note("the stand-in did not take %s: %v", path, err)
		return
	}
	response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		fleet.note("the stand-in answered %d to %s", response.StatusCode, path)
	}
}

// observed is what the stand-in saw.
func (fleet *fleet) observed() (standin.Observed, error) {
	seen := standin.Observed{}
	return seen, fleet.read(fmt.Sprintf("http://127.0.0.1:%d/observed", fleet.options.BasePort+controlPort), &seen)
}

func (fleet *fleet) read(url string, value any) error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "build a question")
	}
	response, err := fleet.control.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	defer response.Body.Close()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(value), "read an answer")
}

// strike does a fault and ends it when its time has passed.
func (fleet *fleet) strike(ctx context.Context, fault Fault) {
	begin, end := fleet.actions(fault)
	begin()
	if end == nil {
		return
	}
	select {
	case <-time.After(fault.For):
	case <-ctx.Done():
	}
	end()
}

const (
	// delayed is what a delay adds to each piece of a frame, slowed what a slow store
	// adds to each answer.
	delayed = 80 * time.Millisecond
	slowed  = "300ms"
)

// actions are what begins a fault, and what ends it; nil if nothing does.
func (fleet *fleet) actions(fault Fault) (begin, end func()) {
	target := fault.Target
	switch fault.Kind {
	case NodeStop:
		return fleet.nodes[target].terminate, nil
	case NodeKill:
		return func() { fleet.nodes[target].signal(syscall.SIGKILL) }, nil
	case AllKill:
		return func() {
			for _, node := range fleet.nodes {
				node.signal(syscall.SIGKILL)
			}
		}, nil
	case NodePause:
		node := fleet.nodes[target]
		return func() { node.signal(syscall.SIGSTOP) }, func() { node.signal(syscall.SIGCONT) }
	case PeerDelay:
		return func() { fleet.peers[target].slow(delayed) }, func() { fleet.peers[target].slow(0) }
	case PeerReset:
		return fleet.peers[target].resetAll, nil
	case PeerSilent:
		return holding(fleet.peers[target], 1, 1)
	case PeerOneWay:
		return holding(fleet.peers[target], 1, 0)
	case StoreSilent:
		return holding(fleet.stores[target], 1, 1)
	case StoreLost:
		return holding(fleet.stores[target], 0, 1)
	case ServerMute:
		return holding(fleet.servers[target], 1, 1)
	case ServerReset:
		return fleet.servers[target].resetAll, nil
	case PlainReset:
		return fleet.servers[len(fleet.engines)+target].resetAll, nil
	case PlainMute:
		return holding(fleet.servers[len(fleet.engines)+target], 1, 1)
	case PlainLost:
		return holding(fleet.servers[len(fleet.engines)+target], 0, 1)
	}
	return fleet.asked(fault)
}

// holding holds up a proxy's directions, and resets what was held when that ends:
// callers have given it up, and connections that went silent stay so.
func holding(proxy *proxy, in, out int) (begin, end func()) {
	return func() { proxy.hold(in, out) }, func() {
		proxy.hold(-in, -out)
		proxy.resetAll()
	}
}

// copyAge is how old the copy is from which the store comes back.
const copyAge = "4s"

// asked are the faults that the stand-in brings about.
func (fleet *fleet) asked(fault Fault) (begin, end func()) {
	telling := func(path string) func() { return func() { fleet.tell(path) } }
	switch fault.Kind {
	case StoreAway:
		return fleet.away("busy")
	case StoreMute:
		return fleet.away("silent")
	case StoreReset:
		return fleet.away("resetting")
	case StoreSlow:
		return telling("/store?slow=" + slowed), telling("/store?slow=0s")
	case StoreForget:
		return telling("/store?forget=true"), nil
	case StoreReturn:
		return telling("/store?away=true"), telling("/store?restore=" + copyAge)
	case ServerEnd:
		return telling("/servers/" + fleet.engines[fault.Target] + "/end"), nil
	case ServerKill:
		id := fleet.engines[fault.Target]
		return telling("/servers/" + id + "/kill"), telling("/servers/" + id + "/restart")
	case ServerBreak:
		path := "/resets/" + fleet.engines[fault.Target]
		return telling(path + "?value=1"), telling(path)
	case PlainDrain:
		return telling("/servers/" + fleet.plain[fault.Target] + "/drain"), nil
	case Configure:
		return fleet.configure, nil
	}
	return func() {}, nil
}

// configure makes the operator write the next version.
func (fleet *fleet) configure() {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.version++
	fleet.tell("/configuration/" + strconv.FormatInt(fleet.version, 10))
}

// newest is the version that the operator wrote last.
func (fleet *fleet) newest() int64 {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.version
}

// piledUp is how many changes are confirmed one after the other at the store's return.
const piledUp = 3

// away makes the store answer nothing, and changes be confirmed at its return.
func (fleet *fleet) away(mode string) (begin, end func()) {
	return func() { fleet.tell("/store?mode=" + mode) }, func() {
		fleet.tell("/store?mode=answering")
		for range piledUp {
			fleet.configure()
		}
	}
}
