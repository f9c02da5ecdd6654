package backendserver

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a long body that is copied for each call, which doubles what the node holds for
// it, and against a message that differs by how it is written.
func TestLongBodyIsNotCopied(t *testing.T) {
	for _, length := range []int{0, inlineBody, inlineBody + 1, 1 << 20} {
		expect := gomega.NewWithT(t)
		body := bytes.Repeat([]byte("x"), length)
		message := encode(&Call{Method: http.MethodPost, Target: "/a?b", Host: "h", Body: body}, http.Header{"Id": {"1"}})
		if length > inlineBody {
			expect.Expect(&message[len(message)-1][0]).To(gomega.BeIdenticalTo(&body[0]))
		} else {
			expect.Expect(message).To(gomega.HaveLen(1), "it leaves in one packet")
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
