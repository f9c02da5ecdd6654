package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/julienschmidt/httprouter"

	peer "hazelslip/internal/peer/engine"
)

func (engine *Engine) serveOrder(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var order peer.Order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(writer, engine.Order(order))
}

// Order takes or refuses one order.
func (engine *Engine) Order(order peer.Order) peer.OrderReply {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.checksFencing && order.Number < engine.highest {
		return peer.OrderReply{Highest: engine.highest, Cause: "the number is older than one accepted before"}
	}
	engine.checkEqualLocked(order)
	engine.highest = max(engine.highest, order.Number)
	switch {
	case len(order.Members) == 0 && (order.Release == 0 || order.Release == engine.group):
		engine.emptyLocked()
	case len(order.Members) > 0 && order.Number != engine.group:
		engine.joinLocked(order)
	}
	return peer.OrderReply{Accepted: true, Highest: engine.highest}
}

// checkEqualLocked notes two different groups under one number: a number must
// be unique to the node that gives it.
func (engine *Engine) checkEqualLocked(order peer.Order) {
	sameNumber := len(order.Members) > 0 && order.Number == engine.group && engine.group != 0
	if sameNumber && !slices.Equal(order.Members, engine.members) {
		engine.violations = append(engine.violations, fmt.Sprintf("number %d names two groups", order.Number))
	}
}

func (engine *Engine) emptyLocked() {
	if engine.cancelLoad != nil {
		engine.cancelLoad()
	}
	engine.state, engine.group, engine.model, engine.members = peer.StateIdle, 0, "", nil
	engine.prefixes = nil
}

func (engine *Engine) joinLocked(order peer.Order) {
	engine.emptyLocked()
	engine.state, engine.group, engine.model = peer.StateLoading, order.Number, order.Model
	engine.members = slices.Clone(order.Members)
	ctx, cancel := context.WithCancel(context.Background())
	engine.cancelLoad = cancel
	engine.domain.loads.Go(func() { engine.load(ctx, order.Number) })
}

func (engine *Engine) load(ctx context.Context, group uint64) {
	if !engine.domain.weights.Load(ctx) {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.group == group {
		engine.state = peer.StateReady
	}
}

// Close ends what the domain's engines are loading.
func (domain *Domain) Close() {
	domain.mu.Lock()
	for _, engine := range domain.engines {
		engine.mu.Lock()
		engine.emptyLocked()
		engine.mu.Unlock()
	}
	domain.mu.Unlock()
	domain.loads.Wait()
}

// condition tells whether a group can make its next token.
type condition int

const (
	intact condition = iota
	waiting
	lost
)

// condition reads the state of every member, as the collective would notice.
func (domain *Domain) condition(group uint64, members []string) condition {
	domain.mu.Lock()
	defer domain.mu.Unlock()
	result := intact
	for _, address := range members {
		engine, ok := domain.engines[address]
		if !ok {
			return lost
		}
		engine.mu.Lock()
		gone := engine.faults.Dead || engine.group != group || engine.state != peer.StateReady
		paused := engine.faults.Paused
		engine.mu.Unlock()
		if gone {
			return lost
		}
		if paused {
			result = waiting
		}
	}
	return result
}
