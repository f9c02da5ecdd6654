// Package service is a stand-in for a plain service beside the model engines,
// such as a scheduling app or a booking ledger. It counts how often each key
// was executed, so that a test can hold the system's answers against what
// really ran.
//
// # Usage
//
//	ledger := service.New("ledger-1")
//	http.Serve(listener, ledger.Handler())
//	ledger.Executions("key-1") // 0 or 1, or the system failed
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	peer "hazelslip/internal/peer/service"
)

const maxBodyBytes = 1 << 20

// Faults are the faults that a service can be given.
type Faults struct {
	// Refuse makes it refuse every call without running it.
	Refuse bool
	// LoseReplies makes it run every call and then break the connection.
	LoseReplies bool
	// DelayMs holds every call before it runs.
	DelayMs int
}

// Book counts executions over all the instances of one service.
type Book struct {
	mu         sync.Mutex
	executions map[string]int
	total      int
	doubled    int
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{executions: map[string]int{}}
}

// Run enters one execution and returns its serial number.
func (book *Book) Run(key string) int {
	book.mu.Lock()
	defer book.mu.Unlock()
	book.total++
	if key == "" {
		return book.total
	}
	book.executions[key]++
	if book.executions[key] > 1 {
		book.doubled++
	}
	return book.total
}

// Executions is how often the call with this key was run.
func (book *Book) Executions(key string) int {
	book.mu.Lock()
	defer book.mu.Unlock()
	return book.executions[key]
}

// Doubled is how many calls were run more than once.
func (book *Book) Doubled() int {
	book.mu.Lock()
	defer book.mu.Unlock()
	return book.doubled
}

// Service is one instance of the service.
type Service struct {
	name string
	book *Book

	mu     sync.Mutex
	faults Faults
}

// New returns an instance that enters what it runs in the book.
func New(name string, book *Book) *Service {
	return &Service{name: name, book: book}
}

// SetFaults replaces the service's faults.
func (service *Service) SetFaults(faults Faults) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.faults = faults
}

// Handler serves any method and path.
func (service *Service) Handler() http.Handler {
	return http.HandlerFunc(service.serve)
}

func (service *Service) serve(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/faults" && request.Method == http.MethodPost {
		service.serveFaults(writer, request)
		return
	}
	service.mu.Lock()
	faults := service.faults
	service.mu.Unlock()
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		http.Error(writer, "the body broke off", http.StatusBadRequest)
		return
	}
	if faults.Refuse {
		// A refusal that comes before the body was read can be lost to the
		// caller's failing write of the body; the caller then says Unknown,
		// which is true, and no test can expect more.
		writer.Header().Set(peer.HeaderRefused, "true")
		http.Error(writer, "leaving", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	serial := 0
	if request.Method != http.MethodGet {
		serial = service.book.Run(request.Header.Get("Idempotency-Key"))
	}
	if faults.LoseReplies {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(writer, `{"Service":%q,"Serial":%d,"Path":%q,"Bytes":%d}`+"\n", service.name, serial, request.URL.Path, len(body))
}

func (service *Service) serveFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	service.SetFaults(faults)
	writer.WriteHeader(http.StatusNoContent)
}

// Total is how many calls were run, with and without a key.
func (book *Book) Total() int {
	book.mu.Lock()
	defer book.mu.Unlock()
	return book.total
}
