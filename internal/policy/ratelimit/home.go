package ratelimit

import "time"

// limit is the part of the server's limit that a home issues.
func (account *account) limit() float64 {
	return account.rate * account.duty.Part
}

// depth is how many permits may be saved up: one at least, or none would ever be issued.
func (account *account) depth() float64 {
	return max(1, depthLeast*account.duty.Part+account.limit()*depthTime.Seconds())
}

// slack is what of the requests that the server bears beyond its limit within a window
// this home may let through.
func (account *account) slack() float64 {
	return (factor-1)*account.limit()*window.Seconds() + (extra-reserve)*account.duty.Part
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
	most := min(int(account.tokens), int(account.slack()-account.depth())-account.outstanding())
	if sentFree := account.sentFree(); sentFree > 0 {
		borne := int(account.limit()*window.Seconds() + account.slack())
		most = min(most, borne-sentFree-account.issued.sum(now))
	}
	return max(0, most)
}
