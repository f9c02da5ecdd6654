package lease

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/wire/record"
)

const (
	// Duration is how long a lease lasts.
	Duration = 10 * time.Second
	// guard is what the holder leaves unused at its end, so that an order that
	// it sends just before the end arrives before anybody else may order.
	guard = 3 * time.Second
	// readBack is how long Acquire waits for its own record.
	readBack = 3 * time.Second
	pollBack = 20 * time.Millisecond
)

// ErrHeld means that another node may still hold the lease.
var ErrHeld = errors.New("another node may still hold the lease")

// Keeper takes leases for one incarnation of a node.
type Keeper struct {
	Incarnation uint64
	Table       *Table
	Now         clock.Now
	Append      func(ctx context.Context, body []byte) (uint64, error)
	Ready       func() bool

	mu    sync.Mutex
	until map[string]time.Duration
}

// Holds reports whether orders may be given in the domain right now. It must
// be asked again before each order.
func (keeper *Keeper) Holds(domain string) bool {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	return keeper.Now() < keeper.until[domain]-guard
}

// Acquire takes or renews the lease of a domain. The error is ErrHeld while
// another node may hold it.
func (keeper *Keeper) Acquire(ctx context.Context, domain string) error {
	if keeper.Holds(domain) {
		return nil
	}
	if !keeper.Ready() {
		return errors.New("the history of leases is not known yet")
	}
	entry, known := keeper.Table.Lookup(domain)
	if known && entry.Lease.Holder != keeper.Incarnation && !over(entry, keeper.Now()) {
		return errors.Mark(errors.Newf("lease of %s, term %d", domain, entry.Lease.Term), ErrHeld)
	}
	base := entry.Lease.GetTerm()
	body, err := proto.Marshal(&record.GroupRecord{Kind: &record.GroupRecord_Lease{Lease: &record.Lease{
		FabricDomain: domain, Holder: keeper.Incarnation, BaseTerm: base, DurationMs: uint32(Duration.Milliseconds()),
	}}})
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	// Counted from before the append: however long its reply or its reading
	// back takes, others start to count later than this.
	sent := keeper.Now()
	if _, err := keeper.Append(ctx, body); err != nil {
		return errors.Wrapf(err, "take the lease of %s", domain)
	}
	return keeper.await(ctx, domain, base+1, sent)
}

// over reports whether a lease that this node read has surely ended for its
// holder, who counts from an earlier moment.
func over(entry Entry, now time.Duration) bool {
	return now-entry.ReadAt > time.Duration(entry.Lease.DurationMs)*time.Millisecond
}

func (keeper *Keeper) await(ctx context.Context, domain string, term uint64, sent time.Duration) error {
	for waited := time.Duration(0); waited < readBack; waited += pollBack {
		entry, _ := keeper.Table.Lookup(domain)
		if entry.Lease.GetTerm() >= term {
			return keeper.settle(domain, entry, term, sent)
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "read back the lease of %s", domain)
		case <-time.After(pollBack):
		}
	}
	return errors.Newf("the lease of %s was not read back in time", domain)
}

func (keeper *Keeper) settle(domain string, entry Entry, term uint64, sent time.Duration) error {
	if entry.Lease.Term != term || entry.Lease.Holder != keeper.Incarnation {
		return errors.Mark(errors.Newf("lease of %s, term %d", domain, entry.Lease.Term), ErrHeld)
	}
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	if keeper.until == nil {
		keeper.until = map[string]time.Duration{}
	}
	keeper.until[domain] = sent + Duration
	return nil
}
