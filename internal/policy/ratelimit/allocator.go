package ratelimit

import "time"

const (
	// Within a rate window a server tolerates toleranceFactor times its limit plus toleranceBurst
	// requests.
	toleranceFactor = 1.5
	toleranceBurst  = 5
	// The issuer accumulates at most the permits of burstTime, plus minBurst permits.
	burstTime = 200 * time.Millisecond
	minBurst  = 2
	// reservedBurst is the number of requests of toleranceBurst that issuers keep in reserve.
	reservedBurst = 1
	// usageReportTime is the time after which an issuer that just learned a limit has received the
	// number of requests that other nodes sent before.
	usageReportTime = 300 * time.Millisecond
	// permitTTL is how long a node keeps an unused permit for its own requests. idlePermitTTL applies
	// instead if no request wants a permit anymore, as when a permit arrives too late for the request
	// that waited for it. stockTTL is how long a node keeps a permit that no neighbour wants anymore.
	// Expired permits are returned so that other nodes can use them.
	permitTTL     = 700 * time.Millisecond
	idlePermitTTL = 50 * time.Millisecond
	stockTTL      = 300 * time.Millisecond
	// urgentClaimInterval is the minimum time between two claims that are sent to the lender without
	// waiting for the next regular frame.
	urgentClaimInterval = 10 * time.Millisecond
	// orphanTTL is the time after which the permits held by a lost neighbour or by a former issuer are
	// used or expired. A permit passes through three nodes at most.
	orphanTTL = 3*stockTTL + permitTTL
)

// borrower is a neighbour that borrows permits, or this node itself.
type borrower struct {
	// session is the borrower's own session number.
	session              uint64
	lent, used, returned uint64
	wanted, waiting      int
	sentWithoutPermit    int
	// credit accumulates the borrower's shortfall while there are fewer permits than wanted. The
	// borrower with the highest credit gets the next permit.
	credit int
}

// outstanding returns the number of permits that the borrower may still use.
func (borrower *borrower) outstanding() int {
	return int(borrower.lent - borrower.used - borrower.returned)
}

func (borrower *borrower) shortfall() int {
	return max(0, max(borrower.wanted, borrower.waiting)-borrower.outstanding())
}

func (borrower *borrower) hasUnservedWaiters() bool {
	return borrower.waiting > borrower.outstanding()
}

// accepts reports whether a claim is consistent: its counts do not decrease, and they do not exceed
// the number of permits lent.
func (borrower *borrower) accepts(claim *Claim) bool {
	return claim.Used >= borrower.used && claim.Returned >= borrower.returned &&
		claim.Used <= borrower.lent && claim.Returned <= borrower.lent-claim.Used
}

// allocator distributes the permits of one server run at this node. The issuer creates permits at
// the rate of the limit. Other nodes borrow permits from their lender. Each node lends permits to
// the neighbours behind it on demand.
//
// An outstanding permit is lent and neither used nor returned. All outstanding permits may be used
// at the same moment. Their number is therefore bounded by what the server tolerates above its
// limit, which keeps the limit regardless of the timing between nodes.
type allocator struct {
	gate   *Gate
	rate   float64
	source PermitSource
	// session identifies the loans that this node grants.
	session   uint64
	borrowers map[Neighbour]*borrower
	// local holds the permits for this node's own requests. stock holds borrowed permits that this node
	// has not lent on. orphans holds the permits of lost neighbours. orphanSentWithoutPermit counts the
	// requests that lost neighbours sent without a permit.
	local, stock, orphans, orphanSentWithoutPermit []batch
	// lenderSession is the lender's session. received, used and returned count permits since that
	// session began.
	lenderSession  uint64
	received       uint64
	used, returned uint64
	// tokens is the number of permits that an issuer may issue. refilledAt is the time of the last
	// refill. issuesFrom is the time before which no permits are issued. recentlyIssued counts the
	// permits issued within the rate window.
	tokens         float64
	refilledAt     time.Duration
	issuesFrom     time.Duration
	recentlyIssued slidingCounter
	// urgentClaimAt is the time of the last urgent claim to the lender.
	urgentClaimAt time.Duration
}

