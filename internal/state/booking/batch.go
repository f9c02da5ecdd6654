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
	// minAppendInterval and maxAppendInterval bound the time between two appends.
	minAppendInterval   = 20 * time.Millisecond
	maxAppendInterval   = 640 * time.Millisecond
	maxBatchesPerAppend = 2000
	maxAppendBytes      = 1 << 20
	maxQueuedBatches    = 20_000
	appendTimeout       = 5 * time.Second
)

// ErrQueueFull means that the queue of batches to append is full.
var ErrQueueFull = errors.New("too much is waiting for the log")

// queuedBatch is a batch that waits for its append, and the channel that receives the result.
type queuedBatch struct {
	batch  *record.BookingBatch
	result chan error
}

// Batcher merges queued intents and outcomes into few appends. The log takes few appends a second, and all nodes share
// them. The Batcher therefore runs one append at a time and doubles the interval between appends whenever one fails.
type Batcher struct {
	*lifecycle.Component
	// write appends one batch, or forwards it to the node that appends for the data centre.
	write func(ctx context.Context, batch *record.BookingBatch) error

	mu            sync.Mutex
	queue         []queuedBatch
	interval      time.Duration
	wake          chan struct{}
	appends       uint64
	entries       uint64
	failedAppends uint64
	unbatched     bool
}

// DisableBatching makes each queued batch an append of its own, sent as soon as the previous append has ended.
// Comparisons with batched appends use it.
func (batcher *Batcher) DisableBatching(disabled bool) {
	batcher.mu.Lock()
	defer batcher.mu.Unlock()
	batcher.unbatched = disabled
}

// NewBatcher returns a Batcher that appends merged batches by calling write.
func NewBatcher(write func(ctx context.Context, batch *record.BookingBatch) error) *Batcher {
	return &Batcher{Component: lifecycle.New("booking"), write: write, interval: minAppendInterval, wake: make(chan struct{}, 1)}
}

// Start starts the goroutine that appends queued batches.
func (batcher *Batcher) Start() {
	batcher.Go(batcher.run)
}

// Add queues a batch for the next append. The channel receives the result: nil if the batch was written,
// logservice.ErrNotWritten if it was provably not written, and any other error if that is unknown.
func (batcher *Batcher) Add(batch *record.BookingBatch) <-chan error {
	result := make(chan error, 1)
	batcher.mu.Lock()
	defer batcher.mu.Unlock()
	if len(batcher.queue) >= maxQueuedBatches {
		result <- errors.Mark(ErrQueueFull, logservice.ErrNotWritten)
		return result
	}
	batcher.queue = append(batcher.queue, queuedBatch{batch: batch, result: result})
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
			if !batcher.Sleep(batcher.appendDelay()) {
				break
			}
		}
	}
}

// appendDelay returns the time to wait before the next append.
func (batcher *Batcher) appendDelay() time.Duration {
	batcher.mu.Lock()
	defer batcher.mu.Unlock()
	if batcher.unbatched {
		return 0
	}
	return batcher.interval
}

// flush sends at most one append with queued batches and reports whether any batch was queued.
func (batcher *Batcher) flush() bool {
	queued, merged := batcher.dequeue()
	if len(queued) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	err := batcher.write(ctx, merged)
	batcher.adjustInterval(err, len(merged.Intents)+len(merged.Outcomes))
	for _, entry := range queued {
		entry.result <- err
	}
	return true
}

// dequeue removes the batches of the next append from the queue and returns them with their merged content. The merged
// content can exceed maxAppendBytes by part of one batch.
func (batcher *Batcher) dequeue() ([]queuedBatch, *record.BookingBatch) {
	batcher.mu.Lock()
	defer batcher.mu.Unlock()
	merged := &record.BookingBatch{}
	count, bytes := 0, 0
	limit := maxBatchesPerAppend
	if batcher.unbatched {
		limit = 1
	}
	for count < len(batcher.queue) && count < limit && bytes < maxAppendBytes {
		batch := batcher.queue[count].batch
		bytes += proto.Size(batch)
		merged.Intents = append(merged.Intents, batch.Intents...)
		merged.Outcomes = append(merged.Outcomes, batch.Outcomes...)
		count++
	}
	queued := batcher.queue[:count:count]
	batcher.queue = batcher.queue[count:]
	return queued, merged
}

// adjustInterval shortens the interval by a tenth after a successful append and doubles it after a failed one.
func (batcher *Batcher) adjustInterval(err error, entries int) {
	batcher.mu.Lock()
	defer batcher.mu.Unlock()
	batcher.appends++
	if err == nil {
		batcher.entries += uint64(entries)
		batcher.interval = max(minAppendInterval, batcher.interval*9/10)
		return
	}
	batcher.failedAppends++
	batcher.interval = min(maxAppendInterval, 2*batcher.interval)
}
