// Package soak runs the real program as processes on loopback and injects faults from
// outside: signals to nodes, proxies between nodes, store and servers that delay, reset,
// hold up one way or both, and servers that end. Faults come in series and overlap; callers
// go on using open connections until a node closes them.
//
// While it runs, and after it, it checks what the system promises from what callers got
// and servers ran: at most once, a true "not run", whole answers in order and never
// another's, no server in two groups, no part of a group that serves, no configuration that
// goes back, no calls to servers that have left, the budget of repeats, no more than a
// few sends of a request that ends servers, and when the faults have ended that every node
// serves again, and that the limit, the backoff and the drain of a server and the drain of a
// data centre are kept. It checks promises, not speed.
//
// A seed gives the whole plan, which is printed first. It ends only processes that it
// started, by their IDs; they die with it.
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

// Options is what a soak is told.
type Options struct {
	// Program is the binary that is soaked.
	Program string
	Seed    uint64
	// Length is how long faults are injected.
	Length time.Duration
	Nodes  int
	// BasePort is the first of the ports, the same on several loopback addresses.
	BasePort int
	// Folder takes the settings and logs of all processes.
	Folder string
	// Out is told the plan and what goes on.
	Out io.Writer
}

// Report is what came of a soak.
type Report struct {
	Seed     uint64
	Faults   int
	Requests int
	Whole    int
	// Statuses counts how requests ended, by status; 0 is a connection that failed.
	Statuses map[int]int
	// Wrong is what broke a promise, empty for nothing.
	Wrong []string
}

// ErrOptions means that the options are out of range. Use errors.Is.
var ErrOptions = errors.New("a soak can't run so")

// Check says what is wrong with the options.
func (options *Options) Check() error {
	switch {
	case options.Nodes < 1 || options.Nodes > nodesMost:
		return errors.Wrapf(ErrOptions, "%d nodes; 1 to %d", options.Nodes, nodesMost)
	case options.Length < time.Second || options.Length > time.Hour:
		return errors.Wrapf(ErrOptions, "a length of %s; 1 s to 1 h", options.Length)
	case options.BasePort < 1024 || options.BasePort > basePortMost:
		return errors.Wrapf(ErrOptions, "base port %d; 1024 to %d: above that lie the ports of outgoing connections", options.BasePort, basePortMost)
	}
	if _, err := os.Stat(options.Program); err != nil {
		return errors.Wrapf(ErrOptions, "no program at %s: %v", options.Program, err)
	}
	return nil
}

const (
	// formedWithin is how long groups may take to form at the start, and servedWithin how
	// long each node may take to serve all kinds again after the faults.
	formedWithin = 40 * time.Second
	servedWithin = 40 * time.Second
	// currentWithin is how long a change may take to be in force everywhere.
	currentWithin = 2 * time.Second
	// stateEvery is how often each node's state is read.
	stateEvery = 250 * time.Millisecond
	// basePortMost keeps all ports below those that the system gives to outgoing
	// connections, from 32768 on: one of them may hold any port there.
	basePortMost = 32000
	// firstVersion is the version of the configuration at the start.
	firstVersion = 1
)

// soak is one run.
type soak struct {
	options Options
	fleet   *fleet
	callers *callers

	mu     sync.Mutex
	wrong  []string
	drains []drain
}

// Run runs the plan of a seed. The error says that the soak itself could not run.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := options.Check(); err != nil {
		return Report{}, err
	}
	shape := standin.Shape{Domains: 3, Servers: 8, Ledgers: 4, Seed: options.Seed}
	engines, plain := standin.ServerIDs(shape)
	plan := Draw(options.Seed, options.Length, options.Nodes, len(engines), len(plain))
	_, _ = fmt.Fprintf(options.Out, "seed %d: %d nodes, %s, %d faults\n", plan.Seed, plan.Nodes, plan.Length, len(plan.Faults))
	for _, fault := range plan.Faults {
		_, _ = fmt.Fprintln(options.Out, fault)
	}
	run := &soak{options: options}
	run.fleet = &fleet{
		options: options, shape: shape, note: run.note, version: firstVersion,
		control: &http.Client{Timeout: 2 * time.Second},
	}
	run.callers = &callers{nodes: options.Nodes, stopping: make(chan struct{}), address: func(node int) string { return run.fleet.nodeAddress(node, callerPort) }}
	defer run.fleet.stop()
	if err := run.fleet.start(); err != nil {
		return Report{}, err
	}
	if !run.allServe("first", formedWithin) {
		return Report{}, errors.Newf("the nodes don't serve before any fault; their logs are in %s", options.Folder)
	}
	return run.play(ctx, plan)
}

// note notes what broke a promise.
func (soak *soak) note(format string, values ...any) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.wrong = append(soak.wrong, fmt.Sprintf(format, values...))
}

// allServe says whether every node serves within a time.
func (soak *soak) allServe(moment string, within time.Duration) bool {
	good := make([]bool, soak.options.Nodes)
	asking := conc.WaitGroup{}
	for node := range good {
		asking.Go(func() { good[node] = soak.callers.served(moment, node, within) })
	}
	asking.Wait()
	all := true
	for node, served := range good {
		if !served {
			_, _ = fmt.Fprintf(soak.options.Out, "node %d doesn't serve\n", node+1)
			all = false
		}
	}
	return all
}