func newAllocator(gate *Gate, now time.Duration) *allocator {
	gate.requirePermits()
	return &allocator{gate: gate, borrowers: map[Neighbour]*borrower{Self: {}}, refilledAt: now, issuesFrom: now + usageReportTime}
}

// reset starts a new session: all permits are revoked, and permits lent in earlier sessions are
// ignored.
func (allocator *allocator) reset(session uint64) {
	allocator.gate.requirePermits()
	allocator.local, allocator.stock, allocator.orphans = nil, nil, nil
	allocator.session = session
	allocator.received, allocator.used, allocator.returned = 0, 0, 0
	for _, borrower := range allocator.borrowers {
		borrower.lent, borrower.used, borrower.returned = 0, 0, 0
	}
}

// setSource sets where this node gets permits from. A different source starts a new session.
func (allocator *allocator) setSource(source PermitSource, now time.Duration, session func() uint64) {
	before := allocator.source
	allocator.source = source
	if allocator.session != 0 && before.Issuer == source.Issuer && before.Lender == source.Lender {
		return
	}
	initial := allocator.session == 0
	allocator.reset(session())
	allocator.lenderSession = 0
	if source.Issuer {
		allocator.tokens, allocator.refilledAt = 0, now
		if !initial {
			// A node that becomes the issuer later waits until the permits of the former issuer have expired.
			allocator.issuesFrom = now + orphanTTL
		}
	}
}

// applyClaim applies the usage and demand that a borrower reports.
func (allocator *allocator) applyClaim(from Neighbour, claim *Claim, now time.Duration) {
	state := allocator.borrowers[from]
	if state == nil {
		state = &borrower{session: claim.Borrower}
		allocator.borrowers[from] = state
	}
	if state.session != claim.Borrower {
		allocator.orphans = append(allocator.orphans, batch{count: state.outstanding(), expiresAt: now + orphanTTL})
		*state = borrower{session: claim.Borrower}
	}
	state.wanted, state.waiting, state.sentWithoutPermit = claim.Wanted, claim.Waiting, claim.SentFree
	if claim.Session != allocator.session || !state.accepts(claim) {
		return
	}
	used, returned := claim.Used-state.used, claim.Returned-state.returned
	state.used, state.returned = claim.Used, claim.Returned
	allocator.recordUsage(int(used), int(returned))
}

// recordUsage accounts for permits that were used and for permits that were returned. An issuer
// issues returned permits again. Other nodes report both counts to their lender.
func (allocator *allocator) recordUsage(used, returned int) {
	if allocator.source.Issuer {
		allocator.tokens = min(allocator.burst(), allocator.tokens+float64(returned))
		return
	}
	allocator.used += uint64(used)
	allocator.returned += uint64(returned)
}

// applyLoan adds the permits that the lender granted since its previous loan.
func (allocator *allocator) applyLoan(from Neighbour, loan *Loan, now time.Duration, session func() uint64) {
	if allocator.source.Issuer || from != allocator.source.Lender {
		return
	}
	if allocator.lenderSession != 0 && loan.Session != allocator.lenderSession {
		allocator.reset(session())
	}
	allocator.lenderSession = loan.Session
	if loan.Borrower != allocator.session {
		// The loan belongs to a session of this node that has ended.
		return
	}
	if added := int(loan.Lent - allocator.received); loan.Lent > allocator.received {
		allocator.received = loan.Lent
		allocator.stock = append(allocator.stock, batch{count: added, expiresAt: now + stockTTL})
	}
}

