// Package leadership elects the node that sends orders to backend servers, the leader.
//
// Each leader has a term: a number that fences its orders. Normally a node gets a term from the platform's store, by
// appending a record: the term derives from the record's position, so no two nodes get the same term and each term is
// higher than all earlier ones. When the store is restored from an older backup, it can assign the same positions
// again. The term's highest part is therefore the store's era (its restore generation), so a node that claims a term
// after a restore outranks all earlier leaders, whether or not it has heard of them.
//
// The node with the highest term remains leader for as long as its peers hear from it; there is no renewal. When it
// becomes unreachable, the peer that ranks first by rendezvous hashing takes the next term, and the other peers
// follow one by one if that peer does not.
//
// A network partition can produce two leaders. The servers then decide, because they refuse orders under the lower
// term; see package formation. So a node that cannot reach the store may also choose a term itself, between the
// highest that it knows and the next one that the store would assign.
//
// # Usage
//
//	elector := leadership.New(incarnation, claim, clock.Boot)
//	elector.TryTakeOver(peers, eligible)
//	if term := elector.Term(); term != 0 { ... }
package leadership

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/common/rendezvous"
	"hazelslip/internal/state/storelog"
)

// Peer is the last announced state of another node.
type Peer struct {
	Incarnation uint64
	// Term is the term that the peer holds, 0 for none.
	Term int64
	// Eligible is set when the peer knows enough to send orders.
	Eligible bool
}

const (
	// TermSpacing is the distance between two consecutive terms that the store assigns. Nodes choose terms in between
	// while the store is unavailable.
	TermSpacing = 1 << 18
	// maxPositionsPerEra is how many terms the store can assign per era. Together with the epochs derived from a
	// term, the terms of 32 eras are integers that every JSON reader represents exactly.
	maxPositionsPerEra = 1 << 14
	// takeoverDelay is how long there must be no leader before the first candidate takes over. It is longer than one
	// lost exchange with a peer, because a second leader causes refused orders.
	takeoverDelay = 300 * time.Millisecond
	// rankDelay is the additional wait of each further candidate.
	rankDelay = 400 * time.Millisecond
	// refusalCooldown is how long a node waits for a new term after a server refused its term.
	refusalCooldown = 2 * time.Second
)

// Elector decides when this node becomes the leader, and holds its term.
type Elector struct {
	incarnation uint64
	// claim appends a record to the store's log and returns the record's position. It fails while the store is
	// unavailable.
	claim func() (storelog.Position, error)
	now   clock.Now
	// random returns a random number in [0, below).
	random func(below int64) int64

	term    atomic.Int64
	highest atomic.Int64

	mu              sync.Mutex
	leaderlessSince time.Duration
	leaderless      bool
	cooldownUntil   time.Duration
}

// Option configures an Elector.
type Option func(*Elector)

// Random sets the source of randomness for terms that the node chooses itself.
func Random(random func(below int64) int64) Option {
	return func(elector *Elector) { elector.random = random }
}

// New returns an elector without a term.
func New(incarnation uint64, claim func() (storelog.Position, error), now clock.Now, options ...Option) *Elector {
	elector := &Elector{incarnation: incarnation, claim: claim, now: now, random: rand.Int64N}
	for _, option := range options {
		option(elector)
	}
	return elector
}

// Term returns the term that this node holds, 0 for none.
func (elector *Elector) Term() int64 {
	return elector.term.Load()
}

// Highest returns the highest term that this node has heard of.
func (elector *Elector) Highest() int64 {
	return elector.highest.Load()
}

// Observe records a term of any node. A leader gives up its own term when it observes a higher one.
func (elector *Elector) Observe(term int64) {
	for {
		highest := elector.highest.Load()
		if term <= highest || elector.highest.CompareAndSwap(highest, term) {
			break
		}
	}
	if own := elector.term.Load(); own != 0 && own < term {
		elector.term.CompareAndSwap(own, 0)
	}
}

// HandleRefusal is called when a server refused a term, which means that another node is the leader. The node sends
// no more orders under that term, and takes a new term only after refusalCooldown.
func (elector *Elector) HandleRefusal(term int64) {
	if !elector.term.CompareAndSwap(term, 0) {
		return
	}
	elector.mu.Lock()
	defer elector.mu.Unlock()
	elector.cooldownUntil = elector.now() + refusalCooldown
}

// RecordPause records that this process did not run for a span that ends now. The span does not count as time without
// a leader.
func (elector *Elector) RecordPause(pause time.Duration) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	elector.leaderlessSince = clock.AfterPause(elector.leaderlessSince, pause, elector.now())
}

// TryTakeOver takes a new term if it is this node's turn, and returns true if it took one. Peers are the nodes heard
// from recently; eligible says whether this node is able to send orders.
func (elector *Elector) TryTakeOver(peers []Peer, eligible bool) bool {
	hasLeader := elector.Term() != 0
	for _, peer := range peers {
		elector.Observe(peer.Term)
		hasLeader = hasLeader || peer.Term != 0
	}
	if !elector.takeoverDue(hasLeader, peers, eligible) {
		return false
	}
	return elector.adopt(elector.nextTerm())
}

// adopt makes a term this node's own, unless the node has meanwhile heard of that term or a higher one. Claiming a
// position in the store may take a while, and another node may have become the leader. The servers could not tell
// apart two leaders with the same term.
func (elector *Elector) adopt(term int64) bool {
	for {
		highest := elector.highest.Load()
		if term <= highest {
			return false
		}
		if elector.highest.CompareAndSwap(highest, term) {
			break
		}
	}
	elector.term.Store(term)
	return true
}

// takeoverDue reports whether this node should take over now.
func (elector *Elector) takeoverDue(hasLeader bool, peers []Peer, eligible bool) bool {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	now := elector.now()
	if hasLeader || !eligible {
		elector.leaderless = false
		return false
	}
	if !elector.leaderless {
		elector.leaderless, elector.leaderlessSince = true, now
	}
	if now < elector.cooldownUntil {
		return false
	}
	return now-elector.leaderlessSince >= takeoverDelay+time.Duration(elector.rank(peers))*rankDelay
}

// rank returns the number of candidates ahead of this node.
func (elector *Elector) rank(peers []Peer) int {
	candidates := []uint64{elector.incarnation}
	for _, peer := range peers {
		if peer.Eligible {
			candidates = append(candidates, peer.Incarnation)
		}
	}
	return rendezvous.Rank(rendezvousKey, elector.incarnation, candidates)
}

const rendezvousKey = "orders"

// nextTerm returns a term above all that were known at the time of the call: the one that the store assigns, or a
// locally chosen one if the store is unavailable or its term is not higher.
func (elector *Elector) nextTerm() int64 {
	highest := elector.highest.Load()
	position, err := elector.claim()
	if term := termFor(position); err == nil && term > highest {
		return term
	}
	return highest + 1 + elector.random(localTermRange)
}

// termFor returns the term that corresponds to a position in the store's log. It returns 0 for a position beyond
// maxPositionsPerEra, whose term would fall into the next era.
func termFor(position storelog.Position) int64 {
	if !position.Known() || position.Offset+1 >= maxPositionsPerEra {
		return 0
	}
	return (position.Era*maxPositionsPerEra + position.Offset + 1) * TermSpacing
}

// localTermRange is how far above the highest known term a locally chosen term may lie. It is wide, so that two nodes
// that can reach neither the store nor each other are unlikely to choose the same term, and narrow enough that
// several such terms fit below the next one that the store assigns.
const localTermRange = TermSpacing / 4
