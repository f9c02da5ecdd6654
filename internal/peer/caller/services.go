package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"hazelslip/internal/common/outcome"
	"hazelslip/internal/peer/service"
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/state/booking"
)

// HeaderIdempotencyKey is the conventional header for a key under which a call is executed at most once.
const HeaderIdempotencyKey = "Idempotency-Key"

const (
	maxKeyBytes          = 256
	maxResponseBytes     = 8 << 20
	maxRetryableAttempts = 3
	serviceTimeout       = 30 * time.Second
)

// Services forwards calls to plain services.
type Services struct {
	// Known reports whether a service exists.
	Known func(name string) bool
	// Retryable reports whether calls of a service with an HTTP method may be executed more than once.
	Retryable func(name, method string) bool
	// Addresses returns the addresses of a service's live servers, in the order in which to try them.
	Addresses func(name string) []string
	// Call sends one call to the service at an address.
	Call func(ctx context.Context, address string, call service.Call) (*http.Response, error)
	// Bookings executes calls with an idempotency key at most once.
	Bookings *booking.Executor
	// ForwardToIssuer sends a call with a ticket to the node that issued the ticket.
	ForwardToIssuer func(ctx context.Context, name string, call service.Call, body []byte, key string, digest []byte) booking.Result
	// Incarnation is the incarnation number of this node.
	Incarnation  uint64
	MaxBodyBytes int64
	// Budget bounds the number of retries.
	Budget *retry.Budget
}

func (services *Services) serveTicket(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	key, err := services.Bookings.IssueTicket()
	if err != nil {
		WriteProblem(writer, http.StatusServiceUnavailable, Problem{Message: err.Error(), Outcome: outcome.NotRun, RetryAfter: time.Second})
		return
	}
	writeJSON(writer, Ticket{Key: key, ValidSeconds: int(booking.TicketWindow.Seconds())})
}

// Ticket is an idempotency key whose calls only the issuing node executes.
type Ticket struct {
	Key          string
	ValidSeconds int
}

func (services *Services) serve(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	name := params.ByName("Service")
	if !services.Known(name) {
		WriteProblem(writer, http.StatusNotFound, Problem{Message: fmt.Sprintf("there is no service %q", name), Outcome: outcome.NotRun})
		return
	}
	keys := request.Header.Values(HeaderIdempotencyKey)
	if len(keys) > 1 || (len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxKeyBytes)) {
		problem := badRequest("the header %s must stand once, with 1 to %d characters", HeaderIdempotencyKey, maxKeyBytes)
		WriteProblem(writer, problem.Status, *problem)
		return
	}
	request.Body = http.MaxBytesReader(writer, request.Body, services.MaxBodyBytes)
	call := service.Call{
		Method: request.Method, Path: params.ByName("Path"), Query: request.URL.RawQuery,
		Header: request.Header, Length: request.ContentLength,
	}
	if request.ContentLength != 0 {
		call.Body = request.Body
	}
	switch {
	case services.Retryable(name, request.Method):
		services.serveRetryable(writer, request, name, call)
	case len(keys) == 0:
		services.serveOnce(writer, request, name, call)
	default:
		services.serveKeyed(writer, request, name, call, keys[0])
	}
}

// serveOnce sends a call without an idempotency key. The call is retried on another server only if no byte of it was
// sent, so it is executed at most once.
func (services *Services) serveOnce(writer http.ResponseWriter, request *http.Request, name string, call service.Call) {
	response, err := services.callFirstReachable(request.Context(), name, call)
	if err != nil {
		writeCallError(writer, err)
		return
	}
	relayResponse(writer, response)
}

// callFirstReachable sends a call to the first server that accepts a connection. An attempt that fails to connect does
// not read the body, so the next attempt can send the complete body.
func (services *Services) callFirstReachable(ctx context.Context, name string, call service.Call) (*http.Response, error) {
	err := errors.Mark(errors.Newf("no server of %s is known", name), service.ErrNotSent)
	body := &readTracker{reader: call.Body}
	if call.Body != nil {
		call.Body = body
	}
	for _, address := range services.Addresses(name) {
		var response *http.Response
		if response, err = services.Call(ctx, address, call); err == nil {
			return response, nil
		}
		if !errors.Is(err, service.ErrNotSent) || body.started.Load() {
			return nil, err
		}
	}
	return nil, err
}

// readTracker records whether a body was read. It has no Close method, so an attempt that did not read the body can't
// close it.
type readTracker struct {
	reader  io.Reader
	started atomic.Bool
}

func (tracker *readTracker) Read(buffer []byte) (int, error) {
	tracker.started.Store(true)
	return tracker.reader.Read(buffer)
}

// serveRetryable retries a failed call on other servers, within the limits of maxRetryableAttempts and the retry budget.
func (services *Services) serveRetryable(writer http.ResponseWriter, request *http.Request, name string, call service.Call) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		problem := bodyReadProblem(err)
		WriteProblem(writer, problem.Status, *problem)
		return
	}
	call.Length = int64(len(body))
	err = errors.Mark(errors.Newf("no server of %s is known", name), service.ErrNotSent)
	for attempt, address := range services.Addresses(name) {
		if attempt >= maxRetryableAttempts || (attempt > 0 && !services.Budget.TryWithdraw()) {
			break
		}
		var response *http.Response
		call.Body = bytes.NewReader(body)
		if response, err = services.Call(request.Context(), address, call); err == nil {
			services.Budget.RecordSuccess()
			relayResponse(writer, response)
			return
		}
	}
	writeCallError(writer, err)
}

