package capacity

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Target is the size to build towards, as the users' letter gives it.
type Target struct {
	Nodes             int
	Servers           int
	GroupSize         int
	Regions           int
	DataCentres       int
	RequestsPerSecond float64
	TokensPerSecond   float64
	ChangesPerDay     float64
	RestartsPerDay    float64
	FailuresPerDay    float64
	InForceSeconds    float64
	BudgetCores       float64
	BudgetBytes       float64
	BudgetRate        float64
}

// TwoYears is the letter's target.
var TwoYears = Target{
	Nodes: 340, Servers: 2200, GroupSize: 8, Regions: 7, DataCentres: 27,
	RequestsPerSecond: 890, TokensPerSecond: 370_000, ChangesPerDay: 2900, RestartsPerDay: 690, FailuresPerDay: 44,
	InForceSeconds: 9, BudgetCores: 0.026, BudgetBytes: 32e6, BudgetRate: 25_000,
}

// point is an average data centre of the target, as far as a node sees it. A
// node asks one peer in each other data centre of its region and one beyond.
func (target Target) point() Point {
	perRegion := ceil(target.DataCentres, target.Regions)
	return Point{
		DataCentres: perRegion + 1, Nodes: ceil(target.Nodes, target.DataCentres),
		Servers: ceil(target.Servers, target.DataCentres),
	}
}

func ceil(a, b int) int { return (a + b - 1) / b }

// Role is one thing that a node does, with the line that its cost follows.
type Role struct {
	Name      string
	Parts     []string
	Terms     []Term
	State     string
	Mechanism string
	Cores     Fit
	// Messages and Bytes are a second, Memory in bytes, at the target.
	Messages float64
	Bytes    float64
	Memory   float64
}

// Report is everything that was measured.
type Report struct {
	Target   Target
	Point    Point
	Samples  []Sample
	Roles    []Role
	Peer     Fit
	Engine   Fit
	Platform Fit
	PeerMsg  Fit
	EngMsg   Fit
	Memory   Fit
	Keys     Growth
	Classes  Growth
	Choices  Growth
	Data     DataPath
	Dump     Dump
	Took     time.Duration
}

// grid is the deployments to measure: one thing grows at a time.
var grid = []Point{
	{DataCentres: 1, Nodes: 4, Servers: 80},
	{DataCentres: 1, Nodes: 16, Servers: 80},
	{DataCentres: 1, Nodes: 64, Servers: 80},
	{DataCentres: 1, Nodes: 8, Servers: 24},
	{DataCentres: 1, Nodes: 8, Servers: 80},
	{DataCentres: 1, Nodes: 8, Servers: 320},
	{DataCentres: 2, Nodes: 8, Servers: 40},
	{DataCentres: 4, Nodes: 8, Servers: 40},
	{DataCentres: 1, Nodes: 8, Servers: 80, ChangesPerSecond: 5},
	{DataCentres: 1, Nodes: 8, Servers: 80, ChangesPerSecond: 20},
}

// Measure runs every deployment for the duration and fits the lines.
func Measure(ctx context.Context, duration time.Duration, progress func(sample Sample)) (Report, error) {
	began := time.Now()
	report := Report{Target: TwoYears, Point: TwoYears.point(), Roles: roles()}
	for _, point := range grid {
		if ctx.Err() != nil {
			return Report{}, errors.Wrap(ctx.Err(), "measure")
		}
		sample, err := Probe(point, duration)
		if err != nil {
			return Report{}, err
		}
		progress(sample)
		report.Samples = append(report.Samples, sample)
	}
	if err := report.fit(); err != nil {
		return Report{}, err
	}
	if err := report.grow(duration); err != nil {
		return Report{}, err
	}
	report.Took = time.Since(began)
	return report, nil
}

func (report *Report) fit() error {
	for index := range report.Roles {
		role := &report.Roles[index]
		fit, err := Line(report.Samples, role.cost, role.Terms...)
		if err != nil {
			return errors.Wrap(err, role.Name)
		}
		role.Cores = fit
	}
	lines := []struct {
		fit   *Fit
		cost  func(sample Sample) float64
		terms []Term
	}{
		{&report.Peer, func(sample Sample) float64 { return sample.PeerBytesPerSecond }, []Term{peers, servers, centres}},
		{&report.Engine, func(sample Sample) float64 { return sample.EngineBytesPerSecond }, []Term{watched}},
		{&report.Platform, func(sample Sample) float64 { return sample.PlatformBytesPerSecond }, []Term{watched, centres, changes}},
		{&report.PeerMsg, func(sample Sample) float64 { return sample.PeerMessagesPerSecond }, []Term{peers, centres}},
		{&report.EngMsg, func(sample Sample) float64 { return sample.EngineMessagesPerSecond }, []Term{watched}},
		{&report.Memory, func(sample Sample) float64 { return sample.MemoryBytes }, []Term{peers, servers, watched, centres}},
	}
	for _, line := range lines {
		fit, err := Line(report.Samples, line.cost, line.terms...)
		if err != nil {
			return err
		}
		*line.fit = fit
	}
	report.share()
	return nil
}

