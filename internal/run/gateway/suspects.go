package gateway

import (
	"context"
	"time"

	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/peer/store"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/wire/frame"
)

const (
	// leafEnds is under how many ends of servers a request is told to leaves. Most
	// requests under which a server ended are answered at the next one; a leaf hears of
	// a request before it is refused, so that an answer there lifts the suspicion.
	leafEnds = 2
	// storedEnds is under how many ends a request is written to the store. Nodes that
	// don't hear each other need to know of the first.
	storedEnds      = 2
	storedEndsApart = 1
	// suspectsTick is how often the store is looked at while suspects are fresh, and
	// suspectsFresh for how long they are: longer than a caller takes to come again.
	// What changes is written at once, and known to who reads it after a tick.
	suspectsTick  = time.Second
	suspectsFresh = 10 * time.Second
	// suspectsSettle is how long a root waits after the store came back from an older copy
	// before it writes again. Roots notice the return some milliseconds apart, and the one
	// that does first would take the duty of those that told it that the store was away.
	suspectsSettle = 500 * time.Millisecond
	// suspectsAtOnce bounds what one frame tells of suspects: a node that has just
	// attached during a wave of losses would wait for its first frame.
	suspectsAtOnce = 256
)

// suspected makes known what this node learned of a request.
func (node *Node) suspected(fingerprint quarantine.Fingerprint) {
	node.peers.tellSuspect(fingerprint, nil)
	node.withdraw(fingerprint)
	select {
	case node.suspectsNews <- struct{}{}:
	default:
	}
}

// followSuspects keeps the suspects in the store whenever something changed, and while
// there is something to read.
func (node *Node) followSuspects() {
	ticker := time.NewTicker(suspectsTick)
	defer ticker.Stop()
	for {
		returns, settled := node.storeCalls.Recovery(), node.suspectsSettled()
		select {
		case <-node.Stopping:
			return
		case <-node.suspectsNews:
		case <-returns:
		case <-settled:
		case <-ticker.C:
		}
		node.syncSuspects()
	}
}

// suspectsSettled fires when suspects may be written again, nil if they may be now.
func (node *Node) suspectsSettled() <-chan time.Time {
	if left := node.stored.settlesAt - node.now(); left > 0 {
		return time.After(left)
	}
	return nil
}

// withdraw ends the calls that servers have not begun to run of a request that is
// refused by now.
func (node *Node) withdraw(fingerprint quarantine.Fingerprint) {
	verdict, refused := node.quarantine.Refuses(fingerprint)
	if !refused {
		return
	}
	node.logger.Warn("gateway: a request is sent to no server any more.", "Fingerprint", fingerprint.String(),
		"Ends", len(verdict.Ends), "LastRun", verdict.Ends[len(verdict.Ends)-1].Run, "ForMilliseconds", verdict.Left.Milliseconds(),
		"CallsEnded", node.board.Withdraw(uint64(fingerprint)))
}

