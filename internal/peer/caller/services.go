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

// HeaderKey is the usual header for a key under which a call runs once.
const HeaderKey = "Idempotency-Key"

const (
	maxKeyBytes     = 256
	maxAnswerBytes  = 8 << 20
	repeatableTries = 3
	serviceTimeout  = 30 * time.Second
)

// Services passes calls on to plain services.
type Services struct {
	// Names tells of a service whether it is known.
	Known func(name string) bool
	// Repeatable tells whether calls of a method to a service may be repeated.
	Repeatable func(name, method string) bool
	// Addresses returns the live servers of a service, in the order to try.
	Addresses func(name string) []string
	// Call makes one call.
	Call func(ctx context.Context, address string, call service.Call) (*http.Response, error)
	// Bookings runs calls that may not be repeated.
	Bookings *booking.Executor
	// Forward passes a call with a ticket to the node that issued it.
	Forward func(ctx context.Context, name string, call service.Call, body []byte, key string, digest []byte) booking.Result
	// Incarnation is this node's.
	Incarnation  uint64
	MaxBodyBytes int64
	// Budget bounds the calls that are tried again.
	Budget *retry.Budget
}

func (services *Services) serveTicket(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	key, err := services.Bookings.IssueTicket()
	if err != nil {
		Refuse(writer, http.StatusServiceUnavailable, Problem{Message: err.Error(), Outcome: outcome.NotRun, RetryAfter: time.Second})
		return
	}
	writeJSON(writer, Ticket{Key: key, ValidSeconds: int(booking.TicketWindow.Seconds())})
}

// Ticket is a key that only the node that issued it may run.
type Ticket struct {
	Key          string
	ValidSeconds int
}

func (services *Services) serve(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	name := params.ByName("Service")
	if !services.Known(name) {
		Refuse(writer, http.StatusNotFound, Problem{Message: fmt.Sprintf("there is no service %q", name), Outcome: outcome.NotRun})
		return
	}
	keys := request.Header.Values(HeaderKey)
	if len(keys) > 1 || (len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxKeyBytes)) {
		problem := badRequest("the header %s must stand once, with 1 to %d characters", HeaderKey, maxKeyBytes)
		Refuse(writer, problem.Status, *problem)
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
	case services.Repeatable(name, request.Method):
		services.repeatable(writer, request, name, call)
	case len(keys) == 0:
		services.once(writer, request, name, call)
	default:
		services.keyed(writer, request, name, call, keys[0])
	}
}

// once sends a call without a key. It goes to another server only while no
// byte of it has left, so it runs at most once.
func (services *Services) once(writer http.ResponseWriter, request *http.Request, name string, call service.Call) {
	response, err := services.firstConnected(request.Context(), name, call)
	if err != nil {
		refuseCall(writer, err)
		return
	}
	passOn(writer, response)
}

// firstConnected tries servers until one is connected to. The dialler of each
// try reads nothing of the body, so the next try sends it whole.
func (services *Services) firstConnected(ctx context.Context, name string, call service.Call) (*http.Response, error) {
	err := errors.Mark(errors.Newf("no server of %s is known", name), service.ErrNotSent)
	body := &untouched{reader: call.Body}
	if call.Body != nil {
		call.Body = body
	}
	for _, address := range services.Addresses(name) {
		var response *http.Response
		if response, err = services.Call(ctx, address, call); err == nil {
			return response, nil
		}
		if !errors.Is(err, service.ErrNotSent) || body.touched.Load() {
			return nil, err
		}
	}
	return nil, err
}

// untouched remembers whether a body was read from. It is not closed by a try
// that never read it.
type untouched struct {
	reader  io.Reader
	touched atomic.Bool
}

func (untouched *untouched) Read(buffer []byte) (int, error) {
	untouched.touched.Store(true)
	return untouched.reader.Read(buffer)
}

// repeatable tries other servers after a failure, as far as the budget goes.
func (services *Services) repeatable(writer http.ResponseWriter, request *http.Request, name string, call service.Call) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		problem := bodyProblem(err)
		Refuse(writer, problem.Status, *problem)
		return
	}
	call.Length = int64(len(body))
	err = errors.Mark(errors.Newf("no server of %s is known", name), service.ErrNotSent)
	for try, address := range services.Addresses(name) {
		if try >= repeatableTries || (try > 0 && !services.Budget.TryWithdraw()) {
			break
		}
		var response *http.Response
		call.Body = bytes.NewReader(body)
		if response, err = services.Call(request.Context(), address, call); err == nil {
			services.Budget.RecordSuccess()
			passOn(writer, response)
			return
		}
	}
	refuseCall(writer, err)
}

