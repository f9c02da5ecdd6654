package node

import (
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"hazelslip/internal/common/lifecycle"
	"hazelslip/internal/fleet/fabric"
	"hazelslip/internal/fleet/member"
	"hazelslip/internal/peer/engine"
	"hazelslip/internal/peer/logservice"
	"hazelslip/internal/policy/route"
	"hazelslip/internal/state/stream"
	"hazelslip/internal/wire/exchange"
)

const (
	pullInterval    = time.Second
	pullTimeout     = 800 * time.Millisecond
	pullConcurrency = 32
	// remotePullInterval is the interval of pulls from other data centres. Their groups are needed only for spilling
	// drafts, so their state may be older than that of local groups.
	remotePullInterval = 1500 * time.Millisecond
	remoteTimeout      = 2 * time.Second
	// remoteGroupMaxAge is the age beyond which the state of a remote group is discarded.
	remoteGroupMaxAge = 8 * time.Second
	maxFetchRecords   = 500
	// peerLoadMaxAge is the age beyond which the load that a peer reported for the groups is discarded.
	peerLoadMaxAge = 3 * time.Second
	// maxPullsBehind is the number of consecutive pulls during which a stream may lag behind a peer's. After that the
	// records are fetched from the peer, even if the log seems to respond.
	maxPullsBehind = 2
)

// exchanger pulls from the other nodes the state that this node lacks. The age of pulled state is counted from before
// the request was sent, so state is never taken to be newer than it is.
type exchanger struct {
	*lifecycle.Component
	node *Node

	mu             sync.Mutex
	domainReadings map[string]peerReading
	peerLoads      map[uint64]peerLoad
	remoteGroups   map[uint64]route.Target
	pullsBehind    map[string]int
}

// peerReading holds the reports of one domain, as last pulled from the peer that watches the domain.
type peerReading struct {
	watcher uint64
	version uint64
	reports []engine.Report
}

// peerLoad is the load that a peer itself has placed on each group, and the groups that the peer is about to retire.
type peerLoad struct {
	requestedAt time.Duration
	groups      []*exchange.Sent
	draining    []uint64
}

// groupLoad is the load of one group: outstanding tokens and running drafts.
type groupLoad struct {
	tokens  uint32
	running uint32
}

func newExchanger(node *Node) *exchanger {
	return &exchanger{
		Component: lifecycle.New("exchange"), node: node, domainReadings: map[string]peerReading{}, peerLoads: map[uint64]peerLoad{},
		remoteGroups: map[uint64]route.Target{}, pullsBehind: map[string]int{},
	}
}

func (exchanger *exchanger) start() {
	exchanger.Every(pullInterval, exchanger.pullLocal)
	exchanger.Every(remotePullInterval, exchanger.pullRemote)
}

func (exchanger *exchanger) pullLocal() {
	pulls := pool.New().WithMaxGoroutines(pullConcurrency)
	for _, peerNode := range exchanger.node.members.LocalPeers() {
		pulls.Go(func() { exchanger.pull(peerNode, pullTimeout, false) })
	}
	pulls.Wait()
}

func (exchanger *exchanger) pullRemote() {
	pulls := pool.New().WithMaxGoroutines(pullConcurrency)
	for _, peerNode := range exchanger.node.members.RemotePeers() {
		pulls.Go(func() { exchanger.pull(peerNode, remoteTimeout, true) })
	}
	pulls.Wait()
}

// pull pulls the state of one peer. If the reply comes from an incarnation that is not known yet, pull sends a hello
// request to learn the name and location of the peer.
func (exchanger *exchanger) pull(peerNode member.Peer, timeout time.Duration, remote bool) {
	ctx, cancel := exchanger.ContextWithTimeout(timeout)
	defer cancel()
	sentAt := exchanger.node.now()
	reply, err := exchanger.node.peers.Call(ctx, peerNode.Address, exchanger.node.withSender(exchanger.pullRequest(peerNode, remote)))
	if err != nil {
		return
	}
	if reply.Incarnation != peerNode.Incarnation {
		hello, err := exchanger.node.peers.Call(ctx, peerNode.Address, exchanger.node.withSender(&exchange.Request{
			Kind: &exchange.Request_Hello{Hello: exchanger.node.hello()},
		}))
		if err != nil || hello.GetHello() == nil {
			return
		}
		peerNode = member.Peer{
			Address: peerNode.Address, Incarnation: hello.Incarnation, Name: hello.GetHello().Name,
			Region: hello.GetHello().Region, DataCentre: hello.GetHello().DataCentre,
		}
	}
	peerNode.Heard, peerNode.Stopping = sentAt, reply.GetPull().GetStopping()
	exchanger.node.members.RecordAnswer(peerNode)
	exchanger.applyPull(peerNode, sentAt, reply.GetPull())
}

