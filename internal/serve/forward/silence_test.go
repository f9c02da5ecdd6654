package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/fleet/detour"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/serve/forward"
	"hazelslip/internal/state/configuration"
)

// streamRig is a rig with several groups, whose servers also take plain calls. The n-th run of a request behaves as the n-th script says, whatever group
// it runs at.
type streamRig struct {
	*rig
	scripts  []func(run *run)
	watching conc.WaitGroup
	stopped  chan struct{}

	mu   sync.Mutex
	runs []*run
}

// run is a stream at one server.
type run struct {
	writer  http.ResponseWriter
	request *http.Request
	// server is the address of the server, next the number of the next event.
	server string
	next   int
	// startedAt is when the run began, endedAt when its script ended, the zero time while it goes on.
	startedAt, endedAt time.Time
}

// streamMemory is the memory budget of the rig, which suffices for every test.
const streamMemory = 64 << 20

// watchInterval is how often the rig checks its groups, as a node does.
const watchInterval = 40 * time.Millisecond

// withStreams calls check with a rig of several groups.
func withStreams(t *testing.T, groups int, scripts []func(run *run), check func(expect *gomega.WithT, rig *streamRig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rig := &streamRig{scripts: scripts, stopped: make(chan struct{})}
		rig.rig = newRig(t, streamMemory, func(http.ResponseWriter, *http.Request) {})
		rig.setGroups(t, groups)
		rig.watching.Go(rig.watch)
		expect := gomega.NewWithT(t)
		defer func() { expect.Expect(rig.close()).To(gomega.BeZero(), "memory is reserved after the end") }()
		check(expect, rig)
		time.Sleep(100 * time.Millisecond)
		expect.Expect(rig.openRuns()).To(gomega.BeZero(), "a run goes on after its request has ended")
	})
}

// close stops everything and returns the bytes that the memory budget still holds.
func (streamRig *streamRig) close() int64 {
	close(streamRig.stopped)
	streamRig.watching.Wait()
	return streamRig.shutdown()
}

func (streamRig *streamRig) setGroups(t *testing.T, groups int) {
	specs, plain := []dispatch.Spec{}, []dispatch.Spec{}
	for number := range groups {
		address := fmt.Sprintf("group-%d:1", number)
		streamRig.serve(t, address, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { streamRig.serveRun(writer, request, address) }))
		specs = append(specs, dispatch.Spec{ID: fmt.Sprintf("s-%d", number), Group: fmt.Sprintf("g-%d", number), Address: address, Slots: 8, PassTime: 40 * time.Millisecond})
		plain = append(plain, dispatch.Spec{ID: fmt.Sprintf("s-%d", number), Address: address, Slots: 8})
	}
	streamRig.board.Update(map[string][]dispatch.Spec{forward.PoolName("writers", "m"): specs, forward.PoolName("ledger", ""): plain})
}

func (streamRig *streamRig) watch() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-streamRig.stopped:
			return
		case <-ticker.C:
			streamRig.board.WatchGroups()
		}
	}
}

func (streamRig *streamRig) serveRun(writer http.ResponseWriter, request *http.Request, server string) {
	// The server notices that the caller has left once the body has been read.
	_, _ = io.Copy(io.Discard, request.Body)
	run := &run{writer: writer, request: request, server: server, startedAt: time.Now()}
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		run.next = last + 1
	}
	streamRig.mu.Lock()
	number := len(streamRig.runs)
	streamRig.runs = append(streamRig.runs, run)
	streamRig.mu.Unlock()
	defer func() {
		streamRig.mu.Lock()
		defer streamRig.mu.Unlock()
		run.endedAt = time.Now()
	}()
	streamRig.scripts[min(number, len(streamRig.scripts)-1)](run)
}

// runCount returns the number of runs so far.
func (streamRig *streamRig) runCount() int {
	streamRig.mu.Lock()
	defer streamRig.mu.Unlock()
	return len(streamRig.runs)
}

// openRuns returns the number of runs that go on.
func (streamRig *streamRig) openRuns() int {
	streamRig.mu.Lock()
	defer streamRig.mu.Unlock()
	open := 0
	for _, run := range streamRig.runs {
		if run.endedAt.IsZero() {
			open++
		}
	}
	return open
}

