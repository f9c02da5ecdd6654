package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/common/clock"
	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/notice"
	"hazelslip/internal/policy/quarantine"
	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/state/configuration"
)

// newFullExchange returns an exchange for a model whose only group has all its slots taken.
func newFullExchange() (*exchange, *dispatch.Board) {
	now := clock.Virtual()
	board := dispatch.New(dispatch.Clock(now))
	board.Update(map[string][]dispatch.Spec{PoolName("drafts", "large"): {{ID: "a", Group: "g", Slots: 8, PassTime: 40 * time.Millisecond}}})
	board.SetPeerLoads(map[string]dispatch.ServerLoad{"a": {Calls: 8 + maxQueuedStreams}})
	table := configuration.NewTable()
	table.StoreIfNewer(&configuration.Configuration{Version: 1, Services: []configuration.Service{{Name: "drafts", Engine: &configuration.Engine{}}}})
	return &exchange{
		forwarder: &Forwarder{Dependencies: Dependencies{Board: board, Quarantine: quarantine.New(), Now: now}}, inbound: httptest.NewRequest(http.MethodPost, "/", nil),
		request: &Request{Model: "large"}, snapshot: table.Load(), service: "drafts",
		route: &configuration.Route{Target: 300 * time.Millisecond}, deadline: now() + 6*time.Second,
	}, board
}

// Guards against fresh streams that are refused although a slot is about to be free: at peak load, a slot is freed
// every few milliseconds, and the counts of other nodes lag. A fresh stream waits for a fraction of its target and
// is then refused early.
func TestFreshStreamWaitsBrieflyForSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		exchange, board := newFullExchange()
		startedAt := time.Now()
		_, verdict := exchange.pickGroup(maxQueuedStreams)
		expect.Expect(verdict).To(gomega.Equal(dispatch.Full))
		expect.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<=", 300*time.Millisecond/8))
		go func() {
			time.Sleep(20 * time.Millisecond)
			board.SetPeerLoads(map[string]dispatch.ServerLoad{"a": {Calls: 3}})
		}()
		_, verdict = exchange.pickGroup(maxQueuedStreams)
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
	})
}

// Guards against a stream that waits although no group is serving.
func TestStreamWithoutAGroupIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		exchange, board := newFullExchange()
		board.Update(map[string][]dispatch.Spec{})
		startedAt := time.Now()
		_, verdict := exchange.pickGroup(maxQueuedStreams)
		expect.Expect(verdict).To(gomega.Equal(dispatch.NoTarget))
		expect.Expect(time.Since(startedAt)).To(gomega.BeZero())
	})
}

// Guards against a stream that lost its group and is refused while the other groups are full or not formed yet:
// the part already delivered would be wasted. Such a stream waits longer, but less than the pause after which
// callers give up.
func TestResumedStreamWaitsLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		exchange, board := newFullExchange()
		exchange.responseStarted = true
		board.Update(map[string][]dispatch.Spec{})
		startedAt := time.Now()
		_, verdict := exchange.pickGroup(maxQueuedResumed)
		expect.Expect(verdict).To(gomega.Equal(dispatch.NoTarget))
		expect.Expect(time.Since(startedAt)).To(gomega.And(gomega.BeNumerically(">", 800*time.Millisecond), gomega.BeNumerically("<", 2*time.Second)))
	})
}

// Guards against a request that is refused although a permit for a rate-limited server is on its way, and against
// one that waits for the permit longer than a fraction of its target.
func TestRequestWaitsBrieflyForPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		exchange, _ := newFullExchange()
		limits := ratelimit.New(ratelimit.Clock(exchange.forwarder.Now))
		board := dispatch.New(dispatch.Clock(exchange.forwarder.Now), dispatch.Notices(notice.New(limits)))
		board.Update(map[string][]dispatch.Spec{PoolName("drafts", "large"): {{ID: "a", Group: "g", Slots: 8}}})
		limits.HandleResponse(ratelimit.Run{Server: "a"}, ratelimit.Response{HasLimit: true, Rate: 20})
		requested := 0
		exchange.forwarder.Board, exchange.forwarder.RequestPermits = board, func() { requested++ }
		startedAt := time.Now()
		_, verdict := exchange.pickGroup(maxQueuedStreams)
		expect.Expect(verdict).To(gomega.Equal(dispatch.RateLimited))
		expect.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<=", 300*time.Millisecond/8))
		expect.Expect(requested).To(gomega.Equal(1))
		asIssuer := func(ratelimit.Run) ratelimit.PermitSource { return ratelimit.PermitSource{Issuer: true, Share: 1} }
		limits.Refresh(asIssuer)
		time.Sleep(time.Second)
		go func() {
			time.Sleep(20 * time.Millisecond)
			limits.Refresh(asIssuer)
		}()
		_, verdict = exchange.pickGroup(maxQueuedStreams)
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
	})
}
