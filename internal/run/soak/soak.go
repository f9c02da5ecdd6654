// Package soak runs the real program as processes on loopback and injects faults from
// outside: signals to nodes; proxies between nodes, store and servers that delay, reset or
// block traffic in one direction or both; and servers that exit. Faults come in sequence and
// overlap. Callers keep using open connections until a node closes them. Beside them, crowds of
// clients break the limits of HTTP and of the operator.
//
// During and after the run, the package checks the system's guarantees against what callers
// received and what servers ran:
//
//   - A non-idempotent call runs at most once, and a request reported as "not run" did not run.
//   - Responses are complete, in order and never those of another request.
//   - No response that has begun is cut around planned work (SIGTERM, SIGHUP, a configuration version)
//     unless a server failed, the request's time was over, or there was an unplanned disruption.
//   - No server is in two groups, and no incomplete group serves.
//   - The configuration version of a node never decreases.
//   - Servers that have left get no calls.
//   - Retries stay within the budget, and a request that crashes servers is sent only a few times.
//   - Once the faults have ended, every node serves again, and nodes respect the limit, the backoff
//     and the drain of a server and the drain of a data centre.
//
// The package checks guarantees, not performance.
//
// Plans of odd seeds draw from all kinds of faults. Plans of even seeds consist of planned work and of
// silences of servers that go on afterwards, in overlapping series: no server fails and no link is cut, so
// that a response that is cut is lost unless its time was over.
//
// Options.Busy starves the nodes of processor time while faults are injected. They then fall silent
// themselves, and servers seem silent to them.
//
// The seed determines the whole plan, which is printed first. The package ends only processes
// that it started, by their process IDs. Those processes die with it.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Program: "bin/hazelslip", Seed: 7, Length: 30 * time.Second, Nodes: 4, ...})
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/run/gateway"
	"hazelslip/platform/standin"
)

// Options configures a soak test.
type Options struct {
	// Program is the path of the binary under test.
	Program string
	Seed    uint64
	// Length is the time during which faults are injected.
	Length time.Duration
	Nodes  int
	// Busy is the number of processes that compete with the nodes for processors while faults are injected.
	Busy int
	// BasePort is the first port. The same ports are used on several loopback addresses.
	BasePort int
	// Folder receives the settings and logs of all processes.
	Folder string
	// Out receives the plan and progress messages.
	Out io.Writer
}

// Report is the result of a soak test.
type Report struct {
	Seed     uint64
	Faults   int
	Requests int
	Complete int
	// Cut counts the responses whose connection a node ended before they were complete, for any reason.
	Cut int
	// Statuses counts requests by response status. Status 0 means that the connection failed.
	Statuses map[int]int
	// LongestPause is how long the soak itself was not scheduled at a time while faults were injected. Nodes and
	// proxies paused for about as long.
	LongestPause time.Duration
	// Violations describes the violated guarantees. It is empty if every check passed.
	Violations []string
}

// ErrOptions means that an option is out of range. Use errors.Is.
var ErrOptions = errors.New("invalid soak options")

// Check validates the options.
func (options *Options) Check() error {
	switch {
	case options.Nodes < 1 || options.Nodes > maxNodes:
		return errors.Wrapf(ErrOptions, "%d nodes, must be 1 to %d", options.Nodes, maxNodes)
	case options.Busy < 0 || options.Busy > maxBusy:
		return errors.Wrapf(ErrOptions, "%d busy processes, must be 0 to %d", options.Busy, maxBusy)
	case options.Length < time.Second || options.Length > time.Hour:
		return errors.Wrapf(ErrOptions, "length %s, must be 1 s to 1 h", options.Length)
	case options.BasePort < 1024 || options.BasePort > maxBasePort:
		return errors.Wrapf(ErrOptions, "base port %d, must be 1024 to %d: ports above may be taken by outgoing connections", options.BasePort, maxBasePort)
	}
	if _, err := os.Stat(options.Program); err != nil {
		return errors.Wrapf(ErrOptions, "program %s: %v", options.Program, err)
	}
	return nil
}

const (
	// formationTimeout bounds how long groups may take to form at the start, and recoveryTimeout
	// how long each node may take to serve all kinds of requests again after the faults.
	formationTimeout = 40 * time.Second
	recoveryTimeout  = 40 * time.Second
	// propagationTime is how long a configuration change may take to be in force on every node.
	propagationTime = 2 * time.Second
	// statePollInterval is the interval at which the state of each node is read.
	statePollInterval = 250 * time.Millisecond
	// maxBasePort keeps all ports below the ephemeral range, which starts at 32768: an outgoing
	// connection may hold any port in that range.
	maxBasePort = 32000
	// firstVersion is the configuration version at the start.
	firstVersion = 1
)

