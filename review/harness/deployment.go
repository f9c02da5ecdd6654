package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hazelslip/platform/standin"
)

// Names of the deployment.
const (
	zone        = "hall-tol"
	host        = "ledger.example"
	apiKey      = "key-1"
	tenant      = "lake"
	serviceName = "ledger"
)

// Offsets from the base port. All nodes use the same ports, each at its own address.
const (
	callerPort    = 0
	readinessPort = 1
	adminPort     = 2
	peerPort      = 3
	storePort     = 10
	runnerPort    = 20
)

// storeLatency is how long the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// heartbeat is how often a runner writes its entry.
const heartbeat = 1200 * time.Millisecond

// route is a route of the deployment's only service.
type route struct {
	prefix, kind        string
	timeoutMS, targetMS int
	attempts            int
}

// deploymentShape is the size and configuration of a deployment.
type deploymentShape struct {
	nodes, runners, slots int
	routes                []route
	serve                 func(runner *runner, writer http.ResponseWriter, request *http.Request)
}

// deployment is a running deployment.
type deployment struct {
	shape   deploymentShape
	record  *recorder
	trouble bool
	store   *standin.Store
	base    int
	folder  string
	runners []*runner
	nodes   []*node
	closers []func()
	ended   chan struct{}

	mu   sync.Mutex
	runs []run
}

// node is an entry node's process.
type node struct {
	number  int
	command *exec.Cmd
	exited  chan struct{}
}

func (deployment *deployment) recordRun(added run) {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	deployment.runs = append(deployment.runs, added)
}

// runLog returns the runs so far.
func (deployment *deployment) runLog() []run {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	return append([]run(nil), deployment.runs...)
}

func (deployment *deployment) nodeAddress(number, port int) string {
	return fmt.Sprintf("127.0.0.%d:%d", 10+number, deployment.base+port)
}

func (deployment *deployment) storeAddress() string {
	return fmt.Sprintf("127.0.1.1:%d", deployment.base+storePort)
}

// startDeployment starts the stand-ins and the nodes, and waits until the nodes are ready.
func startDeployment(shape deploymentShape, record *recorder, trouble bool) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	deployment := &deployment{shape: shape, record: record, trouble: trouble, store: standin.NewStore(), folder: folder, ended: make(chan struct{})}
	deployment.base = freePorts()
	deployment.store.SetDelay(storeLatency)
	if err := deployment.start(); err != nil {
		deployment.stop()
		return nil, err
	}
	return deployment, nil
}

// freePorts returns a base port, below the ports of outgoing connections, of a free range.
func freePorts() int {
	for {
		base := 12000 + 40*rand.IntN(400)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.10:%d", base))
		if err == nil {
			listener.Close()
			return base
		}
	}
}

func (deployment *deployment) start() error {
	deployment.store.Put("keyed.op", "config", deployment.configuration())
	if err := deployment.serveHTTP(deployment.storeAddress(), deployment.store); err != nil {
		return err
	}
	for number := range deployment.shape.runners {
		if err := deployment.startRunner(number); err != nil {
			return err
		}
	}
	go deployment.sendHeartbeats()
	for number := range deployment.shape.nodes {
		if err := deployment.startNode(number, true); err != nil {
			return err
		}
	}
	for number := range deployment.shape.nodes {
		if err := deployment.awaitReady(number); err != nil {
			return err
		}
	}
	deployment.record.note("all nodes are ready")
	return nil
}

func (deployment *deployment) serveHTTP(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	deployment.closers = append(deployment.closers, func() { server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

// configuration returns the operator's configuration.
func (deployment *deployment) configuration() []byte {
	routes := []any{}
	for number, route := range deployment.shape.routes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("route-%d", number), "host": host, "path_prefix": route.prefix, "route_type": route.kind, "timeout_ms": route.timeoutMS,
			"target_latency_ms": route.targetMS, "max_attempts": route.attempts, "priority": 1, "service": serviceName,
		})
	}
	body, err := json.Marshal(map[string]any{
		"version": 1, "routes": routes,
		"services": []any{map[string]any{"name": serviceName, "health_path": "/healthz", "max_connections": 400}},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	})
	if err != nil {
		panic(err)
	}
	return body
}

