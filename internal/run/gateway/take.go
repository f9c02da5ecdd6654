package gateway

import (
	"time"

	"hazelslip/internal/fleet/follower"
	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/fleet/tally"
	"hazelslip/internal/peer/store"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/state/storelog"
	"hazelslip/internal/wire/frame"
)

// take takes a frame that came over a link.
func (peers *peers) take(link *overlay.Link, received *frame.Frame) {
	peers.takeDrains(link, received.Drains)
	peers.node.keeper.Heard(received.HighestTerm)
	peers.heardHolder(received.Holder)
	peers.heardVersion(link, received.ConfigurationVersion)
	if received.ConfigurationAgeMs != nil {
		peers.node.follower.Confirmed(received.ConfigurationVersion, time.Duration(received.GetConfigurationAgeMs())*time.Millisecond)
	}
	switch {
	case core(link):
		peers.takeCore(link, received)
	case link.Opened:
		peers.takeAsLeaf(link, received)
	default:
		peers.takeReport(link, received)
	}
	peers.takeLost(link, received)
	peers.takeSilences(link, received.SilentHeads)
	peers.takeSuspects(link, received.Suspects)
	peers.takePermits(link, received)
	peers.takeNotices(link, received.Notices)
	peers.takePaces(link, received.Paces)
}

// takeLost takes what the other side says of its ways to servers.
func (peers *peers) takeLost(link *overlay.Link, received *frame.Frame) {
	if link.Upstream() {
		return
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	channel := peers.channel(link)
	channel.lost = waysFromWire(received.Lost)
	if received.DetourAddress != "" {
		channel.detour = received.DetourAddress
	}
}

// takeReport takes what a leaf has under way.
func (peers *peers) takeReport(link *overlay.Link, received *frame.Frame) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	channel := peers.channel(link)
	channel.shares, channel.nodes, channel.sequence = sharesOf(received.Loads), int(received.Nodes), received.Sequence
	peers.takeDemandsLocked(channel, received)
}

// takeCore takes what a relay or root knows.
func (peers *peers) takeCore(link *overlay.Link, received *frame.Frame) {
	peers.mu.Lock()
	channel := peers.channel(link)
	returned := channel.storeAway && !received.StoreAway
	channel.fit, channel.storeAway = received.Fit, received.StoreAway
	channel.sequence = received.Sequence
	channel.told.Apply(received.LoadsWhole, sharesOf(received.Loads))
	shares, nodes := channel.told.Shares(), int(received.Nodes)
	if link.Upstream() {
		shares = tally.Less(shares, channel.reports.At(received.Included))
		nodes = max(0, nodes-peers.sumsLocked().insideNodes)
	}
	channel.shares, channel.nodes = shares, nodes
	peers.takeDemandsLocked(channel, received)
	peers.mu.Unlock()
	if returned {
		peers.node.follower.Hint()
	}
	peers.takeListing(channel, received.Listing)
	for _, news := range received.News {
		peers.node.learnNews(newsFromWire(news), link)
	}
}

// takeListing takes records of the list of servers.
func (peers *peers) takeListing(channel *channel, told *frame.Listing) {
	if told == nil {
		return
	}
	now := peers.node.now()
	age := time.Duration(told.AgeMs) * time.Millisecond
	peers.mu.Lock()
	if told.End < 0 {
		age = follower.UnknownAge
	}
	channel.listAge, channel.listAt = age, now
	if !channel.heardList {
		channel.heardList, channel.listFrom = true, endOf(told)
	}
	peers.mu.Unlock()
	if !told.Follows {
		return
	}
	listing := store.Listing{Next: endOf(told), FromPeer: true, RequestedAt: now - age}
	peers.node.follower.HeardEraFromPeer(listing.Next)
	for _, record := range told.Records {
		listing.Records = append(listing.Records, recordFromWire(record))
	}
	peers.node.follower.Take(listing)
}

// takeAsLeaf takes what the node above tells.
func (peers *peers) takeAsLeaf(link *overlay.Link, received *frame.Frame) {
	peers.mu.Lock()
	channel := peers.channel(link)
	lost := []string{}
	changed := false
	if received.Catalogue != nil {
		delta := catalogueFromWire(received.Catalogue)
		channel.copied.Apply(delta)
		changed, lost = true, delta.Lost
	}
	if peers.overlay.Upstream() == link && (changed || peers.rowsFrom != link) {
		peers.takeRowsLocked(channel, endOf(received.Listing))
	}
	channel.nodes = int(received.Nodes) - 1
	channel.storeAway = received.StoreAway
	if received.Listing != nil {
		channel.listAge, channel.listAt = time.Duration(received.Listing.AgeMs)*time.Millisecond, peers.node.now()
	}
	counts := newCounts(channel, received)
	channel.calls = counts.sum()
	peers.takeDemandsLocked(channel, received)
	peers.noteNodes(channel.nodes+1, peers.node.now())
	peers.mu.Unlock()
	if received.Listing != nil {
		peers.node.follower.HeardEraFromPeer(endOf(received.Listing))
	}
	for _, group := range lost {
		peers.node.loseGroup(group)
	}
	peers.node.board.PeerLoadsBy(counts.others)
}

// counts is what all nodes have at the rows of the catalogue, by their numbers.
type counts struct {
	servers       []string
	calls, unread []uint32
	failures      map[int]*frame.Failure
	// own is what of it this node reported.
	own tally.Shares
}

func newCounts(channel *channel, received *frame.Frame) *counts {
	found := &counts{
		servers: channel.copied.Servers(), calls: received.Calls, unread: received.Unread, own: channel.reports.At(received.Included),
	}
	if len(received.Failures) > 0 {
		found.failures = make(map[int]*frame.Failure, len(received.Failures))
		for _, failure := range received.Failures {
			found.failures[int(failure.Number)] = failure
		}
	}
	return found
}

