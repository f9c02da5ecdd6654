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
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/policy/reach"
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/serve/forward"
	"hazelslip/internal/state/storelog"
)

// State is the dump of a node's state.
type State struct {
	Name                 string
	DataCentre           string
	Incarnation          uint64
	Ready                string
	ConfigurationVersion int64
	// StoreEra counts how often the store came back from an older copy, -1 before it
	// has answered.
	StoreEra int64
	// ConfigurationAgeMilliseconds is how long ago the store is known to have had no newer
	// configuration, an hour at the most. Store says how the store answers this node.
	ConfigurationAgeMilliseconds int64
	Store                        store.State
	// ReadsStore says that this node reads the store for all.
	ReadsStore          bool
	ListEnd             storelog.Position
	ListAgeMilliseconds int64
	Servers             int
	// Nodes counts the nodes of the fleet that this one hears of, itself among them.
	Nodes   int
	Overlay overlay.State
	// Targets are the servers and heads of groups that take calls, by what they
	// serve.
	Targets map[string][]dispatch.TargetState
	Former  formation.State
	Budgets map[string]retry.WindowState
	// Suspects are the requests under which servers ended and that were not answered
	// since, as far as this node knows.
	Suspects []quarantine.State
	// Limits are those that servers name, as far as this node knows.
	Limits []ratelimit.State
	// Notices are the servers that asked this node for a backoff, or told it that they
	// are draining.
	Notices []notice.State
	// DrainedDataCentres are those whose servers get no new calls.
	DrainedDataCentres []string
	// Memory is what is buffered between callers and servers, by workspace.
	Memory memory.State
	// Demands are what is asked of each pool.
	Demands []demand.State
	// Ways are the ways to servers that are not open, Detours the nodes that requests go through.
	Ways    []reach.State
	Detours []detour.State
}

// State returns the dump of the node's state.
func (node *Node) State() State {
	servers := node.servers.Load()
	state := State{
		Name: node.settings.Name, DataCentre: node.settings.DataCentre, Incarnation: node.Incarnation, Ready: "ready",
		ConfigurationVersion: node.configuration.Load().Configuration.Version, StoreEra: node.follower.Era(),
		ConfigurationAgeMilliseconds: node.follower.ConfigurationAge().Milliseconds(), Store: node.storeCalls.State(), ReadsStore: node.peers.standing().Reads(), ListEnd: servers.End,
		ListAgeMilliseconds: node.follower.ListAge().Milliseconds(), Servers: len(servers.Servers),
		Targets: node.board.State(), Former: node.former.State(),
		Budgets: node.budgetStates(), Nodes: node.peers.count(), Overlay: node.peers.overlay.State(),
		Suspects: node.quarantine.State(), Limits: node.limits.State(), Notices: node.notices.State(),
		DrainedDataCentres: node.drained.Drained(), Demands: node.demand.State(), Memory: node.memory.State(),
		Ways: node.detours.ways.State(), Detours: node.detours.table.State(),
	}
	if err := node.Ready(); err != nil {
		state.Ready = err.Error()
	}
	return state
}

// Metrics are the node's counters, which only grow but for Goroutines and MemoryHeld, and its latencies.
type Metrics struct {
	// Outcomes counts requests by route and by how they ended.
	Outcomes map[string]map[forward.Outcome]uint64
	// Latencies are in milliseconds.
	Latencies map[string]Quantiles
	Counters  map[string]uint64
	// Ages are in milliseconds; -1 for what was never known.
	Ages map[string]int64
	// Term is under which this node gives orders, 0 if it doesn't.
	Term    int64
	Budgets map[string]retry.WindowState
	// Serving counts the servers and heads of groups that take calls, by what they
	// serve.
	Serving map[string]int
	// Limits are those that servers name, Notices what else they say of themselves.
	Limits  []ratelimit.State
	Notices []notice.State
	// DrainedDataCentres are those whose servers get no new calls.
	DrainedDataCentres []string
}

// Metrics returns the node's metrics.
func (node *Node) Metrics() Metrics {
	metrics := Metrics{
		Outcomes: node.measures.byRoute(), Latencies: node.measures.latencies(), Counters: node.counters(),
		Ages: map[string]int64{"ServerList": -1, "Configuration": -1}, Term: node.keeper.Term(), Budgets: node.budgetStates(), Serving: map[string]int{},
		Limits: node.limits.State(), Notices: node.notices.State(), DrainedDataCentres: node.drained.Drained(),
	}
	servers := node.servers.Load()
	if servers.Known() {
		metrics.Ages["ServerList"] = node.follower.ListAge().Milliseconds()
	}
	if node.configuration.Load().Known() {
		metrics.Ages["Configuration"] = node.follower.ConfigurationAge().Milliseconds()
	}
	for pool, targets := range node.board.State() {
		metrics.Serving[pool] = len(targets)
	}
	return metrics
}

