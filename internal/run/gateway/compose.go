package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/fleet/catalogue"
	"hazelslip/internal/fleet/follower"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/fleet/roster"
	"hazelslip/internal/fleet/serverload"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/state/storelog"
	"hazelslip/internal/wire/frame"
)

// composeFrame encodes the next frame for a link. Between a leaf and its relay, an optional frame with no new
// information is omitted: nil is returned. A leaf has nothing to report unless a call begins or ends.
func (peers *peers) composeFrame(link *overlay.Link, optional bool) []byte {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	state := peers.linkStateLocked(link)
	switch {
	case isBackbone(link):
		return peers.encodeFrame(peers.backboneFrame(state))
	case link.Opened:
		if report := peers.reportFrame(state, optional); report != nil {
			return peers.encodeFrame(report)
		}
		return nil
	}
	return peers.composeLeafFrame(state, optional)
}

func (peers *peers) encodeFrame(message *frame.Frame) []byte {
	body, err := proto.Marshal(message)
	if err != nil {
		peers.node.logger.Error("gateway: a frame could not be encoded.", "Error", err.Error())
		return nil
	}
	return body
}

// totalsLocked adds up the load and the node counts of the fleet, and caches the result for totalsTTL.
func (peers *peers) totalsLocked() *fleetTotals {
	now := peers.node.now()
	if peers.totals != nil && now-peers.totals.computedAt < totalsTTL {
		return peers.totals
	}
	own := peers.node.board.OwnLoads()
	subtree, others := serverload.ServerLoads{}, serverload.ServerLoads{}
	subtreeNodes, otherNodes := 1, 0
	for link, state := range peers.linkStates {
		serverload.Add(others, state.loads)
		if isDownstream(link) {
			serverload.Add(subtree, state.loads)
			subtreeNodes += state.nodes
		} else {
			otherNodes += state.nodes
		}
	}
	serverload.Add(subtree, own)
	peers.totals = &fleetTotals{computedAt: now, own: own, subtree: subtree, others: others, subtreeNodes: subtreeNodes, fleetNodes: subtreeNodes + otherNodes, demands: peers.demandTotalsLocked()}
	peers.observeNodeCount(peers.totals.fleetNodes, now)
	return peers.totals
}

// backboneFrame returns the frame for a relay or a root: everything that this node knows and the other side
// may lack.
func (peers *peers) backboneFrame(state *linkState) *frame.Frame {
	node, link := peers.node, state.link
	totals, drains := peers.totalsLocked(), peers.node.drains.Update()
	message := &frame.Frame{
		HighestTerm: node.elector.Highest(), ConfigurationVersion: node.configuration.Load().Configuration.Version,
		ConfigurationAgeMs: proto.Uint32(cappedMilliseconds(node.follower.ConfigurationAge())),
		Fit:                peers.synced(), StoreAway: node.storeCalls.Unavailable(), News: state.pendingAnnouncements, SilentHeads: state.pendingStalls,
		Listing: peers.listingFor(state), Suspects: peers.nextSuspects(state), Notices: peers.nextNotices(state),
		Drains: drainsToWire(drains.Records), DrainLog: drainLogToWire(&drains, node.now()),
	}
	state.pendingAnnouncements, state.pendingStalls = nil, nil
	message.Lost = pathsToWire(peers.lostPathsFor(link))
	peers.addPermits(message, state)
	peers.addPaces(message, state)
	if leader := peers.leader; leader.term != 0 {
		message.Holder = &frame.Holder{Term: leader.term, Beat: leader.heartbeat, Released: leader.released}
	}
	peers.addRetryCounts(message, state)
	if !isDownstream(link) {
		message.Sequence = state.reports.Add(totals.subtree)
		message.Nodes = uint32(totals.subtreeNodes)
		peers.addLoads(message, state, totals.subtree)
		peers.addDemands(message, state, &totals.demands)
		return message
	}
	fleet := serverload.ServerLoads{}
	serverload.Add(fleet, totals.others)
	serverload.Add(fleet, totals.own)
	message.Included = state.sequence
	message.Nodes = uint32(totals.fleetNodes)
	peers.addLoads(message, state, fleet)
	peers.addDemands(message, state, &totals.demands)
	return message
}

// addLoads adds the changes of a load total since the last frame on the link.
func (peers *peers) addLoads(message *frame.Frame, state *linkState, total serverload.ServerLoads) {
	changes, complete := state.sentLoads.Next(total)
	message.Loads, message.LoadsWhole = loadsToWire(changes), complete
}

