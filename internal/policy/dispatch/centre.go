package dispatch

import (
	"sync"
	"sync/atomic"
	"time"
)

// Servers of one data centre that fall silent together are one failure: the way there is
// cut. Call by call, each of them was found silent anew, after a time-out, and the next
// call went to the next server behind the same cut, until its caller had left.
//
// So each node notes when anything last came from a data centre, and doubts that it
// reaches it when calls to two servers there time out, or the streams of two groups
// stand still, and nothing has come from any since. Whoever runs the board then connects
// to servers there, which takes milliseconds where the way is whole. While no server
// answers, calls go elsewhere as long as there is an elsewhere.

const (
	// doubtSilence is how long nothing may come of running streams of a data centre, at
	// least; silentPasses goes for it as for one group.
	doubtSilence = 300 * time.Millisecond
	// doubtStreams and doubtTargets are how many streams must stand still, and at how many
	// groups, and doubtTargets at how many servers calls must have timed out.
	doubtStreams = 3
	doubtTargets = 2
	// probeEvery is how often a data centre that isn't reached is tried.
	probeEvery = 400 * time.Millisecond
	// probesAtOnce is how many servers are tried for it: one may have ended.
	probesAtOnce = 3
)

// standing is what a node believes of the way to a data centre.
type standing = int32

const (
	// reached: nothing speaks against it.
	reached standing = iota
	// doubted: it is being tried; calls go elsewhere meanwhile.
	doubted
	// cut: no server there could be connected to.
	cut
)

// centre is the way to another data centre.
type centre struct {
	// standing changes under the lock, and is read without it while a call is routed.
	standing atomic.Int32

	mu sync.Mutex
	// heard is when anything last came from a server there.
	heard time.Duration
	// timedOut are the servers at which calls timed out that were sent after that.
	timedOut map[string]struct{}
	// triedAt is when servers there were last tried.
	triedAt time.Duration
}

// away says whether calls should go elsewhere.
func (centre *centre) away() bool {
	return centre != nil && centre.standing.Load() != reached
}

// hear notes that something came.
func (centre *centre) hear(now time.Duration) {
	if centre == nil {
		return
	}
	centre.mu.Lock()
	defer centre.mu.Unlock()
	centre.heard = now
	centre.standing.Store(reached)
	if len(centre.timedOut) > 0 {
		clear(centre.timedOut)
	}
}

// missed notes a call that timed out.
func (centre *centre) missed(server string, sent time.Duration) {
	if centre == nil {
		return
	}
	centre.mu.Lock()
	defer centre.mu.Unlock()
	if centre.heard > sent {
		return
	}
	centre.timedOut[server] = struct{}{}
	if centre.standing.Load() == reached && len(centre.timedOut) >= doubtTargets {
		centre.standing.Store(doubted)
	}
}

// still notes that streams stand still there.
func (centre *centre) still(now time.Duration, pass time.Duration, streams, groups int) {
	centre.mu.Lock()
	defer centre.mu.Unlock()
	silent := now-centre.heard >= max(doubtSilence, silentPasses*pass)
	if centre.standing.Load() == reached && silent && streams >= doubtStreams && groups >= doubtTargets {
		centre.standing.Store(doubted)
	}
}

// due says whether servers there are to be tried, and notes that they are.
func (centre *centre) due(now time.Duration) bool {
	centre.mu.Lock()
	defer centre.mu.Unlock()
	if centre.standing.Load() == reached || (centre.triedAt != 0 && now-centre.triedAt < probeEvery) {
		return false
	}
	centre.triedAt = now
	return true
}

// fail notes that no server there could be connected to, and says whether that is news.
func (centre *centre) fail() bool {
	centre.mu.Lock()
	defer centre.mu.Unlock()
	news := centre.standing.Load() == doubted
	if news {
		centre.standing.Store(cut)
	}
	return news
}

// Probe is a data centre that may be cut off, with servers to try.
type Probe struct {
	DataCentre string
	Addresses  []string

	board  *Board
	centre *centre
}

// Probes returns the data centres to be tried now.
func (board *Board) Probes() []Probe {
	now := board.now()
	held := board.layout.Load()
	board.noteStill(held, now)
	probes := []Probe{}
	for name, centre := range held.centres {
		if !centre.due(now) {
			continue
		}
		probe := Probe{DataCentre: name, board: board, centre: centre}
		addresses := []string{}
		for _, target := range held.all {
			if target.DataCentre == name {
				addresses = append(addresses, target.Address)
			}
		}
		for count := min(probesAtOnce, len(addresses)); count > 0; count-- {
			chosen := board.random(len(addresses))
			probe.Addresses = append(probe.Addresses, addresses[chosen])
			addresses = append(addresses[:chosen], addresses[chosen+1:]...)
		}
		probes = append(probes, probe)
	}
	return probes
}

// noteStill looks for data centres of which all streams stand still.
func (board *Board) noteStill(held *layout, now time.Duration) {
	for name, centre := range held.centres {
		streams, groups, pass := 0, 0, time.Duration(0)
		for _, target := range held.all {
			if running := int(target.active()); target.DataCentre == name && running > 0 {
				streams, groups, pass = streams+running, groups+1, max(pass, target.Pass)
			}
		}
		centre.still(now, pass, streams, groups)
	}
}

// Done tells how a probe ended. Where no server answered, the streams that run there go
// on elsewhere; it returns how many calls were moved, and whether that is news.
func (probe *Probe) Done(answered bool) (moved int, news bool) {
	if answered {
		probe.centre.hear(probe.board.now())
		return 0, false
	}
	if !probe.centre.fail() {
		return 0, false
	}
	for _, target := range probe.board.layout.Load().all {
		if target.DataCentre == probe.DataCentre && target.Group != "" {
			moved += target.move()
		}
	}
	return moved, true
}

// Heard tells that something came of a call at the target.
func (target *Target) Heard() {
	target.breaker.answered(target.now())
	target.centre.hear(target.now())
	target.way.RecordActivity(target.ID)
}

// Missed tells that a call at the target, sent at a time, timed out.
func (target *Target) Missed(sent time.Duration) {
	target.centre.missed(target.ID, sent)
	target.way.RecordBreak(target.ID, sent)
}
