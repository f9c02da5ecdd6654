package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/serve/forward"
	"hazelslip/internal/testlib/suite"
)

const megabyte = 1 << 20

// countBody responds, after a delay, with the number of bytes received.
func countBody(after time.Duration) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		n, err := io.Copy(io.Discard, request.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(after)
		_, _ = fmt.Fprintf(writer, "took %d", n)
	}
}

// Guards against a node that buffers more request bodies than its memory budget allows, against a workspace with
// large bodies that keeps other workspaces out, and against late refusals.
func TestBodiesBeyondMemoryBudgetAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		const budget = 8 * megabyte
		rig := newRig(t, budget, countBody(2*time.Second))
		calls := conc.WaitGroup{}
		large, small := make([]callResult, 40), make([]callResult, 30)
		for number := range large {
			body := bodyOfLength(megabyte)
			if number%2 == 0 {
				body = withoutLength(body)
			}
			calls.Go(func() { large[number] = rig.do(rig.request(number%2, "/book/1", body)) })
		}
		time.Sleep(time.Second)
		for number := range small {
			calls.Go(func() { small[number] = rig.do(rig.request(2+number%4, "/book/1", bodyOfLength(2<<10))) })
		}
		calls.Wait()
		served := 0
		for _, result := range large {
			expect.Expect(result.err).NotTo(gomega.HaveOccurred())
			if result.status == http.StatusOK {
				served++
				expect.Expect(result.body).To(gomega.Equal("took 1048576"))
				continue
			}
			expect.Expect(result.status).To(gomega.Equal(http.StatusServiceUnavailable))
			expect.Expect(result.duration).To(gomega.BeNumerically("<", 50*time.Millisecond))
			retryAfter, err := strconv.ParseFloat(result.header.Get("Retry-After"), 64)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(retryAfter).To(gomega.And(gomega.BeNumerically(">=", 0.3), gomega.BeNumerically("<=", 0.5)))
		}
		expect.Expect(served).To(gomega.And(gomega.BeNumerically(">=", 3), gomega.BeNumerically("<=", 7)))
		for _, result := range small {
			expect.Expect(result.status).To(gomega.Equal(http.StatusOK))
		}
		held, peak, refused := rig.memory.Totals()
		expect.Expect(held).To(gomega.BeZero())
		expect.Expect(peak).To(gomega.BeNumerically("<=", budget))
		expect.Expect(refused).To(gomega.Equal(uint64(40 - served)))
		expect.Expect(rig.outcomeCount(forward.OutOfMemory)).To(gomega.Equal(40 - served))
		expect.Expect(rig.memoryRefusalLines).To(gomega.Equal(1), "refusals within a few seconds share one log line")
		expect.Expect(rig.shutdown()).To(gomega.BeZero())
	})
}

// Guards against a retry delay that exceeds the caller's time.
func TestRefusedBodyRetryFitsCallerDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		rig := newRig(t, 16<<10, countBody(0))
		request := rig.request(0, "/book/1", bodyOfLength(100<<10))
		request.Header.Set("Left", "600")
		retryAfter, err := strconv.ParseFloat(rig.do(request).header.Get("Retry-After"), 64)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(retryAfter).To(gomega.And(gomega.BeNumerically(">", 0.05), gomega.BeNumerically("<", 0.2)))
		expect.Expect(rig.shutdown()).To(gomega.BeZero())
	})
}

// Guards against the rest of a refused body that is parsed as the next request, and against a refusal that the
// caller cannot read because its connection was reset.
func TestRestOfRefusedBodyIsNotParsedAsRequest(t *testing.T) {
	for _, kind := range []string{"Content-Length: 900000", "Content-Length: 100000", "Transfer-Encoding: chunked"} {
		synctest.Test(t, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			arrived := atomic.Int32{}
			rig := newRig(t, 16<<10, func(http.ResponseWriter, *http.Request) { arrived.Add(1) })
			conn, err := rig.network.Dialer("caller")(context.Background(), "tcp", nodeAddress)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			inner := "POST /book/2 HTTP/1.1\r\nHost: h.example\r\nId: b\r\nKey: key-1\r\nContent-Length: 0\r\n\r\n"
			body := strings.Repeat(inner, 900000/len(inner)+1)
			if strings.HasPrefix(kind, "Transfer") {
				body = strings.Repeat("1000\r\n"+strings.Repeat("x", 4096)+"\r\n", 5) + "zz\r\n" + body
			}
			writing := conc.WaitGroup{}
			writing.Go(func() {
				_, _ = fmt.Fprintf(conn, "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nId: a\r\nKey: key-0\r\n%s\r\n\r\n%s", kind, body)
			})
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			defer response.Body.Close()
			expect.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
			expect.Expect(response.Close).To(gomega.BeTrue())
			rest, _ := io.ReadAll(reader)
			expect.Expect(rest).To(gomega.BeEmpty(), "nothing else was served")
			writing.Wait()
			conn.Close()
			expect.Expect(arrived.Load()).To(gomega.BeZero())
			expect.Expect(rig.shutdown()).To(gomega.BeZero())
		})
	}
}

