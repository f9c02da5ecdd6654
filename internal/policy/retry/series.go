package retry

// Count is a number of callers' requests and of retries.
type Count struct {
	Requests, Retries uint32
}

// processStarts is the name under which Totals count starts of processes that may have had a predecessor, as
// Requests. No service has such a name.
const processStarts = "\x00process starts"

// Series holds the counts of a service by slot, beginning with the slot with the number First.
type Series struct {
	First  int64
	Counts []Count
}

// Totals holds a Series for each service, and one for processStarts.
type Totals map[string]Series

// Sum returns the sum of totals, slot by slot.
func Sum(parts ...Totals) Totals {
	sums := map[string]*ring{}
	for _, part := range parts {
		for service, series := range part {
			sum := sums[service]
			if sum == nil {
				sum = &ring{}
				sums[service] = sum
			}
			for offset, count := range series.Counts {
				if entry := sum.slot(series.First + int64(offset)); entry != nil {
					entry.Requests += count.Requests
					entry.Retries += count.Retries
				}
			}
		}
	}
	totals := Totals{}
	for service, sum := range sums {
		totals.add(service, sum, sum.newest-ringSlots+1, sum.newest)
	}
	return totals
}

// add adds the slots of a ring from first to last, without empty slots at either end. A ring without counts adds
// nothing.
func (totals Totals) add(service string, counts *ring, first, last int64) {
	for ; first <= last && counts.at(first) == (Count{}); first++ {
	}
	for ; last >= first && counts.at(last) == (Count{}); last-- {
	}
	if first > last {
		return
	}
	series := Series{First: first}
	for number := first; number <= last; number++ {
		series.Counts = append(series.Counts, counts.at(number))
	}
	totals[service] = series
}

// ringSlots is the number of slots that a ring keeps: a window, the current slot and those of nodes whose clock is
// ahead.
const ringSlots = SlotsPerWindow + 4

// MaxSeries is the maximum number of slots of a Series.
const MaxSeries = ringSlots

// ring holds the counts of the newest slots.
type ring struct {
	entries [ringSlots]Count
	newest  int64
}

// slot returns the entry of a slot to write to, or nil if the slot is older than those that are kept.
func (ring *ring) slot(number int64) *Count {
	if number <= ring.newest-ringSlots || number < 0 {
		return nil
	}
	for ; ring.newest < number; ring.newest++ {
		if number-ring.newest > ringSlots {
			ring.newest = number - ringSlots
		}
		ring.entries[(ring.newest+1)%ringSlots] = Count{}
	}
	return &ring.entries[number%ringSlots]
}

// at returns the count of a slot, zero for one that is not kept.
func (ring *ring) at(number int64) Count {
	if number > ring.newest || number <= ring.newest-ringSlots || number < 0 {
		return Count{}
	}
	return ring.entries[number%ringSlots]
}

// mergeMax raises the count of a slot to at least the given one.
func (ring *ring) mergeMax(number int64, count Count) {
	if entry := ring.slot(number); entry != nil {
		entry.Requests, entry.Retries = max(entry.Requests, count.Requests), max(entry.Retries, count.Retries)
	}
}

// renumbered returns a ring with all slot numbers raised.
func (ring *ring) renumbered(by int64) *ring {
	raised := newRing(ring.newest + by)
	for number := max(0, ring.newest-ringSlots+1); number <= ring.newest; number++ {
		if entry := raised.slot(number + by); entry != nil {
			*entry = ring.at(number)
		}
	}
	return raised
}

func newRing(newest int64) *ring { return &ring{newest: newest} }
