package gateway

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"hazelslip/internal/fleet/detour"
	"hazelslip/internal/peer/backendserver"
	"hazelslip/internal/policy/pathhealth"
	"hazelslip/internal/wire/frame"
)

const (
	// detourQueryInterval is how often other nodes are asked for detours while a path is not healthy, and
	// maxDetourQueries is how many of them are asked at once.
	detourQueryInterval = 400 * time.Millisecond
	maxDetourQueries    = 6
	// maxUsefulQueries is how many of the nodes already known as useful are asked again.
	maxUsefulQueries = 3
	// firstDetourAnswerTimeout bounds the wait for the first useful answer, and laterDetourAnswersTimeout the
	// wait for each further one.
	firstDetourAnswerTimeout  = 250 * time.Millisecond
	laterDetourAnswersTimeout = 20 * time.Millisecond
	// maxLeafDetours is how many of its leaves a relay advertises in an answer.
	maxLeafDetours = 4
	// detourConnectTimeout bounds connecting to another node; after that another node is tried.
	detourConnectTimeout = 150 * time.Millisecond
	// detourIdleTimeout is how long this node keeps an idle connection of another node. It is longer than the
	// other node keeps the connection, so that the other node is the one to close it.
	detourIdleTimeout = time.Minute
	// detourStallTimeout bounds the time without data on calls through a node that has responded, and
	// detourAnswerTimeout the time before it responds. A frozen node sends nothing at all, not even an error.
	detourStallTimeout  = 1500 * time.Millisecond
	detourAnswerTimeout = 1800 * time.Millisecond
)

// detours routes requests through other nodes while this node has lost paths to servers, and serves such
// requests for other nodes.
type detours struct {
	node  *Node
	paths *pathhealth.Paths
	table *detour.Table
	pool  *backendserver.Pool
	// server serves requests forwarded by other nodes. It is nil if no detour address is configured.
	server   *http.Server
	listener net.Listener
	// queryRequests triggers an immediate query.
	queryRequests chan struct{}

	mu sync.Mutex
	// uncertainFailures holds server failures on suspected and lost paths, by path, which may be failures of the path.
	// They are recorded once the path is found healthy without having been lost, or once their server has restarted.
	uncertainFailures map[*pathhealth.Path][]uncertainFailure
	// suppressedReports counts the reports about servers that were not sent because the path to the server
	// was suspected or lost.
	suppressedReports int
}

func newDetours(node *Node) *detours {
	detours := &detours{
		node: node, paths: pathhealth.New(pathhealth.Clock(node.now)), queryRequests: make(chan struct{}, 1), uncertainFailures: map[*pathhealth.Path][]uncertainFailure{},
		table: detour.New(node.settings.DataCentre, detour.Clock(node.now)),
	}
	codec := backendserver.Codec{
		Encode: node.platform.Codec.Encode,
		Decode: func(*backendserver.Call, int, http.Header) backendserver.DecodedHead {
			return backendserver.DecodedHead{}
		},
	}
	detours.pool = backendserver.New(codec, append(node.poolOptions(), backendserver.MaxDialTime(detourConnectTimeout))...)
	return detours
}

// enabled reports whether requests may be forwarded through other nodes.
func (detours *detours) enabled() bool {
	return detours.node.settings.Listen.Detour != ""
}

// tableOrNil returns the detour table for the forwarder, or nil if detours are disabled.
func (detours *detours) tableOrNil() *detour.Table {
	if !detours.enabled() {
		return nil
	}
	return detours.table
}

// requestQuery triggers an immediate query for detours.
func (detours *detours) requestQuery() {
	select {
	case detours.queryRequests <- struct{}{}:
	default:
	}
}

// runQueries asks other nodes for detours as long as a path is not healthy.
func (detours *detours) runQueries() {
	for {
		// The timer runs only while a path is not healthy, so that a healthy node is not woken.
		var again <-chan time.Time
		if detours.paths.AnyUnhealthy() {
			again = time.After(detourQueryInterval)
		}
		select {
		case <-detours.node.Stopping:
			return
		case <-detours.queryRequests:
		case <-again:
		}
		if detours.paths.AnyUnhealthy() && detours.enabled() {
			detours.query()
		}
	}
}