// reportFrame returns a leaf's report to its upstream node, or nil if the frame is optional and nothing has
// changed.
func (peers *peers) reportFrame(state *linkState, optional bool) *frame.Frame {
	own := peers.node.board.OwnLoads()
	version := peers.node.configuration.Load().Configuration.Version
	unchanged := version == state.sentConfigurationVersion && maps.Equal(own, state.reportedLoads)
	message := &frame.Frame{}
	permits := peers.addPermits(message, state)
	paces := peers.addPaces(message, state)
	demands := peers.node.demand.Local()
	lost := peers.lostPathsFor(state.link)
	unchanged = unchanged && slices.Equal(lost, state.sentLostPaths)
	pending := len(state.pendingStalls)+len(state.pendingSuspects)+len(state.pendingNotices) > 0 || demands.DiffersFrom(state.demands.lastReport) || peers.node.retries.Granted() != state.retries.grantedSent
	if optional && unchanged && !permits && !paces && !pending {
		return nil
	}
	state.reportedLoads, state.sentConfigurationVersion = own, version
	message.Sequence, message.Nodes, message.Loads, message.SilentHeads = state.reports.Add(own), 1, loadsToWire(own), state.pendingStalls
	message.ConfigurationVersion, message.Suspects, message.Notices = version, peers.nextSuspects(state), peers.nextNotices(state)
	state.pendingStalls = nil
	message.Lost, state.sentLostPaths = pathsToWire(lost), lost
	if !state.detourAddressSent {
		state.detourAddressSent, message.DetourAddress = true, peers.node.settings.Listen.Detour
	}
	peers.addLeafDemands(message, state, demands)
	peers.addRetryCounts(message, state)
	return message
}

// composeLeafFrame encodes the frame that a relay sends to a leaf: the changes of the catalogue, and the load
// of all nodes by catalogue row. That part is encoded once for all leaves with the same catalogue version.
// The part that differs per leaf is appended to it: the sequence number of the leaf's last report that the
// load includes, and the suspects, notices, permits and paces that the leaf lacks. The result is nil if the
// frame is optional and nothing has changed.
func (peers *peers) composeLeafFrame(state *linkState, optional bool) []byte {
	now := peers.node.now()
	shared := peers.leafFrameCache
	if shared == nil || shared.fromVersion != state.catalogueSentVersion || now-shared.encodedAt >= leafFrameTTL || peers.catalogue.Version() != shared.toVersion {
		shared = peers.encodeLeafFrame(state.catalogueSentVersion, now)
		peers.leafFrameCache = shared
	}
	message := &frame.Frame{}
	permits := peers.addPermits(message, state)
	paces := peers.addPaces(message, state)
	if optional && shared.fromVersion == shared.toVersion && shared.contentHash == state.sentLeafHash && !permits && !paces && len(state.pendingSuspects)+len(state.pendingNotices) == 0 {
		return nil
	}
	state.catalogueSentVersion, state.sentLeafHash = shared.toVersion, shared.contentHash
	peers.addPastRetryCounts(message, state)
	message.Included, message.Suspects, message.Notices = state.sequence, peers.nextSuspects(state), peers.nextNotices(state)
	ownPart := peers.encodeFrame(message)
	return append(append(make([]byte, 0, len(shared.body)+2*len(ownPart)), shared.body...), ownPart...)
}

// encodeLeafFrame encodes the part of a frame that all leaves with the given catalogue version share.
func (peers *peers) encodeLeafFrame(from uint64, now time.Duration) *encodedLeafFrame {
	node, totals, drains := peers.node, peers.totalsLocked(), peers.node.drains.Update()
	delta := peers.catalogue.Since(from)
	message := &frame.Frame{
		HighestTerm: node.elector.Highest(), ConfigurationVersion: node.configuration.Load().Configuration.Version,
		Nodes: uint32(totals.fleetNodes), Fit: peers.synced(), StoreAway: node.storeCalls.Unavailable(),
		Drains: drainsToWire(drains.Records),
	}
	if !delta.Empty() {
		message.Catalogue = catalogueToWire(delta)
	}
	for number, server := range peers.catalogue.Servers() {
		load := totals.own[server].Plus(totals.others[server])
		message.Calls = append(message.Calls, uint32(load.Calls))
		message.Unread = append(message.Unread, uint32(load.PendingPromptTokens))
		if load.Failed >= dispatch.MinReportedFailures {
			message.Failures = append(message.Failures, &frame.Failure{Number: uint32(number), Failed: uint32(load.Failed), Answered: uint32(load.Answered)})
		}
	}
	body := peers.encodeFrame(message)
	demands, demandRevision := peers.demandsForLeaves(&totals.demands)
	// The ages of the server list, the configuration and the drains, and the demand, change all the time. The
	// content hash doesn't cover them, so that they don't force a frame.
	retryTotals, retryCoverage := peers.retryTotalsToWire(true)
	volatile := &frame.Frame{
		Listing: listingPosition(node.servers.Load().End, node.follower.ListAge()), ConfigurationAgeMs: proto.Uint32(cappedMilliseconds(node.follower.ConfigurationAge())),
		Demands: demands, RetryTotals: retryTotals, RetryCoverage: retryCoverage, DrainLog: drainLogToWire(&drains, now),
	}
	peers.addMostNodes(volatile)
	return &encodedLeafFrame{fromVersion: from, toVersion: delta.Version, encodedAt: now, contentHash: xxhash.Sum64(body) ^ demandRevision, body: append(body, peers.encodeFrame(volatile)...)}
}

