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
	// memberTimeout is how long a group waits for a paused member before its generations fail.
	memberTimeout     = 5 * time.Second
	bytesPerToken     = 4
	prefixBytes       = 64
	maxCachedPrefixes = 64
)

// waitingRequest is a request that waits for a free slot in the batch. Closing turn gives the slot to the request.
type waitingRequest struct {
	priority int32
	turn     chan struct{}
}

// Token returns the token at one position of the generation for a prompt.
func Token(prompt string, position int) string {
	return fmt.Sprintf("w%d.%04x ", position, xxhash.Sum64String(fmt.Sprintf("%s/%d", prompt, position))&0xffff)
}

// Completion returns the complete generation for a prompt.
func Completion(prompt string, tokens int) string {
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
	if !engine.acquireSlot(request.Context(), generate.Priority) {
		return
	}
	defer engine.releaseSlot()
	generation := &generation{engine: engine, generate: generate, members: members, writer: writer, ctx: request.Context()}
	generation.breakAt = engine.nextBreakPosition()
	generation.run()
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

// acquireSlot waits for a free slot in the batch. Slots go to the highest priority first, and to the earliest request
// within one priority. acquireSlot returns false if the context ends first.
func (engine *Engine) acquireSlot(ctx context.Context, priority int32) bool {
	engine.mu.Lock()
	if engine.running < engine.rates.Concurrency {
		engine.running++
		engine.mu.Unlock()
		return true
	}
	entry := &waitingRequest{priority: priority, turn: make(chan struct{})}
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
		engine.abandonWait(entry)
		return false
	}
}

func (engine *Engine) abandonWait(entry *waitingRequest) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	at := slices.Index(engine.waiting, entry)
	if at >= 0 {
		engine.waiting = slices.Delete(engine.waiting, at, at+1)
		return
	}
	engine.releaseSlotLocked()
}

func (engine *Engine) releaseSlot() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.releaseSlotLocked()
}

func (engine *Engine) releaseSlotLocked() {
	if len(engine.waiting) == 0 {
		engine.running--
		return
	}
	close(engine.waiting[0].turn)
	engine.waiting = engine.waiting[1:]
}

func (engine *Engine) nextBreakPosition() int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.faults.BreakDrafts == 0 {
		return -1
	}
	engine.faults.BreakDrafts--
	return engine.faults.BreakAtToken
}

// prefillTime returns the time to process the prompt. A prompt whose first prefixBytes bytes are in the prefix cache
// takes half the time.
func (engine *Engine) prefillTime(generate peer.GenerateRequest) time.Duration {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	tokens := len(generate.Prompt)/bytesPerToken + len(generate.Resume)
	prefix := generate.Prompt[:min(prefixBytes, len(generate.Prompt))]
	if at := slices.Index(engine.prefixes, prefix); at >= 0 {
		tokens /= 2
		engine.prefixes = slices.Delete(engine.prefixes, at, at+1)
	}
	engine.prefixes = append(engine.prefixes, prefix)
	if len(engine.prefixes) > maxCachedPrefixes {
		engine.prefixes = engine.prefixes[1:]
	}
	return time.Duration(float64(tokens) / float64(engine.rates.PrefillPerSecond) * float64(time.Second))
}

func (engine *Engine) nextStepTime() time.Duration {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.generated++
	return engine.rates.Step + time.Duration(engine.running)*engine.rates.StepPerRequest
}

func (engine *Engine) addQueuedTokens(tokens int) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.queued += tokens
}

func (engine *Engine) currentFaults() Faults {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.faults
}

// generation is one running request, whose tokens are written to the response as they are generated.
type generation struct {
	engine    *Engine
	generate  peer.GenerateRequest
	members   []string
	writer    http.ResponseWriter
	ctx       context.Context
	breakAt   int
	heldPiece *peer.Piece
}

func (generation *generation) run() {
	remaining := generation.generate.MaxTokens - len(generation.generate.Resume)
	generation.engine.addQueuedTokens(remaining)
	defer func() { generation.engine.addQueuedTokens(-remaining) }()
	delay := time.Duration(generation.engine.currentFaults().LateMs) * time.Millisecond
	if !generation.sleep(generation.engine.prefillTime(generation.generate) + delay) {
		return
	}
	for position := len(generation.generate.Resume); position < generation.generate.MaxTokens; position++ {
		if position == generation.breakAt {
			panic(http.ErrAbortHandler)
		}
		if !generation.sleep(generation.engine.nextStepTime()) || !generation.waitForMembers() {
			return
		}
		remaining--
		generation.engine.addQueuedTokens(-1)
		generation.writeToken(position)
	}
	generation.writeHeldPiece()
	generation.write(peer.Piece{Attempt: generation.generate.Attempt, Offset: generation.generate.MaxTokens, End: true, Reason: "length"})
}

// waitForMembers waits while a member is paused, up to memberTimeout. A lost member aborts the connection, and a member
// that stays paused fails the generation.
func (generation *generation) waitForMembers() bool {
	for waited := time.Duration(0); waited < memberTimeout; waited += pausePollInterval {
		switch generation.engine.domain.groupCondition(generation.generate.Group, generation.members) {
		case groupIntact:
			return true
		case memberLost:
			panic(http.ErrAbortHandler)
		}
		if !generation.sleep(pausePollInterval) {
			return false
		}
	}
	generation.write(peer.Piece{Attempt: generation.generate.Attempt, Failure: "a member of the group does not answer"})
	return false
}

func (generation *generation) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-generation.ctx.Done():
		return false
	}
}

// writeToken writes the piece for one token and applies the faults that lose, reorder, duplicate or outdate pieces.
func (generation *generation) writeToken(position int) {
	piece := peer.Piece{Attempt: generation.generate.Attempt, Offset: position, Token: Token(generation.generate.Prompt, position)}
	faults := generation.engine.currentFaults()
	if faults.LoseToken > 0 && position == faults.LoseToken {
		return
	}
	if faults.StaleAttempts {
		generation.write(peer.Piece{Attempt: piece.Attempt - 1, Offset: position, Token: "stale "})
	}
	if faults.ReorderTokens && generation.heldPiece == nil {
		generation.heldPiece = &piece
		return
	}
	generation.write(piece)
	generation.writeHeldPiece()
	if faults.DuplicateToken {
		generation.write(piece)
	}
}

func (generation *generation) writeHeldPiece() {
	if generation.heldPiece != nil {
		generation.write(*generation.heldPiece)
		generation.heldPiece = nil
	}
}

func (generation *generation) write(piece peer.Piece) {
	if err := json.NewEncoder(generation.writer).Encode(piece); err != nil {
		return
	}
	if flusher, ok := generation.writer.(http.Flusher); ok {
		flusher.Flush()
	}
}
