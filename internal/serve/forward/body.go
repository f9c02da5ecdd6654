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
	// errMemoryExhausted means that the data does not fit into the node's memory budget.
	errMemoryExhausted = errors.New("memory budget for buffered bodies and responses is exhausted")
	// errTooLarge means that the data exceeds its size limit.
	errTooLarge = errors.New("data exceeds the size limit")
)

const (
	// initialReadBytes is how much memory is reserved at first for data of unknown length.
	initialReadBytes = 4 << 10
	// refusedBodyLinger is how long a connection is still read after its request body was refused. Closing a
	// connection with unread bytes resets it, which may destroy the refusal before the caller has read it.
	refusedBodyLinger = 500 * time.Millisecond
)

// readBody reads the caller's body completely, within the node's memory budget.
func (exchange *exchange) readBody() bool {
	limit := exchange.snapshot.Configuration.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if exchange.inbound.ContentLength > limit {
		exchange.deny(http.StatusRequestEntityTooLarge, Malformed, "request body exceeds the size limit")
		return false
	}
	exchange.reservation = exchange.forwarder.Memory.NewReservation(exchange.workspace, exchange.soleWorkspace())
	body, err := exchange.receiveBody(limit)
	switch {
	case errors.Is(err, errMemoryExhausted):
		exchange.refuseBody()
		return false
	case errors.Is(err, errTooLarge):
		exchange.deny(http.StatusRequestEntityTooLarge, Malformed, "request body exceeds the size limit")
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		exchange.closeAfterResponse()
		exchange.refuse(TimeUp, defaultRetryDelay, "read the request body: time limit exceeded")
		return false
	case err != nil:
		exchange.outcome = CallerLeft
		exchange.cause = "read the request body: " + err.Error()
		exchange.log(http.StatusBadRequest)
		panic(http.ErrAbortHandler)
	}
	exchange.request.Body, exchange.bodyReserved = body, exchange.reservation.Bytes()
	exchange.fingerprint = quarantine.NewFingerprint(quarantine.Request{
		Workspace: exchange.workspace, Method: exchange.request.Method, Host: exchange.request.Host,
		Target: exchange.request.Target, Body: body,
	})
	for _, part := range exchange.request.PromptParts {
		exchange.parts = append(exchange.parts, quarantine.NewPartFingerprint(part))
	}
	return true
}

// receiveBody reads the body. If memory is bounded, the body must arrive within the caller's time limit: a body
// that never arrives would keep its reservation.
func (exchange *exchange) receiveBody(limit int64) ([]byte, error) {
	if exchange.inbound.ContentLength == 0 {
		return nil, nil
	}
	if !exchange.forwarder.Memory.Limited() {
		return readLimited(exchange.inbound.Body, exchange.inbound.ContentLength, limit, &exchange.reservation)
	}
	// Writers in tests may not support deadlines; the body is then read without one.
	controller := http.NewResponseController(exchange.writer)
	_ = controller.SetReadDeadline(time.Now().Add(exchange.timeLeft()))
	body, err := readLimited(exchange.inbound.Body, exchange.inbound.ContentLength, limit, &exchange.reservation)
	_ = controller.SetReadDeadline(time.Time{})
	return body, err
}

// soleWorkspace reports whether no other workspace can send requests to this node.
func (exchange *exchange) soleWorkspace() bool {
	inForce := exchange.snapshot.Configuration
	switch len(inForce.Workspaces) {
	case 0:
		return true
	case 1:
		return !slices.ContainsFunc(inForce.Routes, func(route configuration.Route) bool { return route.Anonymous })
	}
	return false
}

// refuseBody refuses a request whose body does not fit, without reading more of the body.
func (exchange *exchange) refuseBody() {
	forwarder := exchange.forwarder
	exchange.reservation.RecordRefusal()
	exchange.reservation.Release()
	if refusals, due := forwarder.Memory.RefusalsToLog(forwarder.Now()); due {
		forwarder.Logger.LogAttrs(exchange.inbound.Context(), slog.LevelWarn, "forward: request bodies were refused for lack of memory.",
			slog.Uint64("Refused", refusals.Refused), slog.Int64("HeldBytes", refusals.Reserved), slog.Int64("BudgetBytes", refusals.BudgetBytes),
			slog.String("Workspace", exchange.workspace), slog.String("RequestID", exchange.request.ID))
	}
	exchange.closeAfterResponse()
	exchange.refuse(OutOfMemory, min(memoryRetryDelay, exchange.timeLeft()/retryDelayDivisor), errMemoryExhausted.Error())
}

// closeAfterResponse closes the connection after the response, so that the unread rest of the body is not parsed
// as the next request.
func (exchange *exchange) closeAfterResponse() {
	exchange.writer.Header().Set("Connection", "close")
	_ = http.NewResponseController(exchange.writer).SetReadDeadline(time.Now().Add(refusedBodyLinger))
}

// readLimited reads to the end and reserves memory before it allocates. The data read so far is returned with any
// error.
func readLimited(source io.Reader, length, limit int64, reservation *memory.Reservation) ([]byte, error) {
	if length > limit {
		return nil, errTooLarge
	}
	// One byte more than expected, because some readers report the end only on a further read.
	next := length + 1
	if length < 0 {
		next = min(initialReadBytes, limit+1)
	}
	body := []byte{}
	for {
		if len(body) == cap(body) {
			if int64(len(body)) > limit {
				return body, errTooLarge
			}
			if !reservation.Grow(next) {
				return body, errMemoryExhausted
			}
			body = append(make([]byte, 0, int64(cap(body))+next), body...)
			next = min(int64(cap(body)), limit+1-int64(cap(body)))
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}
