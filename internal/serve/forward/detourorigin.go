package forward

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/state/configuration"
)

// detourOrigin is the state that a peer node sends with a detoured request.
type detourOrigin struct {
	Sender    string
	Version   int64
	KeyDigest string
	// Runs counts the servers that may have run the request. PartlyDelivered is set if the caller already has a
	// part of the response, DemandCounted if the request was counted as demand.
	Runs            int
	PartlyDelivered bool
	DemandCounted   bool
}

func (detourOrigin *detourOrigin) sender() string {
	if detourOrigin == nil {
		return ""
	}
	return detourOrigin.Sender
}

func (detourOrigin *detourOrigin) demandCounted() bool {
	return detourOrigin != nil && detourOrigin.DemandCounted
}

func (detourOrigin *detourOrigin) encode() string {
	values := url.Values{}
	values.Set(fieldSender, detourOrigin.Sender)
	values.Set(fieldVersion, strconv.FormatInt(detourOrigin.Version, 10))
	values.Set(fieldKeyDigest, detourOrigin.KeyDigest)
	values.Set(fieldRuns, strconv.Itoa(detourOrigin.Runs))
	values.Set(fieldPartlyDelivered, strconv.FormatBool(detourOrigin.PartlyDelivered))
	values.Set(fieldDemandCounted, strconv.FormatBool(detourOrigin.DemandCounted))
	return values.Encode()
}

// errNotFromNode means that a request was not sent by a node.
var errNotFromNode = errors.New("the request was not sent by a node")

func decodeDetourOrigin(header http.Header) (*detourOrigin, error) {
	values, err := url.ParseQuery(header.Get(headerDetour))
	if err != nil || values.Get(fieldSender) == "" {
		return nil, errNotFromNode
	}
	version, err := strconv.ParseInt(values.Get(fieldVersion), 10, 64)
	if err != nil {
		return nil, errors.Mark(err, errNotFromNode)
	}
	runs, err := strconv.Atoi(values.Get(fieldRuns))
	if err != nil || runs < 0 {
		return nil, errNotFromNode
	}
	return &detourOrigin{
		Sender: values.Get(fieldSender), Version: version, KeyDigest: values.Get(fieldKeyDigest), Runs: runs,
		PartlyDelivered: values.Get(fieldPartlyDelivered) == "true", DemandCounted: values.Get(fieldDemandCounted) == "true",
	}, nil
}

// DetourHandler returns the handler for requests that peer nodes send. Anyone else who can reach the handler gains
// nothing over an ordinary caller: a request is assigned to a workspace only by the digest of a key.
func (forwarder *Forwarder) DetourHandler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		origin, err := decodeDetourOrigin(request.Header)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		request.Header.Del(headerDetour)
		defer forwarder.inboundDetours.Add(-1)
		if forwarder.inboundDetours.Add(1) > maxInboundDetours {
			forwarder.rejectDetour(writer, Busy)
			return
		}
		if !forwarder.awaitConfiguration(request, origin.Version) {
			forwarder.rejectDetour(writer, Behind)
			return
		}
		forwarder.Counts.DetoursTaken.Add(1)
		forwarder.serve(writer, request, origin)
	})
}

// rejectDetour responds that the request was not accepted, before any of it was read.
func (forwarder *Forwarder) rejectDetour(writer http.ResponseWriter, outcome Outcome) {
	forwarder.Counts.DetoursRefused.Add(1)
	writer.Header().Set(headerDetour, forwarder.encodeDetourResult(resultNotRun, outcome, "", 0, 0))
	writer.Header().Set("Content-Length", "0")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// awaitConfiguration waits briefly until the node has a configuration version. Handling a request under an older
// version than its sender's would admit callers whose keys were revoked.
func (forwarder *Forwarder) awaitConfiguration(request *http.Request, version int64) bool {
	for deadline := forwarder.Now() + configurationWait; forwarder.Configuration.Load().Configuration.Version < version; time.Sleep(pollInterval) {
		if forwarder.Now() >= deadline || request.Context().Err() != nil {
			return false
		}
	}
	return true
}

func (forwarder *Forwarder) encodeDetourResult(result detourResult, outcome Outcome, cause string, runs, sentAttempts int) string {
	values := url.Values{}
	values.Set(fieldResult, string(result))
	values.Set(fieldVersion, strconv.FormatInt(forwarder.Configuration.Load().Configuration.Version, 10))
	values.Set(fieldRuns, strconv.Itoa(runs))
	values.Set(fieldSentAttempts, strconv.Itoa(sentAttempts))
	if outcome != "" {
		values.Set(fieldOutcome, string(outcome))
		values.Set(fieldCause, cause)
	}
	return values.Encode()
}

// setDetourResult puts the request's state into the response head if a peer node sent the request.
func (exchange *exchange) setDetourResult(result detourResult) {
	if exchange.origin == nil {
		return
	}
	outcome, cause := exchange.outcome, exchange.cause
	if result == resultServer {
		outcome, cause = "", ""
	}
	exchange.writer.Header().Set(headerDetour, exchange.forwarder.encodeDetourResult(result, outcome, cause, exchange.runs, exchange.sentAttempts))
}

// callerWorkspace returns the workspace of the caller's key, or of the key digest that a peer node sent.
func (exchange *exchange) callerWorkspace() (*configuration.Workspace, bool) {
	if exchange.origin != nil {
		return exchange.snapshot.WorkspaceByDigest(exchange.origin.KeyDigest)
	}
	return exchange.snapshot.Workspace(exchange.request.Key)
}
