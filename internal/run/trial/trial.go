// Package trial measures how a small fleet keeps its classes' targets under a
// surge and under faults, beside simpler rules in the same run.
//
// Nodes and stand-in engines run as they are, over loopback; requests come on
// schedule from an open loop. Every rule gets the same requests. Figures depend
// on the machine; compare the rules of one run with each other.
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
	basePort     = 25_000
	answerTokens = 40
	promptBytes  = 400
	workspaces   = 6
	// capacityRate is about how many requests a second the fleet's groups can
	// answer: four groups of 1,000 tokens a second, 40 tokens each.
	capacityRate = 100
	settleTime   = 3 * time.Second
)

// engineRates make a group of eight places give 1,000 tokens a second.
var engineRates = engine.Rates{Step: 4 * time.Millisecond, StepPerRequest: 500 * time.Microsecond, PrefillPerSecond: 20_000, Concurrency: 8}

// The classes of the trials and their targets.
var (
	urgent = load.Share{Class: "urgent", Weight: 1, Workspaces: workspaces, PromptBytes: promptBytes, MaxTokens: answerTokens, FirstToken: 300 * time.Millisecond, BetweenTokens: 20 * time.Millisecond}
	report = load.Share{Class: "report", Weight: 1, Workspaces: workspaces, PromptBytes: promptBytes, MaxTokens: answerTokens, FirstToken: 600 * time.Millisecond, BetweenTokens: 20 * time.Millisecond}
)

// Scenario is one thing that happens to the fleet. Share is the load as a part
// of what the fleet can do; the class report steps to StepTimes in the middle.
type Scenario struct {
	Name      string
	Share     float64
	StepTimes float64
	// Happen is called in the middle.
	Happen func(fleet *Fleet)
}

// Scenarios are those of the measurement.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "a steady 70 %", Share: 0.7},
		{Name: "b report steps to 5x", Share: 0.4, StepTimes: 5},
		{Name: "c group dies at the peak", Share: 0.7, Happen: func(fleet *Fleet) { fleet.killGroup() }},
		{Name: "d data centre cut off", Share: 0.6, Happen: func(fleet *Fleet) { fleet.cut.Store(true) }},
		{Name: "e reports stall 5 s", Share: 0.7, Happen: func(fleet *Fleet) { fleet.stallReports() }},
		{Name: "f peak", Share: 1},
		{Name: "g twice the peak", Share: 2},
	}
}

// Rule is a way to decide.
type Rule struct {
	Name     string
	Policies func() node.Policies
}

// Rules are ours and the simpler ones.
func Rules() []Rule {
	return []Rule{
		{"hazelslip", func() node.Policies { return node.Policies{} }},
		{"round robin", roundRobin},
		{"least reported load", func() node.Policies {
			return node.Policies{Route: []route.Option{route.Predict(reported), route.Random(func(int) int { return 0 })}}
		}},
		{"no shares", func() node.Policies { return node.Policies{Admission: []admission.Option{admission.Open()}} }},
		{"unlimited retries", func() node.Policies { return node.Policies{Retry: []retry.Option{retry.Endless()}} }},
	}
}

func roundRobin() node.Policies {
	var turn atomic.Int64
	return node.Policies{Route: []route.Option{
		route.Predict(func(*route.Target, route.Own, route.Request, time.Duration) time.Duration { return 0 }),
		route.Random(func(n int) int { return int(turn.Add(1)) % n }),
	}}
}

// reported ranks groups by what they last reported, and by nothing else.
func reported(target *route.Target, _ route.Own, _ route.Request, _ time.Duration) time.Duration {
	return time.Duration(target.Running) * time.Second
}

// Result is what one rule did in one scenario.
type Result struct {
	Scenario string
	Rule     string
	Report   load.Report
	// Goodput is tokens a second of answers in target.
	Goodput float64
	// Wasted is the part of generated tokens that reached nobody whole.
	Wasted float64
	// Retries is attempts beyond the first, a request.
	Retries float64
	// UrgentBefore and UrgentAfter are the in-target shares of the class that
	// does not surge, before and after the middle.
	UrgentBefore float64
	UrgentAfter  float64
}

