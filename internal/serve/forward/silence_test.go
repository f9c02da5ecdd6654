package forward_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/serve/forward"
)

// streamRig is a rig with several groups. The n-th run of a request behaves as the n-th script says, whatever group
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

// watchInterval is how often the rig checks its groups, as a node does.
const watchInterval = 40 * time.Millisecond

// withStreams calls check with a rig of several groups.
func withStreams(t *testing.T, groups int, scripts []func(run *run), check func(expect *gomega.WithT, rig *streamRig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rig := &streamRig{scripts: scripts, stopped: make(chan struct{})}
		rig.rig = newRig(t, 0, func(http.ResponseWriter, *http.Request) {})
		rig.setGroups(t, groups)
		rig.watching.Go(rig.watch)
		check(gomega.NewWithT(t), rig)
		close(rig.stopped)
		rig.watching.Wait()
		rig.shutdown()
	})
}

func (streamRig *streamRig) setGroups(t *testing.T, groups int) {
	specs := []dispatch.Spec{}
	for number := range groups {
		address := fmt.Sprintf("group-%d:1", number)
		streamRig.serve(t, address, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { streamRig.serveRun(writer, request, address) }))
		specs = append(specs, dispatch.Spec{ID: fmt.Sprintf("s-%d", number), Group: fmt.Sprintf("g-%d", number), Address: address, Slots: 8, PassTime: 40 * time.Millisecond})
	}
	streamRig.board.Update(map[string][]dispatch.Spec{forward.PoolName("writers", "m"): specs})
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

// draft sends a stream request.
func (streamRig *streamRig) draft() callResult {
	return streamRig.do(streamRig.request(0, "/draft/1", bodyOfLength(10)))
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
