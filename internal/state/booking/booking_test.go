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

// node is one node's share in the running of calls.
type node struct {
	*booking.Keeper
	table    *booking.Table
	follower *stream.Follower
	batcher  *booking.Batcher
}

// ledger is a log, a service and the nodes before them.
type ledger struct {
	log   *platform.Log
	book  *standin.ExecutionCounter
	nodes []*node

	mu        sync.Mutex
	byNumber  map[uint64]*node
	lastGiven uint64
}

func newLedger(nodes int) *ledger {
	ledger := &ledger{log: platform.NewLog(), book: standin.NewExecutionCounter(), byNumber: map[uint64]*node{}}
	for range nodes {
		ledger.nodes = append(ledger.nodes, ledger.start())
	}
	return ledger
}

// start starts a node as a new incarnation.
func (ledger *ledger) start() *node {
	ledger.mu.Lock()
	ledger.lastGiven++
	incarnation := ledger.lastGiven
	ledger.mu.Unlock()
	client := logservice.New("http://log", inprocess.Transport{Handler: ledger.log.Handler()})
	created := &node{table: booking.NewTable(time.Hour)}
	created.follower = stream.New(
		streamName, created.table.Fold(), stream.Read(client.Read), stream.Append(client.Append),
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
	created.Keeper = booking.New(
		incarnation, created.table, booking.Follower{Ready: created.follower.Ready, Dark: created.follower.Dark},
		created.batcher, booking.Clock(clock.Virtual()), booking.AskHolder(ledger.askHolder),
	)
	created.follower.Start()
	created.batcher.Start()
	created.Start()
	ledger.mu.Lock()
	ledger.byNumber[incarnation] = created
	ledger.mu.Unlock()
	return created
}

func (ledger *ledger) askHolder(_ context.Context, incarnation uint64, key string) (booking.HolderReply, bool) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	holder, ok := ledger.byNumber[incarnation]
	if !ok {
		return booking.HolderReply{}, false
	}
	return holder.Holding(key), true
}

// forget makes an incarnation one that nobody can ask any more.
func (ledger *ledger) forget(lost *node) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	for incarnation, running := range ledger.byNumber {
		if running == lost {
			delete(ledger.byNumber, incarnation)
		}
	}
}

func (node *node) stop() {
	node.Stop()
	node.batcher.Stop()
	node.follower.Stop()
}

func (ledger *ledger) stop() {
	for _, running := range ledger.nodes {
		running.stop()
	}
}

// call is a call to the service. It notes whether its own send reached it.
func (ledger *ledger) call(key string, reached *bool) booking.Call {
	return booking.Call{Key: key, Digest: []byte(key), Send: func(context.Context) booking.Answer {
		*reached = true
		serial := ledger.execute(key)
		return booking.Answer{Outcome: outcome.Run, Status: 200, Body: []byte(fmt.Sprint(serial))}
	}}
}

func (ledger *ledger) execute(key string) int {
	time.Sleep(10 * time.Millisecond)
	return ledger.book.Record(key)
}

// withLedger runs a test on nodes that have read the log, in virtual time.
func withLedger(t *testing.T, nodes int, test func(t *testing.T, g *gomega.WithT, ledger *ledger)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ledger := newLedger(nodes)
		defer ledger.stop()
		time.Sleep(time.Second)
		test(t, gomega.NewWithT(t), ledger)
	})
}

// The caller's retry reaches another node while the first call is still
// running, as from a tablet on a bad line. The call must run once and both
// must get its answer.
func TestRetryAtAnotherNodeRunsNothingTwice(t *testing.T) {
	withLedger(t, 3, func(_ *testing.T, g *gomega.WithT, ledger *ledger) {
		answers := make([]booking.Answer, 6)
		callers := conc.NewWaitGroup()
		for index := range answers {
			callers.Go(func() {
				var reached bool
				answers[index] = ledger.nodes[index%3].Run(context.Background(), ledger.call("visit", &reached))
			})
		}
		callers.Wait()
		for _, answer := range answers {
			g.Expect(answer.Outcome).To(gomega.Equal(outcome.Run), answer.Cause)
			g.Expect(string(answer.Body)).To(gomega.Equal("1"))
		}
		g.Expect(ledger.book.Executions("visit")).To(gomega.Equal(1))
	})
}

