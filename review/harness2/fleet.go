package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"hazelslip/internal/run/gateway"
	"hazelslip/platform/standin"
)

// Port offsets from the base port. Each node has its own loopback address and uses the same ports on it.
const (
	storePort     = 0
	callerPort    = 10
	readinessPort = 11
	operatorPort  = 12
	peerPort      = 13
	serverPort    = 100
	portSpan      = 200
	firstBase     = 20000
	lastBase      = 30000
	firstHost     = 10
)

const (
	nodeCount = 7
	seedCount = 3
	heartbeat = 1200 * time.Millisecond
	// startTimeout is how long the nodes and the first groups may take until they serve.
	startTimeout = 30 * time.Second
	program      = "target/hazelslip"
)

// nodeProcess is the process of one gateway node.
type nodeProcess struct {
	settings, log string
	command       *exec.Cmd
	ended         chan struct{}
}

// fleet holds the node processes and the stand-ins of the store and of the servers.
type fleet struct {
	folder   string
	base     int
	shape    standin.Shape
	platform *standin.Deployment
	nodes    []*nodeProcess
}

// freeBase returns the first of portSpan free ports in a row. It begins anywhere, so that two cases that start at the same
// moment do not choose the same ports.
func freeBase() (int, error) {
	for _, number := range rand.Perm((lastBase - firstBase) / portSpan) {
		if base := firstBase + number*portSpan; portsFree(base) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", portSpan)
}

func portsFree(base int) bool {
	for offset := range portSpan {
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(base+offset))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

// newFleet starts the stand-ins. The nodes are started by startAll.
func newFleet(shape standin.Shape) (*fleet, error) {
	base, err := freeBase()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	shape.Heartbeat, shape.EntryTTL = heartbeat, 3*heartbeat
	created := &fleet{folder: folder, base: base, shape: shape}
	offsets := map[string]int{"store": storePort, "server": serverPort}
	created.platform = standin.New(shape, standin.Addresses(func(role string, number int) string {
		return fmt.Sprintf("127.0.0.1:%d", base+offsets[role]+number)
	}))
	if err := created.platform.Start(); err != nil {
		return nil, err
	}
	for number := range nodeCount {
		created.nodes = append(created.nodes, &nodeProcess{
			settings: filepath.Join(folder, fmt.Sprintf("node-%d.toml", number+1)), log: filepath.Join(folder, fmt.Sprintf("node-%d.log", number+1)),
		})
	}
	return created, nil
}

func (fleet *fleet) address(node, port int) string {
	return fmt.Sprintf("127.0.0.%d:%d", firstHost+node, fleet.base+port)
}

// limits are those of a machine of the site file.
var limits = gateway.Limits{MemoryBytes: 284 << 20, MaxDescriptors: 4200, Millicores: 400}

// start starts a node. first is set if the whole system starts for the first time.
func (fleet *fleet) start(number int, first bool) error {
	node := fleet.nodes[number]
	settings := gateway.Settings{
		Name: fmt.Sprintf("node-%d", number+1), DataCentre: fleet.shape.DataCentreOf(number), Region: "review", FirstStart: first,
		Store: fmt.Sprintf("127.0.0.1:%d", fleet.base+storePort), Bounds: standin.DefaultBounds(), Limits: limits,
		Listen: gateway.Listen{
			Caller: fleet.address(number, callerPort), Readiness: fleet.address(number, readinessPort), Operator: fleet.address(number, operatorPort),
		},
	}
	seeds := []string{}
	for seed := range seedCount {
		seeds = append(seeds, fleet.address(seed, operatorPort))
	}
	body, err := standin.SettingsFile(settings, fmt.Sprintf("127.0.0.%d", firstHost+number), fleet.base+peerPort, seeds)
	if err != nil {
		return err
	}
	if err := os.WriteFile(node.settings, body, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(node.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program, "gateway")
	command.Env = append(os.Environ(), "HAZELSLIP_NODE_FILE="+node.settings)
	command.Stdout, command.Stderr = log, log
	// Pdeathsig ends the node even if this process is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	node.command, node.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

func (fleet *fleet) startAll(first bool) error {
	for number := range fleet.nodes {
		if err := fleet.start(number, first); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills all nodes and waits until they have ended.
func (fleet *fleet) killAll() {
	for _, node := range fleet.nodes {
		if node.command != nil {
			_ = node.command.Process.Signal(syscall.SIGKILL)
		}
	}
	for _, node := range fleet.nodes {
		if node.command != nil {
			<-node.ended
		}
	}
}

// stop ends all processes and stand-ins. The logs of the nodes are kept if the variable KEEP is set.
func (fleet *fleet) stop() {
	fleet.killAll()
	fleet.platform.Stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fleet.folder)
	}
}

// ready reports whether a node says that it is ready.
func (fleet *fleet) ready(number int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+fleet.address(number, readinessPort)+"/v1/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready and serving reports true.
func (fleet *fleet) awaitReady(serving func() bool) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		count := 0
		for number := range fleet.nodes {
			if fleet.ready(number) {
				count++
			}
		}
		if count == nodeCount && serving() {
			return nil
		}
	}
	return fmt.Errorf("the nodes do not serve within %s", startTimeout)
}
