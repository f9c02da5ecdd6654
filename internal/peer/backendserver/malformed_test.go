package backendserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

// sendTo sends a call to a server that responds with the given bytes and keeps the connection.
func sendTo(response string) (body string, err error) {
	near, far := net.Pipe()
	serving := conc.WaitGroup{}
	defer serving.Wait()
	defer near.Close()
	serving.Go(func() {
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			_, _ = io.WriteString(far, response)
		}
	})
	pool := New(Codec{
		Encode: func(*Call) http.Header { return http.Header{} },
		Decode: func(*Call, int, http.Header) DecodedHead { return DecodedHead{} },
	}, Dial(func(string, time.Duration) (net.Conn, error) { return near, nil }))
	call := &Call{Method: http.MethodGet, Target: "/", Host: "h", Address: "a:1", TimeLeft: time.Second}
	call.SetCancel = func(cancel func()) { time.AfterFunc(call.TimeLeft, cancel) }
	reply, err := pool.Send(call)
	if err != nil {
		return "", err
	}
	defer reply.Close()
	read, err := io.ReadAll(reply)
	return string(read), err
}

const wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

// Guards against a response with an impossible status that is skipped like an informational one, so that its body is read
// as the next response or the call waits until its deadline.
func TestResponseWithImpossibleStatusIsNoResponse(t *testing.T) {
	for name, response := range map[string]string{
		"000":                         "HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n",
		"000 with a response as body": "HTTP/1.1 000 Unknown\r\nContent-Length: 43\r\n\r\n" + wholeResponse,
		"000 before a response":       "HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n" + wholeResponse,
		"099":                         "HTTP/1.1 099 Unknown\r\n\r\n" + wholeResponse,
		"signed":                      "HTTP/1.1 +20 Unknown\r\n\r\n" + wholeResponse,
		"101":                         "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + wholeResponse,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				expect, began := gomega.NewWithT(t), time.Now()
				body, err := sendTo(response)
				expect.Expect(errors.Is(err, ErrNoResponse)).To(gomega.BeTrue(), "%q is the response, error %v", body, err)
				expect.Expect(time.Since(began)).To(gomega.BeZero())
			})
		})
	}
}

// Guards against a check of statuses that rejects informational responses.
func TestInformationalResponsesAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		body, err := sendTo("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + wholeResponse)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(body).To(gomega.Equal("whole"))
	})
}
