package gateway

import (
	"net/http"
	"runtime"

	"github.com/julienschmidt/httprouter"

	"hazelslip/internal/common/jsonhttp"
	"hazelslip/internal/fleet/detour"
	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/peer/store"
	"hazelslip/internal/policy/demand"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/memory"
	"hazelslip/internal/policy/notice"
	"hazelslip/internal/policy/pathhealth"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/serve/forward"
	"hazelslip/internal/serve/inbound"
	"hazelslip/internal/state/storelog"
)

// State is a dump of the node's state.
type State struct {
	Name                 string
	DataCentre           string
	Incarnation          uint64
	Ready                string
	ConfigurationVersion int64
	// StoreEra is how many times the store was restored from an older backup, or -1 before the store has
	// responded.
	StoreEra int64
	// ConfigurationAgeMilliseconds is the time since the store is known to have had no newer configuration,
	// at most one hour. Store is the availability of the store as this node sees it.
	ConfigurationAgeMilliseconds int64
	Store                        store.State
	// ReadsStore is true if this node reads the store on behalf of the fleet.
	ReadsStore          bool
	ListEnd             storelog.Position
	ListAgeMilliseconds int64
	Servers             int
	// Nodes is the number of nodes in the fleet that this node hears of, including itself.
	Nodes   int
	Overlay overlay.State
	// Targets are the servers and group heads that accept calls, by pool.
	Targets map[string][]dispatch.TargetState
	Former  formation.State
	Budgets map[string]retry.WindowState
	// Suspects are the requests during which servers failed and that no server has answered since, as far as
	// this node knows.
	Suspects []quarantine.State
	// Limits are the rate limits that servers state, as far as this node knows.
	Limits []ratelimit.State
	// Notices are the servers that requested a backoff from this node or reported that they are draining.
	Notices []notice.State
	// DrainedDataCentres are the data centres whose servers get no new calls.
	DrainedDataCentres []string
	// Clients are the connections of clients, by address.
	Clients []inbound.State
	// Memory is the memory buffered between callers and servers, by workspace.
	Memory memory.State
	// Demands is the demand of each pool.
	Demands []demand.State
	// Ways are the paths to servers that are not healthy. Detours are the nodes that accept forwarded
	// requests.
	Ways    []pathhealth.State
	Detours []detour.State
}

// State returns a dump of the node's state.
func (node *Node) State() State {
	servers := node.servers.Load()
	state := State{
		Name: node.settings.Name, DataCentre: node.settings.DataCentre, Incarnation: node.Incarnation, Ready: "ready",
		ConfigurationVersion: node.configuration.Load().Configuration.Version, StoreEra: node.follower.Era(),
		ConfigurationAgeMilliseconds: node.follower.ConfigurationAge().Milliseconds(), Store: node.storeCalls.State(), ReadsStore: node.peers.readPolicy().IsReader(), ListEnd: servers.End,
		ListAgeMilliseconds: node.follower.ListAge().Milliseconds(), Servers: len(servers.Servers),
		Targets: node.board.State(), Former: node.groupController.State(),
		Budgets: node.retries.States(), Nodes: node.peers.reachableNodes(), Overlay: node.peers.overlay.State(),
		Suspects: node.quarantine.State(), Limits: node.limits.State(), Notices: node.notices.State(),
		DrainedDataCentres: node.drains.Drained(), Demands: node.demand.State(), Memory: node.memory.State(), Clients: node.inbound.State(),
		Ways: node.detours.paths.State(), Detours: node.detours.table.State(),
	}
	if err := node.Ready(); err != nil {
		state.Ready = err.Error()
	}
	return state
}

// Metrics holds the node's counters and latencies. All counters only grow, except Goroutines and MemoryHeld.
type Metrics struct {
	// Outcomes counts requests by route and outcome.
	Outcomes map[string]map[forward.Outcome]uint64
	// Latencies are in milliseconds.
	Latencies map[string]Quantiles
	Counters  map[string]uint64
	// Ages are in milliseconds, -1 for data that was never read.
	Ages map[string]int64
	// Term is the term under which this node is leader, 0 if it isn't.
	Term    int64
	Budgets map[string]retry.WindowState
	// Serving is the number of servers and group heads that accept calls, by pool.
	Serving map[string]int
	// Clients counts the connections of clients and what was refused, by address.
	Clients map[string]map[string]uint64
	// Limits are the rate limits that servers state. Notices are their backoffs and drains.
	Limits  []ratelimit.State
	Notices []notice.State
	// DrainedDataCentres are the data centres whose servers get no new calls.
	DrainedDataCentres []string
}

// Metrics returns the node's metrics.
func (node *Node) Metrics() Metrics {
	metrics := Metrics{
		Outcomes: node.requestMetrics.outcomesByRoute(), Latencies: node.requestMetrics.latencies(), Counters: node.counters(),
		Ages: map[string]int64{"ServerList": -1, "Configuration": -1}, Term: node.elector.Term(), Budgets: node.retries.States(), Serving: map[string]int{}, Clients: node.inbound.Counters(),
		Limits: node.limits.State(), Notices: node.notices.State(), DrainedDataCentres: node.drains.Drained(),
	}
	metrics.Ages["RetryCounts"] = node.retries.CompleteAge()
	servers := node.servers.Load()
	if servers.Known() {
		metrics.Ages["ServerList"] = node.follower.ListAge().Milliseconds()
	}
	if node.configuration.Load().HasVersion() {
		metrics.Ages["Configuration"] = node.follower.ConfigurationAge().Milliseconds()
	}
	for pool, targets := range node.board.State() {
		metrics.Serving[pool] = len(targets)
	}
	return metrics
}

