package forward

import (
	"net/http"
	"time"

	"hazelslip/internal/peer/backendserver"
	"hazelslip/internal/policy/notice"
)

// Heard is what the head of an answer says of its server.
type Heard struct {
	Record *notice.Record
	Said   backendserver.ServerSignals
	// Source is what was answered, Group the one that the call was for, RequestID the
	// caller's request.
	Source    string
	Group     string
	RequestID string
	// Taken says that the server took the call, Stray that it was another one's answer.
	Taken bool
	Stray bool
	// Chosen is when the server was chosen for the call, Sent when that was written.
	Chosen, Sent time.Duration
}

// Answer returns what is to be kept of it.
func (heard *Heard) Answer() notice.Answer {
	return notice.Answer{
		Backoff: notice.Backoff(heard.Said.Backoff), Draining: heard.Said.Draining, Taken: heard.Taken, Began: heard.Sent,
	}
}

// sourceCall is the Source of answers to callers' requests.
const sourceCall = "Call"

// admitLeg lets the call of a leg be written unless it was given up meanwhile, or the server
// wants none any more.
func (exchange *exchange) admitLeg(leg *leg) func() error {
	return func() error {
		if leg.ender.over() {
			return errGivenUp
		}
		leg.admitted = exchange.forwarder.Now()
		return leg.target.Admit()
	}
}

// hear makes the node take what an answer to a leg says of its server.
func (exchange *exchange) hear(leg *leg) func(status int, verdict *backendserver.DecodedHead) {
	return func(status int, verdict *backendserver.DecodedHead) {
		exchange.forwarder.Heard(Heard{
			Record: leg.target.Record(), Said: verdict.Signals, Source: sourceCall, Group: leg.target.Group, RequestID: exchange.request.ID,
			Taken: !verdict.NotRun && !verdict.ForOtherCall && status < http.StatusInternalServerError, Stray: verdict.ForOtherCall, Chosen: leg.sent, Sent: leg.admitted,
		})
	}
}
