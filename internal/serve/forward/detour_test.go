package forward_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/fleet/detour"
	"hazelslip/internal/peer/backendserver"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/policy/reach"
	"hazelslip/internal/policy/retry"
	"hazelslip/internal/serve/forward"
	"hazelslip/internal/state/configuration"
)

// pair is two nodes: callers come to the first, which reaches no server; the second may.
type pair struct {
	*rig
	ways *reach.Ways
	// own is the first node's board, ended how its requests ended.
	own   *dispatch.Board
	ended []forward.Outcome
	table *configuration.Table
	peers *detour.Table
	// newer are the versions that the first node heard of.
	newer  []int64
	window *retry.Window
	// sweep closes the first node's connections.
	sweep func()
}

const (
	firstAddress  = "first:1"
	inwardAddress = "inward:1"
)

// newPair returns two nodes. The second is a rig with one server.
func newPair(t *testing.T, handler http.HandlerFunc) *pair {
	t.Helper()
	now := clock.Virtual()
	made := &pair{rig: newRig(t, 0, handler), ways: reach.New(reach.Clock(now)), table: configuration.NewTable()}
	made.table.Offer(rigConfiguration())
	second := made.handler.(*forward.Forwarder)
	made.serve(t, inwardAddress, second.Inward())
	made.own = dispatch.New(dispatch.Clock(now), dispatch.Ways(made.ways))
	made.own.Update(map[string][]dispatch.Spec{
		forward.PoolName("ledger", ""):   {{ID: "s", Service: "ledger", Address: "nowhere:1", Slots: 1000}},
		forward.PoolName("writers", "m"): {{ID: "s", Service: "writers", Group: "g", Address: "nowhere:1", Slots: 1000, Pass: 40 * time.Millisecond}},
	})
	made.lose("ledger")
	made.lose("writers")
	made.peers = detour.New("", detour.Clock(now))
	dial := made.wires.Dialer("first")
	pool := backendserver.New(backendserver.Codec{
		Encode: func(call *backendserver.Call) http.Header { return call.Header },
		Decode: func(*backendserver.Call, int, http.Header) backendserver.DecodedHead {
			return backendserver.DecodedHead{}
		},
	}, backendserver.Dial(func(address string, within time.Duration) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		return dial(ctx, "tcp", address)
	}))
	made.window = retry.NewWindow(retry.Allowance{Ratio: 0.2, Least: 1000, Span: 10 * time.Second}, func() int { return 1 }, now)
	first := forward.New(forward.Parts{
		Configuration: made.table, Board: made.own, Pool: pool, Decode: decode, Now: now, Name: "first",
		Detours: made.peers, DetourPool: pool, DetourWanted: func() {}, NewerAt: func(_ string, version int64) { made.newer = append(made.newer, version) },
		Budget: func(string) *retry.Window { return made.window }, Stopping: func() bool { return false },
		Returns: ratelimit.NewReturns(now), Quarantine: quarantine.New(quarantine.Clock(now)), Suspected: func(quarantine.Fingerprint) {},
		Heard: func(forward.Heard) {}, Failed: func(*dispatch.Target, string) {}, Ended: func(summary forward.Summary) { made.ended = append(made.ended, summary.Outcome) }, Nodes: func() int { return 1 },
		AskPermits: func() {}, Logger: slog.New(slog.DiscardHandler),
	})
	made.serve(t, firstAddress, first)
	made.sweep = func() { pool.Sweep(func(string) bool { return false }) }
	return made
}

// lose makes the first node's way to a service count as lost.
func (pair *pair) lose(service string) {
	pair.ways.Of(reach.Place{Service: service}).Unopened("s", time.Hour)
	for _, probe := range pair.ways.Due() {
		probe.Done(nil)
	}
}

func (pair *pair) close() {
	pair.sweep()
	pair.end()
}

// version puts a version in force at a node.
func version(table *configuration.Table, number int64, change func(made *configuration.Configuration)) {
	made := rigConfiguration()
	made.Version = number
	change(made)
	table.Offer(made)
}

// through asks the first node.
func (pair *pair) through(path string, change func(request *http.Request)) answered {
	pair.peers.Heard(detour.Node{Address: inwardAddress, Peer: "second:1"})
	request := pair.request(0, path, strings.NewReader("body"))
	request.URL.Host = firstAddress
	if change != nil {
		change(request)
	}
	return pair.ask(request)
}

func inPair(t *testing.T, handler http.HandlerFunc, check func(expect *gomega.WithT, pair *pair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		pair := newPair(t, handler)
		defer pair.close()
		check(gomega.NewWithT(t), pair)
	})
}

