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
	"hazelslip/internal/fleet/tally"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/state/storelog"
	"hazelslip/internal/wire/frame"
)

// compose makes the next frame for a link. A leaf and its relay leave out what would say
// nothing new: between two calls that begin or end a leaf has nothing to report.
func (peers *peers) compose(link *overlay.Link, optional bool) []byte {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	channel := peers.channel(link)
	switch {
	case core(link):
		return peers.encode(peers.coreFrame(channel))
	case link.Opened:
		if told := peers.reportFrame(channel, optional); told != nil {
			return peers.encode(told)
		}
		return nil
	}
	return peers.leafFrame(channel, optional)
}

func (peers *peers) encode(told *frame.Frame) []byte {
	body, err := proto.Marshal(told)
	if err != nil {
		peers.node.logger.Error("gateway: a frame can't be encoded.", "Error", err.Error())
		return nil
	}
	return body
}

// sumsLocked adds up what nodes have under way.
func (peers *peers) sumsLocked() *sums {
	now := peers.node.now()
	if peers.sums != nil && now-peers.sums.at < sumsKept {
		return peers.sums
	}
	own := peers.node.board.Shares()
	inside, others := tally.Shares{}, tally.Shares{}
	insideNodes, outsideNodes := 1, 0
	for link, channel := range peers.channels {
		tally.Add(others, channel.shares)
		if downstream(link) {
			tally.Add(inside, channel.shares)
			insideNodes += channel.nodes
		} else {
			outsideNodes += channel.nodes
		}
	}
	tally.Add(inside, own)
	peers.sums = &sums{at: now, own: own, inside: inside, others: others, insideNodes: insideNodes, nodes: insideNodes + outsideNodes, demands: peers.demandSumsLocked()}
	peers.noteNodes(peers.sums.nodes, now)
	return peers.sums
}

// coreFrame is what a relay or root is told: all that this node knows, as far as
// it lacks it.
func (peers *peers) coreFrame(channel *channel) *frame.Frame {
	node, link := peers.node, channel.link
	added := peers.sumsLocked()
	told := &frame.Frame{
		HighestTerm: node.keeper.Highest(), ConfigurationVersion: node.configuration.Load().Configuration.Version,
		ConfigurationAgeMs: proto.Uint32(milliseconds(node.follower.ConfigurationAge())),
		Fit:                peers.fit(), StoreAway: node.storeCalls.Unavailable(), News: channel.news, SilentHeads: channel.silences,
		Listing: peers.listing(channel), Suspects: peers.suspectsFor(channel), Notices: peers.noticesFor(channel),
		Drains: drainsToWire(node.drained.Records()),
	}
	channel.news, channel.silences = nil, nil
	told.Lost = waysToWire(peers.lostFor(link))
	peers.addPermits(told, channel)
	peers.addPaces(told, channel)
	if held := peers.holder; held.term != 0 {
		told.Holder = &frame.Holder{Term: held.term, Beat: held.beat, Released: held.released}
	}
	if !downstream(link) {
		told.Sequence = channel.reports.Add(added.inside)
		told.Nodes = uint32(added.insideNodes)
		peers.addLoads(told, channel, added.inside)
		peers.addDemands(told, channel, &added.demands)
		return told
	}
	everywhere := tally.Shares{}
	tally.Add(everywhere, added.others)
	tally.Add(everywhere, added.own)
	told.Included = channel.sequence
	told.Nodes = uint32(added.nodes)
	peers.addLoads(told, channel, everywhere)
	peers.addDemands(told, channel, &added.demands)
	return told
}

// addLoads tells what changed in a sum since the last frame over the link.
func (peers *peers) addLoads(told *frame.Frame, channel *channel, sum tally.Shares) {
	changes, whole := channel.telling.Next(sum)
	told.Loads, told.LoadsWhole = loadsOf(changes), whole
}

