package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"hazelslip/internal/run/gateway"
	"hazelslip/platform/standin"
)

// Limits of the machine of the node under test.
const (
	memoryMB       = 64
	maxDescriptors = 400
)

// Ports. The gateway node has a loopback address of its own.
const (
	basePort      = 27000
	callerPort    = basePort + 10
	readinessPort = basePort + 11
	operatorPort  = basePort + 12
	peerPort      = basePort + 13
	detourPort    = peerPort + 1
	nodeIP        = "127.0.0.10"
	standinIP     = "127.0.0.1"
)

// controlAddress is that of the stand-in of the platform.
var controlAddress = net.JoinHostPort(standinIP, strconv.Itoa(basePort+1))

func nodeAddress(port int) string { return net.JoinHostPort(nodeIP, strconv.Itoa(port)) }

func ownAddress(port int) string { return net.JoinHostPort(standinIP, strconv.Itoa(port)) }

// buildProgram builds the program once for all tests. It is built without the race detector, which multiplies the
// memory of a process.
var buildProgram = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "crowd-")
	if err != nil {
		return "", errors.Wrap(err, "create a folder for the program")
	}
	program := filepath.Join(folder, "hazelslip")
	output, err := exec.Command("go", "build", "-o", program, "hazelslip").CombinedOutput()
	return program, errors.Wrapf(err, "build the program: %s", output)
})

func TestMain(m *testing.M) {
	code := m.Run()
	if program, err := buildProgram(); err == nil {
		_ = os.RemoveAll(filepath.Dir(program))
	}
	os.Exit(code)
}

// process is a running program.
type process struct {
	name    string
	command *exec.Cmd
	output  *bytes.Buffer
	ended   chan struct{}
	waiting conc.WaitGroup
}

// startProcess starts the program. The process ends with the test.
func startProcess(t *testing.T, name string, arguments ...string) *process {
	t.Helper()
	expect := gomega.NewWithT(t)
	program, err := buildProgram()
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	started := &process{name: name, command: exec.Command(program, arguments...), output: &bytes.Buffer{}, ended: make(chan struct{})}
	started.command.Stdout, started.command.Stderr = started.output, started.output
	started.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	expect.Expect(started.command.Start()).To(gomega.Succeed())
	started.waiting.Go(func() {
		defer close(started.ended)
		_ = started.command.Wait()
	})
	t.Cleanup(func() {
		_ = started.command.Process.Kill()
		started.waiting.Wait()
		if t.Failed() {
			t.Logf("last output of %s:\n%s", name, lastLines(started.output.String(), 15))
		}
	})
	return started
}

func lastLines(text string, count int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}

// alive reports whether the process runs.
func (process *process) alive() bool {
	select {
	case <-process.ended:
		return false
	default:
		return true
	}
}

func (process *process) procFile(name string) string {
	return fmt.Sprintf("/proc/%d/%s", process.command.Process.Pid, name)
}

// peakMemory returns the largest resident memory that the process has had, in bytes.
func (process *process) peakMemory() int {
	status, err := os.ReadFile(process.procFile("status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			if err == nil {
				return kilobytes << 10
			}
		}
	}
	return 0
}

