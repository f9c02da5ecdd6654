package backendserver

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"hazelslip/internal/testlib/endless"
)

// poolBefore returns a pool whose connections lead to a sender.
func poolBefore(sender *endless.Sender) *Pool {
	return New(Codec{
		Encode: func(*Call) http.Header { return http.Header{} },
		Decode: func(*Call, int, http.Header) DecodedHead { return DecodedHead{} },
	}, Dial(func(string, time.Duration) (net.Conn, error) { return sender.Conn, nil }))
}

// Guards against a server that sends bytes without end where the head of a response is due, which a node reads into memory
// until the deadline of the call.
func TestHeadWithoutEndIsClosed(t *testing.T) {
	for name, server := range map[string]struct{ start, repeated string }{
		"no line":                 {"", "xxxxxxxxxxxxxxxx"},
		"one header":              {"HTTP/1.1 200 OK\r\nA: ", "xxxxxxxxxxxxxxxx"},
		"many headers":            {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				expect := gomega.NewWithT(t)
				sender := endless.New(server.start, server.repeated)
				_, err := poolBefore(sender).Send(&Call{Method: http.MethodGet, Target: "/", Host: "h", Address: "a:1", TimeLeft: time.Second})
				expect.Expect(errors.Is(err, ErrNoResponse)).To(gomega.BeTrue(), "%v", err)
				expect.Expect(sender.Wait()).To(gomega.BeNumerically("<=", maxHeadBytes+readBufferSize))
			})
		})
	}
}

// Guards against a chunked body whose framing has no end, which a node reads into memory.
func TestChunkFramingWithoutEndIsClosed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, server := range map[string]struct{ start, repeated string }{
		"size":      {head, "0000000000000000"},
		"extension": {head + "1;", "xxxxxxxxxxxxxxxx"},
		"trailer":   {head + "0\r\nA: ", "xxxxxxxxxxxxxxxx"},
		"trailers":  {head + "0\r\n", "A: x\r\n"},
		"no chunk":  {head, "xxxxxxxxxxxxxxxx"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				expect := gomega.NewWithT(t)
				sender := endless.New(server.start, server.repeated)
				reply, err := poolBefore(sender).Send(&Call{Method: http.MethodGet, Target: "/", Host: "h", Address: "a:1", TimeLeft: time.Second})
				expect.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = io.ReadAll(reply)
				expect.Expect(err).To(gomega.HaveOccurred())
				reply.Close()
				expect.Expect(sender.Wait()).To(gomega.BeNumerically("<=", maxHeadBytes))
			})
		})
	}
}

// Guards against a head limit that counts the body, or the answers before on the same connection.
func TestBodyIsNotBoundedByTheHeadLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		sender := endless.New("HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxxxxxxxxxx")
		reply, err := poolBefore(sender).Send(&Call{Method: http.MethodGet, Target: "/", Host: "h", Address: "a:1", TimeLeft: time.Second})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		defer reply.Close()
		read, err := io.Copy(io.Discard, io.LimitReader(reply, 4*maxHeadBytes))
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(read).To(gomega.Equal(int64(4 * maxHeadBytes)))
	})
}
