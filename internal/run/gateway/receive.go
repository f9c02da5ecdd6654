package gateway

import (
	"time"

	"hazelslip/internal/fleet/follower"
	"hazelslip/internal/fleet/formation"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/fleet/serverload"
	"hazelslip/internal/peer/store"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/state/storelog"
	"hazelslip/internal/wire/frame"
)

// handleFrame applies a frame received over a link.
func (peers *peers) handleFrame(link *overlay.Link, received *frame.Frame) {
	peers.handleDrains(link, received)
	peers.node.elector.Observe(received.HighestTerm)
	peers.handleLeader(received.Holder)
	peers.fetchIfNewer(link, received.ConfigurationVersion)
	if received.ConfigurationAgeMs != nil {
		peers.node.follower.ConfirmVersion(received.ConfigurationVersion, time.Duration(received.GetConfigurationAgeMs())*time.Millisecond)
	}
	switch {
	case isBackbone(link):
		peers.handleBackboneFrame(link, received)
	case link.Opened:
		peers.handleLeafFrame(link, received)
	default:
		peers.handleLeafReport(link, received)
	}
	peers.nodeCounter.observeEarlier(int(received.MostNodes), time.Duration(received.MostNodesAgeMs)*time.Millisecond, peers.node.now())
	peers.handleRetryCounts(link, received)
	peers.handleLostPaths(link, received)
	peers.handleStalls(link, received.SilentHeads)
	peers.handleSuspects(link, received.Suspects)
	peers.handlePermits(link, received)
	peers.handleNotices(link, received.Notices)
	peers.handlePaces(link, received.Paces)
}

// handleLostPaths stores the lost paths and the detour address that the other side reports.
func (peers *peers) handleLostPaths(link *overlay.Link, received *frame.Frame) {
	if link.Upstream() {
		return
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	state := peers.linkStateLocked(link)
	state.lostPaths = pathsFromWire(received.Lost)
	if received.DetourAddress != "" {
		state.detourAddress = received.DetourAddress
	}
}

// handleLeafReport stores the load and the demand that a leaf reports.
func (peers *peers) handleLeafReport(link *overlay.Link, received *frame.Frame) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	state := peers.linkStateLocked(link)
	state.loads, state.nodes, state.sequence = loadsFromWire(received.Loads), int(received.Nodes), received.Sequence
	peers.applyDemandsLocked(state, received)
}

// handleBackboneFrame applies the state that a relay or a root sends.
func (peers *peers) handleBackboneFrame(link *overlay.Link, received *frame.Frame) {
	peers.mu.Lock()
	state := peers.linkStateLocked(link)
	storeRecovered := state.storeUnavailable && !received.StoreAway
	state.synced, state.storeUnavailable = received.Fit, received.StoreAway
	state.sequence = received.Sequence
	state.receivedLoads.Apply(received.LoadsWhole, loadsFromWire(received.Loads))
	loads, nodes := state.receivedLoads.Loads(), int(received.Nodes)
	if link.Upstream() {
		loads = serverload.Subtract(loads, state.reports.Find(received.Included))
		nodes = max(0, nodes-peers.totalsLocked().subtreeNodes)
	}
	state.loads, state.nodes = loads, nodes
	peers.applyDemandsLocked(state, received)
	peers.mu.Unlock()
	if storeRecovered {
		peers.node.follower.HintStoreAvailable()
	}
	peers.handleListing(state, received.Listing)
	for _, announcement := range received.News {
		peers.node.applyAnnouncement(announcementFromWire(announcement), link)
	}
}

// handleListing applies the age, the position and the records of the server list that another node sends.
func (peers *peers) handleListing(state *linkState, received *frame.Listing) {
	if received == nil {
		return
	}
	now := peers.node.now()
	age := time.Duration(received.AgeMs) * time.Millisecond
	peers.mu.Lock()
	if received.End < 0 {
		age = follower.UnknownAge
	}
	state.listAge, state.listAgeAt = age, now
	if !state.listReceived {
		state.listReceived, state.listKnown = true, roster.Known{End: listEnd(received)}
	}
	peers.mu.Unlock()
	if !received.Follows {
		return
	}
	listing := store.Listing{Next: listEnd(received), Complete: received.Complete, Peer: state.link.Remote.Address, RequestedAt: now - age}
	peers.node.follower.ObservePeerEra(listing.Next)
	for _, record := range received.Records {
		listing.Records = append(listing.Records, recordFromWire(record))
	}
	peers.node.follower.ApplyListing(listing)
}

