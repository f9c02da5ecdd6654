package backends

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/roster"
)

// Order executes an order on a server. Depending on the server's Faults, the reply is lost or the execution is delayed;
// both return ErrNoResponse.
func (cluster *Cluster) Order(caller, id string, order formation.Order) (formation.Result, error) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	found, err := cluster.reachableServer(caller, id)
	if err != nil {
		return formation.Invalid, err
	}
	if cluster.random.Float64() < found.faults.Delayed {
		time.AfterFunc(found.faults.Delay, func() { cluster.executeDelayed(id, order) })
		return formation.Invalid, errors.Wrapf(ErrNoResponse, "order to %s", id)
	}
	result := cluster.executeOrder(found, order)
	if cluster.random.Float64() < found.faults.LostReplies {
		return formation.Invalid, errors.Wrapf(ErrNoResponse, "order to %s", id)
	}
	return result, nil
}

func (cluster *Cluster) executeDelayed(id string, order formation.Order) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	found := cluster.servers[id]
	if found == nil || found.dead {
		return
	}
	if remaining := found.pausedUntil - cluster.now(); remaining > 0 {
		time.AfterFunc(remaining, func() { cluster.executeDelayed(id, order) })
		return
	}
	cluster.advance(found)
	cluster.executeOrder(found, order)
}

func (cluster *Cluster) executeOrder(found *server, order formation.Order) formation.Result {
	if order.Term < found.term {
		return formation.Outdated
	}
	found.term = order.Term
	if order.Expected >= 0 && order.Expected != found.orders {
		return formation.Conflict
	}
	cluster.saveReport(found)
	switch order.Kind {
	case formation.Join:
		return cluster.join(found, order)
	case formation.Stage:
		return cluster.stage(found, order.Model)
	}
	group := &found.group
	if group.name != order.Group || group.epoch != order.Epoch {
		return formation.Conflict
	}
	return cluster.change(found, order.Kind)
}

// stage starts to load a model onto a host. A second load on the same host conflicts with the first.
func (cluster *Cluster) stage(found *server, name string) formation.Result {
	model, ok := cluster.engine.Model(name)
	switch {
	case !ok:
		return formation.Invalid
	case found.loading != "":
		return formation.Conflict
	}
	found.orders++
	cluster.loadStarts = append(cluster.loadStarts, cluster.now())
	found.loading, found.loadedAt = name, cluster.now()+model.LoadTime
	return formation.Begun
}

// change executes a Leave, Open or Close order for the server's current group.
func (cluster *Cluster) change(found *server, kind formation.OrderKind) formation.Result {
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
		group.state, group.openAt = roster.Open, cluster.now()
		cluster.checkAllReady(group)
	case formation.Close:
		if group.state == roster.Ready {
			return formation.Done
		}
		group.state = roster.Ready
		if found.calls[group.name] > 0 {
			group.state = roster.Closing
		}
	default:
		return formation.Invalid
	}
	found.orders++
	return formation.Begun
}

// checkAllReady records a violation if the head opens before every member was ready.
func (cluster *Cluster) checkAllReady(group *membership) {
	model, _ := cluster.engine.Model(group.model)
	if len(group.members) != model.Size || len(cluster.readyMembers[readyKey(group)]) != model.Size {
		cluster.violations = append(cluster.violations, "a head was opened before all members of its group were ready: "+readyKey(group))
	}
}

func (cluster *Cluster) join(found *server, order formation.Order) formation.Result {
	group := &found.group
	if order.Epoch < found.epoch {
		return formation.Outdated
	}
	if group.name == order.Group && group.epoch == order.Epoch {
		return formation.Done
	}
	cluster.checkNotServing(found, order)
	cluster.checkEpoch(order)
	rank := 0
	for index, id := range order.Members {
		if id == found.id {
			rank = index
		}
	}
	found.epoch = order.Epoch
	found.orders++
	takes, loads := cluster.joinTime(found, order.Model)
	found.group = membership{
		name: order.Group, epoch: order.Epoch, model: order.Model, members: order.Members, rank: rank,
		state: roster.Joining, readyAt: cluster.now() + takes, loads: loads,
	}
	return formation.Begun
}

// checkEpoch records a violation if two groups were formed with one epoch, which means that two nodes gave orders in
// the same term.
func (cluster *Cluster) checkEpoch(order formation.Order) {
	name, known := cluster.groupsByEpoch[order.Epoch]
	if known && name != order.Group {
		cluster.violations = append(cluster.violations, fmt.Sprintf("epoch %d is used by group %s and by group %s", order.Epoch, name, order.Group))
	}
	cluster.groupsByEpoch[order.Epoch] = order.Group
}

// joinTime returns how long the server takes to become ready for a model, and whether the server must load the model
// first. The model that the server ran last starts fastest, whichever models are staged on the host.
func (cluster *Cluster) joinTime(found *server, name string) (takes time.Duration, loads bool) {
	model, _ := cluster.engine.Model(name)
	switch {
	case found.lastModel == name:
		return lastModelTime, false
	case len(found.staged) > 0 && found.staged[0] == name:
		return model.WarmupTime, false
	case found.loading == name:
		return found.loadedAt - cluster.now() + model.WarmupTime, false
	}
	cluster.loadStarts = append(cluster.loadStarts, cluster.now())
	cluster.joinLoads++
	return model.LoadTime, true
}

// lastModelTime is the time that a server takes to start the model that it ran last.
const lastModelTime = 200 * time.Millisecond

// checkNotServing records a violation if a member other than the head joins another group while the head of its group
// is open or closing, because that group may still serve calls.
func (cluster *Cluster) checkNotServing(found *server, order formation.Order) {
	if found.group.name == "" || found.group.rank == 0 {
		return
	}
	head, ok := cluster.servers[found.group.members[0]]
	if !ok || head.dead || head.group.name != found.group.name || head.group.epoch != found.group.epoch {
		return
	}
	cluster.advance(head)
	if head.group.state == roster.Open || head.group.state == roster.Closing {
		cluster.violations = append(cluster.violations, fmt.Sprintf("server %s joined group %s while its group %s with head %s was open",
			found.id, order.Group, found.group.name, head.id))
	}
}
