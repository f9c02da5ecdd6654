package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run. Times are seconds since its start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path) //nolint:gosec // the caller names the folder
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

// write adds a line.
func (record *record) write(format string, values ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	_, _ = fmt.Fprintf(record.writer, "%8.3f %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, values...))
}

// print adds a line and prints it.
func (record *record) print(format string, values ...any) {
	record.write(format, values...)
	fmt.Printf(format+"\n", values...)
}

func (record *record) close() {
	record.mu.Lock()
	defer record.mu.Unlock()
	_ = record.writer.Flush()
	record.file.Close()
}