func catalogueToWire(delta catalogue.Delta) *frame.Catalogue {
	encoded := &frame.Catalogue{Whole: delta.Full, Lost: delta.Lost}
	for _, number := range delta.Removed {
		encoded.Removed = append(encoded.Removed, uint32(number))
	}
	for _, indexedRow := range delta.Rows {
		row := &indexedRow.Row
		encoded.Rows = append(encoded.Rows, &frame.Row{
			Number: uint32(indexedRow.Index), Server: row.Server, Born: row.Born, Address: row.Address, DataCentre: row.DataCentre,
			Group: row.Group, Service: row.Service, Model: row.Model, Slots: uint32(row.Slots), Cold: row.Cold,
		})
	}
	return encoded
}

func catalogueFromWire(encoded *frame.Catalogue) catalogue.Delta {
	delta := catalogue.Delta{Full: encoded.Whole, Lost: encoded.Lost}
	for _, number := range encoded.Removed {
		delta.Removed = append(delta.Removed, int(number))
	}
	for _, row := range encoded.Rows {
		delta.Rows = append(delta.Rows, catalogue.IndexedRow{Index: int(row.Number), Row: catalogue.Row{
			Server: row.Server, Born: row.Born, Address: row.Address, DataCentre: row.DataCentre,
			Group: row.Group, Service: row.Service, Model: row.Model, Slots: int(row.Slots), Cold: row.Cold,
		}})
	}
	return delta
}

// listingFor returns how current this node's server list is, with the records that the other side lacks if
// this node is responsible for sending them. A relay receives records from its upstream node, other nodes
// from the node that reads the registry.
func (peers *peers) listingFor(state *linkState) *frame.Listing {
	servers := peers.node.servers.Load()
	if !servers.Known() {
		return &frame.Listing{End: -1}
	}
	age := peers.node.follower.ListAge()
	listing := listingPosition(servers.End, age)
	remoteAge := state.listAge + peers.node.now() - state.listAgeAt
	reader := peers.node.follower.ReadsList()
	// While the store is unavailable no node reads the list, so a restarted root receives it from other
	// nodes.
	unknownToRemote := state.listAge >= follower.UnknownAge && peers.node.storeCalls.Unavailable()
	if !state.listReceived || (!isDownstream(state.link) && !unknownToRemote && (!reader || remoteAge < age+follower.ListCheckInterval)) {
		return listing
	}
	var update roster.Update
	update, state.listKnown = peers.node.servers.UpdateFor(state.listKnown)
	listing = listingPosition(update.End, peers.node.now()-update.ReadAt)
	listing.Follows, listing.Complete = true, update.Complete
	for index := range update.Records {
		listing.Records = append(listing.Records, recordToWire(&update.Records[index]))
	}
	return listing
}

// listingPosition returns up to which position and with which age the registry is known, without records.
func listingPosition(end storelog.Position, age time.Duration) *frame.Listing {
	return &frame.Listing{End: end.Offset, Era: end.Era, AgeMs: cappedMilliseconds(age)}
}

// cappedMilliseconds encodes an age for the wire, limited to follower.UnknownAge.
func cappedMilliseconds(span time.Duration) uint32 {
	return uint32(min(follower.UnknownAge, max(0, span)).Milliseconds())
}

// loadsToWire encodes the load per server.
func loadsToWire(loads serverload.ServerLoads) []*frame.Load {
	encoded := make([]*frame.Load, 0, len(loads))
	for server, load := range loads {
		encoded = append(encoded, &frame.Load{
			Server: server, Calls: uint32(max(0, load.Calls)), Unread: uint32(max(0, load.PendingPromptTokens)),
			Failed: uint32(max(0, load.Failed)), Answered: uint32(max(0, load.Answered)),
		})
	}
	return encoded
}

func loadsFromWire(encoded []*frame.Load) serverload.ServerLoads {
	loads := make(serverload.ServerLoads, len(encoded))
	for _, server := range encoded {
		loads[server.Server] = dispatch.ServerLoad{Calls: int(server.Calls), PendingPromptTokens: int(server.Unread), Failed: int(server.Failed), Answered: int(server.Answered)}
	}
	return loads
}
