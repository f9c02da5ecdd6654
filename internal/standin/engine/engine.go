// Package engine simulates the model engines of one fabric domain. The simulation covers continuous batching at a
// configurable rate, a small prefix cache, orders with or without fencing numbers, and injected faults.
//
// The engines of a Domain see each other's state, like the members of a collective operation: the first member of a
// group generates no token while another member is missing, paused or in another group. Each token is a function of the
// prompt and the token's position, so a test can tell a complete generation from a damaged one.
//
// # Usage
//
//	domain := engine.NewDomain(weights)
//	member := engine.New("a1", "127.0.0.1:7100", domain, engine.ChecksFencing(true))
//	http.Serve(listener, member.Handler())
//	member.SetFaults(engine.Faults{Dead: true})
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	peer "hazelslip/internal/peer/engine"
	"hazelslip/internal/standin/platform"
)

// Rates sets the speed of an engine. Each step generates one token for every running request and takes Step plus
// StepPerRequest for each of them. Concurrency is the maximum number of running requests.
type Rates struct {
	Step             time.Duration
	StepPerRequest   time.Duration
	PrefillPerSecond int
	Concurrency      int
}

// DefaultRates let a group generate 1,000 tokens per second with 40 running requests.
var DefaultRates = Rates{Step: 4 * time.Millisecond, StepPerRequest: 500 * time.Microsecond, PrefillPerSecond: 20_000, Concurrency: 64}

// Faults sets the injected faults of an engine. RefuseDrafts and BreakDrafts are counts: each applies to that many of
// the next requests.
type Faults struct {
	Dead           bool
	Paused         bool
	Leaving        bool
	RefuseDrafts   int
	BreakAtToken   int
	BreakDrafts    int
	DuplicateToken bool
	ReorderTokens  bool
	StaleAttempts  bool
	LateMs         int
	// LoseToken is the position of the token whose piece is never sent, 0 for none.
	LoseToken    int
	StallReports bool
}

// Domain is a fabric domain with its engines and the weight store that they load from.
type Domain struct {
	weights *platform.Weights

	mu      sync.Mutex
	engines map[string]*Engine
	loads   conc.WaitGroup
}

// NewDomain returns an empty domain whose engines load weights from the given store.
func NewDomain(weights *platform.Weights) *Domain {
	return &Domain{weights: weights, engines: map[string]*Engine{}}
}

// Engine simulates the model engine of one instance.
type Engine struct {
	name          string
	address       string
	domain        *Domain
	checksFencing bool
	rates         Rates

	mu           sync.Mutex
	faults       Faults
	incarnation  uint64
	state        string
	group        uint64
	highest      uint64
	model        string
	members      []string
	cancelLoad   context.CancelFunc
	running      int
	waiting      []*waitingRequest
	queued       int
	prefixes     []string
	frozenReport *peer.Report
	violations   []string
	generated    uint64
}

// Option configures an Engine.
type Option func(*Engine)

// ChecksFencing sets whether the engine refuses orders with an outdated fencing number.
func ChecksFencing(checks bool) Option {
	return func(engine *Engine) { engine.checksFencing = checks }
}

// WithRates sets the engine's rates. The default is DefaultRates.
func WithRates(rates Rates) Option {
	return func(engine *Engine) { engine.rates = rates }
}

// New returns an idle engine and registers it in its domain under its address.
func New(name, address string, domain *Domain, options ...Option) *Engine {
	engine := &Engine{
		name: name, address: address, domain: domain, checksFencing: true,
		rates: DefaultRates, incarnation: 1, state: peer.StateIdle,
	}
	for _, option := range options {
		option(engine)
	}
	domain.mu.Lock()
	defer domain.mu.Unlock()
	domain.engines[address] = engine
	return engine
}

// SetFaults replaces the engine's faults. StallReports freezes the report at its current content.
func (engine *Engine) SetFaults(faults Faults) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.frozenReport = nil
	if faults.StallReports {
		report := engine.reportLocked()
		engine.frozenReport = &report
	}
	engine.faults = faults
}

// Restart simulates a restarted process: a new incarnation without a group, fencing number or faults.
func (engine *Engine) Restart() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.incarnation++
	engine.highest = 0
	engine.faults = Faults{}
	engine.resetLocked()
}

// Violations describes each fencing number that the engine saw for two different groups.
func (engine *Engine) Violations() []string {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return slices.Clone(engine.violations)
}

// Generated returns the number of tokens that the engine has generated.
func (engine *Engine) Generated() uint64 {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.generated
}

// Report returns the engine's report, which StallReports may have frozen.
func (engine *Engine) Report() peer.Report {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.reportLocked()
}

func (engine *Engine) reportLocked() peer.Report {
	if engine.frozenReport != nil {
		return *engine.frozenReport
	}
	perStep := engine.rates.Step + time.Duration(engine.rates.Concurrency)*engine.rates.StepPerRequest
	return peer.Report{
		Instance: engine.name, Address: engine.address, Incarnation: engine.incarnation,
		State: engine.state, Group: engine.group, Highest: engine.highest, Model: engine.model,
		Members: engine.members, Running: uint32(engine.running + len(engine.waiting)),
		QueuedTokens:     uint32(engine.queued),
		TokensPerSecond:  uint32(float64(engine.rates.Concurrency) / perStep.Seconds()),
		PrefillPerSecond: uint32(engine.rates.PrefillPerSecond),
		Concurrency:      uint32(engine.rates.Concurrency), Leaving: engine.faults.Leaving,
	}
}

// Handler serves the engine over HTTP.
func (engine *Engine) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/report", engine.simulateOutage(engine.serveReport))
	router.POST("/orders", engine.simulateOutage(engine.serveOrder))
	router.POST("/generate", engine.simulateOutage(engine.serveGenerate))
	router.POST("/faults", engine.serveFaults)
	router.POST("/restart", func(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		engine.Restart()
		writer.WriteHeader(http.StatusNoContent)
	})
	return router
}

const pausePollInterval = 10 * time.Millisecond

// simulateOutage wraps a handler with the faults Dead and Paused: a dead engine aborts the connection, a paused one
// holds the request until the engine resumes or dies.
func (engine *Engine) simulateOutage(next httprouter.Handle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		for engine.paused() {
			select {
			case <-request.Context().Done():
				panic(http.ErrAbortHandler)
			case <-time.After(pausePollInterval):
			}
		}
		if engine.dead() {
			panic(http.ErrAbortHandler)
		}
		next(writer, request, params)
	}
}

func (engine *Engine) dead() bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.faults.Dead
}

func (engine *Engine) paused() bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.faults.Paused && !engine.faults.Dead
}

func (engine *Engine) serveReport(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(writer, engine.Report())
}

func (engine *Engine) serveFaults(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	engine.SetFaults(faults)
	writer.WriteHeader(http.StatusNoContent)
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