// handleLeafFrame applies the state that the upstream node sends to this leaf.
func (peers *peers) handleLeafFrame(link *overlay.Link, received *frame.Frame) {
	peers.mu.Lock()
	state := peers.linkStateLocked(link)
	lostGroups := []string{}
	changed := false
	if received.Catalogue != nil {
		delta := catalogueFromWire(received.Catalogue)
		state.catalogueReplica.Apply(delta)
		changed, lostGroups = true, delta.Lost
	}
	if peers.overlay.Upstream() == link && (changed || peers.rowsLink != link) {
		peers.installRowsLocked(state, listEnd(received.Listing))
	}
	state.nodes = int(received.Nodes) - 1
	state.storeUnavailable = received.StoreAway
	if received.Listing != nil {
		state.listAge, state.listAgeAt = time.Duration(received.Listing.AgeMs)*time.Millisecond, peers.node.now()
	}
	loads := newRowLoads(state, received)
	state.otherCalls = loads.otherCalls()
	peers.applyDemandsLocked(state, received)
	peers.observeNodeCount(state.nodes+1, peers.node.now())
	peers.mu.Unlock()
	if received.Listing != nil {
		peers.node.follower.ObservePeerEra(listEnd(received.Listing))
	}
	for _, group := range lostGroups {
		peers.node.handleLostGroup(group)
	}
	peers.node.board.SetPeerLoadsFunc(loads.otherLoad)
}

// rowLoads is the load of all nodes per catalogue row, by row number.
type rowLoads struct {
	servers                    []string
	calls, pendingPromptTokens []uint32
	failures                   map[int]*frame.Failure
	// own is the part of the load that this node reported.
	own serverload.ServerLoads
}

func newRowLoads(state *linkState, received *frame.Frame) *rowLoads {
	loads := &rowLoads{
		servers: state.catalogueReplica.Servers(), calls: received.Calls, pendingPromptTokens: received.Unread, own: state.reports.Find(received.Included),
	}
	if len(received.Failures) > 0 {
		loads.failures = make(map[int]*frame.Failure, len(received.Failures))
		for _, failure := range received.Failures {
			loads.failures[int(failure.Number)] = failure
		}
	}
	return loads
}

// otherCalls returns the number of calls of the other nodes.
func (rowLoads *rowLoads) otherCalls() int {
	total := 0
	for _, calls := range rowLoads.calls {
		total += int(calls)
	}
	for _, load := range rowLoads.own {
		total -= load.Calls
	}
	return max(0, total)
}

// otherLoad returns the load of the other nodes at a target. It is empty if the target's row number has been
// reassigned to another server, since the calls at the target are about to end.
func (rowLoads *rowLoads) otherLoad(target *dispatch.Target) dispatch.ServerLoad {
	number := target.CatalogueIndex
	if number >= len(rowLoads.calls) || number >= len(rowLoads.pendingPromptTokens) || number >= len(rowLoads.servers) || rowLoads.servers[number] != target.ID {
		return dispatch.ServerLoad{}
	}
	load := dispatch.ServerLoad{Calls: int(rowLoads.calls[number]), PendingPromptTokens: int(rowLoads.pendingPromptTokens[number])}
	if failure := rowLoads.failures[number]; failure != nil {
		load.Failed, load.Answered = int(failure.Failed), int(failure.Answered)
	}
	if own, known := rowLoads.own[target.ID]; known {
		load = load.Minus(own)
	}
	return load
}

// staleRowsWindow is how long rows based on an older server list are ignored. A relay that was cut off may
// lag behind the relay that the leaf was attached to before, and its rows would direct calls to servers that
// have begun to leave.
const staleRowsWindow = 3 * time.Second

// installRowsLocked puts the rows received from the upstream node in force. The upstream node derived them
// from the server list up to the position end.
func (peers *peers) installRowsLocked(state *linkState, end storelog.Position) {
	now := peers.node.now()
	if storelog.Compare(end, peers.rowsListEnd) < 0 && now-peers.rowsReceivedAt < staleRowsWindow {
		return
	}
	rows := state.catalogueReplica.Rows()
	peers.rows.Store(&rows)
	peers.rowsLink, peers.rowsListEnd, peers.rowsReceivedAt = state.link, end, now
	peers.node.requestTargetUpdate()
}

