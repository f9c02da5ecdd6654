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

// full is an exchange for a model whose only group has all its places taken.
func full() (*exchange, *dispatch.Board) {
	now := clock.Virtual()
	board := dispatch.New(dispatch.Clock(now))
	board.Update(map[string][]dispatch.Spec{PoolName("drafts", "large"): {{ID: "a", Group: "g", Slots: 8, Pass: 40 * time.Millisecond}}})
	board.PeerLoads(map[string]dispatch.Share{"a": {Calls: 8 + streamBeyond}})
	table := configuration.NewTable()
	table.StoreIfNewer(&configuration.Configuration{Version: 1, Services: []configuration.Service{{Name: "drafts", Engine: &configuration.Engine{}}}})
	return &exchange{
		forwarder: &Forwarder{Parts: Parts{Board: board, Quarantine: quarantine.New(), Now: now}}, inbound: httptest.NewRequest(http.MethodPost, "/", nil),
		request: &Request{Model: "large"}, snapshot: table.Load(), service: "drafts",
		route: &configuration.Route{Target: 300 * time.Millisecond}, deadline: now() + 6*time.Second,
	}, board
}

// At peak load a place comes free every few milliseconds, and the counts of
// other nodes lag. A fresh stream waits a fraction of its target for one; if none
// comes it is refused while its caller has lost next to nothing.
func TestFreshStreamWaitsAMomentForAPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		exchange, board := full()
		began := time.Now()
		_, verdict := exchange.pick(streamBeyond)
		expect.Expect(verdict).To(gomega.Equal(dispatch.Full))
		expect.Expect(time.Since(began)).To(gomega.BeNumerically("<=", 300*time.Millisecond/8))
		go func() {
			time.Sleep(20 * time.Millisecond)
			board.PeerLoads(map[string]dispatch.Share{"a": {Calls: 3}})
		}()
		_, verdict = exchange.pick(streamBeyond)
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
	})
}

// Without any group that serves there is nothing to wait for.
func TestStreamWithoutAGroupIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		exchange, board := full()
		board.Update(map[string][]dispatch.Spec{})
		began := time.Now()
		_, verdict := exchange.pick(streamBeyond)
		expect.Expect(verdict).To(gomega.Equal(dispatch.None))
		expect.Expect(time.Since(began)).To(gomega.BeZero())
	})
}

// A stream midway has lost its group, and the others are full or not there yet.
// What its caller has read would be lost, so it waits longer, but less than the
// gap after which callers give up.
func TestBegunStreamWaitsLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		exchange, board := full()
		exchange.begun = true
		board.Update(map[string][]dispatch.Spec{})
		began := time.Now()
		_, verdict := exchange.pick(resumeBeyond)
		expect.Expect(verdict).To(gomega.Equal(dispatch.None))
		expect.Expect(time.Since(began)).To(gomega.And(gomega.BeNumerically(">", 800*time.Millisecond), gomega.BeNumerically("<", 2*time.Second)))
	})
}

// Guards against a request that is refused though a permit for a limited server is on its way,
// and against one that waits for it longer than a fraction of its target.
func TestRequestWaitsAMomentForAPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		exchange, _ := full()
		limits := ratelimit.New(ratelimit.Clock(exchange.forwarder.Now))
		board := dispatch.New(dispatch.Clock(exchange.forwarder.Now), dispatch.Notices(notice.New(limits)))
		board.Update(map[string][]dispatch.Spec{PoolName("drafts", "large"): {{ID: "a", Group: "g", Slots: 8}}})
		limits.Answered(ratelimit.Run{Server: "a"}, ratelimit.Answer{Named: true, Rate: 20})
		asked := 0
		exchange.forwarder.Board, exchange.forwarder.AskPermits = board, func() { asked++ }
		began := time.Now()
		_, verdict := exchange.pick(streamBeyond)
		expect.Expect(verdict).To(gomega.Equal(dispatch.Limited))
		expect.Expect(time.Since(began)).To(gomega.BeNumerically("<=", 300*time.Millisecond/8))
		expect.Expect(asked).To(gomega.Equal(1))
		home := func(ratelimit.Run) ratelimit.Duty { return ratelimit.Duty{Home: true, Part: 1} }
		limits.Refresh(home)
		time.Sleep(time.Second)
		go func() {
			time.Sleep(20 * time.Millisecond)
			limits.Refresh(home)
		}()
		_, verdict = exchange.pick(streamBeyond)
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
	})
}
