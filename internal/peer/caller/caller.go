// Package caller serves callers over HTTP: the chat-completions protocol for
// drafts, plain services under /services, and tickets.
//
// The published protocols keep their own names. Errors have the shape of the
// chat-completions protocol, and every refusal or failure carries the header
// Hazelslip-Outcome and, where it helps, Retry-After.
//
// # Usage
//
//	handler := caller.New(drafts, services, caller.Classes(table.Snapshot))
//	http.Serve(listener, handler.Handler())
package caller

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"hazelslip/internal/common/outcome"
	"hazelslip/internal/policy/admission"
	"hazelslip/internal/serve/draft"
	"hazelslip/internal/serve/journal"
	"hazelslip/internal/state/class"
	"hazelslip/internal/wire/record"
)

// The headers of the system's own.
const (
	HeaderClass     = "Hazelslip-Class"
	HeaderWorkspace = "Hazelslip-Workspace"
	HeaderRequest   = "Hazelslip-Request"
)

const (
	defaultMaxTokens = 128
	mostMaxTokens    = 8192
	defaultWorkspace = "default"
)

// Handler serves callers.
type Handler struct {
	// Classes returns the configuration in force.
	Classes func() *class.Snapshot
	// Drafts runs model requests.
	Drafts *draft.Server
	// Services runs calls to plain services.
	Services *Services
	// Journal keeps the stories of requests.
	Journal *journal.Journal
	// Ready returns nil when requests can be taken, else why not.
	Ready func() error
	// Begin counts a request as under way until the returned function is
	// called, and reports false when the node has stopped taking any.
	Begin func() (func(), bool)
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
}

// Handler returns the HTTP handler.
func (handler *Handler) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/chat/completions", handler.counted(handler.serveChat))
	router.GET("/v1/models", handler.serveModels)
	router.POST("/tickets", handler.counted(handler.Services.serveTicket))
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	} {
		router.Handle(method, "/services/:Service/*Path", handler.counted(handler.Services.serve))
	}
	router.GET("/readyz", handler.serveReady)
	router.NotFound = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		Refuse(writer, http.StatusNotFound, Problem{Message: fmt.Sprintf("there is nothing at %s", request.URL.Path), Outcome: outcome.NotRun})
	})
	return router
}

// counted refuses requests once the node has stopped taking any, and lets a
// graceful shutdown wait for those that were taken.
func (handler *Handler) counted(next httprouter.Handle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		end, ok := handler.Begin()
		if !ok {
			writer.Header().Set("Connection", "close")
			Refuse(writer, http.StatusServiceUnavailable, Problem{
				Message: "this node is shutting down", Outcome: outcome.NotRun, RetryAfter: time.Second,
			})
			return
		}
		defer end()
		next(writer, request, params)
	}
}

func (handler *Handler) serveReady(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := handler.Ready(); err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(writer, "ready")
}

func (handler *Handler) serveModels(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	seen := map[string]bool{}
	snapshot := handler.Classes()
	for _, name := range snapshot.Names() {
		target, _ := snapshot.Target(name)
		if !seen[target.Model] {
			seen[target.Model] = true
			list.Data = append(list.Data, modelEntry{ID: target.Model, Object: "model", OwnedBy: "hazelslip"})
		}
	}
	writeJSON(writer, list)
}

func (handler *Handler) serveChat(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	request.Body = http.MaxBytesReader(writer, request.Body, handler.MaxBodyBytes)
	chat, problem := decodeChat(request)
	if problem != nil {
		Refuse(writer, problem.Status, *problem)
		return
	}
	className, target, problem := handler.classOf(request, chat)
	if problem != nil {
		Refuse(writer, problem.Status, *problem)
		return
	}
	work := handler.draftRequest(request, chat, className, target)
	writer.Header().Set(HeaderRequest, work.ID)
	if chat.Stream {
		handler.streamed(writer, request, work)
		return
	}
	handler.whole(writer, request, work)
}

// classOf finds the class that a request names, or the only one of its model.
func (handler *Handler) classOf(request *http.Request, chat *chatRequest) (string, *record.ClassTarget, *Problem) {
	for _, name := range []string{HeaderClass, HeaderWorkspace} {
		if len(request.Header.Values(name)) > 1 {
			return "", nil, badRequest("the header %s stands more than once", name)
		}
	}
	snapshot := handler.Classes()
	name := request.Header.Get(HeaderClass)
	if name == "" {
		return onlyClassOf(snapshot, chat.Model)
	}
	target, ok := snapshot.Target(name)
	if !ok {
		return "", nil, badRequest("there is no class %q; the classes are: %s", name, strings.Join(snapshot.Names(), ", "))
	}
	if chat.Model != "" && chat.Model != target.Model {
		return "", nil, badRequest("the class %q is served by the model %q, not %q", name, target.Model, chat.Model)
	}
	return name, target, nil
}