// share gives messages, bytes and memory to the roles that cause them. Memory
// is told apart by what it grows with; its constant belongs to no one role.
func (report *Report) share() {
	memory := map[string]float64{}
	for index, term := range report.Memory.Terms {
		memory[term.Name] = max(0, report.Memory.Slopes[index]*term.Of(report.Point))
	}
	for index := range report.Roles {
		role := &report.Roles[index]
		switch role.Name {
		case roleWatching:
			role.Messages, role.Bytes, role.Memory = report.EngMsg.At(report.Point), report.Engine.At(report.Point), memory[watched.Name]
		case roleExchange:
			role.Messages, role.Bytes = report.PeerMsg.At(report.Point), report.Peer.At(report.Point)
			role.Memory = memory[peers.Name] + memory[centres.Name]
		case roleJudging:
			role.Memory = memory[servers.Name]
		case roleLog:
			role.Bytes = report.PlatformAtTarget()
			role.Memory = report.Memory.Constant
		}
	}
}

// The roles that messages and memory are given to.
const (
	roleWatching = "watching fabric domains"
	roleExchange = "peer exchange"
	roleJudging  = "judging groups and the routing table"
	roleLog      = "following and relaying the log, configuration, checkpoints"
)

func (report *Report) grow(duration time.Duration) error {
	var err error
	if report.Keys, err = KeyGrowth([]int{1000, 10_000, 50_000}); err != nil {
		return err
	}
	if report.Classes, err = ClassGrowth([]int{10, 100, 1000}); err != nil {
		return err
	}
	report.Choices = ChoiceGrowth([]int{10, 100, 300})
	report.Data, report.Dump, err = MeasureDataPath(duration)
	return err
}

// cost sums the processor time of the role's parts.
func (role *Role) cost(sample Sample) float64 {
	sum := 0.0
	for _, part := range role.Parts {
		sum += sample.Cores[part]
	}
	return sum
}

// roles lists what a node does, with the parts that a profile names.
func roles() []Role {
	return []Role{
		{
			Name: roleWatching, Parts: []string{"watcher"}, Terms: []Term{watched},
			State:     "newest report of each server of the data centre; own readings",
			Mechanism: "domains split over the data centre's live nodes by rendezvous hashing; one read a second of each server by one node",
		},
		{
			Name: roleExchange, Parts: []string{"exchange", "peers"}, Terms: []Term{peers, servers, centres},
			State:     "one connection a peer of the data centre and one a neighbouring data centre",
			Mechanism: "each node pulls what changed from the peers of its data centre only; other data centres are asked through one peer each",
		},
		{
			Name: roleJudging, Parts: []string{"view"}, Terms: []Term{servers},
			State:     "groups of the data centre, replaced whole on a change",
			Mechanism: "a pure function of the reports, four times a second and on changes",
		},
		{
			Name: "forming and repairing groups", Parts: []string{"former"}, Terms: []Term{watched},
			State:     "last plan and last orders of each own domain",
			Mechanism: "planned by the node that watches the domain; engines or a lease decide who may order",
		},
		{
			Name: "reading the instance list", Parts: []string{"lists"}, Terms: []Term{servers, watched, centres},
			State:     "last answer",
			Mechanism: "one node of a data centre reads it (own servers every 3 s, entry nodes of all regions every 15 s), the others pull changes",
		},
		{
			Name: roleLog, Parts: []string{"stream", "checkpoint"}, Terms: []Term{changes},
			State:     "classes, leases, keys; the newest records for peers (at most 1 MiB a stream)",
			Mechanism: "one long poll a stream; peers relay by offset when the log is dark; one node of a data centre writes a checkpoint",
		},
		{
			Name: "home for keys", Parts: []string{"booking"}, Terms: []Term{peers},
			State:     "key table; tickets",
			Mechanism: "one node of a data centre appends for the others, many keys in one append",
		},
		{
			Name: "runtime (collection, timers, scheduling)", Parts: []string{unlabelled}, Terms: []Term{peers, servers, watched},
			State:     "-",
			Mechanism: "-",
		},
	}
}
