package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start of the case.
type recorder struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	writer *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path) //nolint:gosec // named on the command line
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// now returns the time since the start of the case.
func (recorder *recorder) now() time.Duration {
	return time.Since(recorder.start)
}

// note writes a line.
func (recorder *recorder) note(format string, values ...any) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	_, _ = fmt.Fprintf(recorder.writer, "%9.3f s  %s\n", recorder.now().Seconds(), fmt.Sprintf(format, values...))
}

func (recorder *recorder) close() {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	_ = recorder.writer.Flush()
	recorder.file.Close()
}