// descriptors returns the number of open descriptors of the process.
func (process *process) descriptors() int {
	entries, err := os.ReadDir(process.procFile("fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// listening is the state of a listening socket in /proc/net/tcp.
const listening = "0A"

// queuedBytes returns how many bytes the kernel holds in the buffers of connections to some ports.
func queuedBytes(ports []int) int {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	sum := 0
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		// Listening sockets have counts of connections in place of sizes.
		if len(fields) < 5 || fields[3] == listening || !slices.ContainsFunc(ports, func(port int) bool {
			return strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", port))
		}) {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{sent, received} {
			if size, err := strconv.ParseInt(queue, 16, 64); err == nil {
				sum += int(size)
			}
		}
	}
	return sum
}

// usage is the largest use of a process's resources.
type usage struct {
	mu          sync.Mutex
	queued      int
	descriptors int
}

const sampleInterval = 5 * time.Millisecond

// watch samples the use of a process until the returned function is called.
func (usage *usage) watch(system *system) (stop func()) {
	stopping, running := make(chan struct{}), conc.WaitGroup{}
	running.Go(func() {
		for {
			queued, descriptors := queuedBytes(system.ports), system.node.descriptors()
			usage.mu.Lock()
			usage.queued, usage.descriptors = max(usage.queued, queued), max(usage.descriptors, descriptors)
			usage.mu.Unlock()
			select {
			case <-stopping:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return func() {
		close(stopping)
		running.Wait()
	}
}

// system is a node and the stand-in of what is around it.
type system struct {
	node *process
	// ports are those at which the node listens.
	ports []int
	// send sends an ordinary request, and returns nil if it was answered.
	send func(id string) error
	// readinessURL is the URL of the readiness check.
	readinessURL string
}

// startGateway starts a gateway node and the stand-in of the platform, and returns once the node serves.
func startGateway(t *testing.T) *system {
	t.Helper()
	expect := gomega.NewWithT(t)
	startProcess(t, "standin", "standin", "--platform", "--base-port", strconv.Itoa(basePort), "--domains", "1", "--servers", "2", "--ledgers", "2", "--control", controlAddress)
	settings := gateway.Settings{
		Name: "node-1", DataCentre: "dc-1", Region: "crowd", Store: net.JoinHostPort(standinIP, strconv.Itoa(basePort)), FirstStart: true,
		Listen: gateway.Listen{Caller: nodeAddress(callerPort), Readiness: nodeAddress(readinessPort), Operator: nodeAddress(operatorPort)},
		Bounds: standin.DefaultBounds(), Limits: gateway.Limits{MemoryBytes: memoryMB << 20},
	}
	body, err := standin.SettingsFile(settings, nodeIP, peerPort, []string{nodeAddress(operatorPort)})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	limits := "[limits]\n"
	expect.Expect(string(body)).To(gomega.ContainSubstring(limits))
	file := strings.Replace(string(body), limits, fmt.Sprintf("%smax_fds = %d\n", limits, maxDescriptors), 1)
	path := filepath.Join(t.TempDir(), "node.toml")
	expect.Expect(os.WriteFile(path, []byte(file), 0o600)).To(gomega.Succeed())
	started := &system{
		node: startProcess(t, "node", "gateway", "--settings", path), ports: []int{callerPort, readinessPort, operatorPort, peerPort, detourPort},
		readinessURL: "http://" + nodeAddress(readinessPort) + "/v1/readyz", send: sendPing,
	}
	started.limitDescriptors(t)
	expect.Expect(started.answered("start")).To(gomega.Succeed())
	return started
}

// sendPing sends a request to the gateway node on a new connection.
func sendPing(id string) error {
	client := standin.NewCaller()
	defer client.CloseIdleConnections()
	result := standin.Send(context.Background(), client, nodeAddress(callerPort), standin.Request{ID: id, Kind: standin.Ping, Body: "x"})
	if !result.Complete {
		return errors.Newf("status %d, %s", result.Status, result.Failure)
	}
	return nil
}

// Ports of a node with the project's own interface, by the stand-in's choice.
const (
	ownCallerPort   = basePort + 10
	ownOperatorPort = basePort + 11
	ownPeerPort     = basePort + 12
)

// startOwnNode starts a node with the project's own interface and the stand-ins around it.
func startOwnNode(t *testing.T) *system {
	t.Helper()
	folder := t.TempDir()
	startProcess(t, "standin", "standin", "--base-port", strconv.Itoa(basePort), "--write-settings", folder)
	path := filepath.Join(folder, "lakes-a-entry-1.toml")
	expect := gomega.NewWithT(t)
	for range maxAttempts {
		if _, err := os.Stat(filepath.Join(folder, "lakes-b-entry-2.toml")); err == nil {
			break
		}
		time.Sleep(attemptsPause)
	}
	caller := "http://" + ownAddress(ownCallerPort)
	started := &system{
		node: startProcess(t, "node", "node", "--settings", path), ports: []int{ownCallerPort, ownOperatorPort, ownPeerPort},
		readinessURL: caller + "/readyz", send: func(id string) error { return sendBooking(caller, id) },
	}
	started.limitDescriptors(t)
	expect.Expect(started.answered("start")).To(gomega.Succeed())
	return started
}

// sendBooking sends a request to the node with the project's own interface on a new connection.
func sendBooking(caller, id string) error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, caller+"/services/scheduling/slots", strings.NewReader("x"))
	if err != nil {
		return err
	}
	request.Header.Set("Idempotency-Key", id)
	client := http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("status %d", response.StatusCode)
	}
	return nil
}

func (system *system) limitDescriptors(t *testing.T) {
	t.Helper()
	limit := unix.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}
	gomega.NewWithT(t).Expect(unix.Prlimit(system.node.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil)).To(gomega.Succeed())
}

// Attempts at an ordinary request. Callers retry requests that were refused or that found no node.
const (
	maxAttempts   = 200
	attemptsPause = 100 * time.Millisecond
)

// answered returns nil once the node has answered an ordinary request on a new connection.
func (system *system) answered(name string) error {
	var last error
	for number := range maxAttempts {
		if !system.node.alive() {
			return errors.Newf("the node's process has ended: %s", system.node.command.ProcessState)
		}
		if last = system.send(fmt.Sprintf("%s-%d", name, number)); last == nil {
			return nil
		}
		time.Sleep(attemptsPause)
	}
	return errors.Wrap(last, "no answer to an ordinary request")
}

// readiness returns the status of the readiness check.
func (system *system) readiness() (int, error) {
	client := http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(system.readinessURL)
	if err != nil {
		return 0, errors.Wrap(err, "check readiness")
	}
	response.Body.Close()
	return response.StatusCode, nil
}
