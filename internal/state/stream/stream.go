// Package stream follows one stream of the platform's log and applies its records to a state machine in offset order.
//
// All nodes apply the same records and reach the same state, so only the log decides. A Follower decides how the
// records get to the state machine. It reads them from the log, fetches them from peers while the log is unavailable,
// and starts from a checkpoint if older records have expired. It never returns to an older state, even if a replica of
// the log is stale, a peer lags or the log comes back empty.
//
// # Usage
//
//	follower := stream.New("Config", stateMachine, stream.Read(client.Read), stream.Append(client.Append))
//	follower.Start()
//	offset, err := follower.Append(ctx, body)
//	<-follower.Advanced()
//	follower.Stop()
package stream

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/peer/logservice"
)

const (
	maxPageRecords = 512
	longPollWait   = 2 * time.Second
	minRetryDelay  = 100 * time.Millisecond
	maxRetryDelay  = 2 * time.Second
	// maxRecentRecords and maxRecentBytes bound the records that are retained for peers.
	maxRecentRecords = 4096
	maxRecentBytes   = 1 << 20
	// resetDelay is how long a log may be behind before it is considered to have lost its records.
	resetDelay         = 5 * time.Second
	checkpointRecords  = 1000
	checkpointInterval = time.Hour
	checkpointTimeout  = 5 * time.Second
)

// ErrNotReady means that the history of the stream is not known yet.
var ErrNotReady = errors.New("the stream's history is not known yet")

// Decoded is a decoded record.
type Decoded struct {
	// Checkpoint marks a record that replaces all records before the offset Through.
	Checkpoint bool
	Through    uint64
	// Apply applies the record to the state. It is called at most once per record, in offset order.
	Apply func(offset uint64)
}

// StateMachine is the state that the records of a stream are applied to.
type StateMachine struct {
	// Decode decodes a record without changing the state. All nodes skip a record that cannot be decoded.
	Decode func(body []byte) (Decoded, error)
	// Snapshot returns a checkpoint record of the state, which covers all records before the offset through.
	Snapshot func(through uint64) ([]byte, error)
}

// State is the part of a Follower in the state dump.
type State struct {
	Stream   string
	Next     uint64
	Complete bool
	CaughtUp bool
	// LogDark is set while the log is unavailable.
	LogDark     bool
	Applied     uint64
	Undecodable uint64
	// Relayed counts the records that were fetched from peers.
	Relayed uint64
	// Resets counts how often the log lost its records.
	Resets uint64
	// SteppedBack counts the reads of a log that ended before the records that were already read.
	SteppedBack uint64
	Checkpoints uint64
	// QuietSince is the time since the last successful read of the log.
	QuietSince time.Duration
}

