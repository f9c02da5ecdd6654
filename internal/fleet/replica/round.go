package replica

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"hazelslip/internal/peer/engine"
	"hazelslip/internal/policy/repair"
)

// round is the orders of one plan of one domain.
type round struct {
	former  *Former
	domain  string
	may     func() bool
	highest uint64
}

// number returns the next fencing number of the round.
func (round *round) number() uint64 {
	return round.former.raise(round.highest)
}

func (round *round) run(ctx context.Context, action repair.Action, snapshot *Snapshot) bool {
	if action.Kind == repair.Retire {
		return round.retire(ctx, action, snapshot)
	}
	return round.form(ctx, action)
}

// form orders every member into a new group. Orders are not atomic: where one
// member did not take its order, the others are released again, and nothing
// ever served, since a group serves only when all its members report it.
func (round *round) form(ctx context.Context, action repair.Action) bool {
	number := round.number()
	order := engine.Order{Number: number, Model: action.Model, Members: action.Servers}
	if failed := round.give(ctx, action.Servers, order); failed != nil {
		round.former.refused.Add(1)
		round.former.Logger.Info("replica: a group could not be formed.", "FabricDomain", round.domain, "Group", number, "Cause", failed.Error())
		if left := round.give(ctx, action.Servers, engine.Order{Number: number, Release: number}); left != nil {
			// Whoever finds the half-formed group later takes it apart.
			round.former.failed.Add(1)
		}
		return false
	}
	round.former.formed.Add(1)
	round.former.experience.began(number)
	round.former.Record(Event{
		Number: number, FabricDomain: round.domain, Model: action.Model, Members: action.Servers,
		Kind: "Formed", Cause: action.Cause,
	})
	return true
}

func (round *round) retire(ctx context.Context, action repair.Action, snapshot *Snapshot) bool {
	group, ok := snapshot.Find(action.Number)
	if !ok {
		return true
	}
	number := round.number()
	reachable := slices.DeleteFunc(slices.Clone(group.Members), func(address string) bool {
		return slices.ContainsFunc(group.Missing, func(missing Missing) bool { return missing.Address == address && missing.Silent > 0 })
	})
	if failed := round.give(ctx, reachable, engine.Order{Number: number, Release: group.Number}); failed != nil {
		round.former.failed.Add(1)
		return false
	}
	round.former.retired.Add(1)
	round.former.Record(Event{
		Number: group.Number, FabricDomain: round.domain, Model: group.Model, Members: group.Members,
		Kind: "Retired", Cause: action.Cause,
	})
	return true
}

// give sends one order to every server and returns the first failure.
func (round *round) give(ctx context.Context, servers []string, order engine.Order) error {
	orders := pool.New().WithErrors().WithFirstError()
	for _, address := range servers {
		orders.Go(func() error { return round.giveOne(ctx, address, order) })
	}
	return orders.Wait()
}

func (round *round) giveOne(ctx context.Context, address string, order engine.Order) error {
	if !round.may() {
		return errors.New("the right to give orders has ended")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := round.former.Order(ctx, address, order)
	if err != nil {
		return err
	}
	if !reply.Accepted {
		return errors.Newf("%s refused: %s", address, reply.Cause)
	}
	return nil
}
