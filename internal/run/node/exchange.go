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
	pullEvery       = time.Second
	pullTimeout     = 800 * time.Millisecond
	pullConcurrency = 32
	// remoteEvery is how often other data centres are asked. Their groups are
	// needed only for spill, so they may be known less freshly.
	remoteEvery   = 1500 * time.Millisecond
	remoteTimeout = 2 * time.Second
	// remoteFresh is the age at which a remote group is no longer used.
	remoteFresh  = 8 * time.Second
	fetchRecords = 500
	// sentFresh is the age at which what a peer said it sent is dropped.
	sentFresh = 3 * time.Second
	// behindPulls is how many pulls in a row a stream may be behind a peer's
	// before it is fetched from there, although the log seems to answer.
	behindPulls = 2
)

// exchanger pulls from the other nodes what they know and this one does not.
// Everything it learns is counted as old as it can be: from before the
// question was sent.
type exchanger struct {
	*lifecycle.Part
	node *Node

	mu     sync.Mutex
	pulled map[string]pulledReading
	sent   map[uint64]peerSent
	remote map[uint64]route.Target
	behind map[string]int
}

// pulledReading is a peer's latest reading of one domain.
type pulledReading struct {
	watcher uint64
	version uint64
	reports []engine.Report
}

// peerSent is what a peer said it has at the groups, and which of them it is
// about to retire.
type peerSent struct {
	at       time.Duration
	groups   []*exchange.Sent
	draining []uint64
}

type groupLoad struct {
	tokens  uint32
	running uint32
}

func newExchanger(node *Node) *exchanger {
	return &exchanger{
		Part: lifecycle.New("exchange"), node: node, pulled: map[string]pulledReading{}, sent: map[uint64]peerSent{},
		remote: map[uint64]route.Target{}, behind: map[string]int{},
	}
}

func (exchanger *exchanger) start() {
	exchanger.Every(pullEvery, exchanger.pullLocal)
	exchanger.Every(remoteEvery, exchanger.pullRemote)
}

func (exchanger *exchanger) pullLocal() {
	pulls := pool.New().WithMaxGoroutines(pullConcurrency)
	for _, known := range exchanger.node.members.Local() {
		pulls.Go(func() { exchanger.pull(known, pullTimeout, false) })
	}
	pulls.Wait()
}

func (exchanger *exchanger) pullRemote() {
	pulls := pool.New().WithMaxGoroutines(pullConcurrency)
	for _, known := range exchanger.node.members.Remote() {
		pulls.Go(func() { exchanger.pull(known, remoteTimeout, true) })
	}
	pulls.Wait()
}

// pull asks one peer, and says hello first to one whose incarnation is new.
func (exchanger *exchanger) pull(known member.Peer, timeout time.Duration, remote bool) {
	ctx, cancel := exchanger.Context(timeout)
	defer cancel()
	sent := exchanger.node.now()
	reply, err := exchanger.node.peers.Call(ctx, known.Address, exchanger.node.request(exchanger.pullRequest(known, remote)))
	if err != nil {
		return
	}
	if reply.Incarnation != known.Incarnation {
		hello, err := exchanger.node.peers.Call(ctx, known.Address, exchanger.node.request(&exchange.Request{
			Kind: &exchange.Request_Hello{Hello: exchanger.node.hello()},
		}))
		if err != nil || hello.GetHello() == nil {
			return
		}
		known = member.Peer{
			Address: known.Address, Incarnation: hello.Incarnation, Name: hello.GetHello().Name,
			Region: hello.GetHello().Region, DataCentre: hello.GetHello().DataCentre,
		}
	}
	known.Heard, known.Stopping = sent, reply.GetPull().GetStopping()
	exchanger.node.members.Heard(known)
	exchanger.learn(known, sent, reply.GetPull())
}

func (exchanger *exchanger) pullRequest(known member.Peer, remote bool) *exchange.Request {
	pull := &exchange.PullRequest{WantGroups: remote, Streams: exchanger.node.positions()}
	if remote {
		return &exchange.Request{Kind: &exchange.Request_Pull{Pull: pull}}
	}
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	pull.Listings = exchanger.node.lists.versions()
	for domain, reading := range exchanger.pulled {
		if reading.watcher == known.Incarnation {
			pull.Domains = append(pull.Domains, &exchange.DomainVersion{
				FabricDomain: domain, Watcher: reading.watcher, Sequence: reading.version,
			})
		}
	}
	return &exchange.Request{Kind: &exchange.Request_Pull{Pull: pull}}
}

func (exchanger *exchanger) learn(known member.Peer, sent time.Duration, reply *exchange.PullReply) {
	for _, listing := range reply.GetListings() {
		exchanger.node.lists.learnFrom(sent, listing)
	}
	for _, report := range reply.GetDomains() {
		exchanger.learnDomain(known, sent, report)
	}
	exchanger.mu.Lock()
	if known.DataCentre != exchanger.node.settings.DataCentre {
		exchanger.learnRemoteLocked(known, sent, reply.GetGroups())
	} else {
		exchanger.sent[known.Incarnation] = peerSent{at: sent, groups: reply.GetSent(), draining: reply.GetDraining()}
	}
	exchanger.mu.Unlock()
	for _, position := range reply.GetStreams() {
		exchanger.catchUp(known, position)
	}
}

