package booking

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/peer/logservice"
	"hazelslip/internal/wire/record"
)

const (
	batchFirst    = 20 * time.Millisecond
	batchMost     = 640 * time.Millisecond
	batchEntries  = 2000
	batchBytes    = 1 << 20
	queueMost     = 20_000
	appendTimeout = 5 * time.Second
)

// ErrFull means that more is waiting for the log than this node holds.
var ErrFull = errors.New("too much is waiting for the log")

// pending is a part of a batch and whom to tell about it.
type pending struct {
	batch  *record.BookingBatch
	result chan error
}

// Batcher writes many intents and outcomes in one append. Appends are scarce
// and shared by everybody, so it keeps one append in the air, and waits longer
// between appends each time the log refuses one.
type Batcher struct {
	*lifecycle.Component
	// write appends one batch, or gives it to the node that does.
	write func(ctx context.Context, batch *record.BookingBatch) error

	mu       sync.Mutex
	waiting  []pending
	interval time.Duration
	wake     chan struct{}
	appends  uint64
	entries  uint64
	refused  uint64
	single   bool
}

// OneByOne makes each entry an append of its own, sent as soon as the one
// before has ended; comparisons use it.
func (batcher *Batcher) OneByOne(single bool) {
	batcher.mu.Lock()
	defer batcher.mu.Unlock()
	batcher.single = single
}

// NewBatcher returns a batcher that writes through the function.
func NewBatcher(write func(ctx context.Context, batch *record.BookingBatch) error) *Batcher {
	return &Batcher{Component: lifecycle.New("booking"), write: write, interval: batchFirst, wake: make(chan struct{}, 1)}
}

// Start begins to write.
func (batcher *Batcher) Start() {
	batcher.Go(batcher.run)
}

// Add puts a batch into the next append. The channel gives the result: nil
// once it was written, logservice.ErrNotWritten where it provably was not,
// anything else where that is open.
func (batcher *Batcher) Add(batch *record.BookingBatch) <-chan error {
	result := make(chan error, 1)
	batcher.mu.Lock()
	defer batcher.mu.Unlock()
	if len(batcher.waiting) >= queueMost {
		result <- errors.Mark(ErrFull, logservice.ErrNotWritten)
		return result
	}
	batcher.waiting = append(batcher.waiting, pending{batch: batch, result: result})
	select {
	case batcher.wake <- struct{}{}:
	default:
	}
	return result
}

func (batcher *Batcher) run() {
	for {
		select {
		case <-batcher.Stopping:
			batcher.flush()
			return
		case <-batcher.wake:
		}
		for batcher.flush() {
			if !batcher.Sleep(batcher.pause()) {
				break
			}
		}
	}
}

func (batcher *Batcher) pause() time.Duration {
	batcher.mu.Lock()
	defer batcher.mu.Unlock()
	if batcher.single {
		return 0
	}
	return batcher.interval
}

// flush writes what waits, at most one append, and reports whether there was
// anything.
func (batcher *Batcher) flush() bool {
	parts, merged := batcher.take()
	if len(parts) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	err := batcher.write(ctx, merged)
	batcher.adapt(err, len(merged.Intents)+len(merged.Outcomes))
	for _, part := range parts {
		part.result <- err
	}
	return true
}

func (batcher *Batcher) take() ([]pending, *record.BookingBatch) {
	batcher.mu.Lock()
	defer batcher.mu.Unlock()
	merged := &record.BookingBatch{}
	taken, bytes := 0, 0
	most := batchEntries
	if batcher.single {
		most = 1
	}
	for taken < len(batcher.waiting) && taken < most && bytes < batchBytes {
		part := batcher.waiting[taken].batch
		bytes += proto.Size(part)
		merged.Intents = append(merged.Intents, part.Intents...)
		merged.Outcomes = append(merged.Outcomes, part.Outcomes...)
		taken++
	}
	parts := batcher.waiting[:taken:taken]
	batcher.waiting = batcher.waiting[taken:]
	return parts, merged
}

func (batcher *Batcher) adapt(err error, entries int) {
	batcher.mu.Lock()
	defer batcher.mu.Unlock()
	batcher.appends++
	if err == nil {
		batcher.entries += uint64(entries)
		batcher.interval = max(batchFirst, batcher.interval*9/10)
		return
	}
	batcher.refused++
	batcher.interval = min(batchMost, 2*batcher.interval)
}
