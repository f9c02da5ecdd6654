package node

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"hazelslip/internal/fleet/member"
	"hazelslip/internal/fleet/replica"
	"hazelslip/internal/policy/repair"
	"hazelslip/internal/policy/route"
	"hazelslip/internal/wire/record"
)

const (
	// viewEvery is how often groups are judged anew even if no report came, so
	// that a silent member stops its group on time.
	viewEvery     = 250 * time.Millisecond
	recordTimeout = 5 * time.Second
)

// startView keeps the groups and the router's table up to date.
func (node *Node) startView() {
	node.GoAs("view", func() {
		ticker := time.NewTicker(viewEvery)
		defer ticker.Stop()
		for {
			select {
			case <-node.Stopping:
				return
			case <-ticker.C:
			case <-node.facts.Changed():
			}
			node.updateView()
		}
	})
}

func (node *Node) updateView() {
	now := node.now()
	node.members.Refresh()
	snapshot := replica.Assemble(node.facts.Snapshot(), now)
	node.groups.Store(snapshot)
	node.tally.Add(snapshot, now)
	for _, violation := range snapshot.Violations {
		node.logger.Error("replica: a promise was broken.", "Violation", violation)
	}
	node.router.Update(node.targets(snapshot, now), len(node.members.Live()))
}

// targets lists the groups that may take new work: those of this data centre,
// and those that other data centres say they have.
func (node *Node) targets(snapshot *replica.Snapshot, now time.Duration) []route.Target {
	targets := []route.Target{}
	sent := node.exchange.sentByPeers(now)
	for _, group := range snapshot.AcceptingGroups(node.draining(now)) {
		targets = append(targets, route.Target{
			Number: group.Number, Model: group.Model, Leader: group.Leader, DataCentre: node.settings.DataCentre,
			Running: group.Running, QueuedTokens: group.QueuedTokens, TokensPerSecond: group.TokensPerSecond,
			PrefillPerSecond: group.PrefillPerSecond, Concurrency: group.Concurrency, ReadAt: group.ReadAt,
			PeerTokens: sent[group.Number].tokens, PeerRunning: sent[group.Number].running,
		})
	}
	return append(targets, node.exchange.remoteTargets(now)...)
}

// draining lists the groups that this node or a peer is about to retire.
func (node *Node) draining(now time.Duration) []uint64 {
	return append(node.former.Draining(), node.exchange.drainingAtPeers(now)...)
}

// models returns the models that classes in force ask for, with their worth.
func (node *Node) models() []repair.Model {
	snapshot := node.classes.Snapshot()
	worth := map[string]float64{}
	for _, name := range snapshot.Names() {
		target, _ := snapshot.Target(name)
		worth[target.Model] += node.settings.Prices.GroupDowntime * (target.GuaranteedShare + baseWorth)
	}
	models := []repair.Model{}
	for _, model := range node.settings.Models {
		if worth[model.Name] > 0 {
			models = append(models, repair.Model{
				Name: model.Name, Size: model.GroupSize, DowntimePrice: worth[model.Name], Wanted: model.GroupsWanted,
			})
		}
	}
	return models
}

// baseWorth is what a class without a guaranteed share counts for.
const baseWorth = 0.1

// storeCrowded asks the weight store; without its word nothing is held back.
func (node *Node) storeCrowded(ctx context.Context) bool {
	status, err := node.weights.Status(ctx)
	return err == nil && status.Slots > 0 && status.Loading >= status.Slots
}

// mayForm keeps a node that is leaving from beginning new orders, and one that
// has just started: until it has heard its peers every duty looks like its own,
// and it would plan against the node whose duty the domain is.
func (node *Node) mayForm(duty string) bool {
	settledIn := node.now()-node.startedAt >= member.LiveTTL
	return settledIn && !node.stopping.Load() && node.members.OwnsDuty(duty)
}

// right tells whether this node may give orders in a domain. Engines that
// check fencing numbers judge for themselves; for the others a lease on the
// log is needed, asked again before each order.
func (node *Node) right(ctx context.Context, domain string) (func() bool, error) {
	if !node.unchecked(domain) {
		return func() bool { return true }, nil
	}
	if err := node.leaseHold.Acquire(ctx, domain); err != nil {
		return nil, err
	}
	return func() bool { return node.leaseHold.Holds(domain) }, nil
}

func (node *Node) unchecked(domain string) bool {
	return slices.Contains(node.settings.Engines.UncheckedDomains, domain) ||
		slices.Contains(node.settings.Engines.UncheckedDomains, "*")
}

// recordGroup writes what was done to a group to the log, for explanation
// only: nothing waits for it and nothing depends on it.
func (node *Node) recordGroup(event replica.Event) {
	body, err := proto.Marshal(&record.GroupRecord{Kind: &record.GroupRecord_Event{Event: &record.GroupEvent{
		Number: event.Number, FabricDomain: event.FabricDomain, Model: event.Model, Members: event.Members,
		Event: event.Kind, Cause: event.Cause, Node: node.Incarnation, UnixMs: time.Now().UnixMilli(),
	}}})
	if err != nil {
		return
	}
	node.logger.Info("replica: a group was "+lowerKind(event.Kind)+".", "Group", event.Number, "FabricDomain", event.FabricDomain, "Cause", event.Cause)
	node.Go(func() {
		ctx, cancel := node.Context(recordTimeout)
		defer cancel()
		if _, err := node.streams[groupStream].Append(ctx, body); err != nil {
			node.logger.Warn("replica: a group event was not recorded.", "Group", event.Number, "Error", err.Error())
		}
	})
}

func lowerKind(kind string) string {
	if kind == "Formed" {
		return "formed"
	}
	return "retired"
}
