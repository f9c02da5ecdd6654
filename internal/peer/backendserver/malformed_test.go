package backendserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
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

// Guards against a head with an invalid field name. net/http accepts one with a blank and then doesn't find the length or
// the chunks that it states, so that the body is another one than the server's.
func TestResponseWithInvalidFieldNameIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"blank in a name":           "A field: x\r\nContent-Length: 5\r\n",
		"blank before the colon":    "Field : x\r\nContent-Length: 5\r\n",
		"blank as the name":         "Content-Length: 5\r\n : x\r\n",
		"blank in the length":       "Content-Length : 5\r\n",
		"blank in the framing":      "Transfer-Encoding : chunked\r\n",
		"two lengths":               "Content-Length: 5\r\nContent-Length : 4\r\n",
		"tab in a name":             "A\tfield: x\r\nContent-Length: 5\r\n",
		"NUL in a name":             "A\x00field: x\r\nContent-Length: 5\r\n",
		"carriage return in a name": "A\rfield: x\r\nContent-Length: 5\r\n",
		"escape in a name":          "\x1bA: x\r\nContent-Length: 5\r\n",
		"delete in a name":          "A\x7f: x\r\nContent-Length: 5\r\n",
		"byte above ASCII":          "A\xff: x\r\nContent-Length: 5\r\n",
		"separator in a name":       "A(b): x\r\nContent-Length: 5\r\n",
		"no name":                   ": x\r\nContent-Length: 5\r\n",
		"no colon":                  "Field\r\nContent-Length: 5\r\n",
	} {
		for kind, start := range map[string]string{"final": "", "informational": "HTTP/1.1 103 Early Hints\r\n" + head + "\r\n"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					response := start + wholeResponse
					if start == "" {
						response = "HTTP/1.1 200 OK\r\n" + head + "\r\n5\r\nwhole\r\n0\r\n\r\n"
					}
					body, err := sendTo(response)
					gomega.NewWithT(t).Expect(errors.Is(err, ErrNoResponse)).To(gomega.BeTrue(), "%q is the response, error %v", body, err)
				})
			})
		}
	}
}

// Guards against a line that begins with a blank and is passed on as a part of the field before it.
func TestResponseWithFoldedFieldIsNoResponse(t *testing.T) {
	long := strings.Repeat("A: x\r\n", 2*readBufferSize/6)
	for name, response := range map[string]string{
		"space":                    "HTTP/1.1 200 OK\r\nA: x\r\n B: y\r\nContent-Length: 5\r\n\r\nwhole",
		"tab":                      "HTTP/1.1 200 OK\r\nA: x\r\n\tB: y\r\nContent-Length: 5\r\n\r\nwhole",
		"last line":                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nA: x\r\n B: y\r\n\r\nwhole",
		"bare line feeds":          "HTTP/1.1 200 OK\nContent-Length: 5\nA: x\n B: y\n\nwhole",
		"blanks alone":             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nA: x\r\n  \r\n\r\nwhole",
		"first line":               "HTTP/1.1 200 OK\r\n A: x\r\nContent-Length: 5\r\n\r\nwhole",
		"long head":                "HTTP/1.1 200 OK\r\n" + long + " B: y\r\nContent-Length: 5\r\n\r\nwhole",
		"informational":            "HTTP/1.1 103 Early Hints\r\nA: x\r\n B: y\r\n\r\n" + wholeResponse,
		"behind an informational":  "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nA: x\r\n B: y\r\nContent-Length: 5\r\n\r\nwhole",
		"behind two informational": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 2) + "HTTP/1.1 200 OK\r\nA: x\r\n B: y\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body, err := sendTo(response)
				gomega.NewWithT(t).Expect(errors.Is(err, ErrNoResponse)).To(gomega.BeTrue(), "%q is the response, error %v", body, err)
			})
		})
	}
}

// Guards against a check of lines that goes on in the body.
func TestBodyMayHaveLinesThatBeginWithBlanks(t *testing.T) {
	for name, start := range map[string]string{"final": "", "informational": "HTTP/1.1 103 Early Hints\r\nA: x\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				expect := gomega.NewWithT(t)
				body, err := sendTo(start + "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n\r\n a\r\n b")
				expect.Expect(err).NotTo(gomega.HaveOccurred())
				expect.Expect(body).To(gomega.Equal("\r\n a\r\n b"))
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
