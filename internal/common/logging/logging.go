// Package logging writes structured logs without ever holding up whoever logs.
//
// Lines wait in a bounded queue and one goroutine writes them. When whoever
// reads the output stalls, lines are dropped and counted in place of blocking a
// request; the least important go first: once the queue is half full only
// warnings and errors are taken, so the lines of failed requests are kept
// longest. What was dropped is said when the output moves again.
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
	// queueLines bounds what waits: some seconds of a busy node, under 2 MB.
	queueLines = 4096
	// flushTime bounds how long a stopping process waits for its last lines.
	flushTime = 200 * time.Millisecond
)

// Sink takes log lines.
type Sink struct {
	*lifecycle.Part
	out     io.Writer
	lines   chan []byte
	written chan struct{}
	dropped atomic.Uint64
}

// New returns a sink that is yet to be started.
func New(out io.Writer) *Sink {
	return &Sink{Part: lifecycle.New("logs"), out: out, lines: make(chan []byte, queueLines), written: make(chan struct{})}
}

// Start begins to write.
func (sink *Sink) Start() {
	sink.Go(sink.write)
}

func (sink *Sink) write() {
	defer close(sink.written)
	told := uint64(0)
	for {
		select {
		case line := <-sink.lines:
			_, _ = sink.out.Write(line)
		case <-sink.Stopping:
			sink.drain()
			return
		}
		if dropped := sink.dropped.Load(); dropped > told && len(sink.lines) < queueLines/4 {
			_, _ = fmt.Fprintf(sink.out, `{"level":"WARN","msg":"logging: lines were dropped.","Dropped":%d}`+"\n", dropped-told)
			told = dropped
		}
	}
}

func (sink *Sink) drain() {
	for {
		select {
		case line := <-sink.lines:
			_, _ = sink.out.Write(line)
		default:
			return
		}
	}
}

// Stop writes what waits, for a moment at most, and ends.
func (sink *Sink) Stop() {
	sink.Ask()
	select {
	case <-sink.written:
		sink.Part.Stop()
	case <-time.After(flushTime):
	}
}

// Dropped is how many lines were dropped.
func (sink *Sink) Dropped() uint64 {
	return sink.dropped.Load()
}

// Write queues a line or drops it.
func (sink *Sink) Write(line []byte) (int, error) {
	select {
	case sink.lines <- append([]byte{}, line...):
	default:
		sink.dropped.Add(1)
	}
	return len(line), nil
}

// Handler returns a handler that writes JSON lines of at least the level.
func (sink *Sink) Handler(level slog.Level) slog.Handler {
	return &handler{Handler: slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: level}), sink: sink}
}

type handler struct {
	slog.Handler
	sink *Sink
}

// Handle drops what is less than a warning while the queue is half full.
func (handler *handler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level < slog.LevelWarn && len(handler.sink.lines) > queueLines/2 {
		handler.sink.dropped.Add(1)
		return nil
	}
	return handler.Handler.Handle(ctx, record)
}

// WithAttrs returns a handler that adds attributes.
func (handler *handler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return withHandler(handler.sink, handler.Handler.WithAttrs(attributes))
}

// WithGroup returns a handler that groups what follows.
func (handler *handler) WithGroup(name string) slog.Handler {
	return withHandler(handler.sink, handler.Handler.WithGroup(name))
}

func withHandler(sink *Sink, inner slog.Handler) slog.Handler {
	return &handler{Handler: inner, sink: sink}
}
