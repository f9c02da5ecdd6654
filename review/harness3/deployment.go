package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/platform/standin"
)

// Names of the small deployment.
const (
	host        = "demo.example"
	callerKey   = "n2ctnfzs989anu6wsjnb"
	serviceName = "ledger"
	zoneName    = "zone-a"
)

// deployment is a store, plain runners and gateway processes on loopback addresses.
type deployment struct {
	record  *record
	folder  string
	store   *standin.Store
	address string
	closers []io.Closer

	mu    sync.Mutex
	nodes []*node
}

// node is a process of the program, started by the run line of the deploy file.
type node struct {
	name, ip, zone           string
	caller, readiness, admin string
	settings                 string
	process                  *exec.Cmd
	ended                    chan struct{}
}

func newDeployment(record *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	deployed := &deployment{record: record, folder: folder, store: standin.NewStore()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	deployed.address = listener.Addr().String()
	server := &http.Server{Handler: deployed.store, ReadHeaderTimeout: 5 * time.Second}
	deployed.closers = append(deployed.closers, server)
	go func() { _ = server.Serve(listener) }()
	return deployed, nil
}

// stop ends all processes that the deployment started, and removes its folder.
func (deployed *deployment) stop() {
	deployed.mu.Lock()
	nodes := deployed.nodes
	deployed.mu.Unlock()
	for _, started := range nodes {
		_ = started.process.Process.Signal(syscall.SIGCONT)
		_ = started.process.Process.Kill()
		<-started.ended
	}
	for _, closer := range deployed.closers {
		_ = closer.Close()
	}
	_ = os.RemoveAll(deployed.folder) //nolint:gosec // a folder that this program has made
}

// freePorts returns consecutive free ports at an address.
func freePorts(ip string, count int) (int, error) {
	for range 200 {
		first, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		base := first.Addr().(*net.TCPAddr).Port
		first.Close()
		free := base+count < 65000
		for port := base; port < base+count && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if free = err == nil; free {
				listener.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

// portsPerNode is the number of ports of a node: three listeners and two internal ports.
const portsPerNode = 5

const settingsFormat = `node_name = %q
role = "gateway"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = %q
zone = %q
region = %q
internal_port_range = [%d,%d]
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "anycast"
heartbeat_ms = 1200
[zones]
%s
[listen]
http = %q
readiness = %q
admin = %q
[limits]
cpu_fraction = 0.4
cores = 1
memory_mb = 284
max_fds = 4200
link_mbps = 1000.0
[bounds]
reuse_after_s = 2
stable_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_min = 103
stall_ms = 6000
require_fencing = true
ceiling_window_s = 5
load_burst_factor = 1.1
[platform]
address = %q
`

// startNode starts a gateway process at a loopback address of its own. All nodes use the same ports.
func (deployed *deployment) startNode(name, ip, zone, region string, ports int, seeds []string, zones map[string]string) (*node, error) {
	started := &node{
		name: name, ip: ip, zone: zone, caller: fmt.Sprintf("%s:%d", ip, ports), readiness: fmt.Sprintf("%s:%d", ip, ports+1),
		admin: fmt.Sprintf("%s:%d", ip, ports+2), settings: filepath.Join(deployed.folder, name+".toml"), ended: make(chan struct{}),
	}
	quoted, lines := []string{}, []string{}
	for _, seed := range seeds {
		quoted = append(quoted, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", seed, ports+2)))
	}
	for known, regionOf := range zones {
		lines = append(lines, fmt.Sprintf("%s = %q", known, regionOf))
	}
	body := fmt.Sprintf(settingsFormat, name, ip, zone, region, ports+3, ports+4, strings.Join(quoted, ","), strings.Join(lines, "\n"),
		started.caller, started.readiness, started.admin, deployed.address)
	if err := os.WriteFile(started.settings, []byte(body), 0o600); err != nil { //nolint:gosec // a folder that this program has made
		return nil, err
	}
	log, err := os.Create(filepath.Join(deployed.folder, name+".log")) //nolint:gosec // a folder that this program has made
	if err != nil {
		return nil, err
	}
	started.process = exec.Command("target/hazelslip", "gateway")
	started.process.Env = append(os.Environ(), "HAZELSLIP_NODE_FILE="+started.settings)
	started.process.Stdout, started.process.Stderr = log, log
	if err := started.process.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = started.process.Wait()
		log.Close()
		close(started.ended)
	}()
	deployed.mu.Lock()
	deployed.nodes = append(deployed.nodes, started)
	deployed.mu.Unlock()
	return started, nil
}

// startOnlyNode starts the only node of a deployment, and waits until it is ready.
func (deployed *deployment) startOnlyNode() (*node, error) {
	ports, err := freePorts("127.0.0.1", portsPerNode)
	if err != nil {
		return nil, err
	}
	started, err := deployed.startNode("node-1", "127.0.0.1", zoneName, "region-a", ports, nil, map[string]string{zoneName: "region-a"})
	if err != nil {
		return nil, err
	}
	return started, started.awaitReady(15 * time.Second)
}

// awaitReady waits until a node reports that it is ready.
func (started *node) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + started.readiness + "/v1/readyz") //nolint:gosec // a loopback address
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Newf("node %s did not become ready", started.name)
}

// putConfiguration writes a version of the configuration as the operator does.
func (deployed *deployment) putConfiguration(version int, extra func(routes []map[string]any) []map[string]any) {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": 2000, "service": serviceName,
			"target_latency_ms": 100, "max_attempts": attempts, "priority": 2,
		}
	}
	routes := []map[string]any{route("book", "/book/", "non_idempotent", 2), route("look", "/look/", "idempotent", 2)}
	if extra != nil {
		routes = extra(routes)
	}
	deployed.store.Put("keyed.op", "config", encode(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": serviceName, "health_path": "/healthz", "max_connections": 50}},
		"tenants":  []any{map[string]any{"name": "auditors", "api_keys": []string{callerKey}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	}))
}

var errNothingServed = errors.New("no request was served")

func encode(body any) []byte {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return encoded
}
