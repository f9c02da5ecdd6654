package gateway

import (
	"time"

	"google.golang.org/protobuf/proto"

	"hazelslip/internal/common/rendezvous"
	"hazelslip/internal/fleet/overlay"
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/wire/frame"
)

const (
	// retryCountInterval is the minimum time between two frames with retry counts on a link.
	retryCountInterval = 50 * time.Millisecond
	// retryTotalInterval is how often a node that no other node feeds adds up the retry counts.
	retryTotalInterval = 100 * time.Millisecond
)

// retryState is what was sent and received over one link of the retry counts.
type retryState struct {
	// parts are the counts of the nodes in the other side's subtree, nil before any were received.
	parts retry.Totals
	// progress tells how far parts go.
	progress retry.Progress
	// sentAt is when counts were last sent. After all that this node knows was sent, greeted is set, and knownFrom
	// is the time on this node's clock from which on it was complete.
	sentAt    time.Duration
	greeted   bool
	knownFrom time.Duration
	// grantedSent is the number of retries that this node had been granted at sentAt.
	grantedSent uint64
	// refusalLogged is set once received counts have been refused.
	refusalLogged bool
}

// newRetryCounts returns the counts of a process that starts now.
func (node *Node) newRetryCounts() *retry.Fleet {
	bounds := node.settings.Bounds
	options := []retry.FleetOption{
		retry.Clock(node.now), retry.Nodes(func() (reached, all int) {
			return max(1, int(node.peers.reportingNodes.Load())), node.peers.budgetNodes()
		}),
		retry.Name(node.settings.Listen.advertised()),
		retry.RoundingOffset(func(service string) float64 { return rendezvous.UnitHash(service, node.Incarnation) }),
	}
	if node.settings.FirstStart {
		options = append(options, retry.NoPredecessor())
	}
	return retry.NewFleet(retry.Allowance{Ratio: bounds.RetryRatio, Base: bounds.RetryBase, Window: bounds.RetryWindow}, options...)
}

// retryCoverageStep is the least span by which the known past must grow to be sent again.
const retryCoverageStep = 50 * time.Millisecond

// knowsMore reports whether this node knows counts of the past that it has not sent over the link. The other side may
// have started just now, or this node may have learnt them since.
func (retryState *retryState) knowsMore(knownFrom time.Duration) bool {
	return !retryState.greeted || knownFrom < retryState.knownFrom-retryCoverageStep
}

// updateRetryTotals adds up the retry counts of the nodes that this node hears of.
func (peers *peers) updateRetryTotals() {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	peers.updateRetryTotalsLocked()
}

func (peers *peers) updateRetryTotalsLocked() {
	now := peers.node.now()
	own := peers.node.retries.Progress(false)
	own.Known = own.Complete
	parts, progress := []retry.Totals{peers.node.retries.Own()}, []retry.Progress{own}
	parts = append(append(parts, peers.lostBelow.Counts(now)...), peers.lostRoots.Counts(now)...)
	for link, state := range peers.linkStates {
		if !link.Upstream() && state.retries.parts != nil {
			parts, progress = append(parts, state.retries.parts), append(progress, state.retries.progress)
		}
	}
	peers.node.retries.Merge(retry.Sum(parts...))
	if peers.overlay.Upstream() == nil {
		peers.node.retries.Observed(progress...)
	}
}

// subtreeRetriesLocked returns the recent counts of this node and all nodes attached below it, and how far they go.
func (peers *peers) subtreeRetriesLocked(upstream bool) (retry.Totals, retry.Progress) {
	progress := peers.node.retries.Progress(upstream)
	parts := append(peers.lostBelow.Counts(peers.node.now()), peers.node.retries.Own())
	for link, state := range peers.linkStates {
		if isDownstream(link) && state.retries.parts != nil {
			parts, progress = append(parts, state.retries.parts), retry.Combine(progress, state.retries.progress)
		}
	}
	return retry.Sum(parts...), progress
}

// addRetryCounts adds retry counts to a frame for an upstream node, a relay or a root: those of all nodes if the
// other side is downstream of this node, otherwise those of this node's subtree. The first frame of a link holds
// all that this node knows.
func (peers *peers) addRetryCounts(message *frame.Frame, state *linkState) {
	now := peers.node.now()
	if state.retries.greeted && now-state.retries.sentAt < retryCountInterval {
		return
	}
	peers.updateRetryTotalsLocked()
	position, coverage := peers.node.retries.Position()
	knownFrom := now - (position - coverage.From)
	downstream, knowsMore := isDownstream(state.link), state.retries.knowsMore(knownFrom)
	if downstream || knowsMore {
		message.RetryTotals, message.RetryCoverage = peers.retryTotalsToWire(!knowsMore)
		peers.addMostNodes(message)
	}
	if !downstream {
		parts, progress := peers.subtreeRetriesLocked(state.link.Upstream())
		message.RetryParts, message.RetryProgress = retriesToWire(parts), progressToWire(&progress, peers.slotMs())
	}
	state.retries.sentAt, state.retries.grantedSent = now, peers.node.retries.Granted()
	state.retries.greeted, state.retries.knownFrom = true, knownFrom
}

// addPastRetryCounts adds all that this node knows of retry counts to a frame for a leaf that may lack them.
func (peers *peers) addPastRetryCounts(message *frame.Frame, state *linkState) {
	position, coverage := peers.node.retries.Position()
	knownFrom := peers.node.now() - (position - coverage.From)
	if !state.retries.knowsMore(knownFrom) {
		return
	}
	message.RetryTotals, message.RetryCoverage = peers.retryTotalsToWire(false)
	state.retries.greeted, state.retries.knownFrom = true, knownFrom
}

