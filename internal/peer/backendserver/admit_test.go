package backendserver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/peer/backendserver"
)

// Guards against a call that is sent after its server asked for a backoff, because Admit was checked before the slow
// connect. Also guards against losing the new connection: it must stay in the pool for the next call.
func TestCallThatIsNotAdmittedIsNotWritten(t *testing.T) {
	expect := gomega.NewWithT(t)
	serving := conc.WaitGroup{}
	requests, dialled := 0, 0
	dial := func(string, time.Duration) (net.Conn, error) {
		dialled++
		clientSide, serverSide := net.Pipe()
		serving.Go(func() {
			reader := bufio.NewReader(serverSide)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				requests++
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(serverSide, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		})
		return clientSide, nil
	}
	pool := backendserver.New(backendserver.Codec{
		Encode: func(call *backendserver.Call) http.Header { return call.Header },
		Decode: func(*backendserver.Call, int, http.Header) backendserver.DecodedHead {
			return backendserver.DecodedHead{}
		},
	}, backendserver.Dial(dial))
	withheld := errors.New("withheld")
	call := &backendserver.Call{Method: http.MethodPost, Target: "/", Header: http.Header{}, Address: "a"}

	call.Admit = func() error {
		expect.Expect(dialled).To(gomega.Equal(1), "Admit is called once the connection is open")
		return withheld
	}
	for range 2 {
		_, err := pool.Send(call)
		expect.Expect(err).To(gomega.MatchError(withheld))
		expect.Expect(errors.Is(err, backendserver.ErrNotSent)).To(gomega.BeTrue())
	}
	call.Admit = func() error { return nil }
	reply, err := pool.Send(call)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(io.ReadAll(reply)).To(gomega.BeEquivalentTo("ok"))
	reply.Close()
	pool.Sweep(func(string) bool { return false })
	serving.Wait()
	expect.Expect([]int{dialled, requests}).To(gomega.Equal([]int{1, 1}))
}
