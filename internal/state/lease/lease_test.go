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

// node is one node's view of the leases. Its clock can be moved ahead, as boot
// time does while a machine sleeps.
type node struct {
	*lease.Keeper
	follower *stream.Follower
	slept    time.Duration
}

func start(log *platform.Log, incarnation uint64) *node {
	client := logservice.New("http://log", inprocess.Transport{Handler: log.Handler()})
	virtual := clock.Virtual()
	created := &node{}
	now := func() time.Duration { return virtual() + created.slept }
	table := lease.New(now)
	created.follower = stream.New(
		"Groups.test", table.Fold(), stream.Read(client.Read), stream.Append(client.Append), stream.Clock(now),
		stream.Logger(slog.New(slog.NewTextHandler(io.Discard, nil))),
	)
	created.Keeper = &lease.Keeper{
		Incarnation: incarnation, Table: table, Now: now, Append: created.follower.Append, Ready: created.follower.Ready,
	}
	created.follower.Start()
	return created
}

func withNodes(t *testing.T, test func(g *gomega.WithT, log *platform.Log, first, second *node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := platform.NewLog()
		first, second := start(log, 1), start(log, 2)
		defer first.follower.Stop()
		defer second.follower.Stop()
		time.Sleep(time.Second)
		test(gomega.NewWithT(t), log, first, second)
	})
}

// Two nodes both think that a domain is theirs and take its lease at the same
// moment. At no time may both believe that they hold it.
func TestLeaseHasOneHolder(t *testing.T) {
	withNodes(t, func(g *gomega.WithT, _ *platform.Log, first, second *node) {
		for range 40 {
			races := conc.NewWaitGroup()
			for _, racer := range []*node{first, second} {
				races.Go(func() {
					err := racer.Acquire(context.Background(), domain)
					g.Expect(err == nil || errors.Is(err, lease.ErrHeld)).To(gomega.BeTrue(), "%v", err)
				})
			}
			races.Wait()
			g.Expect(first.Holds(domain) && second.Holds(domain)).To(gomega.BeFalse())
			time.Sleep(700 * time.Millisecond)
		}
	})
}

// The log is slow: the lease's append takes most of its time. The holder counts
// from before it sent the append, the other from after it read it, so the
// holder has stopped when the other may begin.
func TestSlowAppendShortensTheHoldersLease(t *testing.T) {
	withNodes(t, func(g *gomega.WithT, log *platform.Log, first, second *node) {
		log.SetFaults(platform.LogFaults{LatencyMs: 2500})
		began := time.Now()
		err := first.Acquire(context.Background(), domain)
		log.SetFaults(platform.LogFaults{})
		if err == nil {
			g.Expect(first.Holds(domain)).To(gomega.BeTrue())
		}
		for time.Since(began) < 25*time.Second {
			if second.Acquire(context.Background(), domain) == nil {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		g.Expect(second.Holds(domain)).To(gomega.BeTrue())
		g.Expect(first.Holds(domain)).To(gomega.BeFalse())
		g.Expect(time.Since(began)).To(gomega.BeNumerically(">", lease.Duration))
	})
}

// The holder's machine sleeps past the lease's end. On waking it must not act
// as if it still held it, although little time has passed for the process.
func TestHolderThatSleptHasLostItsLease(t *testing.T) {
	withNodes(t, func(g *gomega.WithT, _ *platform.Log, first, _ *node) {
		g.Expect(first.Acquire(context.Background(), domain)).To(gomega.Succeed())
		g.Expect(first.Holds(domain)).To(gomega.BeTrue())
		first.slept += lease.Duration
		g.Expect(first.Holds(domain)).To(gomega.BeFalse())
	})
}

// The log is dark. Nobody can take or renew a lease, and the one that was held
// ends.
func TestDarkLogEndsLeases(t *testing.T) {
	withNodes(t, func(g *gomega.WithT, log *platform.Log, first, second *node) {
		g.Expect(first.Acquire(context.Background(), domain)).To(gomega.Succeed())
		log.SetFaults(platform.LogFaults{Dark: true})
		time.Sleep(lease.Duration)
		g.Expect(first.Holds(domain)).To(gomega.BeFalse())
		g.Expect(first.Acquire(context.Background(), domain)).NotTo(gomega.Succeed())
		g.Expect(second.Acquire(context.Background(), domain)).NotTo(gomega.Succeed())
	})
}

// A node was paused between deciding to take a lease and its append. Meanwhile
// another took it. The late record was written over a term that is no longer
// the latest and must be void, or both would hold the lease.
func TestLateClaimIsVoid(t *testing.T) {
	withNodes(t, func(g *gomega.WithT, log *platform.Log, first, second *node) {
		g.Expect(first.Acquire(context.Background(), domain)).To(gomega.Succeed())
		late, err := proto.Marshal(&record.GroupRecord{Kind: &record.GroupRecord_Lease{Lease: &record.Lease{
			FabricDomain: domain, Holder: 2, BaseTerm: 0, DurationMs: uint32(lease.Duration.Milliseconds()),
		}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		log.Append("Groups.test", late)
		time.Sleep(time.Second)
		for _, reader := range []*node{first, second} {
			entry, known := reader.Table.Lookup(domain)
			g.Expect(known).To(gomega.BeTrue())
			g.Expect(entry.Lease.Holder).To(gomega.Equal(uint64(1)))
			g.Expect(reader.Table.State().Void).To(gomega.Equal(uint64(1)))
		}
	})
}
