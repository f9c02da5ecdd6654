// Package stream follows one stream of the platform's log and folds its
// records, in the order of their offsets, into state.
//
// Every node folds the same records to the same state, so the log alone
// decides; a Follower only decides how the records reach the fold. It reads
// from the log, takes relayed records from peers when the log is out of reach,
// starts from a checkpoint where older records have expired, and never steps
// back: not for a stale replica of the log, not for a peer that lags, and not
// for a log that comes back empty.
//
// # Usage
//
//	follower := stream.New("Config", fold, stream.Read(client.Read), stream.Append(client.Append))
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
	pageRecords      = 512
	readWait         = 2 * time.Second
	retryFirst       = 100 * time.Millisecond
	retryMost        = 2 * time.Second
	recentRecords    = 4096
	recentBytes      = 1 << 20
	resetAfter       = 5 * time.Second
	checkpointEvery  = 1000
	checkpointAfter  = time.Hour
	checkpointBudget = 5 * time.Second
)

// ErrNotReady means that the stream's history is not known yet.
var ErrNotReady = errors.New("the stream's history is not known yet")

// Decoded is one record that a fold has understood.
type Decoded struct {
	// Checkpoint marks a record that stands for everything before Through.
	Checkpoint bool
	Through    uint64
	// Apply folds the record. It is called once, in the order of offsets.
	Apply func(offset uint64)
}

// Fold is the state that a stream's records are folded into.
type Fold struct {
	// Decode understands a record without changing anything. A record that
	// cannot be decoded is skipped by every node alike.
	Decode func(body []byte) (Decoded, error)
	// Snapshot returns a checkpoint record of the state, which holds every
	// record before the offset through.
	Snapshot func(through uint64) ([]byte, error)
}

// State is what a Follower shows in the state dump.
type State struct {
	Stream      string
	Next        uint64
	Complete    bool
	CaughtUp    bool
	LogDark     bool
	Applied     uint64
	Undecodable uint64
	Relayed     uint64
	Resets      uint64
	SteppedBack uint64
	Checkpoints uint64
	QuietSince  time.Duration
}

// Follower folds one stream.
type Follower struct {
	*lifecycle.Component
	// Name is the stream's.
	Name   string
	fold   Fold
	read   func(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (logservice.Page, error)
	append func(ctx context.Context, stream string, body []byte) (uint64, error)
	now    clock.Now
	logger *slog.Logger

	mu       sync.Mutex
	next     uint64
	complete bool
	caughtUp bool
	dark     bool
	lastRead time.Duration
	behindAt time.Duration
	recent   []logservice.Record
	held     int
	advanced chan struct{}
	// gathered holds what was read since gatheredFrom, while no checkpoint
	// tells what came before it.
	gathered     []gatheredRecord
	gatheredFrom uint64
	// folded is set once this follower's state holds every record before next.
	folded     bool
	parts      parts
	sinceMark  int
	lastMark   time.Duration
	statistics State
}

// Option changes how a Follower is built.
type Option func(*Follower)

// Read sets how the log is read. Without it the follower lives on its peers.
func Read(read func(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (logservice.Page, error)) Option {
	return func(follower *Follower) { follower.read = read }
}

// Append sets how records are appended.
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

// New returns a follower that has read nothing.
func New(name string, fold Fold, options ...Option) *Follower {
	follower := &Follower{
		Component: lifecycle.New("stream"), Name: name, fold: fold, now: clock.Boot,
		logger: slog.Default(), advanced: make(chan struct{}),
	}
	for _, option := range options {
		option(follower)
	}
	follower.lastMark = follower.now()
	return follower
}

// Start begins to follow the log.
func (follower *Follower) Start() {
	if follower.read != nil {
		follower.Go(follower.follow)
	}
}

func (follower *Follower) follow() {
	retry := retryFirst
	for {
		select {
		case <-follower.Stopping:
			return
		default:
		}
		if err := follower.readOnce(); err != nil {
			follower.goDark(err)
			if !follower.Sleep(retry) {
				return
			}
			retry = min(2*retry, retryMost)
			continue
		}
		retry = retryFirst
	}
}

func (follower *Follower) readOnce() error {
	follower.mu.Lock()
	from, wait := follower.next, readWait
	if follower.lastRead == 0 {
		// The first read tells whether the stream is empty; a node that starts
		// should not wait for a record to find that out.
		wait = 0
	}
	follower.mu.Unlock()
	ctx, cancel := follower.ContextWithTimeout(wait + 5*time.Second)
	defer cancel()
	page, err := follower.read(ctx, follower.Name, from, pageRecords, wait)
	if err != nil {
		select {
		case <-follower.Stopping:
			// The read was ended by the shutdown; the log is not to blame.
			return nil
		default:
			return err
		}
	}
	if page.Next < from {
		return follower.behind(ctx, page)
	}
	follower.take(page)
	return nil
}

func (follower *Follower) goDark(err error) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if !follower.dark {
		follower.logger.Warn("stream: the log does not answer.", "Stream", follower.Name, "Error", err.Error())
	}
	follower.dark = true
}

// take folds a page that reaches at least as far as what was folded before.
func (follower *Follower) take(page logservice.Page) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.behindAt = 0
	follower.dark = false
	follower.lastRead = follower.now()
	if page.Earliest > follower.next {
		// The records in between have expired unread. Only a checkpoint can
		// stand for them, so what follows waits for one.
		follower.next, follower.complete = page.Earliest, false
		follower.gathered, follower.gatheredFrom = nil, page.Earliest
		follower.recent, follower.held = nil, 0
	} else if follower.next == 0 {
		follower.complete = true
	}
	for _, record := range page.Records {
		follower.applyLocked(record)
	}
	if follower.complete && follower.next >= page.Next {
		follower.caughtUp = true
	}
	follower.announceLocked()
}