// groupOf returns the group of a run.
func (streamRig *streamRig) groupOf(number int) string {
	streamRig.mu.Lock()
	defer streamRig.mu.Unlock()
	return "g-" + strings.TrimSuffix(strings.TrimPrefix(streamRig.runs[number].server, "group-"), ":1")
}

// ended returns when a run ended, the latest possible time if it goes on.
func (streamRig *streamRig) ended(number int) time.Duration {
	streamRig.mu.Lock()
	defer streamRig.mu.Unlock()
	if run := streamRig.runs[number]; !run.endedAt.IsZero() {
		return run.endedAt.Sub(streamRig.runs[0].startedAt)
	}
	return time.Hour
}

// send sends events up to the given number, one every 40 ms.
func (run *run) send(last int) {
	for ; run.next <= last; run.next++ {
		if !run.pause(40 * time.Millisecond) {
			return
		}
		_, _ = fmt.Fprintf(run.writer, "id: %d\ndata: %d\n\n", run.next, run.next)
		_ = http.NewResponseController(run.writer).Flush()
	}
}

// pause waits, and reports whether the caller is still there.
func (run *run) pause(duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-run.request.Context().Done():
		return false
	}
}

// sends returns a script that sends all events of a stream.
func sends(last int) func(run *run) {
	return func(run *run) { run.send(last) }
}

// pauses returns a script that sends the events up to the given number, pauses, and sends the others.
func pauses(until int, duration time.Duration, last int) func(run *run) {
	return func(run *run) {
		run.send(until)
		if run.pause(duration) {
			run.send(last)
		}
	}
}

// answer is the body of a stream with events up to the given number.
func answer(last int) string {
	body := ""
	for number := range last + 1 {
		body += fmt.Sprintf("id: %d\ndata: %d\n\n", number, number)
	}
	return body
}

// fingerprint returns the fingerprint of the requests that draft sends.
func (streamRig *streamRig) fingerprint() quarantine.Fingerprint {
	body, _ := io.ReadAll(bodyOfLength(10))
	return quarantine.NewFingerprint(quarantine.Request{Workspace: "workspace-0", Method: http.MethodPost, Host: "h.example", Target: "/draft/1", Body: body})
}

// setAttempts sets how many servers a request may be sent to.
func (streamRig *streamRig) setAttempts(attempts int) {
	offerVersion(streamRig.table, 2, func(configured *configuration.Configuration) {
		for number := range configured.Routes {
			configured.Routes[number].MaxAttempts = attempts
		}
	})
}

// draft sends a stream request.
func (streamRig *streamRig) draft() callResult {
	return streamRig.do(streamRig.request(0, "/draft/1", bodyOfLength(10)))
}

// refuses is a script that refuses the call without running it.
func refuses(run *run) {
	run.writer.Header().Set("Not-Run", "true")
	run.writer.WriteHeader(http.StatusServiceUnavailable)
}

// fails is a script that responds with an error.
func fails(run *run) {
	run.writer.WriteHeader(http.StatusInternalServerError)
}

// breaks returns a script that sends the events up to the given number, pauses, and closes the connection.
func breaks(until int, after time.Duration) func(run *run) {
	return func(run *run) {
		run.send(until)
		run.pause(after)
		panic(http.ErrAbortHandler)
	}
}

// waits returns a script that pauses and then sends all events.
func waits(duration time.Duration, last int) func(run *run) {
	return pauses(-1, duration, last)
}

// lastEvent is the number of the last event of the streams.
const lastEvent = 9

// expectAnswer sends a stream request and expects the complete answer from the given number of runs.
func (streamRig *streamRig) expectAnswer(expect *gomega.WithT, runs int) callResult {
	result := streamRig.draft()
	time.Sleep(time.Millisecond)
	expect.Expect(result.err).NotTo(gomega.HaveOccurred())
	expect.Expect(result.body).To(gomega.Equal(answer(lastEvent)))
	expect.Expect(streamRig.runCount()).To(gomega.Equal(runs))
	return result
}

