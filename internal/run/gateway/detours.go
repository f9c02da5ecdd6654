package gateway

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"hazelslip/internal/fleet/detour"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/fleet/tenure"
	"hazelslip/internal/peer/backendserver"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/policy/reach"
	"hazelslip/internal/wire/frame"
)

const (
	// askDetoursEvery is how often other nodes are asked whether they take requests, while some way is not
	// open; askDetoursMost how many at once.
	askDetoursEvery = 400 * time.Millisecond
	askDetoursMost  = 6
	// askDetoursAgain is how many of those that are of use are asked again.
	askDetoursAgain = 3
	// askDetoursMostTime is how long the first of them may take to answer, askDetoursGrace how long the others may after it.
	askDetoursMostTime = 250 * time.Millisecond
	askDetoursGrace    = 20 * time.Millisecond
	// detoursTold is how many nodes that hear from it a relay names.
	detoursTold = 4
	// detourConnect bounds connecting to another node, another one is tried after that.
	detourConnect = 150 * time.Millisecond
	// detourIdle is how long the connection of another node is kept: longer than that keeps it.
	detourIdle = time.Minute
	// detourStill is how long nothing may come of calls through another node that has answered, detourUnanswered
	// before it answers: a node that froze says nothing at all.
	detourStill      = 1500 * time.Millisecond
	detourUnanswered = 1800 * time.Millisecond
	// unsureMost bounds the ends of servers that are unsure.
	unsureMost = 256
)

// detours is what a node does about ways to servers that it has lost, and for nodes that have lost theirs.
type detours struct {
	node  *Node
	ways  *reach.Ways
	table *detour.Table
	pool  *backendserver.Pool
	// served serves the requests of other nodes, nil where no address for them is set.
	served   *http.Server
	listener net.Listener
	// wanted asks for nodes to be asked at once.
	wanted chan struct{}

	mu sync.Mutex
	// unsure are the requests under which servers may have ended, by the way on which they were.
	unsure map[*reach.Way][]unsureEnd
	// withheld counts what was not told of servers since the way there is doubted.
	withheld int
}

// unsureEnd is an end of a server that may have been one of the way there.
type unsureEnd struct {
	fingerprint quarantine.Fingerprint
	run         string
}

func newDetours(node *Node) *detours {
	made := &detours{
		node: node, ways: reach.New(reach.Clock(node.now)), wanted: make(chan struct{}, 1), unsure: map[*reach.Way][]unsureEnd{},
		table: detour.New(node.settings.DataCentre, detour.Clock(node.now)),
	}
	codec := backendserver.Codec{
		Encode: node.platform.Codec.Encode,
		Decode: func(*backendserver.Call, int, http.Header) backendserver.Verdict { return backendserver.Verdict{} },
	}
	made.pool = backendserver.New(codec, append(node.poolOptions(), backendserver.ConnectWithin(detourConnect))...)
	return made
}

// enabled says whether requests may go through other nodes.
func (detours *detours) enabled() bool {
	return detours.node.settings.Listen.Detour != ""
}

// tableOrNil is the table for the forwarder, nil where requests don't go through other nodes.
func (detours *detours) tableOrNil() *detour.Table {
	if !detours.enabled() {
		return nil
	}
	return detours.table
}

// want asks for nodes to be asked at once.
func (detours *detours) want() {
	select {
	case detours.wanted <- struct{}{}:
	default:
	}
}

// follow asks other nodes whether they take requests, while some way is not open.
func (detours *detours) follow() {
	timer := time.NewTimer(askDetoursEvery)
	defer timer.Stop()
	for {
		select {
		case <-detours.node.Stopping:
			return
		case <-detours.wanted:
		case <-timer.C:
		}
		timer.Reset(askDetoursEvery)
		if detours.ways.Unsettled() && detours.enabled() {
			detours.ask()
		}
	}
}

// asked are the nodes to ask: those again that are of use, then others, those of the own data centre first, and one of
// another if there is one. Once enough are of use only one more is asked: the first nodes of each data centre are those that
// all others know.
func (detours *detours) asked() []string {
	most, useful := askDetoursMost, detours.table.Useful(detours.ways.Lost(true))
	rand.Shuffle(len(useful), func(one, other int) { useful[one], useful[other] = useful[other], useful[one] })
	if len(useful) >= askDetoursAgain {
		useful, most = useful[:askDetoursAgain], askDetoursAgain+1
	}
	others := slices.Concat(useful, slices.DeleteFunc(detours.node.peers.overlay.Others(), func(address string) bool { return slices.Contains(useful, address) }))
	if len(others) > most {
		others[most-1] = others[most-1+rand.IntN(len(others)-most+1)]
		others = others[:most]
	}
	return others
}

