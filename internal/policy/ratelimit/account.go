package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Neighbour is a node at the other end of a link, by a number that is used for no other
// link.
type Neighbour uint64

// Self stands for this node's own requests among those that borrow permits.
const Self Neighbour = 0

// Duty is where a node gets the permits of one server from.
type Duty struct {
	// Home says that this node issues them, for a part of the limit: the part of the
	// fleet's nodes that it hears of.
	Home bool
	Part float64
	// Lender is the neighbour that it borrows them from otherwise, Self for none.
	Lender Neighbour
}

// Claim is what a borrower tells its lender. Counts are of the lender's session.
type Claim struct {
	Run
	// Rate and Version are of the limit as the borrower knows it: a lender that doesn't
	// would leave it without permits.
	Rate    float64
	Version uint64
	Session uint64
	// Used and Returned count permits since the session began.
	Used, Returned uint64
	// Wanted is how many permits the borrower and those behind it should have on hand,
	// Waiting how many requests wait for one.
	Wanted, Waiting int
	// SentFree is how many requests they sent without one within the last window: before
	// they knew of the limit.
	SentFree int
}

// Loan is what a lender tells a borrower: how many permits it lent it since its session
// began. A new session takes back what was lent before.
type Loan struct {
	Run
	Session uint64
	Lent    uint64
}

const (
	// factor and extra are what a server bears: within a window factor times its limit,
	// and so many requests more.
	factor = 1.5
	extra  = 5
	// depthTime is what of a limit may be saved up, beside depthLeast.
	depthTime  = 200 * time.Millisecond
	depthLeast = 2
	// reserve is what a home keeps back of what the server bears.
	reserve = 1
	// learnTime is after which time a home that has just learnt a limit has heard what was
	// sent before, takeOverTime after which the permits of an earlier home have run out.
	learnTime    = 300 * time.Millisecond
	takeOverTime = 1200 * time.Millisecond
	// holdTime is how long a node keeps a permit that it doesn't use, idleTime one that
	// came too late for the request that waited for it, passTime one that no neighbour
	// wants any more. Others may use what is given back.
	holdTime = 700 * time.Millisecond
	idleTime = 50 * time.Millisecond
	passTime = 300 * time.Millisecond
	// hastenEvery is how often a lender is told at once.
	hastenEvery = 10 * time.Millisecond
	// strayTime is after which time permits of a neighbour that was lost have been used
	// or have run out: they pass three nodes at most.
	strayTime = 3*passTime + holdTime
)

// batch is permits that came together.
type batch struct {
	count int
	until time.Duration
}

// borrower is a neighbour that permits are lent to, or this node.
type borrower struct {
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
			account.opensAt = now + takeOverTime
		}
	}
}

// takeClaim takes what a borrower tells.
func (account *account) takeClaim(from Neighbour, claim *Claim) {
	held := account.borrowers[from]
	if held == nil {
		held = &borrower{}
		account.borrowers[from] = held
	}
	held.wanted, held.waiting, held.sentFree = claim.Wanted, claim.Waiting, claim.SentFree
	if claim.Session != account.session || claim.Used+claim.Returned > held.lent || claim.Used < held.used || claim.Returned < held.returned {
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
	if loan.Session != account.lenderSession {
		account.reset(session())
		account.lenderSession = loan.Session
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
	claim := Claim{Session: account.lenderSession, Used: account.used, Returned: account.returned}
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

// take removes the batches that have run out.
func take(batches *[]batch, now time.Duration) []batch {
	if len(*batches) == 0 {
		return nil
	}
	expired := []batch{}
	*batches = slices.DeleteFunc(*batches, func(batch batch) bool {
		if batch.until > now {
			return false
		}
		expired = append(expired, batch)
		return true
	})
	return expired
}

// draw removes so many permits, the oldest first.
func draw(batches *[]batch, count int) {
	for count > 0 && len(*batches) > 0 {
		first := &(*batches)[0]
		drawn := min(count, first.count)
		first.count -= drawn
		count -= drawn
		if first.count == 0 {
			*batches = (*batches)[1:]
		}
	}
}

func inBatches(batches []batch) int {
	count := 0
	for _, batch := range batches {
		count += batch.count
	}
	return count
}

// limit is the part of the server's limit that a home issues.
func (account *account) limit() float64 {
	return account.rate * account.duty.Part
}

func (account *account) depth() float64 {
	return depthLeast + account.limit()*depthTime.Seconds()
}

// slack is what the server bears beyond its limit within a window.
func (account *account) slack() float64 {
	return (factor-1)*account.limit()*window.Seconds() + extra*account.duty.Part
}

func (account *account) fill(now time.Duration) {
	account.tokens = min(account.depth(), account.tokens+account.limit()*(now-account.filledAt).Seconds())
	account.filledAt = now
}

// issuable is how many permits a home may issue now: those that it has, without more of
// them outstanding than the server bears at once, and with what was sent before the limit
// was known.
func (account *account) issuable(now time.Duration) int {
	if now < account.opensAt {
		return 0
	}
	most := min(int(account.tokens), int(account.slack()-account.depth()-reserve)-account.outstanding())
	if sentFree := account.sentFree(); sentFree > 0 {
		borne := int(account.limit()*window.Seconds() + account.slack() - reserve)
		most = min(most, borne-sentFree-account.issued.sum(now))
	}
	return max(0, most)
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

// lend gives up to so many permits to those that need them, and returns the neighbours at
// which requests wait for them.
func (account *account) lend(count int, now time.Duration) []Neighbour {
	if count <= 0 || !account.needed() {
		return nil
	}
	given := map[Neighbour]int{}
	order := slices.Sorted(maps.Keys(account.borrowers))
	for ; count > 0; count-- {
		neediest, found := account.next(order)
		if !found {
			break
		}
		account.borrowers[neediest].lent++
		given[neediest]++
	}
	lent := []Neighbour{}
	for neighbour, count := range given {
		if account.duty.Home {
			account.tokens -= float64(count)
			account.issued.add(now, count)
		} else {
			draw(&account.stock, count)
		}
		if neighbour == Self {
			account.own = append(account.own, batch{count: count, until: now + holdTime})
			account.gate.grant(count)
			continue
		}
		if account.borrowers[neighbour].waiting > 0 {
			lent = append(lent, neighbour)
		}
	}
	return lent
}

// needed says whether anybody needs permits.
func (account *account) needed() bool {
	for _, borrower := range account.borrowers {
		if borrower.needs() > 0 {
			return true
		}
	}
	return false
}

// next chooses who gets the next permit: in turn, by how many each needs, those first at
// which requests wait.
func (account *account) next(order []Neighbour) (Neighbour, bool) {
	urgent := slices.ContainsFunc(order, func(neighbour Neighbour) bool { return account.borrowers[neighbour].urgent() })
	sum, best := 0, -1
	for place, neighbour := range order {
		borrower := account.borrowers[neighbour]
		if borrower.needs() == 0 || (urgent && !borrower.urgent()) {
			continue
		}
		borrower.credit += borrower.needs()
		sum += borrower.needs()
		if best < 0 || cmp.Compare(borrower.credit, account.borrowers[order[best]].credit) > 0 {
			best = place
		}
	}
	if best < 0 {
		return Self, false
	}
	account.borrowers[order[best]].credit -= sum
	return order[best], true
}