func (node *Node) counters() map[string]uint64 {
	groups, connections, links := &node.groupController.Counts, &node.pool.Counters, &node.peers.overlay.Counters
	paces := &node.board.PaceCounts
	held, peak, refused := node.memory.Totals()
	return map[string]uint64{
		"Requests": node.forwarder.Counts.Requests.Load(), "Repeats": node.forwarder.Counts.Repeats.Load(),
		"Quarantined": node.forwarder.Counts.Quarantined.Load(), "ServerEnds": node.forwarder.Counts.ServerEnds.Load(),
		"Limited": node.forwarder.Counts.Limited.Load(), "BackedOff": node.forwarder.Counts.BackedOff.Load(), "Shed": node.forwarder.Counts.Shed.Load(), "Unanswered": node.forwarder.Counts.Unanswered.Load(), "LimitsLearnt": node.limits.Counts.Learned.Load(), "LimitsUnreadable": node.limits.Counts.Unreadable.Load(),
		"BackoffsLearnt": node.notices.Counts.Backoffs.Load(), "BackoffsHinted": node.notices.Counts.Hints.Load(), "BackoffsUnreadable": node.notices.Counts.Unreadable.Load(),
		"DrainsLearnt": node.notices.Counts.Drains.Load(), "CallsWithheld": node.notices.Counts.Withheld.Load(),
		"GroupsFoundSlow": paces.FoundSlow.Load(), "GroupsNotSlowAnyMore": paces.Recovered.Load(), "PacesHeard": paces.Received.Load(),
		"GroupsFormed": groups.Formed.Load(), "GroupsAbandoned": groups.Abandoned.Load(), "GroupsLost": groups.Lost.Load(),
		"GroupsRetired": groups.Retired.Load(), "ServersStaged": groups.Staged.Load(), "Orders": groups.Orders.Load(),
		"GroupsLent": groups.RetiredForOther.Load(), "Reports": groups.Reports.Load(), "SilentButWhole": groups.FoundComplete.Load(),
		"ConnectionsDialled": connections.Dialled.Load(), "ConnectionsReused": connections.Reused.Load(),
		"ConnectionsFailed": connections.DialFailed.Load(), "ConnectionsDiscarded": connections.Discarded.Load(),
		"StrayAnswers": connections.StrayResponses.Load(), "StoreReads": node.storeCalls.Counters.Started.Load(), "StoreFailures": node.storeCalls.Counters.Failed.Load(), "StoreHung": node.storeCalls.Counters.Hung.Load(), "StoreOutages": node.storeCalls.Counters.Outages.Load(), "StoreReturns": node.follower.RestoreCount(),
		"LinksAttached": links.LinksAttached.Load(), "LinksFailed": links.LinksFailed.Load(), "LinksEnded": links.LinksEnded.Load(),
		"FramesSent": links.FramesSent.Load(), "FramesTaken": links.FramesReceived.Load(), "FrameBytesSent": links.BytesSent.Load(),
		"RoleChanges": links.RoleChanges.Load(), "GroupNews": node.announcementsApplied.Load(),
		"MemoryHeld": uint64(held), "MemoryMost": uint64(peak), "MemoryRefused": refused,
		"DemandAsked": node.demand.Counts.Requested.Load(), "DemandRefused": node.demand.Counts.Refused.Load(), "DemandTaken": node.demand.Counts.RemoteUpdates.Load(),
		"Pauses": node.pauses.Load(), "WaysLost": node.pathsLost.Load(), "DetoursSent": node.forwarder.Counts.DetoursSent.Load(),
		"DetoursTaken": node.forwarder.Counts.DetoursTaken.Load(), "DetoursRefused": node.forwarder.Counts.DetoursRefused.Load(),
		"Goroutines": uint64(runtime.NumGoroutine()),
	}
}

func (node *Node) operatorHandler() http.Handler {
	router := httprouter.New()
	router.GET("/debug/vars", func(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		jsonhttp.Write(writer, node.Metrics())
	})
	router.GET("/state", func(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		jsonhttp.Write(writer, node.State())
	})
	router.PUT("/quarantine/:fingerprint", node.quarantineHandler(node.quarantine.Quarantine))
	router.DELETE("/quarantine/:fingerprint", node.quarantineHandler(node.quarantine.Lift))
	return router
}

// quarantineHandler serves an operator's decision to quarantine or release a request. The decision is sent to
// all nodes.
func (node *Node) quarantineHandler(change func(fingerprint quarantine.Fingerprint) bool) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		fingerprint, err := quarantine.ParseFingerprint(params.ByName("fingerprint"))
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		changed := change(fingerprint)
		node.logger.Info("gateway: an operator changed the quarantine of a request.", "Method", request.Method, "Fingerprint", fingerprint.String(), "Changed", changed)
		node.suspectChanged(fingerprint)
		writer.WriteHeader(http.StatusNoContent)
	}
}
