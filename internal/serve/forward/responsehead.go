package forward

import (
	"net/http"
	"time"

	"hazelslip/internal/peer/backendserver"
	"hazelslip/internal/policy/notice"
)

// ResponseHead describes what the head of a response says about its server.
type ResponseHead struct {
	Record  *notice.Record
	Signals backendserver.ServerSignals
	// Source names what the response answers. Group is the group that the call was for, RequestID the ID of the
	// caller's request.
	Source    string
	Group     string
	RequestID string
	// Accepted is set if the server accepted the call, Stray if the response belongs to another call.
	Accepted bool
	Stray    bool
	// ChosenAt is when the server was picked for the call, SentAt when the call was written.
	ChosenAt, SentAt time.Duration
}

// NoticeResponse returns the part of the head that the server's notice record stores.
func (responseHead *ResponseHead) NoticeResponse() notice.Response {
	return notice.Response{
		Backoff: notice.Backoff(responseHead.Signals.Backoff), Draining: responseHead.Signals.Draining, Accepted: responseHead.Accepted, SentAt: responseHead.SentAt,
	}
}

// sourceCall is the Source of responses to callers' requests.
const sourceCall = "Call"

// admitAttempt returns a check that runs just before the call is written. The check fails if the attempt was
// canceled or the server accepts no more calls.
func (exchange *exchange) admitAttempt(attempt *attempt) func() error {
	return func() error {
		if attempt.canceler.isCanceled() {
			return errCanceled
		}
		attempt.admittedAt = exchange.forwarder.Now()
		return attempt.target.Admit()
	}
}

// reportResponseHead returns a function that reports to the node what a response says about its server.
func (exchange *exchange) reportResponseHead(attempt *attempt) func(status int, head *backendserver.DecodedHead) {
	return func(status int, head *backendserver.DecodedHead) {
		exchange.forwarder.OnResponseHead(ResponseHead{
			Record: attempt.target.Record(), Signals: head.Signals, Source: sourceCall, Group: attempt.target.Group, RequestID: exchange.request.ID,
			Accepted: !head.NotRun && !head.ForOtherCall && status < http.StatusInternalServerError, Stray: head.ForOtherCall, ChosenAt: attempt.startedAt, SentAt: attempt.admittedAt,
		})
	}
}
