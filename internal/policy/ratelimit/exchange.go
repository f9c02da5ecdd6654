package ratelimit

import (
	"maps"
	"slices"
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

// Claim is what a borrower tells its lender. Counts are of the lender's session and of the
// borrower's: either begins a new one when it starts anew.
type Claim struct {
	Run
	// Rate and Version are of the limit as the borrower knows it: a lender that doesn't
	// would leave it without permits.
	Rate              float64
	Version           uint64
	Session, Borrower uint64
	// Used and Returned count permits since both sessions began.
	Used, Returned uint64
	// Wanted is how many permits the borrower and those behind it should have on hand,
	// Waiting how many requests wait for one.
	Wanted, Waiting int
	// SentFree is how many requests they sent without one within the last window: before
	// they knew of the limit.
	SentFree int
}

// Loan is what a lender tells a borrower: how many permits it lent it since both sessions
// began. A new session of the lender takes back what was lent before.
type Loan struct {
	Run
	Session, Borrower uint64
	Lent              uint64
}

// Refresh brings all permits up to now, by this node's duties, and returns the neighbours
// that should hear of it at once.
func (limits *Limits) Refresh(duty func(run Run) Duty) []Neighbour {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	return limits.refreshLocked(slices.Collect(maps.Keys(limits.limited)), duty)
}

func (limits *Limits) refreshLocked(runs []Run, duty func(run Run) Duty) []Neighbour {
	now := limits.now()
	hasten := []Neighbour{}
	for _, run := range runs {
		held := limits.limited[run]
		if held == nil {
			continue
		}
		held.account.assign(duty(run), now, limits.session)
		hasten = append(hasten, held.account.refresh(now)...)
		if lender, due := held.account.hastens(now); due {
			hasten = append(hasten, lender)
		}
	}
	slices.Sort(hasten)
	return slices.Compact(hasten)
}

func (limits *Limits) session() uint64 {
	limits.sessions++
	return limits.incarnation + limits.sessions
}

// TakeClaims takes what a borrower tells, and returns the neighbours that should hear of it
// at once. Limits that it claims permits for are to be taken before.
func (limits *Limits) TakeClaims(from Neighbour, claims []Claim, duty func(run Run) Duty) []Neighbour {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	runs := make([]Run, 0, len(claims))
	for number := range claims {
		run := claims[number].Run
		if held := limits.limited[run]; held != nil {
			held.account.takeClaim(from, &claims[number], limits.now())
			runs = append(runs, run)
		}
	}
	return limits.refreshLocked(runs, duty)
}

// TakeLoans takes what a lender tells, and returns the neighbours that should hear of it at
// once.
func (limits *Limits) TakeLoans(from Neighbour, loans []Loan, duty func(run Run) Duty) []Neighbour {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	runs := make([]Run, 0, len(loans))
	for _, loan := range loans {
		if held := limits.limited[loan.Run]; held != nil {
			held.account.takeLoan(from, &loan, limits.now(), limits.session)
			runs = append(runs, loan.Run)
		}
	}
	return limits.refreshLocked(runs, duty)
}

// Claims returns what a neighbour is to be told as the lender.
func (limits *Limits) Claims(to Neighbour) []Claim {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	claims := []Claim{}
	for run, held := range limits.limited {
		if !held.account.duty.Home && held.account.duty.Lender == to {
			claim := held.account.claim()
			claim.Run, claim.Rate, claim.Version = run, held.limit.Rate, held.limit.Version
			claims = append(claims, claim)
		}
	}
	return claims
}

// Loans returns what a neighbour is to be told as a borrower.
func (limits *Limits) Loans(to Neighbour) []Loan {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	loans := []Loan{}
	for run, held := range limits.limited {
		if held.account.session == 0 || (!held.account.duty.Home && held.account.duty.Lender == to) {
			continue
		}
		loan := Loan{Run: run, Session: held.account.session}
		if borrower := held.account.borrowers[to]; borrower != nil {
			loan.Borrower, loan.Lent = borrower.session, borrower.lent
		}
		loans = append(loans, loan)
	}
	return loans
}

// Lose takes the end of the link to a neighbour.
func (limits *Limits) Lose(neighbour Neighbour) {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	for _, held := range limits.limited {
		held.account.lose(neighbour, limits.now())
	}
}

func (entry *entry) inForce() bool {
	return entry.limit.Version > 0 && !entry.limit.Ended
}