func (exchanger *exchanger) pullRequest(peerNode member.Peer, remote bool) *exchange.Request {
	pull := &exchange.PullRequest{WantGroups: remote, Streams: exchanger.node.streamPositions()}
	if remote {
		return &exchange.Request{Kind: &exchange.Request_Pull{Pull: pull}}
	}
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	pull.Listings = exchanger.node.listReader.heldVersions()
	for domain, reading := range exchanger.domainReadings {
		if reading.watcher == peerNode.Incarnation {
			pull.Domains = append(pull.Domains, &exchange.DomainVersion{
				FabricDomain: domain, Watcher: reading.watcher, Sequence: reading.version,
			})
		}
	}
	return &exchange.Request{Kind: &exchange.Request_Pull{Pull: pull}}
}

func (exchanger *exchanger) applyPull(peerNode member.Peer, sentAt time.Duration, reply *exchange.PullReply) {
	for _, listing := range reply.GetListings() {
		exchanger.node.listReader.mergeFromPeer(sentAt, listing)
	}
	for _, report := range reply.GetDomains() {
		exchanger.applyDomain(peerNode, sentAt, report)
	}
	exchanger.mu.Lock()
	if peerNode.DataCentre != exchanger.node.settings.DataCentre {
		exchanger.storeRemoteGroupsLocked(peerNode, sentAt, reply.GetGroups())
	} else {
		exchanger.peerLoads[peerNode.Incarnation] = peerLoad{requestedAt: sentAt, groups: reply.GetSent(), draining: reply.GetDraining()}
	}
	exchanger.mu.Unlock()
	for _, position := range reply.GetStreams() {
		exchanger.catchUp(peerNode, position)
	}
}

func (exchanger *exchanger) applyDomain(peerNode member.Peer, sentAt time.Duration, report *exchange.DomainReport) {
	reports, ages, ok := exchanger.domainReports(peerNode, report)
	if !ok {
		return
	}
	statuses := make([]fabric.ServerStatus, 0, len(reports))
	for index, serverReport := range reports {
		age := time.Duration(ages[index]) * time.Millisecond
		statuses = append(statuses, fabric.ServerStatus{FabricDomain: report.FabricDomain, Address: serverReport.Address, Report: serverReport, RequestedAt: sentAt - age})
	}
	exchanger.node.serverStatuses.Merge(report.FabricDomain, statuses)
	for _, address := range report.Missed {
		exchanger.node.serverStatuses.MarkUnresponsive(address, sentAt)
	}
}

// domainReports returns the reports of a domain and their ages. If only the ages have changed since the last pull, the
// reports are those of the earlier reply. The result is not ok if the earlier reports don't match the reply.
func (exchanger *exchanger) domainReports(peerNode member.Peer, report *exchange.DomainReport) (reports []engine.Report, ages []uint32, ok bool) {
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	if report.Same {
		earlier := exchanger.domainReadings[report.FabricDomain]
		matches := earlier.watcher == peerNode.Incarnation && earlier.version == report.Sequence && len(earlier.reports) == len(report.Ages)
		return earlier.reports, report.Ages, matches
	}
	for _, wire := range report.Reports {
		reports = append(reports, fromWireReport(wire))
		ages = append(ages, wire.AgeMs)
	}
	exchanger.domainReadings[report.FabricDomain] = peerReading{watcher: peerNode.Incarnation, version: report.Sequence, reports: reports}
	return reports, ages, true
}

func (exchanger *exchanger) storeRemoteGroupsLocked(peerNode member.Peer, sentAt time.Duration, groups []*exchange.GroupSummary) {
	if peerNode.Region != exchanger.node.settings.Region {
		// Other regions are too far away for spilling drafts. Nodes there are pulled for configuration only.
		return
	}
	for _, group := range groups {
		exchanger.remoteGroups[group.Number] = route.Target{
			Number: group.Number, Model: group.Model, Leader: group.Leader, DataCentre: peerNode.DataCentre, Remote: true,
			Running: group.Running, QueuedTokens: group.QueuedTokens, TokensPerSecond: group.TokensPerSecond,
			PrefillPerSecond: group.PrefillPerSecond, Concurrency: group.Concurrency,
			ReadAt: sentAt - time.Duration(group.AgeMs)*time.Millisecond,
		}
	}
}

