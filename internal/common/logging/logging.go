// Package logging writes structured logs without blocking the goroutines that log.
//
// Log lines go through a bounded queue, from which one goroutine writes them to the output. When the reader of the
// output stalls and the queue fills up, lines are dropped and counted, so that no request waits for its log lines.
// Once the queue is half full, only warnings and errors are accepted, so lines about failed requests are the last to be
// dropped. The number of dropped lines is logged when the output accepts data again.
//
// # Usage
//
//	sink := logging.New(os.Stdout)
//	sink.Start()
//	defer sink.Stop()
//	logger := slog.New(sink.Handler(slog.LevelInfo))
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/lifecycle"
)

const (
	// queueLines and queueBytes are the capacity of the queue: a few seconds of the log of a busy node. Lines hold what
	// callers send, for instance the IDs of their requests, so their number alone doesn't bound them.
	queueLines = 4096
	queueBytes = 4 << 20
	// maxValueBytes bounds a string in a line. Longer ones are cut.
	maxValueBytes = 1 << 10
	// flushTime bounds how long Stop waits until the queued lines are written.
	flushTime = 200 * time.Millisecond
)

// Sink queues log lines and writes them to an output in the background.
type Sink struct {
	*lifecycle.Component
	out        io.Writer
	lines      chan []byte
	writerDone chan struct{}
	dropped    atomic.Uint64
	// queued is the number of bytes in the queue.
	queued atomic.Int64
}

// New returns a sink that writes to out once Start has been called.
func New(out io.Writer) *Sink {
	return &Sink{Component: lifecycle.New("logs"), out: out, lines: make(chan []byte, queueLines), writerDone: make(chan struct{})}
}

// Start starts the goroutine that writes queued lines.
func (sink *Sink) Start() {
	sink.Go(sink.writeLines)
}

func (sink *Sink) writeLines() {
	defer close(sink.writerDone)
	reported := uint64(0)
	for {
		select {
		case line := <-sink.lines:
			sink.writeLine(line)
		case <-sink.Stopping:
			sink.writeQueued()
			return
		}
		if dropped := sink.dropped.Load(); dropped > reported && len(sink.lines) < queueLines/4 {
			_, _ = fmt.Fprintf(sink.out, `{"level":"WARN","msg":"logging: lines were dropped.","Dropped":%d}`+"\n", dropped-reported)
			reported = dropped
		}
	}
}

func (sink *Sink) writeQueued() {
	for {
		select {
		case line := <-sink.lines:
			sink.writeLine(line)
		default:
			return
		}
	}
}

func (sink *Sink) writeLine(line []byte) {
	_, _ = sink.out.Write(line)
	sink.queued.Add(-int64(len(line)))
}

// Stop writes the queued lines and stops the sink. Stop gives up after flushTime if the output is blocked.
func (sink *Sink) Stop() {
	sink.RequestStop()
	select {
	case <-sink.writerDone:
		sink.Component.Stop()
	case <-time.After(flushTime):
	}
}

// Dropped returns the number of lines dropped so far.
func (sink *Sink) Dropped() uint64 {
	return sink.dropped.Load()
}

// Write queues a line, or drops it if the queue is full. Write never blocks and never returns an error.
func (sink *Sink) Write(line []byte) (int, error) {
	if sink.queued.Add(int64(len(line))) <= queueBytes {
		select {
		case sink.lines <- append([]byte{}, line...):
			return len(line), nil
		default:
		}
	}
	sink.queued.Add(-int64(len(line)))
	sink.dropped.Add(1)
	return len(line), nil
}

// Handler returns a handler that writes records of the given level and above as JSON lines.
func (sink *Sink) Handler(level slog.Level) slog.Handler {
	return &handler{Handler: slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: level, ReplaceAttr: cutLongValue}), sink: sink}
}

func cutLongValue(_ []string, attribute slog.Attr) slog.Attr {
	if attribute.Value.Kind() == slog.KindString {
		if text := attribute.Value.String(); len(text) > maxValueBytes {
			attribute.Value = slog.StringValue(text[:maxValueBytes] + "...")
		}
	}
	return attribute
}

type handler struct {
	slog.Handler
	sink *Sink
}

// Handle drops records below the warning level while the queue is more than half full.
func (handler *handler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level < slog.LevelWarn && (len(handler.sink.lines) > queueLines/2 || handler.sink.queued.Load() > queueBytes/2) {
		handler.sink.dropped.Add(1)
		return nil
	}
	return handler.Handler.Handle(ctx, record)
}

// WithAttrs returns a handler that adds the attributes to each record.
func (handler *handler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return withHandler(handler.sink, handler.Handler.WithAttrs(attributes))
}

// WithGroup returns a handler that puts all later attributes into the named group.
func (handler *handler) WithGroup(name string) slog.Handler {
	return withHandler(handler.sink, handler.Handler.WithGroup(name))
}

func withHandler(sink *Sink, wrapped slog.Handler) slog.Handler {
	return &handler{Handler: wrapped, sink: sink}
}
