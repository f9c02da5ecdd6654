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
	ticketsMost  = 50_000
	// TicketWindow is how long a ticket can be used, and its answer replayed.
	TicketWindow = time.Hour
)

// ErrTooManyTickets means that this node keeps as many tickets as it may.
var ErrTooManyTickets = errors.New("this node has issued as many tickets as it keeps; try another node")

// tickets is one incarnation's memory of the keys that it alone may run. It
// needs no agreement and no log: when the process dies, nobody may run them.
type tickets struct {
	mu sync.Mutex
	// closed is set once the table was handed over: a call that ran after that
	// would be missing from what the peer answers by.
	closed  bool
	issued  map[string]*ticket
	adopted map[uint64]map[string]*record.Outcome
}

type ticket struct {
	issuedAt time.Duration
	used     *run
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

// TicketIssuer returns the incarnation that a key is bound to, if it is a
// ticket.
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

// Issue returns a key that only this incarnation may run.
func (keeper *Keeper) Issue() (string, error) {
	random := make([]byte, 12)
	if _, err := rand.Read(random); err != nil {
		return "", errors.Wrap(err, "draw a ticket")
	}
	key := fmt.Sprintf("%s%016x-%s", ticketPrefix, keeper.incarnation, hex.EncodeToString(random))
	keeper.tickets.mu.Lock()
	defer keeper.tickets.mu.Unlock()
	if keeper.tickets.closed || len(keeper.tickets.issued) >= ticketsMost {
		return "", ErrTooManyTickets
	}
	keeper.tickets.issued[key] = &ticket{issuedAt: keeper.now()}
	return key, nil
}

// RunTicket runs a call under a ticket of this incarnation, or answers for a
// closed incarnation whose table this node has taken over.
func (keeper *Keeper) RunTicket(ctx context.Context, call Call) Answer {
	issuer, _ := TicketIssuer(call.Key)
	if issuer != keeper.incarnation {
		return keeper.answerAdopted(issuer, call.Key)
	}
	current, mine, known := keeper.useTicket(call)
	switch {
	case !known:
		return Answer{Outcome: outcome.Unknown, Cause: "the ticket is past its window or was never issued"}
	case !mine:
		return keeper.await(ctx, call, current)
	}
	keeper.runs.Add(1)
	sendCtx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	answer := call.Send(sendCtx)
	keeper.endTicket(call.Key, current, answer)
	return answer
}

func (keeper *Keeper) useTicket(call Call) (current *run, mine, known bool) {
	keeper.tickets.mu.Lock()
	defer keeper.tickets.mu.Unlock()
	ticket, ok := keeper.tickets.issued[call.Key]
	if !ok || keeper.tickets.closed || keeper.now()-ticket.issuedAt > TicketWindow {
		return nil, false, false
	}
	if ticket.used != nil {
		return ticket.used, false, true
	}
	ticket.used = &run{done: make(chan struct{}), digest: call.Digest}
	return ticket.used, true, true
}

// endTicket keeps the answer. A call that provably did not run leaves the
// ticket unused.
func (keeper *Keeper) endTicket(key string, current *run, answer Answer) {
	keeper.tickets.mu.Lock()
	defer keeper.tickets.mu.Unlock()
	current.answer = answer
	close(current.done)
	if ticket, ok := keeper.tickets.issued[key]; ok && answer.Outcome == outcome.NotRun {
		ticket.used = nil
	}
}

// HandOver returns the ended calls of this incarnation's tickets. A node that
// stops gracefully gives them to a peer after its last request has ended; a
// ticket that is not among them never ran.
func (keeper *Keeper) HandOver() []*record.Outcome {
	keeper.tickets.mu.Lock()
	defer keeper.tickets.mu.Unlock()
	keeper.tickets.closed = true
	ended := []*record.Outcome{}
	for key, ticket := range keeper.tickets.issued {
		if ticket.used != nil {
			ended = append(ended, Kept(key, ticket.used.answer))
		}
	}
	return ended
}

// Adopt answers from now on for the tickets of a closed incarnation.
func (keeper *Keeper) Adopt(incarnation uint64, ended []*record.Outcome) {
	keeper.tickets.mu.Lock()
	defer keeper.tickets.mu.Unlock()
	outcomes := map[string]*record.Outcome{}
	for _, kept := range ended {
		outcomes[kept.Key] = kept
	}
	keeper.tickets.adopted[incarnation] = outcomes
}

// Adopted reports whether this node answers for a closed incarnation.
func (keeper *Keeper) Adopted(incarnation uint64) bool {
	keeper.tickets.mu.Lock()
	defer keeper.tickets.mu.Unlock()
	_, ok := keeper.tickets.adopted[incarnation]
	return ok
}

func (keeper *Keeper) answerAdopted(issuer uint64, key string) Answer {
	keeper.tickets.mu.Lock()
	defer keeper.tickets.mu.Unlock()
	outcomes, ok := keeper.tickets.adopted[issuer]
	if !ok {
		return Answer{Outcome: outcome.Unknown, Cause: "the node that issued this ticket cannot be asked"}
	}
	if kept, ok := outcomes[key]; ok {
		return Replay(kept)
	}
	return Answer{Outcome: outcome.NotRun, Cause: "the node that issued this ticket has stopped; the call never ran under it"}
}
