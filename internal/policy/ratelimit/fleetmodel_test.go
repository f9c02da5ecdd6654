package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/testlib/suite"
)

// step is the time resolution of the model.
const step = 2 * time.Millisecond

// fleet models nodes that share the limit of one server. Each data centre has a root, two relays
// and leaves. Frames arrive after frameDelay.
type fleet struct {
	random *rand.Rand
	clock  *fakeClock
	nodes  []*node
	links  []*link
	// sent holds the times at which requests were sent to the server.
	sent []time.Duration
	// arrived and refused count requests. totalWait is the summed waiting time of the requests that
	// were sent after a wait.
	arrived, refused int
	totalWait        time.Duration
	// frames counts frames. entries counts the claims and loans of frames whose content changed.
	frames, entries int
	// equalShares holds one token bucket per node if each node gets an equal share of the limit. It is
	// nil if nodes borrow permits.
	equalShares *equalShares
}

// equalShares is the simplest way to share a limit: each node has an equal share and saves up at
// most one request.
type equalShares struct {
	rate       float64
	tokens     []float64
	refilledAt []time.Duration
}

func (fleet *fleet) useEqualShares(rate float64) {
	fleet.equalShares = &equalShares{rate: rate / float64(len(fleet.nodes)), tokens: make([]float64, len(fleet.nodes)), refilledAt: make([]time.Duration, len(fleet.nodes))}
	for node := range fleet.nodes {
		fleet.equalShares.tokens[node], fleet.equalShares.refilledAt[node] = fleet.random.Float64(), fleet.clock.current
	}
}

func (equalShares *equalShares) acquire(node int, now time.Duration) bool {
	equalShares.tokens[node] = min(1, equalShares.tokens[node]+equalShares.rate*(now-equalShares.refilledAt[node]).Seconds())
	equalShares.refilledAt[node] = now
	if equalShares.tokens[node] < 1 {
		return false
	}
	equalShares.tokens[node]--
	return true
}

// acquire admits a request at a node if possible.
func (fleet *fleet) acquire(node *node) bool {
	if fleet.equalShares != nil {
		return fleet.equalShares.acquire(node.number, fleet.clock.current)
	}
	return node.gate.TryAcquire(0)
}

type node struct {
	number int
	centre int
	limits *ratelimit.Limits
	gate   *ratelimit.Gate
	// upstream is the link to the parent node, nil for a root. rootLinks are the links to other roots,
	// by data centre.
	upstream  *link
	rootLinks map[int]*link
	share     float64
	// pausedUntil is the time before which the node does nothing.
	pausedUntil time.Duration
	waiting     []request
}

// request is a request that waits for a permit at a node.
type request struct {
	since, until time.Duration
	done         func()
}

// link connects two nodes. Each node identifies the other one by the number of the link.
type link struct {
	number int
	ends   [2]*node
	// interval is the regular time between frames. nextFrameAt is the time of the next frame of each
	// end.
	interval    time.Duration
	nextFrameAt [2]time.Duration
	down        bool
	// lastSent is the content of the last frame of each end.
	lastSent [2]string
	// pending holds the frames under way.
	pending []packet
}

// packet is a frame under way to one end of a link.
type packet struct {
	at     time.Duration
	to     int
	claims []ratelimit.Claim
	loans  []ratelimit.Loan
}

const (
	frameDelay = 1 * time.Millisecond
	// maxWait is how long a request waits for a permit.
	maxWait = 36 * time.Millisecond
)

func newFleet(seed uint64, nodes, centres int) *fleet {
	fleet := &fleet{random: rand.New(rand.NewPCG(seed, 7)), clock: &fakeClock{current: time.Minute}}
	roots := []*node{}
	for number := range nodes {
		fleet.nodes = append(fleet.nodes, fleet.newNode(number, number%centres))
	}
	for centre := range centres {
		members := slices.DeleteFunc(slices.Clone(fleet.nodes), func(node *node) bool { return node.centre != centre })
		for index, member := range members[1:] {
			parent := members[0]
			if index >= 2 {
				parent = members[index%3]
			}
			member.upstream = fleet.connect(member, parent)
		}
		roots = append(roots, members[0])
	}
	for index, root := range roots {
		for _, other := range roots[:index] {
			rootLink := fleet.connect(root, other)
			root.rootLinks[other.centre], other.rootLinks[root.centre] = rootLink, rootLink
		}
	}
	return fleet
}

