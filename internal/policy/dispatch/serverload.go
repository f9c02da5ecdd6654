package dispatch

// ServerLoad is the load of one node at a server: its calls, the prompt tokens of calls that have had no event,
// and the recent outcomes of its calls in hundredths of a call.
type ServerLoad struct {
	Calls               int
	PendingPromptTokens int
	Failed              int
	Answered            int
}

// Plus returns the sum of two loads.
func (serverLoad ServerLoad) Plus(other ServerLoad) ServerLoad {
	return ServerLoad{
		Calls: serverLoad.Calls + other.Calls, PendingPromptTokens: serverLoad.PendingPromptTokens + other.PendingPromptTokens,
		Failed: serverLoad.Failed + other.Failed, Answered: serverLoad.Answered + other.Answered,
	}
}

// Minus returns the load without a part of it. No count goes below zero.
func (serverLoad ServerLoad) Minus(part ServerLoad) ServerLoad {
	return ServerLoad{
		Calls: max(0, serverLoad.Calls-part.Calls), PendingPromptTokens: max(0, serverLoad.PendingPromptTokens-part.PendingPromptTokens),
		Failed: max(0, serverLoad.Failed-part.Failed), Answered: max(0, serverLoad.Answered-part.Answered),
	}
}

// MinReportedFailures is the number of failures, in hundredths, from which a server is reported to peers even if
// the node has no calls there.
const MinReportedFailures = 25

// SetPeerLoads sets the total load of all peers at each server.
func (board *Board) SetPeerLoads(loads map[string]ServerLoad) {
	board.SetPeerLoadsFunc(func(target *Target) ServerLoad { return loads[target.ID] })
}

// SetPeerLoadsFunc sets the total load of all peers at each target to what the function returns.
func (board *Board) SetPeerLoadsFunc(load func(target *Target) ServerLoad) {
	for _, target := range board.snapshot.Load().targets {
		peers := load(target)
		target.peerCalls.Store(int32(peers.Calls))
		target.peerPendingPromptTokens.Store(int64(peers.PendingPromptTokens))
		target.peerFailed.Store(int64(peers.Failed))
		target.peerAnswered.Store(int64(peers.Answered))
	}
}

// OwnLoads returns this node's load at each server, to be sent to peers.
func (board *Board) OwnLoads() map[string]ServerLoad {
	loads := map[string]ServerLoad{}
	now := board.now()
	for _, target := range board.snapshot.Load().targets {
		if target.Group == "" && target.delisted.Load() {
			continue
		}
		failed, answered := target.outcomes.decayedCounts(now)
		load := ServerLoad{
			Calls: int(target.ownCalls.Load()), PendingPromptTokens: int(target.pendingPromptTokens.Load()),
			Failed: int(failed * hundredths), Answered: int(answered * hundredths),
		}
		if load.Calls > 0 || load.Failed >= MinReportedFailures {
			loads[target.ID] = loads[target.ID].Plus(load)
		}
	}
	return loads
}