// tellSuspect passes on what is known of a request: upwards and between relays and
// roots at once, to leaves from a number of ends on.
func (peers *peers) tellSuspect(fingerprint quarantine.Fingerprint, from *overlay.Link) {
	suspect, known := peers.node.quarantine.Suspect(fingerprint)
	if !known {
		return
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for link, channel := range peers.channels {
		if link != from && worthTelling(link, suspect) {
			channel.suspects[fingerprint] = struct{}{}
		}
	}
}

func worthTelling(link *overlay.Link, suspect quarantine.Suspect) bool {
	return core(link) || link.Opened || suspect.Peak >= leafEnds
}

// addSuspects makes a new link be told of all suspects.
func (peers *peers) addSuspects(channel *channel) {
	suspects, _ := peers.node.quarantine.Suspects(1, 0)
	for _, suspect := range suspects {
		if worthTelling(channel.link, suspect) {
			channel.suspects[suspect.Fingerprint] = struct{}{}
		}
	}
}

// suspectsFor returns what the other side of a link lacks, as it is now.
func (peers *peers) suspectsFor(channel *channel) []*frame.Suspect {
	if len(channel.suspects) == 0 {
		return nil
	}
	now := peers.node.now()
	told := make([]*frame.Suspect, 0, len(channel.suspects))
	for fingerprint := range channel.suspects {
		if len(told) == suspectsAtOnce {
			break
		}
		delete(channel.suspects, fingerprint)
		if suspect, known := peers.node.quarantine.Suspect(fingerprint); known {
			told = append(told, suspectToWire(suspect, now))
		}
	}
	return told
}

// takeSuspects takes what another node knows of suspects, and passes on what is news.
func (peers *peers) takeSuspects(link *overlay.Link, told []*frame.Suspect) {
	now := peers.node.now()
	for _, one := range told {
		suspect := suspectFromWire(one, now)
		if peers.node.quarantine.Take(suspect) {
			peers.tellSuspect(suspect.Fingerprint, link)
			peers.node.withdraw(suspect.Fingerprint)
		}
	}
}

func suspectToWire(suspect quarantine.Suspect, now time.Duration) *frame.Suspect {
	told := &frame.Suspect{Fingerprint: uint64(suspect.Fingerprint)}
	for _, end := range suspect.Ends {
		told.Ends = append(told.Ends, &frame.ServerEnd{Run: end.Run, AgeMs: milliseconds(now - end.At)})
	}
	if suspect.LiftedAt > 0 {
		told.Lifted, told.LiftedAgeMs = true, milliseconds(now-suspect.LiftedAt)
	}
	return told
}

func suspectFromWire(told *frame.Suspect, now time.Duration) quarantine.Suspect {
	suspect := quarantine.Suspect{Fingerprint: quarantine.Fingerprint(told.Fingerprint)}
	for _, end := range told.Ends {
		suspect.Ends = append(suspect.Ends, quarantine.End{Run: end.Run, At: now - time.Duration(end.AgeMs)*time.Millisecond})
	}
	if told.Lifted {
		suspect.LiftedAt = now - time.Duration(told.LiftedAgeMs)*time.Millisecond
	}
	return suspect
}

// storedSuspects is what this node knows of the suspects in the store.
type storedSuspects struct {
	// written is the version of the list up to which the store has it, read says that
	// the store was read since this node speaks for its data centre.
	written uint64
	read    bool
	// readAt is when it was last tried.
	readAt time.Duration
	// settlesAt is from when on the roots agree which of them has the duty to write.
	settlesAt time.Duration
	// held are the requests that the store has a record of.
	held map[quarantine.Fingerprint]struct{}
}

// syncSuspects keeps the suspects in the store, for nodes that hear of them from nobody:
// those that start when all others do, and those that are cut off from the others but
// not from the store. Only roots do, and only while there is something to tell.
func (node *Node) syncSuspects() {
	if node.peers.overlay.Role() != overlay.Root {
		node.stored.read = false
		return
	}
	if node.suspectsGone.Swap(false) {
		node.stored.written, node.stored.read = 0, false
		node.stored.settlesAt = node.now() + suspectsSettle
	}
	least := storedEnds
	apart := node.peers.apart()
	if apart {
		least = storedEndsApart
	}
	duty := apart || node.peers.standing().Reads()
	if duty && node.now() >= node.stored.settlesAt {
		node.writeSuspects(least)
	}
	due := node.now()-node.stored.readAt >= suspectsTick/2
	if due && (!node.stored.read || (duty && node.quarantine.Fresh(least, suspectsFresh))) {
		node.stored.readAt = node.now()
		node.stored.read = node.readSuspects()
	}
}

// apart says whether there are nodes that this one hears nothing of: some that were
// heard of within the last minute, or a whole data centre.
func (peers *peers) apart() bool {
	return peers.count() < peers.nodes() || peers.overlay.Apart()
}

// writeSuspects writes what changed, and drops what counts no more.
func (node *Node) writeSuspects(least int) {
	suspects, version := node.quarantine.Suspects(least, node.stored.written)
	stored := make([]store.Suspect, 0, len(suspects))
	now, today := node.now(), time.Now()
	for _, suspect := range suspects {
		node.stored.held[suspect.Fingerprint] = struct{}{}
		stored = append(stored, suspectToStore(suspect, now, today))
	}
	for fingerprint := range node.stored.held {
		if _, known := node.quarantine.Suspect(fingerprint); !known {
			delete(node.stored.held, fingerprint)
			stored = append(stored, store.Suspect{Fingerprint: fingerprint.String(), Deleted: true})
		}
	}
	if len(stored) == 0 {
		return
	}
	err := node.callStore(node.storeCalls.StartWrite("write suspects"), storeTimeout, func(ctx context.Context) error {
		return node.platform.Store.SaveSuspects(ctx, stored)
	})
	if err != nil {
		return
	}
	node.stored.written = version
}

// readSuspects takes what the store has, and says whether it answered.
func (node *Node) readSuspects() bool {
	stored := []store.Suspect{}
	err := node.callStore(node.storeCalls.Start("suspects", 0), storeTimeout, func(ctx context.Context) (err error) {
		stored, err = node.platform.Store.ListSuspects(ctx)
		return err
	})
	if err != nil {
		return false
	}
	now, today := node.now(), time.Now()
	for _, one := range stored {
		suspect, err := suspectFromStore(one, now, today)
		if err != nil {
			node.logger.Warn("gateway: a suspect of the store can't be read.", "Key", one.Fingerprint, "Error", err.Error())
			continue
		}
		node.stored.held[suspect.Fingerprint] = struct{}{}
		if node.quarantine.Take(suspect) {
			node.suspected(suspect.Fingerprint)
		}
	}
	return true
}

func suspectToStore(suspect quarantine.Suspect, now time.Duration, today time.Time) store.Suspect {
	stored := store.Suspect{Fingerprint: suspect.Fingerprint.String()}
	for _, end := range suspect.Ends {
		stored.Ends = append(stored.Ends, store.SuspectFailure{Run: end.Run, At: today.Add(end.At - now)})
	}
	if suspect.LiftedAt > 0 {
		stored.LiftedAt = today.Add(suspect.LiftedAt - now)
	}
	return stored
}

func suspectFromStore(stored store.Suspect, now time.Duration, today time.Time) (quarantine.Suspect, error) {
	fingerprint, err := quarantine.Parse(stored.Fingerprint)
	if err != nil {
		return quarantine.Suspect{}, err
	}
	// Clocks of the day differ by seconds; what seems to lie ahead is now.
	local := func(at time.Time) time.Duration { return now - max(0, today.Sub(at)) }
	suspect := quarantine.Suspect{Fingerprint: fingerprint}
	for _, end := range stored.Ends {
		suspect.Ends = append(suspect.Ends, quarantine.End{Run: end.Run, At: local(end.At)})
	}
	if !stored.LiftedAt.IsZero() {
		suspect.LiftedAt = local(stored.LiftedAt)
	}
	return suspect, nil
}
