package dispatch

import (
	"sync/atomic"
	"time"
)

// Use is one call at a target. End must be called once.
type Use struct {
	target *Target
	sent   time.Duration
	tokens int64
	// tag tells what the call asks.
	tag     uint64
	running atomic.Bool
	// held says that the caller is being written to.
	held atomic.Bool
	// over says that the call was uncounted.
	over  atomic.Bool
	moved atomic.Bool
	// withdrawn says that the call was ended for what it asks.
	withdrawn atomic.Bool
	// eventAt is when the last event came, reading how long the target's prompts should have taken by
	// then, and callerSlow says that the caller was slow to take it.
	eventAt    atomic.Int64
	reading    atomic.Int64
	callerSlow atomic.Bool
	// end stops the call from another goroutine.
	end func()
}

// Begin counts a call with a prompt of so many tokens, whose tag tells what it asks. The
// function given ends it from another goroutine.
func (target *Target) Begin(tokens int, tag uint64, end func()) *Use {
	use := &Use{target: target, sent: target.now(), tokens: int64(tokens), tag: tag, end: end}
	target.mu.Lock()
	defer target.mu.Unlock()
	target.mine.Add(1)
	target.unread.Add(use.tokens)
	target.uses[use] = struct{}{}
	return use
}

// Event tells that something came of the call; the first makes it a running
// stream.
func (use *Use) Event() {
	use.Events(1)
}

// Events is Event for so many events of a stream that came together.
func (use *Use) Events(count int) {
	now := use.target.now()
	use.target.progress.Store(int64(now))
	use.target.centre.hear(now)
	use.target.way.RecordActivity(use.target.ID)
	if !use.running.Swap(true) {
		use.target.running.Add(1)
		use.target.unread.Add(-use.tokens)
	}
	use.notePace(now, count)
}

// Hold tells that the call's caller is being written to. Until Resume, no event can be
// read, which says nothing of the target: a caller may read slowly.
func (use *Use) Hold() {
	if use.over.Load() || use.held.Swap(true) {
		return
	}
	use.target.held.Add(1)
}

// Held says whether the call's caller is being written to.
func (use *Use) Held() bool {
	return use.held.Load()
}

// Resume tells that the caller has taken what it was written.
func (use *Use) Resume() {
	load := use.target.load
	if !use.held.Swap(false) {
		return
	}
	if held := load.held.Add(-1); load.running.Load()-held == 1 {
		// Nothing was read of the target for as long as all its streams were held back.
		load.progress.Store(int64(load.now()))
	}
}

// active returns how many running streams are being read.
func (load *load) active() int32 {
	return load.running.Load() - load.held.Load()
}

// End uncounts the call.
func (use *Use) End() {
	load := use.target.load
	load.mu.Lock()
	defer load.mu.Unlock()
	if _, ok := load.uses[use]; !ok {
		return
	}
	delete(load.uses, use)
	use.over.Store(true)
	load.mine.Add(-1)
	if use.held.Swap(false) {
		load.held.Add(-1)
	}
	if use.running.Load() {
		load.running.Add(-1)
		if use.target.holding != nil && !use.moved.Load() {
			use.target.holding.note(load.now() - use.sent)
		}
		return
	}
	load.unread.Add(-use.tokens)
}

// Moved says whether the call was ended because its target was given up.
func (use *Use) Moved() bool {
	return use.moved.Load()
}

// Withdrawn says whether the call was ended for what it asks.
func (use *Use) Withdrawn() bool {
	return use.withdrawn.Load()
}

// Withdraw ends the calls with a tag of which nothing has come yet, and returns how
// many there were. They may still wait at their servers, which then never run them.
func (board *Board) Withdraw(tag uint64) int {
	ended := 0
	for _, target := range board.layout.Load().all {
		ended += target.withdraw(tag)
	}
	return ended
}

func (load *load) withdraw(tag uint64) int {
	load.mu.Lock()
	defer load.mu.Unlock()
	ended := 0
	for use := range load.uses {
		if use.tag == tag && !use.running.Load() {
			use.withdrawn.Store(true)
			use.end()
			ended++
		}
	}
	return ended
}

// move ends the calls of a target so that they go on elsewhere.
func (load *load) move() int {
	load.mu.Lock()
	defer load.mu.Unlock()
	for use := range load.uses {
		use.moved.Store(true)
		use.end()
	}
	return len(load.uses)
}

// Lose gives a group up: no new calls, and its calls go on elsewhere. It
// returns how many calls there were.
func (board *Board) Lose(group string) int {
	moved := 0
	for _, target := range board.layout.Load().all {
		if target.Group == group && !target.lost.Swap(true) {
			moved += target.move()
		}
	}
	return moved
}
