package dispatch

import (
	"slices"
	"sync/atomic"
	"time"
)

// Call is one call at a target. End must be called once.
type Call struct {
	target       *Target
	sentAt       time.Duration
	promptTokens int64
	// fingerprint identifies the content of the request.
	fingerprint uint64
	// parts identify the parts of the prompt that other requests share.
	parts   []uint64
	started atomic.Bool
	// paused reports that the stream isn't read because the caller is being written to.
	paused atomic.Bool
	// ended reports that the call is no longer counted.
	ended atomic.Bool
	// moved is why the call was cancelled in favour of another target, nil if it wasn't.
	moved atomic.Pointer[Suspicion]
	// keptAtLoss reports that the call goes on if its group is announced lost before the first event.
	keptAtLoss atomic.Bool
	// quarantined reports that the call was cancelled because its request is quarantined.
	quarantined atomic.Bool
	// eventAt is when the last event arrived, prefillAtEvent the expected prefill time of the target's pending
	// prompts at that time. slowCaller reports that the caller was slow to take the event.
	eventAt        atomic.Int64
	prefillAtEvent atomic.Int64
	slowCaller     atomic.Bool
	// cancel ends the call from another goroutine. suspect tells the call's owner that the target may not go on with
	// the call.
	cancel  func()
	suspect func(suspicion Suspicion)
}

// Begin counts a call with the given number of prompt tokens and the fingerprints of its request and of the parts of
// its prompt. Other goroutines end the call through cancel. While the target is suspected, suspect is called again and
// again from another goroutine, which it must not block; the call itself goes on.
func (target *Target) Begin(promptTokens int, fingerprint uint64, cancel func(), suspect func(suspicion Suspicion), parts ...uint64) *Call {
	call := &Call{
		target: target, sentAt: target.now(), promptTokens: int64(promptTokens), fingerprint: fingerprint, parts: parts, cancel: cancel, suspect: suspect,
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	target.ownCalls.Add(1)
	target.pendingPromptTokens.Add(call.promptTokens)
	target.calls[call] = struct{}{}
	return call
}

// RecordEvent records that something arrived for the call. The first event makes the call a started stream.
func (call *Call) RecordEvent() {
	call.RecordEvents(1)
}

// RecordEvents is RecordEvent for several events of a stream that arrived together.
func (call *Call) RecordEvents(count int) {
	now := call.target.now()
	call.target.lastEventAt.Store(int64(now))
	if call.target.silentUntil.Load() != 0 {
		call.target.silentUntil.Store(0)
	}
	call.target.dataCentrePath.recordResponse(now)
	call.target.path.RecordActivity(call.target.ID)
	if !call.started.Swap(true) {
		call.target.startedStreams.Add(1)
		call.target.pendingPromptTokens.Add(-call.promptTokens)
	}
	call.recordGap(now, time.Duration(call.eventAt.Swap(int64(now))), count)
}

// PauseReading records that the caller is being written to. Until ResumeReading no event can be read, which says
// nothing about the target: the caller may read slowly.
func (call *Call) PauseReading() {
	if call.ended.Load() || call.paused.Swap(true) {
		return
	}
	call.target.pausedStreams.Add(1)
}

// ReadingPaused reports whether the caller is being written to.
func (call *Call) ReadingPaused() bool {
	return call.paused.Load()
}

// ResumeReading records that the caller has taken what was written to it.
func (call *Call) ResumeReading() {
	state := call.target.localState
	if !call.paused.Swap(false) {
		return
	}
	if paused := state.pausedStreams.Add(-1); state.startedStreams.Load()-paused == 1 {
		// Nothing was read from the target while all its streams were paused.
		state.lastEventAt.Store(int64(state.now()))
	}
}

// readableStreams returns the number of started streams that are being read.
func (localState *localState) readableStreams() int32 {
	return localState.startedStreams.Load() - localState.pausedStreams.Load()
}

// End stops counting the call.
func (call *Call) End() {
	state := call.target.localState
	state.mu.Lock()
	defer state.mu.Unlock()
	if _, ok := state.calls[call]; !ok {
		return
	}
	delete(state.calls, call)
	call.ended.Store(true)
	state.ownCalls.Add(-1)
	if call.paused.Swap(false) {
		state.pausedStreams.Add(-1)
	}
	if call.started.Load() {
		state.startedStreams.Add(-1)
		if call.target.slotTime != nil && !call.Moved() {
			call.target.slotTime.record(state.now() - call.sentAt)
		}
		return
	}
	state.pendingPromptTokens.Add(-call.promptTokens)
}

// Moved reports whether the call was cancelled because its target was given up.
func (call *Call) Moved() bool {
	return call.moved.Load() != nil
}

// Movement returns why the call was cancelled because its target was given up, the zero value if it wasn't.
func (call *Call) Movement() Suspicion {
	if suspicion := call.moved.Load(); suspicion != nil {
		return *suspicion
	}
	return Suspicion{}
}

// Quarantined reports whether the call was cancelled because its request is quarantined.
func (call *Call) Quarantined() bool {
	return call.quarantined.Load()
}

// CancelUnanswered cancels the calls that have had no event and whose request, or a part of its prompt, has the given
// fingerprint, and returns their number. They may still be queued at their servers, which then never run them.
func (board *Board) CancelUnanswered(fingerprint uint64) int {
	canceled := 0
	for _, target := range board.snapshot.Load().targets {
		canceled += target.cancelUnanswered(fingerprint)
	}
	return canceled
}

func (localState *localState) cancelUnanswered(fingerprint uint64) int {
	localState.mu.Lock()
	defer localState.mu.Unlock()
	canceled := 0
	for call := range localState.calls {
		if (call.fingerprint == fingerprint || slices.Contains(call.parts, fingerprint)) && !call.started.Load() {
			call.quarantined.Store(true)
			call.cancel()
			canceled++
		}
	}
	return canceled
}

// KeepAtLoss makes the call go on if its group is announced lost before the first event. It is for a call that goes on
// with a partly delivered response: cancelling it cuts the response, and the group may be sound.
func (call *Call) KeepAtLoss() {
	call.keptAtLoss.Store(true)
}

// GiveUp cancels the call in favour of one at another target.
func (call *Call) GiveUp(suspicion Suspicion) {
	call.moved.CompareAndSwap(nil, &suspicion)
	call.cancel()
}

// MarkGroupLost records that a group has lost a member: the group gets no new calls, its calls without an event are
// given up unless they are kept, and the others are suspected. It returns the number of its calls.
func (board *Board) MarkGroupLost(group string) int {
	calls := 0
	for _, target := range board.snapshot.Load().targets {
		if target.Group == group && !target.memberLost.Swap(true) {
			calls += target.giveUpUnanswered(GroupLost) + target.suspectCalls(GroupLost)
		}
	}
	return calls
}