// Guards against a connection that stays open after a refusal although the caller sends nothing more.
func TestConnectionClosesAfterRefusalOfStalledBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		rig := newRig(t, 16<<10, countBody(0))
		conn, err := rig.network.Dialer("caller")(context.Background(), "tcp", nodeAddress)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		_, _ = io.WriteString(conn, "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nId: a\r\nKey: key-0\r\nContent-Length: 100000\r\n\r\nsome")
		startedAt := time.Now()
		responses, _ := io.ReadAll(conn)
		expect.Expect(string(responses)).To(gomega.HavePrefix("HTTP/1.1 503 "))
		expect.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", 2*time.Second))
		conn.Close()
		expect.Expect(rig.shutdown()).To(gomega.BeZero())
	})
}

// Guards against a caller that holds the memory reserved for its body by never sending the body.
func TestStalledBodyTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		rig := newRig(t, 8*megabyte, countBody(0))
		body, rest := io.Pipe()
		request := rig.request(0, "/book/1", body)
		request.ContentLength = megabyte
		results := make(chan callResult, 1)
		go func() { results <- rig.do(request) }()
		_, _ = io.WriteString(rest, "some")
		time.Sleep(time.Second)
		held, _, _ := rig.memory.Totals()
		expect.Expect(held).To(gomega.BeNumerically(">=", megabyte))
		result := <-results
		_ = rest.Close()
		expect.Expect(result.status).To(gomega.Equal(http.StatusServiceUnavailable))
		expect.Expect(result.duration).To(gomega.BeNumerically("~", routeTimeout, 100*time.Millisecond))
		expect.Expect(rig.outcomeCount(forward.TimeUp)).To(gomega.Equal(1))
		expect.Expect(rig.shutdown()).To(gomega.BeZero())
	})
}

// Guards against a response that is refused or truncated because it does not fit into the memory budget or is
// longer than the buffer limit, and against a relayed response that is cut off at the call's time limit while the
// caller is not reading.
func TestResponseBeyondMemoryBudgetIsRelayed(t *testing.T) {
	for _, length := range []int{megabyte, 10 * megabyte} {
		for _, framed := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				expect := gomega.NewWithT(t)
				const budget = 64 << 10
				rig := newRig(t, budget, func(writer http.ResponseWriter, request *http.Request) {
					_, _ = io.Copy(io.Discard, request.Body)
					if framed {
						writer.Header().Set("Content-Length", strconv.Itoa(length))
					}
					_, _ = io.Copy(writer, bodyOfLength(length))
				})
				response, err := rig.callers.Do(rig.request(0, "/ping/1", bodyOfLength(100)))
				expect.Expect(err).NotTo(gomega.HaveOccurred())
				time.Sleep(2 * routeTimeout)
				body, err := io.ReadAll(response.Body)
				response.Body.Close()
				expect.Expect(err).NotTo(gomega.HaveOccurred())
				expect.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
				expect.Expect(len(body)).To(gomega.Equal(length))
				_, peak, refused := rig.memory.Totals()
				expect.Expect(peak).To(gomega.BeNumerically("<=", budget))
				expect.Expect(refused).To(gomega.BeZero())
				expect.Expect(rig.outcomeCount(forward.Answered)).To(gomega.Equal(1))
				expect.Expect(rig.shutdown()).To(gomega.BeZero())
			})
		}
	}
}

// Guards against a relayed response that is cut off because its server took longer than the attempt timeout.
func TestRelayedResponseMayExceedAttemptTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		rig := newRig(t, 16<<10, func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			for range 5 {
				_, _ = io.Copy(writer, bodyOfLength(100<<10))
				_ = http.NewResponseController(writer).Flush()
				time.Sleep(routeTimeout / 5)
			}
		})
		result := rig.do(rig.request(0, "/ping/1", bodyOfLength(100)))
		expect.Expect(result.err).NotTo(gomega.HaveOccurred())
		expect.Expect(len(result.body)).To(gomega.Equal(500 << 10))
		expect.Expect(rig.shutdown()).To(gomega.BeZero())
	})
}

// Guards against a relayed response that looks complete although its server disconnected.
func TestTruncatedRelayedResponseIsNotComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		rig := newRig(t, 16<<10, func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.Copy(writer, bodyOfLength(megabyte))
			panic(http.ErrAbortHandler)
		})
		result := rig.do(rig.request(0, "/ping/1", bodyOfLength(100)))
		expect.Expect(result.err).To(gomega.HaveOccurred())
		expect.Expect(rig.outcomeCount(forward.Answered)).To(gomega.BeZero())
		expect.Expect(rig.shutdown()).To(gomega.BeZero())
	})
}

