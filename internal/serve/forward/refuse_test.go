package forward_test

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a refusal that is lost to a connection reset. The test uses kernel sockets and a caller that
// reads only after writing its body, or failing to.
func TestRefusalReachesCallerStillSendingBody(t *testing.T) {
	for _, length := range []string{"100000", "4000000"} {
		expect := gomega.NewWithT(t)
		rig := newRig(t, 16<<10, countBody(0))
		server := httptest.NewServer(rig.handler)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		head := "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nId: a\r\nKey: key-0\r\nContent-Length: " + length + "\r\n\r\n"
		_, _ = conn.Write([]byte(head + strings.Repeat("x", 4000000)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		response.Body.Close()
		expect.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		conn.Close()
		server.Close()
		rig.stop()
	}
}