func (fleet *fleet) newNode(number, centre int) *node {
	created := &node{number: number, centre: centre, rootLinks: map[int]*link{}, share: 1}
	created.limits = ratelimit.New(ratelimit.Clock(fleet.clock.now), ratelimit.Incarnation(fleet.random.Uint64()))
	created.gate = created.limits.Gate(run)
	return created
}

func (fleet *fleet) connect(a, b *node) *link {
	leaves := max(1, len(fleet.nodes)/9)
	created := &link{number: len(fleet.links) + 1, ends: [2]*node{a, b}, interval: min(200*time.Millisecond, max(50*time.Millisecond, time.Duration(leaves)*2500*time.Microsecond))}
	created.nextFrameAt[0] = fleet.clock.current + time.Duration(fleet.random.Int64N(int64(created.interval)))
	created.nextFrameAt[1] = fleet.clock.current + time.Duration(fleet.random.Int64N(int64(created.interval)))
	fleet.links = append(fleet.links, created)
	return created
}

// permitSource returns the permit source of a node. The root of the first data centre is the
// issuer.
func (node *node) permitSource(ratelimit.Run) ratelimit.PermitSource {
	switch {
	case node.upstream != nil && node.upstream.down:
		return ratelimit.PermitSource{Issuer: true, Share: node.share}
	case node.upstream != nil:
		return ratelimit.PermitSource{Lender: ratelimit.Neighbour(node.upstream.number)}
	case node.centre == 0:
		return ratelimit.PermitSource{Issuer: true, Share: node.share}
	case node.rootLinks[0] != nil && !node.rootLinks[0].down:
		return ratelimit.PermitSource{Lender: ratelimit.Neighbour(node.rootLinks[0].number)}
	}
	return ratelimit.PermitSource{Issuer: true, Share: node.share}
}

// announceLimit makes all nodes know a limit.
func (fleet *fleet) announceLimit(rate float64) {
	for _, node := range fleet.nodes {
		node.limits.Merge(ratelimit.Limit{Run: run, Rate: rate, Version: 1, At: fleet.clock.current})
	}
}

// simulate advances the time by span while requests arrive at the given rate.
func (fleet *fleet) simulate(span time.Duration, perSecond float64) {
	for until := fleet.clock.current + span; fleet.clock.current < until; fleet.clock.current += step {
		for _, link := range fleet.links {
			fleet.exchangeFrames(link)
		}
		for _, node := range fleet.nodes {
			if node.pausedUntil <= fleet.clock.current {
				fleet.processWaiting(node)
			}
		}
		for mean := perSecond * step.Seconds(); mean > 0; mean-- {
			if fleet.random.Float64() < mean {
				fleet.handleRequest(fleet.nodes[fleet.random.IntN(len(fleet.nodes))])
			}
		}
	}
}

// handleRequest handles a request that arrives at a node.
func (fleet *fleet) handleRequest(node *node) {
	fleet.arrived++
	if fleet.acquire(node) {
		fleet.sent = append(fleet.sent, fleet.clock.current)
		return
	}
	node.waiting = append(node.waiting, request{since: fleet.clock.current, until: fleet.clock.current + maxWait, done: node.gate.AddWaiter(0)})
	fleet.sendImmediately(node, node.limits.Refresh(node.permitSource))
}

// processWaiting admits or refuses the waiting requests of a node and refreshes its permits.
func (fleet *fleet) processWaiting(node *node) {
	if int(fleet.clock.current/step)%20 == node.number%20 {
		fleet.sendImmediately(node, node.limits.Refresh(node.permitSource))
	}
	node.waiting = slices.DeleteFunc(node.waiting, func(request request) bool {
		switch {
		case fleet.acquire(node):
			fleet.sent = append(fleet.sent, fleet.clock.current)
			fleet.totalWait += fleet.clock.current - request.since
		case request.until <= fleet.clock.current:
			fleet.refused++
		default:
			return false
		}
		request.done()
		return true
	})
}