// Guards against a node that buffers the stream of a slow reader, and against a stream that is moved away from its
// group as stalled because the caller is not reading it.
func TestSlowStreamReaderAppliesBackpressure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		written, runs := atomic.Int64{}, atomic.Int32{}
		rig := newRig(t, megabyte, func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			runs.Add(1)
			for id := range 1000 {
				n, _ := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 1000))
				written.Add(int64(n))
				_ = http.NewResponseController(writer).Flush()
			}
		})
		watching, stop := context.WithCancel(context.Background())
		watch := conc.WaitGroup{}
		stalled := atomic.Int32{}
		watch.Go(func() {
			for watching.Err() == nil {
				stalled.Add(int32(len(rig.board.WatchGroups())))
				time.Sleep(20 * time.Millisecond)
			}
		})
		conn, err := rig.network.Dialer("caller")(context.Background(), "tcp", nodeAddress)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		_, _ = io.WriteString(conn, "POST /draft/1 HTTP/1.1\r\nHost: h.example\r\nId: a\r\nKey: key-0\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(4 * time.Second)
		expect.Expect(written.Load()).To(gomega.BeNumerically("<", 32<<10))
		held, peak, _ := rig.memory.Totals()
		expect.Expect(held).To(gomega.BeNumerically(">", 0), "the pending buffer is reserved")
		expect.Expect(peak).To(gomega.BeNumerically("<", 32<<10))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(strings.Count(string(body), "id: ")).To(gomega.Equal(1000))
		expect.Expect(runs.Load()).To(gomega.Equal(int32(1)))
		expect.Expect(stalled.Load()).To(gomega.BeZero(), "the group is not stalled")
		conn.Close()
		stop()
		watch.Wait()
		expect.Expect(rig.shutdown()).To(gomega.BeZero())
	})
}

// Guards against a hung caller that keeps its slot at a server after the call has timed out.
func TestHungCallerFreesSlotAtTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		ended := make(chan struct{})
		rig := newRig(t, megabyte, func(writer http.ResponseWriter, request *http.Request) {
			defer close(ended)
			_, _ = io.Copy(io.Discard, request.Body)
			for id := 0; request.Context().Err() == nil; id++ {
				if _, err := fmt.Fprintf(writer, "id: %d\ndata: x\n\n", id); err != nil {
					return
				}
				_ = http.NewResponseController(writer).Flush()
			}
		})
		conn, err := rig.network.Dialer("caller")(context.Background(), "tcp", nodeAddress)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		_, _ = io.WriteString(conn, "POST /draft/1 HTTP/1.1\r\nHost: h.example\r\nId: a\r\nKey: key-0\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(routeTimeout - 100*time.Millisecond)
		taken := func() int { return rig.board.State()[forward.PoolName("writers", "m")][0].Mine }
		expect.Expect(taken()).To(gomega.Equal(1))
		time.Sleep(200 * time.Millisecond)
		expect.Expect(taken()).To(gomega.BeZero())
		<-ended
		conn.Close()
		expect.Expect(rig.shutdown()).To(gomega.BeZero())
	})
}

// Guards against memory that stays reserved, or a slot that stays taken, whichever side disconnects and whenever.
func TestRandomEndsLeaveNothingHeld(t *testing.T) {
	for round := range suite.Rounds(4) {
		seed := suite.Seed() + uint64(round)
		synctest.Test(t, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			draws := make(chan int, 1)
			source := rand.New(rand.NewPCG(seed, 190))
			draws <- 0
			draw := func(limit int) int {
				<-draws
				defer func() { draws <- 0 }()
				return source.IntN(limit)
			}
			const budget = 2 * megabyte
			rig := newRig(t, budget, func(writer http.ResponseWriter, request *http.Request) {
				randomServer(draw, writer, request)
			})
			calls := conc.WaitGroup{}
			for range 300 {
				workspace, path := draw(workspaces), []string{"/ping/1", "/book/1", "/draft/1"}[draw(3)]
				body := bodyOfLength(draw(200 << 10))
				if draw(2) == 0 {
					body = withoutLength(body)
				}
				ctx, cancel := context.WithCancel(context.Background())
				if draw(3) == 0 {
					time.AfterFunc(time.Duration(draw(400))*time.Millisecond, cancel)
				}
				calls.Go(func() {
					defer cancel()
					rig.do(rig.request(workspace, path, body).WithContext(ctx))
				})
				time.Sleep(time.Duration(draw(20)) * time.Millisecond)
			}
			calls.Wait()
			held := rig.shutdown()
			_, _, refused := rig.memory.Totals()
			expect.Expect(held).To(gomega.BeZero(), "HAZELSLIP_SEED %d", seed)
			expect.Expect(refused).NotTo(gomega.BeZero())
			for pool, targets := range rig.board.State() {
				expect.Expect(targets[0].Mine).To(gomega.BeZero(), "HAZELSLIP_SEED %d, pool %s", seed, pool)
			}
		})
	}
}

// randomServer responds, fails or disconnects at a random point.
func randomServer(draw func(limit int) int, writer http.ResponseWriter, request *http.Request) {
	if draw(6) == 0 {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(io.Discard, request.Body)
	time.Sleep(time.Duration(draw(300)) * time.Millisecond)
	if draw(4) == 0 {
		writer.WriteHeader(http.StatusInternalServerError)
	}
	for id := range 1 + draw(20) {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", draw(40<<10))); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(time.Duration(draw(60)) * time.Millisecond)
		if draw(30) == 0 {
			panic(http.ErrAbortHandler)
		}
	}
}
