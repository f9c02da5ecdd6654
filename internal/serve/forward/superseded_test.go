package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against events of the first run that are relayed although the second one has taken over: an event of the first
// run arrives in the same moment, before its connection is closed.
func TestEventAfterTakeoverIsDropped(t *testing.T) {
	expect := gomega.NewWithT(t)
	exchange, _ := newFullExchange()
	recorder := httptest.NewRecorder()
	exchange.writer, exchange.second = recorder, &secondRun{takesOver: true}
	exchange.forwarder.buffers.New = func() any { return new([copyBufferSize]byte) }
	exchange.request.Resumes, exchange.request.LastEventID = true, 3
	first := &attempt{pending: []byte("id: 4\ndata: 4\n\n"), readAhead: true, reservation: &exchange.reservation}
	expect.Expect(exchange.relayEvents(first)).To(gomega.MatchError(errSuperseded))
	expect.Expect(recorder.Body.Len()).To(gomega.BeZero())
	expect.Expect(exchange.request.LastEventID).To(gomega.BeEquivalentTo(3))
	call := &attempt{pending: []byte("answer"), readAhead: true, reservation: &exchange.reservation}
	_, err := exchange.readResponse(call)
	expect.Expect(err).To(gomega.MatchError(errSuperseded))
	expect.Expect(recorder.Code).To(gomega.Equal(http.StatusOK))
	expect.Expect(recorder.Body.Len()).To(gomega.BeZero())
}