// ask asks some nodes whether they take requests.
func (detours *detours) ask() {
	others := detours.asked()
	answers := make(chan bool, len(others))
	for _, address := range others {
		detours.node.GoAs("detours", func() {
			found := detours.node.peers.overlay.AskDetours(address)
			for _, told := range found {
				detours.heard(told)
			}
			answers <- len(found) > 0
		})
	}
	// Those that live answer within some milliseconds of each other.
	timer := time.NewTimer(askDetoursMostTime)
	defer timer.Stop()
	for range others {
		select {
		case told := <-answers:
			if told {
				timer.Reset(askDetoursGrace)
			}
		case <-timer.C:
			detours.table.Asked()
			return
		case <-detours.node.Stopping:
			return
		}
	}
	detours.table.Asked()
}

func (detours *detours) heard(told *frame.Detour) {
	if told.Address == detours.node.settings.Listen.Detour {
		return
	}
	detours.table.Heard(detour.Node{
		Address: told.Address, Peer: told.Peer, DataCentre: told.DataCentre, Lost: waysFromWire(told.Lost), Calls: int(told.Calls),
	})
}

// told are the nodes that take requests of others: this one, and some that hear from it, those first that have lost the
// fewest ways.
func (detours *detours) told() []*frame.Detour {
	settings := &detours.node.settings
	if !detours.enabled() || detours.node.Ready() != nil {
		return nil
	}
	told := []*frame.Detour{{
		Address: settings.Listen.Detour, Peer: settings.Listen.advertised(), DataCentre: settings.DataCentre,
		Lost: waysToWire(detours.ways.Lost(true)), Calls: uint32(max(0, detours.node.board.Calls())),
	}}
	return append(told, detours.node.peers.leavesTaking(detoursTold)...)
}

// leavesTaking returns some of the leaves of this node that take requests of others.
func (peers *peers) leavesTaking(most int) []*frame.Detour {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	found := []*frame.Detour{}
	for link, channel := range peers.channels {
		if !core(link) && !link.Opened && channel.detour != "" {
			calls := 0
			for _, share := range channel.shares {
				calls += share.Calls
			}
			found = append(found, &frame.Detour{
				Address: channel.detour, Peer: link.Remote.Address, DataCentre: link.Remote.DataCentre, Lost: waysToWire(channel.lost), Calls: uint32(max(0, calls)),
			})
		}
	}
	rand.Shuffle(len(found), func(one, other int) { found[one], found[other] = found[other], found[one] })
	slices.SortStableFunc(found, func(one, other *frame.Detour) int { return len(one.Lost) - len(other.Lost) })
	return found[:min(most, len(found))]
}

// look looks for ways that are lost, and for nodes that stand still.
func (detours *detours) look() {
	detours.node.board.WatchWays()
	for _, address := range detours.table.Stalled(detourStill, detourUnanswered) {
		detours.node.logger.Warn("gateway: a node that requests go through stands still.", "Peer", address)
		detours.pool.Drop(address)
	}
	probes := detours.node.board.WayProbes()
	for number := range probes {
		probe := &probes[number]
		if probe.Way.Standing() == reach.Doubted {
			detours.want()
		}
		detours.node.GoAs("probe", func() { detours.probe(probe) })
	}
}

// probe connects to servers of a way.
func (detours *detours) probe(probe *dispatch.WayProbe) {
	node := detours.node
	answers := make(chan string, len(probe.Servers))
	for _, server := range probe.Servers {
		node.GoAs("probe", func() {
			if !node.pool.Opens(probe.Addresses[server], probeTime) {
				server = ""
			}
			answers <- server
		})
	}
	reached := []string{}
	for range probe.Servers {
		if server := <-answers; server != "" {
			reached = append(reached, server)
		}
	}
	if result := probe.Done(reached); result.Changed() {
		detours.changed(probe.Way, &result)
	}
}

