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

// Order executes one order, or refuses an order with an outdated fencing number if the engine checks fencing.
func (engine *Engine) Order(order peer.Order) peer.OrderReply {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.checksFencing && order.Number < engine.highest {
		return peer.OrderReply{Highest: engine.highest, Cause: "the number is older than one accepted before"}
	}
	engine.checkNumberReuseLocked(order)
	engine.highest = max(engine.highest, order.Number)
	switch {
	case len(order.Members) == 0 && (order.Release == 0 || order.Release == engine.group):
		engine.resetLocked()
	case len(order.Members) > 0 && order.Number != engine.group:
		engine.joinLocked(order)
	}
	return peer.OrderReply{Accepted: true, Highest: engine.highest}
}

// checkNumberReuseLocked records a violation if one number names two different groups. A number must be unique to the
// node that issues it.
func (engine *Engine) checkNumberReuseLocked(order peer.Order) {
	sameNumber := len(order.Members) > 0 && order.Number == engine.group && engine.group != 0
	if sameNumber && !slices.Equal(order.Members, engine.members) {
		engine.violations = append(engine.violations, fmt.Sprintf("fencing number %d is used by two groups", order.Number))
	}
}

func (engine *Engine) resetLocked() {
	if engine.cancelLoad != nil {
		engine.cancelLoad()
	}
	engine.state, engine.group, engine.model, engine.members = peer.StateIdle, 0, "", nil
	engine.prefixes = nil
}

func (engine *Engine) joinLocked(order peer.Order) {
	engine.resetLocked()
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

// Close resets all engines of the domain, which cancels their loads, and waits until the loads have returned.
func (domain *Domain) Close() {
	domain.mu.Lock()
	for _, engine := range domain.engines {
		engine.mu.Lock()
		engine.resetLocked()
		engine.mu.Unlock()
	}
	domain.mu.Unlock()
	domain.loads.Wait()
}

// groupCondition describes whether a group can generate its next token.
type groupCondition int

const (
	groupIntact groupCondition = iota
	memberPaused
	memberLost
)

// groupCondition checks every member of the group. A lost member takes precedence over a paused one.
func (domain *Domain) groupCondition(group uint64, members []string) groupCondition {
	domain.mu.Lock()
	defer domain.mu.Unlock()
	result := groupIntact
	for _, address := range members {
		engine, ok := domain.engines[address]
		if !ok {
			return memberLost
		}
		engine.mu.Lock()
		gone := engine.faults.Dead || engine.group != group || engine.state != peer.StateReady
		paused := engine.faults.Paused
		engine.mu.Unlock()
		if gone {
			return memberLost
		}
		if paused {
			result = memberPaused
		}
	}
	return result
}
