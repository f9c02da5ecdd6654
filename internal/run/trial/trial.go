// Package trial measures how well a small fleet meets the targets of its classes
// under surges and faults, and compares it with simpler policies in the same run.
//
// The nodes are the real ones; they talk to stand-in engines over loopback. An open
// loop sends requests on schedule. Every rule gets the same requests. Figures depend
// on the machine, so compare only the rules of one run.
//
// # Usage
//
//	results, err := trial.Run(trial.Scenarios(), trial.Rules(), 20*time.Second, progress)
package trial

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/common/metering"
	"hazelslip/internal/policy/admission"
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/policy/route"
	"hazelslip/internal/run/demo"
	"hazelslip/internal/run/load"
	"hazelslip/internal/run/node"
	"hazelslip/internal/run/settings"
	"hazelslip/internal/standin/engine"
	"hazelslip/internal/wire/record"
)

const (
	basePort         = 25_000
	completionTokens = 40
	promptBytes      = 400
	workspaces       = 6
	// capacityRate is the approximate capacity of the fleet in requests per second:
	// four groups of 1,000 tokens per second, at 40 tokens per request.
	capacityRate = 100
	settleTime   = 3 * time.Second
)

// engineRates give a group with eight slots a throughput of 1,000 tokens per second.
var engineRates = engine.Rates{Step: 4 * time.Millisecond, StepPerRequest: 500 * time.Microsecond, PrefillPerSecond: 20_000, Concurrency: 8}

// The classes of the trials, with their targets.
var (
	urgentClass = load.ClassSpec{Class: "urgent", Weight: 1, Workspaces: workspaces, PromptBytes: promptBytes, MaxTokens: completionTokens, FirstToken: 300 * time.Millisecond, BetweenTokens: 20 * time.Millisecond}
	reportClass = load.ClassSpec{Class: "report", Weight: 1, Workspaces: workspaces, PromptBytes: promptBytes, MaxTokens: completionTokens, FirstToken: 600 * time.Millisecond, BetweenTokens: 20 * time.Millisecond}
)

// Scenario is a load and an optional fault. LoadFraction is the load as a fraction
// of the fleet's capacity. Halfway through, the rate of the class report is
// multiplied by StepTimes.
type Scenario struct {
	Name         string
	LoadFraction float64
	StepTimes    float64
	// Inject is called halfway through, if set.
	Inject func(fleet *Fleet)
}

// Scenarios returns the scenarios of the measurement.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "a steady 70 %", LoadFraction: 0.7},
		{Name: "b report steps to 5x", LoadFraction: 0.4, StepTimes: 5},
		{Name: "c group dies at the peak", LoadFraction: 0.7, Inject: func(fleet *Fleet) { fleet.killGroup() }},
		{Name: "d data centre cut off", LoadFraction: 0.6, Inject: func(fleet *Fleet) { fleet.partitioned.Store(true) }},
		{Name: "e reports stall 5 s", LoadFraction: 0.7, Inject: func(fleet *Fleet) { fleet.stallReports() }},
		{Name: "f peak", LoadFraction: 1},
		{Name: "g twice the peak", LoadFraction: 2},
	}
}

// Rule is a named set of policies that nodes decide by.
type Rule struct {
	Name     string
	Policies func() node.Policies
}

// Rules returns the default policies of hazelslip, then the simpler ones they are compared with.
func Rules() []Rule {
	return []Rule{
		{"hazelslip", func() node.Policies { return node.Policies{} }},
		{"round robin", roundRobin},
		{"least reported load", func() node.Policies {
			return node.Policies{Route: []route.Option{route.WithPredictor(reportedLoad), route.Random(func(int) int { return 0 })}}
		}},
		{"no shares", func() node.Policies { return node.Policies{Admission: []admission.Option{admission.AdmitAll()}} }},
		{"unlimited retries", func() node.Policies { return node.Policies{Retry: []retry.Option{retry.Unlimited()}} }},
	}
}

func roundRobin() node.Policies {
	var turn atomic.Int64
	return node.Policies{Route: []route.Option{
		route.WithPredictor(func(*route.Target, route.LocalLoad, route.Request, time.Duration) time.Duration { return 0 }),
		route.Random(func(n int) int { return int(turn.Add(1)) % n }),
	}}
}

// reportedLoad ranks groups only by the number of running calls that they last reported.
func reportedLoad(target *route.Target, _ route.LocalLoad, _ route.Request, _ time.Duration) time.Duration {
	return time.Duration(target.Running) * time.Second
}

