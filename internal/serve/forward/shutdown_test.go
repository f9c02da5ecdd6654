package forward_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/serve/forward"
)

// slowBody is a request body whose last byte is sent after a pause.
func slowBody(pause time.Duration) io.Reader {
	reader, writer := io.Pipe()
	time.AfterFunc(pause, func() { _ = writer.Close() })
	return reader
}

// Guards against a request that is complete shortly before the node ends, and is passed on although its server may need
// longer than the node has.
func TestRequestsThatAreLateInAShutdownAreNotPassedOn(t *testing.T) {
	for _, path := range []string{"/book/1", "/ping/1", "/draft/1"} {
		synctest.Test(t, func(t *testing.T) {
			expect, runs := gomega.NewWithT(t), 0
			rig := newRig(t, 0, func(_ http.ResponseWriter, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				runs++
			})
			rig.forwarder.BeginShutdown(forward.Shutdown{AcceptFor: time.Second, ServeFor: 4 * time.Second})
			result := rig.do(rig.request(0, path, slowBody(1500*time.Millisecond)))
			expect.Expect(result.status).To(gomega.Equal(http.StatusServiceUnavailable))
			expect.Expect(result.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			expect.Expect(result.closes).To(gomega.BeTrue())
			expect.Expect(result.duration).To(gomega.BeNumerically("~", 1500*time.Millisecond, 10*time.Millisecond))
			expect.Expect(rig.outcomeCount(forward.Stopping)).To(gomega.Equal(1))
			expect.Expect(runs).To(gomega.BeZero())
			expect.Expect(rig.shutdown()).To(gomega.BeZero())
		})
	}
}

// Guards against a node that refuses requests in a shutdown that it can serve: early ones, and those whose time ends before
// the node does.
func TestRequestsInAShutdownAreServed(t *testing.T) {
	for name, request := range map[string]struct {
		upload time.Duration
		left   string
	}{
		"early":              {900 * time.Millisecond, "5000"},
		"late, little time":  {1500 * time.Millisecond, "3800"},
		"later, little time": {2500 * time.Millisecond, "3800"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				expect := gomega.NewWithT(t)
				rig := newRig(t, 0, countBody(time.Second))
				rig.forwarder.BeginShutdown(forward.Shutdown{AcceptFor: time.Second, ServeFor: 4 * time.Second})
				sent := rig.request(0, "/book/1", slowBody(request.upload))
				sent.Header.Set("Left", request.left)
				expect.Expect(rig.do(sent).status).To(gomega.Equal(http.StatusOK))
				expect.Expect(rig.shutdown()).To(gomega.BeZero())
			})
		})
	}
}

// Guards against requests that the node cuts without an answer when it ends: their servers have not answered by then.
func TestUnansweredRequestsGetAnAnswerAtTheEndOfAShutdown(t *testing.T) {
	for _, begun := range []time.Duration{0, time.Second} {
		for _, path := range []string{"/book/1", "/ping/1", "/draft/1"} {
			synctest.Test(t, func(t *testing.T) {
				expect := gomega.NewWithT(t)
				rig := newRig(t, 0, func(_ http.ResponseWriter, request *http.Request) {
					_, _ = io.Copy(io.Discard, request.Body)
					<-request.Context().Done()
				})
				time.AfterFunc(begun, func() {
					rig.forwarder.BeginShutdown(forward.Shutdown{AcceptFor: time.Second, ServeFor: 3 * time.Second})
				})
				time.Sleep(time.Millisecond)
				result := rig.do(rig.request(0, path, bodyOfLength(10)))
				expect.Expect(result.err).NotTo(gomega.HaveOccurred())
				expect.Expect(result.status).To(gomega.Equal(http.StatusGatewayTimeout))
				expect.Expect(result.duration).To(gomega.BeNumerically("~", begun+3*time.Second, 50*time.Millisecond))
				expect.Expect(rig.outcomeCount(forward.Stopping)).To(gomega.Equal(1))
				expect.Expect(rig.shutdown()).To(gomega.BeZero())
			})
		}
	}
}

// Guards against a response that has begun and is cut before the node has to end.
func TestBegunResponsesGoOnAtTheEndOfAShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		rig := newRig(t, 0, func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(writer, "id: 0\ndata: x\n\n")
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(3500 * time.Millisecond)
			_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
		})
		rig.forwarder.BeginShutdown(forward.Shutdown{AcceptFor: time.Second, ServeFor: 3 * time.Second})
		result := rig.do(rig.request(0, "/draft/1", bodyOfLength(10)))
		expect.Expect(result.err).NotTo(gomega.HaveOccurred())
		expect.Expect(result.body).To(gomega.HaveSuffix("id: 1\ndata: x\n\n"))
		expect.Expect(rig.shutdown()).To(gomega.BeZero())
	})
}
