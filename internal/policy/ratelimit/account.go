package ratelimit

import "time"

const (
	// factor and extra are what a server bears: within a window factor times its limit,
	// and so many requests more.
	factor = 1.5
	extra  = 5
	// depthTime is what of a limit may be saved up, beside depthLeast requests.
	depthTime  = 200 * time.Millisecond
	depthLeast = 2
	// reserve is how many of those requests homes keep back.
	reserve = 1
	// learnTime is after which time a home that has just learnt a limit has heard what was
	// sent before.
	learnTime = 300 * time.Millisecond
	// holdTime is how long a node keeps a permit that it doesn't use, idleTime one that
	// came too late for the request that waited for it, passTime one that no neighbour
	// wants any more. Others may use what is given back.
	holdTime = 700 * time.Millisecond
	idleTime = 50 * time.Millisecond
	passTime = 300 * time.Millisecond
	// hastenEvery is how often a lender is told at once.
	hastenEvery = 10 * time.Millisecond
	// strayTime is after which time permits of a neighbour or home that was lost have been
	// used or have run out: they pass three nodes at most.
	strayTime = 3*passTime + holdTime
)

// borrower is a neighbour that permits are lent to, or this node.
type borrower struct {
	// session is the neighbour's.
	session              uint64
	lent, used, returned uint64
	wanted, waiting      int
	sentFree             int
	// credit is what it is owed where there are fewer permits than wanted.
	credit int
}

// held is how many permits it may still use.
func (borrower *borrower) held() int {
	return int(borrower.lent - borrower.used - borrower.returned)
}

func (borrower *borrower) needs() int {
	return max(0, max(borrower.wanted, borrower.waiting)-borrower.held())
}

func (borrower *borrower) urgent() bool {
	return borrower.waiting > borrower.held()
}

// allows says whether a claim goes on from what the borrower told before, and is of permits
// that it was lent.
func (borrower *borrower) allows(claim *Claim) bool {
	return claim.Used >= borrower.used && claim.Returned >= borrower.returned &&
		claim.Used <= borrower.lent && claim.Returned <= borrower.lent-claim.Used
}

// account is the permits of one run of a server at this node. A home issues them at the
// rate of the limit; others borrow them. Each lends to the neighbours behind it what they
// want. What is outstanding, lent and neither used nor returned, may all be used at once,
// and is bounded by what the server bears beyond its limit: so the limit holds whatever
// the nodes' timing is.
type account struct {
	gate *Gate
	rate float64
	duty Duty
	// session names the loans that this node gives.
	session   uint64
	borrowers map[Neighbour]*borrower
	// own are the permits of this node's own requests, stock those that it borrowed and
	// has not lent, strays those of neighbours that were lost, strayFree what these sent
	// without permits.
	own, stock, strays, strayFree []batch
	// lenderSession, received, used and returned are counts of the session of the lender.
	lenderSession  uint64
	received       uint64
	used, returned uint64
	// tokens are what a home may issue, filledAt up to when they were added, opensAt when
	// it begins; issued counts what it issued lately.
	tokens   float64
	filledAt time.Duration
	opensAt  time.Duration
	issued   counter
	// hastenedAt is when the lender was last told at once.
	hastenedAt time.Duration
}

func newAccount(gate *Gate, now time.Duration) *account {
	gate.limit()
	return &account{gate: gate, borrowers: map[Neighbour]*borrower{Self: {}}, filledAt: now, opensAt: now + learnTime}
}

// reset takes back all permits, after which those that were lent count for nothing.
func (account *account) reset(session uint64) {
	account.gate.limit()
	account.own, account.stock, account.strays = nil, nil, nil
	account.session = session
	account.received, account.used, account.returned = 0, 0, 0
	for _, borrower := range account.borrowers {
		borrower.lent, borrower.used, borrower.returned = 0, 0, 0
	}
}

// assign takes the node's duty, and begins anew if it is another.
func (account *account) assign(duty Duty, now time.Duration, session func() uint64) {
	before := account.duty
	account.duty = duty
	if account.session != 0 && before.Home == duty.Home && before.Lender == duty.Lender {
		return
	}
	first := account.session == 0
	account.reset(session())
	account.lenderSession = 0
	if duty.Home {
		account.tokens, account.filledAt = 0, now
		if !first {
			account.opensAt = now + strayTime
		}
	}
}

