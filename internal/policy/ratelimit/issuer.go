package ratelimit

import "time"

// issueRate is the rate at which this issuer issues permits: its share of the server's limit.
func (allocator *allocator) issueRate() float64 {
	return allocator.rate * allocator.source.Share
}

// burst is the number of permits that may accumulate. With less than one, no permit would ever be
// issued.
func (allocator *allocator) burst() float64 {
	return max(1, minBurst*allocator.source.Share+allocator.issueRate()*burstTime.Seconds())
}

// excessAllowance is this issuer's share of the requests that the server tolerates above its limit
// within a rate window.
func (allocator *allocator) excessAllowance() float64 {
	return (toleranceFactor-1)*allocator.issueRate()*rateWindow.Seconds() + (toleranceBurst-reservedBurst)*allocator.source.Share
}

func (allocator *allocator) refill(now time.Duration) {
	allocator.tokens = min(allocator.burst(), allocator.tokens+allocator.issueRate()*(now-allocator.refilledAt).Seconds())
	allocator.refilledAt = now
}

// issuable returns the number of permits that the issuer may issue now. The number is bounded by
// the accumulated tokens and by the outstanding permits that the server tolerates at once. While
// requests sent before the limit was known are within the rate window, they count against what the
// server tolerates in that window.
func (allocator *allocator) issuable(now time.Duration) int {
	if now < allocator.issuesFrom {
		return 0
	}
	available := min(int(allocator.tokens), int(allocator.excessAllowance()-allocator.burst())-allocator.outstanding())
	if uncovered := allocator.sentWithoutPermit(); uncovered > 0 {
		tolerated := int(allocator.issueRate()*rateWindow.Seconds() + allocator.excessAllowance())
		available = min(available, tolerated-uncovered-allocator.recentlyIssued.sum(now))
	}
	return max(0, available)
}
