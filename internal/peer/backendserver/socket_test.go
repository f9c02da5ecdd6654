package backendserver

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a copy of a long body for each call, which doubles the memory that the call uses, and against a message
// that depends on whether the body is copied.
func TestLongBodyIsNotCopied(t *testing.T) {
	for _, length := range []int{0, maxInlineBody, maxInlineBody + 1, 1 << 20} {
		expect := gomega.NewWithT(t)
		body := bytes.Repeat([]byte("x"), length)
		message := encode(&Call{Method: http.MethodPost, Target: "/a?b", Host: "h", Body: body}, http.Header{"Id": {"1"}})
		if length > maxInlineBody {
			expect.Expect(&message[len(message)-1][0]).To(gomega.BeIdenticalTo(&body[0]))
		} else {
			expect.Expect(message).To(gomega.HaveLen(1), "head and body are sent in one packet")
		}
		written := &bytes.Buffer{}
		_, err := message.WriteTo(written)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		request, err := http.ReadRequest(bufio.NewReader(written))
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(request.ContentLength).To(gomega.Equal(int64(length)))
		expect.Expect(request.RequestURI).To(gomega.Equal("/a?b"))
		expect.Expect(request.Header.Get("Id")).To(gomega.Equal("1"))
	}
}
