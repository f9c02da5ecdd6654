package booking_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/outcome"
	"hazelslip/internal/peer/logservice"
	"hazelslip/internal/standin/platform"
	standin "hazelslip/internal/standin/service"
	"hazelslip/internal/state/booking"
	"hazelslip/internal/state/stream"
	"hazelslip/internal/testlib/inprocess"
	"hazelslip/internal/wire/record"
)

const streamName = "Bookings.test"

// node is the booking part of one node.
type node struct {
	*booking.Executor
	table    *booking.Table
	follower *stream.Follower
	batcher  *booking.Batcher
}

// cluster holds a log, a service and the nodes that call the service.
type cluster struct {
	log     *platform.Log
	counter *standin.ExecutionCounter
	nodes   []*node

	mu              sync.Mutex
	byIncarnation   map[uint64]*node
	lastIncarnation uint64
}

func newCluster(nodes int) *cluster {
	cluster := &cluster{log: platform.NewLog(), counter: standin.NewExecutionCounter(), byIncarnation: map[uint64]*node{}}
	for range nodes {
		cluster.nodes = append(cluster.nodes, cluster.start())
	}
	return cluster
}

// start starts a node as a new incarnation.
func (cluster *cluster) start() *node {
	cluster.mu.Lock()
	cluster.lastIncarnation++
	incarnation := cluster.lastIncarnation
	cluster.mu.Unlock()
	client := logservice.New("http://log", inprocess.Transport{Handler: cluster.log.Handler()})
	created := &node{table: booking.NewTable(time.Hour)}
	created.follower = stream.New(
		streamName, created.table.StateMachine(), stream.Read(client.Read), stream.Append(client.Append),
		stream.Clock(clock.Virtual()), stream.Logger(slog.New(slog.NewTextHandler(io.Discard, nil))),
	)
	created.batcher = booking.NewBatcher(func(ctx context.Context, batch *record.BookingBatch) error {
		body, err := proto.Marshal(&record.BookingRecord{Kind: &record.BookingRecord_Batch{Batch: batch}})
		if err != nil {
			return err
		}
		_, err = created.follower.Append(ctx, body)
		return err
	})
	created.Executor = booking.New(
		incarnation, created.table, booking.StreamStatus{Ready: created.follower.Ready, LogUnavailable: created.follower.LogUnavailable},
		created.batcher, booking.Clock(clock.Virtual()), booking.AskHolder(cluster.askHolder),
	)
	created.follower.Start()
	created.batcher.Start()
	created.Start()
	cluster.mu.Lock()
	cluster.byIncarnation[incarnation] = created
	cluster.mu.Unlock()
	return created
}

func (cluster *cluster) askHolder(_ context.Context, incarnation uint64, key string) (booking.HolderReply, bool) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	holder, ok := cluster.byIncarnation[incarnation]
	if !ok {
		return booking.HolderReply{}, false
	}
	return holder.ClaimStatus(key), true
}

// makeUnreachable makes askHolder fail for the incarnation of a node.
func (cluster *cluster) makeUnreachable(lost *node) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for incarnation, running := range cluster.byIncarnation {
		if running == lost {
			delete(cluster.byIncarnation, incarnation)
		}
	}
}

func (node *node) stop() {
	node.Stop()
	node.batcher.Stop()
	node.follower.Stop()
}

func (cluster *cluster) stop() {
	for _, running := range cluster.nodes {
		running.stop()
	}
}

// call returns a call to the service. The call sets reached when its Send runs.
func (cluster *cluster) call(key string, reached *bool) booking.Call {
	return booking.Call{Key: key, Digest: []byte(key), Send: func(context.Context) booking.Result {
		*reached = true
		serial := cluster.execute(key)
		return booking.Result{Outcome: outcome.Run, Status: 200, Body: []byte(fmt.Sprint(serial))}
	}}
}

func (cluster *cluster) execute(key string) int {
	time.Sleep(10 * time.Millisecond)
	return cluster.counter.Record(key)
}

// withCluster runs a test in virtual time, on nodes that have read the log.
func withCluster(t *testing.T, nodes int, test func(t *testing.T, g *gomega.WithT, cluster *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(nodes)
		defer cluster.stop()
		time.Sleep(time.Second)
		test(t, gomega.NewWithT(t), cluster)
	})
}

