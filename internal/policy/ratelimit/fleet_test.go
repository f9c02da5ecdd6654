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

// step is how finely the model's time passes.
const step = 2 * time.Millisecond

// fleet is a model of nodes that share one server's limit: data centres with a root, two
// relays and leaves each, whose frames take a few milliseconds.
type fleet struct {
	draw  *rand.Rand
	clock *clockAt
	nodes []*node
	links []*link
	// sent are the times at which requests reached the server.
	sent []time.Duration
	// asked and refused count requests, waited is how long those that were sent waited.
	asked, refused int
	waited         time.Duration
	// frames counts frames, entries the claims and loans in them that changed.
	frames, entries int
	// parts are the nodes' own buckets where each keeps an equal part of the limit; nil
	// where they borrow permits.
	parts *parts
}

// parts is the plain way to share a limit: each node keeps an equal part of it, and saves up
// one request.
type parts struct {
	rate   float64
	tokens []float64
	filled []time.Duration
}

func (fleet *fleet) keepParts(rate float64) {
	fleet.parts = &parts{rate: rate / float64(len(fleet.nodes)), tokens: make([]float64, len(fleet.nodes)), filled: make([]time.Duration, len(fleet.nodes))}
	for node := range fleet.nodes {
		fleet.parts.tokens[node], fleet.parts.filled[node] = fleet.draw.Float64(), fleet.clock.at
	}
}

func (parts *parts) take(node int, now time.Duration) bool {
	parts.tokens[node] = min(1, parts.tokens[node]+parts.rate*(now-parts.filled[node]).Seconds())
	parts.filled[node] = now
	if parts.tokens[node] < 1 {
		return false
	}
	parts.tokens[node]--
	return true
}

// take lets a request through at a node.
func (fleet *fleet) take(node *node) bool {
	if fleet.parts != nil {
		return fleet.parts.take(node.number, fleet.clock.at)
	}
	return node.gate.Take(0)
}

// node is one node of the model.
type node struct {
	number int
	centre int
	limits *ratelimit.Limits
	gate   *ratelimit.Gate
	// up is the link to the node above, nil for a root; roots are those to other roots.
	up    *link
	roots map[int]*link
	part  float64
	// still says that the node stands still, until a time.
	stillUntil time.Duration
	waiting    []request
}

// request waits for a permit at a node.
type request struct {
	since, until time.Duration
	done         func()
}

// link connects two nodes; the numbers are those by which each knows the other.
type link struct {
	number int
	ends   [2]*node
	// dueAt is when each end sends its next frame, pending what is on the way to it.
	every time.Duration
	dueAt [2]time.Duration
	cut   bool
	// told is what each end told last.
	told [2]string
	// pending are the frames on their way.
	pending []packet
}

// packet is a frame on its way to one end of a link.
type packet struct {
	at     time.Duration
	to     int
	claims []ratelimit.Claim
	loans  []ratelimit.Loan
}

const (
	frameDelay = 1 * time.Millisecond
	// patience is how long a request waits for a permit.
	patience = 36 * time.Millisecond
)

func newFleet(seed uint64, nodes, centres int) *fleet {
	made := &fleet{draw: rand.New(rand.NewPCG(seed, 7)), clock: &clockAt{at: time.Minute}}
	roots := []*node{}
	for number := range nodes {
		made.nodes = append(made.nodes, made.newNode(number, number%centres))
	}
	for centre := range centres {
		inside := slices.DeleteFunc(slices.Clone(made.nodes), func(node *node) bool { return node.centre != centre })
		for place, member := range inside[1:] {
			above := inside[0]
			if place >= 2 {
				above = inside[place%3]
			}
			member.up = made.connect(member, above)
		}
		roots = append(roots, inside[0])
	}
	for place, root := range roots {
		for _, other := range roots[:place] {
			opened := made.connect(root, other)
			root.roots[other.centre], other.roots[root.centre] = opened, opened
		}
	}
	return made
}

func (fleet *fleet) newNode(number, centre int) *node {
	made := &node{number: number, centre: centre, roots: map[int]*link{}, part: 1}
	made.limits = ratelimit.New(ratelimit.Clock(fleet.clock.now), ratelimit.Incarnation(fleet.draw.Uint64()))
	made.gate = made.limits.Gate(run)
	return made
}

func (fleet *fleet) connect(one, other *node) *link {
	leaves := max(1, len(fleet.nodes)/9)
	made := &link{number: len(fleet.links) + 1, ends: [2]*node{one, other}, every: min(200*time.Millisecond, max(50*time.Millisecond, time.Duration(leaves)*2500*time.Microsecond))}
	made.dueAt[0] = fleet.clock.at + time.Duration(fleet.draw.Int64N(int64(made.every)))
	made.dueAt[1] = fleet.clock.at + time.Duration(fleet.draw.Int64N(int64(made.every)))
	fleet.links = append(fleet.links, made)
	return made
}

