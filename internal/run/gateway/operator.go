package gateway

import (
	"net/http"
	"runtime"

	"github.com/julienschmidt/httprouter"

	"hazelslip/internal/common/jsonhttp"
	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/policy/retry"
)

// State is the dump of a node's state.
type State struct {
	Name                 string
	DataCentre           string
	Incarnation          uint64
	Ready                string
	ConfigurationVersion int64
	ListEnd              int64
	ListAgeMilliseconds  int64
	Servers              int
	Peers                []string
	Serving              []formation.Group
	Former               formation.State
	Budgets              map[string]retry.WindowState
}

// State returns the dump of the node's state.
func (node *Node) State() State {
	servers := node.servers.Load()
	state := State{
		Name: node.settings.Name, DataCentre: node.settings.DataCentre, Incarnation: node.Incarnation, Ready: "ready",
		ConfigurationVersion: node.configuration.Load().Configuration.Version, ListEnd: servers.End,
		ListAgeMilliseconds: node.listAge().Milliseconds(), Servers: len(servers.Servers),
		Serving: node.view.Serving(servers, node.engineServices()), Former: node.former.State(),
		Budgets: map[string]retry.WindowState{},
	}
	if err := node.Ready(); err != nil {
		state.Ready = err.Error()
	}
	for _, other := range *node.peers.alive.Load() {
		state.Peers = append(state.Peers, other.standing.Name)
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	for service, window := range node.budgets {
		state.Budgets[service] = window.State()
	}
	return state
}

// metrics are the node's counters.
func (node *Node) metrics() map[string]uint64 {
	counts, formed, calls := &node.forwarder.Counts, &node.former.Counts, &node.pool.Counts
	return map[string]uint64{
		"Requests": counts.Requests.Load(), "Answered": counts.Answered.Load(), "Refused": counts.Refused.Load(),
		"Failed": counts.Failed.Load(), "CallersLeft": counts.Left.Load(), "Repeats": counts.Repeats.Load(),
		"GroupsFormed": formed.Formed.Load(), "GroupsAbandoned": formed.Abandoned.Load(), "GroupsLost": formed.Lost.Load(),
		"GroupsRetired": formed.Retired.Load(), "ServersStaged": formed.Staged.Load(), "Orders": formed.Orders.Load(),
		"Reports": formed.Reports.Load(), "SilentButWhole": formed.WholeSeen.Load(),
		"ConnectionsDialled": calls.Dialled.Load(), "ConnectionsReused": calls.Reused.Load(),
		"ConnectionsFailed": calls.DialFailed.Load(), "ConnectionsDiscarded": calls.Discarded.Load(),
		"StrayAnswers": calls.StrayAnswer.Load(), "StoreReads": node.storeReads.Load(), "StoreFailures": node.storeFailures.Load(),
		"Goroutines": uint64(runtime.NumGoroutine()),
	}
}

func (node *Node) operatorHandler() http.Handler {
	router := httprouter.New()
	router.GET("/debug/vars", func(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		jsonhttp.Write(writer, node.metrics())
	})
	router.GET("/state", func(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		jsonhttp.Write(writer, node.State())
	})
	return router
}
