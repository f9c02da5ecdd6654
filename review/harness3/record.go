package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	runs    map[string]int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path) //nolint:gosec // the path is the case's own record
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now(), runs: map[string]int{}}, nil
}

// note writes a line.
func (record *record) note(format string, values ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.noteLocked(format, values...)
}

func (record *record) noteLocked(format string, values ...any) {
	_, _ = fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, values...))
}

// run notes that a runner runs an attempt.
func (record *record) run(runner, attempt, method, path, body string) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.runs[attempt]++
	record.noteLocked("runner %s runs attempt %s: %s %s %q", runner, attempt, method, path, body)
}
