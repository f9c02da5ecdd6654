package booking

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/common/outcome"
	"hazelslip/internal/wire/record"
)

const (
	ticketPrefix = "ticket-"
	maxTickets   = 50_000
	// TicketWindow is how long a ticket can be used and its result replayed.
	TicketWindow = time.Hour
)

// ErrTooManyTickets means that this node has reached its limit of issued tickets, or no longer issues any.
var ErrTooManyTickets = errors.New("this node has issued as many tickets as it keeps; try another node")

// tickets holds the keys that only this incarnation may run, in memory. Tickets need neither consensus nor the log:
// once the process has died, no node may run them.
type tickets struct {
	mu sync.Mutex
	// closed is set once the tickets were handed over. A call that ran afterwards would be missing from the outcomes
	// that the peer replays.
	closed bool
	issued map[string]*ticket
	// adopted holds the outcomes that other incarnations handed over, by incarnation and key.
	adopted map[uint64]map[string]*record.Outcome
}

type ticket struct {
	issuedAt  time.Duration
	execution *execution
}

func newTickets() *tickets {
	return &tickets{issued: map[string]*ticket{}, adopted: map[uint64]map[string]*record.Outcome{}}
}

func (tickets *tickets) count() int {
	tickets.mu.Lock()
	defer tickets.mu.Unlock()
	return len(tickets.issued)
}

func (tickets *tickets) expire(now time.Duration) {
	tickets.mu.Lock()
	defer tickets.mu.Unlock()
	for key, ticket := range tickets.issued {
		if now-ticket.issuedAt > TicketWindow {
			delete(tickets.issued, key)
		}
	}
}

// TicketIssuer returns the incarnation that issued a ticket. It returns false if the key is not a ticket.
func TicketIssuer(key string) (uint64, bool) {
	rest, ok := strings.CutPrefix(key, ticketPrefix)
	if !ok {
		return 0, false
	}
	issuer, _, ok := strings.Cut(rest, "-")
	if !ok {
		return 0, false
	}
	incarnation, err := strconv.ParseUint(issuer, 16, 64)
	return incarnation, err == nil
}

// IssueTicket returns a new key that only this incarnation may run.
func (executor *Executor) IssueTicket() (string, error) {
	random := make([]byte, 12)
	if _, err := rand.Read(random); err != nil {
		return "", errors.Wrap(err, "generate ticket key")
	}
	key := fmt.Sprintf("%s%016x-%s", ticketPrefix, executor.incarnation, hex.EncodeToString(random))
	executor.tickets.mu.Lock()
	defer executor.tickets.mu.Unlock()
	if executor.tickets.closed || len(executor.tickets.issued) >= maxTickets {
		return "", ErrTooManyTickets
	}
	executor.tickets.issued[key] = &ticket{issuedAt: executor.now()}
	return key, nil
}

// RunTicket runs the call of a ticket of this incarnation at most once. For a ticket of an incarnation that has handed
// its tickets over to this node, RunTicket replays the stored outcome.
func (executor *Executor) RunTicket(ctx context.Context, call Call) Result {
	issuer, _ := TicketIssuer(call.Key)
	if issuer != executor.incarnation {
		return executor.resolveAdopted(issuer, call.Key)
	}
	current, started, known := executor.useTicket(call)
	switch {
	case !known:
		return Result{Outcome: outcome.Unknown, Cause: "the ticket is past its window or was never issued"}
	case !started:
		return executor.awaitExecution(ctx, call, current)
	}
	executor.runs.Add(1)
	sendCtx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	result := call.Send(sendCtx)
	executor.finishTicket(call.Key, current, result)
	return result
}

func (executor *Executor) useTicket(call Call) (current *execution, started, known bool) {
	executor.tickets.mu.Lock()
	defer executor.tickets.mu.Unlock()
	ticket, ok := executor.tickets.issued[call.Key]
	if !ok || executor.tickets.closed || executor.now()-ticket.issuedAt > TicketWindow {
		return nil, false, false
	}
	if ticket.execution != nil {
		return ticket.execution, false, true
	}
	ticket.execution = &execution{done: make(chan struct{}), digest: call.Digest}
	return ticket.execution, true, true
}

// finishTicket stores the result of the call of a ticket. If the call provably did not run, the ticket can be used
// again.
func (executor *Executor) finishTicket(key string, current *execution, result Result) {
	executor.tickets.mu.Lock()
	defer executor.tickets.mu.Unlock()
	current.result = result
	close(current.done)
	if ticket, ok := executor.tickets.issued[key]; ok && result.Outcome == outcome.NotRun {
		ticket.execution = nil
	}
}

// HandOver closes the tickets of this incarnation and returns the outcomes of their calls. A node that stops gracefully
// sends the outcomes to a peer after its last request has ended. The call of a ticket that is not among them never ran.
func (executor *Executor) HandOver() []*record.Outcome {
	executor.tickets.mu.Lock()
	defer executor.tickets.mu.Unlock()
	executor.tickets.closed = true
	ended := []*record.Outcome{}
	for key, ticket := range executor.tickets.issued {
		if ticket.execution != nil {
			ended = append(ended, OutcomeRecord(key, ticket.execution.result))
		}
	}
	return ended
}

// Adopt stores the outcomes that an incarnation handed over, so that this node replays them.
func (executor *Executor) Adopt(incarnation uint64, ended []*record.Outcome) {
	executor.tickets.mu.Lock()
	defer executor.tickets.mu.Unlock()
	outcomes := map[string]*record.Outcome{}
	for _, stored := range ended {
		outcomes[stored.Key] = stored
	}
	executor.tickets.adopted[incarnation] = outcomes
}

// Adopted reports whether this node holds the outcomes of another incarnation's tickets.
func (executor *Executor) Adopted(incarnation uint64) bool {
	executor.tickets.mu.Lock()
	defer executor.tickets.mu.Unlock()
	_, ok := executor.tickets.adopted[incarnation]
	return ok
}

// resolveAdopted returns the result of a ticket that another incarnation issued.
func (executor *Executor) resolveAdopted(issuer uint64, key string) Result {
	executor.tickets.mu.Lock()
	defer executor.tickets.mu.Unlock()
	outcomes, ok := executor.tickets.adopted[issuer]
	if !ok {
		return Result{Outcome: outcome.Unknown, Cause: "the node that issued this ticket cannot be asked"}
	}
	if stored, ok := outcomes[key]; ok {
		return Replay(stored)
	}
	return Result{Outcome: outcome.NotRun, Cause: "the node that issued this ticket has stopped; the call never ran under it"}
}