// retryTotalsToWire encodes what this node knows of the counts of all nodes, and how far they go.
func (peers *peers) retryTotalsToWire(recentOnly bool) ([]*frame.RetryCount, *frame.RetryCoverage) {
	snapshot := peers.node.retries.Snapshot(recentOnly)
	coverage, completeness := &snapshot.Coverage, &snapshot.Completeness
	return retriesToWire(snapshot.Counts), &frame.RetryCoverage{
		PositionMs: snapshot.Position.Milliseconds(), StaleMs: cappedMilliseconds(snapshot.Position - coverage.UpTo), KnownMs: cappedMilliseconds(coverage.UpTo - coverage.From),
		CompleteMs: timeToWire(completeness.Complete), AgreedMs: timeToWire(completeness.Agreed), Oldest: completeness.Oldest, SlotMs: peers.slotMs(),
	}
}

// slotMs returns the length of a slot in milliseconds.
func (peers *peers) slotMs() uint32 { return uint32(peers.node.retries.SlotLength().Milliseconds()) }

// timeToWire encodes a time of the fleet, nil if it is unknown.
func timeToWire(at time.Duration) *int64 {
	if at < 0 {
		return nil
	}
	return proto.Int64(at.Milliseconds())
}

// timeFromWire returns retry.UnknownTime for a time that is missing.
func timeFromWire(encoded *int64) time.Duration {
	if encoded == nil {
		return retry.UnknownTime
	}
	return time.Duration(*encoded) * time.Millisecond
}

func progressToWire(progress *retry.Progress, slotMs uint32) *frame.RetryProgress {
	// The newest time is rounded up, since counts up to it are to be awaited.
	return &frame.RetryProgress{
		CompleteMs: progress.Complete.Milliseconds(), NewestMs: progress.Newest.Milliseconds() + 1, KnownMs: timeToWire(progress.Known), Oldest: progress.Oldest,
		SlotMs: slotMs,
	}
}

func progressFromWire(encoded *frame.RetryProgress) retry.Progress {
	return retry.Progress{
		Complete: time.Duration(encoded.CompleteMs) * time.Millisecond, Newest: time.Duration(encoded.NewestMs) * time.Millisecond,
		Known: timeFromWire(encoded.KnownMs), Oldest: encoded.Oldest,
	}
}

// handleRetryCounts applies the retry counts that another node sends.
func (peers *peers) handleRetryCounts(link *overlay.Link, received *frame.Frame) {
	retries := peers.node.retries
	position, _ := retries.Position()
	if err := checkRetryCounts(received, position, retries.SlotLength()); err != nil {
		peers.logRefusedCounts(link, err)
		return
	}
	if coverage := received.RetryCoverage; coverage != nil {
		position := time.Duration(coverage.PositionMs) * time.Millisecond
		retries.Follow(position)
		retries.Merge(retriesFromWire(received.RetryTotals))
		upTo := position - time.Duration(coverage.StaleMs)*time.Millisecond
		retries.MergeCoverage(retry.Coverage{From: upTo - time.Duration(coverage.KnownMs)*time.Millisecond, UpTo: upTo})
		if link.Upstream() {
			retries.Inform(retry.Completeness{Complete: timeFromWire(coverage.CompleteMs), Agreed: timeFromWire(coverage.AgreedMs), Oldest: coverage.Oldest})
		}
	}
	if link.Upstream() || (len(received.RetryParts) == 0 && received.RetryProgress == nil) {
		return
	}
	position, _ = retries.Position()
	progress := retry.UnknownProgress(link.Remote.Address, position)
	if received.RetryProgress != nil {
		progress = progressFromWire(received.RetryProgress)
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	state := peers.linkStateLocked(link)
	state.retries.parts, state.retries.progress = retriesFromWire(received.RetryParts), progress
	peers.lostBelow.Return(link.Incarnation)
	peers.lostRoots.Return(link.Incarnation)
}

// keepRetryCountsLocked keeps the last counts of a link that has ended.
func (peers *peers) keepRetryCountsLocked(state *linkState) {
	switch {
	case isDownstream(state.link):
		peers.lostBelow.Add(state.link.Incarnation, state.retries.parts, peers.node.now())
	case !state.link.Upstream():
		peers.lostRoots.Add(state.link.Incarnation, state.retries.parts, peers.node.now())
	}
}

func retriesToWire(totals retry.Totals) []*frame.RetryCount {
	encoded := make([]*frame.RetryCount, 0, len(totals))
	for service, series := range totals {
		count := &frame.RetryCount{Service: service, First: series.First}
		for _, slot := range series.Counts {
			count.Requests, count.Retries = append(count.Requests, slot.Requests), append(count.Retries, slot.Retries)
		}
		encoded = append(encoded, count)
	}
	return encoded
}

func retriesFromWire(encoded []*frame.RetryCount) retry.Totals {
	totals := retry.Totals{}
	for _, count := range encoded {
		series := retry.Series{First: count.First}
		for slot := range min(len(count.Requests), len(count.Retries), retry.MaxSeries) {
			series.Counts = append(series.Counts, retry.Count{Requests: count.Requests[slot], Retries: count.Retries[slot]})
		}
		totals[count.Service] = series
	}
	return totals
}