// duty is a node's: the root of the first data centre is the server's home.
func (node *node) duty(ratelimit.Run) ratelimit.Duty {
	switch {
	case node.up != nil && node.up.cut:
		return ratelimit.Duty{Home: true, Part: node.part}
	case node.up != nil:
		return ratelimit.Duty{Lender: ratelimit.Neighbour(node.up.number)}
	case node.centre == 0:
		return ratelimit.Duty{Home: true, Part: node.part}
	case node.roots[0] != nil && !node.roots[0].cut:
		return ratelimit.Duty{Lender: ratelimit.Neighbour(node.roots[0].number)}
	}
	return ratelimit.Duty{Home: true, Part: node.part}
}

// name makes all nodes know a limit.
func (fleet *fleet) name(rate float64) {
	for _, node := range fleet.nodes {
		node.limits.Take(ratelimit.Limit{Run: run, Rate: rate, Version: 1, At: fleet.clock.at})
	}
}

// play lets time pass while callers want some requests a second.
func (fleet *fleet) play(span time.Duration, perSecond float64) {
	for until := fleet.clock.at + span; fleet.clock.at < until; fleet.clock.at += step {
		for _, link := range fleet.links {
			fleet.deliver(link)
		}
		for _, node := range fleet.nodes {
			if node.stillUntil <= fleet.clock.at {
				fleet.serve(node)
			}
		}
		for mean := perSecond * step.Seconds(); mean > 0; mean-- {
			if fleet.draw.Float64() < mean {
				fleet.ask(fleet.nodes[fleet.draw.IntN(len(fleet.nodes))])
			}
		}
	}
}

// ask is a request that reaches a node.
func (fleet *fleet) ask(node *node) {
	fleet.asked++
	if fleet.take(node) {
		fleet.sent = append(fleet.sent, fleet.clock.at)
		return
	}
	node.waiting = append(node.waiting, request{since: fleet.clock.at, until: fleet.clock.at + patience, done: node.gate.Await(0)})
	fleet.hasten(node, node.limits.Refresh(node.duty))
}

// serve lets a node's waiting requests go on, and keeps its permits.
func (fleet *fleet) serve(node *node) {
	if int(fleet.clock.at/step)%20 == node.number%20 {
		fleet.hasten(node, node.limits.Refresh(node.duty))
	}
	node.waiting = slices.DeleteFunc(node.waiting, func(request request) bool {
		switch {
		case fleet.take(node):
			fleet.sent = append(fleet.sent, fleet.clock.at)
			fleet.waited += fleet.clock.at - request.since
		case request.until <= fleet.clock.at:
			fleet.refused++
		default:
			return false
		}
		request.done()
		return true
	})
}

// hasten makes a node send frames at once.
func (fleet *fleet) hasten(from *node, neighbours []ratelimit.Neighbour) {
	for _, neighbour := range neighbours {
		link := fleet.links[neighbour-1]
		fleet.send(link, link.end(from))
	}
}

func (link *link) end(node *node) int {
	if link.ends[0] == node {
		return 0
	}
	return 1
}

// send sends a frame from one end of a link.
func (fleet *fleet) send(link *link, from int) {
	sender, number := link.ends[from], ratelimit.Neighbour(link.number)
	fleet.frames++
	link.dueAt[from] = fleet.clock.at + link.every
	sent := packet{at: fleet.clock.at + frameDelay, to: 1 - from, claims: sender.limits.Claims(number), loans: sender.limits.Loans(number)}
	if told := fmt.Sprint(sent.claims, sent.loans); told != link.told[from] {
		link.told[from] = told
		fleet.entries += len(sent.claims) + len(sent.loans)
	}
	if !link.cut {
		link.pending = append(link.pending, sent)
	}
}

func (fleet *fleet) deliver(link *link) {
	for end, node := range link.ends {
		if link.dueAt[end] <= fleet.clock.at && node.stillUntil <= fleet.clock.at {
			fleet.send(link, end)
		}
	}
	arrived := []packet{}
	link.pending = slices.DeleteFunc(link.pending, func(packet packet) bool {
		due := packet.at <= fleet.clock.at && link.ends[packet.to].stillUntil <= fleet.clock.at
		if due {
			arrived = append(arrived, packet)
		}
		return due
	})
	for _, packet := range arrived {
		receiver, number := link.ends[packet.to], ratelimit.Neighbour(link.number)
		fleet.hasten(receiver, receiver.limits.TakeClaims(number, packet.claims, receiver.duty))
		fleet.hasten(receiver, receiver.limits.TakeLoans(number, packet.loans, receiver.duty))
	}
}

// rush is the most requests in any four seconds when callers come back in numbers after a
// time without any.
func (fleet *fleet) rush(rate float64) float64 {
	fleet.play(3*time.Second, 0)
	if fleet.parts != nil {
		for node := range fleet.parts.tokens {
			fleet.parts.tokens[node] = 1
		}
	}
	began := fleet.clock.at
	fleet.play(3*time.Second, 20*rate+4*float64(len(fleet.nodes)))
	return float64(fleet.worst(began))
}

