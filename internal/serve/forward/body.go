package forward

import (
	"io"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/policy/memory"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/state/configuration"
)

var (
	// errNoRoom means that what is read doesn't fit into the node's budget of memory.
	errNoRoom = errors.New("the memory for bodies and answers is used up")
	// errTooLong means that there is more than may be read.
	errTooLong = errors.New("it is too long")
)

const (
	// readFirst is how much is reserved at first for what comes without a length.
	readFirst = 4 << 10
	// refusedLinger is how long a connection on which a body was refused is still read. A
	// connection that is closed with bytes unread is reset, which may destroy the refusal
	// before the caller has read it.
	refusedLinger = 500 * time.Millisecond
)

// readBody reads the caller's body whole, within the node's budget of memory.
func (exchange *exchange) readBody() bool {
	most := exchange.snapshot.Configuration.Limits.MaxBodyBytes
	if most <= 0 {
		most = bodyMost
	}
	if exchange.inbound.ContentLength > most {
		exchange.deny(http.StatusRequestEntityTooLarge, Malformed, "the body is too long")
		return false
	}
	exchange.held = exchange.forwarder.Memory.NewReservation(exchange.workspace, exchange.alone())
	body, err := exchange.takeBody(most)
	switch {
	case errors.Is(err, errNoRoom):
		exchange.refuseBody()
		return false
	case errors.Is(err, errTooLong):
		exchange.deny(http.StatusRequestEntityTooLarge, Malformed, "the body is too long")
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		exchange.closeUnread()
		exchange.refuse(TimeUp, retryNone, "the body did not come in time")
		return false
	case err != nil:
		exchange.outcome = CallerLeft
		exchange.cause = "the body could not be read: " + err.Error()
		exchange.log(http.StatusBadRequest)
		panic(http.ErrAbortHandler)
	}
	exchange.request.Body, exchange.bodyHeld = body, exchange.held.Bytes()
	exchange.fingerprint = quarantine.NewFingerprint(quarantine.Request{
		Workspace: exchange.workspace, Method: exchange.request.Method, Host: exchange.request.Host,
		Target: exchange.request.Target, Body: body,
	})
	return true
}

// takeBody reads the body. Where memory is bounded, it must come within the time that the
// caller has: one that doesn't would keep what was reserved for it.
func (exchange *exchange) takeBody(most int64) ([]byte, error) {
	if exchange.inbound.ContentLength == 0 {
		return nil, nil
	}
	if !exchange.forwarder.Memory.Limited() {
		return readWithin(exchange.inbound.Body, exchange.inbound.ContentLength, most, &exchange.held)
	}
	// A writer without deadlines, of a test, is read without one.
	controller := http.NewResponseController(exchange.writer)
	_ = controller.SetReadDeadline(time.Now().Add(exchange.left()))
	body, err := readWithin(exchange.inbound.Body, exchange.inbound.ContentLength, most, &exchange.held)
	_ = controller.SetReadDeadline(time.Time{})
	return body, err
}

// alone says whether no other workspace can ask this node for anything.
func (exchange *exchange) alone() bool {
	inForce := exchange.snapshot.Configuration
	switch len(inForce.Workspaces) {
	case 0:
		return true
	case 1:
		return !slices.ContainsFunc(inForce.Routes, func(route configuration.Route) bool { return route.Anonymous })
	}
	return false
}

// refuseBody refuses a request whose body doesn't fit, and reads it no further.
func (exchange *exchange) refuseBody() {
	forwarder := exchange.forwarder
	exchange.held.RecordRefusal()
	exchange.held.Release()
	if refusals, due := forwarder.Memory.RefusalsToLog(forwarder.Now()); due {
		forwarder.Logger.LogAttrs(exchange.inbound.Context(), slog.LevelWarn, "forward: bodies were refused for lack of memory.",
			slog.Uint64("Refused", refusals.Refused), slog.Int64("HeldBytes", refusals.Reserved), slog.Int64("BudgetBytes", refusals.BudgetBytes),
			slog.String("Workspace", exchange.workspace), slog.String("RequestID", exchange.request.ID))
	}
	exchange.closeUnread()
	exchange.refuse(OutOfMemory, min(retryMemory, exchange.left()/retryPart), errNoRoom.Error())
}

// closeUnread makes the connection end after the answer: what is left of the body must not be
// taken for the next request.
func (exchange *exchange) closeUnread() {
	exchange.writer.Header().Set("Connection", "close")
	_ = http.NewResponseController(exchange.writer).SetReadDeadline(time.Now().Add(refusedLinger))
}

// readWithin reads to the end, and counts the buffer before it is made. What was read so far is
// returned with any error.
func readWithin(from io.Reader, length, most int64, hold *memory.Reservation) ([]byte, error) {
	if length > most {
		return nil, errTooLong
	}
	// One byte more than what is expected, since some readers tell the end only when asked
	// for more.
	next := length + 1
	if length < 0 {
		next = min(readFirst, most+1)
	}
	body := []byte{}
	for {
		if len(body) == cap(body) {
			if int64(len(body)) > most {
				return body, errTooLong
			}
			if !hold.Grow(next) {
				return body, errNoRoom
			}
			body = append(make([]byte, 0, int64(cap(body))+next), body...)
			next = min(int64(cap(body)), most+1-int64(cap(body)))
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}