// The log goes dark. A call under a key is refused and truly was not run; a
// call under a ticket runs all the same, once.
func TestLogOutageRefusesKeysAndRunsTickets(t *testing.T) {
	withLedger(t, 1, func(_ *testing.T, g *gomega.WithT, ledger *ledger) {
		ledger.log.SetFaults(platform.LogFaults{Dark: true})
		time.Sleep(5 * time.Second)
		var reached bool
		refused := ledger.nodes[0].Run(context.Background(), ledger.call("visit", &reached))
		g.Expect(refused.Outcome).To(gomega.Equal(outcome.NotRun))
		g.Expect(refused.RetryAfter).To(gomega.BeNumerically(">", 0))
		g.Expect(ledger.book.Executions("visit")).To(gomega.BeZero())

		ticket, err := ledger.nodes[0].Issue()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for range 2 {
			answer := ledger.nodes[0].RunTicket(context.Background(), ledger.call(ticket, &reached))
			g.Expect(answer.Outcome).To(gomega.Equal(outcome.Run))
		}
		g.Expect(ledger.book.Executions(ticket)).To(gomega.Equal(1))
	})
}

// A node claims a key, gives the claim up because the log is too slow to show
// it, and claims the key again; the second claim runs. When the sweep then
// finds the first claim it must not release the second one: the key would be
// free and the call would run twice.
func TestSweepReleasesOnlyWhatWasGivenUp(t *testing.T) {
	withLedger(t, 2, func(_ *testing.T, g *gomega.WithT, ledger *ledger) {
		var reached bool
		ledger.log.SetFaults(platform.LogFaults{LatencyMs: 6000})
		refused := ledger.nodes[0].Run(context.Background(), ledger.call("visit", &reached))
		g.Expect(refused.Outcome).To(gomega.Equal(outcome.NotRun))
		g.Expect(reached).To(gomega.BeFalse())
		ledger.log.SetFaults(platform.LogFaults{})
		time.Sleep(30 * time.Second)
		answer := ledger.nodes[0].Run(context.Background(), ledger.call("visit", &reached))
		g.Expect(answer.Outcome).To(gomega.Equal(outcome.Run), answer.Cause)
		time.Sleep(30 * time.Second)
		again := ledger.nodes[1].Run(context.Background(), ledger.call("visit", &reached))
		g.Expect(again.Outcome).To(gomega.Equal(outcome.Run), again.Cause)
		g.Expect(again.Replayed).To(gomega.BeTrue())
		g.Expect(ledger.book.Executions("visit")).To(gomega.Equal(1))
	})
}

// A node stops gracefully with tickets issued. The peer that takes its table
// must replay the calls that ran, and say NotRun of the others; the node itself
// must run nothing more.
func TestTicketsAreHandedOver(t *testing.T) {
	withLedger(t, 2, func(_ *testing.T, g *gomega.WithT, ledger *ledger) {
		used, err := ledger.nodes[0].Issue()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		unused, err := ledger.nodes[0].Issue()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var reached bool
		ran := ledger.nodes[0].RunTicket(context.Background(), ledger.call(used, &reached))
		before := ledger.nodes[1].RunTicket(context.Background(), ledger.call(used, &reached))
		g.Expect(before.Outcome).To(gomega.Equal(outcome.Unknown))
		ledger.nodes[1].Adopt(1, ledger.nodes[0].HandOver())
		replayed := ledger.nodes[1].RunTicket(context.Background(), ledger.call(used, &reached))
		g.Expect(replayed.Body).To(gomega.Equal(ran.Body))
		g.Expect(ledger.nodes[1].RunTicket(context.Background(), ledger.call(unused, &reached)).Outcome).To(gomega.Equal(outcome.NotRun))
		g.Expect(ledger.nodes[0].RunTicket(context.Background(), ledger.call(unused, &reached)).Outcome).To(gomega.Equal(outcome.Unknown))
		g.Expect(ledger.book.Executions(used)).To(gomega.Equal(1))
		g.Expect(ledger.book.Executions(unused)).To(gomega.BeZero())
	})
}

// randomFaults are the faults that a random run draws from.
func randomFaults(random *rand.Rand) platform.LogFaults {
	faults := []platform.LogFaults{
		{}, {}, {Dark: true}, {LoseReplies: true}, {LatencyMs: 300}, {LatencyMs: 5000}, {StaleBy: 3},
	}
	return faults[random.IntN(len(faults))]
}

