package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// lend distributes up to count permits to the borrowers that need them. It returns the neighbours
// that received permits for waiting requests.
func (allocator *allocator) lend(count int, now time.Duration) []Neighbour {
	if count <= 0 || !allocator.hasShortfall() {
		return nil
	}
	given := map[Neighbour]int{}
	order := slices.Sorted(maps.Keys(allocator.borrowers))
	for ; count > 0; count-- {
		neediest, found := allocator.nextBorrower(order)
		if !found {
			break
		}
		allocator.borrowers[neediest].lent++
		given[neediest]++
	}
	lent := []Neighbour{}
	for neighbour, count := range given {
		if allocator.source.Issuer {
			allocator.tokens -= float64(count)
			allocator.recentlyIssued.add(now, count)
		} else {
			removeOldest(&allocator.stock, count)
		}
		if neighbour == Self {
			allocator.local = append(allocator.local, batch{count: count, expiresAt: now + permitTTL})
			allocator.gate.grant(count)
			continue
		}
		if allocator.borrowers[neighbour].waiting > 0 {
			lent = append(lent, neighbour)
		}
	}
	return lent
}

// hasShortfall reports whether any borrower needs permits.
func (allocator *allocator) hasShortfall() bool {
	for _, borrower := range allocator.borrowers {
		if borrower.shortfall() > 0 {
			return true
		}
	}
	return false
}

// nextBorrower selects the borrower of the next permit by weighted round-robin. The weight is the
// number of permits that a borrower needs. Borrowers with waiting requests come first.
func (allocator *allocator) nextBorrower(order []Neighbour) (Neighbour, bool) {
	urgent := slices.ContainsFunc(order, func(neighbour Neighbour) bool { return allocator.borrowers[neighbour].hasUnservedWaiters() })
	sum, best := 0, -1
	for index, neighbour := range order {
		borrower := allocator.borrowers[neighbour]
		if borrower.shortfall() == 0 || (urgent && !borrower.hasUnservedWaiters()) {
			continue
		}
		borrower.credit += borrower.shortfall()
		sum += borrower.shortfall()
		if best < 0 || cmp.Compare(borrower.credit, allocator.borrowers[order[best]].credit) > 0 {
			best = index
		}
	}
	if best < 0 {
		return Self, false
	}
	allocator.borrowers[order[best]].credit -= sum
	return order[best], true
}