// runner executes one plan and collects violations.
type runner struct {
	options Options
	fleet   *fleet
	callers *callerPool

	mu         sync.Mutex
	violations []string
	drains     []drain
}

// Run executes the plan that belongs to the seed. An error means that the test could not run; violated
// guarantees are in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := options.Check(); err != nil {
		return Report{}, err
	}
	shape := standin.Shape{Domains: domains, Servers: 8, Ledgers: 4, Seed: options.Seed}
	engines, plain := standin.ServerIDs(shape)
	plan := GeneratePlan(options.Seed, options.Length, options.Nodes, len(engines), len(plain))
	_, _ = fmt.Fprintf(options.Out, "seed %d: %d nodes, %s, %d faults, %s\n", plan.Seed, plan.Nodes, plan.Length, len(plan.Faults), plan.kinds())
	for _, fault := range plan.Faults {
		_, _ = fmt.Fprintln(options.Out, fault)
	}
	runner := &runner{options: options}
	runner.fleet = &fleet{
		options: options, shape: shape, recordViolation: runner.recordViolation, version: firstVersion,
		controlClient: &http.Client{Timeout: 2 * time.Second},
	}
	runner.callers = &callerPool{
		nodes: options.Nodes, perNode: callersPerNode, draftEvents: draftEvents, stopping: make(chan struct{}),
		address: func(node int) string { return runner.fleet.nodeAddress(node, callerPort) },
	}
	if plan.SoundServers {
		runner.callers.perNode, runner.callers.draftEvents = soundCallersPerNode, soundDraftEvents
	}
	defer runner.fleet.stop()
	if err := runner.fleet.start(); err != nil {
		return Report{}, err
	}
	if !runner.waitUntilAllServe("first", formationTimeout) {
		return Report{}, errors.Newf("not every node serves before the first fault; the logs are in %s", options.Folder)
	}
	return runner.execute(ctx, plan)
}

// recordViolation records the violation of a guarantee.
func (runner *runner) recordViolation(format string, values ...any) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.violations = append(runner.violations, fmt.Sprintf(format, values...))
}

// waitUntilAllServe reports whether every node serves before the timeout.
func (runner *runner) waitUntilAllServe(phase string, timeout time.Duration) bool {
	serving := make([]bool, runner.options.Nodes)
	waiting := conc.WaitGroup{}
	for node := range serving {
		waiting.Go(func() { serving[node] = runner.callers.waitUntilServing(phase, node, timeout) })
	}
	waiting.Wait()
	all := true
	for node, served := range serving {
		if !served {
			_, _ = fmt.Fprintf(runner.options.Out, "node %d does not serve\n", node+1)
			all = false
		}
	}
	return all
}

