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

	"hazelslip/internal/common/clock"
	"hazelslip/internal/run/gateway"
	"hazelslip/platform/standin"
)

// Port offsets from the base port. Each node has its own loopback address and uses the same ports
// on it. The proxies have other loopback addresses.
const (
	storePort     = 0
	controlPort   = 1
	callerPort    = 10
	readinessPort = 11
	operatorPort  = 12
	peerPort      = 13
	serverPort    = 100
	// maxNodes is the number of loopback addresses available for nodes.
	maxNodes = 240
	// firstHostNumber is the last byte of the first node's address.
	firstHostNumber = 10
)

// fleet holds the processes of a soak test and the proxies between them.
type fleet struct {
	options         Options
	shape           standin.Shape
	recordViolation func(format string, values ...any)
	controlClient   *http.Client

	standin *process
	nodes   []*process
	// peerProxies has one proxy per node in front of the node's peer port, storeProxies one per
	// node in front of the store, and serverProxies one per server: first the engines, then the plain
	// servers.
	peerProxies, storeProxies []*proxy
	serverProxies             []*proxy
	engines                   []string
	plainServers              []string
	timeline                  timeline

	// mu serializes the writes of configuration versions.
	mu      sync.Mutex
	version int64
}

func (fleet *fleet) nodeAddress(node, port int) string {
	return fmt.Sprintf("127.0.0.%d:%d", firstHostNumber+node, fleet.options.BasePort+port)
}

func (fleet *fleet) stateURL(node int) string {
	return "http://" + fleet.nodeAddress(node, operatorPort) + "/state"
}

// proxyAddress returns the address of a proxy that belongs to a node.
func (fleet *fleet) proxyAddress(node, port int) string {
	return fmt.Sprintf("127.0.1.%d:%d", firstHostNumber+node, fleet.options.BasePort+port)
}

// serverProxyHost is the host of the proxies in front of the servers.
const serverProxyHost = "127.0.2.1"

func (fleet *fleet) start() error {
	fleet.engines, fleet.plainServers = standin.ServerIDs(fleet.shape)
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
		name: "standin", program: options.Program, folder: options.Folder, recordViolation: fleet.recordViolation,
		arguments: []string{
			"standin", "--platform", "--base-port", strconv.Itoa(options.BasePort), "--domains", strconv.Itoa(shape.Domains),
			"--servers", strconv.Itoa(shape.Servers), "--ledgers", strconv.Itoa(shape.Ledgers), "--seed", strconv.FormatUint(shape.Seed, 10),
			"--control", fmt.Sprintf("127.0.0.1:%d", options.BasePort+controlPort), "--advertise-host", serverProxyHost,
		},
	}
	// Fail early if a port is in use, with its address in the error.
	for _, port := range []int{storePort, controlPort, serverPort} {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", options.BasePort+port))
		if err != nil {
			return errors.Wrap(err, "check the ports of the stand-in")
		}
		listener.Close()
	}
	if err := fleet.standin.start(); err != nil {
		return err
	}
	for range 100 {
		if _, err := fleet.fetchObserved(); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.Newf("the stand-in does not respond; see %s", filepath.Join(options.Folder, "standin-1.log"))
}

func (fleet *fleet) startProxies() error {
	base := fleet.options.BasePort
	for node := range fleet.options.Nodes {
		peer, err := newProxy(fleet.proxyAddress(node, peerPort), fleet.nodeAddress(node, peerPort))
		if err != nil {
			return err
		}
		fleet.peerProxies = append(fleet.peerProxies, peer)
		store, err := newProxy(fleet.proxyAddress(node, storePort), fmt.Sprintf("127.0.0.1:%d", base+storePort))
		if err != nil {
			return err
		}
		fleet.storeProxies = append(fleet.storeProxies, store)
	}
	for number := range len(fleet.engines) + len(fleet.plainServers) {
		port := base + serverPort + number
		server, err := newProxy(fmt.Sprintf("%s:%d", serverProxyHost, port), fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return err
		}
		fleet.serverProxies = append(fleet.serverProxies, server)
	}
	return nil
}

const settingsMode = 0o600

