package dispatch

import "time"

// A call is never cancelled for silence alone: a sound server may be silent for seconds, and only the call's owner
// knows whether there is another place for the request. The board tells the owner that the target is suspected, and
// the owner gives the call up once another target goes on with the request. Only calls without an event at a group
// that lost a member are cancelled at once: the group can't run them, and their owners find another one or refuse the
// request early. Calls that go on with a partly delivered response are kept.

// Reason is why a target is suspected not to go on with its calls.
type Reason string

// Reasons for suspecting a target.
const (
	// GroupSilent: nothing has arrived from the group for too long.
	GroupSilent Reason = "GroupSilent"
	// GroupLost: the group was announced to have lost a member.
	GroupLost Reason = "GroupLost"
	// PathLost: the path to the servers of the target's service is lost.
	PathLost Reason = "PathLost"
	// DataCentreUnreachable: no server in the target's data centre accepted a connection.
	DataCentreUnreachable Reason = "DataCentreUnreachable"
	// PeerSilent: nothing has arrived for too long from the node that the call goes through.
	PeerSilent Reason = "PeerSilent"
	// CallSlow: a call has taken longer than calls of its route should.
	CallSlow Reason = "CallSlow"
)

// Suspicion is why a call is suspected, and how long nothing has arrived for it.
type Suspicion struct {
	Reason  Reason
	Silence time.Duration
}

// silence returns how long nothing has arrived for the call.
func (call *Call) silence(now time.Duration) time.Duration {
	return now - max(call.sentAt, time.Duration(call.eventAt.Load()))
}

// Silence returns how long nothing has arrived for the call.
func (call *Call) Silence() time.Duration {
	return call.silence(call.target.now())
}

// suspectCalls tells the owners of a target's calls that the target is suspected, and returns the number of calls that
// have not been given up before.
func (localState *localState) suspectCalls(reason Reason) int {
	now := localState.now()
	calls := localState.callsKept()
	for _, call := range calls {
		call.suspect(Suspicion{Reason: reason, Silence: call.silence(now)})
	}
	return len(calls)
}

// callsKept returns the calls that have not been given up.
func (localState *localState) callsKept() []*Call {
	localState.mu.Lock()
	defer localState.mu.Unlock()
	kept := make([]*Call, 0, len(localState.calls))
	for call := range localState.calls {
		if !call.Moved() {
			kept = append(kept, call)
		}
	}
	return kept
}

// giveUpUnanswered cancels the calls that have had no event and are not kept, and returns their number.
func (localState *localState) giveUpUnanswered(reason Reason) int {
	now := localState.now()
	localState.mu.Lock()
	defer localState.mu.Unlock()
	canceled := 0
	for call := range localState.calls {
		if !call.started.Load() && !call.keptAtLoss.Load() {
			call.GiveUp(Suspicion{Reason: reason, Silence: call.silence(now)})
			canceled++
		}
	}
	return canceled
}
