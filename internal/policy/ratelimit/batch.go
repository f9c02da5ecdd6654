package ratelimit

import (
	"slices"
	"time"
)

// batch is permits that came together.
type batch struct {
	count int
	until time.Duration
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