func (follower *Follower) announceLocked() {
	close(follower.advanced)
	follower.advanced = make(chan struct{})
}

// applyLocked folds one record if it is the next one.
func (follower *Follower) applyLocked(record logservice.Record) {
	if record.Offset != follower.next {
		return
	}
	follower.next++
	follower.keepLocked(record)
	body, whole := follower.parts.join(record.Body)
	if !whole {
		return
	}
	decoded, err := follower.fold.Decode(body)
	if err != nil {
		follower.statistics.Undecodable++
		follower.logger.Warn("stream: a record cannot be decoded and is skipped.",
			"Stream", follower.Name, "Offset", record.Offset, "Error", err.Error())
		return
	}
	if !follower.complete {
		follower.gatherLocked(record.Offset, decoded)
		return
	}
	follower.foldLocked(record.Offset, decoded)
}

// foldLocked folds one record. A follower that has folded everything before a
// checkpoint learns nothing from it and passes it over: what ended between the
// checkpoint's state and its record would come back with it, on this node and
// not on those that start from it. Only a checkpoint that was written to a log
// that lost its records (through 0) can bring news.
func (follower *Follower) foldLocked(offset uint64, decoded Decoded) {
	follower.sinceMark++
	if decoded.Checkpoint {
		follower.sinceMark, follower.lastMark = 0, follower.now()
	}
	if decoded.Checkpoint && decoded.Through > 0 && follower.folded {
		return
	}
	follower.folded = true
	decoded.Apply(offset)
	follower.statistics.Applied++
}

// gatherLocked holds records until a checkpoint tells what came before them.
//
// A checkpoint's state is taken a moment before it is appended, so a record
// can come to stand between the two. It is before the checkpoint on the log
// and yet not in it; a node that took the checkpoint as standing for all
// before its own offset would miss an accepted change for good. The checkpoint
// therefore says through which offset it was taken, and what was gathered from
// there on is folded after it.
func (follower *Follower) gatherLocked(offset uint64, decoded Decoded) {
	if !decoded.Checkpoint {
		follower.gathered = append(follower.gathered, gatheredRecord{offset: offset, decoded: decoded})
		return
	}
	if decoded.Through < follower.gatheredFrom {
		return
	}
	follower.complete, follower.folded = true, false
	follower.foldLocked(offset, decoded)
	for _, earlier := range follower.gathered {
		if earlier.offset >= decoded.Through {
			follower.foldLocked(earlier.offset, earlier.decoded)
		}
	}
	follower.gathered = nil
}

type gatheredRecord struct {
	offset  uint64
	decoded Decoded
}

// keepLocked holds recent records for peers that cannot read the log.
func (follower *Follower) keepLocked(record logservice.Record) {
	follower.recent = append(follower.recent, record)
	follower.held += len(record.Body)
	drop := 0
	for len(follower.recent)-drop > recentRecords || (follower.held > recentBytes && len(follower.recent)-drop > 1) {
		follower.held -= len(follower.recent[drop].Body)
		drop++
	}
	follower.recent = follower.recent[drop:]
}

// Append adds a record to the stream and returns its offset.
func (follower *Follower) Append(ctx context.Context, body []byte) (uint64, error) {
	return follower.append(ctx, follower.Name, body)
}

// Advanced returns a channel that closes when more was folded.
func (follower *Follower) Advanced() <-chan struct{} {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.advanced
}

// Ready reports whether the stream's history is known.
func (follower *Follower) Ready() bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.complete && follower.caughtUp
}

// Dark reports whether the log failed to answer the last read.
func (follower *Follower) Dark() bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.dark
}

// Next is the offset that would be folded next.
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
	state.CaughtUp, state.LogDark = follower.caughtUp, follower.dark
	state.QuietSince = follower.now() - follower.lastRead
	return state
}