// Guards against requests and answers that are changed on their way through another node, and against a
// caller's key that is passed on.
func TestRequestThroughAnotherNodeIsUnchanged(t *testing.T) {
	seen := &http.Request{}
	body := ""
	inPair(t, func(writer http.ResponseWriter, request *http.Request) {
		read, _ := io.ReadAll(request.Body)
		seen, body = request, string(read)
		writer.Header().Set("Signature", "s")
		writer.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(writer, "done")
	}, func(expect *gomega.WithT, pair *pair) {
		found := pair.through("/book/1?a=b%20c", func(request *http.Request) {
			request.Header.Set("Other", "kept")
			request.Header.Set("Hazelslip-Detour", "forged")
		})
		expect.Expect(found.status).To(gomega.Equal(http.StatusAccepted))
		expect.Expect(found.body).To(gomega.Equal("done"))
		expect.Expect(found.header.Get("Signature")).To(gomega.Equal("s"))
		expect.Expect(found.header).NotTo(gomega.HaveKey("Hazelslip-Detour"))
		expect.Expect(seen.RequestURI).To(gomega.Equal("/book/1?a=b%20c"))
		expect.Expect(body).To(gomega.Equal("body"))
		expect.Expect(seen.Header.Get("Other")).To(gomega.Equal("kept"))
		expect.Expect(seen.Header).NotTo(gomega.HaveKey("Hazelslip-Detour"))
	})
}

// Guards against a refusal of another node that is told as if it may have run, or without its time to return.
func TestRefusalOfAnotherNodeIsPassedOn(t *testing.T) {
	inPair(t, func(http.ResponseWriter, *http.Request) { panic("not asked") }, func(expect *gomega.WithT, pair *pair) {
		pair.board.Update(map[string][]dispatch.Spec{forward.PoolName("ledger", ""): {{ID: "s", Address: serverAddress}}})
		pair.board.PeerLoads(map[string]dispatch.Share{"s": {Calls: 100}})
		found := pair.through("/book/1", nil)
		expect.Expect(found.status).To(gomega.Equal(http.StatusServiceUnavailable))
		expect.Expect(found.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		expect.Expect(found.header).NotTo(gomega.HaveKey("Hazelslip-Detour"))
		expect.Expect(pair.outcome(forward.Full)).To(gomega.Equal(1))
	})
}

// Guards against a call that may not run twice and is sent once more after another node or its server broke off, or
// that is said not to have run.
func TestCallThatMayHaveRunAtAnotherNodeIsNotRepeated(t *testing.T) {
	runs := 0
	inPair(t, func(http.ResponseWriter, *http.Request) {
		runs++
		panic(http.ErrAbortHandler)
	}, func(expect *gomega.WithT, pair *pair) {
		specs := []dispatch.Spec{}
		for _, id := range []string{"s", "t", "u"} {
			specs = append(specs, dispatch.Spec{ID: id, Address: serverAddress, Slots: 9})
		}
		pair.board.Update(map[string][]dispatch.Spec{forward.PoolName("ledger", ""): specs})
		expect.Expect(pair.through("/book/1", nil).status).To(gomega.Equal(http.StatusBadGateway))
		expect.Expect(runs).To(gomega.Equal(1))
		// One that may is tried as often as its route allows, at both nodes together.
		expect.Expect(pair.through("/ping/1", nil).status).To(gomega.Equal(http.StatusBadGateway))
		expect.Expect(runs).To(gomega.Equal(3))
	})
}

// Guards against a request that is handled by an older version than one of the two nodes has in force.
func TestNewerVersionOfTwoNodesBinds(t *testing.T) {
	inPair(t, func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) }, func(expect *gomega.WithT, pair *pair) {
		second := pair.handler.(*forward.Forwarder).Configuration
		version(second, 2, func(made *configuration.Configuration) { made.Workspaces[0].Keys = []string{"another"} })
		expect.Expect(pair.through("/book/1", nil).status).To(gomega.Equal(http.StatusUnauthorized))
		expect.Expect(pair.newer).To(gomega.ContainElement(int64(2)))
		version(pair.table, 3, func(*configuration.Configuration) {})
		began := time.Now()
		expect.Expect(pair.through("/book/1", nil).status).To(gomega.Equal(http.StatusServiceUnavailable))
		expect.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
		conc.NewWaitGroup().Go(func() {
			time.Sleep(100 * time.Millisecond)
			version(second, 3, func(*configuration.Configuration) {})
		})
		expect.Expect(pair.through("/book/1", nil).status).To(gomega.Equal(http.StatusOK))
	})
}