func (exchanger *exchanger) learnDomain(known member.Peer, sent time.Duration, report *exchange.DomainReport) {
	reports, ages, ok := exchanger.reports(known, report)
	if !ok {
		return
	}
	facts := make([]fabric.Fact, 0, len(reports))
	for index, read := range reports {
		age := time.Duration(ages[index]) * time.Millisecond
		facts = append(facts, fabric.Fact{FabricDomain: report.FabricDomain, Address: read.Address, Report: read, At: sent - age})
	}
	exchanger.node.facts.Put(report.FabricDomain, facts)
	for _, address := range report.Missed {
		exchanger.node.facts.Missed(address, sent)
	}
}

// reports returns a reading's reports, from this reply or, where nothing but
// the ages changed, from the earlier one.
func (exchanger *exchanger) reports(known member.Peer, report *exchange.DomainReport) (reports []engine.Report, ages []uint32, ok bool) {
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	if report.Same {
		earlier := exchanger.pulled[report.FabricDomain]
		fits := earlier.watcher == known.Incarnation && earlier.version == report.Sequence && len(earlier.reports) == len(report.Ages)
		return earlier.reports, report.Ages, fits
	}
	for _, wire := range report.Reports {
		reports = append(reports, fromWire(wire))
		ages = append(ages, wire.AgeMs)
	}
	exchanger.pulled[report.FabricDomain] = pulledReading{watcher: known.Incarnation, version: report.Sequence, reports: reports}
	return reports, ages, true
}

func (exchanger *exchanger) learnRemoteLocked(known member.Peer, sent time.Duration, groups []*exchange.GroupSummary) {
	if known.Region != exchanger.node.settings.Region {
		// Other regions are too far for spill; they matter for configuration.
		return
	}
	for _, group := range groups {
		exchanger.remote[group.Number] = route.Target{
			Number: group.Number, Model: group.Model, Leader: group.Leader, DataCentre: known.DataCentre, Remote: true,
			Running: group.Running, QueuedTokens: group.QueuedTokens, TokensPerSecond: group.TokensPerSecond,
			PrefillPerSecond: group.PrefillPerSecond, Concurrency: group.Concurrency,
			ReadAt: sent - time.Duration(group.AgeMs)*time.Millisecond,
		}
	}
}

// remoteTargets returns the groups of other data centres that are known
// freshly enough.
func (exchanger *exchanger) remoteTargets(now time.Duration) []route.Target {
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	targets := []route.Target{}
	for number, target := range exchanger.remote {
		if now-target.ReadAt > remoteFresh {
			delete(exchanger.remote, number)
			continue
		}
		targets = append(targets, target)
	}
	return targets
}

// drainingAtPeers lists the groups that peers are about to retire.
func (exchanger *exchanger) drainingAtPeers(now time.Duration) []uint64 {
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	numbers := []uint64{}
	for _, sent := range exchanger.sent {
		if now-sent.at <= sentFresh {
			numbers = append(numbers, sent.draining...)
		}
	}
	return numbers
}

// sentByPeers adds up what the peers said they have at each group.
func (exchanger *exchanger) sentByPeers(now time.Duration) map[uint64]groupLoad {
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	loads := map[uint64]groupLoad{}
	for incarnation, sent := range exchanger.sent {
		if now-sent.at > sentFresh {
			delete(exchanger.sent, incarnation)
			continue
		}
		for _, group := range sent.groups {
			load := loads[group.Group]
			load.tokens += group.Tokens
			load.running += group.Running
			loads[group.Group] = load
		}
	}
	return loads
}

// catchUp fetches records of a stream from a peer that is ahead, when the log
// itself does not bring them.
func (exchanger *exchanger) catchUp(known member.Peer, position *exchange.StreamPosition) {
	follower, ok := exchanger.node.stream(position.Stream)
	if !ok || !exchanger.needed(follower, position) {
		return
	}
	ctx, cancel := exchanger.Context(remoteTimeout)
	defer cancel()
	want := follower.Want()
	reply, err := exchanger.node.peers.Call(ctx, known.Address, exchanger.node.request(&exchange.Request{
		Kind: &exchange.Request_Fetch{Fetch: &exchange.FetchRequest{
			Stream: position.Stream, From: want.From, Max: fetchRecords, WantSnapshot: want.Snapshot,
		}},
	}))
	if err != nil {
		return
	}
	fetched := reply.GetFetch()
	relayed := stream.Relayed{Snapshot: fetched.GetSnapshot(), SnapshotNext: fetched.GetSnapshotNext()}
	for _, record := range fetched.GetRecords() {
		relayed.Records = append(relayed.Records, logservice.Record{Offset: record.Offset, Body: record.Body})
	}
	follower.Offer(relayed)
}

func (exchanger *exchanger) needed(follower *stream.Follower, position *exchange.StreamPosition) bool {
	want := follower.Want()
	if position.Next <= want.From && !want.Snapshot {
		if position.Next == 0 && !follower.Ready() && follower.Dark() {
			follower.AcceptEmpty()
		}
		exchanger.mu.Lock()
		delete(exchanger.behind, position.Stream)
		exchanger.mu.Unlock()
		return false
	}
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	exchanger.behind[position.Stream]++
	return follower.Dark() || !follower.Ready() || exchanger.behind[position.Stream] > behindPulls
}

// positions lists the streams whose history this node knows.
func (node *Node) positions() []*exchange.StreamPosition {
	positions := []*exchange.StreamPosition{}
	for _, follower := range node.streams {
		if follower.Ready() {
			positions = append(positions, &exchange.StreamPosition{Stream: follower.Name, Next: follower.Next()})
		}
	}
	return positions
}

func (node *Node) stream(name string) (*stream.Follower, bool) {
	for _, follower := range node.streams {
		if follower.Name == name {
			return follower, true
		}
	}
	return nil, false
}
