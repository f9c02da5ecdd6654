package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

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