// reportFrame is what a leaf tells the node above, nil if it is optional and says nothing
// new.
func (peers *peers) reportFrame(channel *channel, optional bool) *frame.Frame {
	own := peers.node.board.Shares()
	version := peers.node.configuration.Load().Configuration.Version
	same := version == channel.reportedVersion && maps.Equal(own, channel.reported)
	told := &frame.Frame{}
	permits := peers.addPermits(told, channel)
	paces := peers.addPaces(told, channel)
	asked := peers.node.demand.Own()
	lost := peers.lostFor(channel.link)
	same = same && slices.Equal(lost, channel.toldLost)
	news := len(channel.silences)+len(channel.suspects)+len(channel.notices) > 0 || asked.News(channel.demands.reported)
	if optional && same && !permits && !paces && !news {
		return nil
	}
	channel.reported, channel.reportedVersion = own, version
	told.Sequence, told.Nodes, told.Loads, told.SilentHeads = channel.reports.Add(own), 1, loadsOf(own), channel.silences
	told.ConfigurationVersion, told.Suspects, told.Notices = version, peers.suspectsFor(channel), peers.noticesFor(channel)
	channel.silences = nil
	told.Lost, channel.toldLost = waysToWire(lost), lost
	if !channel.toldDetour {
		channel.toldDetour, told.DetourAddress = true, peers.node.settings.Listen.Detour
	}
	peers.reportDemands(told, channel, asked)
	return told
}

// leafFrame is what a leaf is told: what changed in the catalogue, and what all
// nodes have at its rows. It is the same for all that know the same version; only
// the number of the leaf's report that it includes differs, and suspects that it lacks.
// They stand behind the rest. It is nil if it is optional and says nothing new.
func (peers *peers) leafFrame(channel *channel, optional bool) []byte {
	now := peers.node.now()
	held := peers.encoded
	if held == nil || held.from != channel.catalogueSent || now-held.at >= leafFrameKept || peers.catalogue.Version() != held.to {
		held = peers.encodeLeafFrame(channel.catalogueSent, now)
		peers.encoded = held
	}
	told := &frame.Frame{}
	permits := peers.addPermits(told, channel)
	paces := peers.addPaces(told, channel)
	if optional && held.from == held.to && held.news == channel.leafNews && !permits && !paces && len(channel.suspects)+len(channel.notices) == 0 {
		return nil
	}
	channel.catalogueSent, channel.leafNews = held.to, held.news
	told.Included, told.Suspects, told.Notices = channel.sequence, peers.suspectsFor(channel), peers.noticesFor(channel)
	included := peers.encode(told)
	return append(append(make([]byte, 0, len(held.body)+2*len(included)), held.body...), included...)
}

func (peers *peers) encodeLeafFrame(from uint64, now time.Duration) *leafFrame {
	node, added := peers.node, peers.sumsLocked()
	delta := peers.catalogue.Since(from)
	told := &frame.Frame{
		HighestTerm: node.keeper.Highest(), ConfigurationVersion: node.configuration.Load().Configuration.Version,
		Nodes: uint32(added.nodes), Fit: peers.fit(), StoreAway: node.storeCalls.Unavailable(),
		Drains: drainsToWire(node.drained.Records()),
	}
	if !delta.Empty() {
		told.Catalogue = catalogueToWire(delta)
	}
	for number, server := range peers.catalogue.Servers() {
		share := added.own[server].Plus(added.others[server])
		told.Calls = append(told.Calls, uint32(share.Calls))
		told.Unread = append(told.Unread, uint32(share.Unread))
		if share.Failed >= dispatch.WorthTelling {
			told.Failures = append(told.Failures, &frame.Failure{Number: uint32(number), Failed: uint32(share.Failed), Answered: uint32(share.Answered)})
		}
	}
	body := peers.encode(told)
	demands, demandNews := peers.leafDemands(&added.demands)
	// How old list and configuration are and what is asked for change all the time, and are no news.
	rest := peers.encode(&frame.Frame{
		Listing: listingOf(node.servers.Load().End, node.follower.ListAge()), ConfigurationAgeMs: proto.Uint32(milliseconds(node.follower.ConfigurationAge())),
		Demands: demands,
	})
	return &leafFrame{from: from, to: delta.Version, at: now, news: xxhash.Sum64(body) ^ demandNews, body: append(body, rest...)}
}

