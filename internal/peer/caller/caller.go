// Package caller is the HTTP API for callers: chat completions under
// /v1/chat/completions, plain services under /services, and idempotency tickets
// under /tickets.
//
// Fields of published protocols keep their published names. Errors have the format
// of the chat-completions protocol. Each refusal or failure carries the header
// Hazelslip-Outcome, and Retry-After if a retry may succeed.
//
// # Usage
//
//	handler := &caller.Handler{Classes: table.Snapshot, Drafts: drafts, Services: services, ...}
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

// Headers that are specific to this system.
const (
	HeaderClass     = "Hazelslip-Class"
	HeaderWorkspace = "Hazelslip-Workspace"
	HeaderRequest   = "Hazelslip-Request"
)

const (
	defaultMaxTokens = 128
	maxTokensLimit   = 8192
	defaultWorkspace = "default"
	// maxNameBytes bounds the names of classes and workspaces in requests. The journal keeps them for many requests.
	maxNameBytes = 256
)

// Handler holds the dependencies of the caller API.
type Handler struct {
	// Classes returns the configuration in force.
	Classes func() *class.Snapshot
	// Drafts runs model requests.
	Drafts *draft.Server
	// Services handles calls to plain services.
	Services *Services
	// Journal records the processing steps of requests.
	Journal *journal.Journal
	// Ready returns nil if the node can accept requests, otherwise the reason why it can't.
	Ready func() error
	// TrackRequest counts a request as in flight until the returned function is called. It returns false if the
	// node no longer accepts requests.
	TrackRequest func() (func(), bool)
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
}

// Handler returns the HTTP handler.
func (handler *Handler) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/chat/completions", handler.tracked(handler.serveChat))
	router.GET("/v1/models", handler.serveModels)
	router.POST("/tickets", handler.tracked(handler.Services.serveTicket))
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	} {
		router.Handle(method, "/services/:Service/*Path", handler.tracked(handler.Services.serve))
	}
	router.GET("/readyz", handler.serveReady)
	router.NotFound = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		WriteProblem(writer, http.StatusNotFound, Problem{Message: fmt.Sprintf("there is nothing at %s", request.URL.Path), Outcome: outcome.NotRun})
	})
	return router
}

// tracked refuses requests once the node no longer accepts any, and lets a graceful shutdown wait for the requests in
// flight.
func (handler *Handler) tracked(next httprouter.Handle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		end, ok := handler.TrackRequest()
		if !ok {
			writer.Header().Set("Connection", "close")
			WriteProblem(writer, http.StatusServiceUnavailable, Problem{
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
		WriteProblem(writer, problem.Status, *problem)
		return
	}
	className, target, problem := handler.selectClass(request, chat)
	if problem != nil {
		WriteProblem(writer, problem.Status, *problem)
		return
	}
	job := handler.draftRequest(request, chat, className, target)
	writer.Header().Set(HeaderRequest, job.ID)
	if chat.Stream {
		handler.serveStreaming(writer, request, job)
		return
	}
	handler.serveBuffered(writer, request, job)
}

// selectClass returns the class that a request names. If it names none, selectClass returns the class of the model,
// provided that the model has only one.
func (handler *Handler) selectClass(request *http.Request, chat *chatRequest) (string, *record.ClassTarget, *Problem) {
	for _, name := range []string{HeaderClass, HeaderWorkspace} {
		if len(request.Header.Values(name)) > 1 {
			return "", nil, badRequest("the header %s stands more than once", name)
		}
		if len(request.Header.Get(name)) > maxNameBytes {
			return "", nil, badRequest("the header %s has more than %d characters", name, maxNameBytes)
		}
	}
	snapshot := handler.Classes()
	name := request.Header.Get(HeaderClass)
	if name == "" {
		return soleClassOf(snapshot, chat.Model)
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

func soleClassOf(snapshot *class.Snapshot, model string) (string, *record.ClassTarget, *Problem) {
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
		ID: id, Workspace: workspace, Prompt: chat.prompt(), MaxTokens: chat.maxTokens(), Priority: target.Priority,
		FirstTokenTarget: firstToken, TokenGapTarget: time.Duration(target.BetweenTokensMs) * time.Millisecond,
		// A request may wait for capacity for half of its first-token target. The other half is left for the
		// group to produce the first token.
		Class: admission.Class{Name: className, Model: target.Model, Share: target.GuaranteedShare, MaxWait: firstToken / 2},
		Entry: handler.Journal.Start(id, className, workspace),
	}
}

func newID(prefix string) string {
	random := make([]byte, 10)
	// crypto/rand.Read never fails on the platforms that Go supports.
	_, _ = rand.Read(random)
	return prefix + hex.EncodeToString(random)
}

// serveStreaming sends the tokens of a draft as server-sent events. A draft that fails after the first token ends with
// an error event. A caller that receives neither [DONE] nor an error event has lost a part of the stream.
func (handler *Handler) serveStreaming(writer http.ResponseWriter, request *http.Request, job draft.Request) {
	events := &eventWriter{writer: writer, controller: http.NewResponseController(writer), id: job.ID, model: job.Class.Model, created: time.Now().Unix()}
	result := handler.Drafts.Run(request.Context(), job, events.writeToken)
	if result.Failure == nil {
		events.finish(result)
		return
	}
	problem := draftProblem(result.Failure)
	if !events.started {
		WriteProblem(writer, problem.Status, problem)
		return
	}
	events.writeError(problem)
}

func (handler *Handler) serveBuffered(writer http.ResponseWriter, request *http.Request, job draft.Request) {
	var text strings.Builder
	result := handler.Drafts.Run(request.Context(), job, func(token string) error {
		text.WriteString(token)
		return nil
	})
	if result.Failure != nil {
		problem := draftProblem(result.Failure)
		WriteProblem(writer, problem.Status, problem)
		return
	}
	writeJSON(writer, completeResponse(job, text.String(), result))
}

func draftProblem(failure *draft.Failure) Problem {
	status := http.StatusBadGateway
	if failure.Outcome == outcome.NotRun {
		status = http.StatusServiceUnavailable
	}
	return Problem{Status: status, Message: failure.Cause, Outcome: failure.Outcome, RetryAfter: failure.RetryAfter}
}

// Problem is a refusal or failure as reported to a caller.
type Problem struct {
	Status     int
	Message    string
	Outcome    outcome.Outcome
	RetryAfter time.Duration
}

func badRequest(format string, arguments ...any) *Problem {
	return &Problem{Status: http.StatusBadRequest, Message: fmt.Sprintf(format, arguments...), Outcome: outcome.NotRun}
}

// WriteProblem writes a refusal or failure as the response.
func WriteProblem(writer http.ResponseWriter, status int, problem Problem) {
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

// bodyReadProblem returns the problem for an error from reading a request body.
func bodyReadProblem(err error) *Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Problem{Status: http.StatusRequestEntityTooLarge, Message: fmt.Sprintf("the body is over %d bytes", tooLarge.Limit), Outcome: outcome.NotRun}
	}
	return badRequest("the body could not be read: %v", err)
}
