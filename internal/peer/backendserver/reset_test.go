package backendserver

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

// longUpload fits into no socket buffer, so that it is still being written when the server responds.
var longUpload = make([]byte, 64<<20)

// respondEarly returns the body of a response that the server sends while the call is still being written, and the error
// of reading it. The server passes the connection to end afterwards.
func respondEarly(t *testing.T, response string, end func(connection *net.TCPConn)) (string, error) {
	expect := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	serving := conc.WaitGroup{}
	defer serving.Wait()
	serving.Go(func() {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		defer accepted.Close()
		_, _ = accepted.Read(make([]byte, 1))
		_, _ = io.WriteString(accepted, response)
		end(accepted.(*net.TCPConn))
	})
	pool := New(Codec{
		Encode: func(*Call) http.Header { return http.Header{} },
		Decode: func(*Call, int, http.Header) DecodedHead { return DecodedHead{} },
	})
	reply, err := pool.Send(&Call{Method: http.MethodPost, Target: "/", Host: "h", Address: listener.Addr().String(), TimeLeft: time.Minute, Body: longUpload})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer reply.Close()
	body, err := io.ReadAll(reply)
	return string(body), err
}

func reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

// Guards against a response that is reset while the call is still being written: the failed write takes the error of the
// connection, and the reset looks like the end of a body without framing.
func TestResponseResetDuringUploadIsIncomplete(t *testing.T) {
	for name, head := range map[string]string{
		"no framing": "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0":   "HTTP/1.0 200 OK\r\n\r\n",
		"length":     "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n",
		"chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			body := "part"
			if name == "chunks" {
				body = "4\r\npart\r\n"
			}
			received, err := respondEarly(t, head+body, reset)
			gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred(), "%q counts as complete", received)
		})
	}
}

// Guards against a check for resets that rejects a response whose server closes the connection in order.
func TestResponseClosedDuringUploadIsComplete(t *testing.T) {
	for name, end := range map[string]func(connection *net.TCPConn){
		"the rest of the upload is read": func(connection *net.TCPConn) {
			_ = connection.CloseWrite()
			_, _ = io.Copy(io.Discard, connection)
		},
		"the rest of the upload is reset": func(connection *net.TCPConn) {
			_ = connection.CloseWrite()
			_, _ = io.CopyN(io.Discard, connection, int64(len(longUpload)/2))
			reset(connection)
		},
	} {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			received, err := respondEarly(t, "HTTP/1.1 200 OK\r\n\r\nwhole", end)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(received).To(gomega.Equal("whole"))
		})
	}
}
