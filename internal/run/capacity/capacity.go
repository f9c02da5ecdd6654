// Package capacity measures what a node's control work costs, as slopes, and
// works out from them what each role costs at the target size.
//
// It runs deployments of growing shape in one process over loopback sockets:
// the nodes' own code before the stand-ins. Bytes and messages are counted on
// the connections. Processor time comes from a profile whose samples carry the
// name of the part they belong to, so the stand-ins' share does not count.
// Memory is the growth of heap and stacks from the stand-ins alone to the
// stand-ins with the nodes.
//
// # Usage
//
//	report, err := capacity.Measure(ctx, capacity.Quick)
//	report.Write(file)
package capacity

import (
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/run/demo"
	"hazelslip/internal/run/node"
	"hazelslip/internal/run/settings"
	"hazelslip/internal/wire/record"
)

// Point is one deployment to measure.
type Point struct {
	// DataCentres of one region, with Nodes and Servers in each.
	DataCentres int
	Nodes       int
	Servers     int
	// ChangesPerSecond are changes of configuration while it is measured.
	ChangesPerSecond int
}

// Sample is what one node of a deployment costs, on average.
type Sample struct {
	Point
	// Cores is the processor time a second by part, in cores.
	Cores map[string]float64
	// MessagesPerSecond are questions to peers and reports of servers.
	PeerMessagesPerSecond   float64
	EngineMessagesPerSecond float64
	// BytesPerSecond by kind of peer, both ways.
	PeerBytesPerSecond     float64
	EngineBytesPerSecond   float64
	PlatformBytesPerSecond float64
	// MemoryBytes is heap and stacks.
	MemoryBytes float64
	// Appends is how many appends a second the whole deployment made.
	AppendsPerSecond float64
	// Profiled is the processor time of the whole process, in seconds.
	Profiled float64
}

const (
	basePort     = 21_000
	serversEach  = 8
	warmUp       = 4 * time.Second
	formPatience = 60 * time.Second
	formPoll     = 200 * time.Millisecond
)

// shape spreads a point's servers over fabric domains of eight.
func (point Point) shape() demo.Shape {
	shape := demo.Shape{
		Nodes: point.Nodes, Domains: max(1, point.Servers/serversEach), Engines: min(point.Servers, serversEach),
		Models: []settings.Model{{Name: "drafting", GroupSize: serversEach}},
	}
	for index := range point.DataCentres {
		shape.DataCentres = append(shape.DataCentres, fmt.Sprintf("centre-%02d", index))
	}
	return shape
}

// deployment is a running point.
type deployment struct {
	world  *demo.World
	nodes  []*node.Node
	memory uint64
}

// deploy starts the stand-ins, notes their memory, and starts the nodes.
func deploy(point Point) (*deployment, error) {
	world, err := demo.NewWorld(demo.BasePort(basePort), demo.Size(point.shape()))
	if err != nil {
		return nil, err
	}
	running := &deployment{world: world, memory: memoryInUse()}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	for _, tree := range world.Settings() {
		tree.Stopping = settings.Stopping{NoticeSeconds: 0, DrainSeconds: 1}
		created, err := node.New(tree, node.Logger(quiet))
		if err != nil {
			running.stop()
			return nil, err
		}
		created.Start()
		running.nodes = append(running.nodes, created)
	}
	world.Log.Append("Config", changeBody(0))
	if err := running.awaitGroups(point); err != nil {
		running.stop()
		return nil, err
	}
	time.Sleep(warmUp)
	return running, nil
}

// changeBody is a record that states or restates the one class.
func changeBody(base uint64) []byte {
	body, err := proto.Marshal(&record.ConfigRecord{Kind: &record.ConfigRecord_Change{Change: &record.ConfigChange{
		ChangeID: fmt.Sprint("capacity-", base), Name: "report", BaseRevision: base, Operator: "capacity",
		Target: &record.ClassTarget{
			Name: "report", Model: "drafting", FirstTokenMs: 1800, BetweenTokensMs: 34, InTargetShare: 0.95, GuaranteedShare: 0.5,
		},
	}}})
	if err != nil {
		panic(err)
	}
	return body
}

func (running *deployment) awaitGroups(point Point) error {
	wanted := max(1, point.Servers/serversEach)
	for waited := time.Duration(0); waited < formPatience; waited += formPoll {
		if running.serving(wanted) {
			return nil
		}
		time.Sleep(formPoll)
	}
	return errors.Newf("the groups of %+v did not form within %s", point, formPatience)
}

func (running *deployment) serving(wanted int) bool {
	for _, member := range running.nodes {
		count := 0
		for _, group := range member.State().Groups {
			if group.Serving {
				count++
			}
		}
		if count < wanted {
			return false
		}
	}
	return true
}

func (running *deployment) stop() {
	stops := conc.NewWaitGroup()
	for _, member := range running.nodes {
		stops.Go(member.Stop)
	}
	stops.Wait()
	running.world.Stop()
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	statistics := runtime.MemStats{}
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc + statistics.StackInuse
}

// Probe measures one point for the duration.
func Probe(point Point, duration time.Duration) (Sample, error) {
	running, err := deploy(point)
	if err != nil {
		return Sample{}, errors.Wrapf(err, "deploy %+v", point)
	}
	defer running.stop()
	before, appends := running.traffic(), running.world.Log.Appends()
	profile, err := profiled(func() { running.change(point, duration) })
	if err != nil {
		return Sample{}, err
	}
	after := running.traffic()
	nodes, seconds := float64(len(running.nodes)), duration.Seconds()
	sample := Sample{
		Point: point, Cores: profile.cores(nodes, seconds), Profiled: profile.total,
		PeerMessagesPerSecond:   (after.peerMessages - before.peerMessages) / nodes / seconds,
		EngineMessagesPerSecond: (after.engineMessages - before.engineMessages) / nodes / seconds,
		PeerBytesPerSecond:      (after.peerBytes - before.peerBytes) / nodes / seconds,
		EngineBytesPerSecond:    (after.engineBytes - before.engineBytes) / nodes / seconds,
		PlatformBytesPerSecond:  (after.platformBytes - before.platformBytes) / nodes / seconds,
		AppendsPerSecond:        float64(running.world.Log.Appends()-appends) / seconds,
	}
	sample.MemoryBytes = (float64(memoryInUse()) - float64(running.memory)) / nodes
	return sample, nil
}

// change appends the point's changes of configuration while it is measured.
func (running *deployment) change(point Point, duration time.Duration) {
	if point.ChangesPerSecond == 0 {
		time.Sleep(duration)
		return
	}
	pause := time.Second / time.Duration(point.ChangesPerSecond)
	for made := range int(duration / pause) {
		running.world.Log.Append("Config", changeBody(uint64(made+1)))
		time.Sleep(pause)
	}
}

// counts sums what the nodes have sent and asked.
type counts struct {
	peerMessages, engineMessages          float64
	peerBytes, engineBytes, platformBytes float64
}

func (running *deployment) traffic() counts {
	total := counts{}
	for _, member := range running.nodes {
		traffic := member.State().Traffic
		total.peerMessages += float64(traffic.PeerAsked + traffic.PeerAnswered)
		total.engineMessages += float64(traffic.EngineRequests)
		total.peerBytes += float64(traffic.Peers.BytesSent + traffic.Peers.BytesReceived)
		total.engineBytes += float64(traffic.Engines.BytesSent + traffic.Engines.BytesReceived)
		total.platformBytes += float64(traffic.Platform.BytesSent + traffic.Platform.BytesReceived)
	}
	return total
}
