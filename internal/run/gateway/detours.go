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

func newDetours(node *Node) *detours {
	made := &detours{
		node: node, ways: reach.New(reach.Clock(node.now)), wanted: make(chan struct{}, 1), unsure: map[*reach.Way][]unsureEnd{},
		table: detour.New(node.settings.DataCentre, detour.Clock(node.now)),
	}
	codec := backendserver.Codec{
		Encode: node.platform.Codec.Encode,
		Decode: func(*backendserver.Call, int, http.Header) backendserver.DecodedHead {
			return backendserver.DecodedHead{}
		},
	}
	made.pool = backendserver.New(codec, append(node.poolOptions(), backendserver.MaxDialTime(detourConnect))...)
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
	for {
		// A node of which all ways are open isn't woken for it.
		var again <-chan time.Time
		if detours.ways.Unsettled() {
			again = time.After(askDetoursEvery)
		}
		select {
		case <-detours.node.Stopping:
			return
		case <-detours.wanted:
		case <-again:
		}
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
		detours.pool.CloseIdle(address)
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