// A retry reaches another node while the first call is still running, as after a broken connection. The call must run
// once, and all requests must get its result.
func TestRetryAtAnotherNodeRunsNothingTwice(t *testing.T) {
	withCluster(t, 3, func(_ *testing.T, g *gomega.WithT, cluster *cluster) {
		results := make([]booking.Result, 6)
		requests := conc.NewWaitGroup()
		for index := range results {
			requests.Go(func() {
				var reached bool
				results[index] = cluster.nodes[index%3].Run(context.Background(), cluster.call("visit", &reached))
			})
		}
		requests.Wait()
		for _, result := range results {
			g.Expect(result.Outcome).To(gomega.Equal(outcome.Run), result.Cause)
			g.Expect(string(result.Body)).To(gomega.Equal("1"))
		}
		g.Expect(cluster.counter.Executions("visit")).To(gomega.Equal(1))
	})
}

// While the log is unavailable, a call with a key must be refused without being run. A call with a ticket must still
// run, and only once.
func TestLogOutageRefusesKeysAndRunsTickets(t *testing.T) {
	withCluster(t, 1, func(_ *testing.T, g *gomega.WithT, cluster *cluster) {
		cluster.log.SetFaults(platform.LogFaults{Dark: true})
		time.Sleep(5 * time.Second)
		var reached bool
		refused := cluster.nodes[0].Run(context.Background(), cluster.call("visit", &reached))
		g.Expect(refused.Outcome).To(gomega.Equal(outcome.NotRun))
		g.Expect(refused.RetryAfter).To(gomega.BeNumerically(">", 0))
		g.Expect(cluster.counter.Executions("visit")).To(gomega.BeZero())

		ticket, err := cluster.nodes[0].IssueTicket()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for range 2 {
			result := cluster.nodes[0].RunTicket(context.Background(), cluster.call(ticket, &reached))
			g.Expect(result.Outcome).To(gomega.Equal(outcome.Run))
		}
		g.Expect(cluster.counter.Executions(ticket)).To(gomega.Equal(1))
	})
}

// A node claims a key, abandons the claim because the log is too slow to return the intent, and claims the key again.
// The second claim runs its call. When the sweep finds the first claim, it must not release the second one. Otherwise
// the key would be free and the call would run twice.
func TestSweepReleasesOnlyAbandonedClaims(t *testing.T) {
	withCluster(t, 2, func(_ *testing.T, g *gomega.WithT, cluster *cluster) {
		var reached bool
		cluster.log.SetFaults(platform.LogFaults{LatencyMs: 6000})
		refused := cluster.nodes[0].Run(context.Background(), cluster.call("visit", &reached))
		g.Expect(refused.Outcome).To(gomega.Equal(outcome.NotRun))
		g.Expect(reached).To(gomega.BeFalse())
		cluster.log.SetFaults(platform.LogFaults{})
		time.Sleep(30 * time.Second)
		result := cluster.nodes[0].Run(context.Background(), cluster.call("visit", &reached))
		g.Expect(result.Outcome).To(gomega.Equal(outcome.Run), result.Cause)
		time.Sleep(30 * time.Second)
		again := cluster.nodes[1].Run(context.Background(), cluster.call("visit", &reached))
		g.Expect(again.Outcome).To(gomega.Equal(outcome.Run), again.Cause)
		g.Expect(again.Replayed).To(gomega.BeTrue())
		g.Expect(cluster.counter.Executions("visit")).To(gomega.Equal(1))
	})
}

// A node with issued tickets stops gracefully. The peer that adopts its tickets must replay the calls that ran and
// return NotRun for the others. The stopped node must not run any more calls.
func TestTicketsAreHandedOver(t *testing.T) {
	withCluster(t, 2, func(_ *testing.T, g *gomega.WithT, cluster *cluster) {
		used, err := cluster.nodes[0].IssueTicket()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		unused, err := cluster.nodes[0].IssueTicket()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var reached bool
		ran := cluster.nodes[0].RunTicket(context.Background(), cluster.call(used, &reached))
		before := cluster.nodes[1].RunTicket(context.Background(), cluster.call(used, &reached))
		g.Expect(before.Outcome).To(gomega.Equal(outcome.Unknown))
		cluster.nodes[1].Adopt(1, cluster.nodes[0].HandOver())
		replayed := cluster.nodes[1].RunTicket(context.Background(), cluster.call(used, &reached))
		g.Expect(replayed.Body).To(gomega.Equal(ran.Body))
		g.Expect(cluster.nodes[1].RunTicket(context.Background(), cluster.call(unused, &reached)).Outcome).To(gomega.Equal(outcome.NotRun))
		g.Expect(cluster.nodes[0].RunTicket(context.Background(), cluster.call(unused, &reached)).Outcome).To(gomega.Equal(outcome.Unknown))
		g.Expect(cluster.counter.Executions(used)).To(gomega.Equal(1))
		g.Expect(cluster.counter.Executions(unused)).To(gomega.BeZero())
	})
}

