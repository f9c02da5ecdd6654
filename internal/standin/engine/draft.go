package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	peer "hazelslip/internal/peer/engine"
)

const (
	// collectiveTimeout is how long a group waits for a paused member before
	// it gives up its answers.
	collectiveTimeout = 5 * time.Second
	bytesPerToken     = 4
	prefixBytes       = 64
	prefixesKept      = 64
)

// draft is one answer that waits for its turn.
type draft struct {
	priority int32
	turn     chan struct{}
}

// Token is the token at one position of the answer to a prompt.
func Token(prompt string, position int) string {
	return fmt.Sprintf("w%d.%04x ", position, xxhash.Sum64String(fmt.Sprintf("%s/%d", prompt, position))&0xffff)
}

// Answer is the whole answer to a prompt.
func Answer(prompt string, tokens int) string {
	var text strings.Builder
	for position := range tokens {
		text.WriteString(Token(prompt, position))
	}
	return text.String()
}

func (engine *Engine) serveGenerate(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var generate peer.GenerateRequest
	if err := json.NewDecoder(request.Body).Decode(&generate); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	members, refusal := engine.admit(generate)
	if refusal != "" {
		http.Error(writer, refusal, http.StatusConflict)
		return
	}
	if !engine.enter(request.Context(), generate.Priority) {
		return
	}
	defer engine.leave()
	answer := &answer{engine: engine, generate: generate, members: members, writer: writer, ctx: request.Context()}
	answer.breakAt = engine.takeBreak()
	answer.run()
}

func (engine *Engine) admit(generate peer.GenerateRequest) (members []string, refusal string) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	switch {
	case engine.faults.RefuseDrafts > 0:
		engine.faults.RefuseDrafts--
		return nil, "refused"
	case engine.faults.Leaving:
		return nil, "leaving"
	case engine.group != generate.Group || engine.state != peer.StateReady:
		return nil, fmt.Sprintf("not in group %d", generate.Group)
	case len(engine.members) == 0 || engine.members[0] != engine.address:
		return nil, "not the first member"
	}
	return slices.Clone(engine.members), ""
}

// enter waits until a place in the batch is free, the highest priority first.
func (engine *Engine) enter(ctx context.Context, priority int32) bool {
	engine.mu.Lock()
	if engine.running < engine.rates.Concurrency {
		engine.running++
		engine.mu.Unlock()
		return true
	}
	entry := &draft{priority: priority, turn: make(chan struct{})}
	at := len(engine.waiting)
	for at > 0 && engine.waiting[at-1].priority < priority {
		at--
	}
	engine.waiting = slices.Insert(engine.waiting, at, entry)
	engine.mu.Unlock()
	select {
	case <-entry.turn:
		return true
	case <-ctx.Done():
		engine.giveUp(entry)
		return false
	}
}

func (engine *Engine) giveUp(entry *draft) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	at := slices.Index(engine.waiting, entry)
	if at >= 0 {
		engine.waiting = slices.Delete(engine.waiting, at, at+1)
		return
	}
	engine.passOnLocked()
}

func (engine *Engine) leave() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.passOnLocked()
}

func (engine *Engine) passOnLocked() {
	if len(engine.waiting) == 0 {
		engine.running--
		return
	}
	close(engine.waiting[0].turn)
	engine.waiting = engine.waiting[1:]
}

func (engine *Engine) takeBreak() int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.faults.BreakDrafts == 0 {
		return -1
	}
	engine.faults.BreakDrafts--
	return engine.faults.BreakAtToken
}

// prefill is how long the prompt takes, less what the prefix cache holds.
func (engine *Engine) prefill(generate peer.GenerateRequest) time.Duration {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	tokens := len(generate.Prompt)/bytesPerToken + len(generate.Resume)
	prefix := generate.Prompt[:min(prefixBytes, len(generate.Prompt))]
	if at := slices.Index(engine.prefixes, prefix); at >= 0 {
		tokens /= 2
		engine.prefixes = slices.Delete(engine.prefixes, at, at+1)
	}
	engine.prefixes = append(engine.prefixes, prefix)
	if len(engine.prefixes) > prefixesKept {
		engine.prefixes = engine.prefixes[1:]
	}
	return time.Duration(float64(tokens) / float64(engine.rates.Prefill) * float64(time.Second))
}

func (engine *Engine) step() time.Duration {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.generated++
	return engine.rates.Step + time.Duration(engine.running)*engine.rates.StepEach
}

func (engine *Engine) queue(tokens int) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.queued += tokens
}

func (engine *Engine) currentFaults() Faults {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.faults
}

// answer is one draft being written.
type answer struct {
	engine   *Engine
	generate peer.GenerateRequest
	members  []string
	writer   http.ResponseWriter
	ctx      context.Context
	breakAt  int
	held     *peer.Piece
}

func (answer *answer) run() {
	left := answer.generate.MaxTokens - len(answer.generate.Resume)
	answer.engine.queue(left)
	defer func() { answer.engine.queue(-left) }()
	late := time.Duration(answer.engine.currentFaults().LateMs) * time.Millisecond
	if !answer.sleep(answer.engine.prefill(answer.generate) + late) {
		return
	}
	for position := len(answer.generate.Resume); position < answer.generate.MaxTokens; position++ {
		if position == answer.breakAt {
			panic(http.ErrAbortHandler)
		}
		if !answer.sleep(answer.engine.step()) || !answer.collective() {
			return
		}
		left--
		answer.engine.queue(-1)
		answer.token(position)
	}
	answer.flushHeld()
	answer.write(peer.Piece{Attempt: answer.generate.Attempt, Offset: answer.generate.MaxTokens, End: true, Reason: "length"})
}

// collective waits for paused members and fails the answer of a broken group.
func (answer *answer) collective() bool {
	for waited := time.Duration(0); waited < collectiveTimeout; waited += pauseCheck {
		switch answer.engine.domain.condition(answer.generate.Group, answer.members) {
		case intact:
			return true
		case lost:
			panic(http.ErrAbortHandler)
		}
		if !answer.sleep(pauseCheck) {
			return false
		}
	}
	answer.write(peer.Piece{Attempt: answer.generate.Attempt, Failure: "a member of the group does not answer"})
	return false
}

func (answer *answer) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-answer.ctx.Done():
		return false
	}
}

// token writes one token, with the faults of pieces where they are on.
func (answer *answer) token(position int) {
	piece := peer.Piece{Attempt: answer.generate.Attempt, Offset: position, Token: Token(answer.generate.Prompt, position)}
	faults := answer.engine.currentFaults()
	if faults.LoseToken > 0 && position == faults.LoseToken {
		return
	}
	if faults.StaleAttempts {
		answer.write(peer.Piece{Attempt: piece.Attempt - 1, Offset: position, Token: "stale "})
	}
	if faults.ReorderTokens && answer.held == nil {
		answer.held = &piece
		return
	}
	answer.write(piece)
	answer.flushHeld()
	if faults.DuplicateToken {
		answer.write(piece)
	}
}

func (answer *answer) flushHeld() {
	if answer.held != nil {
		answer.write(*answer.held)
		answer.held = nil
	}
}

func (answer *answer) write(piece peer.Piece) {
	if err := json.NewEncoder(answer.writer).Encode(piece); err != nil {
		return
	}
	if flusher, ok := answer.writer.(http.Flusher); ok {
		flusher.Flush()
	}
}