// Result holds the measurements of one rule in one scenario.
type Result struct {
	Scenario string
	Rule     string
	Report   load.Report
	// Goodput is the number of tokens per second in responses that met their target.
	Goodput float64
	// Wasted is the fraction of generated tokens that are not part of a complete response.
	Wasted float64
	// Retries is the mean number of attempts per request beyond the first.
	Retries float64
	// UrgentBefore and UrgentAfter are the in-target shares of the class urgent,
	// which does not surge, in the first and the second half of the run.
	UrgentBefore float64
	UrgentAfter  float64
}

// Fleet is two data centres with two nodes and two groups each.
type Fleet struct {
	environment *demo.Environment
	nodes       []*node.Node
	// partitioned is set while the second data centre can reach only itself.
	partitioned atomic.Bool
	targets     []string
}

func start(rule Rule) (*Fleet, error) {
	environment, err := demo.NewEnvironment(demo.BasePort(basePort), demo.Speed(engineRates), demo.Size(demo.Shape{
		DataCentres: []string{"east", "west"}, Nodes: 2, Domains: 1, Engines: 8,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}))
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{environment: environment}
	discardLogger := slog.New(slog.NewTextHandler(io.Discard, nil))
	for index, nodeSettings := range environment.Settings() {
		nodeSettings.Stopping = settings.Stopping{DrainSeconds: 5}
		options := []node.Option{node.Logger(discardLogger), node.UsePolicies(rule.Policies())}
		if index >= 2 {
			options = append(options, node.Network(fleet.partitionDialer(environment.Settings()), listen))
		}
		entryNode, err := node.New(nodeSettings, options...)
		if err != nil {
			fleet.stop()
			return nil, err
		}
		entryNode.Start()
		fleet.nodes = append(fleet.nodes, entryNode)
		fleet.targets = append(fleet.targets, "http://"+nodeSettings.Listen.Caller)
	}
	environment.Log.Append("Config", classRecord(urgentClass, 0.4, 20))
	environment.Log.Append("Config", classRecord(reportClass, 0.4, 10))
	return fleet, fleet.waitForGroups()
}

func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// partitionDialer returns the dialer for nodes of the second data centre. During a
// partition, it connects only to servers and nodes of that data centre, and open
// connections to others fail on use.
func (fleet *Fleet) partitionDialer(allSettings []settings.Node) metering.DialFunc {
	external := map[string]bool{}
	for _, nodeSettings := range allSettings[:2] {
		external[nodeSettings.Listen.Peer] = true
	}
	platform := allSettings[0].Platform
	for _, base := range []string{platform.LogService, platform.InstanceList, platform.WeightStore} {
		external[base[len("http://"):]] = true
	}
	for _, server := range fleet.environment.Engines[:8] {
		external[server.Report().Address] = true
	}
	dialer := &net.Dialer{Timeout: 500 * time.Millisecond}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if external[address] && fleet.partitioned.Load() {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errors.New("network partition")}
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil || !external[address] {
			return conn, err
		}
		return &partitionConn{Conn: conn, partitioned: &fleet.partitioned}, nil
	}
}

// partitionConn is a connection that fails during a partition.
type partitionConn struct {
	net.Conn
	partitioned *atomic.Bool
}

// Read fails during a partition.
func (partitionConn *partitionConn) Read(buffer []byte) (int, error) {
	if partitionConn.partitioned.Load() {
		return 0, net.ErrClosed
	}
	return partitionConn.Conn.Read(buffer)
}

// Write fails during a partition.
func (partitionConn *partitionConn) Write(buffer []byte) (int, error) {
	if partitionConn.partitioned.Load() {
		return 0, net.ErrClosed
	}
	return partitionConn.Conn.Write(buffer)
}

func classRecord(spec load.ClassSpec, guaranteed float64, priority int32) []byte {
	encoded, err := proto.Marshal(&record.ConfigRecord{Kind: &record.ConfigRecord_Change{Change: &record.ConfigChange{
		ChangeID: spec.Class, Name: spec.Class, Operator: "trial",
		Target: &record.ClassTarget{
			Name: spec.Class, Model: "drafting", FirstTokenMs: uint32(spec.FirstToken.Milliseconds()),
			BetweenTokensMs: uint32(spec.BetweenTokens.Milliseconds()), InTargetShare: 0.95, Priority: priority, GuaranteedShare: guaranteed,
		},
	}}})
	if err != nil {
		panic(err)
	}
	return encoded
}

