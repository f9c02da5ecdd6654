// Package engine is a stand-in for the model engines of one fabric domain:
// continuous batching with a service rate, a small prefix cache, orders with
// or without fencing numbers, and faults to switch on.
//
// The engines of a Domain know of each other as the members of a collective
// do: the first member of a group produces no token while another member is
// missing, paused or in another group. Tokens are a function of the prompt and
// their position, so a test can tell a whole answer from a damaged one.
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

// Rates is how fast an engine works. A step makes one token for each running
// answer and takes Step plus StepEach for each of them.
type Rates struct {
	Step        time.Duration
	StepEach    time.Duration
	Prefill     int
	Concurrency int
}

// DefaultRates let a group make 1,000 tokens a second with 40 answers running.
var DefaultRates = Rates{Step: 4 * time.Millisecond, StepEach: 500 * time.Microsecond, Prefill: 20_000, Concurrency: 64}

// Faults are the faults that an engine can be given. A count takes effect on
// that many of the next drafts.
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
	// LoseToken is a position whose piece is lost on the way, 0 for none.
	LoseToken    int
	StallReports bool
}

// Domain is the fabric domain that its engines share.
type Domain struct {
	weights *platform.Weights

	mu      sync.Mutex
	engines map[string]*Engine
	loads   conc.WaitGroup
}

// NewDomain returns a domain whose engines load from the given store.
func NewDomain(weights *platform.Weights) *Domain {
	return &Domain{weights: weights, engines: map[string]*Engine{}}
}

// Engine is one instance.
type Engine struct {
	name          string
	address       string
	domain        *Domain
	checksFencing bool
	rates         Rates

	mu          sync.Mutex
	faults      Faults
	incarnation uint64
	state       string
	group       uint64
	highest     uint64
	model       string
	members     []string
	cancelLoad  context.CancelFunc
	running     int
	waiting     []*draft
	queued      int
	prefixes    []string
	stalled     *peer.Report
	violations  []string
	generated   uint64
}

// Option changes how an Engine is built.
type Option func(*Engine)

// ChecksFencing says whether the engine refuses orders with an old number.
func ChecksFencing(checks bool) Option {
	return func(engine *Engine) { engine.checksFencing = checks }
}

// Speed sets the engine's rates.
func Speed(rates Rates) Option {
	return func(engine *Engine) { engine.rates = rates }
}

// New returns an idle engine and adds it to its domain.
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

// SetFaults replaces the engine's faults.
func (engine *Engine) SetFaults(faults Faults) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.stalled = nil
	if faults.StallReports {
		report := engine.reportLocked()
		engine.stalled = &report
	}
	engine.faults = faults
}

// Restart empties the engine as a restarted process would be: a new
// incarnation that remembers no order and no fencing number.
func (engine *Engine) Restart() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.incarnation++
	engine.highest = 0
	engine.faults = Faults{}
	engine.emptyLocked()
}

// Violations lists what the engine saw that must never happen.
func (engine *Engine) Violations() []string {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return slices.Clone(engine.violations)
}

// Generated is how many tokens the engine has made.
func (engine *Engine) Generated() uint64 {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.generated
}

// Report is the engine's own view of itself.
func (engine *Engine) Report() peer.Report {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.reportLocked()
}

func (engine *Engine) reportLocked() peer.Report {
	if engine.stalled != nil {
		return *engine.stalled
	}
	perStep := engine.rates.Step + time.Duration(engine.rates.Concurrency)*engine.rates.StepEach
	return peer.Report{
		Instance: engine.name, Address: engine.address, Incarnation: engine.incarnation,
		State: engine.state, Group: engine.group, Highest: engine.highest, Model: engine.model,
		Members: engine.members, Running: uint32(engine.running + len(engine.waiting)),
		QueuedTokens:     uint32(engine.queued),
		TokensPerSecond:  uint32(float64(engine.rates.Concurrency) / perStep.Seconds()),
		PrefillPerSecond: uint32(engine.rates.Prefill),
		Concurrency:      uint32(engine.rates.Concurrency), Leaving: engine.faults.Leaving,
	}
}

// Handler serves the engine over HTTP.
func (engine *Engine) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/report", engine.alive(engine.serveReport))
	router.POST("/orders", engine.alive(engine.serveOrder))
	router.POST("/generate", engine.alive(engine.serveGenerate))
	router.POST("/faults", engine.serveFaults)
	router.POST("/restart", func(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		engine.Restart()
		writer.WriteHeader(http.StatusNoContent)
	})
	return router
}

const pauseCheck = 10 * time.Millisecond

// alive drops the connection of a dead engine and holds that of a paused one.
func (engine *Engine) alive(next httprouter.Handle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		for engine.paused() {
			select {
			case <-request.Context().Done():
				panic(http.ErrAbortHandler)
			case <-time.After(pauseCheck):
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