// Guards against a second hop, a loop of two nodes that each think the other reaches the servers, and a caller that
// waits for it.
func TestRequestGoesThroughOneNodeAtMost(t *testing.T) {
	inPair(t, func(http.ResponseWriter, *http.Request) { panic("not asked") }, func(expect *gomega.WithT, pair *pair) {
		pair.board.Update(map[string][]dispatch.Spec{forward.PoolName("ledger", ""): {{ID: "s", Service: "ledger", Address: serverAddress, Slots: 9}}})
		pair.loseSecond("ledger")
		began := time.Now()
		found := pair.through("/book/1", nil)
		expect.Expect(found.status).To(gomega.Equal(http.StatusServiceUnavailable))
		expect.Expect(time.Since(began)).To(gomega.BeNumerically("<", 500*time.Millisecond))
		expect.Expect(pair.outcome(forward.Unreached)).To(gomega.Equal(1))
	})
}

// Guards against callers who are told that no server is reached, and to come again at once, where the servers that are
// reached are full and no other node reaches more.
func TestFullServersBesideALostWayAreFull(t *testing.T) {
	inPair(t, func(http.ResponseWriter, *http.Request) { panic("not asked") }, func(expect *gomega.WithT, pair *pair) {
		pair.own.Update(map[string][]dispatch.Spec{forward.PoolName("ledger", ""): {
			{ID: "s", Service: "ledger", Address: "nowhere:1", Slots: 9}, {ID: "near", Service: "ledger", DataCentre: "near", Address: serverAddress},
		}})
		pair.own.PeerLoads(map[string]dispatch.Share{"near": {Calls: 100}})
		pair.peers.Heard(detour.Node{Address: inwardAddress, Lost: []reach.Place{{Service: "ledger"}}})
		pair.peers.Asked()
		request := pair.request(0, "/book/1", strings.NewReader("body"))
		request.URL.Host = firstAddress
		began := time.Now()
		found := pair.ask(request)
		expect.Expect(found.status).To(gomega.Equal(http.StatusServiceUnavailable))
		expect.Expect(time.Since(began)).To(gomega.BeNumerically("<", 200*time.Millisecond))
		again, err := strconv.ParseFloat(found.header.Get("Retry-After"), 64)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(again).To(gomega.BeNumerically(">", 0.9), "a place comes free in a while")
		expect.Expect(pair.ended).To(gomega.Equal([]forward.Outcome{forward.Full}))
	})
}

// loseSecond makes the second node's way to a service count as lost.
func (pair *pair) loseSecond(service string) {
	ways := pair.board.Ways()
	ways.Of(reach.Place{Service: service}).Unopened("s", time.Hour)
	for _, probe := range ways.Due() {
		probe.Done(nil)
	}
}

// Guards against work that goes on at a server whose caller has left the first of two nodes.
func TestCallerThatLeavesEndsTheWorkThroughBothNodes(t *testing.T) {
	ended := make(chan time.Duration, 1)
	inPair(t, func(_ http.ResponseWriter, request *http.Request) {
		began := time.Now()
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
		ended <- time.Since(began)
		panic(http.ErrAbortHandler)
	}, func(expect *gomega.WithT, pair *pair) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		found := pair.through("/book/1", func(request *http.Request) { *request = *request.WithContext(ctx) })
		expect.Expect(found.err).To(gomega.HaveOccurred())
		expect.Expect(<-ended).To(gomega.BeNumerically("<", 350*time.Millisecond))
	})
}

// Guards against strangers who reach the port of requests of nodes: without the digest of a key they get nothing.
func TestStrangerAtThePortOfNodesGetsNothing(t *testing.T) {
	inPair(t, func(http.ResponseWriter, *http.Request) { panic("not asked") }, func(expect *gomega.WithT, pair *pair) {
		for told, status := range map[string]int{
			"": http.StatusBadRequest, "Sender=x": http.StatusBadRequest, "Sender=x&ConfigurationVersion=1&Runs=-1": http.StatusBadRequest,
			"Sender=x&ConfigurationVersion=1&Runs=0&KeyDigest=key-0": http.StatusUnauthorized,
			"Sender=x&ConfigurationVersion=1&Runs=0":                 http.StatusUnauthorized,
		} {
			found := pair.through("/book/1", func(request *http.Request) {
				request.URL.Host = inwardAddress
				request.Header.Set("Hazelslip-Detour", told)
			})
			expect.Expect(found.status).To(gomega.Equal(status), told)
		}
	})
}

// Guards against a stream that breaks off with the node that it went through and isn't gone on with, or that looks whole.
func TestStreamThatBreaksOffAtAnotherNodeDoesNotLookWhole(t *testing.T) {
	inPair(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(writer, "id: 0\ndata: a\n\nid: 1\nda")
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}, func(expect *gomega.WithT, pair *pair) {
		found := pair.through("/draft/1", nil)
		expect.Expect(found.err).To(gomega.HaveOccurred())
		expect.Expect(found.body).To(gomega.Equal("id: 0\ndata: a\n\n"))
	})
}
