package formation

import (
	"time"
)

// verdict is what the evidence about a group says.
type verdict int

const (
	// undecided means that the members must be asked again.
	undecided verdict = iota
	// complete means that all members are in the group or refused the request.
	complete
	// lost means that a member has certainly left the group, or that its host can't be reached while
	// other hosts can.
	lost
	// overdue means that a member has been silent for longer than a group without it keeps accepting
	// calls. Its process may still only be paused.
	overdue
)

// String returns the verdict's name for logs.
func (verdict verdict) String() string {
	return [...]string{"Undecided", "Complete", "Lost", "Overdue"}[verdict]
}

const (
	// minExaminationPause and maxExaminationPause bound the pause between two rounds of questions, which
	// doubles with each round. Most processes that are silent for a moment reply within a few tenths of a
	// second. A longer pause would add to the time that a group without a member is kept.
	minExaminationPause = 100 * time.Millisecond
	maxExaminationPause = 600 * time.Millisecond
	// maxQuestionsPerSecond bounds the questions to members while many groups are examined at once: a leader
	// that asks thousands of servers has no time for the answers. A question is under way during the pause
	// between two rounds, so that a longer pause misses no reply.
	maxQuestionsPerSecond = 1000
	// minUnreachedRounds is the number of rounds in a row without a connection after which a member is
	// lost although some reference servers don't respond either. A lossy link fails one or two.
	minUnreachedRounds = 3
	// minResetRounds is the number of rounds in a row with a reset report after which a member is lost. One
	// may be due to all connections of this node being reset at once.
	minResetRounds = 2
	// maxRoundDelay is how much later than its time limit a round may end, and how late this node may be
	// scheduled during it. A process that is scheduled handles a timer within a few milliseconds. A later one
	// may have slept while replies arrived: it then handles the time limits first.
	maxRoundDelay = 50 * time.Millisecond
)

// references tells how many reference servers accepted a connection while the members of a group were asked.
// They are servers outside the group. If they don't accept any either, the network or this node is the likelier
// cause.
type references struct {
	asked   int
	reached int
}

func (references references) all() bool {
	return references.asked > 0 && references.reached == references.asked
}

func (references references) most() bool {
	return 2*references.reached > references.asked
}

// round is one question to members of a group.
type round struct {
	startedAt time.Duration
	// took is how long the members were waited for by this node's clock, delay how late this node was
	// scheduled meanwhile.
	took, delay time.Duration
	// ids are the members that were asked, responses what each of them said.
	ids       []string
	responses []Response
	// references are asked only if a member has no connection, or a late one.
	references references
}

// isVoid reports whether this node was not scheduled during the round, so that silence says nothing.
func (round *round) isVoid() bool {
	return round.took > callTimeout+maxRoundDelay || round.delay > maxRoundDelay
}

// anyReplied reports whether a member replied.
func (round *round) anyReplied() bool {
	for _, response := range round.responses {
		if response.isReply() {
			return true
		}
	}
	return false
}

// isReply reports whether the member replied and may be in the group.
func (response Response) isReply() bool {
	return response == InGroup || response == RequestRefused
}

// isProof reports whether the response proves that the member is not in the group any more.
func (response Response) isProof() bool {
	switch response {
	case NotInGroup, OtherRun, OtherServer, Unlisted:
		return true
	default:
		return false
	}
}

// memberRecord is what the rounds so far have shown of one member.
type memberRecord struct {
	// silent is set while the member doesn't reply. silentSince is the start of the first such round.
	silent      bool
	silentSince time.Duration
	// unreached counts the rounds in a row without a connection while most reference servers responded.
	unreached int
	// resets counts the rounds in a row in which the connection of the report was reset.
	resets int
	// lost and overdue are what the last round has shown.
	lost, overdue bool
}

// judge decides about one group from the rounds of questions to its members.
type judge struct {
	// stallTimeout is how long a group without one of its members keeps accepting calls.
	stallTimeout time.Duration
	// maxPause is the longest pause between two rounds.
	maxPause time.Duration
	members  map[string]*memberRecord
	// lastEndedAt is the end of the last round.
	lastEndedAt time.Duration
}