// keyed runs a call at most once under its key.
func (services *Services) keyed(writer http.ResponseWriter, request *http.Request, name string, call service.Call, key string) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		problem := bodyProblem(err)
		Refuse(writer, problem.Status, *problem)
		return
	}
	digest := Digest(name, call, body)
	issuer, ticketed := booking.TicketIssuer(key)
	var answer booking.Result
	switch {
	case ticketed && (issuer == services.Incarnation || services.Bookings.Adopted(issuer)):
		answer = services.RunTicket(request.Context(), name, call, body, key, digest)
	case ticketed:
		answer = services.Forward(request.Context(), name, call, body, key, digest)
	default:
		answer = services.Bookings.Run(request.Context(), booking.Call{
			// Two services may be given the same key by their callers.
			Key: name + "/" + key, Digest: digest, Send: services.sender(name, call, body),
		})
	}
	writeAnswer(writer, answer)
}

// RunTicket runs a call under a ticket that this node answers for.
func (services *Services) RunTicket(ctx context.Context, name string, call service.Call, body []byte, key string, digest []byte) booking.Result {
	return services.Bookings.RunTicket(ctx, booking.Call{Key: key, Digest: digest, Send: services.sender(name, call, body)})
}

// Digest tells two calls under the same key apart.
func Digest(name string, call service.Call, body []byte) []byte {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s\n%s\n%s\n%s\n", name, call.Method, call.Path, call.Query)
	hash.Write(body)
	return hash.Sum(nil)[:16]
}

// sender returns the function that makes the call once.
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
				return readAnswer(response)
			}
			if !errors.Is(err, service.ErrNotSent) {
				return booking.Result{Outcome: outcome.Unknown, Cause: "the call was sent and its answer was lost"}
			}
		}
		return booking.Result{Outcome: outcome.NotRun, Cause: err.Error(), RetryAfter: time.Second}
	}
}

// readAnswer reads a service's answer whole. One that breaks off has run all
// the same, and what it said is not known.
func readAnswer(response *http.Response) booking.Result {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return booking.Result{Outcome: outcome.Unknown, Cause: "the service's answer broke off or was too large"}
	}
	return booking.Result{
		Outcome: outcome.Run, Status: response.StatusCode,
		ContentType: response.Header.Get("Content-Type"), Body: body,
	}
}

// HeaderReplayed marks an answer that was kept from the run of an earlier
// request under the same key.
const HeaderReplayed = "Hazelslip-Replayed"

func writeAnswer(writer http.ResponseWriter, answer booking.Result) {
	if answer.Outcome == outcome.Run {
		writer.Header().Set(outcome.Header, string(answer.Outcome))
		if answer.Replayed {
			writer.Header().Set(HeaderReplayed, "true")
		}
		writer.Header().Set("Content-Type", answer.ContentType)
		writer.WriteHeader(answer.Status)
		_, _ = writer.Write(answer.Body)
		return
	}
	status := http.StatusBadGateway
	switch {
	case answer.Conflict:
		status = http.StatusUnprocessableEntity
	case answer.Outcome == outcome.NotRun:
		status = http.StatusServiceUnavailable
	}
	Refuse(writer, status, Problem{Message: answer.Cause, Outcome: answer.Outcome, RetryAfter: answer.RetryAfter})
}

func refuseCall(writer http.ResponseWriter, err error) {
	if errors.Is(err, service.ErrNotSent) {
		Refuse(writer, http.StatusServiceUnavailable, Problem{Message: err.Error(), Outcome: outcome.NotRun, RetryAfter: time.Second})
		return
	}
	Refuse(writer, http.StatusBadGateway, Problem{Message: err.Error(), Outcome: outcome.Unknown})
}

// passOn streams a service's answer to the caller. An answer that breaks off
// breaks the caller's connection too, so that it is not taken for whole.
func passOn(writer http.ResponseWriter, response *http.Response) {
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
