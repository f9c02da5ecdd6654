package service_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/peer/service"
)

// uploadRounds is how often each case runs: which of the two directions of a connection sees a reset first is a race.
const uploadRounds = 200

// Guards against a response with an impossible status that is passed on, or kept as the result of a call.
func TestResponseWithImpossibleStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		_, err := respondEarly(t, false, "HTTP/1.1 "+status+" Unknown\r\nContent-Length: 0\r\n\r\n", func(connection *net.TCPConn) { _, _ = io.Copy(io.Discard, connection) })
		gomega.NewWithT(t).Expect(errors.Is(err, service.ErrNoResponse)).To(gomega.BeTrue(), "status %s: %v", status, err)
	}
}

// respondEarly calls a service that responds while a body is being written that fits into no socket buffer, and then ends
// the connection. It returns the body of the response and the error of the call or of reading it.
func respondEarly(t *testing.T, ownDial bool, response string, end func(connection *net.TCPConn)) (string, error) {
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
	upload := make([]byte, 16<<20)
	client := service.New()
	if ownDial {
		client = service.New(service.Dial((&net.Dialer{}).DialContext))
	}
	answer, err := client.Call(t.Context(), listener.Addr().String(), service.Call{
		Method: http.MethodPost, Path: "/", Body: bytes.NewReader(upload), Length: int64(len(upload)),
	})
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

// Guards against a part of a response that counts as complete because the service resets it while the body of the call is
// being written.
func TestResponseResetDuringUploadIsIncomplete(t *testing.T) {
	for round := range uploadRounds {
		body, err := respondEarly(t, round%2 == 0, "HTTP/1.1 200 OK\r\n\r\npart", func(connection *net.TCPConn) { _ = connection.SetLinger(0) })
		gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred(), "%q counts as complete", body)
	}
}

// Guards against a check for resets that rejects a response whose service closes the connection in order.
func TestResponseClosedDuringUploadIsComplete(t *testing.T) {
	for round := range uploadRounds {
		body, err := respondEarly(t, round%2 == 0, "HTTP/1.1 200 OK\r\n\r\nwhole", func(connection *net.TCPConn) {
			_ = connection.CloseWrite()
			_, _ = io.Copy(io.Discard, connection)
		})
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		gomega.NewWithT(t).Expect(body).To(gomega.Equal("whole"))
	}
}
