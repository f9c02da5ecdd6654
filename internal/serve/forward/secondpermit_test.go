package forward

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/notice"
	"hazelslip/internal/policy/ratelimit"
	"hazelslip/internal/testlib/retrybudget"
)

// Guards against permits of a rate-limited server that are used up by searches for a second run which the retry budget
// does not allow.
func TestSecondRunWithoutARetryTakesNoPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		exchange, _ := newFullExchange()
		now := exchange.forwarder.Now
		limits := ratelimit.New(ratelimit.Clock(now))
		board := dispatch.New(dispatch.Clock(now), dispatch.Notices(notice.New(limits)))
		board.Update(map[string][]dispatch.Spec{PoolName("drafts", "large"): {{ID: "a", Group: "g", Slots: 8}}})
		limits.HandleResponse(ratelimit.Run{Server: "a"}, ratelimit.Response{HasLimit: true, Rate: 20})
		asIssuer := func(ratelimit.Run) ratelimit.PermitSource { return ratelimit.PermitSource{Issuer: true, Share: 1} }
		exchange.forwarder.Board, exchange.forwarder.Logger = board, slog.New(slog.DiscardHandler)
		exchange.retryBudget = retrybudget.New(0, now)
		first := &attempt{target: dispatch.NewStandaloneTarget(dispatch.Spec{ID: "first"}, now)}
		limited, _ := board.Pick(exchange.poolName(), exchange.criteria(maxQueuedStreams))
		defer limited.AwaitPermit(exchange.urgency())()
		limits.Refresh(asIssuer)
		time.Sleep(time.Second)
		limits.Refresh(asIssuer)
		for range 100 {
			expect.Expect(exchange.startSecond(&secondRun{first: first})).To(gomega.BeFalse())
		}
		_, verdict := board.Pick(exchange.poolName(), exchange.criteria(maxQueuedStreams))
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
	})
}