func catalogueToWire(delta catalogue.Delta) *frame.Catalogue {
	told := &frame.Catalogue{Whole: delta.Whole, Lost: delta.Lost}
	for _, number := range delta.Removed {
		told.Removed = append(told.Removed, uint32(number))
	}
	for _, numbered := range delta.Rows {
		row := &numbered.Row
		told.Rows = append(told.Rows, &frame.Row{
			Number: uint32(numbered.Number), Server: row.Server, Born: row.Born, Address: row.Address, DataCentre: row.DataCentre,
			Group: row.Group, Service: row.Service, Model: row.Model, Slots: uint32(row.Slots), Cold: row.Cold,
		})
	}
	return told
}

func catalogueFromWire(told *frame.Catalogue) catalogue.Delta {
	delta := catalogue.Delta{Whole: told.Whole, Lost: told.Lost}
	for _, number := range told.Removed {
		delta.Removed = append(delta.Removed, int(number))
	}
	for _, row := range told.Rows {
		delta.Rows = append(delta.Rows, catalogue.Numbered{Number: int(row.Number), Row: catalogue.Row{
			Server: row.Server, Born: row.Born, Address: row.Address, DataCentre: row.DataCentre,
			Group: row.Group, Service: row.Service, Model: row.Model, Slots: int(row.Slots), Cold: row.Cold,
		}})
	}
	return delta
}

// listing is how far this node knows the list of servers, with what the other side
// lacks of it where that is this node's to tell: a relay is told by the node
// above, and others by the one that reads the registry.
func (peers *peers) listing(channel *channel) *frame.Listing {
	servers := peers.node.servers.Load()
	if !servers.Known() {
		return &frame.Listing{End: -1}
	}
	age := peers.node.follower.ListAge()
	told := listingOf(servers.End, age)
	theirs := channel.listAge + peers.node.now() - channel.listAt
	reader := peers.node.follower.ReadsList()
	// While the store is away nobody reads the list, and a root that starts again is told it by others.
	lacking := channel.listAge >= follower.UnknownAge && peers.node.storeCalls.Unavailable()
	if !channel.heardList || (!downstream(channel.link) && !lacking && (!reader || theirs < age+follower.ListTick)) {
		return told
	}
	told.Follows = true
	for _, record := range peers.lackedRecords(channel) {
		told.Records = append(told.Records, recordToWire(&record))
	}
	return told
}

// lackedRecords returns what the other side lacks of the list of servers, and notes
// that it is told.
func (peers *peers) lackedRecords(channel *channel) []roster.Record {
	var records []roster.Record
	if channel.listSent == 0 {
		records, channel.listSent = peers.node.servers.After(channel.listFrom)
	} else {
		records, channel.listSent = peers.node.servers.Since(channel.listSent)
	}
	return records
}

// listingOf says how far the registry is known, without records.
func listingOf(end storelog.Position, age time.Duration) *frame.Listing {
	return &frame.Listing{End: end.Offset, Era: end.Era, AgeMs: milliseconds(age)}
}

func milliseconds(span time.Duration) uint32 {
	return uint32(min(follower.UnknownAge, max(0, span)).Milliseconds())
}

// loadsOf encodes what nodes have at servers.
func loadsOf(shares tally.Shares) []*frame.Load {
	loads := make([]*frame.Load, 0, len(shares))
	for server, share := range shares {
		loads = append(loads, &frame.Load{
			Server: server, Calls: uint32(max(0, share.Calls)), Unread: uint32(max(0, share.Unread)),
			Failed: uint32(max(0, share.Failed)), Answered: uint32(max(0, share.Answered)),
		})
	}
	return loads
}

func sharesOf(loads []*frame.Load) tally.Shares {
	shares := make(tally.Shares, len(loads))
	for _, load := range loads {
		shares[load.Server] = dispatch.Share{Calls: int(load.Calls), Unread: int(load.Unread), Failed: int(load.Failed), Answered: int(load.Answered)}
	}
	return shares
}
