package forward_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/serve/forward"
)

// answers returns a script that responds after a pause.
func answers(status int, pause time.Duration, body string) func(run *run) {
	return func(run *run) {
		if run.pause(pause) {
			run.writer.WriteHeader(status)
			_, _ = io.WriteString(run.writer, body)
		}
	}
}

// expectCall sends an idempotent call and expects a response from the given number of runs.
func (streamRig *streamRig) expectCall(expect *gomega.WithT, body string, runs int) callResult {
	result := streamRig.do(streamRig.request(0, "/ping/1", bodyOfLength(10)))
	time.Sleep(time.Millisecond)
	expect.Expect(result.err).NotTo(gomega.HaveOccurred())
	expect.Expect(result.status).To(gomega.Equal(http.StatusOK))
	expect.Expect(len(result.body)).To(gomega.Equal(len(body)))
	expect.Expect(result.body == body).To(gomega.BeTrue())
	expect.Expect(streamRig.runCount()).To(gomega.Equal(runs))
	return result
}

// Guards against slow calls that are given up although there is no other place for them: no other server, no attempt
// left, or no retry allowed.
func TestSlowCallGoesOnWithoutAnotherPlace(t *testing.T) {
	slow := answers(http.StatusOK, 3*time.Second, "first")
	withStreams(t, 1, []func(run *run){slow}, func(expect *gomega.WithT, rig *streamRig) { rig.expectCall(expect, "first", 1) })
	withStreams(t, 3, []func(run *run){breaks(-1, 0), slow}, func(expect *gomega.WithT, rig *streamRig) { rig.expectCall(expect, "first", 2) })
	withStreams(t, 3, []func(run *run){slow}, func(expect *gomega.WithT, rig *streamRig) {
		rig.watching.Go(func() {
			// The request itself adds to the allowance.
			time.Sleep(time.Millisecond)
			for rig.window.TryWithdraw() {
			}
		})
		rig.expectCall(expect, "first", 1)
	})
}

// Guards against calls that wait for a server that lost power, and against a second server whose response is cut off
// because it does not fit into the buffer.
func TestSecondCallAnswers(t *testing.T) {
	for _, body := range []string{"second", strings.Repeat("x", 9<<20)} {
		withStreams(t, 2, []func(run *run){answers(http.StatusOK, time.Minute, "first"), answers(http.StatusOK, 100*time.Millisecond, body)}, func(expect *gomega.WithT, rig *streamRig) {
			result := rig.expectCall(expect, body, 2)
			expect.Expect(result.duration).To(gomega.BeNumerically("<", 2*time.Second))
			expect.Expect(rig.linesWith("a request ended")[0]).To(gomega.MatchRegexp(`Moves="\[\{Server:s-\d Group: Reason:CallSlow SilentMilliseconds:1\d\d\d Next:s-\d\}\]"`))
			expect.Expect(rig.linesWith("a server failed during a request")).To(gomega.BeEmpty())
		})
	}
}

// Guards against the answer of a slow server that is dropped for a second one that is no better: it is slower, it fails,
// or it refuses the call.
func TestFirstCallAnswersFirst(t *testing.T) {
	for name, second := range map[string]func(run *run){
		"slower": answers(http.StatusOK, 2*time.Second, "second"), "fails": fails, "breaks": breaks(-1, 50*time.Millisecond), "cut": func(run *run) {
			run.writer.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(run.writer, "sec")
		},
	} {
		withStreams(t, 2, []func(run *run){answers(http.StatusOK, 2*time.Second, "first"), second}, func(expect *gomega.WithT, rig *streamRig) {
			result := rig.expectCall(expect, "first", 2)
			expect.Expect(result.duration).To(gomega.BeNumerically("~", 2*time.Second, 50*time.Millisecond), name)
		})
	}
	withStreams(t, 3, []func(run *run){answers(http.StatusOK, 2*time.Second, "first"), refuses, answers(http.StatusOK, 50*time.Millisecond, "third")}, func(expect *gomega.WithT, rig *streamRig) {
		rig.expectCall(expect, "third", 3)
	})
}

// Guards against a failure of the first server that is returned although a second one is about to answer, and against a
// failure that is lost when the second one fails, too.
func TestSecondCallAnswersWhenFirstFails(t *testing.T) {
	first := answers(http.StatusInternalServerError, 1600*time.Millisecond, "failed")
	withStreams(t, 2, []func(run *run){first, answers(http.StatusOK, 300*time.Millisecond, "second")}, func(expect *gomega.WithT, rig *streamRig) {
		rig.expectCall(expect, "second", 2)
	})
	withStreams(t, 2, []func(run *run){first, breaks(-1, 300*time.Millisecond)}, func(expect *gomega.WithT, rig *streamRig) {
		result := rig.do(rig.request(0, "/ping/1", bodyOfLength(10)))
		expect.Expect(result.status).To(gomega.Equal(http.StatusInternalServerError))
		expect.Expect(result.body).To(gomega.Equal("failed"))
	})
}