// serveKeyed executes a call at most once for its idempotency key.
func (services *Services) serveKeyed(writer http.ResponseWriter, request *http.Request, name string, call service.Call, key string) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		problem := bodyReadProblem(err)
		WriteProblem(writer, problem.Status, *problem)
		return
	}
	digest := Digest(name, call, body)
	issuer, ticketed := booking.TicketIssuer(key)
	var result booking.Result
	switch {
	case ticketed && (issuer == services.Incarnation || services.Bookings.Adopted(issuer)):
		result = services.RunTicket(request.Context(), name, call, body, key, digest)
	case ticketed:
		result = services.ForwardToIssuer(request.Context(), name, call, body, key, digest)
	default:
		result = services.Bookings.Run(request.Context(), booking.Call{
			// Callers may use the same key for two services.
			Key: name + "/" + key, Digest: digest, Send: services.sender(name, call, body),
		})
	}
	writeResult(writer, result)
}

// RunTicket executes a call with a ticket that this node issued or whose issuer's tickets it has adopted.
func (services *Services) RunTicket(ctx context.Context, name string, call service.Call, body []byte, key string, digest []byte) booking.Result {
	return services.Bookings.RunTicket(ctx, booking.Call{Key: key, Digest: digest, Send: services.sender(name, call, body)})
}

// Digest returns a hash of a call. It detects different calls that use the same idempotency key.
func Digest(name string, call service.Call, body []byte) []byte {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s\n%s\n%s\n%s\n", name, call.Method, call.Path, call.Query)
	hash.Write(body)
	return hash.Sum(nil)[:16]
}

// sender returns a function that sends the call. It tries the next server only if no byte of the call was sent.
func (services *Services) sender(name string, call service.Call, body []byte) func(ctx context.Context) booking.Result {
	return func(ctx context.Context) booking.Result {
		ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
		defer cancel()
		err := errors.Mark(errors.Newf("no server of %s is known", name), service.ErrNotSent)
		call.Length = int64(len(body))
		for _, address := range services.Addresses(name) {
			var response *http.Response
			call.Body = bytes.NewReader(body)
			if response, err = services.Call(ctx, address, call); err == nil {
				return readResult(response)
			}
			if !errors.Is(err, service.ErrNotSent) {
				return booking.Result{Outcome: outcome.Unknown, Cause: "the call was sent and its answer was lost"}
			}
		}
		return booking.Result{Outcome: outcome.NotRun, Cause: err.Error(), RetryAfter: time.Second}
	}
}

// readResult reads the complete response of a service. If the response is incomplete or exceeds maxResponseBytes, the
// call was executed but its result is unknown.
func readResult(response *http.Response) booking.Result {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil || len(body) > maxResponseBytes {
		return booking.Result{Outcome: outcome.Unknown, Cause: "the service's answer broke off or was too large"}
	}
	return booking.Result{
		Outcome: outcome.Run, Status: response.StatusCode,
		ContentType: response.Header.Get("Content-Type"), Body: body,
	}
}

// HeaderReplayed marks a stored response of an earlier request with the same key.
const HeaderReplayed = "Hazelslip-Replayed"

func writeResult(writer http.ResponseWriter, result booking.Result) {
	if result.Outcome == outcome.Run {
		writer.Header().Set(outcome.Header, string(result.Outcome))
		if result.Replayed {
			writer.Header().Set(HeaderReplayed, "true")
		}
		writer.Header().Set("Content-Type", result.ContentType)
		writer.WriteHeader(result.Status)
		_, _ = writer.Write(result.Body)
		return
	}
	status := http.StatusBadGateway
	switch {
	case result.Conflict:
		status = http.StatusUnprocessableEntity
	case result.Outcome == outcome.NotRun:
		status = http.StatusServiceUnavailable
	}
	WriteProblem(writer, status, Problem{Message: result.Cause, Outcome: result.Outcome, RetryAfter: result.RetryAfter})
}

func writeCallError(writer http.ResponseWriter, err error) {
	if errors.Is(err, service.ErrNotSent) {
		WriteProblem(writer, http.StatusServiceUnavailable, Problem{Message: err.Error(), Outcome: outcome.NotRun, RetryAfter: time.Second})
		return
	}
	WriteProblem(writer, http.StatusBadGateway, Problem{Message: err.Error(), Outcome: outcome.Unknown})
}

// relayResponse streams a service's response to the caller. If the response ends early, the caller's connection is
// aborted, so that the caller doesn't mistake the response for complete.
func relayResponse(writer http.ResponseWriter, response *http.Response) {
	defer response.Body.Close()
	for name, values := range response.Header {
		writer.Header()[name] = values
	}
	writer.Header().Set(outcome.Header, string(outcome.Run))
	writer.WriteHeader(response.StatusCode)
	if _, err := io.Copy(writer, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