// examinationPause returns the pause before the next round, given the shortest one and the number of members of all
// groups that are examined.
func examinationPause(shortest time.Duration, members int) time.Duration {
	return max(shortest, time.Duration(members)*time.Second/maxQuestionsPerSecond)
}

func newJudge(stallTimeout, maxPause time.Duration) *judge {
	return &judge{stallTimeout: stallTimeout, maxPause: maxPause, members: map[string]*memberRecord{}}
}

// decide adds a round and returns what the evidence about the members that were asked says now.
func (judge *judge) decide(round *round) verdict {
	anyLost, anySilent, anyOverdue := false, false, false
	endedAt := round.startedAt + round.took
	// This node was not scheduled between the rounds. What it saw before is out of date.
	outdated := round.startedAt-judge.lastEndedAt > judge.maxPause+maxRoundDelay
	judge.lastEndedAt = endedAt
	for index, response := range round.responses {
		member := judge.members[round.ids[index]]
		if member == nil || outdated {
			member = &memberRecord{}
			judge.members[round.ids[index]] = member
		}
		member.update(response, round)
		anyLost = anyLost || member.lost
		anySilent = anySilent || !response.isReply()
		member.overdue = member.silent && !round.isVoid() && endedAt-member.silentSince >= judge.stallTimeout
		anyOverdue = anyOverdue || member.overdue
	}
	switch {
	case anyLost:
		return lost
	case !anySilent:
		return complete
	case anyOverdue:
		return overdue
	}
	return undecided
}

// update adds a member's response.
func (member *memberRecord) update(response Response, round *round) {
	switch {
	case response == Unlisted && round.isVoid():
		// The connection may have timed out while this node was not scheduled.
	case response.isProof():
		member.lost = true
	case response.isReply():
		*member = memberRecord{}
	case response == ConnectionRefused:
		member.updateRefused(round)
	case response == ConnectionReset:
		member.unreached = 0
		member.resets++
		member.lost = member.resets >= minResetRounds
		member.setSilent(round)
	case round.isVoid():
	case response == NoConnection:
		member.resets = 0
		member.updateUnreached(round)
	default:
		// The host accepts connections, so the process is paused or overloaded.
		member.unreached, member.resets = 0, 0
		member.setSilent(round)
	}
}

// updateRefused adds a round in which the member's host refused a connection. Its process has ended, unless
// most reference servers accept no connections either: a partition may refuse them, too.
func (member *memberRecord) updateRefused(round *round) {
	if round.references.asked > 0 && !round.references.most() {
		*member = memberRecord{}
		return
	}
	member.lost = true
}

// updateUnreached adds a round in which a member had no connection. Without reference servers, the
// other members show whether the network works.
func (member *memberRecord) updateUnreached(round *round) {
	switch {
	case round.references.all():
		member.lost = true
	case round.references.most(), round.references.asked == 0 && round.anyReplied():
		member.setSilent(round)
		member.unreached++
		member.lost = member.unreached >= minUnreachedRounds
	default:
		*member = memberRecord{}
	}
}

func (member *memberRecord) setSilent(round *round) {
	if !member.silent {
		member.silent, member.silentSince = true, round.startedAt
	}
}

// recordReply records that a member replied between two rounds.
func (judge *judge) recordReply(id string) {
	delete(judge.members, id)
}

// isSilent reports whether a member did not reply in the last round.
func (judge *judge) isSilent(id string) bool {
	member := judge.members[id]
	return member != nil && member.silent
}

// isLost reports whether a member was found lost.
func (judge *judge) isLost(id string) bool {
	member := judge.members[id]
	return member != nil && member.lost
}

// isOverdue reports whether a member was silent for too long as of its last round.
func (judge *judge) isOverdue(id string) bool {
	member := judge.members[id]
	return member != nil && member.overdue
}

// suspicionLimit bounds how many groups of a model are ended although a silent member may only be paused.
type suspicionLimit struct {
	endedAt map[string]time.Duration
}

// take reports whether a group of the model may be ended, and counts it as ended. One group of a model
// may be ended within an interval.
func (limit *suspicionLimit) take(model string, now, interval time.Duration) bool {
	if last, ok := limit.endedAt[model]; ok && now-last < interval {
		return false
	}
	if limit.endedAt == nil {
		limit.endedAt = map[string]time.Duration{}
	}
	limit.endedAt[model] = now
	return true
}