func (fleet *Fleet) waitForGroups() error {
	const wantedGroups, attempts = 2, 300
	for range attempts {
		ready := 0
		for _, entryNode := range fleet.nodes {
			serving := 0
			for _, group := range entryNode.State().Groups {
				if group.Serving {
					serving++
				}
			}
			if serving == wantedGroups && entryNode.Ready() == nil {
				ready++
			}
		}
		if ready == len(fleet.nodes) {
			time.Sleep(settleTime)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	fleet.stop()
	return errors.New("wait for the groups: not all groups formed in time")
}

func (fleet *Fleet) stop() {
	stops := conc.NewWaitGroup()
	for _, entryNode := range fleet.nodes {
		stops.Go(entryNode.Stop)
	}
	stops.Wait()
	fleet.environment.Stop()
}

func (fleet *Fleet) killGroup() {
	group := fleet.nodes[0].State().Groups[0]
	for _, server := range fleet.environment.Engines {
		if server.Report().Group == group.Number {
			server.SetFaults(engine.Faults{Dead: true})
			return
		}
	}
}

const stallDuration = 5 * time.Second

func (fleet *Fleet) stallReports() {
	for _, server := range fleet.environment.Engines {
		server.SetFaults(engine.Faults{StallReports: true})
	}
	time.Sleep(stallDuration)
	for _, server := range fleet.environment.Engines {
		server.SetFaults(engine.Faults{})
	}
}

// Run runs every scenario under every rule.
func Run(scenarios []Scenario, rules []Rule, duration time.Duration, progress func(result Result)) ([]Result, error) {
	results := []Result{}
	for _, scenario := range scenarios {
		for _, rule := range rules {
			result, err := runScenario(scenario, rule, duration)
			if err != nil {
				return results, errors.Wrapf(err, "%s, %s", scenario.Name, rule.Name)
			}
			progress(result)
			results = append(results, result)
		}
	}
	return results, nil
}

func runScenario(scenario Scenario, rule Rule, duration time.Duration) (Result, error) {
	fleet, err := start(rule)
	if err != nil {
		return Result{}, err
	}
	defer fleet.stop()
	plan := load.Plan{
		Targets: fleet.targets, Rate: scenario.LoadFraction * capacityRate, Duration: duration, Seed: 1,
		Mix: []load.ClassSpec{urgentClass, reportClass}, StepClass: reportClass.Class, StepAt: duration / 2, StepTimes: max(1, scenario.StepTimes),
	}
	injection := conc.NewWaitGroup()
	injection.Go(func() {
		time.Sleep(duration / 2)
		if scenario.Inject != nil {
			scenario.Inject(fleet)
		}
	})
	generatedBefore := fleet.generatedTokens()
	loadReport, err := load.Run(context.Background(), plan)
	injection.Wait()
	if err != nil {
		return Result{}, err
	}
	return fleet.result(scenario, rule, loadReport, fleet.generatedTokens()-generatedBefore, int(duration.Seconds())), nil
}

func (fleet *Fleet) generatedTokens() uint64 {
	sum := uint64(0)
	for _, server := range fleet.environment.Engines {
		sum += server.Generated()
	}
	return sum
}

func (fleet *Fleet) result(scenario Scenario, rule Rule, loadReport load.Report, generated uint64, seconds int) Result {
	result := Result{Scenario: scenario.Name, Rule: rule.Name, Report: loadReport}
	sent, inTarget, complete := 0, 0, 0
	for _, class := range loadReport.Classes {
		sent += class.Sent
		inTarget += class.InTarget
		complete += class.Whole
	}
	result.Goodput = float64(inTarget*completionTokens) / float64(seconds)
	result.Wasted = 1 - float64(complete*completionTokens)/float64(max(1, generated))
	resumed := uint64(0)
	for _, entryNode := range fleet.nodes {
		resumed += entryNode.State().Drafts.Resumed
	}
	result.Retries = float64(resumed) / float64(max(1, sent))
	result.UrgentBefore = inTargetShare(loadReport, urgentClass.Class, 0, seconds/2)
	result.UrgentAfter = inTargetShare(loadReport, urgentClass.Class, seconds/2, seconds+1)
	return result
}

// inTargetShare returns the in-target share of a class among the requests that were sent from
// second from up to, but excluding, second to.
func inTargetShare(loadReport load.Report, class string, from, to int) float64 {
	sent, inTarget := 0, 0
	for _, second := range loadReport.Timeline {
		if second.Class == class && second.At >= from && second.At < to {
			sent += second.Sent
			inTarget += second.InTarget
		}
	}
	return float64(inTarget) / float64(max(1, sent))
}