func (soak *soak) play(ctx context.Context, plan Plan) (Report, error) {
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	watchers := conc.WaitGroup{}
	for node := range soak.options.Nodes {
		watchers.Go(func() { soak.watch(watching, node) })
	}
	soak.callers.start(plan.Seed)
	noticing, stopNotices := context.WithCancel(ctx)
	defer stopNotices()
	notices := conc.WaitGroup{}
	for stream, saying := range map[uint64]saying{limitStream: limits, noticeStream: backoffs} {
		draw := rand.New(rand.NewPCG(plan.Seed, stream))
		notices.Go(func() { soak.say(noticing, saying, soak.judgedServer(plan.Seed), draw) })
	}
	strikes := conc.WaitGroup{}
	began := time.Now()
	for _, fault := range plan.Faults {
		select {
		case <-ctx.Done():
		case <-time.After(fault.At - time.Since(began)):
		}
		if ctx.Err() != nil {
			break
		}
		strikes.Go(func() { soak.strike(ctx, fault) })
	}
	strikes.Wait()
	stopNotices()
	notices.Wait()
	if ctx.Err() == nil && !soak.allServe("last", servedWithin) {
		soak.note("not every node serves %s after the faults", servedWithin)
	}
	if ctx.Err() == nil {
		soak.allCurrent()
		soak.keepBackoffs(ctx)
		soak.keepLimit(ctx, plan.Seed)
		soak.keepDrain(ctx, plan.Seed)
		soak.keepDataCentreDrain(ctx)
	}
	answers := soak.callers.stop()
	stopWatching()
	watchers.Wait()
	seen, err := soak.fleet.observed()
	if err != nil {
		return Report{}, errors.Wrap(err, "ask the stand-in what it saw")
	}
	report := Report{Seed: plan.Seed, Faults: len(plan.Faults), Requests: len(answers), Statuses: map[int]int{}}
	for number := range answers {
		report.Statuses[answers[number].Status]++
		if answers[number].Complete {
			report.Whole++
		}
	}
	report.Wrong = append(report.Wrong, checkAnswers(answers, seen)...)
	report.Wrong = append(report.Wrong, checkBudget(seen)...)
	report.Wrong = append(report.Wrong, checkHarmful(seen)...)
	report.Wrong = append(report.Wrong, checkDrains(soak.drains, seen)...)
	report.Wrong = append(report.Wrong, checkLimits(soak.judgedServer(plan.Seed), seen)...)
	report.Wrong = append(report.Wrong, checkDrainTold(soak.judgedServer(plan.Seed), soak.options.Nodes, seen)...)
	report.Wrong = append(report.Wrong, checkDataCentreDrain(seen)...)
	report.Wrong = append(report.Wrong, checkBackoffs(soak.judgedServer(plan.Seed), soak.options.Nodes, seen)...)
	soak.mu.Lock()
	defer soak.mu.Unlock()
	report.Wrong = append(report.Wrong, soak.wrong...)
	return report, errors.Wrap(ctx.Err(), "the soak was interrupted")
}

// allCurrent notes the nodes that don't have the newest configuration by the time at which
// it must be in force, though all faults have ended.
func (soak *soak) allCurrent() {
	newest := soak.fleet.newest()
	time.Sleep(currentWithin)
	for node := range soak.options.Nodes {
		state := gateway.State{}
		if err := soak.fleet.read(soak.stateOf(node), &state); err != nil {
			soak.note("node %d doesn't tell its state after the faults: %v", node+1, err)
		} else if state.ConfigurationVersion < newest {
			soak.note("node %d has version %d in force, the newest is %d for %s", node+1, state.ConfigurationVersion, newest, currentWithin)
		}
	}
}

func (soak *soak) stateOf(node int) string {
	return "http://" + soak.fleet.nodeAddress(node, operator) + "/state"
}

func (soak *soak) strike(ctx context.Context, fault Fault) {
	switch fault.Kind {
	case Harmful:
		soak.callers.insist(ctx, fault.For)
		return
	case PlainDrain:
		if seen, err := soak.fleet.observed(); err == nil {
			soak.mu.Lock()
			soak.drains = append(soak.drains, drain{server: soak.fleet.plain[fault.Target], at: seen.Now})
			soak.mu.Unlock()
		}
	}
	soak.fleet.strike(ctx, fault)
}

// watch notes a configuration that goes back within one incarnation of a node.
func (soak *soak) watch(ctx context.Context, node int) {
	latest := map[uint64]int64{}
	url := soak.stateOf(node)
	for ctx.Err() == nil {
		state := gateway.State{}
		if err := soak.fleet.read(url, &state); err == nil {
			if before := latest[state.Incarnation]; state.ConfigurationVersion < before {
				soak.note("node %d went back from version %d to %d", node+1, before, state.ConfigurationVersion)
			}
			latest[state.Incarnation] = state.ConfigurationVersion
		}
		select {
		case <-ctx.Done():
		case <-time.After(stateEvery):
		}
	}
}