// Follower applies one stream to a state machine.
type Follower struct {
	*lifecycle.Component
	// Name is the name of the stream.
	Name         string
	stateMachine StateMachine
	read         func(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (logservice.Page, error)
	append       func(ctx context.Context, stream string, body []byte) (uint64, error)
	now          clock.Now
	logger       *slog.Logger

	mu sync.Mutex
	// next is the offset of the next record to process.
	next uint64
	// complete is set while no record before next is missing.
	complete bool
	// caughtUp is set once the follower has reached the end of the log.
	caughtUp       bool
	logUnavailable bool
	lastRead       time.Duration
	// behindSince is the time of the first read that found the log behind, or 0.
	behindSince time.Duration
	// recent holds the latest records for peers, and recentSize their size in bytes.
	recent     []logservice.Record
	recentSize int
	advanced   chan struct{}
	// buffered holds the records that were read from bufferedFrom on, until a checkpoint covers the records before it.
	buffered     []bufferedRecord
	bufferedFrom uint64
	// hasState is set once the state includes all records before next.
	hasState        bool
	assembler       partAssembler
	sinceCheckpoint int
	lastCheckpoint  time.Duration
	statistics      State
}

// Option configures a Follower.
type Option func(*Follower)

// Read sets the function that reads the log. Without it, the follower gets records only from peers.
func Read(read func(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (logservice.Page, error)) Option {
	return func(follower *Follower) { follower.read = read }
}

// Append sets the function that appends records to the log.
func Append(write func(ctx context.Context, stream string, body []byte) (uint64, error)) Option {
	return func(follower *Follower) { follower.append = write }
}

// Clock sets the monotonic clock.
func Clock(now clock.Now) Option {
	return func(follower *Follower) { follower.now = now }
}

// Logger sets the logger.
func Logger(logger *slog.Logger) Option {
	return func(follower *Follower) { follower.logger = logger }
}

// New returns a follower that has read no record.
func New(name string, stateMachine StateMachine, options ...Option) *Follower {
	follower := &Follower{
		Component: lifecycle.New("stream"), Name: name, stateMachine: stateMachine, now: clock.Boot,
		logger: slog.Default(), advanced: make(chan struct{}),
	}
	for _, option := range options {
		option(follower)
	}
	follower.lastCheckpoint = follower.now()
	return follower
}

// Start starts to follow the log.
func (follower *Follower) Start() {
	if follower.read != nil {
		follower.Go(follower.follow)
	}
}

// follow reads the log until the follower stops. It waits after each failed read, twice as long each time up to
// maxRetryDelay.
func (follower *Follower) follow() {
	retryDelay := minRetryDelay
	for {
		select {
		case <-follower.Stopping:
			return
		default:
		}
		if err := follower.readOnce(); err != nil {
			follower.markLogUnavailable(err)
			if !follower.Sleep(retryDelay) {
				return
			}
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay = minRetryDelay
	}
}

// readOnce reads and applies one page of the log.
func (follower *Follower) readOnce() error {
	follower.mu.Lock()
	from, wait := follower.next, longPollWait
	if follower.lastRead == 0 {
		// The first read only tells whether the stream is empty. A starting node must not wait for a new record to
		// learn that.
		wait = 0
	}
	follower.mu.Unlock()
	ctx, cancel := follower.ContextWithTimeout(wait + 5*time.Second)
	defer cancel()
	page, err := follower.read(ctx, follower.Name, from, maxPageRecords, wait)
	if err != nil {
		select {
		case <-follower.Stopping:
			// The read was cancelled by the shutdown, so the log is not unavailable.
			return nil
		default:
			return err
		}
	}
	if page.Next < from {
		return follower.handleLogBehind(ctx, page)
	}
	follower.applyPage(page)
	return nil
}

func (follower *Follower) markLogUnavailable(err error) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if !follower.logUnavailable {
		follower.logger.Warn("stream: the log cannot be read.", "Stream", follower.Name, "Error", err.Error())
	}
	follower.logUnavailable = true
}

// applyPage applies a page of a log that does not end before the records that were already read.
func (follower *Follower) applyPage(page logservice.Page) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.behindSince = 0
	follower.logUnavailable = false
	follower.lastRead = follower.now()
	if page.Earliest > follower.next {
		// The records in between have expired unread. Only a checkpoint can replace them, so later records are buffered
		// until there is one.
		follower.next, follower.complete = page.Earliest, false
		follower.buffered, follower.bufferedFrom = nil, page.Earliest
		follower.recent, follower.recentSize = nil, 0
	} else if follower.next == 0 {
		follower.complete = true
	}
	for _, record := range page.Records {
		follower.processLocked(record)
	}
	if follower.complete && follower.next >= page.Next {
		follower.caughtUp = true
	}
	follower.notifyLocked()
}

// notifyLocked closes the channel that Advanced returned.
func (follower *Follower) notifyLocked() {
	close(follower.advanced)
	follower.advanced = make(chan struct{})
}

// processLocked decodes a record and applies or buffers it. It ignores a record that is not the next one.
func (follower *Follower) processLocked(record logservice.Record) {
	if record.Offset != follower.next {
		return
	}
	follower.next++
	follower.retainRecentLocked(record)
	body, complete := follower.assembler.add(record.Body)
	if !complete {
		return
	}
	decoded, err := follower.stateMachine.Decode(body)
	if err != nil {
		follower.statistics.Undecodable++
		follower.logger.Warn("stream: a record cannot be decoded and is skipped.",
			"Stream", follower.Name, "Offset", record.Offset, "Error", err.Error())
		return
	}
	if !follower.complete {
		follower.bufferLocked(record.Offset, decoded)
		return
	}
	follower.applyDecodedLocked(record.Offset, decoded)
}

// applyDecodedLocked applies one record. A follower that has applied all records before a checkpoint skips the
// checkpoint. If an entry ended between the snapshot and the record of the checkpoint, applying it would bring the
// entry back on this node, but not on nodes that start from the checkpoint. Only a checkpoint that was appended to a
// log that lost its records (with Through 0) can hold new state.
func (follower *Follower) applyDecodedLocked(offset uint64, decoded Decoded) {
	follower.sinceCheckpoint++
	if decoded.Checkpoint {
		follower.sinceCheckpoint, follower.lastCheckpoint = 0, follower.now()
	}
	if decoded.Checkpoint && decoded.Through > 0 && follower.hasState {
		return
	}
	follower.hasState = true
	decoded.Apply(offset)
	follower.statistics.Applied++
}

// bufferLocked buffers records until a checkpoint covers the records before them.
//
// The snapshot of a checkpoint is taken shortly before the checkpoint is appended, so another record can get between
// them. That record is before the checkpoint on the log but not part of its state. A node that treated the checkpoint
// as covering everything before its own offset would miss an accepted change forever. The checkpoint therefore contains
// the offset Through up to which its state goes, and buffered records from that offset on are applied after it.
func (follower *Follower) bufferLocked(offset uint64, decoded Decoded) {
	if !decoded.Checkpoint {
		follower.buffered = append(follower.buffered, bufferedRecord{offset: offset, decoded: decoded})
		return
	}
	if decoded.Through < follower.bufferedFrom {
		return
	}
	follower.complete, follower.hasState = true, false
	follower.applyDecodedLocked(offset, decoded)
	for _, record := range follower.buffered {
		if record.offset >= decoded.Through {
			follower.applyDecodedLocked(record.offset, record.decoded)
		}
	}
	follower.buffered = nil
}

type bufferedRecord struct {
	offset  uint64
	decoded Decoded
}

// retainRecentLocked keeps recent records for peers that cannot read the log.
func (follower *Follower) retainRecentLocked(record logservice.Record) {
	follower.recent = append(follower.recent, record)
	follower.recentSize += len(record.Body)
	drop := 0
	for len(follower.recent)-drop > maxRecentRecords || (follower.recentSize > maxRecentBytes && len(follower.recent)-drop > 1) {
		follower.recentSize -= len(follower.recent[drop].Body)
		drop++
	}
	follower.recent = follower.recent[drop:]
}

// Append appends a record to the stream and returns its offset.
func (follower *Follower) Append(ctx context.Context, body []byte) (uint64, error) {
	return follower.append(ctx, follower.Name, body)
}

// Advanced returns a channel that is closed when more records have been applied.
func (follower *Follower) Advanced() <-chan struct{} {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.advanced
}

// Ready reports whether the follower has applied the whole history of the stream.
func (follower *Follower) Ready() bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.complete && follower.caughtUp
}

// LogUnavailable reports whether the last read of the log failed.
func (follower *Follower) LogUnavailable() bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.logUnavailable
}

// Next returns the offset of the next record to apply.
func (follower *Follower) Next() uint64 {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.next
}

// State returns the follower's part of the state dump.
func (follower *Follower) State() State {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	state := follower.statistics
	state.Stream, state.Next, state.Complete = follower.Name, follower.next, follower.complete
	state.CaughtUp, state.LogDark = follower.caughtUp, follower.logUnavailable
	state.QuietSince = follower.now() - follower.lastRead
	return state
}
