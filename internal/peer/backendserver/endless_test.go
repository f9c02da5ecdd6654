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
)

// endlessServer writes a beginning and then the same bytes until the connection is closed, and tells how many it has
// written.
func endlessServer(start, repeated string) (dial DialFunc, written <-chan int) {
	done := make(chan int, 1)
	return func(string, time.Duration) (net.Conn, error) {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		go func() {
			total := 0
			for part := start; ; part = repeated {
				n, err := io.WriteString(far, part)
				total += n
				if err != nil {
					done <- total
					return
				}
			}
		}()
		return near, nil
	}, done
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
				dial, written := endlessServer(server.start, server.repeated)
				pool := New(Codec{
					Encode: func(*Call) http.Header { return http.Header{} },
					Decode: func(*Call, int, http.Header) DecodedHead { return DecodedHead{} },
				}, Dial(dial))
				_, err := pool.Send(&Call{Method: http.MethodGet, Target: "/", Host: "h", Address: "a:1", TimeLeft: time.Second})
				expect.Expect(errors.Is(err, ErrNoResponse)).To(gomega.BeTrue(), "%v", err)
				expect.Expect(<-written).To(gomega.BeNumerically("<=", maxHeadBytes+readBufferSize))
			})
		})
	}
}

// Guards against a head limit that counts the body, or the answers before on the same connection.
func TestBodyIsNotBoundedByTheHeadLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		dial, _ := endlessServer("HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxxxxxxxxxx")
		pool := New(Codec{
			Encode: func(*Call) http.Header { return http.Header{} },
			Decode: func(*Call, int, http.Header) DecodedHead { return DecodedHead{} },
		}, Dial(dial))
		reply, err := pool.Send(&Call{Method: http.MethodGet, Target: "/", Host: "h", Address: "a:1", TimeLeft: time.Second})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		defer reply.Close()
		read, err := io.Copy(io.Discard, io.LimitReader(reply, 4*maxHeadBytes))
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(read).To(gomega.Equal(int64(4 * maxHeadBytes)))
	})
}
