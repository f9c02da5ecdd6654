package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/serve/forward"
)

// answerSlack is how long after the route's timeout a caller may have no final answer.
const answerSlack = 500 * time.Millisecond

// sendEndless writes parts of a response until the connection closes, and reports when it did.
func sendEndless(writer http.ResponseWriter, length int, pause time.Duration) {
	for {
		if _, err := io.Copy(writer, bodyOfLength(length)); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(pause)
	}
}

// Guards against callers that wait past the route's timeout, or past their own deadline, for a response without end that
// is relayed unbuffered, and against such a response that looks complete.
func TestEndlessRelayedResponseEndsInTime(t *testing.T) {
	for _, left := range []time.Duration{0, routeTimeout / 2} {
		for _, declared := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				expect := gomega.NewWithT(t)
				closed := make(chan time.Duration, 2)
				began := time.Now()
				rig := newRig(t, 16<<10, func(writer http.ResponseWriter, request *http.Request) {
					_, _ = io.Copy(io.Discard, request.Body)
					if declared {
						writer.Header().Set("Content-Length", strconv.Itoa(1<<40))
					}
					sendEndless(writer, 64<<10, 50*time.Millisecond)
					closed <- time.Since(began)
				})
				request, limit := rig.request(0, "/book/1", bodyOfLength(100)), routeTimeout
				if left > 0 {
					request.Header.Set("Left", strconv.FormatInt(left.Milliseconds(), 10))
					limit = left
				}
				result := rig.do(request)
				expect.Expect(result.err).To(gomega.HaveOccurred())
				expect.Expect(len(result.body)).To(gomega.BeNumerically(">", megabyte))
				expect.Expect(result.duration).To(gomega.BeNumerically("<=", limit+answerSlack))
				expect.Expect(<-closed).To(gomega.BeNumerically("<=", limit+answerSlack))
				expect.Expect(rig.outcomeCount(forward.TimeUp)).To(gomega.Equal(1))
				held, _, _ := rig.memory.Totals()
				expect.Expect(held).To(gomega.BeZero())
				expect.Expect(rig.shutdown()).To(gomega.BeZero())
			})
		}
	}
}

// slowRead reads a response a part at a time, and returns its length.
func slowRead(response *http.Response, part int64, pause time.Duration) (int64, error) {
	defer response.Body.Close()
	total := int64(0)
	for {
		n, err := io.CopyN(io.Discard, response.Body, part)
		total += n
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		time.Sleep(pause)
	}
}

// Guards against a response without end that is relayed for as long as a slow caller reads, and against a large response
// that is cut off because its caller reads slowly.
func TestSlowCallersGetLargeButNotEndlessResponses(t *testing.T) {
	for name, length := range map[string]int64{"large": 20 * megabyte, "endless": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				expect := gomega.NewWithT(t)
				rig := newRig(t, 16<<10, func(writer http.ResponseWriter, request *http.Request) {
					_, _ = io.Copy(io.Discard, request.Body)
					if length == 0 {
						sendEndless(writer, megabyte, 0)
						return
					}
					_, _ = io.Copy(writer, bodyOfLength(int(length)))
				})
				response, err := rig.callers.Do(rig.request(0, "/book/1", bodyOfLength(100)))
				expect.Expect(err).NotTo(gomega.HaveOccurred())
				read, err := slowRead(response, 256<<10, 100*time.Millisecond)
				if length > 0 {
					expect.Expect(err).NotTo(gomega.HaveOccurred())
					expect.Expect(read).To(gomega.Equal(length))
				} else {
					expect.Expect(err).To(gomega.HaveOccurred())
					expect.Expect(rig.outcomeCount(forward.TimeUp)).To(gomega.Equal(1))
				}
				expect.Expect(rig.shutdown()).To(gomega.BeZero())
			})
		})
	}
}

// Guards against a response that was cut off and looks complete to an HTTP/1.0 caller, for whom the end of the connection
// ends a response without a length.
func TestTruncatedResponseIsNotCompleteForHTTP10(t *testing.T) {
	for path, part := range map[string]string{"/ping/1": strings.Repeat("x", megabyte), "/draft/1": "id: 0\ndata: x\n\n"} {
		synctest.Test(t, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			rig := newRig(t, 16<<10, func(writer http.ResponseWriter, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(writer, part)
				_ = http.NewResponseController(writer).Flush()
				time.Sleep(time.Second)
				panic(http.ErrAbortHandler)
			})
			connection, err := rig.network.Dialer("callers")(t.Context(), "tcp", nodeAddress)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = fmt.Fprintf(connection, "POST %s HTTP/1.0\r\nHost: h.example\r\nId: one\r\nKey: key-0\r\nContent-Length: 2\r\n\r\n{}", path)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			response, err := io.ReadAll(connection)
			expect.Expect(string(response)).To(gomega.HavePrefix("HTTP/1.0 200"))
			expect.Expect(err).To(gomega.HaveOccurred(), path)
			_ = connection.Close()
			expect.Expect(rig.shutdown()).To(gomega.BeZero())
		})
	}
}

// Guards against events without end that exceed the memory budget together, although each of them is within its limit.
func TestEndlessEventsStayWithinTheMemoryBudget(t *testing.T) {
	const budget, streams = 4 * megabyte, 40
	for name, status := range map[string]int{"stream": http.StatusOK, "failure": http.StatusInternalServerError} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				expect := gomega.NewWithT(t)
				rig := newRig(t, budget, func(writer http.ResponseWriter, request *http.Request) {
					_, _ = io.Copy(io.Discard, request.Body)
					writer.WriteHeader(status)
					sendEndless(writer, 16<<10, 10*time.Millisecond)
				})
				calls := conc.WaitGroup{}
				for number := range streams {
					calls.Go(func() {
						result := rig.do(rig.request(number%workspaces, "/draft/1", bodyOfLength(100)))
						expect.Expect(result.status).NotTo(gomega.Equal(http.StatusOK))
					})
				}
				calls.Wait()
				expect.Expect(rig.shutdown()).To(gomega.BeZero())
				_, peak, _ := rig.memory.Totals()
				expect.Expect(peak).To(gomega.BeNumerically("<=", budget))
			})
		})
	}
}