// sendImmediately makes a node send frames to neighbours ahead of the regular interval.
func (fleet *fleet) sendImmediately(from *node, neighbours []ratelimit.Neighbour) {
	for _, neighbour := range neighbours {
		link := fleet.links[neighbour-1]
		fleet.sendFrame(link, link.endOf(from))
	}
}

func (link *link) endOf(node *node) int {
	if link.ends[0] == node {
		return 0
	}
	return 1
}

// sendFrame sends a frame from one end of a link.
func (fleet *fleet) sendFrame(link *link, from int) {
	sender, number := link.ends[from], ratelimit.Neighbour(link.number)
	fleet.frames++
	link.nextFrameAt[from] = fleet.clock.current + link.interval
	sent := packet{at: fleet.clock.current + frameDelay, to: 1 - from, claims: sender.limits.Claims(number), loans: sender.limits.Loans(number)}
	if content := fmt.Sprint(sent.claims, sent.loans); content != link.lastSent[from] {
		link.lastSent[from] = content
		fleet.entries += len(sent.claims) + len(sent.loans)
	}
	if !link.down {
		link.pending = append(link.pending, sent)
	}
}

func (fleet *fleet) exchangeFrames(link *link) {
	for end, node := range link.ends {
		if link.nextFrameAt[end] <= fleet.clock.current && node.pausedUntil <= fleet.clock.current {
			fleet.sendFrame(link, end)
		}
	}
	arrived := []packet{}
	link.pending = slices.DeleteFunc(link.pending, func(packet packet) bool {
		due := packet.at <= fleet.clock.current && link.ends[packet.to].pausedUntil <= fleet.clock.current
		if due {
			arrived = append(arrived, packet)
		}
		return due
	})
	for _, packet := range arrived {
		receiver, number := link.ends[packet.to], ratelimit.Neighbour(link.number)
		fleet.sendImmediately(receiver, receiver.limits.ApplyClaims(number, packet.claims, receiver.permitSource))
		fleet.sendImmediately(receiver, receiver.limits.ApplyLoans(number, packet.loans, receiver.permitSource))
	}
}

// maxAfterIdle returns the maximum number of requests in any four seconds after callers return in
// large numbers from an idle period.
func (fleet *fleet) maxAfterIdle(rate float64) float64 {
	fleet.simulate(3*time.Second, 0)
	if fleet.equalShares != nil {
		for node := range fleet.equalShares.tokens {
			fleet.equalShares.tokens[node] = 1
		}
	}
	resumedAt := fleet.clock.current
	fleet.simulate(3*time.Second, 20*rate+4*float64(len(fleet.nodes)))
	return float64(fleet.maxInWindow(resumedAt))
}

// maxInWindow returns the maximum number of requests in any four seconds that end at or after the
// given time.
func (fleet *fleet) maxInWindow(after time.Duration) int {
	highest, first := 0, 0
	for index, at := range fleet.sent {
		for fleet.sent[first] <= at-4*time.Second {
			first++
		}
		if at >= after {
			highest = max(highest, index-first+1)
		}
	}
	return highest
}

func (fleet *fleet) sentSince(since time.Duration) int {
	count := 0
	for _, at := range fleet.sent {
		if at >= since {
			count++
		}
	}
	return count
}

// tolerated is the number of requests that a server tolerates within four seconds.
func tolerated(rate float64) float64 { return 1.5*rate*4 + 5 }