// A node claims a key and dies before its outcome is on the log. Whether the
// call ran is not known, and a retry must be told so: NotRun could make the
// caller book again under another key.
func TestClaimOfALostNodeIsUnknown(t *testing.T) {
	withLedger(t, 2, func(_ *testing.T, g *gomega.WithT, ledger *ledger) {
		lost := ledger.nodes[0]
		var reached bool
		call := ledger.call("visit", &reached)
		call.Send = func(context.Context) booking.Answer {
			ledger.execute("visit")
			ledger.log.SetFaults(platform.LogFaults{Dark: true})
			return booking.Answer{Outcome: outcome.Run, Status: 200}
		}
		lost.Run(context.Background(), call)
		ledger.nodes[0] = ledger.start()
		ledger.forget(lost)
		lost.stop()
		ledger.log.SetFaults(platform.LogFaults{})
		time.Sleep(5 * time.Second)
		for _, running := range ledger.nodes {
			answer := running.Run(context.Background(), ledger.call("visit", &reached))
			g.Expect(answer.Outcome).To(gomega.Equal(outcome.Unknown), answer.Cause)
		}
		g.Expect(ledger.book.Executions("visit")).To(gomega.Equal(1))
	})
}

// A claim is released between the state of a checkpoint and the checkpoint's
// record. Nodes that had folded the release took the claim back from the
// checkpoint, nodes that started from it did not: the first said Unknown of
// the key for hours while the others could run it.
func TestCheckpointBringsNoReleasedClaimBack(t *testing.T) {
	withLedger(t, 1, func(t *testing.T, g *gomega.WithT, ledger *ledger) {
		appendBatch(t, ledger, &record.BookingBatch{Intents: []*record.Intent{{Key: "visit", Incarnation: 99, Attempt: 1, UnixMs: 1}}})
		time.Sleep(time.Second)
		checkpoint, err := ledger.nodes[0].table.Fold().Snapshot(ledger.nodes[0].follower.Next())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		appendBatch(t, ledger, &record.BookingBatch{Outcomes: []*record.Outcome{{
			Key: "visit", Incarnation: 99, Attempt: 1, Kind: record.OutcomeKind_OutcomeReleased,
		}}})
		ledger.log.Append(streamName, checkpoint)
		ledger.log.DropBefore(streamName, 1)
		ledger.nodes = append(ledger.nodes, ledger.start())
		time.Sleep(time.Second)
		for _, running := range ledger.nodes {
			g.Expect(running.follower.Ready()).To(gomega.BeTrue())
			_, known := running.table.Lookup("visit")
			g.Expect(known).To(gomega.BeFalse())
		}
	})
}

func appendBatch(t *testing.T, ledger *ledger, batch *record.BookingBatch) {
	t.Helper()
	body, err := proto.Marshal(&record.BookingRecord{Kind: &record.BookingRecord_Batch{Batch: batch}})
	if err != nil {
		t.Fatal(err)
	}
	ledger.log.Append(streamName, body)
}

// With some 16,000 keys a checkpoint outgrew what the log takes in one record.
// It could never be written, and once older records expired a node that started
// had no history. It goes onto the log in parts, with other records between.
func TestLargeCheckpointGoesInParts(t *testing.T) {
	withLedger(t, 1, func(t *testing.T, g *gomega.WithT, ledger *ledger) {
		const keys, batchKeys = 30_000, 1000
		for first := 0; first < keys; first += batchKeys {
			batch := &record.BookingBatch{}
			for index := range batchKeys {
				batch.Intents = append(batch.Intents, &record.Intent{
					Key: fmt.Sprintf("visit-%d", first+index), Digest: make([]byte, 150), Incarnation: 99, UnixMs: 1,
				})
			}
			appendBatch(t, ledger, batch)
		}
		time.Sleep(2 * time.Hour)
		g.Expect(ledger.nodes[0].follower.MaybeCheckpoint()).To(gomega.Succeed())
		ledger.log.DropBefore(streamName, keys/batchKeys)
		ledger.nodes = append(ledger.nodes, ledger.start())
		time.Sleep(10 * time.Second)
		g.Expect(ledger.nodes[1].follower.Ready()).To(gomega.BeTrue())
		_, known := ledger.nodes[1].table.Lookup("visit-29999")
		g.Expect(known).To(gomega.BeTrue())
	})
}
