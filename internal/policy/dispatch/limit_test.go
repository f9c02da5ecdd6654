package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hazelslip/internal/policy/dispatch"
	"hazelslip/internal/policy/notice"
	"hazelslip/internal/policy/ratelimit"
)

// newBoardWithRateLimit returns a board of two heads; a has a rate limit of two calls per second.
func newBoardWithRateLimit() (*dispatch.Board, *ratelimit.Limits, *time.Duration) {
	at := time.Minute
	now := func() time.Duration { return at }
	limits := ratelimit.New(ratelimit.Clock(now))
	draw := rand.New(rand.NewPCG(1, 1))
	board := dispatch.New(dispatch.Clock(now), dispatch.Random(draw.IntN), dispatch.Notices(notice.New(limits)))
	board.Update(map[string][]dispatch.Spec{pool: {head("a"), head("b")}})
	limits.HandleResponse(ratelimit.Run{Server: "a"}, ratelimit.Response{HasLimit: true, Rate: 2})
	return board, limits, &at
}

func homeOfAll(ratelimit.Run) ratelimit.PermitSource {
	return ratelimit.PermitSource{Issuer: true, Share: 1}
}

// Guards against calls that wait for a rate-limited server while another server has free slots.
func TestPickAvoidsRateLimitedServer(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, limits, at := newBoardWithRateLimit()
	chosen := map[string]int{}
	for range 500 {
		*at += 20 * time.Millisecond
		limits.Refresh(homeOfAll)
		target, verdict := board.Pick(pool, dispatch.Criteria{})
		expect.Expect(verdict).To(gomega.Equal(dispatch.Chosen))
		chosen[target.ID]++
	}
	expect.Expect(chosen["a"]).To(gomega.BeNumerically("~", 20, 4), "two per second for ten seconds")
}

// Guards against taking a rate-limited server for a full one, or a full one for a rate-limited one.
func TestPickDistinguishesRateLimitedFromFull(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, _, _ := newBoardWithRateLimit()
	target, verdict := board.Pick(pool, dispatch.Criteria{Exclude: []string{"b"}})
	expect.Expect(verdict).To(gomega.Equal(dispatch.RateLimited))
	expect.Expect(target.ID).To(gomega.Equal("a"))
	_, verdict = board.Pick(pool, dispatch.Criteria{Exclude: []string{"a", "b"}})
	expect.Expect(verdict).To(gomega.Equal(dispatch.NoTarget))
	board.SetPeerLoads(map[string]dispatch.ServerLoad{"a": {Calls: 16}, "b": {Calls: 16}})
	_, verdict = board.Pick(pool, dispatch.Criteria{})
	expect.Expect(verdict).To(gomega.Equal(dispatch.Full))
}

// Guards against planning groups as if all slots of a rate-limited server were usable.
func TestOccupancyCountsUsedSlotsOfRateLimitedServer(t *testing.T) {
	expect := gomega.NewWithT(t)
	board, limits, _ := newBoardWithRateLimit()
	board.SetPeerLoads(map[string]dispatch.ServerLoad{"a": {Calls: 3}})
	expect.Expect(board.Occupancy(pool)).To(gomega.Equal(dispatch.Occupancy{Targets: 2, Slots: 19, ActiveCalls: 3, RateLimit: 2}))
	limits.Merge(ratelimit.Limit{Run: ratelimit.Run{Server: "a"}, Version: 9, Ended: true})
	expect.Expect(board.Occupancy(pool)).To(gomega.Equal(dispatch.Occupancy{Targets: 2, Slots: 32, ActiveCalls: 3}))
}
