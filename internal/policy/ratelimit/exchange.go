package ratelimit

import (
	"maps"
	"slices"
)

// Neighbour identifies the node at the other end of a link. Each link has its own number.
type Neighbour uint64

// Self identifies this node's own requests among the borrowers.
const Self Neighbour = 0

// PermitSource tells where a node gets the permits of one server from.
type PermitSource struct {
	// Issuer is set if this node issues the permits, for a share of the limit: the fraction
	// of the fleet's nodes that this node receives reports from.
	Issuer bool
	Share  float64
	// Lender is the neighbour that a node other than the issuer borrows from. Self means that there is
	// no lender.
	Lender Neighbour
}

// Claim is what a borrower reports to its lender. The permit counts start at zero when either side
// begins a new session.
type Claim struct {
	Run
	// Rate and Version describe the limit as the borrower knows it. A lender that does not know the
	// limit yet needs them: it would otherwise lend no permits.
	Rate              float64
	Version           uint64
	Session, Borrower uint64
	// Used and Returned count permits since both sessions began.
	Used, Returned uint64
	// Wanted is the number of permits that the borrower and the nodes behind it should have on hand.
	// Waiting is the number of requests that wait for a permit.
	Wanted, Waiting int
	// SentFree is the number of requests that these nodes sent without a permit within the last rate
	// window, before they knew of the limit.
	SentFree int
}

// Loan is what a lender reports to a borrower. Lent is the number of permits lent since both
// sessions began. A new session of the lender revokes all earlier permits.
type Loan struct {
	Run
	Session, Borrower uint64
	Lent              uint64
}

// Refresh updates the permits of all limited servers to the current time. It returns the neighbours
// to which an update should be sent immediately.
func (limits *Limits) Refresh(source func(run Run) PermitSource) []Neighbour {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	return limits.refreshLocked(slices.Collect(maps.Keys(limits.limited)), source)
}

func (limits *Limits) refreshLocked(runs []Run, source func(run Run) PermitSource) []Neighbour {
	now := limits.now()
	notify := []Neighbour{}
	for _, run := range runs {
		entry := limits.limited[run]
		if entry == nil {
			continue
		}
		entry.allocator.setSource(source(run), now, limits.nextSession)
		notify = append(notify, entry.allocator.refresh(now)...)
		if lender, due := entry.allocator.urgentLender(now); due {
			notify = append(notify, lender)
		}
	}
	slices.Sort(notify)
	return slices.Compact(notify)
}

func (limits *Limits) nextSession() uint64 {
	limits.sessionCount++
	return limits.incarnation + limits.sessionCount
}

// ApplyClaims applies the claims of a borrower. It returns the neighbours to which an update should
// be sent immediately. The caller merges the limits named in the claims first.
func (limits *Limits) ApplyClaims(from Neighbour, claims []Claim, source func(run Run) PermitSource) []Neighbour {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	runs := make([]Run, 0, len(claims))
	for index := range claims {
		run := claims[index].Run
		if entry := limits.limited[run]; entry != nil {
			entry.allocator.applyClaim(from, &claims[index], limits.now())
			runs = append(runs, run)
		}
	}
	return limits.refreshLocked(runs, source)
}

// ApplyLoans applies the loans of a lender. It returns the neighbours to which an update should be
// sent immediately.
func (limits *Limits) ApplyLoans(from Neighbour, loans []Loan, source func(run Run) PermitSource) []Neighbour {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	runs := make([]Run, 0, len(loans))
	for _, loan := range loans {
		if entry := limits.limited[loan.Run]; entry != nil {
			entry.allocator.applyLoan(from, &loan, limits.now(), limits.nextSession)
			runs = append(runs, loan.Run)
		}
	}
	return limits.refreshLocked(runs, source)
}

// Claims returns the claims to send to a neighbour that is the lender.
func (limits *Limits) Claims(to Neighbour) []Claim {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	claims := []Claim{}
	for run, entry := range limits.limited {
		if !entry.allocator.source.Issuer && entry.allocator.source.Lender == to {
			claim := entry.allocator.claim()
			claim.Run, claim.Rate, claim.Version = run, entry.limit.Rate, entry.limit.Version
			claims = append(claims, claim)
		}
	}
	return claims
}

// Loans returns the loans to send to a neighbour that is a borrower.
func (limits *Limits) Loans(to Neighbour) []Loan {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	loans := []Loan{}
	for run, entry := range limits.limited {
		if entry.allocator.session == 0 || (!entry.allocator.source.Issuer && entry.allocator.source.Lender == to) {
			continue
		}
		loan := Loan{Run: run, Session: entry.allocator.session}
		if borrower := entry.allocator.borrowers[to]; borrower != nil {
			loan.Borrower, loan.Lent = borrower.session, borrower.lent
		}
		loans = append(loans, loan)
	}
	return loans
}

// RemoveNeighbour handles the loss of the link to a neighbour.
func (limits *Limits) RemoveNeighbour(neighbour Neighbour) {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	for _, entry := range limits.limited {
		entry.allocator.removeNeighbour(neighbour, limits.now())
	}
}

func (entry *runEntry) inForce() bool {
	return entry.limit.Version > 0 && !entry.limit.Ended
}
