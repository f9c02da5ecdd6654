package logging_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/logging"
)

// blockedWriter blocks every Write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}

	mu      sync.Mutex
	written bytes.Buffer
}

func (blockedWriter *blockedWriter) Write(line []byte) (int, error) {
	<-blockedWriter.unblock
	blockedWriter.mu.Lock()
	defer blockedWriter.mu.Unlock()
	return blockedWriter.written.Write(line)
}

// Guards against requests that wait for their log lines. The reader of the log output stalls while requests fail: no
// logging call may block, the warnings must be kept while info lines are dropped, and the number of dropped lines must
// be logged.
func TestStalledOutputDoesNotBlockCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		out := &blockedWriter{unblock: make(chan struct{})}
		sink := logging.New(out)
		sink.Start()
		logger := slog.New(sink.Handler(slog.LevelInfo)).With("Node", "entry-1")
		start := time.Now()
		for range 5000 {
			logger.Info("answered")
		}
		for range 1000 {
			logger.Warn("failed")
		}
		expect.Expect(time.Since(start)).To(gomega.BeZero())
		expect.Expect(sink.Dropped()).To(gomega.BeNumerically(">", 2000))
		close(out.unblock)
		synctest.Wait()
		sink.Stop()
		text := out.written.String()
		expect.Expect(strings.Count(text, "failed")).To(gomega.Equal(1000))
		expect.Expect(text).To(gomega.ContainSubstring("lines were dropped"))
	})
}

// Guards against a queue that grows with what callers send. Values that callers choose are cut, and the queue is bounded
// in bytes as well as in lines while the output stalls.
func TestLongValuesDoNotFillMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		out := &blockedWriter{unblock: make(chan struct{})}
		sink := logging.New(out)
		sink.Start()
		logger, id := slog.New(sink.Handler(slog.LevelInfo)), strings.Repeat("\xff", 16<<10)
		for range 4000 {
			logger.Warn("failed", "RequestID", id, "Cause", "pool drafts/"+id)
		}
		expect.Expect(sink.Dropped()).To(gomega.BeNumerically(">", 0))
		close(out.unblock)
		synctest.Wait()
		sink.Stop()
		kept := out.written.Len()
		expect.Expect(kept).To(gomega.BeNumerically(">", 3<<20))
		expect.Expect(kept).To(gomega.BeNumerically("<", 5<<20))
	})
}
