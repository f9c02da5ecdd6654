package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/fleet/drain"
	"hazelslip/internal/fleet/follower"
	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/peer/store"
	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/state/storelog"
)

// storeTimeout bounds a call to the store that nothing waits for.
const storeTimeout = 700 * time.Millisecond

func (node *Node) followerParts() follower.Parts {
	return follower.Parts{
		Store: node.platform.Store, Calls: node.storeCalls, Configuration: node.configuration, Drains: node.drained, Servers: node.servers,
		Standing: func() follower.Standing { return node.peers.standing() }, FirstStart: node.settings.FirstStart, Pace: node.pace,
		InForce: node.inForce, ListChanged: node.changed, HeardServer: node.heardServer,
		DrainsChanged: func(changes []drain.Record) { node.drainsChanged(changes, "store") },
		CameBack:      node.storeCameBack, Now: node.now, Logger: node.logger,
	}
}

// heardServer takes what an entry of the registry says.
func (node *Node) heardServer(server *roster.Server) {
	node.keeper.Heard(formation.TermOf(server.Group.Epoch))
	node.cold.Heard(ratelimit.Run{Server: server.ID, Born: server.Born}, server.Cold)
}

// inForce is told of a new configuration.
func (node *Node) inForce(version int64, body []byte) {
	node.rawVersion.Store(&rawConfiguration{version: version, body: body})
	node.changed()
	node.peers.tellVersion()
}

// storeCameBack is told that the store lacks what this node wrote lately.
func (node *Node) storeCameBack() {
	node.suspectsGone.Store(true)
	node.peers.overlay.Forgotten()
}

// callStore makes one call to the store that is to be answered at once.
func (node *Node) callStore(call *store.Call, timeout time.Duration, ask func(ctx context.Context) error) error {
	ctx, cancel := node.Context(timeout)
	defer cancel()
	err := ask(ctx)
	call.Finish(err)
	return err
}

// storeHung is told of a call that failed though others that began later were answered.
func (node *Node) storeHung(hanging store.Hanging, err error) {
	node.logger.Warn("gateway: a call to the store hung while others were answered.", "Call", hanging.Call,
		"Milliseconds", hanging.Milliseconds, "Error", err.Error())
}

// storeLost is told of the first call that the store doesn't answer.
func (node *Node) storeLost(call string, err error) {
	node.logger.Warn("gateway: the store doesn't answer.", "Call", call, "Error", err.Error())
}

// storeReturned is told of the first answer after that.
func (node *Node) storeReturned(outage store.Outage) {
	node.logger.Info("gateway: the store answers again.", "Call", outage.AnsweredCall, "AwayMilliseconds", outage.Duration.Milliseconds(),
		"Failures", outage.Failures, "Hanging", outage.Hanging, "ConfigurationAgeMilliseconds", node.follower.ConfigurationAge().Milliseconds())
	node.peers.overlay.Reachable()
}

// errStoreAway says that the store wasn't asked, because it doesn't answer.
var errStoreAway = errors.New("the store doesn't answer")

// awayAfter is how many calls in a row must fail before the store isn't asked
// for a term any more: waiting for it would leave the fleet without orders.
const awayAfter = 2

// claim gets this node a place in the store's order of terms.
func (node *Node) claim() (storelog.Position, error) {
	if node.storeCalls.FailuresInRow() >= awayAfter {
		return storelog.Nowhere, errStoreAway
	}
	place := storelog.Nowhere
	err := node.callStore(node.storeCalls.StartWrite("claim"), storeTimeout, func(ctx context.Context) (err error) {
		if place, err = node.platform.Store.Claim(ctx, node.settings.Name); err != nil {
			return err
		}
		return node.follower.HeardEra(place.Era)
	})
	return place, err
}