// Fleet is two data centres of two nodes and two groups each.
type Fleet struct {
	world *demo.World
	nodes []*node.Node
	// cut is set while the second data centre reaches nothing but itself.
	cut     atomic.Bool
	targets []string
}

func start(rule Rule) (*Fleet, error) {
	world, err := demo.NewWorld(demo.BasePort(basePort), demo.Speed(engineRates), demo.Size(demo.Shape{
		DataCentres: []string{"east", "west"}, Nodes: 2, Domains: 1, Engines: 8,
		Models: []settings.Model{{Name: "drafting", GroupSize: 4}},
	}))
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{world: world}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	for index, tree := range world.Settings() {
		tree.Stopping = settings.Stopping{DrainSeconds: 5}
		options := []node.Option{node.Logger(quiet), node.Decide(rule.Policies())}
		if index >= 2 {
			options = append(options, node.Network(fleet.cuttable(world.Settings()), listen))
		}
		created, err := node.New(tree, options...)
		if err != nil {
			fleet.stop()
			return nil, err
		}
		created.Start()
		fleet.nodes = append(fleet.nodes, created)
		fleet.targets = append(fleet.targets, "http://"+tree.Listen.Caller)
	}
	world.Log.Append("Config", body(urgent, 0.4, 20))
	world.Log.Append("Config", body(report, 0.4, 10))
	return fleet, fleet.awaitGroups()
}

func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// cuttable is a dialler of the second data centre. While it is cut off, only
// its own servers and nodes can be connected to, and open connections to
// others carry nothing.
func (fleet *Fleet) cuttable(trees []settings.Node) metering.Dialer {
	outside := map[string]bool{}
	for _, tree := range trees[:2] {
		outside[tree.Listen.Peer] = true
	}
	platform := trees[0].Platform
	for _, base := range []string{platform.LogService, platform.InstanceList, platform.WeightStore} {
		outside[base[len("http://"):]] = true
	}
	for _, server := range fleet.world.Engines[:8] {
		outside[server.Report().Address] = true
	}
	dialer := &net.Dialer{Timeout: 500 * time.Millisecond}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if outside[address] && fleet.cut.Load() {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errors.New("cut off")}
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil || !outside[address] {
			return conn, err
		}
		return &cutConn{Conn: conn, cut: &fleet.cut}, nil
	}
}

// cutConn breaks when its place is cut off.
type cutConn struct {
	net.Conn
	cut *atomic.Bool
}

// Read fails once the place is cut off.
func (conn *cutConn) Read(buffer []byte) (int, error) {
	if conn.cut.Load() {
		return 0, net.ErrClosed
	}
	return conn.Conn.Read(buffer)
}

// Write fails once the place is cut off.
func (conn *cutConn) Write(buffer []byte) (int, error) {
	if conn.cut.Load() {
		return 0, net.ErrClosed
	}
	return conn.Conn.Write(buffer)
}

func body(share load.Share, guaranteed float64, priority int32) []byte {
	encoded, err := proto.Marshal(&record.ConfigRecord{Kind: &record.ConfigRecord_Change{Change: &record.ConfigChange{
		ChangeID: share.Class, Name: share.Class, Operator: "trial",
		Target: &record.ClassTarget{
			Name: share.Class, Model: "drafting", FirstTokenMs: uint32(share.FirstToken.Milliseconds()),
			BetweenTokensMs: uint32(share.BetweenTokens.Milliseconds()), InTargetShare: 0.95, Priority: priority, GuaranteedShare: guaranteed,
		},
	}}})
	if err != nil {
		panic(err)
	}
	return encoded
}