func (runner *runner) execute(ctx context.Context, plan Plan) (Report, error) {
	busy, err := startBusy(runner.options)
	if err != nil {
		return Report{}, err
	}
	defer busy.stop()
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	watchers := conc.WaitGroup{}
	for node := range runner.options.Nodes {
		watchers.Go(func() { runner.watchVersions(watchCtx, node) })
		watchers.Go(func() { runner.watchMemory(watchCtx, node) })
	}
	runner.callers.start(plan.Seed)
	noticeCtx, stopNotices := context.WithCancel(ctx)
	defer stopNotices()
	announcers := conc.WaitGroup{}
	for stream, announcement := range map[uint64]announcement{limitStream: limitAnnouncement, backoffStream: backoffAnnouncement} {
		if plan.SoundServers {
			break
		}
		random := rand.New(rand.NewPCG(plan.Seed, stream))
		announcers.Go(func() { runner.announceRandomly(noticeCtx, announcement, runner.checkedServer(plan.Seed), random) })
	}
	announcers.Go(func() { runner.runCrowds(noticeCtx, rand.New(rand.NewPCG(plan.Seed, crowdStream))) })
	injections := conc.WaitGroup{}
	meter, start := startPauseMeter(), time.Now()
	_, _ = fmt.Fprintf(runner.options.Out, "the load starts at %s\n", start.UTC().Format(time.RFC3339Nano))
	for _, fault := range plan.Faults {
		select {
		case <-ctx.Done():
		case <-time.After(fault.At - time.Since(start)):
		}
		if ctx.Err() != nil {
			break
		}
		injections.Go(func() { runner.inject(ctx, fault) })
	}
	injections.Wait()
	longestPause := meter.stop()
	busy.stop()
	stopNotices()
	announcers.Wait()
	if ctx.Err() == nil && !runner.waitUntilAllServe("last", recoveryTimeout) {
		runner.recordViolation("not every node serves within %s after the last fault", recoveryTimeout)
	}
	if ctx.Err() == nil {
		runner.checkVersions()
		runner.exerciseBackoffs(ctx)
		runner.exerciseLimit(ctx, plan.Seed)
		runner.exerciseDrain(ctx, plan.Seed)
		runner.exerciseDataCentreDrain(ctx)
	}
	results := runner.callers.stop()
	stopWatching()
	watchers.Wait()
	observed, err := runner.fleet.fetchObserved()
	if err != nil {
		return Report{}, errors.Wrap(err, "fetch the stand-in's observations")
	}
	report := Report{Seed: plan.Seed, Faults: len(plan.Faults), Requests: len(results), Statuses: map[int]int{}, LongestPause: longestPause}
	for number := range results {
		report.Statuses[results[number].Status]++
		if results[number].Complete {
			report.Complete++
		}
	}
	lost, cut := runner.fleet.timeline.checkLost(results, observed, start)
	report.Cut = cut
	report.Violations = append(report.Violations, checkResponses(results, observed)...)
	report.Violations = append(report.Violations, lost...)
	report.Violations = append(report.Violations, checkBudget(observed)...)
	report.Violations = append(report.Violations, checkHarmful(observed)...)
	report.Violations = append(report.Violations, checkDrains(runner.drains, observed)...)
	report.Violations = append(report.Violations, checkLimits(runner.checkedServer(plan.Seed), observed)...)
	report.Violations = append(report.Violations, checkDrainNotice(runner.checkedServer(plan.Seed), runner.options.Nodes, observed)...)
	report.Violations = append(report.Violations, checkDataCentreDrain(observed)...)
	report.Violations = append(report.Violations, checkBackoffs(runner.checkedServer(plan.Seed), runner.options.Nodes, observed)...)
	runner.mu.Lock()
	defer runner.mu.Unlock()
	report.Violations = append(report.Violations, runner.violations...)
	return report, errors.Wrap(ctx.Err(), "soak test interrupted")
}

// checkVersions records each node that does not have the latest configuration in force after
// propagationTime. All faults have ended by then.
func (runner *runner) checkVersions() {
	latest := runner.fleet.latestVersion()
	time.Sleep(propagationTime)
	for node := range runner.options.Nodes {
		state := gateway.State{}
		if err := runner.fleet.getJSON(runner.fleet.stateURL(node), &state); err != nil {
			runner.recordViolation("node %d: read the state after the last fault: %v", node+1, err)
		} else if state.ConfigurationVersion < latest {
			runner.recordViolation("node %d has configuration version %d in force, version %d was written %s ago", node+1, state.ConfigurationVersion, latest, propagationTime)
		}
	}
}

func (runner *runner) inject(ctx context.Context, fault Fault) {
	switch fault.Kind {
	case Harmful:
		runner.callers.sendHarmful(ctx, fault.Duration)
		return
	case PlainDrain:
		if observed, err := runner.fleet.fetchObserved(); err == nil {
			runner.mu.Lock()
			runner.drains = append(runner.drains, drain{server: runner.fleet.plainServers[fault.Target], at: observed.Now})
			runner.mu.Unlock()
		}
	}
	runner.fleet.inject(ctx, fault)
}

// watchVersions records a configuration version that decreases within one incarnation of a node.
func (runner *runner) watchVersions(ctx context.Context, node int) {
	latest := map[uint64]int64{}
	url := runner.fleet.stateURL(node)
	for ctx.Err() == nil {
		state := gateway.State{}
		if err := runner.fleet.getJSON(url, &state); err == nil {
			if previous := latest[state.Incarnation]; state.ConfigurationVersion < previous {
				runner.recordViolation("node %d went back from configuration version %d to %d", node+1, previous, state.ConfigurationVersion)
			}
			latest[state.Incarnation] = state.ConfigurationVersion
		}
		select {
		case <-ctx.Done():
		case <-time.After(statePollInterval):
		}
	}
}
