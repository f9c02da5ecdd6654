package node

import (
	"fmt"
	"strconv"
	"time"

	"hazelslip/internal/common/metering"
	"hazelslip/internal/fleet/fabric"
	"hazelslip/internal/fleet/member"
	"hazelslip/internal/fleet/replica"
	"hazelslip/internal/peer/operator"
	"hazelslip/internal/policy/admission"
	"hazelslip/internal/policy/route"
	"hazelslip/internal/serve/draft"
	"hazelslip/internal/state/booking"
	"hazelslip/internal/state/class"
	"hazelslip/internal/state/lease"
	"hazelslip/internal/state/stream"
	"hazelslip/internal/wire/record"
)

// State is the state dump of a node.
type State struct {
	Name        string
	Region      string
	DataCentre  string
	Incarnation uint64
	Ready       string
	Members     member.State
	Streams     []stream.State
	Classes     class.State
	Leases      lease.State
	Bookings    booking.State
	Watcher     fabric.WatcherState
	Former      replica.ControllerState
	Tally       replica.AvailabilityState
	Groups      []operator.GroupInfo
	Routes      []route.GroupState
	Admission   []admission.ClassState
	Drafts      draft.State
	Traffic     TrafficState
	// ListReads counts the queries that this node sent to the instance list, ListFailed those that failed.
	ListReads  uint64
	ListFailed uint64
}

// TrafficState holds counts of control messages, and counts of connections and bytes for each kind of peer. Drafts
// counts the data path; all other counts are control traffic.
type TrafficState struct {
	PeerAsked      uint64
	PeerAnswered   uint64
	PeerFailures   uint64
	PeerBadFrames  uint64
	EngineRequests uint64
	EngineFailures uint64
	Peers          metering.State
	Engines        metering.State
	Platform       metering.State
	Drafts         metering.State
}

// State returns the state dump of the node.
func (node *Node) State() State {
	state := State{
		Name: node.settings.Name, Region: node.settings.Region, DataCentre: node.settings.DataCentre,
		Incarnation: node.Incarnation, Ready: "ready", Members: node.members.State(),
		Classes: node.classes.State(), Leases: node.leases.State(), Bookings: node.bookings.State(),
		Watcher: node.watcher.State(), Former: node.groupController.State(), Tally: node.availability.State(),
		Groups: node.groupInfos(), Routes: node.router.State(), Admission: node.admissionGate.State(),
		Drafts: node.drafts.State(), Traffic: node.trafficState(), ListReads: node.listReader.reads.Load(), ListFailed: node.listReader.failures.Load(),
	}
	if err := node.Ready(); err != nil {
		state.Ready = err.Error()
	}
	for _, follower := range node.streams {
		state.Streams = append(state.Streams, follower.State())
	}
	return state
}

func (node *Node) trafficState() TrafficState {
	return TrafficState{
		PeerAsked: node.peers.Counters.Requests.Load(), PeerFailures: node.peers.Counters.Failures.Load(),
		PeerAnswered: node.peerServer.Counters.Requests.Load(), PeerBadFrames: node.peerServer.Counters.BadFrames.Load(),
		EngineRequests: node.engines.Counters.Requests.Load(), EngineFailures: node.engines.Counters.Failures.Load(),
		Peers: node.meters.peers.State(), Engines: node.meters.engines.State(),
		Platform: node.meters.platform.State(), Drafts: node.meters.drafts.State(),
	}
}

// metrics returns the variables that the node exports at /debug/vars.
func (node *Node) metrics() map[string]any {
	state := node.State()
	return map[string]any{
		"Node": state.Name, "Ready": state.Ready == "ready", "Streams": state.Streams, "Classes": state.Classes,
		"Bookings": state.Bookings, "Watcher": state.Watcher, "Tally": state.Tally,
		"Admission": state.Admission, "Drafts": state.Drafts, "Traffic": state.Traffic,
		"LivePeers": len(state.Members.Live), "Groups": len(state.Groups),
		"GroupsFormed": state.Former.Formed, "GroupsRetired": state.Former.Retired,
	}
}

func (node *Node) groupInfos() []operator.GroupInfo {
	infos := []operator.GroupInfo{}
	for _, group := range node.groups.Load().Groups {
		info := operator.GroupInfo{
			Number: group.Number, FabricDomain: group.FabricDomain, Model: group.Model, Members: group.Members,
			Serving: group.Serving, Draining: group.Draining, Running: group.Running, Cause: group.Cause,
		}
		info.WaitsFor = node.groupController.WaitCause(group.FabricDomain, group.Number)
		infos = append(infos, info)
	}
	return infos
}

// explain returns the recorded history of a request that this node received, or of a group.
func (node *Node) explain(subject string) (operator.Explanation, bool) {
	if entry, ok := node.journal.Find(subject); ok {
		return operator.Explain(entry), true
	}
	number, err := strconv.ParseUint(subject, 10, 64)
	if err != nil {
		return operator.Explanation{}, false
	}
	return node.explainGroup(number)
}

func (node *Node) explainGroup(number uint64) (operator.Explanation, bool) {
	explanation := operator.Explanation{Subject: fmt.Sprintf("group %d", number)}
	for _, event := range node.leases.Events() {
		if event.Number == number {
			explanation.Lines = append(explanation.Lines, fmt.Sprintf("%s %s of %s in %s with %v by node %d: %s",
				time.UnixMilli(event.UnixMs).UTC().Format(time.RFC3339), event.Event, event.Model, event.FabricDomain,
				event.Members, event.Node, event.Cause))
		}
	}
	if group, ok := node.groups.Load().Find(number); ok {
		status := "serving now"
		if !group.Serving {
			status = "not serving: " + group.Cause
		}
		explanation.Lines = append(explanation.Lines, status)
		if waiting := node.groupController.WaitCause(group.FabricDomain, number); waiting != "" {
			explanation.Lines = append(explanation.Lines, "waiting: "+waiting)
		}
	}
	return explanation, len(explanation.Lines) > 0
}

func (node *Node) bookingInfo(service, key string) (operator.BookingInfo, bool) {
	entry, ok := node.bookingTable.Lookup(service + "/" + key)
	if !ok {
		return operator.BookingInfo{}, false
	}
	info := operator.BookingInfo{
		Key: key, Holder: entry.Intent.Incarnation, Attempt: entry.Intent.Attempt,
		ClaimedAt: time.UnixMilli(entry.Intent.UnixMs).UTC(), Outcome: "Unknown so far",
	}
	if entry.Outcome != nil {
		result := booking.Replay(entry.Outcome)
		info.Outcome, info.Status = string(result.Outcome), entry.Outcome.Status
		info.ContentType, info.Body = entry.Outcome.ContentType, string(entry.Outcome.Body)
	}
	return info, true
}

// GroupEvents returns the events of the data centre's groups that this node has read from the log, oldest first.
func (node *Node) GroupEvents() []*record.GroupEvent {
	return node.leases.Events()
}

// InForce returns the revision of a class that is in force at this node, or 0 if there is none.
func (node *Node) InForce(class string) uint64 {
	return node.classes.Snapshot().Entries[class].GetRevision()
}

// DisableBookingBatches turns the batching of booking records off or on again. Benchmarks use it to measure the effect
// of batching.
func (node *Node) DisableBookingBatches(disable bool) {
	node.relayBatcher.DisableBatching(disable)
	node.appendBatcher.DisableBatching(disable)
}

// Booking returns the claim and the outcome of an idempotency key of a service, as recorded in this node's region.
func (node *Node) Booking(service, key string) (operator.BookingInfo, bool) {
	return node.bookingInfo(service, key)
}
