package lease_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/peer/logservice"
	"hazelslip/internal/standin/platform"
	"hazelslip/internal/state/lease"
	"hazelslip/internal/state/stream"
	"hazelslip/internal/testlib/inprocess"
	"hazelslip/internal/wire/record"
)

const domain = "fabric"

// node is a lease.Manager with its follower. clockAdvance moves its clock ahead, as boot time does while a machine
// sleeps.
type node struct {
	*lease.Manager
	follower     *stream.Follower
	clockAdvance time.Duration
}

func startNode(log *platform.Log, incarnation uint64) *node {
	client := logservice.New("http://log", inprocess.Transport{Handler: log.Handler()})
	virtual := clock.Virtual()
	created := &node{}
	now := func() time.Duration { return virtual() + created.clockAdvance }
	table := lease.New(now)
	created.follower = stream.New(
		"Groups.test", table.StateMachine(), stream.Read(client.Read), stream.Append(client.Append), stream.Clock(now),
		stream.Logger(slog.New(slog.NewTextHandler(io.Discard, nil))),
	)
	created.Manager = &lease.Manager{
		Incarnation: incarnation, Table: table, Now: now, Append: created.follower.Append, Ready: created.follower.Ready,
	}
	created.follower.Start()
	return created
}

func withNodes(t *testing.T, test func(g *gomega.WithT, log *platform.Log, first, second *node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := platform.NewLog()
		first, second := startNode(log, 1), startNode(log, 2)
		defer first.follower.Stop()
		defer second.follower.Stop()
		time.Sleep(time.Second)
		test(gomega.NewWithT(t), log, first, second)
	})
}

// Two nodes acquire the lease of a domain at the same time. They must never both hold it.
func TestLeaseHasOneHolder(t *testing.T) {
	withNodes(t, func(g *gomega.WithT, _ *platform.Log, first, second *node) {
		for range 40 {
			attempts := conc.NewWaitGroup()
			for _, contender := range []*node{first, second} {
				attempts.Go(func() {
					err := contender.Acquire(context.Background(), domain)
					g.Expect(err == nil || errors.Is(err, lease.ErrHeld)).To(gomega.BeTrue(), "%v", err)
				})
			}
			attempts.Wait()
			g.Expect(first.Holds(domain) && second.Holds(domain)).To(gomega.BeFalse())
			time.Sleep(700 * time.Millisecond)
		}
	})
}

// The log is slow, and appending the lease record takes most of the lease. The holder counts from before the append,
// and the other node counts from after it read the record. The lease must have expired at the holder when the other
// node acquires it.
func TestSlowAppendShortensTheHoldersLease(t *testing.T) {
	withNodes(t, func(g *gomega.WithT, log *platform.Log, first, second *node) {
		log.SetFaults(platform.LogFaults{LatencyMs: 2500})
		start := time.Now()
		err := first.Acquire(context.Background(), domain)
		log.SetFaults(platform.LogFaults{})
		if err == nil {
			g.Expect(first.Holds(domain)).To(gomega.BeTrue())
		}
		for time.Since(start) < 25*time.Second {
			if second.Acquire(context.Background(), domain) == nil {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		g.Expect(second.Holds(domain)).To(gomega.BeTrue())
		g.Expect(first.Holds(domain)).To(gomega.BeFalse())
		g.Expect(time.Since(start)).To(gomega.BeNumerically(">", lease.Duration))
	})
}

// The holder's machine sleeps until after the lease has expired. When it wakes, the holder must not give orders,
// although little time has passed for its process.
func TestLeaseExpiresWhileMachineSleeps(t *testing.T) {
	withNodes(t, func(g *gomega.WithT, _ *platform.Log, first, _ *node) {
		g.Expect(first.Acquire(context.Background(), domain)).To(gomega.Succeed())
		g.Expect(first.Holds(domain)).To(gomega.BeTrue())
		first.clockAdvance += lease.Duration
		g.Expect(first.Holds(domain)).To(gomega.BeFalse())
	})
}

// While the log is unavailable, no node can acquire or renew a lease, and a held lease expires.
func TestLeaseExpiresWhileLogIsUnavailable(t *testing.T) {
	withNodes(t, func(g *gomega.WithT, log *platform.Log, first, second *node) {
		g.Expect(first.Acquire(context.Background(), domain)).To(gomega.Succeed())
		log.SetFaults(platform.LogFaults{Dark: true})
		time.Sleep(lease.Duration)
		g.Expect(first.Holds(domain)).To(gomega.BeFalse())
		g.Expect(first.Acquire(context.Background(), domain)).NotTo(gomega.Succeed())
		g.Expect(second.Acquire(context.Background(), domain)).NotTo(gomega.Succeed())
	})
}

// A node is paused between deciding to acquire a lease and appending its record, and another node acquires the lease
// meanwhile. The late record names an outdated base term and must be rejected, or both nodes would hold the lease.
func TestLateLeaseRecordIsRejected(t *testing.T) {
	withNodes(t, func(g *gomega.WithT, log *platform.Log, first, second *node) {
		g.Expect(first.Acquire(context.Background(), domain)).To(gomega.Succeed())
		late, err := proto.Marshal(&record.GroupRecord{Kind: &record.GroupRecord_Lease{Lease: &record.Lease{
			FabricDomain: domain, Holder: 2, BaseTerm: 0, DurationMs: uint32(lease.Duration.Milliseconds()),
		}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		log.Append("Groups.test", late)
		time.Sleep(time.Second)
		for _, node := range []*node{first, second} {
			entry, known := node.Table.Lookup(domain)
			g.Expect(known).To(gomega.BeTrue())
			g.Expect(entry.Lease.Holder).To(gomega.Equal(uint64(1)))
			g.Expect(node.Table.State().Void).To(gomega.Equal(uint64(1)))
		}
	})
}