// remoteTargets returns the groups of other data centres whose state is recent enough, and discards the others.
func (exchanger *exchanger) remoteTargets(now time.Duration) []route.Target {
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	targets := []route.Target{}
	for number, target := range exchanger.remoteGroups {
		if now-target.ReadAt > remoteGroupMaxAge {
			delete(exchanger.remoteGroups, number)
			continue
		}
		targets = append(targets, target)
	}
	return targets
}

// peerDrainingGroups lists the groups that peers are about to retire.
func (exchanger *exchanger) peerDrainingGroups(now time.Duration) []uint64 {
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	numbers := []uint64{}
	for _, load := range exchanger.peerLoads {
		if now-load.requestedAt <= peerLoadMaxAge {
			numbers = append(numbers, load.draining...)
		}
	}
	return numbers
}

// peerGroupLoads sums the load that the peers reported for each group, and discards reports that are too old.
func (exchanger *exchanger) peerGroupLoads(now time.Duration) map[uint64]groupLoad {
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	loads := map[uint64]groupLoad{}
	for incarnation, reported := range exchanger.peerLoads {
		if now-reported.requestedAt > peerLoadMaxAge {
			delete(exchanger.peerLoads, incarnation)
			continue
		}
		for _, group := range reported.groups {
			load := loads[group.Group]
			load.tokens += group.Tokens
			load.running += group.Running
			loads[group.Group] = load
		}
	}
	return loads
}

// catchUp fetches records of a stream from a peer that is ahead, if the log does not deliver them.
func (exchanger *exchanger) catchUp(peerNode member.Peer, position *exchange.StreamPosition) {
	follower, ok := exchanger.node.findFollower(position.Stream)
	if !ok || !exchanger.shouldFetch(follower, position) {
		return
	}
	ctx, cancel := exchanger.ContextWithTimeout(remoteTimeout)
	defer cancel()
	nextFetch := follower.NextFetch()
	reply, err := exchanger.node.peers.Call(ctx, peerNode.Address, exchanger.node.withSender(&exchange.Request{
		Kind: &exchange.Request_Fetch{Fetch: &exchange.FetchRequest{
			Stream: position.Stream, From: nextFetch.From, Max: maxFetchRecords, WantSnapshot: nextFetch.Snapshot,
		}},
	}))
	if err != nil {
		return
	}
	fetchReply := reply.GetFetch()
	fetched := stream.FetchReply{Snapshot: fetchReply.GetSnapshot(), SnapshotNext: fetchReply.GetSnapshotNext()}
	for _, record := range fetchReply.GetRecords() {
		fetched.Records = append(fetched.Records, logservice.Record{Offset: record.Offset, Body: record.Body})
	}
	follower.ApplyFetched(fetched)
}

func (exchanger *exchanger) shouldFetch(follower *stream.Follower, position *exchange.StreamPosition) bool {
	nextFetch := follower.NextFetch()
	if position.Next <= nextFetch.From && !nextFetch.Snapshot {
		if position.Next == 0 && !follower.Ready() && follower.LogUnavailable() {
			follower.MarkEmpty()
		}
		exchanger.mu.Lock()
		delete(exchanger.pullsBehind, position.Stream)
		exchanger.mu.Unlock()
		return false
	}
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	exchanger.pullsBehind[position.Stream]++
	return follower.LogUnavailable() || !follower.Ready() || exchanger.pullsBehind[position.Stream] > maxPullsBehind
}

// streamPositions lists the positions of the streams that this node has read in full.
func (node *Node) streamPositions() []*exchange.StreamPosition {
	positions := []*exchange.StreamPosition{}
	for _, follower := range node.streams {
		if follower.Ready() {
			positions = append(positions, &exchange.StreamPosition{Stream: follower.Name, Next: follower.Next()})
		}
	}
	return positions
}

func (node *Node) findFollower(name string) (*stream.Follower, bool) {
	for _, follower := range node.streams {
		if follower.Name == name {
			return follower, true
		}
	}
	return nil, false
}
