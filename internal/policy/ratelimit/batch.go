package ratelimit

import (
	"slices"
	"time"
)

// batch is a number of permits or requests with a common expiry time.
type batch struct {
	count     int
	expiresAt time.Duration
}

// removeExpired removes and returns the expired batches.
func removeExpired(batches *[]batch, now time.Duration) []batch {
	if len(*batches) == 0 {
		return nil
	}
	expired := []batch{}
	*batches = slices.DeleteFunc(*batches, func(batch batch) bool {
		if batch.expiresAt > now {
			return false
		}
		expired = append(expired, batch)
		return true
	})
	return expired
}

// removeOldest removes count permits, oldest first.
func removeOldest(batches *[]batch, count int) {
	for count > 0 && len(*batches) > 0 {
		first := &(*batches)[0]
		removed := min(count, first.count)
		first.count -= removed
		count -= removed
		if first.count == 0 {
			*batches = (*batches)[1:]
		}
	}
}

func countPermits(batches []batch) int {
	sum := 0
	for _, batch := range batches {
		sum += batch.count
	}
	return sum
}