func (fleet *fleet) newNode(node int) (*process, error) {
	name := fmt.Sprintf("node-%d", node+1)
	nodeSettings := gateway.Settings{
		Name: name, DataCentre: fleet.shape.DataCentreOf(node), Region: "soak", Store: fleet.proxyAddress(node, storePort),
		Listen: gateway.Listen{
			Caller: fleet.nodeAddress(node, callerPort), Readiness: fleet.nodeAddress(node, readinessPort), Operator: fleet.nodeAddress(node, operatorPort),
		},
		Bounds: standin.DefaultBounds(), Limits: gateway.Limits{MemoryBytes: nodeMemoryBytes},
	}
	seeds := []string{}
	for seed := range min(3, fleet.options.Nodes) {
		seeds = append(seeds, fleet.proxyAddress(seed, operatorPort))
	}
	nodeProcess := &process{name: name, program: fleet.options.Program, folder: fleet.options.Folder, recordViolation: fleet.recordViolation}
	for _, firstStart := range []bool{true, false} {
		nodeSettings.FirstStart = firstStart
		body, err := standin.SettingsFile(nodeSettings, fmt.Sprintf("127.0.0.%d", firstHostNumber+node), fleet.options.BasePort+peerPort, seeds)
		if err != nil {
			return nil, err
		}
		path := filepath.Join(fleet.options.Folder, fmt.Sprintf("%s-first-%t.toml", name, firstStart))
		if err := os.WriteFile(path, body, settingsMode); err != nil {
			return nil, errors.Wrap(err, "write settings")
		}
		arguments := []string{"gateway", "--settings", path, "--advertise-peer", fleet.proxyAddress(node, peerPort)}
		if firstStart {
			nodeProcess.arguments = arguments
		} else {
			nodeProcess.restartArguments = arguments
		}
	}
	return nodeProcess, nil
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
	for _, proxies := range [][]*proxy{fleet.peerProxies, fleet.storeProxies, fleet.serverProxies} {
		for _, proxy := range proxies {
			stops.Go(proxy.stop)
		}
	}
	stops.Wait()
}

// sendControl sends a request to the control address of the stand-in.
func (fleet *fleet) sendControl(path string) {
	response, err := fleet.controlClient.Post(fmt.Sprintf("http://127.0.0.1:%d%s", fleet.options.BasePort+controlPort, path), "", nil)
	if err != nil {
		fleet.recordViolation("send %s to the stand-in: %v", path, err)
		return
	}
	response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		fleet.recordViolation("the stand-in responded with status %d to %s", response.StatusCode, path)
	}
}

// fetchObserved returns what the stand-in has observed so far.
func (fleet *fleet) fetchObserved() (standin.Observed, error) {
	observed := standin.Observed{}
	return observed, fleet.getJSON(fmt.Sprintf("http://127.0.0.1:%d/observed", fleet.options.BasePort+controlPort), &observed)
}

func (fleet *fleet) getJSON(url string, value any) error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "build the request")
	}
	response, err := fleet.controlClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "send the request")
	}
	defer response.Body.Close()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(value), "decode the response")
}

// inject starts a fault, ends it after its duration and records it.
func (fleet *fleet) inject(ctx context.Context, fault Fault) {
	begin, end := fleet.actions(fault)
	members := []string{}
	if fault.Kind == ServerEnd || fault.Kind == ServerKill {
		members = fleet.groupMembers(fault.Target)
	}
	from := clock.Boot()
	begin()
	if end != nil {
		select {
		case <-time.After(fault.Duration):
		case <-ctx.Done():
		}
		end()
	}
	fleet.timeline.addFault(fault, from, clock.Boot(), members)
}

// groupMembers returns the engines that are in one group with an engine, by what they report.
func (fleet *fleet) groupMembers(engine int) []string {
	type group struct {
		Name  string `json:"name"`
		Epoch int64  `json:"epoch"`
	}
	groups, found := make([]group, len(fleet.engines)), []string{fleet.engines[engine]}
	for number := range groups {
		report := struct {
			Group group `json:"group"`
		}{}
		// A server that is down has no group.
		if err := fleet.getJSON(fmt.Sprintf("http://127.0.0.1:%d/v1/report", fleet.options.BasePort+serverPort+number), &report); err == nil {
			groups[number] = report.Group
		}
	}
	for number, member := range groups {
		if number != engine && member.Name != "" && member == groups[engine] {
			found = append(found, fleet.engines[number])
		}
	}
	return found
}

const (
	// peerDelay is added to each chunk of a frame that a delayed proxy relays, storeDelay to each
	// response of a slow store.
	peerDelay  = 80 * time.Millisecond
	storeDelay = "300ms"
)

