package reach

import "time"

// Probe is servers of a way that are to be connected to.
type Probe struct {
	Way     *Way
	Servers []string
}

// Due returns what is to be tried now.
func (ways *Ways) Due() []Probe {
	if !ways.Unsettled() {
		return nil
	}
	due := []Probe{}
	for _, way := range ways.All() {
		if servers := way.due(); len(servers) > 0 {
			due = append(due, Probe{Way: way, Servers: servers})
		}
	}
	return due
}

// due returns the servers of the way that are to be tried.
func (way *Way) due() []string {
	if way.Standing() == Open {
		return nil
	}
	way.mu.Lock()
	defer way.mu.Unlock()
	now := way.ways.now()
	if way.triedAt != 0 && now-way.triedAt < probeEvery {
		return nil
	}
	if len(way.servers) == 0 {
		way.openLocked(now)
		return nil
	}
	way.triedAt = now
	switch {
	case way.quiet:
		return way.drawLocked(quietSample)
	case way.Standing() == Doubted:
		return way.drawLocked(sample)
	case way.proving:
		return way.drawLocked(provenSample)
	}
	return way.drawLocked(probes)
}

// drawLocked draws servers of the way.
func (way *Way) drawLocked(count int) []string {
	left := append([]string{}, way.servers...)
	drawn := []string{}
	for len(left) > 0 && len(drawn) < count {
		number := way.ways.random(len(left))
		drawn = append(drawn, left[number])
		left[number] = left[len(left)-1]
		left = left[:len(left)-1]
	}
	return drawn
}

// Whole says whether so many servers that were reached show that a way which is only doubted isn't lost, whatever
// becomes of the others.
func (probe *Probe) Whole(reached int) bool {
	return probe.Way.Standing() == Doubted && reached > 0 && !probe.lost(reached)
}

// lost says whether the way is lost if so many of the servers are reached.
func (probe *Probe) lost(reached int) bool {
	return (len(probe.Servers)-reached)*lostOf >= lostParts*len(probe.Servers)
}

// Result is what a probe changed.
type Result struct {
	Before, After Standing
	// Reached of Tried servers were connected to.
	Tried, Reached int
	// For is how long the way had not been open.
	For time.Duration
}

// Changed says whether the way is lost now and wasn't, or is whole again.
func (result *Result) Changed() bool {
	return result.Before != result.After
}

// Done tells which servers of a probe were connected to. Where a way is lost, others may be: nothing has been called
// there for a while, perhaps.
func (probe *Probe) Done(reached []string) Result {
	result := probe.done(reached)
	if result.After == Lost && result.Changed() {
		probe.Way.ways.doubtOthers(probe.Way.Place)
	}
	return result
}

// doubtOthers doubts other ways, those of the same service first.
func (ways *Ways) doubtOthers(lost Place) {
	same, others := []*Way{}, []*Way{}
	for _, way := range ways.All() {
		switch {
		case way.Standing() != Open:
		case way.Place.Service == lost.Service:
			same = append(same, way)
		default:
			others = append(others, way)
		}
	}
	for number, way := range append(same, others...) {
		if number == doubtedAtOnce {
			return
		}
		way.mu.Lock()
		way.doubtLocked(ways.now())
		way.mu.Unlock()
	}
}

func (probe *Probe) done(reached []string) Result {
	way := probe.Way
	way.mu.Lock()
	defer way.mu.Unlock()
	now := way.ways.now()
	result := Result{Before: way.Standing(), Tried: len(probe.Servers), Reached: len(reached), For: now - way.since}
	for _, server := range probe.Servers {
		delete(way.reached, server)
	}
	for _, server := range reached {
		if way.reached != nil {
			way.reached[server] = now
		}
	}
	switch result.Before {
	case Doubted:
		switch {
		case !probe.lost(len(reached)):
			way.openLocked(now)
		case way.quiet && len(way.servers) > len(probe.Servers):
			way.triedAt = 0
		default:
			way.standing.Store(int32(Lost))
		}
		way.quiet = false
	case Lost:
		proven := way.proving || len(way.servers) <= len(probe.Servers)
		way.proving = len(reached) == len(probe.Servers)
		if proven && (len(probe.Servers)-len(reached))*lostOf <= len(probe.Servers) {
			way.openLocked(now)
		}
	}
	result.After = way.Standing()
	return result
}

// openLocked makes the way count as whole.
func (way *Way) openLocked(now time.Duration) {
	if way.Standing() != Open {
		way.ways.unsettled.Add(-1)
	}
	way.standing.Store(int32(Open))
	way.reached, way.alive = nil, nil
	way.proving, way.wholeAt, way.opened = false, now, now
	way.heardAt.Store(int64(now))
	clear(way.broken)
	clear(way.unopened)
	way.countLocked()
}