// peerLoadInterval is how often a relay or a root passes the load of other nodes to its own dispatch.
const peerLoadInterval = 50 * time.Millisecond

// applyPeerLoads passes the load and the demand of other nodes to the dispatch board, unless the upstream
// node's frames do so.
func (peers *peers) applyPeerLoads() {
	if peers.fedByUpstream() {
		return
	}
	peers.mu.Lock()
	others := peers.totalsLocked().others
	peers.mu.Unlock()
	peers.node.board.SetPeerLoads(others)
	peers.applyOtherDemands()
}

// queueAndSend queues an item for all matching links except the one that it came over, and sends it
// immediately.
func (peers *peers) queueAndSend(from *overlay.Link, match func(link *overlay.Link) bool, add func(state *linkState)) {
	queued := map[*overlay.Link]bool{}
	peers.mu.Lock()
	for link, state := range peers.linkStates {
		if link != from && match(link) {
			add(state)
			queued[link] = true
		}
	}
	peers.mu.Unlock()
	peers.overlay.SendNow(func(link *overlay.Link) bool { return queued[link] })
}

// broadcastAnnouncement sends the announcement of a group change to the relays and roots.
func (peers *peers) broadcastAnnouncement(announcement formation.Announcement, from *overlay.Link) {
	encoded := announcementToWire(announcement)
	peers.queueAndSend(from, isBackbone, func(state *linkState) { state.pendingAnnouncements = append(state.pendingAnnouncements, encoded) })
}

// broadcastVersion announces a new configuration version immediately.
func (peers *peers) broadcastVersion() {
	peers.overlay.SendNow(func(link *overlay.Link) bool { return !link.Opened || isBackbone(link) })
}

// sendCatalogue sends catalogue changes to the leaves immediately.
func (peers *peers) sendCatalogue() {
	peers.overlay.SendNow(func(link *overlay.Link) bool { return !isBackbone(link) && !link.Opened })
}

// broadcastStall reports a stalled group to the upstream node, or to the relays and roots, so that the leader
// hears of it.
func (peers *peers) broadcastStall(stall *frame.SilentHead, from *overlay.Link) {
	towardsRoot := func(link *overlay.Link) bool { return isBackbone(link) || link.Opened }
	peers.queueAndSend(from, towardsRoot, func(state *linkState) { state.pendingStalls = append(state.pendingStalls, stall) })
}

// handleStalls applies and forwards the stalled groups that other nodes report.
func (peers *peers) handleStalls(link *overlay.Link, received []*frame.SilentHead) {
	for _, stall := range received {
		peers.node.groupController.Suspect(stall.Server, stall.Group)
		if peers.stallReportDue(stall.Group) {
			peers.broadcastStall(stall, link)
		}
	}
}

const (
	// stallReportInterval is the minimum interval between reports of the same stalled group.
	stallReportInterval = 300 * time.Millisecond
	// stallReportRetention is how long the time of the last report is kept. Group names are never reused.
	stallReportRetention = time.Minute
)

// stallReportDue reports whether the stall of a group is to be reported now, and records the report if so.
func (peers *peers) stallReportDue(group string) bool {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	now := peers.node.now()
	lastReport, known := peers.stallReportedAt[group]
	if known && now-lastReport < stallReportInterval {
		return false
	}
	for other, reportedAt := range peers.stallReportedAt {
		if now-reportedAt > stallReportRetention {
			delete(peers.stallReportedAt, other)
		}
	}
	peers.stallReportedAt[group] = now
	return true
}

// listEnd returns the position up to which the sender knows the registry.
func listEnd(listing *frame.Listing) storelog.Position {
	return storelog.Position{Era: listing.GetEra(), Offset: listing.GetEnd()}
}

func recordToWire(record *roster.Record) *frame.ServerRecord {
	encoded := &frame.ServerRecord{ID: record.ID, Position: record.Position.Offset, Era: record.Position.Era, Copied: record.FromBackup}
	if server := record.Server; server != nil {
		encoded.Server = serverToWire(server)
	}
	return encoded
}

func recordFromWire(encoded *frame.ServerRecord) roster.Record {
	record := roster.Record{ID: encoded.ID, Position: storelog.Position{Era: encoded.Era, Offset: encoded.Position}, FromBackup: encoded.Copied}
	if encoded.Server != nil {
		record.Server = serverFromWire(encoded.ID, encoded.Server)
	}
	return record
}
