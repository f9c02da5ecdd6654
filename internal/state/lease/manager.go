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
	// expiryMargin is the last part of a lease, in which its holder gives no more orders. An order that the holder
	// sends just before that arrives before another node may give orders.
	expiryMargin = 3 * time.Second
	// readBackTimeout is how long Acquire waits to read its own record back from the stream.
	readBackTimeout      = 3 * time.Second
	readBackPollInterval = 20 * time.Millisecond
)

// ErrHeld means that another node may still hold the lease.
var ErrHeld = errors.New("another node may still hold the lease")

// Manager acquires leases for one incarnation of a node.
type Manager struct {
	Incarnation uint64
	Table       *Table
	Now         clock.Now
	// Append appends a record to the Groups stream of the data centre.
	Append func(ctx context.Context, body []byte) (uint64, error)
	// Ready reports whether the history of the stream is known.
	Ready func() bool

	mu        sync.Mutex
	expiresAt map[string]time.Duration
}

// Holds reports whether this node may give orders in the domain now. Callers must check it before each order.
func (manager *Manager) Holds(domain string) bool {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	return manager.Now() < manager.expiresAt[domain]-expiryMargin
}

// Acquire acquires or renews the lease of a domain. The error is ErrHeld if another node may hold the lease.
func (manager *Manager) Acquire(ctx context.Context, domain string) error {
	if manager.Holds(domain) {
		return nil
	}
	if !manager.Ready() {
		return errors.New("acquire lease: the history of leases is not known yet")
	}
	entry, known := manager.Table.Lookup(domain)
	if known && entry.Lease.Holder != manager.Incarnation && !expired(entry, manager.Now()) {
		return errors.Mark(errors.Newf("acquire the lease of %s: another node may still hold term %d", domain, entry.Lease.Term), ErrHeld)
	}
	baseTerm := entry.Lease.GetTerm()
	body, err := proto.Marshal(&record.GroupRecord{Kind: &record.GroupRecord_Lease{Lease: &record.Lease{
		FabricDomain: domain, Holder: manager.Incarnation, BaseTerm: baseTerm, DurationMs: uint32(Duration.Milliseconds()),
	}}})
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	// The lease is counted from before the append. Other nodes count from when they read the record, which is later, no
	// matter how long the reply or reading the record back takes.
	sentAt := manager.Now()
	if _, err := manager.Append(ctx, body); err != nil {
		return errors.Wrapf(err, "acquire the lease of %s", domain)
	}
	return manager.awaitReadBack(ctx, domain, baseTerm+1, sentAt)
}

// expired reports whether a lease that this node read has certainly expired at its holder, which counts from an earlier
// time.
func expired(entry Entry, now time.Duration) bool {
	return now-entry.ReadAt > time.Duration(entry.Lease.DurationMs)*time.Millisecond
}

// awaitReadBack waits until this node has read a lease of at least the term, and checks that the lease is its own.
func (manager *Manager) awaitReadBack(ctx context.Context, domain string, term uint64, sentAt time.Duration) error {
	for waited := time.Duration(0); waited < readBackTimeout; waited += readBackPollInterval {
		entry, _ := manager.Table.Lookup(domain)
		if entry.Lease.GetTerm() >= term {
			return manager.confirm(domain, entry, term, sentAt)
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "read back the lease of %s", domain)
		case <-time.After(readBackPollInterval):
		}
	}
	return errors.Newf("acquire the lease of %s: its record was not read back in time", domain)
}

// confirm stores the expiry of a lease that was read back, or fails with ErrHeld if another node won the term.
func (manager *Manager) confirm(domain string, entry Entry, term uint64, sentAt time.Duration) error {
	if entry.Lease.Term != term || entry.Lease.Holder != manager.Incarnation {
		return errors.Mark(errors.Newf("acquire the lease of %s: another lease was accepted in term %d", domain, entry.Lease.Term), ErrHeld)
	}
	manager.mu.Lock()
	defer manager.mu.Unlock()
	if manager.expiresAt == nil {
		manager.expiresAt = map[string]time.Duration{}
	}
	manager.expiresAt[domain] = sentAt + Duration
	return nil
}