// changed tells that a way is lost, or whole again.
func (detours *detours) changed(way *reach.Way, result *reach.Result) {
	node, place := detours.node, way.Place
	detours.mu.Lock()
	ends, withheld := detours.unsure[way], detours.withheld
	delete(detours.unsure, way)
	detours.withheld = 0
	detours.mu.Unlock()
	switch result.After {
	case reach.Lost:
		node.waysLost.Add(1)
		node.logger.Warn("gateway: servers of a service are not reached from here.", "Service", place.Service, "DataCentre", place.DataCentre,
			"Tried", result.Tried, "Reached", result.Reached, "DoubtedMilliseconds", result.For.Milliseconds(),
			"CallsMoved", node.board.Leave(way), "EndsNotBelieved", len(ends), "ReportsWithheld", withheld)
	case reach.Open:
		for _, end := range ends {
			if _, news := node.quarantine.Ended(end.fingerprint, end.run); news {
				node.suspected(end.fingerprint)
			}
		}
		if result.Before == reach.Lost {
			node.logger.Info("gateway: servers of a service are reached again.", "Service", place.Service, "DataCentre", place.DataCentre,
				"LostMilliseconds", result.For.Milliseconds(), "ReportsWithheld", withheld)
		}
	}
}

// unsureOf keeps a request under which a server may have ended until it is known whether the way there is whole.
func (detours *detours) unsureOf(target *dispatch.Target, fingerprint quarantine.Fingerprint) {
	way := target.Way()
	detours.mu.Lock()
	defer detours.mu.Unlock()
	if way.Standing() == reach.Doubted && len(detours.unsure[way]) < unsureMost {
		detours.unsure[way] = append(detours.unsure[way], unsureEnd{fingerprint: fingerprint, run: target.Run()})
	}
}

// doubts says whether what this node sees of a server says nothing of it, and counts what isn't told for that.
func (detours *detours) doubts(target *dispatch.Target) bool {
	if target.Reached() {
		return false
	}
	detours.mu.Lock()
	defer detours.mu.Unlock()
	detours.withheld++
	return true
}

// withoutEngines says whether this node reaches no server of any service whose servers form groups: it can't give
// orders.
func (node *Node) withoutEngines() bool {
	return node.detours.lacksEngines(node.detours.ways.Lost(false))
}

// lacksEngines says whether a node that has lost some ways reaches no server of any service whose servers form groups.
func (detours *detours) lacksEngines(lost []reach.Place) bool {
	if len(lost) == 0 {
		return false
	}
	services := detours.node.engineServices()
	for number := range services {
		if !detours.ways.Without(services[number].Name, lost) {
			return false
		}
	}
	return len(services) > 0
}

// orderTerm is the term under which this node gives orders now, 0 for none.
func (node *Node) orderTerm() int64 {
	if node.withoutEngines() {
		return 0
	}
	return node.keeper.Term()
}

// yieldTerm gives this node's term up where it can't give orders and another one could. Where none could, it stays: the
// term would pass from one to the next.
func (node *Node) yieldTerm(tenants []tenure.Peer) {
	term := node.keeper.Term()
	if term == 0 || !node.withoutEngines() || !slices.ContainsFunc(tenants, func(peer tenure.Peer) bool { return peer.Fit }) {
		return
	}
	node.logger.Warn("gateway: this node reaches no server and gives up giving orders.", "Term", term)
	node.keeper.Outdated(term)
}

// lostFor returns the ways that the other side of a link is told that this node has lost.
func (peers *peers) lostFor(link *overlay.Link) []reach.Place {
	if downstream(link) {
		return nil
	}
	return peers.node.detours.ways.Lost(false)
}

func waysToWire(places []reach.Place) []*frame.Way {
	told := make([]*frame.Way, 0, len(places))
	for _, place := range places {
		told = append(told, &frame.Way{Service: place.Service, DataCentre: place.DataCentre})
	}
	return told
}

func waysFromWire(told []*frame.Way) []reach.Place {
	places := make([]reach.Place, 0, len(told))
	for _, way := range told {
		places = append(places, reach.Place{Service: way.Service, DataCentre: way.DataCentre})
	}
	return places
}

// newerAt fetches a version of the configuration that another node has in force.
func (peers *peers) newerAt(address string, version int64) {
	if address != "" {
		peers.heardVersionAt(address, version)
	}
}