// removeNeighbour handles the loss of the link to a neighbour. The neighbour may still use its
// permits until they expire.
func (allocator *allocator) removeNeighbour(neighbour Neighbour, now time.Duration) {
	if state := allocator.borrowers[neighbour]; state != nil && neighbour != Self {
		allocator.orphans = append(allocator.orphans, batch{count: state.outstanding(), expiresAt: now + orphanTTL})
		allocator.orphanSentWithoutPermit = append(allocator.orphanSentWithoutPermit, batch{count: state.sentWithoutPermit, expiresAt: now + rateWindow})
		delete(allocator.borrowers, neighbour)
	}
}

// claim returns what this node reports to its lender.
func (allocator *allocator) claim() Claim {
	claim := Claim{Session: allocator.lenderSession, Borrower: allocator.session, Used: allocator.used, Returned: allocator.returned}
	for _, borrower := range allocator.borrowers {
		claim.Wanted += max(borrower.wanted, borrower.waiting)
		claim.Waiting += borrower.waiting
	}
	claim.SentFree = allocator.sentWithoutPermit()
	return claim
}

// refresh updates the allocator to the given time and lends the available permits. It returns the
// neighbours that received permits for waiting requests.
func (allocator *allocator) refresh(now time.Duration) []Neighbour {
	allocator.refreshLocal(now)
	removeExpired(&allocator.orphanSentWithoutPermit, now)
	for _, expired := range removeExpired(&allocator.orphans, now) {
		// Expired permits of lost neighbours count as used.
		allocator.recordUsage(expired.count, 0)
	}
	if allocator.source.Issuer {
		allocator.refill(now)
		return allocator.lend(allocator.issuable(now), now)
	}
	for _, expired := range removeExpired(&allocator.stock, now) {
		allocator.recordUsage(0, expired.count)
	}
	return allocator.lend(countPermits(allocator.stock), now)
}

// refreshLocal accounts for the permits that this node's own requests used, and returns expired
// ones.
func (allocator *allocator) refreshLocal(now time.Duration) {
	self := allocator.borrowers[Self]
	self.wanted, self.waiting, self.sentWithoutPermit = allocator.gate.wantedPermits(), int(allocator.gate.moreUrgentWaiters(urgencyLevels)), allocator.gate.sentWithoutPermit()
	used := int(allocator.gate.used.Swap(0))
	removeOldest(&allocator.local, used)
	returned, due := 0, now
	// Without demand, permits expire after idlePermitTTL instead of permitTTL.
	if self.wanted == 0 && self.waiting == 0 {
		due += permitTTL - idlePermitTTL
	}
	for _, expired := range removeExpired(&allocator.local, due) {
		left := allocator.gate.revoke(expired.count)
		returned += left
		if left < expired.count {
			// These permits were used in the meantime. The next refresh counts them.
			allocator.local = append([]batch{{count: expired.count - left, expiresAt: now + permitTTL}}, allocator.local...)
		}
	}
	self.used += uint64(used)
	self.returned += uint64(returned)
	allocator.recordUsage(used, returned)
}

// sentWithoutPermit counts the requests that this node and the nodes behind it sent without a
// permit within the rate window.
func (allocator *allocator) sentWithoutPermit() int {
	sum := countPermits(allocator.orphanSentWithoutPermit)
	for _, borrower := range allocator.borrowers {
		sum += borrower.sentWithoutPermit
	}
	return sum
}

// outstanding counts the permits that were lent and may still be used.
func (allocator *allocator) outstanding() int {
	sum := countPermits(allocator.orphans)
	for _, borrower := range allocator.borrowers {
		sum += borrower.outstanding()
	}
	return sum
}

// urgentLender returns the lender if requests wait for permits and an urgent claim is due.
func (allocator *allocator) urgentLender(now time.Duration) (Neighbour, bool) {
	if allocator.source.Issuer || allocator.source.Lender == Self || now-allocator.urgentClaimAt < urgentClaimInterval {
		return Self, false
	}
	for _, borrower := range allocator.borrowers {
		if borrower.hasUnservedWaiters() {
			allocator.urgentClaimAt = now
			return allocator.source.Lender, true
		}
	}
	return Self, false
}
