package dispatch

// Share is what one node has at a server: calls, and the prompt tokens of
// those that have had no event; and how its calls there ended lately, in
// hundredths of a call.
type Share struct {
	Calls    int
	Unread   int
	Failed   int
	Answered int
}

// Plus is what two nodes have together.
func (share Share) Plus(other Share) Share {
	return Share{
		Calls: share.Calls + other.Calls, Unread: share.Unread + other.Unread,
		Failed: share.Failed + other.Failed, Answered: share.Answered + other.Answered,
	}
}

// Minus is a sum without a part of it. No count goes below zero.
func (share Share) Minus(part Share) Share {
	return Share{
		Calls: max(0, share.Calls-part.Calls), Unread: max(0, share.Unread-part.Unread),
		Failed: max(0, share.Failed-part.Failed), Answered: max(0, share.Answered-part.Answered),
	}
}

// WorthTelling is how many failures, in hundredths, make a server worth telling
// of on which the node has no calls.
const WorthTelling = 25

// PeerLoads takes what all peers together have at each server.
func (board *Board) PeerLoads(shares map[string]Share) {
	board.PeerLoadsBy(func(target *Target) Share { return shares[target.ID] })
}

// PeerLoadsBy takes what all peers together have at each target, as the function
// tells.
func (board *Board) PeerLoadsBy(share func(target *Target) Share) {
	for _, target := range board.layout.Load().all {
		told := share(target)
		target.peers.Store(int32(told.Calls))
		target.peersUnread.Store(int64(told.Unread))
		target.peersFailed.Store(int64(told.Failed))
		target.peersAnswered.Store(int64(told.Answered))
	}
}

// Shares returns what this node has at each server, for its peers.
func (board *Board) Shares() map[string]Share {
	shares := map[string]Share{}
	now := board.now()
	for _, target := range board.layout.Load().all {
		if target.Group == "" && target.former.Load() {
			continue
		}
		failed, answered := target.ends.read(now)
		share := Share{
			Calls: int(target.mine.Load()), Unread: int(target.unread.Load()),
			Failed: int(failed * hundredths), Answered: int(answered * hundredths),
		}
		if share.Calls > 0 || share.Failed >= WorthTelling {
			shares[target.ID] = shares[target.ID].Plus(share)
		}
	}
	return shares
}