// Guards against a call that must not run twice and does, and against calls that go on at two servers after their caller
// has left.
func TestSlowCallsEndWithTheirCallers(t *testing.T) {
	never := answers(http.StatusOK, time.Minute, "")
	for path, runs := range map[string]int{"/book/1": 1, "/ping/1": 2} {
		withStreams(t, 3, []func(run *run){never}, func(expect *gomega.WithT, rig *streamRig) {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			expect.Expect(rig.do(rig.request(0, path, bodyOfLength(10)).WithContext(ctx)).err).To(gomega.HaveOccurred())
			time.Sleep(20 * time.Millisecond)
			expect.Expect(rig.runCount()).To(gomega.Equal(runs))
			expect.Expect(rig.openRuns()).To(gomega.BeZero())
		})
	}
}

// Guards against servers that lost power or the path to them, and that are found only when their callers' time is up,
// because no call may be sent twice.
func TestSlowServersAreRecordedWithoutASecondCall(t *testing.T) {
	withStreams(t, 3, []func(run *run){answers(http.StatusOK, 4*time.Second, "late")}, func(expect *gomega.WithT, rig *streamRig) {
		calls := conc.WaitGroup{}
		for range 40 {
			calls.Go(func() { rig.do(rig.request(0, "/ping/1", bodyOfLength(10))) })
		}
		time.Sleep(time.Millisecond)
		for rig.window.TryWithdraw() {
		}
		avoided := func() int {
			count := 0
			for _, target := range rig.board.State()[forward.PoolName("ledger", "")] {
				if target.Avoided {
					count++
				}
			}
			return count
		}
		time.Sleep(1400 * time.Millisecond)
		expect.Expect(avoided()).To(gomega.BeZero())
		expect.Expect(rig.board.Paths().AnyUnhealthy()).To(gomega.BeFalse())
		time.Sleep(200 * time.Millisecond)
		expect.Expect(avoided()).To(gomega.Equal(3))
		expect.Expect(rig.board.Paths().AnyUnhealthy()).To(gomega.BeTrue())
		calls.Wait()
		expect.Expect(rig.runCount()).To(gomega.Equal(40))
		expect.Expect(rig.outcomeCount(forward.Answered)).To(gomega.Equal(40))
	})
}

// Guards against a second server that works on while the caller slowly reads the first server's response, and against a
// second server's response that takes no part of the memory budget while the caller reads it.
func TestSecondCallAndSlowCaller(t *testing.T) {
	body := strings.Repeat("x", 3<<20)
	for name, scripts := range map[string][]func(run *run){
		"first":  {answers(http.StatusOK, 2*time.Second, body), answers(http.StatusOK, time.Minute, "")},
		"second": {answers(http.StatusOK, time.Minute, ""), answers(http.StatusOK, time.Second, body)},
	} {
		withStreams(t, 2, scripts, func(expect *gomega.WithT, rig *streamRig) {
			response, err := rig.callers.Do(rig.request(0, "/ping/1", bodyOfLength(10)))
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			defer response.Body.Close()
			time.Sleep(100 * time.Millisecond)
			expect.Expect(rig.runCount()).To(gomega.Equal(2))
			expect.Expect(rig.openRuns()).To(gomega.BeZero(), name)
			held, _, _ := rig.memory.Totals()
			expect.Expect(held).To(gomega.BeNumerically(">=", len(body)), name)
			read, err := io.ReadAll(response.Body)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(string(read) == body).To(gomega.BeTrue(), name)
		})
	}
}

// Guards against a long answer that is cut because a second call answers while it is relayed.
func TestRelayedFirstCallOutlivesSecondCall(t *testing.T) {
	long := strings.Repeat("x", 9<<20)
	first := func(run *run) {
		if run.pause(1600 * time.Millisecond) {
			_, _ = io.WriteString(run.writer, long)
			_ = http.NewResponseController(run.writer).Flush()
		}
		if run.pause(time.Second) {
			_, _ = io.WriteString(run.writer, "end")
		}
	}
	withStreams(t, 2, []func(run *run){first, answers(http.StatusOK, 500*time.Millisecond, "second")}, func(expect *gomega.WithT, rig *streamRig) {
		rig.expectCall(expect, long+"end", 2)
	})
}
