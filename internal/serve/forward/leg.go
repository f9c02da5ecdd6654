package forward

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/fleet/detour"
	"hazelslip/internal/peer/backendserver"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/notice"
)

// errGivenUp means that a call was ended before it was written: its caller left, its time was up,
// or its target was given up while the connection was opened.
var errGivenUp = errors.New("the call was given up before it was sent")

// leg is one call of a request to one server. Its holder ends it.
type leg struct {
	*backendserver.Reply
	target *dispatch.Target
	// peer is the node that the call goes through, nil where it goes to a server.
	peer  *detour.Peer
	use   *dispatch.Use
	ender *ender
	// forget takes the ender off the caller's connection, patience ends the call
	// when it has taken too long.
	forget   func() bool
	patience *time.Timer
	// sent is when the call was begun, admitted when it was about to be written.
	sent, admitted time.Duration
	// overdue says that its time was up while the caller was being written to.
	overdue atomic.Bool
	// withheld says that it wasn't, since the server wants no calls.
	withheld bool
}

// end gives the connection back. The ender lets go of it first: the connection
// may carry the next call at once, which an end that comes late, from a timer
// or from a group that is given up, would cut off.
func (leg *leg) end() {
	leg.patience.Stop()
	leg.forget()
	leg.ender.release()
	if leg.Reply != nil {
		leg.Close()
	}
	if leg.use != nil {
		leg.use.End()
	}
}

// expire ends a call that has taken as long as it may. While its caller is being written to, which
// may take much longer, nothing notices that; its place at the server is given back at once.
func (leg *leg) expire() {
	leg.ender.end()
	if leg.use.Held() {
		leg.overdue.Store(true)
		leg.Abort()
		leg.use.End()
	}
}

// ender ends a call from another goroutine, also one that is yet to be sent.
type ender struct {
	mu    sync.Mutex
	do    func()
	ended bool
}

func (ender *ender) set(do func()) {
	ender.mu.Lock()
	defer ender.mu.Unlock()
	ender.do = do
	if ender.ended {
		do()
	}
}

// release makes the ender do nothing from now on. When it returns, no end is
// under way.
func (ender *ender) release() {
	ender.mu.Lock()
	defer ender.mu.Unlock()
	ender.do = nil
}

// over says whether the call was ended.
func (ender *ender) over() bool {
	ender.mu.Lock()
	defer ender.mu.Unlock()
	return ender.ended
}

func (ender *ender) end() {
	ender.mu.Lock()
	defer ender.mu.Unlock()
	ender.ended = true
	if ender.do != nil {
		ender.do()
	}
}

// attempt sends the request to one target and reads the head of its answer. The
// call ends when it has taken as long as given, also while its head is awaited:
// a server that lost power says nothing at all. A leg without a reply comes
// with the reason in the cause, and with mayHaveRun set if the call may have
// run.
func (exchange *exchange) attempt(target *dispatch.Target, within time.Duration) *leg {
	call := exchange.newCall(target)
	exchange.last = dispatched{server: target.ID, group: target.Group, taken: target.Taken()}
	leg := exchange.newLeg(target, within)
	call.SetCancel, call.OnResponseHead = leg.ender.set, exchange.hear(leg)
	call.Admit, call.OnConnect = exchange.admitLeg(leg), target.Opened
	call.ReuseOnly = !exchange.straight && exchange.forwarder.Board.LivesOn(target)
	reply, err := exchange.forwarder.Pool.Send(call)
	if err == nil {
		exchange.arrivals++
		target.Heard()
		leg.Reply = reply
		return leg
	}
	exchange.noReply(leg, err)
	return leg
}

// newLeg begins a call that may take as long as given.
func (exchange *exchange) newLeg(target *dispatch.Target, within time.Duration) *leg {
	exchange.attempts++
	leg := &leg{target: target, ender: &ender{}, sent: exchange.forwarder.Now()}
	leg.use = target.Begin(exchange.request.PromptTokens, uint64(exchange.fingerprint), leg.ender.end)
	leg.patience = time.AfterFunc(within, leg.expire)
	leg.forget = context.AfterFunc(exchange.inbound.Context(), leg.ender.end)
	return leg
}

// noReply notes a call that brought no answer.
func (exchange *exchange) noReply(leg *leg, err error) {
	target := leg.target
	exchange.cause = err.Error()
	exchange.exclude = append(exchange.exclude, target.ID)
	if leg.withheld = errors.Is(err, notice.ErrWithheld) || errors.Is(err, backendserver.ErrNoIdleConnection); leg.withheld {
		return
	}
	givenUp := errors.Is(err, errGivenUp)
	if (givenUp || errors.Is(err, os.ErrDeadlineExceeded)) && !exchange.gone() && !leg.use.Moved() {
		target.Missed(leg.sent)
	}
	if givenUp {
		return
	}
	if errors.Is(err, backendserver.ErrNotSent) {
		if errors.Is(err, backendserver.ErrConnectFailed) && !exchange.gone() {
			target.Unopened(leg.sent)
		}
		target.Avoid(avoidUnreachable)
		exchange.forwarder.Failed(target, "")
		return
	}
	exchange.arrivals++
	exchange.ran()
	if closedUnanswered(err) && !exchange.gone() && !leg.use.Moved() {
		exchange.forwarder.Counts.Unanswered.Add(1)
		if target.Unanswered(leg.sent) >= dispatch.BreaksTold {
			exchange.forwarder.Failed(target, "")
		}
	}
	exchange.note(leg, true)
	exchange.noteEnd(leg, err)
}

// closedUnanswered says whether a call ended since its connection was closed before any answer.
func closedUnanswered(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// note tells how a call ended, unless that says nothing of its server.
func (exchange *exchange) note(leg *leg, failed bool) {
	if leg.peer != nil || (failed && !leg.target.Reached()) {
		return
	}
	if failed && (exchange.gone() || leg.overdue.Load() || leg.use.Moved() || leg.use.Withdrawn()) {
		return
	}
	leg.target.Note(failed)
}

// ran notes that a server may have run the request.
func (exchange *exchange) ran() {
	exchange.mayHaveRun = true
	exchange.runs++
}

const (
	// avoidUnreachable is how long a server that can't be connected to gets no
	// calls.
	avoidUnreachable = 700 * time.Millisecond
	// avoidRefusing is how long a server that is full gets no calls.
	avoidRefusing = 150 * time.Millisecond
)

// refused notes an answer by which the server did not run the call.
func (exchange *exchange) refused(leg *leg) {
	target, reply := leg.target, leg.Reply
	exchange.cause = "server " + target.ID + " did not run it: " + strconv.Itoa(reply.Status)
	exchange.exclude = append(exchange.exclude, target.ID)
	if reply.WrongServer || reply.Culprit != "" {
		target.Avoid(avoidUnreachable)
		exchange.forwarder.Failed(target, reply.Culprit)
		return
	}
	target.Avoid(avoidRefusing)
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Content-Length"}

// StripHopByHop removes the headers that concern one connection only, with
// those that the Connection header names.
func StripHopByHop(header http.Header) {
	for _, line := range header.Values("Connection") {
		for _, name := range splitList(line) {
			header.Del(name)
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// passHead copies the head of a server's answer.
func (exchange *exchange) passHead(from http.Header) {
	StripHopByHop(from)
	header := exchange.writer.Header()
	for name, values := range from {
		header[name] = values
	}
	header.Del(headerDetour)
	exchange.tellSender(resultServer)
}