// worst is the most requests in any four seconds that end after a time.
func (fleet *fleet) worst(after time.Duration) int {
	worst, first := 0, 0
	for number, at := range fleet.sent {
		for fleet.sent[first] <= at-4*time.Second {
			first++
		}
		if at >= after {
			worst = max(worst, number-first+1)
		}
	}
	return worst
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

func bearable(rate float64) float64 { return 1.5*rate*4 + 5 }

// Guards against nodes that together exceed a limit, or leave much of it unused, at any
// size of the fleet.
func TestFleetsOfAnySizeKeepALimitAndUseIt(t *testing.T) {
	sizes := []struct {
		nodes, centres int
		span           time.Duration
		least          float64
		rates          []float64
	}{
		{nodes: 1, centres: 1, span: 100 * time.Second, least: 0.9, rates: []float64{0.2, 1.1, 5, 50, 500}},
		{nodes: 8, centres: 2, span: 100 * time.Second, least: 0.9, rates: []float64{0.2, 1.1, 5, 50, 500}},
		{nodes: 30, centres: 3, span: 40 * time.Second, least: 0.8, rates: []float64{5, 50}},
		{nodes: 300, centres: 5, span: 20 * time.Second, least: 0.8, rates: []float64{5}},
	}
	if suite.Rounds(0) > 0 {
		sizes = append(sizes, sizes[3], sizes[3])
		sizes[4].nodes, sizes[4].rates = 100, []float64{0.2, 1.1, 5, 50, 500}
		sizes[5].rates = []float64{0.2, 1.1, 50, 500}
	}
	for _, size := range sizes {
		for _, rate := range size.rates {
			t.Run(fmt.Sprintf("%d nodes, %v a second", size.nodes, rate), func(t *testing.T) {
				expect := gomega.NewWithT(t)
				fleet := newFleet(suite.Seed(), size.nodes, size.centres)
				fleet.play(4*time.Second, 4*rate)
				named := fleet.clock.at
				fleet.name(rate)
				fleet.play(5*time.Second, 2*rate)
				settled, frames := fleet.clock.at, fleet.frames
				fleet.play(size.span, 2*rate)
				used := float64(fleet.sentSince(settled)) / (rate * size.span.Seconds())
				t.Logf("worst %d of %.1f, used %.2f, %d frames a second", fleet.worst(named+3*time.Second), bearable(rate), used, int(float64(fleet.frames-frames)/size.span.Seconds()))
				expect.Expect(float64(fleet.worst(named + 3*time.Second))).To(gomega.BeNumerically("<=", bearable(rate)))
				if rate*size.span.Seconds() >= 100 {
					expect.Expect(used).To(gomega.BeNumerically(">=", size.least))
				}
			})
		}
	}
}

// BenchmarkWaysToShareALimit compares permits with equal parts, and prints for each the
// worst count in four seconds as a part of what the server bears, also when callers come back
// in numbers after a time without any, the part of the limit that
// is used where callers want twice as much, the mean wait of requests that were sent, and
// frames and entries a second beside those without a limit.
func BenchmarkWaysToShareALimit(b *testing.B) {
	for _, size := range []struct{ nodes, centres int }{{8, 2}, {30, 3}, {100, 3}, {300, 5}} {
		for _, rate := range []float64{0.2, 1.1, 5, 50, 500} {
			for _, way := range []string{"permits", "parts"} {
				b.Run(fmt.Sprintf("nodes=%d/rate=%v/%s", size.nodes, rate, way), func(b *testing.B) {
					fleet := newFleet(suite.Seed(), size.nodes, size.centres)
					fleet.play(2*time.Second, 0)
					quiet := float64(fleet.frames) / 2
					named := fleet.clock.at
					if way == "parts" {
						fleet.keepParts(rate)
					} else {
						fleet.name(rate)
					}
					fleet.play(4*time.Second, 2*rate)
					frames, entries, settled := fleet.frames, fleet.entries, fleet.clock.at
					span := 20 * time.Second
					fleet.play(span, 2*rate)
					b.ReportMetric(float64(fleet.worst(named+3*time.Second))/bearable(rate), "worst/bound")
					b.ReportMetric(float64(fleet.sentSince(settled))/rate/span.Seconds(), "used")
					b.ReportMetric(float64(fleet.waited.Milliseconds())/max(1, float64(len(fleet.sent))), "ms-waited")
					b.ReportMetric(float64(fleet.frames-frames)/span.Seconds()-quiet, "frames/s")
					b.ReportMetric(float64(fleet.entries-entries)/span.Seconds(), "entries/s")
					b.ReportMetric(fleet.rush(rate)/bearable(rate), "rush/bound")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}