// Guards against nodes that together exceed a limit, and against nodes that leave much of it
// unused, at any fleet size.
func TestFleetKeepsAndUsesLimitAtAnySize(t *testing.T) {
	sizes := []struct {
		nodes, centres int
		span           time.Duration
		minUsed        float64
		rates          []float64
	}{
		{nodes: 1, centres: 1, span: 100 * time.Second, minUsed: 0.9, rates: []float64{0.2, 1.1, 5, 50, 500}},
		{nodes: 8, centres: 2, span: 100 * time.Second, minUsed: 0.9, rates: []float64{0.2, 1.1, 5, 50, 500}},
		{nodes: 30, centres: 3, span: 40 * time.Second, minUsed: 0.8, rates: []float64{5, 50}},
		{nodes: 300, centres: 5, span: 20 * time.Second, minUsed: 0.8, rates: []float64{5}},
	}
	if suite.Rounds(0) > 0 {
		sizes = append(sizes, sizes[3], sizes[3])
		sizes[4].nodes, sizes[4].rates = 100, []float64{0.2, 1.1, 5, 50, 500}
		sizes[5].rates = []float64{0.2, 1.1, 50, 500}
	}
	for _, size := range sizes {
		for _, rate := range size.rates {
			t.Run(fmt.Sprintf("%d nodes, %v requests per second", size.nodes, rate), func(t *testing.T) {
				expect := gomega.NewWithT(t)
				fleet := newFleet(suite.Seed(), size.nodes, size.centres)
				fleet.simulate(4*time.Second, 4*rate)
				announcedAt := fleet.clock.current
				fleet.announceLimit(rate)
				fleet.simulate(5*time.Second, 2*rate)
				measuredFrom, frames := fleet.clock.current, fleet.frames
				fleet.simulate(size.span, 2*rate)
				used := float64(fleet.sentSince(measuredFrom)) / (rate * size.span.Seconds())
				t.Logf("most in a window %d (tolerated %.1f), used share %.2f, %d frames per second", fleet.maxInWindow(announcedAt+3*time.Second), tolerated(rate), used, int(float64(fleet.frames-frames)/size.span.Seconds()))
				expect.Expect(float64(fleet.maxInWindow(announcedAt + 3*time.Second))).To(gomega.BeNumerically("<=", tolerated(rate)))
				if rate*size.span.Seconds() >= 100 {
					expect.Expect(used).To(gomega.BeNumerically(">=", size.minUsed))
				}
			})
		}
	}
}

// BenchmarkLimitSharingStrategies compares permits with equal shares ("parts"). It reports for each
// strategy: the maximum count in four seconds relative to what the server tolerates, in steady
// state and after callers return in large numbers from an idle period; the used share of the limit
// when callers want twice the limit; the mean wait of the requests sent; and the frames and entries
// per second on top of those without a limit.
func BenchmarkLimitSharingStrategies(b *testing.B) {
	for _, size := range []struct{ nodes, centres int }{{8, 2}, {30, 3}, {100, 3}, {300, 5}} {
		for _, rate := range []float64{0.2, 1.1, 5, 50, 500} {
			for _, strategy := range []string{"permits", "parts"} {
				b.Run(fmt.Sprintf("nodes=%d/rate=%v/%s", size.nodes, rate, strategy), func(b *testing.B) {
					fleet := newFleet(suite.Seed(), size.nodes, size.centres)
					fleet.simulate(2*time.Second, 0)
					baseFrameRate := float64(fleet.frames) / 2
					announcedAt := fleet.clock.current
					if strategy == "parts" {
						fleet.useEqualShares(rate)
					} else {
						fleet.announceLimit(rate)
					}
					fleet.simulate(4*time.Second, 2*rate)
					frames, entries, measuredFrom := fleet.frames, fleet.entries, fleet.clock.current
					span := 20 * time.Second
					fleet.simulate(span, 2*rate)
					b.ReportMetric(float64(fleet.maxInWindow(announcedAt+3*time.Second))/tolerated(rate), "worst/bound")
					b.ReportMetric(float64(fleet.sentSince(measuredFrom))/rate/span.Seconds(), "used")
					b.ReportMetric(float64(fleet.totalWait.Milliseconds())/max(1, float64(len(fleet.sent))), "ms-waited")
					b.ReportMetric(float64(fleet.frames-frames)/span.Seconds()-baseFrameRate, "frames/s")
					b.ReportMetric(float64(fleet.entries-entries)/span.Seconds(), "entries/s")
					b.ReportMetric(fleet.maxAfterIdle(rate)/tolerated(rate), "rush/bound")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}
