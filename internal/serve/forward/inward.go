package forward

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hazelslip/internal/state/configuration"
)

// inward is what another node told of a request that it sent.
type inward struct {
	Sender    string
	Version   int64
	KeyDigest string
	// Runs counts the servers that may have run it, GoesOn says that its caller has a part of the answer,
	// Counted that it was counted as demand.
	Runs    int
	GoesOn  bool
	Counted bool
}

func (inward *inward) sender() string {
	if inward == nil {
		return ""
	}
	return inward.Sender
}

func (inward *inward) counted() bool {
	return inward != nil && inward.Counted
}

func (inward *inward) encode() string {
	values := url.Values{}
	values.Set(fieldSender, inward.Sender)
	values.Set(fieldVersion, strconv.FormatInt(inward.Version, 10))
	values.Set(fieldKey, inward.KeyDigest)
	values.Set(fieldRuns, strconv.Itoa(inward.Runs))
	values.Set(fieldGoesOn, strconv.FormatBool(inward.GoesOn))
	values.Set(fieldCounted, strconv.FormatBool(inward.Counted))
	return values.Encode()
}

// errNotOfANode says that a request was not sent by a node.
var errNotOfANode = errors.New("the request was not sent by a node")

func decodeInward(header http.Header) (*inward, error) {
	values, err := url.ParseQuery(header.Get(headerDetour))
	if err != nil || values.Get(fieldSender) == "" {
		return nil, errNotOfANode
	}
	version, err := strconv.ParseInt(values.Get(fieldVersion), 10, 64)
	if err != nil {
		return nil, errors.Mark(err, errNotOfANode)
	}
	runs, err := strconv.Atoi(values.Get(fieldRuns))
	if err != nil || runs < 0 {
		return nil, errNotOfANode
	}
	return &inward{
		Sender: values.Get(fieldSender), Version: version, KeyDigest: values.Get(fieldKey), Runs: runs,
		GoesOn: values.Get(fieldGoesOn) == "true", Counted: values.Get(fieldCounted) == "true",
	}, nil
}

// Inward returns the handler of requests that other nodes send. Who else reaches it gets what a caller would: a
// request counts as a workspace's only by the digest of its key.
func (forwarder *Forwarder) Inward() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		from, err := decodeInward(request.Header)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		request.Header.Del(headerDetour)
		defer forwarder.inwards.Add(-1)
		if forwarder.inwards.Add(1) > detoursMost {
			forwarder.turnAway(writer, Busy)
			return
		}
		if !forwarder.awaitVersion(request, from.Version) {
			forwarder.turnAway(writer, Behind)
			return
		}
		forwarder.Counts.DetoursTaken.Add(1)
		forwarder.serve(writer, request, from)
	})
}

// turnAway answers that the request was not taken, before any of it was looked at.
func (forwarder *Forwarder) turnAway(writer http.ResponseWriter, outcome Outcome) {
	forwarder.Counts.DetoursRefused.Add(1)
	writer.Header().Set(headerDetour, forwarder.told(resultNotRun, outcome, "", 0, 0))
	writer.Header().Set("Content-Length", "0")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// awaitVersion waits a moment until the node has a version of the configuration: one that handles a request by an
// older one than its sender would let callers in whose keys were taken away.
func (forwarder *Forwarder) awaitVersion(request *http.Request, version int64) bool {
	for until := forwarder.Now() + versionWait; forwarder.Configuration.Load().Configuration.Version < version; time.Sleep(waitStep) {
		if forwarder.Now() >= until || request.Context().Err() != nil {
			return false
		}
	}
	return true
}

func (forwarder *Forwarder) told(result result, outcome Outcome, cause string, runs, arrivals int) string {
	values := url.Values{}
	values.Set(fieldResult, string(result))
	values.Set(fieldVersion, strconv.FormatInt(forwarder.Configuration.Load().Configuration.Version, 10))
	values.Set(fieldRuns, strconv.Itoa(runs))
	values.Set(fieldArrivals, strconv.Itoa(arrivals))
	if outcome != "" {
		values.Set(fieldOutcome, string(outcome))
		values.Set(fieldCause, cause)
	}
	return values.Encode()
}

// tellSender puts what has become of the request into the head of the answer, if another node sent it.
func (exchange *exchange) tellSender(result result) {
	if exchange.inward == nil {
		return
	}
	outcome, cause := exchange.outcome, exchange.cause
	if result == resultServer {
		outcome, cause = "", ""
	}
	exchange.writer.Header().Set(headerDetour, exchange.forwarder.told(result, outcome, cause, exchange.runs, exchange.arrivals))
}

// holder returns the workspace that holds the caller's key, or whose key has the digest that a node sent.
func (exchange *exchange) holder() (*configuration.Workspace, bool) {
	if exchange.inward != nil {
		return exchange.snapshot.WorkspaceByDigest(exchange.inward.KeyDigest)
	}
	return exchange.snapshot.Workspace(exchange.request.Key)
}