// Guards against answers that are cut because a sound server is silent for some seconds and there is no other place for
// the request: no other group, no attempt left, no retry allowed, or a request that must not run twice.
func TestSilentRunGoesOnWithoutAnotherPlace(t *testing.T) {
	for _, silence := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second} {
		silent := pauses(3, silence, lastEvent)
		withStreams(t, 1, []func(run *run){silent}, func(expect *gomega.WithT, rig *streamRig) { rig.expectAnswer(expect, 1) })
		withStreams(t, 3, []func(run *run){breaks(1, 0), silent}, func(expect *gomega.WithT, rig *streamRig) { rig.expectAnswer(expect, 2) })
		withStreams(t, 3, []func(run *run){silent}, func(expect *gomega.WithT, rig *streamRig) {
			rig.watching.Go(func() {
				// The request itself adds to the allowance.
				time.Sleep(time.Millisecond)
				for rig.window.TryWithdraw() {
				}
			})
			rig.expectAnswer(expect, 1)
		})
		withStreams(t, 3, []func(run *run){silent}, func(expect *gomega.WithT, rig *streamRig) {
			offerVersion(rig.table, 2, func(configured *configuration.Configuration) {
				for number := range configured.Routes {
					configured.Routes[number].Resumable = false
				}
			})
			rig.expectAnswer(expect, 1)
		})
	}
}

// Guards against a request that waits for its first event until its server answers, but is given up although there is
// no other place for it.
func TestUnansweredRunGoesOnWithoutAnotherPlace(t *testing.T) {
	withStreams(t, 1, []func(run *run){waits(3*time.Second, lastEvent)}, func(expect *gomega.WithT, rig *streamRig) { rig.expectAnswer(expect, 1) })
	withStreams(t, 2, []func(run *run){breaks(-1, 0), waits(3*time.Second, lastEvent)}, func(expect *gomega.WithT, rig *streamRig) { rig.expectAnswer(expect, 2) })
}