// sum counts the calls of other nodes.
func (counts *counts) sum() int {
	sum := 0
	for _, calls := range counts.calls {
		sum += int(calls)
	}
	for _, share := range counts.own {
		sum -= share.Calls
	}
	return max(0, sum)
}

// others is what other nodes have at a target. One whose row is another's by now has
// nothing: its calls are about to end.
func (counts *counts) others(target *dispatch.Target) dispatch.Share {
	number := target.Number
	if number >= len(counts.calls) || number >= len(counts.unread) || number >= len(counts.servers) || counts.servers[number] != target.ID {
		return dispatch.Share{}
	}
	share := dispatch.Share{Calls: int(counts.calls[number]), Unread: int(counts.unread[number])}
	if failure := counts.failures[number]; failure != nil {
		share.Failed, share.Answered = int(failure.Failed), int(failure.Answered)
	}
	if own, known := counts.own[target.ID]; known {
		share = share.Minus(own)
	}
	return share
}

// staleRows is for how long rows by an older list of servers are not taken. A relay
// that was cut off may be behind the one that a leaf was attached to before: servers
// that had begun to leave would be sent calls once more.
const staleRows = 3 * time.Second

// takeRowsLocked puts the rows in force that the node above told, which it worked
// out from the list up to a position.
func (peers *peers) takeRowsLocked(channel *channel, end storelog.Position) {
	now := peers.node.now()
	if storelog.Compare(end, peers.rowsEnd) < 0 && now-peers.rowsAt < staleRows {
		return
	}
	rows := channel.copied.Rows()
	peers.rows.Store(&rows)
	peers.rowsFrom, peers.rowsEnd, peers.rowsAt = channel.link, end, now
	peers.node.changed()
}

// spreadEvery is how often a relay or root takes what others have into account in
// its own choices.
const spreadEvery = 50 * time.Millisecond

// spread tells the board what other nodes have, where no frame from above does.
func (peers *peers) spread() {
	if peers.fed() {
		return
	}
	peers.mu.Lock()
	others := peers.sumsLocked().others
	peers.mu.Unlock()
	peers.node.board.PeerLoads(others)
	peers.spreadDemands()
}

// tell queues something for all links that match but the one that it came over,
// and sends it.
func (peers *peers) tell(from *overlay.Link, match func(link *overlay.Link) bool, add func(channel *channel)) {
	told := map[*overlay.Link]bool{}
	peers.mu.Lock()
	for link, channel := range peers.channels {
		if link != from && match(link) {
			add(channel)
			told[link] = true
		}
	}
	peers.mu.Unlock()
	peers.overlay.Poke(func(link *overlay.Link) bool { return told[link] })
}

// tellNews passes news of a group on to the relays and roots.
func (peers *peers) tellNews(news formation.News, from *overlay.Link) {
	encoded := newsToWire(news)
	peers.tell(from, core, func(channel *channel) { channel.news = append(channel.news, encoded) })
}

// tellVersion makes a new configuration known at once.
func (peers *peers) tellVersion() {
	peers.overlay.Poke(func(link *overlay.Link) bool { return !link.Opened || core(link) })
}

// tellLeaves sends what changed in the catalogue.
func (peers *peers) tellLeaves() {
	peers.overlay.Poke(func(link *overlay.Link) bool { return !core(link) && !link.Opened })
}

// tellSilence passes a silent group on, to whoever gives orders.
func (peers *peers) tellSilence(silent *frame.SilentHead, from *overlay.Link) {
	upwards := func(link *overlay.Link) bool { return core(link) || link.Opened }
	peers.tell(from, upwards, func(channel *channel) { channel.silences = append(channel.silences, silent) })
}

// takeSilences takes silent groups that others tell of.
func (peers *peers) takeSilences(link *overlay.Link, silent []*frame.SilentHead) {
	for _, found := range silent {
		peers.node.former.Suspect(found.Server, found.Group)
		if peers.freshSilence(found.Group) {
			peers.tellSilence(found, link)
		}
	}
}

const (
	// silentAgain is how often one group's silence is told.
	silentAgain = 300 * time.Millisecond
	// toldKept is how long it is remembered when a group's silence was last told.
	// Names of groups are not used again.
	toldKept = time.Minute
)

// freshSilence says whether a group's silence is to be told, and notes that it is.
func (peers *peers) freshSilence(group string) bool {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	now := peers.node.now()
	at, known := peers.silent[group]
	if known && now-at < silentAgain {
		return false
	}
	for other, told := range peers.silent {
		if now-told > toldKept {
			delete(peers.silent, other)
		}
	}
	peers.silent[group] = now
	return true
}

// endOf is the position up to which the sender knows the registry.
func endOf(told *frame.Listing) storelog.Position {
	return storelog.Position{Era: told.GetEra(), Offset: told.GetEnd()}
}

func recordToWire(record *roster.Record) *frame.ServerRecord {
	told := &frame.ServerRecord{ID: record.ID, Position: record.Position.Offset, Era: record.Position.Era, Copied: record.Copied}
	if server := record.Server; server != nil {
		told.Server = serverToWire(server)
	}
	return told
}

func recordFromWire(told *frame.ServerRecord) roster.Record {
	record := roster.Record{ID: told.ID, Position: storelog.Position{Era: told.Era, Offset: told.Position}, Copied: told.Copied}
	if told.Server != nil {
		record.Server = serverFromWire(told.ID, told.Server)
	}
	return record
}
