// Package service simulates a plain service beside the model engines, such as a scheduling app or a booking ledger. The
// simulation counts the executions per idempotency key, so that a test can compare the responses of the system with the
// calls that actually ran.
//
// # Usage
//
//	counter := service.NewExecutionCounter()
//	ledger := service.New("ledger-1", counter)
//	http.Serve(listener, ledger.Handler())
//	counter.Executions("key-1") // 0 or 1; a higher count is a violation
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

// Faults sets the injected faults of a Service.
type Faults struct {
	// Refuse makes the service refuse every call without executing it.
	Refuse bool
	// LoseReplies makes the service execute every call and then abort the connection.
	LoseReplies bool
	// DelayMs delays the execution of every call by this many milliseconds.
	DelayMs int
}

// ExecutionCounter counts the executions over all instances of one service.
type ExecutionCounter struct {
	mu         sync.Mutex
	executions map[string]int
	total      int
	duplicates int
}

// NewExecutionCounter returns a counter at zero.
func NewExecutionCounter() *ExecutionCounter {
	return &ExecutionCounter{executions: map[string]int{}}
}

// Record counts one execution and returns its serial number. An empty key counts only towards the total.
func (counter *ExecutionCounter) Record(key string) int {
	counter.mu.Lock()
	defer counter.mu.Unlock()
	counter.total++
	if key == "" {
		return counter.total
	}
	counter.executions[key]++
	if counter.executions[key] > 1 {
		counter.duplicates++
	}
	return counter.total
}

// Executions returns how often the call with this idempotency key was executed.
func (counter *ExecutionCounter) Executions(key string) int {
	counter.mu.Lock()
	defer counter.mu.Unlock()
	return counter.executions[key]
}

// Duplicates returns the number of executions beyond the first for each key.
func (counter *ExecutionCounter) Duplicates() int {
	counter.mu.Lock()
	defer counter.mu.Unlock()
	return counter.duplicates
}

// Service is one instance of the service.
type Service struct {
	name    string
	counter *ExecutionCounter

	mu     sync.Mutex
	faults Faults
}

// New returns an instance that records its executions in the counter.
func New(name string, counter *ExecutionCounter) *Service {
	return &Service{name: name, counter: counter}
}

// SetFaults replaces the service's faults.
func (service *Service) SetFaults(faults Faults) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.faults = faults
}

// Handler serves any method and path. POST /faults replaces the faults.
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
		// The body is read before the refusal. Otherwise the caller's write of the body can fail and hide the refusal.
		// The caller then correctly reports the outcome Unknown, and a test cannot check for the refusal.
		writer.Header().Set(peer.HeaderRefused, "true")
		http.Error(writer, "leaving", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	serial := 0
	if request.Method != http.MethodGet {
		serial = service.counter.Record(request.Header.Get("Idempotency-Key"))
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

// Total returns the number of executions, with and without a key.
func (counter *ExecutionCounter) Total() int {
	counter.mu.Lock()
	defer counter.mu.Unlock()
	return counter.total
}
