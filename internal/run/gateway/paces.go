package gateway

import (
	"slices"
	"time"

	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/wire/frame"
)

// pacesAtOnce bounds what one frame tells of paces; the others follow with the next.
const pacesAtOnce = 32

// lookPaces puts the paces of groups in force, and tells the other nodes what changed by what this one
// measured.
func (node *Node) lookPaces() {
	for _, news := range node.board.UpdatePaces() {
		if news.Broadcast {
			node.peers.tellPace(news.Target.Key(), nil)
		}
		line := ""
		switch {
		case news.BecameSlow:
			line = "gateway: a group is slow."
		case news.Recovered:
			line = "gateway: a group is not slow any more, or is tried again."
		default:
			continue
		}
		node.logger.Info(line, "Group", news.Target.Group, "Head", news.Target.ID, "Born", news.Target.Born,
			"Pace", news.Factor, "Calls", news.Target.ActiveCalls())
	}
}

// tellPace makes all other nodes be told how slow a target is.
func (peers *peers) tellPace(run string, from *overlay.Link) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for link, channel := range peers.channels {
		if link != from && !slices.Contains(channel.paces, run) {
			channel.paces = append(channel.paces, run)
		}
	}
}

// addPaces adds what the other side of a link lacks, as it is now, and says whether there is any.
func (peers *peers) addPaces(told *frame.Frame, channel *channel) bool {
	count := min(len(channel.paces), pacesAtOnce)
	for _, run := range channel.paces[:count] {
		if known, ok := peers.node.board.PaceForPeers(run); ok {
			told.Paces = append(told.Paces, paceToWire(&known))
		}
	}
	channel.paces = slices.Delete(channel.paces, 0, count)
	return len(told.Paces) > 0
}

// takePaces takes what other nodes measured, and passes on what is news.
func (peers *peers) takePaces(link *overlay.Link, received []*frame.ServerPace) {
	for _, one := range received {
		told := paceFromWire(one)
		if peers.node.board.ApplyPeerPace(&told) {
			peers.tellPace(told.TargetKey(), link)
		}
	}
}

func paceToWire(told *dispatch.PeerPace) *frame.ServerPace {
	return &frame.ServerPace{
		Server: told.Server, Born: told.Born, Group: told.Group, Hundredths: uint32(told.Factor*100 + 0.5), AgeMs: milliseconds(told.Age),
	}
}

func paceFromWire(told *frame.ServerPace) dispatch.PeerPace {
	return dispatch.PeerPace{
		Server: told.Server, Born: told.Born, Group: told.Group, Factor: float64(told.Hundredths) / 100,
		Age: time.Duration(told.AgeMs) * time.Millisecond,
	}
}
