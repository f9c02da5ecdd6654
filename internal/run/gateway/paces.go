package gateway

import (
	"slices"
	"time"

	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/wire/frame"
)

// maxPacesPerFrame bounds the number of pace factors in one frame. The rest follow in the next frames.
const maxPacesPerFrame = 32

// updatePaces recomputes the pace factors of all groups, logs groups that became slow or normal, and
// announces what this node measured to the other nodes.
func (node *Node) updatePaces() {
	for _, change := range node.board.UpdatePaces() {
		if change.Broadcast {
			node.peers.queuePace(change.Target.Key(), nil)
		}
		message := ""
		switch {
		case change.BecameSlow:
			message = "gateway: a group is slow."
		case change.Recovered:
			message = "gateway: a group is no longer slow, or is tried again."
		default:
			continue
		}
		node.logger.Info(message, "Group", change.Target.Group, "Head", change.Target.ID, "Born", change.Target.Born,
			"Pace", change.Factor, "Calls", change.Target.ActiveCalls())
	}
}

// queuePace queues the pace factor of a target for all links except the one that it came over.
func (peers *peers) queuePace(key string, from *overlay.Link) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for link, state := range peers.linkStates {
		if link != from && !slices.Contains(state.pendingPaces, key) {
			state.pendingPaces = append(state.pendingPaces, key)
		}
	}
}

// addPaces adds the queued pace factors with their current values to a frame, and reports whether there are
// any.
func (peers *peers) addPaces(message *frame.Frame, state *linkState) bool {
	count := min(len(state.pendingPaces), maxPacesPerFrame)
	for _, key := range state.pendingPaces[:count] {
		if known, ok := peers.node.board.PaceForPeers(key); ok {
			message.Paces = append(message.Paces, paceToWire(&known))
		}
	}
	state.pendingPaces = slices.Delete(state.pendingPaces, 0, count)
	return len(message.Paces) > 0
}

// handlePaces merges the pace factors that other nodes measured, and forwards those that are new.
func (peers *peers) handlePaces(link *overlay.Link, received []*frame.ServerPace) {
	for _, encoded := range received {
		decoded := paceFromWire(encoded)
		if peers.node.board.ApplyPeerPace(&decoded) {
			peers.queuePace(decoded.TargetKey(), link)
		}
	}
}

func paceToWire(pace *dispatch.PeerPace) *frame.ServerPace {
	return &frame.ServerPace{
		Server: pace.Server, Born: pace.Born, Group: pace.Group, Hundredths: uint32(pace.Factor*100 + 0.5), AgeMs: cappedMilliseconds(pace.Age),
	}
}

func paceFromWire(encoded *frame.ServerPace) dispatch.PeerPace {
	return dispatch.PeerPace{
		Server: encoded.Server, Born: encoded.Born, Group: encoded.Group, Factor: float64(encoded.Hundredths) / 100,
		Age: time.Duration(encoded.AgeMs) * time.Millisecond,
	}
}