// randomFaults draws the log faults of one step of a random run.
func randomFaults(random *rand.Rand) platform.LogFaults {
	faults := []platform.LogFaults{
		{}, {}, {Dark: true}, {LoseReplies: true}, {LatencyMs: 300}, {LatencyMs: 5000}, {StaleBy: 3},
	}
	return faults[random.IntN(len(faults))]
}

// A node claims a key and dies before the outcome is on the log, so it is unknown whether the call ran. A retry must
// return Unknown. NotRun could make the caller book again under another key.
func TestClaimOfALostNodeIsUnknown(t *testing.T) {
	withCluster(t, 2, func(_ *testing.T, g *gomega.WithT, cluster *cluster) {
		lost := cluster.nodes[0]
		var reached bool
		call := cluster.call("visit", &reached)
		call.Send = func(context.Context) booking.Result {
			cluster.execute("visit")
			cluster.log.SetFaults(platform.LogFaults{Dark: true})
			return booking.Result{Outcome: outcome.Run, Status: 200}
		}
		lost.Run(context.Background(), call)
		cluster.nodes[0] = cluster.start()
		cluster.makeUnreachable(lost)
		lost.stop()
		cluster.log.SetFaults(platform.LogFaults{})
		time.Sleep(5 * time.Second)
		for _, running := range cluster.nodes {
			result := running.Run(context.Background(), cluster.call("visit", &reached))
			g.Expect(result.Outcome).To(gomega.Equal(outcome.Unknown), result.Cause)
		}
		g.Expect(cluster.counter.Executions("visit")).To(gomega.Equal(1))
	})
}

// A claim is released after the state of a checkpoint was taken and before the checkpoint record is on the log. Nodes
// that had applied the release restored the claim from the checkpoint, and nodes that started from the checkpoint did
// not. The former returned Unknown for the key for hours while the others could run its call.
func TestCheckpointDoesNotRestoreReleasedClaim(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, g *gomega.WithT, cluster *cluster) {
		appendBatch(t, cluster, &record.BookingBatch{Intents: []*record.Intent{{Key: "visit", Incarnation: 99, Attempt: 1, UnixMs: 1}}})
		time.Sleep(time.Second)
		checkpoint, err := cluster.nodes[0].table.StateMachine().Snapshot(cluster.nodes[0].follower.Next())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		appendBatch(t, cluster, &record.BookingBatch{Outcomes: []*record.Outcome{{
			Key: "visit", Incarnation: 99, Attempt: 1, Kind: record.OutcomeKind_OutcomeReleased,
		}}})
		cluster.log.Append(streamName, checkpoint)
		cluster.log.DropBefore(streamName, 1)
		cluster.nodes = append(cluster.nodes, cluster.start())
		time.Sleep(time.Second)
		for _, running := range cluster.nodes {
			g.Expect(running.follower.Ready()).To(gomega.BeTrue())
			_, known := running.table.Lookup("visit")
			g.Expect(known).To(gomega.BeFalse())
		}
	})
}

func appendBatch(t *testing.T, cluster *cluster, batch *record.BookingBatch) {
	t.Helper()
	body, err := proto.Marshal(&record.BookingRecord{Kind: &record.BookingRecord_Batch{Batch: batch}})
	if err != nil {
		t.Fatal(err)
	}
	cluster.log.Append(streamName, body)
}

// With about 16,000 keys a checkpoint exceeded the size limit of a log record. It could never be written, and once
// older records had expired, a starting node had no history. A large checkpoint must be written in parts, with other
// records in between.
func TestLargeCheckpointIsSplit(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, g *gomega.WithT, cluster *cluster) {
		const keys, batchKeys = 30_000, 1000
		for first := 0; first < keys; first += batchKeys {
			batch := &record.BookingBatch{}
			for index := range batchKeys {
				batch.Intents = append(batch.Intents, &record.Intent{
					Key: fmt.Sprintf("visit-%d", first+index), Digest: make([]byte, 150), Incarnation: 99, UnixMs: 1,
				})
			}
			appendBatch(t, cluster, batch)
		}
		time.Sleep(2 * time.Hour)
		g.Expect(cluster.nodes[0].follower.MaybeCheckpoint()).To(gomega.Succeed())
		cluster.log.DropBefore(streamName, keys/batchKeys)
		cluster.nodes = append(cluster.nodes, cluster.start())
		time.Sleep(10 * time.Second)
		g.Expect(cluster.nodes[1].follower.Ready()).To(gomega.BeTrue())
		_, known := cluster.nodes[1].table.Lookup("visit-29999")
		g.Expect(known).To(gomega.BeTrue())
	})
}