func onlyClassOf(snapshot *class.Snapshot, model string) (string, *record.ClassTarget, *Problem) {
	found := []string{}
	for _, name := range snapshot.Names() {
		if target, _ := snapshot.Target(name); target.Model == model {
			found = append(found, name)
		}
	}
	switch len(found) {
	case 0:
		return "", nil, &Problem{Status: http.StatusNotFound, Message: fmt.Sprintf("no class uses a model %q", model), Outcome: outcome.NotRun}
	case 1:
		target, _ := snapshot.Target(found[0])
		return found[0], target, nil
	}
	return "", nil, badRequest("name a class in the header %s; the classes of model %q are: %s", HeaderClass, model, strings.Join(found, ", "))
}

func (handler *Handler) draftRequest(request *http.Request, chat *chatRequest, className string, target *record.ClassTarget) draft.Request {
	workspace := request.Header.Get(HeaderWorkspace)
	if workspace == "" {
		workspace = defaultWorkspace
	}
	id := newID("req-")
	firstToken := time.Duration(target.FirstTokenMs) * time.Millisecond
	return draft.Request{
		ID: id, Workspace: workspace, Prompt: chat.prompt(), MaxTokens: chat.tokens(), Priority: target.Priority,
		FirstTokenTarget: firstToken, TokenGapTarget: time.Duration(target.BetweenTokensMs) * time.Millisecond,
		// A request may wait for room for a part of its target; the rest is
		// left for the group to make its first token.
		Class: admission.Class{Name: className, Model: target.Model, Share: target.GuaranteedShare, MaxWait: firstToken / 2},
		Entry: handler.Journal.Start(id, className, workspace),
	}
}

func newID(prefix string) string {
	random := make([]byte, 10)
	// crypto/rand.Read never fails on the systems that Go supports.
	_, _ = rand.Read(random)
	return prefix + hex.EncodeToString(random)
}

// streamed passes tokens on as server-sent events. A draft that fails in the
// middle ends in an error event; a stream without the [DONE] event or an error
// event was cut off on its way.
func (handler *Handler) streamed(writer http.ResponseWriter, request *http.Request, work draft.Request) {
	events := &eventWriter{writer: writer, controller: http.NewResponseController(writer), id: work.ID, model: work.Class.Model, created: time.Now().Unix()}
	result := handler.Drafts.Run(request.Context(), work, events.token)
	if result.Failure == nil {
		events.end(result)
		return
	}
	problem := problemOf(result.Failure)
	if !events.begun {
		Refuse(writer, problem.Status, problem)
		return
	}
	events.fail(problem)
}

func (handler *Handler) whole(writer http.ResponseWriter, request *http.Request, work draft.Request) {
	var text strings.Builder
	result := handler.Drafts.Run(request.Context(), work, func(token string) error {
		text.WriteString(token)
		return nil
	})
	if result.Failure != nil {
		problem := problemOf(result.Failure)
		Refuse(writer, problem.Status, problem)
		return
	}
	writeJSON(writer, wholeAnswer(work, text.String(), result))
}

func problemOf(failure *draft.Failure) Problem {
	status := http.StatusBadGateway
	if failure.Outcome == outcome.NotRun {
		status = http.StatusServiceUnavailable
	}
	return Problem{Status: status, Message: failure.Cause, Outcome: failure.Outcome, RetryAfter: failure.RetryAfter}
}

// Problem is a refusal or failure as a caller sees it.
type Problem struct {
	Status     int
	Message    string
	Outcome    outcome.Outcome
	RetryAfter time.Duration
}

func badRequest(format string, arguments ...any) *Problem {
	return &Problem{Status: http.StatusBadRequest, Message: fmt.Sprintf(format, arguments...), Outcome: outcome.NotRun}
}

// Refuse writes a refusal or failure.
func Refuse(writer http.ResponseWriter, status int, problem Problem) {
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(outcome.Header, string(problem.Outcome))
	if problem.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(problem.RetryAfter.Seconds()))))
	}
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(errorBody(status, problem))
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// bodyProblem sorts an error of reading a request's body.
func bodyProblem(err error) *Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Problem{Status: http.StatusRequestEntityTooLarge, Message: fmt.Sprintf("the body is over %d bytes", tooLarge.Limit), Outcome: outcome.NotRun}
	}
	return badRequest("the body could not be read: %v", err)
}