// queryTargets returns the nodes to ask: first those known as useful, then others, with nodes of the same
// data centre first and, if there are any, one node of another data centre. Once enough useful nodes are
// known, only one further node is asked: all nodes know the first nodes of each data centre, so these would
// otherwise be asked by everyone.
func (detours *detours) queryTargets() []string {
	limit, useful := maxDetourQueries, detours.table.PeersWithPath(detours.paths.LostDestinations(true))
	rand.Shuffle(len(useful), func(a, b int) { useful[a], useful[b] = useful[b], useful[a] })
	if len(useful) >= maxUsefulQueries {
		useful, limit = useful[:maxUsefulQueries], maxUsefulQueries+1
	}
	targets := slices.Concat(useful, slices.DeleteFunc(detours.node.peers.overlay.HealthyPeers(), func(address string) bool { return slices.Contains(useful, address) }))
	if len(targets) > limit {
		targets[limit-1] = targets[limit-1+rand.IntN(len(targets)-limit+1)]
		targets = targets[:limit]
	}
	return targets
}

// query asks some nodes whether they accept detours, and records their answers.
func (detours *detours) query() {
	targets := detours.queryTargets()
	results := make(chan bool, len(targets))
	for _, address := range targets {
		detours.node.GoNamed("detours", func() {
			found := detours.node.peers.overlay.QueryDetours(address)
			for _, advertised := range found {
				detours.record(advertised)
			}
			results <- len(found) > 0
		})
	}
	// Live nodes answer within a few milliseconds of each other.
	timer := time.NewTimer(firstDetourAnswerTimeout)
	defer timer.Stop()
	for range targets {
		select {
		case useful := <-results:
			if useful {
				timer.Reset(laterDetourAnswersTimeout)
			}
		case <-timer.C:
			detours.table.RecordQuery()
			return
		case <-detours.node.Stopping:
			return
		}
	}
	detours.table.RecordQuery()
}

func (detours *detours) record(advertised *frame.Detour) {
	if advertised.Address == detours.node.settings.Listen.Detour {
		return
	}
	detours.table.RecordReport(detour.Node{
		Address: advertised.Address, PeerAddress: advertised.Peer, DataCentre: advertised.DataCentre, Lost: pathsFromWire(advertised.Lost), Calls: int(advertised.Calls),
	})
}

// advertisements returns the nodes that accept detours: this node, and some of its leaves, those with the
// fewest lost paths first.
func (detours *detours) advertisements() []*frame.Detour {
	settings := &detours.node.settings
	if !detours.enabled() || detours.node.Ready() != nil {
		return nil
	}
	advertised := []*frame.Detour{{
		Address: settings.Listen.Detour, Peer: settings.Listen.advertised(), DataCentre: settings.DataCentre,
		Lost: pathsToWire(detours.paths.LostDestinations(true)), Calls: uint32(max(0, detours.node.board.OwnCalls())),
	}}
	return append(advertised, detours.node.peers.leafDetours(maxLeafDetours)...)
}

// leafDetours returns some of this node's leaves that accept detours, those with the fewest lost paths first.
func (peers *peers) leafDetours(limit int) []*frame.Detour {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	found := []*frame.Detour{}
	for link, state := range peers.linkStates {
		if !isBackbone(link) && !link.Opened && state.detourAddress != "" {
			calls := 0
			for _, load := range state.loads {
				calls += load.Calls
			}
			found = append(found, &frame.Detour{
				Address: state.detourAddress, Peer: link.Remote.Address, DataCentre: link.Remote.DataCentre, Lost: pathsToWire(state.lostPaths), Calls: uint32(max(0, calls)),
			})
		}
	}
	rand.Shuffle(len(found), func(a, b int) { found[a], found[b] = found[b], found[a] })
	slices.SortStableFunc(found, func(a, b *frame.Detour) int { return len(a.Lost) - len(b.Lost) })
	return found[:min(limit, len(found))]
}

// check looks for lost paths and for stalled detour nodes, and starts the path probes that are due.
func (detours *detours) check() {
	detours.node.board.WatchPaths()
	for _, address := range detours.table.Stalled(detourStallTimeout, detourAnswerTimeout) {
		detours.node.logger.Warn("gateway: a detour node stalled; its connections are dropped.", "Peer", address)
		detours.pool.CloseIdle(address)
	}
	probes := detours.node.board.DuePathProbes()
	for number := range probes {
		probe := &probes[number]
		if probe.Path.Status() == pathhealth.Suspected {
			detours.requestQuery()
		}
		detours.node.GoNamed("probe", func() { detours.probe(probe) })
	}
}
