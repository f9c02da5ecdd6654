package ratelimit

import "time"

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