// Guards against a sound run that is given up for a second one that is no better: the run that goes on first wins, and
// the second one ends.
func TestFirstRunGoesOnFirst(t *testing.T) {
	withStreams(t, 2, []func(run *run){pauses(3, 700*time.Millisecond, lastEvent), waits(time.Second, lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		rig.expectAnswer(expect, 2)
		expect.Expect(rig.ended(1) - rig.ended(0)).To(gomega.BeNumerically("<", 0))
		expect.Expect(rig.linesWith("a server failed during a request")).To(gomega.BeEmpty())
		expect.Expect(rig.linesWith("a request ended")[0]).To(gomega.And(gomega.ContainSubstring("SecondRuns=1"), gomega.ContainSubstring("Moves=[]")))
	})
}

// Guards against a stream that waits for a group that is lost: the second run takes over once it has an event, and the
// first one ends.
func TestSecondRunTakesOver(t *testing.T) {
	withStreams(t, 2, []func(run *run){pauses(3, time.Minute, lastEvent), sends(lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		rig.expectAnswer(expect, 2)
		expect.Expect(rig.ended(0) - rig.ended(1)).To(gomega.BeNumerically("<", 0))
	})
	withStreams(t, 2, []func(run *run){waits(time.Minute, lastEvent), sends(lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		rig.expectAnswer(expect, 2)
		expect.Expect(rig.ended(0) - rig.ended(1)).To(gomega.BeNumerically("<", 0))
	})
}

// Guards against a suspicion that ends with one failed second run: servers that refuse the request leave its attempts,
// and the next group takes it.
func TestRefusedSecondRunIsFollowedByAnother(t *testing.T) {
	withStreams(t, 3, []func(run *run){pauses(3, time.Minute, lastEvent), refuses, sends(lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		rig.expectAnswer(expect, 3)
	})
}

// Guards against a first run that is lost together with its failed second run.
func TestFirstRunOutlivesFailedSecondRun(t *testing.T) {
	for name, second := range map[string]func(run *run){"error": fails, "break": breaks(-1, 100*time.Millisecond)} {
		withStreams(t, 3, []func(run *run){pauses(3, time.Second, lastEvent), second, sends(lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
			rig.expectAnswer(expect, 2)
			ended := rig.linesWith("a request ended")
			expect.Expect(ended).To(gomega.HaveLen(1), name)
			expect.Expect(ended[0]).To(gomega.And(gomega.ContainSubstring(`Cause=""`), gomega.ContainSubstring(" Group="+rig.groupOf(0))))
		})
	}
	empty := func(*run) {}
	withStreams(t, 3, []func(run *run){waits(2*time.Second, lastEvent), empty, sends(lastEvent)}, func(expect *gomega.WithT, rig *streamRig) { rig.expectAnswer(expect, 2) })
}

// Guards against a third run, beyond the attempts of the route, when the first run breaks while the second one is under
// way, and against an answer that is cut then.
func TestSecondRunServesWhenFirstBreaks(t *testing.T) {
	withStreams(t, 3, []func(run *run){breaks(3, 600*time.Millisecond), waits(500*time.Millisecond, lastEvent), sends(lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		rig.expectAnswer(expect, 2)
	})
	withStreams(t, 3, []func(run *run){breaks(-1, 1800*time.Millisecond), waits(500*time.Millisecond, lastEvent), sends(lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		rig.expectAnswer(expect, 2)
	})
}

// Guards against an end of the stream that is held back by a second run, and against a stream that waits for its end
// although another server says that all events have been delivered.
func TestStreamEndsAfterSilence(t *testing.T) {
	silentEnd := func(run *run) {
		run.send(lastEvent)
		run.pause(time.Second)
	}
	withStreams(t, 2, []func(run *run){silentEnd, waits(time.Minute, lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		expect.Expect(rig.expectAnswer(expect, 2).duration).To(gomega.BeNumerically("<", 1500*time.Millisecond))
	})
	withStreams(t, 2, []func(run *run){silentEnd, sends(lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		expect.Expect(rig.expectAnswer(expect, 2).duration).To(gomega.BeNumerically("<", time.Second))
	})
}

// Guards against a third run, beyond the attempts of the route, after the second run was ended because the first went
// on: the second server may have begun to work, whether or not it has sent a head.
func TestEndedSecondRunCountsAsAttempt(t *testing.T) {
	first := func(run *run) {
		run.send(3)
		run.pause(700 * time.Millisecond)
		run.send(6)
		panic(http.ErrAbortHandler)
	}
	for _, second := range []func(run *run){waits(time.Minute, lastEvent), func(run *run) {
		_ = http.NewResponseController(run.writer).Flush()
		run.pause(time.Minute)
	}} {
		withStreams(t, 3, []func(run *run){first, second, sends(lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
			result := rig.draft()
			expect.Expect(result.err).To(gomega.HaveOccurred())
			expect.Expect(result.body).To(gomega.Equal(answer(6)))
			expect.Expect(rig.runCount()).To(gomega.Equal(2))
		})
	}
}

// Guards against a second run of a stream whose events have no IDs: no server can go on after the last one.
func TestStreamWithoutEventIDsRunsOnce(t *testing.T) {
	script := func(run *run) {
		for range 3 {
			_, _ = io.WriteString(run.writer, "data: x\n\n")
			_ = http.NewResponseController(run.writer).Flush()
			run.pause(time.Second)
		}
	}
	withStreams(t, 3, []func(run *run){script}, func(expect *gomega.WithT, rig *streamRig) {
		result := rig.draft()
		expect.Expect(result.err).NotTo(gomega.HaveOccurred())
		expect.Expect(result.body).To(gomega.Equal(strings.Repeat("data: x\n\n", 3)))
		expect.Expect(rig.runCount()).To(gomega.Equal(1))
	})
}

// Guards against a stall that is not counted when the loss of its group is confirmed while the run is still open, and
// against one that counts twice.
func TestSilentRunIsRecordedAsStall(t *testing.T) {
	for _, confirmedAt := range []time.Duration{300 * time.Millisecond, time.Second} {
		withStreams(t, 1, []func(run *run){pauses(3, 2*time.Second, lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
			confirmed := atomic.Int64{}
			rig.watching.Go(func() {
				time.Sleep(160*time.Millisecond + confirmedAt)
				confirmed.Store(int64(len(rig.list.ConfirmGroupLoss(rig.groupOf(0)))))
			})
			rig.expectAnswer(expect, 1)
			if confirmedAt < 400*time.Millisecond {
				expect.Expect(confirmed.Load()).To(gomega.BeZero(), "the group is not suspected yet")
			} else {
				expect.Expect(confirmed.Load()).To(gomega.Equal(int64(1)))
			}
		})
	}
}

// Guards against silent runs that fill the list of stalls: each is recorded once.
func TestSilentRunIsRecordedAsOneStall(t *testing.T) {
	withStreams(t, 1, []func(run *run){pauses(3, 4500*time.Millisecond, lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		streams := conc.WaitGroup{}
		for range 8 {
			streams.Go(func() { rig.draft() })
		}
		time.Sleep(4500 * time.Millisecond)
		rig.list.RecordStall(quarantine.Subject{Fingerprint: 1}, "other", "run")
		expect.Expect(rig.list.ConfirmGroupLoss("other")).To(gomega.HaveLen(1))
		streams.Wait()
	})
}

// Guards against a second run of a request that makes servers fail, and against the first run of such a request that is
// lost with the second one, which is cancelled before its first event.
func TestQuarantinedRequestHasNoSecondRun(t *testing.T) {
	for _, at := range []time.Duration{100 * time.Millisecond, 800 * time.Millisecond} {
		withStreams(t, 3, []func(run *run){pauses(3, 2*time.Second, lastEvent), waits(time.Minute, lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
			rig.watching.Go(func() {
				time.Sleep(at)
				fingerprint := rig.fingerprint()
				rig.list.Quarantine(fingerprint)
				rig.board.CancelUnanswered(uint64(fingerprint))
			})
			runs := 1
			if at > 600*time.Millisecond {
				runs = 2
			}
			rig.expectAnswer(expect, runs)
		})
	}
}

// Guards against a server that is risked for a request without an event, one of whose prompt parts is quarantined after
// one more failure.
func TestNearlyQuarantinedPartHasNoSecondRun(t *testing.T) {
	for until, runs := range map[int]int{-1: 1, 3: 2} {
		withStreams(t, 3, []func(run *run){pauses(until, 2*time.Second, lastEvent), waits(time.Minute, lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
			part := quarantine.Subject{Fingerprint: quarantine.NewPartFingerprint("p"), Part: true}
			rig.list.RecordFailure(part, "run-1")
			rig.list.RecordFailure(part, "run-2")
			request := rig.request(0, "/draft/1", bodyOfLength(10))
			request.Header.Set("Part", "p")
			result := rig.do(request)
			expect.Expect(result.err).NotTo(gomega.HaveOccurred())
			expect.Expect(result.body).To(gomega.Equal(answer(lastEvent)))
			expect.Expect(rig.runCount()).To(gomega.Equal(runs))
		})
	}
}

// Guards against answers that are cut because the group of their last run was announced lost before its first event: the
// caller has a part of the answer, and the group may be sound.
func TestLastRunAtLostGroupGoesOn(t *testing.T) {
	loseGroupOfSecond := func(rig *streamRig, at time.Duration) {
		rig.watching.Go(func() {
			time.Sleep(at)
			rig.board.MarkGroupLost(rig.groupOf(1))
		})
	}
	withStreams(t, 3, []func(run *run){breaks(3, 0), waits(2*time.Second, lastEvent), sends(lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		loseGroupOfSecond(rig, 300*time.Millisecond)
		rig.expectAnswer(expect, 2)
	})
	withStreams(t, 3, []func(run *run){breaks(3, time.Second), waits(2*time.Second, lastEvent), sends(lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		loseGroupOfSecond(rig, 800*time.Millisecond)
		rig.expectAnswer(expect, 2)
	})
	// A third attempt is left: the one that can't run is given up for it.
	withStreams(t, 3, []func(run *run){breaks(3, 0), waits(time.Minute, lastEvent), sends(lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		rig.setAttempts(3)
		loseGroupOfSecond(rig, 300*time.Millisecond)
		expect.Expect(rig.expectAnswer(expect, 3).duration).To(gomega.BeNumerically("<", time.Second))
	})
	withStreams(t, 3, []func(run *run){pauses(3, time.Minute, lastEvent), waits(time.Minute, lastEvent), sends(lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		rig.setAttempts(3)
		loseGroupOfSecond(rig, 800*time.Millisecond)
		expect.Expect(rig.expectAnswer(expect, 3).duration).To(gomega.BeNumerically("<", 2*time.Second))
	})
}

// Guards against an answer that is cut because its group broke off while the other groups are silent: they may be sound,
// and the caller has a part of the answer.
func TestBrokenStreamGoesOnAtSilentGroup(t *testing.T) {
	withStreams(t, 2, []func(run *run){breaks(1, 0), pauses(3, 2500*time.Millisecond, lastEvent), breaks(3, 0), sends(lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		silent := conc.WaitGroup{}
		silent.Go(func() {
			result := rig.draft()
			expect.Expect(result.body).To(gomega.Equal(answer(lastEvent)))
		})
		time.Sleep(600 * time.Millisecond)
		expect.Expect(rig.runCount()).To(gomega.Equal(2))
		rig.expectAnswer(expect, 4)
		silent.Wait()
	})
}

// Guards against runs that go on after the caller has left while both were open.
func TestBothRunsEndWhenCallerLeaves(t *testing.T) {
	withStreams(t, 2, []func(run *run){pauses(3, time.Minute, lastEvent), waits(time.Minute, lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		expect.Expect(rig.do(rig.request(0, "/draft/1", bodyOfLength(10)).WithContext(ctx)).err).To(gomega.HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		expect.Expect(rig.runCount()).To(gomega.Equal(2))
		expect.Expect(rig.openRuns()).To(gomega.BeZero())
	})
}

// Guards against runs that go on after the route's timeout while both were open.
func TestBothRunsEndAtDeadline(t *testing.T) {
	withStreams(t, 2, []func(run *run){pauses(3, time.Minute, lastEvent), waits(time.Minute, lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		result := rig.draft()
		expect.Expect(result.err).To(gomega.HaveOccurred())
		expect.Expect(result.body).To(gomega.Equal(answer(3)))
		expect.Expect(result.duration).To(gomega.BeNumerically("~", routeTimeout, 100*time.Millisecond))
		expect.Expect(rig.runCount()).To(gomega.Equal(2))
	})
}

// Guards against a begun answer that is cut before the caller's time is over.
func TestBegunAnswerHasAllOfTheCallersTime(t *testing.T) {
	withStreams(t, 1, []func(run *run){pauses(3, 1790*time.Millisecond, 4)}, func(expect *gomega.WithT, rig *streamRig) {
		request := rig.request(0, "/draft/1", bodyOfLength(10))
		request.Header.Set("Left", "2000")
		result := rig.do(request)
		expect.Expect(result.err).NotTo(gomega.HaveOccurred())
		expect.Expect(result.body).To(gomega.Equal(answer(4)))
		expect.Expect(result.duration).To(gomega.BeNumerically("~", 1990*time.Millisecond, time.Millisecond))
	})
}

// Guards against events of two servers that are joined out of order or delivered twice, when both runs go on at about
// the same time.
func TestRunsAreNeverJoined(t *testing.T) {
	for first := 400 * time.Millisecond; first <= 640*time.Millisecond; first += 20 * time.Millisecond {
		for second := time.Duration(0); second <= 100*time.Millisecond; second += 20 * time.Millisecond {
			withStreams(t, 2, []func(run *run){pauses(3, first, lastEvent), waits(second, lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
				result := rig.draft()
				expect.Expect(result.err).NotTo(gomega.HaveOccurred())
				expect.Expect(result.body).To(gomega.Equal(answer(lastEvent)), "silent for %v and %v", first, second)
				expect.Expect(rig.runCount()).To(gomega.BeNumerically("<=", 2))
			})
		}
	}
}

// Guards against answers that are cut because a sound group was announced lost: its streams look for another group and
// stay until that one goes on.
func TestStreamsOfLostGroupStayUntilAnotherGoesOn(t *testing.T) {
	lose := func(rig *streamRig) {
		rig.watching.Go(func() {
			time.Sleep(170 * time.Millisecond)
			rig.board.MarkGroupLost(rig.groupOf(0))
		})
	}
	withStreams(t, 1, []func(run *run){pauses(3, time.Second, lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		lose(rig)
		rig.expectAnswer(expect, 1)
	})
	withStreams(t, 2, []func(run *run){pauses(3, time.Minute, lastEvent), sends(lastEvent)}, func(expect *gomega.WithT, rig *streamRig) {
		lose(rig)
		result := rig.draft()
		expect.Expect(result.err).NotTo(gomega.HaveOccurred())
		expect.Expect(result.body).To(gomega.Equal(answer(lastEvent)))
		expect.Expect(result.duration).To(gomega.BeNumerically("<", time.Second))
	})
}

// Guards against operators who can't tell why a run was given up: for the silence of its group, a lost group, a lost
// path, an unreachable data centre or a silent node.
func TestGivenUpRunIsLoggedWithReason(t *testing.T) {
	withStreams(t, 2, []func(run *run){pauses(3, time.Minute, 9), sends(9)}, func(expect *gomega.WithT, rig *streamRig) {
		result := rig.draft()
		expect.Expect(result.err).NotTo(gomega.HaveOccurred())
		expect.Expect(result.body).To(gomega.Equal(answer(9)))
		failed := rig.linesWith("a server failed during a request")
		expect.Expect(failed).To(gomega.HaveLen(1))
		expect.Expect(failed[0]).To(gomega.ContainSubstring("StoodStill=true GivenUpFor=GroupSilent SilentMilliseconds=4"))
		ended := rig.linesWith("a request ended")
		expect.Expect(ended).To(gomega.HaveLen(1))
		expect.Expect(ended[0]).To(gomega.MatchRegexp(`Moves="\[\{Server:s-\d Group:g-\d Reason:GroupSilent SilentMilliseconds:4\d\d Next:s-\d\}\]"`))
	})
}

// watchPeers checks the peer nodes of the first node, and the groups of the second, as nodes do.
func (nodePair *nodePair) watchPeers(stopped chan struct{}) {
	for ticker := time.NewTicker(watchInterval); ; {
		select {
		case <-stopped:
			ticker.Stop()
			return
		case <-ticker.C:
			nodePair.peers.Stalled(1500*time.Millisecond, 1800*time.Millisecond)
			nodePair.board.WatchGroups()
		}
	}
}

// withWatchedPair is withNodePair with a watch over the peer nodes and the groups.
func withWatchedPair(t *testing.T, script func(run *run), check func(expect *gomega.WithT, pair *nodePair)) {
	t.Helper()
	withNodePair(t, func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		script(&run{writer: writer, request: request})
	}, func(expect *gomega.WithT, pair *nodePair) {
		watching, stopped := conc.WaitGroup{}, make(chan struct{})
		watching.Go(func() { pair.watchPeers(stopped) })
		defer watching.Wait()
		defer close(stopped)
		check(expect, pair)
	})
}

// Guards against streams and calls through a peer node that are cut because their server is silent for some seconds,
// although there is no other node to send them through.
func TestRequestThroughSilentPeerGoesOn(t *testing.T) {
	withWatchedPair(t, pauses(3, 3*time.Second, lastEvent), func(expect *gomega.WithT, pair *nodePair) {
		result := pair.sendThroughFirst("/draft/1", nil)
		expect.Expect(result.err).NotTo(gomega.HaveOccurred())
		expect.Expect(result.body).To(gomega.Equal(answer(lastEvent)))
	})
	withWatchedPair(t, waits(3*time.Second, lastEvent), func(expect *gomega.WithT, pair *nodePair) {
		result := pair.sendThroughFirst("/book/1", nil)
		expect.Expect(result.status).To(gomega.Equal(http.StatusOK))
		expect.Expect(result.body).To(gomega.Equal(answer(lastEvent)))
	})
}

// Guards against streams that wait for a frozen peer node although another one accepts them.
func TestStreamLeavesFrozenPeer(t *testing.T) {
	withWatchedPair(t, sends(lastEvent), func(expect *gomega.WithT, pair *nodePair) {
		left := make(chan struct{})
		pair.serve(t, "frozen:1", http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			defer close(left)
			_, _ = io.Copy(io.Discard, request.Body)
			<-request.Context().Done()
		}))
		pair.peers.RecordReport(detour.Node{Address: "frozen:1"})
		time.AfterFunc(time.Second, func() { pair.peers.RecordReport(detour.Node{Address: detourAddress}) })
		request := pair.request(0, "/draft/1", bodyOfLength(10))
		request.URL.Host = firstAddress
		result := pair.do(request)
		expect.Expect(result.err).NotTo(gomega.HaveOccurred())
		expect.Expect(result.body).To(gomega.Equal(answer(lastEvent)))
		expect.Expect(result.duration).To(gomega.BeNumerically("<", 3*time.Second))
		<-left
	})
}

// Guards against more runs than the route allows, when the second run goes through a peer node that does not know of the
// first.
func TestPeerCountsTheOpenRun(t *testing.T) {
	runs := 0
	withWatchedPair(t, func(run *run) {
		runs++
		breaks(-1, 0)(run)
	}, func(expect *gomega.WithT, pair *nodePair) {
		pair.board.Update(map[string][]dispatch.Spec{forward.PoolName("writers", "m"): {
			{ID: "s", Group: "g", Address: serverAddress, Slots: 9}, {ID: "t", Group: "h", Address: serverAddress, Slots: 9}, {ID: "u", Group: "i", Address: serverAddress, Slots: 9},
		}})
		pair.serve(t, "frozen:1", http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			<-request.Context().Done()
		}))
		pair.peers.RecordReport(detour.Node{Address: "frozen:1"})
		time.AfterFunc(time.Second, func() { pair.peers.RecordReport(detour.Node{Address: detourAddress}) })
		request := pair.request(0, "/draft/1", bodyOfLength(10))
		request.URL.Host = firstAddress
		pair.do(request)
		expect.Expect(runs).To(gomega.Equal(1))
	})
}

// Guards against a request that is refused because the peer node of its first run refuses it, although a second run is
// under way.
func TestSecondRunOutlivesRefusalOfPeer(t *testing.T) {
	withWatchedPair(t, waits(time.Second, lastEvent), func(expect *gomega.WithT, pair *nodePair) {
		pair.serve(t, "refusing:1", http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			time.Sleep(2200 * time.Millisecond)
			writer.Header().Set("Hazelslip-Detour", "Result=NotRun&ConfigurationVersion=1&Arrivals=0&Runs=0&Outcome=Full")
			writer.WriteHeader(http.StatusServiceUnavailable)
		}))
		pair.peers.RecordReport(detour.Node{Address: "refusing:1"})
		time.AfterFunc(time.Second, func() { pair.peers.RecordReport(detour.Node{Address: detourAddress}) })
		request := pair.request(0, "/draft/1", bodyOfLength(10))
		request.URL.Host = firstAddress
		result := pair.do(request)
		expect.Expect(result.err).NotTo(gomega.HaveOccurred())
		expect.Expect(result.status).To(gomega.Equal(http.StatusOK))
		expect.Expect(result.body).To(gomega.Equal(answer(lastEvent)))
	})
}

// Guards against a peer node that is avoided because a second run through it was ended in favour of the first one.
func TestPeerOfEndedSecondRunIsNotAvoided(t *testing.T) {
	withWatchedPair(t, waits(2500*time.Millisecond, lastEvent), func(expect *gomega.WithT, pair *nodePair) {
		left := make(chan struct{})
		pair.serve(t, "second:1", http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			defer close(left)
			_, _ = io.Copy(io.Discard, request.Body)
			<-request.Context().Done()
		}))
		time.AfterFunc(time.Second, func() { pair.peers.RecordReport(detour.Node{Address: "second:1"}) })
		result := pair.sendThroughFirst("/draft/1", nil)
		expect.Expect(result.err).NotTo(gomega.HaveOccurred())
		expect.Expect(result.body).To(gomega.Equal(answer(lastEvent)))
		<-left
		pair.peers.RecordReport(detour.Node{Address: "second:1"})
		_, found := pair.peers.Choose("writers", pair.paths.LostDestinations(true), []string{detourAddress})
		expect.Expect(found).To(gomega.BeTrue())
	})
}
