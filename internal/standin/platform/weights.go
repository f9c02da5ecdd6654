package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"hazelslip/internal/peer/weightstore"
)

// Weights simulates the rate-limited weight store. A limited number of loads run at once, each for a fixed time;
// further loads wait for a slot.
type Weights struct {
	loadTime time.Duration
	slots    chan struct{}
}

// NewWeights returns a store that runs at most the given number of loads at once.
func NewWeights(slots int, loadTime time.Duration) *Weights {
	return &Weights{loadTime: loadTime, slots: make(chan struct{}, slots)}
}

// Load waits for a slot and then for the load. Load returns false if the context ends first.
func (weights *Weights) Load(ctx context.Context) bool {
	select {
	case weights.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-weights.slots }()
	timer := time.NewTimer(weights.loadTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Handler serves the store's status over HTTP at GET /status.
func (weights *Weights) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/status", func(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeJSON(writer, weightstore.Status{Slots: cap(weights.slots), Loading: len(weights.slots)})
	})
	return router
}
