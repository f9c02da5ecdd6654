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

// storeTimeout bounds a call to the store that no request waits for.
const storeTimeout = 700 * time.Millisecond

func (node *Node) followerDependencies() follower.Dependencies {
	return follower.Dependencies{
		Store: node.platform.Store, Calls: node.storeCalls, Configuration: node.configuration, Drains: node.drains, Servers: node.servers,
		ReadPolicy: func() follower.ReadPolicy { return node.peers.readPolicy() }, FirstStart: node.settings.FirstStart, TickInterval: node.leafAwareInterval,
		ConfigurationApplied: node.configurationApplied, ServersChanged: node.requestTargetUpdate, ServerSeen: node.handleServerEntry,
		DrainsChanged: func(changes []drain.Record) { node.drainsChanged(changes, "store") },
		StoreRestored: node.storeRestored, Now: node.now, Logger: node.logger,
	}
}

// handleServerEntry applies what a server's registry entry states: the term of its group, and how long the
// server stays cold.
func (node *Node) handleServerEntry(server *roster.Server) {
	node.elector.Observe(formation.TermOf(server.Group.Epoch))
	node.warmups.Update(ratelimit.Run{Server: server.ID, Born: server.Born}, server.Cold)
}

// configurationApplied is called when a new configuration is in force.
func (node *Node) configurationApplied(version int64, body []byte) {
	node.rawConfiguration.Store(&rawConfiguration{version: version, body: body})
	node.requestTargetUpdate()
	node.peers.broadcastVersion()
}

// storeRestored is called when the store was restored from an older backup and lacks what this node wrote
// recently.
func (node *Node) storeRestored() {
	node.storedSuspectsLost.Store(true)
	node.peers.overlay.RegistrationLost()
}

// callStore makes a single call to the store with a timeout, and records its result.
func (node *Node) callStore(call *store.Call, timeout time.Duration, request func(ctx context.Context) error) error {
	ctx, cancel := node.ContextWithTimeout(timeout)
	defer cancel()
	err := request(ctx)
	call.Finish(err)
	return err
}

// logHungStoreCall logs a call that failed although calls begun later were answered.
func (node *Node) logHungStoreCall(hanging store.Hanging, err error) {
	node.logger.Warn("gateway: a store call hung while others were answered.", "Call", hanging.Call,
		"Milliseconds", hanging.Milliseconds, "Error", err.Error())
}

// storeBecameUnavailable is called for the first call that the store fails to answer.
func (node *Node) storeBecameUnavailable(call string, err error) {
	node.logger.Warn("gateway: the store is unavailable.", "Call", call, "Error", err.Error())
}

// storeRecovered is called when the store responds again.
func (node *Node) storeRecovered(outage store.Outage) {
	node.logger.Info("gateway: the store is available again.", "Call", outage.AnsweredCall, "AwayMilliseconds", outage.Duration.Milliseconds(),
		"Failures", outage.Failures, "Hanging", outage.Hanging, "ConfigurationAgeMilliseconds", node.follower.ConfigurationAge().Milliseconds())
	node.peers.overlay.StoreReachable()
}

// errStoreUnavailable is returned for a call that is not made because the store doesn't respond.
var errStoreUnavailable = errors.New("claim a term: the store is unavailable")

// maxClaimFailures is how many consecutive store calls may fail before a term is no longer claimed from the
// store: waiting for it would leave the fleet without a leader.
const maxClaimFailures = 2

// claimTerm appends a claim to the store and returns its position, from which the term is derived.
func (node *Node) claimTerm() (storelog.Position, error) {
	if node.storeCalls.FailuresInRow() >= maxClaimFailures {
		return storelog.Unknown, errStoreUnavailable
	}
	position := storelog.Unknown
	err := node.callStore(node.storeCalls.StartWrite("claim"), storeTimeout, func(ctx context.Context) (err error) {
		if position, err = node.platform.Store.Claim(ctx, node.settings.Name); err != nil {
			return err
		}
		return node.follower.ObserveEra(position.Era)
	})
	return position, err
}
