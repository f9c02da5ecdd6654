// Package operator is the HTTP API for operators: class targets, replica groups,
// explanations of requests and groups, the state dump, health and metrics. The command
// line uses Client to call it.
//
// Bodies are JSON with Pascal case names. A rejected change gets status 409 if it
// conflicts with a change in force or is based on an outdated revision, otherwise
// status 400. The body states the reason or the change in force.
//
// # Usage
//
//	handler := &operator.Handler{Ready: ready, State: state, Classes: table, ...}
//	http.Serve(listener, handler.Handler())
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"hazelslip/internal/serve/journal"
	"hazelslip/internal/state/class"
	"hazelslip/internal/wire/record"
)

const (
	maxChangeBytes = 64 << 10
	submitTimeout  = 9 * time.Second
)

// Handler holds the dependencies of the operator API.
type Handler struct {
	Ready   func() error
	State   func() any
	Groups  func() []GroupInfo
	Classes *class.Table
	Submit  func(ctx context.Context, change *record.ConfigChange) (class.Verdict, error)
	Explain func(subject string) (Explanation, bool)
	Booking func(service, key string) (BookingInfo, bool)
	Metrics func() map[string]any
}

// ClassInfo is the configuration of one class in force.
type ClassInfo struct {
	Name            string
	Model           string
	FirstTokenMs    uint32
	BetweenTokensMs uint32
	InTargetShare   float64
	Priority        int32
	GuaranteedShare float64
	Revision        uint64
	ChangeID        string
	Operator        string
	Deleted         bool `json:",omitempty"`
}

// Change is an operator's change of one class.
type Change struct {
	ChangeID        string
	BaseRevision    uint64
	Operator        string
	Model           string
	FirstTokenMs    uint32
	BetweenTokensMs uint32
	InTargetShare   float64
	Priority        int32
	GuaranteedShare float64
}

// Verdict is the result of a change. Beaten is the entry in force that a rejected change conflicts with.
type Verdict struct {
	Accepted bool
	Revision uint64     `json:",omitempty"`
	Reason   string     `json:",omitempty"`
	Beaten   *ClassInfo `json:",omitempty"`
}

// HistoryEntry is one accepted or rejected change of a class.
type HistoryEntry struct {
	Offset      uint64
	ChangeID    string
	Operator    string
	SubmittedAt time.Time
	Deleted     bool
	Accepted    bool
	Revision    uint64
	Reason      string
}

// GroupInfo is the status of one replica group.
type GroupInfo struct {
	Number       uint64
	FabricDomain string
	Model        string
	Members      []string
	Serving      bool
	Draining     bool
	Running      uint32
	Cause        string
	WaitsFor     string
}

// Explanation lists the events and decisions that explain what happened to a request or group.
type Explanation struct {
	Subject string
	Lines   []string
}

// BookingInfo is the record of the call for one idempotency key.
type BookingInfo struct {
	Key         string
	Holder      uint64
	Attempt     uint64
	ClaimedAt   time.Time
	Outcome     string
	Status      uint32
	ContentType string
	Body        string
}

// Handler returns the HTTP handler.
func (handler *Handler) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/healthz", handler.serveHealth)
	router.GET("/readyz", handler.serveReady)
	router.GET("/debug/vars", handler.serveMetrics)
	router.GET("/State", handler.serveState)
	router.GET("/Groups", handler.serveGroups)
	router.GET("/Explain/:Subject", handler.serveExplain)
	router.GET("/Bookings/:Service/:Key", handler.serveBooking)
	router.GET("/Classes", handler.serveClasses)
	router.GET("/Classes/:Name", handler.serveClass)
	router.GET("/Classes/:Name/History", handler.serveHistory)
	router.PUT("/Classes/:Name", handler.serveSet)
	router.DELETE("/Classes/:Name", handler.serveDelete)
	return router
}

func (handler *Handler) serveHealth(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	_, _ = fmt.Fprintln(writer, "healthy")
}

func (handler *Handler) serveReady(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := handler.Ready(); err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(writer, "ready")
}

func (handler *Handler) serveState(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(writer, http.StatusOK, handler.State())
}

// serveMetrics writes the metrics in the format of expvar. Several nodes can run in one process, so each node has its own
// variables instead of the global ones.
func (handler *Handler) serveMetrics(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	memory := runtime.MemStats{}
	runtime.ReadMemStats(&memory)
	variables := handler.Metrics()
	variables["memstats"] = memory
	writeJSON(writer, http.StatusOK, variables)
}

func (handler *Handler) serveGroups(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(writer, http.StatusOK, handler.Groups())
}

func (handler *Handler) serveExplain(writer http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	explanation, ok := handler.Explain(params.ByName("Subject"))
	if !ok {
		writeProblem(writer, http.StatusNotFound, "this node knows no request or group %q; requests are remembered by the node that took them", params.ByName("Subject"))
		return
	}
	writeJSON(writer, http.StatusOK, explanation)
}