func (deployment *deployment) startRunner(number int) error {
	address := fmt.Sprintf("127.0.2.%d:%d", 1+number, deployment.base+runnerPort)
	created := &runner{id: fmt.Sprintf("i-%08x", 0x5ef20000+number), service: serviceName, address: address, deployment: deployment, serve: deployment.shape.serve}
	deployment.mu.Lock()
	deployment.runners = append(deployment.runners, created)
	deployment.mu.Unlock()
	return created.start()
}

func (deployment *deployment) sendHeartbeats() {
	for {
		select {
		case <-deployment.ended:
			return
		case <-time.After(heartbeat):
		}
		for _, runner := range deployment.allRunners() {
			runner.announce()
		}
	}
}

// allRunners returns the runners so far.
func (deployment *deployment) allRunners() []*runner {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	return append([]*runner(nil), deployment.runners...)
}

// runnerAt returns a runner by its number.
func (deployment *deployment) runnerAt(number int) *runner {
	return deployment.allRunners()[number]
}

// settingsFormat is the settings file of a node, as the platform writes it.
const settingsFormat = `node_name = "edge-%[1]d"
role = "gateway"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = "%[2]s"
zone = "hall-tol"
region = "great-lakes"
internal_port_range = [%[3]d,%[4]d]
seeds = [%[5]s]
bootstrap = %[6]t
fault_counted = false
discovery = "platform"
entry = "anycast"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"]
[zones]
hall-tol = "great-lakes"
[listen]
http = "%[7]s"
readiness = "%[8]s"
admin = "%[9]s"
[limits]
cpu_fraction = 0.4
cores = 1
memory_mb = 284
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
stretch_max_ms = 5000
revoke_fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_min = 103
recovery_s = 12
iteration_ms = 120
retry_after_s = 0
stall_ms = 6000
require_fencing = true
ceiling_window_s = 5
load_burst_factor = 1.1
[platform]
address = "%[10]s"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 24
append_ms = 1.0
ingress_mb_s = 20.0
egress_mb_s = 80.0
record_bytes = 262144
request_bytes = 2097152
keep_s = 300
partition_mb = 200
min_ttl_ms = 1000
`

// startNode starts a node's process with the command of the deploy file.
func (deployment *deployment) startNode(number int, bootstrap bool) error {
	seeds := []string{}
	for seed := range min(3, deployment.shape.nodes) {
		seeds = append(seeds, `"`+deployment.nodeAddress(seed, adminPort)+`"`)
	}
	ip, _, _ := strings.Cut(deployment.nodeAddress(number, 0), ":")
	settings := fmt.Sprintf(settingsFormat, number, ip, deployment.base+peerPort, deployment.base+peerPort+5, strings.Join(seeds, ","), bootstrap,
		deployment.nodeAddress(number, callerPort), deployment.nodeAddress(number, readinessPort), deployment.nodeAddress(number, adminPort), deployment.storeAddress())
	path := filepath.Join(deployment.folder, fmt.Sprintf("node-%d.toml", number))
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil { //nolint:gosec // a temporary folder
		return err
	}
	log, err := os.OpenFile(filepath.Join(deployment.folder, fmt.Sprintf("node-%d.log", number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // a temporary folder
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/hazelslip", "gateway")
	command.Env = append(os.Environ(), "HAZELSLIP_NODE_FILE="+path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	started := &node{number: number, command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(started.exited)
	}()
	if number < len(deployment.nodes) {
		deployment.nodes[number] = started
	} else {
		deployment.nodes = append(deployment.nodes, started)
	}
	deployment.record.note("node %d starts, process %d", number, command.Process.Pid)
	return nil
}

// awaitReady waits until a node reports that it is ready.
func (deployment *deployment) awaitReady(number int) error {
	client := &http.Client{Timeout: time.Second}
	for range 150 {
		response, err := client.Get("http://" + deployment.nodeAddress(number, readinessPort) + "/v1/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("node %d does not become ready: %w", number, errTimeout)
}

func (deployment *deployment) stop() {
	close(deployment.ended)
	for _, node := range deployment.nodes {
		_ = node.command.Process.Kill()
		<-node.exited
	}
	for _, runner := range deployment.runners {
		runner.stop()
	}
	for _, closer := range deployment.closers {
		closer()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Fprintln(os.Stderr, "logs:", deployment.folder)
		return
	}
	_ = os.RemoveAll(deployment.folder) //nolint:gosec // a temporary folder
}
