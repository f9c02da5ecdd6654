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

// stalled is an output that takes nothing until it is freed.
type stalled struct {
	free chan struct{}

	mu      sync.Mutex
	written bytes.Buffer
}

func (stalled *stalled) Write(line []byte) (int, error) {
	<-stalled.free
	stalled.mu.Lock()
	defer stalled.mu.Unlock()
	return stalled.written.Write(line)
}

// Whoever reads the logs stalls while requests fail. No request may wait for
// its line; the lines of failures are kept longest, and the output says how
// many are missing.
func TestStalledOutputHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		out := &stalled{free: make(chan struct{})}
		sink := logging.New(out)
		sink.Start()
		logger := slog.New(sink.Handler(slog.LevelInfo)).With("Node", "entry-1")
		began := time.Now()
		for range 5000 {
			logger.Info("answered")
		}
		for range 1000 {
			logger.Warn("failed")
		}
		expect.Expect(time.Since(began)).To(gomega.BeZero())
		expect.Expect(sink.Dropped()).To(gomega.BeNumerically(">", 2000))
		close(out.free)
		synctest.Wait()
		sink.Stop()
		text := out.written.String()
		expect.Expect(strings.Count(text, "failed")).To(gomega.Equal(1000))
		expect.Expect(text).To(gomega.ContainSubstring("lines were dropped"))
	})
}