// actions returns the functions that begin and end a fault. The end is nil for a fault that needs none.
func (fleet *fleet) actions(fault Fault) (begin, end func()) {
	target := fault.Target
	switch fault.Kind {
	case NodeStop:
		return func() { fleet.terminate(target) }, nil
	case NodeReload:
		return func() { fleet.reload(target) }, nil
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
		return func() { fleet.peerProxies[target].setDelay(peerDelay) }, func() { fleet.peerProxies[target].setDelay(0) }
	case PeerReset:
		return fleet.peerProxies[target].resetAll, nil
	case PeerSilent:
		return holdActions(fleet.peerProxies[target], 1, 1)
	case PeerOneWay:
		return holdActions(fleet.peerProxies[target], 1, 0)
	case StoreSilent:
		return holdActions(fleet.storeProxies[target], 1, 1)
	case StoreLost:
		return holdActions(fleet.storeProxies[target], 0, 1)
	case ServerMute:
		return holdActions(fleet.serverProxies[target], 1, 1)
	case ServerSilent:
		return fleet.silenceActions([]int{target})
	case ServersSilent:
		return fleet.silenceActions(fault.Servers)
	case ServerReset:
		return fleet.serverProxies[target].resetAll, nil
	case PlainReset:
		return fleet.serverProxies[len(fleet.engines)+target].resetAll, nil
	case PlainMute:
		return holdActions(fleet.serverProxies[len(fleet.engines)+target], 1, 1)
	case PlainLost:
		return holdActions(fleet.serverProxies[len(fleet.engines)+target], 0, 1)
	}
	return fleet.standinActions(fault)
}

// holdActions returns functions that block the given directions of a proxy and unblock them. The end
// also resets the proxy's connections: callers have given up on them, and connections that
// stalled stay stalled.
func holdActions(proxy *proxy, in, out int) (begin, end func()) {
	return func() { proxy.hold(in, out) }, func() {
		proxy.hold(-in, -out)
		proxy.resetAll()
	}
}

// terminate stops a node with SIGTERM and waits until its process has ended.
func (fleet *fleet) terminate(node int) {
	from := clock.Boot()
	if fleet.nodes[node].terminate() {
		fleet.timeline.addPlanned(standin.Termination, node, from, clock.Boot())
	}
}

// reload sends SIGHUP to a node that responds. A process that is starting would die of it.
func (fleet *fleet) reload(node int) {
	if err := fleet.getJSON(fleet.stateURL(node), &gateway.State{}); err != nil {
		return
	}
	if from := clock.Boot(); fleet.nodes[node].signal(syscall.SIGHUP) {
		fleet.timeline.addPlanned(standin.Reload, node, from, from)
	}
}

// backupAge is the age of the backup from which the store is restored.
const backupAge = "4s"

// standinActions returns the begin and end functions of the faults that the stand-in produces.
func (fleet *fleet) standinActions(fault Fault) (begin, end func()) {
	command := func(path string) func() { return func() { fleet.sendControl(path) } }
	switch fault.Kind {
	case StoreAway:
		return fleet.storeOutage("busy")
	case StoreMute:
		return fleet.storeOutage("silent")
	case StoreReset:
		return fleet.storeOutage("resetting")
	case StoreSlow:
		return command("/store?slow=" + storeDelay), command("/store?slow=0s")
	case StoreForget:
		return command("/store?forget=true"), nil
	case StoreReturn:
		return command("/store?away=true"), command("/store?restore=" + backupAge)
	case ServerEnd:
		return command("/servers/" + fleet.engines[fault.Target] + "/end"), nil
	case ServerKill:
		id := fleet.engines[fault.Target]
		return command("/servers/" + id + "/kill"), command("/servers/" + id + "/restart")
	case ServerBreak:
		path := "/resets/" + fleet.engines[fault.Target]
		return command(path + "?value=1"), command(path)
	case PlainDrain:
		return command("/servers/" + fleet.plainServers[fault.Target] + "/drain"), nil
	case Configure:
		return fleet.writeConfiguration, nil
	}
	return func() {}, nil
}

// writeConfiguration writes the next configuration version, as the operator does.
func (fleet *fleet) writeConfiguration() {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.version++
	from := clock.Boot()
	fleet.sendControl("/configuration/" + strconv.FormatInt(fleet.version, 10))
	fleet.timeline.addPlanned(standin.Configuring, 0, from, clock.Boot())
}

// latestVersion returns the configuration version that was written last.
func (fleet *fleet) latestVersion() int64 {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.version
}

// changesPerOutage is the number of configuration changes that are confirmed in a row when the store is back.
const changesPerOutage = 3

// storeOutage returns functions that begin and end an outage of the store in the given mode. The end also
// writes several configuration versions in a row.
func (fleet *fleet) storeOutage(mode string) (begin, end func()) {
	return func() { fleet.sendControl("/store?mode=" + mode) }, func() {
		fleet.sendControl("/store?mode=answering")
		for range changesPerOutage {
			fleet.writeConfiguration()
		}
	}
}
