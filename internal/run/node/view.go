package node

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/member"
	"hazelslip/internal/fleet/replica"
	"hazelslip/internal/policy/repair"
	"hazelslip/internal/policy/route"
	"hazelslip/internal/wire/record"
)

const (
	// viewInterval is the interval at which the groups are assembled again even if no report has arrived, so that a
	// group with an unresponsive member stops serving in time.
	viewInterval  = 250 * time.Millisecond
	recordTimeout = 5 * time.Second
)

// startView starts the goroutine that updates the groups and the router's targets, after each change of the reports and
// at least once per viewInterval.
func (node *Node) startView() {
	node.GoNamed("view", func() {
		ticker := time.NewTicker(viewInterval)
		defer ticker.Stop()
		pauses := clock.NewPauseDetector(node.now)
		for {
			pauses.Schedule(viewInterval)
			select {
			case <-node.Stopping:
				return
			case <-ticker.C:
			case <-node.serverStatuses.Changed():
			}
			if pause := pauses.Observe(); pause > 0 {
				node.recordPause(pause)
			}
			node.updateView()
		}
	})
}

// recordPause discounts a pause of this process from the silence of servers and peers. A process that was stopped, or
// got no processor time, has asked nobody meanwhile.
func (node *Node) recordPause(pause time.Duration) {
	node.logger.Warn("node: this node did not run for a while.", "Milliseconds", pause.Milliseconds())
	node.serverStatuses.RecordPause(pause)
	node.members.RecordPause(pause)
}

func (node *Node) updateView() {
	now := node.now()
	node.members.Refresh()
	snapshot := replica.Assemble(node.serverStatuses.Snapshot(), now)
	node.groups.Store(snapshot)
	node.availability.Add(snapshot, now)
	for _, violation := range snapshot.Violations {
		node.logger.Error("replica: an invariant was violated.", "Violation", violation)
	}
	node.router.Update(node.routeTargets(snapshot, now), len(node.members.Live()))
}

// routeTargets lists the groups that accept new work: those of this data centre, and those that nodes of other data
// centres have reported.
func (node *Node) routeTargets(snapshot *replica.Snapshot, now time.Duration) []route.Target {
	targets := []route.Target{}
	groupLoads := node.exchanger.peerGroupLoads(now)
	for _, group := range snapshot.AcceptingGroups(node.drainingGroups(now)) {
		targets = append(targets, route.Target{
			Number: group.Number, Model: group.Model, Leader: group.Leader, DataCentre: node.settings.DataCentre,
			Running: group.Running, QueuedTokens: group.QueuedTokens, TokensPerSecond: group.TokensPerSecond,
			PrefillPerSecond: group.PrefillPerSecond, Concurrency: group.Concurrency, ReadAt: group.ReadAt,
			PeerTokens: groupLoads[group.Number].tokens, PeerRunning: groupLoads[group.Number].running,
		})
	}
	return append(targets, node.exchanger.remoteTargets(now)...)
}

// drainingGroups lists the groups that this node or a peer is about to retire.
func (node *Node) drainingGroups(now time.Duration) []uint64 {
	return append(node.groupController.Draining(), node.exchanger.peerDrainingGroups(now)...)
}

// requestedModels returns the models that the classes in force use, each with the price of downtime of its groups.
func (node *Node) requestedModels() []repair.Model {
	snapshot := node.classes.Snapshot()
	prices := map[string]float64{}
	for _, name := range snapshot.Names() {
		target, _ := snapshot.Target(name)
		prices[target.Model] += node.settings.Prices.GroupDowntime * (target.GuaranteedShare + baseShare)
	}
	models := []repair.Model{}
	for _, model := range node.settings.Models {
		if prices[model.Name] > 0 {
			models = append(models, repair.Model{
				Name: model.Name, Size: model.GroupSize, DowntimePrice: prices[model.Name], Wanted: model.GroupsWanted,
			})
		}
	}
	return models
}

// baseShare is added to the guaranteed share of each class, so that a class without a guaranteed share counts as well.
const baseShare = 0.1

// weightStoreBusy returns true if all load slots of the weight store are in use. If the store does not respond, it
// returns false, so that no load is delayed.
func (node *Node) weightStoreBusy(ctx context.Context) bool {
	status, err := node.weightClient.Status(ctx)
	return err == nil && status.Slots > 0 && status.Loading >= status.Slots
}

// mayPlan returns true if this node may plan for the domain of a duty. A node that is shutting down must not start new
// orders, and neither must a node that has just started. Until a new node has heard from its peers, every duty seems to
// be assigned to it, and its orders would conflict with those of the assigned node.
func (node *Node) mayPlan(duty string) bool {
	startupOver := node.now()-node.startedAt >= member.LiveTTL
	return startupOver && !node.stopping.Load() && node.members.OwnsDuty(duty)
}

// acquireOrderRight acquires the right to send orders in a domain, and returns a function that checks the right again
// before each order. Engines that check fencing numbers reject stale orders themselves. For other engines the node
// needs a lease recorded in the log.
func (node *Node) acquireOrderRight(ctx context.Context, domain string) (func() bool, error) {
	if !node.ignoresFencing(domain) {
		return func() bool { return true }, nil
	}
	if err := node.leaseManager.Acquire(ctx, domain); err != nil {
		return nil, err
	}
	return func() bool { return node.leaseManager.Holds(domain) }, nil
}

func (node *Node) ignoresFencing(domain string) bool {
	return slices.Contains(node.settings.Engines.UncheckedDomains, domain) ||
		slices.Contains(node.settings.Engines.UncheckedDomains, "*")
}

// recordGroupEvent appends an event of a group to the log. The record serves only to explain to operators what
// happened: nothing waits for the append and nothing depends on it.
func (node *Node) recordGroupEvent(event replica.Event) {
	body, err := proto.Marshal(&record.GroupRecord{Kind: &record.GroupRecord_Event{Event: &record.GroupEvent{
		Number: event.Number, FabricDomain: event.FabricDomain, Model: event.Model, Members: event.Members,
		Event: event.Kind, Cause: event.Cause, Node: node.Incarnation, UnixMs: time.Now().UnixMilli(),
	}}})
	if err != nil {
		return
	}
	node.logger.Info("replica: a group was "+eventVerb(event.Kind)+".", "Group", event.Number, "FabricDomain", event.FabricDomain, "Cause", event.Cause)
	node.Go(func() {
		ctx, cancel := node.ContextWithTimeout(recordTimeout)
		defer cancel()
		if _, err := node.streams[groupStream].Append(ctx, body); err != nil {
			node.logger.Warn("replica: failed to append a group event to the log.", "Group", event.Number, "Error", err.Error())
		}
	})
}

func eventVerb(kind string) string {
	if kind == "Formed" {
		return "formed"
	}
	return "retired"
}