// takeClaim takes what a borrower tells.
func (account *account) takeClaim(from Neighbour, claim *Claim, now time.Duration) {
	held := account.borrowers[from]
	if held == nil {
		held = &borrower{session: claim.Borrower}
		account.borrowers[from] = held
	}
	if held.session != claim.Borrower {
		account.strays = append(account.strays, batch{count: held.held(), until: now + strayTime})
		*held = borrower{session: claim.Borrower}
	}
	held.wanted, held.waiting, held.sentFree = claim.Wanted, claim.Waiting, claim.SentFree
	if claim.Session != account.session || !held.allows(claim) {
		return
	}
	used, returned := claim.Used-held.used, claim.Returned-held.returned
	held.used, held.returned = claim.Used, claim.Returned
	account.settle(int(used), int(returned))
}

// settle takes permits that were used, and others that were returned.
func (account *account) settle(used, returned int) {
	if account.duty.Home {
		account.tokens = min(account.depth(), account.tokens+float64(returned))
		return
	}
	account.used += uint64(used)
	account.returned += uint64(returned)
}

// takeLoan takes what the lender tells.
func (account *account) takeLoan(from Neighbour, loan *Loan, now time.Duration, session func() uint64) {
	if account.duty.Home || from != account.duty.Lender {
		return
	}
	if account.lenderSession != 0 && loan.Session != account.lenderSession {
		account.reset(session())
	}
	account.lenderSession = loan.Session
	if loan.Borrower != account.session {
		// Lent before this node began anew.
		return
	}
	if fresh := int(loan.Lent - account.received); loan.Lent > account.received {
		account.received = loan.Lent
		account.stock = append(account.stock, batch{count: fresh, until: now + passTime})
	}
}

// lose takes the end of the link to a neighbour.
func (account *account) lose(neighbour Neighbour, now time.Duration) {
	if held := account.borrowers[neighbour]; held != nil && neighbour != Self {
		account.strays = append(account.strays, batch{count: held.held(), until: now + strayTime})
		account.strayFree = append(account.strayFree, batch{count: held.sentFree, until: now + window})
		delete(account.borrowers, neighbour)
	}
}

// claim is what is told to the lender.
func (account *account) claim() Claim {
	claim := Claim{Session: account.lenderSession, Borrower: account.session, Used: account.used, Returned: account.returned}
	for _, borrower := range account.borrowers {
		claim.Wanted += max(borrower.wanted, borrower.waiting)
		claim.Waiting += borrower.waiting
	}
	claim.SentFree = account.sentFree()
	return claim
}

// refresh brings the account up to a time, lends what there is, and returns the
// neighbours at which requests wait for what they were lent.
func (account *account) refresh(now time.Duration) []Neighbour {
	account.refreshOwn(now)
	take(&account.strayFree, now)
	for _, expired := range take(&account.strays, now) {
		account.settle(expired.count, 0)
	}
	if account.duty.Home {
		account.fill(now)
		return account.lend(account.issuable(now), now)
	}
	for _, expired := range take(&account.stock, now) {
		account.settle(0, expired.count)
	}
	return account.lend(inBatches(account.stock), now)
}

// refreshOwn takes what this node's own requests used, and gives back what they don't use.
func (account *account) refreshOwn(now time.Duration) {
	self := account.borrowers[Self]
	self.wanted, self.waiting, self.sentFree = account.gate.wanted(), int(account.gate.waitingBefore(urgencies)), account.gate.sentFree()
	used := int(account.gate.used.Swap(0))
	draw(&account.own, used)
	returned, due := 0, now
	if self.wanted == 0 && self.waiting == 0 {
		due += holdTime - idleTime
	}
	for _, expired := range take(&account.own, due) {
		left := account.gate.revoke(expired.count)
		returned += left
		if left < expired.count {
			// Used since: they are counted the next time.
			account.own = append([]batch{{count: expired.count - left, until: now + holdTime}}, account.own...)
		}
	}
	self.used += uint64(used)
	self.returned += uint64(returned)
	account.settle(used, returned)
}

// sentFree counts what this node and those behind it sent lately without permits.
func (account *account) sentFree() int {
	sum := inBatches(account.strayFree)
	for _, borrower := range account.borrowers {
		sum += borrower.sentFree
	}
	return sum
}

// outstanding counts the permits that were lent and may still be used.
func (account *account) outstanding() int {
	sum := inBatches(account.strays)
	for _, borrower := range account.borrowers {
		sum += borrower.held()
	}
	return sum
}

// hastens returns the lender if requests wait for permits that are to be borrowed.
func (account *account) hastens(now time.Duration) (Neighbour, bool) {
	if account.duty.Home || account.duty.Lender == Self || now-account.hastenedAt < hastenEvery {
		return Self, false
	}
	for _, borrower := range account.borrowers {
		if borrower.urgent() {
			account.hastenedAt = now
			return account.duty.Lender, true
		}
	}
	return Self, false
}
