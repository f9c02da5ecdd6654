package backends

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/roster"
)

// Order takes an order, or loses its answer, or carries it out late.
func (world *World) Order(caller, id string, order formation.Order) (formation.Result, error) {
	world.mu.Lock()
	defer world.mu.Unlock()
	found, err := world.reach(caller, id)
	if err != nil {
		return formation.Invalid, err
	}
	if world.draw.Float64() < found.faults.Late {
		time.AfterFunc(found.faults.LateBy, func() { world.carryOut(id, order) })
		return formation.Invalid, errors.Wrapf(ErrSilent, "order to %s", id)
	}
	result := world.take(found, order)
	if world.draw.Float64() < found.faults.LostAnswers {
		return formation.Invalid, errors.Wrapf(ErrSilent, "order to %s", id)
	}
	return result, nil
}

func (world *World) carryOut(id string, order formation.Order) {
	world.mu.Lock()
	defer world.mu.Unlock()
	found := world.servers[id]
	if found == nil || found.dead {
		return
	}
	world.settle(found)
	world.take(found, order)
}

func (world *World) take(found *server, order formation.Order) formation.Result {
	if order.Term < found.term {
		return formation.Outdated
	}
	found.term = order.Term
	if order.Expected >= 0 && order.Expected != found.orders {
		return formation.Conflict
	}
	world.turn(found)
	switch order.Kind {
	case formation.Join:
		return world.join(found, order)
	case formation.Stage:
		return world.stage(found, order.Model)
	}
	group := &found.group
	if group.name != order.Group || group.epoch != order.Epoch {
		return formation.Conflict
	}
	return world.change(found, order.Kind)
}

// stage loads a model onto a host, one at a time.
func (world *World) stage(found *server, name string) formation.Result {
	model, ok := world.engine.Model(name)
	switch {
	case !ok:
		return formation.Invalid
	case found.loading != "":
		return formation.Conflict
	}
	found.orders++
	world.loads = append(world.loads, world.now())
	found.loading, found.loadedAt = name, world.now()+model.LoadTime
	return formation.Begun
}

// change carries out an order about the group that a server is in.
func (world *World) change(found *server, kind formation.OrderKind) formation.Result {
	group := &found.group
	switch kind {
	case formation.Leave:
		found.group = membership{}
	case formation.Open:
		if group.state == roster.Open {
			return formation.Done
		}
		if group.state != roster.Ready || group.rank != 0 {
			return formation.Conflict
		}
		group.state, group.openAt = roster.Open, world.now()
		world.checkWhole(group)
	case formation.Close:
		if group.state == roster.Ready {
			return formation.Done
		}
		group.state = roster.Ready
	default:
		return formation.Invalid
	}
	found.orders++
	return formation.Begun
}

// checkWhole notes a head that is opened before every member was ready.
func (world *World) checkWhole(group *membership) {
	model, _ := world.engine.Model(group.model)
	if len(group.members) != model.Size || len(world.ready[readyKey(group)]) != model.Size {
		world.violations = append(world.violations, "a head was opened before all its members were ready: "+readyKey(group))
	}
}

func (world *World) join(found *server, order formation.Order) formation.Result {
	group := &found.group
	if order.Epoch < found.epoch {
		return formation.Outdated
	}
	if group.name == order.Group && group.epoch == order.Epoch {
		return formation.Done
	}
	world.checkFree(found, order)
	world.checkEpoch(order)
	rank := 0
	for number, id := range order.Members {
		if id == found.id {
			rank = number
		}
	}
	found.epoch = order.Epoch
	found.orders++
	takes, loads := world.joinTime(found, order.Model)
	found.group = membership{
		name: order.Group, epoch: order.Epoch, model: order.Model, members: order.Members, rank: rank,
		state: roster.Joining, readyAt: world.now() + takes, loads: loads,
	}
	return formation.Begun
}

// checkEpoch notes an epoch under which two groups were formed: two nodes gave orders
// under one term.
func (world *World) checkEpoch(order formation.Order) {
	name, known := world.epochs[order.Epoch]
	if known && name != order.Group {
		world.violations = append(world.violations, fmt.Sprintf("epoch %d is that of %s and of %s", order.Epoch, name, order.Group))
	}
	world.epochs[order.Epoch] = order.Group
}

// joinTime is how long a server takes to be ready for a model, and whether it must
// load it: it starts the one that it ran last fastest, whatever lies on its host.
func (world *World) joinTime(found *server, name string) (takes time.Duration, loads bool) {
	model, _ := world.engine.Model(name)
	switch {
	case found.lastModel == name:
		return lastModelTime, false
	case len(found.staged) > 0 && found.staged[0] == name:
		return model.WarmupTime, false
	case found.loading == name:
		return found.loadedAt - world.now() + model.WarmupTime, false
	}
	world.loads = append(world.loads, world.now())
	world.joinLoads++
	return model.LoadTime, true
}

// lastModelTime is what a server takes to start the model that it ran last.
const lastModelTime = 200 * time.Millisecond

// checkFree notes a server that is taken out of a group that may serve.
func (world *World) checkFree(found *server, order formation.Order) {
	if found.group.name == "" || found.group.rank == 0 {
		return
	}
	head, ok := world.servers[found.group.members[0]]
	if !ok || head.dead || head.group.name != found.group.name || head.group.epoch != found.group.epoch {
		return
	}
	world.settle(head)
	if head.group.state == roster.Open || head.group.state == roster.Closing {
		world.violations = append(world.violations, fmt.Sprintf("server %s was joined to %s while %s of %s was open",
			found.id, order.Group, found.group.name, head.id))
	}
}
