package dispatch

import (
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"hazelslip/internal/policy/pace"
)

// A group may be slower than configured: it is as slow as its slowest member, and servers differ, are
// slow for a while after they start, or become slow. What is predicted of it is multiplied by its pace,
// which package pace learns from the events that come and from what other nodes tell.

const (
	// passedOnPart is the part of a pass that passing an event on to the caller may take for the gap
	// that follows to count: events wait meanwhile, and the gap is the caller's.
	passedOnPart = 8
	// slowPasses is how many passes, as learnt, a slow group's streams may stand still. It is less than
	// silentPasses, since a learnt pass was measured under load.
	slowPasses = 3
)

// paced is the pace of a target as it takes effect, in hundredths; 0 counts as 100.
type paced struct {
	meter pace.Meter
	// used is what times are multiplied by, learnt what this node knows whatever the pool's other
	// groups do.
	used   atomic.Int64
	learnt atomic.Int64
	// found says that this node found the group slow and has not said since that it isn't, slowAt when
	// it last was. Only Paces uses them.
	found  bool
	slowAt time.Duration
}

// endedAfter is after which time a group that was slow isn't any more: long enough that one that is tried
// again, and is as slow as before, isn't told of as another.
const endedAfter = 3 * time.Second

// note says whether this node has just found the group slow, and whether one that it found is slow no more.
func (paced *paced) note(news, slow bool, now time.Duration) (found, ended bool) {
	if slow {
		paced.slowAt = now
	}
	found = news && slow && !paced.found
	ended = paced.found && now-paced.slowAt >= endedAfter
	paced.found = (paced.found || found) && !ended
	return found, ended
}

func hundredthsOf(factor float64) int64 {
	return int64(math.Round(factor * hundredths))
}

func factorOf(told int64) float64 {
	return max(1, float64(told)/hundredths)
}

// slower is by how much the target's times are longer than configured.
func (load *load) slower() float64 {
	return factorOf(load.paced.used.Load())
}

// slowed is a span at the target's pace.
func (load *load) slowed(span time.Duration) time.Duration {
	if told := load.paced.used.Load(); told > hundredths {
		return span * time.Duration(told) / hundredths
	}
	return span
}

// learntPass is the duration of a pass as learnt, 0 where the target isn't slow.
func (target *Target) learntPass() time.Duration {
	if told := target.paced.learnt.Load(); told > hundredths {
		return target.Pass * time.Duration(told) / hundredths
	}
	return 0
}

// reading is how long the prompts should take that the target reads, without those of calls that wait
// there for a place.
func (target *Target) reading() time.Duration {
	unread := time.Duration(target.unread.Load()+target.peersUnread.Load()) * target.PerToken
	return max(0, unread-time.Duration(max(0, target.Taken()-target.Slots))*target.PerPrompt)
}

// notePace takes events that came together of a stream. Prompts that the group may have read since the
// event before lengthen its pass.
func (use *Use) notePace(now time.Duration, events int) {
	target := use.target
	if target.Group == "" || target.Pass <= 0 {
		return
	}
	reading := target.reading()
	before := time.Duration(use.eventAt.Swap(int64(now)))
	readBefore := time.Duration(use.reading.Swap(int64(reading)))
	if before == 0 || use.callerSlow.Swap(false) {
		return
	}
	expected := target.Pass - time.Duration(max(0, target.Slots-target.Taken()))*target.PerCall
	events = max(1, events)
	several := time.Duration(events)
	target.paced.meter.Record(pace.Interval{Elapsed: (now - before) / several, ExpectedPass: max(expected, target.Pass/4), ExpectedPrefill: max(reading, readBefore) / several}, now)
}

// PassedOn tells how long passing the last event on to the caller took.
func (use *Use) PassedOn(took time.Duration) {
	if took > use.target.Pass/passedOnPart {
		use.callerSlow.Store(true)
	}
}

// PaceNews is what changed in what is known of a target's pace.
type PaceNews struct {
	Target *Target
	// Factor is the pace as measured.
	Factor float64
	// Tell says that other nodes are to be told, Found that this node found the group slow, Ended that
	// a group isn't slow any more that it found so.
	Tell, Found, Ended bool
}

// Paces works out the paces of all groups anew, and returns what changed by what this node measured. It
// isn't called twice at a time.
func (board *Board) Paces() []PaceNews {
	news := []PaceNews{}
	now := board.now()
	pools := board.layout.Load().pools
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		filled := pools[name]
		for number, learnt := range filled.weigh(now) {
			target := filled.targets[number]
			found, ended := target.paced.note(learnt.Changed, target.slower() > 1, now)
			switch {
			case found:
				board.PaceCounts.FoundSlow.Add(1)
			case ended:
				board.PaceCounts.Recovered.Add(1)
			case !learnt.Changed:
				continue
			}
			news = append(news, PaceNews{Target: target, Factor: learnt.Factor, Tell: learnt.Changed, Found: found, Ended: ended})
		}
	}
	return news
}

// weigh puts the paces of a pool's groups in force.
func (filled *pool) weigh(now time.Duration) []pace.Assessment {
	if len(filled.targets) == 0 || filled.targets[0].Group == "" {
		return nil
	}
	learnt, factors := make([]pace.Assessment, len(filled.targets)), make([]float64, len(filled.targets))
	measured := []pace.Measurement{}
	for _, target := range filled.targets {
		if one, known := target.paced.meter.Measure(now); known {
			measured = append(measured, one)
		}
	}
	usual := pace.Baseline(measured)
	for number, target := range filled.targets {
		learnt[number] = target.paced.meter.Evaluate(usual, now)
		factors[number] = learnt[number].Factor
		target.paced.learnt.Store(hundredthsOf(factors[number]))
	}
	for number, factor := range pace.EffectiveFactors(factors) {
		filled.targets[number].paced.used.Store(hundredthsOf(factor))
	}
	return learnt
}

// ToldPace is a target's pace as nodes tell it to each other.
type ToldPace struct {
	Server, Group string
	Born          int64
	Factor        float64
	Age           time.Duration
}

// Run names the target as Target.Run does.
func (told *ToldPace) Run() string {
	return loadKey(Spec{ID: told.Server, Group: told.Group, Born: told.Born})
}

// TakePace takes what another node measured, and says whether that is news. It is in force from the next
// Paces on.
func (board *Board) TakePace(told *ToldPace) bool {
	target := board.knownTarget(told.Run())
	now := board.now()
	if target == nil || !target.paced.meter.ApplyRemote(told.Factor, now-told.Age, now) {
		return false
	}
	board.PaceCounts.Received.Add(1)
	return true
}

// TellPace returns what other nodes are to know of the target that Run names.
func (board *Board) TellPace(run string) (ToldPace, bool) {
	target := board.knownTarget(run)
	if target == nil {
		return ToldPace{}, false
	}
	factor, age := target.paced.meter.Announced(board.now())
	return ToldPace{Server: target.ID, Group: target.Group, Born: target.Born, Factor: factor, Age: age}, true
}

// SlowRuns are the targets, as Run names them, that seem slow.
func (board *Board) SlowRuns() []string {
	runs := []string{}
	for _, target := range board.layout.Load().all {
		if target.paced.learnt.Load() > hundredths {
			runs = append(runs, target.Run())
		}
	}
	slices.Sort(runs)
	return runs
}

func (board *Board) knownTarget(run string) *Target {
	board.mu.Lock()
	defer board.mu.Unlock()
	return board.known[run]
}