func (handler *Handler) serveBooking(writer http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	info, ok := handler.Booking(params.ByName("Service"), params.ByName("Key"))
	if !ok {
		writeProblem(writer, http.StatusNotFound, "nothing is known about the key %q", params.ByName("Key"))
		return
	}
	writeJSON(writer, http.StatusOK, info)
}

func (handler *Handler) serveClasses(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	snapshot := handler.Classes.Snapshot()
	infos := []ClassInfo{}
	for _, name := range snapshot.Names() {
		infos = append(infos, classInfo(snapshot.Entries[name]))
	}
	writeJSON(writer, http.StatusOK, infos)
}

func classInfo(entry *record.ConfigEntry) ClassInfo {
	target := entry.GetTarget()
	return ClassInfo{
		Name: target.GetName(), Model: target.GetModel(), FirstTokenMs: target.GetFirstTokenMs(),
		BetweenTokensMs: target.GetBetweenTokensMs(), InTargetShare: target.GetInTargetShare(),
		Priority: target.GetPriority(), GuaranteedShare: target.GetGuaranteedShare(),
		Revision: entry.GetRevision(), ChangeID: entry.GetChangeID(), Operator: entry.GetOperator(),
		Deleted: entry.GetDeleted(),
	}
}

func (handler *Handler) serveClass(writer http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	entry, ok := handler.Classes.Snapshot().Entries[params.ByName("Name")]
	if !ok {
		writeProblem(writer, http.StatusNotFound, "there is no class %q", params.ByName("Name"))
		return
	}
	writeJSON(writer, http.StatusOK, classInfo(entry))
}

func (handler *Handler) serveHistory(writer http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	entries := []HistoryEntry{}
	for _, event := range handler.Classes.History(params.ByName("Name")) {
		entries = append(entries, HistoryEntry{
			Offset: event.Offset, ChangeID: event.Change.ChangeID, Operator: event.Change.Operator,
			SubmittedAt: time.UnixMilli(event.Change.SubmittedUnixMs).UTC(), Deleted: event.Change.Delete,
			Accepted: event.Verdict.Accepted, Revision: event.Verdict.Revision, Reason: event.Verdict.Reason,
		})
	}
	writeJSON(writer, http.StatusOK, entries)
}

func (handler *Handler) serveSet(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	handler.serveChange(writer, request, params.ByName("Name"), false)
}

func (handler *Handler) serveDelete(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	handler.serveChange(writer, request, params.ByName("Name"), true)
}

func (handler *Handler) serveChange(writer http.ResponseWriter, request *http.Request, name string, isDelete bool) {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxChangeBytes))
	decoder.DisallowUnknownFields()
	var change Change
	if err := decoder.Decode(&change); err != nil {
		writeProblem(writer, http.StatusBadRequest, "the body is not a change: %v", err)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), submitTimeout)
	defer cancel()
	verdict, err := handler.Submit(ctx, change.record(name, isDelete))
	if err != nil {
		status := http.StatusServiceUnavailable
		if errors.Is(err, class.ErrUndecided) {
			status = http.StatusGatewayTimeout
		}
		writeProblem(writer, status, "%v", err)
		return
	}
	writeVerdict(writer, verdict)
}

func (change Change) record(name string, isDelete bool) *record.ConfigChange {
	return &record.ConfigChange{
		ChangeID: change.ChangeID, Name: name, BaseRevision: change.BaseRevision, Delete: isDelete,
		Operator: change.Operator, SubmittedUnixMs: time.Now().UnixMilli(),
		Target: &record.ClassTarget{
			Name: name, Model: change.Model, FirstTokenMs: change.FirstTokenMs,
			BetweenTokensMs: change.BetweenTokensMs, InTargetShare: change.InTargetShare,
			Priority: change.Priority, GuaranteedShare: change.GuaranteedShare,
		},
	}
}

func writeVerdict(writer http.ResponseWriter, verdict class.Verdict) {
	response := Verdict{Accepted: verdict.Accepted, Revision: verdict.Revision, Reason: verdict.Reason}
	status := http.StatusOK
	switch {
	case verdict.Accepted:
	case verdict.InForce != nil:
		inForce := classInfo(verdict.InForce)
		response.Beaten = &inForce
		status = http.StatusConflict
	case verdict.Reason == class.ReasonStale:
		status = http.StatusConflict
	default:
		status = http.StatusBadRequest
	}
	writeJSON(writer, status, response)
}

// Problem is the body of an error response.
type Problem struct {
	Problem string
}

func writeProblem(writer http.ResponseWriter, status int, format string, arguments ...any) {
	writeJSON(writer, status, Problem{Problem: fmt.Sprintf(format, arguments...)})
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// Explain converts the journal entry of a request into an explanation.
func Explain(entry *journal.Entry) Explanation {
	explanation := Explanation{Subject: entry.RequestID}
	explanation.Lines = append(explanation.Lines, fmt.Sprintf("class %s, workspace %s, at %s", entry.Class, entry.Workspace, entry.StartedAt.UTC().Format(time.RFC3339)))
	for _, line := range entry.Lines() {
		explanation.Lines = append(explanation.Lines, fmt.Sprintf("+%s %s", line.Elapsed.Round(100*time.Microsecond), line.Text))
	}
	return explanation
}