func (node *Node) counters() map[string]uint64 {
	formed, calls, links := &node.former.Counts, &node.pool.Counters, &node.peers.overlay.Counts
	paces := &node.board.PaceCounts
	held, most, refused := node.memory.Sums()
	return map[string]uint64{
		"Requests": node.forwarder.Counts.Requests.Load(), "Repeats": node.forwarder.Counts.Repeats.Load(),
		"Quarantined": node.forwarder.Counts.Quarantined.Load(), "ServerEnds": node.forwarder.Counts.ServerEnds.Load(),
		"Limited": node.forwarder.Counts.Limited.Load(), "BackedOff": node.forwarder.Counts.BackedOff.Load(), "Shed": node.forwarder.Counts.Shed.Load(), "Unanswered": node.forwarder.Counts.Unanswered.Load(), "LimitsLearnt": node.limits.Counts.Learnt.Load(), "LimitsUnreadable": node.limits.Counts.Unreadable.Load(),
		"BackoffsLearnt": node.notices.Counts.Backoffs.Load(), "BackoffsHinted": node.notices.Counts.Hints.Load(), "BackoffsUnreadable": node.notices.Counts.Unreadable.Load(),
		"DrainsLearnt": node.notices.Counts.Drains.Load(), "CallsWithheld": node.notices.Counts.Withheld.Load(),
		"GroupsFoundSlow": paces.Found.Load(), "GroupsNotSlowAnyMore": paces.Ended.Load(), "PacesHeard": paces.Heard.Load(),
		"GroupsFormed": formed.Formed.Load(), "GroupsAbandoned": formed.Abandoned.Load(), "GroupsLost": formed.Lost.Load(),
		"GroupsRetired": formed.Retired.Load(), "ServersStaged": formed.Staged.Load(), "Orders": formed.Orders.Load(),
		"GroupsLent": formed.Lent.Load(), "Reports": formed.Reports.Load(), "SilentButWhole": formed.WholeSeen.Load(),
		"ConnectionsDialled": calls.Dialled.Load(), "ConnectionsReused": calls.Reused.Load(),
		"ConnectionsFailed": calls.DialFailed.Load(), "ConnectionsDiscarded": calls.Discarded.Load(),
		"StrayAnswers": calls.StrayResponses.Load(), "StoreReads": node.storeCalls.Counters.Started.Load(), "StoreFailures": node.storeCalls.Counters.Failed.Load(), "StoreHung": node.storeCalls.Counters.Hung.Load(), "StoreOutages": node.storeCalls.Counters.Outages.Load(), "StoreReturns": node.follower.Returns(),
		"LinksAttached": links.Attached.Load(), "LinksFailed": links.AttachFailed.Load(), "LinksEnded": links.LinksEnded.Load(),
		"FramesSent": links.FramesSent.Load(), "FramesTaken": links.FramesTaken.Load(), "FrameBytesSent": links.BytesSent.Load(),
		"RoleChanges": links.RoleChanges.Load(), "GroupNews": node.newsLearnt.Load(),
		"MemoryHeld": uint64(held), "MemoryMost": uint64(most), "MemoryRefused": refused,
		"DemandAsked": node.demand.Counts.Asked.Load(), "DemandRefused": node.demand.Counts.Refused.Load(), "DemandTaken": node.demand.Counts.Taken.Load(),
		"WaysLost": node.waysLost.Load(), "DetoursSent": node.forwarder.Counts.DetoursSent.Load(),
		"DetoursTaken": node.forwarder.Counts.DetoursTaken.Load(), "DetoursRefused": node.forwarder.Counts.DetoursRefused.Load(),
		"Goroutines": uint64(runtime.NumGoroutine()),
	}
}

func (node *Node) budgetStates() map[string]retry.WindowState {
	node.mu.Lock()
	defer node.mu.Unlock()
	states := map[string]retry.WindowState{}
	for service, window := range node.budgets {
		states[service] = window.State()
	}
	return states
}

func (node *Node) operatorHandler() http.Handler {
	router := httprouter.New()
	router.GET("/debug/vars", func(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		jsonhttp.Write(writer, node.Metrics())
	})
	router.GET("/state", func(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		jsonhttp.Write(writer, node.State())
	})
	router.PUT("/quarantine/:fingerprint", node.changeQuarantine(node.quarantine.Refuse))
	router.DELETE("/quarantine/:fingerprint", node.changeQuarantine(node.quarantine.Lift))
	return router
}

// changeQuarantine serves an operator's decision on a request, which all nodes hear of.
func (node *Node) changeQuarantine(change func(fingerprint quarantine.Fingerprint) bool) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		fingerprint, err := quarantine.Parse(params.ByName("fingerprint"))
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		changed := change(fingerprint)
		node.logger.Info("gateway: an operator decided on a request.", "Method", request.Method, "Fingerprint", fingerprint.String(), "Changed", changed)
		node.suspected(fingerprint)
		writer.WriteHeader(http.StatusNoContent)
	}
}