func (fleet *Fleet) awaitGroups() error {
	const wanted, tries = 2, 300
	for range tries {
		ready := 0
		for _, member := range fleet.nodes {
			serving := 0
			for _, group := range member.State().Groups {
				if group.Serving {
					serving++
				}
			}
			if serving == wanted && member.Ready() == nil {
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
	return errors.New("the groups did not form")
}

func (fleet *Fleet) stop() {
	stops := conc.NewWaitGroup()
	for _, member := range fleet.nodes {
		stops.Go(member.Stop)
	}
	stops.Wait()
	fleet.world.Stop()
}

func (fleet *Fleet) killGroup() {
	group := fleet.nodes[0].State().Groups[0]
	for _, server := range fleet.world.Engines {
		if server.Report().Group == group.Number {
			server.SetFaults(engine.Faults{Dead: true})
			return
		}
	}
}

const stallFor = 5 * time.Second

func (fleet *Fleet) stallReports() {
	for _, server := range fleet.world.Engines {
		server.SetFaults(engine.Faults{StallReports: true})
	}
	time.Sleep(stallFor)
	for _, server := range fleet.world.Engines {
		server.SetFaults(engine.Faults{})
	}
}

// Run plays every scenario to every rule.
func Run(scenarios []Scenario, rules []Rule, duration time.Duration, progress func(result Result)) ([]Result, error) {
	results := []Result{}
	for _, scenario := range scenarios {
		for _, rule := range rules {
			result, err := runOne(scenario, rule, duration)
			if err != nil {
				return results, errors.Wrapf(err, "%s, %s", scenario.Name, rule.Name)
			}
			progress(result)
			results = append(results, result)
		}
	}
	return results, nil
}

func runOne(scenario Scenario, rule Rule, duration time.Duration) (Result, error) {
	fleet, err := start(rule)
	if err != nil {
		return Result{}, err
	}
	defer fleet.stop()
	plan := load.Plan{
		Targets: fleet.targets, Rate: scenario.Share * capacityRate, Duration: duration, Seed: 1,
		Mix: []load.Share{urgent, report}, StepClass: report.Class, StepAt: duration / 2, StepTimes: max(1, scenario.StepTimes),
	}
	happening := conc.NewWaitGroup()
	happening.Go(func() {
		time.Sleep(duration / 2)
		if scenario.Happen != nil {
			scenario.Happen(fleet)
		}
	})
	generated := fleet.generated()
	answers, err := load.Run(context.Background(), plan)
	happening.Wait()
	if err != nil {
		return Result{}, err
	}
	return fleet.result(scenario, rule, answers, fleet.generated()-generated, int(duration.Seconds())), nil
}

func (fleet *Fleet) generated() uint64 {
	sum := uint64(0)
	for _, server := range fleet.world.Engines {
		sum += server.Generated()
	}
	return sum
}

func (fleet *Fleet) result(scenario Scenario, rule Rule, answers load.Report, generated uint64, seconds int) Result {
	result := Result{Scenario: scenario.Name, Rule: rule.Name, Report: answers}
	sent, inTarget, whole := 0, 0, 0
	for _, class := range answers.Classes {
		sent += class.Sent
		inTarget += class.InTarget
		whole += class.Whole
	}
	result.Goodput = float64(inTarget*answerTokens) / float64(seconds)
	result.Wasted = 1 - float64(whole*answerTokens)/float64(max(1, generated))
	resumed := uint64(0)
	for _, member := range fleet.nodes {
		resumed += member.State().Drafts.Resumed
	}
	result.Retries = float64(resumed) / float64(max(1, sent))
	result.UrgentBefore = inTargetOf(answers, urgent.Class, 0, seconds/2)
	result.UrgentAfter = inTargetOf(answers, urgent.Class, seconds/2, seconds+1)
	return result
}

// inTargetOf is a class's in-target share of what was sent in some seconds.
func inTargetOf(answers load.Report, class string, from, to int) float64 {
	sent, inTarget := 0, 0
	for _, second := range answers.Timeline {
		if second.Class == class && second.At >= from && second.At < to {
			sent += second.Sent
			inTarget += second.InTarget
		}
	}
	return float64(inTarget) / float64(max(1, sent))
}
