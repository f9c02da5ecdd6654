// Package journal remembers why each of the latest requests went where it
// went, so that an operator can ask for the story of one.
//
// It keeps a bounded number of requests in memory and drops the oldest; it is
// no audit trail and does not outlive the process.
//
// # Usage
//
//	entry := journal.Begin("req-1", "urgent", "member-7")
//	entry.Note("sent to group 7: 3 groups were near the best")
//	lines, ok := journal.Find("req-1")
package journal

import (
	"fmt"
	"sync"
	"time"
)

const linesMost = 64

// Line is one step of a request.
type Line struct {
	After time.Duration
	Text  string
}

// Entry is the story of one request.
type Entry struct {
	Request   string
	Class     string
	Workspace string
	Began     time.Time

	mu    sync.Mutex
	lines []Line
}

// Note adds a line. Beyond a bound lines are dropped.
func (entry *Entry) Note(format string, arguments ...any) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if len(entry.lines) < linesMost {
		entry.lines = append(entry.lines, Line{After: time.Since(entry.Began), Text: fmt.Sprintf(format, arguments...)})
	}
}

// Lines returns the story so far.
func (entry *Entry) Lines() []Line {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return append([]Line(nil), entry.lines...)
}

// Journal keeps the latest entries.
type Journal struct {
	mu      sync.Mutex
	entries map[string]*Entry
	ring    []string
	next    int
}

// New returns a journal of the latest size requests.
func New(size int) *Journal {
	return &Journal{entries: map[string]*Entry{}, ring: make([]string, size)}
}

// Begin starts the story of a request.
func (journal *Journal) Begin(request, class, workspace string) *Entry {
	entry := &Entry{Request: request, Class: class, Workspace: workspace, Began: time.Now()}
	journal.mu.Lock()
	defer journal.mu.Unlock()
	delete(journal.entries, journal.ring[journal.next])
	journal.ring[journal.next] = request
	journal.next = (journal.next + 1) % len(journal.ring)
	journal.entries[request] = entry
	return entry
}

// Find returns the story of a request.
func (journal *Journal) Find(request string) (*Entry, bool) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	entry, ok := journal.entries[request]
	return entry, ok
}
