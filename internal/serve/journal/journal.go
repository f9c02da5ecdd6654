// Package journal records the decisions made for each recent request, so that an operator can look up why a
// request was served the way it was.
//
// The journal lives in memory, holds a bounded number of requests and drops the oldest first. It is not an audit
// trail and does not survive a restart of the process.
//
// # Usage
//
//	entry := requests.Start("req-1", "urgent", "workspace-7")
//	entry.Addf("sent to group 7: 3 groups were near the best")
//	found, ok := requests.Find("req-1")
package journal

import (
	"fmt"
	"sync"
	"time"
)

const maxLines = 64

// Line is one recorded step of a request.
type Line struct {
	Elapsed time.Duration
	Text    string
}

// Entry is the record of one request.
type Entry struct {
	RequestID string
	Class     string
	Workspace string
	StartedAt time.Time

	mu    sync.Mutex
	lines []Line
}

// Addf appends a formatted line. Lines beyond maxLines are dropped.
func (entry *Entry) Addf(format string, arguments ...any) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if len(entry.lines) < maxLines {
		entry.lines = append(entry.lines, Line{Elapsed: time.Since(entry.StartedAt), Text: fmt.Sprintf(format, arguments...)})
	}
}

// Lines returns a copy of the lines recorded so far.
func (entry *Entry) Lines() []Line {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return append([]Line(nil), entry.lines...)
}

// Journal holds the entries of the most recent requests.
type Journal struct {
	mu      sync.Mutex
	entries map[string]*Entry
	ring    []string
	next    int
}

// New returns a journal that holds the most recent size requests.
func New(size int) *Journal {
	return &Journal{entries: map[string]*Entry{}, ring: make([]string, size)}
}

// Start adds an entry for a request and evicts the oldest entry if the journal is full.
func (journal *Journal) Start(request, class, workspace string) *Entry {
	entry := &Entry{RequestID: request, Class: class, Workspace: workspace, StartedAt: time.Now()}
	journal.mu.Lock()
	defer journal.mu.Unlock()
	delete(journal.entries, journal.ring[journal.next])
	journal.ring[journal.next] = request
	journal.next = (journal.next + 1) % len(journal.ring)
	journal.entries[request] = entry
	return entry
}

// Find returns the entry of a request by the request's ID.
func (journal *Journal) Find(request string) (*Entry, bool) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	entry, ok := journal.entries[request]
	return entry, ok
}
