package replica

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"hazelslip/internal/peer/engine"
	"hazelslip/internal/policy/repair"
)

// orderBatch sends the orders of one plan of one domain.
type orderBatch struct {
	controller  *Controller
	domain      string
	authorized  func() bool
	highestSeen uint64
}

// nextNumber returns the next fencing number of the batch.
func (batch *orderBatch) nextNumber() uint64 {
	return batch.controller.nextNumber(batch.highestSeen)
}

// run executes one action and reports whether all its orders were accepted.
func (batch *orderBatch) run(ctx context.Context, action repair.Action, snapshot *Snapshot) bool {
	if action.Kind == repair.Retire {
		return batch.retire(ctx, action, snapshot)
	}
	return batch.form(ctx, action)
}

// form orders all members to join a new group. Orders are not atomic: if one member does not accept its order, the
// others are released again. The group never served in that case, because a group serves only when all its members
// report it.
func (batch *orderBatch) form(ctx context.Context, action repair.Action) bool {
	number := batch.nextNumber()
	order := engine.Order{Number: number, Model: action.Model, Members: action.Servers}
	if err := batch.sendToAll(ctx, action.Servers, order); err != nil {
		batch.controller.refused.Add(1)
		batch.controller.Logger.Info("replica: forming a group failed; its members are released.", "FabricDomain", batch.domain, "Group", number, "Cause", err.Error())
		if releaseErr := batch.sendToAll(ctx, action.Servers, engine.Order{Number: number, Release: number}); releaseErr != nil {
			// The node that later finds the partly formed group takes it apart.
			batch.controller.failed.Add(1)
		}
		return false
	}
	batch.controller.formed.Add(1)
	batch.controller.observed.recordFormed(number)
	batch.controller.Record(Event{
		Number: number, FabricDomain: batch.domain, Model: action.Model, Members: action.Servers,
		Kind: "Formed", Cause: action.Cause,
	})
	return true
}

func (batch *orderBatch) retire(ctx context.Context, action repair.Action, snapshot *Snapshot) bool {
	group, ok := snapshot.Find(action.Number)
	if !ok {
		return true
	}
	number := batch.nextNumber()
	reachable := slices.DeleteFunc(slices.Clone(group.Members), func(address string) bool {
		return slices.ContainsFunc(group.Missing, func(missing Missing) bool { return missing.Address == address && missing.UnresponsiveFor > 0 })
	})
	if err := batch.sendToAll(ctx, reachable, engine.Order{Number: number, Release: group.Number}); err != nil {
		batch.controller.failed.Add(1)
		return false
	}
	batch.controller.retired.Add(1)
	batch.controller.Record(Event{
		Number: group.Number, FabricDomain: batch.domain, Model: group.Model, Members: group.Members,
		Kind: "Retired", Cause: action.Cause,
	})
	return true
}

// sendToAll sends an order to all servers at once and returns the first error.
func (batch *orderBatch) sendToAll(ctx context.Context, servers []string, order engine.Order) error {
	orders := pool.New().WithErrors().WithFirstError()
	for _, address := range servers {
		orders.Go(func() error { return batch.send(ctx, address, order) })
	}
	return orders.Wait()
}

func (batch *orderBatch) send(ctx context.Context, address string, order engine.Order) error {
	if !batch.authorized() {
		return errors.New("send order: the authorization to send orders in the domain has expired")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := batch.controller.SendOrder(ctx, address, order)
	if err != nil {
		return err
	}
	if !reply.Accepted {
		return errors.Newf("server %s refused the order: %s", address, reply.Cause)
	}
	return nil
}
